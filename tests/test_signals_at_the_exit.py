"""A host that was ended by a signal after its orderly stop, as if it had crashed."""

import signal

import anyio
from testtools import TestCase

from .host_processes import CALLED_HOST, LIMITS, HostFleet, PlainServer, run_fleet

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "a",
            "host": CALLED_HOST,
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 300,
            "service": "plain",
            "max_attempts": 2,
            "public": True,
        }
    ],
    "services": [{"name": "plain", "health_path": "/health", "max_connections": 200}],
    "limits": LIMITS,
}

REPEAT_SECONDS = 0.001


class QuickFleet(HostFleet):
    """Hosts that stop at once."""

    settings = (
        "[retry]\nprobe_interval_seconds = 0.0\n"
        "[life]\nbalancer_delay_seconds = 0.0\nstop_within_seconds = 8.0\n"
    )


class ExitTest(TestCase):
    def exit_code_after(self, repeated):
        """Return the exit code of a host that gets a signal until it is gone."""

        async def main():
            async with run_fleet(QuickFleet, MANIFEST) as (fleet, _):
                await fleet.start_all([PlainServer("s-0")], 1)
                (host,) = fleet.hosts
                host.signal(signal.SIGTERM)
                while not host.has_ended:
                    host.signal(repeated)
                    await anyio.sleep(REPEAT_SECONDS)
                return host.process.returncode

        return anyio.run(main)

    def test_repeated_reloads_leave_the_exit_in_order(self):
        self.assertEqual(0, self.exit_code_after(signal.SIGHUP))

    def test_repeated_requests_to_stop_leave_the_exit_in_order(self):
        self.assertEqual(0, self.exit_code_after(signal.SIGTERM))
