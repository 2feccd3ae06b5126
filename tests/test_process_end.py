"""Guards against processes that are killed since a step of their end has no bound."""

import asyncio
import socket
from functools import partial

import anyio
from testtools import TestCase

from rampwick_router._exit_guard import CHECK_SECONDS, ExitGuard
from rampwick_router._lifecycle import Lifecycle

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
    def test_caller_that_takes_nothing_does_not_hold_the_process(self):
        held = []

        async def send_all(exchange):
            await exchange.send(exchange.head(extra=CHUNKED))
            for _ in range(EVENTS_COUNT):
                await exchange.send(b"%x\r\n%s\r\n" % (len(EVENT), EVENT))

        async def scenario(host, servers):
            all_scripts(servers, send_all)
            address, _, port = host.address.partition(":")
            caller = socket.create_connection((address, int(port)))
            self.addCleanup(caller.close)
            caller.sendall(
                f"POST /stream/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Rampwick-Request-Id: caller-5\r\nContent-Length: 0\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            )
            with anyio.fail_after(TIMEOUT_SECONDS):
                while not has_begun(host):
                    await anyio.sleep(0.005)
                await until_held(host)

            def let_go():
                held.append(caller)
                caller.close()

            asyncio.get_running_loop().call_later(TIMEOUT_SECONDS, let_go)
            leave(host, 0.0)

        run(scenario)
        self.assertEqual([], held)


MARGIN_SECONDS = 0.75
EXIT_AT_SECONDS = 7.25


def make_guard(exit_at_seconds=EXIT_AT_SECONDS):
    """Return a guard of a process that is killed a margin after its exit."""
    lifecycle = Lifecycle()
    lifecycle.begin_stop()
    lifecycle.exit_deadline_seconds = exit_at_seconds
    return ExitGuard(lifecycle, MARGIN_SECONDS)


def find_end(guard, late_seconds):
    """Return when a guard ends a process whose event loop is always late."""
    now_seconds = 0.0
    while now_seconds < 20.0:
        due_seconds = now_seconds + CHECK_SECONDS
        now_seconds = due_seconds + late_seconds
        if guard.note_check(due_seconds, now_seconds):
            return now_seconds
    return None


class ExitGuardTest(TestCase):
    """A process ends itself, with lines about what it cuts, before it is killed."""

    def test_process_ends_before_its_kill_however_late_it_is(self):
        killed_at_seconds = EXIT_AT_SECONDS + MARGIN_SECONDS
        for late_seconds in (0.0, 0.01, 0.1, 0.2, 0.3):
            ended_at_seconds = find_end(make_guard(), late_seconds)
            self.assertLessEqual(ended_at_seconds, killed_at_seconds, late_seconds)
            self.assertGreaterEqual(ended_at_seconds, EXIT_AT_SECONDS, late_seconds)

    def test_prompt_process_has_its_time(self):
        self.assertGreater(find_end(make_guard(), 0.001), EXIT_AT_SECONDS + 0.5)

    def test_process_that_was_late_earlier_has_its_time(self):
        guard = make_guard()
        guard.note_check(1.0, 2.0)
        self.assertGreater(find_end(guard, 0.0), EXIT_AT_SECONDS + 0.5)

    def test_process_is_not_ended_before_its_planned_exit(self):
        self.assertFalse(make_guard().note_check(1.0, EXIT_AT_SECONDS - 0.01))
        self.assertTrue(make_guard().note_check(1.0, EXIT_AT_SECONDS + 0.01))

    def test_process_that_may_take_any_time_is_not_ended(self):
        self.assertIsNone(find_end(make_guard(None), 1.0))

    def test_servers_get_less_time_if_the_event_loop_is_late(self):
        async def scenario(host, servers):
            leave(host, 0.0)
            daemon = host.daemon
            prompt_seconds = daemon.read_close_seconds()
            daemon.exit_guard.note_check(0.0, 0.1)
            late_seconds = daemon.read_close_seconds()
            leave(host, -MARGIN_SECONDS)
            return prompt_seconds, late_seconds, daemon.read_close_seconds()

        prompt_seconds, late_seconds, past_seconds = run(scenario)
        self.assertGreater(prompt_seconds, 0.4)
        self.assertAlmostEqual(prompt_seconds - 0.3, late_seconds, 1)
        self.assertEqual(0.0, past_seconds)

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


async def until_held(host):
    """Return when a caller takes nothing more of its answer."""
    [responder] = host.daemon.entry._open
    before = None
    while before is None or before != responder.write_started_seconds:
        before = responder.write_started_seconds
        await anyio.sleep(0.1)
