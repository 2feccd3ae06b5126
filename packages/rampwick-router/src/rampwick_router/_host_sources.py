"""Where the lists of upstreams and of peers, and the weights' targets, are read."""

import math
import random
import secrets
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from rampwick_platform import (
    ABSENT,
    KindState,
    KindWatcher,
    ObjectApi,
    PlatformError,
    StoredObject,
    VersionConflictError,
    WeightsStore,
    decode_record,
    settle_put,
)
from rampwick_policy import LapseGuard, TargetsRead
from rampwick_schema import (
    DataError,
    HostEntry,
    HostList,
    HostRecord,
    RampwickError,
    Settings,
    WeightsTarget,
)

from ._logs import PartLogger
from ._scheduler_task import SchedulerTask

#: Kind under which hosts tell their peers where they are.
PEERS_PREFIX = "peers/"

#: Longest wait of one watch on what seldom changes.
LONG_WAIT_SECONDS = 20.0

#: Time between two reads of the targets by the host that gives orders.
TARGETS_INTERVAL_SECONDS = 1.0

#: Wait before a host's own record is written again after a failure.
RECORD_PAUSE_SECONDS = 1.0

log = PartLogger("upstreams")

TakeHosts = Callable[[HostList], None]
TakeProblem = Callable[[str], None]


class HostSource(Protocol):
    """Where the list of hosts comes from."""

    async def run(self, take: TakeHosts, take_problem: TakeProblem) -> None:
        """Hand on each list that is read, until cancelled."""


class PolledHosts:
    """Rampwick's own host list, read again and again."""

    def __init__(self, api: ObjectApi, interval_seconds: float) -> None:
        self._api = api
        self._interval_seconds = interval_seconds

    async def run(self, take: TakeHosts, take_problem: TakeProblem) -> None:
        """Poll until cancelled."""
        while True:
            try:
                take(await self._api.read_hosts())
                take_problem("")
            except (PlatformError, DataError) as error:
                # The last list stays good: upstreams are probed anyway.
                take_problem(str(error))
            await anyio.sleep(self._interval_seconds)


class ReadsUpstreams(Protocol):
    """How upstreams that register themselves in the store are read."""

    @property
    def upstreams_prefix(self) -> str:
        """Prefix under which they register."""

    def read_upstream(self, stored: StoredObject) -> HostEntry:
        """Return an upstream's entry, or raise a DataError."""


class WatchedHosts:
    """Upstreams that keep an entry each in the store."""

    def __init__(
        self,
        api: ObjectApi,
        reader: ReadsUpstreams,
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._reader = reader
        self._read_clock = read_clock
        self._guard = LapseGuard()
        self._changed = anyio.Event()
        self._watcher = KindWatcher(
            api,
            reader.upstreams_prefix,
            wait_seconds=LONG_WAIT_SECONDS,
            take_state=self._take_state,
            take_problem=self._note_problem,
            read_clock=read_clock,
            draw=draw,
        )
        self._take: TakeHosts = _ignore
        self._take_problem: TakeProblem = _ignore

    async def run(self, take: TakeHosts, take_problem: TakeProblem) -> None:
        """Watch until cancelled."""
        self._take = take
        self._take_problem = take_problem
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_lapses)
            await self._watcher.run()

    def _note_problem(self, problem: str) -> None:
        self._take_problem(problem)

    def _take_state(self, state: KindState) -> None:
        self._take_problem("")
        entries = []
        for stored in state.objects.values():
            try:
                entries.append(self._reader.read_upstream(stored))
            except RampwickError as error:
                log.problem("entry can't be read", entry=stored.key, error=str(error))
        self._guard.take(
            entries, state.version, state.is_after_failure, self._read_clock()
        )
        self._hand_on()
        self._changed.set()

    def _hand_on(self) -> None:
        self._take(self._guard.host_list(self._read_clock()))

    async def _end_lapses(self) -> None:
        while True:
            self._changed = anyio.Event()
            end_seconds = self._guard.lapse_end_seconds
            wait_seconds = math.inf
            if end_seconds is not None:
                wait_seconds = max(0.0, end_seconds - self._read_clock())
            with anyio.move_on_after(wait_seconds) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                self._hand_on()


class PeerDirectory:
    """Hosts that keep a record each in the store, this one among them."""

    def __init__(
        self,
        api: ObjectApi,
        settings: Settings,
        peer_address: str,
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._api = api
        self._host = settings.host
        self._peer_address = peer_address
        self._addresses: dict[str, str] = {}
        self._watcher = KindWatcher(
            api,
            PEERS_PREFIX,
            wait_seconds=LONG_WAIT_SECONDS,
            take_state=self._take_state,
            take_problem=_ignore,
            read_clock=read_clock,
            draw=draw,
        )

    def addresses(self) -> set[str]:
        """Return the addresses of the other hosts."""
        return {
            address
            for name, address in self._addresses.items()
            if name != self._host.name
        }

    async def run(self) -> None:
        """Keep the own record and follow those of others until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._write_record)
            await self._watcher.run()

    def _take_state(self, state: KindState) -> None:
        addresses = {}
        for stored in state.objects.values():
            try:
                record = decode_record(stored, HostRecord)
            except DataError as error:
                log.problem("record can't be read", record=stored.key, error=str(error))
                continue
            addresses[record.host] = record.peer_address
        self._addresses = addresses

    async def _write_record(self) -> None:
        key = f"{PEERS_PREFIX}{self._host.name}"
        record = HostRecord(
            host=self._host.name,
            hall=self._host.hall,
            peer_address=self._peer_address,
            write_id=secrets.token_hex(8),
        )
        while True:
            try:
                await self._settle(key, record)
                return
            except VersionConflictError:
                continue
            except (PlatformError, DataError) as error:
                log.problem("own record not written", error=str(error))
                await anyio.sleep(RECORD_PAUSE_SECONDS)

    async def _settle(self, key: str, record: HostRecord) -> None:
        stored = await self._api.get(key)
        version = stored.version if stored else ABSENT
        if stored is not None:
            known = decode_record(stored, HostRecord)
            if known.peer_address == record.peer_address:
                return
        await settle_put(self._api, key, record, version)


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
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._reader = reader
        self._scheduler = scheduler
        self._wake = wake
        self._watcher = KindWatcher(
            api,
            reader.targets_prefix,
            wait_seconds=LONG_WAIT_SECONDS,
            take_state=self._take_state,
            take_problem=_ignore,
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
        _post_targets(self._scheduler, targets, self._wake)


class PolledTargets:
    """Targets that operators set with rampwick's own command line."""

    def __init__(
        self,
        api: ObjectApi,
        scheduler: SchedulerTask,
        is_wanted: Callable[[], bool],
        wake: Callable[[], None],
    ) -> None:
        self._store = WeightsStore(api)
        self._scheduler = scheduler
        self._is_wanted = is_wanted
        self._wake = wake

    async def run(self) -> None:
        """Read the targets while this host gives orders, until cancelled."""
        while True:
            if self._is_wanted():
                try:
                    targets = await self._store.load()
                    _post_targets(self._scheduler, targets, self._wake)
                except (PlatformError, DataError) as error:
                    log.problem("targets can't be read", error=str(error))
            await anyio.sleep(TARGETS_INTERVAL_SECONDS)


def _post_targets(
    scheduler: SchedulerTask,
    targets: Sequence[WeightsTarget],
    wake: Callable[[], None],
) -> None:
    scheduler.post(TargetsRead(tuple(targets)))
    wake()


def _ignore(_: object) -> None:
    return
