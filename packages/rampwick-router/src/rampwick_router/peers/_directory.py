"""Records in the store by which hosts find each other if no seed answers."""

import random
import secrets
from collections.abc import Callable

import anyio

from rampwick_platform import (
    ABSENT,
    ObjectApi,
    PlatformError,
    decode_record,
    settle_put,
)
from rampwick_policy import Member
from rampwick_schema import DataError, HostRecord

from .._logs import ComponentLogger

#: Prefix of the records.
PEERS_PREFIX = "peers/"

#: Time between two looks of a host that hears nobody at where others are.
LONELY_LOOK_SECONDS = 2.0

log = ComponentLogger("peers")


class PeerDirectory:
    """Records in the store by which hosts find each other if no seed answers.

    The hosts that read the platform keep a record there; one that hears nobody reads
    them, and keeps one, too.
    """

    def __init__(
        self,
        api: ObjectApi,
        own: Member,
        is_lonely: Callable[[], bool],
        is_reader: Callable[[], bool],
        draw: random.Random,
    ) -> None:
        self._api = api
        self._own = own
        self._is_lonely = is_lonely
        self._is_reader = is_reader
        self._draw = draw
        self._members: list[Member] = []
        #: Called when the records have been read.
        self.note_found: Callable[[], None] = _do_nothing
        #: Era of the store that has the own record; none while it has none.
        self._recorded_era: int | None = None

    def members(self) -> list[Member]:
        """Return the other hosts that have a record."""
        return self._members

    async def run(self) -> None:
        """Keep the own record and look for others while needed, until cancelled."""
        # Where all hosts come back at once, the seeds may be the last ones to listen.
        await self._look(is_first=True)
        while True:
            seconds = LONELY_LOOK_SECONDS * self._draw.uniform(0.7, 1.3)
            await anyio.sleep(seconds)
            await self._look(is_first=False)

    async def _look(self, is_first: bool) -> None:
        try:
            # A store that was restored from a copy may lack the record.
            has_record = self._recorded_era == self._api.era
            if self._is_reader() and not has_record and not is_first:
                await self._write_record()
            if self._is_lonely():
                await self._read_records()
                self.note_found()
        except (PlatformError, DataError) as error:
            log.problem("directory out of reach", error=str(error))

    async def _read_records(self) -> None:
        listing = await self._api.list_objects(PEERS_PREFIX)
        members = []
        for stored in listing.objects:
            record = decode_record(stored, HostRecord)
            members.append(
                Member(
                    record.host,
                    record.hall,
                    record.peer_address,
                    link_megabits_per_second=record.link_megabits_per_second,
                )
            )
        self._members = members

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
        is_known = stored is not None and (
            decode_record(stored, HostRecord).peer_address == record.peer_address
        )
        if not is_known:
            await settle_put(self._api, key, record, version)
        self._recorded_era = self._api.era


def _do_nothing() -> None:
    return
