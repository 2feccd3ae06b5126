"""Retry budget: retries are a share of fresh requests, whatever fails."""

import attrs

#: Retries that may be saved up while nothing fails.
MAX_SAVED = 10.0


@attrs.define
class RetryBudget:
    """Each fresh request earns a part of a retry; each retry spends a whole one."""

    earned_ratio: float
    saved: float = MAX_SAVED / 2

    def earn(self) -> None:
        """Note a fresh request."""
        self.saved = min(MAX_SAVED, self.saved + self.earned_ratio)

    def spend(self) -> bool:
        """Take one retry; return whether the budget allows it."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True
