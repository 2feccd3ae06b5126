"""Everything that limits what this host may send to an upstream now."""

from collections.abc import Iterable

from ._brittle_services import BrittleServices
from ._upstream import Upstream
from ._upstream_rate_limiter import UpstreamRateLimiter


class SendLimits:
    """The limits that upstreams state in their responses."""

    def __init__(self, rates: UpstreamRateLimiter, brittle: BrittleServices) -> None:
        self._rates = rates
        self._brittle = brittle

    def limited_names(self, upstreams: Iterable[Upstream]) -> list[str]:
        """Return the upstreams of which some may accept no request now."""
        names = self._rates.rates.names()
        if not len(self._brittle):
            return names
        brittle = (item.name for item in upstreams if self._brittle.is_brittle(item))
        return [*names, *brittle]

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether this host may send a request to an upstream now."""
        return self._rates.may_send(upstream, now_seconds) and self._brittle.may_send(
            upstream, now_seconds
        )
