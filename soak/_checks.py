"""Checks of the guarantees in docs/guarantees.md on the observations of a run.

Each checker returns a list of violations, one message each.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence

import attrs
from tests.history import (
    ObservedAttempt,
    ObservedRevision,
    check_at_most_once,
    check_cache,
    check_responses,
    check_revisions,
)

from ._callers import RESPONSE_TOKENS, SHARED_PREFIX, Call, at_most_once_prompts
from ._faults import WITHOUT_EFFECT, InjectedFault
from ._fleet import CRASHING_PROMPT
from ._limited import LIMITED_PREFIX, check_limited_runs

#: A cut is a violation only if no unplanned fault overlapped the request or this time
#: before it.
PLANNED_ONLY_SECONDS = 2.0

#: Time after which hosts send no new requests to a draining runner.
DRAINING_KNOWN_SECONDS = 2.0

#: Allowed runs of the crashing prompt, and of prompts with the crashing part, before
#: the crash reports must have reached all hosts, the number allowed later, and the time
#: for the reports to arrive.
ALLOWED_CRASHING_RUNS = 3
ALLOWED_PART_RUNS = 5
ALLOWED_LATE_RUNS = 3
CRASHES_KNOWN_SECONDS = 3.0

#: Bound on the requests in any window to a runner that reports a rate limit: the limit
#: times a tolerance, plus a slack. It applies once all hosts must have received the
#: limit.
RATE_KNOWN_SECONDS = 3.0
RATE_WINDOW_SECONDS = 4.0
RATE_TOLERANCE_RATIO = 1.5
RATE_SLACK_COUNT = 5

#: Time from the first response that announces a shutdown until no host may send to
#: that runner: the announcement is sent to peers at once and again a second later.
SHUTDOWN_KNOWN_SECONDS = 2.0

#: Time from the failure of a host's links to the upstreams until its callers are served
#: as elsewhere, and the minimum share of calls served there, relative to other hosts.
CUT_OFF_KNOWN_SECONDS = 3.0
MIN_SERVED_RATIO = 2.0 / 3.0

#: Time from the moment at which all open connections have fallen silent until callers
#: are served as before, and the time before it that is compared.
SILENCE_KNOWN_SECONDS = 3.0
BEFORE_SILENCE_SECONDS = 2.0

#: Longest time of a call that counts as served there; they usually take milliseconds.
MAX_SERVED_SECONDS = 1.0

#: Time beyond its deadline within which a caller must have its final response.
RESPONSE_SLACK_SECONDS = 4.0


@attrs.define
class RunObservations:
    """Everything that was observed in a run."""

    calls: list[Call] = attrs.field(factory=list)
    attempts: list[ObservedAttempt] = attrs.field(factory=list)
    #: Monotonic time at which each attempt arrived, by attempt id.
    started: dict[str, float] = attrs.field(factory=dict)
    #: Bodies of the calls that the plain service ran.
    service_runs: list[str] = attrs.field(factory=list)
    #: Fencing numbers of the orders that each runner accepted, in order of arrival.
    orders: dict[str, list[int]] = attrs.field(factory=dict)
    revisions: list[ObservedRevision] = attrs.field(factory=list)
    #: Hosts that did not know all their peers, and the time of each observation.
    missing_peers: list[tuple[str, float]] = attrs.field(factory=list)
    injected_faults: list[InjectedFault] = attrs.field(factory=list)
    #: Violations that were found during the run.
    found_during_run: list[str] = attrs.field(factory=list)

    @property
    def runs(self) -> list[str]:
        """Prompt or body of every run on engines and the service."""
        return [attempt.text.decode() for attempt in self.attempts] + self.service_runs


def check_all(observations: RunObservations) -> list[str]:
    """Return all violations of a run, without the shared prefix of prompts."""
    responses = [
        call.observed
        for call in observations.calls
        if call.kind not in ("read", "write")
        and not call.is_cut
        and not call.is_unreachable
    ]
    found = [
        *observations.found_during_run,
        *check_responses(responses, RESPONSE_TOKENS),
        *check_services(observations.calls),
        *check_content(observations.calls),
        *check_at_most_once(
            observations.runs, at_most_once_prompts(observations.calls)
        ),
        *check_refusals(observations.calls, observations.runs),
        *check_cache(observations.attempts),
        *check_revisions(observations.revisions),
        *check_orders(observations.orders),
        *check_planned(observations),
        *check_draining(observations),
        *check_crashing_prompt(observations),
        *check_rates(observations),
        *check_shutdown_announcements(observations),
        *check_cut_off_hosts(observations),
        *check_silent_connections(observations),
        *check_limited_runs(
            [
                observations.started[item.attempt_id]
                for item in observations.attempts
                if LIMITED_PREFIX.encode() in item.text
            ]
        ),
    ]
    return [violation.replace(SHARED_PREFIX, "") for violation in found]


def check_crashing_prompt(observations: RunObservations) -> list[str]:
    """The crashing prompt and part are quarantined in time, and no other request is."""
    found = [
        f"{call.observed.prompt} was quarantined by {call.host} but crashes no runner"
        for call in observations.calls
        if call.observed.error_code == "ends_upstreams"
    ]
    # Hosts that were all killed at once have lost the crash reports.
    if any(item.kind == "hosts_kill_all" for item in observations.injected_faults):
        return found
    prompt = CRASHING_PROMPT.encode()
    prompt_runs = [item for item in observations.attempts if item.text == prompt]
    part_runs = [
        item for item in observations.attempts if b"<user>" + prompt in item.text
    ]
    for name, runs, allowed_count in (
        ("prompt", prompt_runs, ALLOWED_CRASHING_RUNS),
        ("part of prompts", part_runs, ALLOWED_PART_RUNS),
    ):
        times = sorted(observations.started[item.attempt_id] for item in runs)
        late_count = _late_count(times, allowed_count)
        if late_count > ALLOWED_LATE_RUNS:
            found.append(
                f"a crashing {name} ran {len(times)} times, {late_count} of them late"
            )
    return found


def _late_count(times: Sequence[float], allowed_count: int) -> int:
    """Return how many runs began after the crashes of the allowed ones were known."""
    if len(times) <= allowed_count:
        return 0
    known_seconds = times[allowed_count - 1] + CRASHES_KNOWN_SECONDS
    return sum(at > known_seconds for at in times)


def check_cut_off_hosts(observations: RunObservations) -> list[str]:
    """Callers of a host without links to the upstreams are served as elsewhere."""
    found = []
    for injected in observations.injected_faults:
        if injected.kind != "host_cut_off_alone":
            continue
        calls = [
            call
            for call in observations.calls
            if injected.began_seconds + CUT_OFF_KNOWN_SECONDS
            < call.began_seconds
            < injected.ended_seconds - MAX_SERVED_SECONDS
        ]
        here = [call for call in calls if call.host == injected.target]
        elsewhere = [call for call in calls if call.host != injected.target]
        if _served_ratio(here) < MIN_SERVED_RATIO * _served_ratio(elsewhere):
            found.append(
                f"{injected.target} served {_served_ratio(here):.2f} of {len(here)} "
                f"calls while cut off, the other hosts "
                f"{_served_ratio(elsewhere):.2f} of {len(elsewhere)}"
            )
    return found


def check_silent_connections(observations: RunObservations) -> list[str]:
    """Hosts keep their peers, and callers are served as before soon afterwards."""
    found = []
    for injected in observations.injected_faults:
        if injected.kind != "connections_silent_alone":
            continue
        began_seconds = injected.began_seconds
        found += [
            f"{name} lost a peer {at_seconds - began_seconds:.1f} s after all "
            "connections fell silent, though new ones worked"
            for name, at_seconds in observations.missing_peers
            if began_seconds < at_seconds < injected.ended_seconds
        ]
        before = [
            call
            for call in observations.calls
            if began_seconds - BEFORE_SILENCE_SECONDS < call.began_seconds
            and call.ended_seconds < began_seconds
        ]
        after = [
            call
            for call in observations.calls
            if began_seconds + SILENCE_KNOWN_SECONDS
            < call.began_seconds
            < injected.ended_seconds - MAX_SERVED_SECONDS
        ]
        if _served_ratio(after) < MIN_SERVED_RATIO * _served_ratio(before):
            found.append(
                f"served {_served_ratio(after):.2f} of {len(after)} calls after all "
                f"connections fell silent, {_served_ratio(before):.2f} of "
                f"{len(before)} before"
            )
    return found


def _served_ratio(calls: Sequence[Call]) -> float:
    served = sum(
        call.observed.is_whole
        and not call.is_cut
        and call.ended_seconds - call.began_seconds < MAX_SERVED_SECONDS
        for call in calls
    )
    return served / len(calls) if calls else 0.0


def check_rates(observations: RunObservations) -> list[str]:
    """Undisturbed hosts together keep to the rate limit that a runner reports."""
    found = []
    for injected in observations.injected_faults:
        if injected.request_rate is None or _is_target_disturbed(
            observations.injected_faults, injected, "runner_"
        ):
            continue
        known_seconds = injected.began_seconds + RATE_KNOWN_SECONDS
        times = sorted(
            observations.started[attempt.attempt_id]
            for attempt in observations.attempts
            if attempt.runner == injected.target
            and known_seconds
            < observations.started[attempt.attempt_id]
            < injected.ended_seconds
            and not _is_host_disturbed(
                observations.injected_faults, attempt.attempt_id, injected
            )
        )
        limit = RATE_TOLERANCE_RATIO * injected.request_rate * RATE_WINDOW_SECONDS
        limit += RATE_SLACK_COUNT
        for at in times:
            count = sum(at <= other < at + RATE_WINDOW_SECONDS for other in times)
            if count > limit:
                found.append(
                    f"{injected.target} accepts {injected.request_rate} requests/s but "
                    f"received {count} in {RATE_WINDOW_SECONDS} s, limit {limit:.0f}"
                )
                break
    return found


def check_shutdown_announcements(observations: RunObservations) -> list[str]:
    """Undisturbed hosts send no request to a runner that announced its shutdown."""
    first_announced: dict[tuple[str, str], float] = {}
    for attempt in observations.attempts:
        if attempt.announced_leaving:
            key, at_seconds = (
                _incarnation_key(attempt),
                observations.started[attempt.attempt_id],
            )
            first_announced[key] = min(at_seconds, first_announced.get(key, at_seconds))
    return [
        f"{attempt.runner} announced its shutdown but received {attempt.attempt_id}"
        for attempt in observations.attempts
        if (announced_seconds := first_announced.get(_incarnation_key(attempt)))
        is not None
        and observations.started[attempt.attempt_id]
        > announced_seconds + SHUTDOWN_KNOWN_SECONDS
        and not _may_lack_announcement(observations, attempt, announced_seconds)
    ]


def _incarnation_key(attempt: ObservedAttempt) -> tuple[str, str]:
    return attempt.runner, attempt.incarnation


def _may_lack_announcement(
    observations: RunObservations, attempt: ObservedAttempt, announced_seconds: float
) -> bool:
    """Return whether a fault may have kept the announcement from an attempt's host."""
    until_seconds = observations.started[attempt.attempt_id]
    interval = InjectedFault("", attempt.runner, announced_seconds, until_seconds)
    kinds = ("runner_link_", "runner_frozen", "runner_loses_answers")
    return _is_host_disturbed(
        observations.injected_faults, attempt.attempt_id, interval
    ) or _is_target_disturbed(observations.injected_faults, interval, kinds)


def _is_target_disturbed(
    injected_faults: Iterable[InjectedFault],
    reference: InjectedFault,
    kinds: str | tuple[str, ...],
) -> bool:
    """Return whether another fault on the target of `reference` overlapped it."""
    return any(
        injected is not reference
        and injected.target == reference.target
        and injected.kind.startswith(kinds)
        and injected.began_seconds < reference.ended_seconds
        and injected.ended_seconds > reference.began_seconds
        for injected in injected_faults
    )


def _is_host_disturbed(
    injected_faults: Iterable[InjectedFault], attempt_id: str, reference: InjectedFault
) -> bool:
    """Return whether an attempt's host was stopped or cut off during `reference`."""
    host = attempt_id.partition("-")[0]
    kinds = ("host_", "hosts_", "peer_link_")
    return any(
        injected.kind.startswith(kinds)
        and injected.target in ("", host)
        and injected.began_seconds < reference.ended_seconds
        and injected.ended_seconds > reference.began_seconds
        for injected in injected_faults
    )


def check_services(calls: Iterable[Call]) -> list[str]:
    """Each successful response of the service is complete and for its own call."""
    return [
        f"{call.observed.prompt} got the response to another call from {call.host}"
        for call in calls
        if call.kind in ("read", "write")
        and call.observed.status == 200
        and not call.observed.is_whole
    ]


def check_content(calls: Iterable[Call]) -> list[str]:
    """No response with complete framing breaks off inside its content."""
    return [
        f"{call.observed.prompt} ({call.kind}) got a complete response from "
        f"{call.host} with broken content: {call.error}"
        for call in calls
        if call.error and not call.is_cut
    ]


def check_refusals(calls: Sequence[Call], runs: Sequence[str]) -> list[str]:
    """A request whose attempts were all refused as not run never ran."""
    ran = set(runs)
    outcomes = defaultdict(set)
    for call in calls:
        outcomes[call.observed.prompt].add("" if call.is_cut else call.observed.was_run)
    return [
        f"{prompt} was refused as not run but ran"
        for prompt, reported in outcomes.items()
        if reported == {"no"} and prompt in ran
    ]


def check_orders(orders: dict[str, list[int]]) -> list[str]:
    """No runner accepts an order of an older lease holder after one of a newer."""
    return [
        f"{runner} accepted orders with fencing numbers {numbers}"
        for runner, numbers in orders.items()
        if numbers != sorted(numbers)
    ]


def check_planned(observations: RunObservations) -> list[str]:
    """Planned operations cut no request that reached an upstream."""
    ran = set(observations.runs)
    # A request that was sent again to another host ran there: if the connection closes
    # while a request is in flight, the outcome of the first attempt is unknown.
    answered = {
        call.observed.prompt for call in observations.calls if call.observed.status
    }
    found = []
    for call in observations.calls:
        if not call.is_cut or call.observed.prompt not in ran - answered:
            continue
        if _is_planned_only(
            observations.injected_faults,
            call.began_seconds - PLANNED_ONLY_SECONDS,
            call.ended_seconds,
        ):
            found.append(
                f"{call.observed.prompt} ({call.kind}) was cut by {call.host} "
                f"during planned operations at {call.ended_seconds:.3f} after "
                f"{call.ended_seconds - call.began_seconds:.3f} s: {call.error}"
            )
    return found


def check_draining(observations: RunObservations) -> list[str]:
    """Hosts send no new requests to a draining runner once they have its state."""
    found = []
    for injected in observations.injected_faults:
        if injected.kind != "runner_leave" or not injected.target:
            continue
        drained_seconds = injected.began_seconds + DRAINING_KNOWN_SECONDS
        if not _is_planned_only(
            observations.injected_faults, injected.began_seconds, injected.ended_seconds
        ):
            continue
        found += [
            f"{injected.target} received {attempt.attempt_id} while it was draining"
            for attempt in observations.attempts
            if attempt.runner == injected.target
            and drained_seconds
            < observations.started[attempt.attempt_id]
            < injected.ended_seconds
        ]
    return found


def _is_planned_only(
    injected_faults: Iterable[InjectedFault], from_seconds: float, to_seconds: float
) -> bool:
    """Return whether only planned operations overlapped a time span."""
    return not any(
        injected.kind not in WITHOUT_EFFECT
        and injected.began_seconds < to_seconds
        and injected.ended_seconds > from_seconds
        for injected in injected_faults
    )
