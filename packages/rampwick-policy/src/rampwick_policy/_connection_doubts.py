"""Which idle connections to upstreams may be silent for good while new ones work.

Nothing but time tells such a connection from a slow upstream, until a new connection to
the upstream answers.
"""

import math
from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

#: Number of upstreams in doubt within a time from which idle connections to all others
#: may be silent, too.
COMMON_DOUBT_COUNT = 2
COMMON_DOUBT_SECONDS = 2.0


@attrs.frozen(repr=False)
class _Doubt(ReprMixin):
    """A connection to an upstream on which nothing arrived for long."""

    #: Connections that have been idle since before this time may be silent as well.
    since_seconds: float
    noted_at_seconds: float


@attrs.define(repr=False)
class ConnectionDoubts(ReprMixin):
    """The upstreams to which idle connections may be silent; times are monotonic."""

    _by_upstream: dict[str, _Doubt] = attrs.field(factory=dict)

    def note(
        self,
        upstream: str,
        since_seconds: float,
        now_seconds: float,
        connected: Iterable[str] = (),
    ) -> None:
        """Record that a connection has been silent since a time.

        ``connected`` are the upstreams to which this host has connections. If several
        upstreams are in doubt, it may have lost its connections to all of them, and
        each would cost the first request that is sent to it.
        """
        doubt = _Doubt(since_seconds, now_seconds)
        earlier = self._by_upstream.get(upstream)
        if earlier is not None:
            # A connection that was opened after the first doubt may end it.
            since_seconds = max(since_seconds, earlier.since_seconds)
            doubt = _Doubt(since_seconds, earlier.noted_at_seconds)
        self._by_upstream[upstream] = doubt
        oldest_seconds = now_seconds - COMMON_DOUBT_SECONDS
        recent_count = sum(
            item.noted_at_seconds >= oldest_seconds
            for item in self._by_upstream.values()
        )
        if recent_count >= COMMON_DOUBT_COUNT:
            for name in connected:
                self._by_upstream.setdefault(name, doubt)

    def usable_since_seconds(self, upstream: str) -> float:
        """Return since when a connection may have been idle to be used again."""
        doubt = self._by_upstream.get(upstream)
        return -math.inf if doubt is None else doubt.since_seconds

    def resolve(self, upstream: str, opened_at_seconds: float) -> float | None:
        """End a doubt, since a connection that was opened at a time has answered.

        Returns the time since before which idle connections are to be closed. None if
        there is no doubt, or if the connection was opened before it.
        """
        doubt = self._by_upstream.get(upstream)
        if doubt is None or opened_at_seconds < doubt.noted_at_seconds:
            return None
        del self._by_upstream[upstream]
        return doubt.since_seconds

    def forget(self, upstream: str) -> None:
        """Drop what is known of an upstream to which there are no connections."""
        self._by_upstream.pop(upstream, None)
