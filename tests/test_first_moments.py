"""What hosts do that come back together and have heard nobody yet."""

from collections import Counter
from types import SimpleNamespace

import anyio
from testtools import TestCase

from rampwick_policy import Member, SaltTable, Scheduler, is_cache_reader
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._roles import UNHEARD_SECONDS, Roles
from rampwick_router.upstream._cache_reader import (
    HISTORIES_AT_ONCE,
    CacheReaderTask,
    Reading,
    Source,
)
from rampwick_schema import parse_settings

HALLS = ("a", "b", "c", "d")
MEMBERS = [
    Member(f"h{number}", HALLS[number % 4], f"h{number}:1", 1, 5.0)
    for number in range(90)
]
CACHES = [(f"r{number}", HALLS[number % 4]) for number in range(48)]


class SilentFleet:
    """A scheduler that has heard nobody."""

    def peer_views(self, now_seconds):
        return []

    def live_names(self, now_seconds):
        return set()


class HerdReadsCachesTest(TestCase):
    """Symptom: after all of 90 hosts were killed, halls heard nothing for 3 s.

    Sequence: each host that had heard nobody took itself for alone, asked all 48
    caches for all that they remembered, and filled its link of 5 Mbit/s; so it heard
    nobody.
    """

    def roles(self, member, clock):
        roles = Roles(member, SilentFleet(), lambda: clock.now)
        roles.table.learn(MEMBERS)
        return roles

    def readers(self, after_seconds):
        """Return how many hosts read each cache, and how many each host reads."""
        by_cache, by_host = Counter(), Counter()
        for member in MEMBERS:
            clock = SimpleNamespace(now=100.0)
            roles = self.roles(member, clock)
            clock.now += after_seconds
            near = roles.neighbours_at_work()
            for name, hall in CACHES:
                if is_cache_reader(member, name, hall, near):
                    by_cache[name] += 1
                    by_host[member.name] += 1
        return by_cache, by_host

    def test_those_that_are_known_share_the_caches(self):
        by_cache, by_host = self.readers(after_seconds=0.5)
        self.assertEqual({1}, set(by_cache.values()))
        self.assertEqual(len(CACHES), len(by_cache))
        self.assertLessEqual(max(by_host.values()), 6)

    def test_one_that_hears_nobody_for_long_reads_for_itself(self):
        by_cache, _ = self.readers(after_seconds=UNHEARD_SECONDS + 0.1)
        self.assertEqual({90}, set(by_cache.values()))

    def test_a_few_histories_are_asked_for_at_once(self):
        open_count = Counter()

        async def main():
            text = '[host]\nname = "h"\nhall = "a"\n'
            scheduler = SchedulerTask(
                Scheduler(parse_settings(text, source="t")), lambda: 100.0
            )
            reader = CacheReaderTask(
                MEMBERS[0], scheduler, None, None, SaltTable(""), None, None
            )

            async def ask(source, reading):
                open_count["now"] += 1
                open_count["most"] = max(open_count["most"], open_count["now"])
                await anyio.sleep(0)
                open_count["now"] -= 1
                open_count["all"] += 1
                return False

            reader._ask = ask
            async with anyio.create_task_group() as tasks:
                for name, hall in CACHES:
                    source = Source(name, hall, f"{name}:1", name)
                    tasks.start_soon(reader._ask_in_turn, source, Reading())

        anyio.run(main)
        self.assertEqual(HISTORIES_AT_ONCE, open_count["most"])
        self.assertEqual(len(CACHES), open_count["all"])
