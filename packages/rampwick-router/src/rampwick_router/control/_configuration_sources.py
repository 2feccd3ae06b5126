"""Sources of the configuration: rampwick's own change log, or a single object."""

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
    LivePeers,
    ReadTree,
    RestoredTrees,
    is_watcher,
)
from rampwick_schema import DataError, RampwickError, Settings, Tree, era_of

from .._logs import ComponentLogger
from .._unexpected_errors import contain_errors, note_unexpected_error
from ._configuration import ConfigurationTask

#: Wait after a failed call, and time between two reads by a host that does not watch.
FAILURE_PAUSE_SECONDS = 0.5
RELOAD_INTERVAL_SECONDS = 15.0

#: Time between two checks of whether a host without a watch must start one.
ROLE_INTERVAL_SECONDS = 0.5

#: Minimum time between two reads triggered by requests. It doubles with each failed
#: read up to the maximum; otherwise a large fleet would call an unavailable store
#: continuously. The watches of the readers detect when the store returns, and peers
#: forward it.
REFRESH_INTERVAL_SECONDS = 0.2
MAX_REFRESH_INTERVAL_SECONDS = 1.6

log = ComponentLogger("configuration")


class TreeStoreSource:
    """The change log that operators write with rampwick's command line."""

    def __init__(
        self,
        store: TreeStore,
        settings: Settings,
        list_peers: Callable[[], LivePeers],
        read_clock: Callable[[], float],
    ) -> None:
        self._store = store
        self._settings = settings
        self._list_peers = list_peers
        self._read_clock = read_clock
        self._store_version = 0
        self._restored = RestoredTrees()
        #: Whether an older tree from the log is held back.
        self._is_held = False

    async def run(self, task: ConfigurationTask) -> None:
        """Follow the log until cancelled."""
        loaded_at_seconds = -RELOAD_INTERVAL_SECONDS
        while True:
            now_seconds = self._read_clock()
            is_due = now_seconds - loaded_at_seconds >= RELOAD_INTERVAL_SECONDS
            try:
                if is_due or task.follower.has_gap:
                    await self._load(task)
                    loaded_at_seconds = now_seconds
                elif self._is_held and self._is_watcher():
                    await anyio.sleep(ROLE_INTERVAL_SECONDS)
                    await self._load(task)
                elif self._is_watcher():
                    await self._watch(task)
                else:
                    await anyio.sleep(ROLE_INTERVAL_SECONDS)
            except HistoryGoneError as error:
                task.note_problem(str(error))
                loaded_at_seconds = -math.inf
                await anyio.sleep(FAILURE_PAUSE_SECONDS)
            except (PlatformError, DataError) as error:
                task.note_problem(str(error))
                await anyio.sleep(FAILURE_PAUSE_SECONDS)

    async def refresh(self) -> None:
        """Do nothing: an outdated tree can only refuse what a newer one may allow."""

    def _is_watcher(self) -> bool:
        return is_watcher(self._settings.host.name, self._list_peers().alive)

    async def _load(self, task: ConfigurationTask) -> None:
        started_seconds = self._read_clock()
        follower = task.follower
        base = follower.view.tree if follower.revision else None
        stored = await self._store.load(base)
        if self._is_from_other_era(stored.store_version, follower):
            # The log of the restored store may continue from a revision older than the
            # one in force.
            stored = await self._store.load()
        self._store_version = stored.store_version
        task.note_problem("")
        read = ReadTree(stored.tree, stored.store_version, stored.store_version)
        now_seconds = self._read_clock()
        offer = self._restored.make_offer(read, follower.head, now_seconds)
        was_held, self._is_held = self._is_held, offer.applies_at_seconds > now_seconds
        if self._is_held:
            if not was_held:
                _log_held(stored.tree, follower, offer.applies_at_seconds - now_seconds)
            return
        if was_held:
            _log_restored(stored.tree)
        is_new = follower.offer_tree(offer.tree, "platform")
        task.confirm(started_seconds)
        if is_new:
            task.announce()

    def _is_from_other_era(
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
        if changes and self._is_from_other_era(listing.version, task.follower):
            await self._load(task)
            return
        if task.follower.offer_changes(changes, "platform", era_of(listing.version)):
            task.announce()
        if listing.version < self._store_version:
            # The response came from an older state of the store and contains nothing
            # new.
            await anyio.sleep(FAILURE_PAUSE_SECONDS)
        versions = [stored.version for stored in listing.objects]
        self._store_version = max([self._store_version, *versions])


class ConfigurationDecoder(Protocol):
    """Decodes a deployment's configuration from stored objects."""

    @property
    def configuration_prefix(self) -> str:
        """Key prefix of the configuration."""

    def read_tree(
        self, state: KindState, on_problem: Callable[[str], None]
    ) -> Tree | None:
        """Return the tree if there is one, or raise a RampwickError.

        ``on_problem`` receives a text for each part that is not in force as written.
        """


class WatchedTreeSource:
    """A configuration that another system writes to the store as a whole."""

    def __init__(
        self,
        api: ObjectApi,
        decoder: ConfigurationDecoder,
        settings: Settings,
        must_read: Callable[[], bool],
        read_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._decoder = decoder
        self._read_clock = read_clock
        self._task: ConfigurationTask
        self._refreshed_at_seconds = -REFRESH_INTERVAL_SECONDS
        self._refresh_requested = anyio.Event()
        #: Set at the end of each requested reading, then replaced by a new event.
        self._refreshed = anyio.Event()
        self._refresh_interval_seconds = REFRESH_INTERVAL_SECONDS
        self._refused_version = 0
        self._restored = RestoredTrees()
        self._last_state: KindState | None = None
        #: Time at which a held back tree may be applied.
        self._held_until_seconds = math.inf
        self._hold_changed = anyio.Event()
        self._watcher = KindWatcher(
            api,
            decoder.configuration_prefix,
            wait_seconds=settings.platform.confirm_wait_seconds,
            must_read=must_read,
            on_state=self._apply_state,
            on_problem=self._note_problem,
            read_clock=read_clock,
            rng=rng,
        )

    async def run(self, task: ConfigurationTask) -> None:
        """Watch until cancelled."""
        self._task = task
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._apply_held)
            tasks.start_soon(self._refresh_on_request)
            await self._watcher.run()

    async def _apply_held(self) -> None:
        """Apply trees that are held back as soon as this is allowed."""
        while True:
            self._hold_changed = anyio.Event()
            wait_seconds = max(0.0, self._held_until_seconds - self._read_clock())
            with anyio.move_on_after(wait_seconds) as scope:
                await self._hold_changed.wait()
            if scope.cancelled_caught and self._last_state is not None:
                self._apply_state(self._last_state)

    async def refresh(self) -> None:
        """Read the configuration now, unless it was read very recently.

        Concurrent callers wait for one reading, which goes on if they leave. Otherwise
        each of them would begin a reading for whose end it does not wait.
        """
        if not self._refresh_requested.is_set():
            elapsed_seconds = self._read_clock() - self._refreshed_at_seconds
            if elapsed_seconds < self._refresh_interval_seconds:
                return
            self._refresh_requested.set()
        await self._refreshed.wait()

    async def _refresh_on_request(self) -> None:
        while True:
            await self._refresh_requested.wait()
            try:
                await self._read_once()
            finally:
                self._refreshed_at_seconds = self._read_clock()
                self._refresh_requested = anyio.Event()
                self._refreshed.set()
                self._refreshed = anyio.Event()

    async def _read_once(self) -> None:
        with contain_errors("configuration"):
            try:
                await self._watcher.refresh()
            except PlatformError as error:
                self._refresh_interval_seconds = min(
                    MAX_REFRESH_INTERVAL_SECONDS, 2.0 * self._refresh_interval_seconds
                )
                self._note_problem(str(error))

    def _note_problem(self, problem: str) -> None:
        self._task.note_problem(problem)

    @property
    def _is_held(self) -> bool:
        """Whether the state of the store is held back."""
        return math.isfinite(self._held_until_seconds)

    def _apply_state(self, state: KindState) -> None:
        try:
            self._read_state(state)
        except Exception as error:
            # The end of this task would end the host, with all requests on it.
            self._refused_version = state.version
            note_unexpected_error("configuration", error, version=state.version)

    def _read_state(self, state: KindState) -> None:
        self._task.note_problem("")
        self._refresh_interval_seconds = REFRESH_INTERVAL_SECONDS
        self._last_state = state
        follower = self._task.follower
        is_new = is_in_force = False
        if state.version != self._refused_version:
            try:
                problems: list[str] = []
                tree = self._decoder.read_tree(state, problems.append)
                if tree is not None:
                    self._task.note_part_problems(tree.revision, problems)
                    is_new = self._offer(tree, state)
                    is_same = tree.revision == follower.revision
                    is_in_force = is_same and not self._is_held
            except RampwickError as error:
                # Rejected as a whole; the previous configuration stays in force.
                self._refused_version = state.version
                self._held_until_seconds = math.inf
                log.problem("configuration rejected", error=str(error))
        # Do not confirm while a newer revision is known that is not in force: it may
        # have revoked a key. This includes a revision that the store lost when it was
        # restored.
        if follower.revision and is_in_force and follower.is_newest_in_force:
            self._task.confirm(state.confirmed_at_seconds)
        if is_new:
            self._task.announce()

    def _offer(self, tree: Tree, state: KindState) -> bool:
        """Offer the tree from the store; return whether it is now in force."""
        now_seconds = self._read_clock()
        follower = self._task.follower
        read = ReadTree(tree, state.version, state.store_version)
        offer = self._restored.make_offer(read, follower.head, now_seconds)
        if offer.applies_at_seconds <= now_seconds:
            if self._is_held:
                _log_restored(tree)
            self._held_until_seconds = math.inf
            return follower.offer_tree(offer.tree, "platform")
        if offer.applies_at_seconds != self._held_until_seconds:
            self._held_until_seconds = offer.applies_at_seconds
            self._hold_changed.set()
            _log_held(tree, follower, offer.applies_at_seconds - now_seconds)
        return False


def _log_restored(tree: Tree) -> None:
    log.info("revision of restored store applied", revision=tree.revision)


def _log_held(tree: Tree, follower: ConfigurationFollower, held_seconds: float) -> None:
    log.problem(
        "older revision of restored store held back",
        revision=tree.revision,
        in_force=follower.revision,
        held_seconds=round(held_seconds, 3),
    )
