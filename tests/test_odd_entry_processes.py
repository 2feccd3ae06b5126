"""Hosts as processes follow servers that leave beside an odd entry in the store.

``RAMPWICK_ODD_HOSTS`` sets the number of hosts.
"""

import os
import random
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from functools import partial
from pathlib import Path

import anyio
import httpx
import orjson
from hypercorn.asyncio import serve
from hypercorn.config import Config
from soak._fleet import _reserve_block
from testtools import TestCase

from .raw_store import RawRecord, RawStore, make_spec
from .scripted import Exchange, ScriptedUpstream

HOSTS_COUNT = int(os.environ.get("RAMPWICK_ODD_HOSTS", "3"))
SERVERS_COUNT = int(os.environ.get("RAMPWICK_ODD_SERVERS", "4"))
CALLERS_COUNT = 12

#: Time between two servers that leave, and for which the last ones are watched.
LEAVING_INTERVAL_SECONDS = 0.5
WATCHED_SECONDS = 4.0
#: Time after which a server that said that it leaves gets no more requests.
LEAVING_BOUND_SECONDS = 2.0
START_TIMEOUT_SECONDS = 30.0

#: An entry that no decoder reads as a whole.
ODD = RawRecord(b'"odd"', make_spec(unknown=b'{"a":' * 3000 + b"1" + b"}" * 3000))

CALLED_HOST = "labels.example"
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": CALLED_HOST,
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "service": "plain",
            "max_attempts": 2,
            "public": True,
        }
    ],
    "services": [
        {"name": "plain", "health_path": "/health", "max_connections": 200},
    ],
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 65536,
        "header_timeout_ms": 4000,
        "idle_timeout_ms": 60000,
    },
}


class Server(ScriptedUpstream):
    """A plain server that notes when its requests came."""

    def __init__(self, name):
        super().__init__(name)
        self.scripts = [self.reply]
        self.left_at_seconds = float("inf")
        self.lateness_seconds = []

    async def reply(self, exchange: Exchange) -> None:
        """Answer a request or a health check."""
        headers = f"x-rampwick-instance-id: {self.name}\r\ncontent-length: 2\r\n"
        request_id = exchange.headers.get("x-rampwick-request-id")
        if request_id is not None:
            self.lateness_seconds.append(time.monotonic() - self.left_at_seconds)
            headers += f"x-rampwick-request-id: {request_id}\r\n"
            headers += "x-rampwick-response-signature: 1\r\n"
        await exchange.send(f"HTTP/1.1 200 OK\r\n{headers}\r\nok".encode())

    def record(self, state="ready"):
        """Return the server's entry."""
        spec = make_spec(address=orjson.dumps(self.address), state=orjson.dumps(state))
        return RawRecord(orjson.dumps(self.name), spec)


class Fleet:
    """Hosts as processes, with a store and servers in this one."""

    def __init__(self, store_tasks, tasks, stack):
        self.store = RawStore()
        self.servers = []
        self.statuses = []
        self.late_start_statuses = []
        self._store_tasks = store_tasks
        self._tasks = tasks
        self.over = anyio.Event()
        self._stack = stack
        self._ports = iter(_reserve_block(random.Random(time.time_ns()), stack))
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._store_address = f"127.0.0.1:{next(self._ports)}"
        self._seeds = []
        self.callers = []

    async def start(self):
        """Start the store, the servers and the hosts."""
        config = Config()
        config.bind = [self._store_address]
        config.errorlog = None
        self._store_tasks.start_soon(
            partial(serve, self.store.app, config, shutdown_trigger=self.over.wait)
        )
        manifest = RawRecord(b'"main"', orjson.dumps(MANIFEST))
        self.store.write(manifest, "config")
        for number in range(SERVERS_COUNT):
            await self.add_server(f"i-{number}")
        for number in range(HOSTS_COUNT):
            self.callers.append(self.start_host(f"host-{number}"))
        for address in self.callers:
            await self.until_served(address)

    async def add_server(self, name):
        """Start a server, which records itself."""
        server = Server(name)
        await self._tasks.start(server.serve)
        self.servers.append(server)
        self.store.write(server.record())

    def start_host(self, name):
        """Start a host; return its address for callers."""
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
            "[retry]\nprobe_interval_seconds = 0.0\n"
            "[life]\nbalancer_delay_seconds = 0.5\n"
        )
        log = self._stack.enter_context((self._folder / f"{name}.log").open("wb"))
        process = subprocess.Popen(
            [sys.executable, "-m", "rampwick_adapter"],
            env={**os.environ, "RAMPWICK_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
        self._stack.callback(process.wait)
        self._stack.callback(process.kill)
        return entry

    async def until_served(self, address):
        """Wait until a host serves."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while await self.call(address) != 200:
                await anyio.sleep(0.1)

    async def call(self, address):
        """Send one request on a connection of its own; return the status."""
        headers = {
            "host": CALLED_HOST,
            "x-rampwick-request-id": os.urandom(8).hex(),
            "x-rampwick-request-timeout-ms": "4000",
        }
        try:
            async with httpx.AsyncClient(trust_env=False, verify=False) as client:
                url = f"http://{address}/a/x"
                answer = await client.get(url, headers=headers, timeout=5.0)
                return answer.status_code
        except httpx.HTTPError:
            return 0

    async def keep_calling(self, address, statuses):
        """Send one request after the other."""
        while True:
            statuses.append(await self.call(address))
            await anyio.sleep(0.02)

    def leave(self, server):
        """Have a server say that it leaves."""
        server.left_at_seconds = time.monotonic()
        self.store.write(server.record("draining"))

    def late_seconds(self):
        """Return how much too late requests began at servers that leave."""
        return [
            seconds
            for server in self.servers
            for seconds in server.lateness_seconds
            if seconds > LEAVING_BOUND_SECONDS
        ]


async def play(odd):
    """Have all first servers leave beside an odd entry; return the fleet."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as store_tasks:
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(store_tasks, tasks, stack)
                await fleet.start()
                await play_leaving(fleet, tasks, odd)
                tasks.cancel_scope.cancel()
            fleet.over.set()
    return fleet


async def play_leaving(fleet, tasks, odd):
    """Replace the servers one after the other; start a host beside the odd entry."""
    for number in range(CALLERS_COUNT):
        address = fleet.callers[number % HOSTS_COUNT]
        tasks.start_soon(fleet.keep_calling, address, fleet.statuses)
    await anyio.sleep(1.0)
    if odd is not None:
        fleet.store.write(odd)
    started = fleet.start_host("late")
    for number, server in enumerate(fleet.servers[:SERVERS_COUNT]):
        await fleet.add_server(f"n-{number}")
        await anyio.sleep(LEAVING_INTERVAL_SECONDS)
        fleet.leave(server)
    with anyio.move_on_after(10.0):
        while await fleet.call(started) != 200:
            await anyio.sleep(0.1)
    tasks.start_soon(fleet.keep_calling, started, fleet.late_start_statuses)
    await anyio.sleep(WATCHED_SECONDS)


async def play_start(odd):
    """Start hosts beside an odd entry; return the statuses of their callers."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as store_tasks:
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(store_tasks, tasks, stack)
                fleet.store.write(odd)
                await fleet.start()
                fleet.leave(fleet.servers[0])
                await anyio.sleep(LEAVING_BOUND_SECONDS)
                for address in fleet.callers * 5:
                    fleet.statuses.append(await fleet.call(address))
                tasks.cancel_scope.cancel()
            fleet.over.set()
    return fleet


class OddEntryProcessesTest(TestCase):
    """Requests at servers that left, while an odd entry is in the store."""

    def test_servers_that_leave_beside_an_odd_entry_get_no_late_request(self):
        fleet = anyio.run(play, ODD)
        requests_count = sum(len(item.lateness_seconds) for item in fleet.servers)
        late = fleet.late_seconds()
        summary = (
            f"{requests_count} requests, {len(late)} of them late by up to "
            f"{max(late, default=0.0):.1f} s; "
            f"{fleet.statuses.count(200)} of {len(fleet.statuses)} served; at the host "
            f"that started {fleet.late_start_statuses.count(200)} of "
            f"{len(fleet.late_start_statuses)}"
        )
        self.assertEqual([], late, summary)
        self.assertEqual({200}, set(fleet.statuses), summary)
        self.assertEqual({200}, set(fleet.late_start_statuses), summary)

    def test_hosts_that_start_beside_an_odd_entry_serve(self):
        fleet = anyio.run(play_start, ODD)
        self.assertEqual({200}, set(fleet.statuses))
        self.assertEqual([], fleet.late_seconds())
