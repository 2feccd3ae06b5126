"""Connections are not closed by a bound on rest that their callers may not go by."""

from testtools import TestCase

from rampwick_policy import IdleBounds
from rampwick_policy._idle_bounds import MARGIN_SECONDS, MAX_UNCONFIRMED_SECONDS


class IdleBoundsTest(TestCase):
    def bounds(self, *noted):
        """Return bounds that came into force at some times."""
        bounds = IdleBounds()
        for seconds, at_seconds in noted:
            bounds.note(seconds, at_seconds)
        return bounds

    def test_bound_that_was_longer_during_the_rest_holds(self):
        bounds = self.bounds((15.0, 0.0), (60.0, 10.0), (15.0, 12.0))
        self.assertEqual(60.0, bounds.longest_since(8.0))
        self.assertEqual(60.0, bounds.longest_since(12.0))

    def test_shorter_bound_holds_for_later_rests(self):
        bounds = self.bounds((60.0, 0.0), (15.0, 12.0))
        self.assertEqual(15.0, bounds.longest_since(12.5))

    def test_longest_of_several_earlier_bounds_holds(self):
        bounds = self.bounds((60.0, 0.0), (30.0, 10.0), (15.0, 12.0), (20.0, 14.0))
        self.assertEqual(60.0, bounds.longest_since(9.0))
        self.assertEqual(30.0, bounds.longest_since(11.0))
        self.assertEqual(20.0, bounds.longest_since(13.0))

    def test_bounds_that_no_connection_rests_by_are_dropped(self):
        bounds = IdleBounds()
        for number in range(1000):
            bounds.note(1000.0 - number, 10.0 * number)
        self.assertLess(len(bounds._bounds), 110)
        self.assertEqual(1.0, bounds.longest_since(9990.5))

    def test_rest_lasts_until_its_bound_is_confirmed(self):
        bounds = self.bounds((15.0, 0.0))
        self.assertEqual(17.5, bounds.max_idle_seconds(2.0, 2.5))
        self.assertEqual(
            15.0 + MAX_UNCONFIRMED_SECONDS, bounds.max_idle_seconds(2.0, float("inf"))
        )

    def test_request_that_was_sent_at_the_end_of_the_rest_can_arrive(self):
        bounds = self.bounds((15.0, 0.0))
        self.assertEqual(15.0 + MARGIN_SECONDS, bounds.max_idle_seconds(2.0, 0.0))
