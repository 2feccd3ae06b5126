"""Choice of the peers through which a host opens its tunnels to upstreams."""

from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._roles import Member

#: Maximum number of peers tried for one connection.
MAX_TRIED_COUNT = 3

#: Time for which a peer that refused or failed is tried after all others, and the same
#: for a peer that uses tunnels itself, and for its hall: links of a hall fail together.
AVOIDED_SECONDS = 2.0
CUT_OFF_SECONDS = 5.0

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
    #: Number of this host's tunnels by peer, open or being opened.
    _open_counts: Counter[str] = attrs.field(factory=Counter)
    #: Until when a peer is avoided: for all upstreams (empty name), or for one.
    _avoided_until_seconds: dict[tuple[str, str], float] = attrs.field(factory=dict)
    #: Until when the hosts of a hall are tried after those of others.
    _hall_avoided_until_seconds: dict[str, float] = attrs.field(factory=dict)
    #: Order of the last candidates, which seldom change.
    _names: frozenset[str] = frozenset()
    _order: list[str] = attrs.field(factory=list)

    @property
    def open_counts(self) -> dict[str, int]:
        """Number of tunnels by peer, open or being opened."""
        return {name: count for name, count in self._open_counts.items() if count}

    def choose(
        self,
        members: Iterable[Member],
        upstream: str,
        upstream_hall: str,
        tried: Collection[str],
        now_seconds: float,
    ) -> Member | None:
        """Return the next peer to try for a connection; ``None`` if none is left.

        Those that refused all upstreams come last, behind those that did not reach this
        one. The peer with the fewest tunnels of this host comes first, so that no peer
        carries much more than others. Of equal ones, those in the hall of this host or
        of the upstream come first, since traffic through another hall crosses between
        halls twice; the rest differs between hosts.
        """
        if len(tried) >= MAX_TRIED_COUNT:
            return None
        candidates = {item.name: item for item in members if item.name != self.own.name}
        halls = (self.own.hall, upstream_hall)

        def cost(name: str) -> tuple[bool, bool, bool, int, bool]:
            hall = candidates[name].hall
            return (
                self._is_avoided(name, "", now_seconds),
                self._is_avoided(name, upstream, now_seconds),
                now_seconds < self._hall_avoided_until_seconds.get(hall, -1.0),
                self._open_counts[name],
                hall not in halls,
            )

        order = self._ordered(candidates)
        best = min((name for name in order if name not in tried), key=cost, default="")
        return candidates.get(best)

    def _ordered(self, candidates: Collection[str]) -> list[str]:
        """Return the names in an order that differs between hosts."""
        names = frozenset(candidates)
        if names != self._names:
            self._names = names
            self._order = _rendezvous.rank(self.own.name.encode(), names)
        return self._order

    def _is_avoided(self, name: str, scope: str, now_seconds: float) -> bool:
        return now_seconds < self._avoided_until_seconds.get((name, scope), -1.0)

    def note_begun(self, name: str) -> None:
        """Record that a tunnel through a peer is being opened.

        It counts at once, so that tunnels that are opened together spread over peers.
        """
        self._open_counts[name] += 1

    def note_opened(self, name: str, upstream: str) -> None:
        """Record that a peer has opened a tunnel, and thus reaches the upstream."""
        self._avoided_until_seconds.pop((name, upstream), None)

    def note_closed(self, name: str) -> None:
        """Record that a tunnel through a peer was closed, or was not opened."""
        self._open_counts[name] -= 1

    def note_refused(
        self, peer: Member, upstream: str, refusal: str, now_seconds: float
    ) -> None:
        """Record that a peer refused a tunnel, or failed; avoid it for a while."""
        avoided_seconds = AVOIDED_SECONDS
        if refusal == TUNNELLED:
            avoided_seconds = CUT_OFF_SECONDS
            self._hall_avoided_until_seconds[peer.hall] = now_seconds + avoided_seconds
        scope = upstream if refusal in REFUSALS_OF_ONE_UPSTREAM else ""
        self._avoided_until_seconds = {
            key: until
            for key, until in self._avoided_until_seconds.items()
            if until > now_seconds
        }
        self._avoided_until_seconds[peer.name, scope] = now_seconds + avoided_seconds
