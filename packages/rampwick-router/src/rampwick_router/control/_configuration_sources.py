"""Where the configuration is read: rampwick's own log of changes, or one object."""

import math
import random
from collections.abc import Callable
from typing import Protocol

import anyio

from rampwick_platform import (
    HistoryGoneError,
    KindState,
    KindWatcher,
    ObjectApi,
    PlatformError,
    TreeStore,
    decode_changes,
)
from rampwick_policy import (
    ConfigurationFollower,
    Neighbours,
    ReadTree,
    RestoredTrees,
    is_watcher,
)
from rampwick_schema import DataError, RampwickError, Settings, Tree, era_of

from .._logs import ComponentLogger
from ._configuration import ConfigurationTask

#: Wait after a failed call, and before a host without a watch looks by itself.
FAILURE_PAUSE_SECONDS = 0.5
LOOK_INTERVAL_SECONDS = 15.0

#: How often a host without a watch sees whether it shall keep one now.
ROLE_INTERVAL_SECONDS = 0.5

#: Least time between two looks that requests ask for; it doubles with each that fails
#: up to the longest, or a large fleet would call a store that is away without pause.
#: The readers' watches notice its return, and peers tell of it.
REFRESH_INTERVAL_SECONDS = 0.2
MAX_REFRESH_INTERVAL_SECONDS = 1.6

log = ComponentLogger("configuration")


class TreeStoreSource:
    """The log of changes that operators write with rampwick's own command line."""

    def __init__(
        self,
        store: TreeStore,
        settings: Settings,
        list_neighbours: Callable[[], Neighbours],
        read_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._settings = settings
        self._list_neighbours = list_neighbours
        self._read_clock = read_clock
        self._store_version = 0
        self._restored = RestoredTrees()
        #: Whether the log shows an older tree that is not taken yet.
        self._is_held = False

    async def run(self, task: ConfigurationTask) -> None:
        """Follow the log until cancelled."""
        looked_at_seconds = -LOOK_INTERVAL_SECONDS
        while True:
            now_seconds = self._read_clock()
            is_due = now_seconds - looked_at_seconds >= LOOK_INTERVAL_SECONDS
            try:
                if is_due or task.follower.has_gap:
                    await self._load(task)
                    looked_at_seconds = now_seconds
                elif self._is_held and self._is_watcher():
                    await anyio.sleep(ROLE_INTERVAL_SECONDS)
                    await self._load(task)
                elif self._is_watcher():
                    await self._watch(task)
                else:
                    await anyio.sleep(ROLE_INTERVAL_SECONDS)
            except HistoryGoneError as error:
                task.note_problem(str(error))
                looked_at_seconds = -math.inf
                await anyio.sleep(FAILURE_PAUSE_SECONDS)
            except (PlatformError, DataError) as error:
                task.note_problem(str(error))
                await anyio.sleep(FAILURE_PAUSE_SECONDS)

    async def refresh(self) -> None:
        """Do nothing: an old tree only refuses what a newer one may allow."""

    def _is_watcher(self) -> bool:
        return is_watcher(self._settings.host.name, self._list_neighbours().heard)

    async def _load(self, task: ConfigurationTask) -> None:
        began_seconds = self._read_clock()
        follower = task.follower
        base = follower.view.tree if follower.revision else None
        stored = await self._store.load(base)
        if self._is_of_another_era(stored.store_version, follower):
            # Its log may go on from an older revision than the one in force.
            stored = await self._store.load()
        self._store_version = stored.store_version
        task.note_problem("")
        read = ReadTree(stored.tree, stored.store_version, stored.store_version)
        now_seconds = self._read_clock()
        offer = self._restored.place(read, follower.head, now_seconds)
        was_held, self._is_held = self._is_held, offer.due_at_seconds > now_seconds
        if self._is_held:
            if not was_held:
                _log_held(stored.tree, follower, offer.due_at_seconds - now_seconds)
            return
        if was_held:
            _log_restored(stored.tree)
        is_new = follower.offer_tree(offer.tree, "platform")
        task.confirm(began_seconds)
        if is_new:
            task.announce()

    def _is_of_another_era(
        self, store_version: int, follower: ConfigurationFollower
    ) -> bool:
        known_era = follower.version.store_era
        return bool(follower.revision) and known_era != era_of(store_version)

    async def _watch(self, task: ConfigurationTask) -> None:
        listing = await self._store.watch(
            self._store_version, self._settings.platform.watch_timeout_seconds
        )
        task.note_problem("")
        changes = decode_changes(listing)
        if changes and self._is_of_another_era(listing.version, task.follower):
            await self._load(task)
            return
        if task.follower.offer_changes(changes, "platform", era_of(listing.version)):
            task.announce()
        if listing.version < self._store_version:
            # An older state of the store answered; it shows nothing new.
            await anyio.sleep(FAILURE_PAUSE_SECONDS)
        versions = [stored.version for stored in listing.objects]
        self._store_version = max([self._store_version, *versions])


class ReadsConfiguration(Protocol):
    """How a deployment's configuration is read from the store."""

    @property
    def configuration_prefix(self) -> str:
        """Prefix under which it lies."""

    def read_tree(self, state: KindState) -> Tree | None:
        """Return the tree, none if there is none, or raise a RampwickError."""


class WatchedTreeSource:
    """A configuration that others write, whole, into the store."""

    def __init__(
        self,
        api: ObjectApi,
        reader: ReadsConfiguration,
        settings: Settings,
        is_wanted: Callable[[], bool],
        read_clock: Callable[[], float],
        draw: random.Random,
    ) -> None:
        self._reader = reader
        self._read_clock = read_clock
        self._task: ConfigurationTask
        self._refreshed_at_seconds = -REFRESH_INTERVAL_SECONDS
        self._refreshing: anyio.Event | None = None
        self._refresh_interval_seconds = REFRESH_INTERVAL_SECONDS
        self._refused_version = 0
        self._restored = RestoredTrees()
        self._last_state: KindState | None = None
        #: When a tree that is held back may be taken.
        self._due_at_seconds = math.inf
        self._has_due = anyio.Event()
        self._watcher = KindWatcher(
            api,
            reader.configuration_prefix,
            wait_seconds=settings.platform.confirm_wait_seconds,
            is_wanted=is_wanted,
            take_state=self._take,
            take_problem=self._note_problem,
            read_clock=read_clock,
            draw=draw,
        )

    async def run(self, task: ConfigurationTask) -> None:
        """Watch until cancelled."""
        self._task = task
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._take_held)
            await self._watcher.run()

    async def _take_held(self) -> None:
        """Take trees that are held back as soon as they may be."""
        while True:
            self._has_due = anyio.Event()
            wait_seconds = max(0.0, self._due_at_seconds - self._read_clock())
            with anyio.move_on_after(wait_seconds) as scope:
                await self._has_due.wait()
            if scope.cancelled_caught and self._last_state is not None:
                self._take(self._last_state)

    async def refresh(self) -> None:
        """Read the configuration now, unless that was done a moment ago.

        Who asks while it is being read waits for that. A herd's return asks a dozen
        times at once at each host: all but the first were told at once that nothing
        was confirmed, 1,001 of the first requests that 90 hosts took (logs).
        """
        while self._refreshing is not None:
            await self._refreshing.wait()
        since_seconds = self._read_clock() - self._refreshed_at_seconds
        if since_seconds < self._refresh_interval_seconds:
            return
        self._refreshing = anyio.Event()
        try:
            await self._watcher.refresh()
            self._refreshed_at_seconds = self._read_clock()
        except PlatformError as error:
            self._refreshed_at_seconds = self._read_clock()
            self._refresh_interval_seconds = min(
                MAX_REFRESH_INTERVAL_SECONDS, 2.0 * self._refresh_interval_seconds
            )
            self._note_problem(str(error))
        finally:
            # Left unnoted by one whose caller went away: the next one reads.
            self._refreshing.set()
            self._refreshing = None

    def _note_problem(self, problem: str) -> None:
        self._task.note_problem(problem)

    @property
    def _is_held(self) -> bool:
        """Whether what the store shows is not taken yet."""
        return math.isfinite(self._due_at_seconds)

    def _take(self, state: KindState) -> None:
        self._task.note_problem("")
        self._refresh_interval_seconds = REFRESH_INTERVAL_SECONDS
        self._last_state = state
        follower = self._task.follower
        is_new = is_shown = False
        if state.version != self._refused_version:
            try:
                tree = self._reader.read_tree(state)
                if tree is not None:
                    is_new = self._offer(tree, state)
                    is_same = tree.revision == follower.revision
                    is_shown = is_same and not self._is_held
            except RampwickError as error:
                # Refused whole; the one before stays in force.
                self._refused_version = state.version
                self._due_at_seconds = math.inf
                log.problem("configuration refused", error=str(error))
        # A newer revision that could not be put in force may have taken a key away, and
        # so may one that the store lost as it was restored.
        if follower.revision and is_shown and follower.is_newest_in_force:
            self._task.confirm(state.confirmed_at_seconds)
        if is_new:
            self._task.announce()

    def _offer(self, tree: Tree, state: KindState) -> bool:
        """Offer what the store shows; return whether it is now in force."""
        now_seconds = self._read_clock()
        follower = self._task.follower
        read = ReadTree(tree, state.version, state.store_version)
        offer = self._restored.place(read, follower.head, now_seconds)
        if offer.due_at_seconds <= now_seconds:
            if self._is_held:
                _log_restored(tree)
            self._due_at_seconds = math.inf
            return follower.offer_tree(offer.tree, "platform")
        if offer.due_at_seconds != self._due_at_seconds:
            self._due_at_seconds = offer.due_at_seconds
            self._has_due.set()
            _log_held(tree, follower, offer.due_at_seconds - now_seconds)
        return False


def _log_restored(tree: Tree) -> None:
    log.info("revision of the restored store taken", revision=tree.revision)


def _log_held(tree: Tree, follower: ConfigurationFollower, held_seconds: float) -> None:
    log.problem(
        "older revision of a restored store held back",
        revision=tree.revision,
        in_force=follower.revision,
        held_seconds=round(held_seconds, 3),
    )
