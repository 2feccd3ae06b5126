"""The daemon: its parts put together, its tasks run, its stop carried out."""

import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config

from rampwick_platform import HttpObjectApi, ObjectApi, TreeStore
from rampwick_policy import ConfigurationFollower, Scheduler
from rampwick_schema import Settings

from ._admin import AdminApp
from ._claims import ClaimTask
from ._configuration import ConfigurationTask
from ._entry import EntryApp
from ._fallback import read_fallback
from ._life import Life
from ._logs import PartLogger
from ._metrics import Metrics
from ._parts import Parts, RequestIds
from ._peer_stream import PeerIdentity
from ._peers import PeerTask
from ._scheduler_task import SchedulerTask
from ._steward import StewardTask
from ._stream_tokens import StreamTokens
from ._upstream_client import UpstreamClient
from ._upstream_tasks import CancelTask, HostListTask, ProbeTask

#: Time between two looks at whether all requests have been served out.
DRAIN_STEP_SECONDS = 0.05

#: Time that the HTTP library is given to close idle connections.
CLOSE_SECONDS = 0.5

log = PartLogger("life")


@attrs.frozen
class Clocks:
    """Where the daemon reads time, in seconds."""

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time


@attrs.frozen
class Addresses:
    """Where a running daemon listens, as ip:port."""

    entry: str
    admin: str
    peer: str


class Daemon:
    """One rampwickd; ``run_daemon`` starts and stops it."""

    def __init__(
        self,
        settings: Settings,
        api: ObjectApi | None,
        upstreams: UpstreamClient,
        clocks: Clocks,
    ) -> None:
        self._settings = settings
        self._clocks = clocks
        self._metrics = Metrics()
        self.life = Life()
        self.follower = ConfigurationFollower()
        incarnation = time.time_ns()
        scheduler = Scheduler(settings)
        self.scheduler = SchedulerTask(scheduler, clocks.monotonic)
        self._hosts = HostListTask(
            api, self.scheduler, settings.platform.host_list_interval_seconds
        )
        store = TreeStore(api) if api else None
        self._configuration = ConfigurationTask(
            self.follower, store, settings, self.scheduler, clocks.monotonic
        )
        self._claims = ClaimTask(api, settings.claims, clocks.monotonic, clocks.wall)
        self._probes = ProbeTask(upstreams, self.scheduler)
        self._cancels = CancelTask(upstreams, self.scheduler)
        self.steward = StewardTask(
            api, settings, self.scheduler, upstreams, clocks.monotonic
        )
        host = settings.host
        self._peers = PeerTask(
            PeerIdentity(host.name, host.hall, incarnation),
            settings,
            self.scheduler,
            self.follower,
            self._configuration,
            self._metrics,
            self._hosts,
        )
        self._parts = Parts(
            settings=settings,
            scheduler=self.scheduler,
            follower=self.follower,
            upstreams=upstreams,
            claims=self._claims,
            metrics=self._metrics,
            tokens=StreamTokens(settings.peers.secret),
            ids=RequestIds(host.name, incarnation),
            life=self.life,
            read_clock=clocks.monotonic,
        )
        self.entry = EntryApp(self._parts)
        self.admin = AdminApp(
            self._parts,
            self.life,
            self._configuration,
            self._hosts,
            self.steward,
            lambda: getattr(api, "calls_count", 0),
        )

    def load_fallback(self) -> None:
        """Put the tree and upstreams of the settings in force until others come."""
        path = self._settings.life.fallback_tree
        if not path:
            return
        fallback = read_fallback(Path(path))
        self._hosts.offer(fallback.hosts)
        if self.follower.offer_fallback(fallback.tree):
            self._configuration.announce()

    async def start(self, tasks: TaskGroup, listeners: "Listeners") -> None:
        """Start all tasks; return once requests are taken."""
        tasks.start_soon(self.scheduler.run)
        self.load_fallback()
        tasks.start_soon(self._hosts.run)
        tasks.start_soon(self._configuration.run)
        tasks.start_soon(self._claims.run)
        tasks.start_soon(self._probes.run)
        tasks.start_soon(self._cancels.run)
        tasks.start_soon(self.steward.run)
        tasks.start_soon(self.entry.watch_callers)
        tasks.start_soon(self._peers.run, listeners.peer)
        log.info("started", host=self._settings.host.name)

    async def stop(self) -> None:
        """Carry out a planned stop once it has begun."""
        await self.life.wait_stopping()
        log.info("not ready, waiting for the balancer")
        self._peers.is_leaving = True
        await self._peers.tell_summary()
        await self.life.pause(self._settings.life.balancer_delay_seconds)
        self.entry.is_closed = True
        log.info("closed, serving out", open_count=self.entry.open_count)
        with anyio.move_on_after(self._settings.life.drain_timeout_seconds):
            while self.entry.open_count:
                # A hurried stop has each open request end itself with an error.
                await anyio.sleep(DRAIN_STEP_SECONDS)
        log.info("left", open_count=self.entry.open_count)


@attrs.frozen
class Listeners:
    """Bound sockets of one daemon."""

    entry: socket.socket
    admin: socket.socket
    peer: Any
    addresses: Addresses


@asynccontextmanager
async def run_daemon(
    settings: Settings, *, api: ObjectApi | None = None, clocks: Clocks | None = None
) -> AsyncIterator[tuple[Daemon, Addresses]]:
    """Run a daemon for the length of the context; leaving it stops it hard.

    To stop it gently, call ``daemon.life.begin_stop()`` and await ``daemon.stop()``
    within the context.
    """
    async with AsyncExitStack() as stack:
        if api is None and settings.platform.url:
            api = await stack.enter_async_context(
                HttpObjectApi(
                    settings.platform.url,
                    call_timeout_seconds=settings.platform.call_timeout_seconds,
                    calls_per_second=settings.platform.calls_per_second,
                )
            )
        upstreams = await stack.enter_async_context(
            UpstreamClient(
                settings.retry.silence_timeout_seconds, settings.limits.max_event_bytes
            )
        )
        listeners = await _listen(settings, stack)
        daemon = Daemon(settings, api, upstreams, clocks or Clocks())
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        await daemon.start(tasks, listeners)
        await _start_servers(settings, daemon, listeners, tasks, stack)
        yield daemon, listeners.addresses


async def _listen(settings: Settings, stack: AsyncExitStack) -> Listeners:
    listen = settings.listen
    entry = _bind(listen.address, listen.entry_port)
    stack.callback(entry.close)
    admin = _bind(listen.address, listen.admin_port)
    stack.callback(admin.close)
    peer = await anyio.create_tcp_listener(
        local_host=listen.address, local_port=listen.peer_port, reuse_port=False
    )
    await stack.enter_async_context(peer)
    peer_port = peer.extra(anyio.abc.SocketAttribute.local_port)
    addresses = Addresses(
        _address(entry), _address(admin), f"{listen.address}:{peer_port}"
    )
    return Listeners(entry, admin, peer, addresses)


def _bind(address: str, port: int) -> socket.socket:
    listener = socket.create_server((address, port), backlog=1024)
    listener.setblocking(False)
    return listener


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def _start_servers(
    settings: Settings,
    daemon: Daemon,
    listeners: Listeners,
    tasks: TaskGroup,
    stack: AsyncExitStack,
) -> None:
    closing = anyio.Event()
    for app, listener in (
        (daemon.entry, listeners.entry),
        (daemon.admin.app, listeners.admin),
    ):
        config = _server_config(settings, listener)
        tasks.start_soon(_serve, app, config, closing)

    stack.callback(closing.set)


def _server_config(settings: Settings, listener: socket.socket) -> Config:
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.h11_max_incomplete_size = settings.limits.max_header_bytes
    config.graceful_timeout = CLOSE_SECONDS
    config.keep_alive_timeout = 75
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


async def _serve(app: Any, config: Config, closing: anyio.Event) -> None:
    # Hypercorn runs in this process, without workers of its own. It ends by its
    # trigger only; cancelled halfway it raises errors.
    with anyio.CancelScope(shield=True):
        await serve(app, config, shutdown_trigger=closing.wait)
