"""Calls to the store whose callers have left."""

from types import SimpleNamespace

import anyio
import httpx
from testtools import TestCase

from rampwick_adapter._objects import ObjectsTranslation
from rampwick_platform import HttpObjectApi

from .raw_store import RawStore

#: Longest wait for a call that the budget allows at once.
TIMEOUT_SECONDS = 2.0


def open_api(store, clock, calls_per_second):
    """Return a client of the store by a clock that the test steps."""
    api = HttpObjectApi(
        "http://store",
        call_timeout_seconds=5.0,
        calls_per_second=calls_per_second,
        dialect=ObjectsTranslation(),
        read_clock=lambda: clock.now,
    )
    transport = httpx.ASGITransport(store.app)
    api._client = httpx.AsyncClient(transport=transport, base_url="http://store")
    return api


class CancelledCallTest(TestCase):
    """Calls that were given up before they were made delay no other call.

    Guards against a hall that was refused for 40 s: each denied request that was given
    up while it waited had used up a call, so that the watches waited ever longer.
    """

    def test_cancelled_calls_delay_no_other_call(self):
        async def main():
            clock = SimpleNamespace(now=100.0)
            store = RawStore()
            async with open_api(store, clock, calls_per_second=1) as api:
                await api.list_objects("servers/")
                async with anyio.create_task_group() as tasks:
                    for _ in range(100):
                        tasks.start_soon(api.list_objects, "servers/")
                    await anyio.wait_all_tasks_blocked()
                    tasks.cancel_scope.cancel()
                clock.now += 1.0
                with anyio.fail_after(TIMEOUT_SECONDS):
                    await api.list_objects("servers/")
            return store.listings_count

        self.assertEqual(2, anyio.run(main))

    def test_delays_by_the_budget_are_reported(self):
        async def main():
            clock = SimpleNamespace(now=100.0)
            reports = []
            async with open_api(RawStore(), clock, calls_per_second=2) as api:
                api.on_delayed = lambda *details: reports.append(details)
                for _ in range(2):
                    await api.list_objects("servers/")
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(api.list_objects, "servers/")
                    await anyio.wait_all_tasks_blocked()
                    waiting_count = api.waiting_count
                    clock.now += 0.5
                clock.now += 1.0
                await api.list_objects("servers/")
            return reports, waiting_count, api.waiting_count

        call = "list objects /-/objects/servers"
        reports = [(True, 0.5, call), (False, 0.0, call)]
        self.assertEqual((reports, 1, 0), anyio.run(main))
