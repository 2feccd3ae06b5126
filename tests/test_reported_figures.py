"""Guards against figures of one runner or peer that mislead all decisions."""

import attrs
from testtools import TestCase

from rampwick_policy import LoadReported
from rampwick_policy._membership import Membership
from rampwick_policy._reported_figures import (
    MAX_HOSTS_COUNT,
    MAX_REPORTED_REQUESTS,
    MAX_REPORTED_TOKENS,
    MAX_SLOTS_COUNT,
    MAX_TOKENS_PER_SECOND,
)
from rampwick_schema import LoadReport, Summary, UpstreamUsage

from .test_scheduler import Session

REPORT = LoadReport("one", "m", 1, 2, 1, 0, 8000.0, 60_000)


class ReportTest(TestCase):
    def test_figures_of_a_runner_that_cannot_be_true_are_ignored(self):
        for wrong in (
            {"slots_count": MAX_SLOTS_COUNT + 1},
            {"running_count": MAX_REPORTED_REQUESTS + 1},
            {"prefill_tokens_per_second": 2.0 * MAX_TOKENS_PER_SECOND},
        ):
            session = Session(runners=1)
            session.do(1.0, LoadReported("lektor-1", REPORT))
            report = attrs.evolve(REPORT, weights_version=2, **wrong)
            session.do(2.0, LoadReported("lektor-1", report))
            upstream = session.scheduler.upstreams.get("lektor-1")
            self.assertEqual(
                (2, 1, 8000.0),
                (
                    upstream.slots_count,
                    upstream.reported_running_count,
                    upstream.reported_tokens_per_second,
                ),
            )
            # The rest of the report counts.
            self.assertEqual(2, upstream.cache_generation.weights_version)


class SummaryTest(TestCase):
    def receive(self, **fields):
        peers = Membership(dead_after_seconds=2.0)
        summary = Summary(1, 1, 1, False, [], fields.pop("upstreams", []), [], **fields)
        peers.receive_summary("e1", "h", 1, summary, 0.0)
        return peers

    def test_a_peer_cannot_make_the_fleet_huge(self):
        peers = self.receive(hosts_count=MAX_HOSTS_COUNT + 1)
        self.assertEqual(2, peers.known_hosts_count)
        self.assertEqual(0.5, peers.own_share_ratio(10.0))

    def test_a_peer_cannot_fill_an_upstream(self):
        usages = [
            UpstreamUsage("a", "one", MAX_REPORTED_REQUESTS + 1, 0),
            UpstreamUsage("b", "one", 1, MAX_REPORTED_TOKENS + 1),
            UpstreamUsage("c", "one", 3, 7),
        ]
        peers = self.receive(upstreams=usages)
        self.assertEqual(0, peers.load_of("a", "one").running_count)
        self.assertEqual(0, peers.load_of("b", "one").waiting_tokens)
        self.assertEqual(3, peers.load_of("c", "one").running_count)
        peers.drop("e1")
        self.assertEqual(0, peers.running_count)
