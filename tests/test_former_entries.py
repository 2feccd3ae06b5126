"""A restored store lists upstreams as live that were leaving, or had gone."""

from testtools import TestCase

from rampwick_policy import IneligibleReason
from rampwick_policy._upstreams import UpstreamTable
from rampwick_schema import (
    HostEntry,
    HostList,
    PlacementSettings,
    RetrySettings,
    join_version,
)


def entry(name, state="live"):
    return HostEntry(name, "service", "h", f"{name}:1", state, incarnation=name)


class RestoredListTest(TestCase):
    def setUp(self):
        super().setUp()
        self.table = UpstreamTable("h", RetrySettings(), PlacementSettings(), 1.0)
        self.take(0, 10, [entry("a"), entry("b"), entry("c")], 1.0)

    def take(self, era, revision, entries, now_seconds):
        version = join_version(era, revision)
        self.table.apply_list(HostList(version, entries), now_seconds)

    def ineligible_reason(self, name, now_seconds):
        return self.table.ineligible_reason(self.table.get(name), now_seconds)

    def test_one_that_was_leaving_stays_so(self):
        self.take(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.take(1, 5, [entry("a"), entry("b")], 9.0)
        self.take(1, 6, [entry("a"), entry("b")], 20.0)
        self.assertEqual(IneligibleReason.LEAVING, self.ineligible_reason("a", 28.9))
        self.assertIsNone(self.ineligible_reason("b", 9.0))

    def test_one_that_goes_on_being_listed_as_live_is_live(self):
        """A runner that had been taken back got no weights and no requests for good.

        Soak seed 8212: its list of hosts said so right as the store was restored.
        """
        self.take(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.take(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertIsNone(self.ineligible_reason("a", 29.0))

    def test_one_that_went_after_it_was_leaving_stays_so(self):
        self.take(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.take(0, 21, [entry("b")], 4.0)
        self.take(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertEqual(IneligibleReason.LEAVING, self.ineligible_reason("a", 28.9))

    def test_one_that_had_gone_gets_nothing_until_its_entry_would_lapse(self):
        self.take(0, 20, [entry("b")], 2.0)
        self.take(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertEqual(
            IneligibleReason.UNCONFIRMED, self.ineligible_reason("a", 13.9)
        )
        self.assertIsNone(self.ineligible_reason("a", 14.0))

    def test_one_that_registers_again_is_live_at_once(self):
        self.take(0, 20, [entry("b")], 2.0)
        self.take(1, 5, [entry("b")], 9.0)
        self.take(1, 6, [entry("a"), entry("b")], 9.5)
        self.assertIsNone(self.ineligible_reason("a", 9.5))

    def test_another_incarnation_is_live_at_once(self):
        self.take(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        again = HostEntry("a", "service", "h", "a:1", "live", incarnation="a2")
        self.take(1, 5, [again, entry("b")], 9.0)
        self.assertIsNone(self.ineligible_reason("a", 9.0))

    def test_without_a_restore_an_entry_says_what_it_says(self):
        self.take(0, 20, [entry("a", "leaving")], 2.0)
        self.take(0, 21, [entry("a"), entry("b")], 3.0)
        self.assertIsNone(self.ineligible_reason("a", 3.0))
        self.assertIsNone(self.ineligible_reason("b", 3.0))

    def test_what_went_long_ago_is_in_no_copy(self):
        self.take(0, 20, [entry("b")], 2.0)
        self.take(1, 5, [entry("a"), entry("b")], 500.0)
        self.assertIsNone(self.ineligible_reason("a", 500.0))

    def test_the_first_list_of_a_host_is_no_restore(self):
        table = UpstreamTable("h", RetrySettings(), PlacementSettings(), 1.0)
        table.apply_list(HostList(join_version(3, 5), [entry("a")]), 1.0)
        self.assertIsNone(table.ineligible_reason(table.get("a"), 1.0))
