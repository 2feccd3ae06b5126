"""Watching a kind in the store: versions, ages, missing history, expired entries."""

import random
from unittest import mock

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import (
    HistoryGoneError,
    KindView,
    KindWatcher,
    Listing,
    PlatformUnavailableError,
    StoredObject,
    _kind_watcher,
)
from rampwick_platform._http import WATCH_GRACE_SECONDS
from rampwick_policy import ExpiredEntryGuard
from rampwick_router.control._host_sources import (
    UPSTREAMS_WAIT_SECONDS,
    WATCH_PAUSE_SECONDS,
)
from rampwick_schema import HostEntry, HostList, join_version

from .scripted import RestorableStore


def stored(name, version, is_deleted=False):
    return StoredObject(f"k/{name}", version, b"{}", is_deleted)


class KindViewTest(TestCase):
    def test_outdated_changes_and_listings_are_ignored(self):
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9)]))
        view.merge_changes(Listing(12, [stored("a", 8, is_deleted=True)]))
        self.assertEqual(["k/a"], list(view.objects))
        view.apply_listing(Listing(5, []))
        self.assertEqual(["k/a"], list(view.objects))

    def test_state_of_an_older_revision_does_not_replace_a_newer_one(self):
        """An upstream that said that it leaves does not seem to be ready again."""
        view = KindView()
        view.apply_listing(Listing(20, [StoredObject("k/a", 20, b"draining")]))
        view.merge_changes(Listing(21, [StoredObject("k/a", 15, b"ready")]))
        self.assertEqual(b"draining", view.objects["k/a"].value)
        self.assertFalse(
            view.apply_listing(Listing(18, [StoredObject("k/a", 15, b"ready")]))
        )
        self.assertEqual(b"draining", view.objects["k/a"].value)

    def test_a_late_response_brings_no_removed_object_back(self):
        view = KindView()
        view.apply_listing(Listing(4, []))
        # A watch after version 4 is answered at 5, and a listing at 6 arrives first.
        view.apply_listing(Listing(6, []))
        view.merge_changes(Listing(5, [stored("a", 5)]))
        self.assertEqual(({}, 6), (view.objects, view.store_version))

    def test_a_deletion_increases_the_version(self):
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9)]))
        view.merge_changes(Listing(12, [stored("a", 12, is_deleted=True)]))
        self.assertEqual(({}, 12), (view.objects, view.version))

    def test_a_deletion_detected_by_a_listing_increases_the_version(self):
        """Otherwise the previous list, with the deleted objects, counted as newer."""
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9), stored("b", 8)]))
        view.apply_listing(Listing(12, [stored("b", 8)]))
        self.assertEqual((["k/b"], 12), (list(view.objects), view.version))
        view.apply_listing(Listing(15, [stored("b", 8)]))
        self.assertEqual(12, view.version)

    @settings(derandomize=True, deadline=None)
    @given(st.permutations(list(range(1, 8))))
    def test_the_version_never_decreases(self, order):
        view = KindView()
        versions = []
        for version in order:
            view.merge_changes(Listing(version, [stored("a", version)]))
            versions.append(view.version)
        self.assertEqual(sorted(versions), versions)
        self.assertEqual(7, view.objects["k/a"].version)


class ScriptedApi:
    """An object API with scripted responses and a scripted clock."""

    def __init__(self, *responses):
        self.responses = list(responses)
        self.calls = []
        self.now = 100.0

    def clock(self):
        return self.now

    async def respond(self, call):
        self.calls.append(call)
        if not self.responses:
            await anyio.sleep_forever()
        seconds, result = self.responses.pop(0)
        self.now += seconds
        if isinstance(result, Exception):
            raise result
        return result

    async def list_objects(self, prefix, after_key=""):
        return await self.respond(("list", after_key))

    async def watch(self, prefix, after_version, timeout_seconds):
        return await self.respond(("watch", after_version))


def follow(script, states, problems, **options):
    """Run a watcher until the script has no more responses."""

    async def main():
        watcher = KindWatcher(
            script,
            "k/",
            wait_seconds=1.5,
            on_state=states.append,
            on_problem=problems.append,
            read_clock=script.clock,
            rng=random.Random(1),
            **options,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10.0):
                while script.responses:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class DeadConnectionApi(ScriptedApi):
    """A store that answers the first watch, and no other on its connection."""

    async def watch(self, prefix, after_version, timeout_seconds):
        if len(self.calls) > 1:
            self.calls.append(("watch", after_version))
            self.now += timeout_seconds + WATCH_GRACE_SECONDS
            raise PlatformUnavailableError("no response", step="watch")
        return await super().watch(prefix, after_version, timeout_seconds)

    async def sleep(self, seconds):
        """Let the scripted time pass."""
        self.now += seconds
        await anyio.lowlevel.checkpoint()


class DeadConnectionTest(TestCase):
    def test_a_change_behind_a_dead_connection_is_read_within_two_seconds(self):
        answer = (0.01, Listing(6, []))
        script = DeadConnectionApi((0.0, Listing(5, [])), answer, answer)
        states, at_seconds = [], []

        def note(state):
            states.append(state)
            at_seconds.append(script.now)

        async def main():
            watcher = KindWatcher(
                script,
                "k/",
                wait_seconds=UPSTREAMS_WAIT_SECONDS,
                pause_seconds=WATCH_PAUSE_SECONDS,
                on_state=note,
                on_problem=lambda _: None,
                read_clock=script.clock,
                rng=mock.Mock(uniform=lambda _, maximum: maximum),
            )
            sleep = mock.patch.object(_kind_watcher.anyio, "sleep", script.sleep)
            with sleep, anyio.fail_after(10.0):
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(watcher.run)
                    while len(states) < 3:
                        await anyio.lowlevel.checkpoint()
                    tasks.cancel_scope.cancel()

        anyio.run(main)
        # The change came just after the answer to the first watch.
        self.assertLess(at_seconds[2] - at_seconds[1], 2.0)


class KindWatcherTest(TestCase):
    def run_script(self, *responses, **options):
        self.states, self.problems = [], []
        self.script = ScriptedApi(*responses)
        follow(self.script, self.states, self.problems, **options)
        return self.states

    def test_the_confirmation_time_is_when_the_call_was_sent(self):
        states = self.run_script(
            (0.7, Listing(5, [stored("a", 4)])),
            (1.0, Listing(6, [stored("b", 6)])),
        )
        self.assertEqual([100.0, 100.7], [item.confirmed_at_seconds for item in states])

    def test_a_watch_without_changes_confirms_the_whole_wait(self):
        states = self.run_script((0.0, Listing(5, [])), (1.8, Listing(5, [])))
        self.assertEqual(101.5, states[-1].confirmed_at_seconds)

    def test_a_watch_that_returns_early_confirms_only_its_start(self):
        states = self.run_script((0.0, Listing(5, [])), (0.4, Listing(5, [])))
        self.assertEqual(100.0, states[-1].confirmed_at_seconds)

    def test_a_watch_without_history_is_followed_by_a_listing_at_once(self):
        self.run_script(
            (0.0, Listing(5, [stored("a", 4)])),
            (0.0, HistoryGoneError("gone", step="watch")),
            (0.0, Listing(90, [stored("b", 80)])),
        )
        self.assertEqual(["k/b"], list(self.states[-1].objects))
        self.assertEqual(("list", ""), self.script.calls[2])

    def test_a_failure_is_reported_and_flagged_in_the_next_state(self):
        self.run_script(
            (0.0, Listing(5, [])),
            (0.0, PlatformUnavailableError("down", step="watch")),
            (0.0, Listing(6, [stored("a", 6)])),
            (0.0, Listing(7, [])),
        )
        # A listing confirms the state at once; a watch would wait first.
        kinds = [call[0] for call in self.script.calls[:4]]
        self.assertEqual(["list", "watch", "list", "watch"], kinds)
        flags = [item.is_after_failure for item in self.states]
        self.assertEqual([False, True, False], flags)
        self.assertEqual(1, len(self.problems))

    def test_the_backoff_grows_while_watches_fail_and_listings_succeed(self):
        """A store that responded only to listings got ten times as many calls."""
        counts = []

        async def note(watcher):
            counts.append(watcher._failures_count)

        listing = (0.0, Listing(5, []))
        failure = (0.0, PlatformUnavailableError("down", step="watch"))
        with mock.patch.object(KindWatcher, "_back_off", note):
            self.run_script(*([listing, failure] * 3), listing, listing, failure)
        self.assertEqual([1, 2, 3, 1], counts)

    def test_all_pages_are_read_and_have_the_version_of_the_first(self):
        self.run_script(
            (0.0, Listing(5, [stored("a", 4)], is_truncated=True)),
            (0.0, Listing(9, [stored("b", 8)])),
            (0.0, Listing(9, [])),
        )
        self.assertEqual(["k/a", "k/b"], list(self.states[0].objects))
        self.assertEqual(
            [("list", ""), ("list", "k/a"), ("watch", 5)], self.script.calls[:3]
        )

    def test_no_calls_are_made_while_other_hosts_read(self):
        script = ScriptedApi((0.0, Listing(5, [])))
        states = []

        async def main():
            watcher = KindWatcher(
                script,
                "k/",
                wait_seconds=1.0,
                on_state=states.append,
                on_problem=lambda problem: None,
                read_clock=script.clock,
                rng=random.Random(1),
                must_read=lambda: False,
            )
            with anyio.move_on_after(0.3):
                await watcher.run()

        anyio.run(main)
        self.assertEqual(([], []), (script.calls, states))


def entry(name, state="live"):
    return HostEntry(name, "runner", "h", f"{name}:1", state=state)


class StandInWatchTest(TestCase):
    """A watch of the stand-in for the platform never hides a write."""

    def test_write_after_the_last_check_is_in_the_response_with_its_version(self):
        store = RestorableStore()
        find_written = store.stand_in.store.written_after

        def write_after_first(prefix, version):
            found = find_written(prefix, version)
            if not store.stand_in.store.version:
                store.stand_in.store.put("upstreams/a", b"{}", 0)
            return found

        async def main():
            with mock.patch.object(
                type(store.stand_in.store),
                "written_after",
                lambda _, prefix, version: write_after_first(prefix, version),
            ):
                return await store.watch("upstreams/", 0, 0.0)

        listing = anyio.run(main)
        keys = [item.key for item in listing.objects]
        self.assertEqual((1, ["upstreams/a"]), (listing.version, keys))


class ExpiredEntryGuardTest(TestCase):
    def names(self, guard, now):
        return sorted(item.name for item in guard.host_list(now).hosts)

    def test_an_entry_removed_during_normal_operation_is_removed_at_once(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b")], 5, False, 10.0)
        guard.apply([entry("a")], 6, False, 11.0)
        self.assertEqual(["a"], self.names(guard, 11.0))
        self.assertIsNone(guard.grace_end_seconds)

    def test_entries_that_expired_during_an_outage_are_retained_until_they_return(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b"), entry("c")], 5, False, 10.0)
        guard.apply([], 20, True, 15.0)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.0))
        guard.apply([entry("a")], 21, False, 15.5)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.5))
        guard.apply([entry("a"), entry("b")], 22, False, 16.0)
        held = guard.host_list(16.0)
        self.assertEqual(16.8, guard.grace_end_seconds)
        # Still missing at the end: removed, and the list gets a new version.
        self.assertEqual(["a", "b"], self.names(guard, 16.8))
        self.assertGreater(guard.host_list(16.8).version, held.version)

    def test_an_entry_that_other_readers_removed_is_not_restored(self):
        """Guards against a removed runner that reappears in the host list.

        The store rejects the calls of one reader while other readers continue. A runner
        leaves, and the list of the others, which this reader has received, is without
        it. After the outage the reader compares the store only with its own last
        listing, treats the runner as expired and publishes it again: a host sent a
        request to it 3.5 s after it had left. The logs showed version 117 of the list
        without the runner and version 126 with it.
        """
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b")], 5, False, 10.0)
        newest = HostList(17, [entry("a"), entry("c")])
        guard.apply([entry("a"), entry("c")], 9, True, 15.0, newest)
        self.assertEqual(["a", "c"], self.names(guard, 15.0))
        # Entries that expire from now on are retained as usual.
        guard.apply([entry("a")], 10, False, 15.2, guard.host_list(15.2))
        self.assertEqual(["a", "c"], self.names(guard, 15.3))

    def test_an_entry_that_can_no_longer_be_read_is_not_retained(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b"), entry("c")], 5, False, 10.0)
        guard.apply([entry("a")], 9, True, 15.0, unread={"b"})
        self.assertEqual(["a", "c"], self.names(guard, 15.0))

    def test_entries_missing_in_a_restored_copy_are_retained_until_they_return(self):
        """The watch fails with missing history, which does not count as an outage."""
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b"), entry("c", "leaving")], 50, False, 10.0)
        guard.apply([entry("a")], join_version(1, 20), False, 15.0)
        self.assertEqual(["a", "b"], self.names(guard, 15.0))
        self.assertGreater(guard.host_list(15.0).version, 2 * 50 + 1)
        guard.apply([entry("a")], join_version(1, 21), False, 15.5)
        self.assertEqual(["a", "b"], self.names(guard, 16.7))
        self.assertEqual(["a"], self.names(guard, 16.8))

    def test_a_second_restore_within_seconds_is_detected(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b")], 50, False, 10.0)
        guard.apply([entry("a")], join_version(1, 20), False, 15.0)
        guard.apply([], join_version(4, 20), False, 16.0)
        self.assertEqual(["a", "b"], self.names(guard, 17.7))

    def test_a_late_reader_retains_the_entries_that_others_retain(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a"), entry("b")], 50, False, 10.0)
        others = HostList(join_version(1, 2 * 20), [entry("a"), entry("b"), entry("c")])
        guard.apply([entry("a")], join_version(1, 21), False, 15.0, others)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.0))

    def test_a_host_that_starts_after_a_restore_retains_no_entries(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a")], join_version(2, 20), False, 15.0)
        self.assertIsNone(guard.grace_end_seconds)

    def test_entries_that_were_leaving_are_not_retained(self):
        guard = ExpiredEntryGuard()
        guard.apply([entry("a", "leaving"), entry("b")], 5, False, 10.0)
        guard.apply([], 20, True, 15.0)
        self.assertEqual(["b"], self.names(guard, 15.0))
