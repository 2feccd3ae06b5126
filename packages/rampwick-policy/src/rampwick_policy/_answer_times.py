"""How long answers take from the arrival of their request, learned from complete ones.

A host that shuts down admits a request if its answer will be complete in time. The
estimate is a high quantile over the recent answers whose expected length was most like
it. If the answers of a service take a multiple of their baseline, everything learned
before is scaled up at once, and the multiple decays slowly.
"""

import math
import statistics
from collections import OrderedDict, deque

import attrs

from rampwick_schema import ReprMixin

#: Answers of a kind that are remembered: the newest ones of a minute.
MAX_AGE_SECONDS = 60.0
MAX_ANSWERS_COUNT = 256

#: Answers of a kind from which an estimate is made, and the number of those most like
#: the request by whose quantile it is made.
MIN_ANSWERS_COUNT = 5
NEAREST_COUNT = 20

#: Multiple of the quantile that is expected, and its part that shrinks with the number
#: of answers.
MARGIN_RATIO = 1.2
FEW_ANSWERS_MARGIN = 2.0

#: Kinds that are remembered; the least recently seen ones are forgotten.
MAX_KINDS_COUNT = 512

#: Longest time of an answer that is plausible.
MAX_ANSWER_SECONDS = 3600.0

#: Step of sizes for which baselines are known, and the interval at which they are
#: computed again.
SIZE_STEP = 0.5
BASELINE_INTERVAL_SECONDS = 5.0

#: Recent answers of a service by whose median multiple of the baseline a slowdown is
#: found, the smallest such multiple, and the time constant of its
#: decay.
RECENT_COUNT = 9
MIN_SLOWDOWN_RATIO = 1.5
SLOWDOWN_DECAY_SECONDS = 30.0


@attrs.frozen(repr=False)
class AnswerKind(ReprMixin):
    """Requests whose answers take about as long for their length."""

    service: str
    model: str = ""
    is_stream: bool = False


@attrs.frozen(repr=False)
class Answer(ReprMixin):
    """A complete answer."""

    at_seconds: float
    #: Logarithm of the tokens that were expected.
    size: float
    seconds: float


class _RecentAnswers:
    """The recent answers of one kind."""

    def __init__(self) -> None:
        self._answers: deque[Answer] = deque(maxlen=MAX_ANSWERS_COUNT)
        #: Median of the answers most like a rounded size, and when it was computed.
        self._baselines: dict[int, tuple[float, float | None]] = {}

    def record(self, answer: Answer) -> None:
        self._answers.append(answer)

    def baseline_seconds(self, size: float, now_seconds: float) -> float | None:
        """Return the median of like answers as of some seconds ago, if known."""
        rounded = round(size / SIZE_STEP)
        computed_at_seconds, seconds = self._baselines.get(rounded, (-math.inf, None))
        if now_seconds - computed_at_seconds < BASELINE_INTERVAL_SECONDS:
            return seconds
        nearest = self.nearest(rounded * SIZE_STEP, now_seconds)
        seconds = None
        if len(nearest) >= NEAREST_COUNT:
            seconds = statistics.median(answer.seconds for answer in nearest)
        self._baselines[rounded] = (now_seconds, seconds)
        return seconds

    def nearest(self, size: float, now_seconds: float) -> list[Answer]:
        """Return the recent answers that are most like a size; none if few are known.

        Among those of one size, the newest come first.
        """
        recent = self._find_recent(now_seconds)
        if len(recent) < MIN_ANSWERS_COUNT:
            return []
        newest_first = reversed(recent)
        return sorted(newest_first, key=lambda item: abs(item.size - size))[
            :NEAREST_COUNT
        ]

    def _find_recent(self, now_seconds: float) -> deque[Answer]:
        oldest_seconds = now_seconds - MAX_AGE_SECONDS
        while self._answers and self._answers[0].at_seconds < oldest_seconds:
            self._answers.popleft()
        return self._answers


class _Slowdown:
    """Multiple of the baseline that the answers of one service take now."""

    def __init__(self) -> None:
        self._recent: deque[tuple[float, float]] = deque(maxlen=RECENT_COUNT)
        self._ratio = 1.0
        self._noted_at_seconds = -math.inf
        #: Time from which the answers include the slowdown.
        self.began_at_seconds = -math.inf

    def note(self, ratio: float, now_seconds: float) -> None:
        self._recent.append((now_seconds, ratio))
        if len(self._recent) < RECENT_COUNT:
            return
        median = statistics.median(ratio for _, ratio in self._recent)
        known_ratio = self.ratio(now_seconds)
        if median < MIN_SLOWDOWN_RATIO or median <= known_ratio:
            return
        if known_ratio < MIN_SLOWDOWN_RATIO:
            self.began_at_seconds = self._recent[0][0]
        self._ratio, self._noted_at_seconds = median, now_seconds

    def ratio(self, now_seconds: float) -> float:
        elapsed_seconds = max(0.0, now_seconds - self._noted_at_seconds)
        excess = (self._ratio - 1.0) * math.exp(
            -elapsed_seconds / SLOWDOWN_DECAY_SECONDS
        )
        return 1.0 + excess


class AnswerTimes:
    """Learns how long answers take, by kind and expected tokens."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[AnswerKind, _RecentAnswers] = OrderedDict()
        self._slowdowns: dict[str, _Slowdown] = {}

    def note(
        self,
        kind: AnswerKind,
        answer_seconds: float,
        *,
        expected_tokens: int,
        now_seconds: float,
    ) -> None:
        """Record a complete answer; an implausible time is ignored."""
        if not 0.0 < answer_seconds <= MAX_ANSWER_SECONDS:
            return
        answers = self._kinds.get(kind)
        if answers is None:
            answers = self._kinds[kind] = _RecentAnswers()
            if len(self._kinds) > MAX_KINDS_COUNT:
                self._forget_oldest()
        self._kinds.move_to_end(kind)
        size = _size(expected_tokens)
        baseline_seconds = answers.baseline_seconds(size, now_seconds)
        if baseline_seconds is not None:
            slowdown = self._slowdowns.setdefault(kind.service, _Slowdown())
            slowdown.note(answer_seconds / baseline_seconds, now_seconds)
        answers.record(Answer(now_seconds, size, answer_seconds))

    def _forget_oldest(self) -> None:
        forgotten, _ = self._kinds.popitem(last=False)
        if all(kind.service != forgotten.service for kind in self._kinds):
            self._slowdowns.pop(forgotten.service, None)

    def expect(
        self,
        kind: AnswerKind,
        quantile: float,
        *,
        expected_tokens: int,
        now_seconds: float,
    ) -> float | None:
        """Return a time that this share of such answers stays within.

        None if few answers of the kind were seen.
        """
        answers = self._kinds.get(kind)
        size = _size(expected_tokens)
        nearest = answers.nearest(size, now_seconds) if answers is not None else []
        if not nearest:
            return None
        times = sorted(self._slowed_seconds(kind, a, now_seconds) for a in nearest)
        slow_seconds = times[min(len(times), math.ceil(quantile * len(times))) - 1]
        margin_ratio = MARGIN_RATIO + FEW_ANSWERS_MARGIN / len(times)
        # Beyond the largest answer that was seen, time grows with the tokens.
        excess = max(0.0, size - max(answer.size for answer in nearest))
        return slow_seconds * margin_ratio * math.exp(excess)

    def _slowed_seconds(
        self, kind: AnswerKind, answer: Answer, now_seconds: float
    ) -> float:
        slowdown = self._slowdowns.get(kind.service)
        if slowdown is None or answer.at_seconds >= slowdown.began_at_seconds:
            return answer.seconds
        return answer.seconds * slowdown.ratio(now_seconds)


def _size(expected_tokens: int) -> float:
    return math.log(max(1, expected_tokens))
