"""Most new connections go to one host: how many requests a first try serves.

``python -m measure herd [--calm-rate R] [--herd-rate R] [--burst N] [--seconds S]``

Starts a platform, runners and three hosts as processes. Callers open a connection for
each request, evenly over the hosts, then most of them at the first host and more often,
beginning with a burst. A request that is not read is tried at another host.
"""

import argparse
import hashlib
import random
import statistics
import tempfile
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from anyio.abc import TaskGroup
from tools.demo import Processes

from rampwick_platform import HttpObjectApi, TreeStore
from rampwick_schema import HostEntry, Node, NodeEdit, unstructure

HOSTS_COUNT = 3
RUNNERS_COUNT = 4
#: Share of new connections that one host gets.
SKEWED_RATIO = 0.85
#: Tries of a request that no host reads.
MAX_TRIES = 3
CONNECT_TIMEOUT_SECONDS = 1.0
#: Time without any byte of an answer after which a request counts as not read.
UNREAD_TIMEOUT_SECONDS = 1.0
REQUEST_TIMEOUT_SECONDS = 5.0
ANSWER_TOKENS = 4
#: Long streams that stay open at each host.
OPEN_STREAMS_COUNT = 4
STREAM_TOKENS = 250
STEP_SECONDS = 0.02
START_SECONDS = 20.0
KEY = "the herd's key"

SETTINGS = """
[host]
name = "{name}"
hall = "trnava"
[platform]
url = "{platform}"
host_list_interval_seconds = 0.5
[peers]
secret = "the herd's secret"
[life]
balancer_delay_seconds = 0.2
"""


@attrs.define
class Phase:
    """What callers saw of the requests of one phase."""

    name: str
    sent_count: int = 0
    #: Requests that the host of some try has read, and those that this try served.
    read_count: int = 0
    served_count: int = 0
    #: Requests that only a later try was read of, and those that no try was read of.
    moved_count: int = 0
    unread_count: int = 0
    waits_seconds: list[float] = attrs.field(factory=list)
    #: Largest pause of each long stream that was open in the phase.
    pauses_seconds: list[float] = attrs.field(factory=list)

    def describe(self) -> str:
        """Return a line with the figures."""
        waits = sorted(self.waits_seconds) or [float("nan")]
        pauses = self.pauses_seconds or [float("nan")]
        return (
            f"{self.name:6s} sent {self.sent_count:5d}  read {self.read_count:5d}"
            f"  served of those {self.served_count / max(1, self.read_count):.3f}"
            f"  at a later host {self.moved_count:4d}  unread {self.unread_count:4d}"
            f"  first byte p50 {statistics.median(waits) * 1000:5.0f} ms"
            f"  p99 {waits[int(len(waits) * 0.99)] * 1000:5.0f} ms"
            f"  longest pause of open streams {max(pauses) * 1000:5.0f} ms"
        )


@attrs.frozen
class SkewedLoadOptions:
    """Load of a run."""

    calm_rate: float
    herd_rate: float
    burst_count: int
    seconds: float
    seed: int


class SkewedLoad:
    """Callers of one run."""

    def __init__(self, hosts: list[str], options: SkewedLoadOptions) -> None:
        self._hosts = hosts
        self._options = options
        self._rng = random.Random(options.seed)
        self._count = 0
        self._phase = Phase("start")

    async def run(self) -> list[Phase]:
        """Run the calm phase and the herd; return what callers saw of them."""
        calm, herd = Phase("calm"), Phase("herd")
        async with anyio.create_task_group() as tasks:
            for host in self._hosts:
                for _ in range(OPEN_STREAMS_COUNT):
                    tasks.start_soon(self._stream, host)
            await anyio.sleep(1.0)
            await self._arrive(calm, self._options.calm_rate, 1 / HOSTS_COUNT, 0)
            await self._arrive(
                herd, self._options.herd_rate, SKEWED_RATIO, self._options.burst_count
            )
            tasks.cancel_scope.cancel()
        return [calm, herd]

    async def _arrive(
        self, phase: Phase, rate: float, first_ratio: float, burst_count: int
    ) -> None:
        self._phase = phase
        async with anyio.create_task_group() as tasks:
            for _ in range(burst_count):
                tasks.start_soon(self._request, phase, self._hosts)
            ends_seconds = time.monotonic() + self._options.seconds
            while time.monotonic() < ends_seconds:
                self._start_request(tasks, phase, first_ratio)
                await anyio.sleep(self._rng.expovariate(rate))

    def _start_request(
        self, tasks: TaskGroup, phase: Phase, first_ratio: float
    ) -> None:
        first, *others = self._hosts
        self._rng.shuffle(others)
        order = [first, *others]
        if self._rng.random() >= first_ratio:
            order = [*others, first]
        tasks.start_soon(self._request, phase, order)

    async def _request(self, phase: Phase, hosts: list[str]) -> None:
        phase.sent_count += 1
        self._count += 1
        prompt = f"a guide that all share {self._count}"
        began_seconds = time.monotonic()
        for number, host in enumerate(hosts[:MAX_TRIES]):
            answer = await self._try(host, prompt, ANSWER_TOKENS)
            if answer is None:
                continue
            phase.read_count += 1
            phase.served_count += answer.is_served
            phase.moved_count += number > 0
            phase.waits_seconds.append(answer.first_at_seconds - began_seconds)
            return
        phase.unread_count += 1

    async def _try(self, host: str, prompt: str, tokens: int) -> "Answer | None":
        """Return the answer, or None if the host has not read the request."""
        address, _, port = host.rpartition(":")
        answer = Answer()
        try:
            with anyio.fail_after(CONNECT_TIMEOUT_SECONDS):
                connection = await anyio.connect_tcp(address, int(port))
            async with connection:
                await connection.send(request_bytes(prompt, tokens))
                with anyio.fail_after(UNREAD_TIMEOUT_SECONDS):
                    answer.note(await connection.receive())
                with anyio.move_on_after(REQUEST_TIMEOUT_SECONDS):
                    while not answer.is_whole:
                        answer.note(await connection.receive())
        except (OSError, TimeoutError, anyio.EndOfStream, anyio.BrokenResourceError):
            return answer if answer.first_at_seconds else None
        return answer

    async def _stream(self, host: str) -> None:
        """Keep a stream open at a host on one connection, and record its pauses."""
        while True:
            try:
                await self._read_stream(host)
            except (OSError, anyio.EndOfStream, anyio.BrokenResourceError):
                await anyio.sleep(STEP_SECONDS)

    async def _read_stream(self, host: str) -> None:
        address, _, port = host.rpartition(":")
        async with await anyio.connect_tcp(address, int(port)) as connection:
            await connection.send(request_bytes(f"long at {host}", STREAM_TOKENS))
            await connection.receive()
            last_seconds = time.monotonic()
            while True:
                data = await connection.receive()
                now_seconds = time.monotonic()
                self._phase.pauses_seconds.append(now_seconds - last_seconds)
                last_seconds = now_seconds
                if b"[DONE]" in data:
                    return


@attrs.define
class Answer:
    """The bytes of one answer."""

    first_at_seconds: float = 0.0
    _data: bytes = b""

    def note(self, data: bytes) -> None:
        """Record received bytes."""
        self.first_at_seconds = self.first_at_seconds or time.monotonic()
        self._data += data

    @property
    def is_served(self) -> bool:
        """Whether it is a complete answer with success."""
        return self._data.startswith(b"HTTP/1.1 200") and self.is_whole

    @property
    def is_whole(self) -> bool:
        """Whether it is complete."""
        return b"[DONE]" in self._data or (
            not self._data.startswith(b"HTTP/1.1 200") and b"\r\n\r\n" in self._data
        )


def request_bytes(prompt: str, tokens: int) -> bytes:
    """Return a streaming request."""
    body = (
        f'{{"model":"lektor","prompt":"{prompt}","max_tokens":{tokens},"stream":true}}'
    )
    return (
        "POST /v1/completions HTTP/1.1\r\nhost: h\r\nconnection: close\r\n"
        f"authorization: Bearer {KEY}\r\ncontent-type: application/json\r\n"
        f"content-length: {len(body)}\r\n\r\n{body}"
    ).encode()


async def start_fleet(processes: Processes, directory: Path) -> list[str]:
    """Start all processes; return the hosts' addresses for callers."""
    standin = ("-m", "rampwick_standin")
    platform = "http://" + processes.start("platform", *standin, "platform").split()[-1]
    entries = []
    for index in range(RUNNERS_COUNT):
        name = f"runner-{index}"
        options = ("--step-seconds", str(STEP_SECONDS), "--slots-count", "64")
        line = processes.start(name, *standin, "runner", "--name", name, *options)
        entries.append(HostEntry(name, "runner", "trnava", line.split()[-1]))
    hosts = []
    for index in range(HOSTS_COUNT):
        name = f"h{index}"
        path = directory / f"{name}.toml"
        path.write_text(SETTINGS.format(name=name, platform=platform))
        arguments = ("-m", "rampwick_router", str(path), "--log", str(directory / name))
        line = processes.start(name, *arguments)
        addresses = dict(word.split("=") for word in line.split() if "=" in word)
        entries.append(HostEntry(name, "entry", "trnava", addresses["peer"]))
        hosts.append(addresses["entry"])
    body = [unstructure(entry) for entry in entries]
    httpx.put(f"{platform}/v1/hosts", json=body).raise_for_status()
    await create_tree(platform)
    for host in hosts:
        await wait_serving(host)
    return hosts


async def create_tree(platform: str) -> None:
    """Create one workspace."""
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    edits = [NodeEdit("/w", Node(is_workspace=True, key_hashes=[key_hash]))]
    async with HttpObjectApi(
        platform, call_timeout_seconds=2.0, calls_per_second=100.0
    ) as api:
        await TreeStore(api).propose(
            lambda tree: edits, author="herd", base_revision=None, now_seconds=0.0
        )


async def wait_serving(host: str) -> None:
    """Wait until a host serves from all runners."""
    ends_seconds = time.monotonic() + START_SECONDS
    served_count = 0
    while served_count < 2 * RUNNERS_COUNT:
        if time.monotonic() > ends_seconds:
            raise RuntimeError(f"{host} does not serve")
        body = {"model": "lektor", "prompt": str(served_count), "max_tokens": 1}
        response = httpx.post(
            f"http://{host}/v1/completions",
            json=body,
            headers={"Authorization": f"Bearer {KEY}"},
        )
        served_count += response.status_code == 200
        await anyio.sleep(0.05)


def main(argv: Sequence[str]) -> None:
    """Print a line for each phase."""
    parser = argparse.ArgumentParser(prog="python -m measure herd")
    parser.add_argument("--calm-rate", type=float, default=45.0)
    parser.add_argument("--herd-rate", type=float, default=90.0)
    parser.add_argument("--burst", type=int, default=300)
    parser.add_argument("--seconds", type=float, default=6.0)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args(argv)
    options = SkewedLoadOptions(
        arguments.calm_rate,
        arguments.herd_rate,
        arguments.burst,
        arguments.seconds,
        arguments.seed,
    )
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = Processes(stack)

        async def run() -> list[Phase]:
            hosts = await start_fleet(processes, directory)
            return await SkewedLoad(hosts, options).run()

        for phase in anyio.run(run):
            print(phase.describe())
