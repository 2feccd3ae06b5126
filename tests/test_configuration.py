"""An accepted configuration is applied by all hosts within seconds, without reverts."""

from unittest import mock

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import (
    HttpObjectApi,
    OutcomeUnknownError,
    PlatformError,
    TreeStore,
)
from rampwick_policy import (
    ConfigurationFollower,
    ConflictError,
    TreeError,
    TreeVersion,
    TreeView,
    apply_change,
    deleted,
    empty_tree,
    lineage,
    moved,
    validate_written_tree,
)
from rampwick_schema import Change, Node, NodeEdit, Tree
from rampwick_standin import ObjectStore, PlatformFaults

from .bench import until
from .case import ScenarioCase
from .fakes import FakeApi
from .history import ObservedRevision, check_revisions


def set_weight(path, weight):
    """Return a function whose edits set the weight of a node."""

    def edits(tree):
        return [NodeEdit(path, Node(weight=weight))]

    return edits


class ProposeTest(TestCase):
    def propose(self, api, edits, base=None):
        async def run():
            return await TreeStore(api).propose(
                edits, author="a", base_revision=base, now_seconds=0.0
            )

        return anyio.run(run)

    def test_lost_answer_of_an_effective_write_counts_as_accepted(self):
        api = FakeApi()
        api.lose_answers = 1
        change = self.propose(api, set_weight("/a", 2.0))
        self.assertEqual(1, change.revision)
        self.assertEqual(1, len(api.store.log))

    def test_lost_write_is_retried_once_the_loss_is_confirmed(self):
        api = FakeApi()
        api.lose_writes = 2
        self.assertEqual(1, self.propose(api, set_weight("/a", 2.0)).revision)
        self.assertEqual(1, len(api.store.log))

    def test_concurrent_edit_conflict_names_the_other_change(self):
        api = FakeApi()

        async def other_writes():
            await TreeStore(api).propose(
                set_weight("/b", 1.0),
                author="olga",
                base_revision=None,
                now_seconds=0.0,
            )

        api.before_put = other_writes
        error = self.assertRaises(
            ConflictError, self.propose, api, set_weight("/a", 2.0)
        )
        self.assertIn("olga changed /b", str(error))
        tree = anyio.run(TreeStore(api).load).tree
        self.assertEqual({"/", "/b"}, set(tree.nodes))

    def test_store_that_ignores_conditions_is_detected(self):
        api = FakeApi()

        put = ObjectStore.put

        def put_anyway(self, key, value, expected_version):
            found = self.items.get(key)
            return put(self, key, value, found.version if found else 0)

        async def other_writes():
            await TreeStore(api).propose(
                set_weight("/b", 1.0),
                author="olga",
                base_revision=None,
                now_seconds=0.0,
            )

        api.before_put = other_writes
        with mock.patch.object(ObjectStore, "put", put_anyway):
            self.propose(api, set_weight("/a", 2.0))
        tree = anyio.run(TreeStore(api).load).tree
        self.assertNotIn("/b", tree.nodes)

    def test_edit_from_an_older_view_of_the_node_is_refused(self):
        api = FakeApi()
        self.propose(api, set_weight("/a", 1.0))
        self.propose(api, set_weight("/a", 2.0))
        self.assertRaises(
            ConflictError, self.propose, api, set_weight("/a", 3.0), base=1
        )
        self.propose(api, set_weight("/b", 3.0), base=1)

    def test_invalid_tree_is_never_accepted(self):
        api = FakeApi()
        self.assertRaises(TreeError, self.propose, api, set_weight("/a/b", 1.0))
        self.assertEqual([], api.store.log)

    def test_deletion_is_read_back_from_the_platform(self):
        api = FakeApi()
        self.propose(api, set_weight("/a", 2.0))
        self.propose(api, lambda tree: deleted(tree, "/a"))
        tree = anyio.run(TreeStore(api).load).tree
        self.assertEqual((2, {"/"}), (tree.revision, set(tree.nodes)))

    def test_snapshot_replaces_reading_the_log(self):
        api = FakeApi()
        for number in range(33):
            self.propose(api, set_weight("/a", number + 1.0))
        tree = anyio.run(TreeStore(api).load).tree
        self.assertEqual((33, 33.0), (tree.revision, tree.nodes["/a"].weight))
        self.assertIsNotNone(api.store.get("config/snapshot"))


class InForceTest(ScenarioCase):
    def test_change_reaches_all_hosts_including_one_cut_off(self):
        async def scenario(bench):
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
                bench.run_host("entry-3") as three,
            ):
                hosts = [one, two, three]
                for host in hosts:
                    await until(lambda host=host: host.daemon.follower.revision == 1)
                # The third host is cut off from the platform, but not from its peers.
                third = three.daemon._configuration
                await until(lambda: len(live_peers_of(three)) == 2)
                with mock.patch.object(third.source, "_store", CutOffStore()):
                    await until(lambda: third.problem)
                    await bench.edit(set_weight("/new", 2.0))
                    for host in hosts:
                        await until(
                            lambda host=host: host.daemon.follower.revision == 2
                        )
                    return three.daemon.follower.source

        self.assertEqual("peer", self.run_scenario(scenario))

    def test_change_reaches_all_hosts_if_the_platform_fails_after_accepting(self):
        async def scenario(bench):
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                for host in (one, two):
                    await until(lambda host=host: host.daemon.follower.revision == 1)
                await bench.edit(set_weight("/new", 2.0))
                await until(
                    lambda: (
                        max(one.daemon.follower.revision, two.daemon.follower.revision)
                        == 2
                    )
                )
                bench.platform.set_faults(PlatformFaults(is_down=True))
                for host in (one, two):
                    await until(lambda host=host: host.daemon.follower.revision == 2)

        self.run_scenario(scenario)

    def observe_stale(self):
        """Return the revisions of a host while the platform returns old states."""

        async def scenario(bench):
            observations = []
            async with bench.run_host("entry-1") as host:
                follower = host.daemon.follower
                await until(lambda: follower.revision == 1)
                bench.platform.set_faults(PlatformFaults(is_stale=True))
                await write_change_directly(bench)
                bench.platform.set_faults(PlatformFaults())
                await until(lambda: follower.revision == 2)
                observations.append(ObservedRevision("entry-1", follower.revision))
                # From here on, the platform returns an old state repeatedly.
                bench.platform._stale_store = ObjectStore()
                bench.platform.faults = PlatformFaults(is_stale=True)
                for _ in range(3):
                    task = host.daemon._configuration
                    await task.source._load(task)
                    observations.append(ObservedRevision("entry-1", follower.revision))
            return observations

        return self.run_scenario(scenario)

    def test_old_answer_after_a_newer_one_changes_nothing(self):
        self.assert_holds(check_revisions(self.observe_stale()))

    def test_follower_that_applies_any_answer_is_detected(self):
        def offer_tree(self, tree, source):
            self.view = TreeView(tree)
            self._head = tree
            return True

        async def load_all(self, base=None):
            return await load(self, None)

        load = TreeStore.load
        with (
            mock.patch.object(ConfigurationFollower, "offer_tree", offer_tree),
            mock.patch.object(TreeStore, "load", load_all),
        ):
            found = []
            try:
                found = check_revisions(self.observe_stale())
            except BaseException:
                found = ["the host did not reach revision 2"]
        self.assertNotEqual([], found)


async def write_change_directly(bench):
    """Write a change while reads are stale, as a writer with current data does."""
    api = FakeApi(bench.platform.store)
    await TreeStore(api).propose(
        set_weight("/new", 2.0), author="a", base_revision=None, now_seconds=0.0
    )


def live_peers_of(host):
    """Return the peers that are alive for a host."""
    return list(host.daemon.scheduler._scheduler.peers._views)


class CutOffStore:
    """A tree store whose platform is unreachable."""

    async def load(self, base=None):
        raise PlatformError("cut off", step="load")

    async def watch(self, after_version, timeout_seconds):
        raise PlatformError("cut off", step="watch")


def make_changes(count):
    """Return a log of changes, each of which sets the weight of one node."""
    return [
        Change(
            number, f"w{number}", "a", 0.0, [NodeEdit("/a", Node(weight=float(number)))]
        )
        for number in range(1, count + 1)
    ]


class FollowerTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.data())
    def test_updates_in_any_order_end_at_the_newest_without_going_back(self, data):
        changes = make_changes(6)
        trees = [empty_tree()]
        for change in changes:
            trees.append(apply_change(trees[-1], change))
        follower = ConfigurationFollower()
        observations = []
        for _ in range(data.draw(st.integers(0, 12))):
            if data.draw(st.booleans()):
                follower.offer_tree(data.draw(st.sampled_from(trees)), "peer")
            else:
                some = data.draw(st.lists(st.sampled_from(changes), max_size=4))
                follower.offer_changes(some, "peer")
            observations.append(ObservedRevision("h", follower.revision))
        self.assertEqual([], check_revisions(observations))
        follower.offer_changes(changes, "peer")
        self.assertEqual(trees[-1], follower.view.tree)

    def test_invalid_revision_keeps_the_last_valid_one_in_force(self):
        changes = make_changes(2)
        orphan = Change(3, "w3", "a", 0.0, [NodeEdit("/x/y", Node())])
        repair = Change(4, "w4", "a", 0.0, [NodeEdit("/x/y", None)])
        follower = ConfigurationFollower()
        follower.offer_changes([*changes, orphan], "platform")
        self.assertEqual((2, 3), (follower.revision, follower.head_revision))
        self.assertIn("/x/y", follower.problem)
        follower.offer_changes([repair], "platform")
        self.assertEqual((4, ""), (follower.revision, follower.problem))

    def test_peer_too_far_behind_gets_no_changes(self):
        follower = ConfigurationFollower()
        follower.offer_tree(Tree(10, {"/": Node()}), "platform")
        self.assertIsNone(follower.changes_after(TreeVersion(3)))
        self.assertEqual([], follower.changes_after(TreeVersion(10)))


NAMES = st.sampled_from(["a", "b", "c"])
PATHS = st.lists(NAMES, min_size=1, max_size=3).map(lambda parts: "/" + "/".join(parts))


@st.composite
def trees(draw):
    """Generate a valid tree in which some nodes set deadlines and classes."""
    nodes = {"/": Node()}
    for path in draw(st.lists(PATHS, max_size=6)):
        for step in lineage(path):
            nodes.setdefault(
                step,
                Node(
                    deadline_seconds=draw(st.sampled_from([None, 1.0, 5.0])),
                    priority_class=draw(st.sampled_from([None, "batch", "portal"])),
                    weight=draw(st.sampled_from([None, 2.0])),
                    is_workspace=True,
                ),
            )
    return Tree(1, nodes)


class TreeTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(trees())
    def test_a_value_is_inherited_from_the_nearest_ancestor(self, tree):
        for path, workspace in TreeView(tree).workspaces.items():
            expected = None
            for step in lineage(path):
                own = tree.nodes[step].deadline_seconds
                expected = expected if own is None else own
            self.assertEqual(expected, workspace.deadline_seconds)
            self.assertEqual(len(workspace.lineage), len(workspace.weights))

    @settings(derandomize=True, deadline=None)
    @given(trees(), st.data())
    def test_deleting_and_moving_keep_the_tree_valid(self, tree, data):
        paths = [path for path in tree.nodes if path != "/"]
        if not paths:
            return
        path = data.draw(st.sampled_from(paths))
        after_delete = apply_change(tree, Change(2, "w", "a", 0.0, deleted(tree, path)))
        TreeView(after_delete)
        after_move = apply_change(
            tree, Change(2, "w", "a", 0.0, moved(tree, path, "/z"))
        )
        TreeView(after_move)
        self.assertEqual(len(tree.nodes), len(after_move.nodes))

    def test_all_problems_are_reported_together(self):
        key = "0" * 64
        nodes = {
            "/": Node(),
            "/a": Node(is_workspace=True, key_hashes=[key]),
            "/b": Node(is_workspace=True, key_hashes=[key, "short"]),
            "/c": Node(key_hashes=["1" * 64]),
            "bad path": Node(),
        }
        error = self.assertRaises(TreeError, validate_written_tree, Tree(1, nodes))
        for part in ("shares a key", "'short'", "is_workspace is false", "bad path"):
            self.assertIn(part, error.message)

    def test_move_into_itself_and_deleting_the_root_are_refused(self):
        tree = Tree(1, {"/": Node(), "/a": Node()})
        self.assertRaises(TreeError, moved, tree, "/a", "/a/b")
        self.assertRaises(TreeError, deleted, tree, "/")


class UnreachablePlatformTest(TestCase):
    def test_unreachable_platform_is_distinguished_from_a_lost_answer(self):
        async def run():
            async with HttpObjectApi(
                "http://127.0.0.1:1", call_timeout_seconds=0.2, calls_per_second=10.0
            ) as api:
                await api.get("x")

        error = self.assertRaises(PlatformError, anyio.run, run)
        self.assertNotIsInstance(error, OutcomeUnknownError)
