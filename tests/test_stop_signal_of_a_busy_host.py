"""A stop whose times counted from when a busy event loop handled its signal."""

import os
import signal
import time
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_router import _main
from rampwick_router._daemon import Daemon
from rampwick_router._lifecycle import Lifecycle

BUSY_SECONDS = 0.3

SETTINGS = """
[host]
name = "entry-1"
hall = "trnava"
[listen]
entry = "127.0.0.1:0"
admin = "127.0.0.1:0"
peer = "127.0.0.1:0"
[life]
balancer_delay_seconds = 0.0
stop_within_seconds = 8.0
"""


class BusyHostTest(TestCase):
    """The process is killed by the time of the signal, whenever it is handled."""

    def setUp(self):
        super().setUp()
        self.waits_seconds = []
        begin_stop = Lifecycle.begin_stop

        def note_stop(lifecycle, waited_seconds=0.0):
            self.waits_seconds.append(waited_seconds)
            begin_stop(lifecycle, waited_seconds)

        patch = mock.patch.object(Lifecycle, "begin_stop", note_stop)
        patch.start()
        self.addCleanup(patch.stop)

    def run_host(self, announce):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "host.toml"
            path.write_text(SETTINGS)
            anyio.run(_main.run_host, path, None, announce)

    def signal_while_busy(self, *_, **__):
        os.kill(os.getpid(), signal.SIGTERM)
        time.sleep(BUSY_SECONDS)

    def test_times_count_from_a_signal_while_the_loop_is_busy(self):
        self.run_host(self.signal_while_busy)
        [waited_seconds] = self.waits_seconds
        self.assertGreaterEqual(waited_seconds, BUSY_SECONDS)

    def test_times_count_from_a_signal_during_the_start(self):
        start = Daemon.start

        async def start_late(daemon, *arguments):
            self.signal_while_busy()
            await start(daemon, *arguments)

        with mock.patch.object(Daemon, "start", start_late):
            self.run_host(_main._announce_nothing)
        [waited_seconds] = self.waits_seconds
        self.assertGreaterEqual(waited_seconds, BUSY_SECONDS)

    def test_next_signal_counts_from_its_own_time(self):
        def signal_twice(*_, **__):
            self.signal_while_busy()
            # Only a forced stop records a second request.
            os.kill(os.getpid(), signal.SIGTERM)

        with mock.patch.dict(globals(), SETTINGS=SETTINGS.replace("= 8.0", "= 0.0")):
            self.run_host(signal_twice)
        first_seconds, second_seconds = self.waits_seconds
        self.assertGreater(first_seconds, second_seconds)
