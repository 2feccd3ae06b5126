"""Guards against requests that are sent although their caller has left.

An event loop that is blocked for a second or two finds a caller's request and its close
together, or a deadline that has passed. Each test blocks the loop in one of the waits
between the arrival of a request and the last byte that is sent for it.
"""

import socket
import time
from contextlib import asynccontextmanager
from unittest import mock

import anyio
import orjson
from testtools import TestCase

from rampwick_policy import (
    Dispatch,
    HostListRead,
    Outcome,
    Refuse,
    RequestCancelled,
    RunState,
    Tick,
)
from rampwick_policy._events import AttemptFailed, CancelAttempt
from rampwick_router._caller_sockets import CallerListener, CallerSocket
from rampwick_router.entry import _routed_entry
from rampwick_schema import HostEntry, HostList

from .bench import KEY as BENCH_KEY, until
from .case import ScenarioCase
from .scripted import (
    HOST,
    KEY,
    ScriptedUpstream,
    list_upstream,
    read_response,
    run_routed,
)
from .test_scheduler import Session

TEST_TIMEOUT_SECONDS = 30.0

#: Time for which the event loop is blocked.
BLOCKED_SECONDS = 1.0

#: A body that exceeds the kernel's buffers for a connection whose reader has a receive
#: buffer of this size.
LONG_BODY_BYTES = 4_000_000

#: Body larger than the receive buffer, and smaller than a default send buffer.
BUFFERED_BODY_BYTES = 200_000
BUFFER_BYTES = 65_536

#: Time after a close within which upstreams must have stopped.
STOPPED_WITHIN_SECONDS = 0.5


def format_request(path, headers=None, body=b"", key=KEY, request_id="r1"):
    """Return the bytes of a request."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Rampwick-Request-Id: {request_id}",
        f"Authorization: Bearer {key}",
        f"Content-Length: {len(body)}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def connect(address):
    """Connect without the event loop; the kernel accepts the connection."""
    host, _, port = address.rpartition(":")
    return socket.create_connection((host, int(port)))


def send_and_leave(address, data):
    """Send bytes and close, while the event loop is blocked."""
    with connect(address) as caller:
        caller.sendall(data)
    time.sleep(BLOCKED_SECONDS)


async def receive_response(caller):
    """Return the response on a socket that was opened without the event loop."""
    stream = await anyio.abc.SocketStream.from_socket(caller)
    async with stream:
        return await read_response(stream)


@asynccontextmanager
async def block_after_connecting(host, caller):
    """Block the loop once a connection to an upstream is open; the caller leaves."""
    connection_pool = host.daemon.entry._context.connection_pool
    borrow = connection_pool.borrow

    @asynccontextmanager
    async def borrow_and_block(*terms, **options):
        async with borrow(*terms, **options) as connection:
            if caller is not None:
                caller.close()
            time.sleep(BLOCKED_SECONDS)
            yield connection

    with mock.patch.object(connection_pool, "borrow", borrow_and_block):
        yield


class LeftCallerTest(TestCase):
    def play(self, scenario, upstreams=None):
        """Run a scenario with a host and scripted upstreams; return its result."""

        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed(upstreams or {"labels": ["a"]}) as (host, found):
                    return await scenario(host, found)

        return anyio.run(main)

    def test_close_arrives_with_the_request_on_a_new_connection(self):
        async def scenario(host, found):
            send_and_leave(host.address, format_request("/once/1"))
            await anyio.sleep(STOPPED_WITHIN_SECONDS)
            return found["a"].connections_count

        self.assertEqual(0, self.play(scenario))

    def test_reset_arrives_with_the_request(self):
        async def scenario(host, found):
            caller = connect(host.address)
            caller.sendall(format_request("/once/1"))
            linger = bytes([1, 0, 0, 0, 0, 0, 0, 0])
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            caller.close()
            time.sleep(BLOCKED_SECONDS)
            await anyio.sleep(STOPPED_WITHIN_SECONDS)
            return found["a"].connections_count

        self.assertEqual(0, self.play(scenario))

    def test_caller_that_leaves_before_submission_has_a_line_with_its_request(self):
        async def scenario(host, found):
            async def confirm_for_ever(context, call):
                await anyio.sleep_forever()

            with (
                mock.patch.object(_routed_entry, "confirm_access", confirm_for_ever),
                mock.patch.object(_routed_entry.log, "info") as info,
            ):
                caller = connect(host.address)
                caller.sendall(format_request("/once/1", request_id="r7"))
                await until(lambda: host.daemon.entry.open_count)
                caller.close()
                await until(lambda: not host.daemon.entry.open_count)
                return [line for line in info.mock_calls if line.args]

        line = mock.call("request cancelled before submission", request="r7")
        self.assertEqual([line], self.play(scenario))

    def test_close_arrives_with_the_request_on_a_used_connection(self):
        async def scenario(host, found):
            caller = connect(host.address)
            caller.sendall(format_request("/once/1"))
            await until(lambda: found["a"].requests)
            await anyio.sleep(0.1)
            caller.sendall(format_request("/once/2", request_id="r2"))
            caller.close()
            time.sleep(BLOCKED_SECONDS)
            await anyio.sleep(STOPPED_WITHIN_SECONDS)
            return [item.target for item in found["a"].requests]

        self.assertEqual(["/once/1"], self.play(scenario))

    def test_caller_leaves_while_its_request_is_queued(self):
        async def scenario(host, found):
            caller = connect(host.address)
            caller.sendall(format_request("/once/1"))
            await until(lambda: host.daemon.scheduler._scheduler.open_count)
            async with anyio.create_task_group() as tasks:
                server = ScriptedUpstream("a")
                await tasks.start(server.serve)
                entry = HostEntry(
                    "a", "service", "trnava", server.address, group="labels"
                )
                caller.close()
                time.sleep(BLOCKED_SECONDS)
                # The capacity is found in the same loop iteration as the close.
                event = HostListRead(HostList(1000, [entry]))
                host.daemon.scheduler.post(event)
                dispatched = len(host.daemon.scheduler._decisions)
                await anyio.sleep(STOPPED_WITHIN_SECONDS)
                tasks.cancel_scope.cancel()
            return dispatched, len(server.requests)

        self.assertEqual((1, 0), self.play(scenario, {"labels": []}))

    def test_caller_leaves_while_a_connection_is_opened(self):
        async def scenario(host, found):
            caller = connect(host.address)
            async with block_after_connecting(host, caller):
                caller.sendall(format_request("/again/1"))
                await until(lambda: found["a"].connections_count)
                await anyio.sleep(STOPPED_WITHIN_SECONDS)
            scheduler = host.daemon.scheduler._scheduler
            return len(found["a"].requests), scheduler.open_count

        self.assertEqual((0, 0), self.play(scenario))

    def test_no_further_write_after_a_caller_left_during_a_slow_write(self):
        async def scenario(host, found):
            async with send_to_slow_upstream(host, LONG_BODY_BYTES) as (
                stream,
                upstream,
            ):
                before = drain(upstream)
                # The drained connection is writable again, and the caller has left.
                raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
                raw.shutdown(socket.SHUT_RDWR)
                time.sleep(BLOCKED_SECONDS)
                await anyio.sleep(STOPPED_WITHIN_SECONDS)
                return before, drain(upstream)

        before, after = self.play(scenario, {"labels": []})
        self.assertGreater(before, 0)
        # Only what the upstream's kernel had received before can still be read.
        self.assertLess(after, 4 * BUFFER_BYTES)
        self.assertLess(before + after, LONG_BODY_BYTES)

    def test_request_in_the_kernel_does_not_arrive_after_its_caller_left(self):
        # The whole body fits into the buffers of this host's kernel, so that its write
        # completes although the upstream has read nothing.
        async def scenario(host, found):
            async with send_to_slow_upstream(host, BUFFERED_BODY_BYTES) as (
                stream,
                upstream,
            ):
                await stream.aclose()
                await anyio.sleep(STOPPED_WITHIN_SECONDS)
                return drain(upstream)

        received = self.play(scenario, {"labels": []})
        self.assertLess(received, BUFFERED_BODY_BYTES)

    def test_bytes_of_a_next_request_are_not_a_close(self):
        async def scenario(host, found):
            caller = connect(host.address)
            caller.sendall(
                format_request("/once/1")
                + format_request("/once/2", request_id="r2")
                + format_request("/once/3", request_id="r3")
            )
            time.sleep(BLOCKED_SECONDS)
            await until(lambda: len(found["a"].requests) == 3)
            caller.close()

        self.play(scenario)

    def test_close_after_bytes_of_a_next_request_stops_the_upstream(self):
        async def answer_never(exchange):
            await exchange.stream.receive()

        async def scenario(host, found):
            found["a"].scripts = [answer_never]
            caller = connect(host.address)
            next_request = format_request("/again/2", request_id="r2")
            caller.sendall(format_request("/again/1") + next_request)
            await until(lambda: found["a"].requests)
            caller.close()
            await anyio.sleep(STOPPED_WITHIN_SECONDS)
            return found["a"].open_count, len(found["a"].requests)

        self.assertEqual((0, 1), self.play(scenario))

    def test_a_claimed_key_is_released_if_nothing_was_sent(self):
        async def scenario(host, found):
            context = host.daemon.entry._context
            caller = connect(host.address)
            withdrawn = []
            with (
                mock.patch.object(context.claims, "withdraw", withdrawn.append),
                mock.patch(
                    "rampwick_router.entry._exchange.Exchange._ensure_claim",
                    claim_key,
                ),
            ):
                async with block_after_connecting(host, caller):
                    caller.sendall(format_request("/once/1"))
                    await until(lambda: withdrawn)
            return withdrawn

        self.assertEqual(["claim"], self.play(scenario))


async def claim_key(exchange):
    """Stand for the claim of a key."""
    exchange._claim = "claim"


@asynccontextmanager
async def send_to_slow_upstream(host, body_bytes):
    """Send a request whose upstream accepts the connection and reads nothing.

    Yield the caller's stream and the upstream's socket.
    """
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    slow = ScriptedUpstream("slow")
    slow.address = f"127.0.0.1:{listener.getsockname()[1]}"
    list_upstream(host.store, slow, "labels")
    await until(lambda: list(host.daemon.scheduler._scheduler.upstreams))
    stream = await anyio.connect_tcp(*host.address.split(":"))
    await stream.send(format_request("/once/1", body=b"x" * body_bytes))
    await anyio.wait_readable(listener)
    upstream, _ = listener.accept()
    upstream.setblocking(False)
    await anyio.sleep(0.3)
    with listener, upstream:
        yield stream, upstream


def drain(connection):
    """Return the number of bytes that a connection has received."""
    count = 0
    while True:
        try:
            data = connection.recv(1_000_000)
        except (BlockingIOError, ConnectionResetError):
            return count
        if not data:
            return count
        count += len(data)


class PassedDeadlineTest(TestCase):
    def play(self, scenario, upstreams=None):
        return LeftCallerTest.play(self, scenario, upstreams)

    def ask(self, seconds, path="/again/1"):
        """Send a request to a blocked loop; return response and upstream's requests."""

        async def scenario(host, found):
            caller = connect(host.address)
            deadline = {"Rampwick-Deadline-Seconds": str(seconds)}
            caller.sendall(format_request(path, deadline))
            time.sleep(BLOCKED_SECONDS)
            view = await receive_response(caller)
            return view, found["a"].requests

        return self.play(scenario)

    def test_deadline_passes_before_the_request_is_read(self):
        view, requests = self.ask(0.8)
        self.assertEqual([], requests)
        self.assertEqual(503, view.status)
        self.assertEqual("no", orjson.loads(view.body)["error"]["was_run"])

    def test_remaining_time_counts_from_the_arrival_of_the_bytes(self):
        view, requests = self.ask(1.8)
        self.assertEqual(200, view.status)
        remaining = float(requests[0].headers["rampwick-deadline-seconds"])
        self.assertLess(remaining, 1.8 - BLOCKED_SECONDS + 0.05)
        self.assertGreater(remaining, 0.3)

    def test_a_request_that_arrives_at_the_end_of_the_blockage_is_on_time(self):
        async def scenario(host, found):
            caller = connect(host.address)
            time.sleep(BLOCKED_SECONDS)
            deadline = {"Rampwick-Deadline-Seconds": "0.5"}
            caller.sendall(format_request("/again/1", deadline))
            view = await receive_response(caller)
            return view.status, found["a"].requests[0].headers

        status, headers = self.play(scenario)
        self.assertEqual(200, status)
        self.assertGreater(float(headers["rampwick-deadline-seconds"]), 0.3)

    def test_deadline_passes_while_a_connection_is_opened(self):
        async def scenario(host, found):
            caller = connect(host.address)
            async with block_after_connecting(host, None):
                deadline = {"Rampwick-Deadline-Seconds": "0.6"}
                caller.sendall(format_request("/again/1", deadline))
                view = await receive_response(caller)
            await anyio.sleep(0.1)
            upstream = host.daemon.scheduler._scheduler.upstreams.get("a")
            return view, found["a"].requests, upstream.health.state.value

        view, requests, state = self.play(scenario)
        self.assertEqual([], requests)
        self.assertEqual(504, view.status)
        error = orjson.loads(view.body)["error"]
        self.assertEqual(("deadline_passed", "no"), (error["code"], error["was_run"]))
        # The delay is the host's, not the upstream's.
        self.assertEqual("up", state)

    def test_remaining_time_is_that_at_the_moment_of_sending(self):
        async def scenario(host, found):
            caller = connect(host.address)
            async with block_after_connecting(host, None):
                deadline = {"Rampwick-Deadline-Seconds": "2.0"}
                caller.sendall(format_request("/again/1", deadline))
                await receive_response(caller)
            return found["a"].requests[0].headers

        headers = self.play(scenario)
        remaining = float(headers["rampwick-deadline-seconds"])
        self.assertLess(remaining, 2.0 - BLOCKED_SECONDS)


class NativePathTest(ScenarioCase):
    """The same for rampwick's own paths to models and plain services."""

    def leave(self, path, body, add):
        """Send a request and close, in a blocked loop; return the requests sent."""

        async def scenario(bench):
            add(bench)
            async with bench.run_host() as host:
                await host.until_ready(*bench.runners)
                await until(lambda: list(host.daemon.scheduler._scheduler.upstreams))
                request = format_request(path, body=body, key=BENCH_KEY)
                send_and_leave(host.addresses.entry, request)
                await anyio.sleep(STOPPED_WITHIN_SECONDS)
            calls = [call for item in bench.services.values() for call in item.calls]
            return bench.ran() + calls

        return self.run_scenario(scenario)

    def test_model_request_of_a_left_caller_is_not_sent(self):
        body = b'{"model": "lektor", "prompt": "left", "stream": true}'
        sent = self.leave(
            "/v1/completions", body, lambda bench: bench.add_runner("lektor-1")
        )
        self.assertEqual([], sent)

    def test_service_call_of_a_left_caller_is_not_sent(self):
        sent = self.leave(
            "/services/portal/x",
            b"x",
            lambda bench: bench.add_service("portal-1", "portal"),
        )
        self.assertEqual([], sent)

    def test_service_call_is_not_sent_after_its_deadline(self):
        async def scenario(bench):
            service = bench.add_service("portal-1", "portal")
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: host.upstream("portal-1"))
                caller = connect(host.addresses.entry)
                async with block_after_connecting(host, None):
                    headers = {"Rampwick-Deadline-Seconds": "0.5"}
                    request = format_request(
                        "/services/portal/x", headers, key=BENCH_KEY
                    )
                    caller.sendall(request)
                    view = await receive_response(caller)
            return view.status, service.calls

        self.assertEqual((504, []), self.run_scenario(scenario))


class CallerSocketTest(TestCase):
    def open_pair(self):
        """Return a caller's socket and the host's side of its connection."""
        bound = socket.create_server(("127.0.0.1", 0))
        listener = CallerListener(bound.detach())
        self.addCleanup(listener.close)
        caller = socket.create_connection(listener.getsockname())
        self.addCleanup(caller.close)
        accepted, address = listener.accept()
        self.addCleanup(accepted.close)
        return caller, accepted, listener.find(address, accepted.getsockname())

    def test_close_is_seen_behind_unread_bytes_and_none_are_consumed(self):
        caller, accepted, found = self.open_pair()
        caller.sendall(b"next")
        time.sleep(0.05)
        self.assertFalse(found.has_left())
        caller.close()
        time.sleep(0.05)
        self.assertTrue(found.has_left())
        self.assertEqual(b"next", accepted.recv(10))
        self.assertTrue(found.has_left())
        accepted.close()
        self.assertTrue(found.has_left())

    def test_age_is_that_of_the_last_bytes_and_never_more(self):
        caller, _, found = self.open_pair()
        caller.sendall(b"first")
        time.sleep(0.3)
        self.assertLess(abs(found.unread_seconds() - 0.29), 0.05)
        sent_at_seconds = time.monotonic()
        caller.sendall(b"second")
        time.sleep(0.1)
        age_seconds = found.unread_seconds()
        self.assertLess(age_seconds, time.monotonic() - sent_at_seconds)

    def test_an_unknown_connection_has_neither_left_nor_an_age(self):
        unknown = CallerSocket()
        self.assertEqual((False, 0.0), (unknown.has_left(), unknown.unread_seconds()))


class SchedulerTest(TestCase):
    def test_a_request_is_not_dispatched_at_or_after_its_deadline(self):
        for late_seconds in (0.0, 0.01, 5.0):
            session = Session(runners=1, slots=1)
            session.do(1.0, HostListRead(HostList(2, [])))
            session.arrive(1.0, "r1", deadline=0.5)
            entry = HostEntry("lektor-1", "runner", "trnava", "lektor-1:1")
            at = 1.5 + late_seconds
            actions = session.do(at, HostListRead(HostList(3, [entry])))
            actions += session.report(at, "lektor-1")
            actions += session.do(at, Tick())
            self.assertEqual([], [x for x in actions if isinstance(x, Dispatch)])
            (refusal,) = [x for x in actions if isinstance(x, Refuse)]
            self.assertEqual(RunState.NOT_SENT, refusal.run_state)

    def test_an_attempt_without_bytes_is_dropped_without_a_cancellation(self):
        for may_have_arrived in (False, True):
            session = Session(runners=1, slots=1)
            session.arrive(1.0, "r1")
            cancelled = RequestCancelled("r1", may_have_arrived=may_have_arrived)
            actions = session.do(2.0, cancelled)
            cancels = [x for x in actions if isinstance(x, CancelAttempt)]
            self.assertEqual(may_have_arrived, bool(cancels))
            upstream = session.scheduler.upstreams.get("lektor-1")
            self.assertEqual(0, len(upstream.own_attempts))

    def test_request_whose_deadline_passes_under_an_attempt_is_not_a_bad_gateway(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "r1", deadline=0.5)
        failed = AttemptFailed("r1", "r1.1", Outcome.EXPIRED, "late")
        (refusal,) = [x for x in session.do(1.6, failed) if isinstance(x, Refuse)]
        self.assertEqual("deadline_passed", refusal.reason)
        self.assertEqual("lektor-1", refusal.peer)
        self.assertEqual(RunState.MAYBE_RUN, refusal.run_state)

    def test_an_unsent_attempt_does_not_count_against_its_upstream(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "r1", deadline=0.5)
        failed = AttemptFailed("r1", "r1.1", Outcome.UNSENT, "late")
        (refusal,) = session.do(1.6, failed)
        self.assertEqual("deadline_passed", refusal.reason)
        self.assertEqual(RunState.REFUSED, refusal.run_state)
        upstream = session.scheduler.upstreams.get("lektor-1")
        self.assertTrue(session.scheduler.upstreams.is_eligible(upstream, 1.6))
