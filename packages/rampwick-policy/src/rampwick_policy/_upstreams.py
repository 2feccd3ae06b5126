"""Table of the listed upstreams: their state, eligibility and views for placement."""

import enum
import math
from collections.abc import Callable, Collection, Iterator

import attrs

from rampwick_schema import (
    HostEntry,
    HostList,
    LeavingUpdate,
    LoadReport,
    PlacementSettings,
    RetrySettings,
    era_of,
)

from ._change_log import ChangeLog
from ._expired_entries import LEAVING_STATE
from ._former_entries import FormerEntries
from ._health import Health, HealthState
from ._membership import Membership
from ._pauses import Pauses
from ._prefill_speed import PrefillSpeed
from ._prefix_cache_index import CacheGeneration
from ._reported_figures import is_plausible_report
from ._runner_state import RunnerState, state_expires_seconds
from ._runner_views import RunnerView
from ._shutdown_announcements import Incarnation, ShutdownAnnouncements
from ._targets import TargetWeights
from ._upstream import SERVING_ROLE, Upstream

#: Time before the maximum age of outdated weights at which their runners get no new
#: requests. Requests also wait at the runner before they start.
OUTDATED_MARGIN_SECONDS = 1.5

#: Assumed age of target weights that were published before this host's first read, as a
#: share of the maximum age of outdated weights. After a restart of all hosts, a share
#: of 1 would refuse every prompt until the first load, and 0 would double the time for
#: which outdated weights are used.
ASSUMED_AGE_RATIO = 0.5

#: Probe interval of an upstream that cannot be used until it answers: the initial
#: value, the factor after each failed probe, and the maximum. The interval grows
#: because most upstreams that are down stay down, and every host probes them.
UNUSABLE_PROBE_SECONDS = 0.25
PROBE_BACKOFF_FACTOR = 1.6
MAX_UNUSABLE_PROBE_SECONDS = 2.0

#: The same after a closed connection, until one probe has shown whether the upstream
#: crashed. Hosts wait three times as long before they attribute a crash to requests.
CLOSED_PROBE_SECONDS = 0.05

#: Time after an upstream went down in which it is expected to recover shortly.
EXPECTED_RECOVERY_SECONDS = 2.0

#: Time after a successful probe in which an upstream is not suspected again.
SUSPICION_EXEMPTION_SECONDS = 2.0


#: Maximum assumed time between two slot releases of a full upstream.
MAX_SLOT_RELEASE_SECONDS = 0.5


#: Time in which the entry of a crashed upstream expires from the store, and time in
#: which a draining upstream has written its state again to a restored store.
UNCONFIRMED_SECONDS = 5.0
RESTORED_DRAINING_SECONDS = 20.0


class IneligibleReason(enum.Enum):
    """Why an upstream gets no new requests."""

    LEAVING = "leaving"
    #: It refused a request and announced a pause.
    PAUSED = "paused"
    #: Its entry had been removed and is listed only since the store was restored.
    UNCONFIRMED = "unconfirmed"
    #: Its incarnation is unknown until it answers a probe.
    UNKNOWN = "unknown"
    #: It has a role other than serving requests.
    NOT_SERVING = "not serving"
    LOADING = "loading"
    SUSPECTED = "suspected"
    #: Its weights are too old for new requests.
    OUTDATED = "outdated"
    DOWN = "down"
    #: Its entry has been removed, or replaced by one with another address.
    REMOVED = "removed"

    @property
    def is_requested_by_upstream(self) -> bool:
        """Whether the upstream itself announced that it accepts no requests."""
        return self in (IneligibleReason.LEAVING, IneligibleReason.PAUSED)


def _no_interval(upstream: Upstream, now_seconds: float) -> float:
    return 0.0


class UpstreamTable:
    """The listed upstreams by name."""

    def __init__(
        self,
        hall: str,
        retry: RetrySettings,
        placement: PlacementSettings,
        slots_factor: float,
    ) -> None:
        self._hall = hall
        self._retry = retry
        self._slots_factor = slots_factor
        self._placement = placement
        self.targets = TargetWeights(placement.max_outdated_seconds * ASSUMED_AGE_RATIO)
        #: Version of the host list in use; -1 before the first.
        self.list_version = -1
        self.shutdown_announcements = ShutdownAnnouncements()
        self._former = FormerEntries()
        self.pauses = Pauses()
        #: Changes of upstreams that their views depend on.
        self.changes = ChangeLog()
        self._upstreams: dict[str, Upstream] = {}
        #: Returns the minimum time between two probes of an upstream by this host.
        self.min_probe_interval: Callable[[Upstream, float], float] = _no_interval
        self._last_position = 0
        self._prefill_speeds: dict[str, PrefillSpeed] = {}

    def __iter__(self) -> Iterator[Upstream]:
        return iter(list(self._upstreams.values()))

    def __len__(self) -> int:
        return len(self._upstreams)

    def get(self, name: str) -> Upstream | None:
        """Return the upstream of this name, if it is listed."""
        return self._upstreams.get(name)

    def apply_list(self, host_list: HostList, now_seconds: float) -> list[str]:
        """Apply a host list; return the names of removed upstreams.

        An older version is ignored; the same one may lack entries that were retained. A
        known name with a new address is a new upstream.
        """
        if host_list.version < self.list_version:
            return []
        known_version, new_version = self.list_version, host_list.version
        is_restored = known_version >= 0 and era_of(known_version) < era_of(new_version)
        self.list_version = host_list.version
        listed = {
            entry.name: entry
            for entry in host_list.hosts
            if entry.kind in ("runner", "service")
        }
        removed = [name for name in self._upstreams if name not in listed]
        for name in removed:
            upstream = self._upstreams.pop(name)
            self.changes.note(name)
            was_draining = upstream.entry.state == LEAVING_STATE
            self._former.note_removed(upstream, was_draining, now_seconds)
        draining = (
            self._draining_before_restore(listed, now_seconds) if is_restored else set()
        )
        for entry in listed.values():
            self._apply_entry(entry)
        if is_restored:
            self._override_restored(draining, now_seconds)
        self._former.forget(listed, now_seconds)
        return removed

    def _draining_before_restore(
        self, listed: Collection[str], now_seconds: float
    ) -> set[Incarnation]:
        """Return the listed upstreams that were draining before the store was restored.

        Includes upstreams that were draining when their entries were removed.
        """
        draining = {
            Incarnation(upstream.name, upstream.incarnation)
            for upstream in self
            if upstream.entry.state == LEAVING_STATE
        }
        former = [self._former.get(name, now_seconds) for name in listed]
        return draining | {
            item.incarnation for item in former if item and item.was_draining
        }

    def _override_restored(
        self, draining: set[Incarnation], now_seconds: float
    ) -> None:
        """Let the state known before a restore override the restored entries.

        The restored copy may list upstreams as live that were draining or removed.
        """
        for upstream in self:
            if Incarnation(upstream.name, upstream.incarnation) in draining:
                upstream.draining_until_seconds = (
                    now_seconds + RESTORED_DRAINING_SECONDS
                )
            elif self._former.get(upstream.name, now_seconds) is not None:
                upstream.unconfirmed_until_seconds = now_seconds + UNCONFIRMED_SECONDS

    def _apply_entry(self, entry: HostEntry) -> None:
        known = self._upstreams.get(entry.name)
        if known is not None and known.entry.address == entry.address:
            known.entry = attrs.evolve(
                entry,
                # A peer of an older release does not pass the version on.
                software_version=entry.software_version or known.entry.software_version,
            )
            self._apply_listed_state(known)
            self._apply_signals(entry.name)
            return
        health = Health(self._retry.ramp_start_ratio, self._retry.ramp_seconds)
        if known is not None:
            position = known.position
        else:
            self._last_position += 1
            position = self._last_position
        upstream = Upstream(
            entry=entry, health=health, changes=self.changes, position=position
        )
        self._upstreams[entry.name] = upstream
        self.changes.note(entry.name)
        self._apply_listed_state(upstream)
        self._apply_signals(entry.name)

    def _apply_listed_state(self, upstream: Upstream) -> None:
        """Apply the fields of a list entry.

        The list lags behind: it can raise the known weights version but not lower it.
        """
        entry = upstream.entry
        if entry.slots_count:
            upstream.slots_count = entry.slots_count
        if entry.incarnation and upstream.is_runner:
            upstream.model = entry.model
            generation = CacheGeneration(entry.incarnation, entry.weights_version)
            self.note_generation(upstream, generation, is_own_report=False)

    def note_generation(
        self, upstream: Upstream, generation: CacheGeneration, is_own_report: bool
    ) -> bool:
        """Record an observed cache generation; return whether it is new.

        Only the upstream's own report can lower the weights version, because others may
        be old.
        """
        known = upstream.last_generation
        is_older = (
            known is not None
            and known.incarnation == generation.incarnation
            and known.weights_version > generation.weights_version
        )
        if is_older and not is_own_report:
            return False
        upstream.cache_generation = upstream.last_generation = generation
        if generation != known:
            # A new generation ends any other role until the runner reports one.
            upstream.role = SERVING_ROLE
        self._apply_signals(upstream.name)
        return generation != known

    def due_probes(self, now_seconds: float) -> list[HostEntry]:
        """Return the upstreams to be probed now, and record them as probed.

        An upstream that cannot be used until it answers is probed more often.
        """
        due = []
        for upstream in self:
            if self._probe_wait(upstream, now_seconds) <= 0.0:
                upstream.probed_at_seconds = now_seconds
                due.append(upstream.entry)
        return due

    def probe_delay(self, now_seconds: float) -> float:
        """Return the time until the next probe is due; infinite if there is none."""
        waits = (self._probe_wait(upstream, now_seconds) for upstream in self)
        return max(0.0, min(waits, default=math.inf))

    def _probe_wait(self, upstream: Upstream, now_seconds: float) -> float:
        is_unusable = upstream.health.state is HealthState.DOWN or (
            upstream.is_runner and upstream.cache_generation is None
        )
        interval_seconds = self._retry.probe_interval_seconds
        if upstream.is_suspected or is_unusable:
            factor = PROBE_BACKOFF_FACTOR**upstream.health.failures_count
            interval_seconds = min(
                UNUSABLE_PROBE_SECONDS * factor, MAX_UNUSABLE_PROBE_SECONDS
            )
        if not interval_seconds:
            return math.inf
        if upstream.closed_at_seconds > upstream.probed_at_seconds:
            interval_seconds = min(interval_seconds, CLOSED_PROBE_SECONDS)
        interval_seconds = max(
            interval_seconds, self.min_probe_interval(upstream, now_seconds)
        )
        due_at_seconds = upstream.probed_at_seconds + interval_seconds
        if not upstream.is_runner:
            # A health probe takes a slot like a request, so a pause delays it.
            due_at_seconds = max(due_at_seconds, upstream.paused_until_seconds)
        return due_at_seconds - now_seconds

    def suspect(self, upstream: Upstream, now_seconds: float) -> bool:
        """Suspect an unresponsive upstream; return whether that is new.

        It is probed at once and gets no new work until a probe clears it.
        """
        if (
            upstream.is_suspected
            or now_seconds < upstream.suspicion_exempt_until_seconds
        ):
            return False
        if upstream.health.state is HealthState.DOWN:
            return False
        upstream.is_suspected = True
        return True

    def clear(self, upstream: Upstream, now_seconds: float) -> None:
        """Clear the suspicion of an upstream that has answered a probe."""
        if upstream.is_suspected:
            upstream.is_suspected = False
            upstream.suspicion_exempt_until_seconds = (
                now_seconds + SUSPICION_EXEMPTION_SECONDS
            )

    def note_report(self, upstream: Upstream, report: LoadReport) -> bool:
        """Apply a runner's load report; return whether its generation is new."""
        upstream.model = report.model
        if is_plausible_report(report):
            upstream.slots_count = report.slots_count
            upstream.reported_tokens_per_second = report.prefill_tokens_per_second
            upstream.reported_running_count = report.running_count
        generation = CacheGeneration(report.incarnation, report.weights_version)
        is_new = self.note_generation(upstream, generation, is_own_report=True)
        upstream.role = report.role
        return is_new

    def is_draining(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether an upstream is draining, by its entry or a response."""
        if upstream.is_shutting_down or upstream.entry.state == LEAVING_STATE:
            return True
        return now_seconds < upstream.draining_until_seconds

    def note_shutdown(self, incarnation: Incarnation, now_seconds: float) -> None:
        """Record a shutdown that was announced in a response to this host."""
        self.shutdown_announcements.note(incarnation, now_seconds)
        self._apply_signals(incarnation.upstream)

    def receive_shutdowns(
        self, update: LeavingUpdate, now_seconds: float
    ) -> list[Incarnation]:
        """Apply a peer's update; return the shutdowns that are new to this host."""
        received = self.shutdown_announcements.receive_update(update, now_seconds)
        for incarnation in received:
            self._apply_signals(incarnation.upstream)
        return received

    def note_pause(
        self, incarnation: Incarnation, pause_seconds: float | None, now_seconds: float
    ) -> None:
        """Record that an upstream requested a pause from this host."""
        self.pauses.note(incarnation, pause_seconds, now_seconds)
        self._apply_signals(incarnation.upstream)

    def _apply_signals(self, name: str) -> None:
        """Copy the shutdown and pause of an upstream's current incarnation to it.

        They are read far more often than they change.
        """
        upstream = self._upstreams.get(name)
        if upstream is None:
            return
        current = Incarnation(name, upstream.incarnation)
        upstream.is_shutting_down = current in self.shutdown_announcements
        upstream.paused_until_seconds = self.pauses.until_seconds(current)

    def ineligible_reason(
        self, upstream: Upstream, now_seconds: float
    ) -> IneligibleReason | None:
        """Return why an upstream gets no new requests, or None if it is eligible."""
        if self.is_draining(upstream, now_seconds):
            return IneligibleReason.LEAVING
        if now_seconds < upstream.paused_until_seconds:
            return IneligibleReason.PAUSED
        if now_seconds < upstream.unconfirmed_until_seconds:
            return IneligibleReason.UNCONFIRMED
        if upstream.is_runner and upstream.cache_generation is None:
            return IneligibleReason.UNKNOWN
        if upstream.is_runner and upstream.role != SERVING_ROLE:
            return IneligibleReason.NOT_SERVING
        if upstream.is_loading(now_seconds):
            return IneligibleReason.LOADING
        if upstream.is_suspected:
            return IneligibleReason.SUSPECTED
        if self._is_outdated(upstream, now_seconds):
            return IneligibleReason.OUTDATED
        if upstream.health.admit_ratio(now_seconds) <= 0.0:
            return IneligibleReason.DOWN
        return None

    def is_eligible(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether the upstream may get new requests."""
        return self.ineligible_reason(upstream, now_seconds) is None

    def has_crashed(self, name: str, now_seconds: float) -> bool:
        """Return whether an upstream that closed a connection has crashed.

        A draining upstream, or one that loads weights, closes connections on purpose.
        """
        upstream = self._upstreams.get(name)
        return (
            upstream is not None
            and not self.is_draining(upstream, now_seconds)
            and not upstream.is_loading(now_seconds)
        )

    def may_recover_soon(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether an ineligible upstream may become eligible shortly."""
        if self.is_draining(upstream, now_seconds):
            return False
        if now_seconds < upstream.unconfirmed_until_seconds:
            return False
        health = upstream.health
        down_seconds = now_seconds - health.down_at_seconds
        return (
            health.state is not HealthState.DOWN
            or down_seconds < EXPECTED_RECOVERY_SECONDS
        )

    def describe(self, upstream: Upstream, now_seconds: float) -> str:
        """Return a short description of an upstream's state, for logs."""
        if self.is_draining(upstream, now_seconds):
            return "leaving"
        if now_seconds < upstream.paused_until_seconds:
            return "paused"
        if now_seconds < upstream.unconfirmed_until_seconds:
            return "unconfirmed"
        if upstream.health.state is not HealthState.UP:
            return upstream.health.state.value
        if upstream.is_suspected:
            return "suspected"
        if upstream.is_loading(now_seconds):
            return f"loading weights {upstream.load_version}"
        if upstream.is_runner:
            return f"up as {upstream.generation_name or 'unknown'}"
        return "up"

    def outdated_seconds(self, upstream: Upstream, now_seconds: float) -> float:
        """Return the time since newer weights than the upstream's were published."""
        if upstream.cache_generation is None or not upstream.model:
            return 0.0
        version = upstream.cache_generation.weights_version
        return self.targets.outdated_seconds(upstream.model, version, now_seconds)

    def _is_outdated(self, upstream: Upstream, now_seconds: float) -> bool:
        max_seconds = self._placement.max_outdated_seconds
        if not max_seconds:
            return False
        outdated_seconds = self.outdated_seconds(upstream, now_seconds)
        return outdated_seconds > max_seconds - OUTDATED_MARGIN_SECONDS

    def _outdated_penalty_seconds(
        self, upstream: Upstream, now_seconds: float
    ) -> float:
        outdated_seconds = self.outdated_seconds(upstream, now_seconds)
        if outdated_seconds <= self._placement.outdated_grace_seconds:
            return 0.0
        return self._placement.outdated_penalty_seconds

    def prefill_speed(self, model: str) -> PrefillSpeed:
        """Return the estimated prefill speed of a model's runners."""
        speed = self._prefill_speeds.get(model)
        if speed is None:
            start = self._placement.prefill_tokens_per_second
            speed = self._prefill_speeds[model] = PrefillSpeed(start)
        return speed

    def usable_slots(
        self, upstream: Upstream, share_ratio: float, now_seconds: float
    ) -> int:
        """Return the number of requests that may run there at once, from all hosts."""
        ratio = upstream.health.admit_ratio(now_seconds) * share_ratio
        return max(1, int(upstream.slots_count * self._slots_factor * ratio))

    def view(
        self,
        upstream: Upstream,
        peers: Membership,
        share_ratio: float,
        extra_slots_ratio: float,
        now_seconds: float,
    ) -> RunnerView:
        """Return the view for placement, which includes the load of peers.

        ``share_ratio`` is this host's share of the pool; ``extra_slots_ratio`` lets
        urgent requests use additional slots.
        """
        state = self.state(upstream, share_ratio, extra_slots_ratio, now_seconds)
        return state.view(peers.load_of(upstream.name, state.generation_name))

    def state(
        self,
        upstream: Upstream,
        share_ratio: float,
        extra_slots_ratio: float,
        now_seconds: float,
    ) -> RunnerState:
        """Return the state for placement, without the load of peers."""
        placement = self._placement
        usable = self.usable_slots(upstream, share_ratio, now_seconds)
        is_same_hall = upstream.entry.hall == self._hall
        reported_speed = upstream.reported_tokens_per_second
        generation = upstream.cache_generation
        return RunnerState(
            name=upstream.name,
            generation_name=upstream.generation_name,
            is_eligible=self.is_eligible(upstream, now_seconds),
            slots_count=usable + math.ceil(usable * extra_slots_ratio),
            own_running_count=len(upstream.own_attempts),
            own_waiting_tokens=upstream.own_waiting_tokens,
            prefill_tokens_per_second=reported_speed
            or self.prefill_speed(upstream.model).tokens_per_second,
            has_estimated_speed=not reported_speed,
            model=upstream.model,
            hall=upstream.entry.hall,
            distance_seconds=0.0 if is_same_hall else placement.hall_distance_seconds,
            connect_seconds=0.0
            if upstream.has_connection(now_seconds)
            else placement.connect_price_seconds,
            release_seconds=min(
                MAX_SLOT_RELEASE_SECONDS, upstream.run_seconds / usable
            ),
            max_prefill_queue_seconds=placement.max_prefill_queue_seconds,
            weights_version=generation.weights_version if generation else 0,
            penalty_seconds=self._outdated_penalty_seconds(upstream, now_seconds),
        )

    def state_expires_seconds(self, upstream: Upstream, now_seconds: float) -> float:
        """Return until when the state stays the same unless a change is logged."""
        since_seconds = math.inf
        if upstream.cache_generation is not None and upstream.model:
            version = upstream.cache_generation.weights_version
            since_seconds = self.targets.outdated_since_seconds(upstream.model, version)
        max_seconds = self._placement.max_outdated_seconds
        limits_seconds = (
            self._placement.outdated_grace_seconds,
            max_seconds - OUTDATED_MARGIN_SECONDS,
        )
        return state_expires_seconds(
            upstream, since_seconds, limits_seconds, now_seconds
        )
