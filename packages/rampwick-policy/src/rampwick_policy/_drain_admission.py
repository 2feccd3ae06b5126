"""Admission of requests to a draining host, by the estimated time of their answers."""

import math

import attrs

from rampwick_schema import ReprMixin

from ._answer_times import AnswerKind, AnswerTimes

#: Share of answers within whose time a request is admitted. A cut answer costs its
#: caller about as much as twenty refusals, each of which another host takes up at
#: once, and more if the request must not run twice.
REPEATABLE_QUANTILE = 0.95
ONCE_QUANTILE = 0.99

#: Estimated time for one answer token: about three times what current engines take at
#: medium load.
TOKEN_SECONDS = 0.03

#: Multiple of its latency target within which a request is assumed to start.
START_FACTOR = 2.0

#: Minimum ratio assumed for the slowest answers, and the time constant of the decay of
#: a measured ratio.
MIN_WORST_RATIO = 2.0
WORST_DECAY_SECONDS = 30.0


class SlowAnswerTracker:
    """Tracks how much longer than estimated the slowest recent answers took.

    After an outage of the store some answers take several times the estimate. Without
    the measured ratio, draining hosts would admit such requests with too little time
    left, and truncate their answers.
    """

    def __init__(self) -> None:
        self._worst_ratio = 0.0
        self._updated_at_seconds = 0.0

    def note(
        self,
        answer_seconds: float,
        *,
        latency_target_seconds: float,
        answer_tokens: int,
        now_seconds: float,
    ) -> None:
        """Record the duration of a complete answer."""
        estimated_seconds = _estimated_seconds(latency_target_seconds, answer_tokens)
        ratio = answer_seconds / estimated_seconds
        if ratio > self._decayed_ratio(now_seconds):
            self._worst_ratio = ratio
            self._updated_at_seconds = now_seconds

    def worst_ratio(self, now_seconds: float) -> float:
        """Return the multiple of the estimate that even slow answers stay within."""
        return max(MIN_WORST_RATIO, self._decayed_ratio(now_seconds))

    def _decayed_ratio(self, now_seconds: float) -> float:
        elapsed_seconds = now_seconds - self._updated_at_seconds
        return self._worst_ratio * math.exp(-elapsed_seconds / WORST_DECAY_SECONDS)


@attrs.frozen(repr=False)
class LateRequest(ReprMixin):
    """A request that arrives at a host which shuts down; times are monotonic."""

    kind: AnswerKind
    latency_target_seconds: float
    max_answer_tokens: int
    #: Whether it may run again, here or as its caller's next attempt.
    is_repeatable: bool
    #: Time at which its own timeout ends it in any case.
    deadline_seconds: float


@attrs.frozen(repr=False)
class DrainDecision(ReprMixin):
    """Whether a request is taken, and within which time its answer is expected."""

    is_admitted: bool
    expected_seconds: float


class DrainAdmission:
    """Decides which requests a host that shuts down still takes."""

    def __init__(self) -> None:
        self.answer_times = AnswerTimes()
        self.slow_answers = SlowAnswerTracker()

    def note_answer(
        self,
        kind: AnswerKind,
        answer_seconds: float,
        *,
        latency_target_seconds: float,
        answer_tokens: int,
        now_seconds: float,
    ) -> None:
        """Record the duration of a complete answer."""
        self.slow_answers.note(
            answer_seconds,
            latency_target_seconds=latency_target_seconds,
            answer_tokens=answer_tokens,
            now_seconds=now_seconds,
        )
        self.answer_times.note(
            kind,
            answer_seconds,
            reckoned_seconds=_estimated_seconds(latency_target_seconds, answer_tokens),
            now_seconds=now_seconds,
        )

    def decide(
        self,
        request: LateRequest,
        end_seconds: float,
        *,
        now_seconds: float,
        is_balancer_done: bool,
    ) -> DrainDecision:
        """Decide whether a request is taken by a host that exits at ``end_seconds``.

        While too few answers were seen, a fixed reckoning decides, once the balancer is
        done multiplied by what the slowest recent answers took of it.
        """
        if request.deadline_seconds <= end_seconds:
            remaining_seconds = max(0.0, request.deadline_seconds - now_seconds)
            return DrainDecision(True, remaining_seconds)
        reckoned_seconds = _estimated_seconds(
            request.latency_target_seconds, request.max_answer_tokens
        )
        expected_seconds = self.answer_times.expect(
            request.kind,
            REPEATABLE_QUANTILE if request.is_repeatable else ONCE_QUANTILE,
            reckoned_seconds=reckoned_seconds,
            now_seconds=now_seconds,
        )
        if expected_seconds is not None:
            return DrainDecision(
                now_seconds + expected_seconds <= end_seconds, expected_seconds
            )
        ratio = self.slow_answers.worst_ratio(now_seconds) if is_balancer_done else 1.0
        is_admitted = can_finish_before(
            end_seconds,
            latency_target_seconds=request.latency_target_seconds,
            max_answer_tokens=request.max_answer_tokens,
            now_seconds=now_seconds,
            overrun_ratio=ratio,
        )
        return DrainDecision(is_admitted, reckoned_seconds * ratio)


def can_finish_before(
    end_seconds: float,
    *,
    latency_target_seconds: float,
    max_answer_tokens: int,
    now_seconds: float,
    overrun_ratio: float = 1.0,
) -> bool:
    """Return whether a request will have its complete answer by ``end_seconds``.

    A request that may not is refused at once, before it has run. ``overrun_ratio`` is
    the multiple of the estimate that its answer may take.
    """
    estimated_seconds = _estimated_seconds(latency_target_seconds, max_answer_tokens)
    return now_seconds + estimated_seconds * overrun_ratio <= end_seconds


def _estimated_seconds(latency_target_seconds: float, answer_tokens: int) -> float:
    return latency_target_seconds * START_FACTOR + answer_tokens * TOKEN_SECONDS
