"""Which host sends an upstream next that takes only so many requests a second.

The rate is one number for all hosts. An equal part for each would leave 90 hosts with
less than one request in a minute, and one saved up at each of them is more than the
whole allows. So a few hosts send, those that rendezvous puts first, and each sends its
part of the rate one request after the other. Nobody is asked: who hears the same hosts
chooses the same senders, and two that differ for a moment send one request too many.
"""

import functools
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._request_rates import RequestRates
from ._roles import Neighbours
from ._sent_window import SentWindow
from ._upstream import Upstream

#: Least rate: an upstream that takes nothing is tried now and then, since only an
#: answer says that it takes requests again.
TRIAL_PER_SECOND = 0.1

#: Senders for each request a second, beside the first.
SENDERS_PER_RATE = 1.0

#: Requests that a sender may have saved up, so that its part is used though callers
#: come by chance.
MOST_SAVED_COUNT = 2.0

#: What sums of parts may lack of a whole request.
ROUNDING_COUNT = 1e-9

#: Time for which operators are shown what was sent.
SHOWN_WINDOW_SECONDS = 4.0


class SenderRule(Protocol):
    """Says how many hosts share the rate of one upstream."""

    def senders_count(self, requests_per_second: float) -> int:
        """Return the hosts that send, as far as there are so many."""


class FewSenders:
    """So many that each has its turn about every second.

    Each may have a request or two ready to go: twice their number is what may be sent
    at once beyond the rate.
    """

    def senders_count(self, requests_per_second: float) -> int:
        """Return the hosts that send, as far as there are so many."""
        return 1 + int(requests_per_second * SENDERS_PER_RATE)


@attrs.frozen(repr=False)
class Standpoint(ReprMixin):
    """Where a host stands and whom it hears, as far as senders are chosen by it."""

    host: str
    hall: str
    neighbours: Neighbours = Neighbours()
    #: Whether it takes no new requests; the others don't count it then either.
    is_leaving: bool = False


#: Parts remembered: they are asked for at each look at a limited upstream, and are
#: others only where hosts come or go.
PARTS_COUNT = 1024


@functools.lru_cache(maxsize=PARTS_COUNT)
def part_ratio(standpoint: Standpoint, key: bytes, senders_count: int) -> float:
    """Return a host's part of a rate; none unless it is one of the senders."""
    if standpoint.is_leaving:
        return 0.0
    near = standpoint.neighbours
    halls = _rendezvous.rank(key, near.halls | {standpoint.hall})[:senders_count]
    mates_count = max(1, senders_count // len(halls))
    hosts = _rendezvous.rank(key, near.staying | {standpoint.host})[:mates_count]
    if standpoint.hall not in halls or standpoint.host not in hosts:
        return 0.0
    return 1.0 / (len(halls) * len(hosts))


@attrs.define(repr=False)
class _Turns(ReprMixin):
    """What one host may send one upstream; a new sender has nothing saved."""

    at_seconds: float
    requests_per_second: float = 0.0
    saved_count: float = 0.0
    sent: SentWindow = attrs.field(factory=lambda: SentWindow(SHOWN_WINDOW_SECONDS))

    def change(self, requests_per_second: float, now_seconds: float) -> None:
        """Save what was earned until now, and go on at another rate."""
        earned = (now_seconds - self.at_seconds) * self.requests_per_second
        self.saved_count = min(MOST_SAVED_COUNT, self.saved_count + earned)
        if not requests_per_second:
            # By the time it sends again, others have used what it saved.
            self.saved_count = 0.0
        self.at_seconds = now_seconds
        self.requests_per_second = requests_per_second

    @property
    def next_at_seconds(self) -> float:
        """When the next request may go; infinite if none may."""
        if self.saved_count >= 1.0 - ROUNDING_COUNT:
            return self.at_seconds
        if not self.requests_per_second:
            return math.inf
        missing = 1.0 - self.saved_count
        return self.at_seconds + missing / self.requests_per_second


@attrs.frozen(repr=False)
class TurnState(ReprMixin):
    """The rate of one upstream as operators are shown it."""

    upstream: str
    #: Requests a second from all hosts, as it says, and from this one.
    requests_per_second: float
    own_requests_per_second: float
    #: Requests that this host sent it within the last seconds.
    own_sent_count: int


class RequestTurns:
    """The turns of one host at upstreams that named a rate."""

    def __init__(
        self,
        rates: RequestRates,
        standpoint: Standpoint,
        heard_ratio: Callable[[float], float],
        rule: SenderRule | None = None,
    ) -> None:
        """``heard_ratio`` returns the part of the fleet that is heard here."""
        self.rates = rates
        self.standpoint = standpoint
        self._heard_ratio = heard_ratio
        self._rule = rule or FewSenders()
        self._turns: dict[str, _Turns] = {}

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether an upstream may be sent a request by this host now."""
        turn = self._turn(upstream, now_seconds)
        return turn is None or now_seconds >= turn.next_at_seconds

    def note_sent(self, upstream: Upstream, now_seconds: float) -> None:
        """Note that a request goes to an upstream."""
        turn = self._turn(upstream, now_seconds)
        if turn is not None:
            turn.saved_count -= 1.0
            turn.sent.add(1.0, now_seconds)

    def next_at_seconds(self, upstream: Upstream, now_seconds: float) -> float | None:
        """Return when this host may send to it; none if it takes what comes."""
        turn = self._turn(upstream, now_seconds)
        return None if turn is None else turn.next_at_seconds

    def own_rate(self, upstream: Upstream, now_seconds: float) -> float:
        """Return the requests a second that this host may send, where one is named."""
        turn = self._turn(upstream, now_seconds)
        return turn.requests_per_second if turn else 0.0

    def state(self, upstream: Upstream, now_seconds: float) -> TurnState | None:
        """Return how an upstream's rate stands; none if it names none."""
        turn = self._turn(upstream, now_seconds)
        rate = self.rates.rate(upstream.name, upstream.life_incarnation, now_seconds)
        if turn is None or rate is None:
            return None
        return TurnState(
            upstream.name,
            rate,
            turn.requests_per_second,
            round(turn.sent.total(now_seconds)),
        )

    def _turn(self, upstream: Upstream, now_seconds: float) -> _Turns | None:
        if not len(self.rates):
            return None
        incarnation = upstream.life_incarnation
        rate = self.rates.rate(upstream.name, incarnation, now_seconds)
        if rate is None:
            self._turns.pop(upstream.name, None)
            return None
        rate = max(rate, TRIAL_PER_SECOND)
        senders_count = self._rule.senders_count(rate)
        key = f"{upstream.name}/{incarnation}".encode()
        ratio = part_ratio(self.standpoint, key, senders_count)
        own_rate = rate * ratio * self._heard_ratio(now_seconds)
        turn = self._turns.get(upstream.name)
        if turn is None:
            turn = self._turns[upstream.name] = _Turns(now_seconds)
        turn.change(own_rate, now_seconds)
        return turn
