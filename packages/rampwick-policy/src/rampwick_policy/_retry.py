"""Retry budgets, which bound retries to a share of new requests."""

import attrs

from rampwick_schema import ReprMixin, RetrySettings

from ._request import Outcome

#: Balance that a budget may reach while nothing fails: about the number of requests
#: that one runner had under way when it crashed, so that a single crash loses none.
MAX_BALANCE = 64.0

#: Refill rate of an exhausted budget, so that the last requests of a burst can be
#: retried when no new ones arrive.
FLOOR_PER_SECOND = 0.5


@attrs.define(repr=False)
class RetryBudget(ReprMixin):
    """Retry budget: each new request earns a fraction of a retry, each retry costs one.

    In any period the number of retries is at most the balance at its start, plus the
    earned share of the requests in the period, plus the floor.
    """

    earned_ratio: float
    max_balance: float = MAX_BALANCE
    floor_per_second: float = FLOOR_PER_SECOND
    balance: float = attrs.field(init=False)
    _at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self.balance = self.max_balance / 2

    def earn(self) -> None:
        """Add the share that a new request earns."""
        self.balance = min(self.max_balance, self.balance + self.earned_ratio)

    def has_retry(self, now_seconds: float, reserved_count: int = 0) -> bool:
        """Return whether the budget allows another retry now, besides reserved ones."""
        self._refill(now_seconds)
        return self.balance >= 1.0 + reserved_count

    def spend(self, now_seconds: float) -> bool:
        """Charge one retry; return whether the budget allows it."""
        if not self.has_retry(now_seconds):
            return False
        self.balance -= 1.0
        return True

    def refund(self) -> None:
        """Return a retry that was charged and reached no upstream."""
        self.balance = min(self.max_balance, self.balance + 1.0)

    def _refill(self, now_seconds: float) -> None:
        if self._at_seconds is not None and self.balance < 1.0:
            elapsed_seconds = now_seconds - self._at_seconds
            earned = elapsed_seconds * self.floor_per_second
            self.balance = min(1.0, self.balance + earned)
        self._at_seconds = now_seconds


class RetryBudgets:
    """Retry budgets by service; failures of one service use up only its own budget."""

    def __init__(self, settings: RetrySettings) -> None:
        self._settings = settings
        self._by_service: dict[str, RetryBudget] = {}

    def of(self, service: str, hosts_count: int) -> RetryBudget:
        """Return a service's budget; the empty name stands for all models.

        If the balance is limited for the whole fleet, each host has an equal share.
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
        """Return whether a retry after this outcome is charged to the budget.

        A refusal costs the fleet almost nothing, but its operator may count the retry
        that follows.
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
        """Balance of the service with the fewest retries left."""
        balances = (budget.balance for budget in self._by_service.values())
        return min(balances, default=0.0)
