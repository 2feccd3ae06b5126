"""Tasks around upstreams: the host list, probes, cancellations."""

import math

import anyio

from rampwick_policy import HostListRead, LoadReported, ProbeFailed
from rampwick_schema import HostEntry, HostList

from ._errors import AttemptError
from ._host_sources import HostSource
from ._logs import PartLogger
from ._scheduler_task import SchedulerTask
from ._upstream_control import UpstreamControl

#: Time between two looks at which upstreams are to be probed; a new doubt comes first.
LOOK_INTERVAL_SECONDS = 1.0

log = PartLogger("upstreams")


class HostListTask:
    """Keeps the newest host list, whoever read it, and passes on each newer one."""

    def __init__(self, scheduler: SchedulerTask) -> None:
        self.source: HostSource | None = None
        self._scheduler = scheduler
        #: The newest list, for peers' addresses.
        self.host_list = HostList(version=0, hosts=[])
        #: Version of that list; -1 before the first.
        self.version = -1
        self._confirmed_at_seconds = -math.inf
        #: Why the list can't be read at present, or nothing.
        self.problem = ""

    def age_seconds(self, now_seconds: float) -> float:
        """Return the time since the list was surely the newest."""
        return now_seconds - self._confirmed_at_seconds

    def confirm(self, at_seconds: float) -> None:
        """Note a steady time at which the list was the newest."""
        self._confirmed_at_seconds = max(self._confirmed_at_seconds, at_seconds)

    async def run(self) -> None:
        """Follow the source until cancelled."""
        if self.source is not None:
            await self.source.run(self)

    def note_problem(self, problem: str) -> None:
        """Note why the list can't be read, or by an empty text that it can."""
        if problem and not self.problem:
            log.problem("host list can't be read", error=problem)
        if self.problem and not problem:
            log.info("host list can be read again")
        self.problem = problem

    def offer(self, host_list: HostList) -> None:
        """Take a list if it is newer than the last."""
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


class ProbeTask:
    """Asks for their load those upstreams whose turn it is."""

    def __init__(self, control: UpstreamControl, scheduler: SchedulerTask) -> None:
        self._control = control
        self._scheduler = scheduler

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                due = self._scheduler.look(
                    lambda scheduler, now_seconds: scheduler.upstreams.due_probes(
                        now_seconds
                    )
                )
                for entry in due:
                    task_group.start_soon(self._probe, entry)
                has_doubt = self._scheduler.has_doubt
                pause_seconds = self._scheduler.look(
                    lambda scheduler, now_seconds: scheduler.upstreams.probe_pause(
                        now_seconds
                    )
                )
                with anyio.move_on_after(min(pause_seconds, LOOK_INTERVAL_SECONDS)):
                    await has_doubt.wait()

    async def _probe(self, entry: HostEntry) -> None:
        try:
            report = await self._control.probe(entry)
        except AttemptError as error:
            self._scheduler.post(ProbeFailed(entry.name, str(error)))
            return
        self._scheduler.post(LoadReported(entry.name, report))


class CancelTask:
    """Tells upstreams to stop attempts that nobody waits for."""

    def __init__(self, control: UpstreamControl, scheduler: SchedulerTask) -> None:
        self._control = control
        self._scheduler = scheduler

    async def run(self) -> None:
        """Send cancellations until cancelled."""
        async with anyio.create_task_group() as task_group:
            async for action in self._scheduler.cancels:
                task_group.start_soon(
                    self._cancel, action.address, action.upstream, action.attempt_id
                )

    async def _cancel(self, address: str, upstream: str, attempt_id: str) -> None:
        try:
            await self._control.cancel(address, upstream, attempt_id)
        except AttemptError as error:
            log.problem("attempt not cancelled", attempt=attempt_id, error=str(error))
