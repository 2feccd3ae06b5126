"""A lease on the platform: who may give orders, and for how long.

The lease object's version is the fencing number: each write raises it, so a later
holder's number is always higher. Nobody compares clocks of two hosts: a holder
counts from before its write, a candidate from after it first saw the write.
"""

import math

import attrs

from rampwick_schema import LeaseRecord, Shown


@attrs.define(repr=False)
class LeaseWatcher(Shown):
    """One host's knowledge of the lease; times are its own monotonic seconds."""

    host: str
    duration_seconds: float
    #: Time after its own write in which a holder may give orders; the rest of the
    #: lease keeps the next holder's orders apart from its last one.
    order_window_seconds: float = math.inf
    #: Version under which the record was last seen; 0 if there is none.
    version: int = 0
    record: LeaseRecord | None = None
    #: Last time at which its holder was heard of, whatever the version.
    heard_at_seconds: float = 0.0
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

    def note_heard(self, holder: str, version: int, now_seconds: float) -> None:
        """Note what a peer says of the lease that it holds."""
        self.heard_at_seconds = now_seconds
        record = LeaseRecord(holder, "", self.duration_seconds)
        self.observe(record, version, now_seconds)

    def may_take(self, now_seconds: float) -> bool:
        """Return whether a conditional write for the lease may be tried."""
        if self.record is None or self.record.holder == self.host:
            return True
        return now_seconds >= self._seen_at_seconds + self.record.duration_seconds

    def note_written(
        self, record: LeaseRecord, version: int, write_began_seconds: float
    ) -> None:
        """Note that one's own write took effect; it counts from its beginning."""
        self.version = version
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
