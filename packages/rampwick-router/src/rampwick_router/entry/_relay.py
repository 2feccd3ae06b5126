"""Relay of a response stream from a runner to a caller, with resumption."""

from collections.abc import AsyncIterator, Callable
from typing import Any

import anyio
import attrs
import orjson

from rampwick_policy import (
    AnswerContent,
    AttemptAccepted,
    Dispatch,
    Outcome,
    ReceivedAnswer,
)
from rampwick_schema import ReprMixin

from .._answer_buffers import AnswerBuffer
from .._dialects import read_request_rate, read_signals
from .._errors import AttemptError
from .._headers import BRITTLE, LEAVING, REQUEST_RATE
from ..upstream import DONE, SequenceFilter, StreamEvent, UpstreamStream, format_event
from ._answer_end import check_complete
from ._answer_recorder import AnswerRecorder
from ._attempt_check import AttemptCheck
from ._call import ModelCall
from ._context import EntryContext
from ._delivery import post_delivery
from ._rates import post_brittleness, post_rate_limit
from ._responder import Responder
from ._signals import post_signals
from ._stream_tokens import StreamReference

#: Number of times that a broken stream is resumed before its attempt fails.
MAX_RESUMES = 3

#: Delay before a broken stream is resumed.
RESUME_DELAY_SECONDS = 0.02

STEP = "relay stream"


@attrs.define(repr=False)
class ReceivedResponse(ReprMixin):
    """The content of a response received so far."""

    usage: dict[str, Any] | None = None
    #: Text of a response that is sent as a whole, escaped as in JSON. The events take a
    #: multiple of its memory.
    text: bytearray = attrs.field(factory=bytearray)
    finish_reason: Any = "stop"

    def add(self, chunk: dict[str, Any], *, is_chat: bool) -> None:
        """Add an event of a response that is sent as a whole."""
        choices = chunk.get("choices")
        if not choices:
            return
        choice = choices[0]
        source = choice.get("delta", {}) if is_chat else choice
        text = source.get("content" if is_chat else "text") or ""
        if not isinstance(text, str):
            raise TypeError(f"text of an event is {type(text).__name__}")
        self.text += orjson.dumps(text)[1:-1]
        self.finish_reason = choice.get("finish_reason")


@attrs.frozen(repr=False)
class RelayTarget(ReprMixin):
    """The request whose response is relayed."""

    context: EntryContext
    call: ModelCall
    #: Request path at the runner.
    path: str
    request_id: str
    responder: Responder
    #: Called when content arrives, for metrics.
    on_chunk: Callable[[], None]
    check: AttemptCheck
    recorder: AnswerRecorder
    #: Whether the connection of an earlier attempt may be silent for good.
    prefers_new_connection: bool = False


class Relay:
    """Relays the response of one attempt to the caller."""

    def __init__(self, target: RelayTarget, dispatch: Dispatch) -> None:
        self._target = target
        self._context = target.context
        self._dispatch = dispatch
        self._sequence = SequenceFilter(0, dispatch.upstream)
        self._has_delivered = False
        self._is_complete = False
        self.response = ReceivedResponse()
        self._buffer: AnswerBuffer
        self._remainder_bytes = 0
        reference = StreamReference(
            workspace=target.call.terms.workspace.path,
            upstream=dispatch.upstream,
            incarnation=dispatch.incarnation,
            attempt_id=dispatch.attempt_id,
            is_chat=target.call.is_chat,
        )
        self._token = self._context.stream_tokens.encode(reference)

    async def run(self, content: bytes) -> None:
        """Relay the complete response, resuming the stream if its connection breaks."""
        buffers = self._context.connection_pool.buffers
        with buffers.open(self._dispatch.upstream) as self._buffer:
            try:
                await self._start(content)
            except AttemptError as error:
                await self._resume_after(error)
            await self._finish()

    async def _start(self, content: bytes) -> None:
        client = self._context.upstreams
        path = self._target.path
        sent_at_seconds = self._context.read_clock()
        async with client.start_stream(
            self._dispatch,
            path,
            content,
            self._target.check,
            prefers_new_connection=self._target.prefers_new_connection,
        ) as stream:
            await self._receive(stream, sent_at_seconds)

    async def _resume_after(self, error: AttemptError) -> None:
        was_closed = error.was_closed
        for _ in range(MAX_RESUMES):
            if error.outcome is not Outcome.BROKEN or not self._sequence.next_position:
                raise error
            await anyio.sleep(RESUME_DELAY_SECONDS)
            self._context.metrics.resumes.inc()
            try:
                await self._resume()
                return
            except AttemptError as next_error:
                error = next_error
        # A stream that is unknown to the runner indicates a crash as much as the closed
        # connection that preceded it.
        error.was_closed = was_closed
        raise error

    async def _resume(self) -> None:
        dispatch = self._dispatch
        sent_at_seconds = self._context.read_clock()
        self._target.recorder.note_dispatched()
        async with self._context.upstreams.resume_stream(
            dispatch.address,
            dispatch.upstream,
            dispatch.attempt_id,
            self._sequence.next_position,
            is_chat=self._target.call.is_chat,
            check=self._target.check.before_resumption,
        ) as stream:
            await self._receive(stream, sent_at_seconds)

    async def _receive(self, stream: UpstreamStream, sent_at_seconds: float) -> None:
        dispatch = self._dispatch
        start = stream.check_start(dispatch.attempt_id, dispatch.incarnation)
        post_rate_limit(
            self._context.scheduler,
            dispatch,
            read_request_rate(stream.head, REQUEST_RATE),
            sent_at_seconds=sent_at_seconds,
            is_verified=True,
        )
        post_brittleness(
            self._context.scheduler,
            dispatch,
            read_request_rate(stream.head, BRITTLE),
            sent_at_seconds=sent_at_seconds,
            is_verified=True,
        )
        post_signals(
            self._context.scheduler, dispatch, read_signals(stream.head, LEAVING)
        )
        if start.weights_version != dispatch.weights_version:
            # The salt was made for other weights, so cached entries may be stale.
            raise self._error(Outcome.STALE, "the engine's weights version changed")
        self._context.scheduler.post(
            AttemptAccepted(self._target.request_id, dispatch.attempt_id)
        )
        upstream, read_clock = self._target.responder.upstream, self._context.read_clock
        async for events in stream.batches(self._hold):
            upstream.note_bytes(read_clock())
            await self._forward(events, stream.data_age_seconds)
            if self._is_complete:
                upstream.note_ended(read_clock())
                break
        _check_final_event(self._is_complete, dispatch.upstream)

    def _hold(self, remainder_bytes: int) -> None:
        self._remainder_bytes = remainder_bytes
        self._buffer.hold(len(self.response.text) + remainder_bytes)

    async def _forward(
        self, events: list[StreamEvent], data_age_seconds: Callable[[], float]
    ) -> None:
        if self._sequence.next_position == 0:
            self._check_fingerprint(events[0])
        chunks = [event for event in events if self._admit(event)]
        if not chunks:
            return
        self._target.on_chunk()
        self._target.recorder.note_events(len(chunks), data_age_seconds)
        if not self._target.call.is_streamed:
            for event in chunks:
                self.response.add(
                    orjson.loads(event.data), is_chat=self._target.call.is_chat
                )
            self._hold(self._remainder_bytes)
            return
        await self._start_response()
        first = self._sequence.next_position - len(chunks)
        if self.response.usage is not None and not self._target.call.wants_usage:
            # The usage event occupies a position but is not sent to this caller.
            first -= 1
        body = b"".join(
            format_event(self._token, first + index, event.data)
            for index, event in enumerate(chunks)
        )
        self._buffer.hold_for_caller(len(body) + self._remainder_bytes)
        await self._target.responder.send(body)
        self._hold(self._remainder_bytes)
        self._target.recorder.note_written()

    def _check_fingerprint(self, event: StreamEvent) -> None:
        # The head is sent before the prompt is computed, and weights can be loaded in
        # between. The first event reports the version that computed the response.
        if b'"system_fingerprint"' not in event.data:
            return
        reported = orjson.loads(event.data).get("system_fingerprint")
        dispatch = self._dispatch
        if reported != f"{dispatch.incarnation}/{dispatch.weights_version}":
            raise self._error(
                Outcome.STALE, "the response was computed with other weights"
            )

    def _admit(self, event: StreamEvent) -> bool:
        if event.is_done:
            self._is_complete = self.response.usage is not None
            return False
        if self._is_complete or not self._sequence.admit(event):
            return False
        if b'"usage"' not in event.data:
            return True
        usage = orjson.loads(event.data).get("usage")
        if usage:
            self.response.usage = usage
            return self._target.call.wants_usage
        return True

    async def _start_response(self) -> None:
        if self._has_delivered:
            return
        post_delivery(self._context, self._target.request_id, self._dispatch, STEP)
        self._has_delivered = True
        headers = [
            (b"x-request-id", self._target.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
            (b"rampwick-stream", self._token),
        ]
        await self._target.responder.start_events(headers)

    async def _finish(self) -> None:
        if self._target.call.is_streamed:
            await self._start_response()
            await self._target.responder.end(b"data: " + DONE + b"\n\n")
            return
        body = _build_response(self._target, self.response)
        headers = [
            (b"x-request-id", self._target.request_id.encode()),
            (b"rampwick-upstream", self._dispatch.upstream.encode()),
        ]
        self._buffer.hold_for_caller(len(body))
        await self._target.responder.send_json_bytes(200, body, headers)

    def _error(self, outcome: Outcome, message: str) -> AttemptError:
        return AttemptError(
            message, outcome=outcome, step=STEP, peer=self._dispatch.upstream
        )


def _build_response(target: RelayTarget, response: ReceivedResponse) -> bytes:
    """Return the body of a whole response; the text received is dropped."""
    choice: dict[str, Any] = {"index": 0, "finish_reason": response.finish_reason}
    text = orjson.Fragment(b'"%s"' % response.text)
    response.text.clear()
    if target.call.is_chat:
        choice["message"] = {"role": "assistant", "content": text}
    else:
        choice["text"] = text
    kind = "chat.completion" if target.call.is_chat else "text_completion"
    return orjson.dumps(
        {
            "id": target.request_id,
            "object": kind,
            "model": target.call.scope.model,
            "choices": [choice],
            "usage": response.usage,
        }
    )


async def relay_resumed(
    stream: UpstreamStream,
    token: bytes,
    position: int,
    responder: Responder,
    buffer: AnswerBuffer,
) -> None:
    """Relay a stream that a caller resumes, starting at ``position``."""
    order = SequenceFilter(position, "")
    has_final_event = False
    async for body in _resumed_bodies(stream, token, order, buffer):
        if body is None:
            has_final_event = True
            break
        buffer.hold_for_caller(len(body))
        await responder.send(body)
        buffer.hold(0)
    _check_final_event(has_final_event, "")
    await responder.end(b"data: " + DONE + b"\n\n")


def _check_final_event(has_final_event: bool, peer: str) -> None:
    answer = ReceivedAnswer(
        AnswerContent.COMPLETION_EVENTS, body_end=None, has_final_event=has_final_event
    )
    check_complete(answer, STEP, peer)


async def _resumed_bodies(
    stream: UpstreamStream, token: bytes, order: SequenceFilter, buffer: AnswerBuffer
) -> AsyncIterator[bytes | None]:
    async for events in stream.batches(buffer.hold):
        chunks: list[bytes] = []
        for event in events:
            if event.is_done:
                yield b"".join(chunks)
                yield None
                return
            at = order.next_position
            if order.admit(event):
                chunks.append(format_event(token, at, event.data))
        yield b"".join(chunks)
