"""Who is to blame for upstreams that end: by counts, by answers, by peers' words."""

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
    TreeInForce,
    TreeView,
)
from rampwick_policy._crash_attribution import (
    MAX_SUSPECT_REQUESTS_COUNT,
    SETTLE_SECONDS,
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

#: Time after an end by which its host has settled whom to blame.
SETTLED = SETTLE_SECONDS + 0.01


class Host:
    """One host's scheduler before six upstreams of one service."""

    def __init__(self, names=NAMES):
        text = '[host]\nname = "e"\nhall = "h"\n'
        self.scheduler = Scheduler(parse_settings(text, source="test"))
        self.at_seconds = 0.0
        entries = [
            HostEntry(name, "service", "h", "a:1", group="s", incarnation=name)
            for name in names
        ]
        self.entries = {entry.name: entry for entry in entries}
        self.version = 0
        nodes = {"/": Node(), "/w": Node(is_workspace=True)}
        tree = Tree(1, nodes, Routing([], [Service("s")]))
        self.view = TreeView(tree)
        self.do(TreeInForce(self.view))
        self.list_upstreams()
        self.count = 0
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

    def later(self, seconds=SETTLED):
        self.at_seconds += seconds
        return self.do(Tick())

    def ask(self, body, deadline_seconds=30.0, latency_target_seconds=60.0):
        """Send a request; return its id and what is done."""
        self.count += 1
        name = f"r{self.count}"
        arrived = RequestArrived(
            name,
            self.view.workspaces["/w"],
            "interactive",
            self.at_seconds + deadline_seconds,
            True,
            service="s",
            max_attempts_count=1,
            latency_target_seconds=latency_target_seconds,
            identity=RequestIdentity("/w", "h/x", body),
        )
        return name, self.do(arrived)

    def end(self, *names, upstream=None):
        """Have the upstream of some requests end under them."""
        actions = []
        for name in names:
            sent = self.sent[name]
            failed = AttemptFailed(
                name, sent.attempt_id, Outcome.BROKEN, "closed", was_closed=True
            )
            actions += self.do(failed)
        return actions

    def answer(self, name):
        attempt = self.sent[name].attempt_id
        self.do(AttemptAccepted(name, attempt))
        self.do(AttemptDone(name, attempt))

    def end_under(self, body, count):
        """Have upstreams end under a request, one after the other."""
        for _ in range(count):
            name, _ = self.ask(body)
            self.later()
            self.end(name)
            self.later()

    def suspect(self, *bodies):
        """Have two upstreams that are gone have ended under each request."""
        for body in bodies:
            found = RequestIdentity("/w", "h/x", body).fingerprint
            for life in (IncarnationKey("gone", "1"), IncarnationKey("gone", "2")):
                self.scheduler.quarantine.tracker.note_crash(
                    life, found, "/w", 0.0, 0.0
                )

    def quarantine_state(self, body):
        found = RequestIdentity("/w", "h/x", body).fingerprint
        return self.scheduler.quarantine.tracker.quarantine_state(found)


class StopTest(TestCase):
    """A request is stopped by its third end, and what is told its callers is true."""

    def test_the_fourth_try_is_refused_at_once_and_told_no_time_to_come_back(self):
        host = Host()
        host.end_under(DEADLY, 3)
        _, (refusal,) = host.ask(DEADLY)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual("ends_upstreams", refusal.reason)
        self.assertIsNone(refusal.retry_after_seconds)
        self.assertIn("3 upstreams ended under it", refusal.evidence)
        _, actions = host.ask(OTHER)
        self.assertIsInstance(actions[0], Dispatch)

    def test_tries_under_way_and_in_line_are_stopped_as_well(self):
        host = Host()
        host.end_under(DEADLY, 2)
        first, _ = host.ask(DEADLY)
        host.later()
        second, _ = host.ask(DEADLY)
        self.assertIn(second, host.sent)
        host.end(first)
        actions = host.later()
        refused = [item for item in actions if isinstance(item, Refuse)]
        self.assertEqual([second], [item.request_id for item in refused])
        self.assertEqual(RunState.MAYBE_RUN, refused[0].run_state)
        self.assertTrue(any(isinstance(item, CancelAttempt) for item in actions))

    def test_an_answer_clears_it(self):
        host = Host()
        host.end_under(DEADLY, 2)
        name, _ = host.ask(DEADLY)
        host.later()
        host.answer(name)
        self.assertEqual(QuarantineState.NONE, host.quarantine_state(DEADLY))


class InnocentTest(TestCase):
    """Those that were aboard by chance are served, however often it was."""

    def test_who_lost_three_in_a_row_to_another_is_still_sent(self):
        host = Host()
        for _ in range(3):
            names = [host.ask(body)[0] for body in (DEADLY, OTHER)]
            host.later()
            # Whoever they were with, all of it ended at once.
            upstream = host.sent[names[0]].upstream
            for name in names:
                item = host.scheduler._requests.get(name)
                item.upstream = item.incarnation = upstream
            host.end(*names)
            host.later()
        self.assertEqual(QuarantineState.APART, host.quarantine_state(OTHER))
        name, _ = host.ask(OTHER)
        host.later()
        host.answer(name)
        # The one that is left is to blame, at its next end.
        host.end_under(DEADLY, 1)
        self.assertEqual(QuarantineState.STOPPED, host.quarantine_state(DEADLY))
        self.assertEqual(QuarantineState.NONE, host.quarantine_state(OTHER))

    def test_suspects_are_kept_from_each_others_upstreams(self):
        host = Host()
        bodies = [b"%d" % number for number in range(len(NAMES))]
        host.suspect(*bodies)
        host.later()
        names = [host.ask(body)[0] for body in bodies]
        host.later()
        upstreams = [host.sent[name].upstream for name in names]
        self.assertEqual(NAMES, sorted(upstreams))

    def test_one_that_finds_no_upstream_of_its_own_waits_for_it(self):
        host = Host(names=["u-0"])
        host.suspect(b"1", b"2")
        host.later()
        first, _ = host.ask(b"1")
        second, _ = host.ask(b"2", latency_target_seconds=0.5)
        self.assertIn(first, host.sent)
        for _ in range(15):
            self.assertEqual([], host.later(0.1))
        host.answer(first)
        self.assertIn(second, host.sent)

    def test_nor_does_it_wait_for_good(self):
        host = Host(names=["u-0"])
        host.suspect(b"1", b"2")
        host.later()
        host.ask(b"1")
        host.ask(b"2", latency_target_seconds=0.5)
        refused = []
        while not refused and host.at_seconds < 10.0:
            refused = [item for item in host.later(0.1) if isinstance(item, Refuse)]
        self.assertEqual("kept_apart", refused[0].reason)
        self.assertEqual(RunState.NOT_SENT, refused[0].run_state)
        self.assertLess(host.at_seconds, 3.0)

    def test_an_upstream_that_answers_after_all_takes_its_end_back(self):
        host = Host(names=["u-0"])
        host.end_under(DEADLY, 1)
        host.later(2.0)
        host.do(LoadReported("u-0", None))
        host.scheduler.upstreams.due_probes(host.at_seconds)
        host.later(2.0)
        host.do(LoadReported("u-0", None))
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))

    def test_what_closes_on_purpose_is_no_end(self):
        host = Host(names=["u-0"])
        name, _ = host.ask(DEADLY)
        host.list_upstreams(u0="leaving")
        host.end(name)
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))

    def test_one_that_is_silent_is_no_end(self):
        host = Host()
        name, _ = host.ask(DEADLY)
        sent = host.sent[name]
        host.do(AttemptFailed(name, sent.attempt_id, Outcome.BROKEN, "silent"))
        self.assertEqual(0, len(host.scheduler.quarantine.tracker))


class NewsTest(TestCase):
    """What one host saw, the others know."""

    def tell(self, teller, hearer, take=None):
        suspects = teller.scheduler.quarantine
        news = (take or suspects.take_update)(teller.at_seconds)
        if news is not None:
            hearer.do(CrashUpdateReceived(news))

    def test_three_hosts_that_saw_one_end_each_stop_it(self):
        hosts = [Host(), Host(), Host()]
        for index, host in enumerate(hosts):
            host.at_seconds = 100.0 * index
            name, _ = host.ask(DEADLY)
            # Each at another upstream.
            item = host.scheduler._requests.get(name)
            item.upstream = item.incarnation = NAMES[index]
            host.end(name)
            for other in hosts:
                if other is not host:
                    self.tell(host, other, host.scheduler.quarantine.initial_state)
        for host in hosts:
            host.later()
            self.assertEqual(QuarantineState.STOPPED, host.quarantine_state(DEADLY))

    def test_a_host_that_has_just_come_is_told(self):
        old, new = Host(), Host()
        old.end_under(DEADLY, 3)
        self.tell(old, new, old.scheduler.quarantine.initial_state)
        _, (refusal,) = new.ask(DEADLY)
        self.assertEqual("ends_upstreams", refusal.reason)

    def test_news_is_told_again_for_a_while_only(self):
        host = Host()
        host.end_under(DEADLY, 3)
        suspects = host.scheduler.quarantine
        self.assertIsNotNone(suspects.take_update(host.at_seconds))
        self.assertIsNone(suspects.take_update(host.at_seconds))
        self.assertIsNotNone(suspects.take_retransmission(host.at_seconds))
        self.assertIsNone(suspects.take_retransmission(host.at_seconds + 10.0))

    def test_a_request_let_go_stays_so_whatever_old_news_comes(self):
        one, two = Host(), Host()
        one.end_under(DEADLY, 3)
        old = one.scheduler.quarantine.initial_state(one.at_seconds)
        two.do(CrashUpdateReceived(old))
        one.at_seconds += 1.0
        two.at_seconds += 1.0
        found = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        self.assertTrue(
            one.scheduler.quarantine.clear(found, one.at_seconds, "an operator says so")
        )
        self.tell(one, two)
        self.assertEqual(QuarantineState.NONE, two.quarantine_state(DEADLY))
        aged = attrs.evolve(
            old,
            ended=[attrs.evolve(item, age_seconds=3.0) for item in old.ended],
            stopped=[attrs.evolve(item, age_seconds=3.0) for item in old.stopped],
        )
        two.do(CrashUpdateReceived(aged))
        self.assertEqual(QuarantineState.NONE, two.quarantine_state(DEADLY))

    def test_a_peers_word_stops_what_is_under_way(self):
        host = Host()
        name, _ = host.ask(DEADLY)
        found = RequestIdentity("/w", "h/x", DEADLY).fingerprint
        news = CrashUpdate(stopped=[StoppedRequest(found, "/w", 0.1, 3)])
        actions = host.do(CrashUpdateReceived(news))
        self.assertEqual([name], [a.request_id for a in actions if type(a) is Refuse])


class MidwayTest(TestCase):
    """A stream whose upstream ended waits for another one, and not to its deadline.

    All five upstreams had ended within a second, and callers that had a part of their
    answers were kept for four seconds and more, until they gave up.
    """

    def test_it_is_broken_off_after_some_seconds_without_any(self):
        host = Host(names=["u-0"])
        name, _ = host.ask(OTHER)
        attempt = host.sent[name].attempt_id
        item = host.scheduler._requests.get(name)
        item.lifecycle.is_resumable = True
        item.lifecycle.max_attempts_count = 2
        host.do(AttemptAccepted(name, attempt))
        host.do(AttemptDelivered(name, attempt))
        self.assertEqual([], [a for a in host.end(name) if type(a) is Refuse])
        ended_at_seconds = host.at_seconds
        refused = []
        while not refused and host.at_seconds < 29.0:
            refused = [a for a in host.later(0.1) if type(a) is Refuse]
        self.assertLess(host.at_seconds - ended_at_seconds, 4.5)
        self.assertEqual(RunState.RUNNING, refused[0].run_state)


class BoundsTest(TestCase):
    def note(self, book, number, workspace, now_seconds):
        found = number.to_bytes(16, "big")
        life = IncarnationKey("u", str(number))
        book.note_crash(life, found, workspace, now_seconds, now_seconds)
        return found

    def test_a_workspace_that_makes_many_loses_its_own(self):
        book = CrashTracker()
        kept = self.note(book, 0, "/quiet", 0.0)
        for number in range(1, MAX_SUSPECT_REQUESTS_COUNT + 10):
            self.note(book, number, "/loud", 1.0)
        self.assertEqual(MAX_SUSPECT_REQUESTS_COUNT, len(book))
        self.assertIsNotNone(book.get(kept))
        self.assertEqual(10, book.dropped_count)

    def test_what_nobody_asks_for_is_forgotten(self):
        book = CrashTracker()
        self.note(book, 1, "/w", 0.0)
        book.sweep(899.0)
        self.assertEqual(1, len(book))
        book.sweep(910.0)
        self.assertEqual(0, len(book))
