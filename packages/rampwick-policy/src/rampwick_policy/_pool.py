"""What one host knows of the pool: upstreams, peers, use, limits and rates.

It takes events and answers questions; it decides nothing about requests.
"""

from collections.abc import Callable, Sequence
from typing import Any

import attrs

from rampwick_schema import (
    HostList,
    Settings,
)

from . import _events as ev
from ._cache_book import CacheBook
from ._departures import Incarnation
from ._knowledge import Life
from ._limit_tracker import LimitTracker
from ._membership import Membership
from ._request import Outcome
from ._request_rates import RateObservation, RequestRates
from ._shares import ShareLedger
from ._state_changes import StateChangeTracker
from ._upstream_rate_limiter import LocalView, UpstreamRateLimiter
from ._upstreams import Obstacle, Upstream, UpstreamTable

#: Upstreams of a hall that must fall silent for this host, and within which time, for
#: the rest of them to be asked how they are before they are sent anything. One may be
#: ill by itself; the time is that in which a host notices a silence twice.
HALL_SILENT_COUNT = 2
HALL_SILENCE_SECONDS = 1.5

#: Part of the upstreams beyond which a word that they are down is neither told nor
#: taken: who found them so is more likely cut off itself, or many found one each.
MAX_DOWN_TOLD_RATIO = 0.5

#: Events that the pool takes.
PoolEvent = (
    ev.LoadReported
    | ev.ProbeFailed
    | ev.HostListRead
    | ev.PeerSummaryReceived
    | ev.PeerGone
    | ev.WeightsSeen
    | ev.LoadOrdered
    | ev.TargetsRead
    | ev.CacheSeen
    | ev.RateNamed
    | ev.RateLimitUpdateReceived
    | ev.UpstreamSignalled
    | ev.LeavingUpdateReceived
    | ev.NeighboursSeen
)


class Pool:
    """Upstreams, caches, peers and use as this host knows them."""

    def __init__(self, settings: Settings) -> None:
        self.peers = Membership(settings.peers.dead_after_seconds)
        self.ledger = ShareLedger(settings.queue.usage_decay_seconds)
        self.limits = LimitTracker(settings.quota, settings.host.name)
        self.upstreams = UpstreamTable(
            settings.host.hall,
            settings.retry,
            settings.placement,
            settings.queue.slots_factor,
        )
        #: Names of the services that requests may be led to.
        self.services: frozenset[str] = frozenset()
        self.state_changes = StateChangeTracker()
        #: Requests a second that upstreams in need take from all hosts, and whose turn
        #: it is to send them one.
        self.rates = RequestRates(self.state_changes)
        self.turns = UpstreamRateLimiter(
            self.rates,
            LocalView(settings.host.name, settings.host.hall),
            self.limits.part_ratio,
        )
        self.caches = CacheBook(
            settings.placement.known_prefixes_count, self.upstreams, self.peers
        )
        self.knowledge = self.caches.knowledge
        self.imports = self.caches.imports
        self.moves = self.caches.moves
        self._handlers: dict[type, Callable[[Any, float], None]] = {
            ev.LoadReported: self._on_report,
            ev.ProbeFailed: self._on_probe_failed,
            ev.HostListRead: self._on_host_list,
            ev.PeerSummaryReceived: self._on_peer,
            ev.PeerGone: self._on_peer_gone,
            ev.WeightsSeen: self._on_weights,
            ev.LoadOrdered: self._on_load,
            ev.TargetsRead: self._on_targets,
            ev.CacheSeen: self.caches.hear,
            ev.RateNamed: self._on_rate,
            ev.RateLimitUpdateReceived: self._on_rate_limits_received,
            ev.UpstreamSignalled: self._on_signalled,
            ev.LeavingUpdateReceived: self._on_leaving_received,
            ev.NeighboursSeen: self._on_neighbours,
        }

    def hear(self, event: PoolEvent, now_seconds: float) -> None:
        """Take an event."""
        self._handlers[type(event)](event, now_seconds)

    def is_in_service(self, upstream: Upstream) -> bool:
        """Return whether an upstream belongs to a service that is in force.

        An entry that names another service names no runner to use, or to order.
        """
        group = upstream.entry.group
        return not group or group in self.services

    def note_failure(
        self, failed: Incarnation, event: ev.AttemptFailed, now_seconds: float
    ) -> None:
        """Note what an attempt's failure says about its upstream."""
        upstream = self.upstreams.get(failed.upstream)
        if upstream is None:
            return
        if event.outcome.is_ill_health:
            self._take_down(upstream, event.message, now_seconds)
            if not event.was_closed:
                self._weigh_hall(upstream, now_seconds)
        elif event.outcome in (Outcome.STALE, Outcome.MISDIRECTED):
            # The next probe says which life it is now.
            upstream.life = None
            self._notice(upstream, event.message, now_seconds)
        elif event.outcome is Outcome.BUSY:
            self._pause(failed, event.retry_after_seconds, event.message, now_seconds)

    def note_silent(self, name: str, now_seconds: float) -> None:
        """Note that an upstream does not begin to answer this host."""
        self.suspect(name, now_seconds)
        upstream = self.upstreams.get(name)
        if upstream is not None:
            self._weigh_hall(upstream, now_seconds)

    def _weigh_hall(self, upstream: Upstream, now_seconds: float) -> None:
        """Suspect all upstreams of a hall of which two have just fallen silent.

        A hall that is cut off takes all of them along. Found out one by one, each cost
        requests the whole bound on silence.
        """
        hall = upstream.entry.hall
        mates = [item for item in self.upstreams if item.entry.hall == hall]
        if any(item.is_heard(now_seconds) for item in mates):
            return
        upstream.silent_at_seconds = now_seconds
        oldest_seconds = now_seconds - HALL_SILENCE_SECONDS
        silent = [item for item in mates if item.silent_at_seconds > oldest_seconds]
        if len(silent) < HALL_SILENT_COUNT:
            return
        for item in mates:
            if item not in silent and self.upstreams.suspect(item, now_seconds):
                self._notice(item, f"others of {hall} are silent", now_seconds)

    def withdrawal(
        self, name: str, incarnation: str, now_seconds: float
    ) -> Obstacle | None:
        """Return why a request that was placed must not be sent after all.

        What an upstream asks for while a request waits for its connection holds for
        that request, too.
        """
        upstream = self.upstreams.get(name)
        if upstream is None:
            return None
        if incarnation not in ("", upstream.incarnation):
            return None
        obstacle = self.upstreams.obstacle(upstream, now_seconds)
        return obstacle if obstacle and obstacle.is_own_request else None

    def suspect(self, name: str, now_seconds: float) -> bool:
        """Suspect an upstream that fell silent; return whether that is new."""
        upstream = self.upstreams.get(name)
        if upstream is None or not self.upstreams.suspect(upstream, now_seconds):
            return False
        self._notice(upstream, "it is silent, or a peer says so", now_seconds)
        return True

    def expire_peers(self, now_seconds: float) -> None:
        """Drop peers that have been silent for too long."""
        for view in self.peers.expire(now_seconds):
            silent_seconds = now_seconds - view.last_seen_seconds
            self.state_changes.forget(
                "peer", view.name, f"silent for {silent_seconds:.1f} s"
            )

    def look_at_limits(self, now_seconds: float) -> None:
        """Note who is there to keep limits, and which begin or end to bind."""
        self.limits.note_time(self.peers.hosts_count(now_seconds), now_seconds)
        self.rates.sweep(now_seconds)
        for path, is_binding in self.limits.binding_states(now_seconds):
            if not is_binding and not self.state_changes.knows("limit", path):
                continue
            belief = "binding" if is_binding else "open"
            state = self.limits.state(path, now_seconds)
            reason = (
                f"{state.used_tokens:.0f} of {state.allowed_tokens:.0f} tokens sent by "
                f"all, part {state.part_ratio:.2f}"
            )
            self.state_changes.note("limit", path, belief, reason)

    def _notice(self, upstream: Upstream, reason: str, now_seconds: float) -> None:
        """Note what is believed of an upstream now, and why."""
        state = self.upstreams.describe(upstream, now_seconds)
        self.state_changes.note("upstream", upstream.name, state, reason)

    def _take_down(self, upstream: Upstream, error: str, now_seconds: float) -> None:
        upstream.is_suspected = False
        upstream.health.note_failure(error, now_seconds)
        # Nothing is known of the engine until it reports a life again; if it is
        # the old one, what it holds is still good.
        upstream.life = None
        self._notice(upstream, error, now_seconds)

    def _on_report(self, event: ev.LoadReported, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        is_same_life = True
        if event.report is not None:
            is_same_life = not self.upstreams.note_report(upstream, event.report)
            self.caches.observe(upstream, event.report.cache_tokens)
        upstream.health.note_probe(is_same_life, now_seconds)
        self.upstreams.clear(upstream, now_seconds)
        self._notice(upstream, "it answered a probe", now_seconds)

    def _on_probe_failed(self, event: ev.ProbeFailed, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            self._take_down(upstream, event.message, now_seconds)

    def _on_host_list(self, event: ev.HostListRead, now_seconds: float) -> None:
        reason = f"host list {event.host_list.version}"
        for name in self.upstreams.apply_list(_sorted(event.host_list), now_seconds):
            self.knowledge.forget(name)
            self.rates.forget(name, reason)
            self.state_changes.forget("upstream", name, reason)
        names = {upstream.name for upstream in self.upstreams}
        self.upstreams.departures.sweep(names, now_seconds)
        for upstream in self.upstreams:
            if upstream.entry.incarnation and upstream.is_runner:
                self.caches.observe(upstream)
            self._notice(upstream, reason, now_seconds)

    def _on_weights(self, event: ev.WeightsSeen, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return
        life = Life(event.incarnation, event.weights_version)
        known = upstream.last_life
        if known is not None and known.incarnation != event.incarnation:
            # Another life is for the list or a probe to tell.
            return
        if self.upstreams.note_life(upstream, life, event.is_own_report):
            self.caches.observe(upstream)
            self._notice(upstream, "its weights were seen", now_seconds)

    def _on_load(self, event: ev.LoadOrdered, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None or event.weights_version < upstream.load_version:
            return
        upstream.load_version = event.weights_version
        upstream.load_until_seconds = event.until_seconds
        self._notice(upstream, "the steward says so", now_seconds)

    def _on_targets(self, event: ev.TargetsRead, now_seconds: float) -> None:
        targets = self.upstreams.targets
        targets.learn(event.named, now_seconds)
        if event.read_at_seconds is None:
            targets.apply(event.targets, now_seconds)
        else:
            targets.read(
                event.targets,
                event.read_at_seconds,
                now_seconds,
                event.is_after_failure,
            )
        for target in targets.all_newest():
            state = f"version {target.weights_version}"
            self.state_changes.note("target", target.model, state, event.source)

    def _on_rate(self, event: ev.RateNamed, now_seconds: float) -> None:
        if self.upstreams.get(event.upstream) is None:
            return
        word = RateObservation(
            event.incarnation,
            event.requests_per_second,
            event.asked_at_seconds,
            now_seconds,
        )
        self.rates.record_answer(event.upstream, word, now_seconds)

    def _on_rate_limits_received(
        self, event: ev.RateLimitUpdateReceived, now_seconds: float
    ) -> None:
        self.rates.receive_update(event.update, now_seconds)

    def _on_signalled(self, event: ev.UpstreamSignalled, now_seconds: float) -> None:
        upstream = self.upstreams.get(event.upstream)
        incarnation = event.incarnation or (upstream.incarnation if upstream else "")
        if event.is_leaving:
            leaving = Incarnation(event.upstream, incarnation)
            self.upstreams.note_departure(leaving, now_seconds)
            if upstream is not None:
                self._notice(upstream, event.source, now_seconds)
        if event.pause_seconds is not None:
            paused = Incarnation(event.upstream, incarnation)
            self._pause(paused, event.pause_seconds, event.source, now_seconds)

    def _on_leaving_received(
        self, event: ev.LeavingUpdateReceived, now_seconds: float
    ) -> None:
        received = self.upstreams.receive_departures(event.update, now_seconds)
        for incarnation in received:
            upstream = self.upstreams.get(incarnation.upstream)
            if upstream is not None:
                self._notice(upstream, "a peer had an answer", now_seconds)

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
            asked = "no time" if pause_seconds is None else f"{pause_seconds:g} s"
            self._notice(upstream, f"{source}, it asks for {asked}", now_seconds)

    def end_pauses(self, now_seconds: float) -> None:
        """Drop the pauses that are over."""
        for incarnation in self.upstreams.pauses.expire(now_seconds):
            upstream = self.upstreams.get(incarnation.upstream)
            if upstream is not None:
                self._notice(upstream, "its pause is over", now_seconds)

    def _on_neighbours(self, event: ev.NeighboursSeen, now_seconds: float) -> None:
        self.turns.local_view = attrs.evolve(
            self.turns.local_view,
            live_peers=event.live_peers,
            is_leaving=event.is_leaving,
        )

    def _on_peer_gone(self, event: ev.PeerGone, now_seconds: float) -> None:
        self.peers.drop(event.name)
        self.ledger.hear(event.name, (), now_seconds)
        self.limits.forget(event.name)
        self.state_changes.forget("peer", event.name, "others speak for it now")

    def _on_peer(self, event: ev.PeerSummaryReceived, now_seconds: float) -> None:
        is_new = self.peers.receive_summary(
            event.name, event.hall, event.incarnation, event.summary, now_seconds
        )
        if is_new:
            self.state_changes.note("peer", event.name, "heard", "its summary came")
            self.ledger.hear(event.name, event.summary.workspaces, now_seconds)
            self.limits.receive_summary(
                event.name, event.summary, event.age_seconds, now_seconds
            )
            self._hear_down(event.summary.down, now_seconds)
            for placed in event.summary.placed:
                if not self.imports.note_reported(placed, now_seconds):
                    self.knowledge.note_reported(placed)

    def _hear_down(self, names: Sequence[str], now_seconds: float) -> None:
        """Suspect what a peer has found down.

        A relay puts together what each of its hosts found: were all of that taken, one
        overloaded moment would have every host ask every upstream and send nothing.
        """
        if len(names) > MAX_DOWN_TOLD_RATIO * len(self.upstreams):
            return
        for name in names:
            # Each host asks for itself: it may reach what the peer does not.
            upstream = self.upstreams.get(name)
            if upstream is not None and not upstream.is_heard(now_seconds):
                self.suspect(name, now_seconds)


def _sorted(host_list: HostList) -> HostList:
    hosts = sorted(host_list.hosts, key=lambda entry: entry.name)
    return HostList(version=host_list.version, hosts=hosts)
