"""Plans which runners load weights next.

The rollout controller brings every runner of a model to the target version. At most two
runners load at a time, since the weight store is rate-limited, and no runner is taken
out of service while the others lack the capacity to replace it. Orders are target
states: repeating one has no effect, and a new controller starts from the reports of the
runners.
"""

from collections.abc import Sequence

import attrs

from rampwick_schema import Order, ReprMixin, WeightsTarget

#: Maximum number of concurrent loads in one region.
MAX_LOADS = 2

#: Minimum ratio of the runners of a model that serve while others load.
MIN_SERVING_RATIO = 0.5


@attrs.frozen(repr=False)
class RunnerState(ReprMixin):
    """State of one runner, according to its own report."""

    name: str
    model: str
    weights_version: int
    is_serving: bool
    #: Whether an order was sent that the report does not show as completed yet.
    is_loading: bool
    running_count: int = 0
    address: str = ""


@attrs.frozen(repr=False)
class PlannedOrder(ReprMixin):
    """An order and its recipient."""

    runner: str
    order: Order
    address: str = ""


def count_outdated(
    runners: Sequence[RunnerState], targets: Sequence[WeightsTarget]
) -> int:
    """Return the number of runners with weights older than their target."""
    wanted = {target.model: target.weights_version for target in targets}
    return sum(
        runner.weights_version < wanted.get(runner.model, 0) for runner in runners
    )


def plan_orders(
    runners: Sequence[RunnerState],
    targets: Sequence[WeightsTarget],
    fencing_number: int,
    max_loads: int = MAX_LOADS,
) -> list[PlannedOrder]:
    """Return the orders to send now, for the least loaded runners first."""
    loading = sum(runner.is_loading for runner in runners)
    planned: list[PlannedOrder] = []
    for target in targets:
        model_runners = [runner for runner in runners if runner.model == target.model]
        outdated = [
            runner
            for runner in model_runners
            if runner.weights_version < target.weights_version and not runner.is_loading
        ]
        for runner in sorted(
            outdated, key=lambda item: (item.running_count, item.name)
        ):
            if loading >= max_loads:
                break
            if not _can_take_out(runner, model_runners, planned):
                # Later runners may not be serving, and loading them costs nothing.
                continue
            order = Order(
                fencing_number=fencing_number, weights_version=target.weights_version
            )
            planned.append(PlannedOrder(runner.name, order, runner.address))
            loading += 1
    return planned


def _can_take_out(
    runner: RunnerState,
    model_runners: Sequence[RunnerState],
    planned: Sequence[PlannedOrder],
) -> bool:
    if not runner.is_serving:
        # The runner does not serve, so its load costs no capacity.
        return True
    taken = {item.runner for item in planned} | {runner.name}
    serving = sum(
        item.is_serving and not item.is_loading and item.name not in taken
        for item in model_runners
    )
    # A single runner is taken out of service as well, or it would never be updated.
    return len(model_runners) == 1 or serving >= MIN_SERVING_RATIO * len(model_runners)
