"""Whole sessions of the scheduler as golden files, and its rules one by one."""

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
    TreeInForce,
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
    """A scheduler with runners, and a log of what it was told and answered."""

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
        self.do(0.0, TreeInForce(self.view))

    def report(self, at, name, life="one", slots=2):
        report = LoadReport(life, "m", 1, slots, 0, 0, 8000.0, 60_000)
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
        held = f"cached {choice.cached_tokens} missing {choice.missing_tokens}"
        return f"Dispatch {action.attempt_id} to {action.upstream} {held}"
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

    def test_a_guide_finds_its_runner_again(self):
        session = Session()
        session.arrive(1.0, "r1")
        session.done(1.2, "r1")
        session.arrive(2.0, "r2", text=GUIDE + "an item")
        session.done(2.1, "r2", cached=576)
        session.arrive(3.0, "r3", path="/h/b")
        self.check(session)

    def test_a_crash_fails_over_and_comes_back_on_a_ramp(self):
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
        session.report(2.2, busy, life="two", slots=8)
        session.arrive(2.3, "r9", text="something quite different " * 60)
        self.check(session)

    def test_a_marked_request_is_not_repeated(self):
        session = Session()
        session.arrive(1.0, "r1", is_repeatable=False)
        session.do(1.1, AttemptAccepted("r1", "r1.1"))
        session.do(1.2, AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset"))
        session.arrive(2.0, "r2", is_repeatable=False)
        session.do(2.1, AttemptFailed("r2", "r2.1", Outcome.BUSY, "429"))
        self.check(session)

    def test_deadlines_cancel_and_answer_at_once(self):
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

    def test_classes_go_before_each_other_and_shares_within(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "first")
        for number, name in enumerate(["batch", "interactive", "portal"]):
            session.arrive(1.1, f"{name}", priority_class=name, text=f"{number} " * 300)
        waiting = [item.request_id for item in session.scheduler.queue]
        self.assertEqual(["interactive", "batch"], waiting[-2:])

    def test_used_less_goes_first(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "a1")
        session.arrive(1.0, "a2")
        session.arrive(1.0, "a3")
        session.arrive(1.0, "b1", path="/h/b")
        session.done(1.2, "a1")
        order = [line for line in session.lines if "Dispatch" in line]
        self.assertIn("b1", order[-1])

    def test_full_queue_refuses_whoever_fills_it_most(self):
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

    def test_limit_on_running_holds_a_subtree(self):
        session = Session(runners=2, slots=8)
        session.nodes["/h"] = Node(max_running_count=2)
        session.put_tree()
        actions = []
        for number in range(4):
            path = "/h/a" if number % 2 else "/h/b"
            actions += session.arrive(1.0, f"r{number}", path=path)
        self.assertEqual(["Dispatch"] * 2, self.kinds(actions))

    def test_limit_on_tokens_counts_what_peers_sent(self):
        session = Session(runners=2, slots=8)
        session.nodes["/h/a"] = Node(is_workspace=True, tokens_per_second=1000.0)
        session.put_tree()
        usage = [LimitUsage("/h/a", 20_000)]
        summary = Summary(1, 1, 1, False, [], [], [], limits=usage)
        session.do(20.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        (refused,) = session.arrive(20.0, "r1")
        self.assertEqual(("over_limit", "/h/a"), (refused.reason, refused.peer))
        self.assertEqual("NOT_SENT", refused.run_state.name)
        # After a while the use has left the window and the request may go.
        summary = Summary(2, 1, 1, False, [], [], [])
        session.do(40.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertEqual(["Dispatch"], self.kinds(session.arrive(40.0, "r2")))

    def test_peers_work_counts_against_the_slots(self):
        session = Session(runners=1, slots=2)
        usage = [UpstreamUsage("lektor-1", "one/1", 3, 0)]
        summary = Summary(1, 1, 1, False, [], usage, [])
        session.do(1.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertEqual([], session.arrive(1.0, "r1"))
        other_life = attrs.evolve(
            summary, sequence=2, upstreams=[UpstreamUsage("lektor-1", "old/1", 3, 0)]
        )
        actions = session.do(
            1.1, PeerSummaryReceived("entry-2", "trnava", 1, other_life)
        )
        self.assertEqual(["Dispatch"], self.kinds(actions))

    def hear_of_waiting(self, session, at, service):
        """Have a peer say that a workspace that used less waits for a service."""
        usage = [WorkspaceUsage("/h/a", 50_000)]
        waiting = [WaitingCount("/h/b", service, 100)]
        summary = Summary(1, 1, 1, False, usage, [], [], waiting=waiting)
        session.do(at, PeerSummaryReceived("entry-2", "trnava", 1, summary))

    def test_slots_are_left_to_those_who_wait_for_the_same_service(self):
        session = Session(runners=2, slots=8)
        self.hear_of_waiting(session, 1.0, service="")
        self.assertEqual([], session.arrive(1.0, "r1"))

    def test_slots_are_not_left_to_those_who_wait_for_another_service(self):
        # Seen on a grown fleet: calls to a plain service with 18 of 24 slots free
        # waited for their whole 1.5 s, since prompts waited for engines elsewhere.
        session = Session(runners=2, slots=8)
        self.hear_of_waiting(session, 1.0, service="portal")
        self.assertEqual(["Dispatch"], self.kinds(session.arrive(1.0, "r1")))

    def test_slots_are_not_left_to_those_who_waited_some_time_ago(self):
        session = Session(runners=2, slots=8)
        self.hear_of_waiting(session, 1.0, service="")
        self.assertEqual([], session.arrive(1.2, "r1"))
        self.assertEqual(["Dispatch"], self.kinds(session.do(1.6, Tick())))

    def test_long_prefill_is_not_queued_behind(self):
        session = Session(runners=1, slots=8)
        self.assertEqual(1, len(session.arrive(1.0, "r1", text="x" * 40_000)))
        self.assertEqual([], session.arrive(1.0, "r2", text="y" * 4_000))
        actions = session.do(2.0, AttemptDelivered("r1", "r1.1"))
        self.assertEqual(["Dispatch"], self.kinds(actions))

    def test_answer_that_can_not_begin_in_time_is_refused_at_once(self):
        session = Session(runners=1, slots=8)
        (action,) = session.arrive(1.0, "r1", text="x" * 400_000, deadline=2.0)
        self.assertEqual("deadline_unreachable", action.reason)
        self.assertIsNotNone(action.retry_after_seconds)

    def test_nothing_waits_for_ever_without_an_upstream(self):
        session = Session(runners=0)
        session.arrive(1.0, "r1")
        self.assertEqual([], session.do(2.0, Tick()))
        (action,) = session.do(3.5, Tick())
        self.assertEqual(
            ("no_upstream", "NOT_SENT"), (action.reason, action.run_state.name)
        )

    def test_nothing_is_held_for_a_retry_that_the_fleet_has_not(self):
        # Seen on a grown fleet: a request that a loading runner had turned away
        # waited 3.7 s of its 4 for the budget, beside 34 runners that were up.
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

    def test_late_news_of_an_older_attempt_changes_nothing(self):
        session = Session()
        session.arrive(1.0, "r1")
        session.do(1.1, AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset"))
        self.assertEqual([], session.do(1.2, AttemptDone("r1", "r1.1", 0, 580, 8)))
        lifecycle = session.scheduler.lifecycle("r1")
        assert lifecycle is not None
        self.assertFalse(lifecycle.has_ended)

    def test_retries_stay_within_the_budget(self):
        budget = RetryBudget(0.1)
        while budget.spend(0.0):
            continue
        spent = 0
        for _ in range(1000):
            budget.earn()
            spent += budget.spend(0.0)
        self.assertLessEqual(spent, 101)

    def test_an_empty_budget_earns_slowly_by_time(self):
        budget = RetryBudget(0.1)
        while budget.spend(0.0):
            continue
        self.assertFalse(budget.spend(0.5))
        self.assertTrue(budget.spend(5.0))

    def test_hot_prefix_spreads_when_its_runner_is_full(self):
        session = Session(runners=2, slots=2)
        sent = []
        for number in range(4):
            actions = session.arrive(1.0 + number, f"r{number}")
            sent += [action.upstream for action in actions]
            session.do(1.5 + number, AttemptDelivered(f"r{number}", f"r{number}.1"))
        self.assertEqual(2, len(set(sent)))


class ProbeTimesTest(TestCase):
    """When upstreams are asked how they are, where they are asked by need only."""

    def setUp(self):
        super().setUp()
        self.session = Session(extra="[retry]\nprobe_interval_seconds = 0.0\n")
        self.table = self.session.scheduler.upstreams

    def probed(self, at):
        return [entry.name for entry in self.table.due_probes(at)]

    def test_nobody_is_asked_while_all_are_well(self):
        self.assertEqual([], self.probed(1.0))
        self.assertEqual(math.inf, self.table.probe_delay(1.0))

    def test_one_that_is_down_is_asked_less_and_less_often(self):
        now = 10.0
        self.session.do(now, ProbeFailed("lektor-1", "silent"))
        pauses = []
        for _ in range(8):
            self.assertEqual(["lektor-1"], self.probed(now))
            self.session.do(now, ProbeFailed("lektor-1", "silent"))
            self.assertEqual([], self.probed(now))
            pauses.append(self.table.probe_delay(now))
            now += pauses[-1] + 1e-6
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[0], 1.0)
        self.assertEqual(2.0, pauses[-1])


class DownNewsTest(TestCase):
    """What hosts tell each other of upstreams that are down, and what they make of it.

    Seen on a grown fleet: hosts with a slow link told of one runner after another, and
    all 78 hosts asked each of them again and again: 29,704 probes in a day.
    """

    def setUp(self):
        super().setUp()
        self.session = Session(runners=4)
        self.scheduler = self.session.scheduler

    def told(self, at):
        return self.scheduler.summary(1, 1, False, at).down

    def fail(self, name, *times):
        for at in times:
            self.session.do(at, ProbeFailed(name, "silent"))

    def test_one_failure_is_no_news_a_second_is(self):
        self.fail("lektor-1", 1.0)
        self.assertEqual([], self.told(1.1))
        self.fail("lektor-1", 1.3)
        self.assertEqual(["lektor-1"], self.told(1.4))

    def test_it_is_news_for_a_moment_only_however_often_it_fails(self):
        self.fail("lektor-1", 1.0, 1.3, 2.0, 2.9)
        self.assertEqual([], self.told(3.0))

    def test_a_host_that_reaches_few_upstreams_tells_of_none(self):
        for name in ("lektor-1", "lektor-2", "lektor-3"):
            self.fail(name, 1.0, 1.3)
        self.assertEqual([], self.told(1.4))

    def hear_down(self, at):
        summary = Summary(1, 1, 1, False, [], [], [], ["lektor-1"])
        self.session.do(at, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        return self.scheduler.upstreams.get("lektor-1").is_suspected

    def test_a_peers_word_has_an_upstream_asked(self):
        self.assertTrue(self.hear_down(5.0))

    def test_a_word_that_names_most_upstreams_says_more_of_who_found_them(self):
        # A relay puts together what each of its hosts found, one here and one there.
        # All 90 hosts suspected all 49 upstreams by such a word ("beliefs: upstream is
        # suspected ... a peer says so", 40 lines within a millisecond), five times in
        # 18 s: nothing was sent until 4,400 probes had come back.
        names = ["lektor-1", "lektor-2", "lektor-3"]
        summary = Summary(1, 1, 1, False, [], [], [], names)
        self.session.do(5.0, PeerSummaryReceived("fleet", "", 1, summary))
        suspected = [
            item.name for item in self.scheduler.upstreams if item.is_suspected
        ]
        self.assertEqual([], suspected)
        few = attrs.evolve(summary, sequence=2, down=names[:2])
        self.session.do(5.3, PeerSummaryReceived("fleet", "", 1, few))
        suspected = [
            item.name for item in self.scheduler.upstreams if item.is_suspected
        ]
        self.assertEqual(names[:2], suspected)

    def test_a_peers_word_counts_little_right_after_an_answer(self):
        (sent,) = self.session.arrive(4.8, "r1")
        self.session.do(4.9, AttemptDelivered("r1", "r1.1"))
        known = self.scheduler.upstreams.get(sent.upstream)
        self.assertTrue(known.has_answered_recently(5.0))
        summary = Summary(1, 1, 1, False, [], [], [], [sent.upstream])
        self.session.do(5.0, PeerSummaryReceived("entry-2", "trnava", 1, summary))
        self.assertFalse(known.is_suspected)
        later = attrs.evolve(summary, sequence=2)
        self.session.do(5.6, PeerSummaryReceived("entry-2", "trnava", 1, later))
        self.assertTrue(known.is_suspected)


class KeptConnectionTest(TestCase):
    """A kept connection decides between runners that are equal otherwise."""

    def setUp(self):
        super().setUp()
        self.session = Session(extra="[placement]\nconnect_price_seconds = 10.0\n")
        # Two prompts that would go to different runners.
        homes = {}
        for number in range(50):
            text = f"prompt {number} " * 10
            (sent,) = self.session.arrive(1.0, f"home-{number}", text=text)
            homes.setdefault(sent.upstream, text)
            self.session.do(1.0, RequestCancelled(f"home-{number}"))
        (self.first, self.text), (self.second, self.other) = homes.items()

    def answer(self, at, rest_seconds):
        self.session.arrive(at, "kept", text=self.text)
        done = AttemptDone("kept", "kept.1", 0, 580, 8, rest_seconds)
        self.session.do(at, AttemptDelivered("kept", "kept.1"))
        self.session.do(at, done)

    def home_of_other(self, at):
        (sent,) = self.session.arrive(at, "other", text=self.other)
        return sent.upstream

    def test_the_runner_with_a_resting_connection_is_chosen(self):
        self.answer(2.0, rest_seconds=4.0)
        self.assertEqual(self.first, self.home_of_other(5.0))

    def test_a_connection_that_rested_too_long_counts_no_more(self):
        self.answer(2.0, rest_seconds=4.0)
        self.assertEqual(self.second, self.home_of_other(7.0))

    def test_a_connection_that_was_closed_counts_not_at_all(self):
        self.answer(2.0, rest_seconds=0.0)
        self.assertEqual(self.second, self.home_of_other(3.0))

    def test_a_connection_in_use_counts_no_more(self):
        self.answer(2.0, rest_seconds=4.0)
        self.session.arrive(2.5, "busy", text=self.text)
        self.assertEqual(self.second, self.home_of_other(3.0))
