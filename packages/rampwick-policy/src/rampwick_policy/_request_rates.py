"""How many requests a second upstreams say that they take from all hosts together.

An upstream in need names such a rate in its answers for as long as it holds. Answers
overtake each other, so each word is kept with the times between which it was true:
when the request was sent, and when its answer came.
"""

import attrs

from rampwick_schema import Shown

from ._notices import NoticeBook

#: Age up to which a word holds that nothing confirms. Hosts that send to the upstream
#: confirm it with each answer; without a bound, a host that missed the end of a rate
#: would keep to it for good.
STALE_SECONDS = 30.0


@attrs.frozen(repr=False)
class RateWord(Shown):
    """What one answer said of its upstream's rate."""

    #: Life that answered; empty where lives are not told apart.
    incarnation: str
    #: Requests a second from all hosts together; none if it names no rate.
    requests_per_second: float | None
    #: When the request was sent, and when the head of its answer came.
    asked_at_seconds: float
    heard_at_seconds: float

    def replaces(self, known: "RateWord") -> bool:
        """Return whether this is surely what the upstream says now.

        Of two words that agree in whether there is a rate, the one heard last holds.
        Where they differ, only what was asked for after the other was heard is newer.
        """
        if (self.requests_per_second is None) is (known.requests_per_second is None):
            return self.heard_at_seconds > known.heard_at_seconds
        return self.asked_at_seconds >= known.heard_at_seconds


class RequestRates:
    """The newest word of each upstream that named a rate of late."""

    def __init__(self, notices: NoticeBook) -> None:
        self._notices = notices
        self._words: dict[str, RateWord] = {}

    def __len__(self) -> int:
        return len(self._words)

    def knows(self, upstream: str) -> bool:
        """Return whether the upstream has named a rate, be it over by now."""
        return upstream in self._words

    def rate(self, upstream: str, incarnation: str, now_seconds: float) -> float | None:
        """Return the requests a second that a life takes; none if it names none."""
        word = self._words.get(upstream)
        if word is None or word.incarnation != incarnation:
            return None
        if now_seconds - word.heard_at_seconds > STALE_SECONDS:
            return None
        return word.requests_per_second

    def take(self, upstream: str, word: RateWord, source: str) -> bool:
        """Take a word; return whether what is believed is another now."""
        known = self._words.get(upstream)
        if known is not None and known.incarnation != word.incarnation:
            known = None
        if known is None and word.requests_per_second is None:
            return False
        if known is not None and not word.replaces(known):
            return False
        self._words[upstream] = word
        before = known.requests_per_second if known else None
        if word.requests_per_second == before:
            return False
        self._note(upstream, word, source)
        return True

    def forget(self, upstream: str, reason: str) -> None:
        """Drop what was said by an upstream that is gone."""
        if self._words.pop(upstream, None) is not None:
            self._notices.forget("rate", upstream, reason)

    def _note(self, upstream: str, word: RateWord, source: str) -> None:
        if word.requests_per_second is None:
            self._notices.note("rate", upstream, "open", source)
            return
        state = f"limited to {word.requests_per_second:g} requests a second"
        self._notices.note("rate", upstream, state, source)
