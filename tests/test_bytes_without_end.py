"""Bytes without end, in a head or a body, at every client of a host."""

import itertools
import socket
import threading
import time
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_platform import HttpObjectApi, PlatformError, _bounded_streams
from rampwick_policy import Member
from rampwick_router._dialects import ControlRequest
from rampwick_router._errors import AttemptError, PeerError
from rampwick_router._metrics import Metrics
from rampwick_router.entry._event_framing import EventFramer
from rampwick_router.peers._stream import MAX_UNREAD_BYTES, PeerStream
from rampwick_router.upstream._connection_pool import (
    MAX_HEAD_BYTES,
    ConnectionPool,
    UpstreamConnection,
)
from rampwick_router.upstream._control import (
    MAX_RESPONSE_BYTES as MAX_CONTROL_BYTES,
    call_upstream,
)
from rampwick_router.upstream._sse import EventSplitter

from .scripted import run_routed
from .test_routed import stream_of

READ_BYTES = 65_536

HOST = [(b"host", b"a")]

#: Bytes that the kernel's buffers of a connection hold at the most.
KERNEL_BYTES = 12_000_000

STATUS = b"HTTP/1.1 200 Ok\r\n"
CHUNKED = STATUS + b"Transfer-Encoding: chunked\r\n\r\n"

#: Beginning of an answer, and what follows it without end.
HEADS = {
    "value of a header": (STATUS + b"X-A: ", b"a"),
    "header lines": (STATUS, b"X-A: b\r\n"),
    "no HTTP": (b"", b"\x00\xff garbage"),
    "empty lines": (b"", b"\r\n"),
    "reason": (b"HTTP/1.1 200 ", b"a"),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "interim responses with headers": (b"", b"HTTP/1.1 103 H\r\nLink: <a>\r\n\r\n"),
}
BODIES = {
    "length": (STATUS + b"Content-Length: 999999999999999\r\n\r\n", b"a"),
    "until close": (STATUS + b"\r\n", b"a"),
    "large chunks": (CHUNKED, b"4000\r\n" + b"a" * 0x4000 + b"\r\n"),
    "chunks of one byte": (CHUNKED, b"1\r\na\r\n"),
    "size of a chunk": (CHUNKED, b"0"),
    "extension of a chunk": (CHUNKED + b"5;", b"a"),
    "trailers": (CHUNKED + b"0\r\n", b"X-A: b\r\n"),
}


def pieces(start, repeated):
    """Yield reads of an answer that never ends."""
    if start:
        yield start
    size = max(1, READ_BYTES // len(repeated))
    yield from itertools.repeat(repeated * size)


class EndlessSocket:
    """A connection on which bytes can always be read, like a local one."""

    def __init__(self, start, repeated, seconds=0.0):
        self._pieces = pieces(start, repeated)
        self._seconds = seconds
        self.sent_bytes_count = 0
        self.received_bytes = 0
        self.is_closed = False

    async def send(self, data, before_write):
        before_write()
        self.sent_bytes_count += len(data)

    async def receive(self):
        await anyio.sleep(self._seconds)
        data = next(self._pieces)
        if self._seconds:
            data = data[:1]
        self.received_bytes += len(data)
        return data

    def unwatch(self):
        """Do nothing."""

    def is_readable(self):
        return True

    def discard_unsent(self):
        """Do nothing."""

    def close(self):
        self.is_closed = True


def run(main):
    async def limited():
        with anyio.fail_after(60.0):
            return await main()

    return anyio.run(limited)


class LongestTurn:
    """Measures for how long the event loop runs without other tasks."""

    def __init__(self, tasks):
        self.seconds = 0.0
        tasks.start_soon(self._run)

    async def _run(self):
        while True:
            before = time.thread_time()
            await anyio.sleep(0)
            self.seconds = max(self.seconds, time.thread_time() - before)


class AttemptTest(TestCase):
    """Connections to upstreams, for attempts of all kinds and resumptions."""

    def read(self, start, repeated, max_body_bytes=100_000):
        """Read an answer; return the bytes received and the longest turn."""

        async def main():
            endless = EndlessSocket(start, repeated)
            connection = UpstreamConnection("r", endless, max_body_bytes=max_body_bytes)
            async with anyio.create_task_group() as tasks:
                turn = LongestTurn(tasks)
                await connection.send("GET", "/", HOST, b"")
                with self.assertRaises(AttemptError):
                    await connection.receive_head()
                    async for _ in connection.receive_chunks():
                        pass
                tasks.cancel_scope.cancel()
            self.assertFalse(connection.is_reusable())
            self.assertIsNone(connection.body_end)
            return endless.received_bytes, turn.seconds

        return run(main)

    def test_head_without_end_is_bounded(self):
        for name, answer in HEADS.items():
            received, seconds = self.read(*answer)
            self.assertTrue(received <= MAX_HEAD_BYTES + 2 * READ_BYTES, name)
            self.assertTrue(seconds < 1.0, (name, seconds))

    def test_body_without_end_is_bounded(self):
        for name, answer in BODIES.items():
            received, seconds = self.read(*answer)
            self.assertTrue(received <= 1_000_000, (name, received))
            self.assertTrue(seconds < 1.0, (name, seconds))

    def test_few_interim_responses_are_skipped(self):
        async def main():
            start = b"HTTP/1.1 102 Processing\r\n\r\n" * 5
            answer = start + STATUS + b"Content-Length: 1\r\n\r\n"
            connection = UpstreamConnection("r", EndlessSocket(answer, b"a"))
            await connection.send("GET", "/", HOST, b"")
            return (await connection.receive_head()).status

        self.assertEqual(200, run(main))

    def test_event_without_end_costs_no_more_than_its_bytes(self):
        for make in (EventFramer, EventSplitter):
            splitter = make(1_048_576, "r")
            before = time.thread_time()
            with self.assertRaises(AttemptError):
                for _ in range(200_000):
                    splitter.feed(b"data: ")
            self.assertTrue(time.thread_time() - before < 10.0, make.__name__)


class ControlCallTest(TestCase):
    """Probes, reports, orders and cache events."""

    def call(self, start, repeated, seconds=0.0):
        async def main():
            endless = EndlessSocket(start, repeated, seconds)
            pool = ConnectionPool(anyio.current_time)
            connected = mock.AsyncMock(return_value=endless)
            with mock.patch.object(pool, "_connect", connected):
                began = anyio.current_time()
                with self.assertRaises(AttemptError):
                    await call_upstream(
                        pool, "r", "a:1", ControlRequest("probe", "GET", "/", HOST), 0.4
                    )
                self.assertTrue(endless.is_closed)
                return endless.received_bytes, anyio.current_time() - began

        return run(main)

    def test_answer_without_end_is_bounded(self):
        for name, answer in {**HEADS, **BODIES}.items():
            received, _ = self.call(*answer)
            self.assertTrue(received <= 8 * MAX_CONTROL_BYTES, (name, received))

    def test_answer_that_comes_slowly_ends_in_time(self):
        for name, answer in {**HEADS, **BODIES}.items():
            received, seconds = self.call(*answer, seconds=0.01)
            self.assertTrue(received < 100, name)
            self.assertTrue(seconds < 5.0, (name, seconds))


class EndlessServer:
    """A TCP server that sends bytes without end on each connection."""

    def __init__(self, start, repeated, seconds=0.0):
        self._answer, self._seconds = (start, repeated), seconds
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self._listener.getsockname()[1]}"
        self.sent_bytes = 0
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                accepted, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._send, args=(accepted,), daemon=True).start()

    def _send(self, accepted):
        with accepted:
            try:
                accepted.recv(READ_BYTES)
                for piece in pieces(*self._answer):
                    data = piece[:1] if self._seconds else piece
                    self.sent_bytes += accepted.send(data)
                    time.sleep(self._seconds)
            except OSError:
                return

    def __enter__(self):
        return self

    def __exit__(self, *details):
        self._listener.close()


class StoreTest(TestCase):
    """The store's client."""

    def call(self, start, repeated, seconds=0.0):
        async def main(address):
            async with HttpObjectApi(
                f"http://{address}", call_timeout_seconds=0.3, calls_per_second=1000.0
            ) as api:
                began = anyio.current_time()
                with self.assertRaises(PlatformError):
                    await api.list_objects("servers/")
                return anyio.current_time() - began

        with EndlessServer(start, repeated, seconds) as server:
            took_seconds = run(lambda: main(server.address))
            return server.sent_bytes, took_seconds

    def test_answer_without_end_is_bounded(self):
        max_bytes = 300_000
        with mock.patch.object(_bounded_streams, "MAX_RESPONSE_BYTES", max_bytes):
            for name, answer in {**HEADS, **BODIES}.items():
                sent, _ = self.call(*answer)
                # The kernel's buffers hold more.
                self.assertTrue(sent <= max_bytes + KERNEL_BYTES, (name, sent))

    def test_answer_that_comes_slowly_ends_in_time(self):
        for name, answer in {**HEADS, **BODIES}.items():
            _, seconds = self.call(*answer, seconds=0.02)
            self.assertTrue(seconds < 5.0, (name, seconds))

    def test_compressed_body_is_not_read(self):
        start = STATUS + b"Content-Encoding: gzip\r\n\r\n"
        sent, _ = self.call(start, b"\x1f\x8b\x08")
        self.assertTrue(sent <= KERNEL_BYTES)


class PeerTest(TestCase):
    """Connections to peers, of which one may be no host at all."""

    def dial(self, start, repeated, seconds=0.0):
        async def main(address):
            stream = await PeerStream.connect(address, 1_048_576, Metrics())
            own = Member("host", "hall", "127.0.0.1:1", 1)
            largest = 0
            try:
                with self.assertRaises(PeerError):
                    await stream.handshake(own, "secret")
                largest = len(stream._received)
            finally:
                stream.close()
            return largest

        with EndlessServer(start, repeated, seconds) as server:
            return run(lambda: main(server.address))

    def test_peer_that_sends_without_end_is_left(self):
        with mock.patch("rampwick_router.peers._stream.HANDSHAKE_SECONDS", 0.5):
            for start in (b"", b"\0\0\0\x10", b"\0\0\xff\xff", b"\xff\xff\xff\xff"):
                for seconds in (0.0, 0.02):
                    largest = self.dial(start, b"\0", seconds)
                    self.assertTrue(largest <= MAX_UNREAD_BYTES + 4 * READ_BYTES)


class OtherRequestsTest(TestCase):
    """Requests at sound upstreams, beside one that sends without end."""

    def test_interim_responses_without_end_hold_up_no_other_request(self):
        async def endless(exchange):
            while True:
                await exchange.send(b"HTTP/1.1 102 Processing\r\n\r\n" * 100)

        async def main():
            async with run_routed({"labels": ["a"], "notes": ["b"]}) as (host, servers):
                servers["a"].scripts = [endless]
                servers["b"].scripts = [stream_of(1, 1)]
                statuses = []
                async with anyio.create_task_group() as tasks:
                    turn = LongestTurn(tasks)
                    for number in range(20):
                        tasks.start_soon(
                            self.call_until, host, "/once/x", f"e{number}", statuses
                        )
                    began = anyio.current_time()
                    for number in range(20):
                        view = await host.call("/brittle/x", request_id=f"s{number}")
                        self.assertEqual(200, view.status)
                    seconds = anyio.current_time() - began
                    while len(statuses) < 20:
                        await anyio.sleep(0.01)
                    tasks.cancel_scope.cancel()
                return statuses, seconds, turn.seconds

        statuses, _, turn_seconds = run(main)
        self.assertEqual({502}, set(statuses))
        self.assertTrue(turn_seconds < 1.0, turn_seconds)

    async def call_until(self, host, path, request_id, statuses):
        statuses.append((await host.call(path, request_id=request_id)).status)
