"""Guards against slow or wrong attribution of crashes under load, in a lab."""

from measure._attribution_lab import PATTERNS, AttributionLab
from testtools import TestCase

#: Bounds of the service: runs of a deadly part once it must be known, and the share of
#: sound requests that a first try serves from then on.
MAX_LATE_RUNS = 3
MIN_SERVED_RATIO = 0.95


class LoadTest(TestCase):
    def check(self, name, *seeds):
        (pattern,) = (pattern for pattern in PATTERNS if pattern.name == name)
        for seed in seeds:
            result = AttributionLab(pattern, "one ranking", seed).run()
            late_runs = max(result.late_runs.values(), default=0)
            self.assertLessEqual(late_runs, MAX_LATE_RUNS, (name, seed))
            ratio = result.later_served_count / result.later_count
            self.assertGreaterEqual(ratio, MIN_SERVED_RATIO, (name, seed))

    def check_sound(self, name, *seeds):
        """Check that deadly requests are known in time and keep no sound ones out."""
        (pattern,) = (pattern for pattern in PATTERNS if pattern.name == name)
        for seed in seeds:
            result = AttributionLab(pattern, "one ranking", seed).run()
            self.assertEqual(0, result.refused_count, (name, seed))
            late_runs = max(result.late_runs.values(), default=0)
            self.assertLessEqual(late_runs, MAX_LATE_RUNS, (name, seed))

    def test_two_deadly_requests_keep_no_sound_ones_out(self):
        self.check_sound("6 hosts, 2 requests, troubled", 1, 2, 3)

    def test_five_deadly_requests_keep_no_sound_ones_out(self):
        self.check_sound("6 hosts, 5 requests, troubled", 1, 2, 3)

    def test_two_deadly_requests_keep_no_sound_ones_out_at_ninety_hosts(self):
        self.check_sound("90 hosts, 2 requests, troubled", 1)

    def test_part_is_known_in_time_and_sound_requests_go_on(self):
        self.check("6 hosts, 5 upstreams, 1 part", 11, 12)

    def test_first_part_is_known_in_time_and_sound_requests_go_on(self):
        self.check("6 hosts, 1 part, first", 11, 12)

    def test_part_beside_long_streams_is_known_in_time(self):
        self.check("6 hosts, 1 part, long streams, often", 11, 12)

    def test_part_beside_ordinary_crashes_is_known_in_time(self):
        self.check("6 hosts, 1 part, often ill", 11, 12)

    def test_parts_in_a_fleet_of_ninety_hosts_are_known_in_time(self):
        self.check("90 hosts, 45 upstreams, 2 parts, 1 request", 11)
