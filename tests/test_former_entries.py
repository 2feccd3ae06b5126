"""Restored store entries that list draining or removed upstreams as live."""

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
        self.apply_list(0, 10, [entry("a"), entry("b"), entry("c")], 1.0)

    def apply_list(self, era, revision, entries, now_seconds):
        version = join_version(era, revision)
        self.table.apply_list(HostList(version, entries), now_seconds)

    def ineligible_reason(self, name, now_seconds):
        return self.table.ineligible_reason(self.table.get(name), now_seconds)

    def test_draining_upstream_stays_draining_after_a_restore(self):
        self.apply_list(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.apply_list(1, 5, [entry("a"), entry("b")], 9.0)
        self.apply_list(1, 6, [entry("a"), entry("b")], 20.0)
        self.assertEqual(IneligibleReason.LEAVING, self.ineligible_reason("a", 28.9))
        self.assertIsNone(self.ineligible_reason("b", 9.0))

    def test_upstream_still_listed_as_live_after_a_while_is_live(self):
        """Guards against a runner that stays draining after its drain was cancelled.

        The last host list before the store was restored had it as draining, and it got
        no weights and no requests from then on (soak seed 8212).
        """
        self.apply_list(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.apply_list(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertIsNone(self.ineligible_reason("a", 29.0))

    def test_upstream_removed_while_draining_stays_draining(self):
        self.apply_list(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        self.apply_list(0, 21, [entry("b")], 4.0)
        self.apply_list(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertEqual(IneligibleReason.LEAVING, self.ineligible_reason("a", 28.9))

    def test_removed_upstream_is_unconfirmed_until_its_entry_would_expire(self):
        self.apply_list(0, 20, [entry("b")], 2.0)
        self.apply_list(1, 5, [entry("a"), entry("b")], 9.0)
        self.assertEqual(
            IneligibleReason.UNCONFIRMED, self.ineligible_reason("a", 13.9)
        )
        self.assertIsNone(self.ineligible_reason("a", 14.0))

    def test_upstream_that_registers_again_is_live_at_once(self):
        self.apply_list(0, 20, [entry("b")], 2.0)
        self.apply_list(1, 5, [entry("b")], 9.0)
        self.apply_list(1, 6, [entry("a"), entry("b")], 9.5)
        self.assertIsNone(self.ineligible_reason("a", 9.5))

    def test_another_incarnation_is_live_at_once(self):
        self.apply_list(0, 20, [entry("a", "leaving"), entry("b")], 2.0)
        restarted = HostEntry("a", "service", "h", "a:1", "live", incarnation="a2")
        self.apply_list(1, 5, [restarted, entry("b")], 9.0)
        self.assertIsNone(self.ineligible_reason("a", 9.0))

    def test_entries_apply_unchanged_without_a_restore(self):
        self.apply_list(0, 20, [entry("a", "leaving")], 2.0)
        self.apply_list(0, 21, [entry("a"), entry("b")], 3.0)
        self.assertIsNone(self.ineligible_reason("a", 3.0))
        self.assertIsNone(self.ineligible_reason("b", 3.0))

    def test_upstream_removed_long_ago_is_live(self):
        self.apply_list(0, 20, [entry("b")], 2.0)
        self.apply_list(1, 5, [entry("a"), entry("b")], 500.0)
        self.assertIsNone(self.ineligible_reason("a", 500.0))

    def test_first_list_of_a_host_is_not_a_restore(self):
        table = UpstreamTable("h", RetrySettings(), PlacementSettings(), 1.0)
        table.apply_list(HostList(join_version(3, 5), [entry("a")]), 1.0)
        self.assertIsNone(table.ineligible_reason(table.get("a"), 1.0))
