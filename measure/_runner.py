"""Simulated runner, simulated clock and the settings of a simulation."""

import heapq
import itertools
from collections import OrderedDict
from collections.abc import Callable
from typing import Any, Protocol

import attrs

from rampwick_policy import Dispatch, Outcome
from rampwick_schema import LoadReport

from ._workload import BLOCK_TOKENS, MODEL, Arrival

#: One-way latency between a host and a runner or another host.
HOP_SECONDS = 0.001
TICK_SECONDS = 0.05
REPORT_INTERVAL_SECONDS = 0.25
REPORT_LAG_SECONDS = 0.5
STEP_SECONDS = 0.02


class Client(Protocol):
    """Sender of an attempt, which receives its outcome."""

    def first_token(self, job: "Job") -> None:
        """Receive the first token of an attempt."""

    def done(self, job: "Job") -> None:
        """Receive the end of an attempt."""

    def failed(self, job: "Job", outcome: Outcome) -> None:
        """Receive the failure of an attempt."""


@attrs.frozen
class SimulationSettings:
    """Settings of a simulation."""

    hosts_count: int = 7
    runners_count: int = 5
    slots_count: int = 16
    cache_tokens: int = 60_000
    prefill_tokens_per_second: float = 8_000.0
    miss_price: float = 8.0
    gossip_seconds: float = 0.25
    #: Whether summaries contain the prefixes that a host placed.
    shares_placements: bool = True
    deadline_seconds: float = 30.0
    #: Weights by which arrivals are distributed over hosts; equal if empty.
    host_weights: tuple[float, ...] = ()


class Clock:
    """Simulated clock with scheduled callbacks."""

    def __init__(self) -> None:
        self.now_seconds = 0.0
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._sequence = itertools.count()

    def after(
        self, delay_seconds: float, callback: Callable[..., None], *arguments: Any
    ) -> None:
        """Schedule a callback after a delay."""
        at_seconds = self.now_seconds + delay_seconds
        heapq.heappush(
            self._events, (at_seconds, next(self._sequence), callback, arguments)
        )

    def run_until(self, end_seconds: float) -> None:
        """Run the due callbacks in order of time, up to an end time."""
        while self._events and self._events[0][0] <= end_seconds:
            self.now_seconds, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
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
    """Simulated engine: slots by priority, serial prefill, an exact block cache."""

    def __init__(self, name: str, settings: SimulationSettings, clock: Clock) -> None:
        self.name = name
        self._settings = settings
        self._clock = clock
        self.incarnation_number = 1
        self.blocks: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.free_slots = settings.slots_count
        self._queue: list[tuple[int, int, Job]] = []
        self._sequence = itertools.count()
        self._prefill_free_seconds = 0.0
        self.jobs: set[Job] = set()
        self.waiting_tokens = 0
        self.busy_slot_seconds = 0.0
        #: Prefilled tokens, and those of them that were cached at another runner.
        self.computed_tokens = 0
        self.wasted_tokens = 0
        self.others: list[Runner] = []
        self.is_up = True

    def cached_prefix_tokens(self, prompt_blocks: tuple[tuple[str, int], ...]) -> int:
        """Return the number of tokens in the cached prefix of a prompt."""
        count = 0
        for block in prompt_blocks:
            if block not in self.blocks:
                break
            count += 1
        return count * BLOCK_TOKENS

    def receive(self, job: Job, priority: int) -> None:
        """Receive an attempt."""
        if not self.is_up:
            self._fail(job, Outcome.UNREACHABLE)
            return
        self.jobs.add(job)
        heapq.heappush(self._queue, (priority, next(self._sequence), job))
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
        """Cancel an attempt; a prefill that has started is completed."""
        for job in self.jobs:
            if job.dispatch.attempt_id == attempt_id:
                job.is_cancelled = True

    def _prefill(self, job: Job) -> None:
        prompt = job.arrival.prompt
        job.cached_tokens = self.cached_prefix_tokens(prompt.blocks)
        missing = prompt.tokens - job.cached_tokens
        self._count_waste(job, missing)
        self._insert(prompt.blocks)
        begin = max(self._clock.now_seconds, self._prefill_free_seconds)
        self._prefill_free_seconds = (
            begin + missing / self._settings.prefill_tokens_per_second
        )
        self.waiting_tokens += missing
        delay = self._prefill_free_seconds - self._clock.now_seconds
        self._clock.after(
            delay, self._first_token, job, missing, self.incarnation_number
        )

    def _count_waste(self, job: Job, missing: int) -> None:
        cached_elsewhere = max(
            (
                other.cached_prefix_tokens(job.arrival.prompt.blocks)
                for other in self.others
            ),
            default=0,
        )
        self.computed_tokens += missing
        self.wasted_tokens += max(0, cached_elsewhere - job.cached_tokens)

    def _insert(self, blocks: tuple[tuple[str, int], ...]) -> None:
        for block in reversed(blocks):
            self.blocks[block] = None
            self.blocks.move_to_end(block)
        limit = self._settings.cache_tokens // BLOCK_TOKENS
        while len(self.blocks) > limit:
            self.blocks.popitem(last=False)

    def _first_token(self, job: Job, missing: int, incarnation_number: int) -> None:
        if incarnation_number != self.incarnation_number:
            return
        self.waiting_tokens -= missing
        self._clock.after(HOP_SECONDS, job.host.first_token, job)
        decode = job.arrival.kind.answer_tokens * STEP_SECONDS
        if job.is_cancelled:
            decode = 0.0
        self._clock.after(decode, self._finish, job, incarnation_number)

    def _finish(self, job: Job, incarnation_number: int) -> None:
        if incarnation_number != self.incarnation_number:
            return
        self.jobs.discard(job)
        self.free_slots += 1
        self._clock.after(HOP_SECONDS, job.host.done, job)
        self._start_next()

    def crash(self, down_seconds: float) -> None:
        """Drop all state; restart empty after ``down_seconds``."""
        self.incarnation_number += 1
        self.is_up = False
        self.blocks.clear()
        self.free_slots = self._settings.slots_count
        self._queue.clear()
        self._prefill_free_seconds = 0.0
        self.waiting_tokens = 0
        for job in self.jobs:
            self._fail(job, Outcome.BROKEN)
        self.jobs.clear()
        self._clock.after(down_seconds, self._restart)

    def _restart(self) -> None:
        self.is_up = True

    def _fail(self, job: Job, outcome: Outcome) -> None:
        self._clock.after(HOP_SECONDS, job.host.failed, job, outcome)

    def report(self) -> LoadReport:
        """Return the runner's load report."""
        return LoadReport(
            incarnation=f"life-{self.incarnation_number}",
            model=MODEL,
            weights_version=1,
            slots_count=self._settings.slots_count,
            running_count=self._settings.slots_count - self.free_slots,
            waiting_tokens=self.waiting_tokens,
            prefill_tokens_per_second=self._settings.prefill_tokens_per_second,
            cache_tokens=self._settings.cache_tokens,
        )
