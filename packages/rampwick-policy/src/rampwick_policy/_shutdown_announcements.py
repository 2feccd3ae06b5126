"""Upstreams that announced their shutdown in a response to a host."""

from collections.abc import Callable, Collection, Iterable

import attrs

from rampwick_schema import LeavingUpdate, LeavingUpstream, ReprMixin

#: Retention of an announcement after the upstream is no longer listed: an entry that
#: expired in an outage of the store may be written again for the same incarnation.
UNLISTED_SECONDS = 600.0

#: Time for which updates are retransmitted. Covers messages dropped by a full send
#: queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0


@attrs.frozen(repr=False)
class Incarnation(ReprMixin):
    """One run of an upstream process, from its start to its exit."""

    upstream: str
    #: Empty if the upstream does not report an incarnation.
    name: str


class ShutdownAnnouncements:
    """The incarnations that are shutting down; an announcement is never retracted."""

    def __init__(self) -> None:
        self._announced_at: dict[Incarnation, float] = {}
        self._pending: set[Incarnation] = set()
        #: When each was broadcast by this host, for retransmissions.
        self._broadcast_at: dict[Incarnation, float] = {}
        #: Called when there is an update to broadcast.
        self.on_update: Callable[[], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._announced_at)

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._announced_at

    def note(self, incarnation: Incarnation, now_seconds: float) -> bool:
        """Record an announcement in a response to this host.

        Return whether it is new; only a new one is broadcast to peers.
        """
        if not self._add(incarnation, now_seconds):
            return False
        self._pending.add(incarnation)
        self.on_update()
        return True

    def receive_update(
        self, update: LeavingUpdate, now_seconds: float
    ) -> list[Incarnation]:
        """Apply a peer's update; return the incarnations that are new."""
        received = [
            Incarnation(item.upstream, item.incarnation) for item in update.leaving
        ]
        return [item for item in received if self._add(item, now_seconds)]

    def _add(self, incarnation: Incarnation, now_seconds: float) -> bool:
        if incarnation in self._announced_at:
            return False
        self._announced_at[incarnation] = now_seconds
        return True

    def take_update(self, now_seconds: float) -> LeavingUpdate | None:
        """Return the announcements not broadcast yet, or None."""
        pending, self._pending = self._pending, set()
        self._broadcast_at.update(dict.fromkeys(pending, now_seconds))
        return _to_update(pending)

    def take_retransmission(self, now_seconds: float) -> LeavingUpdate | None:
        """Return the announcements broadcast recently, or None."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        self._broadcast_at = {
            incarnation: at_seconds
            for incarnation, at_seconds in self._broadcast_at.items()
            if at_seconds > oldest_seconds
        }
        return _to_update(self._broadcast_at)

    def initial_state(self, now_seconds: float) -> LeavingUpdate | None:
        """Return the announcements for a newly connected host, or None."""
        return _to_update(self._announced_at)

    def sweep(self, listed: Collection[str], now_seconds: float) -> None:
        """Drop the announcements of upstreams that have not been listed for long."""
        oldest_seconds = now_seconds - UNLISTED_SECONDS
        for incarnation, announced_at_seconds in list(self._announced_at.items()):
            if incarnation.upstream in listed:
                self._announced_at[incarnation] = now_seconds
            elif announced_at_seconds < oldest_seconds:
                del self._announced_at[incarnation]


def _to_update(incarnations: Iterable[Incarnation]) -> LeavingUpdate | None:
    announcements = [
        LeavingUpstream(item.upstream, item.name)
        for item in sorted(incarnations, key=lambda item: (item.upstream, item.name))
    ]
    return LeavingUpdate(announcements) if announcements else None


def _do_nothing() -> None:
    return
