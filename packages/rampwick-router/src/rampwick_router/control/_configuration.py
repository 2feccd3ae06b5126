"""The task that keeps the configuration in force up to date, and knows its age."""

import math
from collections.abc import Callable
from typing import Protocol

import anyio

from rampwick_policy import ConfigurationFollower, TreeInForce

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask

#: Longest wait for a peer's confirmation before the platform itself is asked.
PEER_ANSWER_SECONDS = 0.1

log = ComponentLogger("configuration")


class ConfigurationSource(Protocol):
    """Where the configuration comes from."""

    async def run(self, task: "ConfigurationTask") -> None:
        """Follow the source until cancelled; hand what is read to the task."""

    async def refresh(self) -> None:
        """Look at the source now, or raise a PlatformError."""


class ConfigurationTask:
    """Keeps the follower up to date and tells others of each new revision."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        scheduler: SchedulerTask,
        read_clock: Callable[[], float],
    ) -> None:
        self.follower = follower
        self.source: ConfigurationSource | None = None
        #: Asks a peer that reads the platform; returns whether there is one.
        self.ask_peer: Callable[[], bool] = lambda: False
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._confirmed_at_seconds = -math.inf
        #: Why the platform can't be read at present, or nothing.
        self.problem = ""
        #: Set whenever another revision is in force, then replaced.
        self.changed = anyio.Event()

    def age_seconds(self, now_seconds: float) -> float:
        """Return the time since the configuration was surely the newest."""
        return now_seconds - self._confirmed_at_seconds

    def confirm(self, at_seconds: float) -> None:
        """Note a steady time at which the configuration in force was the newest."""
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, at_seconds)

    def announce(self) -> None:
        """Tell the scheduler and whoever waits that the tree is another."""
        log.info(
            "revision in force",
            revision=self.follower.revision,
            store_era=self.follower.version.store_era,
            source=self.follower.source,
            age_seconds=round(self.age_seconds(self._read_clock()), 3),
        )
        self._scheduler.post(TreeInForce(self.follower.view))
        self.changed.set()
        self.changed = anyio.Event()

    def note_problem(self, problem: str) -> None:
        """Note why the platform can't be read, or by an empty text that it can."""
        if problem and not self.problem:
            log.problem("platform can't be read", error=problem)
        if self.problem and not problem:
            log.info("platform can be read again")
        self.problem = problem

    async def run(self) -> None:
        """Follow the source until cancelled."""
        if self.source is not None:
            await self.source.run(self)

    async def refresh(self) -> None:
        """Have the configuration confirmed now; a problem is noted, not raised.

        A peer that reads the platform is asked first, where this host is none.
        """
        confirmed_at_seconds = self._confirmed_at_seconds
        if self.ask_peer():
            with anyio.move_on_after(PEER_ANSWER_SECONDS):
                while self._confirmed_at_seconds == confirmed_at_seconds:
                    await anyio.sleep(PEER_ANSWER_SECONDS / 20)
                return
        if self.source is not None:
            await self.source.refresh()
