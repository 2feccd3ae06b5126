"""How many requests a second upstreams say that they take from all hosts together.

An upstream in need names such a rate in its answers for as long as it holds. Answers
overtake each other, so each word is kept with the times between which it was true:
when the request was sent, and when its answer came.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from rampwick_schema import RateLimitUpdate, Shown, UpstreamRate

from ._state_changes import StateChangeTracker

#: Age up to which a word holds that nothing confirms. Hosts that send to the upstream
#: confirm it with each answer; without a bound, a host that missed the end of a rate
#: would keep to it for good.
STALE_SECONDS = 30.0

#: Time after which what has not changed is told again by whoever has an answer next.
CONFIRM_SECONDS = 10.0

#: Covers messages dropped by a full send queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0


@attrs.frozen(repr=False)
class RateObservation(Shown):
    """What one answer said of its upstream's rate."""

    #: Life that answered; empty where lives are not told apart.
    incarnation: str
    #: Requests a second from all hosts together; none if it names no rate.
    requests_per_second: float | None
    #: When the request was sent, and when the head of its answer came.
    sent_at_seconds: float
    received_at_seconds: float

    def replaces(self, known: "RateObservation") -> bool:
        """Return whether this is surely what the upstream says now.

        Of two words that agree in whether there is a rate, the one heard last holds.
        Where they differ, only what was asked for after the other was heard is newer.
        """
        if (self.requests_per_second is None) is (known.requests_per_second is None):
            return self.received_at_seconds > known.received_at_seconds
        return self.sent_at_seconds >= known.received_at_seconds


class RequestRates:
    """The newest word of each upstream that named a rate of late."""

    def __init__(self, state_changes: StateChangeTracker) -> None:
        self._state_changes = state_changes
        self._observations: dict[str, RateObservation] = {}
        #: When this host told the others of each, and when anybody did.
        self._published_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}
        self._unpublished: set[str] = set()
        #: Called when there is something to tell.
        self.on_update: Callable[[], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._observations)

    def knows(self, upstream: str) -> bool:
        """Return whether the upstream has named a rate, be it over by now."""
        return upstream in self._observations

    def observation(self, upstream: str) -> RateObservation | None:
        """Return the newest word of an upstream."""
        return self._observations.get(upstream)

    def rate(self, upstream: str, incarnation: str, now_seconds: float) -> float | None:
        """Return the requests a second that a life takes; none if it names none."""
        observed = self._observations.get(upstream)
        if observed is None or observed.incarnation != incarnation:
            return None
        if now_seconds - observed.received_at_seconds > STALE_SECONDS:
            return None
        return observed.requests_per_second

    def record_answer(
        self, upstream: str, observed: RateObservation, now_seconds: float
    ) -> None:
        """Take the word of an answer that this host had; peers hear what is new."""
        has_changed = self.take(upstream, observed, "its answer says so")
        if self._observations.get(upstream) is not observed:
            return
        confirmed_at_seconds = self._confirmed_at.get(upstream, -math.inf)
        if has_changed or now_seconds - confirmed_at_seconds > CONFIRM_SECONDS:
            self._unpublished.add(upstream)
            self.on_update()

    def receive_update(self, update: RateLimitUpdate, now_seconds: float) -> None:
        """Take a peer's word."""
        for reported in update.rates:
            observed = RateObservation(
                reported.incarnation,
                reported.requests_per_second if reported.is_limited else None,
                now_seconds - reported.asked_age_seconds,
                now_seconds - reported.heard_age_seconds,
            )
            source = f"a peer had an answer {reported.heard_age_seconds:.3f} s ago"
            self.take(reported.upstream, observed, source)
            if self._observations.get(reported.upstream) is observed:
                self._confirmed_at[reported.upstream] = now_seconds

    def take_update(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what peers have not been told, to tell them now and again later."""
        unpublished, self._unpublished = self._unpublished, set()
        for upstream in unpublished:
            self._published_at[upstream] = self._confirmed_at[upstream] = now_seconds
        return self._to_update(unpublished, now_seconds)

    def take_retransmission(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what peers were told of late, to tell it again."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        reported = {
            name for name, at in self._published_at.items() if at > oldest_seconds
        }
        return self._to_update(reported, now_seconds)

    def initial_state(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return what a host is to know that has just come."""
        return self._to_update(self._observations, now_seconds)

    def _to_update(
        self, names: Iterable[str], now_seconds: float
    ) -> RateLimitUpdate | None:
        rates = [
            UpstreamRate(
                name,
                observed.incarnation,
                observed.requests_per_second is not None,
                observed.requests_per_second or 0.0,
                max(0.0, now_seconds - observed.sent_at_seconds),
                max(0.0, now_seconds - observed.received_at_seconds),
            )
            for name in sorted(names)
            if (observed := self._observations.get(name)) is not None
        ]
        return RateLimitUpdate(rates) if rates else None

    def take(self, upstream: str, observed: RateObservation, source: str) -> bool:
        """Take a word; return whether what is believed is another now."""
        known = self._observations.get(upstream)
        if known is not None and known.incarnation != observed.incarnation:
            known = None
        if known is None and observed.requests_per_second is None:
            return False
        if known is not None and not observed.replaces(known):
            return False
        self._observations[upstream] = observed
        before = known.requests_per_second if known else None
        if observed.requests_per_second == before:
            return False
        self._note(upstream, observed, source)
        return True

    def sweep(self, now_seconds: float) -> None:
        """Drop the words that have not held for long; to be called now and then."""
        oldest_seconds = now_seconds - 2.0 * STALE_SECONDS
        for upstream, observed in list(self._observations.items()):
            if observed.received_at_seconds < oldest_seconds:
                self.forget(upstream, "nobody has heard it name a rate for long")

    def forget(self, upstream: str, reason: str) -> None:
        """Drop what was said by an upstream that is gone."""
        self._published_at.pop(upstream, None)
        self._confirmed_at.pop(upstream, None)
        self._unpublished.discard(upstream)
        if self._observations.pop(upstream, None) is not None:
            self._state_changes.forget("rate", upstream, reason)

    def _note(self, upstream: str, observed: RateObservation, source: str) -> None:
        if observed.requests_per_second is None:
            self._state_changes.note("rate", upstream, "open", source)
            return
        state = f"limited to {observed.requests_per_second:g} requests a second"
        self._state_changes.note("rate", upstream, state, source)


def _do_nothing() -> None:
    return
