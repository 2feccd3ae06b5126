"""Hosts that were killed with open answers, as they handled SIGTERM late."""

import signal
import time
from pathlib import Path

from testtools import TestCase

from rampwick_policy._attentive_clock import AttentiveClock
from rampwick_router import _main

from .test_repeated_stop_signals import GRACE
from .test_routed import run

#: Longer than two checks of the links.
LATE_SECONDS = 1.0

GAP_SECONDS = 0.5


class LateSignalTest(TestCase):
    """The time of a stop counts from when the signal may have arrived."""

    def waited_seconds(self, late_seconds, *, is_checked):
        """Return for how long a signal counts as having waited."""

        async def scenario(host, servers):
            daemon = host.daemon
            daemon.scheduler._scheduler.peers._attentive = AttentiveClock(GAP_SECONDS)
            daemon.scheduler.note_check(daemon._clocks.monotonic())
            time.sleep(late_seconds)
            if is_checked:
                daemon._gossip._links.check_links(daemon._clocks.monotonic())

            async def receive():
                yield signal.SIGTERM

            await _main._watch_signals(receive(), daemon, Path("unused.toml"))
            return daemon.lifecycle.stop_waited_seconds

        return run(scenario, life=GRACE)

    def test_a_signal_that_waited_for_the_loop_counts_from_before(self):
        for is_checked in (False, True):
            waited_seconds = self.waited_seconds(LATE_SECONDS, is_checked=is_checked)
            self.assertGreaterEqual(waited_seconds, LATE_SECONDS)

    def test_a_signal_at_a_prompt_loop_counts_from_now(self):
        self.assertEqual(0.0, self.waited_seconds(0.0, is_checked=False))


class UnattendedTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = AttentiveClock(GAP_SECONDS)

    def test_without_a_check_nothing_is_known_to_have_waited(self):
        self.assertEqual(0.0, self.clock.unattended_seconds(9.0))

    def test_regular_checks_leave_nothing_unattended(self):
        for at_seconds in (0.0, 0.25, 0.75):
            self.clock.note_check(at_seconds)
        self.assertEqual(0.0, self.clock.unattended_seconds(1.25))

    def test_an_overdue_check_leaves_the_time_since_the_last_one(self):
        self.clock.note_check(1.0)
        self.assertEqual(2.0, self.clock.unattended_seconds(3.0))

    def test_a_late_check_does_so_until_the_next_one(self):
        self.clock.note_check(1.0)
        self.clock.note_check(3.0)
        self.assertEqual(2.125, self.clock.unattended_seconds(3.125))
        self.assertEqual(0.0, self.clock.unattended_seconds(3.25))
