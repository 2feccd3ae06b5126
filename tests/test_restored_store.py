"""A store that is restored from an older copy, and goes on from a lower revision.

Symptom: requests reach an upstream that announced its shutdown in the store, and are
handled by a configuration that was replaced there. Sequence: the store is away, comes
back without its last writes, and counts its revisions on from there. Cause: a higher
revision was taken for a later state. Settled by the readers' listings, ten a second,
which succeeded and changed nothing until the store had counted past what was known.
"""

import random

import anyio
from testtools import TestCase

from rampwick_platform import KindWatcher, LeaseStore
from rampwick_policy import LeaseWatcher
from rampwick_schema import LeaseRecord

from .scripted import RestorableStore, list_upstream, make_tree, run_routed


def write_lease(store: RestorableStore, holder: str) -> int:
    return store.write("leases/steward", LeaseRecord(holder, "", 3.0))


class RestoredStoreTest(TestCase):
    def test_what_is_written_after_a_restore_is_read(self):
        async def main():
            store = RestorableStore()
            store.write("k/kept", LeaseRecord("x", "", 1.0))
            store.stand_in.keep_copy()
            for name in ("a", "b", "c"):
                store.write(f"k/{name}", LeaseRecord(name, "", 1.0))
            states = []
            watcher = KindWatcher(
                store,
                "k/",
                wait_seconds=0.02,
                take_state=states.append,
                take_problem=lambda problem: None,
                read_clock=lambda: 0.0,
                draw=random.Random(1),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await settle(store, lambda: states)
                store.stand_in.restore()
                store.write("k/new", LeaseRecord("new", "", 1.0))
                await settle(store, lambda: "k/new" in states[-1].objects)
                tasks.cancel_scope.cancel()
            return sorted(states[-1].objects)

        self.assertEqual(["k/kept", "k/new"], anyio.run(main))

    def test_the_lease_is_taken_again_after_a_restore(self):
        async def main():
            store = RestorableStore()
            write_lease(store, "former")
            store.stand_in.keep_copy()
            for _ in range(5):
                version = write_lease(store, "former")
            now_seconds = 100.0
            watcher = LeaseWatcher("entry-1", 3.0)
            watcher.note_heard("former", version, now_seconds)
            store.stand_in.restore()
            leases = LeaseStore(store, "leases/steward")
            taken = []
            for _ in range(10):
                now_seconds += 1.0
                taken.append(await leases.try_take(watcher, lambda: now_seconds))
            return any(taken)

        self.assertTrue(anyio.run(main))

    def test_an_upstream_that_leaves_after_a_restore_gets_no_request(self):
        async def main():
            store = RestorableStore()
            store.stand_in.keep_copy()
            async with run_routed({"labels": ["s1", "s2"]}, store=store) as (host, ups):
                store.stand_in.keep_copy()
                for _ in range(9):
                    store.write("other/x", make_tree(9))
                for upstream in ups.values():
                    list_upstream(store, upstream, "labels", state="live")
                scheduler = host.daemon.scheduler._scheduler
                await settle(store, lambda: host.daemon._hosts.version > 2 * 11)
                store.stand_in.restore()
                list_upstream(store, ups["s1"], "labels", state="leaving")
                leaving = scheduler.upstreams.get("s1")
                await settle(store, lambda: leaving.entry.state == "leaving")
                for number in range(10):
                    await host.call("/once/x", request_id=f"q{number}")
                return len(ups["s1"].requests)

        self.assertEqual(0, anyio.run(main))


async def settle(store: RestorableStore, condition, calls_count: int = 60) -> None:
    """Wait until a condition holds, or for so many more calls to the store."""
    last_count = store.calls.total() + calls_count
    with anyio.fail_after(20.0):
        while not condition() and store.calls.total() < last_count:
            await anyio.sleep(0.005)
