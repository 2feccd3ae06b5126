"""Recovery of the history of versions from the store, beside interruptions."""

import random

import anyio
from testtools import TestCase

from rampwick_platform import HistoryGoneError, ReadSegment, ReadStreams
from rampwick_policy import SoftwareVersions
from rampwick_router.control import StreamStorage
from rampwick_schema import StoredHistory, StoredVersion, StreamGroup

NOW_SECONDS = 500.0


class Decoder:
    """Decodes no entry."""

    upstreams_prefix = "upstreams/"


class Streams:
    """The store, with histories by group, as the host reads them."""

    def __init__(self, **store_versions):
        self.store_versions = store_versions
        self.segments = []
        self.gone_before = 0
        self.readings_count = 0
        self.changes_after = []
        self.on_changes = None

    async def read(self):
        """Return the segments and histories."""
        self.readings_count += 1
        versions = [StoredVersion("notes", "v1", 0.0)]
        histories = {
            group: StoredHistory("w", version, 120.0, versions)
            for group, version in self.store_versions.items()
        }
        return ReadStreams(self.segments, histories, dict.fromkeys(histories, 1))

    async def read_changes(self, prefix, after_version):
        """Return no changes."""
        self.changes_after.append(after_version)
        if after_version < self.gone_before:
            raise HistoryGoneError("gone", step="watch objects")
        if self.on_changes:
            self.on_changes()
        return []


class RecoveryTest(TestCase):
    def setUp(self):
        super().setUp()
        self.versions = SoftwareVersions([], is_enabled=True)
        self.history = self.versions.history
        self.list_age_seconds = 0.1
        self.history.list_age_seconds = lambda now: self.list_age_seconds
        self.history.note_listed([], NOW_SECONDS)
        self.storage = StreamStorage(
            None,
            Decoder(),
            self.versions,
            lambda: 0,
            lambda: ("fleet", 1),
            lambda: (900, self.list_age_seconds),
            lambda: NOW_SECONDS,
            random.Random(1),
        )

    def recover(self, streams):
        """Recover from what is stored; return for how long versions are known."""
        self.storage._store, self.storage._group = streams, "fleet"
        anyio.run(self.storage._recover)
        return self.history.known_seconds(NOW_SECONDS)

    def interrupt(self):
        """Let the list become too old for a while, as of now."""
        self.list_age_seconds = 3.0
        self.history.note_time(NOW_SECONDS)
        self.list_age_seconds = 0.1

    def test_history_is_joined(self):
        self.assertEqual(120.0, self.recover(Streams(fleet=10)))
        self.assertTrue(self.storage.is_caught_up)

    def test_interruption_during_the_reading_is_not_covered(self):
        streams = Streams(fleet=10)
        streams.on_changes = self.interrupt
        self.assertEqual(0.0, self.recover(streams))
        self.assertFalse(self.storage.is_caught_up)
        streams.on_changes = None
        self.assertEqual(120.0, self.recover(streams))

    def test_history_of_an_earlier_reading_is_read_again(self):
        streams = Streams(fleet=10)
        self.recover(streams)
        streams.store_versions["fleet"] = 890
        self.interrupt()
        self.recover(streams)
        self.assertEqual([10, 890], streams.changes_after)

    def test_other_history_is_joined_if_that_of_the_group_is_forgotten(self):
        streams = Streams(fleet=10, other=890)
        streams.gone_before = 100
        self.assertEqual(120.0, self.recover(streams))
        self.assertEqual([10, 890], streams.changes_after)

    def test_history_of_the_own_group_goes_first(self):
        streams = Streams(fleet=800, other=890)
        self.recover(streams)
        self.assertEqual([800], streams.changes_after)

    def test_streams_are_restored_once(self):
        streams = Streams(fleet=10)
        group = StreamGroup("notes", "v1", 10.0, b"k" * 8 + b"in" + b"\x01")
        streams.segments = [ReadSegment("fleet", 0, 5, [group])]
        self.recover(streams)
        self.assertEqual(1, len(self.versions.streams))
        found = self.versions.streams.find(b"k" * 8, NOW_SECONDS)
        self.interrupt()
        self.storage._read_clock = lambda: NOW_SECONDS + 9.0
        self.recover(streams)
        self.assertEqual(2, streams.readings_count)
        again = self.versions.streams.find(b"k" * 8, NOW_SECONDS)
        self.assertEqual(found.expires_at_seconds, again.expires_at_seconds)
