"""Storage of begun streams and software versions beyond the end of all hosts.

Each host reads what is stored once at its start, and the history of versions again
after its own one was interrupted. Few hosts of each group write.
"""

import random
from collections.abc import Callable

import anyio

from rampwick_platform import (
    ABSENT,
    HistoryGoneError,
    ObjectApi,
    OutcomeUnknownError,
    PlatformError,
    ReadStreams,
    StoredObject,
    StreamStore,
    VersionConflictError,
)
from rampwick_policy import (
    MAX_SEGMENTS_COUNT,
    SegmentWrite,
    SoftwareVersions,
)
from rampwick_schema import (
    DataError,
    HostEntry,
    ListedVersion,
    RampwickError,
    StoredHistory,
)

from .._logs import ComponentLogger
from ._adaptive_timeout import AdaptiveTimeout
from ._host_sources import UpstreamDecoder

#: Interval of the checks while a host that has just started hasn't read everything, and
#: of those afterwards at hosts that don't write.
START_INTERVAL_SECONDS = 0.02
IDLE_INTERVAL_SECONDS = 0.5

#: Time over which streams are collected for a write after a quiet time.
BATCH_SECONDS = 0.005

#: Time between two writes of the history. A host that starts has the changes since then
#: from the store, as long as that remembers them.
HISTORY_INTERVAL_SECONDS = 4.0

#: Maximum age of the host list with which a history is joined or written.
MAX_LIST_AGE_SECONDS = 2.0

#: Number of segments in an unknown state from which all are read again.
MAX_UNKNOWN_COUNT = 20

#: Backoff after failures: initial, factor and maximum.
INITIAL_BACKOFF_SECONDS = 0.1
BACKOFF_FACTOR = 1.6
MAX_BACKOFF_SECONDS = 3.0

log = ComponentLogger("streams")


class StreamStorage:
    """Reads and writes what is stored about begun streams."""

    def __init__(
        self,
        api: ObjectApi,
        decoder: UpstreamDecoder,
        versions: SoftwareVersions,
        recorder_rank: Callable[[], int | None],
        find_group: Callable[[], tuple[str, int]],
        read_list: Callable[[], tuple[int, float]],
        read_clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Store the streams of ``versions``.

        ``recorder_rank`` returns the rank of this host among those of its group that
        write, or None; ``find_group`` the name of its group and the number of groups;
        ``read_list`` the version of the store up to which this host's own list of
        upstreams is complete, and the age of its list.
        """
        self._store = StreamStore(api, _log_unreadable)
        self._decoder = decoder
        self._versions = versions
        self._recorder_rank = recorder_rank
        self._find_group = find_group
        self._read_list = read_list
        self._read_clock = read_clock
        self._rng = rng
        #: The last reading; none if it has to be read before the next write.
        self._read: ReadStreams | None = None
        #: Resets of the history as of that reading.
        self._read_resets_count = -1
        #: Whether the streams have been read. Their lifetimes count from each reading,
        #: so that more readings would prolong them.
        self._has_restored = False
        #: Resets of the history up to which it has been recovered.
        self._recovered_resets_count = -1
        self._history_due_seconds = 0.0
        self._timeout = AdaptiveTimeout(read_clock)
        self._failures_count = 0
        #: Name of the group that the last reading was for.
        self._group = ""
        self._has_pending = anyio.Event()
        versions.segments.on_pending = self._wake
        versions.segments.first_number = rng.randrange(MAX_SEGMENTS_COUNT)

    @property
    def is_caught_up(self) -> bool:
        """Whether all that is stored has been read."""
        return not self._needs_recovery()

    async def run(self) -> None:
        """Read and write until cancelled."""
        # An error may have interrupted a write.
        self._read = None
        while True:
            try:
                await self._advance()
            except (PlatformError, DataError) as error:
                if isinstance(error, VersionConflictError):
                    self._read = None
                self._note_failure(error)
                await self._back_off()
            else:
                self._note_success()
                await self._pause()

    async def _advance(self) -> None:
        group, _ = self._find_group()
        if group != self._group:
            self._group, self._read = group, None
        if self._needs_recovery():
            await self._recover()
        rank = self._recorder_rank()
        if rank is not None:
            self._versions.segments.is_standby = rank > 0
            await self._write()

    async def _pause(self) -> None:
        """Wait until there is something to be read or written."""
        if self._needs_recovery():
            await anyio.sleep(START_INTERVAL_SECONDS)
            return
        if self._recorder_rank() is None:
            await anyio.sleep(IDLE_INTERVAL_SECONDS)
            return
        with anyio.move_on_after(IDLE_INTERVAL_SECONDS):
            await self._has_pending.wait()
        self._has_pending = anyio.Event()
        _, groups_count = self._find_group()
        now_seconds = self._read_clock()
        due_seconds = self._versions.segments.due_seconds(groups_count, now_seconds)
        await anyio.sleep(max(BATCH_SECONDS, due_seconds - now_seconds))

    def _wake(self) -> None:
        self._has_pending.set()

    def _note_failure(self, error: RampwickError) -> None:
        if not self._failures_count:
            log.problem("streams in the store unavailable", error=str(error))
        self._failures_count += 1

    def _note_success(self) -> None:
        if self._failures_count:
            log.info("streams in the store available again")
        self._failures_count = 0

    async def _back_off(self) -> None:
        seconds = INITIAL_BACKOFF_SECONDS * BACKOFF_FACTOR ** min(
            self._failures_count - 1, 10
        )
        await anyio.sleep(
            min(MAX_BACKOFF_SECONDS, seconds) * self._rng.uniform(0.5, 1.0)
        )

    # Reading.

    def _needs_recovery(self) -> bool:
        return self._recovered_resets_count != self._versions.history.resets_count

    async def _read_all(self) -> ReadStreams:
        resets_count = self._versions.history.resets_count
        with self._timeout.limit():
            read = await self._store.read()
        now_seconds = self._read_clock()
        if not self._has_restored:
            await self._restore(read, now_seconds)
        self._versions.segments.note_read(
            [
                (
                    segment.number,
                    segment.version,
                    max(
                        (item.lifetime_seconds for item in segment.streams), default=0.0
                    ),
                )
                for segment in read.segments
                if segment.group == self._group
            ],
            now_seconds,
        )
        self._read, self._read_resets_count = read, resets_count
        return read

    async def _restore(self, read: ReadStreams, now_seconds: float) -> None:
        for segment in read.segments:
            self._versions.streams.restore(segment.streams, now_seconds)
            # Callers return at the same time.
            await anyio.sleep(0)
        self._has_restored = True

    async def _recover(self) -> None:
        """Read the history, and which entries changed since it was written."""
        resets_count = self._versions.history.resets_count
        read = self._read
        if read is None or self._read_resets_count != resets_count:
            # The history of an earlier reading ends before that of this host began.
            read = await self._read_all()
        for history in self._histories(read):
            if not self._is_list_current(resets_count):
                # Without a list from now on, the history would have a gap.
                return
            entries = await self._read_changes(history)
            if not self._is_list_current(resets_count):
                return
            if entries is not None:
                self._join_history(history, entries)
                break
        if not self._is_list_current(resets_count):
            return
        self._recovered_resets_count = resets_count
        if self._recorder_rank() is None:
            # After the next interruption there will be a newer history.
            self._read = None

    def _histories(self, read: ReadStreams) -> list[StoredHistory]:
        """Return the histories: that of the own group, then the newest ones."""
        found = sorted(
            read.histories.items(),
            key=lambda item: (item[0] == self._group, item[1].store_version),
            reverse=True,
        )
        return [history for _, history in found]

    def _is_list_current(self, resets_count: int) -> bool:
        """Return whether the own history has gone on since it had so many resets."""
        _, list_age_seconds = self._read_list()
        is_same = self._versions.history.resets_count == resets_count
        return is_same and list_age_seconds <= MAX_LIST_AGE_SECONDS

    async def _read_changes(self, history: StoredHistory) -> list[HostEntry] | None:
        """Return the entries that changed after a history; None if that is unknown."""
        try:
            with self._timeout.limit():
                changed = await self._store.read_changes(
                    self._decoder.upstreams_prefix, history.store_version
                )
        except HistoryGoneError as error:
            log.problem("history of versions incomplete", error=str(error))
            return None
        entries = [self._read_entry(stored) for stored in changed]
        return [entry for entry in entries if entry is not None]

    def _join_history(self, history: StoredHistory, entries: list[HostEntry]) -> None:
        self._versions.history.recover(
            [
                ListedVersion(item.service, item.software_version, item.age_seconds)
                for item in history.versions
            ],
            history.known_seconds,
            entries,
            self._read_clock(),
        )
        log.info(
            "history of versions recovered",
            known_seconds=history.known_seconds,
            changes_count=len(entries),
        )

    def _read_entry(self, stored: StoredObject) -> HostEntry | None:
        """Return an entry that changed; None if it is unreadable.

        By an unreadable entry no host sends requests.
        """
        try:
            return self._decoder.read_upstream(stored)
        except RampwickError as error:
            log.problem("unreadable upstream entry", entry=stored.key, error=str(error))
            return None

    # Writing.

    async def _write(self) -> None:
        read = self._read or await self._read_all()
        is_first = not self._versions.segments.is_standby
        if is_first and not self._needs_recovery():
            # One that begins with this host's start must not replace a longer one.
            await self._write_history(read)
        _, groups_count = self._find_group()
        segments = self._versions.segments
        write = segments.next_write(groups_count, self._read_clock())
        if write is not None:
            await self._write_segment(write)

    async def _write_segment(self, write: SegmentWrite) -> None:
        segments = self._versions.segments
        try:
            with self._timeout.limit():
                version = await self._store.write_segment(
                    self._group, write.number, write.expected_version, write.groups
                )
        except OutcomeUnknownError as error:
            # The next write goes to another segment, without a pause.
            segments.note_failed(write, may_be_done=True)
            log.problem("write of streams not confirmed", error=str(error))
            if segments.unknown_count >= MAX_UNKNOWN_COUNT:
                self._read = None
        except PlatformError:
            segments.note_failed(write, may_be_done=False)
            raise
        else:
            segments.note_written(write, version)

    async def _write_history(self, read: ReadStreams) -> None:
        now_seconds = self._read_clock()
        history = self._versions.history
        store_version, list_age_seconds = self._read_list()
        known_seconds = history.known_seconds(now_seconds)
        is_current = list_age_seconds <= MAX_LIST_AGE_SECONDS and known_seconds > 0.0
        if now_seconds < self._history_due_seconds or not (
            is_current and store_version
        ):
            return
        self._history_due_seconds = now_seconds + HISTORY_INTERVAL_SECONDS
        self._versions.note_in_use(now_seconds)
        with self._timeout.limit():
            read.versions[self._group] = await self._store.write_history(
                self._group,
                read.versions.get(self._group, ABSENT),
                store_version,
                known_seconds,
                history.ages(now_seconds),
            )


def _log_unreadable(key: str, error: Exception) -> None:
    log.problem("unreadable streams in the store", object=key, error=str(error))
