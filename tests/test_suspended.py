"""A machine that was suspended: its steady clock has stood still, real time has not.

Scripted clocks part here as they do then: CLOCK_MONOTONIC stays, CLOCK_BOOTTIME goes
on. Whatever is so and so old by a host's clock must be so for everybody else.
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
    """The kernel's clocks over a suspend."""

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

    def test_the_daemons_clock_counts_the_suspend(self):
        before_seconds = Clocks().monotonic()
        self.clocks.suspended_seconds = 30.0
        self.assertGreaterEqual(Clocks().monotonic() - before_seconds, 30.0)

    def test_a_lease_is_over_after_it(self):
        lease = LeaseWatcher("one", 3.0)
        lease.note_written(LeaseRecord("one", "", 3.0), 1, read_steady_clock())
        self.assertTrue(lease.is_held(read_steady_clock()))
        self.clocks.suspended_seconds = 5.0
        self.assertFalse(lease.is_held(read_steady_clock()))
        self.assertIsNone(lease.fencing_number(read_steady_clock()))

    def test_timers_of_the_event_loop_are_due_after_it(self):
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
