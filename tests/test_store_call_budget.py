"""Calls to the store whose callers have left."""

from types import SimpleNamespace

import anyio
import httpx
from testtools import TestCase

from rampwick_adapter._objects import ObjectsTranslation
from rampwick_platform import HttpObjectApi

from .raw_store import RawStore

CALLS_PER_SECOND = 10

#: Longest wait for a call that the budget allows at once.
TIMEOUT_SECONDS = 2.0


class CancelledCallTest(TestCase):
    """Calls that were given up before they were made delay no other call.

    Guards against a hall that was refused for 40 s: each denied request that was given
    up while it waited had used up a call, so that the watches waited ever longer.
    """

    def test_cancelled_calls_delay_no_other_call(self):
        async def main():
            clock = SimpleNamespace(now=100.0)
            store = RawStore()
            api = HttpObjectApi(
                "http://store",
                call_timeout_seconds=5.0,
                calls_per_second=CALLS_PER_SECOND,
                dialect=ObjectsTranslation(),
                read_clock=lambda: clock.now,
            )
            transport = httpx.ASGITransport(store.app)
            api._client = httpx.AsyncClient(
                transport=transport, base_url="http://store"
            )
            async with api:
                for _ in range(CALLS_PER_SECOND):
                    await api.list_objects("servers/")
                async with anyio.create_task_group() as tasks:
                    for _ in range(100):
                        tasks.start_soon(api.list_objects, "servers/")
                    await anyio.wait_all_tasks_blocked()
                    tasks.cancel_scope.cancel()
                clock.now += 1 / CALLS_PER_SECOND
                with anyio.fail_after(TIMEOUT_SECONDS):
                    await api.list_objects("servers/")
            return store.listings_count

        self.assertEqual(CALLS_PER_SECOND + 1, anyio.run(main))
