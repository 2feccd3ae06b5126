"""Request rate limits that upstreams announce for all hosts together.

An overloaded upstream includes such a rate in its responses while the limit applies.
Responses may be reordered, so each observation has the times at which the request was
sent and its response arrived.
"""

import math
from collections.abc import Callable, Iterable

import attrs

from rampwick_schema import RateLimitUpdate, ReprMixin, UpstreamRate

from ._state_changes import StateChangeTracker

#: Age up to which an unconfirmed rate applies. Hosts that send to the upstream confirm
#: it with each response. Without a bound, a host that missed the end of a rate limit
#: would apply it forever.
STALE_SECONDS = 30.0

#: Time after which the next host with a response broadcasts an unchanged rate again.
CONFIRM_SECONDS = 10.0

#: Time for which updates are retransmitted. Covers messages dropped by a full send
#: queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0


@attrs.frozen(repr=False)
class RateObservation(ReprMixin):
    """The rate limit in one response of an upstream."""

    #: Incarnation that answered; empty if incarnations are not distinguished.
    incarnation: str
    #: Requests per second from all hosts together; ``None`` if there is no limit.
    requests_per_second: float | None
    #: Times at which the request was sent and the head of its response arrived.
    sent_at_seconds: float
    received_at_seconds: float

    def replaces(self, known: "RateObservation") -> bool:
        """Return whether this observation is newer than another one.

        If both or neither have a rate, the one that arrived last is newer. Otherwise an
        observation is newer only if its request was sent after the other one arrived.
        """
        if (self.requests_per_second is None) is (known.requests_per_second is None):
            return self.received_at_seconds > known.received_at_seconds
        return self.sent_at_seconds >= known.received_at_seconds


class RequestRates:
    """The newest observation of each upstream that recently announced a rate."""

    def __init__(self, state_changes: StateChangeTracker) -> None:
        self._state_changes = state_changes
        self._observations: dict[str, RateObservation] = {}
        #: Times at which this host, and any host, last broadcast each rate.
        self._broadcast_at: dict[str, float] = {}
        self._confirmed_at: dict[str, float] = {}
        self._pending: set[str] = set()
        #: Called when there is an update to broadcast.
        self.on_update: Callable[[], None] = _do_nothing

    def __len__(self) -> int:
        return len(self._observations)

    def names(self) -> list[str]:
        """Return the upstreams that have announced a rate, even if it has ended."""
        return list(self._observations)

    def has_observation(self, upstream: str) -> bool:
        """Return whether the upstream has announced a rate, even if it has ended."""
        return upstream in self._observations

    def observation(self, upstream: str) -> RateObservation | None:
        """Return the newest observation of an upstream."""
        return self._observations.get(upstream)

    def rate(self, upstream: str, incarnation: str, now_seconds: float) -> float | None:
        """Return the rate limit of an incarnation; ``None`` if there is none."""
        observed = self._observations.get(upstream)
        if observed is None or observed.incarnation != incarnation:
            return None
        if now_seconds - observed.received_at_seconds > STALE_SECONDS:
            return None
        return observed.requests_per_second

    def record_response(
        self, upstream: str, observed: RateObservation, now_seconds: float
    ) -> None:
        """Record a rate from a response to this host and broadcast it if it is new."""
        has_changed = self.record(upstream, observed, "reported in its response")
        if self._observations.get(upstream) is not observed:
            return
        confirmed_at_seconds = self._confirmed_at.get(upstream, -math.inf)
        if has_changed or now_seconds - confirmed_at_seconds > CONFIRM_SECONDS:
            self._pending.add(upstream)
            self.on_update()

    def receive_update(self, update: RateLimitUpdate, now_seconds: float) -> None:
        """Record the rates in an update of a peer."""
        for reported in update.rates:
            observed = RateObservation(
                reported.incarnation,
                reported.requests_per_second if reported.is_limited else None,
                now_seconds - reported.asked_age_seconds,
                now_seconds - reported.heard_age_seconds,
            )
            source = (
                "reported in a response to a peer "
                f"{reported.heard_age_seconds:.3f} s ago"
            )
            self.record(reported.upstream, observed, source)
            if self._observations.get(reported.upstream) is observed:
                self._confirmed_at[reported.upstream] = now_seconds

    def take_update(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return the pending rates, which are also retransmitted later."""
        pending, self._pending = self._pending, set()
        for upstream in pending:
            self._broadcast_at[upstream] = self._confirmed_at[upstream] = now_seconds
        return self._to_update(pending, now_seconds)

    def take_retransmission(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return the recently broadcast rates for retransmission."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        broadcast = {
            name for name, at in self._broadcast_at.items() if at > oldest_seconds
        }
        return self._to_update(broadcast, now_seconds)

    def initial_state(self, now_seconds: float) -> RateLimitUpdate | None:
        """Return all rates, for a host that has just connected."""
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

    def record(self, upstream: str, observed: RateObservation, source: str) -> bool:
        """Record an observation; return whether the rate has changed."""
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
        self._record_state(upstream, observed, source)
        return True

    def sweep(self, now_seconds: float) -> None:
        """Drop observations that have long been stale; called periodically."""
        oldest_seconds = now_seconds - 2.0 * STALE_SECONDS
        for upstream, observed in list(self._observations.items()):
            if observed.received_at_seconds < oldest_seconds:
                self.forget(upstream, "no response has included a rate recently")

    def forget(self, upstream: str, reason: str) -> None:
        """Drop the rate of an upstream that no longer exists."""
        self._broadcast_at.pop(upstream, None)
        self._confirmed_at.pop(upstream, None)
        self._pending.discard(upstream)
        if self._observations.pop(upstream, None) is not None:
            self._state_changes.forget("rate", upstream, reason)

    def _record_state(
        self, upstream: str, observed: RateObservation, source: str
    ) -> None:
        if observed.requests_per_second is None:
            self._state_changes.note("rate", upstream, "open", source)
            return
        state = f"limited to {observed.requests_per_second:g} requests per second"
        self._state_changes.note("rate", upstream, state, source)


def _do_nothing() -> None:
    return
