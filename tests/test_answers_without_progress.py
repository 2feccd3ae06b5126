"""Answers that bring bytes but no progress are failed attempts."""

import anyio
import httpx
from testtools import TestCase

from rampwick_policy import BufferBudget, BufferedAnswer
from rampwick_router._errors import AttemptError
from rampwick_router.entry._event_framing import EventFramer
from rampwick_router.upstream._sse import EventSplitter

from .scripted import run_routed
from .test_routed import stream_of

CALLS_COUNT = 30

#: How often a bad upstream is asked at the most: its backoff doubles with each failure.
MAX_ASKED_COUNT = 6

EVENT_STREAM = b"Content-Type: text/event-stream"


def pour(repeated, extra=EVENT_STREAM, pause_seconds=0.0):
    """Return a script that sends bytes without end."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=extra))
        data = repeated if pause_seconds else repeated * (8192 // len(repeated))
        while True:
            await exchange.send(data)
            await anyio.sleep(pause_seconds)

    return script


class BadUpstreamTest(TestCase):
    def play(self, path, service, script, good, retry=""):
        """Return callers' statuses and how often each upstream was asked."""

        async def main():
            with anyio.fail_after(50.0):
                async with run_routed(
                    {"labels": ["a", "b"], "notes": ["c", "d"]}, retry=retry
                ) as (host, servers):
                    bad, sound = [servers[name] for name in service]
                    bad.scripts, sound.scripts = [script], [good]
                    views = []
                    for number in range(CALLS_COUNT):
                        views.append(await host.call(path, request_id=f"r{number}"))
                    return views, len(bad.requests)

        return anyio.run(main)

    def assert_served(self, views):
        self.assertEqual(
            {(200, True)}, {(item.status, item.is_whole) for item in views}
        )

    def test_stream_of_comments_or_empty_lines(self):
        for repeated in (b":\n\n", b"\n", b": a longer comment\n\n", b"\r\n"):
            views, asked_count = self.play(
                "/stream/x", "cd", pour(repeated), stream_of(1, 2)
            )
            self.assert_served(views)
            self.assertTrue(0 < asked_count <= MAX_ASKED_COUNT, asked_count)

    def test_stream_of_comments_that_come_slowly(self):
        views, asked_count = self.play(
            "/stream/x",
            "cd",
            pour(b":\n\n", pause_seconds=0.02),
            stream_of(1, 2),
            retry="silence_timeout_seconds = 0.3",
        )
        self.assert_served(views)
        self.assertTrue(0 < asked_count <= MAX_ASKED_COUNT, asked_count)

    def test_body_of_framing(self):
        chunked = b"Transfer-Encoding: chunked"
        views, asked_count = self.play(
            "/again/x",
            "ab",
            pour(b"1\r\n\n\r\n", chunked),
            lambda exchange: exchange.answer(),
        )
        cut = [item for item in views if not item.is_whole]
        self.assertTrue(len(cut) <= MAX_ASKED_COUNT, len(cut))
        self.assertTrue(0 < asked_count <= MAX_ASKED_COUNT, asked_count)


class KeepAliveTest(TestCase):
    """Short comments of a sound server never count."""

    def test_comments_within_an_hour(self):
        for make in (EventFramer, EventSplitter):
            framer = make(1_048_576, "r")
            for _ in range(1200):
                framer.feed(b": ping - 2026-12-05 17:00:00.000000\r\n\r\n")

    def test_comments_between_events(self):
        for make in (EventFramer, EventSplitter):
            framer = make(1_048_576, "r")
            for number in range(100):
                framer.feed(b": " + b"a" * 30_000 + b"\n\n: b\n\n")
                framer.feed(b"id: %d\ndata: x\n\n" % number)

    def test_comments_without_an_event(self):
        for make in (EventFramer, EventSplitter):
            framer = make(1_048_576, "r")
            with self.assertRaises(AttemptError):
                for _ in range(100):
                    framer.feed(b":\n\n" * 1000)


class BufferTest(TestCase):
    """Requests whose answers do not fit into the buffers."""

    def play(self, budget, path="/stream/x", held_bytes=()):
        """Return the response, and what operators see."""

        async def main():
            with anyio.fail_after(30.0):
                async with run_routed({"notes": ["c", "d"]}) as (host, servers):
                    servers["c"].scripts = [pour_event]
                    servers["d"].scripts = [stream_of(1, 2)]
                    host.daemon._connection_pool.buffers.budget = budget
                    for number, count in enumerate(held_bytes):
                        other = BufferedAnswer(f"other-{number}")
                        budget.add(other)
                        budget.resize(other, count)
                    views = []
                    while not servers["c"].requests:
                        views.append(await host.call(path, request_id=str(len(views))))
                    async with httpx.AsyncClient(
                        base_url=f"http://{host.admin_address}"
                    ) as client:
                        metrics = (await client.get("/metrics")).text
                        status = (await client.get("/status")).json()
                    return views[-1], len(servers["c"].requests), metrics, status

        return anyio.run(main)

    def test_answer_over_its_own_bound_is_replaced(self):
        view, _, metrics, status = self.play(BufferBudget(10_000_000, 100_000))
        self.assertEqual((200, True), (view.status, view.is_whole))
        ended = 'rampwick_answers_ended_total{bound="answer buffer",upstream="c"} 1.0'
        self.assertIn(ended, metrics)
        self.assertIn('rampwick_buffered_bytes{kind="held"} 0.0', metrics)
        self.assertEqual(0, status["buffered_bytes"]["held"])
        self.assertTrue(status["buffered_bytes"]["peak"] > 90_000)

    def test_answer_ended_for_others_is_refused_once(self):
        view, asked_count, metrics, status = self.play(
            BufferBudget(1_000_000, 900_000), held_bytes=(320_000, 340_000)
        )
        self.assertEqual((502, 1), (view.status, asked_count))
        self.assertIn(b"answer_too_large", view.body)
        ended = 'rampwick_answers_ended_total{bound="process buffer",upstream="c"} 1.0'
        self.assertIn(ended, metrics)
        beliefs = {item["name"]: item["belief"] for item in status["upstreams"]}
        self.assertEqual("up", beliefs["c"])


async def pour_event(exchange):
    """Send an event without end."""
    await exchange.send(exchange.head(extra=EVENT_STREAM) + b"data: ")
    while True:
        await exchange.send(b"a" * 8192)
