"""Where the weights that runners shall have are read."""

import random
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from rampwick_platform import (
    KindState,
    KindWatcher,
    ObjectApi,
    PlatformError,
    StoredObject,
    WeightsStore,
)
from rampwick_policy import TargetsRead
from rampwick_schema import DataError, RampwickError, WeightsTarget

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask

#: Longest wait of one watch on the targets. A watch whose connection has died hears of
#: no version until its wait is over: with 20 s the steward learned of one 16.1 s late,
#: and prompts began on weights replaced more than 10 s before, on four days of four.
TARGETS_WAIT_SECONDS = 3.0

#: Time between two reads of the targets by the host that gives orders.
TARGETS_INTERVAL_SECONDS = 1.0

#: Who told this host of targets, as its log says it.
PLATFORM_SOURCE = "the platform says so"

log = ComponentLogger("steward")


class ReadsTargets(Protocol):
    """How the weights that runners shall have are read from the store."""

    @property
    def targets_prefix(self) -> str:
        """Prefix under which they are named."""

    def read_target(self, stored: StoredObject) -> WeightsTarget:
        """Return one target, or raise a DataError."""


class WatchedTargets:
    """Targets that others name in the store, one object a model."""

    def __init__(
        self,
        api: ObjectApi,
        reader: ReadsTargets,
        scheduler: SchedulerTask,
        wake: Callable[[], None],
        is_wanted: Callable[[], bool],
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._reader = reader
        self._scheduler = scheduler
        self._wake = wake
        self._watcher = KindWatcher(
            api,
            reader.targets_prefix,
            wait_seconds=TARGETS_WAIT_SECONDS,
            is_wanted=is_wanted,
            take_state=self._take_state,
            take_problem=_log_problem,
            read_clock=read_clock,
            draw=draw,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._watcher.run()

    def _take_state(self, state: KindState) -> None:
        targets = []
        for stored in state.objects.values():
            try:
                targets.append(self._reader.read_target(stored))
            except RampwickError as error:
                log.problem("target can't be read", target=stored.key, error=str(error))
        _post_targets(
            self._scheduler,
            targets,
            state.confirmed_at_seconds,
            state.is_after_failure,
            self._wake,
        )


class PolledTargets:
    """Targets that operators set with rampwick's own command line."""

    def __init__(
        self,
        api: ObjectApi,
        scheduler: SchedulerTask,
        is_wanted: Callable[[], bool],
        wake: Callable[[], None],
        read_clock: Callable[[], float],
    ) -> None:
        self._read_clock = read_clock
        self._store = WeightsStore(api)
        self._scheduler = scheduler
        self._is_wanted = is_wanted
        self._wake = wake

    async def run(self) -> None:
        """Read the targets while this host gives orders, until cancelled."""
        is_after_failure = False
        while True:
            if self._is_wanted():
                began_seconds = self._read_clock()
                try:
                    targets = await self._store.load()
                    _post_targets(
                        self._scheduler,
                        targets,
                        began_seconds,
                        is_after_failure,
                        self._wake,
                    )
                    is_after_failure = False
                except (PlatformError, DataError) as error:
                    is_after_failure = True
                    log.problem("targets can't be read", error=str(error))
            await anyio.sleep(TARGETS_INTERVAL_SECONDS)


def _post_targets(
    scheduler: SchedulerTask,
    targets: Sequence[WeightsTarget],
    read_at_seconds: float,
    is_after_failure: bool,
    wake: Callable[[], None],
) -> None:
    event = TargetsRead(
        tuple(targets),
        PLATFORM_SOURCE,
        read_at_seconds,
        is_after_failure=is_after_failure,
    )
    scheduler.post(event)
    wake()


def _log_problem(problem: str) -> None:
    """Say that the targets can't be followed; the last ones stay good."""
    log.problem("targets can't be followed", error=problem)
