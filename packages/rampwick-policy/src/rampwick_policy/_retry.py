"""Retry budget: retries are a share of fresh requests, whatever fails."""

import attrs

from rampwick_schema import RetrySettings, Shown

from ._request import Outcome

#: Retries that may be saved up while nothing fails: about what one runner had under
#: way when it crashed, so that a single crash loses no work.
MAX_BALANCE = 64.0

#: Retries earned by time alone while nothing is saved, so that the last requests of
#: a burst are not stuck when no fresh ones come.
FLOOR_PER_SECOND = 0.5


@attrs.define(repr=False)
class RetryBudget(Shown):
    """Each fresh request earns a part of a retry; each retry spends a whole one.

    In any span of time no more retries go out than were saved up, plus the earned
    share of the span's requests, plus the floor.
    """

    earned_ratio: float
    max_balance: float = MAX_BALANCE
    floor_per_second: float = FLOOR_PER_SECOND
    balance: float = attrs.field(init=False)
    _at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self.balance = self.max_balance / 2

    def earn(self) -> None:
        """Note a fresh request."""
        self.balance = min(self.max_balance, self.balance + self.earned_ratio)

    def has_retry(self, now_seconds: float) -> bool:
        """Return whether the budget allows another retry now."""
        self._refill(now_seconds)
        return self.balance >= 1.0

    def spend(self, now_seconds: float) -> bool:
        """Take one retry; return whether the budget allows it."""
        if not self.has_retry(now_seconds):
            return False
        self.balance -= 1.0
        return True

    def _refill(self, now_seconds: float) -> None:
        if self._at_seconds is not None and self.balance < 1.0:
            elapsed_seconds = now_seconds - self._at_seconds
            earned = elapsed_seconds * self.floor_per_second
            self.balance = min(1.0, self.balance + earned)
        self._at_seconds = now_seconds


class RetryBudgets:
    """One budget for each service, so that one ill service spends only its own."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str, hosts_count: int) -> RetryBudget:
        """Return a service's budget; the empty name is that of all models.

        Where the fleet's owners judge all hosts together, each has its part of what
        may be saved up.
        """
        max_balance = self._max_balance(hosts_count)
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(
                self._settings.budget_ratio * self._settings.margin_ratio,
                max_balance,
                self._settings.floor_per_second,
            )
        budget.max_balance = max_balance
        return budget

    def is_charged(self, outcome: Outcome) -> bool:
        """Return whether another attempt after this one is paid from the budget.

        A refusal costs the fleet next to nothing, but its owner may count it.
        """
        if self._settings.charges_refusals:
            return not outcome.never_arrived
        return not outcome.proves_not_run

    def _max_balance(self, hosts_count: int) -> float:
        settings = self._settings
        if settings.fleet_saved_count < 0.0:
            return settings.max_saved_count * settings.margin_ratio
        return settings.fleet_saved_count * settings.margin_ratio / hosts_count

    @property
    def min_balance(self) -> float:
        """Retries left to the service that has the fewest."""
        balance = (budget.balance for budget in self._by_service.values())
        return min(balance, default=0.0)
