"""Requests to models: attempts at runners, streams relayed and resumed."""

from collections.abc import AsyncIterator
from typing import Any

import anyio
import attrs
import orjson

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    Dispatch,
    Outcome,
    RequestArrived,
    cache_salt,
)

from ._call import ENGINE_PRIORITIES, ModelCall
from ._errors import AttemptError
from ._exchange import Exchange
from ._parts import Parts
from ._responder import EVENT_STREAM, Receive, Responder
from ._sse import DONE, OrderKeeper, StreamEvent, format_event
from ._stream_tokens import StreamReference
from ._upstream_client import UpstreamStream

CHAT_PATH = "/v1/chat/completions"
TEXT_PATH = "/v1/completions"

#: Times that one broken stream is taken up again before its attempt has failed.
MAX_RESUMES = 3

#: Wait before a broken stream is taken up again.
RESUME_PAUSE_SECONDS = 0.02

STEP = "relay stream"


@attrs.define
class Answer:
    """What has come of an answer so far."""

    usage: dict[str, Any] | None = None
    pieces: list[dict[str, Any]] = attrs.field(factory=list)


class ModelExchange(Exchange):
    """A request to a model."""

    def __init__(
        self,
        parts: Parts,
        call: ModelCall,
        receive: Receive,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        super().__init__(parts, call.terms, receive, responder, arrived_at_seconds)
        self._call = call
        self._path = CHAT_PATH if call.is_chat else TEXT_PATH
        self._last_piece_seconds: float | None = None
        # Looked up once: finding a label costs more than observing it.
        self._token_gap = parts.metrics.token_gap.labels(*self.labels)

    def arrival(self) -> RequestArrived:
        """Return what the scheduler is told."""
        terms = self.terms
        return RequestArrived(
            request_id=self.request_id,
            workspace=terms.workspace,
            priority_class=terms.priority_class,
            deadline_seconds=self.arrived_at_seconds + terms.deadline_seconds,
            is_repeatable=terms.is_repeatable,
            chain=self._call.chain,
            scope=self._call.scope,
            max_answer_tokens=self._call.max_answer_tokens,
        )

    async def attempt(self, dispatch: Dispatch) -> AttemptDone:
        """Make one attempt and relay its answer."""
        relay = _Relay(self, dispatch)
        await relay.run(self._engine_body(dispatch))
        usage = relay.answer.usage or {}
        details = usage.get("prompt_tokens_details") or {}
        done = AttemptDone(
            request_id=self.request_id,
            attempt_id=dispatch.attempt_id,
            cached_tokens=int(details.get("cached_tokens", 0)),
            prompt_tokens=int(usage.get("prompt_tokens", 0)),
            answer_tokens=int(usage.get("completion_tokens", 0)),
        )
        self._count_tokens(done)
        return done

    def _engine_body(self, dispatch: Dispatch) -> bytes:
        salt = cache_salt(
            self._call.scope, dispatch.weights_version, self.parts.settings.peers.secret
        )
        return orjson.dumps(
            {
                **self._call.body,
                "stream": True,
                "stream_options": {"include_usage": True},
                "priority": ENGINE_PRIORITIES[self.terms.priority_class],
                "cache_salt": salt,
            }
        )

    def _count_tokens(self, done: AttemptDone) -> None:
        metrics = self.parts.metrics
        cached = min(done.cached_tokens, done.prompt_tokens)
        missing = done.prompt_tokens - cached
        metrics.prompt_tokens.labels(*self.labels, "cached").inc(cached)
        metrics.prompt_tokens.labels(*self.labels, "recomputed").inc(missing)
        metrics.answer_tokens.labels(*self.labels).inc(done.answer_tokens)

    @property
    def call(self) -> ModelCall:
        """The checked request."""
        return self._call

    @property
    def path(self) -> str:
        """Path of the request at a runner."""
        return self._path

    def note_piece(self) -> None:
        """Note in the metrics that a piece of the answer is here."""
        now_seconds = self.parts.read_clock()
        if self._last_piece_seconds is None:
            waited = now_seconds - self.arrived_at_seconds
            self.parts.metrics.first_token.labels(*self.labels).observe(waited)
        else:
            self._token_gap.observe(now_seconds - self._last_piece_seconds)
        self._last_piece_seconds = now_seconds


class _Relay:
    """One attempt's answer on its way to the caller."""

    def __init__(self, exchange: ModelExchange, dispatch: Dispatch) -> None:
        self._exchange = exchange
        self._parts = exchange.parts
        self._dispatch = dispatch
        self._order = OrderKeeper(0, dispatch.upstream)
        self._has_delivered = False
        self._is_whole = False
        self.answer = Answer()
        reference = StreamReference(
            workspace=exchange.terms.workspace.path,
            upstream=dispatch.upstream,
            incarnation=dispatch.incarnation,
            attempt_id=dispatch.attempt_id,
            is_chat=exchange.call.is_chat,
        )
        self._token = self._parts.tokens.encode(reference)

    async def run(self, content: bytes) -> None:
        """Relay the whole answer, resuming where its connection breaks."""
        try:
            await self._start(content)
        except AttemptError as error:
            await self._resume_after(error)
        await self._finish()

    async def _start(self, content: bytes) -> None:
        client = self._parts.upstreams
        path = self._exchange.path
        async with client.start_stream(self._dispatch, path, content) as stream:
            await self._take(stream)

    async def _resume_after(self, error: AttemptError) -> None:
        for _ in range(MAX_RESUMES):
            if error.outcome is not Outcome.BROKEN or not self._order.next_position:
                raise error
            await anyio.sleep(RESUME_PAUSE_SECONDS)
            self._parts.metrics.resumes.inc()
            try:
                await self._resume()
                return
            except AttemptError as next_error:
                error = next_error
        raise error

    async def _resume(self) -> None:
        dispatch = self._dispatch
        async with self._parts.upstreams.resume_stream(
            dispatch.address,
            dispatch.upstream,
            dispatch.attempt_id,
            self._order.next_position,
            is_chat=self._exchange.call.is_chat,
        ) as stream:
            await self._take(stream)

    async def _take(self, stream: UpstreamStream) -> None:
        dispatch = self._dispatch
        start = stream.check_start(dispatch.attempt_id, dispatch.incarnation)
        if start.weights_version != dispatch.weights_version:
            # The salt named other weights: what was cached may be older ones'.
            raise self._error(Outcome.STALE, "the engine has other weights now")
        self._parts.scheduler.post(
            AttemptAccepted(self._exchange.request_id, dispatch.attempt_id)
        )
        async for events in stream.batches():
            await self._pass_on(events)
            if self._is_whole:
                return
        raise self._error(Outcome.BROKEN, "the stream ended before its end")

    async def _pass_on(self, events: list[StreamEvent]) -> None:
        if self._order.next_position == 0:
            self._check_fingerprint(events[0])
        pieces = [event for event in events if self._admit(event)]
        if not pieces:
            return
        self._exchange.note_piece()
        if not self._exchange.call.is_streamed:
            self.answer.pieces += [orjson.loads(event.data) for event in pieces]
            return
        await self._begin()
        first = self._order.next_position - len(pieces)
        if self.answer.usage is not None and not self._exchange.call.wants_usage:
            # The usage event took a position but does not go to this caller.
            first -= 1
        body = b"".join(
            format_event(self._token, first + index, event.data)
            for index, event in enumerate(pieces)
        )
        await self._exchange.responder.send(body)

    def _check_fingerprint(self, event: StreamEvent) -> None:
        # The head is sent before the prompt is computed; weights can be loaded in
        # between. The first event names what really computed it.
        if b'"system_fingerprint"' not in event.data:
            return
        named = orjson.loads(event.data).get("system_fingerprint")
        dispatch = self._dispatch
        if named != f"{dispatch.incarnation}/{dispatch.weights_version}":
            raise self._error(Outcome.STALE, "other weights computed the answer")

    def _admit(self, event: StreamEvent) -> bool:
        if event.is_done:
            self._is_whole = self.answer.usage is not None
            return False
        if self._is_whole or not self._order.admit(event):
            return False
        if b'"usage"' not in event.data:
            return True
        usage = orjson.loads(event.data).get("usage")
        if usage:
            self.answer.usage = usage
            return self._exchange.call.wants_usage
        return True

    async def _begin(self) -> None:
        if self._has_delivered:
            return
        self._has_delivered = True
        self._parts.scheduler.post(
            AttemptDelivered(self._exchange.request_id, self._dispatch.attempt_id)
        )
        headers = [
            *EVENT_STREAM,
            (b"x-request-id", self._exchange.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
            (b"rampwick-stream", self._token),
        ]
        await self._exchange.responder.start(200, headers)

    async def _finish(self) -> None:
        if self._exchange.call.is_streamed:
            await self._begin()
            await self._exchange.responder.end(b"data: " + DONE + b"\n\n")
            return
        body = _whole_answer(self._exchange, self.answer)
        headers = [
            (b"x-request-id", self._exchange.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
        ]
        await self._exchange.responder.send_json(200, body, headers)

    def _error(self, outcome: Outcome, message: str) -> AttemptError:
        return AttemptError(
            message, outcome=outcome, step=STEP, peer=self._dispatch.upstream
        )


def _whole_answer(exchange: ModelExchange, answer: Answer) -> dict[str, Any]:
    choices = [piece["choices"][0] for piece in answer.pieces if piece.get("choices")]
    reason = choices[-1].get("finish_reason") if choices else "stop"
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if exchange.call.is_chat:
        parts = (item.get("delta", {}).get("content") or "" for item in choices)
        choice["message"] = {"role": "assistant", "content": "".join(parts)}
    else:
        choice["text"] = "".join(item.get("text") or "" for item in choices)
    kind = "chat.completion" if exchange.call.is_chat else "text_completion"
    return {
        "id": exchange.request_id,
        "object": kind,
        "model": exchange.call.scope.model,
        "choices": [choice],
        "usage": answer.usage,
    }


async def relay_resumed(
    stream: UpstreamStream, token: bytes, position: int, responder: Responder
) -> None:
    """Relay a stream that a caller takes up again, from ``position`` on."""
    order = OrderKeeper(position, "")
    async for body in _resumed_bodies(stream, token, order):
        if body is None:
            await responder.end(b"data: " + DONE + b"\n\n")
            return
        await responder.send(body)
    raise AttemptError(
        "the stream ended before its end", outcome=Outcome.BROKEN, step=STEP, peer=""
    )


async def _resumed_bodies(
    stream: UpstreamStream, token: bytes, order: OrderKeeper
) -> AsyncIterator[bytes | None]:
    async for events in stream.batches():
        pieces: list[bytes] = []
        for event in events:
            if event.is_done:
                yield b"".join(pieces)
                yield None
                return
            at = order.next_position
            if order.admit(event):
                pieces.append(format_event(token, at, event.data))
        yield b"".join(pieces)
