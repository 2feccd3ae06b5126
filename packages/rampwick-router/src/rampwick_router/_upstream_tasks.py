"""Tasks around upstreams: the host list, probes, cancellations."""

import anyio

from rampwick_platform import ObjectApi, PlatformError
from rampwick_policy import HostListRead, LoadReported, ProbeFailed
from rampwick_schema import DataError, HostEntry, HostList

from ._errors import AttemptError
from ._logs import PartLogger
from ._scheduler_task import SchedulerTask
from ._upstream_client import UpstreamClient

#: Time between two looks at which upstreams are to be probed.
LOOK_INTERVAL_SECONDS = 0.25

log = PartLogger("upstreams")


class HostListTask:
    """Reads the platform's host list and passes on each newer one."""

    def __init__(
        self,
        api: ObjectApi | None,
        scheduler: SchedulerTask,
        interval_seconds: float,
    ) -> None:
        self._api = api
        self._scheduler = scheduler
        self._interval_seconds = interval_seconds
        #: The newest list, for peers' addresses.
        self.host_list = HostList(version=0, hosts=[])
        #: Version of that list; -1 before the first.
        self.version = -1
        #: Why the list can't be read at present, or nothing.
        self.problem = ""

    async def run(self) -> None:
        """Read the list again and again until cancelled."""
        if self._api is None:
            return
        while True:
            try:
                self.offer(await self._api.read_hosts())
                self.problem = ""
            except (PlatformError, DataError) as error:
                # The last list stays good: upstreams are probed anyway.
                self.problem = str(error)
            await anyio.sleep(self._interval_seconds)

    def offer(self, host_list: HostList) -> None:
        """Take a list if it is newer than the last."""
        if host_list.version <= self.version:
            return
        self.version = host_list.version
        self.host_list = host_list
        log.info("host list read", version=host_list.version)
        self._scheduler.post(HostListRead(host_list))


class ProbeTask:
    """Asks for their load those upstreams whose turn it is."""

    def __init__(self, client: UpstreamClient, scheduler: SchedulerTask) -> None:
        self._client = client
        self._scheduler = scheduler

    async def run(self) -> None:
        """Probe until cancelled."""
        async with anyio.create_task_group() as task_group:
            while True:
                due = await self._scheduler.ask(
                    lambda scheduler, now_seconds: scheduler.upstreams.due_probes(
                        now_seconds
                    )
                )
                for entry in due:
                    task_group.start_soon(self._probe, entry)
                await anyio.sleep(LOOK_INTERVAL_SECONDS)

    async def _probe(self, entry: HostEntry) -> None:
        try:
            report = await self._client.probe(entry.address, entry.name)
        except AttemptError as error:
            self._scheduler.post(ProbeFailed(entry.name, str(error)))
            return
        self._scheduler.post(LoadReported(entry.name, report))


class CancelTask:
    """Tells upstreams to stop attempts that nobody waits for."""

    def __init__(self, client: UpstreamClient, scheduler: SchedulerTask) -> None:
        self._client = client
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
            await self._client.cancel(address, upstream, attempt_id)
        except AttemptError as error:
            log.problem("attempt not cancelled", attempt=attempt_id, error=str(error))
