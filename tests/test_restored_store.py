"""A store that is restored from an older copy, and goes on from a lower revision.

Symptom: requests reach an upstream that announced its shutdown in the store, and are
handled by a configuration that was replaced there. Sequence: the store is away, comes
back without its last writes, and counts its revisions on from there. Cause: a higher
revision was taken for a later state. Settled by the readers' listings, ten a second,
which succeeded and changed nothing until the store had counted past what was known.
"""

import random
import unittest
from types import SimpleNamespace

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import (
    ABSENT,
    AnswerLostError,
    HistoryGoneError,
    KindWatcher,
    LeaseStore,
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
    def test_what_is_written_after_a_restore_is_read(self):
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
            store.stand_in.save_copy()
            for _ in range(5):
                version = write_lease(store, "former")
            now_seconds = 100.0
            watcher = LeaseWatcher("entry-1", 3.0)
            watcher.note_heard("former", version, now_seconds)
            store.stand_in.restore()
            leases = LeaseStore(store, "leases/steward")
            clock = SimpleNamespace(now=now_seconds)
            taken = []
            for _ in range(10):
                clock.now += 1.0
                taken.append(await leases.try_take(watcher, lambda: clock.now))
            return any(taken)

        self.assertTrue(anyio.run(main))

    def test_an_upstream_that_leaves_after_a_restore_gets_no_request(self):
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
                await settle(store, lambda: host.daemon._hosts.version > 2 * 11)
                store.stand_in.restore()
                list_upstream(store, ups["s1"], "labels", state="leaving")
                leaving = scheduler.upstreams.get("s1")
                await settle(store, lambda: leaving.entry.state == "leaving")
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
    def test_versions_compare_by_era_and_then_by_revision(self, one, other):
        self.assertEqual(one < other, join_version(*one) < join_version(*other))
        version = join_version(*one)
        self.assertEqual(one, (era_of(version), revision_of(version)))

    def test_without_eras_a_version_is_the_revision(self):
        self.assertEqual(61, join_version(0, 61))

    def test_what_does_not_fit_is_no_version(self):
        for era, revision in ((-1, 0), (0, -1), (MAX_ERA + 1, 0), (0, 1 << 40)):
            self.assertRaises(ValueError, join_version, era, revision)

    def test_only_whole_numbers_are_eras(self):
        self.assertEqual((3, 0, 12), tuple(read_era(text) for text in ("3", "0", "12")))
        for text in ("", "-1", "1.0", "nan", "1, 2", "9" * 4096, "٣", "0x1"):
            self.assertEqual(0, read_era(text))


class ErasOfAnswersTest(TestCase):
    """Calls to a store of nine objects, of which a copy holds three."""

    def call(self, scenario):
        async def main():
            store = RestorableStore()
            for number in range(9):
                if number == 3:
                    store.stand_in.save_copy()
                store.write(f"k/{number}", LeaseRecord("", "", 1.0))
            return await scenario(store)

        return anyio.run(main)

    def test_all_that_is_read_after_a_restore_is_newer(self):
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

    def test_a_watch_from_before_is_not_answered_by_what_came_later(self):
        async def scenario(store):
            await store.list_objects("k/")
            store.stand_in.restore()
            for number in range(9):
                store.write(f"k/new-{number}", LeaseRecord("", "", 1.0))
            # The store has a revision 9 again, which is another one's.
            with expect(HistoryGoneError):
                await store.watch("k/", 9, 0.01)
            calls_count = store.calls.total()
            with expect(HistoryGoneError):
                await store.watch("k/", 9, 0.01)
            return store.calls.total() - calls_count

        self.assertEqual(0, self.call(scenario))

    def test_a_write_that_expects_a_version_of_before_is_not_sent(self):
        async def scenario(store):
            version = (await store.get("k/2")).version
            store.stand_in.restore()
            await store.list_objects("k/")
            with expect(VersionConflictError):
                await store.put("k/2", b"{}", version)
            return store.stand_in.store.get("k/2").version

        self.assertEqual(3, self.call(scenario))

    def test_a_write_across_the_restore_is_no_success(self):
        async def scenario(store):
            version = (await store.get("k/2")).version
            store.stand_in.restore()
            with expect(StoreRestoredError):
                await store.put("k/2", b"{}", version)
            return await store.put("k/new", b"{}", ABSENT)

        self.assertEqual(join_version(1, 5), self.call(scenario))

    def test_an_answer_of_an_era_before_is_refused(self):
        async def scenario(store):
            store.stand_in.restore(eras_count=3)
            await store.list_objects("k/")
            for era in (2, 0):
                store.stand_in.era = era
                with expect(AnswerLostError):
                    await store.list_objects("k/")
            store.stand_in.era = 3
            return (await store.list_objects("k/")).version

        self.assertEqual(join_version(3, 3), self.call(scenario))

    def test_a_restore_is_told_once(self):
        async def scenario(store):
            eras = []
            store.note_restored = lambda *told: eras.append(told)
            await store.list_objects("k/")
            store.stand_in.restore(eras_count=3)
            await store.list_objects("k/")
            await store.list_objects("k/")
            return eras

        self.assertEqual([(0, 3, "list objects /v1/objects")], self.call(scenario))


class GoneHistoryTest(TestCase):
    def test_a_store_without_history_is_not_asked_without_pause(self):
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
                take_state=lambda state: None,
                take_problem=lambda problem: None,
                read_clock=lambda: 0.0,
                draw=random.Random(1),
            )
            pauses = []

            async def note_pause():
                pauses.append(store.calls.total())
                await anyio.sleep(0)

            watcher._pause = note_pause
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(watcher.run)
                await settle(store, lambda: len(pauses) > 3)
                tasks.cancel_scope.cancel()
            return pauses[:3]

        # Two listings at once, and a pause before each one after them.
        self.assertEqual([2, 3, 4], anyio.run(main))


class RestoredLeaseTest(TestCase):
    """Two holders never order at once, whatever record of the lease the copy has."""

    def play(self, scenario):
        async def main():
            clock = SimpleNamespace(now=100.0)
            store = RestorableStore()
            leases = LeaseStore(store, "leases/steward")

            async def take(watcher, at_seconds, leases=leases):
                clock.now = at_seconds
                return await leases.try_take(watcher, lambda: clock.now)

            return await scenario(store, take)

        return anyio.run(main)

    def test_who_finds_its_own_record_of_long_ago_waits_for_the_holder(self):
        async def scenario(store, take):
            former, holder = LeaseWatcher("former", 3.0), LeaseWatcher("holder", 3.0)
            await take(former, 100.0)
            store.stand_in.save_copy()
            await take(holder, 100.5)
            self.assertTrue(await take(holder, 104.0))
            await take(former, 104.1)
            store.stand_in.restore()
            await store.list_objects("k/")
            taken = [await take(former, 104.5 + step / 2) for step in range(7)]
            self.assertTrue(holder.is_held(106.9))
            return taken

        self.assertEqual([False] * 6 + [True], self.play(scenario))

    def test_a_renewal_that_replaces_anothers_record_holds_nothing(self):
        async def scenario(store, take):
            former, other = LeaseWatcher("former", 3.0), LeaseWatcher("other", 3.0)
            store.write("k/a", LeaseRecord("", "", 1.0))
            store.stand_in.save_copy()
            self.assertTrue(await take(former, 100.0))
            store.stand_in.restore()
            # The same revision as the former holder's record had.
            others = LeaseStore(RestorableStore(store.stand_in), "leases/steward")
            self.assertTrue(await take(other, 101.0, others))
            self.assertFalse(await take(former, 101.5))
            self.assertIsNone(former.fencing_number(101.6))
            # The other one learns of it at its next renewal, and until then orders.
            self.assertFalse(await take(former, 104.4))
            self.assertFalse(await take(other, 102.0, others))
            return await take(former, 104.5)

        self.assertTrue(self.play(scenario))

    def test_a_lease_that_the_copy_lacks_is_free_after_its_time(self):
        async def scenario(store, take):
            store.stand_in.save_copy()
            holder, next_one = LeaseWatcher("holder", 3.0), LeaseWatcher("next", 3.0)
            self.assertTrue(await take(holder, 100.0))
            await take(next_one, 100.1)
            first = holder.fencing_number(100.2)
            store.stand_in.restore()
            await store.list_objects("k/")
            taken = [await take(next_one, 101.0 + step) for step in range(4)]
            return taken, next_one.fencing_number(104.0) > first

        self.assertEqual(([False, False, False, True], True), self.play(scenario))

    def test_the_holder_goes_on_in_the_new_era(self):
        async def scenario(store, take):
            holder = LeaseWatcher("holder", 3.0)
            await take(holder, 100.0)
            store.stand_in.save_copy()
            await take(holder, 101.0)
            first = holder.fencing_number(101.1)
            store.stand_in.restore()
            # The first write finds another version, the second expects that one.
            taken = [await take(holder, 102.0), await take(holder, 102.1)]
            return taken, holder.fencing_number(102.2) > first

        self.assertEqual(([False, True], True), self.play(scenario))

    def test_after_a_restart_a_host_takes_its_own_lease_at_once_but_not_from_a_copy(
        self,
    ):
        async def scenario(store, take):
            await take(LeaseWatcher("holder", 3.0), 100.0)
            restarted = LeaseWatcher("holder", 3.0)
            found = [await take(restarted, 101.0)]
            store.stand_in.save_copy()
            store.stand_in.restore()
            restarted = LeaseWatcher("holder", 3.0)
            return found + [await take(restarted, 102.0 + step) for step in range(4)]

        self.assertEqual([True, False, False, False, True], self.play(scenario))


def expect(kind):
    """Return a context that expects an error."""
    return unittest.TestCase().assertRaises(kind)


async def settle(store: RestorableStore, condition, calls_count: int = 60) -> None:
    """Wait until a condition holds, or for so many more calls to the store."""
    last_count = store.calls.total() + calls_count
    with anyio.fail_after(20.0):
        while not condition() and store.calls.total() < last_count:
            await anyio.sleep(0.005)
