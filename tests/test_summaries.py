"""What a hall's relay tells its hosts of the whole fleet."""

from types import SimpleNamespace

from testtools import TestCase

from rampwick_policy import Member, PeerView
from rampwick_router.peers._summaries import HALL_TIMEOUT_SECONDS, SummaryPublisher
from rampwick_schema import LimitUsage, Summary, UpstreamUsage

OWN = Member("h1", "a", "h1:1", 7)


def summary(sent, hosts_count=1):
    return Summary(
        5,
        1,
        1,
        False,
        [],
        [UpstreamUsage("r", "one/1", 2, 0)],
        [],
        hosts_count=hosts_count,
        limits=[LimitUsage("/w", sent)],
        limits_known_seconds=50.0,
    )


class LateHallTest(TestCase):
    """A hall that says nothing neither sends under limits nor is there.

    Its hosts may be cut off and serve on, as those here do: both sides filled the same
    room until they noticed.
    """

    def told(self, silent_seconds):
        views = [
            PeerView("h2", "a", 1, summary(100), 99.9),
            PeerView("hall b", "b", 1, summary(1000, 20), 100.0 - silent_seconds),
        ]
        sent = []
        scheduler = SimpleNamespace(
            peer_views=lambda now_seconds: views,
            targets=lambda: [],
            named_weights=lambda: [],
        )
        roles = SimpleNamespace(table=SimpleNamespace(own=OWN), is_in_own_group=None)
        sync = SimpleNamespace(
            with_own_versions=lambda item: item, own_ages=lambda: (0.0, 0.0)
        )
        links = SimpleNamespace(broadcast=lambda message, to: sent.append(message))
        teller = SummaryPublisher(scheduler, None, links, roles, sync, lambda: 100.0)
        teller.publish_fleet()
        return sent[0].summary

    def test_one_that_spoke_of_late_counts(self):
        told = self.told(HALL_TIMEOUT_SECONDS - 0.1)
        self.assertEqual([LimitUsage("/w", 1100)], told.limits)
        self.assertEqual(21, told.hosts_count)

    def test_one_that_is_late_counts_no_more(self):
        told = self.told(HALL_TIMEOUT_SECONDS + 0.1)
        self.assertEqual([LimitUsage("/w", 100)], told.limits)
        self.assertEqual(2, told.hosts_count)
        # What it has under way at runners is not forgotten so soon.
        self.assertEqual([UpstreamUsage("r", "one/1", 4, 0)], told.upstreams)
