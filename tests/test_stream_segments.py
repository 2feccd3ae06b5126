"""The begun streams that a group of hosts keeps in the store."""

from testtools import TestCase

from rampwick_policy import BegunStream, BegunStreams, StreamSegments, stream_key
from rampwick_policy._begun_streams import CONFLICT_NUMBER, read_group
from rampwick_policy._stream_segments import (
    MAX_SEGMENTS_COUNT,
    MAX_WRITE_COUNT,
    RELAXED_INTERVAL_SECONDS,
    SEGMENT_COUNT,
)
from rampwick_policy._version_history import VersionHistory
from rampwick_schema import HostEntry, ListedVersion

LIFETIME_SECONDS = 10.0


def entry(version):
    return HostEntry("u", "service", "h", "a:1", group="s", software_version=version)


def make_streams(*versions):
    """Return streams whose service has some versions, and their segments."""
    history = VersionHistory()
    history.list_age_seconds = lambda now: 0.0
    for version in versions:
        history.note_begun("s", version, 0.0)
    streams = BegunStreams(history)
    streams.storage = StreamSegments(history)
    return streams, streams.storage


def begin(streams, name, now_seconds=0.0, version="v1", instance=b"ab"):
    stream = BegunStream("s", version, instance, 1, now_seconds + LIFETIME_SECONDS)
    streams.note_begun(stream_key("/w", name), stream, now_seconds)


class StreamSegmentsTest(TestCase):
    def write(self, segments, now_seconds, version=1):
        write = segments.next_write(1, now_seconds)
        if write is not None:
            segments.note_written(write, version)
        return write

    def test_streams_are_added_to_one_segment_until_it_is_closed(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        first = self.write(segments, 0.0, version=7)
        begin(streams, "b")
        second = self.write(segments, 0.2)
        self.assertEqual((0, 7), (first.expected_version, second.expected_version))
        self.assertEqual(first.number, second.number)
        self.assertEqual([1, 2], [len(first.streams), len(second.streams)])
        for number in range(SEGMENT_COUNT):
            begin(streams, f"c{number}")
        self.assertEqual(first.number, self.write(segments, 0.4).number)
        begin(streams, "d")
        self.assertNotEqual(first.number, self.write(segments, 0.6).number)

    def test_nothing_is_written_twice(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        self.write(segments, 0.0)
        begin(streams, "a")
        self.assertIsNone(segments.next_write(1, 1.0))

    def test_streams_wait_longer_while_a_service_has_one_version(self):
        for versions, due_seconds in (
            (["v1"], RELAXED_INTERVAL_SECONDS),
            (["v1", "v2"], 0.1),
        ):
            streams, segments = make_streams(*versions)
            begin(streams, "a")
            self.write(segments, 0.0)
            begin(streams, "b")
            self.assertIsNone(segments.next_write(1, due_seconds - 0.01))
            self.assertIsNotNone(segments.next_write(1, due_seconds + 0.01))

    def test_standby_writes_each_second_at_most(self):
        for versions in (["v1", "v2"], ["v1"]):
            streams, segments = make_streams(*versions)
            segments.is_standby = True
            begin(streams, "a")
            self.write(segments, 0.0)
            begin(streams, "b")
            self.assertIsNone(segments.next_write(1, 0.99))
            self.assertIsNotNone(segments.next_write(1, 4.01))

    def test_all_groups_together_write_at_a_bounded_rate(self):
        streams, segments = make_streams("v1", "v2")
        writes_count = 0
        for step in range(1000):
            begin(streams, f"a{step}", step / 100)
            writes_count += segments.next_write(40, step / 100) is not None
        self.assertLess(writes_count * 40, 45 * 10)

    def test_failed_write_is_repeated_with_what_is_newer(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        write = segments.next_write(1, 0.0)
        begin(streams, "a", version="v2", instance=b"cd")
        segments.note_failed(write, may_be_done=False)
        (stream,) = segments.next_write(1, 1.0).streams.values()
        self.assertEqual(CONFLICT_NUMBER, stream.attempt_number)

    def test_segment_whose_write_may_have_been_done_is_left_alone(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        write = self.write(segments, 0.0)
        begin(streams, "b")
        segments.note_failed(segments.next_write(1, 1.0), may_be_done=True)
        again = segments.next_write(1, 2.0)
        self.assertNotEqual(write.number, again.number)
        self.assertEqual(2, len(again.streams))
        self.assertEqual(1, segments.unknown_count)
        segments.note_read([], 2.0)
        self.assertEqual(0, segments.unknown_count)

    def test_write_that_an_error_ended_is_made_again(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        segments.next_write(1, 0.0)
        self.assertEqual(1, len(segments.next_write(1, 1.0).streams))

    def test_segment_is_overwritten_only_after_its_streams_have_expired(self):
        streams, segments = make_streams("v1", "v2")
        segments.note_read([(0, 5, LIFETIME_SECONDS), (1, 6, 2.0)], 0.0)
        begin(streams, "a", 1.0)
        self.assertEqual((2, 0), _target(self.write(segments, 1.0)))
        begin(streams, "b", 3.0)
        segments.note_read([(0, 5, LIFETIME_SECONDS - 3.0), (1, 6, -1.0)], 3.0)
        self.assertEqual((1, 6), _target(segments.next_write(1, 3.0)))

    def test_segment_that_expires_first_is_overwritten_if_there_are_too_many(self):
        streams, segments = make_streams("v1", "v2")
        segments.note_read(
            [
                (number, number, 50.0 - number / 10)
                for number in range(MAX_SEGMENTS_COUNT)
            ],
            0.0,
        )
        begin(streams, "a")
        last = MAX_SEGMENTS_COUNT - 1
        self.assertEqual((last, last), _target(segments.next_write(1, 0.0)))

    def test_one_write_is_bounded_and_the_rest_follows(self):
        streams, segments = make_streams("v1", "v2")
        for number in range(MAX_WRITE_COUNT + 1):
            begin(streams, f"a{number}")
        self.assertEqual(MAX_WRITE_COUNT, len(self.write(segments, 0.0).streams))
        self.assertEqual(1, len(self.write(segments, 1.0).streams))

    def test_expired_streams_are_not_written(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        self.assertIsNone(segments.next_write(1, LIFETIME_SECONDS + 1.0))

    def test_streams_of_other_groups_and_of_the_store_are_not_written(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        update = streams.to_all.take_update(0.0)
        other, other_segments = make_streams("v1", "v2")
        other.receive_update(update, 0.0, must_forward=False, is_from_group=False)
        third, third_segments = make_streams("v1", "v2")
        third.restore(update.groups, 0.0)
        self.assertEqual([1, 1], [len(other), len(third)])
        self.assertIsNone(other_segments.next_write(1, 0.0))
        self.assertIsNone(third_segments.next_write(1, 0.0))

    def test_stored_streams_are_read_as_they_were(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        begin(streams, "b", version="v2")
        groups = segments.next_write(1, 0.0).groups
        found = dict(item for group in groups for item in read_group(group, 0.0))
        for name, version in (("a", "v1"), ("b", "v2")):
            stream = found[stream_key("/w", name)]
            self.assertEqual(version, stream.software_version)
            self.assertGreaterEqual(stream.expires_at_seconds, LIFETIME_SECONDS)

    def test_record_of_a_host_outweighs_the_stored_one(self):
        streams, segments = make_streams("v1", "v2")
        begin(streams, "a")
        groups = segments.next_write(1, 0.0).groups
        other, _ = make_streams("v1", "v2")
        begin(other, "a", version="v2", instance=b"cd")
        other.restore(groups, 0.0)
        # The caller may hold events of either.
        self.assertEqual("", other.find(stream_key("/w", "a"), 0.0).software_version)


class RecoveredHistoryTest(TestCase):
    def recover(self, listed, known_seconds, changed=()):
        history = VersionHistory()
        history.list_age_seconds = lambda now: 0.0
        history.note_listed([], 100.0)
        history.recover(listed, known_seconds, changed, 100.0)
        return history.only_version("s", [], LIFETIME_SECONDS, 100.0)

    def test_only_version_is_known_by_its_history(self):
        self.assertEqual("v1", self.recover([ListedVersion("s", "v1", 0.0)], 60.0))

    def test_history_that_is_too_short_proves_nothing(self):
        self.assertIsNone(self.recover([ListedVersion("s", "v1", 0.0)], 5.0))

    def test_version_that_came_after_the_history_was_written_counts(self):
        changed = [entry("v2")]
        self.assertIsNone(self.recover([ListedVersion("s", "v1", 0.0)], 60.0, changed))

    def test_version_counts_as_if_the_history_had_been_written_now(self):
        listed = [ListedVersion("s", "v1", 0.0), ListedVersion("s", "v0", 9.0)]
        self.assertIsNone(self.recover(listed, 60.0))
        listed[1] = ListedVersion("s", "v0", 11.0)
        self.assertEqual("v1", self.recover(listed, 60.0))


def _target(write):
    return write.number, write.expected_version
