"""Hearing a large fleet through a hall's relay."""

import attrs
from hypothesis import given, strategies as st
from testtools import TestCase

from rampwick_policy import Member, RelayListener, SummaryAggregator, subtract_summary
from rampwick_schema import (
    Beat,
    FleetSummary,
    Summary,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
)

OWN = Member("own", "h", "own:1", 7)
FIRST = Member("first", "h", "first:1", 1)
SECOND = Member("second", "h", "second:1", 1)
RELAYS = [FIRST, SECOND]

COUNTS = st.integers(0, 50)
NAMES = st.sampled_from(["a", "b", "c"])


def summary(sequence=1, running=0, **fields):
    upstreams = [UpstreamUsage("r", "one/1", running, 10 * running)] if running else []
    plain = {"workspaces": [], "upstreams": upstreams, "placed": []}
    return Summary(sequence, 3, 4, False, **{**plain, **fields})


def told(total, own_sequence=1, names=("own", "mate"), leaving=()):
    beats = [Beat(name, 7, own_sequence, name in leaving) for name in names]
    return FleetSummary(1, total, beats, ["h", "k"], 0.5, 0.25, [])


@st.composite
def words(draw):
    """Return the summary of some host, with a row for each thing at most."""
    used = draw(st.dictionaries(NAMES, COUNTS))
    loads = draw(st.dictionaries(NAMES, st.tuples(COUNTS, COUNTS)))
    waits = draw(st.dictionaries(st.tuples(NAMES, NAMES), COUNTS))
    return summary(
        workspaces=[WorkspaceUsage(*item) for item in used.items()],
        upstreams=[UpstreamUsage(name, "one/1", *load) for name, load in loads.items()],
        waiting=[WaitingCount(*key, count) for key, count in waits.items()],
    )


def facts(word):
    """Return what a summary says, without rows that say nothing."""
    rows = [
        *((item.workspace, item.used_tokens) for item in word.workspaces),
        *(
            (item.upstream, item.running_count, item.waiting_tokens)
            for item in word.upstreams
        ),
        *((item.workspace, item.service, item.requests_count) for item in word.waiting),
    ]
    return {row for row in rows if any(isinstance(part, int) and part for part in row)}


class WithoutTest(TestCase):
    @given(words(), words())
    def test_a_sum_without_a_part_is_what_the_others_say(self, own, others):
        total = SummaryAggregator().merge([own, others], 9)
        rest = subtract_summary(total, own)
        self.assertEqual(facts(SummaryAggregator().merge([others], 9)), facts(rest))
        self.assertEqual(1, rest.hosts_count)


class ListenerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.listener = RelayListener(OWN)

    def take(self, relay, news, at):
        return self.listener.take(relay, news, RELAYS, at)

    def test_own_work_is_not_heard_as_the_others(self):
        self.listener.note_published(summary(1, running=3), 10.0)
        word = self.take("first", told(summary(5, running=8)), 10.2)
        self.assertEqual(5, word.summary.upstreams[0].running_count)

    def test_the_word_that_the_relay_had_heard_is_taken_out_not_a_newer_one(self):
        self.listener.note_published(summary(1, running=3), 10.0)
        self.listener.note_published(summary(2, running=7), 10.2)
        word = self.take("first", told(summary(5, running=8), own_sequence=1), 10.3)
        self.assertEqual(5, word.summary.upstreams[0].running_count)

    def test_ages_count_from_when_that_word_was_sent(self):
        self.listener.note_published(summary(1), 10.0)
        self.listener.note_published(summary(2), 10.2)
        news = told(summary(5), own_sequence=1)
        self.assertEqual(10.0, self.take("first", news, 10.3).own_sent_at_seconds)

    def test_without_a_word_of_its_own_a_host_takes_no_ages(self):
        news = told(summary(5), names=("mate",))
        self.assertIsNone(self.take("first", news, 10.3).own_sent_at_seconds)
        other_life = attrs.evolve(OWN, incarnation=6)
        listener = RelayListener(other_life)
        listener.note_published(summary(1), 10.0)
        word = listener.take("first", told(summary(5)), RELAYS, 10.3)
        self.assertIsNone(word.own_sent_at_seconds)

    def test_of_two_that_speak_one_is_listened_to(self):
        self.assertIsNotNone(self.take("first", told(summary(1)), 10.0))
        self.assertIsNone(self.take("second", told(summary(1)), 10.1))
        # Once the first is silent, the second is.
        self.assertIsNotNone(self.take("second", told(summary(2)), 11.2))
        # The first one comes first again as soon as it speaks.
        self.assertIsNotNone(self.take("first", told(summary(9)), 11.3))

    def test_each_word_that_is_taken_is_newer_than_the_last(self):
        one = self.take("first", told(summary(9)), 10.0)
        two = self.take("second", told(summary(1)), 11.2)
        self.assertGreater(two.summary.sequence, one.summary.sequence)

    def test_hosts_that_were_named_count_for_a_while(self):
        self.take("first", told(summary(1), leaving=("mate",)), 10.0)
        near = self.listener.live_peers(11.0)
        self.assertEqual({"mate"}, near.alive)
        self.assertEqual(frozenset(), near.not_draining)
        self.assertEqual({"h", "k"}, near.halls)
        self.assertEqual(frozenset(), self.listener.live_peers(13.5).alive)

    def test_a_relay_that_should_speak_is_silent_after_a_second(self):
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 10.0))
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 10.9))
        self.assertTrue(self.listener.is_relay_unresponsive(RELAYS, 11.1))
        self.listener.note_message("first", 11.1)
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 11.2))

    def test_the_next_relay_has_its_own_time_to_speak(self):
        self.listener.is_relay_unresponsive(RELAYS, 10.0)
        self.assertTrue(self.listener.is_relay_unresponsive(RELAYS, 11.5))
        self.assertFalse(self.listener.is_relay_unresponsive([SECOND], 11.5))
        self.assertTrue(self.listener.is_relay_unresponsive([SECOND], 12.6))

    def test_a_relay_does_not_wait_for_itself(self):
        self.assertFalse(self.listener.is_relay_unresponsive([OWN, FIRST], 10.0))
        self.assertFalse(self.listener.is_relay_unresponsive([OWN, FIRST], 99.0))
