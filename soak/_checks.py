"""The promises of docs/guarantees.md, checked on what a run saw.

Each checker returns the violations that it finds, as sentences.
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

from ._callers import ANSWER_TOKENS, GUIDE, Call, marked
from ._faults import PLANNED, Deed
from ._fleet import DEADLY_TEXT

#: Time for which planned work must have been alone for a cut to count against it.
CALM_SECONDS = 2.0

#: Time after which a leaving runner gets no new work.
LEAVE_SECONDS = 2.0

#: Runs of a deadly prompt that are allowed before all hosts know, and after that; and
#: the time within which they are to know.
DEADLY_RUNS = 3
TOLD_SECONDS = 3.0

#: What a runner that names a rate may get within a window, and from when on.
RATE_KNOWN_SECONDS = 3.0
RATE_WINDOW_SECONDS = 4.0
RATE_OVER_RATIO = 1.5
RATE_SLACK_COUNT = 5

#: Time after the first answer that announces a shutdown from which on no host may send
#: to that runner: peers are sent it at once, and once more a second later.
DEPARTURE_KNOWN_SECONDS = 2.0

#: Time beyond its deadline by which a caller must have had its final answer.
ANSWER_SLACK_SECONDS = 4.0


@attrs.define
class Seen:
    """All that a run saw."""

    calls: list[Call] = attrs.field(factory=list)
    attempts: list[ObservedAttempt] = attrs.field(factory=list)
    #: Steady time at which each attempt came in, by its id.
    started: dict[str, float] = attrs.field(factory=dict)
    #: Texts of the calls that the plain service ran.
    service_runs: list[str] = attrs.field(factory=list)
    #: Fencing numbers of the orders that each runner took, in their order.
    orders: dict[str, list[int]] = attrs.field(factory=dict)
    revisions: list[ObservedRevision] = attrs.field(factory=list)
    deeds: list[Deed] = attrs.field(factory=list)
    #: What else was found while the run went on.
    noted: list[str] = attrs.field(factory=list)

    @property
    def runs(self) -> list[str]:
        """Text of every run, engines' and the service's."""
        return [attempt.text.decode() for attempt in self.attempts] + self.service_runs


def check_all(seen: Seen) -> list[str]:
    """Return all violations of a run, shortened to what is not shared."""
    answers = [
        call.saw
        for call in seen.calls
        if call.kind not in ("read", "write")
        and not call.is_cut
        and not call.is_unreachable
    ]
    found = [
        *seen.noted,
        *check_responses(answers, ANSWER_TOKENS),
        *check_services(seen.calls),
        *check_at_most_once(seen.runs, marked(seen.calls)),
        *check_refusals(seen.calls, seen.runs),
        *check_cache(seen.attempts),
        *check_revisions(seen.revisions),
        *check_orders(seen.orders),
        *check_planned(seen),
        *check_leaving(seen),
        *check_deadly(seen),
        *check_rates(seen),
        *check_departures(seen),
    ]
    return [sentence.replace(GUIDE, "") for sentence in found]


def check_deadly(seen: Seen) -> list[str]:
    """A request that crashes its runners is kept from them, and no other one is."""
    found = [
        f"{call.saw.prompt} was stopped by {call.host} as if runners ended under it"
        for call in seen.calls
        if call.saw.error_code == "ends_upstreams"
    ]
    times = sorted(
        seen.started[attempt.attempt_id]
        for attempt in seen.attempts
        if DEADLY_TEXT.encode() in attempt.text
    )
    if len(times) <= DEADLY_RUNS:
        return found
    late = [at for at in times if at > times[DEADLY_RUNS - 1] + TOLD_SECONDS]
    # Hosts that were all killed at once have forgotten what they knew.
    has_forgotten = any(deed.kind == "hosts_kill_all" for deed in seen.deeds)
    if len(late) > DEADLY_RUNS and not has_forgotten:
        found.append(
            f"a deadly prompt ran {len(times)} times, {len(late)} of them late"
        )
    return found


def check_rates(seen: Seen) -> list[str]:
    """A runner that names a rate gets no more from all hosts that go on undisturbed."""
    found = []
    for deed in seen.deeds:
        if deed.request_rate is None or _is_disturbed(seen.deeds, deed, "runner_"):
            continue
        known_seconds = deed.began_seconds + RATE_KNOWN_SECONDS
        times = sorted(
            seen.started[attempt.attempt_id]
            for attempt in seen.attempts
            if attempt.runner == deed.target
            and known_seconds < seen.started[attempt.attempt_id] < deed.ended_seconds
            and not _is_excused(seen.deeds, attempt.attempt_id, deed)
        )
        most = RATE_OVER_RATIO * deed.request_rate * RATE_WINDOW_SECONDS
        most += RATE_SLACK_COUNT
        for at in times:
            count = sum(at <= other < at + RATE_WINDOW_SECONDS for other in times)
            if count > most:
                found.append(
                    f"{deed.target} takes {deed.request_rate} requests a second and "
                    f"got {count} in {RATE_WINDOW_SECONDS} s, allowed {most:.0f}"
                )
                break
    return found


def check_departures(seen: Seen) -> list[str]:
    """No undisturbed host sends to a runner that has announced its shutdown."""
    first: dict[tuple[str, str], float] = {}
    for attempt in seen.attempts:
        if attempt.announced_leaving:
            life, at_seconds = _life(attempt), seen.started[attempt.attempt_id]
            first[life] = min(at_seconds, first.get(life, at_seconds))
    return [
        f"{attempt.runner} leaves and got {attempt.attempt_id}"
        for attempt in seen.attempts
        if (announced_seconds := first.get(_life(attempt))) is not None
        and seen.started[attempt.attempt_id]
        > announced_seconds + DEPARTURE_KNOWN_SECONDS
        and not _is_uninformed(seen, attempt, announced_seconds)
    ]


def _life(attempt: ObservedAttempt) -> tuple[str, str]:
    return attempt.runner, attempt.incarnation


def _is_uninformed(
    seen: Seen, attempt: ObservedAttempt, announced_seconds: float
) -> bool:
    """Return whether anything kept the announcement from the host of an attempt."""
    until_seconds = seen.started[attempt.attempt_id]
    meanwhile = Deed("", attempt.runner, announced_seconds, until_seconds)
    kinds = ("runner_link_", "runner_frozen", "runner_loses_answers")
    return _is_excused(seen.deeds, attempt.attempt_id, meanwhile) or _is_disturbed(
        seen.deeds, meanwhile, kinds
    )


def _is_disturbed(
    deeds: Iterable[Deed], limited: Deed, kinds: str | tuple[str, ...]
) -> bool:
    """Return whether something else was wrong with a runner that named a rate."""
    return any(
        deed is not limited
        and deed.target == limited.target
        and deed.kind.startswith(kinds)
        and deed.began_seconds < limited.ended_seconds
        and deed.ended_seconds > limited.began_seconds
        for deed in deeds
    )


def _is_excused(deeds: Iterable[Deed], attempt_id: str, limited: Deed) -> bool:
    """Return whether the host of an attempt was ended, paused or cut off meanwhile."""
    host = attempt_id.partition("-")[0]
    kinds = ("host_", "hosts_", "peer_link_")
    return any(
        deed.kind.startswith(kinds)
        and deed.target in ("", host)
        and deed.began_seconds < limited.ended_seconds
        and deed.ended_seconds > limited.began_seconds
        for deed in deeds
    )


def check_services(calls: Iterable[Call]) -> list[str]:
    """Each good answer of the service is the one to its own call, whole."""
    return [
        f"{call.saw.prompt} got another call's answer from {call.host}"
        for call in calls
        if call.kind in ("read", "write")
        and call.saw.status == 200
        and not call.saw.is_whole
    ]


def check_refusals(calls: Sequence[Call], runs: Sequence[str]) -> list[str]:
    """What was refused as not run, in all of its tries, never ran."""
    ran = set(runs)
    words = defaultdict(set)
    for call in calls:
        words[call.saw.prompt].add("" if call.is_cut else call.saw.was_run)
    return [
        f"{prompt} was refused as not run, but ran"
        for prompt, said in words.items()
        if said == {"no"} and prompt in ran
    ]


def check_orders(orders: dict[str, list[int]]) -> list[str]:
    """No runner takes an order of an older holder after one of a newer."""
    return [
        f"{runner} took orders with fencing numbers {numbers}"
        for runner, numbers in orders.items()
        if numbers != sorted(numbers)
    ]


def check_planned(seen: Seen) -> list[str]:
    """Planned work cuts no request that reached an upstream."""
    ran = set(seen.runs)
    # What was sent again, to another host, ran there: a connection that closes as a
    # request is on its way to it tells nobody what became of the first try.
    answered = {call.saw.prompt for call in seen.calls if call.saw.status}
    found = []
    for call in seen.calls:
        if not call.is_cut or call.saw.prompt not in ran - answered:
            continue
        if _is_calm(seen.deeds, call.began_seconds - CALM_SECONDS, call.ended_seconds):
            found.append(
                f"{call.saw.prompt} ({call.kind}) was cut by {call.host} in calm times "
                f"at {call.ended_seconds:.3f} after "
                f"{call.ended_seconds - call.began_seconds:.3f} s: {call.error}"
            )
    return found


def check_leaving(seen: Seen) -> list[str]:
    """A leaving runner gets nothing new once the word is out."""
    found = []
    for deed in seen.deeds:
        if deed.kind != "runner_leave" or not deed.target:
            continue
        begins = deed.began_seconds + LEAVE_SECONDS
        if not _is_calm(seen.deeds, deed.began_seconds, deed.ended_seconds):
            continue
        found += [
            f"{deed.target} was given {attempt.attempt_id} while it was leaving"
            for attempt in seen.attempts
            if attempt.runner == deed.target
            and begins < seen.started[attempt.attempt_id] < deed.ended_seconds
        ]
    return found


def _is_calm(deeds: Iterable[Deed], from_seconds: float, to_seconds: float) -> bool:
    """Return whether nothing but planned work went on in a span of time."""
    return not any(
        deed.kind not in PLANNED
        and deed.began_seconds < to_seconds
        and deed.ended_seconds > from_seconds
        for deed in deeds
    )
