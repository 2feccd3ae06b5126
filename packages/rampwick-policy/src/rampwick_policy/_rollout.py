"""Rollout of weights: which runner to poll or send an order to, and when to retry.

An order without an answer may still be executed, even seconds later and after a newer
one. So each order includes the number of orders that the runner has accepted so far,
and a runner that has accepted another one since refuses the late order. An order is
sent only right after the runner has reported that number.
"""

import enum
import math
from collections.abc import Sequence

import attrs

from rampwick_schema import LoadReport, ReprMixin, WeightsTarget

from ._orders import PlannedOrder, RunnerState, plan_orders
from ._upstreams import SERVING_ROLE

#: Maximum age of the report on which an order is based.
FRESH_REPORT_SECONDS = 0.4

#: Delay of the first poll after an order, and interval between polls. Loads take about
#: 0.8 s on current engines, and the first poll is slightly earlier.
FIRST_POLL_SECONDS = 0.6
POLL_INTERVAL_SECONDS = 0.15

#: Time after which an order without effect in reports is resent; reports lag by 0.2 s.
RESEND_SECONDS = 1.0

#: Expected maximum duration of a load, as published to peers.
LOAD_SECONDS = 2.5

#: Minimum remaining time of a load that a runner reports as in progress.
STILL_LOADING_SECONDS = 0.5

#: Time for which an unresponsive runner is excluded from the plan.
UNRESPONSIVE_SECONDS = 1.0

#: Time after which a missing report is requested again.
REPORT_RETRY_SECONDS = 0.3


class OrderResult(enum.Enum):
    """The result of an order to a runner."""

    TAKEN = "taken"
    #: The runner is already in the ordered state.
    HOLDS = "holds"
    #: Another order is in progress, or was accepted since the last report.
    CONFLICT = "conflict"
    #: A later lease holder has sent orders.
    FENCED = "fenced"
    #: The runner is unable to execute the order.
    REFUSED = "refused"
    #: No answer arrived; the order may be executed now, later or never.
    LOST = "lost"


@attrs.frozen(repr=False)
class FetchReport(ReprMixin):
    """Request for the report of a runner."""

    runner: str
    address: str


RolloutStep = FetchReport | PlannedOrder


@attrs.define(repr=False)
class RunnerRecord(ReprMixin):
    """State of one runner at the rollout controller."""

    report: LoadReport | None = None
    reported_at_seconds: float = 0.0
    requested_at_seconds: float = -1e9
    #: Time until which an unresponsive runner is excluded.
    unresponsive_until_seconds: float = -1e9
    #: Version in the last order, until the order is known to be completed.
    ordered_version: int | None = None
    ordered_at_seconds: float = 0.0
    #: Latest expected end of the load.
    until_seconds: float = 0.0

    def is_pending(self) -> bool:
        """Return whether an order may still be in progress."""
        return self.ordered_version is not None


class Rollout:
    """State machine of a rollout controller; its state ends with its lease."""

    def __init__(self, max_loads: int, max_loads_ratio: float = 0.0) -> None:
        self._max_loads = max_loads
        self._max_loads_ratio = max_loads_ratio
        self._records: dict[str, RunnerRecord] = {}

    def reset(self) -> None:
        """Discard all state, as for a new lease holder."""
        self._records.clear()

    def loads(self) -> dict[str, tuple[int, float]]:
        """Return version and latest expected end of each running load, by runner."""
        return {
            name: (record.ordered_version, record.until_seconds)
            for name, record in self._records.items()
            if record.ordered_version is not None
        }

    def plan(
        self,
        runners: Sequence[RunnerState],
        targets: Sequence[WeightsTarget],
        now_seconds: float,
    ) -> list[RolloutStep]:
        """Return the report requests and orders to send now."""
        names = {runner.name for runner in runners}
        for name in self._records.keys() - names:
            del self._records[name]
        states = [
            self._with_pending(runner)
            for runner in runners
            if now_seconds >= self._record(runner.name).unresponsive_until_seconds
        ]
        steps: list[RolloutStep] = []
        # Rounded up, so that the loss of one runner does not slow the rollout.
        by_ratio = math.ceil(len(states) * self._max_loads_ratio)
        max_loads = max(self._max_loads, by_ratio)
        for planned in plan_orders(states, targets, 0, max_loads):
            steps += self._order_or_fetch(planned, now_seconds)
        for runner in states:
            if self._record(runner.name).is_pending():
                steps += self._poll(runner, now_seconds)
        return steps

    def note_report(
        self, runner: str, report: LoadReport, requested_at_seconds: float
    ) -> None:
        """Record a report that was requested at the given time."""
        record = self._record(runner)
        record.report = report
        record.reported_at_seconds = requested_at_seconds
        version = record.ordered_version
        if version is None:
            return
        waited_seconds = requested_at_seconds - record.ordered_at_seconds
        is_idle = report.role == SERVING_ROLE
        if (
            report.weights_version >= version
            or waited_seconds >= RESEND_SECONDS
            and is_idle
        ):
            record.ordered_version = None
        elif not is_idle:
            record.until_seconds = max(
                record.until_seconds, requested_at_seconds + STILL_LOADING_SECONDS
            )

    def note_unresponsive(self, runner: str, now_seconds: float) -> None:
        """Record that a runner sent no report; it is excluded for a while."""
        record = self._record(runner)
        record.unresponsive_until_seconds = now_seconds + UNRESPONSIVE_SECONDS

    def note_sent(self, runner: str, version: int, now_seconds: float) -> None:
        """Record that an order is about to be sent."""
        record = self._record(runner)
        record.ordered_version = version
        record.ordered_at_seconds = now_seconds
        record.until_seconds = now_seconds + LOAD_SECONDS

    def note_result(self, runner: str, result: OrderResult) -> None:
        """Record the result of the last order to a runner."""
        record = self._record(runner)
        # A report from before the order is outdated.
        record.report = None
        if result not in (OrderResult.TAKEN, OrderResult.LOST):
            record.ordered_version = None

    def _record(self, runner: str) -> RunnerRecord:
        return self._records.setdefault(runner, RunnerRecord())

    def _with_pending(self, runner: RunnerState) -> RunnerState:
        record = self._record(runner.name)
        version = record.ordered_version
        if version is not None and runner.weights_version >= version:
            record.ordered_version = None
        is_loading = runner.is_loading or record.is_pending()
        return attrs.evolve(runner, is_loading=is_loading)

    def _order_or_fetch(
        self, planned: PlannedOrder, now_seconds: float
    ) -> list[RolloutStep]:
        record = self._record(planned.runner)
        report = record.report
        age_seconds = now_seconds - record.reported_at_seconds
        if report is None or age_seconds > FRESH_REPORT_SECONDS:
            return self._fetch_report(planned.runner, planned.address, now_seconds)
        if report.role != SERVING_ROLE:
            # Another order is in progress; get a new report before the next order.
            record.report = None
            return []
        order = attrs.evolve(planned.order, expected_orders_count=report.orders_count)
        return [attrs.evolve(planned, order=order)]

    def _poll(self, runner: RunnerState, now_seconds: float) -> list[RolloutStep]:
        record = self._record(runner.name)
        if now_seconds - record.ordered_at_seconds < FIRST_POLL_SECONDS:
            return []
        if now_seconds - record.requested_at_seconds < POLL_INTERVAL_SECONDS:
            return []
        return self._fetch_report(
            runner.name, runner.address, now_seconds, is_poll=True
        )

    def _fetch_report(
        self, runner: str, address: str, now_seconds: float, is_poll: bool = False
    ) -> list[RolloutStep]:
        record = self._record(runner)
        waited_seconds = now_seconds - record.requested_at_seconds
        if not is_poll and waited_seconds < REPORT_RETRY_SECONDS:
            return []
        record.requested_at_seconds = now_seconds
        return [FetchReport(runner, address)]
