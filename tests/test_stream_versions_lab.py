"""No stream goes on at another software version, whatever happens to the hosts."""

import attrs
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
