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

from rampwick_schema import Shown

from . import _rendezvous
from ._request_rates import RequestRates
from ._roles import LivePeers
from ._sliding_window import SlidingWindow
from ._upstream import Upstream

#: Least rate: an upstream that takes nothing is tried now and then, since only an
#: answer says that it takes requests again.
MIN_PROBES_PER_SECOND = 0.1

#: Senders for each request a second, beside the first.
SENDERS_PER_RATE = 1.0

#: Requests that a sender may have saved up, so that its part is used though callers
#: come by chance.
BURST_COUNT = 2.0

#: What sums of parts may lack of a whole request.
ROUNDING_TOLERANCE = 1e-9

#: Time for which operators are shown what was sent.
STATUS_WINDOW_SECONDS = 4.0


class SenderCountPolicy(Protocol):
    """Says how many hosts share the rate of one upstream."""

    def senders_count(self, requests_per_second: float) -> int:
        """Return the hosts that send, as far as there are so many."""


class SendersByRate:
    """So many that each has its turn about every second.

    Each may have a request or two ready to go: twice their number is what may be sent
    at once beyond the rate.
    """

    def senders_count(self, requests_per_second: float) -> int:
        """Return the hosts that send, as far as there are so many."""
        return 1 + int(requests_per_second * SENDERS_PER_RATE)


@attrs.frozen(repr=False)
class LocalView(Shown):
    """Where a host stands and whom it hears, as far as senders are chosen by it."""

    host: str
    hall: str
    live_peers: LivePeers = LivePeers()
    #: Whether it takes no new requests; the others don't count it then either.
    is_leaving: bool = False


#: Parts remembered: they are asked for at each look at a limited upstream, and are
#: others only where hosts come or go.
SHARE_CACHE_SIZE = 1024


@functools.lru_cache(maxsize=SHARE_CACHE_SIZE)
def rate_share(local_view: LocalView, key: bytes, senders_count: int) -> float:
    """Return a host's part of a rate; none unless it is one of the senders."""
    if local_view.is_leaving:
        return 0.0
    peers = local_view.live_peers
    halls = _rendezvous.rank(key, peers.halls | {local_view.hall})[:senders_count]
    hosts_per_hall = max(1, senders_count // len(halls))
    hosts = _rendezvous.rank(key, peers.staying | {local_view.host})[:hosts_per_hall]
    if local_view.hall not in halls or local_view.host not in hosts:
        return 0.0
    return 1.0 / (len(halls) * len(hosts))


@attrs.define(repr=False)
class _TokenBucket(Shown):
    """What one host may send one upstream; a new sender has nothing saved."""

    at_seconds: float
    requests_per_second: float = 0.0
    tokens_count: float = 0.0
    sent: SlidingWindow = attrs.field(
        factory=lambda: SlidingWindow(STATUS_WINDOW_SECONDS)
    )

    def set_rate(self, requests_per_second: float, now_seconds: float) -> None:
        """Save what was earned until now, and go on at another rate."""
        refilled = (now_seconds - self.at_seconds) * self.requests_per_second
        self.tokens_count = min(BURST_COUNT, self.tokens_count + refilled)
        if not requests_per_second:
            # By the time it sends again, others have used what it saved.
            self.tokens_count = 0.0
        self.at_seconds = now_seconds
        self.requests_per_second = requests_per_second

    @property
    def next_at_seconds(self) -> float:
        """When the next request may go; infinite if none may."""
        if self.tokens_count >= 1.0 - ROUNDING_TOLERANCE:
            return self.at_seconds
        if not self.requests_per_second:
            return math.inf
        missing = 1.0 - self.tokens_count
        return self.at_seconds + missing / self.requests_per_second


@attrs.frozen(repr=False)
class UpstreamRateState(Shown):
    """The rate of one upstream as operators are shown it."""

    upstream: str
    #: Requests a second from all hosts, as it says, and from this one.
    requests_per_second: float
    own_requests_per_second: float
    #: Requests that this host sent it within the last seconds.
    own_sent_count: int


class UpstreamRateLimiter:
    """The turns of one host at upstreams that named a rate."""

    def __init__(
        self,
        rates: RequestRates,
        local_view: LocalView,
        alive_ratio: Callable[[float], float],
        sender_count_policy: SenderCountPolicy | None = None,
    ) -> None:
        """``heard_ratio`` returns the part of the fleet that is heard here."""
        self.rates = rates
        self.local_view = local_view
        self._alive_ratio = alive_ratio
        self._sender_count_policy = sender_count_policy or SendersByRate()
        self._buckets: dict[str, _TokenBucket] = {}

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether an upstream may be sent a request by this host now."""
        bucket = self._bucket(upstream, now_seconds)
        return bucket is None or now_seconds >= bucket.next_at_seconds

    def note_sent(self, upstream: Upstream, now_seconds: float) -> None:
        """Note that a request goes to an upstream."""
        bucket = self._bucket(upstream, now_seconds)
        if bucket is not None:
            bucket.tokens_count -= 1.0
            bucket.sent.add(1.0, now_seconds)

    def next_at_seconds(self, upstream: Upstream, now_seconds: float) -> float | None:
        """Return when this host may send to it; none if it takes what comes."""
        bucket = self._bucket(upstream, now_seconds)
        return None if bucket is None else bucket.next_at_seconds

    def own_rate(self, upstream: Upstream, now_seconds: float) -> float:
        """Return the requests a second that this host may send, where one is named."""
        bucket = self._bucket(upstream, now_seconds)
        return bucket.requests_per_second if bucket else 0.0

    def state(self, upstream: Upstream, now_seconds: float) -> UpstreamRateState | None:
        """Return how an upstream's rate stands; none if it names none."""
        bucket = self._bucket(upstream, now_seconds)
        rate = self.rates.rate(upstream.name, upstream.life_incarnation, now_seconds)
        if bucket is None or rate is None:
            return None
        return UpstreamRateState(
            upstream.name,
            rate,
            bucket.requests_per_second,
            round(bucket.sent.total(now_seconds)),
        )

    def _bucket(self, upstream: Upstream, now_seconds: float) -> _TokenBucket | None:
        if not len(self.rates):
            return None
        incarnation = upstream.life_incarnation
        rate = self.rates.rate(upstream.name, incarnation, now_seconds)
        if rate is None:
            self._buckets.pop(upstream.name, None)
            return None
        rate = max(rate, MIN_PROBES_PER_SECOND)
        senders_count = self._sender_count_policy.senders_count(rate)
        key = f"{upstream.name}/{incarnation}".encode()
        ratio = rate_share(self.local_view, key, senders_count)
        own_rate = rate * ratio * self._alive_ratio(now_seconds)
        bucket = self._buckets.get(upstream.name)
        if bucket is None:
            bucket = self._buckets[upstream.name] = _TokenBucket(now_seconds)
        bucket.set_rate(own_rate, now_seconds)
        return bucket
