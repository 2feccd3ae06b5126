"""HTTP/1.1 connections that serve a request as such whatever else its caller offers."""

import h11
import hypercorn.protocol
from hypercorn.protocol.h11 import H11Protocol


class PlainH11Protocol(H11Protocol):
    """Ignores offers of a websocket, as a server may.

    The base class hands such a request to the application as a websocket, which no
    upstream speaks, and answers it with an empty error.
    """

    async def _create_stream(self, request: h11.Request) -> None:
        await super()._create_stream(_without_websocket(request))


def _without_websocket(request: h11.Request) -> h11.Request:
    headers = list(request.headers)
    kept = [item for item in headers if not _offers_websocket(*item)]
    if len(kept) == len(headers):
        return request
    return h11.Request(
        method=request.method,
        target=request.target,
        headers=kept,
        http_version=request.http_version,
    )


def _offers_websocket(name: bytes, value: bytes) -> bool:
    return name == b"upgrade" and value.strip().lower() == b"websocket"


def ignore_websockets() -> None:
    """Make hypercorn use this protocol; it has no setting for it."""
    hypercorn.protocol.H11Protocol = PlainH11Protocol  # type: ignore[misc]
