"""Maintenance of the newest host list and of its age."""

import math
from collections.abc import Callable

import anyio

from rampwick_platform import PlatformError
from rampwick_policy import HostListRead, drop_removed, is_newer_than_entry
from rampwick_schema import DataError, HostEntry, HostList

from .._logs import ComponentLogger, milliseconds
from .._scheduler_task import SchedulerTask
from ._host_sources import HostSource

#: Age of the list from which it is read again before a request is sent by it: upstreams
#: that leave may expect no requests 2 s later, and the request takes time to arrive.
MAX_AGE_SECONDS = 1.8

#: Longest time that requests wait for that, and least time between two such waits: on
#: a busy host, whose list is old for that reason, requests must not wait all the time.
#: Meanwhile, and after a refresh that failed, they are sent by the old list.
REFRESH_TIMEOUT_SECONDS = 0.25
REFRESH_INTERVAL_SECONDS = 5.0

#: Longest time for which a request waits for a list that is read after it arrived, and
#: least time between two readings, which the requests that arrive meanwhile share.
CONFIRM_TIMEOUT_SECONDS = 0.5
CONFIRM_INTERVAL_SECONDS = 0.1

log = ComponentLogger("upstreams")


class HostListTask:
    """Holds the newest host list from any source and publishes each newer one."""

    def __init__(
        self, scheduler: SchedulerTask, read_clock: Callable[[], float]
    ) -> None:
        self.source: HostSource | None = None
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._refresh_requested = anyio.Event()
        self._refreshed = anyio.Event()
        self._has_refresh_failed = False
        self._refreshed_at_seconds = -math.inf
        self._confirmation_requested = anyio.Event()
        #: Set at each confirmation and failed reading, then replaced by a new event.
        self._attempted = anyio.Event()
        #: The newest list; peers' addresses are taken from it.
        self.host_list = HostList(version=0, hosts=[])
        #: Version of that list; -1 before the first one.
        self.version = -1
        #: Whether the list lacks entries that another host's list of this version has.
        self.is_partial = False
        self._retained: list[HostEntry] = []
        self._confirmed_at_seconds = -math.inf
        #: Why the list cannot be read at present; empty if it can.
        self.problem = ""

    def age_seconds(self, now_seconds: float) -> float:
        """Return the time since the list was last confirmed as the newest."""
        return now_seconds - self._confirmed_at_seconds

    def confirm(self, at_seconds: float) -> None:
        """Record a monotonic time at which the list was the newest."""
        if self._confirmed_at_seconds > -math.inf:
            self._scheduler.note_list_confirmed()
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, at_seconds)
        self._note_attempted()
        if self._is_recent():
            self._has_refresh_failed = False

    def must_refresh(self) -> bool:
        """Return whether the list is too old for requests to be sent by it.

        It is if the event loop did not run, or if the hosts that read it for this one
        have stopped. A list that can't be read is used at any age, and so is any list
        shortly after it was read for that reason.
        """
        if self.source is None or not self.source.can_refresh:
            return False
        now_seconds = self._read_clock()
        if now_seconds - self._refreshed_at_seconds < REFRESH_INTERVAL_SECONDS:
            return False
        return not (self._has_refresh_failed or self._is_recent())

    async def wait_recent(self) -> None:
        """Return when requests may be sent by the list."""
        while self.must_refresh():
            refreshed = self._refreshed
            self._refresh_requested.set()
            await refreshed.wait()

    async def wait_confirmed(self, at_seconds: float) -> None:
        """Return once the list was the newest at a time, or after a short time."""
        if self.source is None or not self.source.can_refresh:
            return
        with anyio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
            while self._confirmed_at_seconds < at_seconds:
                attempted = self._attempted
                self._confirmation_requested.set()
                await attempted.wait()

    async def run(self) -> None:
        """Follow the source until cancelled."""
        if self.source is not None:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._refresh_on_request, self.source)
                tasks.start_soon(self._confirm_on_request, self.source)
                await self.source.run(self)

    async def _refresh_on_request(self, source: HostSource) -> None:
        while True:
            await self._refresh_requested.wait()
            error = "timeout"
            with anyio.move_on_after(REFRESH_TIMEOUT_SECONDS):
                try:
                    await source.refresh()
                    error = ""
                except (PlatformError, DataError) as problem:
                    error = str(problem)
            self._refreshed_at_seconds = self._read_clock()
            age_seconds = self.age_seconds(self._refreshed_at_seconds)
            log.info(
                "host list refreshed", age_ms=milliseconds(age_seconds), error=error
            )
            self._has_refresh_failed = not self._is_recent()
            self._refresh_requested = anyio.Event()
            self._refreshed.set()
            self._refreshed = anyio.Event()

    async def _confirm_on_request(self, source: HostSource) -> None:
        while True:
            await self._confirmation_requested.wait()
            self._confirmation_requested = anyio.Event()
            error = "timeout"
            with anyio.move_on_after(CONFIRM_TIMEOUT_SECONDS):
                try:
                    await source.refresh()
                    error = ""
                except (PlatformError, DataError) as problem:
                    error = str(problem)
            if error:
                log.problem("host list not confirmed", error=error)
                self._note_attempted()
            await anyio.sleep(CONFIRM_INTERVAL_SECONDS)

    def _note_attempted(self) -> None:
        self._attempted.set()
        self._attempted = anyio.Event()

    def _is_recent(self) -> bool:
        return self.age_seconds(self._read_clock()) <= MAX_AGE_SECONDS

    def note_transient(self, entries: list[HostEntry]) -> None:
        """Record entries that came after the list before and have gone again."""
        self._scheduler.note_transient(entries)

    def note_problem(self, problem: str) -> None:
        """Record why the list cannot be read; an empty text means that it can."""
        if problem and not self.problem:
            log.problem("host list unavailable", error=problem)
        if self.problem and not problem:
            log.info("host list available again")
        self.problem = problem

    def offer(self, host_list: HostList) -> None:
        """Accept a list if it is newer than the current one.

        A host that was cut off may retain entries whose removal other hosts have read:
        they are dropped from either list by what the other one shows.
        """
        if host_list.version > self.version:
            accepted = drop_removed(host_list, self.host_list)
            self._apply(accepted, is_partial=accepted is not host_list)
            return
        remaining = drop_removed(self.host_list, host_list)
        if remaining is not self.host_list:
            log.info(
                "retained entries removed by another host's list",
                version=self.version,
                other_version=host_list.version,
            )
            self._apply(remaining, is_partial=True)

    def retains_entries(self) -> bool:
        """Return whether the list has entries that the store lacks since an outage."""
        return bool(self._retained)

    def must_compare(self, version: int) -> bool:
        """Return whether a list of a version may show that retained ones were removed.

        Such a list need not be newer than the current one.
        """
        return any(is_newer_than_entry(version, entry) for entry in self._retained)

    def _apply(self, host_list: HostList, is_partial: bool) -> None:
        self._log_changes(host_list)
        self.version = host_list.version
        self.host_list = host_list
        self.is_partial = is_partial
        self._retained = [item for item in host_list.hosts if item.last_listed_version]
        self._scheduler.post(HostListRead(host_list))

    def _log_changes(self, host_list: HostList) -> None:
        before = {entry.name: entry.state for entry in self.host_list.hosts}
        after = {entry.name: entry.state for entry in host_list.hosts}
        log.info(
            "host list read",
            version=host_list.version,
            added=sorted(after.keys() - before.keys()),
            removed=sorted(before.keys() - after.keys()),
            leaving=sorted(name for name, state in after.items() if state != "live"),
            retained=sorted(
                entry.name for entry in host_list.hosts if entry.last_listed_version
            ),
        )
