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

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the seconds until a call may be made; 0 if it may be made now."""
        self._refill(now_seconds)
        return max(0.0, (1.0 - self._tokens) / self.calls_per_second)

    def take(self, now_seconds: float) -> None:
        """Take one call, which is made now."""
        self._refill(now_seconds)
        self._tokens -= 1.0

    def _refill(self, now_seconds: float) -> None:
        if self._updated_at_seconds is not None:
            refill = (now_seconds - self._updated_at_seconds) * self.calls_per_second
            self._tokens = min(max(1.0, self.calls_per_second), self._tokens + refill)
        self._updated_at_seconds = now_seconds
