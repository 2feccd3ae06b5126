"""Requests at upstreams that had left, by entries retained after cut watches."""

import math
from types import SimpleNamespace

import anyio
import orjson
from testtools import TestCase

from rampwick_platform import Listing, PlatformUnavailableError
from rampwick_policy._expired_entries import (
    ENTRY_GRACE_SECONDS,
    MIN_EXPIRY_RENEWALS,
)

from .host_processes import START_TIMEOUT_SECONDS, run_fleet
from .test_kind_watcher import ScriptedApi, follow
from .test_odd_entry_processes import (
    CALLERS_COUNT,
    HOSTS_COUNT,
    LEAVING_BOUND_SECONDS,
    MANIFEST,
    Fleet,
)
from .test_retained_entries import RENEWAL_SECONDS, Host, entry

#: Shortest outage in which an entry may expire.
OUTAGE_SECONDS = MIN_EXPIRY_RENEWALS * RENEWAL_SECONDS

#: Hosts of a hall that watch the entries.
READERS_COUNT = 2

#: Time for which a server is watched after its entry has gone, and for which the store
#: is away while all entries expire.
WATCHED_SECONDS = 3.0
AWAY_SECONDS = 4.2


CUT = PlatformUnavailableError("cut", step="watch")
AWAY = PlatformUnavailableError("away", step="list")


def answer(seconds=0.0):
    """Return an answer of the store that comes after some seconds."""
    return seconds, Listing(5, [])


class OutageTimeTest(TestCase):
    """For how long a watcher takes the store to have been away."""

    def outages(self, *responses):
        """Return the outages of the states that a watcher passes on, in seconds."""
        states = []
        follow(ScriptedApi(*responses), states, [])
        return [state.outage_seconds for state in states]

    def test_cut_watch_before_an_answered_listing_is_no_outage(self):
        cut = (1.0, CUT)
        self.assertEqual(
            [0.0] * 4, self.outages(answer(), cut, answer(), cut, answer(), answer())
        )

    def test_outage_lasts_from_the_last_answer_before_a_failed_listing(self):
        cut, away = (0.5, CUT), (1.0, AWAY)
        self.assertEqual(
            [0.0, 0.0, 2.75, 0.0],
            self.outages(answer(), answer(), cut, away, away, answer(0.25), answer()),
        )

    def test_outage_goes_on_while_some_calls_are_answered(self):
        cut, away = (0.5, CUT), (1.0, AWAY)
        self.assertEqual(
            [0.0, 1.5, 3.0, 0.0],
            self.outages(answer(), cut, away, answer(), cut, away, answer(), answer()),
        )

    def test_host_that_starts_while_the_store_is_away_knows_no_beginning(self):
        self.assertEqual([math.inf], self.outages((0.0, AWAY), answer()))


class CutWatchTest(TestCase):
    """An entry that goes beside a cut watch was removed, and is not retained."""

    def setUp(self):
        super().setUp()
        self.start()

    def start(self, renewal_seconds=RENEWAL_SECONDS):
        """Start a host that has read two entries."""
        self.clock = SimpleNamespace(now=100.0)
        self.host = Host("one", self.clock, renewal_seconds)
        self.host.read(10, entry("a"), entry("b"))

    def read_later(self, seconds, version, *entries):
        """Read the entries after an outage that began at the last reading."""
        self.clock.now += seconds
        self.host.read(version, *entries, is_after_failure=True)

    def test_entry_removed_beside_a_short_failure_is_not_used(self):
        for seconds in (0.1, OUTAGE_SECONDS - 0.01):
            self.start()
            self.read_later(seconds, 11, entry("b"))
            self.assertEqual(["b"], self.host.used, seconds)

    def test_entry_that_may_have_expired_is_used_until_the_grace_is_over(self):
        self.read_later(OUTAGE_SECONDS + 0.01, 11, entry("b"))
        self.assertEqual(["a", "b"], self.host.used)
        self.clock.now += ENTRY_GRACE_SECONDS
        self.host.poll()
        self.assertEqual(["b"], self.host.used)

    def test_short_failures_do_not_lengthen_the_grace(self):
        self.read_later(5.0, 11, entry("b"))
        for _ in range(3):
            self.read_later(ENTRY_GRACE_SECONDS / 4, 11, entry("b"))
            self.assertEqual(["a", "b"], self.host.used)
        self.read_later(ENTRY_GRACE_SECONDS / 4, 11, entry("b"))
        self.assertEqual(["b"], self.host.used)

    def test_shortest_outage_depends_on_the_interval_of_renewals(self):
        for renewal_seconds, names in ((0.5, ["a", "b"]), (1.0, ["b"])):
            self.start(renewal_seconds)
            self.read_later(1.0, 11, entry("b"))
            self.assertEqual(names, self.host.used, renewal_seconds)


async def call_beside(act):
    """Have callers send requests while something happens; return the fleet."""
    async with run_fleet(Fleet, MANIFEST) as (fleet, tasks):
        await fleet.start()
        for number in range(CALLERS_COUNT):
            host = fleet.hosts[number % HOSTS_COUNT]
            tasks.start_soon(fleet.keep_calling, host.address, fleet.statuses)
        await anyio.sleep(1.0)
        await act(fleet)
    return fleet


async def leave_beside_cut_watches(fleet, interval_seconds):
    """Have a server leave without a word while watches are cut."""
    with anyio.fail_after(START_TIMEOUT_SECONDS):
        while fleet.store.waiting_count["servers"] < READERS_COUNT:
            await anyio.sleep(0.01)
    fleet.store.cut_watches()
    # The hosts list the entries again after a backoff, without this one.
    fleet.depart(fleet.servers[0])
    with anyio.move_on_after(WATCHED_SECONDS):
        while True:
            await anyio.sleep(interval_seconds)
            fleet.store.cut_watches()


async def expire_during_an_outage(fleet):
    """Have all entries expire while the store is away, and return after it."""
    fleet.store.set_away(True)
    await anyio.sleep(AWAY_SECONDS)
    for server in fleet.servers:
        fleet.store.delete(orjson.dumps(server.name))
    fleet.store.set_away(False)
    await anyio.sleep(1.5)
    for server in fleet.servers:
        fleet.store.write(server.record())
    await anyio.sleep(1.0)


class CutWatchesOfProcessesTest(TestCase):
    def test_server_that_left_beside_cut_watches_gets_no_late_request(self):
        # Guards against cut watches that are taken for outages of the store.
        for interval_seconds in (0.95, 0.6):
            fleet = anyio.run(
                call_beside,
                lambda fleet, seconds=interval_seconds: leave_beside_cut_watches(
                    fleet, seconds
                ),
            )
            late = fleet.late_seconds()
            summary = (
                f"cut each {interval_seconds} s: {len(fleet.statuses)} requests, "
                f"{len(late)} over {LEAVING_BOUND_SECONDS} s late, by up to "
                f"{max(late, default=0.0):.2f} s"
            )
            print(summary)
            self.assertEqual([], late, summary)
            self.assertEqual({200}, set(fleet.statuses), summary)

    def test_servers_whose_entries_expired_in_an_outage_are_used(self):
        fleet = anyio.run(call_beside, expire_during_an_outage)
        print(f"{len(fleet.statuses)} requests beside an outage")
        self.assertEqual({200}, set(fleet.statuses))
