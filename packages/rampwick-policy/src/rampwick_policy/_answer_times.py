"""How long answers take from the arrival of their request, learned from complete ones.

A host that shuts down admits a request if its answer will be whole in time. A fixed
reckoning is wrong both ways: by a factor of ten on a fast service, whose requests it
would refuse, and by three after an outage, when it would truncate their answers.

A rise is believed at once: answers of a service that take a multiple of what is usual
raise all its estimates. A fall is believed as the old answers are forgotten.
"""

import math
import statistics
from collections import OrderedDict, deque

import attrs

from rampwick_schema import ReprMixin

#: Answers of a kind that are remembered: the newest ones of a minute.
MAX_AGE_SECONDS = 60.0
MAX_VALUES_COUNT = 256

#: Answers of a kind, and of all kinds, from which a high quantile is known.
MIN_KIND_COUNT = 20
MIN_TOTAL_COUNT = 50

#: Kinds that are remembered; the least recently seen ones are forgotten.
MAX_KINDS_COUNT = 512

#: Longest time of an answer that is plausible.
MAX_ANSWER_SECONDS = 3600.0

#: Resolution of quantiles, and the allowance for those of a small sample.
QUANTILES_COUNT = 100
MARGIN_RATIO = 1.2

#: Interval at which the usual time of a kind is computed again.
USUAL_INTERVAL_SECONDS = 5.0

#: Recent answers of a service by whose median multiple of the usual time a rise is
#: found, the multiple from which it is none by chance, and the time constant of its
#: decay.
RECENT_COUNT = 9
MIN_RISE_RATIO = 1.5
RISE_DECAY_SECONDS = 30.0


@attrs.frozen(repr=False)
class AnswerKind(ReprMixin):
    """Requests whose answers take about as long."""

    service: str
    model: str = ""
    is_stream: bool = False
    #: Binary order of magnitude of the tokens that the answer may have.
    tokens_order: int = 0


def answer_kind(
    service: str, model: str, *, is_stream: bool, max_answer_tokens: int
) -> AnswerKind:
    """Return the kind of a request's answer."""
    tokens_order = max(0, max_answer_tokens).bit_length()
    return AnswerKind(service, model, is_stream, tokens_order)


class _RecentValues:
    """Values of the last minute, up to a number, and their quantiles."""

    def __init__(self) -> None:
        self._values: deque[tuple[float, float]] = deque(maxlen=MAX_VALUES_COUNT)
        self._usual: float | None = None
        self._usual_at_seconds = -math.inf

    def record(self, value: float, now_seconds: float) -> None:
        self._values.append((now_seconds, value))

    def count(self, now_seconds: float) -> int:
        self._expire(now_seconds)
        return len(self._values)

    def usual(self, now_seconds: float) -> float | None:
        """Return the median as of some seconds ago; None if few were known then."""
        if now_seconds - self._usual_at_seconds >= USUAL_INTERVAL_SECONDS:
            is_known = self.count(now_seconds) >= MIN_KIND_COUNT
            self._usual = self.quantile(0.5) if is_known else None
            self._usual_at_seconds = now_seconds
        return self._usual

    def quantile(self, ratio: float) -> float:
        """Return a value that this share stays within; with few, the largest."""
        values = [value for _, value in self._values]
        cuts = statistics.quantiles(values, n=QUANTILES_COUNT, method="inclusive")
        index = round(ratio * QUANTILES_COUNT) - 1
        # The largest of few values is a lower bound of a high quantile.
        return cuts[index] if len(values) * (1.0 - ratio) >= 1.0 else max(values)

    def _expire(self, now_seconds: float) -> None:
        while self._values and now_seconds - self._values[0][0] > MAX_AGE_SECONDS:
            self._values.popleft()


@attrs.define(repr=False)
class _Rise(ReprMixin):
    """Multiple of the usual time that the answers of one service take now."""

    recent_ratios: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=RECENT_COUNT)
    )
    _ratio: float = 1.0
    _noted_at_seconds: float = 0.0

    def note(self, ratio: float, now_seconds: float) -> None:
        self.recent_ratios.append(ratio)
        if len(self.recent_ratios) < RECENT_COUNT:
            return
        median = statistics.median(self.recent_ratios)
        if median >= MIN_RISE_RATIO and median > self.ratio(now_seconds):
            self._ratio, self._noted_at_seconds = median, now_seconds

    def ratio(self, now_seconds: float) -> float:
        elapsed_seconds = max(0.0, now_seconds - self._noted_at_seconds)
        excess = (self._ratio - 1.0) * math.exp(-elapsed_seconds / RISE_DECAY_SECONDS)
        return 1.0 + excess


class AnswerTimes:
    """Learns how long answers take, by kind."""

    def __init__(self) -> None:
        self._kinds: OrderedDict[AnswerKind, _RecentValues] = OrderedDict()
        #: Multiples of the reckoned time that the answers of all kinds took.
        self._multiples = _RecentValues()
        self._rises: dict[str, _Rise] = {}

    def note(
        self,
        kind: AnswerKind,
        answer_seconds: float,
        *,
        reckoned_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record a complete answer.

        ``reckoned_seconds`` is what a fixed reckoning says about it. An implausible
        time is ignored.
        """
        if not 0.0 < answer_seconds <= MAX_ANSWER_SECONDS:
            return
        values = self._kinds.get(kind)
        if values is None:
            values = self._kinds[kind] = _RecentValues()
            if len(self._kinds) > MAX_KINDS_COUNT:
                self._forget_oldest()
        self._kinds.move_to_end(kind)
        usual_seconds = values.usual(now_seconds)
        if usual_seconds is not None:
            rise = self._rises.setdefault(kind.service, _Rise())
            rise.note(answer_seconds / usual_seconds, now_seconds)
        values.record(answer_seconds, now_seconds)
        if reckoned_seconds > 0.0:
            self._multiples.record(answer_seconds / reckoned_seconds, now_seconds)

    def _forget_oldest(self) -> None:
        forgotten, _ = self._kinds.popitem(last=False)
        if all(kind.service != forgotten.service for kind in self._kinds):
            self._rises.pop(forgotten.service, None)

    def expect(
        self,
        kind: AnswerKind,
        quantile: float,
        *,
        reckoned_seconds: float,
        now_seconds: float,
    ) -> float | None:
        """Return a time that this share of such answers stays within.

        If few of the kind were seen, it is the reckoned time by the multiples that
        answers of all kinds took; None if few answers were seen at all.
        """
        values = self._kinds.get(kind)
        if values is not None and values.count(now_seconds) >= MIN_KIND_COUNT:
            return self._raised(kind, values.quantile(quantile), now_seconds)
        if self._multiples.count(now_seconds) < MIN_TOTAL_COUNT:
            return None
        multiple = self._multiples.quantile(quantile)
        return self._raised(kind, multiple * reckoned_seconds, now_seconds)

    def _raised(self, kind: AnswerKind, seconds: float, now_seconds: float) -> float:
        rise = self._rises.get(kind.service)
        ratio = rise.ratio(now_seconds) if rise is not None else 1.0
        return seconds * MARGIN_RATIO * ratio
