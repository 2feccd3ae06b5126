"""Guards against probes of an earlier address that count for the upstream."""

from testtools import TestCase

from rampwick_policy import HostListRead, LoadReported, ProbeFailed
from rampwick_schema import HostEntry, HostList, LoadReport

from .test_scheduler import Session

NAME = "lektor-1"


class MovedUpstreamTest(TestCase):
    def setUp(self):
        super().setUp()
        self.session = Session(runners=1)
        self.move("new:1")

    def move(self, address):
        entries = [HostEntry(NAME, "runner", "trnava", address)]
        self.session.do(1.0, HostListRead(HostList(2, entries)))

    def upstream(self):
        return self.session.scheduler.upstreams.get(NAME)

    def report(self, address):
        report = LoadReport("old", "m", 1, 2, 0, 0, 8000.0, 60_000)
        self.session.do(1.1, LoadReported(NAME, report, address=address))

    def test_answer_of_the_earlier_address_is_ignored(self):
        self.report(f"{NAME}:1")
        self.assertIsNone(self.upstream().cache_generation)

    def test_answer_of_the_listed_address_counts(self):
        self.report("new:1")
        self.assertEqual("old", self.upstream().cache_generation.incarnation)

    def test_failure_of_the_earlier_address_is_ignored(self):
        self.report("new:1")
        failed = ProbeFailed(NAME, "connect", address=f"{NAME}:1")
        self.session.do(1.2, failed)
        self.assertFalse(self.session.scheduler.pool.is_down(NAME))
