"""What hosts know of the software versions at which streams began."""

import attrs
from testtools import TestCase

from rampwick_policy import BegunStream, BegunStreams, split_update, stream_key
from rampwick_policy._begun_streams import (
    KEY_BYTES,
    MAX_PART_COUNT,
    MAX_STREAMS_COUNT,
    MAX_UPDATE_COUNT,
    RECORD_BYTES,
    UNKNOWN_VERSION,
)
from rampwick_policy._version_history import (
    MAX_LIST_AGE_SECONDS,
    MAX_NAME_CHARACTERS,
    VersionHistory,
)
from rampwick_schema import (
    BegunStreamsUpdate,
    ListedVersion,
    StreamGroup,
    decode_message,
    encode_message,
)

KEY = stream_key("/a", "r1")


def make(version="v1", number=1, until=20.0, instance=b"aa"):
    return BegunStream("notes", version, instance, number, until)


def records_count(update):
    return sum(len(group.records) for group in update.groups) // RECORD_BYTES


class Listed:
    """An upstream as the history sees it."""

    def __init__(self, version, service="notes"):
        self.entry = type("Entry", (), {"group": service, "software_version": version})


class BegunStreamsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.own = BegunStreams(VersionHistory())
        self.peer = BegunStreams(VersionHistory())

    def send(self, now=1.0, must_forward=False):
        """Pass the pending update on to the peer, over the wire."""
        update = self.own.to_all.take_update(now)
        data = decode_message(encode_message(update)[4:])
        self.peer.receive_update(data, now, must_forward=must_forward)

    def version(self, streams, key=KEY, now=1.0):
        found = streams.find(key, now)
        return found and found.software_version

    def test_last_attempt_counts_in_any_order_of_arrival(self):
        for order in ((1, 2), (2, 1)):
            peer = BegunStreams(VersionHistory())
            for number in order:
                self.own = BegunStreams(VersionHistory())
                self.peer = peer
                self.own.note_begun(KEY, make(f"v{number}", number), 1.0)
                self.send()
            self.assertEqual("v2", self.version(peer), order)

    def test_requests_of_one_id_and_two_versions_have_no_known_version(self):
        for numbers in ((1, 1), (2, 1), (1, 2)):
            for versions in (("v1", "v2"), ("v2", "v1")):
                own = BegunStreams(VersionHistory())
                for instance, number, version in zip(
                    (b"aa", b"bb"), numbers, versions, strict=True
                ):
                    own.note_begun(KEY, make(version, number, instance=instance), 1.0)
                self.assertEqual(UNKNOWN_VERSION, self.version(own), numbers)
                own.note_begun(KEY, make("v1", 3, instance=b"aa"), 1.0)
                self.assertEqual(UNKNOWN_VERSION, self.version(own), numbers)

    def test_requests_of_one_id_and_one_version_agree(self):
        self.own.note_begun(KEY, make("v1", 2, instance=b"aa"), 1.0)
        self.own.note_begun(KEY, make("v1", 1, instance=b"bb"), 1.0)
        self.assertEqual("v1", self.version(self.own))

    def test_peers_are_notified_of_a_longer_lifetime_but_not_of_its_rounding(self):
        self.own.note_begun(KEY, make(until=3.0), 1.0)
        self.send()
        self.own.note_begun(KEY, make(until=3.9), 1.0)
        self.assertIsNone(self.own.to_all.take_update(1.0))
        self.own.note_begun(KEY, make(until=30.0), 1.0)
        self.send()
        self.assertEqual("v1", self.version(self.peer, now=29.0))

    def test_stream_is_forgotten_after_its_deadline(self):
        self.own.note_begun(KEY, make(until=3.0), 1.0)
        self.send()
        self.assertEqual("v1", self.version(self.peer, now=3.0))
        self.assertIsNone(self.version(self.peer, now=4.1))

    def test_keys_of_two_workspaces_differ(self):
        self.assertNotEqual(KEY, stream_key("/b", "r1"))

    def test_relay_passes_each_stream_on_once(self):
        self.own.note_begun(KEY, make(), 1.0)
        update = self.own.to_all.take_update(1.0)
        for is_from_group in (True, False):
            relay = BegunStreams(VersionHistory())
            for _ in range(3):
                relay.receive_update(
                    update, 1.0, must_forward=True, is_from_group=is_from_group
                )
            sent = [relay.to_all.take_update(1.0), relay.to_group.take_update(1.0)]
            self.assertEqual(
                [is_from_group, not is_from_group], [item is not None for item in sent]
            )
            self.assertIsNone(relay.to_all.take_update(1.0))
            self.assertIsNone(relay.to_group.take_update(1.0))

    def test_new_relay_passes_on_what_the_former_one_may_not_have(self):
        self.own.note_begun(KEY, make(), 1.0)
        self.peer.receive_update(
            self.own.to_all.take_update(1.0), 1.0, must_forward=False
        )
        self.assertIsNone(self.peer.to_all.take_update(1.0))
        self.peer.receive_update(BegunStreamsUpdate(), 2.0, must_forward=True)
        self.assertIsNotNone(self.peer.to_all.take_update(2.0))

    def test_updates_are_retransmitted_for_a_limited_time(self):
        self.own.note_begun(KEY, make(), 1.0)
        self.own.to_all.take_update(1.0)
        self.assertIsNotNone(self.own.to_all.take_retransmission(2.0))
        self.assertIsNone(self.own.to_all.take_retransmission(5.0))

    def test_torn_records_and_long_names_change_nothing(self):
        long = "v" * (MAX_NAME_CHARACTERS + 1)
        records = KEY + b"aa\1"
        for group in (
            StreamGroup("notes", "v1", 9.0, records[:-1]),
            StreamGroup("notes", long, 9.0, records),
            StreamGroup(long, "v1", 9.0, records),
        ):
            self.peer.receive_update(
                BegunStreamsUpdate([group]), 1.0, must_forward=True
            )
        self.assertEqual(0, len(self.peer))
        group = StreamGroup("notes", "v1", 1e9, records + records[:-1])
        self.peer.receive_update(BegunStreamsUpdate([group]), 1.0, must_forward=False)
        self.assertEqual(1, len(self.peer))
        self.assertIsNone(self.version(self.peer, now=700.0))

    def test_long_names_of_listed_versions_change_nothing(self):
        long = "v" * (MAX_NAME_CHARACTERS + 1)
        history = VersionHistory()
        names = [("notes", long), (long, "v1"), ("notes", "v1")]
        listed = [ListedVersion(*item, 0.0) for item in names]
        history.receive(listed, 0.0, 1.0)
        self.assertEqual([("notes", "v1", 0.0)], list(history.ages(1.0)))
        self.assertFalse(history.is_mixed)

    def test_number_of_streams_is_bounded_and_the_newest_stay(self):
        for number in range(MAX_STREAMS_COUNT + 10):
            key = number.to_bytes(KEY_BYTES, "big")
            self.own.note_begun(key, make(until=1e9), 1.0)
        self.assertEqual(MAX_STREAMS_COUNT, len(self.own))
        self.assertIsNotNone(self.own.find(key, 1.0))

    def test_initial_state_has_streams_and_versions(self):
        history = VersionHistory()
        history.list_age_seconds = lambda now_seconds: 0.5
        history.note_listed([Listed("v1")], 1.0)
        own = BegunStreams(history)
        own.note_begun(KEY, make(), 11.0)
        peer_history = VersionHistory()
        peer_history.list_age_seconds = lambda now_seconds: 0.5
        peer = BegunStreams(peer_history)
        peer.receive_update(own.initial_state(11.0), 111.0, must_forward=False)
        self.assertEqual("v1", self.version(peer, now=111.0))
        self.assertEqual(10.0, peer_history.known_seconds(111.0))

    def test_parts_of_an_update_are_equivalent_to_the_whole(self):
        own = BegunStreams(VersionHistory())
        for number in range(3 * MAX_PART_COUNT):
            key = number.to_bytes(KEY_BYTES, "big")
            own.note_begun(key, make(f"v{number % 2}", until=20.0 + number % 5), 1.0)
        state = attrs.evolve(
            own.initial_state(1.0),
            listed=[ListedVersion("notes", "v1", 1.0)],
            known_seconds=5.0,
        )
        versions, *parts = split_update(state)
        self.assertEqual(
            ([], state.listed, 5.0), attrs.astuple(versions, recurse=False)
        )
        for part in parts:
            self.assertTrue(0 < records_count(part) <= MAX_PART_COUNT)
        whole, joined = BegunStreams(VersionHistory()), BegunStreams(VersionHistory())
        whole.receive_update(state, 2.0, must_forward=False)
        for part in (versions, *parts):
            joined.receive_update(part, 2.0, must_forward=False)
        self.assertEqual(3 * MAX_PART_COUNT, len(joined))
        self.assertEqual(whole._streams, joined._streams)

    def test_streams_that_have_expired_are_not_sent(self):
        for number in range(4):
            key = number.to_bytes(KEY_BYTES, "big")
            self.own.note_begun(key, make(until=5.0 + number), 1.0)
        update = self.own.to_all.take_update(6.5)
        self.assertEqual(2, records_count(update))
        self.assertIs(None, self.own.to_all.take_update(6.5))

    def test_the_newest_streams_are_sent_first(self):
        for number in range(MAX_UPDATE_COUNT + 10):
            key = number.to_bytes(KEY_BYTES, "big")
            self.own.note_begun(key, make(), 1.0)
        self.send()
        self.assertIs(None, self.peer.find((9).to_bytes(KEY_BYTES, "big"), 1.0))
        self.assertEqual(MAX_UPDATE_COUNT, len(self.peer))
        self.send()
        self.assertEqual(MAX_UPDATE_COUNT + 10, len(self.peer))


class VersionHistoryTest(TestCase):
    def history(self, *listed, since=0.0, now=20.0):
        history = VersionHistory()
        history.list_age_seconds = lambda now_seconds: 0.5
        history.note_listed(listed, since)
        history.note_listed(listed, now)
        return history

    def test_only_version_is_known_after_as_long_as_a_stream_may_last(self):
        history = self.history(Listed("v1"), Listed("v1"))
        self.assertEqual("v1", history.only_version("notes", [], 15.0, 20.0))
        self.assertIsNone(history.only_version("notes", [], 25.0, 20.0))
        self.assertIsNone(history.only_version("other", [], 15.0, 20.0))

    def test_upstreams_that_stay_listed_count_however_old_the_list_is(self):
        both = [Listed("v1"), Listed("v2")]
        history = self.history(*both)
        self.assertEqual(
            "v1", history.only_version("notes", [Listed("v1")], 15.0, 60.0)
        )
        history.note_begun("notes", "v2", 90.0)
        self.assertIsNone(history.only_version("notes", both, 15.0, 90.0))
        self.assertEqual(
            "v2", history.only_version("notes", [Listed("v2")], 15.0, 90.0)
        )

    def test_time_without_a_current_list_is_not_known(self):
        history = self.history(Listed("v1"))
        ages = iter((99.0, 0.5, 0.5, 0.5, 0.5))
        history.list_age_seconds = lambda now_seconds: next(ages)
        history.note_time(30.0)
        self.assertIsNone(history.only_version("notes", [], 15.0, 40.0))
        self.assertEqual(
            "v1", history.only_version("notes", [Listed("v1")], 15.0, 45.0)
        )

    def test_version_that_left_counts_as_long_as_its_streams_may_last(self):
        history = self.history(Listed("v1"), Listed("v2"))
        history.note_listed([Listed("v2")], 30.0)
        self.assertIsNone(history.only_version("notes", [], 15.0, 30.0))
        self.assertTrue(history.is_mixed)
        self.assertEqual("v2", history.only_version("notes", [], 15.0, 36.0))

    def test_old_list_proves_nothing(self):
        history = self.history(Listed("v1"))
        history.list_age_seconds = lambda now_seconds: MAX_LIST_AGE_SECONDS + 0.1
        self.assertIsNone(history.only_version("notes", [], 15.0, 20.0))

    def test_stream_of_a_version_that_is_not_listed_here_makes_a_service_mixed(self):
        history = self.history(Listed("v1"))
        history.note_begun("notes", "v2", 20.0)
        self.assertIsNone(history.only_version("notes", [], 15.0, 20.0))

    def test_version_that_is_not_stated_is_not_the_only_one(self):
        history = self.history(Listed(UNKNOWN_VERSION))
        self.assertFalse(history.only_version("notes", [], 15.0, 20.0))

    def test_host_knows_as_long_as_its_peers_do(self):
        history = VersionHistory()
        history.list_age_seconds = lambda now_seconds: 0.5
        history.receive([], 100.0, 20.0)
        history.note_listed([Listed("v1")], 20.1)
        self.assertEqual("v1", history.only_version("notes", [], 15.0, 20.2))
