"""Answers that were cut short are never framed as complete."""

import anyio
import h2.config
import h2.connection
import h2.events
from testtools import TestCase

from rampwick_policy import (
    AnswerContent,
    BodyEnd,
    ReceivedAnswer,
    find_defect,
)
from rampwick_router.entry._event_framing import EventFramer
from rampwick_schema import HostEntry

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
        async def scenario(host, servers):
            all_scripts(servers, until_close(b""))
            return await host.call("/brittle/1")

        self.assertEqual(502, run(scenario).status)

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


class DefectTest(TestCase):
    def defect(self, body, body_end):
        framer = EventFramer(1000, "peer")
        framer.feed(body)
        return find_defect(
            ReceivedAnswer(
                AnswerContent.EVENTS,
                body_end,
                events_count=framer.count,
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
                return [await call_service(host, GET_SERVICE) for _ in range(3)]

        views = self.run_scenario(scenario)
        self.assertEqual([False, False, True], [view.is_whole for view in views])


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


class MultiplexedCallerTest(TestCase):
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
