"""Begun streams and software versions that outlive all hosts, in the store."""

import base64
import secrets
from collections.abc import Callable, Iterable

import attrs

from rampwick_schema import (
    DataError,
    ReprMixin,
    StoredHistory,
    StoredStreamGroup,
    StoredVersion,
    StreamGroup,
    StreamSegment,
)

from ._api import HistoryGoneError, ObjectApi, StoredObject
from ._records import decode_record, encode_record

STREAMS_PREFIX = "streams/"

_HISTORY = "history"

#: Maximum number of pages that are read of the objects, and of answers to a watch.
MAX_PAGES_COUNT = 20

#: Wait of a watch that only reads changes that exist.
WATCH_SECONDS = 0.001


@attrs.frozen(repr=False)
class ReadSegment(ReprMixin):
    """A segment of begun streams in the store."""

    group: str
    number: int
    version: int
    streams: list[StreamGroup]


@attrs.define(repr=False)
class ReadStreams(ReprMixin):
    """The segments and histories in the store."""

    segments: list[ReadSegment] = attrs.field(factory=list)
    histories: dict[str, StoredHistory] = attrs.field(factory=dict)
    #: Versions of the objects with the histories, by group.
    versions: dict[str, int] = attrs.field(factory=dict)


class StreamStore:
    """Reads and writes segments of begun streams, and histories of versions.

    Each group of hosts has a history and some numbered segments, and belongs to no
    host: whichever writes for the group overwrites what is no longer needed.
    """

    def __init__(
        self, api: ObjectApi, on_problem: Callable[[str, Exception], None]
    ) -> None:
        """``on_problem`` receives the key of each unreadable object and the error."""
        self._api = api
        self._on_problem = on_problem

    async def read(self) -> ReadStreams:
        """Return all readable segments and histories."""
        found = ReadStreams()
        objects, store_version = await self._list()
        for stored in objects:
            group, _, name = stored.key.removeprefix(STREAMS_PREFIX).rpartition("-")
            try:
                if name == _HISTORY:
                    found.versions[group] = stored.version
                    found.histories[group] = _read_history(stored, store_version)
                elif group and name.isascii() and name.isdigit() and len(name) < 9:
                    found.segments.append(_read_segment(group, int(name), stored))
            except (DataError, RecursionError) as error:
                self._on_problem(stored.key, error)
        return found

    async def _list(self) -> tuple[list[StoredObject], int]:
        """Return the objects, and the version of the store at the first page."""
        objects: list[StoredObject] = []
        store_version = 0
        after_key = ""
        for _ in range(MAX_PAGES_COUNT):
            listing = await self._api.list_objects(STREAMS_PREFIX, after_key)
            store_version = store_version or listing.version
            objects += listing.objects
            if not listing.is_truncated or listing.last_key in ("", after_key):
                break
            after_key = listing.last_key
        return objects, store_version

    async def read_changes(self, prefix: str, after_version: int) -> list[StoredObject]:
        """Return the objects that changed after a version of the store.

        Raise HistoryGoneError if the store no longer has all of these changes.
        """
        objects: list[StoredObject] = []
        for _ in range(MAX_PAGES_COUNT):
            listing = await self._api.watch(prefix, after_version, WATCH_SECONDS)
            objects += listing.objects
            if not listing.objects or listing.version <= after_version:
                return objects
            after_version = listing.version
        raise HistoryGoneError("too many changes", step="watch objects", peer=prefix)

    async def write_segment(
        self,
        group: str,
        number: int,
        expected_version: int,
        streams: Iterable[StreamGroup],
    ) -> int:
        """Write a segment of the expected version; return its new version."""
        record = StreamSegment(
            secrets.token_hex(8), [_encode(item) for item in streams]
        )
        return await self._api.put(
            f"{STREAMS_PREFIX}{group}-{number}", encode_record(record), expected_version
        )

    async def write_history(
        self,
        group: str,
        expected_version: int,
        store_version: int,
        known_seconds: float,
        versions: Iterable[tuple[str, str, float]],
    ) -> int:
        """Write the history of a group; return the new version of the object."""
        record = StoredHistory(
            secrets.token_hex(8),
            store_version,
            known_seconds,
            [StoredVersion(*item) for item in versions],
        )
        return await self._api.put(
            f"{STREAMS_PREFIX}{group}-{_HISTORY}",
            encode_record(record),
            expected_version,
        )


def _encode(group: StreamGroup) -> StoredStreamGroup:
    return StoredStreamGroup(
        group.service,
        group.software_version,
        group.lifetime_seconds,
        base64.b64encode(group.records).decode(),
    )


def _read_history(stored: StoredObject, store_version: int) -> StoredHistory:
    history = decode_record(stored, StoredHistory)
    if history.store_version > store_version:
        # The changes after it would be missing.
        message = f"store_version is {history.store_version}, above {store_version}"
        raise DataError(message, step="read history", peer=stored.key)
    return history


def _read_segment(group: str, number: int, stored: StoredObject) -> ReadSegment:
    try:
        record = decode_record(stored, StreamSegment)
        streams = [
            StreamGroup(
                item.service,
                item.software_version,
                item.lifetime_seconds,
                base64.b64decode(item.records, validate=True),
            )
            for item in record.groups
        ]
    except ValueError as error:
        raise DataError(str(error), step="read segment", peer=stored.key) from None
    return ReadSegment(group, number, stored.version, streams)
