"""Two relays of one hall don't forward each other's messages back and forth."""

from types import SimpleNamespace

import attrs
from testtools import TestCase

from rampwick_policy import (
    CacheChanges,
    CacheReported,
    Member,
    MemberTable,
    RelayListener,
)
from rampwick_router.peers._cache_outbox import CacheOutbox
from rampwick_router.peers._forwarding import Forwarder
from rampwick_router.peers._messages import to_cache_event_update
from rampwick_schema import CrashUpdate, FleetSummary, RolloutUpdate, Summary

from .fakes import ImmediateSender

#: Hosts of two halls; the first two of each take themselves for its relay.
NAMES = ["h0", "h1", "h2", "k0", "k1", "k2"]

#: Number of messages after which a test gives up.
MAX_DELIVERIES = 1_000


@attrs.define(eq=False, slots=False)
class Host:
    """One host and the messages that it has received."""

    member: Member
    fleet: "Fleet"
    listener: RelayListener = attrs.field(init=False)
    received: list = attrs.field(factory=list)

    def __attrs_post_init__(self):
        self.listener = RelayListener(self.member)
        self.forwarder = Forwarder(self, self, lambda: self.fleet.now)
        self.relay_listener = self.listener
        table = MemberTable(self.member)
        table.merge(
            Member(f"{hall}{n}", hall, "x:1") for hall in "hk" for n in range(9)
        )
        table.is_relay = lambda live: self.is_relay()
        self.outbox = CacheOutbox(table, self, self, set, ImmediateSender(self))
        self.outbox.is_acting_relay = self.forwarder.is_acting_relay

    def is_relay(self):
        return self.member.name[1] in "01"

    def is_in_own_group(self, peer):
        return peer.hall == self.member.hall

    def post(self, event):
        pass

    def link_to(self, name):
        return None

    def broadcast(self, message, is_recipient):
        for other in self.fleet.hosts.values():
            if other is not self and is_recipient(other.member):
                self.fleet.queue.append((self, other, message))

    def receive(self, sender, message):
        link = SimpleNamespace(peer=sender.member)
        self.received.append(message)
        if isinstance(message, FleetSummary):
            self.listener.receive(sender.member.name, message, [], self.fleet.now)
        elif isinstance(message, RolloutUpdate):
            self.forwarder.forward_rollout(link, message)
        elif isinstance(message, CrashUpdate):
            self.forwarder.forward(link, message)
        else:
            self.outbox.receive(link, message)


class Fleet:
    """Hosts that deliver messages to each other at once."""

    def __init__(self, names):
        self.now = 10.0
        self.queue = []
        self.hosts = {
            name: Host(Member(name, name[0], f"{name}:1"), self) for name in names
        }

    def deliver(self):
        count = 0
        while self.queue and count < MAX_DELIVERIES:
            sender, recipient, message = self.queue.pop(0)
            recipient.receive(sender, message)
            count += 1
        return count

    def publish_sums(self):
        summary = Summary(1, 1, 1, False, [], [], [])
        for host in self.hosts.values():
            if host.is_relay():
                message = FleetSummary(1, summary, [], [], 0.0, 0.0, [], [])
                host.broadcast(message, host.is_in_own_group)
        self.deliver()

    def send(self, name, message):
        """Send a message to the relays of a host's hall, as its origin does."""
        host = self.hosts[name]
        host.broadcast(
            message,
            lambda peer: peer.hall == host.member.hall and peer.name[1] in "01",
        )
        return self.deliver()


class TwoRelaysTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(NAMES)
        self.fleet.publish_sums()

    def check_received(self, cls, sender):
        for name, host in self.fleet.hosts.items():
            count = sum(isinstance(item, cls) for item in host.received)
            if name != sender:
                self.assertTrue(1 <= count <= 6, (name, count))

    def test_facts_reach_all_hosts_a_limited_number_of_times(self):
        self.assertTrue(self.fleet.send("h2", CrashUpdate()) < 40)
        self.check_received(CrashUpdate, "h2")

    def test_rollout_updates_reach_all_hosts_a_limited_number_of_times(self):
        for sender in ("h2", "h0"):
            self.fleet = Fleet(NAMES)
            update = RolloutUpdate(sender, 1, [], [], [])
            # Also before the relays have sent a sum.
            self.assertTrue(self.fleet.send(sender, update) < 40)
            self.check_received(RolloutUpdate, sender)

    def test_cache_events_are_forwarded_a_limited_number_of_times(self):
        changes = CacheChanges("one/1", (b"x" * 8,), (5,))
        event = to_cache_event_update([CacheReported("u", (changes,))])
        count = self.fleet.send("h2", event)
        for _ in range(20):
            for host in self.fleet.hosts.values():
                host.outbox._flush()
            count += self.fleet.deliver()
        self.assertTrue(count < 40, count)
        self.check_received(type(event), "h2")

    def test_a_host_that_no_longer_relays_has_its_facts_forwarded(self):
        self.fleet.now += 1.3
        self.fleet.hosts["h0"].is_relay = lambda: False
        self.fleet.send("h0", CrashUpdate())
        self.check_received(CrashUpdate, "h0")
