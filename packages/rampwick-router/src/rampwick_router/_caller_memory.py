"""Memory that callers' connections and requests take, within the budget of all."""

import enum
import resource
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from prometheus_client import Counter

from rampwick_policy import CallerBudget, HolderState, MemoryHolder, Reservation
from rampwick_schema import LimitSettings

from ._errors import CallerError
from ._logs import ComponentLogger

#: Share of a process's memory that callers may take. The rest is for the program, the
#: answers that are buffered, and what arrives on connections that are not read yet.
CALLERS_RATIO = 0.25

#: Memory of the process for each connection that callers may have.
BYTES_PER_CONNECTION = 150_000

#: Share of a process's descriptors that callers' connections may take. The others are
#: for upstreams, peers, the platform, the other listeners and files.
CALLERS_FILES_RATIO = 0.75

#: Memory of a connection without a request: its socket, buffers, parser and tasks.
CONNECTION_BYTES = 32_768

#: Memory of a request beside its head and body: its task and its exchange.
REQUEST_BYTES = 8_192

#: Memory of a header beside its bytes, in the parser and in the request.
HEADER_BYTES = 400

#: Memory for what may arrive on a connection that is not read, as its caller has sent
#: more than the current request: in the kernel, in the server's reader and its parser.
UNREAD_BYTES = 196_608

#: Bodies that are read on after their response at once, so that callers which send more
#: than is wanted don't take the time of others.
MAX_DISCARDING_COUNT = 16

#: Interval between log lines on one bound. Callers choose how many they reach.
LOG_SECONDS = 1.0

#: When a caller that was refused for lack of memory may try again. Requests that have
#: stalled since may be ended for it by then.
RETRY_SECONDS = 1.0

log = ComponentLogger("entry")


class CallerBound(enum.Enum):
    """The bounds on what callers hold or send."""

    CONNECTIONS = "connections"
    MEMORY = "memory"
    CHUNKS = "chunks"
    FRAMES = "frames"
    DISCARDED = "discarded bodies"


def make_budget(limits: LimitSettings) -> CallerBudget:
    """Return the budget of a process with these settings."""
    memory_bytes = limits.process_memory_bytes
    files_count = limits.max_files_count
    soft_count, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft_count != resource.RLIM_INFINITY:
        files_count = min(files_count or soft_count, soft_count)
    connections_count = memory_bytes // BYTES_PER_CONNECTION
    if files_count:
        by_files_count = int(files_count * CALLERS_FILES_RATIO)
        connections_count = min(connections_count, by_files_count)
    return CallerBudget(
        limits.max_caller_bytes or int(memory_bytes * CALLERS_RATIO),
        limits.max_caller_connections_count or connections_count,
    )


class HeldMemory:
    """What one connection or request of a caller holds."""

    def __init__(
        self, memory: "CallerMemory", holder: MemoryHolder, end: Callable[[], None]
    ) -> None:
        """``end`` ends it for the sake of others."""
        self._memory = memory
        self.holder = holder
        self.end = end

    def hold(self, held_bytes: int) -> bool:
        """Set what is held; return whether there was room for it."""
        return self._memory.resize(self.holder, held_bytes)

    def set_state(self, state: HolderState) -> None:
        """Set what the holder does."""
        self.holder.set_state(state, self._memory.read_clock())

    @property
    def is_evicted(self) -> bool:
        """Whether it is being ended."""
        return self.holder.is_evicted


class RequestMemory:
    """What one request of a caller holds, until its response has ended."""

    def __init__(
        self, memory: "CallerMemory", held: HeldMemory, head_bytes: int
    ) -> None:
        self._memory = memory
        self._held = held
        self._head_bytes = head_bytes + REQUEST_BYTES
        self._body_bytes = 0

    @contextmanager
    def receiving(self, end: Callable[[], None]) -> Iterator[None]:
        """Allow, within the context, that the request is ended for others by ``end``.

        Its body arrives. Beyond the context, it is kept until its response has ended.
        """
        self._held.end = end
        self._held.set_state(HolderState.RECEIVING)
        try:
            yield
        finally:
            self._held.set_state(HolderState.KEPT)

    @property
    def is_evicted(self) -> bool:
        """Whether it was ended for others."""
        return self._held.is_evicted

    def hold_body(self, body_bytes: int, received_bytes: int = 0) -> None:
        """Reserve memory of the request, or raise a CallerError if there is none.

        A body may be announced before it is received.
        """
        self._held.holder.received_bytes = received_bytes
        if body_bytes < self._body_bytes:
            return
        if not self._held.hold(self._head_bytes + body_bytes):
            raise memory_error()
        self._body_bytes = body_bytes

    @contextmanager
    def discarding(self) -> Iterator[bool]:
        """Yield whether the rest of the body may be read although it isn't needed."""
        memory = self._memory
        if memory.discarding_count >= MAX_DISCARDING_COUNT:
            memory.note_limited(CallerBound.DISCARDED, "not read")
            yield False
            return
        memory.discarding_count += 1
        try:
            yield True
        finally:
            memory.discarding_count -= 1

    def can_hold(self, body_bytes: int) -> bool:
        """Return whether a body fits if no other request is held."""
        return self._memory.budget.can_hold(self._head_bytes + body_bytes)


class CallerMemory:
    """What all callers of this process hold."""

    def __init__(
        self, budget: CallerBudget, limited: Counter, read_clock: Callable[[], float]
    ) -> None:
        """``limited`` counts what a bound ended or refused, by the bound."""
        self.budget = budget
        self.read_clock = read_clock
        #: Bodies that are read although their response has been sent.
        self.discarding_count = 0
        self._limited = limited
        self._by_holder: dict[MemoryHolder, HeldMemory] = {}
        self._logged_at_seconds: dict[CallerBound, float] = {}
        self._unlogged_counts = dict.fromkeys(CallerBound, 0)

    def open_connection(self, end: Callable[[], None]) -> HeldMemory | None:
        """Add a connection; none if there is no room for it.

        ``end`` closes it to make room for others.
        """
        now_seconds = self.read_clock()
        holder = MemoryHolder(HolderState.IDLE, now_seconds)
        reservation = self.budget.add_connection(holder, CONNECTION_BYTES, now_seconds)
        self._apply(reservation, CallerBound.CONNECTIONS)
        if not reservation.is_granted:
            return None
        held = self._by_holder[holder] = HeldMemory(self, holder, end)
        return held

    def close(self, held: HeldMemory) -> None:
        """Release what a connection or a request holds."""
        self._by_holder.pop(held.holder, None)
        self.budget.remove(held.holder)

    @contextmanager
    def open_request(
        self, head_bytes: int, *, ends_connection: bool = True
    ) -> Iterator[RequestMemory]:
        """Yield what a request holds, which is released at the end of the context.

        ``ends_connection`` is whether the connection is closed if the request ends
        before its body has arrived.
        """
        holder = MemoryHolder(
            HolderState.KEPT, self.read_clock(), ends_connection=ends_connection
        )
        held = HeldMemory(self, holder, lambda: None)
        self.budget.add(holder)
        self._by_holder[holder] = held
        try:
            yield RequestMemory(self, held, head_bytes)
        finally:
            self.close(held)

    def resize(self, holder: MemoryHolder, held_bytes: int) -> bool:
        """Set what a holder has; return whether there was room for it."""
        reservation = self.budget.resize(holder, held_bytes, self.read_clock())
        self._apply(reservation, CallerBound.MEMORY)
        return reservation.is_granted

    def _apply(self, reservation: Reservation, bound: CallerBound) -> None:
        if not reservation.is_granted:
            self.note_limited(bound, "refused")
        for holder in reservation.evicted:
            self.note_limited(bound, f"ended while {holder.state.value}")
            self._by_holder.pop(holder).end()

    def note_limited(self, bound: CallerBound, action: str) -> None:
        """Count, and log once in a while, what a bound has ended or refused."""
        self._limited.labels(bound.value).inc()
        self._unlogged_counts[bound] += 1
        now_seconds = self.read_clock()
        logged_at_seconds = self._logged_at_seconds.get(bound)
        is_recent = (
            logged_at_seconds is not None
            and now_seconds - logged_at_seconds < LOG_SECONDS
        )
        if is_recent:
            return
        log.problem(
            "callers limited",
            bound=bound.value,
            action=action,
            count=self._unlogged_counts[bound],
            **self.describe(),
        )
        self._logged_at_seconds[bound] = now_seconds
        self._unlogged_counts[bound] = 0

    def describe(self) -> dict[str, int]:
        """Return the bytes and connections held, and their bounds."""
        budget = self.budget
        return {
            "held_bytes": budget.held_bytes,
            "peak_bytes": budget.peak_bytes,
            "max_bytes": budget.max_bytes,
            "connections_count": budget.connections_count,
            "max_connections_count": budget.max_connections_count,
        }


def memory_error() -> CallerError:
    """Return the refusal of a request that there is no memory for."""
    return CallerError(
        "this host has no memory left for the request",
        status=503,
        code="memory_full",
        step="read body",
        retry_after_seconds=RETRY_SECONDS,
    )
