"""Hosts as processes: one is out of step while a runner of another version joins.

Streams that begin there through the other host are taken up at the host out of step.
Each way of falling out of step is tried by itself.
"""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from contextlib import AsyncExitStack, ExitStack, asynccontextmanager
from functools import partial
from pathlib import Path

import anyio
import orjson
from hypercorn.asyncio import serve
from hypercorn.config import Config
from soak._fleet import _is_free, _reserve_block
from soak._proxy import Proxy
from testtools import TestCase

from .raw_store import RawRecord, RawStore, make_spec
from .scripted import ScriptedUpstream, read_response
from .test_routed import chunk, event

CALLED_HOST = "notes.example"
TIMEOUT_MS = 3000
MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": CALLED_HOST,
            "path_prefix": "/a/",
            "kind": "stream",
            "resumable": True,
            "timeout_ms": TIMEOUT_MS,
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

#: Time limit for a host to start and to know all versions of the service.
START_TIMEOUT_SECONDS = 40.0
#: Time limit for a stream to begin at the new runner through the host in step.
BEGIN_TIMEOUT_SECONDS = 2.0
#: Pauses of the stopped process: shorter and longer than its list may be old.
SHORT_STOP_SECONDS, LONG_STOP_SECONDS = 1.0, 4.0


class Runner(ScriptedUpstream):
    """A server of one version, which begins streams and goes on with them."""

    def __init__(self, name, version):
        super().__init__(name)
        self.version = version
        #: Ids of the streams that went on here.
        self.continued = []
        self.scripts = [self.reply]

    async def reply(self, exchange):
        """Answer a health check or a stream."""
        headers = f"x-rampwick-instance-id: {self.name}\r\n"
        request_id = exchange.headers.get("x-rampwick-request-id")
        if request_id is None:
            headers += "content-length: 0\r\n"
            await exchange.send(f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode())
            return
        headers += (
            f"x-rampwick-request-id: {request_id}\r\nx-runner: {self.name}\r\n"
            "x-rampwick-response-signature: 1\r\ntransfer-encoding: chunked\r\n"
            "content-type: text/event-stream\r\n"
        )
        await exchange.send(f"HTTP/1.1 200 OK\r\n{headers}\r\n".encode())
        is_resumption = "last-event-id" in exchange.headers
        for number in (4, 5, 6) if is_resumption else (1, 2, 3):
            await exchange.send(chunk(event(number)))
        if not is_resumption:
            await anyio.sleep_forever()
        self.continued.append(request_id.rpartition("-")[0])
        await exchange.send(b"0\r\n\r\n")

    def record(self):
        """Return its entry."""
        spec = make_spec(
            address=orjson.dumps(self.address), version=orjson.dumps(self.version)
        )
        return RawRecord(orjson.dumps(self.name), spec)


class HostProcess:
    """A host as a process, with proxies to the store and from its peers."""

    def __init__(self, name, ports, store_port):
        self.name = name
        self.entry, self.ready, self.peer, self.admin = (next(ports) for _ in range(4))
        self.to_store = Proxy(f"{name} to store", next(ports), store_port)
        self.from_peers = Proxy(f"peers to {name}", next(ports), self.peer)
        self.process = None

    def start(self, folder, seeds, stack):
        """Start the process."""
        path = folder / f"{self.name}.toml"
        path.write_text(
            f'[host]\nname = "{self.name}"\nhall = "a"\n[listen]\n'
            f'entry = "127.0.0.1:{self.entry}"\nready = "127.0.0.1:{self.ready}"\n'
            f'peer = "127.0.0.1:{self.peer}"\nadmin = "127.0.0.1:{self.admin}"\n'
            f'[platform]\nurl = "http://{self.to_store.address}"\n'
            "call_timeout_seconds = 1.0\nconfirm_wait_seconds = 1.5\n"
            f'[peers]\nsecret = "step"\nseeds = {orjson.dumps(seeds).decode()}\n'
            f'advertised_address = "{self.from_peers.address}"\n'
            "[retry]\nprobe_interval_seconds = 0.0\n"
            "[life]\nbalancer_delay_seconds = 0.5\n"
        )
        log = stack.enter_context((folder / f"{self.name}.log").open("wb"))
        self.process = subprocess.Popen(
            [sys.executable, "-m", "rampwick_adapter"],
            env={**os.environ, "RAMPWICK_BOOT": str(path)},
            stdout=log,
            stderr=log,
        )
        stack.callback(self.process.wait)
        stack.callback(self.process.kill)

    def cut_from_store(self):
        """Hold back all bytes from and to the store."""
        self.to_store.conditions.is_stalled_to_target = True
        self.delay_store()

    def delay_store(self):
        """Hold back the store's answers."""
        self.to_store.conditions.is_stalled_from_target = True


class Fleet:
    """Two hosts before a store and runners in this process."""

    def __init__(self, tasks, store_tasks, stack):
        self._tasks, self._store_tasks, self._stack = tasks, store_tasks, stack
        self.store = RawStore()
        self.over = anyio.Event()
        self._ports = filter(_is_free, _reserve_block(random.Random(), stack))
        self._folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        self._store_port = next(self._ports)
        self.runners = []
        self._begun_count = 0
        self.statuses = []
        self.in_step, self.out_of_step = self.make_host("one"), self.make_host("two")

    def make_host(self, name):
        """Return a host that has not been started."""
        return HostProcess(name, self._ports, self._store_port)

    async def start(self):
        """Start all; return once the second host goes on by the only version."""
        config = Config()
        config.bind = [f"127.0.0.1:{self._store_port}"]
        config.errorlog = None
        self._store_tasks.start_soon(
            partial(serve, self.store.app, config, shutdown_trigger=self.over.wait)
        )
        self.store.write(RawRecord(b'"main"', orjson.dumps(MANIFEST)), "config")
        await self.add_runner("old", "1")
        for host in (self.in_step, self.out_of_step):
            await self.start_host(host)
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while await self.take_up("calm", self.out_of_step) != 200:
                await anyio.sleep(0.1)
        self.runners[0].continued.clear()
        self.statuses.clear()

    async def start_host(self, host):
        """Start a host and its proxies."""
        for proxy in (host.to_store, host.from_peers):
            await proxy.run(self._tasks)
        # Links go through proxies, whichever host opens them.
        seeds = [item.from_peers.address for item in (self.in_step, self.out_of_step)]
        host.start(self._folder, seeds, self._stack)

    async def add_runner(self, name, version):
        """Start a runner, which records itself."""
        runner = Runner(name, version)
        await self._tasks.start(runner.serve)
        self.runners.append(runner)
        self.store.write(runner.record())

    def cut_from_peers(self):
        """Hold back all bytes between the hosts."""
        for host in (self.in_step, self.out_of_step):
            conditions = host.from_peers.conditions
            conditions.is_stalled_to_target = conditions.is_stalled_from_target = True

    @asynccontextmanager
    async def open_call(self, request_id, host, first_id=""):
        """Send a request on a connection of its own; yield the connection."""
        headers = {
            "host": CALLED_HOST,
            "x-rampwick-request-id": request_id,
            "x-rampwick-request-timeout-ms": str(TIMEOUT_MS),
        }
        if first_id:
            headers |= {"last-event-id": "3", "resumes": first_id}
        lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
        request = "GET /a/x HTTP/1.1\r\n" + "".join(lines) + "\r\n"
        async with await anyio.connect_tcp("127.0.0.1", host.entry) as stream:
            await stream.send(request.encode())
            yield stream

    async def begin_at_new(self):
        """Begin streams until one runs at the new runner; return its id."""
        new = b"x-runner: " + self.runners[-1].name.encode()
        async with AsyncExitStack() as open_streams:
            with anyio.fail_after(BEGIN_TIMEOUT_SECONDS):
                while True:
                    self._begun_count += 1
                    request_id = f"s{self._begun_count}"
                    call = self.open_call(request_id, self.in_step)
                    # The streams before occupy the other runner.
                    stream = await open_streams.enter_async_context(call)
                    received = b""
                    while event(3) not in received:
                        received += await stream.receive()
                    if new in received:
                        return request_id

    async def take_up(self, first_id, host):
        """Take a stream up; return the status, or 0 without one."""
        self.statuses.append(0)
        number = len(self.statuses) - 1
        try:
            with anyio.move_on_after(TIMEOUT_MS / 1000 + 1):
                async with self.open_call(f"{first_id}-{number}", host, first_id) as it:
                    self.statuses[number] = (await read_response(it)).status
        except OSError:
            pass
        return self.statuses[number]

    def continued_elsewhere(self, first_id):
        """Return the names of runners of another version that went on with a stream."""
        return [
            runner.name for runner in self.runners[:-1] if first_id in runner.continued
        ]


# The ways of falling out of step. Each returns the id of the stream and the statuses.


async def be_cut_off(fleet):
    """Take up at a host that is cut off from the store and its peers."""
    fleet.cut_from_peers()
    fleet.out_of_step.cut_from_store()
    return await join_and_take_up(fleet)


async def be_cut_from_peers(fleet):
    """Take up at a host that reads the store, but has no peers."""
    fleet.cut_from_peers()
    return await join_and_take_up(fleet)


async def read_store_late(fleet):
    """Take up at a host that gets the store's answers late, as do its peers' links."""
    fleet.out_of_step.delay_store()
    fleet.cut_from_peers()
    return await join_and_take_up(fleet)


async def read_only_store_late(fleet):
    """Take up at a host that gets the store's answers late, but has peers."""
    fleet.out_of_step.delay_store()
    return await join_and_take_up(fleet)


async def join_and_take_up(fleet):
    """Have a runner join, begin a stream there and take it up at the other host."""
    await fleet.add_runner("new", "2")
    first_id = await fleet.begin_at_new()
    await fleet.take_up(first_id, fleet.out_of_step)
    return first_id


async def stand_still(fleet, seconds):
    """Take up at a process that has just woken; the request is there first."""
    process = fleet.out_of_step.process
    address = ("127.0.0.1", fleet.out_of_step.entry)
    with socket.create_connection(address):
        process.send_signal(signal.SIGSTOP)
    try:
        await anyio.sleep(seconds)
        await fleet.add_runner("new", "2")
        first_id = await fleet.begin_at_new()
        async with anyio.create_task_group() as tasks:
            for _ in range(4):
                tasks.start_soon(fleet.take_up, first_id, fleet.out_of_step)
            await anyio.sleep(0.01)
            process.send_signal(signal.SIGCONT)
    finally:
        process.send_signal(signal.SIGCONT)
    return first_id


async def just_start(fleet):
    """Take up at a host that starts, all the time, without links to its peers."""
    host = fleet.make_host("three")
    fleet.cut_from_peers()
    await fleet.start_host(host)
    await fleet.add_runner("new", "2")
    first_id = await fleet.begin_at_new()
    with anyio.move_on_after(5.0):
        while True:
            await fleet.take_up(first_id, host)
            await anyio.sleep(0.02)
    return first_id


async def play(way):
    """Return runners that went on at another version, and the statuses."""
    with ExitStack() as stack:
        async with anyio.create_task_group() as store_tasks:
            async with anyio.create_task_group() as tasks:
                fleet = Fleet(tasks, store_tasks, stack)
                await fleet.start()
                first_id = await way(fleet)
                tasks.cancel_scope.cancel()
            fleet.over.set()
    return fleet.continued_elsewhere(first_id), fleet.statuses


class OutOfStepProcessesTest(TestCase):
    """No stream goes on at another version at a host that is out of step."""

    def check(self, way):
        elsewhere, statuses = anyio.run(play, way)
        self.assertEqual([], elsewhere, statuses)
        return statuses

    def test_host_that_is_cut_off_refuses_the_stream(self):
        self.assertEqual([503], self.check(be_cut_off))

    def test_host_that_is_cut_from_its_peers(self):
        self.check(be_cut_from_peers)

    def test_late_answers_of_the_store_without_peers(self):
        self.assertEqual([503], self.check(read_store_late))

    def test_late_answers_of_the_store_beside_peers(self):
        self.check(read_only_store_late)

    def test_process_that_stood_still_for_a_short_time(self):
        self.check(partial(stand_still, seconds=SHORT_STOP_SECONDS))

    def test_process_that_stood_still_for_long(self):
        self.check(partial(stand_still, seconds=LONG_STOP_SECONDS))

    def test_host_that_starts(self):
        self.check(just_start)
