"""Admission of requests to a draining host, by the estimated time of their answers."""

import math

import attrs

from rampwick_schema import ReprMixin

from ._answer_times import AnswerKind, AnswerTimes

#: Share of like answers within whose time a request is admitted, and the additional
#: margin for one that must not run twice. A cut answer costs its caller more than a
#: refusal, which another host takes up at once.
ADMISSION_QUANTILE = 0.99
ONCE_MARGIN_RATIO = 1.25

#: Time after which a refused caller may try another host if all are ready, and if none
#: is: about what a host takes to start again.
OTHER_HOST_SECONDS = 0.05
NO_HOST_SECONDS = 1.0

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
class DrainRequest(ReprMixin):
    """What the admission knows of a request; times are monotonic."""

    kind: AnswerKind
    latency_target_seconds: float
    max_answer_tokens: int
    #: Tokens that its caller expects; None if it stated none.
    expected_answer_tokens: int | None
    #: Whether it may run again, here or as its caller's next attempt.
    is_repeatable: bool
    #: Time at which its own timeout ends it in any case.
    deadline_seconds: float

    @property
    def expected_tokens(self) -> int:
        """Return the tokens that its answer is expected to have."""
        if self.expected_answer_tokens is None:
            return self.max_answer_tokens
        return min(self.expected_answer_tokens, self.max_answer_tokens)


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
        self, request: DrainRequest, answer_seconds: float, now_seconds: float
    ) -> None:
        """Record the duration of a complete answer."""
        self.slow_answers.note(
            answer_seconds,
            latency_target_seconds=request.latency_target_seconds,
            answer_tokens=request.max_answer_tokens,
            now_seconds=now_seconds,
        )
        self.answer_times.note(
            request.kind,
            answer_seconds,
            expected_tokens=request.expected_tokens,
            now_seconds=now_seconds,
        )

    def decide(
        self,
        request: DrainRequest,
        end_seconds: float,
        *,
        now_seconds: float,
        is_balancer_done: bool,
    ) -> DrainDecision:
        """Decide whether a request is taken by a host that exits at ``end_seconds``.

        While too few answers were seen, a fixed estimate decides, once the balancer is
        done multiplied by what the slowest recent answers took of it.
        """
        if request.deadline_seconds <= end_seconds:
            remaining_seconds = max(0.0, request.deadline_seconds - now_seconds)
            return DrainDecision(True, remaining_seconds)
        expected_seconds = self.answer_times.expect(
            request.kind,
            ADMISSION_QUANTILE,
            expected_tokens=request.expected_tokens,
            now_seconds=now_seconds,
        )
        if expected_seconds is not None:
            if not request.is_repeatable:
                expected_seconds *= ONCE_MARGIN_RATIO
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
        estimated_seconds = _estimated_seconds(
            request.latency_target_seconds, request.max_answer_tokens
        )
        return DrainDecision(is_admitted, estimated_seconds * ratio)


def retry_elsewhere_seconds(ready_count: int, peers_count: int) -> float:
    """Return when a caller that this host refuses may try another one.

    If few of the peers are ready, its next tries are likely to meet others that shut
    down, and would be used up within a fraction of a second.
    """
    if not peers_count:
        return OTHER_HOST_SECONDS
    if not ready_count:
        return NO_HOST_SECONDS
    return min(NO_HOST_SECONDS, OTHER_HOST_SECONDS * peers_count / ready_count)


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
