"""Answers whose upstreams fall silent are broken off, others are not."""

import anyio
from testtools import TestCase

from rampwick_policy import Dispatch, Outcome
from rampwick_router._errors import AttemptError
from rampwick_router.entry._routed_exchange import RoutedExchange
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


class StubExchange:
    """What an exchange needs to wait for the head of an answer; no time is given."""

    def __init__(self, is_heard):
        self.is_heard = is_heard
        self.suspected = []

    def _silence_seconds(self):
        return 0.0

    @property
    def parts(self):
        return self

    def read_clock(self):
        return 10.0

    def _suspect(self, dispatch):
        self.suspected.append(dispatch.upstream)

    def _was_heard_since(self, upstream, since_seconds):
        return self.is_heard

    def _failed(self, outcome, message, dispatch):
        return AttemptError(message, outcome=outcome, step="t", peer=dispatch.upstream)


class SlowChannel:
    """A connection whose head comes at the third time of asking."""

    asked_count = 0

    async def receive_head(self):
        self.asked_count += 1
        if self.asked_count < 3:
            await anyio.sleep_forever()
        return "head"


class BusyUpstreamTest(TestCase):
    """An upstream that answers others is busy, not gone: no second attempt for it."""

    def head(self, is_heard):
        exchange, dispatch = StubExchange(is_heard), Dispatch("q", "q.1", "r", "r:1")
        channel = SlowChannel()
        head = anyio.run(RoutedExchange._head, exchange, channel, dispatch)
        self.assertEqual(["r"], exchange.suspected)
        return head

    def test_one_that_was_heard_meanwhile_is_waited_for(self):
        self.assertEqual("head", self.head(is_heard=True))

    def test_one_that_says_nothing_at_all_is_given_up(self):
        error = self.assertRaises(AttemptError, self.head, is_heard=False)
        self.assertEqual(Outcome.BROKEN, error.outcome)
