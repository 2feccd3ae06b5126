"""Live peers and the last summary of each.

Summaries are ordered by incarnation, then by sequence; an older one never replaces a
newer one. A peer that is unresponsive for too long is considered dead. Its reported
load is then dropped, while its usage of the pool decays on its own. Time in which this
host itself did not run does not count as silence of its peers.
"""

from collections.abc import Iterator

import attrs

from rampwick_schema import ReprMixin, Summary

from ._change_log import ChangeLog
from ._link_monitor import CHECKS_PER_TIMEOUT, MAX_GAP_CHECKS
from ._reported_figures import without_implausible
from ._running_clock import RunningClock


@attrs.frozen(repr=False)
class PeerView(ReprMixin):
    """The newest summary of one peer."""

    name: str
    hall: str
    incarnation: int
    summary: Summary
    last_seen_seconds: float
    #: The same by the holder's ``RunningClock``.
    last_seen_running_seconds: float = 0.0


@attrs.frozen(repr=False)
class PeerLoad(ReprMixin):
    """Load of the peers at one upstream."""

    running_count: int = 0
    waiting_tokens: int = 0


NO_LOAD = PeerLoad()

_NO_DIFFERENCE = (0, 0)


class Membership:
    """All peers that sent a summary recently."""

    def __init__(self, dead_after_seconds: float) -> None:
        self._dead_after_seconds = dead_after_seconds
        self._views: dict[str, PeerView] = {}
        self._running_clock = RunningClock(
            MAX_GAP_CHECKS * dead_after_seconds / CHECKS_PER_TIMEOUT
        )
        # Sums over all views, updated incrementally so that placement does not iterate.
        self._loads: dict[tuple[str, str], PeerLoad] = {}
        #: Upstreams whose load by peers changed.
        self.load_changes = ChangeLog()
        #: Largest number of hosts that were alive at once, including this one.
        self.known_hosts_count = 1
        #: Summaries of which figures were ignored as implausible.
        self.ignored_count = 0
        #: Incremented whenever a summary is added, replaced or dropped.
        self.version = 0

    def receive_summary(
        self,
        name: str,
        hall: str,
        incarnation: int,
        summary: Summary,
        now_seconds: float,
    ) -> bool:
        """Record a summary; return false if it is older than the last."""
        plausible = without_implausible(summary)
        if plausible is not summary:
            self.ignored_count += 1
            summary = plausible
        known = self._views.get(name)
        order = (incarnation, summary.sequence)
        if known and order <= (known.incarnation, known.summary.sequence):
            since_seconds = self._live_since_seconds(now_seconds)
            is_unresponsive = known.last_seen_running_seconds <= since_seconds
            # Another relay may take over the reports of a hall; its summaries count
            # once the previous relay is unresponsive.
            if incarnation == known.incarnation or not is_unresponsive:
                return False
        self.version += 1
        self._replace_load(known.summary if known else None, summary)
        running_seconds = self._running_clock.read(now_seconds)
        self._views[name] = PeerView(
            name, hall, incarnation, summary, now_seconds, running_seconds
        )
        self.known_hosts_count = max(
            self.known_hosts_count, self.hosts_count(now_seconds)
        )
        return True

    def hosts_count(self, now_seconds: float) -> int:
        """Return the number of live hosts, including this one."""
        return 1 + sum(view.summary.hosts_count for view in self.live(now_seconds))

    def live(self, now_seconds: float) -> Iterator[PeerView]:
        """Yield the peers that sent a summary recently."""
        since_seconds = self._live_since_seconds(now_seconds)
        for view in self._views.values():
            if view.last_seen_running_seconds > since_seconds:
                yield view

    def note_check(self, now_seconds: float) -> None:
        """Record that this host runs, at each check of its links."""
        self._running_clock.note_check(now_seconds)

    def expire(self, now_seconds: float) -> list[PeerView]:
        """Drop and return the peers that have been unresponsive for too long."""
        live = {view.name for view in self.live(now_seconds)}
        expired = [view for name, view in self._views.items() if name not in live]
        for view in expired:
            self.version += 1
            del self._views[view.name]
            self._replace_load(view.summary, None)
        return expired

    def drop(self, name: str) -> None:
        """Drop a peer and its reported load."""
        known = self._views.pop(name, None)
        if known is not None:
            self.version += 1
            self._replace_load(known.summary, None)

    def has_live_peers(self, now_seconds: float) -> bool:
        """Return whether any peer is alive."""
        return next(self.live(now_seconds), None) is not None

    def own_share_ratio(self, now_seconds: float) -> float:
        """Return the share of the pool that this host may use.

        With a live peer it is the whole pool, since usage is then counted together.
        Without one it is an equal share, by the last known size of the fleet.
        """
        if self.has_live_peers(now_seconds):
            return 1.0
        return 1.0 / self.known_hosts_count

    @property
    def running_count(self) -> int:
        """Number of requests that the peers run at all upstreams."""
        return sum(load.running_count for load in self._loads.values())

    def load_of(self, upstream: str, incarnation: str) -> "PeerLoad":
        """Return the load of all peers that have not expired at an upstream."""
        return self._loads.get((upstream, incarnation), NO_LOAD)

    def _live_since_seconds(self, now_seconds: float) -> float:
        """Return the running time after which a live peer was seen."""
        return self._running_clock.read(now_seconds) - self._dead_after_seconds

    def _replace_load(self, old: Summary | None, new: Summary | None) -> None:
        differences: dict[tuple[str, str], tuple[int, int]] = {}
        for usage in new.upstreams if new is not None else ():
            key = (usage.upstream, usage.incarnation)
            known = differences.get(key, _NO_DIFFERENCE)
            differences[key] = (
                known[0] + usage.running_count,
                known[1] + usage.waiting_tokens,
            )
        for usage in old.upstreams if old is not None else ():
            key = (usage.upstream, usage.incarnation)
            known = differences.get(key, _NO_DIFFERENCE)
            differences[key] = (
                known[0] - usage.running_count,
                known[1] - usage.waiting_tokens,
            )
        for key, difference in differences.items():
            if difference != _NO_DIFFERENCE:
                self._add_load(key, *difference)

    def _add_load(
        self, key: tuple[str, str], running_count: int, waiting_tokens: int
    ) -> None:
        old = self._loads.get(key, NO_LOAD)
        load = PeerLoad(
            old.running_count + running_count, old.waiting_tokens + waiting_tokens
        )
        if load.running_count or load.waiting_tokens:
            self._loads[key] = load
        else:
            self._loads.pop(key, None)
        self.load_changes.note(key[0])
