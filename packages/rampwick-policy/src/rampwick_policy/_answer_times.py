"""How long answers take, learned from complete ones and from those that are open.

A host that shuts down admits a request if its answer will be complete in time. The
estimate is a quantile over the newest answers whose expected length was like its own,
in which open ones count with their age. If the answers of a service take a multiple of
their baseline, or the events of its open streams do, everything learned before is
scaled up at once.
"""

import heapq
import math
import statistics
from collections import OrderedDict, deque

import attrs

from rampwick_schema import ReprMixin

from ._open_answers import AnswerKind, OpenAnswers
from ._survival import Duration, duration_quantile

#: Answers of a kind that are remembered: the newest ones of a minute.
MAX_AGE_SECONDS = 60.0
MAX_ANSWERS_COUNT = 256

#: Answers of a kind from which an estimate is made.
MIN_ANSWERS_COUNT = 5

#: Largest ratio of the expected tokens of like answers, the number of the newest that
#: count, and of the nearest ones where too few are as like.
LIKE_SIZE_RATIO = 1.1
LIKE_COUNT = 100
NEAREST_COUNT = 20

#: Like open answers that count, the oldest ones: each decision sorts them.
OPEN_COUNT = 256

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

#: Multiple of the age of the oldest open answer that is expected if more answers are
#: open that long than may be late.
OPEN_AGE_RATIO = 2.0

#: Smallest multiple of their usual time that the events of open streams take, from
#: which complete answers are scaled.
MIN_PACE_RATIO = 1.25


@attrs.frozen(repr=False)
class Answer(ReprMixin):
    """A complete answer."""

    at_seconds: float
    #: Logarithm of the tokens that were expected.
    size: float
    #: Time from the arrival of its request, and from the first write of its attempt.
    seconds: float
    run_seconds: float
    #: Time between two events of such streams as it ended; None if not known.
    event_seconds: float | None = None


@attrs.frozen(repr=False)
class AnswerEstimate(ReprMixin):
    """Estimated time of an answer, and the evidence for it."""

    seconds: float
    #: Whether complete answers show the time, and not only the ages of open ones.
    is_bounded: bool
    answers_count: int
    open_count: int


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

    def find_like(self, size: float, now_seconds: float) -> list[Answer]:
        """Return the newest answers of a like size, or the nearest if few are."""
        recent = self._find_recent(now_seconds)
        like = [answer for answer in recent if _is_like(answer.size, size)]
        if len(like) >= NEAREST_COUNT:
            return like[-LIKE_COUNT:]
        return self.nearest(size, now_seconds)

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
        self.open_answers = OpenAnswers()

    def note(
        self,
        kind: AnswerKind,
        answer_seconds: float,
        *,
        expected_tokens: int,
        now_seconds: float,
        run_seconds: float | None = None,
        event_seconds: float | None = None,
    ) -> None:
        """Record a complete answer; an implausible time is ignored.

        ``run_seconds`` is the time since the first write of its attempt,
        ``event_seconds`` the mean time between its events.
        """
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
        if run_seconds is None:
            run_seconds = answer_seconds
        pace_seconds = self.open_answers.event_seconds(kind, now_seconds)
        if pace_seconds is not None:
            event_seconds = pace_seconds
        answers.record(
            Answer(now_seconds, size, answer_seconds, run_seconds, event_seconds)
        )

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
        is_from_send: bool = False,
    ) -> AnswerEstimate | None:
        """Return a time that this share of such answers stays within.

        It counts from the arrival of a request, or from the first write of an attempt.
        None if few answers of the kind were seen.
        """
        answers = self._kinds.get(kind)
        size = _size(expected_tokens)
        like = answers.find_like(size, now_seconds) if answers is not None else []
        if not like:
            return None
        since_seconds = min(answer.at_seconds for answer in like)
        largest_size = max(answer.size for answer in like)
        ended = self._ended_durations(
            kind, like, since_seconds, now_seconds, is_from_send=is_from_send
        )
        still_open = self._open_durations(
            kind,
            min(size, largest_size),
            since_seconds,
            now_seconds,
            is_from_send=is_from_send,
        )
        slow_seconds = duration_quantile([*ended, *still_open], quantile)
        is_bounded = math.isfinite(slow_seconds)
        if not is_bounded:
            oldest_seconds = max(duration.seconds for duration in still_open)
            slow_seconds = oldest_seconds * OPEN_AGE_RATIO
        margin_ratio = MARGIN_RATIO + FEW_ANSWERS_MARGIN / len(like)
        # Beyond the largest answer that was seen, time grows with the tokens.
        excess = max(0.0, size - largest_size)
        return AnswerEstimate(
            slow_seconds * margin_ratio * math.exp(excess),
            is_bounded=is_bounded,
            answers_count=len(like),
            open_count=len(still_open),
        )

    def open_ages_seconds(
        self,
        kind: AnswerKind,
        *,
        expected_tokens: int,
        now_seconds: float,
        is_from_send: bool = False,
    ) -> list[float]:
        """Return the ages of open answers that are expected to be no longer."""
        return [
            seconds
            for answer in self.open_answers.of(kind)
            if answer.expected_tokens <= expected_tokens
            and (seconds := answer.age_seconds(now_seconds, is_from_send=is_from_send))
            is not None
        ]

    def _open_durations(
        self,
        kind: AnswerKind,
        size: float,
        since_seconds: float,
        now_seconds: float,
        *,
        is_from_send: bool,
    ) -> list[Duration]:
        """Return the durations of like open answers as observed since some time."""
        observed_seconds = now_seconds - since_seconds
        ages = (
            answer.age_seconds(now_seconds, is_from_send=is_from_send)
            for answer in self.open_answers.of(kind)
            if _is_like(_size(answer.expected_tokens), size)
        )
        known_ages = (seconds for seconds in ages if seconds is not None)
        return [
            Duration(seconds, max(0.0, seconds - observed_seconds), is_open=True)
            for seconds in heapq.nlargest(OPEN_COUNT, known_ages)
        ]

    def _ended_durations(
        self,
        kind: AnswerKind,
        answers: list[Answer],
        since_seconds: float,
        now_seconds: float,
        *,
        is_from_send: bool,
    ) -> list[Duration]:
        """Return the durations that these answers would have at the present pace."""
        pace_seconds = self.open_answers.event_seconds(kind, now_seconds)
        durations = []
        for answer in answers:
            ratio = self._slowdown_ratio(kind, answer, now_seconds)
            if pace_seconds is not None and answer.event_seconds:
                pace_ratio = pace_seconds / answer.event_seconds
                if pace_ratio >= MIN_PACE_RATIO:
                    ratio = max(ratio, pace_ratio)
            seconds = answer.run_seconds if is_from_send else answer.seconds
            entry_seconds = max(0.0, seconds - (answer.at_seconds - since_seconds))
            durations.append(Duration(seconds * ratio, entry_seconds * ratio))
        return durations

    def _slowdown_ratio(
        self, kind: AnswerKind, answer: Answer, now_seconds: float
    ) -> float:
        slowdown = self._slowdowns.get(kind.service)
        if slowdown is None or answer.at_seconds >= slowdown.began_at_seconds:
            return 1.0
        return slowdown.ratio(now_seconds)


def _is_like(size: float, other_size: float) -> bool:
    return abs(size - other_size) <= math.log(LIKE_SIZE_RATIO)


def _size(expected_tokens: int) -> float:
    return math.log(max(1, expected_tokens))
