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
    WeightsStore,
    decode_record,
    settle_put,
)
from rampwick_policy import LapseGuard, Member, TargetsRead
from rampwick_schema import (
    DataError,
    HostEntry,
    HostList,
    HostRecord,
    RampwickError,
    WeightsTarget,
)

from ._logs import PartLogger
from ._scheduler_task import SchedulerTask

#: Kind under which hosts tell their peers where they are.
PEERS_PREFIX = "peers/"

#: Longest wait of one watch on what seldom changes.
LONG_WAIT_SECONDS = 20.0

#: Wait of one watch on the upstreams: its answers confirm the list to peers.
UPSTREAMS_WAIT_SECONDS = 2.0

#: Time between two watches on the upstreams: during a rollout their entries change
#: all the time, and an entry that leaves may have new work for seconds yet.
WATCH_PAUSE_SECONDS = 0.3

#: Time between two reads of the targets by the host that gives orders.
TARGETS_INTERVAL_SECONDS = 1.0

#: Time between two looks of a host that hears nobody at where others are.
LONELY_LOOK_SECONDS = 2.0

log = PartLogger("upstreams")


class TakesHosts(Protocol):
    """Who is told of the host list."""

    def offer(self, host_list: HostList) -> None:
        """Take a list if it is newer than the last."""

    def confirm(self, at_seconds: float) -> None:
        """Note a steady time at which the list was the newest."""

    def note_problem(self, problem: str) -> None:
        """Note why the list can't be read, or by an empty text that it can."""


class HostSource(Protocol):
    """Where the list of hosts comes from."""

    async def run(self, task: TakesHosts) -> None:
        """Hand on each list that is read, until cancelled."""


class PolledHosts:
    """Rampwick's own host list, read again and again."""

    def __init__(self, api: ObjectApi, interval_seconds: float) -> None:
        self._api = api
        self._interval_seconds = interval_seconds

    async def run(self, task: TakesHosts) -> None:
        """Poll until cancelled."""
        while True:
            try:
                task.offer(await self._api.read_hosts())
                task.note_problem("")
            except (PlatformError, DataError) as error:
                # The last list stays good: upstreams are probed anyway.
                task.note_problem(str(error))
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
        is_wanted: Callable[[], bool],
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
            wait_seconds=UPSTREAMS_WAIT_SECONDS,
            pause_seconds=WATCH_PAUSE_SECONDS,
            is_wanted=is_wanted,
            take_state=self._take_state,
            take_problem=self._note_problem,
            read_clock=read_clock,
            draw=draw,
        )
        self._task: TakesHosts

    async def run(self, task: TakesHosts) -> None:
        """Watch until cancelled."""
        self._task = task
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._end_lapses)
            await self._watcher.run()

    def _note_problem(self, problem: str) -> None:
        self._task.note_problem(problem)

    def _take_state(self, state: KindState) -> None:
        self._task.note_problem("")
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
        self._task.confirm(state.confirmed_at_seconds)
        self._changed.set()

    def _hand_on(self) -> None:
        self._task.offer(self._guard.host_list(self._read_clock()))

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
    """Records in the store by which hosts find each other if no seed answers.

    The hosts that read the platform keep a record there; one that hears nobody reads
    them, and keeps one, too.
    """

    def __init__(
        self,
        api: ObjectApi,
        own: Member,
        is_lonely: Callable[[], bool],
        is_reader: Callable[[], bool],
        draw: random.Random,
    ) -> None:
        self._api = api
        self._own = own
        self._is_lonely = is_lonely
        self._is_reader = is_reader
        self._draw = draw
        self._members: list[Member] = []
        self._has_record = False

    def members(self) -> list[Member]:
        """Return the other hosts that have a record."""
        return self._members

    async def run(self) -> None:
        """Keep the own record and look for others while needed, until cancelled."""
        while True:
            seconds = LONELY_LOOK_SECONDS * self._draw.uniform(0.7, 1.3)
            await anyio.sleep(seconds)
            try:
                if self._is_reader() and not self._has_record:
                    await self._write_record()
                if self._is_lonely():
                    await self._read_records()
            except (PlatformError, DataError) as error:
                log.problem("directory out of reach", error=str(error))

    async def _read_records(self) -> None:
        listing = await self._api.list_objects(PEERS_PREFIX)
        members = []
        for stored in listing.objects:
            record = decode_record(stored, HostRecord)
            members.append(
                Member(
                    record.host,
                    record.hall,
                    record.peer_address,
                    link_megabits_per_second=record.link_megabits_per_second,
                )
            )
        self._members = members

    async def _write_record(self) -> None:
        own = self._own
        key = f"{PEERS_PREFIX}{own.name}"
        record = HostRecord(
            host=own.name,
            hall=own.hall,
            peer_address=own.address,
            link_megabits_per_second=own.link_megabits_per_second,
            write_id=secrets.token_hex(8),
        )
        stored = await self._api.get(key)
        version = stored.version if stored else ABSENT
        is_known = stored is not None and (
            decode_record(stored, HostRecord).peer_address == record.peer_address
        )
        if not is_known:
            await settle_put(self._api, key, record, version)
        self._has_record = True


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
            wait_seconds=LONG_WAIT_SECONDS,
            is_wanted=is_wanted,
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
