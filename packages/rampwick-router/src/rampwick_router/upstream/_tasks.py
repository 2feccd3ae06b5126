"""Periodic probes of upstreams, and cancellation of attempts."""

import anyio

from rampwick_platform import move_on_after_aligned
from rampwick_policy import LoadReported, ProbeFailed, Scheduler, UpstreamPath
from rampwick_schema import HostEntry, LoadReport

from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from .._unexpected_errors import contain_errors, note_unexpected_error
from ._control import UpstreamControl
from ._sockets import TunnelDialer

#: Maximum time between two checks for due probes; a newly suspected upstream triggers a
#: check immediately.
MAX_PROBE_WAIT_SECONDS = 1.0

#: Time without an answer over the own link after which an upstream is also probed
#: through a peer: several round trips, and short enough that both results are known
#: when the own link's connect timeout ends.
TUNNEL_DELAY_SECONDS = 0.1

log = ComponentLogger("upstreams")


class ProbeTask:
    """Probes the upstreams that are due for their load, and the links to them."""

    def __init__(
        self,
        control: UpstreamControl,
        scheduler: SchedulerTask,
        tunnels: TunnelDialer,
    ) -> None:
        self._control = control
        self._scheduler = scheduler
        self._tunnels = tunnels

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                for entry in self._scheduler.run_query(_due_probes):
                    task_group.start_soon(self._probe, entry)
                for entry in self._scheduler.run_query(_due_link_checks):
                    task_group.start_soon(self._check_link, entry)
                probe_requested = self._scheduler.probe_requested
                pause_seconds = self._scheduler.run_query(_probe_delay)
                with move_on_after_aligned(min(pause_seconds, MAX_PROBE_WAIT_SECONDS)):
                    await probe_requested.wait()

    async def _probe(self, entry: HostEntry) -> None:
        """Probe an upstream over the own link and, if that fails, through a peer."""
        may_reuse = self._scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.pool.may_probe_idle_link(
                entry.name
            )
        )
        may_be_silent = self._scheduler.run_query(
            lambda scheduler, now_seconds: not scheduler.pool.is_down(entry.name)
        )
        race = ProbeRace(self._control, entry, may_be_silent=may_be_silent)
        try:
            report, path = await race.run(self._tunnels, may_reuse=may_reuse)
            self._scheduler.post(LoadReported(entry.name, report, path, entry.address))
        except AttemptError as error:
            self._post_failed(entry, str(error), error.is_connected)
        except Exception as error:
            note_unexpected_error("probe", error, upstream=entry.name)
            self._post_failed(entry, repr(error))

    def _post_failed(
        self, entry: HostEntry, error: str, is_connected: bool = False
    ) -> None:
        with contain_errors("failed probe", upstream=entry.name):
            self._scheduler.post(
                ProbeFailed(entry.name, error, is_connected, entry.address)
            )

    async def _check_link(self, entry: HostEntry) -> None:
        """Return to the own link of an upstream if it works again."""
        with contain_errors("link check", upstream=entry.name):
            try:
                report = await self._control.probe(
                    entry, UpstreamPath.DIRECT, may_reuse=False
                )
            except AttemptError:
                # The upstream remains reachable through peers, and is checked again.
                return
            self._scheduler.post(
                LoadReported(entry.name, report, address=entry.address)
            )


class ProbeRace:
    """One probe of an upstream over the own link, and then also through a peer."""

    def __init__(
        self, control: UpstreamControl, entry: HostEntry, *, may_be_silent: bool
    ) -> None:
        self._may_be_silent = may_be_silent
        self._control = control
        self._entry = entry
        self._reports: dict[UpstreamPath, LoadReport | None] = {}
        self._error: AttemptError | None = None
        self._direct_ended = anyio.Event()

    async def run(
        self, tunnels: TunnelDialer, *, may_reuse: bool
    ) -> tuple[LoadReport | None, UpstreamPath]:
        """Return the report and its path; raise the own link's error if both fail.

        The own link wins if both answer.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._run_direct, may_reuse)
            with anyio.move_on_after(TUNNEL_DELAY_SECONDS):
                await self._direct_ended.wait()
            if UpstreamPath.DIRECT not in self._reports and tunnels.is_available:
                tasks.start_soon(self._run_tunnel)
            await self._direct_ended.wait()
            if self._is_link_sound:
                tasks.cancel_scope.cancel()
        if self._is_link_sound:
            self._reports.pop(UpstreamPath.TUNNEL, None)
        for path in UpstreamPath:
            if path in self._reports:
                return self._reports[path], path
        assert self._error is not None
        raise self._error

    @property
    def _is_link_sound(self) -> bool:
        """Whether the own link works, so that a peer's would make no difference.

        An upstream to which a connection opened is silent itself, unless that lasts:
        something on the way may accept connections in its place.
        """
        is_connected = self._error is not None and self._error.is_connected
        is_silent = is_connected and self._may_be_silent
        return is_silent or UpstreamPath.DIRECT in self._reports

    async def _run_direct(self, may_reuse: bool) -> None:
        path = UpstreamPath.DIRECT
        try:
            self._reports[path] = await self._control.probe(
                self._entry, path, may_reuse=may_reuse
            )
        except AttemptError as error:
            self._error = error
        finally:
            self._direct_ended.set()

    async def _run_tunnel(self) -> None:
        path = UpstreamPath.TUNNEL
        try:
            self._reports[path] = await self._control.probe(self._entry, path)
        except AttemptError as error:
            log.info(
                "upstream is unreachable through peers",
                upstream=self._entry.name,
                error=str(error),
            )


def _due_probes(scheduler: Scheduler, now_seconds: float) -> list[HostEntry]:
    return scheduler.upstreams.due_probes(now_seconds)


def _due_link_checks(scheduler: Scheduler, now_seconds: float) -> list[HostEntry]:
    return scheduler.pool.due_link_checks(now_seconds)


def _probe_delay(scheduler: Scheduler, now_seconds: float) -> float:
    return min(
        scheduler.upstreams.probe_delay(now_seconds),
        scheduler.pool.paths.check_delay(now_seconds),
    )


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
        with contain_errors("cancellation", upstream=upstream, attempt=attempt_id):
            try:
                await self._control.cancel(address, upstream, attempt_id)
            except AttemptError as error:
                log.problem(
                    "attempt cancellation failed", attempt=attempt_id, error=str(error)
                )
