"""Answers that are not complete yet, as evidence of how long answers take."""

import math

import attrs

from rampwick_schema import ReprMixin

#: Length of the intervals over which the pace of a stream is computed: the current one
#: and the one before it.
PACE_INTERVAL_SECONDS = 0.25

#: Events after which a stream has a pace.
MIN_PACE_EVENTS_COUNT = 4

#: Interval at which the pace of a kind is computed again.
PACE_REFRESH_SECONDS = 0.1


@attrs.frozen(repr=False)
class AnswerKind(ReprMixin):
    """Requests whose answers take about as long for their length."""

    service: str
    model: str = ""
    is_stream: bool = False


@attrs.define(eq=False, repr=False)
class OpenAnswer(ReprMixin):
    """Progress of an answer that is not complete; times are monotonic."""

    kind: AnswerKind
    expected_tokens: int
    began_at_seconds: float
    #: First write of the attempt that runs; None before it.
    sent_at_seconds: float | None = None
    events_count: int = 0
    first_event_at_seconds: float = 0.0
    #: Time and number of events at the starts of the last two intervals.
    _mark: tuple[float, int] = (0.0, 0)
    _earlier_mark: tuple[float, int] = (0.0, 0)

    def note_attempt(self) -> None:
        """Record that an attempt begins, which has not been sent."""
        self.sent_at_seconds = None

    def note_sent(self, now_seconds: float) -> None:
        """Record the first write of an attempt."""
        self.sent_at_seconds = now_seconds

    def note_events(self, count: int, now_seconds: float) -> None:
        """Record events that were read together."""
        if not self.events_count:
            self.first_event_at_seconds = now_seconds
            self._mark = self._earlier_mark = (now_seconds, count)
        elif now_seconds - self._mark[0] >= PACE_INTERVAL_SECONDS:
            self._earlier_mark, self._mark = (
                self._mark,
                (now_seconds, self.events_count + count),
            )
        self.events_count += count

    def age_seconds(self, now_seconds: float, *, is_from_send: bool) -> float | None:
        """Return the time since its arrival or its first write; None before it."""
        if not is_from_send:
            return now_seconds - self.began_at_seconds
        if self.sent_at_seconds is None:
            return None
        return now_seconds - self.sent_at_seconds

    def recent_events(self, now_seconds: float) -> tuple[float, int] | None:
        """Return a recent time and its number of events; None before it has a pace."""
        if self.events_count < MIN_PACE_EVENTS_COUNT:
            return None
        since_seconds, events_count = self._earlier_mark
        return now_seconds - since_seconds, self.events_count - events_count

    def mean_event_seconds(self, now_seconds: float) -> float | None:
        """Return the mean time between its events; None before it has a pace."""
        if self.events_count < MIN_PACE_EVENTS_COUNT:
            return None
        elapsed_seconds = now_seconds - self.first_event_at_seconds
        return elapsed_seconds / (self.events_count - 1)


class OpenAnswers:
    """The open answers of a host by kind."""

    def __init__(self) -> None:
        self._kinds: dict[AnswerKind, set[OpenAnswer]] = {}
        #: When the pace of a kind was computed, and the pace.
        self._paces: dict[AnswerKind, tuple[float, float | None]] = {}

    def add(self, answer: OpenAnswer) -> None:
        """Add an answer whose request has arrived."""
        self._kinds.setdefault(answer.kind, set()).add(answer)

    def remove(self, answer: OpenAnswer) -> None:
        """Remove an answer that has ended, whether complete or not."""
        answers = self._kinds.get(answer.kind, set())
        answers.discard(answer)
        if not answers:
            self._kinds.pop(answer.kind, None)
            self._paces.pop(answer.kind, None)

    def of(self, kind: AnswerKind) -> set[OpenAnswer]:
        """Return the open answers of a kind."""
        return self._kinds.get(kind, set())

    def event_seconds(self, kind: AnswerKind, now_seconds: float) -> float | None:
        """Return the present time between two events of a stream of this kind.

        None if none has a pace. A stream whose events cease counts with the time since.
        """
        computed_at_seconds, seconds = self._paces.get(kind, (-math.inf, None))
        if now_seconds - computed_at_seconds >= PACE_REFRESH_SECONDS:
            seconds = self._compute_event_seconds(kind, now_seconds)
            if kind in self._kinds:
                self._paces[kind] = (now_seconds, seconds)
        return seconds

    def _compute_event_seconds(
        self, kind: AnswerKind, now_seconds: float
    ) -> float | None:
        recent = [answer.recent_events(now_seconds) for answer in self.of(kind)]
        paces = [pace for pace in recent if pace is not None]
        elapsed_seconds = sum(seconds for seconds, _ in paces)
        if not elapsed_seconds:
            return None
        return elapsed_seconds / max(1, sum(count for _, count in paces))
