"""Rate limit of platform calls."""

import attrs

from rampwick_schema import ReprMixin


@attrs.define(repr=False)
class CallBudget(ReprMixin):
    """A token bucket with a burst of one second of calls, but at least one call."""

    calls_per_second: float
    _tokens: float = attrs.field(init=False)
    _updated_at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self._tokens = max(1.0, self.calls_per_second)

    def reserve(self, now_seconds: float) -> float:
        """Reserve one call; return the seconds to wait before making it."""
        if self._updated_at_seconds is not None:
            refill = (now_seconds - self._updated_at_seconds) * self.calls_per_second
            self._tokens = min(max(1.0, self.calls_per_second), self._tokens + refill)
        self._updated_at_seconds = now_seconds
        self._tokens -= 1.0
        return max(0.0, -self._tokens / self.calls_per_second)
