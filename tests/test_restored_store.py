"""A store that is restored from an older copy and continues at a lower revision.

Guards against requests to an upstream that announced its shutdown in the store, and
against a configuration that was replaced there. The store becomes unavailable, returns
without its last writes and continues from the older revision. Hosts treated a higher
revision as a later state: their listings, ten a second, succeeded but had no effect
until the store had passed the last known revision.
"""

import random
import unittest
from types import SimpleNamespace

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import (
    ABSENT,
    HistoryGoneError,
    KindWatcher,
    LeaseStore,
    OutcomeUnknownError,
    StoreRestoredError,
    VersionConflictError,
    read_era,
)
from rampwick_policy import LeaseWatcher
from rampwick_schema import (
    MAX_ERA,
    MAX_REVISION,
    LeaseRecord,
    era_of,
    join_version,
    revision_of,
)

from .scripted import RestorableStore, list_upstream, make_tree, run_routed


def write_lease(store: RestorableStore, holder: str) -> int:
    return store.write("leases/steward", LeaseRecord(holder, "", 3.0))


class RestoredStoreTest(TestCase):
    def test_writes_after_a_restore_are_read(self):
        async def main():
            store = RestorableStore()
            store.write("k/kept", LeaseRecord("x", "", 1.0))
            store.stand_in.save_copy()
            for name in ("a", "b", "c"):
                store.write(f"k/{name}", LeaseRecord(name, "", 1.0))
            states = []
            watcher = KindWatcher(
                store,
                "k/",
                wait_seconds=0.02,
                on_state=states.append,
                on_problem=lambda problem: None,
                read_clock=lambda: 0.0,
                rng=random.Random(1),
            )
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await wait_until(store, lambda: states)
                store.stand_in.restore()
                store.write("k/new", LeaseRecord("new", "", 1.0))
                await wait_until(store, lambda: "k/new" in states[-1].objects)
                tasks.cancel_scope.cancel()
            return sorted(states[-1].objects)

        self.assertEqual(["k/kept", "k/new"], anyio.run(main))

    def test_the_lease_is_acquired_again_after_a_restore(self):
        async def main():
            store = RestorableStore()
            write_lease(store, "former")
            store.stand_in.save_copy()
            for _ in range(5):
                version = write_lease(store, "former")
            now_seconds = 100.0
            watcher = LeaseWatcher("entry-1", 3.0)
            watcher.observe_announcement("former", version, now_seconds)
            store.stand_in.restore()
            leases = LeaseStore(store, "leases/steward")
            clock = SimpleNamespace(now=now_seconds)
            acquired = []
            for _ in range(10):
                clock.now += 1.0
                acquired.append(await leases.try_acquire(watcher, lambda: clock.now))
            return any(acquired)

        self.assertTrue(anyio.run(main))

    def test_an_upstream_that_leaves_after_a_restore_gets_no_requests(self):
        async def main():
            store = RestorableStore()
            store.stand_in.save_copy()
            async with run_routed({"labels": ["s1", "s2"]}, store=store) as (host, ups):
                store.stand_in.save_copy()
                for _ in range(9):
                    store.write("other/x", make_tree(9))
                for upstream in ups.values():
                    list_upstream(store, upstream, "labels", state="live")
                scheduler = host.daemon.scheduler._scheduler
                await wait_until(store, lambda: host.daemon._hosts.version > 2 * 11)
                store.stand_in.restore()
                list_upstream(store, ups["s1"], "labels", state="leaving")
                leaving = scheduler.upstreams.get("s1")
                await wait_until(store, lambda: leaving.entry.state == "leaving")
                for number in range(10):
                    await host.call("/once/x", request_id=f"q{number}")
                return len(ups["s1"].requests)

        self.assertEqual(0, anyio.run(main))


class StoreVersionTest(TestCase):
    @settings(derandomize=True)
    @given(
        st.tuples(st.integers(0, MAX_ERA), st.integers(0, MAX_REVISION)),
        st.tuples(st.integers(0, MAX_ERA), st.integers(0, MAX_REVISION)),
    )
    def test_versions_are_ordered_by_era_and_then_by_revision(self, one, other):
        self.assertEqual(one < other, join_version(*one) < join_version(*other))
        version = join_version(*one)
        self.assertEqual(one, (era_of(version), revision_of(version)))

    def test_in_era_zero_the_version_equals_the_revision(self):
        self.assertEqual(61, join_version(0, 61))

    def test_eras_and_revisions_out_of_range_are_rejected(self):
        for era, revision in ((-1, 0), (0, -1), (MAX_ERA + 1, 0), (0, 1 << 40)):
            self.assertRaises(ValueError, join_version, era, revision)

    def test_an_era_must_be_a_whole_number(self):
        self.assertEqual((3, 0, 12), tuple(read_era(text) for text in ("3", "0", "12")))
        for text in ("", "-1", "1.0", "nan", "1, 2", "9" * 4096, "٣", "0x1"):
            self.assertEqual(0, read_era(text))


class ResponseEraTest(TestCase):
    """Calls to a store with nine objects, of which the copy has three."""

    def call(self, scenario):
        async def main():
            store = RestorableStore()
            for number in range(9):
                if number == 3:
                    store.stand_in.save_copy()
                store.write(f"k/{number}", LeaseRecord("", "", 1.0))
            return await scenario(store)

        return anyio.run(main)

    def test_everything_read_after_a_restore_has_a_higher_version(self):
        async def scenario(store):
            before = await store.list_objects("k/")
            store.stand_in.restore()
            after = await store.list_objects("k/")
            one = await store.get("k/1")
            return before.version, after.version, one.version, after.objects[1].version

        before, after, one, listed = self.call(scenario)
        self.assertEqual(
            (9, join_version(1, 3), join_version(1, 2)), (before, after, one)
        )
        self.assertEqual(one, listed)

    def test_a_watch_from_before_a_restore_fails(self):
        async def scenario(store):
            await store.list_objects("k/")
            store.stand_in.restore()
            for number in range(9):
                store.write(f"k/new-{number}", LeaseRecord("", "", 1.0))
            # The store has assigned revision 9 again, to another object.
            with expect(HistoryGoneError):
                await store.watch("k/", 9, 0.01)
            calls_count = store.calls.total()
            with expect(HistoryGoneError):
                await store.watch("k/", 9, 0.01)
            return store.calls.total() - calls_count

        self.assertEqual(0, self.call(scenario))

    def test_a_write_with_a_version_from_before_a_restore_is_not_sent(self):
        async def scenario(store):
            version = (await store.get("k/2")).version
            store.stand_in.restore()
            await store.list_objects("k/")
            with expect(VersionConflictError):
                await store.put("k/2", b"{}", version)
            return store.stand_in.store.get("k/2").version

        self.assertEqual(3, self.call(scenario))

    def test_a_write_during_a_restore_fails(self):
        async def scenario(store):
            version = (await store.get("k/2")).version
            store.stand_in.restore()
            with expect(StoreRestoredError):
                await store.put("k/2", b"{}", version)
            return await store.put("k/new", b"{}", ABSENT)

        self.assertEqual(join_version(1, 5), self.call(scenario))

    def test_a_response_of_an_earlier_era_is_rejected(self):
        async def scenario(store):
            store.stand_in.restore(eras_count=3)
            await store.list_objects("k/")
            for era in (2, 0):
                store.stand_in.era = era
                with expect(OutcomeUnknownError):
                    await store.list_objects("k/")
            store.stand_in.era = 3
            return (await store.list_objects("k/")).version

        self.assertEqual(join_version(3, 3), self.call(scenario))

    def test_a_restore_is_reported_once(self):
        async def scenario(store):
            eras = []
            store.on_restored = lambda *details: eras.append(details)
            await store.list_objects("k/")
            store.stand_in.restore(eras_count=3)
            await store.list_objects("k/")
            await store.list_objects("k/")
            return eras

        self.assertEqual([(0, 3, "list objects /v1/objects")], self.call(scenario))


class GoneHistoryTest(TestCase):
    def test_a_store_without_history_is_read_with_a_backoff(self):
        async def main():
            store = RestorableStore()
            store.write("k/a", LeaseRecord("", "", 1.0))

            async def watch(prefix, after_version, timeout_seconds):
                raise HistoryGoneError("gone", step="watch")

            store.watch = watch
            watcher = KindWatcher(
                store,
                "k/",
                wait_seconds=0.02,
                on_state=lambda state: None,
                on_problem=lambda problem: None,
                read_clock=lambda: 0.0,
                rng=random.Random(1),
            )
            backoffs = []

            async def note_backoff():
                backoffs.append(store.calls.total())
                await anyio.sleep(0)

            watcher._back_off = note_backoff
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await wait_until(store, lambda: len(backoffs) > 3)
                tasks.cancel_scope.cancel()
            return backoffs[:3]

        # Two listings without a delay, then a backoff before each further one.
        self.assertEqual([2, 3, 4], anyio.run(main))


class RestoredLeaseTest(TestCase):
    """At most one holder can send orders, whatever lease record the copy has."""

    def run_scenario(self, scenario):
        async def main():
            clock = SimpleNamespace(now=100.0)
            store = RestorableStore()
            leases = LeaseStore(store, "leases/steward")

            async def acquire(watcher, at_seconds, leases=leases):
                clock.now = at_seconds
                return await leases.try_acquire(watcher, lambda: clock.now)

            return await scenario(store, acquire)

        return anyio.run(main)

    def test_a_former_holder_that_reads_its_old_record_waits_for_the_holder(self):
        async def scenario(store, acquire):
            former, holder = LeaseWatcher("former", 3.0), LeaseWatcher("holder", 3.0)
            await acquire(former, 100.0)
            store.stand_in.save_copy()
            await acquire(holder, 100.5)
            self.assertTrue(await acquire(holder, 104.0))
            await acquire(former, 104.1)
            store.stand_in.restore()
            await store.list_objects("k/")
            acquired = [await acquire(former, 104.5 + step / 2) for step in range(7)]
            self.assertTrue(holder.is_held(106.9))
            return acquired

        self.assertEqual([False] * 6 + [True], self.run_scenario(scenario))

    def test_a_renewal_that_replaces_the_record_of_another_host_fails(self):
        async def scenario(store, acquire):
            former, other = LeaseWatcher("former", 3.0), LeaseWatcher("other", 3.0)
            store.write("k/a", LeaseRecord("", "", 1.0))
            store.stand_in.save_copy()
            self.assertTrue(await acquire(former, 100.0))
            store.stand_in.restore()
            # Its record gets the same revision as that of the former holder.
            others = LeaseStore(RestorableStore(store.stand_in), "leases/steward")
            self.assertTrue(await acquire(other, 101.0, others))
            self.assertFalse(await acquire(former, 101.5))
            self.assertIsNone(former.fencing_number(101.6))
            # The other holder may order until its next renewal, which detects this.
            self.assertFalse(await acquire(former, 104.4))
            self.assertFalse(await acquire(other, 102.0, others))
            return await acquire(former, 104.5)

        self.assertTrue(self.run_scenario(scenario))

    def test_a_lease_missing_in_the_copy_is_free_after_its_duration(self):
        async def scenario(store, acquire):
            store.stand_in.save_copy()
            holder, next_one = LeaseWatcher("holder", 3.0), LeaseWatcher("next", 3.0)
            self.assertTrue(await acquire(holder, 100.0))
            await acquire(next_one, 100.1)
            first = holder.fencing_number(100.2)
            store.stand_in.restore()
            await store.list_objects("k/")
            acquired = [await acquire(next_one, 101.0 + step) for step in range(4)]
            return acquired, next_one.fencing_number(104.0) > first

        self.assertEqual(
            ([False, False, False, True], True), self.run_scenario(scenario)
        )

    def test_the_holder_renews_its_lease_in_the_new_era(self):
        async def scenario(store, acquire):
            holder = LeaseWatcher("holder", 3.0)
            await acquire(holder, 100.0)
            store.stand_in.save_copy()
            await acquire(holder, 101.0)
            first = holder.fencing_number(101.1)
            store.stand_in.restore()
            # The first write finds another version, which the second write expects.
            acquired = [await acquire(holder, 102.0), await acquire(holder, 102.1)]
            return acquired, holder.fencing_number(102.2) > first

        self.assertEqual(([False, True], True), self.run_scenario(scenario))

    def test_a_restarted_host_reacquires_its_lease_at_once_but_not_from_a_copy(self):
        async def scenario(store, acquire):
            await acquire(LeaseWatcher("holder", 3.0), 100.0)
            restarted = LeaseWatcher("holder", 3.0)
            found = [await acquire(restarted, 101.0)]
            store.stand_in.save_copy()
            store.stand_in.restore()
            restarted = LeaseWatcher("holder", 3.0)
            return found + [await acquire(restarted, 102.0 + step) for step in range(4)]

        self.assertEqual([True, False, False, False, True], self.run_scenario(scenario))


def expect(kind):
    """Return a context manager that expects an exception."""
    return unittest.TestCase().assertRaises(kind)


async def wait_until(store: RestorableStore, condition, calls_count: int = 60) -> None:
    """Wait until a condition holds or ``calls_count`` more calls have been made."""
    last_count = store.calls.total() + calls_count
    with anyio.fail_after(20.0):
        while not condition() and store.calls.total() < last_count:
            await anyio.sleep(0.005)
