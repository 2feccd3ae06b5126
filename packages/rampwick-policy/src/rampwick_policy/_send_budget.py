"""Bytes that a host may send to its peers, so that its link has room for callers."""

import attrs

from rampwick_schema import ReprMixin

#: Share of the own link for messages to peers. The rest is for callers and upstreams.
PEER_SHARE = 0.4

#: Part of that share that urgent messages can't use up.
RESERVED_SHARE = 1 / 4

#: Time for which unused bytes are saved up, and for which urgent messages may use bytes
#: in advance.
SAVED_SECONDS = 0.1
MAX_DEBT_SECONDS = 1.0

BYTES_PER_MEGABIT = 125_000.0


@attrs.define(repr=False)
class TokenBucket(ReprMixin):
    """Bytes that accrue over time; more may be spent at once than there are."""

    bytes_per_second: float
    _balance_bytes: float = attrs.field(init=False)
    _updated_at_seconds: float | None = None

    def __attrs_post_init__(self) -> None:
        self._balance_bytes = self.bytes_per_second * SAVED_SECONDS

    def spend(self, size_bytes: int, now_seconds: float) -> None:
        """Record bytes that were sent."""
        self._accrue(now_seconds)
        self._balance_bytes = max(
            self._balance_bytes - size_bytes, -self.bytes_per_second * MAX_DEBT_SECONDS
        )

    def refund(self, size_bytes: int) -> None:
        """Record that bytes were not sent after all."""
        self._balance_bytes = min(
            self._balance_bytes + size_bytes, self.bytes_per_second * SAVED_SECONDS
        )

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the time until something may be sent; 0 if that is now."""
        self._accrue(now_seconds)
        if self._balance_bytes > 0.0:
            return 0.0
        # One byte more than is missing, so that rounding leaves the balance above zero.
        return (1.0 - self._balance_bytes) / self.bytes_per_second

    def _accrue(self, now_seconds: float) -> None:
        if self._updated_at_seconds is not None:
            elapsed_seconds = max(0.0, now_seconds - self._updated_at_seconds)
            self._balance_bytes = min(
                self._balance_bytes + elapsed_seconds * self.bytes_per_second,
                self.bytes_per_second * SAVED_SECONDS,
            )
        self._updated_at_seconds = now_seconds


class SendBudget:
    """What may be sent to peers now, by the speed of the own link.

    Urgent messages are sent at any time and make the others wait. The others have a
    reserved part, so that they are delayed but not starved.
    """

    def __init__(self, link_megabits_per_second: float) -> None:
        share = max(1.0, link_megabits_per_second * BYTES_PER_MEGABIT * PEER_SHARE)
        self._total = TokenBucket(share)
        self._reserved = TokenBucket(share * RESERVED_SHARE)

    @property
    def bytes_per_second(self) -> float:
        """The share of the link for messages to peers."""
        return self._total.bytes_per_second

    def spend_unpaced(self, size_bytes: int, now_seconds: float) -> None:
        """Record an urgent message."""
        self._total.spend(size_bytes, now_seconds)

    def spend(self, size_bytes: int, now_seconds: float) -> None:
        """Record a message that waited until it might be sent."""
        self._total.spend(size_bytes, now_seconds)
        self._reserved.spend(size_bytes, now_seconds)

    def refund(self, size_bytes: int) -> None:
        """Record that a message which waited was not accepted by its peer."""
        self._total.refund(size_bytes)
        self._reserved.refund(size_bytes)

    def wait_seconds(self, now_seconds: float) -> float:
        """Return the time until the next message that is not urgent; 0 for now."""
        return min(
            self._total.wait_seconds(now_seconds),
            self._reserved.wait_seconds(now_seconds),
        )
