"""Hosts as processes, with a store and scripted servers in the process of the test."""

import os
import random
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import ExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import TypeVar

import anyio
import attrs
import httpx
import orjson
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config
from soak._fleet import _reserve_block

from .raw_store import RawRecord, RawStore, make_spec
from .scripted import Exchange, ScriptedUpstream

START_TIMEOUT_SECONDS = 30.0

CALLED_HOST = "labels.example"

#: Path that a plain server answers at once, by which hosts are seen to serve.
CHECKED_PATH = "/a/x"

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 65536,
    "header_timeout_ms": 4000,
    "idle_timeout_ms": 60000,
}


class PlainServer(ScriptedUpstream):
    """A server of one service, which answers health checks and requests at once."""

    service = "plain"

    def __init__(self, name: str) -> None:
        super().__init__(name)
        self.scripts = [self.reply]

    async def reply(self, exchange: Exchange) -> None:
        """Answer a request or a health check."""
        headers = self.signed_headers(exchange) + "content-length: 2\r\n"
        await exchange.send(f"HTTP/1.1 200 OK\r\n{headers}\r\nok".encode())

    def signed_headers(self, exchange: Exchange) -> str:
        """Return the headers that every response of a server has."""
        headers = f"x-rampwick-instance-id: {self.name}\r\n"
        request_id = self.request_id(exchange)
        if request_id is not None:
            headers += f"x-rampwick-request-id: {request_id}\r\n"
            headers += "x-rampwick-response-signature: 1\r\n"
        return headers

    def request_id(self, exchange: Exchange) -> str | None:
        """Return the id of a request; None for a health check."""
        return exchange.headers.get("x-rampwick-request-id")

    def record(self, state: str = "ready") -> RawRecord:
        """Return the server's entry."""
        fields = {
            "service": self.service,
            "address": self.address,
            "state": state,
        }
        raw = {name: orjson.dumps(value) for name, value in fields.items()}
        return RawRecord(orjson.dumps(self.name), make_spec(**raw))


@attrs.define
class HostProcess:
    """A host as a process."""

    name: str
    #: Address for callers.
    address: str
    process: subprocess.Popen
    log_path: Path

    def signal(self, number: int) -> float:
        """Send a signal; return when, by the monotonic clock."""
        self.process.send_signal(number)
        return time.monotonic()

    @property
    def has_ended(self) -> bool:
        """Whether the process is gone."""
        return self.process.poll() is not None


class HostFleet:
    """Hosts as processes, with a store and servers in this one."""

    #: Sections of the hosts' settings beside those of addresses and peers.
    settings = (
        "[retry]\nprobe_interval_seconds = 0.0\n[life]\nbalancer_delay_seconds = 0.5\n"
    )

    def __init__(
        self,
        manifest: object,
        store_tasks: TaskGroup,
        tasks: TaskGroup,
        stack: ExitStack,
    ) -> None:
        self.store = RawStore()
        self.hosts: list[HostProcess] = []
        self.over = anyio.Event()
        self._manifest = manifest
        self._store_tasks = store_tasks
        self._tasks = tasks
        self._stack = stack
        self._ports = iter(_reserve_block(random.Random(time.time_ns()), stack))
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._store_address = f"127.0.0.1:{next(self._ports)}"
        self._seeds: list[str] = []

    async def start_all(self, servers: list[PlainServer], hosts_count: int) -> None:
        """Start the store, the servers and the hosts; return when the hosts serve."""
        config = Config()
        config.bind = [self._store_address]
        config.errorlog = None
        self._store_tasks.start_soon(
            partial(serve, self.store.app, config, shutdown_trigger=self.over.wait)
        )
        manifest = RawRecord(b'"main"', orjson.dumps(self._manifest))
        self.store.write(manifest, "config")
        for server in servers:
            await self.serve(server)
        self.hosts += [self.start_host(f"host-{n}") for n in range(hosts_count)]
        for host in self.hosts:
            await self.until_served(host.address)

    async def serve(self, server: PlainServer) -> None:
        """Start a server, which records itself."""
        await self._tasks.start(server.serve)
        self.store.write(server.record())

    def start_host(self, name: str) -> HostProcess:
        """Start a host."""
        entry, ready, peer, admin = (f"127.0.0.1:{next(self._ports)}" for _ in range(4))
        self._seeds.append(peer)
        seeds = ", ".join(f'"{seed}"' for seed in self._seeds[:2])
        path = self._folder / f"{name}.toml"
        path.write_text(
            f'[host]\nname = "{name}"\nhall = "a"\n'
            f'[listen]\nentry = "{entry}"\nready = "{ready}"\npeer = "{peer}"\n'
            f'admin = "{admin}"\n'
            f'[platform]\nurl = "http://{self._store_address}"\n'
            "call_timeout_seconds = 1.0\nconfirm_wait_seconds = 1.5\n"
            f'[peers]\nsecret = "odd"\nseeds = [{seeds}]\n'
            f"{self.settings}"
        )
        log_path = self._folder / f"{name}.log"
        log = self._stack.enter_context(log_path.open("wb"))
        process = subprocess.Popen(
            [sys.executable, "-m", "rampwick_adapter"],
            env={**os.environ, "RAMPWICK_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return HostProcess(name, entry, process, log_path)

    async def until_served(self, address: str) -> None:
        """Wait until a host serves."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while await self.call(address) != 200:
                await anyio.sleep(0.1)

    async def call(self, address: str) -> int:
        """Send one request on a connection of its own; return the status."""
        headers = {
            "host": CALLED_HOST,
            "x-rampwick-request-id": os.urandom(8).hex(),
            "x-rampwick-request-timeout-ms": "4000",
        }
        try:
            async with httpx.AsyncClient(trust_env=False, verify=False) as client:
                url = f"http://{address}{CHECKED_PATH}"
                answer = await client.get(url, headers=headers, timeout=5.0)
                return answer.status_code
        except httpx.HTTPError:
            return 0


Fleet = TypeVar("Fleet", bound=HostFleet)


@asynccontextmanager
async def run_fleet(
    make_fleet: type[Fleet], manifest: object
) -> AsyncIterator[tuple[Fleet, TaskGroup]]:
    """Run a fleet with its tasks; end its processes, servers and store at the exit."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as store_tasks:
            async with anyio.create_task_group() as tasks:
                fleet = make_fleet(manifest, store_tasks, tasks, stack)
                yield fleet, tasks
                tasks.cancel_scope.cancel()
            fleet.over.set()
