"""The configuration in force after the store was restored from an older copy."""

import random
from types import SimpleNamespace

import anyio
import attrs
from testtools import TestCase

from rampwick_platform import KindState
from rampwick_policy import (
    ConfigurationFollower,
    Scheduler,
    SummaryAggregator,
    TreeVersion,
)
from rampwick_policy._restored_trees import COPY_HOLD_SECONDS, REWRITE_HOLD_SECONDS
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._configuration import ConfigurationTask
from rampwick_router.control._configuration_sources import WatchedTreeSource
from rampwick_router.control._host_lists import HostListTask
from rampwick_router.peers._sync import PeerSync
from rampwick_schema import (
    Change,
    ChangesRequest,
    ConfirmRequest,
    DataError,
    Node,
    Summary,
    TreeReply,
    join_version,
    parse_settings,
)

from .scripted import make_tree

SETTINGS = parse_settings('[host]\nname = "h"\nhall = "x"\n', source="t")

MARKED = {"/": Node(), "/other": Node()}


class Decoder:
    configuration_prefix = "config/"

    def __init__(self):
        self.tree = None

    def read_tree(self, state, on_problem):
        return self.tree


class Host:
    """A host that reads its configuration from a store controlled by the test."""

    def __init__(self, clock=None):
        self.clock = clock or SimpleNamespace(now=100.0)
        self.decoder = Decoder()
        read_clock = lambda: self.clock.now  # noqa: E731
        scheduler = SchedulerTask(Scheduler(SETTINGS), read_clock)
        self.follower = ConfigurationFollower()
        self.task = ConfigurationTask(self.follower, scheduler, read_clock)
        self.source = WatchedTreeSource(
            None, self.decoder, SETTINGS, lambda: False, read_clock, random
        )
        self.source._task = self.task
        self.sync = PeerSync(
            self.follower,
            self.task,
            HostListTask(scheduler, read_clock),
            scheduler,
            read_clock,
        )

    def read(self, era, written, store, tree):
        """Make the source read a tree that was written at a revision of the store."""
        self.decoder.tree = tree
        state = KindState(
            {},
            join_version(era, written),
            self.clock.now,
            store_version=join_version(era, store),
        )
        self.source._apply_state(state)

    def offer_held(self):
        self.source._apply_state(self.source._last_state)

    @property
    def age_seconds(self):
        return self.task.age_seconds(self.clock.now)


class RestoredTreeTest(TestCase):
    def setUp(self):
        super().setUp()
        self.host = Host()
        self.clock = self.host.clock
        self.host.read(0, 40, 50, make_tree(22))
        self.clock.now = 110.0

    @property
    def revision(self):
        return self.host.follower.revision

    def test_an_older_tree_is_neither_applied_nor_a_confirmation(self):
        """Otherwise the revocation of a key would be undone or go unnoticed."""
        self.host.read(1, 30, 45, make_tree(18))
        self.assertEqual((22, 10.0), (self.revision, self.host.age_seconds))

    def test_an_older_tree_is_applied_if_no_newer_one_is_written(self):
        self.host.read(1, 30, 45, make_tree(18))
        self.clock.now += COPY_HOLD_SECONDS - 0.1
        self.host.read(1, 30, 45, make_tree(18))
        self.assertEqual(22, self.revision)
        self.clock.now += 0.1
        self.host.offer_held()
        self.assertEqual((18, 1), (self.revision, self.host.follower.version.store_era))

    def test_a_copy_with_the_tree_in_force_confirms_it(self):
        self.host.read(1, 40, 45, make_tree(22))
        self.assertEqual((22, 0.0), (self.revision, self.host.age_seconds))

    def test_a_newer_tree_is_applied_at_once(self):
        for written, store, revision in ((30, 45, 18), (46, 46, 25)):
            self.host.read(1, written, store, make_tree(revision))
        self.assertEqual((25, 0.0), (self.revision, self.host.age_seconds))
        # Also if this read is the first after the restore, or the copy contains it.
        other = Host()
        other.read(0, 30, 31, make_tree(20))
        other.read(1, 40, 45, make_tree(22))
        self.assertEqual(22, other.follower.revision)

    def test_lost_revisions_written_again_one_by_one_cause_no_rollback(self):
        self.host.read(1, 30, 45, make_tree(18))
        for written, revision in ((46, 20), (47, 22), (48, 25)):
            self.clock.now += REWRITE_HOLD_SECONDS / 2
            self.host.read(1, written, written, make_tree(revision))
            self.assertGreaterEqual(self.revision, 22)
        self.assertEqual(25, self.revision)

    def test_a_lower_revision_that_persists_is_applied(self):
        self.host.read(1, 30, 45, make_tree(18))
        self.host.read(1, 46, 46, make_tree(20))
        self.clock.now += REWRITE_HOLD_SECONDS
        self.host.offer_held()
        self.assertEqual(20, self.revision)
        self.assertLess(REWRITE_HOLD_SECONDS, 2.0)

    def test_the_same_revision_may_be_another_tree(self):
        self.host.read(1, 30, 45, make_tree(18))
        self.host.read(1, 46, 46, make_tree(22, nodes=MARKED))
        self.assertEqual(10.0, self.host.age_seconds)
        self.clock.now += REWRITE_HOLD_SECONDS
        self.host.offer_held()
        self.assertIn("/other", self.host.follower.view.tree.nodes)
        self.assertEqual(1, self.host.follower.version.store_era)

    def test_several_restores(self):
        self.host.read(1, 30, 45, make_tree(18))
        self.clock.now += 1.0
        self.host.read(4, 20, 35, make_tree(12))
        self.clock.now += COPY_HOLD_SECONDS - 0.5
        self.host.offer_held()
        self.assertEqual(22, self.revision)
        self.host.read(4, 36, 36, make_tree(23))
        self.assertEqual((23, 4), (self.revision, self.host.follower.version.store_era))

    def test_a_store_without_a_configuration_is_no_confirmation(self):
        self.host.read(1, 0, 5, None)
        self.assertEqual((22, 10.0), (self.revision, self.host.age_seconds))

    def test_an_invalid_tree_ends_the_wait_for_a_held_tree(self):
        """The wait returned immediately in a loop and used a full CPU core."""
        self.host.read(1, 30, 45, make_tree(18))

        def refuse(state, on_problem):
            raise DataError("no tree", step="read record")

        self.host.decoder.read_tree = refuse
        self.host.read(1, 46, 46, None)
        self.assertEqual(float("inf"), self.host.source._held_until_seconds)
        self.assertEqual(22, self.revision)

    def test_a_fallback_tree_does_not_delay_a_tree_of_the_store(self):
        host = Host()
        host.follower.offer_fallback(make_tree(30))
        host.read(1, 30, 45, make_tree(18))
        self.assertEqual(18, host.follower.revision)

    def test_the_wait_for_a_held_tree_ends_by_timeout(self):
        async def main():
            host = Host(SimpleNamespace(now=0.0))
            host.read(0, 40, 50, make_tree(22))
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(host.source._apply_held)
                await anyio.lowlevel.checkpoint()
                host.read(1, 30, 45, make_tree(18))
                host.clock.now = COPY_HOLD_SECONDS
                host.source._hold_changed.set()
                with anyio.fail_after(20.0):
                    while host.follower.revision != 18:
                        await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)


class TreeOrderTest(TestCase):
    def test_a_later_era_takes_precedence_over_a_higher_revision(self):
        self.assertTrue(TreeVersion(20, 1).is_newer_than(TreeVersion(24, 0)))
        self.assertFalse(TreeVersion(24, 0).is_newer_than(TreeVersion(20, 1)))

    def test_without_a_known_era_the_revision_decides(self):
        self.assertTrue(TreeVersion(24).is_newer_than(TreeVersion(20, 1)))
        self.assertFalse(TreeVersion(20, 1).is_newer_than(TreeVersion(24)))

    def test_the_same_revision_of_two_eras_is_two_trees(self):
        self.assertFalse(TreeVersion(22, 0).is_same(TreeVersion(22, 1)))
        self.assertTrue(TreeVersion(22).is_same(TreeVersion(22, 1)))

    def test_a_relay_reports_the_newest_version_of_its_hosts(self):
        def make_summary(revision, store_era):
            return Summary(1, revision, 1, False, [], [], [], store_era=store_era)

        summaries = [make_summary(22, 0), make_summary(20, 1), make_summary(21, 0)]
        merged = SummaryAggregator().merge(summaries, 1)
        self.assertEqual((20, 1), (merged.revision, merged.store_era))


class Link:
    """A link that delivers messages to the other host immediately."""

    def __init__(self, own, other):
        self._own, self._other = own, other
        self.sent = []

    def put(self, message):
        self.sent.append(message)
        self._other.sync.handle(Link(self._other, self._own), message)


class RestoredPeersTest(TestCase):
    """Hosts of which only some have read the restored store."""

    def setUp(self):
        super().setUp()
        self.clock = SimpleNamespace(now=100.0)
        self.one, self.other = Host(self.clock), Host(self.clock)
        self.one.read(0, 40, 50, make_tree(22))
        self.gossip()

    def gossip(self):
        """Make both hosts compare their versions, as summaries do."""
        for host, peer in ((self.one, self.other), (self.other, self.one)):
            version = peer.follower.version
            summary = Summary(
                1, version.revision, -1, False, [], [], [], store_era=version.store_era
            )
            host.sync.request_missing(Link(host, peer), summary)

    def request_ages(self):
        self.other.sync.request_ages(Link(self.other, self.one))

    @property
    def revisions(self):
        return self.one.follower.revision, self.other.follower.revision

    def test_a_later_era_prevails_over_repeated_offers_of_a_peer(self):
        self.one.read(1, 30, 45, make_tree(18))
        self.one.read(1, 46, 46, make_tree(20))
        self.clock.now += REWRITE_HOLD_SECONDS
        self.one.offer_held()
        for _ in range(3):
            self.gossip()
        self.assertEqual((20, 20), self.revisions)
        # The age is that of the reading at the other host.
        self.request_ages()
        self.assertEqual(REWRITE_HOLD_SECONDS, self.other.age_seconds)

    def test_a_starting_host_takes_the_newer_tree_of_its_peers(self):
        started = Host(self.clock)
        started.read(1, 30, 45, make_tree(18))
        self.assertEqual(18, started.follower.revision)
        self.other = started
        self.gossip()
        self.assertEqual((22, 22), self.revisions)
        # The copy does not confirm the revision at this host either.
        started.read(1, 30, 45, make_tree(18))
        self.assertEqual(22, started.follower.revision)

    def test_the_same_revision_of_another_era_is_no_confirmation(self):
        self.clock.now += 5.0
        self.one.read(1, 46, 45, make_tree(22, nodes=MARKED))
        self.clock.now += REWRITE_HOLD_SECONDS
        self.one.offer_held()
        sent = []
        link = SimpleNamespace(put=sent.append)
        self.one.sync.handle(link, ConfirmRequest(1))
        self.other.sync._requested_at[1] = self.clock.now
        self.other.sync.handle(SimpleNamespace(put=sent.append), sent[0])
        self.assertGreater(self.other.age_seconds, 5.0)
        self.assertIsInstance(sent[1], ChangesRequest)
        self.one.sync.handle(link, sent[1])
        self.assertIsInstance(sent[2], TreeReply)

    def test_changes_of_another_era_are_ignored(self):
        follower = ConfigurationFollower()
        follower.offer_tree(attrs.evolve(make_tree(10), store_era=1), "peer")
        change = Change(11, "w", "a", 0.0, [])
        self.assertFalse(follower.offer_changes([change], "peer", 0))
        self.assertIsNone(follower.changes_after(TreeVersion(10, 0)))
        self.assertEqual([], follower.changes_after(TreeVersion(5, 2)))
        self.assertTrue(follower.offer_changes([change], "peer", 1))
        self.assertEqual([change], follower.changes_after(TreeVersion(10, 1)))
