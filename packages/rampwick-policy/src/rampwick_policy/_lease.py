"""A lease on the platform, which grants one host the right to send orders.

The version of the lease object is the fencing number. Each write increases it, so a
later holder always has a higher number, even after the store was restored from an older
copy. Clocks of different hosts are never compared: a holder measures from before its
write, and a candidate from after it first observed the write.

A restored store has an older lease record, or none. The previous holder continues until
its own lease time is over, and all other hosts wait for a full lease duration from when
they first observe a version of the new era.
"""

import hashlib
import math

import attrs

from rampwick_schema import LeaseRecord, ReprMixin, era_of

#: Version of a lease object that does not exist.
ABSENT = 0

#: Bytes of the hash by which a write shows the address of its machine.
ADDRESS_BYTES = 8


@attrs.define(repr=False)
class LeaseWatcher(ReprMixin):
    """State of the lease as observed by one host, in its own monotonic time."""

    host: str
    duration_seconds: float
    #: Time after its write in which a holder may send orders. The rest of the lease
    #: separates its last order from those of the next holder.
    order_window_seconds: float = math.inf
    #: Address of this machine, by which a later one of the same name is told apart;
    #: empty if unknown.
    address: str = ""
    #: Last observed version of the record; 0 if there is none.
    version: int = ABSENT
    record: LeaseRecord | None = None
    #: Last time at which a new record or any announcement of a holder was observed.
    last_seen_seconds: float = 0.0
    #: Version of the last write of this process.
    _written_version: int = ABSENT
    #: End of another host's lease after a read found no lease object.
    _free_at_seconds: float = -math.inf
    _seen_at_seconds: float = 0.0
    _held_until_seconds: float = -math.inf
    _may_order_until_seconds: float = -math.inf

    def observe(
        self, record: LeaseRecord | None, version: int, now_seconds: float
    ) -> None:
        """Record the result of a read; older versions are ignored."""
        if version <= self.version:
            return
        self.last_seen_seconds = now_seconds
        self.version = version
        self.record = record
        self._seen_at_seconds = now_seconds
        if record is None or not self._wrote(record):
            self.give_up()

    def observe_absence(self, now_seconds: float) -> None:
        """Record that a read found no lease; a restored copy may predate it."""
        if self.version == ABSENT:
            return
        self._free_at_seconds = now_seconds + self.duration_seconds
        self.version = ABSENT
        self.record = None
        self.give_up()

    def observe_announcement(
        self, holder: str, version: int, now_seconds: float
    ) -> None:
        """Record a peer's announcement of the lease that it holds."""
        self.last_seen_seconds = now_seconds
        record = LeaseRecord(holder, "", self.duration_seconds)
        self.observe(record, version, now_seconds)

    def may_acquire(self, now_seconds: float) -> bool:
        """Return whether this host may attempt a conditional write of the lease."""
        if self.record is None:
            return now_seconds >= self._free_at_seconds
        if self._is_own(now_seconds):
            return True
        return now_seconds >= self._seen_at_seconds + self.record.duration_seconds

    def _is_own(self, now_seconds: float) -> bool:
        """Return whether no other host can have acquired the lease since its write.

        In a restored store, a record of this host may be older than one that another
        host wrote.
        """
        if self.record is None or not self._wrote(self.record):
            return False
        if self.is_held(now_seconds) or self.version == self._written_version:
            return True
        return not era_of(self.version)

    @property
    def _write_id_suffix(self) -> str:
        if not self.address:
            return ""
        digest = hashlib.blake2b(self.address.encode(), digest_size=ADDRESS_BYTES)
        return f"-{digest.hexdigest()}"

    def mark_write_id(self, write_id: str) -> str:
        """Return an id by which later processes on this machine recognize the write."""
        return write_id + self._write_id_suffix

    def _wrote(self, record: LeaseRecord) -> bool:
        """Return whether a record was written by a process on this machine."""
        is_of_host = record.holder == self.host
        return is_of_host and record.write_id.endswith(self._write_id_suffix)

    def note_written(
        self, record: LeaseRecord, version: int, write_began_seconds: float
    ) -> None:
        """Record a successful write; the lease starts when the write began."""
        self.version = self._written_version = version
        self.record = record
        self._seen_at_seconds = write_began_seconds
        self._held_until_seconds = write_began_seconds + record.duration_seconds
        self._may_order_until_seconds = write_began_seconds + min(
            record.duration_seconds, self.order_window_seconds
        )

    def give_up(self) -> None:
        """Give up the lease and stop sending orders immediately."""
        self._held_until_seconds = self._may_order_until_seconds = -math.inf

    def is_held(self, now_seconds: float) -> bool:
        """Return whether no other host can have acquired the lease yet.

        Sending orders may require a renewal first.
        """
        return now_seconds < self._held_until_seconds

    def fencing_number(
        self, now_seconds: float, needed_seconds: float = 0.0
    ) -> int | None:
        """Return the fencing number for an order that takes ``needed_seconds``.

        ``None`` means that the lease would end before the order does. An upstream that
        ignores fencing could then execute orders of two holders.
        """
        if now_seconds + needed_seconds >= self._may_order_until_seconds:
            return None
        return self.version
