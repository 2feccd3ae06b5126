"""Timings of each answer, and what made an answer late.

A stream is late if its first event misses the latency target, or if two of its events
are further apart than the pause target. Both may be due to the runner, to the host, or
to a retry. The loads that this tells apart: bursts that queue at hosts or runners, long
prefills between the decode steps of other streams, hosts whose event loop is blocked,
and runners that fail.
"""

import enum

import attrs

from rampwick_schema import ReprMixin

#: Time between two events from which it matters whether the host read late: far below
#: the pause targets of streams.
NOTICEABLE_SECONDS = 0.05


class LateCause(enum.Enum):
    """What made an answer late."""

    #: The request waited at the host before its first dispatch.
    HOST = "host"
    #: Connecting, or writing the request, took long.
    CONNECTION = "connection"
    #: The request waited at its runner for longer than its own prefill takes.
    RUNNER_QUEUE = "runner queue"
    #: The prefill of its own missing tokens took long.
    PREFILL = "prefill"
    #: The runner paused between two events.
    PAUSE = "pause"
    #: Events stayed in the host, because it was busy or its caller read slowly.
    STAY = "stay"
    #: An attempt failed, and another one followed.
    RETRY = "retry"


@attrs.frozen(repr=False)
class AnswerTimings(ReprMixin):
    """Timings of one complete answer."""

    #: Time from the arrival of the request to its first dispatch.
    waited_seconds: float
    #: Time from the first dispatch to that of the attempt that began the answer.
    retry_seconds: float
    #: Time from that dispatch to the first write of the request.
    connection_seconds: float
    #: Time from the arrival of the request to that of the first event at the host, and
    #: to the end of its write.
    first_event_seconds: float
    first_written_seconds: float
    #: Longest time between two events as they arrived from the runner.
    longest_pause_seconds: float
    #: Whether another attempt was made in that time.
    is_pause_by_retry: bool
    #: Longest time from the arrival of an event to the end of its write.
    longest_stay_seconds: float
    #: Longest time between the ends of two writes.
    longest_written_pause_seconds: float
    #: Estimated time to compute the tokens that the runner lacked.
    prefill_seconds: float = 0.0
    #: Targets of the route; ``None`` without one.
    latency_target_seconds: float | None = None
    pause_target_seconds: float | None = None
    #: Wait at the host by the last estimate before the dispatch; ``None`` without one.
    expected_wait_seconds: float | None = None


def find_late_cause(timings: AnswerTimings) -> LateCause | None:
    """Return what made an answer late; ``None`` if it was in time.

    A late first event counts before a pause, which it does not excuse. Its cause is the
    largest part of the time until it was written.
    """
    target_seconds = timings.latency_target_seconds
    if target_seconds is not None and timings.first_written_seconds > target_seconds:
        parts = _parts_until_first_event(timings)
        return max(parts, key=lambda cause: parts[cause])
    target_seconds = timings.pause_target_seconds
    if (
        target_seconds is None
        or timings.longest_written_pause_seconds <= target_seconds
    ):
        return None
    if timings.longest_pause_seconds <= target_seconds:
        return LateCause.STAY
    return LateCause.RETRY if timings.is_pause_by_retry else LateCause.PAUSE


def _parts_until_first_event(timings: AnswerTimings) -> dict[LateCause, float]:
    before_runner_seconds = (
        timings.waited_seconds + timings.retry_seconds + timings.connection_seconds
    )
    runner_seconds = max(0.0, timings.first_event_seconds - before_runner_seconds)
    # What exceeds the estimated prefill was spent waiting for other requests.
    prefill_seconds = min(runner_seconds, timings.prefill_seconds)
    return {
        LateCause.HOST: timings.waited_seconds,
        LateCause.RETRY: timings.retry_seconds,
        LateCause.CONNECTION: timings.connection_seconds,
        LateCause.RUNNER_QUEUE: runner_seconds - prefill_seconds,
        LateCause.PREFILL: prefill_seconds,
        LateCause.STAY: timings.first_written_seconds - timings.first_event_seconds,
    }


@attrs.define(repr=False)
class AnswerTimer(ReprMixin):
    """Records the timings of one answer; the caller passes the times."""

    arrived_at_seconds: float
    longest_pause_seconds: float = 0.0
    is_pause_by_retry: bool = False
    longest_stay_seconds: float = 0.0
    longest_written_pause_seconds: float = 0.0
    _first_dispatch_seconds: float | None = None
    _dispatched_at_seconds: float = 0.0
    _sent_at_seconds: float | None = None
    _first_event_seconds: float | None = None
    _last_event_seconds: float = 0.0
    #: Arrival of the oldest event that is being written.
    _unwritten_since_seconds: float = 0.0
    _first_written_seconds: float | None = None
    _last_written_seconds: float = 0.0
    #: Whether an attempt has begun since the last event.
    _has_retried: bool = False

    def note_dispatched(self, now_seconds: float) -> None:
        """Record that an attempt begins."""
        if self._first_event_seconds is not None:
            self._has_retried = True
            return
        if self._first_dispatch_seconds is None:
            self._first_dispatch_seconds = now_seconds
        self._dispatched_at_seconds = now_seconds
        self._sent_at_seconds = None

    def note_sent(self, now_seconds: float) -> None:
        """Record that the first bytes of an attempt are written."""
        if self._first_event_seconds is None:
            self._sent_at_seconds = now_seconds

    def needs_arrival(self, now_seconds: float) -> bool:
        """Return whether the arrival of events read now must be known exactly.

        Otherwise the time of the read is exact enough, and needs no system call.
        """
        since_seconds = now_seconds - self._last_event_seconds
        return since_seconds > self.longest_pause_seconds or (
            since_seconds > NOTICEABLE_SECONDS
        )

    def note_events(self, count: int, arrived_at_seconds: float) -> None:
        """Record events that were read together, and when the last of them arrived.

        Decode steps separate the events of a runner, so several events in one read mean
        that the host read late. They are taken as evenly spaced.
        """
        if self._first_event_seconds is None:
            self._first_event_seconds = arrived_at_seconds
            self._unwritten_since_seconds = arrived_at_seconds
            self._last_event_seconds = arrived_at_seconds
            return
        last_seconds = self._last_event_seconds
        pause_seconds = max(0.0, arrived_at_seconds - last_seconds) / count
        if pause_seconds > self.longest_pause_seconds:
            self.longest_pause_seconds = pause_seconds
            self.is_pause_by_retry = self._has_retried
        self._has_retried = False
        self._unwritten_since_seconds = last_seconds + pause_seconds
        self._last_event_seconds = max(last_seconds, arrived_at_seconds)

    def note_written(self, now_seconds: float) -> None:
        """Record that the events read last have been written."""
        stay_seconds = now_seconds - self._unwritten_since_seconds
        if stay_seconds > self.longest_stay_seconds:
            self.longest_stay_seconds = stay_seconds
        if self._first_written_seconds is None:
            self._first_written_seconds = now_seconds
        else:
            pause_seconds = now_seconds - self._last_written_seconds
            if pause_seconds > self.longest_written_pause_seconds:
                self.longest_written_pause_seconds = pause_seconds
        self._last_written_seconds = now_seconds

    def timings(
        self,
        now_seconds: float,
        *,
        prefill_seconds: float = 0.0,
        latency_target_seconds: float | None = None,
        pause_target_seconds: float | None = None,
        expected_wait_seconds: float | None = None,
    ) -> AnswerTimings:
        """Return the timings of an answer that is complete now."""
        dispatched_at_seconds = self._dispatched_at_seconds
        first_dispatch_seconds = _or(self._first_dispatch_seconds, now_seconds)
        sent_at_seconds = _or(self._sent_at_seconds, dispatched_at_seconds)
        first_event_seconds = _or(self._first_event_seconds, now_seconds)
        first_written_seconds = _or(self._first_written_seconds, now_seconds)
        return AnswerTimings(
            waited_seconds=first_dispatch_seconds - self.arrived_at_seconds,
            retry_seconds=max(0.0, dispatched_at_seconds - first_dispatch_seconds),
            connection_seconds=max(0.0, sent_at_seconds - dispatched_at_seconds),
            first_event_seconds=first_event_seconds - self.arrived_at_seconds,
            first_written_seconds=first_written_seconds - self.arrived_at_seconds,
            longest_pause_seconds=self.longest_pause_seconds,
            is_pause_by_retry=self.is_pause_by_retry,
            longest_stay_seconds=self.longest_stay_seconds,
            longest_written_pause_seconds=self.longest_written_pause_seconds,
            prefill_seconds=prefill_seconds,
            latency_target_seconds=latency_target_seconds,
            pause_target_seconds=pause_target_seconds,
            expected_wait_seconds=expected_wait_seconds,
        )


def _or(seconds: float | None, default_seconds: float) -> float:
    return default_seconds if seconds is None else seconds
