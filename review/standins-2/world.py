"""Stand-ins for the platform, the runners and the consumers of a case, on loopback.

Uses the standard library only. Hosts are the project's own processes, started with the
command of the deploy file and settings made from the template that it names.
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
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]

#: Ports of a machine; the deploy file names the last one for the metrics.
FRONT_PORT = 8782
READY_PORT = 8789
CONTROL_PORT = 8783
ADMIN_PORT = 9464

#: Longest time that a case may take.
MAX_PLAY_SECONDS = 115.0

START_TIMEOUT_SECONDS = 30.0
HISTORY_SECONDS = 20.0

#: Bounds of a small deployment, as the sheets of the users state them.
BOUNDS = {
    "config_apply_ms": 2000,
    "contact_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "lease_ms": 3000,
    "retry_budget_ratio": 0.2,
    "retry_budget_slack": 56,
    "revoke_ms": 5000,
    "strict_revoke": True,
    "version_ms": 10000,
}

LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


#: Stands for the status of a call whose channel ends without an answer.
CUT = 0


class Record:
    """What was sent, answered and run, with the times since the start."""

    def __init__(self) -> None:
        self.started_at_seconds = time.monotonic()
        self.lines: list[str] = []

    def now(self) -> float:
        """Return the time since the start in seconds."""
        return time.monotonic() - self.started_at_seconds

    def note(self, text: str) -> None:
        """Add a line."""
        self.lines.append(f"{self.now():8.3f} s  {text}")

    def write(self, path: Path) -> None:
        """Write all lines to a file."""
        path.write_text("\n".join(self.lines) + "\n")


@dataclass
class Message:
    """A request or a response, read whole or up to its body."""

    first_line: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str) -> str:
        """Return the first value of a header, or an empty string."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return ""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.first_line.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.first_line.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.first_line.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the head of a message; None if the channel ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    first_line, *lines = raw.decode("latin-1").rstrip("\r\n").split("\r\n")
    headers = [(name, value.strip()) for name, _, value in map(_split, lines)]
    return Message(first_line, headers)


def _split(line: str) -> tuple[str, str, str]:
    return line.partition(":")


async def read_body(reader: asyncio.StreamReader, message: Message) -> bool:
    """Read the body of a message; return whether it is complete."""
    parts: list[bytes] = []
    try:
        if "chunked" in message.get("transfer-encoding").lower():
            while size := int((await reader.readline()).split(b";")[0] or b"-", 16):
                parts.append(await reader.readexactly(size))
                await reader.readexactly(2)
            await reader.readline()
        elif length := int(message.get("content-length") or 0):
            parts.append(await reader.readexactly(length))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        message.body = b"".join(parts)
        return False
    message.body = b"".join(parts)
    return True


def encode(first_line: str, headers: dict[str, object], body: bytes = b"") -> bytes:
    """Return a message with a length."""
    lines = [first_line, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


Handler = Callable[
    [Message, asyncio.StreamReader, asyncio.StreamWriter], Awaitable[bool]
]


async def serve(
    handler: Handler, ip: str = "127.0.0.1", port: int = 0
) -> tuple[asyncio.Server, str]:
    """Serve requests one after the other on each channel; return the address."""

    async def run(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, OSError, asyncio.CancelledError):
            while (message := await read_head(reader)) is not None:
                if not await read_body(reader, message):
                    break
                if not await handler(message, reader, writer):
                    break
        writer.close()

    server = await asyncio.start_server(run, ip, port, limit=1 << 20)
    host, bound_port = server.sockets[0].getsockname()[:2]
    return server, f"{host}:{bound_port}"


class Store:
    """The platform's store of objects: linearizable, with watches."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict[str, Any]]] = {}
        #: Revision, time, kind and event of each change.
        self.history: list[tuple[int, float, str, dict[str, Any]]] = []
        self._changed = asyncio.Event()
        #: How often the waiting watches of each kind were cut.
        self._cuts_count: dict[str, int] = {}
        #: Number of watches that wait now, by kind.
        self.waiting_count: Counter[str] = Counter()
        self.address = ""
        self._server: asyncio.Server

    def cut_watches(self, kind: str) -> None:
        """Cut the watches of a kind that wait now."""
        self._cuts_count[kind] = self._cuts_count.get(kind, 0) + 1
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self) -> None:
        """Listen."""
        self._server, self.address = await serve(self._handle)

    def put(self, kind: str, name: str, spec: Any) -> int:
        """Write an object whole, as the operator and the runners do."""
        known = self.objects.setdefault(kind, {}).get(name)
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_revision": known["metadata"]["create_revision"]
            if known
            else self.revision,
            "finalizers": [],
            "deleting": False,
        }
        found = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = found
        self._publish(kind, found, is_gone=False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        found = self.objects.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            metadata = {**found["metadata"], "revision": self.revision}
            self._publish(kind, {**found, "metadata": metadata}, is_gone=True)

    def _publish(self, kind: str, found: dict[str, Any], *, is_gone: bool) -> None:
        now_seconds = time.monotonic()
        event = {"tombstone": is_gone, "object": found}
        self.history.append((self.revision, now_seconds, kind, event))
        while self.history[0][1] < now_seconds - HISTORY_SECONDS:
            self.history.pop(0)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        path, _, query = message.target.partition("?")
        pairs = (item.partition("=") for item in query.split("&") if item)
        options = {name: value for name, _, value in pairs}
        parts = path.removeprefix("/-/objects/").split("/")
        status, data = await self._answer(message, parts, options)
        if status == CUT:
            return False
        body = json.dumps(data).encode()
        first_line = f"HTTP/1.1 {status} {'OK' if status < 300 else 'Error'}"
        writer.write(encode(first_line, {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    async def _answer(
        self, message: Message, parts: list[str], options: dict[str, str]
    ) -> tuple[int, Any]:
        kind, name = parts[0], parts[1] if len(parts) > 1 else ""
        known = self.objects.get(kind, {})
        if message.method == "GET" and "watch" in options:
            return await self._watch(
                kind, int(options["watch"]), int(options.get("wait_ms", 0)) / 1000.0
            )
        if message.method == "GET" and not name:
            names = sorted(item for item in known if item > options.get("after", ""))
            items = [known[item] for item in names]
            return 200, {
                "items": items,
                "truncated": False,
                "store_revision": self.revision,
            }
        if message.method == "GET":
            return (200, known[name]) if name in known else (404, {})
        data = json.loads(message.body or b"{}")
        if message.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        name = name or data["metadata"]["name"]
        if message.method == "POST":
            if name in known:
                return 409, known[name]
        else:
            if name not in known:
                return 404, {}
            expected = data["metadata"].get("revision")
            if expected is not None and expected != known[name]["metadata"]["revision"]:
                return 409, known[name]
            if known[name]["spec"] == data["spec"]:
                return 200, known[name]
        self.put(kind, name, data["spec"])
        return 200, self.objects[kind][name]

    async def _watch(
        self, kind: str, after: int, wait_seconds: float
    ) -> tuple[int, Any]:
        oldest = self.history[0][0] if self.history else self.revision + 1
        if after < oldest - 1:
            return 410, {}
        end_seconds = time.monotonic() + wait_seconds
        cuts_count = self._cuts_count.get(kind)
        while True:
            events = [
                event
                for revision, _, known, event in self.history
                if known == kind and revision > after
            ]
            left_seconds = end_seconds - time.monotonic()
            if events or left_seconds <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            changed = self._changed
            self.waiting_count[kind] += 1
            try:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), left_seconds)
            finally:
                self.waiting_count[kind] -= 1
            if self._cuts_count.get(kind) != cuts_count:
                return CUT, {}


@dataclass
class Run:
    """A request that a runner has begun to run."""

    request_id: str
    runner: str
    at_seconds: float
    message: Message
    ended_at_seconds: float | None = None


class Runner:
    """A sound runner of a plain service or an engine; a case may replace ``answer``."""

    def __init__(
        self,
        name: str,
        service: str,
        store: Store,
        record: Record,
        *,
        model: str = "",
        work_seconds: float = 0.02,
    ) -> None:
        self.name = name
        self.service = service
        self.model = model
        self.version = 1
        self.orders_count = 0
        self.work_seconds = work_seconds
        self.runs: list[Run] = []
        self.address = ""
        self._store = store
        self._record = record
        self._server: asyncio.Server

    async def start(self) -> None:
        """Listen and write an entry into the store."""
        self._server, self.address = await serve(self._handle)
        self.write_entry()

    def write_entry(self, state: str = "ready") -> None:
        """Write the entry in the store.

        It changes only when more than ``seq`` does, so that beats leave it as it is.
        """
        entry: dict[str, Any] = {
            "service": self.service,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": 64,
            "state": state,
            "cold_remaining_ms": 0,
            "seq": 1,
        }
        if self.model:
            entry["stage"] = "unified"
            entry["models"] = [self._model_state()]
        self._store.put("servers", self.name, entry)

    def _model_state(self) -> dict[str, Any]:
        return {"name": self.model, "version": self.version, "adapters": []}

    def note_run(self, message: Message) -> Run:
        """Record that work on a request has begun."""
        run = Run(
            message.get("x-rampwick-request-id"),
            self.name,
            self._record.now(),
            message,
        )
        self.runs.append(run)
        self._record.note(f"{self.name} runs {run.request_id}")
        return run

    def head(self, message: Message) -> dict[str, object]:
        """Return the headers that a runner's own answer has."""
        request_id = message.get("x-rampwick-request-id")
        return {
            "X-Rampwick-Request-Id": request_id,
            "X-Rampwick-Response-Signature": f"{self.name}.{request_id}",
        }

    async def _handle(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        if message.target == "/health":
            head: dict[str, object] = {"X-Rampwick-Instance-Id": self.name}
            writer.write(encode("HTTP/1.1 200 OK", head))
            return True
        if message.target == "/-/report":
            body = json.dumps(self._report()).encode()
            writer.write(encode("HTTP/1.1 200 OK", {}, body))
            return True
        if message.target.startswith("/-/kv-events"):
            await asyncio.sleep(int(message.get("wait-ms") or 0) / 1000.0)
            page = {"epoch": 1, "next_page_token": 0, "lost": False, "events": []}
            writer.write(encode("HTTP/1.1 200 OK", {}, json.dumps(page).encode()))
            return True
        expected = message.get("x-rampwick-target-instance")
        if expected and expected != self.name:
            head = {"X-Rampwick-Instance-Id": self.name}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", head))
            return True
        return await self.answer(message, reader, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "unified",
            "models": [self._model_state()],
            "busy": False,
            "seq": self.orders_count,
            "waiting": 0,
            "running": 0,
            "kv_used": 0,
            "kv_total": 99487,
            "handles": 0,
        }

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run a request and answer it; return whether the channel stays open."""
        self.note_run(message)
        await asyncio.sleep(self.work_seconds)
        writer.write(encode("HTTP/1.1 200 OK", self.head(message), b"done"))
        await writer.drain()
        return True


class Engine(Runner):
    """A sound model runner that streams as many events as a request's body asks for."""

    #: Time between two events.
    event_seconds = 0.1

    async def answer(
        self,
        message: Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Run the request, and drop it as the channel is found closed at a write."""
        if message.get("x-rampwick-expect-version") not in ("", str(self.version)):
            head = {"X-Rampwick-Instance-Id": self.name}
            writer.write(encode("HTTP/1.1 421 Misdirected Request", head))
            return True
        run = self.note_run(message)
        first = int(message.get("last-event-id") or 0) + 1
        head = {
            **self.head(message),
            "X-Rampwick-Weight-Versions": self.version,
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
        }
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {head[name]}" for name in head)]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n")
        count = json.loads(message.body)["events"]
        for number in range(first, count + 1):
            await asyncio.sleep(self.event_seconds)
            if reader.at_eof() or writer.transport.is_closing():
                run.ended_at_seconds = self._record.now()
                self._record.note(f"{self.name} drops {run.request_id} at {number}")
                return False
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        run.ended_at_seconds = self._record.now()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


def render(template: str, fields: dict[str, Any]) -> str:
    """Return the settings file that the platform makes from a template."""

    def section(match: re.Match[str]) -> str:
        found = _find(fields, match.group(1))
        if isinstance(found, list):
            count = len(found)
            return "".join(
                match.group(2)
                .replace("{{.}}", str(item))
                .replace("{{,}}", "," if index + 1 < count else "")
                for index, item in enumerate(found)
            )
        return match.group(2) if found else ""

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)

    def gap(match: re.Match[str]) -> str:
        found = _find(fields, match.group(1))
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


def _find(fields: dict[str, Any], path: str) -> Any:
    found: Any = fields
    for name in path.split("."):
        found = found.get(name) if isinstance(found, dict) else None
    return found


@dataclass
class Host:
    """One machine of the system, with the process that runs on it."""

    name: str
    zone: str
    ip: str
    front: str
    ready: str
    control: str
    settings_path: Path
    log_path: Path
    process: subprocess.Popen[bytes] | None = None
    earlier: list[subprocess.Popen[bytes]] = field(default_factory=list)

    def signal(self, number: int) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def has_ended(self) -> bool:
        """Whether the process has ended."""
        return self.process is None or self.process.poll() is not None


class Fleet:
    """The hosts of a case, in a temporary folder."""

    def __init__(self, store: Store, record: Record) -> None:
        self._store = store
        self._record = record
        self._folder = tempfile.TemporaryDirectory()
        self.hosts: list[Host] = []
        self._template = (ROOT / "deploy" / "host.toml").read_text()
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        (role,) = deploy["roles"].values()
        self._command = role["run"].split(" ")
        #: Edits the settings file of a host before its start, if a case needs that.
        self.edit_settings: Callable[[Host, str], str] = lambda host, text: text

    def add(self, name: str, zone: str = "a") -> Host:
        """Add a machine, with an address of its own."""
        ip = _free_ip()
        host = Host(
            name,
            zone,
            ip,
            f"{ip}:{FRONT_PORT}",
            f"{ip}:{READY_PORT}",
            f"{ip}:{CONTROL_PORT}",
            Path(self._folder.name) / f"{name}.toml",
            Path(self._folder.name) / f"{name}.log",
        )
        self.hosts.append(host)
        return host

    def start(self, host: Host) -> None:
        """Start the process of a machine."""
        fields = {
            "node_name": host.name,
            "zone": host.zone,
            "region": "r",
            "ip": host.ip,
            "listen": {
                "front": host.front,
                "readiness": host.ready,
                "control": host.control,
            },
            "seeds": [other.control for other in self.hosts[:3]],
            "platform": {"address": self._store.address},
            "limits": {"link_mbps": 1000.0},
            "bounds": BOUNDS,
        }
        text = self.edit_settings(host, render(self._template, fields))
        host.settings_path.write_text(text)
        if host.process is not None:
            host.earlier.append(host.process)
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["RAMPWICK_BOOT"] = str(host.settings_path)
        with host.log_path.open("ab") as log:
            host.process = subprocess.Popen(
                self._command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record.note(f"{host.name} starts")

    async def start_all(self) -> None:
        """Start all machines; return when all are ready."""
        for host in self.hosts:
            self.start(host)
        for host in self.hosts:
            await self.until_ready(host)

    async def until_ready(self, host: Host) -> None:
        """Wait until a machine says that it is ready."""
        end_seconds = time.monotonic() + START_TIMEOUT_SECONDS
        while not await self.is_ready(host):
            if time.monotonic() > end_seconds or host.has_ended:
                raise CannotRunError(f"{host.name} does not get ready")
            await asyncio.sleep(0.1)

    async def is_ready(self, host: Host) -> bool:
        """Return whether a machine answers the platform's question with 200."""
        with contextlib.suppress(OSError, ConnectionError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(*split(host.ready))
                writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and head.status == 200
        return False

    def read_log(self, host: Host) -> str:
        """Return what a host has logged."""
        return host.log_path.read_text(errors="replace")

    def end_all(self) -> None:
        """Kill and reap all processes, and remove the folder."""
        for host in self.hosts:
            processes = [*host.earlier, host.process]
            for process in processes:
                if process is not None:
                    if process.poll() is None:
                        process.send_signal(signal.SIGCONT)
                        process.kill()
                    process.wait()
        if kept := os.environ.get("KEEP_LOGS"):
            for host in self.hosts:
                if host.log_path.exists():
                    Path(kept, f"{host.name}.log").write_bytes(
                        host.log_path.read_bytes()
                    )
        self._folder.cleanup()


class CannotRunError(Exception):
    """The case could not be played."""


def _free_ip() -> str:
    """Return a loopback address at which all ports of a machine are free."""
    for _ in range(100):
        parts = [random.randint(2, 250) for _ in range(3)]
        ip = ".".join(map(str, [127, *parts]))
        try:
            for port in (FRONT_PORT, READY_PORT, CONTROL_PORT, ADMIN_PORT):
                with socket.socket() as free:
                    free.bind((ip, port))
        except OSError:
            continue
        return ip
    raise CannotRunError("no loopback address has free ports")


def split(address: str) -> tuple[str, int]:
    """Return the parts of an address."""
    ip, _, port = address.rpartition(":")
    return ip, int(port)


@dataclass
class Answer:
    """What a consumer has received for one request."""

    request_id: str
    status: int = 0
    headers: Message | None = None
    body: bytes = b""
    is_complete: bool = False
    sent_at_seconds: float = 0.0
    ended_at_seconds: float = 0.0


class Channel:
    """A consumer's kept channel to one machine."""

    def __init__(self, host: Host, record: Record) -> None:
        self.host = host
        self._record = record
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        #: Whether an answer said that the channel ends.
        self.is_closing = False

    async def open(self) -> None:
        """Open the channel."""
        async with asyncio.timeout(2.0):
            self._reader, self._writer = await asyncio.open_connection(
                *split(self.host.front), limit=1 << 20
            )

    @property
    def has_ended(self) -> bool:
        """Whether the machine has closed it."""
        return self._reader is None or self._reader.at_eof()

    async def call(
        self,
        method: str,
        target: str,
        headers: dict[str, object],
        body: bytes = b"",
        request_id: str = "",
        timeout_seconds: float = 20.0,
    ) -> Answer:
        """Send a request and return what is received."""
        assert self._reader is not None and self._writer is not None
        answer = Answer(request_id or os.urandom(8).hex())
        answer.sent_at_seconds = self._record.now()
        all_headers = {"X-Rampwick-Request-Id": answer.request_id, **headers}
        try:
            async with asyncio.timeout(timeout_seconds):
                self._writer.write(
                    encode(f"{method} {target} HTTP/1.1", all_headers, body)
                )
                await self._writer.drain()
                head = await read_head(self._reader)
                while head is not None and head.status < 200:
                    head = await read_head(self._reader)
                if head is not None:
                    answer.status, answer.headers = head.status, head
                    answer.is_complete = await read_body(self._reader, head)
                    answer.body = head.body
                    self.is_closing = "close" in head.get("connection").lower()
        except (TimeoutError, ConnectionError, OSError):
            pass
        answer.ended_at_seconds = self._record.now()
        end = "whole" if answer.is_complete else "cut"
        self._record.note(
            f"request {answer.request_id} on {self.host.name}, sent at "
            f"{answer.sent_at_seconds:.3f} s: {answer.status or 'no answer'}, {end}"
        )
        return answer

    def close(self) -> None:
        """Close the channel."""
        if self._writer is not None:
            self._writer.close()


def has_trouble() -> bool:
    """Return whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(folder: str, play: Callable[[Record], Awaitable[list[str]]]) -> int:
    """Play a case; return its exit code. ``play`` returns the breaks of the rule."""
    record = Record()
    code = 2

    async def bounded() -> list[str]:
        task = asyncio.current_task()
        assert task is not None
        # A case that is stopped still ends all processes that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(MAX_PLAY_SECONDS):
            return await play(record)

    try:
        breaks = asyncio.run(bounded())
        for line in breaks:
            record.note(f"BROKEN: {line}")
        code = 1 if breaks else 0
    except (Exception, asyncio.CancelledError) as error:
        record.note(f"could not run: {error!r}")
    record.write(Path(folder) / "record.txt")
    names = {0: "the rule held", 1: "the rule was broken", 2: "could not run"}
    print(names[code], file=sys.stderr)
    return code
