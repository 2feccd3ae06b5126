"""Idempotency after a restore of the store, which loses claims of requests that ran."""

import json
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_router import CallerError
from rampwick_router.entry._claims import RESTORED_WAIT_SECONDS, ClaimTask
from rampwick_schema import ClaimSettings

from .scripted import RestorableStore


class RestoredClaimsTest(TestCase):
    def run_scenario(self, scenario):
        """Run a scenario with two hosts that claim keys in one store."""

        async def main():
            store = RestorableStore()
            clock = SimpleNamespace(now=100.0)
            settings = ClaimSettings(shards_count=1, batch_seconds=0.0)
            hosts = [
                ClaimTask(api, settings, lambda: clock.now, lambda: clock.now)
                for api in (store, RestorableStore(store.stand_in))
            ]
            async with anyio.create_task_group() as tasks:
                for host in hosts:
                    tasks.start_soon(host.run)
                with anyio.fail_after(20.0):
                    await scenario(store, clock, *hosts)
                tasks.cancel_scope.cancel()

        anyio.run(main)

    async def claim_refused(self, host, key):
        """Claim a key that is refused; return the error code."""
        try:
            await host.claim("/w", key)
        except CallerError as error:
            return error.code
        raise AssertionError(f"{key} was claimed")

    def write_ids(self, store):
        """Return the write ids of the claims in the store."""
        value = store.stand_in.store.get("claims/0000").value
        return [claim["write_id"] for claim in json.loads(value)["claims"]]

    def test_lost_claim_is_rewritten_and_blocks_another_host(self):
        async def scenario(store, clock, one, other):
            await other.claim("/w", "early")
            store.stand_in.save_copy()
            await one.claim("/w", "lost")
            store.stand_in.restore()
            for host in (other, one):
                self.assertEqual(
                    "claim_unavailable", await self.claim_refused(host, "lost")
                )
                self.assertEqual(RESTORED_WAIT_SECONDS, host.recovery_remaining_seconds)
            (lost,) = one._own_claims
            while lost not in self.write_ids(store):
                await anyio.sleep(0.01)
            clock.now += RESTORED_WAIT_SECONDS
            for host in (other, one):
                self.assertEqual(
                    "key_already_used", await self.claim_refused(host, "lost")
                )
            await other.claim("/w", "new")

        self.run_scenario(scenario)

    def test_claim_is_refused_if_another_call_detects_the_restore(self):
        async def scenario(store, clock, one, other):
            claim = one._store.claim

            async def claim_late(*arguments):
                store.stand_in.restore()
                await store.list_objects("k/")
                # The host detects the new era while the claim is in flight.
                self.assertEqual(RESTORED_WAIT_SECONDS, one.recovery_remaining_seconds)
                return await claim(*arguments)

            one._store.claim = claim_late
            self.assertEqual("claim_unavailable", await self.claim_refused(one, "key"))
            while self.write_ids(store):
                await anyio.sleep(0.01)

        self.run_scenario(scenario)

    def test_claim_during_the_restore_is_released(self):
        async def scenario(store, clock, one, other):
            await one.claim("/w", "early")
            store.stand_in.save_copy()
            store.stand_in.restore()
            self.assertEqual("claim_unavailable", await self.claim_refused(one, "key"))
            self.assertEqual("claim_unavailable", await self.claim_refused(one, "key"))
            clock.now += RESTORED_WAIT_SECONDS
            while True:
                try:
                    await one.claim("/w", "key")
                except CallerError:
                    # The claim made during the restore is not withdrawn yet.
                    await anyio.sleep(0.01)
                else:
                    return

        self.run_scenario(scenario)
