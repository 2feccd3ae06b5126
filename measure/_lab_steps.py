"""Simulated engine of the load lab that decodes in steps.

In each step the engine decodes one token for every running request, and may compute one
chunk of the prompt at the head of its queue, which lengthens the step. The first event
is sent with the first token, each further one after ``stride_tokens`` more tokens, so
consecutive chunks pause the running streams.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from rampwick_policy import Dispatch

from ._lab_engine import HOP_SECONDS, Engine
from ._lab_script import Sample

if TYPE_CHECKING:
    from ._lab import Host, Lab


@attrs.define(eq=False)
class _Job:
    host: Host
    dispatch: Dispatch
    sample: Sample
    #: Prompt tokens still to be computed.
    prompt_tokens: int
    answered_tokens: int = 0
    event_at_seconds: float | None = None


class SteppedEngine(Engine):
    """Engine whose decode steps carry chunks of prompts."""

    def __init__(self, lab: Lab, name: str, hall: str) -> None:
        super().__init__(lab, name, hall)
        self._queue: deque[_Job] = deque()
        self._running: list[_Job] = []
        self._is_stepping = False

    def _prefill(self, host: Host, dispatch: Dispatch, sample: Sample) -> None:
        missing_tokens = max(1, self._insert(dispatch, sample))
        self._queue.append(_Job(host, dispatch, sample, missing_tokens))
        if not self._is_stepping:
            self._begin_step()

    def _begin_step(self) -> None:
        self._is_stepping = bool(self._queue or self._running)
        if not self._is_stepping:
            return
        pattern = self._lab.pattern
        seconds = pattern.step_seconds
        seconds += pattern.step_seconds_per_running * len(self._running)
        chunk_tokens = 0
        if self._queue:
            chunk_tokens = min(pattern.chunk_tokens, self._queue[0].prompt_tokens)
            seconds += chunk_tokens / pattern.tokens_per_second
        self._lab.clock.after(seconds, self._end_step, chunk_tokens)

    def _end_step(self, chunk_tokens: int) -> None:
        for job in self._running:
            self._decode(job)
        self._running = [job for job in self._running if not _is_done(job)]
        if chunk_tokens:
            job = self._queue[0]
            job.prompt_tokens -= chunk_tokens
            if not job.prompt_tokens:
                self._queue.popleft()
                self._decode(job)
                if not _is_done(job):
                    self._running.append(job)
        self._begin_step()

    def _decode(self, job: _Job) -> None:
        if job.answered_tokens % self._lab.pattern.stride_tokens == 0:
            self._send_event(job)
        job.answered_tokens += 1
        if _is_done(job):
            self._lab.clock.after(HOP_SECONDS, job.host.done, job.dispatch, job.sample)

    def _send_event(self, job: _Job) -> None:
        now_seconds = self._lab.clock.now_seconds
        if job.event_at_seconds is None:
            self._lab.clock.after(HOP_SECONDS, job.host.first_token, job.dispatch)
        else:
            pause_seconds = now_seconds - job.event_at_seconds
            job.sample.longest_pause_seconds = max(
                job.sample.longest_pause_seconds, pause_seconds
            )
        job.event_at_seconds = now_seconds


def _is_done(job: _Job) -> bool:
    return job.answered_tokens >= job.sample.call.kind.answer_tokens
