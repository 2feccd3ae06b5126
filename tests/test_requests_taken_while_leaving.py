"""Guards against requests that a stopping host takes, sends, and ends at its exit."""

import math
import socket
from contextlib import contextmanager
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_policy import AnswerKind, DrainRequest, RequestCancelled
from rampwick_router._logs import ComponentLogger
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control import HostListTask

from .scripted import HOST, KEY, Hangup, all_received
from .test_routed import all_scripts, ran, run

TIMEOUT_SECONDS = 10.0
UPSTREAM_SECONDS = 2.0

PLAIN_KIND = AnswerKind("labels")
STREAM_KIND = AnswerKind("notes", is_stream=True)
CHUNKED = b"Transfer-Encoding: chunked"


def chunk(number):
    """Return an event of a stream in a chunk."""
    event = b"id: %d\ndata: x\n\n" % number
    return b"%x\r\n%s\r\n" % (len(event), event)


def has_begun(host):
    """Return whether a host has begun to send a response."""
    return any(responder.has_started for responder in host.daemon.entry._open)


def open_answers(host):
    """Return the open answers that a host knows."""
    return host.daemon._context.drain_admission.answer_times.open_answers


def leave(host, left_seconds):
    """Let a host leave that exits after some seconds, its balancer done."""
    lifecycle = host.daemon.lifecycle
    if lifecycle.is_ready:
        lifecycle.begin_stop()
    now_seconds = host.daemon._clocks.monotonic()
    lifecycle.exit_deadline_seconds = now_seconds + left_seconds
    lifecycle.balancer_done_at_seconds = min(
        lifecycle.balancer_done_at_seconds, now_seconds
    )


def break_first_attempt(servers, on_attempt):
    """Let servers close the connection of the first attempt, and answer the next."""

    async def close(exchange):
        on_attempt()
        for server in servers.values():
            server.scripts = server.scripts[-1:]
        raise Hangup

    async def answer(exchange):
        await exchange.answer()

    all_scripts(servers, close, answer)


def learn(host, seconds, kind=PLAIN_KIND):
    """Let a host know answers that took so many seconds."""
    context = host.daemon._context
    request = DrainRequest(
        kind=kind,
        latency_target_seconds=1.0,
        max_answer_tokens=0,
        expected_answer_tokens=None,
        is_repeatable=True,
        deadline_seconds=0.0,
    )
    for _ in range(40):
        context.drain_admission.note_answer(request, seconds, context.read_clock())


def run_logged(scenario, **options):
    """Run a scenario; return its result and the log lines."""
    lines = []

    def record(logger, level, text, fields):
        lines.append((text, fields))

    with mock.patch.object(ComponentLogger, "_write", record):
        return run(scenario, **options), lines


@contextmanager
def record_cancellations():
    """Yield the cancellations that are posted to schedulers."""
    cancellations = []
    post = SchedulerTask.post

    def record(self, event):
        if isinstance(event, RequestCancelled):
            cancellations.append(event)
        post(self, event)

    with mock.patch.object(SchedulerTask, "post", record):
        yield cancellations


def find(lines, text):
    """Return the fields of the lines with a text."""
    return [fields for line, fields in lines if line == text]


class EvidenceTest(TestCase):
    def test_request_that_must_not_run_twice_is_refused_without_answers(self):
        async def scenario(host, servers):
            leave(host, 4.5)
            refused = await host.call("/once/1")
            learn(host, 0.05)
            return refused, await host.call("/once/1"), ran(servers)

        (refused, served, received), lines = run_logged(scenario)
        self.assertEqual((503, 200, 1), (refused.status, served.status, len(received)))
        [denied] = find(lines, "request denied")
        expected = "no known time by target (0 answers, 0 open)"
        self.assertIn(expected, denied["evidence"])
        [taken] = find(lines, "request taken while leaving")
        self.assertEqual(
            ("answers", 40), (taken["expected_by"], taken["answers_count"])
        )
        self.assertLess(taken["expected_ms"], taken["left_ms"])

    def test_open_requests_count_until_they_end(self):
        async def scenario(host, servers):
            finish = anyio.Event()

            async def answer_late(exchange):
                await finish.wait()
                await exchange.answer()

            all_scripts(servers, answer_late)
            async with anyio.create_task_group() as tasks:
                for number in range(2):
                    tasks.start_soon(lambda n=number: host.call(f"/again/{n}"))
                await all_received(servers, 2)
                counted = len(open_answers(host).of(PLAIN_KIND))
                leave(host, 4.5)
                late = await host.call("/again/3")
                finish.set()
            return counted, late.status, open_answers(host)._kinds

        self.assertEqual((2, 503, {}), run(scenario))

    def test_events_of_open_streams_count(self):
        async def scenario(host, servers):
            finish = anyio.Event()

            async def stream(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))
                for number in range(6):
                    await exchange.send(chunk(number))
                await finish.wait()
                await exchange.send(b"0\r\n\r\n")

            all_scripts(servers, stream)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.call, "/stream/1")
                with anyio.fail_after(TIMEOUT_SECONDS):
                    while not any(
                        answer.events_count == 6
                        for answer in open_answers(host).of(STREAM_KIND)
                    ):
                        await anyio.sleep(0.005)
                finish.set()
            return open_answers(host)._kinds

        self.assertEqual({}, run(scenario))


class WaitedRequestTest(TestCase):
    """A request that was taken may have waited until it no longer fits."""

    def call_after_wait(self, path, left_seconds):
        """Return the response to a request that waits after it was taken."""

        async def scenario(host, servers):
            learn(host, 1.0)
            leave(host, 4.5)
            may_send, waits = anyio.Event(), anyio.Event()

            async def wait_recent(self):
                waits.set()
                await may_send.wait()

            responses = []

            async def call():
                responses.append(await host.call(path))

            with mock.patch.object(HostListTask, "wait_recent", wait_recent):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(call)
                    await waits.wait()
                    leave(host, left_seconds)
                    may_send.set()
            return responses[0], ran(servers)

        return run_logged(scenario)

    def test_request_that_no_longer_fits_is_refused_as_not_run(self):
        for path in ("/once/1", "/again/1"):
            (response, received), lines = self.call_after_wait(path, 0.6)
            self.assertEqual((503, []), (response.status, received))
            self.assertIn("retry-after", response.headers)
            [refused] = find(lines, "request refused")
            self.assertEqual(
                ("leaving", "not_sent"), (refused["code"], refused["run_state"])
            )
            self.assertIn("by answers (40 answers", refused["evidence"])

    def test_request_that_still_fits_is_sent(self):
        for path in ("/once/1", "/again/1"):
            (response, received), _ = self.call_after_wait(path, 3.0)
            self.assertEqual((200, 1), (response.status, len(received)))

    def call_broken_once(self, left_seconds):
        """Return the response to a request whose first attempt may have run."""

        async def scenario(host, servers):
            learn(host, 1.0)

            break_first_attempt(servers, lambda: leave(host, left_seconds))
            response = await host.call("/again/1")
            return response, ran(servers)

        return run_logged(scenario)

    def test_second_attempt_that_can_not_fit_is_not_sent(self):
        (response, received), lines = self.call_broken_once(0.6)
        self.assertEqual((502, 1), (response.status, len(received)))
        [refused] = find(lines, "request refused")
        self.assertEqual(
            ("leaving", "maybe_run"), (refused["code"], refused["run_state"])
        )

    def test_tokens_are_refunded_unless_it_may_have_run(self):
        for call, may_have_run in (
            (lambda: self.call_after_wait("/again/1", 0.6), False),
            (lambda: self.call_broken_once(0.6), True),
        ):
            with record_cancellations() as cancellations:
                call()
            self.assertEqual(
                [may_have_run], [item.may_have_arrived for item in cancellations]
            )

    def test_second_attempt_that_is_likely_to_fit_is_sent(self):
        (response, received), _ = self.call_broken_once(2.0)
        self.assertEqual((200, 2), (response.status, len(received)))


class UnansweredLineTest(TestCase):
    def test_line_of_a_request_that_is_ended_at_the_exit(self):
        async def scenario(host, servers):
            learn(host, 0.05)
            leave(host, 4.5)
            received = anyio.Event()

            async def never(exchange):
                received.set()
                # The host ends before its upstreams do.
                with anyio.move_on_after(UPSTREAM_SECONDS, shield=True):
                    await anyio.sleep_forever()

            all_scripts(servers, never)
            address, _, port = host.address.partition(":")
            caller = socket.create_connection((address, int(port)))
            self.addCleanup(caller.close)
            caller.sendall(
                f"POST /once/1 HTTP/1.1\r\nHost: {HOST}\r\n"
                f"Rampwick-Request-Id: caller-8\r\nContent-Length: 0\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n".encode()
            )
            await received.wait()

        _, lines = run_logged(scenario)
        [ended] = find(lines, "request ended without response")
        self.assertEqual("caller-8", ended["request"])
        self.assertEqual("answers", ended["expected_by"])
        self.assertTrue(ended["was_dispatched"])

    def test_line_names_the_request_and_what_was_expected(self):
        async def scenario(host, servers):
            learn(host, 0.05, kind=STREAM_KIND)
            leave(host, 4.5)
            host.daemon.lifecycle.balancer_done_at_seconds = math.inf
            begun = anyio.Event()

            async def begin(exchange):
                await exchange.send(exchange.head(extra=CHUNKED) + chunk(1))
                begun.set()
                await anyio.sleep_forever()

            all_scripts(servers, begin)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(lambda: host.call("/stream/1", request_id="caller-7"))
                await begun.wait()
                with anyio.fail_after(TIMEOUT_SECONDS):
                    while not has_begun(host):
                        await anyio.sleep(0.005)
                host.daemon.lifecycle.begin_stop()

        _, lines = run_logged(scenario)
        [ended] = find(lines, "request ended without complete response")
        self.assertEqual("caller-7", ended["request"])
        self.assertTrue(ended["exchange"].startswith("entry-1-"))
        self.assertEqual("answers", ended["expected_by"])
        self.assertEqual(40, ended["answers_count"])
        self.assertIn("left_ms", ended)
        self.assertIn("age_ms", ended)
