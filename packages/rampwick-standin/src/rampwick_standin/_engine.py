"""A toy model engine: slots, a prefix cache and deterministic answers.

Prefill is serial and costs time only for blocks that the cache misses. Each token of
the answer is a function of the prompt and its position, so that a checker can tell
whose answer it sees and whether it is whole.
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

#: Bytes of prompt text in one token, and tokens in one block.
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 16
BLOCK_BYTES = BYTES_PER_TOKEN * BLOCK_TOKENS


@attrs.frozen
class EngineSettings:
    """Size and speed of an engine."""

    name: str = "runner"
    model: str = "lektor"
    slots_count: int = 8
    cache_tokens: int = 60_000
    prefill_tokens_per_second: float = 8000.0
    step_seconds: float = 0.01
    load_seconds: float = 0.3
    checks_fencing: bool = False
    #: Crash once a prompt that holds this text is computed; none if empty.
    deadly_text: str = ""


@attrs.define
class EngineFaults:
    """What the engine does wrong at present."""

    is_frozen: bool = False
    is_busy: bool = False
    #: Cut each connection after so many events; nothing to let them end.
    cut_after_count: int | None = None
    #: Send this event twice.
    repeat_position: int | None = None
    #: Answer as if to this attempt, whichever was asked.
    crossed_attempt_id: str = ""
    #: Take a request in, then break the connection without an answer.
    loses_answers: bool = False
    #: Keep the cache over a load of other weights, as no engine should.
    keeps_cache: bool = False


@attrs.frozen
class CacheUse:
    """What a prompt found in the cache."""

    tokens: int
    #: Oldest weights that computed any of it; those in use if nothing was found.
    weights_version: int


class BlockCache:
    """Least-recently-used prefix blocks by chained hash, with the weights of each."""

    def __init__(self, capacity_tokens: int) -> None:
        self._capacity_blocks = capacity_tokens // BLOCK_TOKENS
        self._blocks: OrderedDict[bytes, int] = OrderedDict()

    def use(self, salt: str, text: bytes, weights_version: int) -> "CacheUse":
        """Say what is cached of a prompt and put all its blocks in."""
        hashes = hash_blocks(salt, text)
        held = 0
        while held < len(hashes) and hashes[held] in self._blocks:
            held += 1
        oldest = min(
            (self._blocks[block] for block in hashes[:held]), default=weights_version
        )
        for block in reversed(hashes):
            self._blocks.setdefault(block, weights_version)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            self._blocks.popitem(last=False)
        return CacheUse(held * BLOCK_TOKENS, oldest)

    def clear(self) -> None:
        """Drop every block."""
        self._blocks.clear()


def hash_blocks(salt: str, text: bytes) -> list[bytes]:
    """Return the chained hash of each whole block."""
    running = hashlib.blake2b(salt.encode(), digest_size=12)
    hashes = []
    for end in range(BLOCK_BYTES, len(text) + 1, BLOCK_BYTES):
        running.update(text[end - BLOCK_BYTES : end])
        hashes.append(running.copy().digest())
    return hashes


def answer_token(text: bytes, position: int) -> str:
    """Return the token of a prompt's answer at a position, with its space."""
    digest = hashlib.blake2b(text, digest_size=4).hexdigest()
    return f"{digest}-{position} "


@attrs.define
class Stream:
    """One answer under way or just ended."""

    attempt_id: str
    weights_version: int
    incarnation: str
    request: "EngineRequest"
    #: Steady time at which the attempt came in; one clock for all of a machine.
    started_at_seconds: float = attrs.field(factory=time.monotonic)
    tokens: list[str] = attrs.field(factory=list)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    #: Oldest weights that computed what was cached.
    cached_weights_version: int = 0
    is_done: bool = False
    is_cancelled: bool = False
    #: Whether the head of its answer announced the engine's shutdown.
    announced_leaving: bool = False
    changed: anyio.Event = attrs.field(factory=anyio.Event)

    def notify(self) -> None:
        """Wake all readers."""
        self.changed.set()
        self.changed = anyio.Event()


@attrs.frozen
class EngineRequest:
    """What an engine is asked."""

    attempt_id: str
    text: bytes
    salt: str
    max_tokens: int
    priority: int


class Engine:
    """One life after another of a model engine."""

    def __init__(self, settings: EngineSettings) -> None:
        self.settings = settings
        self.faults = EngineFaults()
        #: Requests a second that it says it takes from all hosts; none to say nothing.
        self.request_rate: float | None = None
        self.weights_version = 1
        self.fencing_number = 0
        self.loads_count = 0
        #: Attempts that began to run, in order, over all lives: for checks.
        self.started: list[Stream] = []
        self.cancelled: list[str] = []
        self.orders: list[Order] = []
        self._tickets = itertools.count()
        self._begin_life()

    def _begin_life(self) -> None:
        #: Whether all answers of this life announce its end.
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
        """Lose everything and come back empty behind the same address."""
        for stream in self.streams.values():
            stream.is_cancelled = True
            stream.notify()
        self._begin_life()

    @property
    def running_count(self) -> int:
        """Requests in the batch."""
        return self.settings.slots_count - self._free_slots

    @property
    def waiting_tokens(self) -> int:
        """Prompt tokens not yet computed."""
        return self._waiting_tokens

    async def wait_thawed(self) -> None:
        """Wait until the engine is not frozen."""
        while self.faults.is_frozen:
            await anyio.sleep(0.005)

    async def load_weights(self, weights_version: int) -> None:
        """Load other weights; the cache is of no use to them."""
        incarnation = self.incarnation
        async with self._loading:
            if incarnation == self.incarnation:
                await self._load(weights_version, incarnation)

    async def _load(self, weights_version: int, incarnation: str) -> None:
        if weights_version == self.weights_version:
            return
        self.loads_count += 1
        self.role = "loading"
        # Like an engine's own reload: the batch is served out first.
        for _ in range(self.settings.slots_count):
            await self._take_slot(priority=0)
        await anyio.sleep(self.settings.load_seconds)
        if incarnation != self.incarnation:
            # The life that loaded has ended, and its batch with it.
            return
        self.weights_version = weights_version
        if not self.faults.keeps_cache:
            self.cache.clear()
        self.role = "serve"
        for _ in range(self.settings.slots_count):
            self._give_slot()

    async def run(self, request: EngineRequest) -> None:
        """Compute one answer; readers follow its stream."""
        stream = self.streams.get(request.attempt_id)
        if stream is None:
            # The life that took it in has ended.
            return
        incarnation = self.incarnation
        await self._take_slot(request.priority)
        try:
            await self._compute(request, stream)
        finally:
            stream.notify()
            if incarnation == self.incarnation:
                self._give_slot()

    def open_stream(self, request: EngineRequest) -> Stream:
        """Register a new attempt's stream."""
        stream = Stream(
            request.attempt_id, self.weights_version, self.incarnation, request
        )
        self.streams[request.attempt_id] = stream
        self.started.append(stream)
        return stream

    async def _take_slot(self, priority: int) -> None:
        if self._free_slots > 0:
            self._free_slots -= 1
            return
        turn = anyio.Event()
        heapq.heappush(self._queue, (priority, next(self._tickets), turn))
        await turn.wait()

    def _give_slot(self) -> None:
        if self._queue:
            heapq.heappop(self._queue)[2].set()
        else:
            self._free_slots += 1

    async def _compute(self, request: EngineRequest, stream: Stream) -> None:
        speed = self.settings.prefill_tokens_per_second
        stream.prompt_tokens = max(1, len(request.text) // BYTES_PER_TOKEN)
        # What waited over a reload is computed with the weights of now.
        stream.weights_version = self.weights_version
        incarnation = self.incarnation
        async with self._prefill:
            if stream.is_cancelled:
                # The life that it waited in has ended.
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
        if self._is_deadly(request):
            self.crash()
            return
        for position in range(request.max_tokens):
            await self.wait_thawed()
            if stream.is_cancelled:
                return
            stream.tokens.append(answer_token(request.text, position))
            stream.is_done = position + 1 == request.max_tokens
            stream.notify()
            await anyio.sleep(self.settings.step_seconds)

    def _is_deadly(self, request: EngineRequest) -> bool:
        text = self.settings.deadly_text
        return bool(text) and text.encode() in request.text

    async def follow(self, stream: Stream, position: int) -> AsyncIterator[int]:
        """Yield each position from ``position`` on as its token is there."""
        while True:
            changed = stream.changed
            while position < len(stream.tokens):
                yield position
                position += 1
            if stream.is_done or stream.is_cancelled:
                return
            await changed.wait()
