"""Tests of the change log in a store that is restored from an older backup."""

from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_platform import TreeStore
from rampwick_policy import ConfigurationFollower, ConflictError, LivePeers, Scheduler
from rampwick_policy._restored_trees import COPY_HOLD_SECONDS, REWRITE_HOLD_SECONDS
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._configuration import ConfigurationTask
from rampwick_router.control._configuration_sources import TreeStoreSource
from rampwick_schema import Node, NodeEdit, parse_settings

from .scripted import RestorableStore

SETTINGS = parse_settings('[host]\nname = "h"\nhall = "x"\n', source="t")


class RestoredLogTest(TestCase):
    def play(self, scenario):
        async def main():
            self.clock = SimpleNamespace(now=100.0)
            self.store = RestorableStore()
            self.trees = TreeStore(self.store)
            scheduler = SchedulerTask(Scheduler(SETTINGS), lambda: self.clock.now)
            self.follower = ConfigurationFollower()
            self.task = ConfigurationTask(
                self.follower, scheduler, lambda: self.clock.now
            )
            self.source = TreeStoreSource(
                self.trees, SETTINGS, LivePeers, lambda: self.clock.now
            )
            for path in ("/a", "/b"):
                await self.write(path)
            self.store.stand_in.save_copy()
            for path in ("/c", "/d"):
                await self.write(path)
            await self.source._load(self.task)
            self.assertEqual(4, self.follower.revision)
            self.store.stand_in.restore()
            await scenario()

        anyio.run(main)

    async def write(self, path, base_revision=None):
        """Commit a change that adds a node."""
        await self.trees.propose(
            lambda tree: [NodeEdit(path, Node())],
            author="a",
            base_revision=base_revision,
            now_seconds=0.0,
        )

    @property
    def paths(self):
        return sorted(self.follower.view.tree.nodes)

    def test_hosts_keep_their_configuration_for_a_hold_time(self):
        async def scenario():
            await self.source._load(self.task)
            self.assertEqual(4, self.follower.revision)
            self.clock.now += COPY_HOLD_SECONDS
            await self.source._load(self.task)
            self.assertEqual(["/", "/a", "/b"], self.paths)

        self.play(scenario)

    def test_a_change_in_the_new_era_applies_without_lost_changes(self):
        async def scenario():
            await self.source._load(self.task)
            await self.write("/e")
            await self.source._watch(self.task)
            self.clock.now += REWRITE_HOLD_SECONDS
            await self.source._load(self.task)
            self.assertEqual(["/", "/a", "/b", "/e"], self.paths)
            await self.write("/f")
            await self.source._watch(self.task)
            self.assertEqual(["/", "/a", "/b", "/e", "/f"], self.paths)

        self.play(scenario)

    def test_a_log_longer_than_the_lost_one_is_read_from_its_beginning(self):
        async def scenario():
            for path in ("/e", "/f", "/g"):
                await self.write(path)
            await self.source._load(self.task)
            self.assertEqual(["/", "/a", "/b", "/e", "/f", "/g"], self.paths)

        self.play(scenario)

    def test_an_edit_based_on_a_lost_revision_is_rejected(self):
        async def scenario():
            try:
                await self.write("/e", base_revision=4)
            except ConflictError as error:
                return self.assertIn("older copy", error.message)
            raise AssertionError("accepted")

        self.play(scenario)

    def test_an_edit_concurrent_with_the_restore_is_rejected(self):
        async def scenario():
            await self.store.list_objects("k/")
            self.store.stand_in.save_copy()
            put = self.store.put

            async def put_late(key, value, expected_version):
                self.store.stand_in.restore()
                return await put(key, value, expected_version)

            self.store.put = put_late
            try:
                await self.write("/e")
            except ConflictError as error:
                return self.assertIn("restored", error.message)
            raise AssertionError("accepted")

        self.play(scenario)
