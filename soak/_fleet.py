"""Processes of one run; each is signalled and killed by its own process id only."""

import json
import random
import signal
import socket
import subprocess
import sys
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from anyio.abc import TaskGroup

from rampwick_platform import HttpObjectApi
from rampwick_schema import HostEntry, QuotaSettings, unstructure

from ._proxy import LOOPBACK, Proxy

HALLS = ("trnava", "nitra")

#: Model of the stand-in runners, and the API key of all callers.
MODEL = "lektor"
KEY = "the soak's key"

#: Prompt that crashes any runner that runs it.
CRASHING_PROMPT = "a prompt that no runner survives"
RUNNER_ARGUMENTS = ("runner", "--deadly-text", CRASHING_PROMPT)

#: Enforcement of limits, and the key of the callers whose requests are limited.
QUOTA = QuotaSettings(window_seconds=8.0, over_ratio=0.1, slack_tokens=10.0)
LIMITED_KEY = "the limited callers' key"

#: Range of ports, below the kernel's ephemeral ports.
PORTS = (20_000, 31_000)

#: Ports of one run, enough for a few hundred processes. Each concurrent run reserves
#: a block by binding its first port. Without that, a port that was free when it was
#: drawn was bound by a process of another run before its own process had started.
BLOCK_PORTS = 1000

#: Time limit for a process to listen.
START_TIMEOUT_SECONDS = 20.0

#: Characters of the log in the error for a stand-in that does not respond.
LOG_TAIL_CHARACTERS = 4000

#: Time limit for a process to exit.
STOP_TIMEOUT_SECONDS = 15.0

SETTINGS_TEMPLATE = """
[host]
name = "{name}"
hall = "{hall}"
region = "soak"
[listen]
entry_port = {entry}
admin_port = {admin}
peer_port = {peer}
[platform]
url = "http://{platform}"
host_list_interval_seconds = 0.3
call_timeout_seconds = 1.0
calls_per_second = 200.0
watch_timeout_seconds = 2.0
[peers]
secret = "the soak's secret"
advertised_address = "{advertised}"
seeds = {seeds}
gossip_interval_seconds = 0.2
dead_after_seconds = 1.5
[quota]
window_seconds = {window_seconds}
over_ratio = {over_ratio}
slack_tokens = {slack_tokens}
[placement]
isolates_prefill = true
[queue]
estimates_start = true
[retry]
silence_timeout_seconds = 1.5
[steward]
lease_seconds = 2.0
[life]
balancer_delay_seconds = 0.3
drain_timeout_seconds = 5.0
stop_within_seconds = 8.0
"""


@attrs.frozen
class FleetSize:
    """Number of processes of each kind, and of callers."""

    hosts_count: int = 3
    runners_count: int = 3
    callers_count: int = 6


@attrs.define
class ManagedProcess:
    """One process, which can be started again on the same ports."""

    name: str
    arguments: tuple[str, ...]
    port: int
    log: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.arguments], stdout=log, stderr=log
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.process is not None and self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process, also when it is paused, and wait for its exit."""
        if self.process is not None and self.is_running:
            self.process.kill()
            self.process.wait(STOP_TIMEOUT_SECONDS)

    async def wait_started(self) -> None:
        """Wait until the process accepts connections; raise if it has exited.

        If it has exited, the listener on its port belongs to another process.
        """
        await self.wait_listening()
        if not self.is_running:
            raise RuntimeError(f"{self.name} has exited: {self.log_tail()}")

    def log_tail(self) -> str:
        """Return the exit code, if the process has exited, and the end of its log."""
        code = self.process.poll() if self.process is not None else None
        log = self.log.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
        return f"exit code {code}: {log}"

    async def wait_exited(self) -> bool:
        """Wait for the exit; return whether it happened within the time limit."""
        with anyio.move_on_after(STOP_TIMEOUT_SECONDS):
            while self.is_running:
                await anyio.sleep(0.02)
        return not self.is_running

    async def wait_listening(self) -> None:
        """Wait until the port accepts connections."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            while True:
                try:
                    async with await anyio.connect_tcp(LOOPBACK, self.port):
                        return
                except OSError:
                    await anyio.sleep(0.02)


class Fleet:
    """All processes and the proxies between them."""

    def __init__(
        self, size: FleetSize, rng: random.Random, directory: Path, stack: ExitStack
    ) -> None:
        self._rng = rng
        self._directory = directory
        self._stack = stack
        self._block = _reserve_block(rng, stack)
        self._reserved_ports: set[int] = set()
        # No TLS is used here, and loading certificates is slow.
        self._client = httpx.AsyncClient(trust_env=False, verify=False, timeout=5.0)
        self.platform = self._standin_process(
            "platform", self._standin_arguments("platform")
        )
        self.runners = [
            self._standin_process(
                f"r{number}",
                self._standin_arguments(*RUNNER_ARGUMENTS, "--name", f"r{number}"),
            )
            for number in range(size.runners_count)
        ]
        self.service = self._standin_process(
            "portal", self._standin_arguments("service")
        )
        self.hosts = [
            self._host_process(f"e{number}") for number in range(size.hosts_count)
        ]
        self.to_platform = {
            host.name: self._proxy(f"{host.name} to platform", self.platform.port)
            for host in self.hosts
        }
        self.to_peer = {
            host.name: self._proxy(f"peers to {host.name}", self.ports(host)["peer"])
            for host in self.hosts
        }
        self.to_upstream = {
            child.name: self._proxy(f"hosts to {child.name}", child.port)
            for child in [*self.runners, self.service]
        }
        #: Links of each host to the upstreams, by their names.
        self.own_links = {
            host.name: {
                name: self._proxy(f"{host.name} to {name}", proxy.port)
                for name, proxy in self.to_upstream.items()
            }
            for host in self.hosts
        }
        self.leaving: set[str] = set()

    @property
    def processes(self) -> list[ManagedProcess]:
        """All processes."""
        return [self.platform, *self.runners, self.service, *self.hosts]

    @property
    def proxies(self) -> list[Proxy]:
        """All proxies."""
        return [
            *self.to_platform.values(),
            *self.to_peer.values(),
            *self.to_upstream.values(),
            *(link for links in self.own_links.values() for link in links.values()),
        ]

    @property
    def platform_url(self) -> str:
        """URL of the platform without a proxy."""
        return f"http://{LOOPBACK}:{self.platform.port}"

    def ports(self, host: ManagedProcess) -> dict[str, int]:
        """Return a host's ports for callers, operators and peers."""
        return {
            "entry": host.port,
            "admin": host.port + 1,
            "peer": host.port + 2,
        }

    def entry_url(self, host: ManagedProcess) -> str:
        """Return the URL at which callers reach a host."""
        return f"http://{LOOPBACK}:{host.port}"

    def clock_file(self, host: ManagedProcess) -> Path:
        """Return the file with the offset of a host's wall clock in seconds."""
        return self._directory / f"{host.name}.clock"

    async def start(self, tasks: TaskGroup) -> None:
        """Start proxies and processes; return once all listen."""
        for proxy in self.proxies:
            await proxy.run(tasks)
        for host in self.hosts:
            self._write_settings(host)
        for child in self.processes:
            child.start()
        for child in self.processes:
            await child.wait_started()
        await self.publish()

    async def publish(self) -> None:
        """Write the current host list to the platform."""
        body = [unstructure(entry) for entry in self._entries()]
        response = await self._client.put(f"{self.platform_url}/v1/hosts", json=body)
        response.raise_for_status()

    async def list_odd_host(self, raw: bytes) -> None:
        """Have the host list contain JSON of another writer; remove it if empty."""
        url = f"{self.platform_url}/odd"
        (await self._client.post(url, content=raw)).raise_for_status()

    async def post(self, child: ManagedProcess, path: str, data: object = None) -> None:
        """Send a command to a stand-in, such as the faults to apply."""
        url = f"http://{LOOPBACK}:{child.port}{path}"
        try:
            (await self._client.post(url, json=data)).raise_for_status()
        except httpx.HTTPError as error:
            message = f"{child.name} did not respond to {path}: {child.log_tail()}"
            raise RuntimeError(message) from error

    async def get_json(self, port: int, path: str) -> object:
        """Return the JSON document at a path of a process."""
        response = await self._client.get(f"http://{LOOPBACK}:{port}{path}")
        return response.json()

    def open_api(self) -> HttpObjectApi:
        """Return a platform client of an operator; use it as a context manager."""
        return HttpObjectApi(
            self.platform_url, call_timeout_seconds=2.0, calls_per_second=1000.0
        )

    def _entries(self) -> list[HostEntry]:
        entries = [
            HostEntry(host.name, "entry", self._hall(host), proxy.address)
            for host in self.hosts
            for proxy in [self.to_peer[host.name]]
        ]
        for index, runner in enumerate(self.runners):
            hall = HALLS[index % len(HALLS)]
            entry = HostEntry(
                runner.name, "runner", hall, self.to_upstream[runner.name].address
            )
            if runner.name in self.leaving:
                entry = attrs.evolve(entry, state="leaving")
            entries.append(entry)
        address = self.to_upstream[self.service.name].address
        portal = HostEntry("portal", "service", HALLS[0], address, group="portal")
        return [*entries, portal]

    def _hall(self, host: ManagedProcess) -> str:
        return HALLS[self.hosts.index(host) % len(HALLS)]

    def _standin_arguments(self, *arguments: str) -> tuple[str, ...]:
        return ("-m", "rampwick_standin", *arguments, "--port")

    def _standin_process(self, name: str, arguments: tuple[str, ...]) -> ManagedProcess:
        port = self._draw_ports(1)
        child = ManagedProcess(
            name, (*arguments, str(port)), port, self._directory / f"{name}.log"
        )
        self._stack.callback(child.kill)
        return child

    def _host_process(self, name: str) -> ManagedProcess:
        settings = self._directory / f"{name}.toml"
        clock = self._directory / f"{name}.clock"
        clock.write_text("0")
        links = self._directory / f"{name}.links.json"
        arguments = ("-m", "soak._host", str(settings), str(clock), str(links))
        log = self._directory / f"{name}.log"
        child = ManagedProcess(name, arguments, self._draw_ports(3), log)
        self._stack.callback(child.kill)
        return child

    def _proxy(self, name: str, target_port: int) -> Proxy:
        return Proxy(name, self._draw_ports(1), target_port)

    def _write_settings(self, host: ManagedProcess) -> None:
        seeds = [proxy.address for proxy in self.to_peer.values()]
        text = SETTINGS_TEMPLATE.format(
            name=host.name,
            hall=self._hall(host),
            platform=self.to_platform[host.name].address,
            advertised=self.to_peer[host.name].address,
            seeds=json.dumps(seeds),
            window_seconds=QUOTA.window_seconds,
            over_ratio=QUOTA.over_ratio,
            slack_tokens=QUOTA.slack_tokens,
            **self.ports(host),
        )
        (self._directory / f"{host.name}.toml").write_text(text)
        links = {
            self.to_upstream[name].address: link.address
            for name, link in self.own_links[host.name].items()
        }
        (self._directory / f"{host.name}.links.json").write_text(json.dumps(links))

    def _draw_ports(self, count: int) -> int:
        """Return the first of `count` consecutive free ports."""
        while True:
            first = self._rng.choice(self._block[:-count])
            wanted = range(first, first + count)
            if not self._reserved_ports & set(wanted) and all(map(_is_free, wanted)):
                self._reserved_ports |= set(wanted)
                return first


def _reserve_block(rng: random.Random, stack: ExitStack) -> range:
    """Reserve a block of ports for this run until the stack closes."""
    firsts = list(range(*PORTS, BLOCK_PORTS))
    rng.shuffle(firsts)
    for first in firsts:
        holder = stack.enter_context(socket.socket())
        try:
            holder.bind((LOOPBACK, first))
        except OSError:
            continue
        return range(first + 1, first + BLOCK_PORTS)
    raise RuntimeError(f"all {len(firsts)} port blocks are reserved by other runs")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
