"""Messages to peers that wait for room on the own link, and which of them is next.

A *state* is superseded by a newer one of its kind for the same peer and then dropped. A
*difference* is needed by its receiver and is never dropped while its link is open.
"""

import enum
import math
from collections import deque
from typing import Generic, TypeVar

import attrs

from rampwick_schema import ReprMixin

from ._send_budget import SendBudget

PeerT = TypeVar("PeerT")

#: Time for which nothing is sent to a peer that did not accept a message.
BLOCKED_SECONDS = 0.25


@attrs.frozen(repr=False)
class _KindTraits(ReprMixin):
    """How messages of one kind wait."""

    label: str
    #: Share of the link relative to other kinds.
    weight: float
    #: Whether the messages are differences; else they are states.
    is_difference: bool
    #: Time after which the messages are overdue. Hosts that receive nothing of the
    #: others for longer take them for dead.
    overdue_seconds: float = math.inf


class MessageKind(enum.Enum):
    """Kinds of messages that may wait.

    Kinds with waiting messages share the link in proportion to their weights, unless
    one is overdue, which is then sent first.
    """

    #: Sums of the fleet, for the own hall.
    FLEET_SUMMARY = _KindTraits(
        "fleet summary", weight=4.0, is_difference=False, overdue_seconds=1.0
    )
    #: Sums of the own hall, for other halls.
    HALL_SUMMARY = _KindTraits(
        "hall summary", weight=2.0, is_difference=False, overdue_seconds=0.25
    )
    #: Records of begun streams.
    BEGUN_STREAMS = _KindTraits("begun streams", weight=2.0, is_difference=True)
    #: Records of begun streams that a new peer lacks. New records do not wait for them.
    BEGUN_STREAM_STATES = _KindTraits(
        "begun stream states", weight=1.0, is_difference=True
    )
    #: Cache events.
    CACHE_EVENTS = _KindTraits("cache events", weight=2.0, is_difference=True)

    @property
    def weight(self) -> float:
        """Share of the link relative to other kinds."""
        return self.value.weight

    @property
    def is_difference(self) -> bool:
        """Whether the messages are differences; else they are states."""
        return self.value.is_difference

    @property
    def overdue_seconds(self) -> float:
        """Time after which the messages are overdue."""
        return self.value.overdue_seconds


@attrs.define(eq=False, repr=False)
class _Lane(ReprMixin, Generic[PeerT]):
    """Messages of one kind by peer; the peer that is first is served next."""

    waiting: dict[PeerT, deque[bytes]] = attrs.field(factory=dict)
    #: Bytes sent, divided by the weight. The lane with the fewest is next.
    virtual_bytes: float = 0.0
    #: Time since which messages have been waiting.
    since_seconds: float = 0.0


@attrs.frozen(repr=False)
class QueuedMessage(ReprMixin, Generic[PeerT]):
    """A message that is to be sent now."""

    kind: MessageKind
    peer: PeerT
    data: bytes


class PacedQueue(Generic[PeerT]):
    """Encoded messages by kind and peer, sent as fast as the budget allows."""

    def __init__(self, budget: SendBudget) -> None:
        self.budget = budget
        self._lanes: dict[MessageKind, _Lane[PeerT]]
        self._lanes = {kind: _Lane() for kind in MessageKind}
        self._blocked_until: dict[PeerT, float] = {}

    def put_state(
        self, kind: MessageKind, peer: PeerT, data: bytes, now_seconds: float
    ) -> None:
        """Add a state; one that still waits for this peer is replaced in its place."""
        self._start(kind, now_seconds).waiting[peer] = deque([data])

    def put_difference(
        self, kind: MessageKind, peer: PeerT, data: bytes, now_seconds: float
    ) -> None:
        """Add a difference after those that already wait for this peer."""
        lane = self._start(kind, now_seconds)
        lane.waiting.setdefault(peer, deque()).append(data)

    def take(self, now_seconds: float) -> QueuedMessage[PeerT] | None:
        """Return the next message if one may be sent now, and spend its bytes."""
        if self.budget.wait_seconds(now_seconds) > 0.0:
            return None
        self._blocked_until = {
            peer: until_seconds
            for peer, until_seconds in self._blocked_until.items()
            if until_seconds > now_seconds
        }
        for kind in sorted(MessageKind, key=lambda kind: self._turn(kind, now_seconds)):
            lane = self._lanes[kind]
            peer = self._next_peer(lane)
            if peer is None:
                continue
            messages = lane.waiting.pop(peer)
            data = messages.popleft()
            if messages:
                lane.waiting[peer] = messages
            lane.virtual_bytes += len(data) / kind.weight
            self.budget.spend(len(data), now_seconds)
            return QueuedMessage(kind, peer, data)
        return None

    def _turn(self, kind: MessageKind, now_seconds: float) -> tuple[bool, float]:
        """Return the sort key of a kind; the lowest is sent next."""
        lane = self._lanes[kind]
        is_overdue = now_seconds - lane.since_seconds > kind.overdue_seconds
        return not (lane.waiting and is_overdue), lane.virtual_bytes

    def refund(self, message: QueuedMessage[PeerT]) -> None:
        """Give back what a message was charged that its peer did not accept."""
        size_bytes = len(message.data)
        self._lanes[message.kind].virtual_bytes -= size_bytes / message.kind.weight
        self.budget.refund(size_bytes)

    def return_blocked(self, message: QueuedMessage[PeerT], now_seconds: float) -> None:
        """Put back a difference that its peer was too slow to accept."""
        lane = self._lanes[message.kind]
        lane.waiting.setdefault(message.peer, deque()).appendleft(message.data)
        self._blocked_until[message.peer] = now_seconds + BLOCKED_SECONDS

    def waiting_bytes(self, peer: PeerT) -> int:
        """Return the size of all messages that wait for a peer."""
        return sum(
            len(data)
            for lane in self._lanes.values()
            for data in lane.waiting.get(peer, ())
        )

    def remove(self, peer: PeerT) -> None:
        """Drop what waits for a peer whose link has closed, or that is too slow."""
        for lane in self._lanes.values():
            lane.waiting.pop(peer, None)
        self._blocked_until.pop(peer, None)

    def is_sent(self, kind: MessageKind) -> bool:
        """Return whether no message of a kind waits, but for slow peers."""
        return self._next_peer(self._lanes[kind]) is None

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the time until ``take`` may return a message; infinity if empty."""
        waiting = {peer for lane in self._lanes.values() for peer in lane.waiting}
        if not waiting:
            return math.inf
        blocked_seconds = min(
            max(0.0, self._blocked_until.get(peer, now_seconds) - now_seconds)
            for peer in waiting
        )
        return max(blocked_seconds, self.budget.wait_seconds(now_seconds))

    def _start(self, kind: MessageKind, now_seconds: float) -> _Lane[PeerT]:
        """Return a kind's lane; one that was empty gets no credit for that time."""
        lane = self._lanes[kind]
        if not lane.waiting:
            busy = [item.virtual_bytes for item in self._lanes.values() if item.waiting]
            lane.virtual_bytes = max(lane.virtual_bytes, min(busy, default=0.0))
            lane.since_seconds = now_seconds
        return lane

    def _next_peer(self, lane: _Lane[PeerT]) -> PeerT | None:
        return next(
            (peer for peer in lane.waiting if peer not in self._blocked_until), None
        )
