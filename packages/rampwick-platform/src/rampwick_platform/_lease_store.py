"""Acquisition and renewal of a lease on the platform."""

import secrets
from collections.abc import Callable

from rampwick_policy import LeaseWatcher
from rampwick_schema import DataError, LeaseRecord, era_of

from ._api import ABSENT, ObjectApi, VersionConflictError
from ._records import decode_record, encode_record, put_idempotent

#: Holder of a lease whose record can't be read, for the status.
UNREADABLE_HOLDER = "(a record that can't be read)"


class LeaseStore:
    """A lease object that is acquired by conditional writes."""

    def __init__(self, api: ObjectApi, key: str) -> None:
        self._api = api
        self._key = key

    async def try_acquire(
        self, watcher: LeaseWatcher, read_clock: Callable[[], float]
    ) -> bool:
        """Acquire or renew the lease if permitted; return whether it is held now.

        The lease is read only if its state is unknown, if the store has been restored
        since, or if a write did not find the expected version. After a platform error a
        held lease expires unless it is renewed later.
        """
        if not watcher.version or era_of(watcher.version) < self._api.era:
            await self.read(watcher, read_clock)
        if not watcher.may_acquire(read_clock()):
            return False
        if await self._write(watcher, read_clock):
            return True
        await self.read(watcher, read_clock)
        return False

    async def release(
        self,
        watcher: LeaseWatcher,
        wait_seconds: float,
        read_clock: Callable[[], float],
    ) -> None:
        """Release the lease; the next holder waits ``wait_seconds`` to acquire it."""
        record = LeaseRecord(
            holder="", write_id=secrets.token_hex(8), duration_seconds=wait_seconds
        )
        version = await self._api.put(self._key, encode_record(record), watcher.version)
        watcher.observe(record, version, read_clock())

    async def read(
        self, watcher: LeaseWatcher, read_clock: Callable[[], float]
    ) -> None:
        """Read the current state of the lease."""
        stored = await self._api.get(self._key)
        if stored is None:
            watcher.observe_absence(read_clock())
            return
        try:
            record = decode_record(stored, LeaseRecord)
        except DataError:
            # Whoever wrote it may act as a holder for as long as any lease lasts.
            record = LeaseRecord(UNREADABLE_HOLDER, "", watcher.duration_seconds)
        watcher.observe(record, stored.version, read_clock())

    async def _write(
        self, watcher: LeaseWatcher, read_clock: Callable[[], float]
    ) -> bool:
        record = LeaseRecord(
            holder=watcher.host,
            write_id=watcher.mark_write_id(secrets.token_hex(8)),
            duration_seconds=watcher.duration_seconds,
        )
        started_seconds = read_clock()
        try:
            version = await put_idempotent(
                self._api, self._key, record, watcher.version
            )
        except VersionConflictError:
            return False
        if watcher.version != ABSENT and era_of(watcher.version) != era_of(version):
            # The write may have replaced the record of the current holder.
            watcher.give_up()
            watcher.observe(record, version, read_clock())
            return False
        watcher.note_written(record, version, started_seconds)
        return True
