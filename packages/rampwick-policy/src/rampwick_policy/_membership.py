"""Which peers are alive and what each said last.

A peer's report counts by incarnation, then by sequence: an older one never
overrides newer. A peer that is silent for too long counts as gone; what it said of
running work is then dropped, while its use of the pool decays by itself.
"""

from collections.abc import Iterator

import attrs

from rampwick_schema import ReprMixin, Summary


@attrs.frozen(repr=False)
class PeerView(ReprMixin):
    """The newest word of one peer."""

    name: str
    hall: str
    incarnation: int
    summary: Summary
    heard_at_seconds: float


@attrs.frozen(repr=False)
class PeerLoad(ReprMixin):
    """What peers have under way at one upstream."""

    running_count: int = 0
    waiting_tokens: int = 0


NO_LOAD = PeerLoad()


class Membership:
    """All peers that this host has heard in a while."""

    def __init__(self, dead_after_seconds: float) -> None:
        self._dead_after_seconds = dead_after_seconds
        self._views: dict[str, PeerView] = {}
        # Sums over all views, kept up to date so that a choice costs no walk.
        self._loads: dict[tuple[str, str], PeerLoad] = {}
        #: Most hosts that were alive at once of late, this one included.
        self.known_hosts_count = 1

    def hear(
        self,
        name: str,
        hall: str,
        incarnation: int,
        summary: Summary,
        now_seconds: float,
    ) -> bool:
        """Take a summary; return false for one that is older than the last."""
        known = self._views.get(name)
        order = (incarnation, summary.sequence)
        if known and order <= (known.incarnation, known.summary.sequence):
            is_silent = now_seconds - known.heard_at_seconds >= self._dead_after_seconds
            # Another relay may speak for a hall; it counts from when the one before
            # has fallen silent.
            if incarnation == known.incarnation or not is_silent:
                return False
        if known:
            self._count(known.summary, sign=-1)
        self._count(summary, sign=1)
        self._views[name] = PeerView(name, hall, incarnation, summary, now_seconds)
        self.known_hosts_count = max(
            self.known_hosts_count, self.hosts_count(now_seconds)
        )
        return True

    def hosts_count(self, now_seconds: float) -> int:
        """Return the hosts that are alive, this one included."""
        return 1 + sum(view.summary.hosts_count for view in self.live(now_seconds))

    def live(self, now_seconds: float) -> Iterator[PeerView]:
        """Yield the peers that were heard recently."""
        for view in self._views.values():
            if now_seconds - view.heard_at_seconds < self._dead_after_seconds:
                yield view

    def expire(self, now_seconds: float) -> list[PeerView]:
        """Drop and return the peers that have been silent for too long."""
        live = {view.name for view in self.live(now_seconds)}
        gone = [view for name, view in self._views.items() if name not in live]
        for view in gone:
            del self._views[view.name]
            self._count(view.summary, sign=-1)
        return gone

    def drop(self, name: str) -> None:
        """Forget a peer and what it said of its load."""
        known = self._views.pop(name, None)
        if known is not None:
            self._count(known.summary, sign=-1)

    def hears_anyone(self, now_seconds: float) -> bool:
        """Return whether any peer is alive as far as this host knows."""
        return next(self.live(now_seconds), None) is not None

    def own_part_ratio(self, now_seconds: float) -> float:
        """Return the part of the pool that this host may use on its own.

        While it hears a peer, the whole: use is then counted together. A host that
        hears nobody takes an equal part of the fleet it last knew.
        """
        if self.hears_anyone(now_seconds):
            return 1.0
        return 1.0 / self.known_hosts_count

    def load_of(self, upstream: str, incarnation: str) -> "PeerLoad":
        """Return what peers, those not yet expired, have under way at an upstream."""
        return self._loads.get((upstream, incarnation), NO_LOAD)

    def _count(self, summary: Summary, sign: int) -> None:
        loads = self._loads
        for usage in summary.upstreams:
            key = (usage.upstream, usage.incarnation)
            old = loads.get(key, NO_LOAD)
            running_count = old.running_count + sign * usage.running_count
            waiting_tokens = old.waiting_tokens + sign * usage.waiting_tokens
            if running_count or waiting_tokens:
                loads[key] = PeerLoad(running_count, waiting_tokens)
            else:
                loads.pop(key, None)
