"""A tunnel that was refused with "no peers" after the host's own loop stood still."""

import time

import anyio
from testtools import TestCase

from rampwick_policy._membership import Membership
from rampwick_policy._running_clock import RunningClock

from .test_hosts_cut_off import run_hosts
from .test_stopping import summary
from .test_tunnels import TIMEOUT_SECONDS

DEAD_AFTER_SECONDS = 1.2
CHECK_SECONDS = DEAD_AFTER_SECONDS / 12

#: Longer than the tests' hosts wait for a silent peer.
LATE_SECONDS = 0.7


class SilenceTest(TestCase):
    """Only time in which the host itself ran counts as silence of a peer."""

    def setUp(self):
        super().setUp()
        self.peers = Membership(DEAD_AFTER_SECONDS)
        self.peers.receive_summary("a", "h", 1, summary(1), 0.0)

    def check(self, *times_seconds):
        for at_seconds in times_seconds:
            self.peers.note_check(at_seconds)

    def check_regularly(self, since_seconds, count):
        self.check(*(since_seconds + n * CHECK_SECONDS for n in range(count)))

    def test_time_until_an_overdue_check_is_no_silence(self):
        self.check(0.0, 0.1)
        self.assertTrue(self.peers.has_live_peers(9.0))
        self.assertEqual([], self.peers.expire(9.0))

    def test_time_before_a_late_check_is_no_silence(self):
        self.check(0.0, 0.1, 9.0)
        self.assertTrue(self.peers.has_live_peers(9.0))

    def test_silence_goes_on_after_a_late_check(self):
        self.check_regularly(0.0, 7)
        self.check_regularly(9.0, 5)
        self.assertEqual([], self.peers.expire(9.39))
        self.check_regularly(9.5, 1)
        self.assertEqual(["a"], [view.name for view in self.peers.expire(9.5)])

    def test_hosts_that_are_late_again_and_again_see_a_silent_peer(self):
        self.check(*(0.5 * n for n in range(8)))
        self.assertFalse(self.peers.has_live_peers(3.5))

    def test_without_gaps_a_silent_peer_is_dead_in_time(self):
        self.check_regularly(0.0, 13)
        self.assertTrue(self.peers.has_live_peers(1.19))
        self.assertFalse(self.peers.has_live_peers(1.2))

    def test_a_summary_that_was_read_late_counts_from_then(self):
        self.check(0.0, 0.1, 5.0)
        self.peers.receive_summary("a", "h", 1, summary(2), 5.0)
        self.check_regularly(5.0, 12)
        self.assertTrue(self.peers.has_live_peers(6.19))
        self.assertFalse(self.peers.has_live_peers(6.2))


class RunningClockTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = RunningClock(max_gap_seconds=0.5)

    def test_it_goes_on_between_checks_in_time(self):
        self.assertEqual(3.0, self.clock.read(3.0))
        for at_seconds in (3.0, 3.25, 3.75):
            self.clock.note_check(at_seconds)
        self.assertEqual(4.25, self.clock.read(4.25))

    def test_it_stands_still_while_a_check_is_overdue(self):
        self.clock.note_check(1.0)
        self.assertEqual([1.5, 1.5], [self.clock.read(at) for at in (1.5, 9.0)])

    def test_it_goes_on_after_a_late_check(self):
        self.clock.note_check(1.0)
        self.clock.note_check(9.0)
        self.assertEqual([1.5, 1.75], [self.clock.read(at) for at in (9.0, 9.25)])


class LateLoopTest(TestCase):
    def test_peers_are_known_in_the_first_step_after_the_loop_stood_still(self):
        async def main():
            with anyio.fail_after(TIMEOUT_SECONDS):
                async with run_hosts() as (hosts, _, _):
                    roles = hosts["entry-1"].daemon._gossip.roles
                    time.sleep(LATE_SECONDS)
                    return [member.name for member in roles.tunnel_peers()]

        self.assertEqual(["entry-2"], anyio.run(main))
