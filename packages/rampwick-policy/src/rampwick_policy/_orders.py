"""Which runner is told to load weights next.

The steward wants every runner of a model at the target version. It moves at most
two at a time, since the weight store is rate-limited, and never takes a runner while
the others could not carry the load. Orders are target states: telling one again
changes nothing, and a new steward starts from what the runners report.
"""

from collections.abc import Sequence

import attrs

from rampwick_schema import Order, ReprMixin, WeightsTarget

#: Loads under way at once in one region.
MAX_LOADS = 2

#: Share of a model's runners that must go on serving while others load.
MIN_SERVING_RATIO = 0.5


@attrs.frozen(repr=False)
class RunnerState(ReprMixin):
    """What the steward knows of one runner, from its own report."""

    name: str
    model: str
    weights_version: int
    is_serving: bool
    #: Whether an order was sent that its report does not show fulfilled yet.
    is_loading: bool
    running_count: int = 0
    address: str = ""


@attrs.frozen(repr=False)
class PlannedOrder(ReprMixin):
    """An order and whom it is for."""

    runner: str
    order: Order
    address: str = ""


def count_outdated(
    runners: Sequence[RunnerState], targets: Sequence[WeightsTarget]
) -> int:
    """Return the number of runners whose weights are older than their target."""
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
    """Return the orders to send now; the idlest runner goes first."""
    loading = sum(runner.is_loading for runner in runners)
    planned: list[PlannedOrder] = []
    for target in targets:
        of_model = [runner for runner in runners if runner.model == target.model]
        behind = [
            runner
            for runner in of_model
            if runner.weights_version < target.weights_version and not runner.is_loading
        ]
        for runner in sorted(behind, key=lambda item: (item.running_count, item.name)):
            if loading >= max_loads:
                break
            if not _can_spare(runner, of_model, planned):
                # Others behind it may serve nothing, so that nothing is lost by them.
                continue
            order = Order(
                fencing_number=fencing_number, weights_version=target.weights_version
            )
            planned.append(PlannedOrder(runner.name, order, runner.address))
            loading += 1
    return planned


def _can_spare(
    runner: RunnerState,
    of_model: Sequence[RunnerState],
    planned: Sequence[PlannedOrder],
) -> bool:
    if not runner.is_serving:
        # It serves nothing as it is, so nothing is lost while it loads.
        return True
    taken = {item.runner for item in planned} | {runner.name}
    serving = sum(
        item.is_serving and not item.is_loading and item.name not in taken
        for item in of_model
    )
    # A lone runner has to be taken out, or it would never be renewed.
    return len(of_model) == 1 or serving >= MIN_SERVING_RATIO * len(of_model)
