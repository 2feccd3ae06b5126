"""A lease on the platform: who may give orders, and for how long.

The lease object's version is the fencing number: each write raises it, so a later
holder's number is always higher, also after the store was restored from an older copy.
Nobody compares clocks of two hosts: a holder counts from before its write, a candidate
from after it first saw the write.

A restored store has an older record of the lease, or none. Whoever held it before goes
on until its own time is over, and all others wait for a whole lease from when they
first see a version of the new era.
"""

import math

import attrs

from rampwick_schema import LeaseRecord, ReprMixin, era_of

#: Version of a lease that is not there.
ABSENT = 0


@attrs.define(repr=False)
class LeaseWatcher(ReprMixin):
    """One host's knowledge of the lease; times are its own monotonic seconds."""

    host: str
    duration_seconds: float
    #: Time after its own write in which a holder may give orders; the rest of the
    #: lease keeps the next holder's orders apart from its last one.
    order_window_seconds: float = math.inf
    #: Version under which the record was last seen; 0 if there is none.
    version: int = ABSENT
    record: LeaseRecord | None = None
    #: Last time at which its holder was heard of, whatever the version.
    heard_at_seconds: float = 0.0
    #: Version of this process's own last write.
    _written_version: int = ABSENT
    #: When another host's lease, of which a read showed no object, is over.
    _free_at_seconds: float = -math.inf
    _seen_at_seconds: float = 0.0
    _held_until_seconds: float = -math.inf
    _orders_until_seconds: float = -math.inf

    def observe(
        self, record: LeaseRecord | None, version: int, now_seconds: float
    ) -> None:
        """Note what a read showed; an older version changes nothing."""
        if version <= self.version:
            return
        self.heard_at_seconds = now_seconds
        self.version = version
        self.record = record
        self._seen_at_seconds = now_seconds
        if record is None or record.holder != self.host:
            self.give_up()

    def observe_absence(self, now_seconds: float) -> None:
        """Note that a read found no lease: a restored copy may be older than it."""
        if self.version == ABSENT:
            return
        self._free_at_seconds = now_seconds + self.duration_seconds
        self.version = ABSENT
        self.record = None
        self.give_up()

    def note_heard(self, holder: str, version: int, now_seconds: float) -> None:
        """Note what a peer says of the lease that it holds."""
        self.heard_at_seconds = now_seconds
        record = LeaseRecord(holder, "", self.duration_seconds)
        self.observe(record, version, now_seconds)

    def may_take(self, now_seconds: float) -> bool:
        """Return whether a conditional write for the lease may be tried."""
        if self.record is None:
            return now_seconds >= self._free_at_seconds
        if self._is_own(now_seconds):
            return True
        return now_seconds >= self._seen_at_seconds + self.record.duration_seconds

    def _is_own(self, now_seconds: float) -> bool:
        """Return whether no other host can have taken the lease since it was written.

        In a restored store this host's record may be one that another has replaced.
        """
        if self.record is None or self.record.holder != self.host:
            return False
        if self.is_held(now_seconds) or self.version == self._written_version:
            return True
        return not era_of(self.version)

    def note_written(
        self, record: LeaseRecord, version: int, write_began_seconds: float
    ) -> None:
        """Note that one's own write took effect; it counts from its beginning."""
        self.version = self._written_version = version
        self.record = record
        self._seen_at_seconds = write_began_seconds
        self._held_until_seconds = write_began_seconds + record.duration_seconds
        self._orders_until_seconds = write_began_seconds + min(
            record.duration_seconds, self.order_window_seconds
        )

    def give_up(self) -> None:
        """Hold the lease no more and stop giving orders at once."""
        self._held_until_seconds = self._orders_until_seconds = -math.inf

    def is_held(self, now_seconds: float) -> bool:
        """Return whether no other host can have taken the lease yet.

        Orders may need it to be renewed first.
        """
        return now_seconds < self._held_until_seconds

    def fencing_number(
        self, now_seconds: float, needed_seconds: float = 0.0
    ) -> int | None:
        """Return the number for an order that takes ``needed_seconds``, or none.

        None means that the lease would not outlive the order: an upstream that
        ignores fencing could then obey two holders.
        """
        if now_seconds + needed_seconds >= self._orders_until_seconds:
            return None
        return self.version
