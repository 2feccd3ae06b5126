"""Relaying an answer's stream from a runner to a caller, resuming where it breaks."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs
import orjson

from rampwick_policy import AttemptAccepted, AttemptDelivered, Dispatch, Outcome
from rampwick_schema import ReprMixin

from .._dialects import read_request_rate, read_signals
from .._errors import AttemptError
from .._headers import LEAVING, REQUEST_RATE
from ..upstream import DONE, SequenceFilter, StreamEvent, UpstreamStream, format_event
from ._call import ModelCall
from ._parts import Parts
from ._rates import note_rate
from ._responder import EVENT_STREAM, Responder
from ._signals import check_still_wanted, note_signals
from ._stream_tokens import StreamReference

#: Times that one broken stream is taken up again before its attempt has failed.
MAX_RESUMES = 3

#: Wait before a broken stream is taken up again.
RESUME_PAUSE_SECONDS = 0.02

STEP = "relay stream"


@attrs.define(repr=False)
class Answer(ReprMixin):
    """What has come of an answer so far."""

    usage: dict[str, Any] | None = None
    pieces: list[dict[str, Any]] = attrs.field(factory=list)


@attrs.frozen(repr=False)
class RelayTarget(ReprMixin):
    """The request that a relayed answer is for."""

    parts: Parts
    call: ModelCall
    #: Path of the request at a runner.
    path: str
    request_id: str
    responder: Responder
    #: Called for each piece of the answer, for the metrics.
    note_piece: Callable[[], None]


class Relay:
    """One attempt's answer on its way to the caller."""

    def __init__(self, target: RelayTarget, dispatch: Dispatch) -> None:
        self._target = target
        self._parts = target.parts
        self._dispatch = dispatch
        self._order = SequenceFilter(0, dispatch.upstream)
        self._has_delivered = False
        self._is_whole = False
        self.answer = Answer()
        reference = StreamReference(
            workspace=target.call.terms.workspace.path,
            upstream=dispatch.upstream,
            incarnation=dispatch.incarnation,
            attempt_id=dispatch.attempt_id,
            is_chat=target.call.is_chat,
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
        path = self._target.path
        check_still_wanted(self._parts.scheduler, self._dispatch)
        asked_at_seconds = self._parts.read_clock()
        async with client.start_stream(self._dispatch, path, content) as stream:
            await self._take(stream, asked_at_seconds)

    async def _resume_after(self, error: AttemptError) -> None:
        was_closed = error.was_closed
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
        # That its stream is not known any more speaks for an end as much as the close.
        error.was_closed = was_closed
        raise error

    async def _resume(self) -> None:
        dispatch = self._dispatch
        asked_at_seconds = self._parts.read_clock()
        async with self._parts.upstreams.resume_stream(
            dispatch.address,
            dispatch.upstream,
            dispatch.attempt_id,
            self._order.next_position,
            is_chat=self._target.call.is_chat,
        ) as stream:
            await self._take(stream, asked_at_seconds)

    async def _take(self, stream: UpstreamStream, asked_at_seconds: float) -> None:
        dispatch = self._dispatch
        start = stream.check_start(dispatch.attempt_id, dispatch.incarnation)
        note_rate(
            self._parts.scheduler,
            dispatch,
            read_request_rate(stream.head, REQUEST_RATE),
            asked_at_seconds=asked_at_seconds,
            is_proved=True,
        )
        note_signals(
            self._parts.scheduler, dispatch, read_signals(stream.head, LEAVING)
        )
        if start.weights_version != dispatch.weights_version:
            # The salt named other weights: what was cached may be older ones'.
            raise self._error(Outcome.STALE, "the engine has other weights now")
        self._parts.scheduler.post(
            AttemptAccepted(self._target.request_id, dispatch.attempt_id)
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
        self._target.note_piece()
        if not self._target.call.is_streamed:
            self.answer.pieces += [orjson.loads(event.data) for event in pieces]
            return
        await self._begin()
        first = self._order.next_position - len(pieces)
        if self.answer.usage is not None and not self._target.call.wants_usage:
            # The usage event took a position but does not go to this caller.
            first -= 1
        body = b"".join(
            format_event(self._token, first + index, event.data)
            for index, event in enumerate(pieces)
        )
        await self._target.responder.send(body)

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
            return self._target.call.wants_usage
        return True

    async def _begin(self) -> None:
        if self._has_delivered:
            return
        self._has_delivered = True
        self._parts.scheduler.post(
            AttemptDelivered(self._target.request_id, self._dispatch.attempt_id)
        )
        headers = [
            *EVENT_STREAM,
            (b"x-request-id", self._target.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
            (b"rampwick-stream", self._token),
        ]
        await self._target.responder.start(200, headers)

    async def _finish(self) -> None:
        if self._target.call.is_streamed:
            await self._begin()
            await self._target.responder.end(b"data: " + DONE + b"\n\n")
            return
        body = _whole_answer(self._target, self.answer)
        headers = [
            (b"x-request-id", self._target.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
        ]
        await self._target.responder.send_json(200, body, headers)

    def _error(self, outcome: Outcome, message: str) -> AttemptError:
        return AttemptError(
            message, outcome=outcome, step=STEP, peer=self._dispatch.upstream
        )


def _whole_answer(target: RelayTarget, answer: Answer) -> dict[str, Any]:
    choices = [piece["choices"][0] for piece in answer.pieces if piece.get("choices")]
    reason = choices[-1].get("finish_reason") if choices else "stop"
    choice: dict[str, Any] = {"index": 0, "finish_reason": reason}
    if target.call.is_chat:
        parts = (item.get("delta", {}).get("content") or "" for item in choices)
        choice["message"] = {"role": "assistant", "content": "".join(parts)}
    else:
        choice["text"] = "".join(item.get("text") or "" for item in choices)
    kind = "chat.completion" if target.call.is_chat else "text_completion"
    return {
        "id": target.request_id,
        "object": kind,
        "model": target.call.scope.model,
        "choices": [choice],
        "usage": answer.usage,
    }


async def relay_resumed(
    stream: UpstreamStream, token: bytes, position: int, responder: Responder
) -> None:
    """Relay a stream that a caller takes up again, from ``position`` on."""
    order = SequenceFilter(position, "")
    async for body in _resumed_bodies(stream, token, order):
        if body is None:
            await responder.end(b"data: " + DONE + b"\n\n")
            return
        await responder.send(body)
    raise AttemptError(
        "the stream ended before its end", outcome=Outcome.BROKEN, step=STEP, peer=""
    )


async def _resumed_bodies(
    stream: UpstreamStream, token: bytes, order: SequenceFilter
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
