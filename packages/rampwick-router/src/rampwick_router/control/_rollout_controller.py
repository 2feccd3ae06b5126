"""Rollout of weights to runners, while this host holds the region's lease."""

import random
from collections.abc import Callable, Sequence

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import (
    LeaseStore,
    ObjectApi,
    PlatformError,
    move_on_after_aligned,
)
from rampwick_policy import (
    FetchReport,
    LeaseWatcher,
    LoadReported,
    OrderResult,
    PlannedOrder,
    Rollout,
    RunnerState,
    Scheduler,
    UpstreamPath,
    WeightsLoadOrdered,
    WeightsReported,
    count_outdated,
)
from rampwick_schema import (
    DataError,
    HostEntry,
    LoadReport,
    ReprMixin,
    Settings,
    StewardSettings,
)

from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from .._unexpected_errors import contain_errors, note_unexpected_error
from ..upstream import CONTROL_TIMEOUT_SECONDS, UpstreamControl
from ._lease_manager import LeaseManager

#: Intervals of the control loop: while there is work, while there is none, and on a
#: host that is not a candidate.
BUSY_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 0.25
INACTIVE_INTERVAL_SECONDS = 1.0

#: Time between announcing a load to peers and ordering it: the update takes a few round
#: trips between halls, and prompts sent before it arrived have started by then.
ANNOUNCE_LEAD_SECONDS = 0.15

#: Random wait before the first attempt to acquire the lease, so that hosts do not race.
ACQUIRE_JITTER_SECONDS = 0.4

#: Time for which weights loaded by an order of this host are published to peers.
OBSERVED_WEIGHTS_SECONDS = 2.0

log = ComponentLogger("steward")


@attrs.frozen(repr=False)
class PendingLoad(ReprMixin):
    """A load that this host has ordered, as published to peers."""

    upstream: str
    incarnation: str
    weights_version: int
    until_seconds: float


@attrs.frozen(repr=False)
class ObservedWeights(ReprMixin):
    """Weights that a runner reported after an order of this host."""

    upstream: str
    incarnation: str
    weights_version: int
    seen_at_seconds: float


class RolloutController:
    """Competes for the lease; the holder brings runners to their target weights.

    An order is sent only if the lease outlives the order's own timeout, so that two
    holders never send orders at the same time, even if runners do not check fencing
    numbers.
    """

    def __init__(
        self,
        api: ObjectApi | None,
        settings: Settings,
        scheduler: SchedulerTask,
        control: UpstreamControl,
        read_clock: Callable[[], float],
        rng: random.Random,
        address: str = "",
    ) -> None:
        self._settings = settings.steward
        self._scheduler = scheduler
        self._control = control
        self._read_clock = read_clock
        self._rng = rng
        self._lease_manager = LeaseManager(
            LeaseStore(api, f"leases/steward-{settings.host.region}") if api else None,
            LeaseWatcher(
                settings.host.name,
                _lease_seconds(settings.steward),
                settings.steward.order_window_seconds,
                address,
            ),
            self._targets_age_seconds,
            self._can_send_orders,
            read_clock,
        )
        self._has_platform = api is not None
        self._rollout = Rollout(
            settings.steward.max_loads_count, settings.steward.max_loads_ratio
        )
        self._has_stopped = False
        self._observed: dict[str, ObservedWeights] = {}
        self._wake = anyio.Event()
        #: Whether this host may acquire a lease that it does not hold.
        self.is_candidate: Callable[[], bool] = lambda: True
        #: Called to notify peers of a load immediately.
        self.notify_peers: Callable[[], None] = _notify_nobody

    @property
    def lease(self) -> LeaseWatcher:
        """The lease as this host sees it."""
        return self._lease_manager.lease

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the lease now."""
        return self._lease_manager.is_held

    def wake(self) -> None:
        """Start a planning round now."""
        self._wake.set()

    def loads(self) -> list[PendingLoad]:
        """Return the loads ordered by this host that are not finished."""
        found = []
        for name, (version, until_seconds) in self._rollout.loads().items():
            found.append(PendingLoad(name, "", version, until_seconds))
        return found

    def observed_weights(self) -> list[ObservedWeights]:
        """Return the weights recently loaded by orders of this host."""
        oldest = self._read_clock() - OBSERVED_WEIGHTS_SECONDS
        self._observed = {
            name: observed
            for name, observed in self._observed.items()
            if observed.seen_at_seconds > oldest
        }
        return list(self._observed.values())

    def outdated_count(self) -> int:
        """Return the number of runners with weights older than their target."""
        targets = self._scheduler.targets()
        runners = self._scheduler.run_query(_read_runners)
        return count_outdated(runners, targets)

    async def run(self) -> None:
        """Acquire or renew the lease and run the rollout, until cancelled."""
        if not self._has_platform or not self._settings.is_candidate:
            return
        await anyio.sleep(self._rng.uniform(0.0, ACQUIRE_JITTER_SECONDS))
        async with anyio.create_task_group() as tasks:
            while not self._has_stopped:
                self._wake = anyio.Event()
                is_busy = False
                try:
                    await self._maintain_lease()
                    if self.is_holder:
                        is_busy = await self._run_plan(tasks)
                except (PlatformError, DataError) as error:
                    # The lease expires without renewal; no order is sent without it.
                    log.problem("rollout step failed", error=str(error))
                except Exception as error:
                    note_unexpected_error("rollout step", error)
                with move_on_after_aligned(self._pause_seconds(is_busy)):
                    await self._wake.wait()

    def _pause_seconds(self, is_busy: bool) -> float:
        if is_busy:
            return BUSY_INTERVAL_SECONDS
        if self.is_holder or self.is_candidate():
            return IDLE_INTERVAL_SECONDS
        return INACTIVE_INTERVAL_SECONDS

    async def retire(self) -> None:
        """Release the lease to another host, as this host shuts down."""
        self._has_stopped = True
        await self._lease_manager.retire()

    async def _maintain_lease(self) -> None:
        try:
            await self._lease_manager.maintain(self.is_candidate())
        finally:
            if self._lease_manager.update_held():
                # Orders of the previous holder show in the runners' reports.
                self._rollout.reset()

    def _targets_age_seconds(self) -> float:
        """Return the age of the targets, or zero while a load is in progress."""
        if self._is_rolling_out():
            # The targets known now suffice to complete the load.
            return 0.0
        return self._scheduler.targets_age_seconds()

    def _can_send_orders(self) -> bool:
        """Return whether this host's own links lead to a runner.

        Orders are not sent through peers, which would count as other holders.
        """
        return not self._scheduler.run_query(_has_lost_own_links)

    def _is_rolling_out(self) -> bool:
        """Return whether a load is in progress that may still complete as expected."""
        now_seconds = self._read_clock()
        return any(load.until_seconds > now_seconds for load in self.loads())

    async def _run_plan(self, tasks: TaskGroup) -> bool:
        """Perform the steps that are due; return whether more will follow."""
        targets = self._scheduler.targets()
        if not targets:
            return False
        runners = self._scheduler.run_query(_read_runners)
        now_seconds = self._read_clock()
        steps = self._rollout.plan(runners, targets, now_seconds)
        entries = self._scheduler.run_query(_read_entries)
        planned = []
        for step in steps:
            entry = entries.get(step.runner)
            if entry is None:
                continue
            if isinstance(step, FetchReport):
                tasks.start_soon(self._probe, entry)
            else:
                planned.append((entry, step))
        if planned:
            self._announce(planned, now_seconds)
            for entry, step in planned:
                tasks.start_soon(self._run_order, entry, step)
        return bool(steps or self._rollout.loads())

    def _announce(
        self, planned: Sequence[tuple[HostEntry, PlannedOrder]], now_seconds: float
    ) -> None:
        """Make all hosts stop sending to runners that are about to receive an order."""
        for entry, step in planned:
            version = step.order.weights_version
            self._rollout.note_sent(entry.name, version, now_seconds)
            until_seconds = self._rollout.loads()[entry.name][1]
            self._scheduler.post(
                WeightsLoadOrdered(entry.name, "", version, until_seconds)
            )
        self.notify_peers()

    async def _probe(self, entry: HostEntry) -> None:
        started_seconds = self._read_clock()
        try:
            report = await self._control.probe(entry, UpstreamPath.DIRECT)
            if report is not None:
                self._handle_report(entry, report, started_seconds)
        except AttemptError as error:
            log.problem(
                "runner report unavailable", runner=entry.name, error=str(error)
            )
            self._rollout.note_unresponsive(entry.name, self._read_clock())
        except Exception as error:
            note_unexpected_error("runner report", error, runner=entry.name)
            self._rollout.note_unresponsive(entry.name, self._read_clock())
        self.wake()

    def _handle_report(
        self, entry: HostEntry, report: LoadReport, started_seconds: float
    ) -> None:
        was_pending = entry.name in self._rollout.loads()
        self._rollout.note_report(entry.name, report, started_seconds)
        self._scheduler.post(LoadReported(entry.name, report, address=entry.address))
        if was_pending and entry.name not in self._rollout.loads():
            log.info(
                "load finished",
                runner=entry.name,
                weights_version=report.weights_version,
                report_age_seconds=round(self._read_clock() - started_seconds, 3),
            )
            self._note_observed(entry.name, report.incarnation, report.weights_version)
            self.notify_peers()

    def _note_observed(self, runner: str, incarnation: str, version: int) -> None:
        now_seconds = self._read_clock()
        self._observed[runner] = ObservedWeights(
            runner, incarnation, version, now_seconds
        )
        self._scheduler.post(WeightsReported(runner, incarnation, version))

    async def _run_order(self, entry: HostEntry, planned: PlannedOrder) -> None:
        version = planned.order.weights_version
        await anyio.sleep(ANNOUNCE_LEAD_SECONDS)
        try:
            result = await self._send_order(entry, planned)
        except Exception as error:
            note_unexpected_error("order", error, runner=entry.name)
            # The order may have been sent before the error.
            result = OrderResult.LOST
        with contain_errors("result of an order", runner=entry.name):
            self._rollout.note_result(entry.name, result)
            if result not in (OrderResult.TAKEN, OrderResult.LOST):
                self._scheduler.post(WeightsLoadOrdered(entry.name, "", version, 0.0))
        self.wake()

    async def _send_order(self, entry: HostEntry, planned: PlannedOrder) -> OrderResult:
        number = await self._lease_manager.fencing_number(CONTROL_TIMEOUT_SECONDS)
        if number is None:
            log.problem("order not sent, lease expires too soon", runner=entry.name)
            return OrderResult.REFUSED
        order = attrs.evolve(planned.order, fencing_number=number)
        self._lease_manager.note_order(CONTROL_TIMEOUT_SECONDS)
        result = await self._control.send_order(entry, order)
        log.info(
            "order sent",
            runner=entry.name,
            weights_version=order.weights_version,
            fencing_number=number,
            expected_orders_count=order.expected_orders_count,
            result=result.value,
        )
        return result


def _lease_seconds(settings: StewardSettings) -> float:
    apart_seconds = settings.order_window_seconds + settings.orders_apart_seconds
    if not settings.orders_apart_seconds:
        return settings.lease_seconds
    return max(settings.lease_seconds, apart_seconds)


def _notify_nobody() -> None:
    return


def _read_runners(scheduler: Scheduler, now_seconds: float) -> list[RunnerState]:
    return [
        RunnerState(
            name=upstream.name,
            model=upstream.model,
            weights_version=upstream.last_generation.weights_version,
            is_serving=scheduler.upstreams.is_eligible(upstream, now_seconds),
            is_loading=False,
            running_count=scheduler.running_count(upstream),
            address=upstream.entry.address,
        )
        for upstream in scheduler.upstreams
        if upstream.is_runner
        and upstream.last_generation is not None
        and not scheduler.upstreams.is_draining(upstream, now_seconds)
        and scheduler.pool.is_in_service(upstream)
    ]


def _has_lost_own_links(scheduler: Scheduler, now_seconds: float) -> bool:
    return scheduler.pool.has_lost_own_links()


def _read_entries(scheduler: Scheduler, now_seconds: float) -> dict[str, HostEntry]:
    return {upstream.name: upstream.entry for upstream in scheduler.upstreams}
