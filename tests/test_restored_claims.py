"""A store that is restored from a copy may lack claims whose requests have run."""

import json
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_router import CallerError
from rampwick_router.entry._claims import RESTORED_WAIT_SECONDS, ClaimTask
from rampwick_schema import ClaimSettings

from .scripted import RestorableStore


class RestoredClaimsTest(TestCase):
    def play(self, scenario):
        """Run two hosts that claim keys in one store."""

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

    async def refuse(self, host, key):
        """Claim a key in vain; return the code of the refusal."""
        try:
            await host.claim("/w", key)
        except CallerError as error:
            return error.code
        raise AssertionError(f"{key} was claimed")

    def write_ids(self, store):
        """Return the claims that the store holds."""
        value = store.stand_in.store.get("claims/0000").value
        return [claim["write_id"] for claim in json.loads(value)["claims"]]

    def test_a_key_that_ran_is_not_run_again_by_another_host(self):
        async def scenario(store, clock, one, other):
            await other.claim("/w", "early")
            store.stand_in.save_copy()
            await one.claim("/w", "lost")
            store.stand_in.restore()
            for host in (other, one):
                self.assertEqual("claim_unavailable", await self.refuse(host, "lost"))
                self.assertEqual(RESTORED_WAIT_SECONDS, host.incomplete_seconds)
            (lost,) = one._won
            while lost not in self.write_ids(store):
                await anyio.sleep(0.01)
            clock.now += RESTORED_WAIT_SECONDS
            for host in (other, one):
                self.assertEqual("key_already_used", await self.refuse(host, "lost"))
            await other.claim("/w", "new")

        self.play(scenario)

    def test_a_claim_is_refused_though_another_call_told_of_the_restore(self):
        async def scenario(store, clock, one, other):
            claim = one._store.claim

            async def claim_late(*arguments):
                store.stand_in.restore()
                await store.list_objects("k/")
                # The host looks at the era while the claim is under way.
                self.assertEqual(RESTORED_WAIT_SECONDS, one.incomplete_seconds)
                return await claim(*arguments)

            one._store.claim = claim_late
            self.assertEqual("claim_unavailable", await self.refuse(one, "key"))
            while self.write_ids(store):
                await anyio.sleep(0.01)

        self.play(scenario)

    def test_a_claim_that_meets_the_restore_is_free_again(self):
        async def scenario(store, clock, one, other):
            await one.claim("/w", "early")
            store.stand_in.save_copy()
            store.stand_in.restore()
            self.assertEqual("claim_unavailable", await self.refuse(one, "key"))
            self.assertEqual("claim_unavailable", await self.refuse(one, "key"))
            clock.now += RESTORED_WAIT_SECONDS
            while True:
                try:
                    await one.claim("/w", "key")
                except CallerError:
                    # Until the claim that met it has been withdrawn.
                    await anyio.sleep(0.01)
                else:
                    return

        self.play(scenario)
