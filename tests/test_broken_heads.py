"""Heads of answers that were broken off never become answers to callers."""

import itertools
import json
import math
from contextlib import suppress
from unittest import mock

import anyio
import attrs
import orjson
from testtools import TestCase

from rampwick_adapter._control import ControlTranslation
from rampwick_platform import HttpObjectApi, PlatformError
from rampwick_policy import (
    BodyEnd,
    CrashTracker,
    CrashUpdateReceived,
    Dispatch,
    IncarnationKey,
    LoadReported,
    ProbeFailed,
    QuarantineState,
    RequestIdentity,
)
from rampwick_router._dialects import ControlRequest
from rampwick_router._errors import AttemptError
from rampwick_router.upstream._connection_pool import (
    ConnectionPool,
    UpstreamConnection,
)
from rampwick_router.upstream._control import DialectControl, call_upstream
from rampwick_schema import HostEntry, StewardSettings

from .bench import KEY, until
from .case import ScenarioCase
from .scripted import KEY as ROUTE_KEY, Hangup, ScriptedUpstream, set_reset_on_close
from .test_broken_answers import (
    GET_SERVICE,
    call_service,
    read_http2,
    read_until_close,
)
from .test_crash_attribution import DEADLY, NAMES as UPSTREAMS, OTHER, Host
from .test_hosts_cut_off import run_hosts
from .test_routed import CHUNKED, all_scripts, chunk, event, ran, run
from .test_tunnels import cut_off, is_tunnelled, run as run_tunnelled

BODY = b"hello"

#: Whole answers with the same body, by their framing.
ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: b\r\n\r\nhello",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"5\r\nhello\r\n0\r\n\r\n",
    "until close": b"HTTP/1.1 200 OK\r\nX-A: b\r\n\r\nhello",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\nX-A: b\r\n\r\nhello",
    "HTTP/1.0 with length": b"HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "no reason": b"HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello",
    "interim": b"HTTP/1.1 102 Processing\r\nX-A: b\r\n\r\nHTTP/1.1 103 Early Hints\r\n"
    b"\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
    "folded": b"HTTP/1.1 200 OK\r\nX-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello",
    "length of two digits": b"HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n" + BODY * 3,
}

#: Framings whose end is the connection's, so that a cut of the body can't be seen.
ENDLESS = ("until close", "HTTP/1.0")

BODILESS = {
    "204": ("GET", b"HTTP/1.1 204 No Content\r\nX-A: b\r\n\r\n"),
    "304": ("GET", b"HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n"),
    "HEAD": ("HEAD", b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"),
}

CLOSE, RESET, SILENCE = "close", "reset", "silence"


class PlayedSocket:
    """A connection on which given bytes arrive, and then its end."""

    def __init__(self, reads, ending):
        self.reads = list(reads)
        self.ending = ending
        self.sent_bytes_count = 0

    async def send(self, data, before_write):
        before_write()
        self.sent_bytes_count += len(data)

    async def receive(self):
        if self.reads:
            return self.reads.pop(0)
        if self.ending == RESET:
            raise ConnectionResetError("reset")
        if self.ending == SILENCE:
            await anyio.sleep_forever()
        return b""

    def unwatch(self):
        """Do nothing."""

    def is_readable(self):
        return bool(self.reads) or self.ending != SILENCE

    def discard_unsent(self):
        """Do nothing."""

    def close(self):
        """Do nothing."""


async def receive(connection, method="GET"):
    """Send a request; return status, body and its end, or None if it broke."""
    await connection.send(method, "/", [(b"host", b"a")], b"")
    try:
        head = await connection.receive_head()
        body = b"".join([part async for part in connection.receive_chunks()])
    except AttemptError:
        return None
    return head.status, body, connection.body_end


def play(data, ending, method="GET", size=None):
    """Return what a connection reads of an answer that arrives in pieces of a size."""

    async def main():
        step = size or max(1, len(data))
        reads = [data[at : at + step] for at in range(0, len(data), step)]
        connection = UpstreamConnection("u", PlayedSocket(reads, ending))
        with anyio.move_on_after(0.001 if ending == SILENCE else 10.0):
            return await receive(connection, method)

    return anyio.run(main)


class HeadTest(TestCase):
    """A connection ends an answer only where the answer itself ends."""

    def variants(self):
        """Yield answers, also with bare line feeds in all heads."""
        for name, answer in ANSWERS.items():
            yield name, answer
            head, end, body = answer.partition(b"\r\n\r\n")
            while body.startswith(b"HTTP"):
                more, end, body = body.partition(b"\r\n\r\n")
                head += end + more
            bare = (head + end).replace(b"\r\n", b"\n")
            yield f"{name}, bare line feeds", bare + body

    def test_answer_cut_at_any_byte_is_no_answer(self):
        for name, answer in self.variants():
            body = BODY * 3 if "two digits" in name else BODY
            is_endless = name.split(",")[0] in ENDLESS
            end = BodyEnd.CLOSED if is_endless else BodyEnd.DELIMITED
            whole_from = len(answer) - (len(body) if is_endless else 0)
            self.assertEqual((200, body, end), play(answer, CLOSE), name)
            for at in range(len(answer)):
                for ending in (CLOSE, RESET):
                    received = play(answer[:at], ending)
                    if is_endless and at >= whole_from and ending == CLOSE:
                        cut = body[: at - whole_from]
                        self.assertEqual((200, cut, end), received, name)
                        continue
                    self.assertIsNone(received, (name, answer[:at], ending))

    def test_size_of_reads_makes_no_difference(self):
        for name, answer in self.variants():
            whole = play(answer, CLOSE)
            for size in (1, 2, 3, 7):
                self.assertEqual(whole, play(answer, CLOSE, size=size), name)
            for at in (1, 12, 17, 30, len(answer) // 2):
                expected = play(answer[:at], CLOSE)
                self.assertEqual(expected, play(answer[:at], CLOSE, size=1), name)

    def test_answer_without_a_body_is_cut_like_any_other(self):
        for name, (method, answer) in BODILESS.items():
            received = play(answer, CLOSE, method)
            self.assertEqual((b"", BodyEnd.DELIMITED), received[1:], name)
            for at in range(len(answer)):
                self.assertIsNone(play(answer[:at], CLOSE, method), (name, at))

    def test_upstream_that_falls_silent_in_its_head_has_not_answered(self):
        for name, answer in ANSWERS.items():
            head_end = answer.rindex(b"\r\n\r\n") if "chunks" not in name else 20
            for at in (0, 9, 17, head_end, head_end + 2):
                self.assertIsNone(play(answer[:at], SILENCE), (name, at))

    def test_leftovers_of_an_answer_belong_to_no_other(self):
        first = ANSWERS["length"]
        for rest in (b"\r\n", b"HTTP/1.1 200 OK\r\n", first[:-1], first, b"x"):
            for reads in ([first + rest], [first, rest]):

                async def main(reads=reads):
                    connection = UpstreamConnection("u", PlayedSocket(reads, SILENCE))
                    await receive(connection)
                    return connection.is_reusable()

                self.assertFalse(anyio.run(main), (rest, len(reads)))


def cuts(head):
    """Return the beginnings of a head after which its upstream stops."""
    lines = head.removesuffix(b"\r\n\r\n").split(b"\r\n")
    length = head.lower().find(b"length: ")
    telling = [b"", head[:7], lines[0], head[:-4], head[:-2], head[:-1]]
    telling += [b"\r\n".join(lines[:count]) + b"\r\n" for count in range(1, len(lines))]
    telling += [
        head[:-2] + b"\r",
        head[: length + 9] if length > 0 else head[:-5],
        lines[0] + b"\r\nTransfer-Enc",
        lines[0] + b"\r\nTransfer-Encoding: chunked\r\n",
        lines[0] + b"\r\nX-A: b\r\n ",
        lines[0].replace(b"/1.1", b"/1.0") + b"\r\n",
        head[:-2].replace(b"\r\n", b"\n"),
        b"HTTP/1.1 102 Processing\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n" + head[:-2],
        b"HTTP/1.1 101 Switching Protocols\r\n\r\n",
        b"HTTP/1.1 204 No Content\r\n",
    ]
    return list(dict.fromkeys(telling))


def broken_then_sound(cut_of, sound, ending=CLOSE):
    """Return a script that breaks off the first answer to each request."""
    seen = set()

    async def script(exchange):
        key = exchange.headers.get("rampwick-request-id", exchange.target)
        if key in seen:
            await sound(exchange)
            return
        seen.add(key)
        await exchange.send(cut_of(exchange))
        if ending == RESET:
            # The bytes before it are read first.
            await anyio.sleep(0.005)
            exchange.reset()
        raise Hangup

    return script


async def answer_plain(exchange):
    """Answer like a sound service."""
    await exchange.answer(BODY)


async def answer_stream(exchange):
    """Answer with a stream of one event."""
    await exchange.send(exchange.head(extra=CHUNKED) + chunk(event(1)) + b"0\r\n\r\n")


NAMES = [f"u{number}" for number in range(12)]
HEAD = b"HTTP/1.1 200 OK\r\nRampwick-Request-Id: r\r\nRampwick-Incarnation: u\r\n"
HEAD_OF_LENGTH = HEAD + b"Content-Length: 1234\r\n\r\n"
HEAD_OF_CHUNKS = HEAD + b"%s\r\n\r\n" % CHUNKED

#: By route: a sound answer, its body, and whether another attempt may follow.
ROUTES = {
    "/once/": (answer_plain, BODY, False),
    "/again/": (answer_plain, BODY, True),
    "/brittle/": (answer_stream, event(1), False),
    "/stream/": (answer_stream, event(1), True),
}


class RouteTest(TestCase):
    """A head that broke off is repeated if the request may be, and 502 otherwise."""

    def send_all(self, path, sound, heads, ending):
        async def scenario(host, servers):
            found = {}
            for number, head in enumerate(heads):
                own = f"r{number}".encode()
                cut = head.replace(b"Id: r", b"Id: " + own)

                def cut_of(exchange, cut=cut):
                    name = exchange.upstream.name.encode()
                    return cut.replace(b"nation: u", b"nation: " + name)

                all_scripts(servers, broken_then_sound(cut_of, sound, ending))
                before = len(ran(servers))
                await until(lambda: host.daemon.scheduler.run_query(usable_count) > 2)
                view = await host.call(f"{path}{number}", request_id=f"r{number}")
                found[cut] = view, len(ran(servers)) - before
            return found

        service = "labels" if sound is answer_plain else "notes"
        return run(scenario, {service: NAMES})

    def test_head_that_broke_off_is_no_answer(self):
        heads = dict.fromkeys([*cuts(HEAD_OF_LENGTH), *cuts(HEAD_OF_CHUNKS)])
        for path, (sound, body, may_repeat) in ROUTES.items():
            for ending in (CLOSE, RESET):
                found = self.send_all(path, sound, heads, ending)
                for cut, (view, runs_count) in found.items():
                    case = path, ending, cut
                    self.assertTrue(view.is_whole, case)
                    if may_repeat:
                        self.assertEqual(
                            (200, body, 2), (view.status, view.body, runs_count), case
                        )
                        continue
                    self.assertEqual((502, 1), (view.status, runs_count), case)
                    self.assertEqual(
                        "maybe", json.loads(view.body)["error"]["was_run"], case
                    )


def usable_count(scheduler, now_seconds):
    """Return the number of upstreams that get new requests."""
    return sum(item.health.admit_ratio(now_seconds) > 0 for item in scheduler.upstreams)


#: Head of an answer of a plain service.
SERVICE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/x\r\nContent-Length: 12\r\n\r\n"


class ServiceTest(ScenarioCase):
    """Plain services: idempotent methods get another attempt, POST gets 502."""

    def call_all(self, method, head):
        async def scenario(bench):
            upstreams = [ScriptedUpstream(name) for name in NAMES]
            for upstream in upstreams:
                await bench.tasks.start(upstream.serve)
                bench.list_entry(
                    HostEntry(
                        upstream.name,
                        "service",
                        "trnava",
                        upstream.address,
                        group="portal",
                    )
                )
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: all(host.upstream(name) for name in NAMES))
                query = host.daemon.scheduler.run_query
                found = {}
                for number, cut in enumerate(cuts(head)):
                    for ending in (CLOSE, RESET):
                        script = broken_then_sound(
                            lambda _, cut=cut: cut, answer_unsigned, ending
                        )
                        for upstream in upstreams:
                            upstream.scripts = [script]
                        before = sum(len(item.requests) for item in upstreams)
                        await until(lambda: query(usable_count) > 2)
                        request = GET_SERVICE.replace(b"/x ", b"/%d ") % number
                        request = request.replace(b"GET", method)
                        view = await call_service(host, request)
                        runs = sum(len(item.requests) for item in upstreams) - before
                        found[cut, ending] = view, runs
                return found

        return self.run_scenario(scenario)

    def test_head_that_broke_off_is_no_answer(self):
        for method, expected in ((b"GET", (200, True, 2)), (b"POST", (502, True, 1))):
            for head in (SERVICE_HEAD, SERVICE_HEAD.replace(b"1.1", b"1.0")):
                for case, (view, runs) in self.call_all(method, head).items():
                    seen = view.status, view.is_whole, runs
                    self.assertEqual(expected, seen, (method, case))
                    if method == b"GET":
                        self.assertEqual(BODY, view.body, case)


async def answer_unsigned(exchange):
    """Answer like a sound plain service."""
    await exchange.send(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + BODY)


class CuttingProxy:
    """Stands before an upstream and breaks off the heads of some of its answers."""

    def __init__(self, address):
        self._target = address
        self.address = ""
        #: Beginning of the requests whose answers are broken off, and the numbers of
        #: bytes after which the next of these answers end.
        self.prefix = b"POST"
        self.cuts_bytes = []
        self.is_reset = False

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, caller):
        host, _, port = self._target.partition(":")
        left = [math.inf]
        async with (
            caller,
            await anyio.connect_tcp(host, int(port)) as upstream,
            anyio.create_task_group() as tasks,
        ):
            tasks.start_soon(self._forward_requests, caller, upstream, left)
            with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
                async for data in upstream:
                    await caller.send(data[: int(min(len(data), left[0]))])
                    left[0] -= len(data)
                    if left[0] <= 0:
                        break
            if left[0] <= 0 and self.is_reset:
                await anyio.sleep(0.01)
                set_reset_on_close(caller.extra(anyio.abc.SocketAttribute.raw_socket))
            tasks.cancel_scope.cancel()

    async def _forward_requests(self, caller, upstream, left):
        with suppress(anyio.BrokenResourceError, anyio.ClosedResourceError):
            async for data in caller:
                if self.cuts_bytes and data.startswith(self.prefix):
                    left[0] = self.cuts_bytes.pop(0)
                await upstream.send(data)
            await upstream.send_eof()


async def add_proxies(bench):
    """Put a proxy before each runner of a bench; return them by name."""
    proxies = {}
    for name, entry in list(bench.entries.items()):
        if entry.kind == "runner":
            proxies[name] = CuttingProxy(entry.address)
            await bench.tasks.start(proxies[name].serve)
            bench.list_entry(attrs.evolve(entry, address=proxies[name].address))
    return proxies


#: Lengths of a runner's heads, cut in its status line and between and in its headers.
CUTS_BYTES = (1, 9, 15, 17, 40, 60, 100, 140)


class ModelTest(ScenarioCase):
    """The OpenAI dialect, streamed and whole, over own links."""

    async def send(self, host, proxies, headers, is_streamed, name):
        """Send a request whose first answers break off; return status and text."""
        await until(lambda: host.daemon.scheduler.run_query(usable_count) > 1)
        if is_streamed:
            answer = await host.stream(name, headers=headers)
            return answer.status, answer.is_whole, len(answer.tokens)
        answer = await host.complete(name, headers=headers)
        is_whole = "usage" in answer.json()
        return answer.status_code, is_whole, 4 if is_whole else 0

    def send_all(self, headers):
        async def scenario(bench):
            for number in range(12):
                bench.add_runner(f"r{number}")
            proxies = await add_proxies(bench)
            async with bench.run_host() as host:
                await host.until_ready(*bench.runners)
                found = {}
                for case in itertools.product(CUTS_BYTES, (False, True), (False, True)):
                    cut_bytes, is_reset, is_streamed = case
                    cuts_bytes = [cut_bytes]
                    for proxy in proxies.values():
                        # Whichever is asked first breaks its answer off.
                        proxy.cuts_bytes, proxy.is_reset = cuts_bytes, is_reset
                    found[case] = await self.send(
                        host, proxies, headers, is_streamed, f"cut {case}"
                    )
                    self.assertEqual([], cuts_bytes, case)
                return found

        return self.run_scenario(scenario)

    def test_request_is_repeated_elsewhere(self):
        for case, seen in self.send_all({}).items():
            self.assertEqual((200, True, 4), seen, case)

    def test_request_that_must_not_be_repeated_gets_an_error(self):
        for case, seen in self.send_all({"Rampwick-Repeat": "never"}).items():
            self.assertEqual((502, False, 0), seen, case)

    def test_stream_whose_resumption_breaks_off_is_resumed_again(self):
        async def scenario(bench):
            bench.add_runner("r0")
            proxies = await add_proxies(bench)
            async with bench.run_host() as host:
                await host.until_ready("r0")
                faults = bench.runners["r0"].engine.faults
                found = []
                for cut_bytes in CUTS_BYTES:
                    faults.cut_after_count = 3
                    proxies["r0"].prefix = b"GET /v1/streams"
                    proxies["r0"].cuts_bytes = cuts_bytes = [cut_bytes]
                    await until(lambda: host.daemon.scheduler.run_query(usable_count))
                    answer = await host.stream(f"cut {cut_bytes}", max_tokens=6)
                    found.append((answer.status, answer.is_whole, len(answer.tokens)))
                    self.assertEqual([], cuts_bytes)
                return found

        for seen in self.run_scenario(scenario):
            self.assertEqual((200, True, 6), seen)

    def test_stream_that_its_caller_resumes_is_not_lost_by_a_broken_head(self):
        async def scenario(bench):
            bench.add_runner("r0")
            proxies = await add_proxies(bench)
            proxies["r0"].prefix = b"GET /v1/streams"
            async with bench.run_host() as host:
                await host.until_ready("r0")
                headers = {"Authorization": f"Bearer {KEY}"}
                first = await host.client.post(
                    "/v1/completions",
                    json={"model": "lektor", "prompt": "p", "stream": True},
                    headers=headers,
                )
                path = f"/v1/streams/{first.headers['rampwick-stream']}"
                found = [await host.client.get(path, headers=headers)]
                for cut_bytes in CUTS_BYTES:
                    proxies["r0"].cuts_bytes = cuts_bytes = [cut_bytes, cut_bytes]
                    found.append(await host.client.get(path, headers=headers))
                    self.assertEqual([], cuts_bytes)
                return [(answer.status_code, answer.content) for answer in found]

        whole, *found = self.run_scenario(scenario)
        self.assertTrue(whole[1].endswith(b"[DONE]\n\n"))
        for seen in found:
            self.assertEqual(whole, seen)


class TunnelTest(TestCase):
    """A peer forwards bytes; the host that asked it frames the answer."""

    def test_head_that_broke_off_behind_a_peer_is_no_answer(self):
        async def main():
            async with run_hosts(runners=4) as (hosts, bench, partition):
                host = hosts["entry-1"]
                proxies = await add_proxies(bench)
                for name, proxy in proxies.items():
                    for each in hosts.values():
                        await until(
                            lambda each=each, name=name, proxy=proxy: (
                                each.upstream(name).entry.address == proxy.address
                                and each.is_available(name)
                            )
                        )
                await cut_off(host, bench, partition)
                found = {}
                for case in itertools.product(
                    (1, 17, 60), (False, True), (None, "never")
                ):
                    cut_bytes, is_reset, repeat = case
                    cuts_bytes = [cut_bytes]
                    for proxy in proxies.values():
                        proxy.cuts_bytes, proxy.is_reset = cuts_bytes, is_reset
                    headers = {"Rampwick-Repeat": repeat} if repeat else {}
                    await until(
                        lambda: host.daemon.scheduler.run_query(usable_count) > 1
                    )
                    answer = await host.stream(f"cut {case}", headers=headers)
                    found[case] = answer.status, answer.is_whole
                    self.assertEqual([], cuts_bytes, case)
                    self.assertTrue(is_tunnelled(host, *bench.runners), case)
                return found

        for (_, _, repeat), seen in run_tunnelled(main).items():
            self.assertEqual((502, False) if repeat else (200, True), seen)


class CallerTest(TestCase):
    """Callers of each version see an error with its end."""

    def test_callers_of_old_and_multiplexed_connections_get_a_whole_error(self):
        async def scenario(host, servers):
            async def cut(exchange):
                await exchange.send(HEAD_OF_CHUNKS[:60])
                raise Hangup

            all_scripts(servers, cut)
            old = await read_until_close(host, b"1.0")
            await until(lambda: host.daemon.scheduler.run_query(usable_count) > 1)
            data, ends = await read_http2(host, ["/brittle/2"], 1)
            return old, data[1], ends

        (received, was_reset), data, ends = run(scenario, {"notes": ["a", "b", "c"]})
        self.assertTrue(received.startswith(b"HTTP/1.1 502"), received)
        self.assertFalse(was_reset)
        for body in (received.partition(b"\r\n\r\n")[2], data):
            self.assertEqual("maybe", json.loads(body)["error"]["was_run"])
        self.assertEqual({1: "ended"}, ends)

    def call_slowly(self, delays_seconds, deadline_seconds):
        """Send requests whose heads end after a time; return the views by delay."""

        async def scenario(host, servers):
            views = {}

            async def script(exchange):
                head = exchange.head(length=5)
                await exchange.send(head[:30])
                await anyio.sleep(float(exchange.target.rpartition("/")[2]))
                await exchange.send(head[30:] + BODY)

            async def call(path, seconds):
                headers = {"Rampwick-Deadline-Seconds": str(deadline_seconds)}
                target = f"{path}{seconds}"
                views[path, seconds] = await host.call(
                    target, request_id=target, headers=headers
                )

            all_scripts(servers, script)
            async with anyio.create_task_group() as tasks:
                for path, seconds in itertools.product(
                    ("/once/", "/again/"), delays_seconds
                ):
                    tasks.start_soon(call, path, seconds)
            return views

        return run(scenario, {"labels": NAMES})

    def test_head_that_ends_as_its_upstream_seems_unresponsive_is_read(self):
        delays_seconds = (0.0, 0.45, 0.49, 0.5, 0.51, 0.55)
        for case, view in self.call_slowly(delays_seconds, 5.0).items():
            self.assertEqual(
                (200, BODY, True), (view.status, view.body, view.is_whole), case
            )

    def test_head_that_ends_at_the_deadline_is_whole_or_late(self):
        delays_seconds = (0.9, 0.94, 0.96, 0.98, 0.99, 1.0, 1.02, 1.5)
        for case, view in self.call_slowly(delays_seconds, 1.0).items():
            self.assertTrue(view.is_whole, case)
            seen = view.status, view.body == BODY
            self.assertIn(seen, {(200, True), (504, False)}, case)


class CutServer:
    """Answers each request with the beginning of an answer and closes."""

    def __init__(self):
        self.answer = b""
        self.ending = CLOSE
        self.address = ""

    async def serve(self, *, task_status=anyio.TASK_STATUS_IGNORED):
        listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        self.address = f"127.0.0.1:{port}"
        task_status.started()
        await listener.serve(self._serve_connection)

    async def _serve_connection(self, stream):
        with suppress(anyio.BrokenResourceError, anyio.EndOfStream):
            async with stream:
                await stream.receive()
                await stream.send(self.answer)
                if self.ending == RESET:
                    await anyio.sleep(0.001)
                    set_reset_on_close(
                        stream.extra(anyio.abc.SocketAttribute.raw_socket)
                    )


class ControlTest(TestCase):
    """Control calls and the store's client take no part of an answer for it."""

    def cut(self, answer, step, call):
        """Make a call for each beginning of an answer; return what came of it."""

        async def main():
            found = {}
            async with anyio.create_task_group() as tasks:
                server = CutServer()
                await tasks.start(server.serve)
                for at in range(0, len(answer) + 1, step):
                    server.answer = answer[:at]
                    for server.ending in (CLOSE, RESET):
                        found[at, server.ending] = await call(server.address)
                server.answer, server.ending = answer, CLOSE
                whole = await call(server.address)
                tasks.cancel_scope.cancel()
            return whole, [
                (case, result)
                for case, result in found.items()
                if case[0] < len(answer) and result is not None
            ]

        return anyio.run(main)

    def test_calls_to_upstreams(self):
        async def call(address):
            pool = ConnectionPool(anyio.current_time)
            request = ControlRequest("probe", "GET", "/", [(b"host", b"a")])
            try:
                head, body = await call_upstream(pool, "u", address, request, 5.0)
            except AttemptError:
                return None
            return head.status, body

        for name in ("length", "chunks", "HTTP/1.0 with length", "interim"):
            whole, partial = self.cut(ANSWERS[name], 1, call)
            self.assertEqual(((200, BODY), []), (whole, partial), name)

    def test_calls_to_the_store(self):
        value = b'{"version": 3, "objects": []}'
        heads = {
            "length": b"Content-Length: %d\r\n\r\n" % len(value) + value,
            "chunks": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % len(value)
            + value
            + b"\r\n0\r\n\r\n",
        }
        calls = {
            "get": lambda api: api.get("a/b"),
            "put": lambda api: api.put("a/b", b"{}", 2),
            "list": lambda api: api.list_objects("a/"),
            "watch": lambda api: api.watch("a/", 2, 0.1),
        }
        for (framing, rest), (name, run_call) in itertools.product(
            heads.items(), calls.items()
        ):

            async def call(address, run_call=run_call):
                async with HttpObjectApi(
                    f"http://{address}", call_timeout_seconds=5.0, calls_per_second=1e6
                ) as api:
                    try:
                        return await run_call(api)
                    except PlatformError:
                        return None

            answer = b'HTTP/1.1 200 OK\r\nETag: "3"\r\n' + rest
            whole, partial = self.cut(answer, 5, call)
            self.assertIsNotNone(whole, (framing, name))
            self.assertEqual([], partial, (framing, name))


class EqualRequestsTest(TestCase):
    """Broken connections of live upstreams are not held against what was asked."""

    def test_equal_requests_are_served_after_many_broken_heads(self):
        broken_count = 14
        left = [broken_count]

        async def script(exchange):
            if not left[0]:
                await anyio.sleep(0.1)
                await answer_stream(exchange)
                return
            left[0] -= 1
            await exchange.send(exchange.head()[:40])
            await anyio.sleep(0.05)
            raise Hangup

        async def scenario(host, servers):
            views = []

            async def send(number):
                await anyio.sleep(0.02 * number)
                views.append(await host.call("/stream/1", request_id=f"r{number}"))

            all_scripts(servers, script)
            async with anyio.create_task_group() as tasks:
                for number in range(72):
                    tasks.start_soon(send, number)
            return views

        views = run(scenario, {"notes": ["a", "b", "c", "d"]})
        errors = [json.loads(view.body)["error"] for view in views if view.status > 200]
        self.assertEqual(0, left[0])
        # Each of them had both its attempts broken off.
        self.assertLessEqual(len(errors), broken_count // 2)
        for error in errors:
            self.assertEqual(
                ("upstream_failed", "maybe"), (error["code"], error["was_run"])
            )

    def test_upstream_is_probed_soon_after_each_connection_that_it_closes(self):
        host = Host(UPSTREAMS[:1])
        first, _ = host.arrive(DEADLY)
        second, _ = host.arrive(OTHER)
        upstreams = host.scheduler.upstreams
        host.crash(first)
        upstreams.due_probes(host.at_seconds)
        self.assertGreater(upstreams.probe_delay(host.at_seconds), 0.2)
        host.at_seconds += 0.01
        host.crash(second)
        host.at_seconds += 0.1
        (entry,) = upstreams.due_probes(host.at_seconds)
        self.assertEqual(UPSTREAMS[0], entry.name)
        self.assertGreater(upstreams.probe_delay(host.at_seconds), 0.2)


class RefutedVerdictTest(TestCase):
    """A verdict lasts no longer than the crashes that it is based on."""

    def stop(self, upstreams_count=3):
        """Return a host with a verdict on a request, and the upstreams under it."""
        host = Host(UPSTREAMS[:upstreams_count])
        names = []
        for _ in range(3):
            name, _ = host.arrive(DEADLY)
            names.append(host.sent[name].upstream)
            host.crash(name)
            host.advance()
        self.assertIs(QuarantineState.STOPPED, host.quarantine_state(DEADLY))
        return host, names

    def answer_probe(self, host, name, after_seconds):
        host.at_seconds += after_seconds
        host.scheduler.upstreams.get(name).probed_at_seconds = host.at_seconds
        return host.do(LoadReported(name, None))

    def test_request_is_served_again_once_its_upstreams_prove_alive(self):
        host, names = self.stop()
        self.answer_probe(host, names[-1], 0.3)
        self.assertIs(QuarantineState.NONE, host.quarantine_state(DEADLY))
        self.answer_probe(host, names[-1], 0.3)
        _, (action,) = host.arrive(DEADLY)
        self.assertIsInstance(action, Dispatch)

    def test_repeated_report_of_the_verdict_does_not_restore_it(self):
        host, names = self.stop()
        peer = Host()
        update = host.scheduler.quarantine.take_update(host.at_seconds)
        peer.at_seconds = host.at_seconds
        peer.do(CrashUpdateReceived(update))
        self.assertIs(QuarantineState.STOPPED, peer.quarantine_state(DEADLY))
        self.answer_probe(host, names[-1], 0.3)
        quarantine = host.scheduler.quarantine
        quarantine.take_update(host.at_seconds)
        again = quarantine.take_retransmission(host.at_seconds)
        for each in (host, peer):
            each.at_seconds = host.at_seconds + 0.01
            each.do(CrashUpdateReceived(again))
            self.assertIs(QuarantineState.NONE, each.quarantine_state(DEADLY))

    def test_upstream_that_answers_much_later_may_have_been_restarted(self):
        host, names = self.stop()
        self.answer_probe(host, names[-1], 1.5)
        self.assertIs(QuarantineState.STOPPED, host.quarantine_state(DEADLY))

    def test_upstream_that_refused_a_probe_may_have_been_restarted(self):
        host, names = self.stop()
        for name in names:
            host.do(ProbeFailed(name, "connection refused"))
        self.answer_probe(host, names[-1], 0.3)
        self.assertIs(QuarantineState.STOPPED, host.quarantine_state(DEADLY))

    def test_verdict_that_three_other_crashes_support_stays(self):
        host = Host()
        # Two hosts saw four crashes; the verdict names them all.
        fingerprint = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        tracker = host.scheduler.quarantine.tracker
        for name in UPSTREAMS[:4]:
            tracker.note_crash(IncarnationKey(name, name), fingerprint, "/w", 0.0, 0.0)
        host.advance()
        self.assertIs(QuarantineState.STOPPED, host.quarantine_state(DEADLY))
        self.answer_probe(host, UPSTREAMS[0], 0.1)
        self.assertIs(QuarantineState.STOPPED, host.quarantine_state(DEADLY))
        self.answer_probe(host, UPSTREAMS[1], 0.1)
        self.assertIs(QuarantineState.NONE, host.quarantine_state(DEADLY))


class IdentityTest(TestCase):
    """A runner whose report does not name it proves that it has not crashed."""

    def probe(self, crash_age_seconds=0.05, instance_id=b"i-1", pause_seconds=0.0):
        """Probe a runner; return whether it is identified, and the paths."""
        report = orjson.dumps(
            {
                "models": [{"name": "m", "version": 1}],
                "running": 0,
                "kv_total": 1,
                "busy": False,
                "seq": 0,
            }
        )
        paths = []

        async def serve(stream):
            async with stream:
                while True:
                    try:
                        request = await stream.receive()
                    except anyio.EndOfStream:
                        return
                    paths.append(request.split()[1].decode())
                    body = report
                    if paths[-1] == "/well":
                        await anyio.sleep(pause_seconds)
                        body = b""
                    await stream.send(
                        b"HTTP/1.1 200 OK\r\nX-Rampwick-Instance-Id: %s\r\n"
                        b"Content-Length: %d\r\n\r\n%s" % (instance_id, len(body), body)
                    )

        async def main():
            listener = await anyio.create_tcp_listener(local_host="127.0.0.1")
            port = listener.extra(anyio.abc.SocketAttribute.local_port)
            entry = HostEntry(
                "i-1", "runner", "h", f"127.0.0.1:{port}", incarnation="i-1"
            )
            tracker = CrashTracker()
            now_seconds = anyio.current_time()
            tracker.note_crash(
                IncarnationKey("i-1", "i-1"),
                b"request",
                "/w",
                now_seconds - crash_age_seconds,
                now_seconds,
            )
            scheduler = mock.Mock()
            quarantined = mock.Mock(quarantine=mock.Mock(tracker=tracker))
            scheduler.run_query = lambda query: query(quarantined, now_seconds)
            control = DialectControl(
                ConnectionPool(anyio.current_time),
                ControlTranslation("entry-1", StewardSettings()),
                lambda group: "/well",
                scheduler,
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(listener.serve, serve)
                found = await control.probe(entry)
                tasks.cancel_scope.cancel()
            return found.is_identified, paths

        return anyio.run(main)

    def test_runner_is_asked_for_its_identity_after_a_supposed_crash(self):
        paths = ["/-/report", "/well"]
        self.assertEqual((True, paths), self.probe())
        self.assertEqual((False, paths), self.probe(instance_id=b"i-2"))
        self.assertEqual((False, paths), self.probe(pause_seconds=0.5))

    def test_runner_is_not_asked_without_one_or_long_after_it(self):
        for age_seconds in (5.0, -1.0):
            found = self.probe(crash_age_seconds=age_seconds)
            self.assertEqual((False, ["/-/report"]), found)


class StreamWithoutEventsTest(TestCase):
    """A stream that has not begun is no answer, whatever frames its end."""

    def send(self, path, first, *, method="POST", headers=None):
        async def scenario(host, servers):
            async def first_then_sound(exchange):
                all_scripts(servers, answer_stream)
                await first(exchange)

            all_scripts(servers, first_then_sound)
            view = await host.call(path, method=method, headers=headers)
            return view.status, view.body, view.is_whole, len(ran(servers))

        return run(scenario)

    def test_stream_that_ends_without_an_event_is_no_answer(self):
        stream_type = b"Content-Type: text/event-stream"
        for body in (b"", b"\n", b"\xef\xbb\xbf"):

            async def with_length(exchange, body=body):
                await exchange.answer(body, extra=stream_type)

            async def in_chunks(exchange, body=body):
                data = chunk(body) if body else b""
                head = exchange.head(extra=stream_type + b"\r\n" + CHUNKED)
                await exchange.send(head + data + b"0\r\n\r\n")

            for first in (with_length, in_chunks):
                case = body, first.__name__
                seen = self.send("/stream/1", first)
                self.assertEqual((200, event(1), True, 2), seen, case)
                seen = self.send("/brittle/1", first)
                self.assertEqual((502, True, 1), (seen[0], *seen[2:]), case)

    def test_stream_with_nothing_left_after_its_last_event_is_complete(self):
        async def nothing(exchange):
            await exchange.answer(b"", extra=b"Content-Type: text/event-stream")

        headers = {"Last-Event-Id": "7"}
        seen = self.send("/stream/1", nothing, headers=headers)
        self.assertEqual((200, b"", True, 1), seen)

    def test_answers_that_are_no_streams_need_no_event(self):
        for status, extra in (
            (204, b"X-A: b"),
            (200, b"Content-Type: application/json"),
            (500, b"Content-Type: text/event-stream"),
        ):

            async def empty(exchange, status=status, extra=extra):
                length = None if status == 204 else 0
                await exchange.send(exchange.head(status, extra, length=length))

            seen = self.send("/brittle/1", empty)
            self.assertEqual((status, b"", True, 1), seen)

    def test_head_of_a_stream_needs_no_event(self):
        async def scenario(host, servers):
            async def head_only(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))

            all_scripts(servers, head_only)
            address, _, port = host.address.partition(":")
            request = (
                b"HEAD /brittle/1 HTTP/1.1\r\nHost: labels.example\r\n"
                b"Rampwick-Request-Id: r1\r\nAuthorization: Bearer %s\r\n\r\n"
            )
            async with await anyio.connect_tcp(address, int(port)) as stream:
                await stream.send(request % ROUTE_KEY.encode())
                return await stream.receive()

        self.assertEqual(b"HTTP/1.1 200", run(scenario)[:12])
