"""Streams that were taken late in a stop and cut at its end."""

import anyio
from testtools import TestCase

from rampwick_policy import (
    AnswerKind,
    LivePeers,
    PeersChanged,
    PeerSummaryReceived,
    Scheduler,
    finds_ready_host,
)
from rampwick_policy._drain_admission import DurationSource
from rampwick_schema import Summary, parse_settings

from .test_drain_admission import Admission
from .test_requests_taken_while_leaving import (
    STREAM_KIND,
    break_first_attempt,
    find,
    learn,
    leave,
    run_logged,
)
from .test_routed import all_scripts, ran, stream_of

DEAD_AFTER_SECONDS = 3.0
SETTINGS = (
    f'[host]\nname = "own"\nhall = "h"\n'
    f"[peers]\ndead_after_seconds = {DEAD_AFTER_SECONDS}\n"
)

#: Times between SIGTERM, the arrival of a late request and the exit.
ARRIVES_AFTER_SECONDS = 3.2
EXITS_AFTER_SECONDS = 7.25
LEFT_SECONDS = EXITS_AFTER_SECONDS - ARRIVES_AFTER_SECONDS


def summary(*, revision=1, is_leaving=False, hosts_count=1):
    """Return the summary of a peer, or of several."""
    return Summary(1, revision, 1, is_leaving, [], [], [], [], hosts_count=hosts_count)


class LateRequestTest(TestCase):
    """Where others are ready, a late request is left to them unless it can't be cut."""

    def judge(self, **terms):
        """Return the decisions beside ready hosts and alone, at a steady pace."""
        host = Admission()
        host.answer(*[0.8] * 30)
        return [
            host.judge(LEFT_SECONDS, is_elsewhere_ready=is_ready, **terms)
            for is_ready in (True, False)
        ]

    def test_request_whose_pace_may_fall_after_it_was_taken(self):
        beside_others, alone = self.judge()
        self.assertFalse(beside_others.is_admitted)
        self.assertTrue(beside_others.is_left_to_others)
        self.assertTrue(alone.is_admitted)
        self.assertFalse(alone.is_left_to_others)

    def test_request_that_must_not_run_twice_or_of_which_nothing_is_known(self):
        for terms in ({"is_repeatable": False}, {"max_answer_tokens": 0}):
            beside_others, alone = self.judge(**terms)
            self.assertEqual(
                (False, True), (beside_others.is_admitted, alone.is_admitted), terms
            )
        host = Admission()
        self.assertTrue(host.decide(9.0))
        self.assertFalse(host.decide(9.0, is_elsewhere_ready=True))

    def test_request_that_its_own_timeout_ends_first_is_taken(self):
        host = Admission()
        at = host.now_seconds
        for is_ready in (True, False):
            self.assertTrue(
                host.decide(1.0, deadline_seconds=at + 1, is_elsewhere_ready=is_ready)
            )

    def test_early_request_is_taken_if_it_is_expected_to_fit(self):
        host = Admission()
        host.answer(*[0.8] * 30)
        for left_seconds, is_taken in ((2.0, True), (0.7, False)):
            decision = host.judge(
                left_seconds, is_balancer_done=False, is_elsewhere_ready=True
            )
            self.assertEqual(is_taken, decision.is_admitted)
            self.assertFalse(decision.is_left_to_others)

    def test_waiting_request_is_sent_if_it_is_expected_to_fit(self):
        host = Admission()
        host.answer(*[0.8] * 30)
        for may_have_run in (True, False):
            terms = {"is_waiting": True, "may_have_run": may_have_run}
            for left_seconds, is_sent in ((2.0, True), (0.7, False)):
                self.assertEqual(
                    is_sent,
                    host.decide(left_seconds, is_elsewhere_ready=True, **terms),
                )

    def test_request_that_does_not_fit_is_refused_for_that(self):
        host = Admission()
        host.answer(*[0.8] * 30)
        decision = host.judge(0.7, is_elsewhere_ready=True)
        self.assertFalse(decision.is_admitted)
        self.assertFalse(decision.is_left_to_others)


class LateStreamTest(TestCase):
    """A late stream that is longer than expected is not begun and cut at the exit."""

    kind = AnswerKind("labels", "m", is_stream=True)

    def host(self, *seconds):
        """Return a host that has seen answers of these durations."""
        host = Admission()
        host.answer(*seconds, kind=self.kind)
        return host

    def test_stream_longer_than_all_answers_with_a_like_hint_is_refused(self):
        host = self.host(*[0.8] * 30)
        for terms in (
            {},
            {"expected_answer_tokens": 1},
            {"expected_answer_tokens": 10},
            {"max_answer_tokens": 0},
            {"is_repeatable": False},
        ):
            decision = host.judge(LEFT_SECONDS, kind=self.kind, **terms)
            self.assertEqual(
                (False, True),
                (decision.is_admitted, decision.is_unbounded),
                terms,
            )

    def test_stream_of_which_nothing_is_known_is_refused(self):
        decision = self.host().judge(29.0, kind=self.kind)
        self.assertEqual(DurationSource.TARGET, decision.source)
        self.assertTrue(decision.is_unbounded)

    def test_stream_that_its_own_timeout_ends_first_is_taken(self):
        host = self.host(*[8.0] * 30)
        for left_seconds, is_taken in ((1.0, True), (0.9, False)):
            decision = host.judge(
                left_seconds, kind=self.kind, deadline_seconds=host.now_seconds + 1.0
            )
            self.assertEqual(is_taken, decision.is_admitted)
            self.assertFalse(decision.is_unbounded)

    def test_stream_that_arrived_early_is_sent_if_it_is_expected_to_fit(self):
        host = self.host(*[0.8] * 30)
        self.assertTrue(host.decide(2.0, kind=self.kind, is_balancer_done=False))
        for may_have_run in (True, False):
            terms = {"is_waiting": True, "may_have_run": may_have_run}
            self.assertTrue(host.decide(2.0, kind=self.kind, **terms))

    def test_stream_is_left_to_ready_hosts_for_that_reason(self):
        decision = self.host(*[0.8] * 30).judge(
            LEFT_SECONDS, kind=self.kind, is_elsewhere_ready=True
        )
        self.assertEqual(
            (True, False), (decision.is_left_to_others, decision.is_unbounded)
        )


class ReadyPeersTest(TestCase):
    """Which peers are known to be ready."""

    def hear(self, *summaries, at=10.0):
        """Return a host that has received the summaries of peers."""
        host = Scheduler(parse_settings(SETTINGS, source="own"))
        for number, item in enumerate(summaries):
            host.handle(PeerSummaryReceived(f"e{number}", "h", 1, item), at)
        return host

    def test_peers_that_leave_or_start_or_are_silent_are_not_ready(self):
        host = self.hear(summary(), summary(is_leaving=True), summary(revision=0))
        self.assertEqual({"e0"}, host.list_peers(10.0)[1])
        almost_dead_seconds = 10.0 + DEAD_AFTER_SECONDS - 0.01
        self.assertEqual({"e0"}, host.list_peers(almost_dead_seconds)[1])
        self.assertEqual(set(), host.list_peers(10.0 + DEAD_AFTER_SECONDS)[1])

    def test_sum_of_several_hosts_does_not_say_that_one_is_ready(self):
        host = self.hear(summary(hosts_count=40))
        self.assertEqual(set(), host.list_peers(10.0)[1])
        names = frozenset({"a", "b"})
        live = LivePeers(names, frozenset({"b"}), frozenset({"h"}))
        host.handle(PeersChanged(live, is_leaving=True), 10.0)
        self.assertEqual(({"a", "b"}, {"b"}), host.list_peers(10.0))

    def test_elsewhere_is_ready_if_half_of_the_peers_are(self):
        for ready_count, peers_count, is_ready in (
            (0, 0, False),
            (0, 5, False),
            (1, 1, True),
            (1, 2, True),
            (1, 3, False),
            (2, 5, False),
            (3, 5, True),
        ):
            self.assertEqual(is_ready, finds_ready_host(ready_count, peers_count))

    def test_host_without_peers_knows_of_none(self):
        self.assertEqual(set(), self.hear().list_peers(10.0)[1])


class LateRequestAtHostTest(TestCase):
    def call_late(self, *summaries, path="/again/1", scripts=(), **options):
        """Return a late response, the upstreams that ran it, and the log lines."""

        async def scenario(host, servers):
            context = host.daemon._context
            for number, item in enumerate(summaries):
                context.scheduler.post(
                    PeerSummaryReceived(f"e{number}", "trnava", 1, item)
                )
            learn(host, 0.05)
            learn(host, 0.05, kind=STREAM_KIND)
            if scripts:
                all_scripts(servers, *scripts)
            leave(host, LEFT_SECONDS)
            with anyio.fail_after(LEFT_SECONDS):
                response = await host.call(path, **options)
            return response, ran(servers)

        return run_logged(scenario)

    def test_late_request_is_left_to_the_hosts_that_are_ready(self):
        for path in ("/again/1", "/once/1"):
            (response, received), lines = self.call_late(
                summary(), summary(is_leaving=True), path=path
            )
            self.assertEqual((503, []), (response.status, received))
            self.assertIn("retry-after", response.headers)
            [denied] = find(lines, "request denied")
            self.assertIn("left to ready hosts", denied["evidence"])
            self.assertIn("1 of 2 peers ready", denied["evidence"])
            self.assertEqual([], find(lines, "request taken while leaving"))

    def test_late_request_that_no_other_host_can_take_is_served(self):
        leaving = summary(is_leaving=True)
        for ready_count, summaries in (
            (0, ()),
            (0, (leaving, summary(revision=0))),
            (1, (leaving, leaving, summary())),
        ):
            (response, received), lines = self.call_late(*summaries)
            self.assertEqual((200, 1), (response.status, len(received)))
            [taken] = find(lines, "request taken while leaving")
            self.assertEqual(ready_count, taken["ready_count"])

    def test_late_stream_is_refused_as_not_run_whoever_is_ready(self):
        leaving = summary(is_leaving=True)
        for summaries in ((), (leaving,), (leaving, leaving, summary())):
            (response, received), lines = self.call_late(*summaries, path="/stream/1")
            self.assertEqual((503, []), (response.status, received))
            self.assertIn("retry-after", response.headers)
            [denied] = find(lines, "request denied")
            self.assertIn("a stream that the exit may cut", denied["evidence"])

    def test_late_stream_that_its_own_timeout_ends_first_is_begun(self):
        headers = {"Rampwick-Deadline-Seconds": "2.0"}
        (response, received), lines = self.call_late(
            path="/stream/1", scripts=[stream_of(1, 3)], headers=headers
        )
        self.assertEqual((200, 1), (response.status, len(received)))
        [taken] = find(lines, "request taken while leaving")
        self.assertEqual("timeout", taken["expected_by"])

    def test_balancer_delay_is_over_although_its_task_is_late(self):
        async def scenario(host, servers):
            context = host.daemon._context
            context.scheduler.post(PeerSummaryReceived("e0", "trnava", 1, summary()))
            learn(host, 0.05)
            leave(host, LEFT_SECONDS)
            lifecycle = host.daemon.lifecycle
            # The loop stood still: the task that waits for the balancer is late.
            statuses = []
            for late_seconds in (-60.0, 0.0):
                lifecycle.balancer_done_at_seconds = context.read_clock() - late_seconds
                statuses.append((await host.call("/again/1")).status)
            return statuses

        statuses, _ = run_logged(scenario)
        self.assertEqual([200, 503], statuses)

    def test_second_attempt_is_sent_beside_ready_hosts(self):
        async def scenario(host, servers):
            learn(host, 1.0)

            def begin_to_leave():
                host.daemon._context.scheduler.post(
                    PeerSummaryReceived("e0", "trnava", 1, summary())
                )
                leave(host, 2.0)

            break_first_attempt(servers, begin_to_leave)
            response = await host.call("/again/1")
            return response, ran(servers)

        (response, received), _ = run_logged(scenario)
        self.assertEqual((200, 2), (response.status, len(received)))
