"""Maintenance of the configuration in force and of its age."""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

import anyio

from rampwick_policy import ConfigurationFollower, TreeChanged

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask

#: Maximum number of problems of one revision that are logged.
MAX_LOGGED_PROBLEMS = 20

#: Maximum wait for a confirmation by a peer before the platform is queried.
PEER_CONFIRM_SECONDS = 0.1

log = ComponentLogger("configuration")


def _ignore() -> None:
    return


class ConfigurationSource(Protocol):
    """Source of the configuration."""

    async def run(self, task: "ConfigurationTask") -> None:
        """Follow the source until cancelled and pass what is read to the task."""

    async def refresh(self) -> None:
        """Read the source now, or raise a PlatformError."""


class ConfigurationTask:
    """Keeps the follower up to date and publishes each new revision."""

    def __init__(
        self,
        follower: ConfigurationFollower,
        scheduler: SchedulerTask,
        read_clock: Callable[[], float],
    ) -> None:
        self.follower = follower
        self.source: ConfigurationSource | None = None
        #: Queries a peer that reads the platform; returns whether there is one.
        self.query_peer: Callable[[], bool] = lambda: False
        #: Called when another revision comes into force.
        self.on_in_force: Callable[[], None] = _ignore
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._confirmed_at_seconds = -math.inf
        #: Why the platform cannot be read at present; empty if it can.
        self.problem = ""
        #: Parts of the newest revision read here that are not in force as written.
        self.part_problems: Sequence[str] = ()
        self._part_problems_revision = -1
        #: Set when another revision comes into force, then replaced.
        self.changed = anyio.Event()

    def age_seconds(self, now_seconds: float) -> float:
        """Return the time since the configuration was last confirmed as the newest."""
        return now_seconds - self._confirmed_at_seconds

    def confirm(self, at_seconds: float) -> None:
        """Record a monotonic time at which this configuration was the newest."""
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, at_seconds)

    def announce(self) -> None:
        """Notify the scheduler and waiting tasks of a new tree."""
        log.info(
            "revision in force",
            revision=self.follower.revision,
            store_era=self.follower.version.store_era,
            source=self.follower.source,
            age_seconds=round(self.age_seconds(self._read_clock()), 3),
        )
        self._scheduler.post(TreeChanged(self.follower.view))
        self.on_in_force()
        self.changed.set()
        self.changed = anyio.Event()

    def note_problem(self, problem: str) -> None:
        """Record why the platform cannot be read; an empty text means that it can."""
        if problem and not self.problem:
            log.problem("platform unavailable", error=problem)
        if self.problem and not problem:
            log.info("platform available again")
        self.problem = problem

    def note_part_problems(self, revision: int, problems: Sequence[str]) -> None:
        """Record and log the parts of a revision that are not in force as written."""
        if (revision, problems) == (self._part_problems_revision, self.part_problems):
            return
        self._part_problems_revision, self.part_problems = revision, problems
        for problem in problems[:MAX_LOGGED_PROBLEMS]:
            log.problem(
                "part of the configuration not in force as written",
                revision=revision,
                problem=problem,
                problems_count=len(problems),
            )

    async def run(self) -> None:
        """Follow the source until cancelled."""
        if self.source is not None:
            await self.source.run(self)

    async def refresh(self) -> None:
        """Confirm the configuration now; errors are recorded, not raised.

        If this host does not read the platform, a peer that does is queried first.
        """
        confirmed_at_seconds = self._confirmed_at_seconds
        if self.query_peer():
            with anyio.move_on_after(PEER_CONFIRM_SECONDS):
                while self._confirmed_at_seconds == confirmed_at_seconds:
                    await anyio.sleep(PEER_CONFIRM_SECONDS / 20)
                return
        if self.source is not None:
            await self.source.refresh()
