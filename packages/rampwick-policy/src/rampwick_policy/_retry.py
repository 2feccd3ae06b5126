"""Retry budget: retries are a share of fresh requests, whatever fails."""

import attrs

from rampwick_schema import ReprMixin, RetrySettings

from ._request import Outcome

#: Retries that may be saved up while nothing fails: about what one runner had under
#: way when it crashed, so that a single crash loses no work.
MAX_SAVED = 64.0

#: Retries earned by time alone while nothing is saved, so that the last requests of
#: a burst are not stuck when no fresh ones come.
FLOOR_PER_SECOND = 0.5


@attrs.define(repr=False)
class RetryBudget(ReprMixin):
    """Each fresh request earns a part of a retry; each retry spends a whole one.

    In any span of time no more retries go out than were saved up, plus the earned
    share of the span's requests, plus the floor.
    """

    earned_ratio: float
    max_saved: float = MAX_SAVED
    floor_per_second: float = FLOOR_PER_SECOND
    saved: float = attrs.field(init=False)
    _at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self.saved = self.max_saved / 2

    def earn(self) -> None:
        """Note a fresh request."""
        self.saved = min(self.max_saved, self.saved + self.earned_ratio)

    def has_one(self, now_seconds: float) -> bool:
        """Return whether the budget allows another retry now."""
        self._earn_by_time(now_seconds)
        return self.saved >= 1.0

    def spend(self, now_seconds: float) -> bool:
        """Take one retry; return whether the budget allows it."""
        if not self.has_one(now_seconds):
            return False
        self.saved -= 1.0
        return True

    def _earn_by_time(self, now_seconds: float) -> None:
        if self._at_seconds is not None and self.saved < 1.0:
            elapsed_seconds = now_seconds - self._at_seconds
            earned = elapsed_seconds * self.floor_per_second
            self.saved = min(1.0, self.saved + earned)
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
        max_saved = self._max_saved(hosts_count)
        budget = self._by_service.get(service)
        if budget is None:
            budget = self._by_service[service] = RetryBudget(
                self._settings.budget_ratio * self._settings.margin_ratio,
                max_saved,
                self._settings.floor_per_second,
            )
        budget.max_saved = max_saved
        return budget

    def is_charged(self, outcome: Outcome) -> bool:
        """Return whether another attempt after this one is paid from the budget.

        A refusal costs the fleet next to nothing, but its owner may count it.
        """
        if self._settings.charges_refusals:
            return not outcome.never_arrived
        return not outcome.proves_not_run

    def _max_saved(self, hosts_count: int) -> float:
        settings = self._settings
        if settings.fleet_saved_count < 0.0:
            return settings.max_saved_count * settings.margin_ratio
        return settings.fleet_saved_count * settings.margin_ratio / hosts_count

    @property
    def least_saved(self) -> float:
        """Retries left to the service that has the fewest."""
        saved = (budget.saved for budget in self._by_service.values())
        return min(saved, default=0.0)
