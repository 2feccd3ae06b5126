"""Idle connections are not used while they may be silent, and again once they can't."""

import math

from testtools import TestCase

from rampwick_policy import ConnectionDoubts
from rampwick_policy._connection_doubts import COMMON_DOUBT_SECONDS


class ConnectionDoubtsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.doubts = ConnectionDoubts()

    def test_connections_idle_since_before_a_silent_request_are_in_doubt(self):
        self.assertEqual(-math.inf, self.doubts.usable_since_seconds("u"))
        self.doubts.note("u", 10.0, 10.5)
        self.assertEqual(10.0, self.doubts.usable_since_seconds("u"))
        self.assertEqual(-math.inf, self.doubts.usable_since_seconds("v"))

    def test_only_a_connection_opened_after_the_doubt_ends_it(self):
        self.doubts.note("u", 10.0, 10.5)
        self.assertIs(None, self.doubts.resolve("u", 10.4))
        self.assertEqual(10.0, self.doubts.resolve("u", 10.5))
        self.assertIs(None, self.doubts.resolve("u", 10.6))

    def test_repeated_doubts_do_not_put_off_their_end(self):
        for at_seconds in (10.5, 11.0, 11.5):
            self.doubts.note("u", at_seconds - 0.5, at_seconds)
        self.assertEqual(11.0, self.doubts.resolve("u", 10.6))

    def test_two_upstreams_in_doubt_put_the_connected_ones_in_doubt(self):
        connected = ("u", "v", "w")
        self.doubts.note("u", 10.0, 10.5, connected)
        self.assertEqual(-math.inf, self.doubts.usable_since_seconds("w"))
        self.doubts.note("v", 10.2, 10.7, connected)
        self.assertEqual(10.2, self.doubts.usable_since_seconds("w"))
        self.assertEqual(-math.inf, self.doubts.usable_since_seconds("x"))

    def test_upstreams_in_doubt_long_after_each_other_say_nothing_of_others(self):
        self.doubts.note("u", 10.0, 10.5, ("u", "v", "w"))
        later_seconds = 10.6 + COMMON_DOUBT_SECONDS
        self.doubts.note("v", later_seconds - 0.5, later_seconds, ("u", "v", "w"))
        self.assertEqual(-math.inf, self.doubts.usable_since_seconds("w"))
