"""One host's state of the pool: upstreams, peers, usage, limits and rates.

The pool applies events and answers queries; it makes no decisions about requests.
"""

from collections.abc import Callable, Sequence
from typing import Any

import attrs

from rampwick_schema import (
    HostEntry,
    HostList,
    Settings,
)

from . import _events as ev
from ._brittle_services import BrittleServices
from ._cache_tracker import CacheTracker
from ._health import HealthState
from ._limit_tracker import LimitTracker, SummarySender, describe_limit
from ._membership import Membership
from ._prefill_isolation import PrefillIsolation
from ._prefix_cache_index import CacheGeneration
from ._reported_figures import is_plausible_report
from ._request import Outcome
from ._request_rates import RateObservation, RequestRates
from ._send_limits import SendLimits
from ._service_reachability import ServiceReachability
from ._shares import UsageLedger
from ._shutdown_announcements import Incarnation
from ._state_changes import StateChangeTracker
from ._tunnel_peers import TUNNELLED, UNKNOWN, UNREACHABLE
from ._upstream_paths import CUT_OFF_COUNT, UpstreamPath, UpstreamPaths
from ._upstream_rate_limiter import LocalView, UpstreamRateLimiter
from ._upstreams import IneligibleReason, Upstream, UpstreamTable
from ._view_cache import ViewCache

#: Number of upstreams of a hall that must become unresponsive to this host within the
#: time below before it probes the others of that hall instead of sending them requests.
#: A single one may have failed by itself; the time is enough to detect two.
HALL_OUTAGE_COUNT = 2
HALL_OUTAGE_SECONDS = 1.5

#: Time from the suspicion of an upstream for which it may be silent without being down.
#: The suspicion follows half a second without an answer.
MAX_SILENT_SECONDS = 1.0

#: Share of the upstreams beyond which a report that they are down is neither sent nor
#: applied. Its sender is more likely partitioned itself, or the report sums up single
#: findings of many hosts.
MAX_REPORTED_DOWN_RATIO = 0.5

#: Events that the pool handles.
PoolEvent = (
    ev.LoadReported
    | ev.ProbeFailed
    | ev.HostListRead
    | ev.PeerSummaryReceived
    | ev.PeerRemoved
    | ev.WeightsReported
    | ev.WeightsLoadOrdered
    | ev.TargetsReceived
    | ev.CacheReported
    | ev.RateLimitReported
    | ev.BrittlenessReported
    | ev.RateLimitUpdateReceived
    | ev.UpstreamSignalled
    | ev.LeavingUpdateReceived
    | ev.PeersChanged
)


class Pool:
    """Upstreams, caches, peers and usage as this host has observed them."""

    def __init__(self, settings: Settings) -> None:
        self.peers = Membership(settings.peers.dead_after_seconds)
        self.ledger = UsageLedger(settings.queue.usage_decay_seconds)
        self.limits = LimitTracker(settings.quota, settings.host.name)
        self._own_hall = settings.host.hall
        self.upstreams = UpstreamTable(
            settings.host.hall,
            settings.retry,
            settings.placement,
            settings.queue.slots_factor,
        )
        self.paths = UpstreamPaths()
        #: Names of the services that requests may be routed to.
        self.services: frozenset[str] = frozenset()
        self.state_changes = StateChangeTracker()
        self.reachability = ServiceReachability(self.upstreams, self.state_changes)
        #: Request rates that overloaded upstreams accept from all hosts together, and
        #: this host's share of them.
        self.rates = RequestRates(self.state_changes)
        self.rate_limiter = UpstreamRateLimiter(
            self.rates,
            LocalView(settings.host.name, settings.host.hall),
            self._alive_ratio,
        )
        self.brittle = BrittleServices(
            self.peers,
            lambda: self.rate_limiter.local_view,
            self.state_changes,
            self._alive_ratio,
        )
        self.upstreams.min_probe_interval = self.brittle.probe_interval_seconds
        self.view_cache = ViewCache(
            self.upstreams, self.peers, SendLimits(self.rate_limiter, self.brittle)
        )
        #: Preferences of runners that keep prefill away from streams.
        self.prefill_isolation = PrefillIsolation(
            settings.placement.isolates_prefill,
            self.upstreams,
            self.peers,
            self.state_changes,
        )
        self.caches = CacheTracker(
            settings.placement.known_prefixes_count, self.upstreams, self.peers
        )
        self.cache_index = self.caches.cache_index
        self.imports = self.caches.imports
        self.cache_transfers = self.caches.cache_transfers
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ev.LoadReported: self._on_load_report,
            ev.ProbeFailed: self._on_probe_failed,
            ev.HostListRead: self._on_host_list,
            ev.PeerSummaryReceived: self._on_peer_summary,
            ev.PeerRemoved: self._on_peer_removed,
            ev.WeightsReported: self._on_weights,
            ev.WeightsLoadOrdered: self._on_load_ordered,
            ev.TargetsReceived: self._on_targets,
            ev.CacheReported: self.caches.apply_changes,
            ev.RateLimitReported: self._on_rate_limit_reported,
            ev.BrittlenessReported: self._on_brittleness_reported,
            ev.RateLimitUpdateReceived: self._on_rate_limits_received,
            ev.UpstreamSignalled: self._on_signalled,
            ev.LeavingUpdateReceived: self._on_leaving_received,
            ev.PeersChanged: self._on_peers_changed,
        }

    def handle(self, event: PoolEvent, now_seconds: float) -> None:
        """Apply an event."""
        self._handlers[type(event)](event, now_seconds)

    def is_in_service(self, upstream: Upstream) -> bool:
        """Return whether an upstream belongs to a configured service.

        A runner whose entry names another service gets neither requests nor orders.
        """
        group = upstream.entry.group
        return not group or group in self.services

    def note_failure(
        self,
        failed: Incarnation,
        event: ev.AttemptFailed,
        sent_at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Update the state of an upstream after an attempt, sent at a time, failed."""
        upstream = self.upstreams.get(failed.upstream)
        if upstream is None:
            return
        if event.outcome.is_health_failure:
            if failed.name and upstream.incarnation not in ("", failed.name):
                return
            if self.paths.has_changed_since(upstream.name, sent_at_seconds):
                return
            self._mark_down(upstream, event.message, now_seconds)
            if event.was_closed:
                upstream.closed_at_seconds = now_seconds
            elif not event.is_over_bound:
                self._check_hall_outage(upstream, now_seconds)
        elif event.outcome.shows_other_generation:
            # The next probe reports the current generation.
            upstream.cache_generation = None
            self._record_state(upstream, event.message, now_seconds)
        elif event.outcome is Outcome.BUSY:
            pause_seconds = self.brittle.pause_seconds(
                upstream, event.retry_after_seconds
            )
            self._pause(failed, pause_seconds, event.message, now_seconds)

    def note_stalled_upstream(self, name: str, now_seconds: float) -> None:
        """Record that an upstream does not start to answer this host."""
        self.suspect(name, now_seconds)
        upstream = self.upstreams.get(name)
        if upstream is not None:
            self._check_hall_outage(upstream, now_seconds)

    def _check_hall_outage(self, upstream: Upstream, now_seconds: float) -> None:
        """Suspect all upstreams of a hall if two have just become unresponsive.

        A partitioned hall makes all its upstreams unreachable. When they were detected
        one by one, each of them cost requests the full stall timeout.
        """
        hall = upstream.entry.hall
        hall_upstreams = [item for item in self.upstreams if item.entry.hall == hall]
        if any(item.has_answered_recently(now_seconds) for item in hall_upstreams):
            return
        upstream.unresponsive_at_seconds = now_seconds
        oldest_seconds = now_seconds - HALL_OUTAGE_SECONDS
        unresponsive = [
            item
            for item in hall_upstreams
            if item.unresponsive_at_seconds > oldest_seconds
        ]
        if len(unresponsive) < HALL_OUTAGE_COUNT:
            return
        for item in hall_upstreams:
            if item not in unresponsive and self.upstreams.suspect(item, now_seconds):
                self._record_state(
                    item,
                    f"other upstreams of hall {hall} are unresponsive",
                    now_seconds,
                )

    def _suspect_own_links(self, now_seconds: float) -> None:
        """Suspect all upstreams with a direct path if this host seems to be cut off.

        The first tunnels show that upstreams are alive which this host can't reach.
        """
        if len(self.paths.tunnelled) < CUT_OFF_COUNT:
            return
        direct = [item for item in self.upstreams if not self.is_tunnelled(item.name)]
        if any(item.has_answered_recently(now_seconds) for item in direct):
            return
        for item in direct:
            if self.upstreams.suspect(item, now_seconds):
                reason = "other upstreams are reachable only through peers"
                self._record_state(item, reason, now_seconds)

    def is_tunnelled(self, name: str) -> bool:
        """Return whether connections to an upstream or store are opened through peers.

        A store of cached prompts is not probed, so it follows the upstreams.
        """
        if self.upstreams.get(name) is not None:
            return self.paths.path(name) is UpstreamPath.TUNNEL
        return 0 < len(self.upstreams) == len(self.paths.tunnelled)

    def has_lost_own_links(self) -> bool:
        """Return whether only peers reach the runners, so that no order can be sent."""
        runners = [item for item in self.upstreams if item.is_runner]
        if not any(self.is_tunnelled(item.name) for item in runners):
            return False
        return all(
            self.is_tunnelled(item.name) or item.health.state is HealthState.DOWN
            for item in runners
        )

    def is_down(self, name: str) -> bool:
        """Return whether an upstream is listed and down."""
        upstream = self.upstreams.get(name)
        return upstream is not None and upstream.health.state is HealthState.DOWN

    def is_in_use(self, name: str) -> bool:
        """Return whether an upstream is listed and not down."""
        return self.upstreams.get(name) is not None and not self.is_down(name)

    def may_probe_idle_link(self, name: str) -> bool:
        """Return whether a kept connection may show that an upstream is reachable.

        After a failure only a new connection shows that new ones can be opened, and
        tells a silent upstream from a dead machine or link.
        """
        upstream = self.upstreams.get(name)
        if upstream is None or self.is_tunnelled(name) or upstream.is_suspected:
            return False
        return upstream.health.state is not HealthState.DOWN

    def due_link_checks(self, now_seconds: float) -> list[HostEntry]:
        """Return the tunnelled upstreams whose own links are to be checked now."""
        due = map(self.upstreams.get, self.paths.due_checks(now_seconds))
        return [item.entry for item in due if item is not None]

    def tunnel_refusal(self, address: str) -> str:
        """Return why this host opens no tunnel to an address; empty if it does.

        A tunnel leads over the own link of this host only, and to known addresses.
        """
        for upstream in self.upstreams:
            if upstream.entry.address == address:
                if self.is_tunnelled(upstream.name):
                    return TUNNELLED
                is_down = upstream.health.state is HealthState.DOWN
                return UNREACHABLE if is_down else ""
        for store in self.imports.stores():
            if store.address == address:
                return TUNNELLED if self.is_tunnelled(store.name) else ""
        return UNKNOWN

    def withdrawal(
        self, name: str, address: str, incarnation: str, now_seconds: float
    ) -> IneligibleReason | None:
        """Return why a request that was placed must not be sent any more, if so.

        An upstream's shutdown or pause that is announced while a request waits for its
        connection also applies to that request, and so does its removal.
        """
        upstream = self.upstreams.get(name)
        if upstream is None or upstream.entry.address != address:
            return IneligibleReason.REMOVED
        if incarnation not in ("", upstream.incarnation):
            return None
        reason = self.upstreams.ineligible_reason(upstream, now_seconds)
        return reason if reason and reason.is_requested_by_upstream else None

    def find_incarnation(self, name: str) -> str:
        """Return the incarnation that attempts at an upstream are sent to."""
        upstream = self.upstreams.get(name)
        return upstream.incarnation if upstream is not None else ""

    def suspect(self, name: str, now_seconds: float) -> bool:
        """Suspect an unresponsive upstream; return whether that is new."""
        upstream = self.upstreams.get(name)
        if upstream is None or not self.upstreams.suspect(upstream, now_seconds):
            return False
        upstream.suspected_at_seconds = now_seconds
        self._record_state(
            upstream, "unresponsive, or reported down by a peer", now_seconds
        )
        return True

    def _alive_ratio(self, now_seconds: float) -> float:
        """Return the share of the hosts that serve among which rates are divided."""
        live_peers = self.rate_limiter.local_view.live_peers
        is_alone = not (live_peers.alive or live_peers.halls)
        return self.limits.share_ratio(now_seconds, is_alone=is_alone)

    def expire_peers(self, now_seconds: float) -> None:
        """Drop peers that have been unresponsive for too long."""
        for view in self.peers.expire(now_seconds):
            unresponsive_seconds = now_seconds - view.last_seen_seconds
            self.state_changes.forget(
                "peer", view.name, f"no message for {unresponsive_seconds:.1f} s"
            )

    def update_limit_states(self, now_seconds: float) -> None:
        """Update the number of hosts sharing the limits, and record their states."""
        self.limits.note_time(self.peers.hosts_count(now_seconds), now_seconds)
        self.rates.sweep(now_seconds)
        self.brittle.sweep(now_seconds)
        for path, limit_state in self.limits.noteworthy_states(now_seconds):
            if limit_state == "open" and not self.state_changes.has_state(
                "limit", path
            ):
                continue
            state = self.limits.state(path, now_seconds)
            self.state_changes.note("limit", path, limit_state, describe_limit(state))

    def _record_state(
        self, upstream: Upstream, reason: str, now_seconds: float
    ) -> None:
        """Record the current state of an upstream and the reason for it."""
        state = self.upstreams.describe(upstream, now_seconds)
        if self.is_tunnelled(upstream.name):
            state += " through a peer"
        self.state_changes.note("upstream", upstream.name, state, reason)
        peers_count = self.peers.hosts_count(now_seconds) - 1
        self.reachability.update(upstream, peers_count)

    def _mark_down(self, upstream: Upstream, error: str, now_seconds: float) -> None:
        upstream.is_suspected = False
        upstream.health.note_failure(error, now_seconds)
        # The engine's generation is unknown until it reports one again. If that is the
        # old one, the index of its cache is still valid.
        upstream.cache_generation = None
        self._record_state(upstream, error, now_seconds)

    def is_outdated(self, event: ev.LoadReported | ev.ProbeFailed) -> bool:
        """Return whether a probe was sent to an earlier address of its upstream.

        What is listed under its name now is another process, perhaps another service.
        """
        upstream = self.upstreams.get(event.upstream)
        if upstream is None or not event.address:
            return False
        return upstream.entry.address != event.address

    def _on_load_report(self, event: ev.LoadReported, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        is_same_generation = True
        if event.report is not None:
            if not is_plausible_report(event.report):
                reason = f"its figures can't be true: {event.report}"
                self.state_changes.note("report", upstream.name, "ignored", reason)
            is_same_generation = not self.upstreams.note_report(upstream, event.report)
            self.caches.update_generation(upstream, event.report.cache_tokens)
        is_new_path = self.paths.note_answer(upstream.name, event.path, now_seconds)
        if is_new_path:
            upstream.health.forget_failures()
        upstream.health.note_probe(is_same_generation, now_seconds)
        self.upstreams.clear(upstream, now_seconds)
        if is_new_path and event.path is UpstreamPath.TUNNEL:
            self._suspect_own_links(now_seconds)
        self._record_state(upstream, "it answered a probe", now_seconds)

    def may_be_silent(self, event: ev.ProbeFailed, now_seconds: float) -> bool:
        """Return whether an upstream may only be silent for a moment.

        A sound upstream may answer nothing for about a second. While new connections
        to it can be opened, it gets no new requests, but keeps those that it has.
        """
        upstream = self.upstreams.get(event.upstream)
        if upstream is None or not event.is_connected or not upstream.is_suspected:
            return False
        silent_seconds = now_seconds - upstream.suspected_at_seconds
        return silent_seconds < MAX_SILENT_SECONDS

    def _on_probe_failed(self, event: ev.ProbeFailed, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            self._mark_down(upstream, event.message, now_seconds)

    def _on_host_list(self, event: ev.HostListRead, now_seconds: float) -> None:
        reason = f"host list {event.host_list.version}"
        for name in self.upstreams.apply_list(_sorted(event.host_list), now_seconds):
            self.cache_index.forget(name)
            self.paths.forget(name)
            self.rates.forget(name, reason)
            self.state_changes.forget("upstream", name, reason)
        names = {upstream.name for upstream in self.upstreams}
        self.upstreams.shutdown_announcements.sweep(names, now_seconds)
        for upstream in self.upstreams:
            if upstream.entry.incarnation and upstream.is_runner:
                self.caches.update_generation(upstream)
            self._record_state(upstream, reason, now_seconds)

    def _on_weights(self, event: ev.WeightsReported, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        generation = CacheGeneration(event.incarnation, event.weights_version)
        known = upstream.last_generation
        if known is not None and known.incarnation != event.incarnation:
            # Only the host list or a probe may introduce another incarnation.
            return
        if self.upstreams.note_generation(upstream, generation, event.is_own_report):
            self.caches.update_generation(upstream)
            self._record_state(
                upstream, "its weights version was reported", now_seconds
            )

    def _on_load_ordered(
        self, event: ev.WeightsLoadOrdered, now_seconds: float
    ) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None or event.weights_version < upstream.load_version:
            return
        upstream.load_version = event.weights_version
        upstream.load_until_seconds = event.until_seconds
        self._record_state(
            upstream, "the rollout controller ordered a load", now_seconds
        )

    def _on_targets(self, event: ev.TargetsReceived, now_seconds: float) -> None:
        targets = self.upstreams.targets
        targets.merge_ages(event.named, now_seconds)
        if event.read_at_seconds is None:
            targets.apply(event.targets, now_seconds)
        else:
            targets.apply_reading(
                event.targets,
                event.read_at_seconds,
                now_seconds,
                event.is_after_failure,
            )
        for target in targets.all_newest():
            state = f"version {target.weights_version}"
            self.state_changes.note("target", target.model, state, event.source)

    def _on_rate_limit_reported(
        self, event: ev.RateLimitReported, now_seconds: float
    ) -> None:
        if self.upstreams.get(event.upstream) is None:
            return
        observation = RateObservation(
            event.incarnation,
            event.requests_per_second,
            event.sent_at_seconds,
            now_seconds,
        )
        self.rates.record_response(event.upstream, observation, now_seconds)

    def _on_brittleness_reported(
        self, event: ev.BrittlenessReported, now_seconds: float
    ) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            self.brittle.note_response(
                upstream,
                event.rejections_per_second,
                event.sent_at_seconds,
                now_seconds,
            )

    def _on_rate_limits_received(
        self, event: ev.RateLimitUpdateReceived, now_seconds: float
    ) -> None:
        self.rates.receive_update(event.update, now_seconds)

    def _on_signalled(self, event: ev.UpstreamSignalled, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        incarnation = event.incarnation or (upstream.incarnation if upstream else "")
        if event.is_leaving:
            shutting_down = Incarnation(event.upstream, incarnation)
            self.upstreams.note_shutdown(shutting_down, now_seconds)
            if upstream is not None:
                self._record_state(upstream, event.source, now_seconds)
        if event.pause_seconds is not None:
            paused = Incarnation(event.upstream, incarnation)
            self._pause(paused, event.pause_seconds, event.source, now_seconds)

    def _on_leaving_received(
        self, event: ev.LeavingUpdateReceived, now_seconds: float
    ) -> None:
        received = self.upstreams.receive_shutdowns(event.update, now_seconds)
        for incarnation in received:
            upstream = self.upstreams.get(incarnation.upstream)
            if upstream is not None:
                self._record_state(
                    upstream, "announced in a response to a peer", now_seconds
                )

    def _pause(
        self,
        paused: Incarnation,
        pause_seconds: float | None,
        source: str,
        now_seconds: float,
    ) -> None:
        self.upstreams.note_pause(paused, pause_seconds, now_seconds)
        upstream = self.upstreams.get(paused.upstream)
        if upstream is not None:
            duration = (
                "unknown length" if pause_seconds is None else f"{pause_seconds:g} s"
            )
            self._record_state(
                upstream, f"{source}, requested a pause of {duration}", now_seconds
            )

    def expire_pauses(self, now_seconds: float) -> None:
        """Drop the pauses that have ended."""
        for incarnation in self.upstreams.pauses.expire(now_seconds):
            upstream = self.upstreams.get(incarnation.upstream)
            if upstream is not None:
                self._record_state(upstream, "its pause has ended", now_seconds)

    def _on_peers_changed(self, event: ev.PeersChanged, now_seconds: float) -> None:
        self.rate_limiter.local_view = attrs.evolve(
            self.rate_limiter.local_view,
            live_peers=event.live_peers,
            is_leaving=event.is_leaving,
        )

    def _on_peer_removed(self, event: ev.PeerRemoved, now_seconds: float) -> None:
        self.peers.drop(event.name)
        self.ledger.replace_peer_usage(event.name, (), now_seconds)
        self.limits.forget(event.name)
        self.state_changes.forget(
            "peer", event.name, "covered by another sender, or shut down"
        )

    def _on_peer_summary(
        self, event: ev.PeerSummaryReceived, now_seconds: float
    ) -> None:
        is_new = self.peers.receive_summary(
            event.name, event.hall, event.incarnation, event.summary, now_seconds
        )
        if is_new:
            self.state_changes.note("peer", event.name, "heard", "received its summary")
            self.ledger.replace_peer_usage(
                event.name, event.summary.workspaces, now_seconds
            )
            sender = SummarySender(
                event.name,
                event.incarnation,
                is_own_hall=event.hall == self._own_hall,
                is_fleet=not event.hall,
            )
            self.limits.receive_summary(
                sender, event.summary, event.age_seconds, now_seconds
            )
            self.prefill_isolation.check_summary(event.name, event.summary)
            self._on_down_reports(event.summary.down, now_seconds)
            for placed in event.summary.placed:
                if not self.imports.note_reported(placed, now_seconds):
                    self.cache_index.note_reported(placed)

    def _on_down_reports(self, names: Sequence[str], now_seconds: float) -> None:
        """Suspect the upstreams that a peer reports as down.

        A relay merges the findings of all its hosts. If every report were applied, a
        single overload would make every host probe every upstream and send nothing.
        """
        if len(names) > MAX_REPORTED_DOWN_RATIO * len(self.upstreams):
            return
        for name in names:
            # Each host probes by itself: it may reach an upstream that the peer cannot.
            upstream = self.upstreams.get(name)
            if upstream is not None and not upstream.has_answered_recently(now_seconds):
                self.suspect(name, now_seconds)


def _sorted(host_list: HostList) -> HostList:
    hosts = sorted(host_list.hosts, key=lambda entry: entry.name)
    return HostList(version=host_list.version, hosts=hosts)
