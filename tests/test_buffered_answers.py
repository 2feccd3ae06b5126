"""Guards against sound answers that are ended for want of room while buffered."""

import anyio
from testtools import TestCase

from rampwick_router._answer_buffers import make_buffers
from rampwick_schema import LimitSettings

from .scripted import run_routed

ANSWERS_COUNT = 24
ANSWER_BYTES = 192 << 10
LATE_BYTES = 4096

LIMITS = LimitSettings(max_buffered_bytes=2 << 20, max_buffered_answer_bytes=1 << 20)


class SoundAnswersTest(TestCase):
    def test_answers_that_end_late_are_all_whole_beyond_the_budget(self):
        async def answer_late(exchange):
            body = b"x" * ANSWER_BYTES
            head = exchange.head(200, length=ANSWER_BYTES)
            await exchange.send(head + body[:-LATE_BYTES])
            await anyio.sleep(0.5)
            await exchange.send(body[-LATE_BYTES:])

        async def main():
            names = [f"a{number}" for number in range(4)]
            async with run_routed({"labels": names}) as (host, servers):
                for server in servers.values():
                    server.scripts = [answer_late]
                buffers = make_buffers(LIMITS)
                host.daemon.entry._context.connection_pool.buffers = buffers
                answers = []

                async def call(number):
                    answer = await host.call("/once/1", request_id=f"r{number}")
                    answers.append((answer.status, len(answer.body)))

                async with anyio.create_task_group() as tasks:
                    for number in range(ANSWERS_COUNT):
                        tasks.start_soon(call, number)
                return answers, buffers.budget.peak_bytes

        answers, peak_bytes = anyio.run(main)
        self.assertEqual([(200, ANSWER_BYTES)] * ANSWERS_COUNT, answers)
        self.assertLessEqual(peak_bytes, LIMITS.max_buffered_bytes)
