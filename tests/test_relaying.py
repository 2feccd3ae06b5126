"""Receiving fleet summaries through the relay of a hall."""

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


def fleet_summary(total, own_sequence=1, names=("own", "peer"), leaving=()):
    beats = [Beat(name, 7, own_sequence, name in leaving) for name in names]
    return FleetSummary(1, total, beats, ["h", "k"], 0.5, 0.25, [])


@st.composite
def summaries(draw):
    """Generate the summary of a host, with at most one row per key."""
    used = draw(st.dictionaries(NAMES, COUNTS))
    loads = draw(st.dictionaries(NAMES, st.tuples(COUNTS, COUNTS)))
    waits = draw(st.dictionaries(st.tuples(NAMES, NAMES), COUNTS))
    return summary(
        workspaces=[WorkspaceUsage(*item) for item in used.items()],
        upstreams=[UpstreamUsage(name, "one/1", *load) for name, load in loads.items()],
        waiting=[WaitingCount(*key, count) for key, count in waits.items()],
    )


def nonzero_rows(report):
    """Return the rows of a summary, without rows of zeros."""
    rows = [
        *((item.workspace, item.used_tokens) for item in report.workspaces),
        *(
            (item.upstream, item.running_count, item.waiting_tokens)
            for item in report.upstreams
        ),
        *(
            (item.workspace, item.service, item.requests_count)
            for item in report.waiting
        ),
    ]
    return {row for row in rows if any(isinstance(part, int) and part for part in row)}


class SubtractSummaryTest(TestCase):
    @given(summaries(), summaries())
    def test_a_sum_minus_one_summary_is_the_sum_of_the_others(self, own, others):
        total = SummaryAggregator().merge([own, others], 9)
        rest = subtract_summary(total, own)
        self.assertEqual(
            nonzero_rows(SummaryAggregator().merge([others], 9)), nonzero_rows(rest)
        )
        self.assertEqual(1, rest.hosts_count)


class ListenerTest(TestCase):
    def setUp(self):
        super().setUp()
        self.listener = RelayListener(OWN)

    def receive(self, relay, message, at):
        return self.listener.receive(relay, message, RELAYS, at)

    def test_own_load_is_not_counted_as_load_of_peers(self):
        self.listener.note_published(summary(1, running=3), 10.0)
        report = self.receive("first", fleet_summary(summary(5, running=8)), 10.2)
        self.assertEqual(5, report.summary.upstreams[0].running_count)

    def test_the_subtracted_summary_is_the_one_that_the_relay_received(self):
        self.listener.note_published(summary(1, running=3), 10.0)
        self.listener.note_published(summary(2, running=7), 10.2)
        report = self.receive(
            "first", fleet_summary(summary(5, running=8), own_sequence=1), 10.3
        )
        self.assertEqual(5, report.summary.upstreams[0].running_count)

    def test_ages_are_relative_to_the_sending_of_that_summary(self):
        self.listener.note_published(summary(1), 10.0)
        self.listener.note_published(summary(2), 10.2)
        message = fleet_summary(summary(5), own_sequence=1)
        self.assertEqual(10.0, self.receive("first", message, 10.3).own_sent_at_seconds)

    def test_without_an_own_summary_in_the_sum_ages_are_ignored(self):
        message = fleet_summary(summary(5), names=("peer",))
        self.assertIsNone(self.receive("first", message, 10.3).own_sent_at_seconds)
        other_incarnation = attrs.evolve(OWN, incarnation=6)
        listener = RelayListener(other_incarnation)
        listener.note_published(summary(1), 10.0)
        report = listener.receive("first", fleet_summary(summary(5)), RELAYS, 10.3)
        self.assertIsNone(report.own_sent_at_seconds)

    def test_only_one_of_two_relays_is_active(self):
        self.assertIsNotNone(self.receive("first", fleet_summary(summary(1)), 10.0))
        self.assertIsNone(self.receive("second", fleet_summary(summary(1)), 10.1))
        # The second relay becomes active once the first is unresponsive.
        self.assertIsNotNone(self.receive("second", fleet_summary(summary(2)), 11.2))
        # The first relay is active again with its next message.
        self.assertIsNotNone(self.receive("first", fleet_summary(summary(9)), 11.3))

    def test_accepted_summaries_have_increasing_sequences(self):
        one = self.receive("first", fleet_summary(summary(9)), 10.0)
        two = self.receive("second", fleet_summary(summary(1)), 11.2)
        self.assertGreater(two.summary.sequence, one.summary.sequence)

    def test_listed_hosts_count_as_alive_for_a_while(self):
        self.receive("first", fleet_summary(summary(1), leaving=("peer",)), 10.0)
        live_peers = self.listener.live_peers(11.0)
        self.assertEqual({"peer"}, live_peers.alive)
        self.assertEqual(frozenset(), live_peers.not_draining)
        self.assertEqual({"h", "k"}, live_peers.halls)
        self.assertEqual(frozenset(), self.listener.live_peers(13.5).alive)

    def test_a_relay_without_messages_is_unresponsive_after_a_second(self):
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 10.0))
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 10.9))
        self.assertTrue(self.listener.is_relay_unresponsive(RELAYS, 11.1))
        self.listener.note_message("first", 11.1)
        self.assertFalse(self.listener.is_relay_unresponsive(RELAYS, 11.2))

    def test_a_relay_behind_a_silent_link_is_skipped_later(self):
        """No other relay reports to a host that has skipped a sound one."""

        def check(at, is_doubtful):
            return self.listener.is_relay_unresponsive(
                RELAYS, at, lambda name: is_doubtful and name == "first"
            )

        self.assertFalse(check(10.0, is_doubtful=True))
        self.assertFalse(check(11.7, is_doubtful=True))
        self.assertTrue(check(11.7, is_doubtful=False))
        self.assertTrue(check(11.8, is_doubtful=True))

    def test_the_next_relay_has_its_own_timeout(self):
        self.listener.is_relay_unresponsive(RELAYS, 10.0)
        self.assertTrue(self.listener.is_relay_unresponsive(RELAYS, 11.5))
        self.assertFalse(self.listener.is_relay_unresponsive([SECOND], 11.5))
        self.assertTrue(self.listener.is_relay_unresponsive([SECOND], 12.6))

    def test_a_relay_does_not_monitor_itself(self):
        self.assertFalse(self.listener.is_relay_unresponsive([OWN, FIRST], 10.0))
        self.assertFalse(self.listener.is_relay_unresponsive([OWN, FIRST], 99.0))
