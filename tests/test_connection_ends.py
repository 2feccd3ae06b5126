"""Guards against callers' connections that end with a whole request unanswered."""

import asyncio
import contextlib
import json
import os
import select
from unittest import mock

import anyio
import attrs
import h2.config
import h2.connection
import h2.events
from testtools import TestCase

from rampwick_policy._idle_bounds import MARGIN_SECONDS
from rampwick_router._native_dialect import NativeUpstreamDialect
from rampwick_router.entry._entry import CALLER_CHECK_SECONDS
from rampwick_router.entry._routed_entry import RoutedEntry
from rampwick_schema import CallerLimits

from .scripted import HOST, KEY, Hangup, all_received, make_tree, read_response
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


async def response_waits(stream):
    """Return when the kernel has a part of the response."""
    poll = select.poll()
    poll.register(
        stream.extra(anyio.abc.SocketAttribute.raw_socket).fileno(), select.POLLIN
    )
    while not poll.poll(0):
        await anyio.sleep(0.005)


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

    def test_forced_stop_while_the_rest_of_the_body_is_read(self):
        # The stop ended the reading, and the reset took the response from its caller.
        async def scenario(host, servers):
            async with connect(host) as stream:
                head = request_head("/once/1", WITH_ID, length=LARGE_BODY_BYTES)
                await stream.send(head)
                for _ in range(LARGE_BODY_BYTES // CHUNK_BYTES - 1):
                    await stream.send(b"x" * CHUNK_BYTES)
                await response_waits(stream)
                host.daemon.lifecycle.begin_stop()
                host.daemon.lifecycle.begin_stop()
                await anyio.sleep(2 * CALLER_CHECK_SECONDS)
                await stream.send(b"x" * CHUNK_BYTES)
                return await read_response(stream)

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


class UpgradeTest(TestCase):
    def test_offer_of_a_websocket_is_ignored(self):
        async def scenario(host, servers):
            head = request_head(
                "/once/1",
                WITH_ID,
                "Connection: upgrade",
                "Upgrade: websocket",
                "Sec-WebSocket-Version: 13",
                "Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==",
                method="GET",
                length=None,
            )
            return await send_whole(host, head)

        response = run(scenario)
        self.assertEqual((200, b"done"), (response.status, response.body))


class Http2Caller:
    """A caller with one HTTP/2 connection, on which a test sends what it likes."""

    def __init__(self, stream):
        self.stream = stream
        config = h2.config.H2Configuration(client_side=True)
        self.connection = h2.connection.H2Connection(config=config)
        self.connection.initiate_connection()
        self.statuses = {}
        self.ended = set()
        #: The last stream that the host names as it ends the connection.
        self.last_stream_id = None

    def send_headers(self, stream_id, path, *, has_body=False):
        """Begin a request."""
        headers = [
            (":method", "POST"),
            (":path", path),
            (":scheme", "http"),
            (":authority", HOST),
            ("authorization", f"Bearer {KEY}"),
        ]
        if path.startswith(("/once", "/stream")):
            headers.append(("rampwick-request-id", f"r{stream_id}"))
        self.connection.send_headers(stream_id, headers, end_stream=not has_body)

    async def flush(self):
        """Send what is due."""
        await self.stream.send(self.connection.data_to_send())

    async def read_until_ended(self, stream_id):
        """Read until a stream has ended."""
        while stream_id not in self.ended:
            self.receive(await self.stream.receive())
            await self.flush()

    def receive(self, data):
        """Note what the host has sent."""
        for event in self.connection.receive_data(data):
            if isinstance(event, h2.events.ResponseReceived):
                self.statuses[event.stream_id] = int(dict(event.headers)[b":status"])
            elif isinstance(event, h2.events.DataReceived):
                self.connection.acknowledge_received_data(
                    event.flow_controlled_length, event.stream_id
                )
            elif isinstance(event, h2.events.StreamEnded | h2.events.StreamReset):
                self.ended.add(event.stream_id)
            elif isinstance(event, h2.events.ConnectionTerminated):
                self.last_stream_id = event.last_stream_id


class Http2Test(TestCase):
    def test_data_after_a_response_leaves_other_streams_alone(self):
        async def scenario(host, servers):
            release = anyio.Event()

            async def answer_later(exchange):
                await release.wait()
                await exchange.answer()

            for upstream in servers.values():
                upstream.scripts = [answer_later]
            async with connect(host) as stream:
                caller = Http2Caller(stream)
                caller.send_headers(1, "/once/1")
                caller.send_headers(3, "/nowhere", has_body=True)
                await caller.flush()
                await all_received(servers, 1)
                # The host answers without the rest of this body, which is under way.
                await caller.read_until_ended(3)
                for _ in range(3):
                    caller.connection.send_data(3, b"x" * 1000)
                    await caller.flush()
                    await anyio.sleep(0.02)
                release.set()
                await caller.read_until_ended(1)
                return caller.statuses

        with mock.patch(
            "rampwick_router.entry._request_body.DISCARD_TIMEOUT_SECONDS",
            0.05,
            create=True,
        ):
            self.assertEqual({1: 200, 3: 400}, run(scenario))


class IdleTest(TestCase):
    """Connections rest as long as the configuration says, and no request is cut."""

    def idle_tree(self, idle_seconds, revision):
        """Return a configuration with a bound on idle connections."""
        tree = make_tree(revision)
        limits = CallerLimits(
            idle_timeout_seconds=idle_seconds, body_timeout_seconds=0.05
        )
        return attrs.evolve(
            tree, routing=attrs.evolve(tree.routing, caller_limits=limits)
        )

    def call_after_rest(self, idle_seconds, rest_seconds):
        """Return the response on a connection that has rested; None if it was closed.

        The second bound comes into force while the connection rests.
        """

        async def scenario(host, servers):
            async with connect(host) as stream:
                for revision, seconds in enumerate(idle_seconds, 2):
                    host.store.write("config/main", self.idle_tree(seconds, revision))
                    while host.daemon.follower.revision < revision:
                        await anyio.sleep(0.005)
                    if revision == 2:
                        await stream.send(request_head("/once/1", WITH_ID))
                        await read_response(stream)
                await anyio.sleep(rest_seconds)
                try:
                    await stream.send(request_head("/once/1", WITH_ID))
                except anyio.BrokenResourceError:
                    return 0
                return (await read_response(stream)).status

        with mock.patch("rampwick_router._servers.KEEP_ALIVE_SECONDS", 0.2):
            return run(scenario)

    def test_connection_rests_as_long_as_the_configuration_says(self):
        self.assertEqual(200, self.call_after_rest([30.0], 0.6))
        self.assertEqual(0, self.call_after_rest([0.1], MARGIN_SECONDS + 0.6))

    def test_head_that_arrives_slowly_is_not_rest(self):
        async def scenario(host, servers):
            tree = self.idle_tree(0.05, 2)
            limits = attrs.evolve(tree.routing.caller_limits, body_timeout_seconds=10.0)
            routing = attrs.evolve(tree.routing, caller_limits=limits)
            host.store.write("config/main", attrs.evolve(tree, routing=routing))
            while host.daemon.follower.revision < 2:
                await anyio.sleep(0.005)
            head = request_head("/once/1", WITH_ID)
            async with connect(host) as stream:
                await stream.send(head[:40])
                await anyio.sleep(0.3)
                await stream.send(head[40:])
                return (await read_response(stream)).status

        self.assertEqual(200, run(scenario))

    def test_longer_bound_holds_for_connections_at_rest(self):
        rest_seconds = MARGIN_SECONDS + 1.0
        self.assertEqual(200, self.call_after_rest([0.4, 30.0], rest_seconds))

    def test_longer_bound_that_was_in_force_for_a_part_of_the_rest_holds(self):
        rest_seconds = MARGIN_SECONDS + 1.0
        self.assertEqual(200, self.call_after_rest([0.4, 30.0, 0.4], rest_seconds))

    def test_request_that_arrives_as_the_idle_time_ends_is_answered(self):
        async def scenario(host, servers):
            host.store.write("config/main", self.idle_tree(0.2, 2))
            while host.daemon.follower.revision < 2:
                await anyio.sleep(0.005)
            wait_for = asyncio.wait_for
            callers = []

            async def wait_then_send(awaitable, timeout):
                try:
                    return await wait_for(awaitable, timeout)
                finally:
                    # The event loop has no chance to read this before it closes.
                    if "EventWrapper" in awaitable.__qualname__:
                        os.write(callers[0], request_head("/once/1", WITH_ID))

            with mock.patch.object(asyncio, "wait_for", wait_then_send):
                async with connect(host) as stream:
                    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    callers.append(raw.fileno())
                    return (await read_response(stream)).status

        with mock.patch("rampwick_router._servers.KEEP_ALIVE_SECONDS", 0.2):
            self.assertEqual(200, run(scenario))


class ClosedConnectionTest(TestCase):
    def test_connection_that_its_caller_closed_is_released(self):
        async def scenario(host, servers):
            await host.call("/once/1")
            count = len(os.listdir("/proc/self/fd"))
            for _ in range(20):
                await host.call("/once/1")
            with anyio.move_on_after(5.0):
                while len(os.listdir("/proc/self/fd")) > count + 1:
                    await anyio.sleep(0.01)
            return len(os.listdir("/proc/self/fd")) - count

        self.assertLessEqual(run(scenario), 1)


class PipelinedRequestTest(TestCase):
    def test_connection_with_a_request_behind_its_last_response_is_released(self):
        async def scenario(host, servers):
            host.daemon.lifecycle.begin_stop()
            await host.call("/once/1")
            count = len(asyncio.all_tasks())
            for _ in range(5):
                async with connect(host) as stream:
                    await stream.send(2 * request_head("/once/1", WITH_ID))
                    self.assertEqual(200, (await read_response(stream)).status)
            with anyio.move_on_after(5.0):
                while len(asyncio.all_tasks()) > count + 1:
                    await anyio.sleep(0.01)
            return len(asyncio.all_tasks()) - count

        self.assertLessEqual(run(scenario), 1)


class RecheckTest(TestCase):
    def test_unconfirmed_configuration_is_refreshed_before_an_attempt(self):
        """Guards against a resumed stream that is cut for want of a confirmation."""

        async def scenario(host, servers):
            daemon = host.daemon

            async def check_then_expire(entry, call, body, arrived_at_seconds):
                checked = await real_check(entry, call, body, arrived_at_seconds)
                daemon._configuration._confirmed_at_seconds = -1e9
                return checked

            real_check = RoutedEntry._check
            with mock.patch.object(RoutedEntry, "_check", check_then_expire):
                return await host.call("/once/1")

        platform = "max_key_age_seconds = 30.0"
        self.assertEqual(200, run(scenario, platform=platform).status)


class RecordTest(TestCase):
    """Each request that ends without a complete response is counted by its reason."""

    def count_cut(self, script, end, **options):
        """Return the counted reasons of one request."""

        async def scenario(host, servers):
            for upstream in servers.values():
                upstream.scripts = [script]
            async with connect(host) as stream:
                await stream.send(request_head("/brittle/1", WITH_ID))
                await end(host, servers, stream)
            while host.daemon.entry.open_count:
                await anyio.sleep(0.005)
            samples = host.daemon._context.metrics.unanswered.collect()[0].samples
            return {
                sample.labels["reason"]: sample.value
                for sample in samples
                if sample.name.endswith("_total")
            }

        return run(scenario, **options)

    async def begin(self, exchange):
        """Begin a stream."""
        await exchange.send(exchange.head(extra=b"Content-Type: text/event-stream"))
        await exchange.send(b"data: 1\n\n")

    async def begin_and_break_off(self, exchange):
        """Begin a stream and reset the connection."""
        await self.begin(exchange)
        exchange.reset()
        raise Hangup

    async def begin_and_wait(self, exchange):
        """Begin a stream that does not end."""
        await self.begin(exchange)
        await anyio.sleep_forever()

    def test_upstream_that_breaks_off(self):
        async def end(host, servers, stream):
            self.assertFalse((await read_response(stream)).is_whole)

        reasons = self.count_cut(self.begin_and_break_off, end)
        self.assertEqual({"upstream_failed": 1.0}, reasons)

    def test_caller_that_leaves(self):
        async def end(host, servers, stream):
            await stream.receive()

        self.assertEqual({"caller_left": 1.0}, self.count_cut(self.begin_and_wait, end))

    def test_caller_that_does_not_read(self):
        async def send_much(exchange):
            await self.begin(exchange)
            while True:
                await exchange.send(b"data: " + b"x" * 60_000 + b"\n\n")

        async def end(host, servers, stream):
            await all_received(servers, 1)
            while host.daemon.entry.open_count:
                await anyio.sleep(0.005)

        limits = "[limits]\nwrite_timeout_seconds = 0.2\n"
        reasons = self.count_cut(send_much, end, retry=limits)
        self.assertEqual({"caller_stalled": 1.0}, reasons)

    def test_forced_shutdown(self):
        async def end(host, servers, stream):
            await stream.receive()
            host.daemon.lifecycle.begin_stop()
            host.daemon.lifecycle.begin_stop()
            with contextlib.suppress(anyio.EndOfStream, anyio.BrokenResourceError):
                while True:
                    await stream.receive()

        self.assertEqual({"leaving": 1.0}, self.count_cut(self.begin_and_wait, end))


class ConfigurationErrorTest(TestCase):
    """An error while a configuration is applied ends no host, nor its requests."""

    def call_after(self, faulty, name):
        """Return the status of a call after an update during a fault."""

        async def scenario(host, servers):
            faults = []

            def fail(*_):
                faults.append(name)
                raise ValueError("unexpected")

            with mock.patch.object(faulty(host), name, fail):
                host.store.write("config/main", make_tree(2))
                while not faults:
                    await anyio.sleep(0.005)
            return (await host.call("/once/1")).status

        return run(scenario)

    def test_error_while_a_configuration_is_read(self):
        status = self.call_after(
            lambda host: host.daemon._configuration.source._decoder, "read_tree"
        )
        self.assertEqual(200, status)

    def test_error_while_a_configuration_is_announced(self):
        status = self.call_after(lambda host: host.daemon._configuration, "announce")
        self.assertEqual(200, status)
