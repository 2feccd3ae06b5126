"""Client of rampwick's own protocol for runners and services, over pooled connections.

Every failure is mapped to one typed outcome.
"""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from http import HTTPStatus

import anyio
import attrs
import orjson

from rampwick_platform import decode_json
from rampwick_policy import (
    BodyEnd,
    Dispatch,
    OrderResult,
    Outcome,
    UpstreamPath,
    max_idle_seconds,
)
from rampwick_schema import (
    DataError,
    HostEntry,
    LoadReport,
    Order,
    ReprMixin,
    structure,
    unstructure,
)

from .._dialects import ControlRequest, read_signals
from .._errors import AttemptError
from .._headers import LEAVING, RawHeaders, ResponseHead
from ._connection_pool import ConnectionPool, SendCheck, UpstreamConnection
from ._control import call_upstream, timeout_seconds
from ._sse import EventSplitter, StreamEvent
from ._stalls import IDLE_TIME_BOUND

#: Result of an order by response status.
ORDER_RESULTS: dict[int, OrderResult] = {
    HTTPStatus.ACCEPTED: OrderResult.TAKEN,
    HTTPStatus.OK: OrderResult.HOLDS,
    HTTPStatus.CONFLICT: OrderResult.FENCED,
    HTTPStatus.PRECONDITION_FAILED: OrderResult.CONFLICT,
}

#: Maximum length of a weights version in a header.
MAX_VERSION_DIGITS = 18

JSON = (b"content-type", b"application/json")


@attrs.frozen(repr=False)
class StreamStart(ReprMixin):
    """Response headers that identify an attempt, read before the first event."""

    attempt_id: str
    incarnation: str
    weights_version: int


class UpstreamClient:
    """Requests and control calls to all upstreams of one daemon."""

    def __init__(
        self,
        connection_pool: ConnectionPool,
        stall_timeout_seconds: float,
        max_event_bytes: int,
    ) -> None:
        self._connection_pool = connection_pool
        self._stall_timeout_seconds = stall_timeout_seconds
        self._max_event_bytes = max_event_bytes

    @asynccontextmanager
    async def request(
        self,
        method: str,
        address: str,
        target: str,
        *,
        step: str,
        peer: str,
        headers: RawHeaders = (),
        body: bytes = b"",
        check: SendCheck | None = None,
        prefers_new_connection: bool = False,
    ) -> AsyncIterator["UpstreamResponse"]:
        """Send a request and yield its response; errors are AttemptError.

        ``check`` raises an error before a write if no more may be sent. A new
        connection is preferred where the idle ones may be silent for good.
        """
        length = str(len(body)).encode()
        request_headers = [
            (b"host", address.encode()),
            *headers,
            (b"content-length", length),
        ]
        async with self._connection_pool.borrow(
            peer, address, prefers_new=prefers_new_connection
        ) as connection:
            await connection.send(method, target, request_headers, body, check)
            with self._read_timeout(step, peer):
                head = await connection.receive_head()
            chunks = self._chunks(connection, step, peer)
            yield UpstreamResponse(
                head,
                chunks,
                connection.data_age_seconds,
                lambda: connection.body_end,
            )

    async def _chunks(
        self, connection: UpstreamConnection, step: str, peer: str
    ) -> AsyncIterator[bytes]:
        chunks = connection.receive_chunks()
        while True:
            with self._read_timeout(step, peer):
                chunk = await anext(chunks, None)
            if chunk is None:
                return
            yield chunk

    def _read_timeout(self, step: str, peer: str) -> "_ReadTimeout":
        return _ReadTimeout(self._stall_timeout_seconds, step, peer)

    @asynccontextmanager
    async def start_stream(
        self,
        dispatch: Dispatch,
        path: str,
        content: bytes,
        check: SendCheck,
        *,
        prefers_new_connection: bool = False,
    ) -> AsyncIterator["UpstreamStream"]:
        """Send an attempt to a runner and yield the response stream."""
        async with self.request(
            "POST",
            dispatch.address,
            path,
            step="start stream",
            peer=dispatch.upstream,
            headers=[(b"x-request-id", dispatch.attempt_id.encode()), JSON],
            body=content,
            check=check,
            prefers_new_connection=prefers_new_connection,
        ) as response:
            yield self._stream(response, dispatch.upstream)

    @asynccontextmanager
    async def resume_stream(
        self,
        address: str,
        upstream: str,
        attempt_id: str,
        position: int,
        *,
        is_chat: bool,
        check: SendCheck | None = None,
    ) -> AsyncIterator["UpstreamStream"]:
        """Resume a stream at a position."""
        shape = "chat" if is_chat else "text"
        target = f"/v1/streams/{attempt_id}?position={position}&shape={shape}"
        async with self.request(
            "GET",
            address,
            target,
            step="resume stream",
            peer=upstream,
            check=check,
            prefers_new_connection=True,
        ) as response:
            yield self._stream(response, upstream)

    def _stream(self, response: "UpstreamResponse", upstream: str) -> "UpstreamStream":
        idle_seconds = max_idle_seconds(self._stall_timeout_seconds)
        return UpstreamStream(response, upstream, self._max_event_bytes, idle_seconds)

    async def cancel(self, address: str, upstream: str, attempt_id: str) -> None:
        """Cancel an attempt whose result is no longer needed."""
        target = f"/v1/streams/{attempt_id}"
        await self._call(
            upstream, address, _control("DELETE", target, "cancel attempt", address)
        )

    async def probe(
        self,
        entry: HostEntry,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
    ) -> LoadReport | None:
        """Return a runner's load report, or none for a service that is up."""
        step = "probe upstream"
        request = _control("GET", "/load", step, entry.address)
        head, body = await self._call(
            entry.name, entry.address, request, path, may_reuse=may_reuse
        )
        if head.status == HTTPStatus.NO_CONTENT:
            return None
        if head.status != HTTPStatus.OK:
            raise AttemptError(
                f"status {head.status}",
                outcome=Outcome.BROKEN,
                step=step,
                peer=entry.name,
            )
        return _read_report(body, step, entry.name)

    async def send_order(self, entry: HostEntry, order: Order) -> OrderResult:
        """Send an order and return its result."""
        body = orjson.dumps(unstructure(order))
        request = _control("PUT", "/orders", "send order", entry.address, body)
        try:
            # Orders that come from two hosts count as those of two holders.
            head, _ = await self._call(
                entry.name, entry.address, request, UpstreamPath.DIRECT
            )
        except AttemptError:
            return OrderResult.LOST
        return ORDER_RESULTS.get(head.status, OrderResult.REFUSED)

    async def _call(
        self,
        upstream: str,
        address: str,
        request: ControlRequest,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
    ) -> tuple[ResponseHead, bytes]:
        return await call_upstream(
            self._connection_pool,
            upstream,
            address,
            request,
            timeout_seconds(path),
            path,
            may_reuse=may_reuse,
        )


class _ReadTimeout:
    """Context manager that raises an AttemptError on a stalled read."""

    def __init__(self, seconds: float, step: str, peer: str) -> None:
        self._scope = anyio.move_on_after(seconds)
        self._step = step
        self._peer = peer

    def __enter__(self) -> None:
        self._scope.__enter__()

    def __exit__(self, *details: object) -> None:
        self._scope.__exit__(*details)  # type: ignore[arg-type]
        if self._scope.cancelled_caught:
            raise AttemptError(
                "the upstream is silent",
                outcome=Outcome.BROKEN,
                step=self._step,
                peer=self._peer,
            )


@attrs.frozen(repr=False)
class UpstreamResponse(ReprMixin):
    """A response in progress."""

    head: ResponseHead
    #: Chunks of the body as they arrive.
    chunks: AsyncIterator[bytes]
    #: Returns how long ago at least the last chunk arrived at this host.
    data_age_seconds: Callable[[], float]
    #: Returns how the body ended; None while it has not.
    read_body_end: Callable[[], BodyEnd | None]

    @property
    def status(self) -> int:
        """Status of the response."""
        return self.head.status

    def texts(self) -> Mapping[str, str]:
        """Return the headers by lower-case name; the last one of equal names."""
        return {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in self.head.headers
        }


class UpstreamStream:
    """The events of a streamed response in progress."""

    def __init__(
        self,
        response: UpstreamResponse,
        upstream: str,
        max_event_bytes: int,
        idle_seconds: float,
    ) -> None:
        self._max_idle_seconds = idle_seconds
        self._status = response.status
        self.head = response.head
        self._headers = response.texts()
        self._chunks = response.chunks
        self.data_age_seconds = response.data_age_seconds
        self._upstream = upstream
        self._max_event_bytes = max_event_bytes

    def check_start(self, attempt_id: str, incarnation: str) -> StreamStart:
        """Return the identifying headers, or raise the error that the head reports.

        A response to another attempt, or from another incarnation than requested, is
        not forwarded, whatever its content.
        """
        self._check_status()
        start = self._read_start()
        if start.attempt_id != attempt_id:
            raise self._error(Outcome.BROKEN, f"answer is for {start.attempt_id!r}")
        if start.incarnation != incarnation:
            raise self._error(Outcome.STALE, "the engine was restarted")
        return start

    def _check_status(self) -> None:
        status = self._status
        if status == HTTPStatus.OK:
            return
        if status == HTTPStatus.TOO_MANY_REQUESTS:
            raise self._error(Outcome.BUSY, "the upstream is busy")
        raise self._error(Outcome.BROKEN, f"status {status}")

    def _read_start(self) -> StreamStart:
        headers = self._headers
        version = headers.get("x-weights-version", "0")
        return StreamStart(
            attempt_id=headers.get("x-request-id", ""),
            incarnation=headers.get("x-engine-incarnation", ""),
            weights_version=int(version) if _is_number(version) else 0,
        )

    async def batches(
        self, hold: Callable[[int], None]
    ) -> AsyncIterator[list[StreamEvent]]:
        """Yield events in batches as they arrive.

        ``hold`` is called with the number of bytes of an event that is not complete.
        """
        splitter = EventSplitter(self._max_event_bytes, self._upstream)
        progress_at_seconds = anyio.current_time()
        async for data in self._chunks:
            events = splitter.feed(data)
            hold(splitter.buffered_bytes)
            if events:
                yield events
                progress_at_seconds = anyio.current_time()
            idle_seconds = anyio.current_time() - progress_at_seconds
            if idle_seconds > self._max_idle_seconds:
                raise AttemptError(
                    f"no event for {idle_seconds:.1f} s",
                    outcome=Outcome.BROKEN,
                    step="read stream",
                    peer=self._upstream,
                    bound=IDLE_TIME_BOUND,
                )

    def _error(self, outcome: Outcome, message: str) -> AttemptError:
        return AttemptError(
            message,
            outcome=outcome,
            step="start stream",
            peer=self._upstream,
            retry_after_seconds=read_signals(self.head, LEAVING).pause_seconds,
        )


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= MAX_VERSION_DIGITS


def _read_report(body: bytes, step: str, upstream: str) -> LoadReport:
    try:
        data = decode_json(body)
        return structure(data, LoadReport, step=step, peer=upstream)
    except (ValueError, DataError) as error:
        raise AttemptError(
            f"bad report: {error}", outcome=Outcome.BROKEN, step=step, peer=upstream
        ) from None


def _control(
    method: str, path: str, step: str, address: str, body: bytes = b""
) -> ControlRequest:
    headers: list[tuple[bytes, bytes]] = [(b"host", address.encode())]
    if body:
        headers.append(JSON)
    return ControlRequest(step, method, path, headers, body)
