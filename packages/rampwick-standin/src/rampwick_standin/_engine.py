"""Simulated model engine: slots, a prefix cache and deterministic output.

Prefill is serial and takes time only for the blocks missing from the cache. Each output
token is a function of the prompt and its position, so that a check can detect output of
another request and truncated output.
"""

import hashlib
import heapq
import itertools
import secrets
import time
from collections import OrderedDict
from collections.abc import AsyncIterator

import anyio
import attrs

from rampwick_schema import Order

#: Bytes of prompt text per token, and tokens per cache block.
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS


@attrs.frozen
class EngineSettings:
    """Capacity and speed of an engine."""

    name: str = "runner"
    model: str = "lektor"
    slots_count: int = 8
    cache_tokens: int = 60_000
    prefill_tokens_per_second: float = 8000.0
    step_seconds: float = 0.01
    load_seconds: float = 0.3
    checks_fencing: bool = False
    #: Crash after the prefill of a prompt that contains this text; never if empty.
    deadly_text: str = ""


@attrs.define
class EngineFaults:
    """Faults that are injected into an engine."""

    is_frozen: bool = False
    is_busy: bool = False
    #: Break each connection after this many events; None to complete the stream.
    cut_after_count: int | None = None
    #: End each body, as if it were whole, inside the event after this many.
    torn_after_count: int | None = None
    #: Position of an event that is sent twice.
    repeat_position: int | None = None
    #: Attempt id in the header of every response, in place of the requested one.
    crossed_attempt_id: str = ""
    #: Accept each request, then break the connection without a response.
    loses_answers: bool = False
    #: Keep the cache when other weights are loaded, which a correct engine never does.
    keeps_cache: bool = False


@attrs.frozen
class CacheLookup:
    """The cached part of a prompt."""

    tokens: int
    #: Oldest weights version of the cached blocks; the current one if none is cached.
    weights_version: int


class BlockCache:
    """LRU cache of prefix blocks by chained hash, with the weights version of each."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[bytes, int] = OrderedDict()

    def use(self, salt: str, text: bytes, weights_version: int) -> "CacheLookup":
        """Return the cached part of a prompt, then insert all its blocks."""
        hashes = hash_blocks(salt, text)
        cached_blocks_count = 0
        while (
            cached_blocks_count < len(hashes)
            and hashes[cached_blocks_count] in self._blocks
        ):
            cached_blocks_count += 1
        oldest_version = min(
            (self._blocks[block] for block in hashes[:cached_blocks_count]),
            default=weights_version,
        )
        for block in reversed(hashes):
            self._blocks.setdefault(block, weights_version)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        return CacheLookup(cached_blocks_count * BLOCK_TOKENS, oldest_version)

    def clear(self) -> None:
        """Evict every block."""
        self._blocks.clear()


def hash_blocks(salt: str, text: bytes) -> list[bytes]:
    """Return the chained hash of each full block."""
    running = hashlib.blake2b(salt.encode(), digest_size=12)
    hashes = []
    for end in range(BLOCK_BYTES, len(text) + 1, BLOCK_BYTES):
        running.update(text[end - BLOCK_BYTES : end])
        hashes.append(running.copy().digest())
    return hashes


def answer_token(text: bytes, position: int) -> str:
    """Return the output token for a prompt at a position, with a trailing space."""
    digest = hashlib.blake2b(text, digest_size=4).hexdigest()
    return f"{digest}-{position} "


@attrs.define
class Stream:
    """Output of one attempt, running or finished."""

    attempt_id: str
    weights_version: int
    incarnation: str
    request: "EngineRequest"
    #: Monotonic time of arrival; the clock is the same for all processes of a machine.
    started_at_seconds: float = attrs.field(factory=time.monotonic)
    tokens: list[str] = attrs.field(factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    #: Oldest weights version of the cached blocks.
    cached_weights_version: int = 0
    is_done: bool = False
    is_cancelled: bool = False
    #: Whether the response headers announced the engine's shutdown.
    announced_leaving: bool = False
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    def notify(self) -> None:
        """Wake up all readers."""
        self.changed.set()
        self.changed = anyio.Event()


@attrs.frozen
class EngineRequest:
    """A completion request."""

    attempt_id: str
    text: bytes
    salt: str
    max_tokens: int
    priority: int


class Engine:
    """A simulated model engine that can crash and restart with a new incarnation."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        #: Total request rate, from all hosts, that responses announce; None for none.
        self.request_rate: float | None = None
        self.weights_version = 1
        self.fencing_number = 0
        self.loads_count = 0
        #: Attempts accepted, in order, over all incarnations; read by checks.
        self.started: list[Stream] = []
        self.cancelled: list[str] = []
        self.orders: list[Order] = []
        self._sequence = itertools.count()
        self._start_incarnation()

    def _start_incarnation(self) -> None:
        #: Whether responses of this incarnation announce its shutdown.
        self.is_leaving = False
        self.incarnation = secrets.token_hex(4)
        self.cache = BlockCache(self.settings.cache_tokens)
        self.streams: dict[str, Stream] = {}
        self._free_slots = self.settings.slots_count
        self._queue: list[tuple[int, int, anyio.Event]] = []
        self._prefill = anyio.Lock()
        self._loading = anyio.Lock()
        self.role = "serve"
        self._waiting_tokens = 0

    def crash(self) -> None:
        """Drop all state and restart empty at the same address."""
        for stream in self.streams.values():
            stream.is_cancelled = True
            stream.notify()
        self._start_incarnation()

    @property
    def running_count(self) -> int:
        """Number of requests in the batch."""
        return self.settings.slots_count - self._free_slots

    @property
    def waiting_tokens(self) -> int:
        """Number of prompt tokens not yet computed."""
        return self._waiting_tokens

    async def wait_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        while self.faults.is_frozen:
            await anyio.sleep(0.005)

    async def load_weights(self, weights_version: int) -> None:
        """Load other weights and clear the cache, which is invalid for them."""
        incarnation = self.incarnation
        async with self._loading:
            if incarnation == self.incarnation:
                await self._load(weights_version, incarnation)

    async def _load(self, weights_version: int, incarnation: str) -> None:
        if weights_version == self.weights_version:
            return
        self.loads_count += 1
        self.role = "loading"
        # As in a real engine's reload, the running batch is finished first.
        for _ in range(self.settings.slots_count):
            await self._acquire_slot(priority=0)
        await anyio.sleep(self.settings.load_seconds)
        if incarnation != self.incarnation:
            # The engine crashed meanwhile; the slots taken belong to the old batch.
            return
        self.weights_version = weights_version
        if not self.faults.keeps_cache:
            self.cache.clear()
        self.role = "serve"
        for _ in range(self.settings.slots_count):
            self._release_slot()

    async def run(self, request: EngineRequest) -> None:
        """Compute the output of a request; readers follow its stream."""
        stream = self.streams.get(request.attempt_id)
        if stream is None:
            # The incarnation that accepted the request has crashed.
            return
        incarnation = self.incarnation
        await self._acquire_slot(request.priority)
        try:
            await self._compute(request, stream)
        finally:
            stream.notify()
            if incarnation == self.incarnation:
                self._release_slot()

    def open_stream(self, request: EngineRequest) -> Stream:
        """Register the stream of a new attempt."""
        stream = Stream(
            request.attempt_id, self.weights_version, self.incarnation, request
        )
        self.streams[request.attempt_id] = stream
        self.started.append(stream)
        return stream

    async def _acquire_slot(self, priority: int) -> None:
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        slot_granted = anyio.Event()
        heapq.heappush(self._queue, (priority, next(self._sequence), slot_granted))
        await slot_granted.wait()

    def _release_slot(self) -> None:
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._free_slots += 1

    async def _compute(self, request: EngineRequest, stream: Stream) -> None:
        speed = self.settings.prefill_tokens_per_second
        stream.prompt_tokens = max(1, len(request.text) // BYTES_PER_TOKEN)
        # A request that waited during a reload is computed with the new weights.
        stream.weights_version = self.weights_version
        incarnation = self.incarnation
        async with self._prefill:
            if stream.is_cancelled:
                # The engine crashed, or the attempt was cancelled, while it waited.
                return
            found = self.cache.use(request.salt, request.text, self.weights_version)
            stream.cached_tokens = found.tokens
            stream.cached_weights_version = found.weights_version
            missing = stream.prompt_tokens - stream.cached_tokens
            self._waiting_tokens += missing
            await anyio.sleep(missing / speed)
            if incarnation != self.incarnation:
                return
            self._waiting_tokens -= missing
        if self._causes_crash(request):
            self.crash()
            return
        for position in range(request.max_tokens):
            await self.wait_unfrozen()
            if stream.is_cancelled:
                return
            stream.tokens.append(answer_token(request.text, position))
            stream.is_done = position + 1 == request.max_tokens
            stream.notify()
            await anyio.sleep(self.settings.step_seconds)

    def _causes_crash(self, request: EngineRequest) -> bool:
        text = self.settings.deadly_text
        return bool(text) and text.encode() in request.text

    async def follow(self, stream: Stream, position: int) -> AsyncIterator[int]:
        """Yield each position from ``position`` on as its token becomes available."""
        while True:
            changed = stream.changed
            while position < len(stream.tokens):
                yield position
                position += 1
            if stream.is_done or stream.is_cancelled:
                return
            await changed.wait()
