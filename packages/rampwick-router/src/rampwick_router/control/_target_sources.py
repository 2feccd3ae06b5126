"""Sources of the weights targets."""

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
from rampwick_policy import TargetsReceived
from rampwick_schema import DataError, RampwickError, WeightsTarget

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from .._unexpected_errors import contain_errors, note_unexpected_error
from .._unread_records import UnreadRecords

#: Maximum wait of one watch on the targets. A watch whose connection has died receives
#: no version until its wait ends. With 20 s the rollout controller received a version
#: 16.1 s late, and prompts started on weights replaced more than 10 s earlier, on four
#: test days out of four.
TARGETS_WAIT_SECONDS = 3.0

#: Time between two reads of the targets by the rollout controller.
TARGETS_INTERVAL_SECONDS = 1.0

#: Source of targets read by this host, for logs.
PLATFORM_SOURCE = "read from the platform"

log = ComponentLogger("steward")


class TargetDecoder(Protocol):
    """Decodes weights targets from stored objects."""

    @property
    def targets_prefix(self) -> str:
        """Key prefix of the targets."""

    def read_target(self, stored: StoredObject) -> WeightsTarget:
        """Return one target, or raise a DataError."""


class WatchedTargetSource:
    """Targets that another system sets in the store, one object per model."""

    def __init__(
        self,
        api: ObjectApi,
        decoder: TargetDecoder,
        scheduler: SchedulerTask,
        wake: Callable[[], None],
        must_read: Callable[[], bool],
        read_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._decoder = decoder
        self._scheduler = scheduler
        self._wake = wake
        self.unread = _make_unread()
        self._watcher = KindWatcher(
            api,
            decoder.targets_prefix,
            wait_seconds=TARGETS_WAIT_SECONDS,
            must_read=must_read,
            on_state=self._apply_state,
            on_problem=_log_problem,
            read_clock=read_clock,
            rng=rng,
        )

    async def run(self) -> None:
        """Watch until cancelled."""
        await self._watcher.run()

    def _apply_state(self, state: KindState) -> None:
        targets = []
        unread = {}
        for stored in state.objects.values():
            try:
                targets.append(self._decoder.read_target(stored))
            except RampwickError as error:
                unread[stored.key] = str(error)
            except Exception as error:
                note_unexpected_error("weights target", error, target=stored.key)
        self.unread.update(unread)
        with contain_errors("weights targets"):
            _post_targets(
                self._scheduler,
                targets,
                state.confirmed_at_seconds,
                state.is_after_failure,
                self._wake,
            )


class PolledTargetSource:
    """Targets that operators set with rampwick's command line."""

    def __init__(
        self,
        api: ObjectApi,
        scheduler: SchedulerTask,
        must_read: Callable[[], bool],
        wake: Callable[[], None],
        read_clock: Callable[[], float],
    ) -> None:
        self._read_clock = read_clock
        self._store = WeightsStore(api)
        self._scheduler = scheduler
        self._must_read = must_read
        self._wake = wake
        self.unread = _make_unread()

    async def run(self) -> None:
        """Read the targets periodically while this host needs them, until cancelled."""
        is_after_failure = False
        while True:
            if self._must_read():
                started_seconds = self._read_clock()
                try:
                    targets = await self._store.load()
                    self.unread.update(self._store.unread)
                    _post_targets(
                        self._scheduler,
                        targets,
                        started_seconds,
                        is_after_failure,
                        self._wake,
                    )
                    is_after_failure = False
                except (PlatformError, DataError) as error:
                    is_after_failure = True
                    log.problem("targets unavailable", error=str(error))
            await anyio.sleep(TARGETS_INTERVAL_SECONDS)


def _post_targets(
    scheduler: SchedulerTask,
    targets: Sequence[WeightsTarget],
    read_at_seconds: float,
    is_after_failure: bool,
    wake: Callable[[], None],
) -> None:
    event = TargetsReceived(
        tuple(targets),
        PLATFORM_SOURCE,
        read_at_seconds,
        is_after_failure=is_after_failure,
    )
    scheduler.post(event)
    wake()


def _make_unread() -> UnreadRecords:
    return UnreadRecords(log, "invalid weights target", "target")


def _log_problem(problem: str) -> None:
    """Log that the targets cannot be watched; the last ones stay in effect."""
    log.problem("target watch failed", error=problem)
