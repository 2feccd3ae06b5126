"""No stream goes on at another software version, whatever happens to the hosts."""

import attrs
from measure._stream_outages import (
    MAX_WRITE_RATE,
    MEMORY,
    SCENARIOS as OUTAGES,
    SEGMENTS,
    WINDOW_SECONDS,
    OutageLab,
)
from measure._stream_steps import (
    CONFIRMED,
    CUT,
    OLD_LIST,
    ROUNDS_COUNT,
    SCENARIOS as STEPS,
    StepLab,
)
from measure.stream_versions import BROADCAST, SCENARIOS, VersionsLab
from testtools import TestCase


class StreamVersionsLabTest(TestCase):
    def check(self, name, *runs, **changes):
        scenario = attrs.evolve(SCENARIOS[name], **changes)
        for hosts_count, seed in runs:
            lab = VersionsLab(hosts_count, scenario, seed)
            lab.run()
            figures = lab.figures[BROADCAST]
            self.assertGreater(figures.same_count, 0)
            self.assertEqual(0, figures.other_count, (name, hosts_count, seed))

    def test_streams_keep_their_version_while_versions_change(self):
        for name, scenario in SCENARIOS.items():
            if scenario.has_changes:
                self.check(name, (6, 0), (20, 0), rate=0.5)

    def test_streams_keep_their_version_while_the_list_stays_the_same(self):
        self.check("quiet", (6, 0), (6, 1))

    def test_streams_keep_the_version_of_their_last_attempt(self):
        # Each request changes its upstream before the first event.
        changes = {"second_ratio": 1.0, "kills_count": 12, "cuts_count": 8}
        self.check("second attempts", (6, 4), (6, 5), **changes)


class StreamOutagesLabTest(TestCase):
    def check(self, name, hosts_count, seed, min_ratio):
        figures = {}
        for way in (MEMORY, SEGMENTS):
            lab = OutageLab(hosts_count, OUTAGES[name], seed, way)
            lab.run()
            figures[way] = lab.figures
            self.assertEqual(0, lab.figures.other_count, (name, way, seed))
        before, after = figures[MEMORY], figures[SEGMENTS]
        self.assertGreater(after.count, 0)
        self.assertEqual(before.count, after.count)
        self.assertGreater(after.repeated_count, before.repeated_count)
        usable_count = after.count - after.gone_count
        self.assertGreaterEqual(after.repeated_count, min_ratio * usable_count)
        self.assertLess(after.most_writes_count, MAX_WRITE_RATE * WINDOW_SECONDS / 4)

    def test_streams_go_on_after_all_hosts_have_ended(self):
        for seed in range(3):
            self.check("all end", 6, seed, min_ratio=0.8)
            self.check("three versions", 6, seed, min_ratio=0.8)
            self.check("one version, store away", 6, seed, min_ratio=0.95)

    def test_no_stream_goes_on_at_another_version_while_the_store_has_faults(self):
        for seed in range(3):
            self.check("store away", 6, seed, min_ratio=0.0)
            self.check("store slow", 6, seed, min_ratio=0.0)
            self.check("one version, history gone", 6, seed, min_ratio=0.0)


class HostsOutOfStepLabTest(TestCase):
    def run_labs(self, fault):
        """Return the labs of one fault."""
        labs = [StepLab(6, fault, seed) for seed in range(ROUNDS_COUNT)]
        for lab in labs:
            lab.run()
        return labs

    def sum(self, labs, way, name):
        return sum(getattr(lab.figures[way], name) for lab in labs)

    def test_no_stream_goes_on_at_another_version_at_a_host_out_of_step(self):
        for fault in STEPS:
            labs = self.run_labs(fault)
            self.assertEqual(0, self.sum(labs, CONFIRMED, "other_count"), fault)
            refused = self.sum(labs, CONFIRMED, "unknown_count")
            self.assertLess(refused, 0.3 * self.sum(labs, CONFIRMED, "count"), fault)

    def test_events_lead_to_another_version_by_the_list_alone(self):
        labs = self.run_labs(CUT)
        self.assertGreater(self.sum(labs, OLD_LIST, "other_count"), 0)
