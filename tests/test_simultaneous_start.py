"""Tests of hosts that restart simultaneously and have not received from any peer."""

from collections import Counter
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_policy import Member, SaltTable, Scheduler, is_cache_reader
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._roles import ASSUMED_ALIVE_SECONDS, Roles
from rampwick_router.upstream._cache_reader import (
    MAX_CONCURRENT_BACKLOGS,
    CacheReaderTask,
    CacheSource,
    ReadState,
)
from rampwick_schema import parse_settings

HALLS = ("a", "b", "c", "d")
MEMBERS = [
    Member(f"h{number}", HALLS[number % 4], f"h{number}:1", 1, 5.0)
    for number in range(90)
]
CACHES = [(f"r{number}", HALLS[number % 4]) for number in range(48)]


class EmptyFleet:
    """A scheduler without live peers."""

    def peer_views(self, now_seconds):
        return []

    def live_names(self, now_seconds):
        return set()


class SimultaneousStartTest(TestCase):
    """Hosts that restart together divide the reading of caches.

    After 90 hosts were killed and restarted, halls received no updates for 3 s: each
    host without live peers considered itself alone, requested the backlog of all 48
    caches and saturated its link of 5 Mbit/s, so that it received nothing from peers.
    """

    def roles(self, member, clock):
        roles = Roles(member, EmptyFleet(), lambda: clock.now)
        roles.table.merge(MEMBERS)
        return roles

    def readers(self, after_seconds):
        """Return the number of readers by cache, and the number of caches by host."""
        by_cache, by_host = Counter(), Counter()
        for member in MEMBERS:
            clock = SimpleNamespace(now=100.0)
            roles = self.roles(member, clock)
            clock.now += after_seconds
            peers = roles.cache_reading_peers()
            for name, hall in CACHES:
                if is_cache_reader(member, name, hall, peers):
                    by_cache[name] += 1
                    by_host[member.name] += 1
        return by_cache, by_host

    def test_known_members_divide_the_caches(self):
        by_cache, by_host = self.readers(after_seconds=0.5)
        self.assertEqual({1}, set(by_cache.values()))
        self.assertEqual(len(CACHES), len(by_cache))
        self.assertLessEqual(max(by_host.values()), 6)

    def test_a_host_without_live_peers_reads_all_caches_eventually(self):
        by_cache, _ = self.readers(after_seconds=ASSUMED_ALIVE_SECONDS + 0.1)
        self.assertEqual({90}, set(by_cache.values()))

    def test_concurrent_backlog_requests_are_limited(self):
        open_count = Counter()

        async def main():
            text = '[host]\nname = "h"\nhall = "a"\n'
            scheduler = SchedulerTask(
                Scheduler(parse_settings(text, source="t")), lambda: 100.0
            )
            reader = CacheReaderTask(
                MEMBERS[0], scheduler, None, None, SaltTable(""), None, None
            )

            async def poll(source, state):
                open_count["now"] += 1
                open_count["most"] = max(open_count["most"], open_count["now"])
                await anyio.sleep(0)
                open_count["now"] -= 1
                open_count["all"] += 1
                return False

            reader._poll = poll
            async with anyio.create_task_group() as tasks:
                for name, hall in CACHES:
                    source = CacheSource(name, hall, f"{name}:1", name)
                    tasks.start_soon(reader._poll_limited, source, ReadState())

        anyio.run(main)
        self.assertEqual(MAX_CONCURRENT_BACKLOGS, open_count["most"])
        self.assertEqual(len(CACHES), open_count["all"])
