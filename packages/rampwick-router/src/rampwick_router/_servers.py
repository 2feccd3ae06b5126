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
from ._caller_sockets import CallerListener
from ._http1 import ignore_websockets
from ._http2 import reset_cut_streams

#: Time that the HTTP server is given to close idle connections.
CLOSE_TIMEOUT_SECONDS = 0.5

#: Longest time for callers' connections to be closed in order, before the server ends
#: them, and for how long nothing may have arrived or waited by then.
SETTLE_TIMEOUT_SECONDS = 0.5
QUIET_SECONDS = 0.05
SETTLE_CHECK_SECONDS = 0.005

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
    #: Returns for how long, at most, the shutdown may close connections in order.
    read_settle_seconds: Callable[[], float]
    connections: CallerConnections


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
    stack.push_async_callback(_close, callers, options, closing, ended)


async def _close(
    callers: CallerListener,
    options: CallerServerOptions,
    closing: anyio.Event,
    ended: Sequence[anyio.Event],
) -> None:
    with anyio.CancelScope(shield=True):
        await _settle(callers, options)
    closing.set()
    with anyio.move_on_after(2 * CLOSE_TIMEOUT_SECONDS, shield=True):
        for has_ended in ended:
            await has_ended.wait()


async def _settle(callers: CallerListener, options: CallerServerOptions) -> None:
    """Close the callers' connections in order, and then their listener.

    Connections that arrive meanwhile are served. A listener that is closed before its
    queue is empty resets the connections in it.
    """
    connections = options.connections
    await connections.close_idle()
    quiet_since_seconds = anyio.current_time()
    with anyio.move_on_after(options.read_settle_seconds()):
        while anyio.current_time() - quiet_since_seconds < QUIET_SECONDS:
            await anyio.sleep(SETTLE_CHECK_SECONDS)
            if callers.has_waiting() or connections.holds_bytes():
                quiet_since_seconds = anyio.current_time()
        callers.stop_accepting()
        while connections.open_count:
            await anyio.sleep(SETTLE_CHECK_SECONDS)
    callers.stop_accepting()


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
