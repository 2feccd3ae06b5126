"""Simulated upstreams of a plain service: a few slots each, and a queue."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from rampwick_policy import Dispatch

from ._lab_engine import HOP_SECONDS
from ._lab_script import Sample

if TYPE_CHECKING:
    from ._lab import Host, Lab

PLAIN_SERVICE = "p"
UPSTREAMS_COUNT = 3
SLOTS_COUNT = 6
WORK_SECONDS = 0.09


class PlainUpstream:
    """Upstream that runs a few requests at once and queues the others."""

    #: It has no request rate limit.
    rate_per_second = None

    def __init__(self, lab: Lab, name: str, hall: str) -> None:
        self._lab = lab
        self.name = name
        self.hall = hall
        self._running_count = 0
        self._queue: deque[tuple[Host, Dispatch, Sample, float]] = deque()
        #: Time that each request waited here.
        self.waits_seconds: list[float] = []
        self.served_count = 0

    def receive(self, host: Host, dispatch: Dispatch, sample: Sample) -> None:
        """Run an attempt now or once a slot is free."""
        received = (host, dispatch, sample, self._lab.clock.now_seconds)
        self._queue.append(received)
        self._start_next()

    def _start_next(self) -> None:
        while self._queue and self._running_count < SLOTS_COUNT:
            host, dispatch, sample, received_seconds = self._queue.popleft()
            now_seconds = self._lab.clock.now_seconds
            self.waits_seconds.append(now_seconds - received_seconds)
            if now_seconds > sample.deadline_seconds:
                # Its caller has left, and the host has closed the connection.
                self._lab.clock.after(HOP_SECONDS, host.expire, dispatch, sample)
                continue
            self._running_count += 1
            self._lab.clock.after(WORK_SECONDS, self._finish, host, dispatch, sample)

    def _finish(self, host: Host, dispatch: Dispatch, sample: Sample) -> None:
        self._running_count -= 1
        self.served_count += 1
        self._lab.clock.after(HOP_SECONDS, host.first_token, dispatch)
        self._lab.clock.after(HOP_SECONDS, host.done, dispatch, sample)
        self._start_next()
