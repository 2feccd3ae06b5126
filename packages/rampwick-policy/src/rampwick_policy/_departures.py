"""Upstreams that announced their shutdown in an answer."""

from collections.abc import Callable, Collection, Iterable

import attrs

from rampwick_schema import LeavingUpdate, LeavingUpstream, ReprMixin

#: Time for which the announcement of an upstream that is no longer listed is kept: an
#: entry that lapsed with the store may come back for the same incarnation.
UNLISTED_SECONDS = 600.0

#: Covers messages dropped by a full send queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0


@attrs.frozen(repr=False)
class Incarnation(ReprMixin):
    """One run of an upstream, from its start to its end."""

    upstream: str
    #: Empty where incarnations are not told apart.
    name: str


class Departures:
    """The incarnations that are shutting down; none of them ever takes that back."""

    def __init__(self) -> None:
        self._noted_at: dict[Incarnation, float] = {}
        self._pending: set[Incarnation] = set()
        #: When each was broadcast by this host, for retransmissions.
        self._broadcast_at: dict[Incarnation, float] = {}
        #: Called when there is an update to broadcast.
        self.on_update: Callable[[], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._noted_at)

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._noted_at

    def note(self, incarnation: Incarnation, now_seconds: float) -> bool:
        """Note an announcement that an answer to this host made.

        Return whether it is the first; peers are sent it then.
        """
        if not self._add(incarnation, now_seconds):
            return False
        self._pending.add(incarnation)
        self.on_update()
        return True

    def receive(self, update: LeavingUpdate, now_seconds: float) -> list[Incarnation]:
        """Take a peer's update; return what was not known here."""
        received = [
            Incarnation(item.upstream, item.incarnation) for item in update.leaving
        ]
        return [item for item in received if self._add(item, now_seconds)]

    def _add(self, incarnation: Incarnation, now_seconds: float) -> bool:
        if incarnation in self._noted_at:
            return False
        self._noted_at[incarnation] = now_seconds
        return True

    def take_update(self, now_seconds: float) -> LeavingUpdate | None:
        """Return what was not broadcast yet; none if nothing is new."""
        pending, self._pending = self._pending, set()
        self._broadcast_at.update(dict.fromkeys(pending, now_seconds))
        return _to_update(pending)

    def take_retransmission(self, now_seconds: float) -> LeavingUpdate | None:
        """Return what was broadcast of late; none if nothing was."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        self._broadcast_at = {
            incarnation: at_seconds
            for incarnation, at_seconds in self._broadcast_at.items()
            if at_seconds > oldest_seconds
        }
        return _to_update(self._broadcast_at)

    def initial_state(self, now_seconds: float) -> LeavingUpdate | None:
        """Return what a host needs that has just connected; none if nothing."""
        return _to_update(self._noted_at)

    def sweep(self, listed: Collection[str], now_seconds: float) -> None:
        """Drop what concerns upstreams that have not been listed for long."""
        oldest_seconds = now_seconds - UNLISTED_SECONDS
        for incarnation, noted_at_seconds in list(self._noted_at.items()):
            if incarnation.upstream in listed:
                self._noted_at[incarnation] = now_seconds
            elif noted_at_seconds < oldest_seconds:
                del self._noted_at[incarnation]


def _to_update(incarnations: Iterable[Incarnation]) -> LeavingUpdate | None:
    leaving = [
        LeavingUpstream(item.upstream, item.name)
        for item in sorted(incarnations, key=lambda item: (item.upstream, item.name))
    ]
    return LeavingUpdate(leaving) if leaving else None


def _do_nothing() -> None:
    return
