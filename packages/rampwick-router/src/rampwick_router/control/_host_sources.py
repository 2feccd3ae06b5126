"""Where the list of upstreams is read."""

import math
import random
from collections.abc import Callable
from typing import Protocol

import anyio

from rampwick_platform import (
    KindState,
    KindWatcher,
    ObjectApi,
    PlatformError,
    StoredObject,
)
from rampwick_policy import LapseGuard
from rampwick_schema import DataError, HostEntry, HostList, RampwickError

from .._logs import ComponentLogger

#: Wait of one watch on the upstreams: its answers confirm the list to peers, which
#: read for themselves once what they are told is older than FALLBACK_SECONDS. With 2 s
#: each host of a large fleet read a dozen times in 50 s.
UPSTREAMS_WAIT_SECONDS = 1.2

#: Time between two watches on the upstreams: during a rollout their entries change
#: all the time, and an entry that leaves may have new work for seconds yet.
WATCH_PAUSE_SECONDS = 0.3

log = ComponentLogger("upstreams")


class TakesHosts(Protocol):
    """Who is told of the host list."""

    #: The newest list that is known, whoever has read it.
    host_list: HostList

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
            entries,
            state.version,
            state.is_after_failure,
            self._read_clock(),
            self._task.host_list,
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
