"""Isolation of prefill: decides which costs of pauses apply to a prompt.

Answers the load in which streams of short prompts are late because long prompts are
computed on their runners. The subset of the runners that is preferred for short prompts
is recomputed a few times per second from the demand of the fleet and the eligible
runners. Without a pause target, without both long and short prompts, or with few
runners, prompts are placed without these costs.
"""

from collections.abc import Sequence

import attrs

from rampwick_schema import PrefillDemand, ReprMixin, Routing, Summary

from . import _events as ev
from ._membership import Membership
from ._pause_costs import PauseSensitivity, PauseStrategy, SoftPartitioning
from ._placement import NO_COSTS, Choice, RunnerCosts, RunnerView
from ._prefill_demand import PrefillDemandTracker, add_demands, is_plausible
from ._runner_subset import RankedRunner, RunnerSubset, wanted_size
from ._state_changes import StateChangeTracker
from ._upstreams import Upstream, UpstreamTable

#: Minimum number of runners of a service. With fewer, one runner is a large part of the
#: capacity for long prompts.
MIN_RUNNERS_COUNT = 10

#: Interval at which a subset is recomputed: that of the summaries it depends on.
REFRESH_SECONDS = 0.25

#: Names of runners in a logged change of a subset.
MAX_LOGGED_NAMES = 12


@attrs.define(repr=False)
class ServiceIsolation(ReprMixin):
    """The subset of the runners of one service and model, and counts for metrics."""

    subset: RunnerSubset = attrs.field(factory=RunnerSubset)
    refreshed_at_seconds: float | None = None
    #: Prompts that were sent to runners that are not preferred for them.
    against_preference_count: int = 0


class PrefillIsolation:
    """Costs of pauses for each prompt, and the state that they depend on."""

    def __init__(
        self,
        is_enabled: bool,
        upstreams: UpstreamTable,
        peers: Membership,
        state_changes: StateChangeTracker,
        strategy: PauseStrategy | None = None,
    ) -> None:
        self._is_enabled = is_enabled
        self._upstreams = upstreams
        self._peers = peers
        self._state_changes = state_changes
        self.strategy: PauseStrategy = strategy or SoftPartitioning()
        self._demand = PrefillDemandTracker()
        self._pause_targets: dict[str, float] = {}
        #: Answer tokens in one event, by service.
        self._event_tokens: dict[str, int] = {}
        self._services: dict[tuple[str, str], ServiceIsolation] = {}
        #: Summaries with rates that are not plausible, which had no effect.
        self.ignored_count = 0

    def apply_routing(self, routing: Routing) -> None:
        """Use the pause targets and event sizes of a configuration."""
        self._event_tokens = {item.name: item.event_tokens for item in routing.services}
        targets: dict[str, float] = {}
        for route in routing.routes:
            if route.gap_target_seconds <= 0.0:
                continue
            for target in route.targets:
                smallest = targets.get(target.service, route.gap_target_seconds)
                targets[target.service] = min(smallest, route.gap_target_seconds)
        self._pause_targets = targets

    def check_summary(self, name: str, summary: Summary) -> None:
        """Count and log a peer's summary whose rates are ignored."""
        if all(is_plausible(demand) for demand in summary.prefill_demand):
            return
        self.ignored_count += 1
        self._state_changes.note(
            "prefill demand", name, "ignored", "its rates are not plausible"
        )

    def own_demand(self, now_seconds: float) -> list[PrefillDemand]:
        """Return the demand of this host for its summary."""
        return self._demand.own(now_seconds) if self._is_enabled else []

    def costs(
        self,
        arrival: ev.RequestArrived,
        runners: Sequence[RunnerView],
        waited_seconds: float,
        now_seconds: float,
    ) -> RunnerCosts:
        """Return the costs of a prompt at the runners of its service."""
        pause_target_seconds = self._pause_target(arrival)
        if pause_target_seconds is None:
            return NO_COSTS
        service = self._refreshed(arrival, now_seconds)
        if not service.subset.names:
            return NO_COSTS
        sensitivity = PauseSensitivity(
            pause_target_seconds,
            arrival.latency_target_seconds,
            self._has_pauses(arrival),
            waited_seconds,
        )
        return self.strategy.costs(sensitivity, service.subset.names, runners)

    def note_sent(
        self,
        arrival: ev.RequestArrived,
        upstream: Upstream,
        choice: Choice,
        now_seconds: float,
    ) -> None:
        """Record a prompt that is sent to its choice."""
        pause_target_seconds = self._pause_target(arrival)
        if pause_target_seconds is None:
            return
        sensitivity = PauseSensitivity(
            pause_target_seconds, None, self._has_pauses(arrival)
        )
        tokens_per_second = (
            upstream.reported_tokens_per_second
            or self._upstreams.prefill_speed(upstream.model).tokens_per_second
        )
        prefill_seconds = choice.missing_tokens / tokens_per_second
        is_long = prefill_seconds >= sensitivity.long_seconds
        # Only streams need the subset; other prompts use the capacity of the rest.
        is_short = sensitivity.has_pauses and not is_long
        self._demand.note_sent(
            arrival.service, choice.missing_tokens, not is_short, now_seconds
        )
        if is_short:
            self._demand.note_slot_time(
                arrival.service, upstream.run_seconds, now_seconds
            )
        service = self._service(arrival)
        is_member = upstream.name in service.subset.names
        if service.subset.names and (is_long if is_member else is_short):
            service.against_preference_count += 1

    def subset_names(self) -> dict[str, list[str]]:
        """Return the runners preferred for short prompts, by service."""
        names: dict[str, list[str]] = {}
        for (service, _), state in self._services.items():
            names.setdefault(service, []).extend(sorted(state.subset.names))
        return names

    def subset_sizes(self) -> dict[str, int]:
        """Return the number of runners preferred for short prompts, by service."""
        return {name: len(runners) for name, runners in self.subset_names().items()}

    def against_preference_counts(self) -> dict[str, int]:
        """Return the number of prompts sent against the preference, by service."""
        counts: dict[str, int] = {}
        for (service, _), state in self._services.items():
            counts[service] = counts.get(service, 0) + state.against_preference_count
        return counts

    def _pause_target(self, arrival: ev.RequestArrived) -> float | None:
        if not self._is_enabled or arrival.chain is None:
            return None
        return self._pause_targets.get(arrival.service)

    def _has_pauses(self, arrival: ev.RequestArrived) -> bool:
        """Return whether an answer is expected to have more than one event."""
        expected_tokens = arrival.expected_answer_tokens
        if arrival.max_answer_tokens and (
            expected_tokens is None or arrival.max_answer_tokens < expected_tokens
        ):
            expected_tokens = arrival.max_answer_tokens
        # An event of unknown size is taken as one token.
        event_tokens = max(1, self._event_tokens.get(arrival.service, 0))
        return expected_tokens is None or expected_tokens > event_tokens

    def _service(self, arrival: ev.RequestArrived) -> ServiceIsolation:
        key = (arrival.service, arrival.scope.model if arrival.scope else "")
        service = self._services.get(key)
        if service is None:
            service = self._services[key] = ServiceIsolation()
        return service

    def _refreshed(
        self, arrival: ev.RequestArrived, now_seconds: float
    ) -> ServiceIsolation:
        service = self._service(arrival)
        refreshed_at_seconds = service.refreshed_at_seconds
        if (
            refreshed_at_seconds is None
            or now_seconds - refreshed_at_seconds >= REFRESH_SECONDS
        ):
            service.refreshed_at_seconds = now_seconds
            self._refresh(arrival, service, now_seconds)
        return service

    def _refresh(
        self, arrival: ev.RequestArrived, service: ServiceIsolation, now_seconds: float
    ) -> None:
        model = arrival.scope.model if arrival.scope else ""
        upstreams = [
            upstream
            for upstream in self._upstreams
            if upstream.is_runner
            and upstream.entry.group == arrival.service
            and upstream.model == model
        ]
        runners = [
            RankedRunner(
                upstream.name,
                upstream.entry.hall,
                self._upstreams.is_eligible(upstream, now_seconds),
            )
            for upstream in upstreams
        ]
        wanted = 0.0
        if len(upstreams) >= MIN_RUNNERS_COUNT:
            eligible_count = sum(runner.is_eligible for runner in runners)
            slots_count = sum(item.slots_count for item in upstreams) / len(upstreams)
            wanted = self._wanted_size(
                arrival.service, eligible_count, slots_count, now_seconds
            )
        if service.subset.update(wanted, runners, now_seconds):
            self._log_subset(arrival.service, model, service.subset, wanted)

    def _wanted_size(
        self,
        service: str,
        runners_count: int,
        slots_per_runner: float,
        now_seconds: float,
    ) -> float:
        own = self._demand.of(service, now_seconds)
        peers = list(self._peers.live(now_seconds))
        demand = add_demands(
            own, (item for peer in peers for item in peer.summary.prefill_demand)
        )
        own_slots = self._demand.short_slots(service, now_seconds)
        if not peers:
            scale = float(self._peers.known_hosts_count)
        elif own.short_tokens_per_second > 0.0:
            # A host whose short prompts are nearly all cached would overestimate it.
            scale = min(
                float(self._peers.known_hosts_count),
                demand.short_tokens_per_second / own.short_tokens_per_second,
            )
        else:
            scale = 1.0
        return wanted_size(demand, own_slots * scale, slots_per_runner, runners_count)

    def _log_subset(
        self, service: str, model: str, subset: RunnerSubset, wanted: float
    ) -> None:
        names = sorted(subset.names)
        listed = ", ".join(names[:MAX_LOGGED_NAMES])
        if len(names) > MAX_LOGGED_NAMES:
            listed += " and others"
        self._state_changes.note(
            "number of short prompt runners",
            f"{service} {model}",
            f"{len(names)} {listed}".strip(),
            f"the demand requires {wanted:.1f} runners, or their state changed",
        )
