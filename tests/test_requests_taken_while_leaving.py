"""Guards against requests that a stopping host takes, sends, and ends at its exit."""

from unittest import mock

import anyio
from testtools import TestCase

from rampwick_policy import AnswerKind, DrainRequest
from rampwick_router._logs import ComponentLogger

from .scripted import all_received
from .test_routed import all_scripts, run

TIMEOUT_SECONDS = 10.0

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
    lifecycle.balancer_delay_elapsed = True


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


def find(lines, text):
    """Return the fields of the lines with a text."""
    return [fields for line, fields in lines if line == text]


class EvidenceTest(TestCase):
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
