"""Guards against requests to an upstream that announced its shutdown in an answer."""

import anyio
from testtools import TestCase

from rampwick_platform import PlatformUnavailableError

from .scripted import run_routed

STUCK_SECONDS = 30.0


async def answer_leaving(exchange):
    """Answer as an upstream does that is shutting down."""
    await exchange.answer(extra=b"Rampwick-Leaving: 1")


class AnnouncedShutdownTest(TestCase):
    def test_no_request_follows_the_answer_that_announces_it(self):
        async def main():
            with anyio.fail_after(STUCK_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    found["a"].scripts = [answer_leaving]
                    # The store has no news of it, and can't be asked.
                    host.store.failure = PlatformUnavailableError("down", step="test")
                    statuses = [
                        (await host.call("/open/1", request_id=f"r{number}")).status
                        for number in range(20)
                    ]
                    return statuses, len(found["a"].requests)

        statuses, count = anyio.run(main)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, count)
