"""Sum of tokens over a sliding time window."""

import math
from collections import deque

import attrs

from rampwick_schema import ReprMixin

#: Buckets per window. Tokens count until their whole bucket has expired, so a sum is
#: too large by at most one bucket and never too small.
BUCKETS_COUNT = 64


@attrs.define(repr=False)
class _Bucket(ReprMixin):
    index: int
    tokens: float


class SlidingWindow:
    """Tokens by the time at which they were added, summed over a window."""

    def __init__(self, length_seconds: float) -> None:
        self._bucket_seconds = length_seconds / BUCKETS_COUNT
        self._buckets: deque[_Bucket] = deque()
        self._total = 0.0

    def add(self, tokens: float, now_seconds: float) -> None:
        """Add tokens at the current time."""
        index = self._index(now_seconds)
        self._expire(index)
        if self._buckets and self._buckets[-1].index == index:
            self._buckets[-1].tokens += tokens
        else:
            self._buckets.append(_Bucket(index, tokens))
        self._total += tokens

    def subtract(self, tokens: float, at_seconds: float) -> None:
        """Remove tokens that were added at ``at_seconds`` and have not expired."""
        index = self._index(at_seconds)
        for bucket in reversed(self._buckets):
            if bucket.index == index:
                bucket.tokens -= tokens
                self._total -= tokens
                return
            if bucket.index < index:
                return

    def total(self, now_seconds: float) -> float:
        """Return the sum of the window that ends now."""
        self._expire(self._index(now_seconds))
        return self._total

    def expiring(self, within_seconds: float, now_seconds: float) -> float:
        """Return the tokens that expire within a time."""
        last = self._index(now_seconds + within_seconds) - BUCKETS_COUNT
        tokens = 0.0
        for bucket in self._buckets:
            if bucket.index >= last:
                break
            tokens += bucket.tokens
        return tokens

    def _index(self, at_seconds: float) -> int:
        return math.floor(at_seconds / self._bucket_seconds)

    def _expire(self, index: int) -> None:
        buckets = self._buckets
        while buckets and buckets[0].index < index - BUCKETS_COUNT:
            self._total -= buckets.popleft().tokens
        if not buckets:
            self._total = 0.0
