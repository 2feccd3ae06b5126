"""A host as a process beside callers that ignore the limits, and what it holds.

The memory of a host is its resident memory and the bytes that have arrived on callers'
connections and were not read, as both count against the memory of its machine.
"""

import asyncio
import random
import re
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import BinaryIO

import attrs
import httpx
import orjson
from soak._fleet import _reserve_block

from rampwick_router.entry._call import hash_key

ROOT = Path(__file__).resolve().parent.parent

KEY = "a key"

#: Memory of the smallest hosts that are in use.
HOST_BYTES = 150_000_000

#: Memory at which a host is ended for the sake of the machine.
GIVE_UP_BYTES = 700_000_000

#: Time after which a crowd sends no more, and is left open as it is.
PLAY_SECONDS = 5.0

#: Time after which an ordinary request counts as not answered.
GIVE_UP_SECONDS = 15.0

#: Time in which a host reads what a crowd has sent.
SETTLE_SECONDS = 1.5

SAMPLE_SECONDS = 0.02
READ_BYTES = 65_536

SETTINGS = """
[host]
name = "e"
hall = "trnava"
[listen]
entry = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
ready = "127.0.0.1:{ready}"
[life]
fallback_tree = "{tree}"
{more}
"""
TREE = """
[nodes."/t"]
is_workspace = true
key_hashes = ["{key_hash}"]
[[hosts]]
name = "r"
kind = "runner"
hall = "trnava"
address = "{address}"
[[hosts]]
name = "s"
kind = "service"
hall = "trnava"
group = "labels"
address = "{address}"
"""
REPORT = {
    "incarnation": "i",
    "model": "m",
    "weights_version": 1,
    "slots_count": 200,
    "running_count": 0,
    "waiting_tokens": 0,
    "prefill_tokens_per_second": 0.0,
    "cache_tokens": 0,
}


class Server:
    """Answers probes, and other requests once they are not held."""

    def __init__(self) -> None:
        self._listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        #: Whether requests below ``/slow`` may be answered.
        self.may_answer = threading.Event()
        self.bodies: list[int] = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(accepted,), daemon=True).start()

    def _serve(self, accepted: socket.socket) -> None:
        with accepted, accepted.makefile("rb") as reader, suppress(OSError):
            while head := self._read_head(reader):
                length = re.search(rb"(?i)content-length: (\d+)", head)
                remaining = int(length.group(1)) if length else 0
                size = remaining
                while remaining:
                    data = reader.read(min(READ_BYTES, remaining))
                    if not data:
                        return
                    remaining -= len(data)
                if b" /load " in head:
                    self._answer(accepted, orjson.dumps(REPORT))
                    continue
                self.bodies.append(size)
                if b" /slow" in head:
                    self.may_answer.wait()
                self._answer(accepted, b"ok")

    def _read_head(self, reader: BinaryIO) -> bytes:
        """Return a whole head; empty if the connection ends before."""
        head = b""
        while (line := reader.readline()) != b"\r\n":
            if not line:
                return b""
            head += line
        return head

    def _answer(self, accepted: socket.socket, body: bytes) -> None:
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body)
        accepted.sendall(head + body)

    def run(self) -> None:
        """Obey the lines of standard input until its end."""
        print(self.address, flush=True)
        for line in sys.stdin:
            if line == "answer\n":
                self.may_answer.set()
            print(orjson.dumps(self.bodies).decode(), flush=True)


class Upstream:
    """A server as a process of its own, which no crowd keeps from answering."""

    def __init__(self) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", "tests.crowds"],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.address = self._process.stdout.readline().strip()

    def _ask(self, line: str) -> list[int]:
        self._process.stdin.write(line)
        self._process.stdin.flush()
        return orjson.loads(self._process.stdout.readline())

    def answer(self) -> None:
        """Answer what is held."""
        self._ask("answer\n")

    def bodies(self) -> list[int]:
        """Return the sizes of the bodies of all requests."""
        return self._ask("bodies\n")

    def close(self) -> None:
        """End the process."""
        self._process.kill()
        self._process.wait()
        self._process.stdin.close()
        self._process.stdout.close()


class MeteredHost:
    """A host as a process, whose memory and descriptors are read."""

    def __init__(self, process: subprocess.Popen, entry: str) -> None:
        self._process = process
        self.port = int(entry.rpartition(":")[2])

    def kill(self) -> None:
        """Kill the process."""
        self._process.kill()

    @property
    def is_running(self) -> bool:
        """Whether the process lives."""
        return self._process.poll() is None

    def held_bytes(self) -> int:
        """Return resident memory and unread bytes of callers; 0 if it has ended."""
        with suppress(FileNotFoundError, AttributeError):
            status = Path(f"/proc/{self._process.pid}/status").read_text()
            resident_kb = int(re.search(r"VmRSS:\s+(\d+) kB", status).group(1))
            return resident_kb * 1024 + self._unread_bytes()
        return 0

    def _unread_bytes(self) -> int:
        unread = 0
        local = f"0100007F:{self.port:04X}"
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            fields = line.split()
            if fields[1] == local and fields[3] != "0A":
                unread += int(fields[4].partition(":")[2], 16)
        return unread

    def files_count(self) -> int:
        """Return the number of open descriptors; 0 if it has ended."""
        with suppress(FileNotFoundError):
            return len(list(Path(f"/proc/{self._process.pid}/fd").iterdir()))
        return 0


class Host(MeteredHost):
    """A host as a process, with one runner and one service."""

    def __init__(
        self,
        upstream: Upstream,
        stack: ExitStack,
        settings: str = "",
        max_files_count: int | None = None,
    ) -> None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        tree = folder / "tree.toml"
        tree.write_text(TREE.format(key_hash=hash_key(KEY), address=upstream.address))
        ports = iter(_reserve_block(random.Random(time.time_ns()), stack))
        self.ready = f"127.0.0.1:{next(ports)}"
        path = folder / "host.toml"
        ready = self.ready.rpartition(":")[2]
        path.write_text(SETTINGS.format(tree=tree, more=settings, ready=ready))
        self.log_path = folder / "log"

        def lower_limit() -> None:
            if max_files_count is not None:
                limits = (max_files_count, max_files_count)
                resource.setrlimit(resource.RLIMIT_NOFILE, limits)

        process = subprocess.Popen(
            [
                *(sys.executable, "-m", "rampwick_router", str(path)),
                *("--log", str(self.log_path)),
            ],
            stdout=subprocess.PIPE,
            text=True,
            preexec_fn=lower_limit,
        )
        stack.callback(self._end)
        assert process.stdout is not None
        self._process = process
        line = process.stdout.readline()
        self.entry, self.admin = (
            re.search(rf"{name}[ =:]+([0-9.]+:[0-9]+)", line).group(1)
            for name in ("entry", "admin")
        )
        super().__init__(process, self.entry)

    def _end(self) -> None:
        self._process.kill()
        self._process.wait()
        self._process.stdout.close()

    def until_up(self) -> None:
        """Wait until the upstreams are known to be up."""
        deadline = time.monotonic() + 20.0
        while time.monotonic() < deadline:
            found = httpx.get(f"http://{self.admin}/status").json()["upstreams"]
            if all(item["belief"].startswith("up") for item in found):
                return
            time.sleep(0.05)
        raise TimeoutError(found)


class Caller:
    """One connection of a caller; what it sends ends when the host closes it."""

    def __init__(self, raw: socket.socket) -> None:
        self._raw = raw
        self._loop = asyncio.get_running_loop()
        self.received = b""

    async def send(self, data: bytes) -> None:
        """Send all bytes."""
        await self._loop.sock_sendall(self._raw, data)

    async def receive(self) -> bytes:
        """Return the next bytes; empty at the end."""
        return await self._loop.sock_recv(self._raw, READ_BYTES)

    async def read_on(self) -> None:
        """Read until the host ends the connection."""
        while data := await self.receive():
            self.received += data

    @property
    def status(self) -> int:
        """Status of the response; 0 if there is none."""
        found = re.match(rb"HTTP/1\.[01] (\d+)", self.received)
        return int(found.group(1)) if found else 0

    def close(self) -> None:
        """Close the connection."""
        self._raw.close()


#: What a caller does on its connection. It may return, which leaves it open.
Script = Callable[[Caller], Awaitable[None]]


@attrs.define
class Peaks:
    """The most that a host held."""

    held_bytes: int = 0
    files_count: int = 0


class Crowd:
    """Callers that each follow a script on a connection of their own."""

    def __init__(self, host: MeteredHost) -> None:
        self._host = host
        self.peaks = Peaks()
        self.callers: list[Caller] = []

    async def play(
        self,
        script: Script,
        callers_count: int,
        after: Callable[[], Awaitable[None]],
        play_seconds: float = PLAY_SECONDS,
    ) -> None:
        """Have callers follow a script, and leave them open while ``after`` runs."""
        sampling = asyncio.ensure_future(self._sample())
        playing = [
            asyncio.ensure_future(self._follow(script)) for _ in range(callers_count)
        ]
        await asyncio.wait(playing, timeout=play_seconds)
        for task in playing:
            task.cancel()
        await asyncio.gather(*playing, return_exceptions=True)
        await asyncio.sleep(SETTLE_SECONDS)
        try:
            await after()
        finally:
            for caller in self.callers:
                caller.close()
            sampling.cancel()

    async def _follow(self, script: Script) -> None:
        raw = socket.socket()
        raw.setblocking(False)
        caller = Caller(raw)
        self.callers.append(caller)
        address = ("127.0.0.1", self._host.port)
        with suppress(OSError):
            await asyncio.get_running_loop().sock_connect(raw, address)
            await script(caller)

    async def _sample(self) -> None:
        peaks = self.peaks
        while self._host.is_running:
            held_bytes = await asyncio.to_thread(self._host.held_bytes)
            peaks.held_bytes = max(peaks.held_bytes, held_bytes)
            peaks.files_count = max(peaks.files_count, self._host.files_count())
            if held_bytes > GIVE_UP_BYTES:
                self._host.kill()
            await asyncio.sleep(SAMPLE_SECONDS)


async def ask(address: str, path: str = "/services/labels/x") -> int:
    """Send one ordinary request; return the status, or 0 without an answer."""
    headers = {"authorization": f"Bearer {KEY}"}
    try:
        async with httpx.AsyncClient(trust_env=False, verify=False) as client:
            url = f"http://{address}{path}"
            answer = await client.get(url, headers=headers, timeout=GIVE_UP_SECONDS)
            return answer.status_code
    except httpx.HTTPError:
        return 0


if __name__ == "__main__":
    Server().run()
