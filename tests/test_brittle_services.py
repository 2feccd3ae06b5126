"""Guards against rejections that make a brittle upstream fail."""

import heapq

from testtools import TestCase

from rampwick_adapter._requests import UpstreamTranslation
from rampwick_policy import (
    AttemptAccepted,
    AttemptDone,
    AttemptFailed,
    BrittlenessReported,
    Dispatch,
    HostListRead,
    LivePeers,
    Outcome,
    PeersChanged,
    PeerSummaryReceived,
    ProbeFailed,
    RequestArrived,
    Tick,
)
from rampwick_policy._brittle_services import STALE_SECONDS, BrittleServices
from rampwick_policy._membership import Membership
from rampwick_policy._send_limits import SendLimits
from rampwick_policy._state_changes import StateChangeTracker
from rampwick_policy._upstream import Upstream
from rampwick_policy._upstream_rate_limiter import LocalView
from rampwick_router import ResponseHead
from rampwick_schema import HostEntry, HostList

from .test_scheduler import Session

SLOTS = 6


def sent(actions):
    return [action for action in actions if isinstance(action, Dispatch)]


class PartTest(TestCase):
    def test_parts_of_all_hosts_are_within_the_rejections_withstood(self):
        for hosts_count, rejections in ((6, 8.0), (6, 3.0), (90, 5.0), (2, 0.0)):
            hosts = {f"h{number}" for number in range(hosts_count)}
            total = 0
            for host in hosts:
                view = LocalView(
                    host,
                    "h",
                    LivePeers(
                        frozenset(hosts - {host}),
                        frozenset(hosts - {host}),
                        frozenset({"h"}),
                    ),
                )
                upstream = Upstream(
                    HostEntry("u", "service", "h", "u:1", group="g"), health=None
                )
                services = BrittleServices(
                    Membership(3.0), lambda view=view: view, StateChangeTracker()
                )
                services.note_response(upstream, rejections, 1.0, 1.0)
                total += services._part_count(upstream, services._by_service["g"])
            self.assertLessEqual(total, max(1.0, rejections))
            self.assertLessEqual(1, total)


class SendingTest(TestCase):
    def session(self, rejections=2.0):
        session = Session(runners=0)
        entries = [
            HostEntry(
                name,
                "service",
                "trnava",
                f"{name}:1",
                group="labels",
                slots_count=SLOTS,
            )
            for name in ("a", "b")
        ]
        session.do(0.0, HostListRead(HostList(2, entries)))
        if rejections is not None:
            session.do(0.5, BrittlenessReported("a", rejections, 0.4))
        return session

    def arrive(self, session, at, count, start=0):
        return [
            action
            for number in range(start, start + count)
            for action in sent(self.call(session, at, number))
        ]

    def call(self, session, at, number):
        return session.do(
            at,
            RequestArrived(
                request_id=f"r{number}",
                workspace=session.workspace("/h/a"),
                priority_class="interactive",
                deadline_seconds=at + 5.0,
                is_repeatable=True,
                service="labels",
                latency_target_seconds=0.5,
            ),
        )

    def test_unanswered_requests_are_bounded_beyond_certain_room(self):
        found = self.arrive(self.session(), 1.0, 40)
        # Half of the slots of each upstream is certain room for the only host.
        self.assertEqual(2 * SLOTS // 2, len(found))
        usual = self.arrive(self.session(rejections=None), 1.0, 40)
        self.assertLess(len(found), len(usual))

    def test_answers_make_room(self):
        session = self.session(rejections=4.0)
        found = self.arrive(session, 1.0, 40)
        for action in found:
            session.do(1.1, AttemptAccepted(action.request_id, action.attempt_id))
        self.assertNotEqual([], sent(session.do(1.2, Tick())))

    def test_rejection_without_a_requested_pause_lasts_a_second(self):
        session = self.session()
        (first,) = self.arrive(session, 1.0, 1)
        refused = AttemptFailed(
            "r0", first.attempt_id, Outcome.BUSY, "full", retry_after_seconds=0.01
        )
        session.do(1.1, refused)
        upstream = session.scheduler.upstreams.get(first.upstream)
        self.assertLessEqual(2.1, upstream.paused_until_seconds)

    def test_statement_ends_with_a_later_response_without_it(self):
        session = self.session()
        services = session.scheduler.pool.brittle
        session.do(1.0, BrittlenessReported("b", None, 0.3))
        self.assertEqual({"labels": 2.0}, services.states())
        session.do(1.0, BrittlenessReported("b", None, 0.6))
        self.assertEqual({}, services.states())

    def test_number_without_bound_is_no_error(self):
        session = self.session(rejections=float("inf"))
        self.assertNotEqual([], self.arrive(session, 1.0, 4))

    def test_all_upstreams_of_a_brittle_service_have_send_limits(self):
        session = self.session()
        pool = session.scheduler.pool
        limits = SendLimits(pool.rate_limiter, pool.brittle)
        self.assertEqual(["a", "b"], sorted(limits.limited_names(pool.upstreams)))
        for action in self.arrive(session, 1.0, 40):
            upstream = pool.upstreams.get(action.upstream)
            self.assertFalse(limits.may_send(upstream, 1.0))

    def test_statement_expires(self):
        session = self.session()
        session.do(1.0 + STALE_SECONDS, Tick())
        self.assertEqual({}, session.scheduler.pool.brittle.states())

    def test_hosts_probe_a_plain_upstream_in_turn(self):
        session = self.session()
        session.do(0.6, PeersChanged(LivePeers(), is_leaving=False))
        session.do(1.0, ProbeFailed("a", "rejected"))
        session.scheduler.upstreams.due_probes(1.4)
        delay = session.scheduler.upstreams.probe_delay(1.4)
        self.assertLessEqual(1.0, delay)


class ReadingTest(TestCase):
    def read(self, *values, status=200):
        headers = [(b"Server-Brittle", value) for value in values]
        head = ResponseHead(status, headers)
        return UpstreamTranslation().read_response(head, "i").brittleness

    def test_number_of_rejections_is_read_from_any_response(self):
        self.assertEqual(3.0, self.read(b"3").per_second)
        self.assertEqual(0.5, self.read(b" 0.5 ", status=503).per_second)
        self.assertEqual(2.0, self.read(b"7", b"2").per_second)
        self.assertIsNone(self.read().per_second)

    def test_unreadable_number_is_no_statement(self):
        for value in (b"", b"-1", b"nan", b"inf", b"soon"):
            self.assertFalse(self.read(value).is_readable, value)


class FleetTest(TestCase):
    """Six hosts before one upstream whose queue has become short."""

    HOSTS_COUNT = 6
    WITHSTOOD = 6.0

    def rejections(self, stated):
        """Return the most rejections within a second, under bursts at all hosts."""
        hosts = [self.host(number, stated) for number in range(self.HOSTS_COUNT)]
        self.exchange_summaries(hosts, 0.5)
        events, rejected, running = [], [], 0
        for burst in range(8):
            at = 1.0 + 0.25 * burst
            for session in hosts:
                for number in range(10):
                    events.append((at, session, self.arrival(session, at, number)))
        sequence = len(events)
        queue = [(at, n, host, event) for n, (at, host, event) in enumerate(events)]
        heapq.heapify(queue)
        while queue:
            at, _, session, event = heapq.heappop(queue)
            if isinstance(event, AttemptDone):
                running -= 1
            for action in sent(session.do(at, event)):
                ids = (action.request_id, action.attempt_id)
                if running < SLOTS:
                    running += 1
                    answers = [(0.05, AttemptAccepted(*ids))]
                    answers.append((0.05, AttemptDone(*ids, 0, 0, 0)))
                else:
                    rejected.append(at)
                    busy = AttemptFailed(*ids, Outcome.BUSY, "full")
                    answers = [(0.004, busy)]
                for delay_seconds, answer in answers:
                    sequence += 1
                    entry = (at + delay_seconds, sequence, session, answer)
                    heapq.heappush(queue, entry)
        return max(
            (sum(at <= other < at + 1.0 for other in rejected) for at in rejected),
            default=0,
        )

    def host(self, number, stated):
        session = Session(runners=0)
        entry = HostEntry(
            "a", "service", "trnava", "a:1", group="labels", slots_count=SLOTS
        )
        session.do(0.0, HostListRead(HostList(2, [entry])))
        names = {f"h{other}" for other in range(self.HOSTS_COUNT)}
        pool = session.scheduler.pool
        pool.rate_limiter.local_view = LocalView(f"h{number}", "trnava")
        peers = frozenset(names - {f"h{number}"})
        live = LivePeers(peers, peers, frozenset({"trnava"}))
        session.do(0.0, PeersChanged(live, is_leaving=False))
        if stated:
            session.do(0.4, BrittlenessReported("a", self.WITHSTOOD, 0.3))
        return session

    def exchange_summaries(self, hosts, at):
        # Later ones are missing: each host knows nothing of the others' bursts.
        for number, session in enumerate(hosts):
            summary = session.scheduler.summary(1, 1, False, at)
            for other in hosts:
                if other is not session:
                    name = f"h{number}"
                    event = PeerSummaryReceived(name, "trnava", 1, summary)
                    other.do(at, event)

    def arrival(self, session, at, number):
        return RequestArrived(
            request_id=f"r{at}-{number}",
            workspace=session.workspace("/h/a"),
            priority_class="interactive",
            deadline_seconds=at + 2.0,
            is_repeatable=True,
            service="labels",
            latency_target_seconds=0.5,
        )

    def test_rejections_stay_within_what_the_upstream_withstands(self):
        self.assertLessEqual(self.rejections(stated=True), self.WITHSTOOD)

    def test_the_same_bursts_exceed_it_without_the_statement(self):
        self.assertGreater(self.rejections(stated=False), self.WITHSTOOD)
