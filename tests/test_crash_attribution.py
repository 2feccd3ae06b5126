"""Attribution of crashes to requests by counts, answers and updates of peers."""

import attrs
from testtools import TestCase

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    AttemptFailed,
    CancelAttempt,
    CrashTracker,
    CrashUpdateReceived,
    Dispatch,
    HostListRead,
    IncarnationKey,
    LoadReported,
    Outcome,
    QuarantineState,
    Refuse,
    RequestArrived,
    RequestIdentity,
    RunState,
    Scheduler,
    Tick,
    TreeChanged,
    TreeView,
)
from rampwick_policy._crash_attribution import (
    CRASH_REPORTS_SECONDS,
    MAX_SUSPECTS_COUNT,
)
from rampwick_schema import (
    CrashUpdate,
    HostEntry,
    HostList,
    Node,
    Routing,
    Service,
    StoppedRequest,
    Tree,
    parse_settings,
)

NAMES = [f"u-{index}" for index in range(6)]
DEADLY, OTHER = b"deadly", b"other"

#: Time after a crash by which its host has attributed it.
ATTRIBUTION_SECONDS = CRASH_REPORTS_SECONDS + 0.01


class Host:
    """One host's scheduler with six upstreams of one service."""

    def __init__(self, names=NAMES, role="service"):
        text = '[host]\nname = "e"\nhall = "h"\n'
        self.scheduler = Scheduler(parse_settings(text, source="test"))
        self.at_seconds = 0.0
        entries = [
            HostEntry(name, role, "h", "a:1", group="s", incarnation=name)
            for name in names
        ]
        self.entries = {entry.name: entry for entry in entries}
        self.version = 0
        nodes = {"/": Node(), "/w": Node(is_workspace=True)}
        tree = Tree(1, nodes, Routing([], [Service("s")]))
        self.view = TreeView(tree)
        self.do(TreeChanged(self.view))
        self.list_upstreams()
        self.count = 0
        self.attempts_count = 1
        self.sent = {}

    def list_upstreams(self, **states):
        self.version += 1
        entries = [
            attrs.evolve(entry, state=states.get(name.replace("-", ""), "live"))
            for name, entry in self.entries.items()
        ]
        self.do(HostListRead(HostList(self.version, entries)))

    def do(self, event):
        actions = self.scheduler.handle(event, self.at_seconds)
        for action in actions:
            if isinstance(action, Dispatch):
                self.sent[action.request_id] = action
        return actions

    def advance(self, seconds=ATTRIBUTION_SECONDS):
        self.at_seconds += seconds
        return self.do(Tick())

    def arrive(
        self, body, deadline_seconds=30.0, latency_target_seconds=60.0, parts=()
    ):
        """Send a request; return its id and the scheduler's actions."""
        self.count += 1
        name = f"r{self.count}"
        arrived = RequestArrived(
            name,
            self.view.workspaces["/w"],
            "interactive",
            self.at_seconds + deadline_seconds,
            True,
            service="s",
            max_attempts_count=self.attempts_count,
            latency_target_seconds=latency_target_seconds,
            identity=RequestIdentity("/w", "h/x", body, lambda: parts),
        )
        return name, self.do(arrived)

    def crash(self, *names, upstream=None):
        """Have the upstream of some requests crash while it runs them."""
        actions = []
        for name in names:
            sent = self.sent[name]
            failed = AttemptFailed(
                name, sent.attempt_id, Outcome.BROKEN, "closed", was_closed=True
            )
            actions += self.do(failed)
        return actions

    def answer(self, name, **done):
        attempt = self.sent[name].attempt_id
        self.do(AttemptAccepted(name, attempt))
        self.do(AttemptDone(name, attempt, **done))

    def crash_upstreams(self, body, count):
        """Have upstreams crash on a request, one after the other."""
        for _ in range(count):
            name, _ = self.arrive(body)
            self.advance()
            self.crash(name)
            self.advance()

    def add_suspects(self, *bodies):
        """Record two crashes of removed upstreams for each request."""
        for body in bodies:
            fingerprint = RequestIdentity("/w", "h/x", body).fingerprint
            for incarnation_key in (
                IncarnationKey("removed", "1"),
                IncarnationKey("removed", "2"),
            ):
                self.scheduler.quarantine.tracker.note_crash(
                    incarnation_key, fingerprint, "/w", 0.0, 0.0
                )

    def quarantine_state(self, body):
        fingerprint = RequestIdentity("/w", "h/x", body).fingerprint
        return self.scheduler.quarantine.tracker.quarantine_state(fingerprint)


class QuarantineTest(TestCase):
    """A request is quarantined after three crashes, and its callers get the reason."""

    def test_fourth_attempt_is_refused_at_once_without_a_retry_time(self):
        host = Host()
        host.crash_upstreams(DEADLY, 3)
        _, (refusal,) = host.arrive(DEADLY)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual("ends_upstreams", refusal.reason)
        self.assertIsNone(refusal.retry_after_seconds)
        self.assertIn("3 upstreams crashed while running it", refusal.evidence)
        _, actions = host.arrive(OTHER)
        self.assertIsInstance(actions[0], Dispatch)

    def test_running_and_queued_attempts_are_refused_as_well(self):
        host = Host()
        host.crash_upstreams(DEADLY, 2)
        first, _ = host.arrive(DEADLY)
        host.advance()
        second, _ = host.arrive(DEADLY)
        self.assertIn(second, host.sent)
        host.crash(first)
        actions = host.advance()
        refused = [item for item in actions if isinstance(item, Refuse)]
        self.assertEqual([second], [item.request_id for item in refused])
        self.assertEqual(RunState.MAYBE_RUN, refused[0].run_state)
        # A plain service knows no attempts.
        self.assertEqual([], [item for item in actions if type(item) is CancelAttempt])

    def test_request_under_way_may_have_run_though_its_upstream_is_off_the_list(self):
        host = Host()
        name, _ = host.arrive(OTHER)
        del host.entries[host.sent[name].upstream]
        host.list_upstreams()
        scheduler = host.scheduler
        item = scheduler._requests.get(name)
        (refusal,) = scheduler._requests.abort(item, "no_upstream", host.at_seconds)
        self.assertEqual(RunState.MAYBE_RUN, refusal.run_state)

    def test_attempt_at_a_runner_that_is_given_up_is_cancelled(self):
        host = Host(role="runner")
        name, _ = host.arrive(OTHER)
        scheduler = host.scheduler
        item = scheduler._requests.get(name)
        cancelled, _ = scheduler._requests.abort(item, "no_upstream", host.at_seconds)
        self.assertEqual(host.sent[name].attempt_id, cancelled.attempt_id)

    def test_complete_answer_clears_a_request(self):
        host = Host()
        host.crash_upstreams(DEADLY, 2)
        name, _ = host.arrive(DEADLY)
        host.advance()
        host.answer(name)
        self.assertEqual(QuarantineState.NONE, host.quarantine_state(DEADLY))


class CoincidentalCrashTest(TestCase):
    """Requests that ran beside the crashing one are served, however often they did."""

    def test_request_with_three_crashes_beside_another_is_still_sent(self):
        host = Host()
        for _ in range(3):
            names = [host.arrive(body)[0] for body in (DEADLY, OTHER)]
            host.advance()
            # Both requests were running on the upstream that crashed.
            upstream = host.sent[names[0]].upstream
            for name in names:
                item = host.scheduler._requests.get(name)
                item.upstream = item.incarnation = upstream
            host.crash(*names)
            host.advance()
        self.assertEqual(QuarantineState.APART, host.quarantine_state(OTHER))
        self.assertEqual(QuarantineState.APART, host.quarantine_state(DEADLY))
        name, _ = host.arrive(OTHER)
        host.advance()
        host.answer(name)
        # The remaining request is held responsible without a further crash.
        self.assertEqual(QuarantineState.STOPPED, host.quarantine_state(DEADLY))
        self.assertEqual(QuarantineState.NONE, host.quarantine_state(OTHER))

    def test_suspects_are_isolated_on_different_upstreams(self):
        host = Host()
        bodies = [b"%d" % number for number in range(len(NAMES))]
        host.add_suspects(*bodies)
        host.advance()
        names = [host.arrive(body)[0] for body in bodies]
        host.advance()
        upstreams = [host.sent[name].upstream for name in names]
        self.assertEqual(NAMES, sorted(upstreams))

    def test_suspect_without_a_free_upstream_waits_for_one(self):
        host = Host(names=["u-0"])
        host.add_suspects(b"1", b"2")
        host.advance()
        first, _ = host.arrive(b"1")
        second, _ = host.arrive(b"2", latency_target_seconds=0.5)
        self.assertIn(first, host.sent)
        for _ in range(15):
            self.assertEqual([], host.advance(0.1))
        host.answer(first)
        self.assertIn(second, host.sent)

    def test_suspect_without_a_free_upstream_is_refused_after_a_bounded_wait(self):
        host = Host(names=["u-0"])
        host.add_suspects(b"1", b"2")
        host.advance()
        host.arrive(b"1")
        host.arrive(b"2", latency_target_seconds=0.5)
        refused = []
        while not refused and host.at_seconds < 10.0:
            refused = [item for item in host.advance(0.1) if isinstance(item, Refuse)]
        self.assertEqual("kept_apart", refused[0].reason)
        self.assertEqual(RunState.NOT_SENT, refused[0].run_state)
        self.assertLess(host.at_seconds, 3.0)

    def test_later_answer_of_an_upstream_retracts_its_crash(self):
        host = Host(names=["u-0"])
        host.crash_upstreams(DEADLY, 1)
        host.advance(2.0)
        host.do(LoadReported("u-0", None))
        host.scheduler.upstreams.due_probes(host.at_seconds)
        host.advance(2.0)
        host.do(LoadReported("u-0", None))
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))

    def test_answer_that_goes_on_after_a_reset_retracts_the_crash(self):
        """A reset of some connections while the others go on is the network's."""
        for last_bytes_seconds, crashes_count in ((None, 1), (0.1, 1), (0.5, 0)):
            host = Host(names=["u-0"])
            other, _ = host.arrive(OTHER)
            deadly, _ = host.arrive(DEADLY)
            host.do(AttemptAccepted(other, host.sent[other].attempt_id))
            host.advance(1.0)
            host.crash(deadly)
            last_bytes_at_seconds = None
            if last_bytes_seconds is not None:
                last_bytes_at_seconds = host.at_seconds + last_bytes_seconds
            host.advance(2.0)
            host.do(
                AttemptDone(
                    other,
                    host.sent[other].attempt_id,
                    last_bytes_at_seconds=last_bytes_at_seconds,
                )
            )
            suspects = list(host.scheduler.quarantine.tracker.crashes())
            self.assertEqual(crashes_count, len(suspects), last_bytes_seconds)

    def test_connection_closed_while_draining_is_no_crash(self):
        host = Host(names=["u-0"])
        name, _ = host.arrive(DEADLY)
        host.list_upstreams(u0="leaving")
        host.crash(name)
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))

    def test_unresponsive_upstream_is_no_crash(self):
        host = Host()
        name, _ = host.arrive(DEADLY)
        sent = host.sent[name]
        host.do(AttemptFailed(name, sent.attempt_id, Outcome.BROKEN, "silent"))
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))


class UpdateTest(TestCase):
    """Hosts share the crashes that they observe."""

    def send(self, sender, receiver, take=None):
        quarantine = sender.scheduler.quarantine
        update = (take or quarantine.take_update)(sender.at_seconds)
        if update is not None:
            receiver.do(CrashUpdateReceived(update))

    def test_one_crash_on_each_of_three_hosts_quarantines_a_request(self):
        hosts = [Host(), Host(), Host()]
        for index, host in enumerate(hosts):
            host.at_seconds = 100.0 * index
            name, _ = host.arrive(DEADLY)
            # Each on a different upstream.
            item = host.scheduler._requests.get(name)
            item.upstream = item.incarnation = NAMES[index]
            host.crash(name)
            for other in hosts:
                if other is not host:
                    self.send(host, other, host.scheduler.quarantine.initial_state)
        for host in hosts:
            host.advance()
            self.assertEqual(QuarantineState.STOPPED, host.quarantine_state(DEADLY))

    def test_newly_connected_host_receives_the_state(self):
        old, new = Host(), Host()
        old.crash_upstreams(DEADLY, 3)
        self.send(old, new, old.scheduler.quarantine.initial_state)
        _, (refusal,) = new.arrive(DEADLY)
        self.assertEqual("ends_upstreams", refusal.reason)

    def test_updates_are_retransmitted_for_a_limited_time(self):
        host = Host()
        host.crash_upstreams(DEADLY, 3)
        quarantine = host.scheduler.quarantine
        self.assertIsNotNone(quarantine.take_update(host.at_seconds))
        self.assertIsNone(quarantine.take_update(host.at_seconds))
        self.assertIsNotNone(quarantine.take_retransmission(host.at_seconds))
        self.assertIsNone(quarantine.take_retransmission(host.at_seconds + 10.0))

    def test_older_updates_do_not_restore_a_cleared_request(self):
        one, two = Host(), Host()
        one.crash_upstreams(DEADLY, 3)
        old = one.scheduler.quarantine.initial_state(one.at_seconds)
        two.do(CrashUpdateReceived(old))
        one.at_seconds += 1.0
        two.at_seconds += 1.0
        fingerprint = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        self.assertTrue(
            one.scheduler.quarantine.clear(
                fingerprint, one.at_seconds, "an operator cleared it"
            )
        )
        self.send(one, two)
        self.assertEqual(QuarantineState.NONE, two.quarantine_state(DEADLY))
        aged = attrs.evolve(
            old,
            ended=[attrs.evolve(item, age_seconds=3.0) for item in old.ended],
            stopped=[attrs.evolve(item, age_seconds=3.0) for item in old.stopped],
        )
        two.do(CrashUpdateReceived(aged))
        self.assertEqual(QuarantineState.NONE, two.quarantine_state(DEADLY))

    def test_update_of_a_peer_stops_running_attempts(self):
        host = Host()
        name, _ = host.arrive(DEADLY)
        fingerprint = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        update = CrashUpdate(stopped=[StoppedRequest(fingerprint, "/w", 0.1, 3)])
        actions = host.do(CrashUpdateReceived(update))
        self.assertEqual([name], [a.request_id for a in actions if type(a) is Refuse])


class InterruptedStreamTest(TestCase):
    """A stream whose upstream crashed waits for another, but not until its deadline.

    Guards against streams that stay open without an upstream: when all five upstreams
    crashed within a second, callers with a partial answer waited for four seconds and
    more, until they gave up.
    """

    def test_stream_is_broken_off_after_some_seconds_without_an_upstream(self):
        host = Host(names=["u-0"])
        name, _ = host.arrive(OTHER)
        attempt = host.sent[name].attempt_id
        item = host.scheduler._requests.get(name)
        item.lifecycle.is_resumable = True
        item.lifecycle.max_attempts_count = 2
        host.do(AttemptAccepted(name, attempt))
        host.do(AttemptDelivered(name, attempt))
        self.assertEqual([], [a for a in host.crash(name) if type(a) is Refuse])
        crashed_at_seconds = host.at_seconds
        refused = []
        while not refused and host.at_seconds < 29.0:
            refused = [a for a in host.advance(0.1) if type(a) is Refuse]
        self.assertLess(host.at_seconds - crashed_at_seconds, 4.5)
        self.assertEqual(RunState.RUNNING, refused[0].run_state)


class BoundsTest(TestCase):
    def note(self, tracker, number, workspace, now_seconds):
        fingerprint = number.to_bytes(16, "big")
        incarnation_key = IncarnationKey("u", str(number))
        tracker.note_crash(
            incarnation_key, fingerprint, workspace, now_seconds, now_seconds
        )
        return fingerprint

    def test_eviction_hits_the_workspace_with_the_most_suspects(self):
        tracker = CrashTracker()
        other = self.note(tracker, 0, "/quiet", 0.0)
        for number in range(1, MAX_SUSPECTS_COUNT + 10):
            self.note(tracker, number, "/loud", 1.0)
        self.assertEqual(MAX_SUSPECTS_COUNT, len(tracker))
        self.assertIsNotNone(tracker.get(other))
        self.assertEqual(10, tracker.dropped_count)

    def test_suspects_not_seen_for_long_expire(self):
        tracker = CrashTracker()
        self.note(tracker, 1, "/w", 0.0)
        tracker.sweep(899.0)
        self.assertEqual(1, len(tracker))
        tracker.sweep(910.0)
        self.assertEqual(0, len(tracker))
