"""Admission of requests to a draining host, by the estimated time of their answers."""

import enum
import math

import attrs

from rampwick_schema import ReprMixin

from ._answer_times import AnswerTimes
from ._open_answers import AnswerKind, OpenAnswer

#: Chance of a cut answer up to which a request is admitted. A cut costs its caller more
#: than a refusal, which another host takes up at once. While the balancer still sends
#: callers here, one that is refused may come back to this host.
MAX_CUT_RATIO = 0.01
MAX_EARLY_CUT_RATIO = 0.05

#: The same for another attempt of a request that may have run: a refusal loses what the
#: earlier attempt was worth, as a cut does.
MAX_REPEAT_CUT_RATIO = 0.5

#: The same for a request that must not run twice, the additional margin for it, and the
#: answers without which none is admitted.
MAX_UNREPEATABLE_CUT_RATIO = 0.0
ONCE_MARGIN_RATIO = 1.25
MIN_UNREPEATABLE_ANSWERS_COUNT = 20

#: Open requests of a kind without known answers from which, once the balancer is done,
#: no other is admitted: their answers show first how long such ones take.
MAX_UNKNOWN_COUNT = 2

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


class DurationSource(enum.Enum):
    """From what the time of an answer was expected."""

    #: Its own timeout ends it before the host exits.
    TIMEOUT = "timeout"
    #: Recent answers, and the ages of open ones.
    ANSWERS = "answers"
    #: Latency target and tokens, and the ages and pace of open answers.
    TARGET = "target"


@attrs.frozen(repr=False)
class DrainDecision(ReprMixin):
    """Whether a request is taken, and within which time its answer is expected."""

    is_admitted: bool
    #: Infinite if nothing shows that it will be complete in any time.
    expected_seconds: float
    #: Time until the host exits.
    remaining_seconds: float
    source: DurationSource
    answers_count: int = 0
    open_count: int = 0
    #: Whether it is refused although it is expected to fit, since another host can
    #: answer it however long it takes.
    is_left_to_others: bool = False
    #: Whether it is refused although it is expected to fit, since nothing ends its
    #: answer before the exit, which would cut it.
    is_unbounded: bool = False


class DrainAdmission:
    """Decides which requests a host that shuts down still takes."""

    def __init__(self) -> None:
        self.answer_times = AnswerTimes()
        self.slow_answers = SlowAnswerTracker()

    def begin(self, request: DrainRequest, now_seconds: float) -> OpenAnswer:
        """Record a request that has arrived; ``end`` must follow."""
        answer = OpenAnswer(request.kind, request.expected_tokens, now_seconds)
        self.answer_times.open_answers.add(answer)
        return answer

    def end(self, answer: OpenAnswer) -> None:
        """Record that a request has ended, with an answer or without."""
        self.answer_times.open_answers.remove(answer)

    def note_answer(
        self,
        request: DrainRequest,
        answer_seconds: float,
        now_seconds: float,
        *,
        progress: OpenAnswer | None = None,
    ) -> None:
        """Record the duration of a complete answer."""
        self.slow_answers.note(
            answer_seconds,
            latency_target_seconds=request.latency_target_seconds,
            answer_tokens=request.max_answer_tokens,
            now_seconds=now_seconds,
        )
        run_seconds = event_seconds = None
        if progress is not None:
            run_seconds = progress.age_seconds(now_seconds, is_from_send=True)
            event_seconds = progress.mean_event_seconds(now_seconds)
        self.answer_times.note(
            request.kind,
            answer_seconds,
            expected_tokens=request.expected_tokens,
            now_seconds=now_seconds,
            run_seconds=run_seconds,
            event_seconds=event_seconds,
        )

    def decide(
        self,
        request: DrainRequest,
        end_seconds: float,
        *,
        now_seconds: float,
        is_balancer_done: bool,
        is_waiting: bool = False,
        may_have_run: bool = False,
        is_elsewhere_ready: bool = False,
    ) -> DrainDecision:
        """Decide whether a request is taken by a host that exits at ``end_seconds``.

        ``is_waiting`` is for one that was taken before and is about to be sent,
        ``may_have_run`` for one of which an attempt may have run. While too few answers
        were seen, a fixed estimate decides, once the balancer is done multiplied by
        what the slowest recent answers took of it; a request that must not run twice is
        refused then.

        No estimate foresees that an answer is longer than like ones, or that answers
        become slower. Once the balancer is done, only the own timeout of a request that
        arrives is certain. Unless it ends before the exit, the request is left to the
        other hosts if ``is_elsewhere_ready``, that is if a refused caller finds a ready
        one, and a stream is refused in any case: the exit would cut what it has begun.
        The answer of a plain request begins when it is complete, so that its caller
        gets an error at the exit.
        """
        decision = self._decide_by_time(
            request,
            end_seconds,
            now_seconds=now_seconds,
            is_balancer_done=is_balancer_done,
            is_waiting=is_waiting,
            may_have_run=may_have_run,
        )
        is_late_arrival = is_balancer_done and not (is_waiting or may_have_run)
        is_certain = decision.source is DurationSource.TIMEOUT
        if not decision.is_admitted or is_certain or not is_late_arrival:
            return decision
        if is_elsewhere_ready:
            return attrs.evolve(decision, is_admitted=False, is_left_to_others=True)
        if request.kind.is_stream:
            return attrs.evolve(decision, is_admitted=False, is_unbounded=True)
        return decision

    def _decide_by_time(
        self,
        request: DrainRequest,
        end_seconds: float,
        *,
        now_seconds: float,
        is_balancer_done: bool,
        is_waiting: bool,
        may_have_run: bool,
    ) -> DrainDecision:
        """Decide whether a request is expected to fit."""
        remaining_seconds = max(0.0, end_seconds - now_seconds)
        if request.deadline_seconds <= end_seconds:
            timeout_seconds = max(0.0, request.deadline_seconds - now_seconds)
            return DrainDecision(
                True, timeout_seconds, remaining_seconds, DurationSource.TIMEOUT
            )
        estimate = self.answer_times.expect(
            request.kind,
            1.0
            - max_cut_ratio(
                request, is_balancer_done=is_balancer_done, may_have_run=may_have_run
            ),
            expected_tokens=request.expected_tokens,
            now_seconds=now_seconds,
            is_from_send=is_waiting,
        )
        if estimate is None:
            return self._decide_by_target(
                request,
                remaining_seconds,
                now_seconds=now_seconds,
                is_balancer_done=is_balancer_done,
                is_waiting=is_waiting,
            )
        expected_seconds = estimate.seconds
        if not request.is_repeatable:
            expected_seconds *= ONCE_MARGIN_RATIO
            if not estimate.is_bounded:
                expected_seconds = math.inf
        if _lacks_answers(request, estimate.answers_count):
            expected_seconds = math.inf
        return DrainDecision(
            expected_seconds <= remaining_seconds,
            expected_seconds,
            remaining_seconds,
            DurationSource.ANSWERS,
            answers_count=estimate.answers_count,
            open_count=estimate.open_count,
        )

    def _decide_by_target(
        self,
        request: DrainRequest,
        remaining_seconds: float,
        *,
        now_seconds: float,
        is_balancer_done: bool,
        is_waiting: bool,
    ) -> DrainDecision:
        # Requests that wait as this one does show nothing.
        ages_seconds = self.answer_times.open_ages_seconds(
            request.kind,
            expected_tokens=request.expected_tokens,
            now_seconds=now_seconds,
            is_from_send=is_waiting,
        )
        expected_seconds = _estimated_seconds(
            request.latency_target_seconds,
            request.max_answer_tokens,
            self.answer_times.open_answers.event_seconds(request.kind, now_seconds),
        )
        if is_balancer_done:
            expected_seconds *= self.slow_answers.worst_ratio(now_seconds)
        is_unknown = (
            _lacks_answers(request, 0)
            or (is_balancer_done and len(ages_seconds) >= MAX_UNKNOWN_COUNT)
            or max(ages_seconds, default=0.0) > expected_seconds
        )
        if is_unknown:
            expected_seconds = math.inf
        return DrainDecision(
            expected_seconds <= remaining_seconds,
            expected_seconds,
            remaining_seconds,
            DurationSource.TARGET,
            open_count=len(ages_seconds),
        )


def _lacks_answers(request: DrainRequest, answers_count: int) -> bool:
    return not request.is_repeatable and answers_count < MIN_UNREPEATABLE_ANSWERS_COUNT


def max_cut_ratio(
    request: DrainRequest, *, is_balancer_done: bool, may_have_run: bool = False
) -> float:
    """Return the chance of a cut answer up to which a request is admitted."""
    if not request.is_repeatable:
        return MAX_UNREPEATABLE_CUT_RATIO
    if may_have_run:
        return MAX_REPEAT_CUT_RATIO
    return MAX_CUT_RATIO if is_balancer_done else MAX_EARLY_CUT_RATIO


def finds_ready_host(ready_count: int, peers_count: int) -> bool:
    """Return whether a caller that this host refuses is likely to find a ready one.

    If fewer than half of the peers are ready, its tries may all meet others that shut
    down: refusals then cost more answers than the cuts that they avoid.
    """
    return ready_count > 0 and 2 * ready_count >= peers_count


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


def _estimated_seconds(
    latency_target_seconds: float,
    answer_tokens: int,
    event_seconds: float | None = None,
) -> float:
    token_seconds = max(TOKEN_SECONDS, event_seconds or 0.0)
    return latency_target_seconds * START_FACTOR + answer_tokens * token_seconds
