"""HTTP towards runners and services; every failure becomes one typed outcome.

Streams of tokens and probes are read by aiohttp, everything else by httpx:
docs/design/relay.md has the figures. Callers' requests go through aiohttp as POST
only, since it repeats other methods by itself on a connection that closes.
"""

from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager

import aiohttp
import attrs
import httpx
import orjson

from rampwick_policy import Dispatch, OrderResult, Outcome
from rampwick_schema import (
    DataError,
    HostEntry,
    LoadReport,
    Order,
    structure,
    unstructure,
)

from ._errors import AttemptError
from ._sse import EventSplitter, StreamEvent

#: Longest wait for a connection to an upstream of the same region.
CONNECT_TIMEOUT_SECONDS = 1.0

#: Shorter than any server's, so that a connection is not used as it closes.
KEEPALIVE_SECONDS = 2.0

#: Connections to all upstreams.
MAX_CONNECTIONS = 4096

#: Longest wait for an answer to a probe, a cancellation or an order.
CONTROL_TIMEOUT_SECONDS = 1.0


#: What a runner says to an order, by the status of its answer.
ORDER_RESULTS: dict[int, OrderResult] = {
    httpx.codes.ACCEPTED: OrderResult.TAKEN,
    httpx.codes.OK: OrderResult.HOLDS,
    httpx.codes.CONFLICT: OrderResult.FENCED,
    httpx.codes.PRECONDITION_FAILED: OrderResult.CONFLICT,
}


@attrs.frozen
class StreamStart:
    """What an upstream says before the first event of an answer."""

    attempt_id: str
    incarnation: str
    weights_version: int


class UpstreamClient:
    """Connections to all upstreams of one daemon."""

    def __init__(self, silence_timeout_seconds: float, max_event_bytes: int) -> None:
        self._max_event_bytes = max_event_bytes
        self._timeout = httpx.Timeout(
            silence_timeout_seconds, connect=CONNECT_TIMEOUT_SECONDS, pool=None
        )
        limits = httpx.Limits(
            max_connections=MAX_CONNECTIONS, keepalive_expiry=KEEPALIVE_SECONDS
        )
        self._client = httpx.AsyncClient(
            timeout=self._timeout, limits=limits, trust_env=False
        )
        self._stream_timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=CONNECT_TIMEOUT_SECONDS,
            sock_read=silence_timeout_seconds,
        )
        self._control_timeout = aiohttp.ClientTimeout(total=CONTROL_TIMEOUT_SECONDS)
        self._session: aiohttp.ClientSession

    async def __aenter__(self) -> "UpstreamClient":
        self._session = aiohttp.ClientSession(
            timeout=self._stream_timeout,
            connector=aiohttp.TCPConnector(
                limit=MAX_CONNECTIONS, keepalive_timeout=KEEPALIVE_SECONDS
            ),
            auto_decompress=False,
        )
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._session.close()
        await self._client.aclose()

    @asynccontextmanager
    async def request(
        self, method: str, url: str, *, step: str, peer: str, **options: object
    ) -> AsyncIterator[httpx.Response]:
        """Send a request and yield its answer; errors are AttemptError."""
        try:
            async with self._client.stream(method, url, **options) as response:  # type: ignore[arg-type]
                yield response
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise _failed(error, Outcome.UNREACHABLE, step, peer) from error
        except (httpx.HTTPError, httpx.StreamError) as error:
            raise _failed(error, Outcome.BROKEN, step, peer) from error

    @asynccontextmanager
    async def start_stream(
        self, dispatch: Dispatch, path: str, content: bytes
    ) -> AsyncIterator["UpstreamStream"]:
        """Send an attempt to a runner and yield its answer's stream."""
        url = f"http://{dispatch.address}{path}"
        headers = {
            "X-Request-Id": dispatch.attempt_id,
            "Content-Type": "application/json",
        }
        step, peer = "start stream", dispatch.upstream
        try:
            async with self._session.post(
                url, data=content, headers=headers, allow_redirects=False
            ) as response:
                head = StreamHead(response.status, response.headers)
                chunks = response.content.iter_any()
                yield UpstreamStream(head, chunks, peer, self._max_event_bytes)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise _failed(error, Outcome.UNREACHABLE, step, peer) from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _failed(error, Outcome.BROKEN, step, peer) from error

    @asynccontextmanager
    async def resume_stream(
        self,
        address: str,
        upstream: str,
        attempt_id: str,
        position: int,
        *,
        is_chat: bool,
    ) -> AsyncIterator["UpstreamStream"]:
        """Take a stream up again at a position."""
        shape = "chat" if is_chat else "text"
        url = f"http://{address}/v1/streams/{attempt_id}"
        parameters = {"position": str(position), "shape": shape}
        async with self.request(
            "GET", url, step="resume stream", peer=upstream, params=parameters
        ) as response:
            head = StreamHead(response.status_code, response.headers)
            chunks = response.aiter_raw()
            yield UpstreamStream(head, chunks, upstream, self._max_event_bytes)

    async def cancel(self, address: str, upstream: str, attempt_id: str) -> None:
        """Stop an attempt that nobody waits for any more."""
        url = f"http://{address}/v1/streams/{attempt_id}"
        async with self.request(
            "DELETE",
            url,
            step="cancel attempt",
            peer=upstream,
            timeout=CONTROL_TIMEOUT_SECONDS,
        ):
            return

    async def probe(self, entry: HostEntry) -> LoadReport | None:
        """Return a runner's report, or none from a service that is up."""
        step = "probe upstream"
        address, upstream = entry.address, entry.name
        try:
            async with self._session.get(
                f"http://{address}/load", timeout=self._control_timeout
            ) as response:
                status, body = response.status, await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise _failed(error, Outcome.BROKEN, step, upstream) from error
        if status == httpx.codes.NO_CONTENT:
            return None
        if status != httpx.codes.OK:
            raise AttemptError(
                f"status {status}", outcome=Outcome.BROKEN, step=step, peer=upstream
            )
        return _read_report(body, step, upstream)

    async def send_order(self, entry: HostEntry, order: Order) -> OrderResult:
        """Send an order and return what the runner says to it."""
        try:
            async with self.request(
                "PUT",
                f"http://{entry.address}/orders",
                step="send order",
                peer=entry.name,
                json=unstructure(order),
                timeout=CONTROL_TIMEOUT_SECONDS,
            ) as response:
                return ORDER_RESULTS.get(response.status_code, OrderResult.REFUSED)
        except AttemptError:
            return OrderResult.LOST


@attrs.frozen
class StreamHead:
    """Status and headers of an answer."""

    status: int
    headers: Mapping[str, str]


class UpstreamStream:
    """An answer under way."""

    def __init__(
        self,
        head: StreamHead,
        chunks: AsyncIterator[bytes],
        upstream: str,
        max_event_bytes: int,
    ) -> None:
        self._head = head
        self._chunks = chunks
        self._upstream = upstream
        self._max_event_bytes = max_event_bytes

    def check_start(self, attempt_id: str, incarnation: str) -> StreamStart:
        """Return the answer's head, or raise what it says went wrong.

        An answer to another attempt or from another life than asked is not passed
        on, whatever it holds.
        """
        self._check_status()
        start = self._read_start()
        if start.attempt_id != attempt_id:
            raise self._error(Outcome.BROKEN, f"answer is for {start.attempt_id!r}")
        if start.incarnation != incarnation:
            raise self._error(Outcome.STALE, "the engine began another life")
        return start

    def _check_status(self) -> None:
        status = self._head.status
        if status == httpx.codes.OK:
            return
        if status == httpx.codes.TOO_MANY_REQUESTS:
            raise self._error(Outcome.BUSY, "the upstream is busy")
        raise self._error(Outcome.BROKEN, f"status {status}")

    def _read_start(self) -> StreamStart:
        headers = self._head.headers
        version = headers.get("X-Weights-Version", "0")
        return StreamStart(
            attempt_id=headers.get("X-Request-Id", ""),
            incarnation=headers.get("X-Engine-Incarnation", ""),
            weights_version=int(version) if version.isdigit() else 0,
        )

    async def batches(self) -> AsyncIterator[list[StreamEvent]]:
        """Yield the events that came together, as soon as they come."""
        splitter = EventSplitter(self._max_event_bytes, self._upstream)
        async for data in self._chunks:
            events = splitter.feed(data)
            if events:
                yield events

    def _error(self, outcome: Outcome, message: str) -> AttemptError:
        asked = self._head.headers.get("Retry-After", "")
        return AttemptError(
            message,
            outcome=outcome,
            step="start stream",
            peer=self._upstream,
            retry_after_seconds=float(asked) if asked.isdigit() else None,
        )


def _read_report(body: bytes, step: str, upstream: str) -> LoadReport:
    try:
        data = orjson.loads(body)
        return structure(data, LoadReport, step=step, peer=upstream)
    except (ValueError, DataError) as error:
        raise AttemptError(
            f"bad report: {error}", outcome=Outcome.BROKEN, step=step, peer=upstream
        ) from None


def _failed(error: Exception, outcome: Outcome, step: str, peer: str) -> AttemptError:
    message = str(error) or type(error).__name__
    return AttemptError(message, outcome=outcome, step=step, peer=peer)
