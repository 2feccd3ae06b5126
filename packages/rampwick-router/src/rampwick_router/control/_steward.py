"""The task that gives orders to runners while this host holds the region's lease."""

import random
from collections.abc import Callable, Sequence

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import (
    LeaseStore,
    ObjectApi,
    PlatformError,
    move_on_at_grid,
)
from rampwick_policy import (
    AskReport,
    LeaseWatcher,
    LoadOrdered,
    LoadReported,
    OrderResult,
    PlannedOrder,
    Rollout,
    RunnerState,
    Scheduler,
    WeightsSeen,
    count_outdated,
)
from rampwick_schema import (
    DataError,
    HostEntry,
    Settings,
    Shown,
    StewardSettings,
)

from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ..upstream import CONTROL_TIMEOUT_SECONDS, UpstreamControl
from ._lease_keeper import LeaseKeeper

#: Time between two looks at the plan while there is something to do, while there is
#: not, and between two looks at the lease of a host that has no part in it.
BUSY_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 0.25
BYSTANDER_INTERVAL_SECONDS = 1.0

#: Time between announcing a load to peers and ordering it: the update takes a few trips
#: between halls, and prompts that were sent before have begun by then.
ANNOUNCE_LEAD_SECONDS = 0.15

#: Random wait before a lease that is free is tried for, so that hosts don't race.
TAKE_JITTER_SECONDS = 0.4

#: Time for which peers are told of weights that an own load brought.
TOLD_SECONDS = 2.0

log = ComponentLogger("steward")


@attrs.frozen(repr=False)
class LoadUnderWay(Shown):
    """A load that this host has ordered, as peers are told."""

    upstream: str
    incarnation: str
    weights_version: int
    until_seconds: float


@attrs.frozen(repr=False)
class WeightsShown(Shown):
    """Weights that a runner was seen to have after an own order."""

    upstream: str
    incarnation: str
    weights_version: int
    seen_at_seconds: float


class StewardTask:
    """Competes for the lease and, holding it, brings weights to their targets.

    Every order is sent only if the lease outlives the order's own time-out, so that
    two holders never order at once even where runners don't check fencing numbers.
    """

    def __init__(
        self,
        api: ObjectApi | None,
        settings: Settings,
        scheduler: SchedulerTask,
        control: UpstreamControl,
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._settings = settings.steward
        self._scheduler = scheduler
        self._control = control
        self._read_clock = read_clock
        self._draw = draw
        self._keeper = LeaseKeeper(
            LeaseStore(api, f"leases/steward-{settings.host.region}") if api else None,
            LeaseWatcher(
                settings.host.name,
                _lease_seconds(settings.steward),
                settings.steward.order_window_seconds,
            ),
            self._targets_age_seconds,
            read_clock,
        )
        self._has_platform = api is not None
        self._rollout = Rollout(
            settings.steward.max_loads_count, settings.steward.max_loads_ratio
        )
        self._has_stopped = False
        self._shown: dict[str, WeightsShown] = {}
        self._wake = anyio.Event()
        #: Whether this host may take a lease that it does not hold.
        self.is_candidate: Callable[[], bool] = lambda: True
        #: Called when peers shall hear of a load at once.
        self.notify_peers: Callable[[], None] = _tell_nobody

    @property
    def lease(self) -> LeaseWatcher:
        """What this host knows of the lease."""
        return self._keeper.lease

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the lease now."""
        return self._keeper.is_held

    def wake(self) -> None:
        """Have the plan looked at now, since there may be something to do."""
        self._wake.set()

    def loads(self) -> list[LoadUnderWay]:
        """Return the loads that this host has ordered and that are not over."""
        found = []
        for name, (version, until_seconds) in self._rollout.loads().items():
            found.append(LoadUnderWay(name, "", version, until_seconds))
        return found

    def weights_shown(self) -> list[WeightsShown]:
        """Return the weights that own loads have brought of late."""
        oldest = self._read_clock() - TOLD_SECONDS
        self._shown = {
            name: shown
            for name, shown in self._shown.items()
            if shown.seen_at_seconds > oldest
        }
        return list(self._shown.values())

    def outdated_count(self) -> int:
        """Return the number of runners with older weights than are wanted here."""
        targets = self._scheduler.targets()
        runners = self._scheduler.run_query(_read_runners)
        return count_outdated(runners, targets)

    async def run(self) -> None:
        """Take or renew the lease and plan, until cancelled."""
        if not self._has_platform or not self._settings.is_candidate:
            return
        await anyio.sleep(self._draw.uniform(0.0, TAKE_JITTER_SECONDS))
        async with anyio.create_task_group() as tasks:
            while not self._has_stopped:
                self._wake = anyio.Event()
                is_busy = False
                try:
                    await self._keep_lease()
                    if self.is_holder:
                        is_busy = await self._look(tasks)
                except (PlatformError, DataError) as error:
                    # The lease runs out by itself; nothing is ordered without it.
                    log.problem("no orders now", error=str(error))
                with move_on_at_grid(self._pause_seconds(is_busy)):
                    await self._wake.wait()

    def _pause_seconds(self, is_busy: bool) -> float:
        if is_busy:
            return BUSY_INTERVAL_SECONDS
        if self.is_holder or self.is_candidate():
            return IDLE_INTERVAL_SECONDS
        return BYSTANDER_INTERVAL_SECONDS

    async def give_up(self) -> None:
        """Let another host take the lease at once, as this one stops."""
        self._has_stopped = True
        await self._keeper.retire()

    async def _keep_lease(self) -> None:
        try:
            await self._keeper.keep(self.is_candidate())
        finally:
            if self._keeper.note_holding():
                # What the holder before ordered shows in the runners' reports.
                self._rollout.reset()

    def _targets_age_seconds(self) -> float:
        """Return how old what this host knows of the targets is, if that matters."""
        if self._is_rolling_out():
            # What it knows is enough to go on with.
            return 0.0
        return self._scheduler.targets_age_seconds()

    def _is_rolling_out(self) -> bool:
        """Return whether a load is under way that may yet end as expected."""
        now_seconds = self._read_clock()
        return any(load.until_seconds > now_seconds for load in self.loads())

    async def _look(self, tasks: TaskGroup) -> bool:
        """Carry out what is to be done now; return whether more will follow."""
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
            if isinstance(step, AskReport):
                tasks.start_soon(self._ask, entry)
            else:
                planned.append((entry, step))
        if planned:
            self._announce(planned, now_seconds)
            for entry, step in planned:
                tasks.start_soon(self._order, entry, step)
        return bool(steps or self._rollout.loads())

    def _announce(
        self, planned: Sequence[tuple[HostEntry, PlannedOrder]], now_seconds: float
    ) -> None:
        """Have all hosts stop sending to runners that are about to be told to load."""
        for entry, step in planned:
            version = step.order.weights_version
            self._rollout.note_sent(entry.name, version, now_seconds)
            until_seconds = self._rollout.loads()[entry.name][1]
            self._scheduler.post(LoadOrdered(entry.name, "", version, until_seconds))
        self.notify_peers()

    async def _ask(self, entry: HostEntry) -> None:
        began_seconds = self._read_clock()
        try:
            report = await self._control.probe(entry)
        except AttemptError as error:
            log.problem("runner does not report", runner=entry.name, error=str(error))
            self._rollout.note_silence(entry.name, self._read_clock())
            self.wake()
            return
        if report is None:
            return
        was_pending = entry.name in self._rollout.loads()
        self._rollout.note_report(entry.name, report, began_seconds)
        self._scheduler.post(LoadReported(entry.name, report))
        if was_pending and entry.name not in self._rollout.loads():
            log.info(
                "load over",
                runner=entry.name,
                weights_version=report.weights_version,
                report_age_seconds=round(self._read_clock() - began_seconds, 3),
            )
            self._note_shown(entry.name, report.incarnation, report.weights_version)
            self.notify_peers()
        self.wake()

    def _note_shown(self, runner: str, incarnation: str, version: int) -> None:
        now_seconds = self._read_clock()
        self._shown[runner] = WeightsShown(runner, incarnation, version, now_seconds)
        self._scheduler.post(WeightsSeen(runner, incarnation, version))

    async def _order(self, entry: HostEntry, planned: PlannedOrder) -> None:
        version = planned.order.weights_version
        await anyio.sleep(ANNOUNCE_LEAD_SECONDS)
        result = await self._send(entry, planned)
        self._rollout.note_result(entry.name, result)
        if result not in (OrderResult.TAKEN, OrderResult.LOST):
            self._scheduler.post(LoadOrdered(entry.name, "", version, 0.0))
        self.wake()

    async def _send(self, entry: HostEntry, planned: PlannedOrder) -> OrderResult:
        number = await self._keeper.fencing_number(CONTROL_TIMEOUT_SECONDS)
        if number is None:
            log.problem("lease too short for an order", runner=entry.name)
            return OrderResult.REFUSED
        order = attrs.evolve(planned.order, fencing_number=number)
        self._keeper.note_order(CONTROL_TIMEOUT_SECONDS)
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


def _tell_nobody() -> None:
    return


def _read_runners(scheduler: Scheduler, now_seconds: float) -> list[RunnerState]:
    return [
        RunnerState(
            name=upstream.name,
            model=upstream.model,
            weights_version=upstream.last_life.weights_version,
            is_serving=scheduler.upstreams.is_open(upstream, now_seconds),
            is_loading=False,
            running_count=scheduler.running_count(upstream),
            address=upstream.entry.address,
        )
        for upstream in scheduler.upstreams
        if upstream.is_runner
        and upstream.last_life is not None
        and not scheduler.upstreams.is_leaving(upstream, now_seconds)
        and scheduler.pool.is_in_service(upstream)
    ]


def _read_entries(scheduler: Scheduler, now_seconds: float) -> dict[str, HostEntry]:
    return {upstream.name: upstream.entry for upstream in scheduler.upstreams}
