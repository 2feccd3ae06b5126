"""Enforcement of the request rates that upstreams announce, across all hosts.

A rate applies to all hosts together. With equal shares, each of 90 hosts could send
less than one request per minute, and one accumulated token at each of them would exceed
the rate. So only a few hosts send, those that rank first in rendezvous hashing, each
with a token bucket for its share of the rate. This needs no coordination: hosts with
the same set of live peers choose the same senders, and hosts whose sets differ for a
moment send about one request too many.
"""

import functools
import math
from collections.abc import Callable
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._request_rates import RequestRates
from ._roles import LivePeers
from ._sliding_window import SlidingWindow
from ._upstream import Upstream

#: Minimum rate. An upstream that accepts no requests is probed from time to time, since
#: only an answer shows that it accepts them again.
MIN_PROBES_PER_SECOND = 0.1

#: Senders, in addition to the first, for each request per second of the rate.
SENDERS_PER_RATE = 1.0

#: Capacity of a token bucket, so that a sender uses its share in spite of irregular
#: arrivals.
BURST_COUNT = 2.0

#: Tolerance for rounding errors in the sum of token fractions.
ROUNDING_TOLERANCE = 1e-9

#: Window of the count of sent requests in the status.
STATUS_WINDOW_SECONDS = 4.0


class SenderCountPolicy(Protocol):
    """Decides how many hosts share the rate of one upstream."""

    def senders_count(self, requests_per_second: float) -> int:
        """Return the maximum number of hosts that send."""


class SendersByRate:
    """Chooses as many senders as lets each send about once per second.

    Each sender may hold up to two tokens, so the requests sent at once may exceed the
    rate by twice the number of senders.
    """

    def senders_count(self, requests_per_second: float) -> int:
        """Return the maximum number of hosts that send."""
        return 1 + int(requests_per_second * SENDERS_PER_RATE)


@attrs.frozen(repr=False)
class LocalView(ReprMixin):
    """A host, its hall and its live peers, as input to the choice of senders."""

    host: str
    hall: str
    live_peers: LivePeers = LivePeers()
    #: Whether the host is draining; its peers exclude it as well.
    is_leaving: bool = False


#: Number of cached shares. A share is read at each check of a rate-limited upstream and
#: changes only when hosts join or leave.
SHARE_CACHE_SIZE = 1024


@functools.lru_cache(maxsize=SHARE_CACHE_SIZE)
def rate_share(local_view: LocalView, key: bytes, senders_count: int) -> float:
    """Return the share of a rate that a host may use; 0 if it is not a sender."""
    if local_view.is_leaving:
        return 0.0
    peers = local_view.live_peers
    halls = _rendezvous.rank(key, peers.halls | {local_view.hall})[:senders_count]
    hosts_per_hall = max(1, senders_count // len(halls))
    hosts = _rendezvous.rank(key, peers.not_draining | {local_view.host})[
        :hosts_per_hall
    ]
    if local_view.hall not in halls or local_view.host not in hosts:
        return 0.0
    return 1.0 / (len(halls) * len(hosts))


@attrs.define(repr=False)
class _TokenBucket(ReprMixin):
    """Requests that one host may send to one upstream; empty for a new sender."""

    at_seconds: float
    requests_per_second: float = 0.0
    tokens_count: float = 0.0
    sent: SlidingWindow = attrs.field(
        factory=lambda: SlidingWindow(STATUS_WINDOW_SECONDS)
    )

    def set_rate(self, requests_per_second: float, now_seconds: float) -> None:
        """Refill the bucket up to now and change its rate."""
        refilled = (now_seconds - self.at_seconds) * self.requests_per_second
        self.tokens_count = min(BURST_COUNT, self.tokens_count + refilled)
        if not requests_per_second:
            # Other senders use the share meanwhile, so tokens saved before would exceed
            # the rate when this host becomes a sender again.
            self.tokens_count = 0.0
        self.at_seconds = now_seconds
        self.requests_per_second = requests_per_second

    @property
    def next_at_seconds(self) -> float:
        """Time at which the next request may be sent; infinite if none may."""
        if self.tokens_count >= 1.0 - ROUNDING_TOLERANCE:
            return self.at_seconds
        if not self.requests_per_second:
            return math.inf
        missing = 1.0 - self.tokens_count
        return self.at_seconds + missing / self.requests_per_second


@attrs.frozen(repr=False)
class UpstreamRateState(ReprMixin):
    """State of the rate limit of one upstream, for the status page and metrics."""

    upstream: str
    #: Requests per second from all hosts, as announced, and from this host.
    requests_per_second: float
    own_requests_per_second: float
    #: Requests that this host sent within ``STATUS_WINDOW_SECONDS``.
    own_sent_count: int


class UpstreamRateLimiter:
    """Token buckets of one host for upstreams that announced a rate."""

    def __init__(
        self,
        rates: RequestRates,
        local_view: LocalView,
        alive_ratio: Callable[[float], float],
        sender_count_policy: SenderCountPolicy | None = None,
    ) -> None:
        """``alive_ratio`` returns the share of the fleet that this host can reach."""
        self.rates = rates
        self.local_view = local_view
        self._alive_ratio = alive_ratio
        self._sender_count_policy = sender_count_policy or SendersByRate()
        self._buckets: dict[str, _TokenBucket] = {}

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether this host may send a request to an upstream now."""
        bucket = self._bucket(upstream, now_seconds)
        return bucket is None or now_seconds >= bucket.next_at_seconds

    def note_sent(self, upstream: Upstream, now_seconds: float) -> None:
        """Record that a request is sent to an upstream."""
        bucket = self._bucket(upstream, now_seconds)
        if bucket is not None:
            bucket.tokens_count -= 1.0
            bucket.sent.add(1.0, now_seconds)

    def next_at_seconds(self, upstream: Upstream, now_seconds: float) -> float | None:
        """Return when this host may send next; ``None`` if there is no rate limit."""
        bucket = self._bucket(upstream, now_seconds)
        return None if bucket is None else bucket.next_at_seconds

    def own_rate(self, upstream: Upstream, now_seconds: float) -> float:
        """Return the rate that this host may use; 0 if there is no rate limit."""
        bucket = self._bucket(upstream, now_seconds)
        return bucket.requests_per_second if bucket else 0.0

    def state(self, upstream: Upstream, now_seconds: float) -> UpstreamRateState | None:
        """Return the state of the rate limit; ``None`` if there is none."""
        bucket = self._bucket(upstream, now_seconds)
        rate = self.rates.rate(upstream.name, upstream.known_incarnation, now_seconds)
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
        incarnation = upstream.known_incarnation
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
