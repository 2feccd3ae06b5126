"""HTTP interface of the simulated engine: OpenAI completions with a few extensions."""

import json
from collections.abc import AsyncIterator
from typing import Any

import anyio.abc
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from rampwick_schema import LoadReport, Order, structure, unstructure

from ._engine import Engine, EngineFaults, EngineRequest, EngineSettings, Stream

#: Output length of requests without ``max_tokens``.
DEFAULT_MAX_TOKENS = 16


class ConnectionCutError(Exception):
    """Raised to break the connection before the response is complete."""


class RunnerStandIn:
    """A simulated runner whose requests run in ``task_group``."""

    def __init__(
        self, settings: EngineSettings, task_group: anyio.abc.TaskGroup
    ) -> None:
        self.engine = Engine(settings)
        self._task_group = task_group
        self.app = Starlette(
            routes=[
                Route("/v1/completions", self._complete, methods=["POST"]),
                Route("/v1/chat/completions", self._complete, methods=["POST"]),
                Route("/v1/streams/{attempt_id}", self._resume, methods=["GET"]),
                Route("/v1/streams/{attempt_id}", self._cancel, methods=["DELETE"]),
                Route("/load", self._load),
                Route("/orders", self._order, methods=["PUT"]),
                Route("/faults", self._set_faults, methods=["POST"]),
                Route("/crash", self._crash, methods=["POST"]),
                Route("/leave", self._leave, methods=["POST"]),
                Route("/request-rate", self._set_rate, methods=["POST"]),
                Route("/seen", self._seen),
            ]
        )

    async def _complete(self, request: Request) -> Response:
        await self.engine.wait_unfrozen()
        if self.engine.faults.is_busy:
            return Response(status_code=429, headers={"Retry-After": "1"})
        body = json.loads(await request.body())
        engine_request = EngineRequest(
            attempt_id=request.headers["X-Request-Id"],
            text=prompt_text(body),
            salt=body.get("cache_salt", ""),
            max_tokens=body.get("max_tokens") or DEFAULT_MAX_TOKENS,
            priority=body.get("priority", 0),
        )
        if engine_request.attempt_id in self.engine.streams:
            return Response(status_code=409)
        stream = self.engine.open_stream(engine_request)
        self._task_group.start_soon(self.engine.run, engine_request)
        if self.engine.faults.loses_answers:
            raise ConnectionCutError
        return self._respond(stream, 0, is_chat="messages" in body)

    async def _resume(self, request: Request) -> Response:
        await self.engine.wait_unfrozen()
        stream = self.engine.streams.get(request.path_params["attempt_id"])
        if stream is None:
            return Response(status_code=404)
        position = int(request.query_params.get("position", "0"))
        is_chat = request.query_params.get("shape") == "chat"
        return self._respond(stream, position, is_chat)

    def _respond(self, stream: Stream, position: int, is_chat: bool) -> Response:
        headers = {
            "X-Request-Id": self.engine.faults.crossed_attempt_id or stream.attempt_id,
            "X-Engine-Incarnation": stream.incarnation,
            "X-Weights-Version": str(stream.weights_version),
        }
        rate = self.engine.request_rate
        if rate is not None:
            headers["Rampwick-Request-Rate"] = f"{rate:g}"
        if self.engine.is_leaving:
            stream.announced_leaving = True
            headers["Rampwick-Leaving"] = "1"
        events = self._events(stream, position, is_chat)
        torn_after_count = self.engine.faults.torn_after_count
        if torn_after_count is not None:
            events = _tear(events, torn_after_count)
        return StreamingResponse(
            events,
            media_type="text/event-stream",
            headers=headers,
        )

    async def _events(
        self, stream: Stream, position: int, is_chat: bool
    ) -> AsyncIterator[bytes]:
        faults = self.engine.faults
        sent = 0
        async for at in self.engine.follow(stream, position):
            await self.engine.wait_unfrozen()
            if faults.cut_after_count is not None and sent >= faults.cut_after_count:
                raise ConnectionCutError
            event = _token_event(stream, at, is_chat)
            yield event * (2 if at == faults.repeat_position else 1)
            sent += 1
        if stream.is_cancelled:
            raise ConnectionCutError
        if faults.cut_after_count is not None and sent >= faults.cut_after_count:
            raise ConnectionCutError
        yield _usage_event(stream)
        yield b"data: [DONE]\n\n"

    async def _cancel(self, request: Request) -> Response:
        stream = self.engine.streams.get(request.path_params["attempt_id"])
        if stream is not None and not stream.is_done:
            stream.is_cancelled = True
            self.engine.cancelled.append(stream.attempt_id)
            stream.notify()
        return Response(status_code=204)

    async def _load(self, request: Request) -> Response:
        await self.engine.wait_unfrozen()
        settings = self.engine.settings
        report = LoadReport(
            incarnation=self.engine.incarnation,
            model=settings.model,
            weights_version=self.engine.weights_version,
            slots_count=settings.slots_count,
            running_count=self.engine.running_count,
            waiting_tokens=self.engine.waiting_tokens,
            prefill_tokens_per_second=settings.prefill_tokens_per_second,
            cache_tokens=settings.cache_tokens,
            role=self.engine.role,
            fencing_number=self.engine.fencing_number,
        )
        return JSONResponse(unstructure(report))

    async def _order(self, request: Request) -> Response:
        order = structure(json.loads(await request.body()), Order, step="take order")
        engine = self.engine
        if engine.settings.checks_fencing and (
            order.fencing_number < engine.fencing_number
        ):
            return Response(status_code=409)
        engine.fencing_number = max(engine.fencing_number, order.fencing_number)
        engine.orders.append(order)
        self._task_group.start_soon(engine.load_weights, order.weights_version)
        return Response(status_code=202)

    async def _set_faults(self, request: Request) -> Response:
        data = json.loads(await request.body())
        self.engine.faults = structure(data, EngineFaults, step="set faults")
        return Response(status_code=204)

    async def _set_rate(self, request: Request) -> Response:
        """Set the request rate that responses announce; null for none."""
        named = json.loads(await request.body())
        self.engine.request_rate = named["requests_per_second"]
        return Response(status_code=204)

    async def _seen(self, request: Request) -> Response:
        """Return all attempts and orders of all incarnations, for external checks."""
        attempts = [
            {
                "attempt_id": stream.attempt_id,
                "text": stream.request.text.decode(),
                "salt": stream.request.salt,
                "cached_tokens": stream.cached_tokens,
                "weights_version": stream.weights_version,
                "cached_weights_version": stream.cached_weights_version,
                "incarnation": stream.incarnation,
                "started_at_seconds": stream.started_at_seconds,
                "announced_leaving": stream.announced_leaving,
            }
            for stream in self.engine.started
        ]
        orders = [order.fencing_number for order in self.engine.orders]
        return JSONResponse({"attempts": attempts, "orders": orders})

    async def _leave(self, request: Request) -> Response:
        """Announce in all further responses that the engine is shutting down."""
        self.engine.is_leaving = True
        return Response(status_code=204)

    async def _crash(self, request: Request) -> Response:
        self.engine.crash()
        return Response(status_code=204)


def prompt_text(body: dict[str, Any]) -> bytes:
    """Return the prompt of a request body as the bytes that the engine caches."""
    if "messages" in body:
        parts = (f"<{item['role']}>{item['content']}" for item in body["messages"])
        return "".join(parts).encode()
    return body["prompt"].encode()


async def _tear(events: AsyncIterator[bytes], count: int) -> AsyncIterator[bytes]:
    async for event in events:
        if not count:
            yield event[: len(event) // 2]
            return
        count -= 1
        yield event


def _token_event(stream: Stream, position: int, is_chat: bool) -> bytes:
    token = stream.tokens[position]
    is_last = stream.is_done and position + 1 == len(stream.tokens)
    reason = "stop" if is_last else None
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if is_chat:
        choice["delta"] = {"content": token}
    else:
        choice["text"] = token
    data = {
        "id": stream.attempt_id,
        "system_fingerprint": f"{stream.incarnation}/{stream.weights_version}",
        "choices": [choice],
    }
    return b"id: %d\ndata: %s\n\n" % (position, json.dumps(data).encode())


def _usage_event(stream: Stream) -> bytes:
    usage = {
        "prompt_tokens": stream.prompt_tokens,
        "completion_tokens": len(stream.tokens),
        "total_tokens": stream.prompt_tokens + len(stream.tokens),
        "prompt_tokens_details": {"cached_tokens": stream.cached_tokens},
    }
    data = {"id": stream.attempt_id, "choices": [], "usage": usage}
    return b"id: %d\ndata: %s\n\n" % (len(stream.tokens), json.dumps(data).encode())
