"""The task that follows the tree on the platform."""

from collections.abc import Callable

import anyio

from rampwick_platform import PlatformError, TreeStore, decode_changes
from rampwick_policy import ConfigurationFollower, Scheduler, TreeInForce, is_watcher
from rampwick_schema import DataError, Settings

from ._logs import PartLogger
from ._scheduler_task import SchedulerTask

#: Wait after a failed call, and before a host without a watch looks by itself.
FAILURE_PAUSE_SECONDS = 0.5
LOOK_INTERVAL_SECONDS = 15.0

#: How often a host without a watch sees whether it shall keep one now.
ROLE_INTERVAL_SECONDS = 0.5

log = PartLogger("configuration")


class ConfigurationTask:
    """Keeps the follower up to date and tells others of each new revision."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        store: TreeStore | None,
        settings: Settings,
        scheduler: SchedulerTask,
        read_clock: Callable[[], float],
    ) -> None:
        self._follower = follower
        self._store = store
        self._settings = settings
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._store_version = 0
        #: Why the platform can't be read at present, or nothing.
        self.problem = ""
        #: Set whenever another revision is in force, then replaced.
        self.changed = anyio.Event()

    def announce(self) -> None:
        """Tell the scheduler and whoever waits that the tree is another."""
        log.info(
            "revision in force",
            revision=self._follower.revision,
            source=self._follower.source,
        )
        self._scheduler.post(TreeInForce(self._follower.view))
        self.changed.set()
        self.changed = anyio.Event()

    async def run(self) -> None:
        """Follow the platform until cancelled."""
        if self._store is None:
            return
        looked_at_seconds = -LOOK_INTERVAL_SECONDS
        while True:
            now_seconds = self._read_clock()
            is_due = now_seconds - looked_at_seconds >= LOOK_INTERVAL_SECONDS
            try:
                if is_due or self._follower.has_gap:
                    await self._load()
                    looked_at_seconds = now_seconds
                elif await self._is_watcher():
                    await self._watch()
                else:
                    await anyio.sleep(ROLE_INTERVAL_SECONDS)
            except (PlatformError, DataError) as error:
                self._note_problem(str(error))
                await anyio.sleep(FAILURE_PAUSE_SECONDS)

    async def _is_watcher(self) -> bool:
        host = self._settings.host

        def ask(scheduler: Scheduler, now_seconds: float) -> bool:
            peers = scheduler.peers.live(now_seconds)
            return is_watcher(host.name, host.hall, peers)

        return await self._scheduler.ask(ask)

    async def _load(self) -> None:
        assert self._store is not None
        base = self._follower.view.tree if self._follower.revision else None
        stored = await self._store.load(base)
        self._store_version = stored.store_version
        self._note_problem("")
        if self._follower.offer_tree(stored.tree, "platform"):
            self.announce()

    async def _watch(self) -> None:
        assert self._store is not None
        listing = await self._store.watch(
            self._store_version, self._settings.platform.watch_timeout_seconds
        )
        self._note_problem("")
        if self._follower.offer_changes(decode_changes(listing), "platform"):
            self.announce()
        if listing.version < self._store_version:
            # An older state of the store answered; what it shows is no news.
            await anyio.sleep(FAILURE_PAUSE_SECONDS)
        versions = [stored.version for stored in listing.objects]
        self._store_version = max([self._store_version, *versions])

    def _note_problem(self, problem: str) -> None:
        if problem and not self.problem:
            log.problem("platform can't be read", error=problem)
        if self.problem and not problem:
            log.info("platform can be read again")
        self.problem = problem
