"""Following a kind in the store: versions, ages, forgotten history, lapses."""

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
)
from rampwick_policy import LapseGuard
from rampwick_schema import HostEntry, HostList, join_version


def stored(name, version, is_deleted=False):
    return StoredObject(f"k/{name}", version, b"{}", is_deleted)


class KindViewTest(TestCase):
    def test_old_news_changes_nothing(self):
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9)]))
        view.merge_changes(Listing(12, [stored("a", 8, is_deleted=True)]))
        self.assertEqual(["k/a"], list(view.objects))
        view.apply_listing(Listing(5, []))
        self.assertEqual(["k/a"], list(view.objects))

    def test_a_deletion_is_a_change_with_a_version(self):
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9)]))
        view.merge_changes(Listing(12, [stored("a", 12, is_deleted=True)]))
        self.assertEqual(({}, 12), (view.objects, view.version))

    def test_a_deletion_that_only_a_listing_shows_has_a_version_too(self):
        """Without one the list of before counted as newer, with what had gone."""
        view = KindView()
        view.apply_listing(Listing(10, [stored("a", 9), stored("b", 8)]))
        view.apply_listing(Listing(12, [stored("b", 8)]))
        self.assertEqual((["k/b"], 12), (list(view.objects), view.version))
        view.apply_listing(Listing(15, [stored("b", 8)]))
        self.assertEqual(12, view.version)

    @settings(derandomize=True, deadline=None)
    @given(st.permutations(list(range(1, 8))))
    def test_the_version_never_falls(self, order):
        view = KindView()
        versions = []
        for version in order:
            view.merge_changes(Listing(version, [stored("a", version)]))
            versions.append(view.version)
        self.assertEqual(sorted(versions), versions)
        self.assertEqual(7, view.objects["k/a"].version)


class Script:
    """An object API that gives out what a test wrote, and counts its own time."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.calls = []
        self.now = 100.0

    def clock(self):
        return self.now

    async def answer(self, call):
        self.calls.append(call)
        if not self.answers:
            await anyio.sleep_forever()
        seconds, result = self.answers.pop(0)
        self.now += seconds
        if isinstance(result, Exception):
            raise result
        return result

    async def list_objects(self, prefix, after_key=""):
        return await self.answer(("list", after_key))

    async def watch(self, prefix, after_version, timeout_seconds):
        return await self.answer(("watch", after_version))


def follow(script, states, problems, **options):
    """Run a watcher until its script is played."""

    async def main():
        watcher = KindWatcher(
            script,
            "k/",
            wait_seconds=1.5,
            on_state=states.append,
            on_problem=problems.append,
            read_clock=script.clock,
            draw=random.Random(1),
            **options,
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watcher.run)
            with anyio.fail_after(10.0):
                while script.answers:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.01)
            tasks.cancel_scope.cancel()

    anyio.run(main)


class KindWatcherTest(TestCase):
    def play(self, *answers, **options):
        self.states, self.problems = [], []
        self.script = Script(*answers)
        follow(self.script, self.states, self.problems, **options)
        return self.states

    def test_an_age_counts_from_when_the_call_was_sent(self):
        states = self.play(
            (0.7, Listing(5, [stored("a", 4)])),
            (1.0, Listing(6, [stored("b", 6)])),
        )
        self.assertEqual([100.0, 100.7], [item.confirmed_at_seconds for item in states])

    def test_a_watch_that_waited_to_its_end_confirms_the_whole_wait(self):
        states = self.play((0.0, Listing(5, [])), (1.8, Listing(5, [])))
        self.assertEqual(101.5, states[-1].confirmed_at_seconds)

    def test_a_watch_that_was_cut_early_confirms_only_its_beginning(self):
        states = self.play((0.0, Listing(5, [])), (0.4, Listing(5, [])))
        self.assertEqual(100.0, states[-1].confirmed_at_seconds)

    def test_forgotten_history_is_listed_anew_at_once(self):
        self.play(
            (0.0, Listing(5, [stored("a", 4)])),
            (0.0, HistoryGoneError("gone", step="watch")),
            (0.0, Listing(90, [stored("b", 80)])),
        )
        self.assertEqual(["k/b"], list(self.states[-1].objects))
        self.assertEqual(("list", ""), self.script.calls[2])

    def test_a_failure_is_told_and_the_next_success_knows_of_it(self):
        self.play(
            (0.0, Listing(5, [])),
            (0.0, PlatformUnavailableError("down", step="watch")),
            (0.0, Listing(6, [stored("a", 6)])),
            (0.0, Listing(7, [])),
        )
        # A listing confirms at once where another watch would wait.
        kinds = [call[0] for call in self.script.calls[:4]]
        self.assertEqual(["list", "watch", "list", "watch"], kinds)
        flags = [item.is_after_failure for item in self.states]
        self.assertEqual([False, True, False], flags)
        self.assertEqual(1, len(self.problems))

    def test_pauses_grow_while_watches_fail_though_listings_succeed(self):
        """Ten times the calls went to a store that answered listings only."""
        counts = []

        async def note(watcher):
            counts.append(watcher._failures_count)

        listing = (0.0, Listing(5, []))
        failure = (0.0, PlatformUnavailableError("down", step="watch"))
        with mock.patch.object(KindWatcher, "_back_off", note):
            self.play(*([listing, failure] * 3), listing, listing, failure)
        self.assertEqual([1, 2, 3, 1], counts)

    def test_pages_are_read_to_the_end_under_the_first_ones_version(self):
        self.play(
            (0.0, Listing(5, [stored("a", 4)], is_truncated=True)),
            (0.0, Listing(9, [stored("b", 8)])),
            (0.0, Listing(9, [])),
        )
        self.assertEqual(["k/a", "k/b"], list(self.states[0].objects))
        self.assertEqual(
            [("list", ""), ("list", "k/a"), ("watch", 5)], self.script.calls[:3]
        )

    def test_nothing_is_called_while_others_read(self):
        script = Script((0.0, Listing(5, [])))
        states = []

        async def main():
            watcher = KindWatcher(
                script,
                "k/",
                wait_seconds=1.0,
                on_state=states.append,
                on_problem=lambda problem: None,
                read_clock=script.clock,
                draw=random.Random(1),
                is_wanted=lambda: False,
            )
            with anyio.move_on_after(0.3):
                await watcher.run()

        anyio.run(main)
        self.assertEqual(([], []), (script.calls, states))


def entry(name, state="live"):
    return HostEntry(name, "runner", "h", f"{name}:1", state=state)


class LapseGuardTest(TestCase):
    def names(self, guard, now):
        return sorted(item.name for item in guard.host_list(now).hosts)

    def test_an_entry_that_vanishes_in_calm_is_gone_at_once(self):
        guard = LapseGuard()
        guard.take([entry("a"), entry("b")], 5, False, 10.0)
        guard.take([entry("a")], 6, False, 11.0)
        self.assertEqual(["a"], self.names(guard, 11.0))
        self.assertIsNone(guard.lapse_end_seconds)

    def test_entries_that_lapsed_with_the_store_are_kept_until_they_are_back(self):
        guard = LapseGuard()
        guard.take([entry("a"), entry("b"), entry("c")], 5, False, 10.0)
        guard.take([], 20, True, 15.0)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.0))
        guard.take([entry("a")], 21, False, 15.5)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.5))
        guard.take([entry("a"), entry("b")], 22, False, 16.0)
        held = guard.host_list(16.0)
        self.assertEqual(16.8, guard.lapse_end_seconds)
        # Still missing then: gone, under a version of its own.
        self.assertEqual(["a", "b"], self.names(guard, 16.8))
        self.assertGreater(guard.host_list(16.8).version, held.version)

    def test_what_others_saw_go_meanwhile_is_not_listed_anew(self):
        """A reader was turned away by the store while others read on.

        A runner left; the others' list, which this reader knew, was without it. Back
        at the store, the reader missed the runner in its own last reading, took it for
        lapsed and told all: a host sent to it 3.5 s after it had left. Found by a hunt,
        settled by the lists' versions in the logs: 117 without it, 126 with it again.
        """
        guard = LapseGuard()
        guard.take([entry("a"), entry("b")], 5, False, 10.0)
        newest = HostList(17, [entry("a"), entry("c")])
        guard.take([entry("a"), entry("c")], 9, True, 15.0, newest)
        self.assertEqual(["a", "c"], self.names(guard, 15.0))
        # What lapses now is kept as ever.
        guard.take([entry("a")], 10, False, 15.2, guard.host_list(15.2))
        self.assertEqual(["a", "c"], self.names(guard, 15.3))

    def test_entries_that_a_restored_copy_lacks_are_kept_until_they_are_back(self):
        """Their watch was told that its history is gone, which is no failure."""
        guard = LapseGuard()
        guard.take([entry("a"), entry("b"), entry("c", "leaving")], 50, False, 10.0)
        guard.take([entry("a")], join_version(1, 20), False, 15.0)
        self.assertEqual(["a", "b"], self.names(guard, 15.0))
        self.assertGreater(guard.host_list(15.0).version, 2 * 50 + 1)
        guard.take([entry("a")], join_version(1, 21), False, 15.5)
        self.assertEqual(["a", "b"], self.names(guard, 16.7))
        self.assertEqual(["a"], self.names(guard, 16.8))

    def test_the_second_restore_within_seconds_is_one_too(self):
        guard = LapseGuard()
        guard.take([entry("a"), entry("b")], 50, False, 10.0)
        guard.take([entry("a")], join_version(1, 20), False, 15.0)
        guard.take([], join_version(4, 20), False, 16.0)
        self.assertEqual(["a", "b"], self.names(guard, 17.7))

    def test_who_reads_late_keeps_what_others_keep(self):
        guard = LapseGuard()
        guard.take([entry("a"), entry("b")], 50, False, 10.0)
        others = HostList(join_version(1, 2 * 20), [entry("a"), entry("b"), entry("c")])
        guard.take([entry("a")], join_version(1, 21), False, 15.0, others)
        self.assertEqual(["a", "b", "c"], self.names(guard, 15.0))

    def test_a_host_that_starts_after_a_restore_holds_nothing(self):
        guard = LapseGuard()
        guard.take([entry("a")], join_version(2, 20), False, 15.0)
        self.assertIsNone(guard.lapse_end_seconds)

    def test_what_was_leaving_is_not_kept(self):
        guard = LapseGuard()
        guard.take([entry("a", "leaving"), entry("b")], 5, False, 10.0)
        guard.take([], 20, True, 15.0)
        self.assertEqual(["b"], self.names(guard, 15.0))
