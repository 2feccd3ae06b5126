"""Idempotency keys of requests that were cancelled while their claim was pending."""

import json
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_router.entry._claims import ClaimTask
from rampwick_schema import ClaimSettings

from .scripted import RestorableStore


class SlowStore:
    """A store that answers when the test lets it."""

    def __init__(self):
        self.base = RestorableStore()
        self.era = 0
        self.reads_count = 0
        self.may_answer = anyio.Event()

    async def get(self, key):
        self.reads_count += 1
        await self.may_answer.wait()
        return await self.base.get(key)

    async def put(self, key, value, expected_version):
        return await self.base.put(key, value, expected_version)

    def write_ids(self):
        """Return the write ids of the claims in the store."""
        stored = self.base.stand_in.store.get("claims/0000")
        claims = json.loads(stored.value)["claims"] if stored else []
        return [claim["write_id"] for claim in claims]


class CallerLeftTest(TestCase):
    """A caller that repeats a cancelled request with its key is served."""

    def run_scenario(self, scenario):
        async def main():
            store = SlowStore()
            clock = SimpleNamespace(now=100.0)
            settings = ClaimSettings(shards_count=1, batch_seconds=0.0)
            host = ClaimTask(store, settings, lambda: clock.now, lambda: clock.now)
            with anyio.fail_after(20.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(host.run)
                    result = await scenario(store, host, tasks)
                    tasks.cancel_scope.cancel()
            return result

        return anyio.run(main)

    def claim_until_cancelled(self, tasks, host, key):
        """Claim a key in a task; return the scope that cancels it."""
        scope = anyio.CancelScope()

        async def claim():
            with scope:
                await host.claim("/w", key)

        tasks.start_soon(claim)
        return scope

    def test_key_of_a_caller_who_left_can_be_claimed_again(self):
        async def scenario(store, host, tasks):
            scope = self.claim_until_cancelled(tasks, host, "key")
            await anyio.wait_all_tasks_blocked()
            self.assertEqual(1, store.reads_count)
            scope.cancel()
            await anyio.wait_all_tasks_blocked()
            store.may_answer.set()
            await anyio.wait_all_tasks_blocked()
            self.assertEqual([], store.write_ids())
            return await host.claim("/w", "key")

        self.assertIsNotNone(self.run_scenario(scenario).write_id)

    def test_claims_that_wait_for_an_earlier_one_make_no_calls(self):
        async def scenario(store, host, tasks):
            scopes = []
            for number in range(20):
                scopes.append(self.claim_until_cancelled(tasks, host, f"k{number}"))
                await anyio.wait_all_tasks_blocked()
            waiting_count = store.reads_count
            for scope in scopes:
                scope.cancel()
            store.may_answer.set()
            await anyio.wait_all_tasks_blocked()
            return waiting_count, store.reads_count, store.write_ids()

        waiting_count, reads_count, write_ids = self.run_scenario(scenario)
        self.assertEqual(1, waiting_count)
        # The first claim was in progress; it is read and released.
        self.assertLessEqual(reads_count, 2)
        self.assertEqual([], write_ids)
