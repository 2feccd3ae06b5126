"""Entries retained by a host that was cut off, at hosts that read their removal."""

import math
from types import SimpleNamespace

from testtools import TestCase

from rampwick_platform import KindState
from rampwick_policy import (
    ConfigurationFollower,
    HostListRead,
    Member,
    Scheduler,
    diff_hosts,
    patch_hosts,
)
from rampwick_policy._expired_entries import ENTRY_GRACE_SECONDS
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.control._configuration import ConfigurationTask
from rampwick_router.control._host_lists import HostListTask
from rampwick_router.control._host_sources import WatchedHostSource
from rampwick_router.peers._sync import PeerSync
from rampwick_schema import (
    HostEntry,
    HostList,
    HostListReply,
    HostListRequest,
    Summary,
    decode_message,
    encode_message,
    join_version,
    parse_settings,
)

from .test_reading import RecordingLink

#: Interval at which the upstreams renew their entries.
RENEWAL_SECONDS = 1.2

#: Bytes of the length before a message.
LENGTH_BYTES = 4


def entry(name, state="live", last_listed_version=0):
    return HostEntry(
        name,
        "service",
        "h",
        f"{name}:1",
        state,
        incarnation=name,
        last_listed_version=last_listed_version,
    )


class Decoder:
    upstreams_prefix = "servers/"

    def read_upstream(self, stored):
        return stored.value


class Host:
    """A host that reads the entries of a store controlled by the test."""

    def __init__(self, name, clock, renewal_seconds=RENEWAL_SECONDS):
        self.name = name
        self.clock = clock
        self.read_at_seconds = -math.inf
        settings = parse_settings(f'[host]\nname = "{name}"\nhall = "h"\n', source="t")
        read_clock = lambda: self.clock.now  # noqa: E731
        self.scheduler = SchedulerTask(Scheduler(settings), read_clock)
        self.hosts = HostListTask(self.scheduler, read_clock)
        self.source = WatchedHostSource(
            None, Decoder(), lambda: False, read_clock, None, renewal_seconds
        )
        self.source._task = self.hosts
        follower = ConfigurationFollower()
        configuration = ConfigurationTask(follower, self.scheduler, read_clock)
        self.sync = PeerSync(
            follower, configuration, self.hosts, self.scheduler, read_clock
        )

    def read(self, version, *entries, is_after_failure=False):
        """Make the host read the entries of the store as of a version.

        After a failure the store was away since the host's last reading.
        """
        outage_seconds = 0.0
        if is_after_failure:
            outage_seconds = self.clock.now - self.read_at_seconds
        self.read_at_seconds = self.clock.now
        objects = {
            item.name: SimpleNamespace(key=item.name, value=item) for item in entries
        }
        state = KindState(
            objects,
            version,
            self.clock.now,
            is_after_failure,
            version,
            outage_seconds=outage_seconds,
        )
        self.source._apply_state(state)

    def poll(self):
        """Make the host offer its list again, as it does at the end of the grace."""
        self.source._offer_list()

    @property
    def listed(self):
        return sorted(item.name for item in self.hosts.host_list.hosts)

    @property
    def used(self):
        """Names of the upstreams that may get requests."""
        table = self.scheduler._scheduler.upstreams
        return sorted(
            item.name for item in table if table.is_eligible(item, self.clock.now)
        )


class Link:
    """A link between two hosts that delivers at once what both encode and decode."""

    def __init__(self, own, other):
        self._own, self._other = own, other
        self.peer = SimpleNamespace(name=other.name)

    def put(self, message):
        received = decode_message(encode_message(message)[LENGTH_BYTES:])
        self._other.sync.handle(Link(self._other, self._own), received)


def gossip(*hosts):
    """Make each host receive the summaries of all others."""
    for host in hosts:
        for peer in hosts:
            if peer is not host:
                summary = Summary(1, 0, peer.hosts.version, False, [], [], [])
                host.sync.request_missing(Link(host, peer), summary)


class CutOffHostTest(TestCase):
    """One host is cut off from the store and its peers while an upstream leaves."""

    def setUp(self):
        super().setUp()
        self.clock = SimpleNamespace(now=100.0)
        self.one, self.other, self.third, self.cut_off = (
            Host(name, self.clock) for name in ("one", "other", "third", "cut-off")
        )
        self.all = [self.one, self.other, self.third, self.cut_off]
        for host in self.all:
            host.read(10, entry("a"), entry("b"))
        self.clock.now = 101.0
        for host in (self.one, self.other, self.third):
            host.read(11, entry("b"))

    def return_first(self):
        """Make the host read the store before its peers do or answer."""
        self.clock.now = 104.0
        self.cut_off.read(12, entry("b"), entry("c"), is_after_failure=True)

    def test_upstream_that_left_is_not_listed_again_for_a_host_that_was_cut_off(self):
        self.return_first()
        gossip(*self.all)
        for host in (self.one, self.other, self.third):
            self.assertEqual(["b", "c"], host.listed)
            self.assertEqual(["b", "c"], host.used)

    def test_host_that_was_cut_off_drops_it_once_a_peer_answers(self):
        self.return_first()
        self.assertEqual(["a", "b", "c"], self.cut_off.used)
        gossip(*self.all)
        self.assertEqual(["b", "c"], self.cut_off.listed)
        self.assertEqual(["b", "c"], self.cut_off.used)

    def test_what_was_dropped_stays_so_at_the_next_reading(self):
        self.return_first()
        gossip(*self.all)
        for seconds in (0.3, 0.6, ENTRY_GRACE_SECONDS):
            self.clock.now = 104.0 + seconds
            self.cut_off.read(12, entry("b"), entry("c"))
            gossip(*self.all)
            for host in self.all:
                self.assertEqual(["b", "c"], host.listed)
        self.assertEqual({25}, {host.hosts.version for host in self.all})

    def test_upstream_that_registers_again_is_used_at_once(self):
        self.return_first()
        gossip(*self.all)
        self.clock.now = 104.5
        self.one.read(13, entry("a"), entry("b"), entry("c"))
        gossip(*self.all)
        for host in self.all:
            self.assertEqual(["a", "b", "c"], host.used)

    def test_host_with_an_older_list_takes_what_it_has_not_seen_removed(self):
        late = Host("late", self.clock)
        late.read(9, entry("b"))
        self.return_first()
        gossip(late, self.cut_off)
        self.assertEqual(["a", "b", "c"], late.used)

    def test_upstream_that_said_that_it_leaves_is_not_live_again(self):
        self.one.read(12, entry("a", "leaving"), entry("b"))
        self.clock.now = 104.0
        self.cut_off.read(13, entry("b"), is_after_failure=True)
        gossip(self.one, self.cut_off)
        self.assertEqual((["b"], ["b"]), (self.one.used, self.cut_off.used))

    def test_host_that_starts_by_such_a_list_drops_it_once_another_list_arrives(self):
        self.return_first()
        started = Host("started", self.clock)
        gossip(started, self.cut_off)
        self.assertEqual(["a", "b", "c"], started.used)
        gossip(started, self.one)
        self.assertEqual(["b", "c"], started.used)

    def test_entry_written_again_is_taken_though_the_peer_sends_no_difference(self):
        """A peer of an older release does not tell it from the retained one."""
        self.return_first()
        gossip(self.one, self.cut_off)
        link = RecordingLink(peer=Member("old", "h", "old:1"))
        summary = Summary(1, 0, self.one.hosts.version + 2, False, [], [], [])
        self.one.sync.request_missing(link, summary)
        self.assertEqual([HostListRequest(-1)], link.messages)

    def test_difference_from_a_list_without_dropped_entries_is_not_sent(self):
        """A peer of an older release has the retained entry and would keep it."""
        self.return_first()
        gossip(self.one, self.cut_off)
        version = self.one.hosts.version
        link = RecordingLink(peer=Member("old", "h", "old:1"))
        for revision in (13, 14):
            self.one.sync.handle(link, HostListRequest(version - 1))
            self.one.read(revision, entry("b"), entry("c"))
        link.messages.clear()
        self.one.sync.handle(link, HostListRequest(version))
        self.assertEqual([HostListReply], list(map(type, link.messages)))

    def test_each_peer_is_asked_once(self):
        self.return_first()
        link = RecordingLink(peer=Member("one", "h", "one:1"))
        for _ in range(3):
            summary = Summary(1, 0, self.one.hosts.version, False, [], [], [])
            self.cut_off.sync.request_missing(link, summary)
        self.assertEqual([HostListRequest(-1)], link.messages)


class OutageTest(TestCase):
    """The store is away for all hosts, and entries expire meanwhile."""

    def setUp(self):
        super().setUp()
        self.clock = SimpleNamespace(now=100.0)
        self.hosts = [Host(name, self.clock) for name in ("one", "other", "third")]
        for host in self.hosts:
            host.read(10, entry("a"), entry("b"), entry("c"))

    def listed(self):
        return [host.used for host in self.hosts]

    def test_entries_that_all_hosts_miss_are_used_until_they_return(self):
        self.clock.now = 110.0
        self.hosts[0].read(20, entry("c"), is_after_failure=True)
        gossip(*self.hosts)
        self.clock.now = 110.4
        self.hosts[1].read(21, entry("c"), is_after_failure=True)
        gossip(*self.hosts)
        self.assertEqual([["a", "b", "c"]] * 3, self.listed())
        self.clock.now = 111.5
        self.hosts[0].read(22, entry("a"), entry("c"))
        gossip(*self.hosts)
        self.assertEqual([["a", "b", "c"]] * 3, self.listed())
        self.clock.now = 110.0 + ENTRY_GRACE_SECONDS
        self.hosts[0].poll()
        gossip(*self.hosts)
        self.assertEqual([["a", "c"]] * 3, self.listed())

    def test_entry_that_left_right_before_an_outage_does_not_end_the_grace_of_others(
        self,
    ):
        self.hosts[1].read(11, entry("b"), entry("c"))
        self.clock.now = 110.0
        self.hosts[0].read(20, is_after_failure=True)
        gossip(*self.hosts[:2])
        for host in self.hosts[:2]:
            self.assertEqual(["b", "c"], host.used)

    def test_entries_missing_in_a_restored_copy_are_used_until_they_return(self):
        """A list of the copy does not show that an entry was removed."""
        self.clock.now = 110.0
        self.hosts[0].read(join_version(1, 4), entry("a"), is_after_failure=True)
        started = Host("started", self.clock)
        started.read(join_version(1, 3), entry("a"))
        gossip(self.hosts[0], started)
        self.assertEqual(["a", "b", "c"], self.hosts[0].used)


class StableStoreTest(TestCase):
    """Entries that change while all hosts read the store."""

    def setUp(self):
        super().setUp()
        self.host = Host("one", SimpleNamespace(now=100.0))
        self.host.read(10, entry("a"), entry("b"))

    def test_upstream_cut_off_from_the_store_is_used_once_it_is_written_again(self):
        self.host.read(11, entry("b"))
        self.assertEqual(["b"], self.host.used)
        self.host.read(12, entry("a"), entry("b"))
        self.assertEqual(["a", "b"], self.host.used)

    def test_all_upstreams_are_used_once_they_are_written_again(self):
        self.host.read(11)
        self.assertEqual([], self.host.used)
        self.host.read(13, entry("a"), entry("b"))
        self.assertEqual(["a", "b"], self.host.used)

    def test_cancelled_shutdown_counts_once_a_later_revision_states_it(self):
        self.host.read(11, entry("a", "leaving"), entry("b"))
        self.assertEqual(["b"], self.host.used)
        self.host.read(12, entry("a"), entry("b"))
        self.assertEqual(["a", "b"], self.host.used)


class ListChangesTest(TestCase):
    """Differences between lists with retained entries."""

    def test_retained_entry_is_sent_each_time(self):
        base = HostList(40, [entry("a", last_listed_version=21), entry("b")])
        current = HostList(42, [*base.hosts, entry("c")])
        patched = patch_hosts(HostList(40, [entry("b")]), diff_hosts(base, current))
        names = sorted(item.name for item in patched.hosts)
        self.assertEqual(["a", "b", "c"], names)

    def test_list_with_a_retained_entry_is_not_patched(self):
        """The peer's list of the base version may lack it, or have it unmarked."""
        base = HostList(40, [entry("a", last_listed_version=21), entry("b")])
        lists = HostList(40, [entry("b")]), HostList(40, [entry("a"), entry("b")])
        for known in lists:
            current = HostList(41, [*known.hosts, entry("c")])
            self.assertIsNone(patch_hosts(base, diff_hosts(known, current)))


class SameVersionTest(TestCase):
    def test_list_of_the_same_version_is_applied_again(self):
        host = Host("one", SimpleNamespace(now=100.0))
        host.scheduler.post(HostListRead(HostList(4, [entry("a"), entry("b")])))
        host.scheduler.post(HostListRead(HostList(4, [entry("b")])))
        self.assertEqual(["b"], host.used)
