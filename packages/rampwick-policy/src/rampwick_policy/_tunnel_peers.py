"""Choice of the peers through which a host opens its tunnels to upstreams."""

from collections import Counter
from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._roles import Member

#: Maximum number of peers tried for one connection.
MAX_TRIED_COUNT = 3

#: Time for which a peer that refused or failed is tried after all others.
AVOIDED_SECONDS = 2.0

#: Refusals that concern one upstream only; others concern the peer.
UNREACHABLE = "unreachable"
TUNNELLED = "tunnelled"
UNKNOWN = "unknown"
BUSY = "busy"
LEAVING = "leaving"
REFUSALS_OF_ONE_UPSTREAM = (UNREACHABLE, UNKNOWN)


@attrs.define(repr=False)
class TunnelPeers(ReprMixin):
    """Ranks peers for tunnels by what they refused and by the tunnels open there."""

    own: Member
    #: Number of this host's open tunnels by peer.
    _open_counts: Counter[str] = attrs.field(factory=Counter)
    #: Until when a peer is avoided: for all upstreams (empty name), or for one.
    _avoided_until_seconds: dict[tuple[str, str], float] = attrs.field(factory=dict)

    @property
    def open_counts(self) -> dict[str, int]:
        """Number of open tunnels by peer."""
        return {name: count for name, count in self._open_counts.items() if count}

    def rank(
        self,
        members: Iterable[Member],
        upstream: str,
        upstream_hall: str,
        now_seconds: float,
    ) -> list[Member]:
        """Return the peers to try for a connection, best first.

        Peers in the hall of this host or of the upstream come first, since traffic
        through another hall crosses between halls twice. Among them the one with the
        fewest tunnels of this host comes first; equal ones differ between hosts.
        """
        candidates = {item.name: item for item in members if item.name != self.own.name}
        order = _rendezvous.rank(self.own.name.encode(), candidates)
        halls = (self.own.hall, upstream_hall)

        def cost(name: str) -> tuple[bool, bool, int]:
            return (
                self._is_avoided(name, upstream, now_seconds),
                candidates[name].hall not in halls,
                self._open_counts[name],
            )

        best = sorted(order, key=cost)[:MAX_TRIED_COUNT]
        return [candidates[name] for name in best]

    def _is_avoided(self, name: str, upstream: str, now_seconds: float) -> bool:
        return any(
            now_seconds < self._avoided_until_seconds.get((name, scope), -1.0)
            for scope in ("", upstream)
        )

    def note_opened(self, name: str) -> None:
        """Record a tunnel that was opened through a peer."""
        self._open_counts[name] += 1

    def note_closed(self, name: str) -> None:
        """Record that a tunnel through a peer was closed."""
        self._open_counts[name] -= 1

    def note_refused(
        self, name: str, upstream: str, refusal: str, now_seconds: float
    ) -> None:
        """Record that a peer refused a tunnel, or failed; avoid it for a while."""
        scope = upstream if refusal in REFUSALS_OF_ONE_UPSTREAM else ""
        self._avoided_until_seconds = {
            key: until
            for key, until in self._avoided_until_seconds.items()
            if until > now_seconds
        }
        self._avoided_until_seconds[name, scope] = now_seconds + AVOIDED_SECONDS
