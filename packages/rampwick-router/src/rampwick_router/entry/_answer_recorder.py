"""Recording of an answer's timings: log line, metrics, explain endpoint."""

from collections.abc import Callable

import attrs

from rampwick_policy import (
    AnswerTimer,
    AnswerTimings,
    Dispatch,
    RequestArrived,
    Scheduler,
    find_late_cause,
)
from rampwick_schema import ReprMixin

from .._logs import ComponentLogger, milliseconds
from .._scheduler_task import Answer
from ._context import EntryContext


@attrs.frozen(repr=False)
class AnswerLine(ReprMixin):
    """What the log line of an answer contains besides its timings."""

    log: ComponentLogger
    caller_request_id: str
    #: Workspace and priority class.
    labels: tuple[str, str]
    #: Fields that only this kind of request has.
    fields: dict[str, object]


class AnswerRecorder:
    """Records the timings of one answer as its parts pass through the host."""

    def __init__(self, context: EntryContext, arrived_at_seconds: float) -> None:
        self._context = context
        self._read_clock = context.read_clock
        self._arrived_at_seconds = arrived_at_seconds
        self._timer = AnswerTimer(arrived_at_seconds)

    def note_dispatched(self) -> None:
        """Record that an attempt begins, or that a stream is resumed."""
        self._timer.note_dispatched(self._read_clock())

    def note_sent(self) -> None:
        """Record that the first bytes of an attempt are written."""
        self._timer.note_sent(self._read_clock())

    def note_events(self, count: int, data_age_seconds: Callable[[], float]) -> None:
        """Record events that were read together now.

        ``data_age_seconds`` returns how long ago at least their data arrived.
        """
        now_seconds = self._read_clock()
        if self._timer.needs_arrival(now_seconds):
            now_seconds -= data_age_seconds()
        self._timer.note_events(count, now_seconds)

    def note_written(self) -> None:
        """Record that the events read last have been written."""
        self._timer.note_written(self._read_clock())

    def record(
        self, arrival: RequestArrived, dispatch: Dispatch, line: AnswerLine
    ) -> None:
        """Log the timings of the complete answer, and keep them for operators."""
        now_seconds = self._read_clock()
        timings = self._timer.timings(
            now_seconds,
            prefill_seconds=self._estimate_prefill_seconds(arrival, dispatch),
            latency_target_seconds=arrival.latency_target_seconds,
            pause_target_seconds=arrival.pause_target_seconds,
            expected_wait_seconds=dispatch.expected_wait_seconds,
        )
        late_cause = find_late_cause(timings)
        workspace, priority_class = line.labels
        self._context.metrics.observe_timings(timings, late_cause, line.labels)
        answer = Answer(dispatch.attempt_id, timings, late_cause)
        self._context.scheduler.note_answer(answer)
        line.log.info(
            "request answered",
            request=line.caller_request_id,
            attempt=dispatch.attempt_id,
            upstream=dispatch.upstream,
            workspace=workspace,
            priority_class=priority_class,
            whole_ms=milliseconds(now_seconds - self._arrived_at_seconds),
            late_cause=late_cause.value if late_cause else "",
            **_timing_fields(timings),
            **line.fields,
        )

    def _estimate_prefill_seconds(
        self, arrival: RequestArrived, dispatch: Dispatch
    ) -> float:
        """Return the estimated time to compute the tokens that the runner lacked."""
        choice = dispatch.choice
        if choice is None or arrival.chain is None:
            return 0.0

        def estimate(scheduler: Scheduler, now_seconds: float) -> float:
            upstream = scheduler.upstreams.get(dispatch.upstream)
            if upstream is None:
                return 0.0
            speed = scheduler.upstreams.prefill_speed(upstream.model)
            return choice.missing_tokens / speed.tokens_per_second

        return float(self._context.scheduler.run_query(estimate))


def _timing_fields(timings: AnswerTimings) -> dict[str, object]:
    fields = {
        "waited_ms": timings.waited_seconds,
        "connection_ms": timings.connection_seconds,
        "first_ms": timings.first_event_seconds,
        "longest_pause_ms": timings.longest_pause_seconds,
        "longest_stay_ms": timings.longest_stay_seconds,
    }
    if timings.retry_seconds:
        fields["retry_ms"] = timings.retry_seconds
    if timings.expected_wait_seconds is not None:
        fields["expected_wait_ms"] = timings.expected_wait_seconds
    return {name: milliseconds(seconds) for name, seconds in fields.items()}
