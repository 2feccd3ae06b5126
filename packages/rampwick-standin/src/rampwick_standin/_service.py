"""Simulated plain service that echoes calls and records them."""

import json
from collections.abc import AsyncIterator

import anyio
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route


async def _interrupted_body(part: bytes = b"") -> AsyncIterator[bytes]:
    if part:
        yield part
    raise ConnectionError("injected fault: response lost")


METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]


class ServiceStandIn:
    """A simulated plain service whose calls take a fixed time."""

    def __init__(self, name: str, call_seconds: float = 0.005) -> None:
        self.name = name
        self.call_seconds = call_seconds
        #: Method, path and body of every executed call, in order.
        self.calls: list[tuple[str, str, bytes]] = []
        #: Number of calls to execute without sending a response.
        self.lost_answers_count = 0
        #: Number of responses to cut, in turn with a stated length and chunks.
        self.cut_answers_count = 0
        self.is_busy = False
        self.app = Starlette(
            routes=[
                Route("/load", self._load),
                Route("/seen", self._seen),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/{path:path}", self._call, methods=METHODS),
            ]
        )

    async def _load(self, request: Request) -> Response:
        return Response(status_code=204)

    async def _seen(self, request: Request) -> Response:
        """Return the bodies of all executed calls, for external checks."""
        return JSONResponse([body.decode() for _, _, body in self.calls])

    async def _set_faults(self, request: Request) -> Response:
        data = json.loads(await request.body())
        self.cut_answers_count = data.get("cut_answers_count", 0)
        return Response(status_code=204)

    async def _call(self, request: Request) -> Response:
        if self.is_busy:
            return Response(status_code=429)
        body = await request.body()
        await anyio.sleep(self.call_seconds)
        self.calls.append((request.method, request.url.path, body))
        if self.lost_answers_count > 0:
            self.lost_answers_count -= 1
            return StreamingResponse(_interrupted_body())
        status = int(request.query_params.get("status", "200"))
        response_body = {
            "service": self.name,
            "path": request.url.path,
            "bytes": len(body),
        }
        response = JSONResponse(response_body, status_code=status)
        if self.cut_answers_count > 0:
            self.cut_answers_count -= 1
            # Without the stated length, the server sends chunks.
            headers = response.headers if self.cut_answers_count % 2 else None
            part = bytes(response.body[: len(response.body) // 2])
            return StreamingResponse(_interrupted_body(part), status, headers)
        return response
