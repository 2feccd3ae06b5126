"""Discovery of peers through records in the store, if no seed responds."""

import random
import secrets
from collections.abc import Callable

import anyio

from rampwick_platform import (
    ABSENT,
    ObjectApi,
    PlatformError,
    StoredObject,
    decode_record,
    put_idempotent,
)
from rampwick_policy import Member
from rampwick_schema import DataError, HostRecord

from .._logs import ComponentLogger
from .._unread_records import UnreadRecords

#: Key prefix of the records.
PEERS_PREFIX = "peers/"

#: Time between two reads of the records by a host that receives from no peer.
DISCOVERY_INTERVAL_SECONDS = 2.0

log = ComponentLogger("peers")


class PeerDirectory:
    """Peer records in the store.

    Hosts that read the platform maintain a record each. A host that receives from no
    peer reads the records, and maintains one as well.
    """

    def __init__(
        self,
        api: ObjectApi,
        own: Member,
        is_disconnected: Callable[[], bool],
        is_reader: Callable[[], bool],
        rng: random.Random,
    ) -> None:
        self._api = api
        self._own = own
        self._is_disconnected = is_disconnected
        self._is_reader = is_reader
        self._rng = rng
        self._members: list[Member] = []
        self.unread = UnreadRecords(log, "invalid peer record", "record")
        #: Called after the records have been read.
        self.on_records_read: Callable[[], None] = _do_nothing
        #: Store era in which this host's record was written; none until it is written.
        self._recorded_era: int | None = None

    def members(self) -> list[Member]:
        """Return the hosts that have a record."""
        return self._members

    async def run(self) -> None:
        """Maintain this host's record and read those of others, until cancelled."""
        # Read at once, not only after the first interval: if all hosts restart
        # together, the seeds may be the last ones to listen.
        await self._refresh(is_first=True)
        while True:
            seconds = DISCOVERY_INTERVAL_SECONDS * self._rng.uniform(0.7, 1.3)
            await anyio.sleep(seconds)
            await self._refresh(is_first=False)

    async def _refresh(self, is_first: bool) -> None:
        try:
            # A store that was restored from a backup may lack the record.
            has_record = self._recorded_era == self._api.era
            if self._is_reader() and not has_record and not is_first:
                await self._write_record()
            if self._is_disconnected():
                await self._read_records()
                self.on_records_read()
        except (PlatformError, DataError) as error:
            log.problem("peer records unavailable", error=str(error))

    async def _read_records(self) -> None:
        listing = await self._api.list_objects(PEERS_PREFIX)
        members = []
        unread = {}
        for stored in listing.objects:
            try:
                record = decode_record(stored, HostRecord)
            except DataError as error:
                unread[stored.key] = str(error)
                continue
            members.append(
                Member(
                    record.host,
                    record.hall,
                    record.peer_address,
                    link_megabits_per_second=record.link_megabits_per_second,
                )
            )
        self._members = members
        self.unread.update(unread)

    async def _write_record(self) -> None:
        own = self._own
        key = f"{PEERS_PREFIX}{own.name}"
        record = HostRecord(
            host=own.name,
            hall=own.hall,
            peer_address=own.address,
            link_megabits_per_second=own.link_megabits_per_second,
            write_id=secrets.token_hex(8),
        )
        stored = await self._api.get(key)
        version = stored.version if stored else ABSENT
        if stored is None or not _has_address(stored, record.peer_address):
            await put_idempotent(self._api, key, record, version)
        self._recorded_era = self._api.era


def _has_address(stored: StoredObject, address: str) -> bool:
    """Return whether a host's record is valid and has an address."""
    try:
        return decode_record(stored, HostRecord).peer_address == address
    except DataError:
        # The writer replaces it, whatever it holds.
        return False


def _do_nothing() -> None:
    return
