"""Prefill demand of each service by long and short prompts, from all hosts.

The demand is the rate of uncached tokens that are sent to the runners. Each host
measures its own and adds what its peers report in their summaries. It answers the load
in which long prompts delay the decode steps of short streams on the same runners: its
division tells how many runners the short prompts need.
"""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import PrefillDemand, ReprMixin

#: Time constant of the decay of the own rates: the length of the shortest bursts of
#: callers. With a shorter one the rates of a host without peers are too noisy, since it
#: sends only a few prompts in a second.
DECAY_SECONDS = 3.0

#: Rates below this one are not reported, so that an idle service has no demand.
NEGLIGIBLE_TOKENS_PER_SECOND = 1.0

#: Largest plausible rate, in tokens per second: more than all runners of a fleet of
#: some thousand can compute.
MAX_TOKENS_PER_SECOND = 1e9


def is_plausible(demand: PrefillDemand) -> bool:
    """Return whether reported rates are finite, not negative and not absurdly large."""
    rates = (demand.long_tokens_per_second, demand.short_tokens_per_second)
    return all(
        math.isfinite(rate) and 0.0 <= rate <= MAX_TOKENS_PER_SECOND for rate in rates
    )


@attrs.define(repr=False)
class _DecayedRates(ReprMixin):
    """Rates of one service that decay exponentially."""

    at_seconds: float
    long_tokens_per_second: float = 0.0
    short_tokens_per_second: float = 0.0
    #: Rate of slot time that short prompts take, in seconds per second: the number of
    #: slots that they occupy.
    short_slots: float = 0.0

    def decay(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self.at_seconds)
        factor = math.exp(-elapsed_seconds / DECAY_SECONDS)
        self.long_tokens_per_second *= factor
        self.short_tokens_per_second *= factor
        self.short_slots *= factor
        self.at_seconds = now_seconds


class PrefillDemandTracker:
    """Rates of uncached tokens that this host sends, by service."""

    def __init__(self) -> None:
        self._rates: dict[str, _DecayedRates] = {}

    def note_sent(
        self, service: str, missing_tokens: int, is_long: bool, now_seconds: float
    ) -> None:
        """Record a prompt that was sent to a runner."""
        rates = self._decayed(service, now_seconds)
        rate = missing_tokens / DECAY_SECONDS
        if is_long:
            rates.long_tokens_per_second += rate
        else:
            rates.short_tokens_per_second += rate

    def note_slot_time(
        self, service: str, run_seconds: float, now_seconds: float
    ) -> None:
        """Record the time for which a short prompt is expected to hold a slot."""
        rates = self._decayed(service, now_seconds)
        rates.short_slots += run_seconds / DECAY_SECONDS

    def own(self, now_seconds: float) -> list[PrefillDemand]:
        """Return the demand of this host, for its summary."""
        demands = (self.of(service, now_seconds) for service in sorted(self._rates))
        return [
            demand
            for demand in demands
            if demand.long_tokens_per_second + demand.short_tokens_per_second
            > NEGLIGIBLE_TOKENS_PER_SECOND
        ]

    def of(self, service: str, now_seconds: float) -> PrefillDemand:
        """Return the demand of this host for one service."""
        rates = self._decayed(service, now_seconds)
        return PrefillDemand(
            service, rates.long_tokens_per_second, rates.short_tokens_per_second
        )

    def short_slots(self, service: str, now_seconds: float) -> float:
        """Return the number of slots that short prompts of this host occupy."""
        return self._decayed(service, now_seconds).short_slots

    def _decayed(self, service: str, now_seconds: float) -> _DecayedRates:
        rates = self._rates.get(service)
        if rates is None:
            rates = self._rates[service] = _DecayedRates(now_seconds)
        rates.decay(now_seconds)
        return rates


def add_demands(own: PrefillDemand, others: Iterable[PrefillDemand]) -> PrefillDemand:
    """Return the sum of the own demand and plausible demands of the same service."""
    long_rate = own.long_tokens_per_second
    short_rate = own.short_tokens_per_second
    for demand in others:
        if demand.service == own.service and is_plausible(demand):
            long_rate += demand.long_tokens_per_second
            short_rate += demand.short_tokens_per_second
    return PrefillDemand(own.service, long_rate, short_rate)
