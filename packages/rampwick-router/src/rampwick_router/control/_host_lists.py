"""Maintenance of the newest host list and of its age."""

import math

from rampwick_policy import HostListRead
from rampwick_schema import HostList

from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ._host_sources import HostSource

log = ComponentLogger("upstreams")


class HostListTask:
    """Holds the newest host list from any source and publishes each newer one."""

    def __init__(self, scheduler: SchedulerTask) -> None:
        self.source: HostSource | None = None
        self._scheduler = scheduler
        #: The newest list; peers' addresses are taken from it.
        self.host_list = HostList(version=0, hosts=[])
        #: Version of that list; -1 before the first one.
        self.version = -1
        self._confirmed_at_seconds = -math.inf
        #: Why the list cannot be read at present; empty if it can.
        self.problem = ""

    def age_seconds(self, now_seconds: float) -> float:
        """Return the time since the list was last confirmed as the newest."""
        return now_seconds - self._confirmed_at_seconds

    def confirm(self, at_seconds: float) -> None:
        """Record a monotonic time at which the list was the newest."""
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, at_seconds)

    async def run(self) -> None:
        """Follow the source until cancelled."""
        if self.source is not None:
            await self.source.run(self)

    def note_problem(self, problem: str) -> None:
        """Record why the list cannot be read; an empty text means that it can."""
        if problem and not self.problem:
            log.problem("host list unavailable", error=problem)
        if self.problem and not problem:
            log.info("host list available again")
        self.problem = problem

    def offer(self, host_list: HostList) -> None:
        """Accept a list if it is newer than the current one."""
        if host_list.version <= self.version:
            return
        self._log_changes(host_list)
        self.version = host_list.version
        self.host_list = host_list
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
        )
