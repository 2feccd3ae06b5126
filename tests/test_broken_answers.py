"""Answers that were cut short are never framed as complete."""

import gc
import math
import socket
import struct
from unittest import mock

import anyio
import h2.config
import h2.connection
import h2.events
import h2.settings
from testtools import TestCase

from rampwick_policy import (
    AnswerContent,
    AttemptFailed,
    BodyEnd,
    Outcome,
    ReceivedAnswer,
    find_defect,
)
from rampwick_router._caller_sockets import CallerConnection
from rampwick_router._errors import AttemptError
from rampwick_router._headers import ResponseHead
from rampwick_router._http2 import ResettingH2Protocol
from rampwick_router._native_dialect import NativeControlDialect
from rampwick_router.entry._answer_end import BodyTracker
from rampwick_router.entry._event_framing import EventFramer
from rampwick_router.entry._relay import Relay
from rampwick_schema import DataError, HostEntry

from .bench import KEY, until
from .case import ScenarioCase
from .scripted import KEY as ROUTE_KEY, Hangup, ScriptedUpstream, read_response
from .test_routed import CHUNKED, all_scripts, chunk, event, ran, run

PARTIAL_EVENT = b"id: 4\ndata: ha"


def whole(last):
    """Return the events of a stream up to one of them."""
    return b"".join(event(number) for number in range(1, last + 1))


def until_close(body):
    """Return a script that ends a body without a length by closing."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=b"Content-Type: text/event-stream"))
        await exchange.send(body)
        raise Hangup

    return script


def in_chunks(body):
    """Return a script that ends a body by the last chunk."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=CHUNKED))
        await exchange.send(chunk(body) + b"0\r\n\r\n")

    return script


def with_length(body):
    """Return a script that states the length of a body."""

    async def script(exchange):
        await exchange.answer(body)

    return script


FRAMINGS = (until_close, in_chunks, with_length)


class CutStreamTest(TestCase):
    """A stream that ends inside an event has been broken off, however it is framed."""

    def test_stream_that_ends_inside_an_event_is_not_complete(self):
        for frame in FRAMINGS:

            async def scenario(host, servers, frame=frame):
                all_scripts(servers, frame(whole(3) + PARTIAL_EVENT))
                return await host.call("/brittle/1"), ran(servers)

            response, received = run(scenario)
            self.assertEqual(
                (whole(3), False, 1),
                (response.body, response.is_whole, len(received)),
                frame.__name__,
            )

    def test_resumable_stream_goes_on_elsewhere_after_a_cut_inside_an_event(self):
        for frame in FRAMINGS:

            async def scenario(host, servers, frame=frame):
                cut, rest = frame(whole(3) + PARTIAL_EVENT), in_chunks(event(4))

                async def cut_then_go_on(exchange):
                    for server in servers.values():
                        server.scripts = [rest]
                    await cut(exchange)

                all_scripts(servers, cut_then_go_on)
                return await host.call("/stream/1"), ran(servers)

            response, received = run(scenario)
            self.assertEqual(
                (whole(4), True, ["c", "d"]),
                (response.body, response.is_whole, received),
                frame.__name__,
            )

    def test_closed_connection_without_an_event_is_no_answer(self):
        # Servers send comments as heartbeats before the first event.
        for body, expected in ((b"", (502, True)), (b": ok\n\n", (200, False))):

            async def scenario(host, servers, body=body):
                all_scripts(servers, until_close(body))
                return await host.call("/brittle/1")

            response = run(scenario)
            self.assertEqual(expected, (response.status, response.is_whole), body)

    def test_stream_that_ends_between_events_is_complete_however_it_is_framed(self):
        for frame in FRAMINGS:
            for end in (b"", b": the end\n", b"\n\n"):

                async def scenario(host, servers, frame=frame, end=end):
                    all_scripts(servers, frame(whole(3) + end))
                    return await host.call("/brittle/1")

                response = run(scenario)
                self.assertEqual(
                    (whole(3) + end, True),
                    (response.body, response.is_whole),
                    (frame.__name__, end),
                )

    def test_answer_of_another_type_on_a_stream_route_is_not_cut(self):
        for status in (200, 201):

            async def scenario(host, servers, status=status):
                async def answer(exchange):
                    extra = b"Content-Type: application/json"
                    await exchange.answer(b'{"a": 1}', status, extra)

                all_scripts(servers, answer)
                return await host.call("/stream/1")

            response = run(scenario)
            self.assertEqual(
                (status, b'{"a": 1}', True),
                (response.status, response.body, response.is_whole),
            )


class StartedAnswerTest(TestCase):
    """Only a stream with ids is continued by another attempt."""

    def answer(self, first, second):
        async def scenario(host, servers):
            async def first_then_second(exchange):
                for server in servers.values():
                    server.scripts = [second]
                await first(exchange)

            all_scripts(servers, first_then_second)
            return await host.call("/stream/1"), len(ran(servers))

        return run(scenario)

    def test_cut_body_of_an_error_is_not_continued_by_a_stream(self):
        async def large_error(exchange):
            await exchange.send(exchange.head(500, length=400_000) + b"x" * 300_000)
            await anyio.sleep(0.1)
            raise Hangup

        response, runs_count = self.answer(large_error, in_chunks(whole(3)))
        self.assertEqual(
            (500, False, 1), (response.status, response.is_whole, runs_count)
        )
        self.assertEqual(set(b"x"), set(response.body))

    def test_stream_goes_on_elsewhere_after_a_heartbeat(self):
        response, runs_count = self.answer(
            until_close(b": ok\n\n" + PARTIAL_EVENT), in_chunks(whole(3))
        )
        self.assertEqual(
            (b": ok\n\n" + whole(3), True, 2),
            (response.body, response.is_whole, runs_count),
        )

    def test_event_that_was_cut_is_due_from_the_next_attempt(self):
        cut = until_close(whole(3) + PARTIAL_EVENT)

        async def no_content(exchange):
            await exchange.send(exchange.head(204))

        for rest in (
            until_close(whole(2)),
            in_chunks(b": ok\n"),
            with_length(b""),
            no_content,
        ):
            response, _ = self.answer(cut, rest)
            self.assertEqual((whole(3), False), (response.body, response.is_whole))

    def test_stream_that_broke_after_its_last_event_is_complete(self):
        response, _ = self.answer(cut_stream, in_chunks(b": ok\n\n"))
        self.assertTrue(response.is_whole)

    def test_events_without_ids_are_not_sent_twice(self):
        first, second = b"data: a\n\n", b"data: b\n\n"
        response, runs_count = self.answer(
            until_close(first + b"data: b"), in_chunks(first + second)
        )
        self.assertEqual(
            (first, False, 1), (response.body, response.is_whole, runs_count)
        )


class FrozenHostTest(TestCase):
    """After a freeze, timers run before the event loop reads its sockets."""

    def test_stream_reset_while_its_host_was_frozen_goes_on_elsewhere(self):
        async def scenario(host, servers):
            detector = host.daemon._components.stall_detector

            async def reset_unseen(exchange):
                for server in servers.values():
                    server.scripts = [in_chunks(event(4))]
                stream_type = b"Content-Type: text/event-stream"
                await exchange.send(exchange.head(extra=stream_type) + whole(3))
                await anyio.sleep(0.05)
                await until(
                    lambda: all(
                        read.waiting_since_seconds is not None
                        for read in detector._active.values()
                    )
                )
                exchange.reset()
                exchange.stream._transport.pause_reading()
                exchange.stream.extra(
                    anyio.abc.SocketAttribute.raw_socket
                )._sock.close()
                detector.check(now_seconds=math.inf)
                raise Hangup

            all_scripts(servers, reset_unseen)
            return await host.call("/stream/1"), ran(servers)

        response, received = run(scenario)
        self.assertEqual(
            (whole(4), True, ["c", "d"]),
            (response.body, response.is_whole, received),
        )


class DefectTest(TestCase):
    def defect(self, body, body_end):
        framer = EventFramer(1000, "peer")
        framer.feed(body)
        return find_defect(
            ReceivedAnswer(
                AnswerContent.EVENTS,
                body_end,
                events_count=framer.events_count,
                is_inside_event=framer.is_inside_event,
            )
        )

    def test_only_cuts_between_events_leave_a_complete_stream(self):
        for newline in (b"\n", b"\r\n", b"\r"):
            first = b"id: 1" + newline + b"data: a" + newline * 2
            body = first + b"id: 2" + newline + b"data: b" + newline * 2
            whole_at = {
                at
                for at in range(len(body) + 1)
                if not self.defect(body[:at], BodyEnd.CLOSED)
            }
            # With CRLF an event also ends at the CR of its empty line.
            ends = {len(first), len(body)}
            early = {end - 1 for end in ends} if newline == b"\r\n" else set()
            self.assertEqual(ends | early, whole_at, newline)

    def test_comments_are_no_events_even_after_a_byte_order_mark(self):
        for body in (b": ok\n\n", b"\xef\xbb\xbf: ok\n\n", b"\n\n\n"):
            self.assertNotEqual("", self.defect(body, BodyEnd.CLOSED), body)
            self.assertEqual("", self.defect(body[:-1], BodyEnd.DELIMITED), body)

    def test_line_terminators_may_be_mixed(self):
        for end in (b"\n\r\n", b"\r\n\n", b"\n\r", b"\r\n\r\n"):
            self.assertEqual("", self.defect(b"data: a" + end, BodyEnd.CLOSED), end)
        self.assertNotEqual("", self.defect(b"data: a\r\n", BodyEnd.CLOSED))

    def test_broken_connection_is_a_defect_of_every_content(self):
        for content in AnswerContent:
            answer = ReceivedAnswer(content, None, events_count=3)
            self.assertNotEqual("", find_defect(answer), content)

    def test_stated_end_of_an_empty_stream_is_complete(self):
        self.assertEqual("", self.defect(b"", BodyEnd.DELIMITED))
        self.assertNotEqual("", self.defect(b"", BodyEnd.CLOSED))


async def call_service(host, request):
    """Send a raw request for a plain service and return the response."""
    address, _, port = host.addresses.entry.rpartition(":")
    async with await anyio.connect_tcp(address, int(port)) as stream:
        await stream.send(request)
        return await read_response(stream)


GET_SERVICE = (
    b"GET /services/portal/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n"
    % KEY.encode()
)


class CutServiceAnswerTest(ScenarioCase):
    """A plain service's answer is cut where the service cut it."""

    def answer(self, script):
        async def scenario(bench):
            upstream = ScriptedUpstream("portal-1")
            upstream.scripts = [script]
            await bench.tasks.start(upstream.serve)
            entry = HostEntry(
                "portal-1", "service", "trnava", upstream.address, group="portal"
            )
            bench.list_entry(entry)
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: host.upstream("portal-1"))
                return await call_service(host, GET_SERVICE)

        return self.run_scenario(scenario)

    def test_cut_answer_is_not_ended_with_the_text_of_an_error(self):
        async def script(exchange):
            await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
            await anyio.sleep(0.05)
            raise Hangup

        view = self.answer(script)
        self.assertEqual((200, b"half", False), (view.status, view.body, view.is_whole))

    def test_answer_that_the_stand_in_cuts_is_not_complete(self):
        async def scenario(bench):
            service = bench.add_service("portal-1", "portal")
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: host.upstream("portal-1"))
                service.cut_answers_count = 2
                views = [await call_service(host, GET_SERVICE) for _ in range(3)]
                await anyio.sleep(0.1)
                return views, {method for method, _, _ in service.calls}

        views, methods = self.run_scenario(scenario)
        self.assertEqual([False, False, True], [view.is_whole for view in views])
        # Nothing reaches a service that no caller has sent.
        self.assertEqual({"GET"}, methods)

    def test_event_stream_of_a_service_is_not_complete_inside_an_event(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        for body, is_whole in ((whole(2), True), (whole(2) + PARTIAL_EVENT, False)):

            async def script(exchange, body=body):
                await exchange.send(head + body)
                raise Hangup

            view = self.answer(script)
            self.assertEqual((body, is_whole), (view.body, view.is_whole))


class BodyTrackerTest(TestCase):
    def is_complete(self, chunks):
        tracker = BodyTracker(
            ResponseHead(200, [(b"content-type", b"text/event-stream; charset=utf-8")])
        )
        for part in chunks:
            tracker.feed(part)
        try:
            tracker.check(BodyEnd.CLOSED, "read", "peer")
        except AttemptError:
            return False
        return True

    def test_long_events_and_chunks_that_split_an_empty_line(self):
        long_event = b"data: " + b"x" * 9000
        self.assertFalse(self.is_complete([long_event]))
        self.assertFalse(self.is_complete([long_event, b"\r\n"]))
        self.assertTrue(self.is_complete([long_event, b"\r\n", b"\r\n"]))
        self.assertTrue(
            self.is_complete([long_event[:8000], long_event[8000:], b"\n\n"])
        )
        self.assertFalse(self.is_complete([long_event, b"\n\n", b"id: 2\n"]))


class GivenUpAttemptTest(ScenarioCase):
    def test_attempt_that_was_given_up_starts_no_response(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            given_up = []
            forward = Relay._forward

            async def give_up_then_forward(relay, events, data_age_seconds):
                if not given_up:
                    given_up.append(relay._dispatch.attempt_id)
                    # As after a probe of the upstream that failed.
                    failed = AttemptFailed(
                        relay._target.request_id, given_up[0], Outcome.BROKEN, "probe"
                    )
                    relay._context.scheduler.post(failed)
                    await self.assert_stale(forward(relay, events, data_age_seconds))
                    await anyio.sleep_forever()
                await forward(relay, events, data_age_seconds)

            async with bench.run_host() as host:
                await host.until_ready("lektor-1", "lektor-2")
                with mock.patch.object(Relay, "_forward", give_up_then_forward):
                    return await host.stream("given up", max_tokens=6)

        response = self.run_scenario(scenario)
        self.assertEqual((200, True), (response.status, response.is_whole))

    async def assert_stale(self, delivery):
        """Check that a delivery is refused in a way that starts no resumption."""
        try:
            await delivery
        except AttemptError as error:
            self.assertEqual(Outcome.STALE, error.outcome)
        else:
            self.fail("the attempt delivered")


class ForcedShutdownTest(TestCase):
    def test_stream_at_a_forced_shutdown_is_cut_without_an_event_of_the_host(self):
        async def scenario(host, servers):
            async def endless(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))
                await exchange.send(chunk(event(1)))
                host.daemon.lifecycle.begin_stop()
                host.daemon.lifecycle.begin_stop()
                await anyio.sleep_forever()

            all_scripts(servers, endless)
            return await host.call("/stream/1")

        response = run(scenario)
        self.assertEqual((event(1), False), (response.body, response.is_whole))


async def cut_stream(exchange):
    """Stream three events and break off."""
    await exchange.send(exchange.head(extra=CHUNKED) + chunk(whole(3)))
    await anyio.sleep(0.05)
    raise Hangup


async def read_until_close(host, version):
    """Return the bytes of a stream, and whether its connection was reset."""
    address, _, port = host.address.partition(":")
    lines = [
        b"POST /brittle/1 HTTP/" + version,
        b"Host: labels.example",
        b"Rampwick-Request-Id: r1",
        b"Content-Length: 0",
        b"Authorization: Bearer " + ROUTE_KEY.encode(),
    ]
    received = b""
    async with await anyio.connect_tcp(address, int(port)) as stream:
        await stream.send(b"\r\n".join(lines) + b"\r\n\r\n")
        try:
            while True:
                received += await stream.receive()
        except anyio.EndOfStream:
            return received, False
        except anyio.BrokenResourceError:
            return received, True


class OldCallerTest(TestCase):
    """Callers without chunked encoding read until the connection is closed."""

    def read(self, script, version=b"1.0"):
        async def scenario(host, servers):
            all_scripts(servers, script)
            return await read_until_close(host, version)

        return run(scenario)

    def test_cut_stream_ends_with_a_reset(self):
        received, was_reset = self.read(cut_stream)
        self.assertTrue(received.endswith(whole(3)), received)
        self.assertTrue(was_reset)

    def test_connection_is_set_to_be_reset_until_the_end(self):
        lingers = []

        async def scenario(host, servers):
            async def script(exchange):
                await exchange.send(exchange.head(extra=CHUNKED) + chunk(whole(2)))
                await anyio.sleep(0.1)
                lingers.extend(
                    item.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
                    for item in gc.get_objects()
                    if isinstance(item, CallerConnection) and item.fileno() >= 0
                )
                await exchange.send(chunk(event(3)) + b"0\r\n\r\n")

            all_scripts(servers, script)
            return await read_until_close(host, b"1.0")

        received, was_reset = run(scenario)
        self.assertIn(struct.pack("ii", 1, 0), lingers)
        self.assertTrue(received.endswith(whole(3)))
        self.assertFalse(was_reset)

    def test_complete_stream_ends_with_an_orderly_close(self):
        received, was_reset = self.read(in_chunks(whole(3)))
        self.assertTrue(received.endswith(whole(3)), received)
        self.assertFalse(was_reset)

    def test_cut_stream_of_a_newer_caller_lacks_its_last_chunk(self):
        received, was_reset = self.read(cut_stream, b"1.1")
        self.assertTrue(received.endswith(chunk(whole(3))), received)
        self.assertFalse(was_reset)


async def read_http2(host, paths, until_count):
    """Send requests on one connection; return the data and end of each stream."""
    address, _, port = host.address.partition(":")
    connection = h2.connection.H2Connection(h2.config.H2Configuration())
    data, ends = {}, {}
    async with await anyio.connect_tcp(address, int(port)) as stream:
        connection.initiate_connection()
        for number, path in enumerate(paths):
            headers = [
                (":method", "POST"),
                (":path", path),
                (":scheme", "http"),
                (":authority", "labels.example"),
                ("rampwick-request-id", f"r{number}"),
                ("authorization", f"Bearer {ROUTE_KEY}"),
            ]
            connection.send_headers(2 * number + 1, headers, end_stream=True)
        await stream.send(connection.data_to_send())
        while len(ends) < until_count:
            for item in connection.receive_data(await stream.receive()):
                if isinstance(item, h2.events.DataReceived):
                    data[item.stream_id] = data.get(item.stream_id, b"") + item.data
                elif isinstance(item, h2.events.StreamEnded):
                    ends[item.stream_id] = "ended"
                elif isinstance(item, h2.events.StreamReset):
                    ends[item.stream_id] = "reset"
            await stream.send(connection.data_to_send())
    return data, ends


async def reset_streams(host, count):
    """Reset streams whose data the caller does not take; return the time to a reply."""
    address, _, port = host.address.partition(":")
    connection = h2.connection.H2Connection(h2.config.H2Configuration())
    async with await anyio.connect_tcp(address, int(port)) as stream:
        connection.initiate_connection()
        window = {h2.settings.SettingCodes.INITIAL_WINDOW_SIZE: 10}
        connection.update_settings(window)
        for number in range(count):
            headers = [
                (":method", "POST"),
                (":path", f"/brittle/{number}"),
                (":scheme", "http"),
                (":authority", "labels.example"),
                ("rampwick-request-id", f"r{number}"),
                ("authorization", f"Bearer {ROUTE_KEY}"),
            ]
            connection.send_headers(2 * number + 1, headers, end_stream=True)
        await stream.send(connection.data_to_send())
        with anyio.move_on_after(0.5):
            while True:
                connection.receive_data(await stream.receive())
                await stream.send(connection.data_to_send())
        for number in range(count):
            connection.reset_stream(2 * number + 1)
        connection.ping(b"12345678")
        await stream.send(connection.data_to_send())
        began_seconds = anyio.current_time()
        while True:
            for item in connection.receive_data(await stream.receive()):
                if isinstance(item, h2.events.PingAckReceived):
                    return anyio.current_time() - began_seconds


class MultiplexedCallerTest(TestCase):
    def test_resets_by_the_caller_do_not_hold_its_connection_up(self):
        async def scenario(host, servers):
            async def script(exchange):
                await exchange.send(exchange.head(extra=CHUNKED) + chunk(whole(900)))
                await anyio.sleep(5.0)

            all_scripts(servers, script)
            with anyio.fail_after(10.0):
                return await reset_streams(host, 12)

        # Each of twelve streams may wait for a quarter of a second.
        self.assertLess(run(scenario), 1.5)

    def test_buffers_of_cut_streams_are_released(self):
        protocols = []

        async def scenario(host, servers):
            all_scripts(servers, cut_stream)
            with anyio.fail_after(10.0):
                await read_http2(host, [f"/brittle/{n}" for n in range(5)], 5)
            await anyio.sleep(0.2)
            return [len(item.stream_buffers) for item in protocols]

        created = ResettingH2Protocol.__init__

        def note(protocol, *arguments):
            created(protocol, *arguments)
            protocols.append(protocol)

        with mock.patch.object(ResettingH2Protocol, "__init__", note):
            self.assertEqual([0], run(scenario))

    def test_cut_stream_is_reset_and_others_on_its_connection_go_on(self):
        async def scenario(host, servers):
            async def script(exchange):
                if exchange.request_id == "r0":
                    await cut_stream(exchange)
                await anyio.sleep(0.2)
                await in_chunks(whole(3))(exchange)

            all_scripts(servers, script)
            with anyio.fail_after(5.0):
                return await read_http2(host, ["/brittle/0", "/brittle/1"], 2)

        data, ends = run(scenario)
        self.assertEqual({1: whole(3), 3: whole(3)}, data)
        self.assertEqual({1: "reset", 3: "ended"}, ends)


class CutReportTest(TestCase):
    def test_cut_load_report_is_no_report_of_a_service(self):
        runner = HostEntry("r", "runner", "h", "1.1.1.1:1")
        read_probe = NativeControlDialect().read_probe
        for body in (b"", b'{"model": "m'):
            self.assertRaises(
                DataError, read_probe, runner, ResponseHead(200, []), body
            )
        service = HostEntry("s", "service", "h", "1.1.1.1:1")
        self.assertIsNone(read_probe(service, ResponseHead(200, []), b""))
