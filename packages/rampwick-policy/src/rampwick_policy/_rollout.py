"""A rollout of weights: which runner is asked or told what, and when again.

An order may go unanswered and still be carried out, even seconds later and after a
newer one. So each order names the number of orders that the runner has taken so far:
once another was taken, the late one is refused. A runner is told only after it has
just reported that number.
"""

import enum
import math
from collections.abc import Sequence

import attrs

from rampwick_schema import LoadReport, ReprMixin, WeightsTarget

from ._orders import PlannedOrder, RunnerState, plan_orders
from ._upstreams import SERVING_ROLE

#: Age up to which a report is good enough to order by.
FRESH_REPORT_SECONDS = 0.4

#: Time after an order before the first look at what came of it, and between looks.
#: Loads take about 0.8 s on today's engines, so the first look comes a little before.
FIRST_LOOK_SECONDS = 0.6
LOOK_INTERVAL_SECONDS = 0.15

#: Time after which an order that no report shows is sent again; reports lag by 0.2 s.
RESEND_SECONDS = 1.0

#: Time that an ordered load is expected to take at the most, as peers are told.
LOAD_SECONDS = 2.5

#: Time for which a runner that reports a load under way is left alone at least.
STILL_LOADING_SECONDS = 0.5

#: Time for which a runner that did not report is left out of the plan.
SILENT_SECONDS = 1.0

#: Time after which a report that did not come is asked for again.
ASK_AGAIN_SECONDS = 0.3


class OrderResult(enum.Enum):
    """What a runner said to an order."""

    TAKEN = "taken"
    #: The runner is as ordered already.
    HOLDS = "holds"
    #: Another order is under way, or was taken since the last report.
    CONFLICT = "conflict"
    #: A later holder has given orders.
    FENCED = "fenced"
    #: The runner can't do what was ordered.
    REFUSED = "refused"
    #: No answer came; it may be carried out now, later or never.
    LOST = "lost"


@attrs.frozen(repr=False)
class AskReport(ReprMixin):
    """A runner is to be asked for its report."""

    runner: str
    address: str


RolloutStep = AskReport | PlannedOrder


@attrs.define(repr=False)
class RunnerRecord(ReprMixin):
    """What the steward knows of its dealings with one runner."""

    report: LoadReport | None = None
    reported_at_seconds: float = 0.0
    asked_at_seconds: float = -1e9
    #: Until when a runner that did not report is left out.
    silent_until_seconds: float = -1e9
    #: The last order, while it is not known to be over.
    ordered_version: int | None = None
    ordered_at_seconds: float = 0.0
    #: When the load is expected to be over at the latest.
    until_seconds: float = 0.0

    def is_pending(self) -> bool:
        """Return whether an order may still be under way."""
        return self.ordered_version is not None


class Rollout:
    """State machine of one steward's orders; it forgets all with its lease."""

    def __init__(self, max_loads: int, max_loads_ratio: float = 0.0) -> None:
        self._max_loads = max_loads
        self._max_loads_ratio = max_loads_ratio
        self._records: dict[str, RunnerRecord] = {}

    def reset(self) -> None:
        """Start anew, as a holder that knows nothing of earlier orders."""
        self._records.clear()

    def loads(self) -> dict[str, tuple[int, float]]:
        """Return version and latest end of each load under way, by runner."""
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
        """Return what is to be asked and ordered now."""
        names = {runner.name for runner in runners}
        for name in self._records.keys() - names:
            del self._records[name]
        states = [
            self._with_pending(runner)
            for runner in runners
            if now_seconds >= self._record(runner.name).silent_until_seconds
        ]
        steps: list[RolloutStep] = []
        # Rounded up: with a runner gone the others load as fast as before.
        by_ratio = math.ceil(len(states) * self._max_loads_ratio)
        max_loads = max(self._max_loads, by_ratio)
        for planned in plan_orders(states, targets, 0, max_loads):
            steps += self._approach(planned, now_seconds)
        for runner in states:
            if self._record(runner.name).is_pending():
                steps += self._look(runner, now_seconds)
        return steps

    def note_report(
        self, runner: str, report: LoadReport, asked_at_seconds: float
    ) -> None:
        """Take a report that was asked for at the given time."""
        record = self._record(runner)
        record.report = report
        record.reported_at_seconds = asked_at_seconds
        version = record.ordered_version
        if version is None:
            return
        waited_seconds = asked_at_seconds - record.ordered_at_seconds
        is_idle = report.role == SERVING_ROLE
        if (
            report.weights_version >= version
            or waited_seconds >= RESEND_SECONDS
            and is_idle
        ):
            record.ordered_version = None
        elif not is_idle:
            record.until_seconds = max(
                record.until_seconds, asked_at_seconds + STILL_LOADING_SECONDS
            )

    def note_silence(self, runner: str, now_seconds: float) -> None:
        """Note that a runner did not report; others go before it for a while."""
        record = self._record(runner)
        record.silent_until_seconds = now_seconds + SILENT_SECONDS

    def note_sent(self, runner: str, version: int, now_seconds: float) -> None:
        """Note that an order is about to be sent."""
        record = self._record(runner)
        record.ordered_version = version
        record.ordered_at_seconds = now_seconds
        record.until_seconds = now_seconds + LOAD_SECONDS

    def note_result(self, runner: str, result: OrderResult) -> None:
        """Take a runner's answer to the last order."""
        record = self._record(runner)
        # What was reported before the order says nothing any more.
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

    def _approach(self, planned: PlannedOrder, now_seconds: float) -> list[RolloutStep]:
        record = self._record(planned.runner)
        report = record.report
        age_seconds = now_seconds - record.reported_at_seconds
        if report is None or age_seconds > FRESH_REPORT_SECONDS:
            return self._ask(planned.runner, planned.address, now_seconds)
        if report.role != SERVING_ROLE:
            # Somebody's order is under way; look again before telling it more.
            record.report = None
            return []
        order = attrs.evolve(planned.order, expected_orders_count=report.orders_count)
        return [attrs.evolve(planned, order=order)]

    def _look(self, runner: RunnerState, now_seconds: float) -> list[RolloutStep]:
        record = self._record(runner.name)
        if now_seconds - record.ordered_at_seconds < FIRST_LOOK_SECONDS:
            return []
        if now_seconds - record.asked_at_seconds < LOOK_INTERVAL_SECONDS:
            return []
        return self._ask(runner.name, runner.address, now_seconds, is_look=True)

    def _ask(
        self, runner: str, address: str, now_seconds: float, is_look: bool = False
    ) -> list[RolloutStep]:
        record = self._record(runner)
        waited_seconds = now_seconds - record.asked_at_seconds
        if not is_look and waited_seconds < ASK_AGAIN_SECONDS:
            return []
        record.asked_at_seconds = now_seconds
        return [AskReport(runner, address)]
