"""Answers that were cut by a first `rampwick drain` in the grace of a SIGTERM."""

import contextlib

import anyio
import httpx
from anyio.to_thread import run_sync
from testtools import TestCase

from .test_connection_ends import WITH_ID, request_head
from .test_repeated_stop_signals import GRACE
from .test_routed import run
from .test_stopped_connections import open_raw, read_status

SIGTERM, DRAIN = "SIGTERM", "drain"


class DrainTest(TestCase):
    def status_after(self, *requests, life=GRACE):
        """Return the status of a request that is open as stops are requested."""

        async def scenario(host, servers):
            may_answer = anyio.Event()

            async def answer_late(exchange):
                await may_answer.wait()
                await exchange.answer()

            for server in servers.values():
                server.scripts = [answer_late]
            admin = f"http://{host.admin_address}"
            with contextlib.closing(open_raw(host)) as raw:
                raw.sendall(request_head("/once/1", WITH_ID))
                while not any(server.requests for server in servers.values()):
                    await anyio.sleep(0.005)
                async with httpx.AsyncClient(base_url=admin, trust_env=False) as client:
                    for request in requests:
                        if request == SIGTERM:
                            host.daemon.request_stop()
                        else:
                            response = await client.post("/drain")
                            self.assertEqual(202, response.status_code)
                if not host.daemon.lifecycle.is_forced:
                    may_answer.set()
                return await run_sync(read_status, raw)

        return run(scenario, life=life)

    def test_a_first_drain_after_the_signal_leaves_the_grace(self):
        self.assertEqual(200, self.status_after(SIGTERM, DRAIN))

    def test_the_signal_after_a_drain_leaves_it_too(self):
        self.assertEqual(200, self.status_after(DRAIN, SIGTERM))

    def test_a_second_drain_ends_open_requests(self):
        self.assertEqual(502, self.status_after(DRAIN, DRAIN))
        self.assertEqual(502, self.status_after(SIGTERM, DRAIN, DRAIN))

    def test_without_a_grace_a_drain_after_the_signal_ends_open_requests(self):
        self.assertEqual(502, self.status_after(SIGTERM, DRAIN, life=""))
