"""Hosts that were killed with open answers, as they handled SIGTERM late."""

import os
import signal
import time
from pathlib import Path
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_router import _main
from rampwick_start import EarlySignals

from .test_repeated_stop_signals import GRACE
from .test_routed import run

LATE_SECONDS = 0.3


class LateSignalTest(TestCase):
    """The times of a stop count from the signal, not from when the loop handles it."""

    def waited_seconds(self, *numbers):
        """Return for how long signals count as having waited for a blocked loop."""
        early_signals = EarlySignals()

        async def scenario(host, servers):
            path = Path("unused.toml")
            with (
                mock.patch.object(_main, "early_signals", early_signals),
                anyio.open_signal_receiver(*_main.SIGNALS) as signals,
            ):
                early_signals.listen()
                early_signals.note_stops()
                for number in numbers:
                    os.kill(os.getpid(), number)
                    time.sleep(LATE_SECONDS)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(_main._watch_signals, signals, host.daemon, path)
                    await host.daemon.lifecycle.wait_stopping()
                    tasks.cancel_scope.cancel()
            return host.daemon.lifecycle.stop_waited_seconds

        return run(scenario, life=GRACE)

    def test_the_time_in_which_the_loop_was_blocked_counts(self):
        self.assertGreaterEqual(self.waited_seconds(signal.SIGTERM), LATE_SECONDS)

    def test_repeated_signals_count_from_the_first(self):
        waited_seconds = self.waited_seconds(signal.SIGTERM, signal.SIGTERM)
        self.assertGreaterEqual(waited_seconds, 2 * LATE_SECONDS)

    def test_an_interrupt_counts_from_when_it_is_handled(self):
        self.assertEqual(0.0, self.waited_seconds(signal.SIGINT))
