"""The task that gives orders to runners while this host holds the region's lease."""

import math
import random
from collections.abc import Callable, Sequence

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import LeaseStore, ObjectApi, PlatformError
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
    StewardSettings,
)

from ._errors import AttemptError
from ._logs import PartLogger, milliseconds
from ._scheduler_task import SchedulerTask
from ._upstream_control import CONTROL_TIMEOUT_SECONDS, UpstreamControl

#: Time between two looks at the plan while there is something to do, while there is
#: not, and between two looks at the lease of a host that has no part in it.
BUSY_INTERVAL_SECONDS = 0.05
IDLE_INTERVAL_SECONDS = 0.25
BYSTANDER_INTERVAL_SECONDS = 1.0

#: Part of the lease after which it is renewed: two renewals may fail before another
#: host takes it.
RENEWAL_RATIO = 1 / 3

#: Time for which nothing is heard of the holder after which the lease is read: a few
#: summaries of peers.
SILENCE_SECONDS = 1.2

#: Time between telling peers of a load and ordering it: the news takes a few trips
#: between halls, and prompts that were sent before have begun by then.
ANNOUNCE_LEAD_SECONDS = 0.15

#: Random wait before a lease that is free is tried for, so that hosts don't race.
TAKE_JITTER_SECONDS = 0.4

#: Age of its own reading of the targets up to which a holder keeps the lease: a watch
#: on a dead connection and three listings after it that fail take 7 s.
MAX_TARGETS_AGE_SECONDS = 8.0

#: Lengths of the lease for which a host that can't learn what is wanted leaves it to
#: others; they notice its silence and wait the old lease out within one and a half.
ABSTAIN_LEASES = 2.0

#: Time for which peers are told of weights that an own load brought.
TOLD_SECONDS = 2.0

log = PartLogger("steward")


@attrs.frozen
class LoadUnderWay:
    """A load that this host has ordered, as peers are told."""

    upstream: str
    incarnation: str
    weights_version: int
    until_seconds: float


@attrs.frozen
class WeightsShown:
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
        self.lease = LeaseWatcher(
            settings.host.name,
            _lease_seconds(settings.steward),
            settings.steward.order_window_seconds,
        )
        region = settings.host.region
        self._leases = LeaseStore(api, f"leases/steward-{region}") if api else None
        self._rollout = Rollout(
            settings.steward.max_loads_count, settings.steward.max_loads_ratio
        )
        self._renew_at_seconds = 0.0
        self._renewing = anyio.Lock()
        #: Version of the lease that a silence of its holder was looked into for.
        self._read_version = 0
        self._was_holder = False
        self._held_since_seconds = math.inf
        #: Until when the lease is left to hosts that know what is wanted.
        self._abstains_until_seconds = -math.inf
        self._has_stopped = False
        self._ordered_at_seconds = -math.inf
        self._shown: dict[str, WeightsShown] = {}
        self._wake = anyio.Event()
        #: Whether this host may take a lease that it does not hold.
        self.is_candidate: Callable[[], bool] = lambda: True
        #: Called when peers shall hear of a load at once.
        self.tell_peers: Callable[[], None] = _tell_nobody

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the lease now."""
        return self.lease.is_held(self._read_clock())

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
        runners = self._scheduler.look(_read_runners)
        return count_outdated(runners, targets)

    async def run(self) -> None:
        """Take or renew the lease and plan, until cancelled."""
        if self._leases is None or not self._settings.is_candidate:
            return
        await anyio.sleep(self._draw.uniform(0.0, TAKE_JITTER_SECONDS))
        async with anyio.create_task_group() as tasks:
            while not self._has_stopped:
                self._wake = anyio.Event()
                is_busy = False
                try:
                    try:
                        await self._keep_lease()
                    finally:
                        self._note_holding()
                    if self.is_holder:
                        is_busy = await self._look(tasks)
                except (PlatformError, DataError) as error:
                    # The lease runs out by itself; nothing is ordered without it.
                    log.problem("no orders now", error=str(error))
                with anyio.move_on_after(self._pause_seconds(is_busy)):
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
        if self.is_holder:
            await self._release()

    async def _release(self) -> None:
        assert self._leases is not None
        self.lease.give_up()
        # Two holders' orders lie as far apart as when a lease runs out.
        apart_seconds = (
            self.lease.duration_seconds - self._settings.order_window_seconds
        )
        since_seconds = self._read_clock() - self._ordered_at_seconds
        wait_seconds = max(0.0, apart_seconds - since_seconds)
        try:
            await self._leases.release(self.lease, wait_seconds, self._read_clock)
            log.info("lease given up", wait_seconds=wait_seconds)
        except (PlatformError, DataError) as error:
            log.problem("lease not given up", error=str(error))

    async def _keep_lease(self) -> None:
        now_seconds = self._read_clock()
        if self.is_holder and not self._is_informed(now_seconds):
            await self._abstain(now_seconds)
        may_try = self.is_holder or self._may_compete(now_seconds)
        is_due = now_seconds >= self._renew_at_seconds
        if may_try and is_due and self.lease.may_take(now_seconds):
            await self._renew()
        elif may_try and not self.is_holder:
            await self._listen_for_holder(now_seconds)

    def _may_compete(self, now_seconds: float) -> bool:
        return now_seconds >= self._abstains_until_seconds and self.is_candidate()

    def _is_informed(self, now_seconds: float) -> bool:
        """Return whether this holder knows what is wanted, or may still learn it."""
        held_seconds = now_seconds - self._held_since_seconds
        age_seconds = self._scheduler.targets_age_seconds()
        if min(age_seconds, held_seconds) <= MAX_TARGETS_AGE_SECONDS:
            return True
        # What it knows is enough to go on with.
        return self.outdated_count() > 0

    async def _abstain(self, now_seconds: float) -> None:
        """Leave the lease to others, who may learn what is wanted.

        A holder that knows of no newer weights orders nothing, and while it renews
        nobody else may: all runners would keep old ones for as long as it lives.
        """
        age_ms = milliseconds(self._scheduler.targets_age_seconds())
        log.problem("targets can't be read, lease let go", targets_read_age_ms=age_ms)
        abstain_seconds = ABSTAIN_LEASES * self.lease.duration_seconds
        self._abstains_until_seconds = now_seconds + abstain_seconds
        await self._release()

    async def _renew(self) -> None:
        async with self._renewing:
            await self._write_lease()

    async def _write_lease(self) -> None:
        assert self._leases is not None
        renewal_seconds = self.lease.duration_seconds * RENEWAL_RATIO
        self._renew_at_seconds = self._read_clock() + renewal_seconds
        await self._leases.try_take(self.lease, self._read_clock)

    async def _listen_for_holder(self, now_seconds: float) -> None:
        """Read the lease once if its holder has fallen silent.

        Its last renewal may not have been heard of; the wait for the lease counts
        from when the newest version was seen.
        """
        assert self._leases is not None
        silent_seconds = now_seconds - self.lease.heard_at_seconds
        is_known = self.lease.version in (0, self._read_version)
        if is_known or silent_seconds < SILENCE_SECONDS:
            return
        await self._leases.read(self.lease, self._read_clock)
        self._read_version = self.lease.version

    def _note_holding(self) -> None:
        is_holder = self.is_holder
        if is_holder == self._was_holder:
            return
        self._was_holder = is_holder
        self._held_since_seconds = self._read_clock() if is_holder else math.inf
        sentence = "lease taken" if is_holder else "lease lost"
        log.info(sentence, fencing_number=self.lease.version)
        # What the holder before ordered shows in the runners' reports.
        self._rollout.reset()

    async def _look(self, tasks: TaskGroup) -> bool:
        """Carry out what is to be done now; return whether more will follow."""
        targets = self._scheduler.targets()
        if not targets:
            return False
        runners = self._scheduler.look(_read_runners)
        now_seconds = self._read_clock()
        steps = self._rollout.plan(runners, targets, now_seconds)
        entries = self._scheduler.look(_read_entries)
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
        self.tell_peers()

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
            self.tell_peers()
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

    async def _fencing_number(self) -> int | None:
        """Return the number for an order, after a renewal if it takes one."""
        needed_seconds = CONTROL_TIMEOUT_SECONDS
        async with self._renewing:
            number = self.lease.fencing_number(self._read_clock(), needed_seconds)
            if number is not None or not self.is_holder:
                return number
            try:
                await self._write_lease()
            except (PlatformError, DataError) as error:
                log.problem("lease not renewed, no order", error=str(error))
        return self.lease.fencing_number(self._read_clock(), needed_seconds)

    async def _send(self, entry: HostEntry, planned: PlannedOrder) -> OrderResult:
        number = await self._fencing_number()
        if number is None:
            log.problem("lease too short for an order", runner=entry.name)
            return OrderResult.REFUSED
        order = attrs.evolve(planned.order, fencing_number=number)
        # It may arrive as late as its time-out.
        self._ordered_at_seconds = self._read_clock() + CONTROL_TIMEOUT_SECONDS
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
        and upstream.entry.state != "leaving"
    ]


def _read_entries(scheduler: Scheduler, now_seconds: float) -> dict[str, HostEntry]:
    return {upstream.name: upstream.entry for upstream in scheduler.upstreams}
