"""Guards against processes that are killed since a step of their end has no bound."""

import asyncio
import socket
from functools import partial

import anyio
from testtools import TestCase

from rampwick_policy import EXIT_CHECK_SECONDS, ExitGuard

from .scripted import HOST, KEY
from .test_requests_taken_while_leaving import (
    CHUNKED,
    all_scripts,
    chunk,
    find,
    has_begun,
    leave,
    run_logged,
)
from .test_routed import run

TIMEOUT_SECONDS = 10.0

#: More than the kernels and the host hold of an answer.
EVENT = b"id: 1\ndata: " + b"x" * 100_000 + b"\n\n"
EVENTS_COUNT = 160


class ProcessEndTest(TestCase):
    def test_caller_that_reads_nothing_does_not_delay_the_end(self):
        closed = []

        async def send_all(exchange):
            await exchange.send(exchange.head(extra=CHUNKED))
            for _ in range(EVENTS_COUNT):
                await exchange.send(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))

        async def scenario(host, servers):
            all_scripts(servers, send_all)
            caller = await begin_stream(host, "caller-5")
            self.addCleanup(caller.close)
            with anyio.fail_after(TIMEOUT_SECONDS):
                await until_write_blocked(host)

            def close_caller():
                closed.append(caller)
                caller.close()

            asyncio.get_running_loop().call_later(TIMEOUT_SECONDS, close_caller)
            leave(host, 0.0)

        run(scenario)
        self.assertEqual([], closed)


MARGIN_SECONDS = 0.75
EXIT_AT_SECONDS = 7.25
KILLED_AT_SECONDS = EXIT_AT_SECONDS + MARGIN_SECONDS
CLOSE_SECONDS = 0.5


def find_end(guard, late_seconds, exit_at_seconds=EXIT_AT_SECONDS):
    """Return when a guard ends a process whose event loop is always late."""
    now_seconds = 0.0
    while now_seconds < 20.0:
        due_seconds = now_seconds + EXIT_CHECK_SECONDS
        now_seconds = due_seconds + late_seconds
        guard.note_check(due_seconds, now_seconds)
        if guard.must_end(exit_at_seconds, now_seconds):
            return now_seconds
    return None


class ExitGuardTest(TestCase):
    """A process ends itself, with lines about what it cuts, before it is killed."""

    def setUp(self):
        super().setUp()
        self.guard = ExitGuard(MARGIN_SECONDS)

    def test_process_ends_before_its_kill_however_late_it_is(self):
        for late_seconds in (0.0, 0.01, 0.1, 0.2, 0.3):
            ended_at_seconds = find_end(ExitGuard(MARGIN_SECONDS), late_seconds)
            self.assertLessEqual(ended_at_seconds, KILLED_AT_SECONDS, late_seconds)
            self.assertGreaterEqual(ended_at_seconds, EXIT_AT_SECONDS, late_seconds)

    def test_prompt_process_has_the_time_of_its_servers(self):
        ended_at_seconds = find_end(self.guard, 0.001)
        self.assertGreater(ended_at_seconds, EXIT_AT_SECONDS + CLOSE_SECONDS)

    def test_lateness_of_earlier_checks_does_not_count(self):
        self.guard.note_check(1.0, 2.0)
        ended_at_seconds = find_end(self.guard, 0.0)
        self.assertGreater(ended_at_seconds, EXIT_AT_SECONDS + CLOSE_SECONDS)

    def test_process_is_not_ended_before_its_planned_exit(self):
        self.guard.note_check(1.0, EXIT_AT_SECONDS - 0.01)
        self.assertFalse(self.guard.must_end(EXIT_AT_SECONDS, EXIT_AT_SECONDS - 0.01))
        self.assertTrue(self.guard.must_end(EXIT_AT_SECONDS, EXIT_AT_SECONDS + 0.01))

    def test_process_that_may_take_any_time_is_not_ended(self):
        self.assertIsNone(find_end(self.guard, 1.0, None))
        self.assertEqual(
            CLOSE_SECONDS, self.guard.close_seconds(None, CLOSE_SECONDS, 99.0)
        )

    def test_servers_have_less_time_if_the_event_loop_is_late(self):
        def close_seconds(now_seconds):
            return self.guard.close_seconds(EXIT_AT_SECONDS, CLOSE_SECONDS, now_seconds)

        self.assertAlmostEqual(CLOSE_SECONDS, close_seconds(EXIT_AT_SECONDS))
        self.assertAlmostEqual(
            CLOSE_SECONDS - 0.2, close_seconds(EXIT_AT_SECONDS + 0.2)
        )
        self.guard.note_check(0.0, 0.1)
        self.assertAlmostEqual(CLOSE_SECONDS - 0.3, close_seconds(EXIT_AT_SECONDS))
        self.assertEqual(0.0, close_seconds(KILLED_AT_SECONDS))

    def test_servers_of_a_late_host_have_less_time(self):
        async def scenario(host, servers):
            host.daemon.exit_guard.note_check(0.0, 10.0)
            leave(host, 0.0)
            return host.daemon.read_close_seconds()

        self.assertEqual(0.0, run(scenario))

    def test_guard_logs_what_it_cuts(self):
        async def begin(exchange):
            await exchange.send(exchange.head(extra=CHUNKED) + chunk(1))
            await anyio.sleep_forever()

        async def scenario(host, servers):
            all_scripts(servers, begin)
            ended = anyio.Event()
            async with anyio.create_task_group() as tasks:
                call = partial(host.call, "/stream/1", request_id="caller-6")
                tasks.start_soon(call)
                with anyio.fail_after(TIMEOUT_SECONDS):
                    while not has_begun(host):
                        await anyio.sleep(0.005)
                    host.daemon.start_exit_guard(ended.set)
                    leave(host, -MARGIN_SECONDS)
                    await ended.wait()
                tasks.cancel_scope.cancel()

        _, lines = run_logged(scenario)
        [ended] = find(
            lines, "process ends before its connections, as it would be killed"
        )
        self.assertEqual(1, ended["open_count"])
        cut = find(lines, "request ended without complete response")[0]
        self.assertEqual("caller-6", cut["request"])


async def begin_stream(host, request_id):
    """Send a request on a raw connection; return it once the response has begun."""
    address, _, port = host.address.partition(":")
    caller = socket.create_connection((address, int(port)))
    caller.sendall(
        f"POST /stream/1 HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Rampwick-Request-Id: {request_id}\r\nContent-Length: 0\r\n"
        f"Authorization: Bearer {KEY}\r\n\r\n".encode()
    )
    with anyio.fail_after(TIMEOUT_SECONDS):
        while not has_begun(host):
            await anyio.sleep(0.005)
    return caller


async def until_write_blocked(host):
    """Return once the caller of the one open request reads no more."""
    [responder] = host.daemon.entry._open
    before = None
    while before is None or before != responder.write_started_seconds:
        before = responder.write_started_seconds
        await anyio.sleep(0.1)
