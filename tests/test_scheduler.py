"""The scheduler: complete event sequences as golden files, and single rules."""

import math

import attrs
import pytest
from testtools import TestCase

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    AttemptFailed,
    Dispatch,
    HostListRead,
    LoadReported,
    Outcome,
    PeerSummaryReceived,
    ProbeFailed,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RetryBudget,
    Scheduler,
    Scope,
    Tick,
    TreeChanged,
    TreeView,
    Workspace,
    build_chain,
)
from rampwick_policy._tree import resolve_workspace
from rampwick_schema import (
    HostEntry,
    HostList,
    LimitUsage,
    LoadReport,
    Node,
    Summary,
    Tree,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
    parse_settings,
)

GUIDE = "the guide of the collection. " * 80


class Session:
    """A scheduler with runners, and a log of its events and actions."""

    def __init__(self, runners=2, slots=2, extra=""):
        settings = parse_settings(
            f'[host]\nname = "entry-1"\nhall = "trnava"\n{extra}', source="test"
        )
        self.scheduler = Scheduler(settings)
        self.lines = []
        self.nodes = {
            "/": Node(),
            "/h": Node(),
            "/h/a": Node(is_workspace=True),
            "/h/b": Node(is_workspace=True),
        }
        names = [f"lektor-{index}" for index in range(1, runners + 1)]
        entries = [HostEntry(name, "runner", "trnava", f"{name}:1") for name in names]
        self.do(0.0, HostListRead(HostList(1, entries)))
        self.put_tree()
        for name in names:
            self.report(0.0, name, slots=slots)

    def put_tree(self):
        self.view = TreeView(Tree(1, self.nodes))
        self.do(0.0, TreeChanged(self.view))

    def report(self, at, name, incarnation="one", slots=2):
        report = LoadReport(incarnation, "m", 1, slots, 0, 0, 8000.0, 60_000)
        return self.do(at, LoadReported(name, report))

    def workspace(self, path) -> Workspace:
        return resolve_workspace(self.view.tree, path)

    def arrive(self, at, request_id, path="/h/a", text=GUIDE, deadline=60.0, **fields):
        scope = Scope(path, "m")
        chain = build_chain(scope, text.encode(), block_bytes=64, bytes_per_token=4.0)
        fields.setdefault("is_repeatable", True)
        fields.setdefault("priority_class", "interactive")
        event = RequestArrived(
            request_id=request_id,
            workspace=self.workspace(path),
            deadline_seconds=at + deadline,
            chain=chain,
            scope=scope,
            max_answer_tokens=8,
            **fields,
        )
        return self.do(at, event)

    def do(self, at, event):
        actions = self.scheduler.handle(event, at)
        self.lines.append(f"{at:7.3f} > {describe_event(event)}")
        self.lines += [f"{at:7.3f} <   {describe_action(item)}" for item in actions]
        return actions

    def done(self, at, request_id, attempt=1, cached=0, prompt=580):
        attempt_id = f"{request_id}.{attempt}"
        self.do(at, AttemptDelivered(request_id, attempt_id))
        return self.do(at, AttemptDone(request_id, attempt_id, cached, prompt, 8))


def describe_event(event):
    """Return an event as one line of a golden file."""
    name = type(event).__name__
    parts = [
        str(getattr(event, field))
        for field in ("request_id", "attempt_id", "upstream", "name")
        if hasattr(event, field)
    ]
    if hasattr(event, "outcome"):
        parts.append(event.outcome.value)
    if hasattr(event, "workspace"):
        parts += [event.workspace.path, event.priority_class]
    return " ".join([name, *parts])


def describe_action(action):
    """Return an action as one line of a golden file."""
    if isinstance(action, Dispatch):
        choice = action.choice
        tokens = f"cached {choice.cached_tokens} missing {choice.missing_tokens}"
        return f"Dispatch {action.attempt_id} to {action.upstream} {tokens}"
    if isinstance(action, Refuse):
        after = action.retry_after_seconds
        back = "never" if after is None else f"{after:.1f}"
        run = action.run_state.name.lower()
        return f"Refuse {action.request_id} {action.reason} {run} back {back}"
    return f"CancelAttempt {action.attempt_id} at {action.upstream}"


class GoldenSessionTest(TestCase):
    @pytest.fixture(autouse=True)
    def take_snapshot(self, snapshot):
        self.snapshot = snapshot

    def check(self, session):
        self.assertTrue("\n".join(session.lines) == self.snapshot)

    def test_later_prompt_with_the_same_prefix_uses_its_runner(self):
        session = Session()
        session.arrive(1.0, "r1")
        session.done(1.2, "r1")
        session.arrive(2.0, "r2", text=GUIDE + "an item")
        session.done(2.1, "r2", cached=576)
        session.arrive(3.0, "r3", path="/h/b")
        self.check(session)

    def test_crash_fails_over_and_restart_ramps_up(self):
        session = Session(slots=8)
        for number in range(3):
            session.arrive(1.0, f"r{number}")
        upstream = session.scheduler.upstreams
        (busy,) = [item.name for item in upstream if item.own_attempts]
        for number in range(3):
            session.do(
                1.5,
                AttemptFailed(f"r{number}", f"r{number}.1", Outcome.BROKEN, "reset"),
            )
        for number in range(3):
            session.done(1.7, f"r{number}", attempt=2)
        session.do(1.8, ProbeFailed(busy, "refused"))
        session.report(2.2, busy, incarnation="two", slots=8)
        session.arrive(2.3, "r9", text="something quite different " * 60)
        self.check(session)

    def test_non_repeatable_request_is_not_retried(self):
        session = Session()
        session.arrive(1.0, "r1", is_repeatable=False)
        session.do(1.1, AttemptAccepted("r1", "r1.1"))
        session.do(1.2, AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset"))
        session.arrive(2.0, "r2", is_repeatable=False)
        session.do(2.1, AttemptFailed("r2", "r2.1", Outcome.BUSY, "429"))
        self.check(session)

    def test_passed_deadline_cancels_and_refuses(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "r1", deadline=3.0)
        session.arrive(1.0, "r2", deadline=1.0)
        session.arrive(1.0, "r3", deadline=30.0)
        session.do(2.0, Tick())
        session.do(4.0, Tick())
        session.do(4.1, AttemptDone("r1", "r1.1", 0, 580, 8))
        session.do(5.0, RequestCancelled("r3"))
        self.check(session)


class RulesTest(TestCase):
    def kinds(self, actions):
        return [type(action).__name__ for action in actions]

    def test_priority_classes_are_ordered(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "first")
        for number, name in enumerate(["batch", "interactive", "portal"]):
            session.arrive(1.1, f"{name}", priority_class=name, text=f"{number} " * 300)
        waiting = [item.request_id for item in session.scheduler.queue]
        self.assertEqual(["interactive", "batch"], waiting[-2:])

    def test_workspace_with_less_usage_goes_first(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "a1")
        session.arrive(1.0, "a2")
        session.arrive(1.0, "a3")
        session.arrive(1.0, "b1", path="/h/b")
        session.done(1.2, "a1")
        order = [line for line in session.lines if "Dispatch" in line]
        self.assertIn("b1", order[-1])

    def test_full_queue_refuses_the_workspace_with_the_longest_queue(self):
        session = Session(runners=1, slots=1, extra="[queue]\nmax_waiting_count = 3\n")
        for number in range(6):
            session.arrive(1.0, f"a{number}")
        (refused,) = [
            action
            for action in session.arrive(1.1, "b1", path="/h/b")
            if isinstance(action, Refuse)
        ]
        self.assertNotEqual("b1", refused.request_id)
        self.assertEqual("queue_full", refused.reason)
        self.assertEqual("NOT_SENT", refused.run_state.name)

    def test_running_limit_applies_to_a_subtree(self):
        session = Session(runners=2, slots=8)
        session.nodes["/h"] = Node(max_running_count=2)
        session.put_tree()
        actions = []
        for number in range(4):
            path = "/h/a" if number % 2 else "/h/b"
            actions += session.arrive(1.0, f"r{number}", path=path)
        self.assertEqual(["Dispatch"] * 2, self.kinds(actions))

    def test_token_limit_counts_usage_of_peers(self):
        session = Session(runners=2, slots=8)
        session.nodes["/h/a"] = Node(is_workspace=True, tokens_per_second=1000.0)
        session.put_tree()
        usage = [LimitUsage("/h/a", 20_000)]
        summary = Summary(1, 1, 1, False, [], [], [], limits=usage)
        session.do(20.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        (refused,) = session.arrive(20.0, "r1")
        self.assertEqual(("over_limit", "/h/a"), (refused.reason, refused.peer))
        self.assertEqual("NOT_SENT", refused.run_state.name)
        # Later the usage has left the window and the request is dispatched.
        summary = Summary(2, 1, 1, False, [], [], [])
        session.do(40.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertEqual(["Dispatch"], self.kinds(session.arrive(40.0, "r2")))

    def test_requests_of_peers_occupy_slots(self):
        session = Session(runners=1, slots=2)
        usage = [UpstreamUsage("lektor-1", "one/1", 3, 0)]
        summary = Summary(1, 1, 1, False, [], usage, [])
        session.do(1.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertEqual([], session.arrive(1.0, "r1"))
        other_incarnation = attrs.evolve(
            summary, sequence=2, upstreams=[UpstreamUsage("lektor-1", "old/1", 3, 0)]
        )
        actions = session.do(
            1.1, PeerSummaryReceived("entry-2", "trnava", 1, other_incarnation)
        )
        self.assertEqual(["Dispatch"], self.kinds(actions))

    def report_waiting(self, session, at, service):
        """Report from a peer a waiting workspace with less usage."""
        usage = [WorkspaceUsage("/h/a", 50_000)]
        waiting = [WaitingCount("/h/b", service, 100)]
        summary = Summary(1, 1, 1, False, usage, [], [], waiting=waiting)
        session.do(at, PeerSummaryReceived("entry-2", "trnava", 1, summary))

    def test_slots_are_reserved_for_requests_for_the_same_service(self):
        session = Session(runners=2, slots=8)
        self.report_waiting(session, 1.0, service="")
        self.assertEqual([], session.arrive(1.0, "r1"))

    def test_slots_are_not_reserved_for_requests_for_another_service(self):
        # On a large fleet, calls to a plain service with 18 of 24 slots free waited
        # for all of their 1.5 s, because prompts waited for engines at peers.
        session = Session(runners=2, slots=8)
        self.report_waiting(session, 1.0, service="portal")
        self.assertEqual(["Dispatch"], self.kinds(session.arrive(1.0, "r1")))

    def test_outdated_reports_of_waiting_requests_reserve_no_slots(self):
        session = Session(runners=2, slots=8)
        self.report_waiting(session, 1.0, service="")
        self.assertEqual([], session.arrive(1.2, "r1"))
        self.assertEqual(["Dispatch"], self.kinds(session.do(1.6, Tick())))

    def test_no_request_is_queued_behind_a_long_prefill(self):
        session = Session(runners=1, slots=8)
        self.assertEqual(1, len(session.arrive(1.0, "r1", text="x" * 40_000)))
        self.assertEqual([], session.arrive(1.0, "r2", text="y" * 4_000))
        actions = session.do(2.0, AttemptDelivered("r1", "r1.1"))
        self.assertEqual(["Dispatch"], self.kinds(actions))

    def test_unreachable_deadline_is_refused_immediately(self):
        session = Session(runners=1, slots=8)
        (action,) = session.arrive(1.0, "r1", text="x" * 400_000, deadline=2.0)
        self.assertEqual("deadline_unreachable", action.reason)
        self.assertIsNotNone(action.retry_after_seconds)

    def test_request_without_an_upstream_is_refused_after_a_while(self):
        session = Session(runners=0)
        session.arrive(1.0, "r1")
        self.assertEqual([], session.do(2.0, Tick()))
        (action,) = session.do(3.5, Tick())
        self.assertEqual(
            ("no_upstream", "NOT_SENT"), (action.reason, action.run_state.name)
        )

    def test_request_without_retry_budget_is_refused_within_its_target(self):
        # On a large fleet, a request refused by a runner that was loading weights
        # waited 3.7 s of its 4 s for retry budget while 34 runners were up.
        session = Session(
            extra="[retry]\nmax_saved_count = 0.0\nfloor_per_second = 0.0\n"
            "charges_refusals = true\n"
        )
        session.arrive(1.0, "r1", latency_target_seconds=0.6)
        session.do(1.1, AttemptFailed("r1", "r1.1", Outcome.MISDIRECTED, "421"))
        session.report(1.1, "lektor-1")
        session.report(1.1, "lektor-2")
        self.assertEqual([], session.do(1.2, Tick()))
        (action,) = session.do(1.3, Tick())
        self.assertEqual(
            ("no_retry_left", "REFUSED"), (action.reason, action.run_state.name)
        )
        self.assertIsNotNone(action.retry_after_seconds)

    def test_late_event_of_an_earlier_attempt_is_ignored(self):
        session = Session()
        session.arrive(1.0, "r1")
        session.do(1.1, AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset"))
        self.assertEqual([], session.do(1.2, AttemptDone("r1", "r1.1", 0, 580, 8)))
        lifecycle = session.scheduler.lifecycle("r1")
        assert lifecycle is not None
        self.assertFalse(lifecycle.has_ended)

    def test_retries_are_bounded_by_the_budget(self):
        budget = RetryBudget(0.1)
        while budget.spend(0.0):
            continue
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend(0.0)
        self.assertLessEqual(spent, 101)

    def retries_left_after(self, *events):
        """Return the change of the retry budget by a retry that ends with events."""
        session = Session()
        budget = session.scheduler.budgets.of("", 1)
        session.arrive(1.0, "r1")
        before = budget.balance
        session.do(1.1, AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset"))
        session.do(1.2, Tick())
        for event in events:
            session.do(1.3, event)
        return budget.balance - before

    def test_retry_is_charged_to_the_budget(self):
        self.assertEqual(-1.0, self.retries_left_after())

    def test_retry_that_reached_no_upstream_is_returned_to_the_budget(self):
        for event in (
            RequestCancelled("r1", may_have_arrived=False),
            AttemptFailed("r1", "r1.2", Outcome.UNSENT, "deadline"),
        ):
            self.assertEqual(0.0, self.retries_left_after(event), event)

    def test_retry_that_may_have_run_is_not_returned_to_the_budget(self):
        self.assertEqual(-1.0, self.retries_left_after(RequestCancelled("r1")))

    def test_empty_budget_refills_with_time(self):
        budget = RetryBudget(0.1)
        while budget.spend(0.0):
            continue
        self.assertFalse(budget.spend(0.5))
        self.assertTrue(budget.spend(5.0))

    def test_hot_prefix_is_spread_when_its_runner_is_full(self):
        session = Session(runners=2, slots=2)
        sent = []
        for number in range(4):
            actions = session.arrive(1.0 + number, f"r{number}")
            sent += [action.upstream for action in actions]
            session.do(1.5 + number, AttemptDelivered(f"r{number}", f"r{number}.1"))
        self.assertEqual(2, len(set(sent)))


class ProbeTimesTest(TestCase):
    """Probe times if upstreams are probed only on demand."""

    def setUp(self):
        super().setUp()
        self.session = Session(extra="[retry]\nprobe_interval_seconds = 0.0\n")
        self.table = self.session.scheduler.upstreams

    def probed(self, at):
        return [entry.name for entry in self.table.due_probes(at)]

    def test_healthy_upstreams_are_not_probed(self):
        self.assertEqual([], self.probed(1.0))
        self.assertEqual(math.inf, self.table.probe_delay(1.0))

    def test_upstream_that_is_down_is_probed_with_backoff(self):
        now = 10.0
        self.session.do(now, ProbeFailed("lektor-1", "timeout"))
        pauses = []
        for _ in range(8):
            self.assertEqual(["lektor-1"], self.probed(now))
            self.session.do(now, ProbeFailed("lektor-1", "timeout"))
            self.assertEqual([], self.probed(now))
            pauses.append(self.table.probe_delay(now))
            now += pauses[-1] + 1e-6
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], 1.0)
        self.assertEqual(2.0, pauses[-1])


class DownReportsTest(TestCase):
    """Reports of upstreams that are down, sent to and received from peers.

    On a large fleet, hosts with a slow link reported one runner after another as down,
    and all 78 hosts probed each of them repeatedly: 29,704 probes in a day.
    """

    def setUp(self):
        super().setUp()
        self.session = Session(runners=4)
        self.scheduler = self.session.scheduler

    def reported_down(self, at):
        return self.scheduler.summary(1, 1, False, at).down

    def fail(self, name, *times):
        for at in times:
            self.session.do(at, ProbeFailed(name, "timeout"))

    def test_upstream_is_reported_after_its_second_failure(self):
        self.fail("lektor-1", 1.0)
        self.assertEqual([], self.reported_down(1.1))
        self.fail("lektor-1", 1.3)
        self.assertEqual(["lektor-1"], self.reported_down(1.4))

    def test_upstream_that_keeps_failing_is_reported_only_briefly(self):
        self.fail("lektor-1", 1.0, 1.3, 2.0, 2.9)
        self.assertEqual([], self.reported_down(3.0))

    def test_host_that_reaches_few_upstreams_reports_none(self):
        for name in ("lektor-1", "lektor-2", "lektor-3"):
            self.fail(name, 1.0, 1.3)
        self.assertEqual([], self.reported_down(1.4))

    def receive_down_report(self, at):
        summary = Summary(1, 1, 1, False, [], [], [], ["lektor-1"])
        self.session.do(at, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        return self.scheduler.upstreams.get("lektor-1").is_suspected

    def test_report_of_a_peer_makes_an_upstream_suspected(self):
        self.assertTrue(self.receive_down_report(5.0))

    def test_report_of_most_upstreams_is_ignored(self):
        # A relay merges the reports of its hosts, each of which may name few upstreams.
        # By such a report all 90 hosts suspected all 49 upstreams, five times in 18 s
        # (40 log lines "upstream is suspected" within a millisecond). No request was
        # sent until 4,400 probes had been answered.
        names = ["lektor-1", "lektor-2", "lektor-3"]
        summary = Summary(1, 1, 1, False, [], [], [], names)
        self.session.do(5.0, PeerSummaryReceived("fleet", "", 1, summary))
        suspected = [
            item.name for item in self.scheduler.upstreams if item.is_suspected
        ]
        self.assertEqual([], suspected)
        fewer = attrs.evolve(summary, sequence=2, down=names[:2])
        self.session.do(5.3, PeerSummaryReceived("fleet", "", 1, fewer))
        suspected = [
            item.name for item in self.scheduler.upstreams if item.is_suspected
        ]
        self.assertEqual(names[:2], suspected)

    def test_report_of_a_peer_is_ignored_right_after_an_answer(self):
        (sent,) = self.session.arrive(4.8, "r1")
        self.session.do(4.9, AttemptDelivered("r1", "r1.1"))
        chosen = self.scheduler.upstreams.get(sent.upstream)
        self.assertTrue(chosen.has_answered_recently(5.0))
        summary = Summary(1, 1, 1, False, [], [], [], [sent.upstream])
        self.session.do(5.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertFalse(chosen.is_suspected)
        later = attrs.evolve(summary, sequence=2)
        self.session.do(5.6, PeerSummaryReceived("entry-2", "trnava", 1, later))
        self.assertTrue(chosen.is_suspected)


class IdleConnectionTest(TestCase):
    """An idle connection decides between otherwise equal runners."""

    def setUp(self):
        super().setUp()
        self.session = Session(extra="[placement]\nconnect_price_seconds = 10.0\n")
        # Two prompts whose preferred runners differ.
        prompts_by_runner = {}
        for number in range(50):
            text = f"prompt {number} " * 10
            (sent,) = self.session.arrive(1.0, f"home-{number}", text=text)
            prompts_by_runner.setdefault(sent.upstream, text)
            self.session.do(1.0, RequestCancelled(f"home-{number}"))
        (self.first, self.text), (self.second, self.other) = prompts_by_runner.items()

    def answer(self, at, idle_seconds):
        self.session.arrive(at, "kept", text=self.text)
        done = AttemptDone("kept", "kept.1", 0, 580, 8, idle_seconds)
        self.session.do(at, AttemptDelivered("kept", "kept.1"))
        self.session.do(at, done)

    def runner_of_other(self, at):
        (sent,) = self.session.arrive(at, "other", text=self.other)
        return sent.upstream

    def test_runner_with_an_idle_connection_is_chosen(self):
        self.answer(2.0, idle_seconds=4.0)
        self.assertEqual(self.first, self.runner_of_other(5.0))

    def test_expired_idle_connection_is_ignored(self):
        self.answer(2.0, idle_seconds=4.0)
        self.assertEqual(self.second, self.runner_of_other(7.0))

    def test_closed_connection_is_ignored(self):
        self.answer(2.0, idle_seconds=0.0)
        self.assertEqual(self.second, self.runner_of_other(3.0))

    def test_connection_in_use_is_ignored(self):
        self.answer(2.0, idle_seconds=4.0)
        self.session.arrive(2.5, "busy", text=self.text)
        self.assertEqual(self.second, self.runner_of_other(3.0))
