"""Answers whose upstreams fall silent are broken off, others are not."""

import anyio
from testtools import TestCase

from rampwick_router.upstream._silence import SilenceWatch


class SilenceWatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 10.0
        self.watch = SilenceWatch(lambda: self.now_seconds)

    def read(self, *steps, bound_seconds=1.0):
        """Return whether reading was broken off; each step is waiting and time."""

        async def main():
            with self.watch.listen(bound_seconds) as listening:
                for is_waiting, seconds in steps:
                    listening.waiting_since_seconds = None
                    if is_waiting:
                        self.watch.note_waiting(listening)
                    self.now_seconds += seconds
                    self.watch.look(self.now_seconds)
                    await anyio.sleep(0)
            return listening.is_silent

        return anyio.run(main)

    def test_a_piece_now_and_then_is_no_silence(self):
        self.assertFalse(self.read((True, 0.9), (True, 0.9), (True, 0.9)))

    def test_silence_beyond_the_bound_breaks_off(self):
        self.assertTrue(self.read((True, 0.9), (True, 1.1)))

    def test_a_caller_that_takes_nothing_is_not_the_upstreams_silence(self):
        self.assertFalse(self.read((True, 0.9), (False, 30.0), (True, 0.9)))

    def test_without_a_bound_nothing_is_broken_off(self):
        self.assertFalse(self.read((True, 1e6), bound_seconds=float("inf")))

    def test_what_has_ended_is_looked_at_no_more(self):
        self.read((True, 0.1))
        self.assertEqual(set(), self.watch._open)
