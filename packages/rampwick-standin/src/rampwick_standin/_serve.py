"""Serving an ASGI application on a loopback port."""

import logging
import signal
import socket
from collections.abc import Callable
from typing import Any

import anyio
import anyio.abc
from hypercorn.asyncio import serve
from hypercorn.config import Config

LOOPBACK = "127.0.0.1"


def bind_loopback(port: int = 0) -> socket.socket:
    """Return a listening socket; port 0 selects a free port."""
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((LOOPBACK, port))
    listener.listen(256)
    return listener


def address_of(listener: socket.socket) -> str:
    """Return the address of a socket as ``ip:port``."""
    host, port = listener.getsockname()[:2]
    return f"{host}:{port}"


async def serve_app(
    app: Any, listener: socket.socket, shutdown: Callable[[], Any]
) -> None:
    """Serve until ``shutdown`` returns; broken connections are not logged."""
    logging.getLogger("hypercorn.error").setLevel(logging.CRITICAL)
    config = Config()
    config.bind = [f"fd://{listener.detach()}"]
    config.graceful_timeout = 0.2
    config.keep_alive_timeout = 75
    config.errorlog = None
    # Hypercorn raises errors if it is cancelled; only its trigger stops it cleanly.
    with anyio.CancelScope(shield=True):
        await serve(app, config, shutdown_trigger=shutdown)


async def serve_forever(app: Any, port: int, label: str) -> None:
    """Print the address and serve on loopback until a signal or cancellation."""
    listener = bind_loopback(port)
    print(f"{label} {address_of(listener)}", flush=True)
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:

        async def wait_signal() -> None:
            async for _ in signals:
                return

        await serve_app(app, listener, wait_signal)
