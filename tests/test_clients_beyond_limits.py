"""Callers that ignore the limits end no host, fill no machine, and hold nobody up.

Each test has its own host process with the default limits unless it lowers some.
"""

import asyncio
import struct
import time
from contextlib import ExitStack, suppress

import anyio
import h2.config
import h2.connection
import h2.events
import httpx
from testtools import TestCase

from .crowds import (
    GIVE_UP_SECONDS,
    HOST_BYTES,
    KEY,
    READ_BYTES,
    Caller,
    Crowd,
    Host,
    MeteredHost,
    Upstream,
    ask,
)
from .host_processes import CALLED_HOST, LIMITS, HostFleet, PlainServer, run_fleet

#: Limits that hosts have by default.
BODY_BYTES = 4_194_304
HEAD_BYTES = 65_536

#: Bytes by which a body stops short of its end.
MISSING_BYTES = 65_536

BLOCK = b"a" * READ_BYTES
SERVICE = b"/services/labels/x"
SLOW_SERVICE = b"/services/labels/slow"
MODEL = b"/v1/chat/completions"

#: Descriptors of a host in the tests of connections, and the connections of callers.
FILES_COUNT = 400
#: Descriptors that the connections of callers leave for all else.
SPARE_FILES_COUNT = 50

#: Answers that promise that the request has not run, or forbid to repeat it.
REFUSALS = {0, 400, 408, 413, 429, 431, 503}

TINY_CHUNKS = b"2\r\naa\r\n" * (READ_BYTES // 7)
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
SETTINGS_FRAME = b"\x00\x00\x00\x04\x00\x00\x00\x00\x00"
PING_FRAME = b"\x00\x00\x08\x06\x00\x00\x00\x00\x00" + bytes(8)


def head(path: bytes, *lines: bytes) -> bytes:
    """Return the head of a request with a valid key."""
    fixed = (b"POST " + path + b" HTTP/1.1", b"Host: a")
    key = b"Authorization: Bearer " + KEY.encode()
    kind = b"Content-Type: application/json"
    return b"\r\n".join((*fixed, key, kind, *lines)) + b"\r\n\r\n"


def with_length(path: bytes, length: int) -> bytes:
    """Return the head of a request with a body of some bytes."""
    return head(path, b"Content-Length: %d" % length)


def in_chunks(path: bytes) -> bytes:
    """Return the head of a request with a body in chunks."""
    return head(path, b"Transfer-Encoding: chunked")


def chunk(data: bytes) -> bytes:
    """Return a chunk."""
    return b"%x\r\n%b\r\n" % (len(data), data)


async def send_body(caller: Caller, block: bytes, length: int) -> None:
    """Send a block again and again, up to a length."""
    for _ in range(length // len(block)):
        await caller.send(block)


class CrowdTest(TestCase):
    """Plays a crowd beside one host and judges what the host has held."""

    def play(
        self,
        script,
        callers_count,
        *,
        settings="",
        max_files_count=None,
        **options,
    ):
        """Assert life, memory, descriptors and ordinary requests; return the crowd.

        One request is sent while the callers are still connected, one after they left.
        """
        with ExitStack() as stack:
            upstream = Upstream()
            stack.callback(upstream.close)
            host = Host(upstream, stack, settings, max_files_count)
            host.until_up()
            crowd = Crowd(host)
            statuses = []

            async def ask_beside() -> None:
                statuses.append(await ask(host.entry))
                await self.ask_more(host)
                upstream.answer()
                await self.read_answers(crowd)
                self.bodies = upstream.bodies()

            async def run() -> None:
                await crowd.play(script, callers_count, ask_beside, **options)
                statuses.append(await ask(host.entry))

            asyncio.run(run())
            self.assertTrue(host.is_running, "the host has ended")
            peaks = crowd.peaks
            seen = f"{peaks}, ordinary requests {statuses}"
            self.assertTrue(peaks.held_bytes < HOST_BYTES, seen)
            self.assertEqual([200, 200], statuses, seen)
            if max_files_count is not None:
                bound = max_files_count - SPARE_FILES_COUNT
                self.assertTrue(peaks.files_count < bound, seen)
            return crowd

    async def ask_more(self, host):
        """Ask the host what else it must answer beside the crowd."""

    async def read_answers(self, crowd):
        """Read what the callers of the crowd were answered."""


class BodiesShortOfTheirEndTest(CrowdTest):
    def test_announced(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, BODY_BYTES))
            await send_body(caller, BLOCK, BODY_BYTES - MISSING_BYTES)

        self.play(script, 60)

    def test_large_chunks_to_a_service(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE))
            for _ in range((BODY_BYTES - MISSING_BYTES) // READ_BYTES):
                await caller.send(chunk(BLOCK))

        self.play(script, 60)

    def test_large_chunks_to_a_model(self):
        async def script(caller):
            await caller.send(in_chunks(MODEL))
            for _ in range((BODY_BYTES - MISSING_BYTES) // READ_BYTES):
                await caller.send(chunk(BLOCK))

        self.play(script, 60)

    def test_tiny_chunks_to_a_service(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE))
            await send_body(caller, TINY_CHUNKS, 7 * (BODY_BYTES - MISSING_BYTES) // 2)

        self.play(script, 60)

    def test_tiny_chunks_to_a_model(self):
        async def script(caller):
            await caller.send(in_chunks(MODEL))
            await send_body(caller, TINY_CHUNKS, 7 * (BODY_BYTES - MISSING_BYTES) // 2)

        self.play(script, 150)

    def test_half_of_many(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, 800_000))
            await send_body(caller, BLOCK, 400_000)

        self.play(script, 400)

    def test_trickling(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, BODY_BYTES))
            await send_body(caller, BLOCK, BODY_BYTES - MISSING_BYTES)
            while True:
                await caller.send(b"a")
                await asyncio.sleep(0.2)

        self.play(script, 60)

    def test_after_a_continue(self):
        async def script(caller):
            lines = (b"Content-Length: %d" % BODY_BYTES, b"Expect: 100-continue")
            await caller.send(head(SERVICE, *lines))
            await caller.receive()
            await send_body(caller, BLOCK, BODY_BYTES - MISSING_BYTES)

        self.play(script, 60)


class BodiesOverTheLimitTest(CrowdTest):
    def test_announced(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, 10_000_000_000))
            while True:
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_chunks_without_end(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE))
            while True:
                await caller.send(chunk(BLOCK))

        self.play(script, 60)

    def test_one_chunk(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE) + b"ffffffff\r\n")
            while True:
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_without_a_key(self):
        async def script(caller):
            lines = b"Content-Length: 10000000000\r\n\r\n"
            await caller.send(b"POST " + SERVICE + b" HTTP/1.1\r\nHost: a\r\n" + lines)
            while True:
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_extension_without_end(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE) + b"5;a=")
            while True:
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_trailers_without_end(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE) + b"0\r\n")
            while True:
                await caller.send(b"a: " + BLOCK[:100] + b"\r\n")

        self.play(script, 60)


class WholeBodiesTest(CrowdTest):
    """Bodies within the limits, whose answers take their time."""

    async def read_answers(self, crowd):
        reading = (self._read_answer(caller) for caller in crowd.callers)
        with suppress(TimeoutError):
            async with asyncio.timeout(GIVE_UP_SECONDS):
                await asyncio.gather(*reading, return_exceptions=True)
        self.statuses = [caller.status for caller in crowd.callers]

    async def _read_answer(self, caller):
        while not caller.received.endswith((b"ok", b"}")):
            data = await caller.receive()
            if not data:
                return
            caller.received += data

    def test_refusals_are_true(self):
        body = b"b" * BODY_BYTES

        async def script(caller):
            await caller.send(with_length(SLOW_SERVICE, BODY_BYTES))
            await caller.send(body)

        self.play(script, 60)
        served_count = self.statuses.count(200)
        self.assertTrue(served_count > 0, self.statuses)
        refused = {status for status in self.statuses if status != 200}
        self.assertTrue(refused <= REFUSALS, self.statuses)
        self.assertEqual(served_count, self.bodies.count(BODY_BYTES))

    def test_one_in_calm(self):
        body = b"b" * BODY_BYTES

        async def script(caller):
            await caller.send(with_length(SERVICE, BODY_BYTES))
            await caller.send(body)

        self.play(script, 1)
        self.assertEqual([200], self.statuses)

    def test_values_without_end(self):
        """Bodies of a model's requests take more memory as values than as text."""
        start = b'{"model":"m","messages":[{"role":"user","content":"a"}],"x":['
        values = b"{}," * ((BODY_BYTES - len(start) - 4) // 3)
        body = start + values + b"{}]}"

        async def script(caller):
            await caller.send(with_length(MODEL, len(body)))
            await caller.send(body)

        self.play(script, 8)


class RouteTest(TestCase):
    """The same at hosts that serve routes, which read a body for a caller's key."""

    def play(self, path, callers_count=60):
        manifest = {
            "version": 1,
            "routes": [
                {
                    "name": name,
                    "host": CALLED_HOST,
                    "path_prefix": f"/{name}/",
                    "kind": "idempotent",
                    "timeout_ms": 4000,
                    "target_latency_ms": 600,
                    "service": "plain",
                    "max_attempts": 2,
                    "public": name == "a",
                }
                for name in ("a", "keyed")
            ],
            "services": [
                {"name": "plain", "health_path": "/health", "max_connections": 200}
            ],
            "limits": {**LIMITS, "max_body_bytes": BODY_BYTES},
        }
        start = b"\r\n".join(
            (
                b"POST %b HTTP/1.1" % path,
                b"Host: " + CALLED_HOST.encode(),
                b"X-Rampwick-Request-Id: 1",
                b"Content-Length: %d" % BODY_BYTES,
            )
        )

        async def script(caller):
            await caller.send(start + b"\r\n\r\n")
            await send_body(caller, BLOCK, BODY_BYTES - MISSING_BYTES)

        async def main():
            async with run_fleet(HostFleet, manifest) as (fleet, _):
                await fleet.start_all([PlainServer("p")], 1)
                (host,) = fleet.hosts
                crowd = Crowd(MeteredHost(host.process, host.address))
                statuses = []

                async def ask_beside():
                    statuses.append(await fleet.call(host.address))

                await crowd.play(script, callers_count, ask_beside)
                statuses.append(await fleet.call(host.address))
                return crowd.peaks, statuses, host.has_ended

        peaks, statuses, has_ended = anyio.run(main)
        seen = f"{peaks}, ordinary requests {statuses}"
        self.assertFalse(has_ended, seen)
        self.assertTrue(peaks.held_bytes < HOST_BYTES, seen)
        self.assertEqual([200, 200], statuses, seen)

    def test_bodies_without_a_key(self):
        self.play(b"/keyed/x")

    def test_bodies_short_of_their_end(self):
        self.play(b"/a/x")


class HeadsTest(CrowdTest):
    def test_heads_short_of_their_end(self):
        start = b"GET " + SERVICE + b" HTTP/1.1\r\nHost: a\r\nX-A: "

        async def script(caller):
            await caller.send(start + b"a" * 60_000)

        self.play(script, 1500)

    def test_many_small_headers(self):
        start = b"GET %b HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %b\r\n"
        request = start % (SLOW_SERVICE, KEY.encode()) + b"a:\r\n" * 15_000 + b"\r\n"

        async def script(caller):
            await caller.send(request)
            await caller.read_on()

        self.play(script, 100)

    def test_head_without_end(self):
        async def script(caller):
            await caller.send(b"GET " + SERVICE + b" HTTP/1.1\r\nHost: a\r\nX-A: ")
            while True:
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_requests_behind_one_another(self):
        request = b"GET %b HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %b\r\n\r\n"
        requests = request % (SERVICE, KEY.encode()) * 500

        async def script(caller):
            while True:
                await caller.send(requests)

        self.play(script, 60)


class ConnectionsTest(CrowdTest):
    async def ask_more(self, host):
        self.assertEqual(200, await ask(host.ready, "/readyz"))
        self.assertEqual(200, await ask(host.admin, "/status"))

    def test_idle_connections(self):
        async def script(caller):
            await caller.read_on()

        self.play(script, 600, max_files_count=FILES_COUNT)

    def test_connections_that_have_sent_a_byte(self):
        async def script(caller):
            await caller.send(b"G")
            await caller.read_on()

        self.play(script, 600, max_files_count=FILES_COUNT)

    def test_bodies_short_of_their_end(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, 1000) + b"a")
            await caller.read_on()

        self.play(script, 600, max_files_count=FILES_COUNT)


class Http2Test(CrowdTest):
    """The same by HTTP/2, which the callers' listener speaks without negotiation."""

    def _script(self, streams_count, send):
        async def script(caller):
            config = h2.config.H2Configuration(client_side=True)
            connection = h2.connection.H2Connection(config=config)
            connection.initiate_connection()
            await caller.send(connection.data_to_send())
            fields = [
                (":method", "POST"),
                (":scheme", "http"),
                (":authority", "a"),
                (":path", SERVICE.decode()),
                ("authorization", f"Bearer {KEY}"),
            ]
            await self._receive(caller, connection)
            for stream_id in range(1, 2 * streams_count, 2):
                connection.send_headers(stream_id, fields)
            await caller.send(connection.data_to_send())
            await send(caller, connection, range(1, 2 * streams_count, 2))

        return script

    async def _receive(self, caller, connection):
        data = await caller.receive()
        if not data:
            raise OSError("closed")
        connection.receive_data(data)
        await caller.send(connection.data_to_send())

    async def _send_bodies(self, caller, connection, stream_ids):
        remaining = dict.fromkeys(stream_ids, BODY_BYTES - MISSING_BYTES)
        while remaining:
            for stream_id in list(remaining):
                try:
                    window = connection.local_flow_control_window(stream_id)
                except h2.exceptions.StreamClosedError:
                    del remaining[stream_id]
                    continue
                size = min(window, connection.max_outbound_frame_size)
                size = min(size, remaining[stream_id])
                if size > 0:
                    connection.send_data(stream_id, BLOCK[:size])
                    remaining[stream_id] -= size
                if not remaining[stream_id]:
                    del remaining[stream_id]
            data = connection.data_to_send()
            if data:
                await caller.send(data)
            with suppress(TimeoutError):
                async with asyncio.timeout(0.05 if data else None):
                    await self._receive(caller, connection)

    def test_bodies_short_of_their_end(self):
        self.play(self._script(100, self._send_bodies), 1)

    def test_bodies_short_of_their_end_on_several(self):
        self.play(self._script(50, self._send_bodies), 4)

    def _flood(self, frames, callers_count, start=b""):
        async def script(caller):
            await caller.send(PREFACE + SETTINGS_FRAME + start)
            reading = asyncio.ensure_future(caller.read_on())
            try:
                while True:
                    await caller.send(frames)
            finally:
                reading.cancel()

        self.play(script, callers_count)

    def test_empty_settings(self):
        self._flood(SETTINGS_FRAME * 5000, 60)

    def test_pings(self):
        self._flood(PING_FRAME * 3000, 60)

    def test_priorities(self):
        frames = b"".join(
            struct.pack(">xHBBIIB", 5, 2, 0, stream_id, 0, 0)
            for stream_id in range(1, 6000, 2)
        )
        self._flood(frames, 60)

    def test_unknown_frames(self):
        self._flood(b"\x00\x00\x00\xbb\x00\x00\x00\x00\x00" * 5000, 60)

    def test_empty_data(self):
        fields = b"\x83\x86\x04\x12" + SERVICE + b"\x41\x01a"
        fields += b"\x0f\x08\x0c" + b"Bearer " + KEY.encode()
        headers = struct.pack(">xHBBI", len(fields), 1, 4, 1) + fields
        self._flood(struct.pack(">xHBBI", 0, 0, 0, 1) * 5000, 60, headers)

    def test_updates_of_a_window(self):
        fields = b"\x82\x86\x04" + bytes([len(SLOW_SERVICE)]) + SLOW_SERVICE
        fields += b"\x41\x01a\x0f\x08\x0c" + b"Bearer " + KEY.encode()
        headers = struct.pack(">xHBBI", len(fields), 1, 5, 1) + fields
        self._flood(struct.pack(">xHBBII", 4, 8, 0, 1, 1) * 3000, 60, headers)

    def test_empty_data_of_a_stream_that_was_reset(self):
        fields = b"\x83\x86\x04\x12" + SERVICE + b"\x41\x01a"
        fields += b"\x0f\x08\x0c" + b"Bearer " + KEY.encode()
        headers = struct.pack(">xHBBI", len(fields), 1, 4, 1) + fields
        # A stream whose window overflows is reset.
        overflow = struct.pack(">xHBBII", 4, 8, 0, 1, 0x7FFFFFFF)
        empty = struct.pack(">xHBBI", 0, 0, 0, 1) * 5000
        self._flood(empty, 60, headers + overflow)

    def test_long_frame(self):
        async def script(caller):
            announced = b"\xff\xff\xff\x01\x04" + struct.pack(">I", 1)
            await caller.send(PREFACE + SETTINGS_FRAME + announced)
            for _ in range(250):
                await caller.send(BLOCK)

        self.play(script, 60)

    def test_continuations_without_end(self):
        headers = struct.pack(">xHBBI", 2, 1, 0, 1) + b"\x83\x86"
        frame = struct.pack(">xHBBI", 16_000, 9, 0, 1) + b"a" * 16_000
        self._flood(frame, 60, headers)

    def test_many_small_headers(self):
        path = SLOW_SERVICE
        fields = b"\x82\x86\x04" + bytes([len(path)]) + path + b"\x41\x01a"
        fields += b"\x0f\x08\x0c" + b"Bearer " + KEY.encode()
        # A header that the first request adds to the table, and others name.
        first = fields + b"\x40\x01a\x01b" + b"\xbe" * 1_800
        later = fields.replace(b"\x41\x01a", b"\x01\x01a") + b"\xbe" * 1_800

        async def script(caller):
            await caller.send(PREFACE + SETTINGS_FRAME)
            for stream_id in range(1, 201, 2):
                block = first if stream_id == 1 else later
                head_frame = struct.pack(">xHBBI", len(block), 1, 5, stream_id)
                await caller.send(head_frame + block)
            await caller.read_on()

        self.play(script, 8)

    def test_streams_that_are_reset(self):
        async def script(caller):
            await caller.send(PREFACE + SETTINGS_FRAME)
            reading = asyncio.ensure_future(caller.read_on())
            fields = b"\x82\x86\x04\x12" + SERVICE + b"\x41\x01a"
            fields += b"\x0f\x08\x0c" + b"Bearer " + KEY.encode()
            try:
                for stream_id in range(1, 2_000_000, 2):
                    headers = struct.pack(">xHBBI", len(fields), 1, 5, stream_id)
                    reset = struct.pack(">xHBBII", 4, 3, 0, stream_id, 8)
                    await caller.send(headers + fields + reset)
                    # A send that need not wait does not let other callers go on.
                    await asyncio.sleep(0)
            finally:
                reading.cancel()

        self.play(script, 20)


class ReleaseTest(TestCase):
    """What callers held is free again once they have left."""

    def held(self, host):
        return httpx.get(f"http://{host.admin}/status").json()["caller_memory"]

    def play(self, script):
        with ExitStack() as stack:
            upstream = Upstream()
            stack.callback(upstream.close)
            host = Host(upstream, stack)
            host.until_up()
            crowd = Crowd(host)
            peaks = []

            async def look() -> None:
                peaks.append(await asyncio.to_thread(self.held, host))

            asyncio.run(crowd.play(script, 30, look))
            upstream.answer()
            for _ in range(200):
                left = self.held(host)
                if not left["held_bytes"]:
                    break
                time.sleep(0.05)
            self.assertTrue(peaks[0]["peak_bytes"] > 0)
            self.assertEqual((0, 0), (left["held_bytes"], left["connections_count"]))

    def test_bodies_short_of_their_end(self):
        async def script(caller):
            await caller.send(with_length(SERVICE, BODY_BYTES))
            await send_body(caller, BLOCK, BODY_BYTES - MISSING_BYTES)

        self.play(script)

    def test_whole_requests(self):
        async def script(caller):
            await caller.send(with_length(SLOW_SERVICE, 100_000))
            await caller.send(b"b" * 100_000)

        self.play(script)

    def test_small_chunks(self):
        async def script(caller):
            await caller.send(in_chunks(SERVICE))
            await send_body(caller, TINY_CHUNKS, 500_000)

        self.play(script)

    def test_http2(self):
        async def script(caller):
            await caller.send(PREFACE + SETTINGS_FRAME + PING_FRAME * 900)
            await caller.send(struct.pack(">xHBBI", 16_000, 1, 0, 1) + b"\x82" * 15_000)

        self.play(script)

    def test_requests_behind_one_another(self):
        request = b"GET %b HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer %b\r\n\r\n"

        async def script(caller):
            await caller.send(request % (SLOW_SERVICE, KEY.encode()) * 100)

        self.play(script)
