"""Answers that were cut by a first `rampwick drain` in the grace of a SIGTERM."""

import httpx
from testtools import TestCase

from .test_repeated_stop_signals import GRACE, status_after

SIGTERM, DRAIN = "SIGTERM", "drain"


class DrainTest(TestCase):
    def status_after(self, *requests, life=GRACE):
        """Return the status of a request that is open as stops are requested."""

        async def request_stops(host):
            admin = f"http://{host.admin_address}"
            async with httpx.AsyncClient(base_url=admin, trust_env=False) as client:
                for request in requests:
                    if request == SIGTERM:
                        host.daemon.request_stop()
                    else:
                        response = await client.post("/drain")
                        self.assertEqual(202, response.status_code)

        return status_after(request_stops, life)

    def test_a_first_drain_after_the_signal_leaves_the_grace(self):
        self.assertEqual(200, self.status_after(SIGTERM, DRAIN))

    def test_the_signal_after_a_drain_leaves_it_too(self):
        self.assertEqual(200, self.status_after(DRAIN, SIGTERM))

    def test_a_second_drain_ends_open_requests(self):
        self.assertEqual(502, self.status_after(DRAIN, DRAIN))
        self.assertEqual(502, self.status_after(SIGTERM, DRAIN, DRAIN))

    def test_without_a_grace_a_drain_after_the_signal_ends_open_requests(self):
        self.assertEqual(502, self.status_after(SIGTERM, DRAIN, life=""))
