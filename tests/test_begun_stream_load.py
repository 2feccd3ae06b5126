"""Streams that callers take up, while their version's upstreams are in demand."""

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
    Refuse,
    RequestArrived,
    Scheduler,
    Scope,
    TreeChanged,
    TreeView,
    build_chain,
    stream_key,
)
from rampwick_policy._software_versions import (
    RECORDED,
    SoftwareVersions,
    is_same_version,
)
from rampwick_policy._timeliness import is_due
from rampwick_policy._tree import resolve_workspace
from rampwick_policy._version_history import VersionHistory
from rampwick_schema import (
    HostEntry,
    HostList,
    LoadReport,
    Node,
    Tree,
    parse_settings,
)

VERSIONS = {"a1": "v1", "a2": "v1", "b1": "v2", "b2": "v2", "b3": "v2"}
SLOTS = 2


class Fleet:
    """One host before runners of two versions."""

    def __init__(self):
        settings = parse_settings(
            '[host]\nname = "entry-1"\nhall = "trnava"\n', source="test"
        )
        self.scheduler = Scheduler(settings, has_software_versions=True)
        self.versions = dict(VERSIONS)
        self.running = {}
        self.refused = []
        self.list_version = 0
        self.put_list(0.0)
        tree = Tree(1, {"/": Node(), "/w": Node(is_workspace=True)})
        self.view = TreeView(tree)
        self.do(0.0, TreeChanged(self.view))
        for name in VERSIONS:
            report = LoadReport("one", "m", 1, SLOTS, 0, 0, 8000.0, 60_000)
            self.do(0.0, LoadReported(name, report))

    def put_list(self, at, leaving=()):
        self.list_version += 1
        entries = [
            HostEntry(
                name,
                "runner",
                "trnava",
                f"{name}:1",
                state="leaving" if name in leaving else "live",
                group="notes",
                software_version=version,
            )
            for name, version in self.versions.items()
        ]
        self.do(at, HostListRead(HostList(self.list_version, entries)))

    def do(self, at, event):
        for action in self.scheduler.handle(event, at):
            if isinstance(action, Dispatch):
                self.running[action.request_id] = action
            elif isinstance(action, Refuse):
                self.refused.append((action.request_id, action.reason))

    def arrive(self, at, request_id, resumes=""):
        scope = Scope("/w", "m")
        text = f"prompt of {request_id}".encode()
        event = RequestArrived(
            request_id=request_id,
            workspace=resolve_workspace(self.view.tree, "/w"),
            priority_class="interactive",
            deadline_seconds=at + 60.0,
            is_repeatable=True,
            is_resumable=True,
            is_stream=True,
            service="notes",
            chain=build_chain(scope, text, block_bytes=64, bytes_per_token=4.0),
            scope=scope,
            max_answer_tokens=8,
            max_attempts_count=3,
            stream_key=stream_key("/w", request_id),
            resumed_key=stream_key("/w", resumes) if resumes else b"",
            is_resumption=bool(resumes),
            max_stream_age_seconds=60.0,
            received_at_seconds=at,
        )
        self.do(at, event)

    def finish(self, at, name):
        """Complete the oldest request at a runner."""
        for request_id, dispatch in self.running.items():
            if dispatch.upstream == name:
                del self.running[request_id]
                attempt_id = dispatch.attempt_id
                self.do(at, AttemptAccepted(request_id, attempt_id))
                self.do(at, AttemptDelivered(request_id, attempt_id))
                self.do(at, AttemptDone(request_id, attempt_id, 0, 8, 8))
                return

    def begin(self, at, count):
        """Let streams begin at v1 and lose their callers."""
        ids = []
        for number in range(10 * count):
            self.arrive(at, f"old{number}")
            dispatch = self.running.pop(f"old{number}")
            request_id, attempt_id = dispatch.request_id, dispatch.attempt_id
            self.do(at, AttemptDelivered(request_id, attempt_id))
            self.do(at, AttemptDone(request_id, attempt_id, 0, 8, 8))
            if VERSIONS[dispatch.upstream] == "v1" and len(ids) < count:
                ids.append(request_id)
        return ids


class OverloadTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet()
        self.begun = self.fleet.begin(1.0, 12)
        self.assertEqual(12, len(self.begun))

    def share(self, prefix, sent):
        started = {name for name in sent if name.startswith(prefix)}
        return len(started)

    def test_streams_that_are_taken_up_precede_new_ones(self):
        for number in range(60):
            self.fleet.arrive(2.0, f"new{number}")
        waiting_since = len(self.fleet.running)
        for request_id in self.begun:
            self.fleet.arrive(2.1, f"again-{request_id}", resumes=request_id)
        # A runner takes one more than its slots, so that its version is not kept busy.
        again = [name for name in self.fleet.running if name.startswith("again")]
        self.assertNotEqual([], again)
        sent = set(self.fleet.running)
        for step in range(6):
            for name in VERSIONS:
                self.fleet.finish(2.2 + step / 10, name)
                sent |= set(self.fleet.running)
        self.assertEqual(12, self.share("again", sent))
        self.assertLess(self.share("new", sent), 60)
        self.assertGreater(self.share("new", sent), waiting_since)
        self.assertEqual([], self.fleet.refused)
        found = self.fleet.scheduler.software_versions.resumed_counts
        self.assertEqual({RECORDED: 12}, dict(found))

    def test_streams_go_on_while_runners_of_their_version_leave(self):
        self.fleet.versions |= {"a3": "v1", "a4": "v1"}
        self.fleet.put_list(1.5)
        self.fleet.put_list(2.0, leaving=("a3", "a4"))
        for request_id in self.begun:
            self.fleet.arrive(2.1, f"again-{request_id}", resumes=request_id)
        for step in range(6):
            for name in VERSIONS:
                self.fleet.finish(2.2 + step / 10, name)
        self.assertEqual([], self.fleet.refused)
        self.assertEqual(0, len(self.fleet.scheduler.queue))

    def test_waiting_streams_do_not_hide_requests_that_others_can_serve(self):
        for name in ("a1", "a2"):
            self.fleet.scheduler.upstreams.get(name).is_suspected = True
        for request_id in self.begun:
            self.fleet.arrive(2.0, f"again-{request_id}", resumes=request_id)
        self.fleet.arrive(2.1, "new")
        self.assertEqual({"new"}, set(self.fleet.running))

    def test_claim_of_the_caller_alone_gives_no_precedence(self):
        fleet = Fleet()
        fleet.versions = dict.fromkeys(VERSIONS, "v1")
        fleet.put_list(0.5)
        history = fleet.scheduler.software_versions.history
        history.list_age_seconds = lambda now_seconds: 0.0
        history._seen_at.clear()
        for number in range(20):
            fleet.arrive(90.0, f"new{number}")
        fleet.arrive(90.1, "claim", resumes="nothing")
        self.assertEqual([], fleet.refused)
        self.assertNotIn("claim", fleet.running)
        self.assertEqual("claim", list(fleet.scheduler.queue)[-1].request_id)

    def test_broken_stream_goes_on_at_its_version_first(self):
        self.fleet.arrive(2.0, "one")
        dispatch = self.fleet.running.pop("one")
        attempt_id = dispatch.attempt_id
        self.fleet.do(2.1, AttemptDelivered("one", attempt_id))
        failed = AttemptFailed("one", attempt_id, Outcome.BROKEN, "cut")
        self.fleet.do(2.2, failed)
        again = self.fleet.running["one"]
        self.assertEqual(VERSIONS[dispatch.upstream], VERSIONS[again.upstream])
        self.assertNotEqual(dispatch.upstream, again.upstream)

    def test_broken_stream_is_due_however_late_it_is(self):
        self.fleet.arrive(2.0, "one")
        dispatch = self.fleet.running.pop("one")
        (item,) = self.fleet.scheduler._requests
        self.assertFalse(is_due(item, 50.0))
        self.fleet.do(2.1, AttemptDelivered("one", dispatch.attempt_id))
        self.assertTrue(is_due(item, 50.0))


class SoftwareVersionsTest(TestCase):
    def test_listed_versions_are_recorded_only_if_entries_state_them(self):
        upstreams = Fleet().scheduler.upstreams
        for is_enabled, versions in ((True, ["v1", "v2"]), (False, [])):
            software_versions = SoftwareVersions(upstreams, is_enabled=is_enabled)
            software_versions.note_listed(1.0)
            ages = software_versions.history.ages(1.0)
            self.assertEqual(versions, sorted(version for _, version, _ in ages))

    def test_new_peer_knows_versions_that_left_before_its_first_list(self):
        upstreams = Fleet().scheduler.upstreams
        own = SoftwareVersions(upstreams, is_enabled=True)
        peer = VersionHistory()
        for history in (own.history, peer):
            history.list_age_seconds = lambda now_seconds: 0.5
        own.note_listed(1.0)
        # The list stays the same for long.
        state = own.streams.initial_state(300.0)
        peer.receive(state.listed, state.known_seconds, 300.0)
        (service,) = {upstream.entry.group for upstream in upstreams}
        left = [item for item in upstreams if item.entry.software_version == "v2"]
        peer.note_listed(left, 300.1)
        self.assertIsNone(peer.only_version(service, left, 10.0, 300.2))

    def test_upstream_without_a_version_is_the_same_as_none(self):
        fleet = Fleet()
        fleet.versions["c1"] = ""
        fleet.put_list(1.0)
        for name, version in fleet.versions.items():
            upstream = fleet.scheduler.upstreams.get(name)
            self.assertFalse(is_same_version(upstream, ""))
            self.assertEqual(version == "v1", is_same_version(upstream, "v1"))
