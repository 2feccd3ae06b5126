"""Stand-ins of the platform, of servers and of clients, and the start of hosts.

Only the standard library is used. Every address is a loopback address. The servers
speak HTTP/1.1 on plain sockets, so that a case can decide byte by byte what they send.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]

#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class CaseError(Exception):
    """The case couldn't run."""


def has_trouble() -> bool:
    """Return whether the disruption is part of this run."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_ports(count: int) -> list[int]:
    """Return ports that were free a moment ago, all different."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for item in sockets:
            item.bind(("127.0.0.1", 0))
        return [item.getsockname()[1] for item in sockets]
    finally:
        for item in sockets:
            item.close()


class Record:
    """What was sent, answered and run, in ``record.txt`` of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._began_seconds = time.monotonic()

    def note(self, what: str, **fields: Any) -> None:
        """Write one line."""
        at_seconds = time.monotonic() - self._began_seconds
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self._file.write(f"{at_seconds:9.3f} {what} {text}\n")
        self._file.flush()


# HTTP/1.1.


class Message:
    """The head and the body of a request or of a response."""

    def __init__(self, start: str, headers: list[tuple[str, str]], body: bytes) -> None:
        self.start = start
        self.headers = headers
        self.body = body

    def get(self, name: str) -> str | None:
        """Return the first header with a name in lower case."""
        for key, value in self.headers:
            if key.lower() == name:
                return value
        return None

    @property
    def method(self) -> str:
        """Method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Return a message without its body; raise IncompleteReadError at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    pairs = [line.partition(":") for line in lines[1:] if line]
    return Message(lines[0], [(name, value.strip()) for name, _, value in pairs], b"")


async def read_message(
    reader: asyncio.StreamReader, *, is_response: bool = False
) -> Message:
    """Return a message with its body."""
    message = await read_head(reader)
    length = message.get("content-length")
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
            message.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readuntil(b"\r\n")
    elif length is not None:
        message.body = await reader.readexactly(int(length))
    elif is_response and message.status not in (204, 304):
        message.body = await reader.read()
    return message


def encode(status: int, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    phrases = {200: "OK", 202: "Accepted", 404: "Not Found", 409: "Conflict"}
    lines = [f"HTTP/1.1 {status} {phrases.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


def encode_json(status: int, data: Any) -> bytes:
    """Return a JSON response."""
    return encode(
        status, [("Content-Type", "application/json")], json.dumps(data).encode()
    )


# The platform's store.


class Store:
    """Objects by kind and name, with one revision over all of them."""

    def __init__(self) -> None:
        self.address = ""
        self.revision = 100
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, bool, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        #: Called with each request; what it returns is awaited before the response.
        self.before: Callable[[Message], Awaitable[None]] | None = None

    def write(self, kind: str, name: str, spec: Any) -> int:
        """Write an object as the operator or a server does; return its revision."""
        return self._put(kind, name, spec, [], None)["metadata"]["revision"]

    def remove(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            self._note(kind, True, found)

    def _put(
        self, kind: str, name: str, spec: Any, finalizers: Any, status: Any
    ) -> dict[str, Any]:
        self.revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["create_revision"] if known else self.revision
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_revision": created,
                "finalizers": finalizers,
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = stored
        self._note(kind, False, stored)
        return stored

    def _note(self, kind: str, is_removed: bool, stored: dict[str, Any]) -> None:
        self._events.append((self.revision, kind, is_removed, stored))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while True:
                request = await read_message(reader)
                if self.before is not None:
                    await self.before(request)
                writer.write(await self._answer(request))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> bytes:
        await asyncio.sleep(0.004)
        parts = urlsplit(request.target)
        query = {key: items[0] for key, items in parse_qs(parts.query).items()}
        names = parts.path.removeprefix("/-/objects/").split("/", 1)
        kind, name = names[0], names[1] if len(names) > 1 else ""
        data = json.loads(request.body) if request.body else {}
        if request.method == "GET" and name:
            found = self.objects.get((kind, name))
            return encode_json(200, found) if found else encode_json(404, {})
        if request.method == "GET" and "watch" in query:
            wait_ms = int(query.get("wait_ms", "0"))
            return await self._watch(kind, int(query["watch"]), wait_ms / 1000)
        if request.method == "GET":
            after = query.get("after", "")
            items = [
                item
                for (item_kind, item_name), item in sorted(self.objects.items())
                if item_kind == kind and item_name > after
            ]
            return encode_json(
                200,
                {"items": items, "truncated": False, "store_revision": self.revision},
            )
        if request.method == "POST":
            name = data["metadata"]["name"]
            if (kind, name) in self.objects:
                return encode_json(409, self.objects[kind, name])
            return encode_json(200, self._put(kind, name, data["spec"], [], None))
        known = self.objects.get((kind, name))
        if known is None:
            return encode_json(404, {})
        expected = data.get("metadata", {}).get("revision", query.get("revision"))
        if expected is not None and int(expected) != known["metadata"]["revision"]:
            return encode_json(409, known)
        if request.method == "DELETE":
            self.remove(kind, name)
            return encode_json(200, known)
        if known["spec"] == data["spec"]:
            return encode_json(200, known)
        return encode_json(
            200, self._put(kind, name, data["spec"], [], known["status"])
        )

    async def _watch(self, kind: str, revision: int, wait_seconds: float) -> bytes:
        end_seconds = time.monotonic() + wait_seconds
        while True:
            found = [item for item in self._events if item[0] > revision]
            found = [item for item in found if item[1] == kind]
            left_seconds = end_seconds - time.monotonic()
            if found or left_seconds <= 0:
                events = [{"object": item[3], "tombstone": item[2]} for item in found]
                return encode_json(
                    200, {"events": events, "store_revision": self.revision}
                )
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), left_seconds)


# Servers.


class Server:
    """A server of one service; ``answer`` decides what it does with a request."""

    def __init__(self, name: str, service: str, zone: str, slots: int) -> None:
        self.name = name
        self.service = service
        self.zone = zone
        self.slots = slots
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the server's own record in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
        }

    async def answer(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        channel: dict[str, Any],
    ) -> None:
        """Answer a request; ``channel`` is kept for the connection."""
        raise NotImplementedError

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        self.writers.add(writer)
        channel: dict[str, Any] = {}
        try:
            while True:
                request = await read_message(reader)
                if request.target == "/health":
                    named = [("X-Rampwick-Instance-Id", self.name)]
                    writer.write(encode(200, named))
                    await writer.drain()
                    continue
                await self.answer(request, writer, channel)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


def signed(request: Message) -> list[tuple[str, str]]:
    """Return the headers of a server's answer to a request that it ran."""
    return [
        ("X-Rampwick-Request-Id", request.get("x-rampwick-request-id") or ""),
        ("X-Rampwick-Response-Signature", "3e1b.07.5a2"),
    ]


class Runner(Server):
    """A model runner that streams answers; ``pieces_of`` tells how many of each."""

    def __init__(self, name: str, service: str, zone: str, model: str) -> None:
        super().__init__(name, service, zone, slots=64)
        self.model = model
        self.version = 1
        self.orders: list[tuple[float, dict[str, Any]]] = []
        self.running = 0
        self.piece_seconds = 0.03
        self._busy_until = 0.0
        self._next_version = 1

    def entry(self, state: str = "ready") -> dict[str, Any]:
        """Return the runner's own record in the store."""
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {**super().entry(state), "stage": "unified", "models": models}

    async def answer(
        self,
        request: Message,
        writer: asyncio.StreamWriter,
        channel: dict[str, Any],
    ) -> None:
        """Answer a control call or a request."""
        expected = request.get("x-rampwick-target-instance")
        if expected not in (None, self.name):
            named = [("X-Rampwick-Instance-Id", self.name)]
            writer.write(encode(421, named))
        elif request.target == "/-/report":
            writer.write(encode_json(200, self.report()))
        elif request.target == "/-/order":
            writer.write(await self.take_order(json.loads(request.body)))
        elif request.target.startswith("/-/kv-events"):
            await asyncio.sleep(int(request.get("wait-ms") or "0") / 1000)
            empty = {"epoch": 7, "next_page_token": 1, "lost": False, "events": []}
            writer.write(encode_json(200, empty))
        else:
            self.running += 1
            try:
                await self.stream(request, writer)
            finally:
                self.running -= 1
        await writer.drain()

    def report(self) -> dict[str, Any]:
        """Return the runner's report."""
        is_busy = time.monotonic() < self._busy_until
        if not is_busy:
            self.version = self._next_version
        models = [{"name": self.model, "version": self.version, "adapters": []}]
        return {
            "stage": "unified",
            "models": models,
            "busy": is_busy,
            "seq": len(self.orders),
            "waiting": 0,
            "running": self.running,
            "kv_used": 0,
            "kv_total": 90000,
            "handles": 0,
        }

    async def take_order(self, order: dict[str, Any]) -> bytes:
        """Take an order, and have its weights 0.8 s later."""
        report = self.report()
        if order["version"] == report["models"][0]["version"]:
            return encode_json(200, {})
        expected = order.get("expected_revision")
        if report["busy"] or expected not in (None, len(self.orders)):
            return encode_json(409, {})
        self.orders.append((time.monotonic(), order))
        self._busy_until = time.monotonic() + 0.8
        self._next_version = order["version"]
        return encode_json(202, {})

    def pieces_of(self, request: Message) -> int:
        """Return the number of events of an answer."""
        return int((request.get("x-rampwick-token-usage") or "0,10").split(",")[1])

    async def stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        """Run a request, and stream its answer."""
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"X-Rampwick-Weight-Versions: {self.version}",
            *(f"{name}: {value}" for name, value in signed(request)),
        ]
        writer.write("\r\n".join(head).encode() + b"\r\n\r\n")
        first = int(request.get("last-event-id") or "0") + 1
        for number in range(first, self.pieces_of(request) + 1):
            event = self.piece(request, number)
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.piece_seconds)
        writer.write(b"0\r\n\r\n")

    def piece(self, request: Message, number: int) -> bytes:
        """Return one event."""
        request_id = request.get("x-rampwick-request-id")
        return f"id: {number}\ndata: {request_id} {number}\n\n".encode()


# Clients.


class Reply:
    """What a client saw of one request."""

    def __init__(self, status: int, message: Message | None, error: str) -> None:
        self.status = status
        self.message = message
        self.error = error


class Client:
    """Sends requests to one host on kept connections."""

    def __init__(self, address: str, max_idle_seconds: float = 12.0) -> None:
        host, _, port = address.rpartition(":")
        self._address = host, int(port)
        self._max_idle_seconds = max_idle_seconds
        self._idle: list[tuple[float, Any, Any]] = []

    @property
    def is_kept(self) -> bool:
        """Whether a connection is kept for the next request."""
        return bool(self._idle)

    async def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        timeout_seconds: float,
    ) -> Reply:
        """Send a request and return what came of it."""
        try:
            return await asyncio.wait_for(
                self._send(method, target, headers, body), timeout_seconds
            )
        except TimeoutError:
            return Reply(0, None, "timeout")
        except (OSError, asyncio.IncompleteReadError) as error:
            return Reply(0, None, type(error).__name__)

    async def _send(
        self, method: str, target: str, headers: list[tuple[str, str]], body: bytes
    ) -> Reply:
        reader, writer = await self._connection()
        is_whole = False
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            message = await read_message(reader, is_response=True)
            is_whole = (message.get("connection") or "").lower() != "close"
            return Reply(message.status, message, "")
        finally:
            if is_whole:
                self._idle.append((time.monotonic(), reader, writer))
            else:
                writer.close()

    async def _connection(self) -> tuple[Any, Any]:
        while self._idle:
            since_seconds, reader, writer = self._idle.pop()
            if (
                time.monotonic() - since_seconds < self._max_idle_seconds
                and not reader.at_eof()
            ):
                return reader, writer
            writer.close()
        return await asyncio.open_connection(*self._address)


# Hosts.


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fill the settings template as the platform does, as far as it uses it."""

    def value_of(path: str) -> Any:
        value: Any = fields
        for part in path.split("."):
            value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match: re.Match[str]) -> str:
        value, inner = value_of(match[1]), match[2]
        if isinstance(value, list):
            texts = []
            for index, item in enumerate(value):
                comma = "," if index < len(value) - 1 else ""
                texts.append(inner.replace("{{.}}", item).replace("{{,}}", comma))
            return "".join(texts)
        return inner if value else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def gap(match: re.Match[str]) -> str:
        value = value_of(match[1])
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


BOUNDS = {
    "config_apply_ms": 2000,
    "strict_revoke": True,
    "revoke_ms": 5000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 56,
    "version_ms": 10000,
    "grace_s": 8,
    "lease_ms": 3000,
}


class Host:
    """A host as a process, started by the command of the deploy file."""

    def __init__(
        self, name: str, zone: str, folder: Path, ip: str = "127.0.0.1"
    ) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        front, ready, control, *_ = free_ports(3)
        self.front = f"{ip}:{front}"
        self.ready = f"{ip}:{ready}"
        self.control = f"{ip}:{control}"
        self._folder = folder
        self.process: subprocess.Popen[bytes] | None = None
        self.log_path = folder / f"{name}.log"

    def start(self, store: str, seeds: list[str]) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["entry"]
        fields = {
            "node_name": self.name,
            "zone": self.zone,
            "region": "sk-west",
            "ip": self.ip,
            "listen": {
                "front": self.front,
                "readiness": self.ready,
                "control": self.control,
            },
            "seeds": seeds,
            "platform": {"address": store},
            "limits": {"link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        settings = self._folder / f"{self.name}.toml"
        text = fill((ROOT / role["template"]).read_text(), fields)
        # Hosts of one machine would share the port of the figures.
        admin = free_ports(1)[0]
        settings.write_text(text.replace(f"{self.ip}:9464", f"{self.ip}:{admin}"))
        libraries = ROOT / "target/deps"
        if not libraries.is_dir():
            raise CaseError("target/deps is missing: run the build of the deploy file")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(libraries),
            "PYTHONDONTWRITEBYTECODE": "1",
            "RAMPWICK_BOOT": str(settings),
        }
        program, *arguments = role["run"].split()
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                [program, *arguments],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, timeout_seconds: float = 20.0) -> None:
        """Wait until the host says that it is ready."""
        end_seconds = time.monotonic() + timeout_seconds
        client = Client(self.ready)
        while time.monotonic() < end_seconds:
            reply = await client.send("GET", "/readyz", [("Host", "x")], b"", 1.0)
            if reply.status == 200:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} is not ready")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class World:
    """Everything of one run; ends all that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.store = Store()
        self.hosts: list[Host] = []
        self._servers: list[asyncio.Server] = []
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)

    async def listen(self, handle: Any) -> str:
        """Serve connections on a free port; return the address."""
        server = await asyncio.start_server(handle, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def start_store(self, manifest: dict[str, Any]) -> None:
        """Start the store with a manifest."""
        self.store.address = await self.listen(self.store.handle)
        self.store.write("config", "main", manifest)

    async def add(self, server: Server) -> None:
        """Start a server and write its entry."""
        server.address = await self.listen(server.handle)
        self.store.write("servers", server.name, server.entry())

    async def start_hosts(self, zones: list[str]) -> None:
        """Start a host in each zone; return when all are ready."""
        self.hosts = [
            Host(f"front-{zone}-{index}", zone, self.folder)
            for index, zone in enumerate(zones)
        ]
        seeds = [host.control for host in self.hosts[:3]]
        for host in self.hosts:
            host.start(self.store.address, seeds)
        for host in self.hosts:
            await host.wait_ready()

    def close(self) -> None:
        """End all processes and listeners."""
        for host in self.hosts:
            host.end()
        for server in self._servers:
            server.close()
        self._temporary.cleanup()


def run_case(run: Callable[[World], Awaitable[int]], folder: Path) -> None:
    """Run a case and exit with its code."""

    async def play() -> int:
        world = World(folder)
        try:
            async with asyncio.timeout(110):
                return await run(world)
        except (CaseError, TimeoutError, OSError) as error:
            world.record.note("not run", error=repr(error))
            print(f"not run: {error!r}")
            return NOT_RUN
        finally:
            if keep := os.environ.get("KEEP_LOGS"):
                Path(keep).mkdir(parents=True, exist_ok=True)
                for host in world.hosts:
                    if host.log_path.exists():
                        target = Path(keep) / host.log_path.name
                        target.write_bytes(host.log_path.read_bytes())
            world.close()

    seed = os.environ.get("SEED")
    random.seed(int(seed) if seed else None)
    sys.exit(asyncio.run(play()))
