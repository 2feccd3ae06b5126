"""Listening sockets of a daemon and their HTTP servers."""

import socket
from collections.abc import Callable, Sequence
from contextlib import AsyncExitStack
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup
from hypercorn.asyncio import serve
from hypercorn.config import Config, Sockets

from rampwick_schema import ListenSettings, ReprMixin
from rampwick_start import BACKLOG_COUNT, bind

from ._caller_connections import CallerConnections
from ._caller_server import use_caller_servers
from ._caller_sockets import (
    RECEIVE_BUFFER_BYTES,
    CallerListener,
    set_receive_buffer,
)
from ._http1 import ignore_websockets
from ._http2 import reset_cut_streams
from ._refused_connections import RefusedConnections

#: Time that the HTTP server is given to close idle connections.
CLOSE_TIMEOUT_SECONDS = 0.5

#: Interval between checks of the callers' connections in a shutdown. Its steps are
#: bounded by numbers of checks: an event loop that was late has handled little, however
#: long it took.
SETTLE_CHECK_SECONDS = 0.005

#: Checks at which nothing may have arrived or waited, until new connections are dropped
#: and after that, when only those that the kernel was opening can still come.
QUIET_CHECKS = 10
QUEUE_CHECKS = 2

#: Most checks until new connections are dropped, and from then until those that wait
#: are refused; most without any change until the server ends the connections that are
#: left.
MAX_QUIET_CHECKS = 50
MAX_QUEUE_CHECKS = 50
MAX_UNCHANGED_CHECKS = 100

#: Messages of a request that the server reads ahead of the application.
MAX_MESSAGES_COUNT = 2

#: Idle timeout of connections to the other applications; longer than the usual minute
#: of balancers, so that the balancer closes first.
KEEP_ALIVE_SECONDS = 75.0


@attrs.frozen(repr=False)
class Addresses(ReprMixin):
    """Listen addresses of a running daemon, as ip:port."""

    entry: str
    admin: str
    peer: str


@attrs.frozen(repr=False)
class Listeners(ReprMixin):
    """Bound sockets of one daemon."""

    entry: socket.socket
    admin: socket.socket
    #: Listener for a load balancer's readiness checks, if configured.
    ready: socket.socket | None
    peer: socket.socket
    addresses: Addresses


async def listen(
    settings: ListenSettings,
    stack: AsyncExitStack,
    entry: socket.socket | None = None,
) -> Listeners:
    """Bind all listeners and register their closing with the stack.

    ``entry`` is a listener for callers that is bound already, if any.
    """
    if entry is None:
        entry = bind(settings.entry or f"{settings.address}:{settings.entry_port}")
    stack.callback(entry.close)
    admin = bind(settings.admin or f"{settings.address}:{settings.admin_port}")
    stack.callback(admin.close)
    ready = None
    if settings.ready:
        ready = bind(settings.ready)
        stack.callback(ready.close)
    peer = bind(settings.peer or f"{settings.address}:{settings.peer_port}")
    stack.callback(peer.close)
    addresses = Addresses(_address(entry), _address(admin), _address(peer))
    return Listeners(entry, admin, ready, peer, addresses)


def _address(listener: socket.socket) -> str:
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


@attrs.frozen(repr=False)
class CallerServerOptions(ReprMixin):
    """How the callers' server treats connections."""

    #: Decides by the seconds that a connection waited whether it is closed unread.
    is_handed_on: Callable[[float], bool]
    #: Returns the idle timeout of a connection that has been idle for some seconds.
    max_idle_seconds: Callable[[float], float]
    #: Returns for how long, at most, the shutdown may close connections in order; it
    #: does not take that long unless something arrives, or is sent, all the time.
    read_settle_seconds: Callable[[], float]
    #: Returns whether the shutdown waits for requests, also those of peers.
    awaits_open_requests: Callable[[], bool]
    #: Returns a response to connections in the queue of the listener as it is closed.
    write_refusal: Callable[[], bytes]
    connections: CallerConnections
    #: Returns for how long the servers go on with what is open as they are stopped.
    read_close_seconds: Callable[[], float]


def serve_apps(
    served: Sequence[tuple[Any, socket.socket]],
    options: CallerServerOptions,
    max_header_bytes: int,
    tasks: TaskGroup,
    stack: AsyncExitStack,
) -> None:
    """Serve ASGI applications on bound sockets until the stack is closed.

    The servers shut down before any resource that is on the stack already, so that
    requests received by then can still complete. ``options`` are those of the callers,
    whom the first application serves.
    """
    use_caller_servers()
    ignore_websockets()
    reset_cut_streams()
    closing = anyio.Event()
    ended = []
    (app, bound), *others = served
    callers = CallerListener(
        bound.detach(), options.is_handed_on, options.connections.note_accepted
    )
    set_receive_buffer(callers, RECEIVE_BUFFER_BYTES)
    config = _server_config(callers, max_header_bytes, options.max_idle_seconds)
    config.connections = options.connections
    prepared = [(callers.with_sockets(app), config)]
    for app, bound in others:
        listener = CallerListener(bound.detach())
        config = _server_config(listener, max_header_bytes)
        prepared.append((listener.with_sockets(app), config))
    for app, config in prepared:
        has_ended = anyio.Event()
        ended.append(has_ended)
        tasks.start_soon(_serve, app, config, closing, has_ended)
    configs = [config for _, config in prepared]
    stack.push_async_callback(_close, callers, options, configs, closing, ended)


async def _close(
    callers: CallerListener,
    options: CallerServerOptions,
    configs: Sequence[Config],
    closing: anyio.Event,
    ended: Sequence[anyio.Event],
) -> None:
    refused = RefusedConnections(options.write_refusal)
    with anyio.CancelScope(shield=True):
        await _settle(callers, options, refused)
    close_seconds = options.read_close_seconds()
    for config in configs:
        config.graceful_timeout = close_seconds
    closing.set()
    with anyio.move_on_after(2 * CLOSE_TIMEOUT_SECONDS, shield=True):
        for has_ended in ended:
            await has_ended.wait()
    refused.close()


async def _settle(
    callers: CallerListener, options: CallerServerOptions, refused: RefusedConnections
) -> None:
    """Close the callers' connections in order, and then their listener.

    Connections that arrive meanwhile are served. Each wait has a bound of its own: the
    last one needs time, also where the kernel does not drop new connections.
    """
    settling = _Settling(callers, options, refused)
    await options.connections.close_idle()
    settle_seconds = options.read_settle_seconds()
    with anyio.move_on_after(settle_seconds):
        # Connections may go on arriving: what is left is needed to serve them.
        with anyio.move_on_after(settle_seconds / 2):
            await settling.wait_quiet()
        if callers.drop_new():
            with anyio.move_on_after(settle_seconds / 4):
                await settling.wait_queue_empty()
        callers.stop_accepting(refused)
        await settling.wait_ended()
    callers.stop_accepting(refused)


class _Settling:
    """Waits of a shutdown for the callers' connections."""

    def __init__(
        self,
        callers: CallerListener,
        options: CallerServerOptions,
        refused: RefusedConnections,
    ) -> None:
        self._callers = callers
        self._options = options
        self._refused = refused
        self._connections = options.connections

    async def wait_quiet(self) -> None:
        """Return when nothing waited, and nothing was held, at successive checks."""
        quiet_count = 0
        for _ in range(MAX_QUIET_CHECKS):
            await self._pause()
            is_quiet = not (
                self._callers.has_waiting() or self._connections.holds_bytes()
            )
            quiet_count = quiet_count + 1 if is_quiet else 0
            if quiet_count == QUIET_CHECKS:
                return

    async def wait_queue_empty(self) -> None:
        """Return when no connection waited at successive checks."""
        empty_count = 0
        for _ in range(MAX_QUEUE_CHECKS):
            await self._pause()
            is_empty = not self._callers.has_waiting()
            empty_count = empty_count + 1 if is_empty else 0
            if empty_count == QUEUE_CHECKS:
                return

    async def wait_ended(self) -> None:
        """Return when all connections have ended, or nothing changes any more."""
        unchanged_count = 0
        before: object = None
        while unchanged_count < MAX_UNCHANGED_CHECKS:
            if not self._options.read_settle_seconds():
                return
            await self._pause()
            awaits_requests = self._options.awaits_open_requests()
            refused_count = self._refused.count_open()
            open_count = self._connections.open_count + refused_count
            if not (open_count or awaits_requests):
                return
            now = open_count, self._connections.held_bytes()
            is_unchanged = now == before and not awaits_requests
            unchanged_count = unchanged_count + 1 if is_unchanged else 0
            before = now

    async def _pause(self) -> None:
        await anyio.sleep(SETTLE_CHECK_SECONDS)


class _ServerConfig(Config):
    """Configuration of a server on a listener that is bound already."""

    def __init__(
        self, listener: CallerListener, max_idle_seconds: Callable[[float], float]
    ) -> None:
        super().__init__()
        self._listener = listener
        #: Returns the idle timeout of a connection that has been idle for some seconds.
        self.max_idle_seconds = max_idle_seconds
        #: The connections of callers; None on the server of another application.
        self.connections: CallerConnections | None = None

    def create_sockets(self) -> Sockets:
        """Return the listener, listening."""
        self._listener.setblocking(False)
        self._listener.set_inheritable(True)
        return Sockets([], [self._listener], [])


def _default_max_idle(idle_seconds: float) -> float:
    return KEEP_ALIVE_SECONDS


def _server_config(
    listener: CallerListener,
    max_header_bytes: int,
    max_idle_seconds: Callable[[float], float] = _default_max_idle,
) -> _ServerConfig:
    config = _ServerConfig(listener, max_idle_seconds)
    # The server sets the length of the listener's queue again.
    config.backlog = BACKLOG_COUNT
    config.h11_max_incomplete_size = max_header_bytes
    config.max_app_queue_size = MAX_MESSAGES_COUNT
    config.graceful_timeout = CLOSE_TIMEOUT_SECONDS
    config.include_server_header = False
    config.errorlog = None
    config.accesslog = None
    return config


async def _serve(
    app: Any, config: _ServerConfig, closing: anyio.Event, has_ended: anyio.Event
) -> None:
    # Hypercorn runs in this process, without worker processes. It is shielded and
    # stopped only by its trigger, because it raises errors when it is cancelled.
    try:
        with anyio.CancelScope(shield=True):
            await serve(app, config, shutdown_trigger=closing.wait)
    finally:
        if config.connections is not None:
            config.connections.record_remaining()
        has_ended.set()
