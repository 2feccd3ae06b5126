"""What a relay sends to its peers fits its link, and nothing urgent waits for it."""

import functools
from unittest import mock

import anyio
from measure.relay_takeover import FLEETS, Takeover
from testtools import TestCase

from rampwick_policy import Member, MessageKind, PacedQueue, SendBudget
from rampwick_policy._begun_streams import RECORD_BYTES
from rampwick_policy._paced_queue import BLOCKED_SECONDS
from rampwick_policy._relay_listener import HOST_ALIVE_SECONDS, RELAY_TIMEOUT_SECONDS
from rampwick_policy._send_budget import (
    BYTES_PER_MEGABIT,
    RESERVED_SHARE,
    SAVED_SECONDS,
)
from rampwick_router._metrics import Metrics
from rampwick_router.peers._links import Link, PeerLinks
from rampwick_router.peers._paced_sender import MAX_WAITING_BYTES, PacedSender
from rampwick_router.peers._stream_records import StreamRecordSender
from rampwick_router.peers._summaries import HALL_TIMEOUT_SECONDS
from rampwick_schema import (
    LENGTH_BYTES,
    MESSAGES_VERSION,
    BegunStreamsUpdate,
    MemberRecord,
    Members,
    StreamGroup,
    decode_message,
    encode_message,
    parse_settings,
)

FLEET, HALL = MessageKind.FLEET_SUMMARY, MessageKind.HALL_SUMMARY
STREAMS, CACHES = MessageKind.BEGUN_STREAMS, MessageKind.CACHE_EVENTS

#: Share of a link of 4 Mbit/s.
BYTES_PER_SECOND = 200_000.0


RECORD = MemberRecord("front-1", "hall", "10.0.0.1:7000", 5, 10.0)


def make_links():
    settings = parse_settings('[host]\nname = "a"\nhall = "h"\n', source="t")
    own = Member("a", "h", "a:1")
    return PeerLinks(own, settings.peers, Metrics(), list, list, lambda: 1.0)


def make_queue():
    return PacedQueue(SendBudget(4.0))


def drain(queue, until_seconds, now=0.0, refill=lambda now: None):
    """Take messages in steps of 10 ms; return them with their times."""
    taken = []
    step = 0
    while now + step * 0.01 < until_seconds:
        at_seconds = now + step * 0.01
        refill(at_seconds)
        while (message := queue.take(at_seconds)) is not None:
            taken.append((at_seconds, message))
        step += 1
    return taken


def size(taken, kind=None):
    return sum(len(item.data) for _, item in taken if kind in (None, item.kind))


class BudgetTest(TestCase):
    def test_sending_is_bounded_by_a_share_of_the_link(self):
        queue = make_queue()
        for number in range(1000):
            queue.put_difference(CACHES, number % 17, b"x" * 4000, 0.0)
        taken = drain(queue, 4.0)
        self.assertTrue(0.95 < size(taken) / (4.0 * BYTES_PER_SECOND) < 1.05)
        first = [item for item in taken if item[0] < 0.5]
        self.assertTrue(size(first) <= BYTES_PER_SECOND * (0.5 + SAVED_SECONDS) + 4000)

    def test_a_fast_link_delays_nothing(self):
        queue = PacedQueue(SendBudget(1000.0))
        for number in range(100):
            queue.put_difference(CACHES, number, b"x" * 4000, 0.0)
        self.assertEqual(100, len(drain(queue, 0.01)))

    def test_other_messages_wait_for_urgent_ones(self):
        queue = make_queue()
        queue.budget.spend_unpaced(100_000, 0.0)
        queue.put_state(FLEET, "a", b"x" * 1000, 0.0)
        # The reserved part is saved up for the first message only.
        self.assertEqual(1, len(drain(queue, 0.2)))
        for number in range(50):
            queue.put_state(FLEET, number, b"x" * 4000, 0.0)
        taken = drain(queue, 0.4, now=0.2)
        reserved = BYTES_PER_SECOND * RESERVED_SHARE * (0.2 + SAVED_SECONDS)
        self.assertTrue(size(taken) <= reserved + 4000)

    def test_message_that_its_peer_did_not_accept_delays_no_other(self):
        queue = make_queue()
        size_bytes = round(BYTES_PER_SECOND)
        queue.put_state(FLEET, "slow", b"x" * size_bytes, 0.0)
        queue.put_state(FLEET, "sound", b"x" * 1000, 0.0)
        queue.refund(queue.take(0.0))
        self.assertEqual("sound", queue.take(0.0).peer)

    def test_urgent_messages_do_not_starve_the_others(self):
        queue = make_queue()
        for number in range(1000):
            queue.put_difference(CACHES, number % 17, b"x" * 1000, 0.0)

        def refill(now):
            queue.budget.spend_unpaced(10_000, now)

        taken = drain(queue, 4.0, refill=refill)
        self.assertTrue(size(taken) >= 0.2 * 4.0 * BYTES_PER_SECOND)


class OrderTest(TestCase):
    def test_waiting_kinds_share_the_link_by_weight(self):
        queue = make_queue()
        for number in range(2000):
            for kind in (FLEET, STREAMS, CACHES):
                queue.put_difference(kind, number % 17, b"x" * 1000, 0.0)
        # Before any of them is overdue.
        taken = drain(queue, 0.95)
        whole = size(taken)
        for kind, share in ((FLEET, 1 / 2), (STREAMS, 1 / 4), (CACHES, 1 / 4)):
            self.assertTrue(abs(size(taken, kind) / whole - share) < 0.02, kind)

    def test_a_kind_that_was_idle_gets_no_more_than_its_share(self):
        queue = make_queue()
        for number in range(2000):
            queue.put_difference(CACHES, number % 17, b"x" * 1000, 0.0)
        drain(queue, 4.0)
        for number in range(2000):
            queue.put_difference(STREAMS, number % 17, b"x" * 1000, 0.0)
        taken = drain(queue, 6.0, now=4.0)
        self.assertTrue(abs(size(taken, CACHES) / size(taken) - 1 / 2) < 0.03)

    def test_a_newer_state_replaces_one_that_waits_and_keeps_its_turn(self):
        queue = make_queue()
        queue.budget.spend(30_000, 0.0)
        for data in (b"old", b"new"):
            for peer in ("a", "b"):
                queue.put_state(FLEET, peer, data, 0.0)
        taken = [(item.peer, item.data) for _, item in drain(queue, 1.0)]
        self.assertEqual([("a", b"new"), ("b", b"new")], taken)

    def test_all_peers_are_served_though_states_are_replaced_all_the_time(self):
        queue = make_queue()

        def refill(now):
            for peer in range(40):
                queue.put_state(FLEET, peer, b"x" * 4000, 0.0)

        taken = drain(queue, 2.0, refill=refill)
        counts = [sum(item.peer == peer for _, item in taken) for peer in range(40)]
        self.assertTrue(min(counts) >= 2 and max(counts) - min(counts) <= 1, counts)

    def test_summaries_that_are_overdue_go_before_other_kinds(self):
        """Hosts that get no sum for three seconds take all others for dead."""
        queue = make_queue()
        for peer in range(50):
            queue.put_state(FLEET, peer, b"x" * 8000, 0.0)
        for number in range(2000):
            queue.put_difference(CACHES, number % 17, b"x" * 1000, 0.0)
        taken = drain(queue, 3.0)
        last = max(at for at, item in taken if item.kind is FLEET)
        self.assertTrue(1.0 < last < 2.5, last)
        early = [item for item in taken if item[0] < 1.0]
        self.assertTrue(size(early, CACHES) > 0.3 * size(early))
        self.assertTrue(all(item.kind is CACHES for at, item in taken if at > last))

    def test_differences_are_all_sent_in_their_order(self):
        queue = make_queue()
        for number in range(300):
            for peer in ("a", "b"):
                queue.put_difference(CACHES, peer, bytes([number % 256]) * 500, 0.0)
        taken = drain(queue, 4.0)
        for peer in ("a", "b"):
            sent = [item.data[0] for _, item in taken if item.peer == peer]
            self.assertEqual([number % 256 for number in range(300)], sent)


class SlowPeerTest(TestCase):
    def test_a_difference_that_a_slow_peer_refused_is_sent_later_and_in_order(self):
        queue = make_queue()
        for data in (b"1", b"2"):
            queue.put_difference(CACHES, "slow", data, 0.0)
        queue.put_difference(CACHES, "other", b"3", 0.0)
        queue.return_blocked(queue.take(0.0), 0.0)
        self.assertEqual([b"3"], [item.data for _, item in drain(queue, 0.1)])
        self.assertTrue(queue.is_sent(CACHES))
        self.assertAlmostEqual(BLOCKED_SECONDS, queue.wait_seconds(0.0))
        later = drain(queue, 1.0, now=BLOCKED_SECONDS)
        self.assertEqual([b"1", b"2"], [item.data for _, item in later])

    def test_nothing_is_kept_for_a_peer_whose_link_has_closed(self):
        queue = make_queue()
        queue.put_difference(CACHES, "gone", b"1", 0.0)
        queue.put_state(FLEET, "gone", b"2", 0.0)
        queue.remove("gone")
        self.assertEqual([], drain(queue, 1.0))
        self.assertEqual(float("inf"), queue.wait_seconds(1.0))


class SlowLinkTest(TestCase):
    """A peer that accepts nothing delays no other and takes limited memory."""

    def send(self, count):
        async def scenario():
            received = []
            links = make_links()
            slow = Member("slow", "h", "slow:1")
            link = Link.open(slow, 1.0, lambda data: self.accepts)
            other = Link.open(
                Member("other", "h", "other:1"),
                1.0,
                lambda data: received.append(data) or True,
            )
            links._links += [link, other]
            sender = PacedSender(links, 1000.0, lambda: self.now_seconds)
            for number in range(count):
                self.now_seconds += 0.3
                sender.broadcast_difference(
                    CACHES, Members([RECORD] * 200), lambda peer: True
                )
                self.assertEqual(number + 1, len(received))
            return sender._queue.waiting_bytes(link), len(received[0])

        self.accepts, self.now_seconds = False, 1.0
        return anyio.run(scenario)

    def test_differences_wait_for_a_slow_peer(self):
        waiting_bytes, size_bytes = self.send(5)
        self.assertEqual(5 * size_bytes, waiting_bytes)

    def test_what_waits_for_a_slow_peer_is_limited(self):
        waiting_bytes, size_bytes = self.send(2 * MAX_WAITING_BYTES // 10_000)
        self.assertTrue(waiting_bytes <= MAX_WAITING_BYTES + size_bytes)


class NewPeerTest(TestCase):
    """Records of new streams waited until each new peer had all earlier ones."""

    def test_state_of_a_new_peer_holds_back_no_records_of_new_streams(self):
        async def scenario():
            group = StreamGroup("s", "v1", 9.0, records=bytes(50_000 * RECORD_BYTES))
            streams = mock.Mock()
            streams.initial_state.return_value = BegunStreamsUpdate([group])
            links = make_links()
            link = Link.open(Member("new", "h", "new:1"), 1.0, lambda data: True)
            links._links.append(link)
            sender = PacedSender(links, 1.0, lambda: 1.0)
            records = StreamRecordSender(streams, sender, None)
            records.send_initial_state(link, 1.0)
            return sender._queue.waiting_bytes(link), records.is_ready()

        waiting_bytes, is_ready = anyio.run(scenario)
        self.assertGreater(waiting_bytes, 0)
        self.assertTrue(is_ready)


class CompressionTest(TestCase):
    def test_only_hosts_that_decode_it_get_a_compressed_sum(self):
        async def scenario():
            sent = {}
            links = make_links()
            for name, version in (("new", MESSAGES_VERSION), ("old", 24)):
                send = functools.partial(sent.__setitem__, name)
                peer = Member(name, "h", f"{name}:1")
                links._links.append(Link.open(peer, 1.0, send, version))
            sender = PacedSender(links, 10.0, lambda: 1.0)
            message = Members([RECORD] * 100)
            sender.broadcast_state(FLEET, message, lambda peer: True)
            for link in links.links:
                link.put(message)
            return message, sent

        message, sent = anyio.run(scenario)
        self.assertEqual(encode_message(message), sent["old"])
        self.assertTrue(len(sent["new"]) < len(sent["old"]) / 4)
        self.assertEqual(message, decode_message(sent["new"][LENGTH_BYTES:]))


class TakeoverTest(TestCase):
    """A host on a slow link becomes the relay of a hall of 17."""

    def run_takeover(self, *, is_paced):
        takeover = Takeover(FLEETS[69], 5.0, is_paced=is_paced)
        return anyio.run(takeover.run)

    def test_what_a_new_relay_sends_fits_its_link(self):
        found = self.run_takeover(is_paced=True)
        link_bytes = 5.0 * BYTES_PER_MEGABIT
        self.assertTrue(max(found.bytes_by_second) < link_bytes / 2, found)
        self.assertTrue(found.max_queued_seconds < 0.1, found)

    def test_its_hall_hears_from_it_in_time(self):
        found = self.run_takeover(is_paced=True)
        self.assertTrue(found.max_silence_seconds < RELAY_TIMEOUT_SECONDS, found)
        self.assertTrue(found.max_sum_gap_seconds < HOST_ALIVE_SECONDS, found)
        self.assertTrue(found.max_hall_gap_seconds < HALL_TIMEOUT_SECONDS, found)

    def test_cache_events_that_wait_are_not_lost(self):
        found = self.run_takeover(is_paced=True)
        self.assertTrue(found.unsent_entries_count > 0, found)
        known_count = found.told_entries_count + found.unsent_entries_count
        self.assertEqual(found.read_entries_count, known_count, found)
