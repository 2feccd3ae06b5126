"""Retry budget: retries are a share of fresh requests, whatever fails."""

import attrs

#: Retries that may be saved up while nothing fails: about what one runner had under
#: way when it crashed, so that a single crash loses no work.
MAX_SAVED = 64.0

#: Retries earned by time alone while nothing is saved, so that the last requests of
#: a burst are not stuck when no fresh ones come.
FLOOR_PER_SECOND = 0.5


@attrs.define
class RetryBudget:
    """Each fresh request earns a part of a retry; each retry spends a whole one."""

    earned_ratio: float
    saved: float = MAX_SAVED / 2
    _at_seconds: float | None = None

    def earn(self) -> None:
        """Note a fresh request."""
        self.saved = min(MAX_SAVED, self.saved + self.earned_ratio)

    def spend(self, now_seconds: float) -> bool:
        """Take one retry; return whether the budget allows it."""
        self._earn_by_time(now_seconds)
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def _earn_by_time(self, now_seconds: float) -> None:
        if self._at_seconds is not None and self.saved < 1.0:
            elapsed_seconds = now_seconds - self._at_seconds
            self.saved = min(1.0, self.saved + elapsed_seconds * FLOOR_PER_SECOND)
        self._at_seconds = now_seconds
