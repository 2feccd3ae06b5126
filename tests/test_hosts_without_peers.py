"""Hosts whose links all become silent at once, so that each hears no other.

Each then counted itself as the only host, and used the whole of what upstreams grant to
all hosts together.
"""

from testtools import TestCase

from rampwick_policy import (
    BrittlenessReported,
    HostListRead,
    LivePeers,
    LoadReported,
    PeersChanged,
    PeerSummaryReceived,
    RateLimitReported,
    Scheduler,
    Tick,
)
from rampwick_schema import HostEntry, HostList, LoadReport, Summary, parse_settings

SETTINGS = '[host]\nname = "{}"\nhall = "h"\n[peers]\ndead_after_seconds = 3.0\n'

NAMES = [f"e{index}" for index in range(6)]

#: When the links fall silent, and for how long after that unreachable hosts count.
SILENT_AT_SECONDS = 10.0
COUNTED_SECONDS = 8.0

RATE = 12.0
REJECTIONS = 4.0
SLOTS = 48


class HostsWithoutPeersTest(TestCase):
    def setUp(self):
        super().setUp()
        self.hosts = [Scheduler(self.settings(name)) for name in NAMES]
        entries = [
            HostEntry("r", "runner", "h", "r:1"),
            HostEntry("s", "service", "h", "s:1", group="g", slots_count=SLOTS),
        ]
        self.do(0.0, HostListRead(HostList(1, entries)))
        report = LoadReport("i", "m", 1, 8, 0, 0, 8000.0, 60_000)
        self.do(0.0, LoadReported("r", report))
        for step in range(int(SILENT_AT_SECONDS) + 1):
            self.hear(float(step))

    def settings(self, name):
        return parse_settings(SETTINGS.format(name), source=name)

    def do(self, at, event):
        for host in self.hosts:
            host.handle(event, at)

    def hear(self, at):
        """Let each host receive the summaries of all others."""
        for host, own_name in zip(self.hosts, NAMES, strict=True):
            names = frozenset(NAMES) - {own_name}
            for name in names:
                summary = Summary(int(at) + 1, 1, 1, False, [], [], [], [])
                host.handle(PeerSummaryReceived(name, "h", 1, summary), at)
            live = LivePeers(names, names, frozenset({"h"}))
            host.handle(PeersChanged(live, is_leaving=False), at)
            host.handle(Tick(), at)

    def play_silence(self):
        """Yield the times at which the hosts hear nothing, after their ticks."""
        end_seconds = SILENT_AT_SECONDS + COUNTED_SECONDS
        now_seconds = SILENT_AT_SECONDS
        while now_seconds < end_seconds:
            now_seconds += 0.25
            self.do(now_seconds, Tick())
            for host in self.hosts:
                if not host.peers.has_live_peers(now_seconds):
                    alone = PeersChanged(LivePeers(), is_leaving=False)
                    host.handle(alone, now_seconds)
            yield now_seconds

    def test_all_hosts_together_stay_within_the_rate_of_an_upstream(self):
        self.do(SILENT_AT_SECONDS, RateLimitReported("r", "i", RATE, SILENT_AT_SECONDS))
        for now_seconds in self.play_silence():
            rates = [
                host.pool.rate_limiter.own_rate(host.upstreams.get("r"), now_seconds)
                for host in self.hosts
            ]
            self.assertLessEqual(sum(rates), RATE + 1e-6, now_seconds)
            self.assertGreater(sum(rates), 0.0)

    def test_unanswered_requests_stay_within_the_rejections_withstood(self):
        at = SILENT_AT_SECONDS
        self.do(at, BrittlenessReported("s", REJECTIONS, at))
        for now_seconds in self.play_silence():
            counts = [self.count_sendable(host, now_seconds) for host in self.hosts]
            self.assertLessEqual(sum(counts), SLOTS / 2 + REJECTIONS, now_seconds)
            self.assertGreaterEqual(min(counts), 1)

    def count_sendable(self, host, now_seconds):
        """Return how many requests a host would keep unanswered at the service."""
        upstream = host.upstreams.get("s")
        count = 0
        while host.pool.brittle.may_send(upstream, now_seconds):
            count += 1
            upstream.own_attempts[str(count)] = 0
            upstream.unanswered_attempts.add(str(count))
        upstream.own_attempts.clear()
        upstream.unanswered_attempts.clear()
        return count
