"""Tests of the distribution of cache events, and of event order in SchedulerTask."""

import anyio
import attrs
from hypothesis import given, strategies as st
from testtools import TestCase

from rampwick_policy import (
    CacheChanges,
    CacheEventBuffer,
    CacheReported,
    Member,
    MemberTable,
    Scheduler,
    TargetsReceived,
)
from rampwick_policy._cache_events import MAX_ENTRIES_COUNT
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._cache_outbox import CacheOutbox
from rampwick_router.peers._messages import cache_events, to_cache_event_update
from rampwick_schema import WeightsTarget, parse_settings

from .fakes import ImmediateSender

NAMES = st.sampled_from(["a", "b"])
CHANGES = st.dictionaries(st.sampled_from([b"x" * 8, b"y" * 8]), st.integers(0, 9))


def seen(upstream, tokens, label="one/1", is_reset=False):
    changes = CacheChanges(label, tuple(tokens), tuple(tokens.values()))
    return CacheReported(upstream, (changes,), is_reset)


def apply_to(known, events):
    """Apply events to a table of tokens by upstream, label and prefix."""
    for event in events:
        if event.is_reset:
            known = {
                key: value for key, value in known.items() if key[0] != event.upstream
            }
        for change in event.changes:
            for prefix, tokens in zip(change.prefixes, change.tokens, strict=True):
                known[event.upstream, change.label, prefix] = tokens
    return known


class BatchTest(TestCase):
    @given(st.lists(st.tuples(NAMES, CHANGES, st.booleans()), max_size=12))
    def test_a_batch_is_equivalent_to_the_events_it_combines(self, steps):
        buffer = CacheEventBuffer()
        events = [seen(name, tokens, is_reset=reset) for name, tokens, reset in steps]
        for event in events:
            buffer.add(event)
        before = {("a", "one/1", b"x" * 8): 100, ("b", "one/1", b"y" * 8): 100}
        batch = list(cache_events(to_cache_event_update(buffer.take())))
        self.assertEqual(apply_to(dict(before), events), apply_to(dict(before), batch))

    @given(
        st.lists(st.tuples(NAMES, CHANGES, st.booleans()), max_size=12),
        st.integers(1, 3),
    )
    def test_parts_of_a_batch_are_equivalent_to_the_whole(self, steps, max_count):
        buffer = CacheEventBuffer()
        events = [seen(name, tokens, is_reset=reset) for name, tokens, reset in steps]
        for event in events:
            buffer.add(event)
        before = {("a", "one/1", b"x" * 8): 100, ("b", "one/1", b"y" * 8): 100}
        parts = []
        while buffer:
            part = buffer.take(max_count)
            entries = [item for event in part for item in event.changes]
            self.assertTrue(sum(len(item.prefixes) for item in entries) <= max_count)
            parts += part
        self.assertEqual(apply_to(dict(before), events), apply_to(before, parts))

    def test_too_many_changes_of_a_cache_become_a_reset(self):
        buffer = CacheEventBuffer()
        buffer.add(seen("b", {b"y" * 8: 5}))
        for number in range(MAX_ENTRIES_COUNT):
            buffer.add(seen("a", {number.to_bytes(8, "big"): 5}))
        buffer.add(seen("a", {b"x" * 8: 7}))
        known = {("a", "one/1", b"z" * 8): 100}
        self.assertEqual(
            {("a", "one/1", b"x" * 8): 7, ("b", "one/1", b"y" * 8): 5},
            apply_to(known, buffer.take()),
        )

    def test_events_are_returned_once(self):
        buffer = CacheEventBuffer()
        buffer.add(seen("a", {b"x" * 8: 5}))
        self.assertEqual(1, len(buffer.take()))
        self.assertEqual([], buffer.take())


@attrs.define
class RecordingLinks:
    """Fake links of one host; records the messages sent to each peer."""

    peers: list
    sent: dict = attrs.field(factory=dict)

    def broadcast(self, message, is_recipient):
        for peer in self.peers:
            if is_recipient(peer):
                self.sent.setdefault(peer.name, []).append(message)

    def link_to(self, name):
        return next((peer for peer in self.peers if peer.name == name), None)


@attrs.frozen
class FakeLink:
    """A fake link to a peer."""

    peer: Member


class BusySender(ImmediateSender):
    """Fake sender whose link has room for one message at a time."""

    def __init__(self, links):
        super().__init__(links)
        self.has_room = True

    def broadcast_difference(self, kind, message, is_recipient):
        super().broadcast_difference(kind, message, is_recipient)
        self.has_room = False

    def is_sent(self, kind):
        return self.has_room


class SlowLinkTest(TestCase):
    def test_events_wait_while_earlier_ones_are_still_being_sent(self):
        own = Member("a", "h", "a:1")
        links = RecordingLinks([Member("b", "h", "b:1")])
        sender = BusySender(links)
        outbox = CacheOutbox(MemberTable(own), links, self, lambda: {"b"}, sender)
        outbox.publish(seen("u", {b"x" * 8: 1}))
        outbox._flush()
        for tokens in (2, 3):
            outbox.publish(seen("u", {b"x" * 8: tokens}))
            outbox._flush()
        self.assertEqual(1, len(links.sent["b"]))
        sender.has_room = True
        outbox._flush()
        _, second = links.sent["b"]
        (event,) = cache_events(second)
        self.assertEqual((3,), event.changes[0].tokens)


class RecipientsTest(TestCase):
    """Recipients: all hosts in a small fleet, relays and their halls in a large one."""

    def fleet(self, own_name, per_hall):
        members = [
            Member(f"{hall}{number}", hall, f"{hall}{number}:1", 1, 100.0 - number)
            for hall in ("h", "k")
            for number in range(per_hall)
        ]
        own = next(member for member in members if member.name == own_name)
        table = MemberTable(own)
        table.merge(members)
        links = RecordingLinks([member for member in members if member != own])
        self.posted = []
        names = {member.name for member in members} - {own_name}
        outbox = CacheOutbox(table, links, self, lambda: names, ImmediateSender(links))
        return outbox, links

    def post(self, event):
        self.posted.append(event)

    def test_small_fleet_sends_to_all_hosts(self):
        outbox, links = self.fleet("h1", per_hall=3)
        outbox.publish(seen("a", {b"x" * 8: 5}))
        outbox._flush()
        self.assertEqual({"h0", "h2", "k0", "k1", "k2"}, set(links.sent))

    def test_large_fleet_sends_to_the_relay_only(self):
        outbox, links = self.fleet("h5", per_hall=10)
        outbox.publish(seen("a", {b"x" * 8: 5}))
        outbox._flush()
        self.assertEqual({"h0"}, set(links.sent))

    def test_the_relay_forwards_to_its_hall_and_to_other_halls(self):
        outbox, links = self.fleet("h0", per_hall=10)
        peer = FakeLink(links.link_to("h5"))
        outbox.receive(peer, to_cache_event_update([seen("a", {b"x" * 8: 5})]))
        outbox._flush()
        self.assertEqual(1, len(self.posted))
        self.assertEqual(19, len(links.sent))

    def test_events_of_other_halls_are_forwarded_to_the_own_hall_only(self):
        outbox, links = self.fleet("h0", per_hall=10)
        outbox.receive(
            FakeLink(links.link_to("k0")),
            to_cache_event_update([seen("a", {b"x" * 8: 5})]),
        )
        outbox._flush()
        self.assertEqual({f"h{number}" for number in range(1, 10)}, set(links.sent))

    def test_without_a_link_to_the_relay_the_hall_receives_events(self):
        outbox, links = self.fleet("h5", per_hall=10)
        links.peers = [peer for peer in links.peers if peer.name != "h0"]
        outbox.publish(seen("a", {b"x" * 8: 5}))
        outbox._flush()
        self.assertEqual(8, len(links.sent))


class ReentrantScheduler:
    """Posts another event while it handles the first."""

    def __init__(self):
        self.log = []
        self.pool = self
        self.state_changes = self
        self.task = None

    def take(self):
        return []

    def handle(self, event, now_seconds):
        self.log.append(f"begin {event}")
        if event == "one":
            self.task.post("two")
        self.log.append(f"end {event}")
        return []


class SchedulerTaskTest(TestCase):
    def test_an_event_posted_during_handling_is_handled_afterwards(self):
        async def scenario():
            scheduler = ReentrantScheduler()
            scheduler.task = SchedulerTask(scheduler, lambda: 1.0)
            scheduler.task.post("one")
            scheduler.task.post("three")
            return scheduler.log

        steps = [f"{step} {name}" for name in ("one", "two", "three") for step in "be"]
        expected = [
            step.replace("b ", "begin ").replace("e ", "end ") for step in steps
        ]
        self.assertEqual(expected, anyio.run(scenario))

    def test_a_query_reflects_events_posted_before_it(self):
        async def scenario():
            settings = parse_settings('[host]\nname = "e"\nhall = "h"\n', source="t")
            task = SchedulerTask(Scheduler(settings), lambda: 7.0)
            task.post(TargetsReceived((WeightsTarget("m", 3),)))
            return task.run_query(
                lambda scheduler, now_seconds: (
                    scheduler.upstreams.targets.newest("m"),
                    now_seconds,
                )
            )

        self.assertEqual((3, 7.0), anyio.run(scenario))
