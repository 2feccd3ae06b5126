"""Daemons and stand-ins in one event loop on loopback, with fault injection."""

import hashlib
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

import anyio
import attrs
import httpx
from anyio.abc import TaskGroup

from rampwick_platform import HttpObjectApi, TreeStore
from rampwick_router import Addresses, Daemon, run_daemon
from rampwick_schema import HostEntry, Node, NodeEdit, Settings, parse_settings
from rampwick_standin import (
    EngineSettings,
    PlatformStandIn,
    RunnerStandIn,
    ServiceStandIn,
    address_of,
    bind_loopback,
    serve_app,
)

from .history import ObservedAttempt, ObservedResponse, read_stream

KEY = "key-labels"
OTHER_KEY = "key-drafts"
SECRET = "a secret of the tests"

#: Time-out of one step of a test.
TEST_TIMEOUT_SECONDS = 20.0


def hash_key(key: str) -> str:
    """Return a key's hash as stored in the tree."""
    return hashlib.sha256(key.encode()).hexdigest()


def workspace_edits() -> list[NodeEdit]:
    """Return the edits that create two workspaces."""
    return [
        NodeEdit("/herbaria", Node()),
        NodeEdit(
            "/herbaria/labels",
            Node(is_workspace=True, key_hashes=[hash_key(KEY)]),
        ),
        NodeEdit(
            "/herbaria/drafts",
            Node(is_workspace=True, key_hashes=[hash_key(OTHER_KEY)]),
        ),
    ]


def make_settings(
    name: str, platform_url: str, extra: str = "", seeds: tuple[str, ...] = ()
) -> Settings:
    """Return settings with intervals short enough for tests."""
    text = f"""
[host]
name = "{name}"
hall = "trnava"
[platform]
url = "{platform_url}"
host_list_interval_seconds = 0.05
calls_per_second = 500.0
watch_timeout_seconds = 1.0
call_timeout_seconds = 1.0
[peers]
secret = "{SECRET}"
seeds = {list(seeds)!r}
gossip_interval_seconds = 0.05
dead_after_seconds = 0.5
[life]
balancer_delay_seconds = 0.0
"""
    return parse_settings(text + extra, source=name)


async def until(condition: Callable[[], object], step_seconds: float = 0.005) -> None:
    """Wait until a condition holds; fail after the time-out."""
    with anyio.fail_after(TEST_TIMEOUT_SECONDS):
        while not condition():
            await anyio.sleep(step_seconds)


@attrs.define
class Host:
    """A running daemon with its addresses and a client."""

    daemon: Daemon
    addresses: Addresses
    client: httpx.AsyncClient

    async def stream(self, prompt: str, **options) -> ObservedResponse:
        """Send a streaming request and return the received response."""
        return await send_stream(self.client, prompt, **options)

    async def until_ready(self, *runners: str) -> None:
        """Wait until the host has the tree and the incarnations of these runners."""
        await until(lambda: self.daemon.follower.revision >= 1)
        await until(lambda: all(self.is_available(name) for name in runners))

    def upstream(self, name: str):
        """Return the daemon's state of an upstream."""
        return self.daemon.scheduler._scheduler.upstreams.get(name)

    def is_available(self, name: str) -> bool:
        """Return whether a runner's incarnation is known."""
        found = self.upstream(name)
        return found is not None and found.cache_generation is not None

    def has_request_rate(self, name: str) -> bool:
        """Return whether an upstream has reported a request rate limit."""
        return self.daemon.scheduler.has_request_rate(name)

    async def complete(
        self, prompt: str = "a prompt", key: str = KEY, headers=None, **body
    ) -> httpx.Response:
        """Send a request without streaming."""
        data = {"model": "lektor", "prompt": prompt, "max_tokens": 4, **body}
        return await self.client.post(
            "/v1/completions",
            json=data,
            headers={"Authorization": f"Bearer {key}", **(headers or {})},
        )


async def send_stream(
    client: httpx.AsyncClient,
    prompt: str,
    *,
    key: str = KEY,
    headers: dict[str, str] | None = None,
    max_tokens: int = 4,
) -> ObservedResponse:
    """Send a streaming request and return the received response."""
    body = {
        "model": "lektor",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    own = {"Authorization": f"Bearer {key}", **(headers or {})}
    answer = await client.post("/v1/completions", json=body, headers=own)
    idempotency_key = own.get("Idempotency-Key", "")
    return read_stream(prompt, answer.status_code, answer.content, key=idempotency_key)


class Bench:
    """Stand-ins and daemons of one test."""

    def __init__(self, tasks: TaskGroup) -> None:
        self.tasks = tasks
        self._closing = anyio.Event()
        self.platform = PlatformStandIn()
        self.platform_url = ""
        self.entries: dict[str, HostEntry] = {}
        self.runners: dict[str, RunnerStandIn] = {}
        self.services: dict[str, ServiceStandIn] = {}

    async def start(self) -> None:
        """Start the platform with a tree of two workspaces."""
        self.platform_url = "http://" + self.serve(self.platform.app)
        await self.edit(lambda tree: workspace_edits())

    def serve(self, app) -> str:
        """Serve an application; return its address."""
        listener = bind_loopback()
        address = address_of(listener)
        self.tasks.start_soon(serve_app, app, listener, self._closing.wait)
        return address

    async def edit(self, make_edits) -> None:
        """Change the tree as an operator would."""
        async with self.open_api() as api:
            await TreeStore(api).propose(
                make_edits, author="test", base_revision=None, now_seconds=0.0
            )

    def open_api(self) -> HttpObjectApi:
        """Return a client of the platform, to be entered."""
        return HttpObjectApi(
            self.platform_url, call_timeout_seconds=2.0, calls_per_second=1000.0
        )

    def add_runner(self, name: str, **options) -> RunnerStandIn:
        """Start a runner and add it to the host list."""
        options.setdefault("step_seconds", 0.001)
        settings = EngineSettings(name=name, **options)
        runner = RunnerStandIn(settings, self.tasks)
        self.runners[name] = runner
        self.list_entry(HostEntry(name, "runner", "trnava", self.serve(runner.app)))
        return runner

    def add_service(self, name: str, group: str) -> ServiceStandIn:
        """Start a plain service and add it to the host list."""
        service = ServiceStandIn(name)
        self.services[name] = service
        address = self.serve(service.app)
        self.list_entry(HostEntry(name, "service", "trnava", address, group=group))
        return service

    def set_state(self, name: str, state: str) -> None:
        """Set a host's state in the host list to live or leaving."""
        self.list_entry(attrs.evolve(self.entries[name], state=state))

    def list_entry(self, entry: HostEntry) -> None:
        """Add an entry to the host list, or replace it."""
        self.entries[entry.name] = entry
        self.platform.set_hosts(list(self.entries.values()))

    @asynccontextmanager
    async def run_host(
        self, name: str = "entry-1", extra: str = "", seeds: tuple[str, ...] = ()
    ) -> AsyncIterator[Host]:
        """Run a daemon, listed as entry host, until the context ends."""
        settings = make_settings(name, self.platform_url, extra, seeds)
        async with run_daemon(settings) as (daemon, addresses):
            self.list_entry(HostEntry(name, "entry", "trnava", addresses.peer))
            base_url = f"http://{addresses.entry}"
            async with httpx.AsyncClient(
                base_url=base_url, timeout=TEST_TIMEOUT_SECONDS, trust_env=False
            ) as client:
                yield Host(daemon, addresses, client)

    def attempts(self) -> list[ObservedAttempt]:
        """Return the attempts at all runners, over all their incarnations."""
        return [
            ObservedAttempt(
                runner=name,
                attempt_id=stream.attempt_id,
                text=stream.request.text,
                salt=stream.request.salt,
                cached_tokens=stream.cached_tokens,
                weights_version=stream.weights_version,
                incarnation=stream.incarnation,
            )
            for name, runner in self.runners.items()
            for stream in runner.engine.started
        ]

    def ran(self) -> list[str]:
        """Return the prompts that runners started, one per attempt."""
        return [attempt.text.decode() for attempt in self.attempts()]

    def close(self) -> None:
        """Stop all stand-ins."""
        self._closing.set()
        self.tasks.cancel_scope.cancel()


@asynccontextmanager
async def run_two_hosts(bench: Bench) -> AsyncIterator[tuple[Host, Host]]:
    """Run two hosts; yield them once they have discovered runners and each other."""
    async with (
        bench.run_host("entry-1") as one,
        bench.run_host("entry-2") as two,
    ):
        for host in (one, two):
            await host.until_ready(*bench.runners)
            await until(lambda host=host: host.daemon.scheduler.hosts_count == 2)
        yield one, two


@asynccontextmanager
async def run_bench() -> AsyncIterator[Bench]:
    """Run a bench until the context ends."""
    async with anyio.create_task_group() as tasks:
        bench = Bench(tasks)
        await bench.start()
        try:
            yield bench
        finally:
            bench.close()
