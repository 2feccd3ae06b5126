"""How many requests a second upstreams say that they take from all hosts together.

An upstream in need names such a rate in its answers for as long as it holds. Answers
overtake each other, so each word is kept with the times between which it was true:
when the request was sent, and when its answer came.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from rampwick_schema import RateLimitUpdate, ReprMixin, UpstreamRate

from ._notices import NoticeBook

#: Age up to which a word holds that nothing confirms. Hosts that send to the upstream
#: confirm it with each answer; without a bound, a host that missed the end of a rate
#: would keep to it for good.
STALE_SECONDS = 30.0

#: Time after which what has not changed is told again by whoever has an answer next.
CONFIRM_SECONDS = 10.0

#: Covers messages dropped by a full send queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0


@attrs.frozen(repr=False)
class RateObservation(ReprMixin):
    """What one answer said of its upstream's rate."""

    #: Life that answered; empty where lives are not told apart.
    incarnation: str
    #: Requests a second from all hosts together; none if it names no rate.
    requests_per_second: float | None
    #: When the request was sent, and when the head of its answer came.
    asked_at_seconds: float
    heard_at_seconds: float

    def replaces(self, known: "RateObservation") -> bool:
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
        self._words: dict[str, RateObservation] = {}
        #: When this host told the others of each, and when anybody did.
        self._told_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}
        self._untold: set[str] = set()
        #: Called when there is something to tell.
        self.on_update: Callable[[], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._words)

    def knows(self, upstream: str) -> bool:
        """Return whether the upstream has named a rate, be it over by now."""
        return upstream in self._words

    def word(self, upstream: str) -> RateObservation | None:
        """Return the newest word of an upstream."""
        return self._words.get(upstream)

    def rate(self, upstream: str, incarnation: str, now_seconds: float) -> float | None:
        """Return the requests a second that a life takes; none if it names none."""
        word = self._words.get(upstream)
        if word is None or word.incarnation != incarnation:
            return None
        if now_seconds - word.heard_at_seconds > STALE_SECONDS:
            return None
        return word.requests_per_second

    def take_answer(
        self, upstream: str, word: RateObservation, now_seconds: float
    ) -> None:
        """Take the word of an answer that this host had; peers hear what is new."""
        is_change = self.take(upstream, word, "its answer says so")
        if self._words.get(upstream) is not word:
            return
        confirmed_at_seconds = self._confirmed_at.get(upstream, -math.inf)
        if is_change or now_seconds - confirmed_at_seconds > CONFIRM_SECONDS:
            self._untold.add(upstream)
            self.on_update()

    def hear(self, update: RateLimitUpdate, now_seconds: float) -> None:
        """Take a peer's word."""
        for told in update.rates:
            word = RateObservation(
                told.incarnation,
                told.requests_per_second if told.is_limited else None,
                now_seconds - told.asked_age_seconds,
                now_seconds - told.heard_age_seconds,
            )
            source = f"a peer had an answer {told.heard_age_seconds:.3f} s ago"
            self.take(told.upstream, word, source)
            if self._words.get(told.upstream) is word:
                self._confirmed_at[told.upstream] = now_seconds

    def take_update(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what peers have not been told, to tell them now and again later."""
        untold, self._untold = self._untold, set()
        for upstream in untold:
            self._told_at[upstream] = self._confirmed_at[upstream] = now_seconds
        return self._to_update(untold, now_seconds)

    def take_retransmission(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what peers were told of late, to tell it again."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        told = {name for name, at in self._told_at.items() if at > oldest_seconds}
        return self._to_update(told, now_seconds)

    def initial_state(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what a host is to know that has just come."""
        return self._to_update(self._words, now_seconds)

    def _to_update(
        self, names: Iterable[str], now_seconds: float
    ) -> RateLimitUpdate | None:
        rates = [
            UpstreamRate(
                name,
                word.incarnation,
                word.requests_per_second is not None,
                word.requests_per_second or 0.0,
                max(0.0, now_seconds - word.asked_at_seconds),
                max(0.0, now_seconds - word.heard_at_seconds),
            )
            for name in sorted(names)
            if (word := self._words.get(name)) is not None
        ]
        return RateLimitUpdate(rates) if rates else None

    def take(self, upstream: str, word: RateObservation, source: str) -> bool:
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

    def sweep(self, now_seconds: float) -> None:
        """Drop the words that have not held for long; to be called now and then."""
        oldest_seconds = now_seconds - 2.0 * STALE_SECONDS
        for upstream, word in list(self._words.items()):
            if word.heard_at_seconds < oldest_seconds:
                self.forget(upstream, "nobody has heard it name a rate for long")

    def forget(self, upstream: str, reason: str) -> None:
        """Drop what was said by an upstream that is gone."""
        self._told_at.pop(upstream, None)
        self._confirmed_at.pop(upstream, None)
        self._untold.discard(upstream)
        if self._words.pop(upstream, None) is not None:
            self._notices.forget("rate", upstream, reason)

    def _note(self, upstream: str, word: RateObservation, source: str) -> None:
        if word.requests_per_second is None:
            self._notices.note("rate", upstream, "open", source)
            return
        state = f"limited to {word.requests_per_second:g} requests a second"
        self._notices.note("rate", upstream, state, source)


def _do_nothing() -> None:
    return
