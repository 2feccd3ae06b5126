"""Limits in tokens: what counts, who is refused, and what the whole fleet sends."""

import random

import attrs
from measure._limit_patterns import PATTERNS, LimitPattern
from measure._limits_lab import LimitsLab, refused_wrongly_ratio, worst_window_ratio
from testtools import TestCase

from rampwick_policy import (
    AttemptFailed,
    Outcome,
    RequestArrived,
    RequestCancelled,
    SummaryDigest,
    Tick,
    TreeView,
    without,
)
from rampwick_policy._limit_book import LimitBook
from rampwick_policy._sent_window import SentWindow
from rampwick_schema import LimitUsage, Node, QuotaSettings, Summary, Tree

from .test_scheduler import Session

#: A time at which a host knows the whole window.
LATER_SECONDS = 20.0


class SentWindowTest(TestCase):
    def test_what_was_sent_counts_for_the_whole_window(self):
        window = SentWindow(8.0)
        window.add(100.0, 1.0)
        window.add(50.0, 5.0)
        self.assertEqual(150.0, window.total(9.0))
        self.assertEqual(50.0, window.total(9.3))
        self.assertEqual(0.0, window.total(20.0))

    def test_what_leaves_next_is_told(self):
        window = SentWindow(8.0)
        window.add(100.0, 1.0)
        window.add(50.0, 1.9)
        self.assertEqual(0.0, window.leaving(1.0, 7.5))
        self.assertEqual(100.0, window.leaving(1.0, 8.5))
        self.assertEqual(150.0, window.leaving(1.0, 9.2))

    def test_what_is_taken_back_leaves_at_once_and_once(self):
        window = SentWindow(8.0)
        window.add(100.0, 1.0)
        window.add(50.0, 2.0)
        window.take_back(100.0, 1.0)
        self.assertEqual(50.0, window.total(3.0))
        window.take_back(50.0, 30.0)
        self.assertEqual(50.0, window.total(9.0))


class CountingTest(TestCase):
    def session(self, **limit):
        session = Session(runners=2, slots=64)
        limit = {"tokens_per_second": 1000.0, "burst_tokens": 2000.0, **limit}
        session.nodes["/h/a"] = Node(is_workspace=True, **limit)
        session.put_tree()
        return session

    def used(self, session, at=LATER_SECONDS):
        (state,) = session.scheduler.limits.states(at)
        return state.used_tokens

    def test_tokens_count_as_callers_name_them(self):
        session = self.session()
        session.arrive(LATER_SECONDS, "r1", named_tokens=4321)
        self.assertEqual(4321.0, self.used(session))

    def test_a_request_that_names_none_counts_as_the_limit_says(self):
        session = self.session(plain_tokens=200.0)
        plain = RequestArrived(
            "r1", session.workspace("/h/a"), "portal", LATER_SECONDS + 1.0, False
        )
        session.do(LATER_SECONDS, plain)
        self.assertEqual(200.0, self.used(session))
        session = self.session(plain_tokens=200.0, counts_requests=True)
        session.arrive(LATER_SECONDS, "r1", named_tokens=4321)
        self.assertEqual(1.0, self.used(session))

    def test_what_is_over_is_refused_at_once_and_told_when_to_come_back(self):
        session = self.session()
        for number in range(2):
            session.arrive(LATER_SECONDS, f"r{number}", named_tokens=5000)
        (refused,) = session.arrive(LATER_SECONDS, "r9", named_tokens=5000)
        self.assertEqual(("over_limit", "/h/a"), (refused.reason, refused.peer))
        self.assertEqual("NOT_SENT", refused.run_state.name)
        self.assertEqual(0, len(session.scheduler.queue))
        self.assertEqual(10_000.0, self.used(session))
        # True: not before there is room, and not long after it.
        self.assertGreater(refused.retry_after_seconds, 3.0)
        self.assertLessEqual(refused.retry_after_seconds, 8.0)
        later = LATER_SECONDS + 8.3
        (sent,) = session.arrive(later, "r10", named_tokens=5000)
        self.assertEqual("r10", sent.request_id)

    def test_the_log_says_when_a_limit_begins_and_ends_to_bind(self):
        session = self.session()
        notices = session.scheduler.pool.notices

        def told(at):
            session.do(at, Tick())
            return [item.after for item in notices.take() if item.kind == "limit"]

        self.assertEqual([], told(LATER_SECONDS))
        for number in range(3):
            session.arrive(LATER_SECONDS, f"r{number}", named_tokens=5000)
        self.assertEqual(["binding"], told(LATER_SECONDS + 0.1))
        self.assertEqual([], told(LATER_SECONDS + 0.5))
        self.assertEqual(["open"], told(LATER_SECONDS + 2.0))

    def test_one_over_its_limit_pushes_nobody_behind(self):
        session = self.session()
        for number in range(50):
            session.arrive(LATER_SECONDS, f"a{number}", named_tokens=5000)
        (sent,) = session.arrive(LATER_SECONDS, "b1", path="/h/b")
        self.assertEqual("b1", sent.request_id)

    def test_what_was_refused_unrun_is_given_back(self):
        session = self.session()
        session.arrive(LATER_SECONDS, "r1", named_tokens=4000, is_repeatable=False)
        at = LATER_SECONDS
        for attempt in (1, 2, 3, 4, 5, 6, 7):
            session.do(at, AttemptFailed("r1", f"r1.{attempt}", Outcome.BUSY, ""))
            # Runners that are busy are left alone for a while.
            at += 1.1
            session.do(at, Tick())
        self.assertEqual(0, session.scheduler.open_count)
        self.assertEqual(0.0, self.used(session))

    def test_what_left_its_line_is_given_back(self):
        session = Session(runners=0)
        session.nodes["/h/a"] = Node(is_workspace=True, tokens_per_second=1000.0)
        session.put_tree()
        session.arrive(LATER_SECONDS, "r1", named_tokens=100)
        self.assertEqual(100.0, self.used(session))
        session.do(LATER_SECONDS, RequestCancelled("r1"))
        self.assertEqual(0.0, self.used(session))

    def test_a_second_run_counts_again(self):
        session = self.session()
        session.arrive(LATER_SECONDS, "r1", named_tokens=100)
        session.do(LATER_SECONDS, AttemptFailed("r1", "r1.1", Outcome.BROKEN, ""))
        self.assertEqual(200.0, self.used(session))

    def test_what_waited_counts_from_when_it_is_sent(self):
        session = Session(runners=1, slots=1)
        session.nodes["/h/a"] = Node(is_workspace=True, tokens_per_second=1000.0)
        session.put_tree()
        session.arrive(LATER_SECONDS, "r1", named_tokens=100)
        session.arrive(LATER_SECONDS, "r2", named_tokens=300)
        session.done(LATER_SECONDS + 5.0, "r1")
        self.assertEqual(300.0, self.used(session, LATER_SECONDS + 10.0))

    def test_a_lowered_limit_forgives_what_was_sent_before(self):
        session = self.session()
        session.arrive(LATER_SECONDS, "r1", named_tokens=8000)
        session.nodes["/h/a"] = Node(
            is_workspace=True, tokens_per_second=100.0, burst_tokens=100.0
        )
        session.view = None
        session.put_tree()
        at = LATER_SECONDS + 8.5
        (sent,) = session.arrive(at, "r2", named_tokens=300)
        self.assertEqual("r2", sent.request_id)

    def test_no_limit_counts_nothing(self):
        session = self.session(tokens_per_second=None, burst_tokens=None)
        session.arrive(LATER_SECONDS, "r1", named_tokens=10**9)
        self.assertEqual([], session.scheduler.limits.states(LATER_SECONDS))
        summary = session.scheduler.summary(1, 1, False, LATER_SECONDS)
        self.assertEqual([], summary.limits)


class PartTest(TestCase):
    """How much of a limit the hosts use that hear each other."""

    def part(self, *heard):
        """Return the part after so many hosts were heard, each for a second."""
        book = LimitBook(QuotaSettings(), "h")
        at_seconds = 0.0
        for count in heard:
            for _ in range(10):
                at_seconds += 0.1
                book.note_time(count, at_seconds)
        return round(book.part_ratio(at_seconds), 2)

    def test_all_that_were_heard_of_late_have_the_whole(self):
        self.assertEqual(1.0, self.part(90))
        self.assertEqual(1.0, self.part(1, 40, 90))

    def test_while_hosts_are_missing_the_others_keep_to_their_part(self):
        self.assertEqual(0.75, self.part(100, 75))
        self.assertEqual(0.75, self.part(100, 75, 75, 75))
        # Keys are honoured no longer where they can't be confirmed.
        self.assertEqual(1.0, self.part(100, *[75] * 6))

    def test_the_smaller_side_of_a_cut_keeps_to_it_for_longer(self):
        self.assertEqual(0.25, self.part(100, *[25] * 6))
        self.assertEqual(1.0, self.part(100, *[25] * 12))

    def test_one_that_hears_nobody_yet_is_not_the_whole_fleet(self):
        book = LimitBook(QuotaSettings(), "h")
        book.note_time(1, 0.1)
        self.assertEqual(1.0, book.part_ratio(0.1))
        book.note_members(90, 0.2)
        book.note_time(1, 0.3)
        self.assertEqual(0.01, round(book.part_ratio(0.3), 2))
        book.note_time(90, 0.8)
        self.assertEqual(1.0, book.part_ratio(0.8))

    def test_a_moment_without_a_word_takes_nothing_away(self):
        self.assertEqual(1.0, self.part(90, 1))
        self.assertEqual(0.01, self.part(90, 1, 1))


class HoldTest(TestCase):
    """Who waits a moment in a fleet that has just come back as a whole."""

    def hold(self, at_seconds, known_seconds=0.0, **limit):
        book = LimitBook(QuotaSettings(), "h")
        view = TreeView(Tree(1, {"/": Node(), "/w": Node(is_workspace=True, **limit)}))
        book.apply(view.workspaces, 100.0)
        summary = Summary(
            1, 1, 1, False, [], [], [], limits_known_seconds=known_seconds
        )
        book.hear("p", summary, 0.0, 100.0)
        arrival = RequestArrived(
            "r", view.workspaces["/w"], "portal", 200.0, False, named_tokens=500
        )
        first = book.hold_seconds(arrival, 100.0 + at_seconds)
        later = book.hold_seconds(arrival, 100.5 + at_seconds)
        return round(first, 2), round(later, 2)

    def test_the_first_ones_wait_for_two_hops_of_words(self):
        self.assertEqual((1.0, 0.5), self.hold(0.2, tokens_per_second=1000.0))

    def test_a_trifle_does_not_wait(self):
        self.assertEqual((0.0, 0.0), self.hold(0.2, tokens_per_second=1e6))

    def test_nobody_waits_where_somebody_has_been_counting(self):
        terms = {"known_seconds": 60.0, "tokens_per_second": 1000.0}
        self.assertEqual((0.0, 0.0), self.hold(0.2, **terms))
        self.assertEqual((0.0, 0.0), self.hold(5.0, tokens_per_second=1000.0))

    def test_nobody_waits_without_a_limit(self):
        self.assertEqual((0.0, 0.0), self.hold(0.2))


class WordsTest(TestCase):
    def summary(self, sent, asked=0, known=0.0):
        usage = [LimitUsage("/w", sent, 0, asked)]
        return Summary(
            1, 1, 1, False, [], [], [], limits=usage, limits_known_seconds=known
        )

    def test_sums_of_a_hall_hold_all_and_a_host_takes_its_own_out(self):
        one, two = self.summary(100, 10, 3.0), self.summary(50, 5, 70.0)
        total = SummaryDigest().merge([one, two], 1)
        self.assertEqual([LimitUsage("/w", 150, 0, 15)], total.limits)
        self.assertEqual(70.0, total.limits_known_seconds)
        self.assertEqual([LimitUsage("/w", 50, 0, 5)], without(total, one).limits)


class FleetTest(TestCase):
    """What the whole fleet sends under one limit; ways and figures in the design."""

    def play(self, name, seed=1):
        pattern = next(item for item in PATTERNS if item.name == name)
        asked = LimitsLab(pattern, "early-words", seed).run()
        return (
            worst_window_ratio(pattern, asked),
            refused_wrongly_ratio(pattern, asked),
        )

    def test_a_workspace_within_its_limit_is_served(self):
        # With equal parts 0.6 of what is within the limit is refused: a part of 90 is
        # smaller than most requests.
        worst, refused = self.play("below_the_limit")
        self.assertLess(worst, 1.0)
        self.assertLess(refused, 0.01)

    def test_a_hot_workspace_is_held_and_may_use_its_limit(self):
        for name in ("hot_workspace", "very_hot_workspace", "few_hosts_hot"):
            worst, refused = self.play(name)
            self.assertLess(worst, 1.0)
            self.assertLess(refused, 0.01)

    def test_a_lowered_limit_is_kept_after_one_window(self):
        worst, _ = self.play("limit_lowered")
        self.assertLess(worst, 1.0)

    def test_hosts_that_are_cut_off_keep_to_their_part(self):
        worst, _ = self.play("limits_while_a_hall_is_cut_off")
        self.assertLess(worst, 1.0)

    def test_what_hosts_sent_that_died_counts_on(self):
        worst, _ = self.play("limits_after_half_a_herds_return")
        self.assertLess(worst, 1.0)

    def test_what_comes_at_once_with_all_hosts_waits_for_what_all_are_asked(self):
        # A day of 90 hosts: 3,696,248 tokens in 8 s, 3,225,292 allowed, the herd killed
        # at 13 s with a workspace 4.7 times over. Without the wait 1.27 to 1.43 here.
        worst, refused = self.play("limits_after_a_herds_return")
        self.assertLess(worst, 1.0)
        self.assertLess(refused, 0.05)

    def test_a_surge_soon_after_a_change_stays_within_the_bound(self):
        # A day of 90 hosts: 2,107,068 tokens in 8 s, 1,924,765 allowed. A limit was
        # changed, half of the hosts could not read it, and a surge of six times came.
        # The hosts' usual words came too late for it, and what had been sent under the
        # higher limit was forgiven whole until it had left: 1.17 and 1.32 here.
        for name in ("limit_changed_then_surge", "changed_half_know_surge"):
            worst, _ = self.play(name)
            self.assertLess(worst, 1.0, name)

    def test_drawn_days_stay_within_the_bound(self):
        # Seed 4 passed it by 2 in 100 while the larger side of a cut did not keep to
        # its part: the hall cut off served on for 5 s where nobody heard it.
        for seed in (0, 1, 4, 11):
            draw = random.Random(seed)
            rate = draw.choice([100_000.0, 300_000.0])
            pattern = LimitPattern(
                "drawn",
                tokens_per_second=rate,
                burst_tokens=rate,
                slack_tokens=110_000.0,
                usual_ratio=draw.uniform(0.5, 1.0),
                hot_ratio=draw.uniform(1.0, 6.0),
                hot_until_seconds=draw.uniform(14.0, 22.0),
                cut_at_seconds=draw.uniform(10.0, 24.0),
                hosts_count=draw.choice([16, 40]),
                length_seconds=26.0,
            )
            asked = LimitsLab(pattern, "early-words", seed).run()
            self.assertLess(worst_window_ratio(pattern, asked), 1.0)

    def test_drawn_changes_and_surges_stay_within_the_bound(self):
        # With words at intervals only seeds 5 and 23 pass it by 7 and 4 in 100.
        for seed in (5, 13, 23, 25):
            draw = random.Random(seed)
            rate = draw.choice([100_000.0, 300_000.0])
            hot_until_seconds = draw.uniform(13.0, 18.0)
            second_change_at_seconds = draw.uniform(16.0, 24.0)
            second_burst_from_seconds = second_change_at_seconds + draw.uniform(
                0.0, 4.0
            )
            pattern = LimitPattern(
                "drawn",
                tokens_per_second=rate,
                burst_tokens=rate,
                slack_tokens=110_000.0,
                usual_ratio=draw.uniform(0.3, 1.0),
                hot_ratio=draw.uniform(1.0, 7.0),
                hot_until_seconds=hot_until_seconds,
                lowered_ratio=draw.uniform(0.4, 1.0),
                second_change_ratio=draw.uniform(0.4, 1.0),
                second_change_at_seconds=second_change_at_seconds,
                late_hosts_ratio=draw.choice([0.0, 0.3, 0.5]),
                late_seconds=draw.uniform(0.0, 7.0),
                second_burst_ratio=draw.uniform(1.0, 8.0),
                second_burst_from_seconds=second_burst_from_seconds,
                second_burst_until_seconds=second_burst_from_seconds + 4.0,
                burst_hosts_count=draw.choice([0, 0, 1, 4]),
                hosts_count=draw.choice([16, 40]),
                length_seconds=32.0,
            )
            asked = LimitsLab(pattern, "early-words", seed).run()
            self.assertLess(worst_window_ratio(pattern, asked), 1.0)


class EarlyWordsTest(TestCase):
    """A hot workspace keeps relays no busier than a calm one.

    What a host is asked doubles by chance all the time, and each of its early words had
    its relay tell its whole hall and the other halls: 2.7 times a second for a limit.
    """

    def test_relays_pass_on_what_their_whole_hall_sees(self):
        hot = next(item for item in PATTERNS if item.name == "hot_workspace")
        pattern = attrs.evolve(hot, hosts_count=40)
        lab = LimitsLab(pattern, "early-words", 1)
        asked = lab.run()
        passed_on_count = lab.passed_on_count / pattern.halls_count
        self.assertGreater(lab.early_count, 0)
        self.assertLess(passed_on_count, pattern.length_seconds)
        self.assertLessEqual(worst_window_ratio(pattern, asked), 1.0)
