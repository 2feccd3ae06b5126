"""A toy engine, its clock and the sizes of a run."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from rampwick_policy import Dispatch, Outcome
from rampwick_schema import LoadReport

from ._workload import BLOCK_TOKENS, MODEL, Arrival

#: One way between a host and a runner or another host.
HOP_SECONDS = 0.001
TICK_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.5
STEP_SECONDS = 0.02


class Client(Protocol):
    """Who sent an attempt and hears what becomes of it."""

    def first_token(self, job: "Job") -> None:
        """Hear of an attempt's first token."""

    def done(self, job: "Job") -> None:
        """Hear of an attempt's end."""

    def failed(self, job: "Job", outcome: Outcome) -> None:
        """Hear that an attempt failed."""


@attrs.frozen
class WorldSettings:
    """Sizes of a run."""

    hosts_count: int = 7
    runners_count: int = 5
    slots_count: int = 16
    cache_tokens: int = 60_000
    prefill_tokens_per_second: float = 8_000.0
    miss_price: float = 8.0
    gossip_seconds: float = 0.25
    #: Whether hosts tell each other what they placed.
    shares_placements: bool = True
    deadline_seconds: float = 30.0
    #: Weights of hosts by which arrivals are spread; equal if empty.
    host_weights: tuple[float, ...] = ()


class Clock:
    """Time and what is due."""

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._due: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._tickets = itertools.count()

    def after(
        self, delay_seconds: float, call: Callable[..., None], *arguments: Any
    ) -> None:
        """Have something called after a delay."""
        at_seconds = self.now_seconds + delay_seconds
        heapq.heappush(self._due, (at_seconds, next(self._tickets), call, arguments))

    def run_until(self, end_seconds: float) -> None:
        """Call what is due in order until a time."""
        while self._due and self._due[0][0] <= end_seconds:
            self.now_seconds, _, call, arguments = heapq.heappop(self._due)
            call(*arguments)
        self.now_seconds = end_seconds


@attrs.define(eq=False)
class Job:
    """One attempt at a runner."""

    host: Client
    dispatch: Dispatch
    arrival: Arrival
    cached_tokens: int = 0
    is_cancelled: bool = False


class Runner:
    """A toy engine: slots by priority, serial prefill, an exact block cache."""

    def __init__(self, name: str, settings: WorldSettings, clock: Clock) -> None:
        self.name = name
        self._settings = settings
        self._clock = clock
        self.life = 1
        self.blocks: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.free_slots = settings.slots_count
        self._queue: list[tuple[int, int, Job]] = []
        self._tickets = itertools.count()
        self._prefill_free_seconds = 0.0
        self.jobs: set[Job] = set()
        self.waiting_tokens = 0
        self.busy_slot_seconds = 0.0
        #: Tokens that were computed here, and of them those another cache held.
        self.computed_tokens = 0
        self.wasted_tokens = 0
        self.others: list[Runner] = []
        self.is_up = True

    def held_tokens(self, prompt_blocks: tuple[tuple[str, int], ...]) -> int:
        """Return the tokens of a prompt's beginning that are cached."""
        count = 0
        for block in prompt_blocks:
            if block not in self.blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def take(self, job: Job, priority: int) -> None:
        """Receive an attempt."""
        if not self.is_up:
            self._fail(job, Outcome.UNREACHABLE)
            return
        self.jobs.add(job)
        heapq.heappush(self._queue, (priority, next(self._tickets), job))
        self._start_next()

    def _start_next(self) -> None:
        while self.free_slots and self._queue:
            self.free_slots -= 1
            _, _, job = heapq.heappop(self._queue)
            if job.is_cancelled:
                self.jobs.discard(job)
                self.free_slots += 1
            else:
                self._prefill(job)

    def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; a prompt that is being computed is computed on."""
        for job in self.jobs:
            if job.dispatch.attempt_id == attempt_id:
                job.is_cancelled = True

    def _prefill(self, job: Job) -> None:
        prompt = job.arrival.prompt
        job.cached_tokens = self.held_tokens(prompt.blocks)
        missing = prompt.tokens - job.cached_tokens
        self._count_waste(job, missing)
        self._use(prompt.blocks)
        begin = max(self._clock.now_seconds, self._prefill_free_seconds)
        self._prefill_free_seconds = (
            begin + missing / self._settings.prefill_tokens_per_second
        )
        self.waiting_tokens += missing
        delay = self._prefill_free_seconds - self._clock.now_seconds
        self._clock.after(delay, self._first_token, job, missing, self.life)

    def _count_waste(self, job: Job, missing: int) -> None:
        held = max(
            (other.held_tokens(job.arrival.prompt.blocks) for other in self.others),
            default=0,
        )
        self.computed_tokens += missing
        self.wasted_tokens += max(0, held - job.cached_tokens)

    def _use(self, blocks: tuple[tuple[str, int], ...]) -> None:
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        limit = self._settings.cache_tokens // BLOCK_TOKENS
        while len(self.blocks) > limit:
            self.blocks.popitem(last=False)

    def _first_token(self, job: Job, missing: int, life: int) -> None:
        if life != self.life:
            return
        self.waiting_tokens -= missing
        self._clock.after(HOP_SECONDS, job.host.first_token, job)
        decode = job.arrival.kind.answer_tokens * STEP_SECONDS
        if job.is_cancelled:
            decode = 0.0
        self._clock.after(decode, self._finish, job, life)

    def _finish(self, job: Job, life: int) -> None:
        if life != self.life:
            return
        self.jobs.discard(job)
        self.free_slots += 1
        self._clock.after(HOP_SECONDS, job.host.done, job)
        self._start_next()

    def crash(self, down_seconds: float) -> None:
        """Lose everything; come back empty after a while."""
        self.life += 1
        self.is_up = False
        self.blocks.clear()
        self.free_slots = self._settings.slots_count
        self._queue.clear()
        self._prefill_free_seconds = 0.0
        self.waiting_tokens = 0
        for job in self.jobs:
            self._fail(job, Outcome.BROKEN)
        self.jobs.clear()
        self._clock.after(down_seconds, self._come_back)

    def _come_back(self) -> None:
        self.is_up = True

    def _fail(self, job: Job, outcome: Outcome) -> None:
        self._clock.after(HOP_SECONDS, job.host.failed, job, outcome)

    def report(self) -> LoadReport:
        """Return the runner's own report."""
        return LoadReport(
            incarnation=f"life-{self.life}",
            model=MODEL,
            weights_version=1,
            slots_count=self._settings.slots_count,
            running_count=self._settings.slots_count - self.free_slots,
            waiting_tokens=self.waiting_tokens,
            prefill_tokens_per_second=self._settings.prefill_tokens_per_second,
            cache_tokens=self._settings.cache_tokens,
        )
