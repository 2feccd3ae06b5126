"""The log line of a request that a stopping host cuts tells why it did."""

import anyio
from testtools import TestCase

from rampwick_router._lifecycle import Lifecycle
from rampwick_router.entry._responder import Responder
from rampwick_router.entry._stop_evidence import StopCut, StopEvidence

from .test_process_end import begin_stream, until_write_blocked
from .test_requests_taken_while_leaving import (
    CHUNKED,
    all_scripts,
    chunk,
    find,
    leave,
    run_logged,
)

TIMEOUT_SECONDS = 10.0

#: Timeout of the routes in the tests.
ROUTE_TIMEOUT_SECONDS = 5.0

#: What callers' and hosts' kernels hold of an answer at most.
LONG_ANSWER_BYTES = 16_000_000


class CutLineTest(TestCase):
    def run_cut(self, script, *, stopped_seconds=1.0, left_seconds=0.0, after=None):
        """Stop a host that has begun a response; return all lines.

        It was asked to stop some seconds before the request came, or after it if they
        are negative; some are left until its exit as its servers end.
        """

        async def scenario(host, servers):
            lifecycle = host.daemon.lifecycle
            if stopped_seconds >= 0.0:
                # A stream is taken so late only if its own timeout ends first.
                leave(host, ROUTE_TIMEOUT_SECONDS + 1.0)
            all_scripts(servers, script)
            caller = await begin_stream(host, "caller-9")
            self.addCleanup(caller.close)
            if after is not None:
                with anyio.fail_after(TIMEOUT_SECONDS):
                    await after(host)
            leave(host, left_seconds)
            now_seconds = host.daemon._clocks.monotonic()
            lifecycle.stop_requested_at_seconds = now_seconds - abs(stopped_seconds)
            if stopped_seconds < 0.0:
                lifecycle.stop_requested_at_seconds = now_seconds
            host.daemon.entry.log_open()

        _, lines = run_logged(scenario)
        return lines

    def cut_line(self, *arguments, **options):
        """Return the one line about the end of a request that was cut."""
        lines = self.run_cut(*arguments, **options)
        [ended] = find(lines, "request ended without complete response")
        self.assertEqual("caller-9", ended["request"])
        return ended

    async def begin_and_go_on(self, exchange):
        """Send events as long as the connection lasts."""
        await exchange.send(exchange.head(extra=CHUNKED))
        for number in range(1000):
            await exchange.send(chunk(number))
            await anyio.sleep(0.02)

    async def begin_and_fall_silent(self, exchange):
        await exchange.send(exchange.head(extra=CHUNKED) + chunk(1))
        await anyio.sleep_forever()

    def test_late_request_cut_at_the_exit(self):
        ended = self.cut_line(self.begin_and_go_on, stopped_seconds=60.0)
        self.assertEqual("leaving_late", ended["reason"])
        self.assertGreater(ended["arrived_after_stop_ms"], 50_000)
        self.assertLess(ended["last_upstream_ms"], 1000)
        self.assertLessEqual(ended["until_exit_ms"], 0)

    def test_early_request_cut_at_the_exit(self):
        ended = self.cut_line(self.begin_and_go_on, stopped_seconds=-1.0)
        self.assertEqual("leaving", ended["reason"])
        self.assertLess(ended["arrived_after_stop_ms"], 0)
        self.assertGreater(ended["after_stop_ms"], 0)

    def test_request_of_a_silent_upstream(self):
        async def wait(host):
            await anyio.sleep(1.1)

        ended = self.cut_line(self.begin_and_fall_silent, after=wait)
        self.assertEqual("leaving_silent", ended["reason"])
        self.assertGreater(ended["last_upstream_ms"], 1000)
        self.assertIsNone(ended["upstream_ended_ms"])

    def test_request_cut_before_the_exit(self):
        ended = self.cut_line(self.begin_and_go_on, left_seconds=60.0)
        self.assertEqual("leaving_early", ended["reason"])
        self.assertGreater(ended["until_exit_ms"], 50_000)

    def test_answer_that_its_caller_does_not_take(self):
        async def send_all(exchange):
            await exchange.send(exchange.head(extra=CHUNKED))
            event = b"id: 1\ndata: " + b"x" * 100_000 + b"\n\n"
            for _ in range(LONG_ANSWER_BYTES // len(event)):
                await exchange.send(b"%x\r\n%s\r\n" % (len(event), event))
            await exchange.send(b"0\r\n\r\n")

        ended = self.cut_line(send_all, after=until_write_blocked)
        self.assertEqual("leaving_undelivered", ended["reason"])
        self.assertGreater(ended["write_pending_ms"], 0)
        self.assertGreater(ended["unacknowledged_bytes"], 0)

    def test_open_requests_are_logged_before_the_exit(self):
        lines = self.run_cut(self.begin_and_go_on)
        [still_open] = find(lines, "request still open before the exit")
        self.assertEqual("caller-9", still_open["request"])
        [ended] = find(lines, "request ended without complete response")
        self.assertEqual(set(), still_open.keys() - ended.keys())


class StopCutTest(TestCase):
    def find_cut(self, *, arrived, now=17.25, last_bytes=None, ended=None):
        """Return why a request that arrived at a time is cut."""
        responder = Responder(send=None, read_clock=None)
        responder.upstream.bytes_at_seconds = last_bytes
        responder.upstream.ended_at_seconds = ended
        lifecycle = Lifecycle()
        lifecycle.balancer_done_at_seconds = 12.5
        lifecycle.exit_deadline_seconds = 17.25
        return StopEvidence(lifecycle).find_cut(responder, arrived, now)

    def test_causes(self):
        cuts = [
            self.find_cut(arrived=9.0, last_bytes=17.2),
            self.find_cut(arrived=14.0, last_bytes=17.2),
            self.find_cut(arrived=14.0, now=14.5, last_bytes=14.4),
            self.find_cut(arrived=9.0, last_bytes=15.0),
            self.find_cut(arrived=9.0, last_bytes=17.0, ended=17.0),
        ]
        expected = [
            StopCut.AT_WORK,
            StopCut.LATE,
            StopCut.EARLY,
            StopCut.SILENT,
            StopCut.UNDELIVERED,
        ]
        self.assertEqual(expected, cuts)
