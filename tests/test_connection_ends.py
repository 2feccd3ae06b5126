"""Guards against callers' connections that end with a whole request unanswered."""

import contextlib
import json
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_router._native_dialect import NativeUpstreamDialect

from .scripted import HOST, KEY, read_response
from .test_routed import run

#: More than the buffers of both ends of a connection hold.
LARGE_BODY_BYTES = 24_000_000
CHUNK_BYTES = 1_000_000


def request_head(path="/once/1", *lines, method="POST", length=0, key=KEY):
    """Return the head of a request."""
    head = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Authorization: Bearer {key}",
        *lines,
    ]
    if length is not None:
        head.append(f"Content-Length: {length}")
    return "\r\n".join(head).encode() + b"\r\n\r\n"


WITH_ID = "Rampwick-Request-Id: r1"


@contextlib.asynccontextmanager
async def connect(host):
    """Open a connection to a host."""
    address, _, port = host.address.partition(":")
    async with await anyio.connect_tcp(address, int(port)) as stream:
        yield stream


async def send_whole(host, head, body_bytes=0):
    """Send a whole request, and only then read the response."""
    async with connect(host) as stream:
        await stream.send(head)
        for _ in range(body_bytes // CHUNK_BYTES):
            await stream.send(b"x" * CHUNK_BYTES)
        return await read_response(stream)


def error_code(response):
    """Return the code of an error response."""
    return json.loads(response.body)["error"]["code"]


class UnreadBodyTest(TestCase):
    """A caller that sends its whole request first gets the response to it."""

    def test_request_rejected_before_its_body_is_read(self):
        async def scenario(host, servers):
            head = request_head(length=LARGE_BODY_BYTES)
            return await send_whole(host, head, LARGE_BODY_BYTES)

        response = run(scenario)
        self.assertEqual((400, True), (response.status, response.is_whole))

    def test_request_at_a_leaving_host(self):
        async def scenario(host, servers):
            host.daemon.entry.is_closed = True
            head = request_head("/once/1", WITH_ID, length=LARGE_BODY_BYTES)
            return await send_whole(host, head, LARGE_BODY_BYTES)

        response = run(scenario)
        self.assertEqual("leaving", error_code(response))

    def test_body_larger_than_the_limit(self):
        async def scenario(host, servers):
            head = request_head("/once/1", WITH_ID, length=LARGE_BODY_BYTES)
            return await send_whole(host, head, LARGE_BODY_BYTES)

        response = run(scenario)
        self.assertEqual((413, True), (response.status, response.is_whole))

    def test_connection_goes_on_after_a_body_that_was_discarded(self):
        async def scenario(host, servers):
            async with connect(host) as stream:
                await stream.send(request_head(length=CHUNK_BYTES))
                await stream.send(b"x" * CHUNK_BYTES)
                first = await read_response(stream)
                await stream.send(request_head("/once/1", WITH_ID))
                return first.status, (await read_response(stream)).status

        self.assertEqual((400, 200), run(scenario))


class UnsendableHeadTest(TestCase):
    def test_head_that_the_server_refuses_becomes_an_error(self):
        async def scenario(host, servers):
            refused = [(b"bad name", b"x")]
            with mock.patch.object(
                NativeUpstreamDialect, "response_headers", lambda *_: refused
            ):
                return await host.call("/once/1")

        response = run(scenario)
        self.assertEqual(500, response.status)
        error = json.loads(response.body)["error"]
        self.assertEqual(("internal", "maybe"), (error["code"], error["was_run"]))
