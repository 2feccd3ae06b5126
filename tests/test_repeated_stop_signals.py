"""Answers that were cut by a second signal to stop, with most of the grace left."""

import contextlib
import signal
from pathlib import Path
from types import SimpleNamespace

import anyio
from anyio.to_thread import run_sync
from testtools import TestCase

from rampwick_router import _main

from .test_connection_ends import WITH_ID, request_head
from .test_routed import run
from .test_stopped_connections import open_raw, read_status

GRACE = "stop_within_seconds = 8.0"


async def _deliver(daemon, *numbers):
    """Handle signals as they arrive at the process."""

    async def receive():
        for number in numbers:
            yield number

    await _main._watch_signals(receive(), daemon, Path("unused.toml"))


def status_after(request_stops, life):
    """Return the status of a request that is open while stops are requested.

    It is answered after them, unless they force the stop.
    """

    async def scenario(host, servers):
        may_answer = anyio.Event()

        async def answer_late(exchange):
            await may_answer.wait()
            await exchange.answer()

        for server in servers.values():
            server.scripts = [answer_late]
        with contextlib.closing(open_raw(host)) as raw:
            raw.sendall(request_head("/once/1", WITH_ID))
            while not any(server.requests for server in servers.values()):
                await anyio.sleep(0.005)
            await request_stops(host)
            if not host.daemon.lifecycle.is_forced:
                may_answer.set()
            return await run_sync(read_status, raw)

    return run(scenario, life=life)


class RepeatedStopTest(TestCase):
    """A repeated SIGTERM cuts no answer that has time until the process is killed."""

    def status_after(self, *numbers, life=GRACE):
        """Return the status of a request that is open as the signals arrive."""
        return status_after(lambda host: _deliver(host.daemon, *numbers), life)

    def test_repeated_signals_leave_the_grace_to_open_requests(self):
        self.assertEqual(200, self.status_after(*[signal.SIGTERM] * 3))

    def test_an_interrupt_before_the_signal_leaves_it_too(self):
        self.assertEqual(200, self.status_after(signal.SIGINT, signal.SIGTERM))

    def test_an_interrupt_in_the_grace_ends_open_requests(self):
        self.assertEqual(502, self.status_after(signal.SIGTERM, signal.SIGINT))

    def test_without_a_grace_a_repeated_signal_ends_open_requests(self):
        statuses = self.status_after(signal.SIGTERM, signal.SIGTERM, life="")
        self.assertEqual(502, statuses)


class RepeatedEarlyStopTest(TestCase):
    """Signals that arrive while the daemon is being loaded force nothing either."""

    def test_times_of_the_stop_count_from_the_first_signal(self):
        async def scenario(host, servers):
            for waited_seconds in (0.5, 0.25):
                host.daemon.request_stop(waited_seconds)
            lifecycle = host.daemon.lifecycle
            return SimpleNamespace(
                is_forced=lifecycle.is_forced,
                waited_seconds=lifecycle.stop_waited_seconds,
            )

        stop = run(scenario, life=GRACE)
        self.assertEqual((False, 0.5), (stop.is_forced, stop.waited_seconds))
