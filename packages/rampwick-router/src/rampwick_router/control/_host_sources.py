"""Sources of the host list."""

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
from rampwick_policy import ExpiredEntryGuard, can_expire_in
from rampwick_schema import DataError, HostEntry, HostList, RampwickError

from .._logs import ComponentLogger, milliseconds
from .._unexpected_errors import contain_errors, note_unexpected_error
from .._unread_records import UnreadRecords

#: Maximum wait of one watch on the upstreams. Its responses confirm the list to peers,
#: which read the platform themselves once their data is older than FALLBACK_SECONDS.
#: With the pause, the grace for the response and a backoff, a change is read within 2 s
#: although the connection of the watch is dead.
UPSTREAMS_WAIT_SECONDS = 1.0

#: Time between two watches on the upstreams. Entries change constantly during a
#: rollout, and an entry that is shutting down may be assigned work for some seconds
#: more.
WATCH_PAUSE_SECONDS = 0.3

log = ComponentLogger("upstreams")


class HostListConsumer(Protocol):
    """Receives the host list."""

    #: The newest known list from any source.
    host_list: HostList

    def offer(self, host_list: HostList) -> None:
        """Accept a list if it is newer than the current one, or compare it."""

    def note_transient(self, entries: list[HostEntry]) -> None:
        """Record entries that came after the list before and have gone again."""

    def confirm(self, at_seconds: float) -> None:
        """Record a monotonic time at which the list was the newest."""

    def note_problem(self, problem: str) -> None:
        """Record why the list cannot be read; an empty text means that it can."""


class HostSource(Protocol):
    """Source of the host list."""

    #: Entries that the last reading left out.
    unread: UnreadRecords

    async def run(self, task: HostListConsumer) -> None:
        """Pass on each list that is read, until cancelled."""

    #: Whether the lists that are read are confirmed, and can be read on request.
    can_refresh: bool

    async def refresh(self) -> None:
        """Read the list now, or raise a PlatformError or a DataError."""


class PolledHostSource:
    """Rampwick's own host list, read periodically."""

    can_refresh = False

    def __init__(self, api: ObjectApi, interval_seconds: float) -> None:
        self._api = api
        self._interval_seconds = interval_seconds
        self.unread = _make_unread()

    async def run(self, task: HostListConsumer) -> None:
        """Poll until cancelled."""
        while True:
            try:
                task.offer(await self._api.read_hosts())
                task.note_problem("")
                self.unread.update(getattr(self._api, "unread_hosts", {}))
            except (PlatformError, DataError) as error:
                # Keep the last list: upstreams are probed in any case.
                task.note_problem(str(error))
            await anyio.sleep(self._interval_seconds)

    async def refresh(self) -> None:
        """Do nothing: the next poll reads the list."""


class UpstreamDecoder(Protocol):
    """Decodes the store entries of upstreams that register themselves."""

    @property
    def upstreams_prefix(self) -> str:
        """Key prefix of their entries."""

    def read_upstream(self, stored: StoredObject) -> HostEntry:
        """Return an upstream's entry, or raise a DataError."""


class WatchedHostSource:
    """Upstreams that maintain an entry each in the store."""

    can_refresh = True

    def __init__(
        self,
        api: ObjectApi,
        decoder: UpstreamDecoder,
        must_read: Callable[[], bool],
        read_clock: Callable[[], float],
        rng: random.Random,
        renewal_seconds: float,
    ) -> None:
        self._decoder = decoder
        self._read_clock = read_clock
        self._guard = ExpiredEntryGuard()
        self._renewal_seconds = renewal_seconds
        #: Names of the upstreams that were retained at the last reading.
        self._retained: list[str] = []
        #: Names of the upstreams by the keys of their entries.
        self._names: dict[str, str] = {}
        self.unread = _make_unread()
        self._changed = anyio.Event()
        self._watcher = KindWatcher(
            api,
            decoder.upstreams_prefix,
            wait_seconds=UPSTREAMS_WAIT_SECONDS,
            pause_seconds=WATCH_PAUSE_SECONDS,
            must_read=must_read,
            on_state=self._apply_state,
            on_problem=self._note_problem,
            read_clock=read_clock,
            rng=rng,
        )
        self._task: HostListConsumer
        #: Version of the store up to which the lists passed on are complete; 0 before
        #: the first one.
        self.store_version = 0

    async def run(self, task: HostListConsumer) -> None:
        """Watch until cancelled."""
        self._task = task
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._expire_entries)
            await self._watcher.run()

    async def refresh(self) -> None:
        """Read all entries now."""
        await self._watcher.refresh()

    def _note_problem(self, problem: str) -> None:
        self._task.note_problem(problem)

    def _apply_state(self, state: KindState) -> None:
        with contain_errors("host list", version=state.version):
            self._read_state(state)

    def _read_state(self, state: KindState) -> None:
        self._task.note_problem("")
        entries = []
        names, unread = {}, {}
        for stored in state.objects.values():
            try:
                entry = self._decoder.read_upstream(stored)
                entries.append(entry)
                names[stored.key] = entry.name
            except RampwickError as error:
                unread[stored.key] = str(error)
            except Exception as error:
                note_unexpected_error("upstream entry", error, entry=stored.key)
        self.unread.update(unread)
        # An entry that can't be read any more keeps its upstream's name.
        kept = {key: self._names[key] for key in unread if key in self._names}
        self._names = names | kept
        self._guard.apply(
            entries,
            state.version,
            can_expire_in(state.outage_seconds, self._renewal_seconds),
            self._read_clock(),
            self._task.host_list,
            set(kept.values()),
        )
        self._log_retained(state.outage_seconds)
        self._offer_list()
        self._task.note_transient(self._read_transient(state))
        self.store_version = state.store_version
        self._task.confirm(state.confirmed_at_seconds)
        self._changed.set()

    def _log_retained(self, outage_seconds: float) -> None:
        retained = self._guard.retained_names
        if retained != self._retained:
            log.info(
                "missing entries retained after an outage",
                retained=retained,
                outage_ms=milliseconds(outage_seconds),
            )
            self._retained = retained

    def _read_transient(self, state: KindState) -> list[HostEntry]:
        """Return the changes that are not in the state, as far as they are readable."""
        entries = []
        for stored in state.changes:
            current = state.objects.get(stored.key)
            if current is not None and current.version == stored.version:
                continue
            try:
                entries.append(self._decoder.read_upstream(stored))
            except RampwickError:
                # No host sends requests by such an entry, and a removal may have none.
                continue
            except Exception as error:
                note_unexpected_error("upstream entry", error, entry=stored.key)
        return entries

    def _offer_list(self) -> None:
        self._task.offer(self._guard.host_list(self._read_clock()))

    async def _expire_entries(self) -> None:
        while True:
            self._changed = anyio.Event()
            end_seconds = self._guard.grace_end_seconds
            wait_seconds = math.inf
            if end_seconds is not None:
                wait_seconds = max(0.0, end_seconds - self._read_clock())
            with anyio.move_on_after(wait_seconds) as scope:
                await self._changed.wait()
            if scope.cancelled_caught:
                with contain_errors("host list"):
                    self._offer_list()


def _make_unread() -> UnreadRecords:
    return UnreadRecords(log, "invalid upstream entry", "entry")
