"""Suspend and resume of a machine: leases, ages and timers include suspend time.

The scripted clocks differ as after a suspend: CLOCK_MONOTONIC has stopped,
CLOCK_BOOTTIME has advanced. A host that used CLOCK_MONOTONIC would consider its lease
and data fresher than the other hosts do.
"""

import time
from unittest import mock

import anyio
import anyio.lowlevel
from testtools import TestCase

from rampwick_platform import new_event_loop, read_steady_clock
from rampwick_policy import LeaseWatcher
from rampwick_router._assembly import Clocks
from rampwick_schema import LeaseRecord


class SuspendedClocks:
    """Clocks of the kernel with a scripted suspend."""

    def __init__(self):
        self.suspended_seconds = 0.0
        self._read = time.clock_gettime

    def read(self, clock):
        seconds = self._read(clock)
        if clock == time.CLOCK_BOOTTIME:
            return seconds + self.suspended_seconds
        return seconds


class SuspendedTest(TestCase):
    def setUp(self):
        super().setUp()
        self.clocks = SuspendedClocks()
        patcher = mock.patch.object(time, "clock_gettime", self.clocks.read)
        patcher.start()
        self.addCleanup(patcher.stop)

    def test_the_clock_of_the_daemon_includes_suspend_time(self):
        before_seconds = Clocks().monotonic()
        self.clocks.suspended_seconds = 30.0
        self.assertGreaterEqual(Clocks().monotonic() - before_seconds, 30.0)

    def test_a_lease_expires_during_a_suspend(self):
        lease = LeaseWatcher("one", 3.0)
        lease.note_written(LeaseRecord("one", "", 3.0), 1, read_steady_clock())
        self.assertTrue(lease.is_held(read_steady_clock()))
        self.clocks.suspended_seconds = 5.0
        self.assertFalse(lease.is_held(read_steady_clock()))
        self.assertIsNone(lease.fencing_number(read_steady_clock()))

    def test_timers_of_the_event_loop_fire_after_a_suspend(self):
        woken = []

        async def sleep_long():
            await anyio.sleep(1800.0)
            woken.append(True)

        async def scenario():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(sleep_long)
                await anyio.sleep(0.01)
                self.clocks.suspended_seconds = 3600.0
                for _ in range(100):
                    await anyio.lowlevel.checkpoint()
                tasks.cancel_scope.cancel()

        anyio.run(scenario, backend_options={"loop_factory": new_event_loop})
        self.assertEqual([True], woken)
