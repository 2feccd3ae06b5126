"""The task that gives orders to runners while this host holds the region's lease."""

from collections.abc import Callable

import anyio
import attrs

from rampwick_platform import LeaseStore, ObjectApi, WeightsStore
from rampwick_policy import (
    LeaseWatcher,
    PlannedOrder,
    RunnerState,
    Scheduler,
    plan_orders,
)
from rampwick_schema import RampwickError, Settings

from ._errors import AttemptError
from ._logs import PartLogger
from ._scheduler_task import SchedulerTask
from ._upstream_client import CONTROL_TIMEOUT_SECONDS, UpstreamClient

#: Time between two looks at the lease and at what runners have loaded; the holder
#: reads the targets as often, which is a call to the platform.
PLAN_INTERVAL_SECONDS = 1.0

#: Part of the lease after which it is renewed.
RENEWAL_RATIO = 1 / 3

log = PartLogger("steward")


@attrs.frozen
class SentOrder:
    """An order whose effect the runner has not reported yet."""

    weights_version: int
    sent_at_seconds: float


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
        client: UpstreamClient,
        read_clock: Callable[[], float],
    ) -> None:
        self._settings = settings.steward
        self._scheduler = scheduler
        self._client = client
        self._read_clock = read_clock
        self.lease = LeaseWatcher(settings.host.name, settings.steward.lease_seconds)
        region = settings.host.region
        self._leases = LeaseStore(api, f"leases/steward-{region}") if api else None
        self._weights = WeightsStore(api) if api else None
        self._sent: dict[str, SentOrder] = {}
        self._renew_at_seconds = 0.0

    @property
    def is_holder(self) -> bool:
        """Whether this host holds the lease now."""
        return self.lease.fencing_number(self._read_clock()) is not None

    async def run(self) -> None:
        """Take or renew the lease and plan, until cancelled."""
        if self._leases is None or not self._settings.is_candidate:
            return
        while True:
            try:
                await self._keep_lease()
                if self.is_holder:
                    await self._give_orders()
            except RampwickError as error:
                # The lease runs out by itself; nothing is ordered without it.
                log.problem("no orders now", error=str(error))
            await anyio.sleep(PLAN_INTERVAL_SECONDS)

    async def _keep_lease(self) -> None:
        assert self._leases is not None
        if self._read_clock() < self._renew_at_seconds:
            return
        was_holder = self.is_holder
        renewal_seconds = self._settings.lease_seconds * RENEWAL_RATIO
        self._renew_at_seconds = self._read_clock() + renewal_seconds
        is_holder = await self._leases.try_take(self.lease, self._read_clock)
        if is_holder and not was_holder:
            log.info("lease taken", fencing_number=self.lease.version)
            # What the holder before ordered shows in the runners' reports.
            self._sent.clear()
            await anyio.sleep(CONTROL_TIMEOUT_SECONDS)

    async def _give_orders(self) -> None:
        assert self._weights is not None
        targets = await self._weights.load()
        if not targets:
            return
        runners = await self._scheduler.ask(self._read_runners)
        # Only the plan's shape depends on the number; each order reads its own.
        for planned in plan_orders(runners, targets, fencing_number=0):
            await self._send(planned)

    async def _send(self, planned: PlannedOrder) -> None:
        needed_seconds = CONTROL_TIMEOUT_SECONDS
        number = self.lease.fencing_number(self._read_clock(), needed_seconds)
        if number is None:
            return
        order = attrs.evolve(planned.order, fencing_number=number)
        self._sent[planned.runner] = SentOrder(
            order.weights_version, self._read_clock()
        )
        try:
            is_taken = await self._client.send_order(
                planned.address, planned.runner, order
            )
        except AttemptError as error:
            # It may have been taken; the runner's report will show.
            log.problem("order unanswered", error=str(error))
            return
        if not is_taken:
            del self._sent[planned.runner]
        log.info("order sent", runner=planned.runner, is_taken=is_taken)

    def _read_runners(
        self, scheduler: Scheduler, now_seconds: float
    ) -> list[RunnerState]:
        return [
            RunnerState(
                name=upstream.name,
                model=upstream.model,
                weights_version=upstream.last_life.weights_version,
                is_serving=scheduler.upstreams.is_open(upstream, now_seconds),
                is_loading=upstream.role == "loading"
                or self._is_pending(
                    upstream.name, upstream.last_life.weights_version, now_seconds
                ),
                running_count=len(upstream.own_attempts),
                address=upstream.entry.address,
            )
            for upstream in scheduler.upstreams
            if upstream.is_runner and upstream.last_life is not None
        ]

    def _is_pending(
        self, runner: str, weights_version: int, now_seconds: float
    ) -> bool:
        sent = self._sent.get(runner)
        if sent is None or weights_version >= sent.weights_version:
            self._sent.pop(runner, None)
            return False
        waited_seconds = now_seconds - sent.sent_at_seconds
        return waited_seconds < self._settings.load_timeout_seconds
