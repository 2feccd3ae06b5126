"""Periodic probes of upstreams, and cancellation of attempts."""

import anyio

from rampwick_platform import move_on_after_aligned
from rampwick_policy import LoadReported, ProbeFailed
from rampwick_schema import HostEntry

from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ._control import UpstreamControl

#: Maximum time between two checks for due probes; a newly suspected upstream triggers a
#: check immediately.
MAX_PROBE_WAIT_SECONDS = 1.0

log = ComponentLogger("upstreams")


class ProbeTask:
    """Probes the upstreams that are due for their load."""

    def __init__(self, control: UpstreamControl, scheduler: SchedulerTask) -> None:
        self._control = control
        self._scheduler = scheduler

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                due = self._scheduler.run_query(
                    lambda scheduler, now_seconds: scheduler.upstreams.due_probes(
                        now_seconds
                    )
                )
                for entry in due:
                    task_group.start_soon(self._probe, entry)
                probe_requested = self._scheduler.probe_requested
                pause_seconds = self._scheduler.run_query(
                    lambda scheduler, now_seconds: scheduler.upstreams.probe_delay(
                        now_seconds
                    )
                )
                with move_on_after_aligned(min(pause_seconds, MAX_PROBE_WAIT_SECONDS)):
                    await probe_requested.wait()

    async def _probe(self, entry: HostEntry) -> None:
        try:
            report = await self._control.probe(entry)
        except AttemptError as error:
            self._scheduler.post(ProbeFailed(entry.name, str(error)))
            return
        self._scheduler.post(LoadReported(entry.name, report))


class CancelTask:
    """Cancels attempts whose results are no longer needed."""

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
            log.problem(
                "attempt cancellation failed", attempt=attempt_id, error=str(error)
            )
