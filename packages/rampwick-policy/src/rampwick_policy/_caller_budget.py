"""Budget of memory that all callers of a process share.

What a caller makes the process hold is charged from the first byte that is read until
the last copy is freed: its connection, the parts of a request that arrive, and the
whole request until its response has ended.

When the budget is used up, what has waited longest for its caller is ended: a
connection without a request is closed, a request that arrives too slowly is given up.
If there is none, what asks for more is refused: it has not run, and others are about to
complete.
"""

import enum

import attrs

from rampwick_schema import ReprMixin

#: Size from which a request counts as large, and the share of the budget that large
#: requests may use. The rest is for the many small ones.
LARGE_REQUEST_BYTES = 262_144
MAX_LARGE_RATIO = 0.75

#: Rate that a request must keep as it arrives so that it is not given up when others
#: need its room, and the time by which it may be late. It is below the rate at which
#: the largest request can arrive within its timeout.
MIN_BYTES_PER_SECOND = 65_536.0
MAX_LATE_SECONDS = 1.0


class HolderState(enum.Enum):
    """What a holder of memory is doing."""

    #: A connection without a request. Its close loses nothing.
    IDLE = "idle"
    #: A request, or its head, is arriving.
    RECEIVING = "receiving"
    #: It can't be ended for the sake of others.
    KEPT = "kept"


@attrs.define(eq=False, repr=False)
class MemoryHolder(ReprMixin):
    """Memory that one connection or one request of a caller takes."""

    state: HolderState
    #: When the state began.
    since_seconds: float
    held_bytes: int = 0
    #: Bytes of the request that have arrived.
    received_bytes: int = 0
    #: Whether it is a connection, and whether the connection ends with it.
    is_connection: bool = False
    ends_connection: bool = False
    #: Whether it is being ended for the sake of others; its memory is freed shortly.
    is_evicted: bool = False

    def set_state(self, state: HolderState, now_seconds: float) -> None:
        """Enter a state, whose time begins anew unless it is the current one."""
        if state is not self.state:
            self.state = state
            self.since_seconds = now_seconds
            self.received_bytes = 0

    def overdue_seconds(self, now_seconds: float) -> float | None:
        """Return for how long its caller is awaited; none if it may not be ended."""
        waited_seconds = now_seconds - self.since_seconds
        if self.state is HolderState.IDLE:
            return waited_seconds
        if self.state is HolderState.KEPT:
            return None
        late_seconds = waited_seconds - self.received_bytes / MIN_BYTES_PER_SECOND
        return late_seconds if late_seconds > MAX_LATE_SECONDS else None


@attrs.frozen(repr=False)
class Reservation(ReprMixin):
    """What becomes of a request for memory."""

    is_granted: bool
    #: Holders that must be ended now.
    evicted: list[MemoryHolder] = attrs.field(factory=list)


class CallerBudget:
    """Memory held for all callers, bounded in bytes and in connections."""

    def __init__(self, max_bytes: int, max_connections_count: int) -> None:
        self.max_bytes = max_bytes
        self.max_connections_count = max_connections_count
        #: By age, the oldest first.
        self._holders: dict[MemoryHolder, None] = {}
        self.held_bytes = 0
        self.peak_bytes = 0
        self.connections_count = 0

    def add_connection(
        self, holder: MemoryHolder, held_bytes: int, now_seconds: float
    ) -> Reservation:
        """Add a connection, or refuse it."""
        holder.is_connection = holder.ends_connection = True
        evicted: list[MemoryHolder] = []
        if self.connections_count >= self.max_connections_count:
            found = self._evictable(now_seconds, must_end_connection=True)
            if not found:
                return Reservation(False)
            self._evict(found[0])
            evicted.append(found[0])
        self.connections_count += 1
        self._holders[holder] = None
        reservation = self.resize(holder, held_bytes, now_seconds)
        if not reservation.is_granted:
            self.remove(holder)
        return attrs.evolve(reservation, evicted=evicted + reservation.evicted)

    def add(self, holder: MemoryHolder) -> None:
        """Add a request, which holds nothing yet."""
        self._holders[holder] = None

    def remove(self, holder: MemoryHolder) -> None:
        """Release what a holder has."""
        if self._holders.pop(holder, self) is None:
            self.held_bytes -= holder.held_bytes
            self.connections_count -= holder.is_connection

    def resize(
        self, holder: MemoryHolder, held_bytes: int, now_seconds: float
    ) -> Reservation:
        """Change what a holder has, if there is room or room can be made."""
        if holder not in self._holders:
            return Reservation(False)
        added_bytes = held_bytes - holder.held_bytes
        excess_bytes = self.held_bytes + added_bytes - self._max_bytes_for(held_bytes)
        evicted: list[MemoryHolder] = []
        if added_bytes > 0 and excess_bytes > 0:
            evicted = self._make_room(holder, excess_bytes, now_seconds)
            if not evicted:
                return Reservation(False)
        self.held_bytes += added_bytes
        holder.held_bytes = held_bytes
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        return Reservation(True, evicted)

    def can_hold(self, held_bytes: int) -> bool:
        """Return whether so much fits if nothing else is held."""
        return held_bytes <= self._max_bytes_for(held_bytes)

    def _max_bytes_for(self, held_bytes: int) -> float:
        is_large = held_bytes >= LARGE_REQUEST_BYTES
        return self.max_bytes * (MAX_LARGE_RATIO if is_large else 1.0)

    def _make_room(
        self, asking: MemoryHolder, excess_bytes: float, now_seconds: float
    ) -> list[MemoryHolder]:
        """End what frees enough; nothing if all of it does not."""
        ended = []
        for holder in self._evictable(now_seconds):
            if holder is asking:
                continue
            ended.append(holder)
            excess_bytes -= holder.held_bytes
            if excess_bytes <= 0:
                for item in ended:
                    self._evict(item)
                return ended
        return []

    def _evictable(
        self, now_seconds: float, *, must_end_connection: bool = False
    ) -> list[MemoryHolder]:
        """Return what may be ended; first what has waited longest for its caller."""
        overdue = [
            (overdue_seconds, holder)
            for holder in self._holders
            if holder.ends_connection or not must_end_connection
            if (overdue_seconds := holder.overdue_seconds(now_seconds)) is not None
        ]
        overdue.sort(key=lambda item: -item[0])
        return [holder for _, holder in overdue]

    def _evict(self, holder: MemoryHolder) -> None:
        holder.is_evicted = True
        self.remove(holder)
