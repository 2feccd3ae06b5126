"""Connections that pour leave the event loop to others."""

import time
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_policy import AnswerWork, BulkPacing
from rampwick_router.upstream._connection_pool import UpstreamConnection
from rampwick_router.upstream._read_pacer import ReadPacer

from .test_bytes_without_end import BODIES, HOST, EndlessSocket

POURING_COUNT = 8

#: Processor time that is observed, and of one turn of the other task.
OBSERVED_SECONDS = 1.0
TURN_SECONDS = 0.001


class BulkPacingTest(TestCase):
    def test_little_work_is_not_paced(self):
        work = AnswerWork()
        paced = [work.note(0.0002, number / 100) for number in range(1000)]
        self.assertEqual({False}, set(paced))

    def test_work_without_a_pause_is_paced_until_it_has_paused(self):
        work = AnswerWork()
        paced = [work.note(0.005, 10.0) for _ in range(6)]
        self.assertEqual([False] * 4 + [True] * 2, paced)
        self.assertFalse(work.note(0.005, 11.0))

    def test_paced_answers_take_their_part_together(self):
        pacing = BulkPacing()
        now_seconds = 5.0
        delays = [pacing.delay_seconds(0.01, now_seconds) for _ in range(3)]
        self.assertEqual([0.04, 0.08, 0.12], [round(delay, 6) for delay in delays])
        self.assertAlmostEqual(0.04, pacing.delay_seconds(0.01, 9.0))


class OtherTaskTest(TestCase):
    """The share of the processor that another task gets beside such connections."""

    def share(self, start, repeated):
        async def pour(pacing):
            connection = UpstreamConnection(
                "r",
                EndlessSocket(start, repeated),
                max_body_bytes=10**12,
                pacer=ReadPacer(pacing),
            )
            await connection.send("GET", "/", HOST, b"")
            await connection.receive_head()
            async for _ in connection.receive_chunks():
                pass

        async def main():
            pacing = BulkPacing()
            async with anyio.create_task_group() as tasks:
                for _ in range(POURING_COUNT):
                    tasks.start_soon(pour, pacing)
                await anyio.sleep(0.2)
                own_seconds = 0.0
                began_seconds = time.thread_time()
                while time.thread_time() - began_seconds < OBSERVED_SECONDS:
                    turn_seconds = time.thread_time()
                    while time.thread_time() - turn_seconds < TURN_SECONDS:
                        pass
                    own_seconds += time.thread_time() - turn_seconds
                    await anyio.sleep(0)
                tasks.cancel_scope.cancel()
            return own_seconds / OBSERVED_SECONDS

        return anyio.run(main)

    def test_another_task_keeps_its_part(self):
        for name in ("until close", "large chunks", "chunks of one byte"):
            ratio = self.share(*BODIES[name])
            self.assertTrue(ratio > 0.3, (name, ratio))


class ReadPacerTest(TestCase):
    def count_paced(self, read_bytes, reads_count=200):
        """Return how many reads are paced beside other tasks that use the processor."""

        async def main():
            now_seconds, used_seconds, paced_count = 0.0, 0.0, 0
            pacer = ReadPacer(BulkPacing(), lambda: now_seconds)
            clock = "rampwick_router.upstream._read_pacer.time.thread_time"
            with mock.patch(clock, lambda: used_seconds):
                for _ in range(reads_count):
                    pacer.begin(read_bytes)
                    # Others run while the answer waits for its caller.
                    now_seconds += 0.02
                    used_seconds += 0.02
                    await pacer.before_read()
                    paced_count += pacer.is_paced
                    if pacer.is_paced:
                        break
            return paced_count

        return anyio.run(main)

    def test_stream_that_waits_for_its_caller_on_a_busy_host_is_not_paced(self):
        self.assertEqual(0, self.count_paced(150))

    def test_answer_that_pours_on_a_busy_host_is_paced(self):
        self.assertEqual(1, self.count_paced(65_536))
