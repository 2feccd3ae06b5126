"""Budget of platform calls."""

import attrs

from rampwick_schema import Shown


@attrs.define(repr=False)
class CallBudget(Shown):
    """A token bucket: a steady rate with one second's worth of calls in hand."""

    calls_per_second: float
    _saved: float = attrs.field(init=False)
    _at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self._saved = max(1.0, self.calls_per_second)

    def reserve(self, now_seconds: float) -> float:
        """Take one call; return the seconds to wait before making it."""
        if self._at_seconds is not None:
            earned = (now_seconds - self._at_seconds) * self.calls_per_second
            self._saved = min(max(1.0, self.calls_per_second), self._saved + earned)
        self._at_seconds = now_seconds
        self._saved -= 1.0
        return max(0.0, -self._saved / self.calls_per_second)
