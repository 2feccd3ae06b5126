"""Management of the rollout lease: acquisition, renewal and release."""

import math
from collections.abc import Callable

import anyio

from rampwick_platform import LeaseStore, PlatformError
from rampwick_policy import LeaseWatcher
from rampwick_schema import DataError

from .._logs import ComponentLogger, milliseconds

#: Fraction of the lease duration after which it is renewed: two renewals may fail
#: before another host can acquire the lease.
RENEWAL_RATIO = 1 / 3

#: Time without an update from the holder after which the lease is read from the store:
#: a few summary intervals of peers.
HOLDER_TIMEOUT_SECONDS = 1.2

#: Maximum age of the holder's own read of the targets. A watch on a dead connection
#: followed by three failed listings takes 7 s.
MAX_TARGETS_AGE_SECONDS = 8.0

#: Time for which a host without current targets does not compete for the lease, in
#: lease durations. Within one and a half durations, other hosts detect that the holder
#: stopped renewing and the old lease has expired.
ABSTAIN_LEASES_COUNT = 2.0

log = ComponentLogger("steward")


class LeaseManager:
    """Competes for the lease and renews it while this host can perform the rollout."""

    def __init__(
        self,
        leases: LeaseStore | None,
        lease: LeaseWatcher,
        read_targets_age: Callable[[], float],
        can_send_orders: Callable[[], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._leases = leases
        self.lease = lease
        self._read_targets_age = read_targets_age
        self._can_send_orders = can_send_orders
        self._read_clock = read_clock
        self._renew_at_seconds = 0.0
        self._renewing = anyio.Lock()
        #: Lease version that was last read because its holder was unresponsive.
        self._read_version = 0
        self._held_since_seconds = math.inf
        #: Time until which this host leaves the lease to hosts with current targets.
        self._abstains_until_seconds = -math.inf
        #: Latest time at which an order that was sent may arrive.
        self._order_arrives_seconds = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether this host holds the lease now."""
        return self.lease.is_held(self._read_clock())

    def update_held(self) -> bool:
        """Check whether the lease is held; return whether that has changed."""
        was_held = math.isfinite(self._held_since_seconds)
        if self.is_held == was_held:
            return False
        self._held_since_seconds = math.inf if was_held else self._read_clock()
        message = "lease lost" if was_held else "lease acquired"
        log.info(message, fencing_number=self.lease.version)
        return True

    def note_order(self, timeout_seconds: float) -> None:
        """Record that an order is about to be sent; it may arrive until its timeout."""
        self._order_arrives_seconds = self._read_clock() + timeout_seconds

    async def maintain(self, is_candidate: bool) -> None:
        """Renew or acquire the lease if due; otherwise check an unresponsive holder."""
        now_seconds = self._read_clock()
        if self.is_held and not self._has_fresh_targets(now_seconds):
            await self._abstain("targets unavailable", now_seconds)
        elif self.is_held and not self._can_send_orders():
            await self._abstain("no runner reachable", now_seconds)
        is_due = now_seconds >= self._renew_at_seconds
        if not self._may_try(is_candidate, now_seconds):
            return
        if is_due and self.lease.may_acquire(now_seconds):
            async with self._renewing:
                # The lease may have been released while this task waited for the lock.
                if self._may_try(is_candidate, self._read_clock()):
                    await self._write()
        elif not self.is_held:
            await self._check_holder(now_seconds)

    def _may_try(self, is_candidate: bool, now_seconds: float) -> bool:
        if self.is_held:
            return True
        has_abstained = now_seconds >= self._abstains_until_seconds
        return is_candidate and has_abstained and self._can_send_orders()

    def _has_fresh_targets(self, now_seconds: float) -> bool:
        """Return whether this holder's targets are current, or may still become so."""
        held_seconds = now_seconds - self._held_since_seconds
        return min(self._read_targets_age(), held_seconds) <= MAX_TARGETS_AGE_SECONDS

    async def _abstain(self, reason: str, now_seconds: float) -> None:
        """Release the lease to hosts that may be able to carry out the rollout.

        A holder that receives no newer targets, or reaches no runner, orders nothing,
        and while it renews no other host can take over: all runners would keep old
        weights for as long as it runs.
        """
        age_ms = milliseconds(self._read_targets_age())
        log.problem(f"{reason}, releasing lease", targets_read_age_ms=age_ms)
        abstain_seconds = ABSTAIN_LEASES_COUNT * self.lease.duration_seconds
        self._abstains_until_seconds = now_seconds + abstain_seconds
        await self._release()

    async def retire(self) -> None:
        """Stop competing for the lease, and release it if this host holds it."""
        self._abstains_until_seconds = math.inf
        await self._release()

    async def _release(self) -> None:
        # A renewal in progress would overwrite the release, and this host would hold
        # the lease again.
        async with self._renewing:
            if self.is_held:
                await self._write_release()

    async def _write_release(self) -> None:
        assert self._leases is not None
        self.lease.give_up()
        # Keep the same distance between the orders of two holders as when a lease
        # expires.
        order_gap_seconds = (
            self.lease.duration_seconds - self.lease.order_window_seconds
        )
        elapsed_seconds = self._read_clock() - self._order_arrives_seconds
        wait_seconds = max(0.0, order_gap_seconds - elapsed_seconds)
        try:
            await self._leases.release(self.lease, wait_seconds, self._read_clock)
            log.info("lease released", wait_seconds=wait_seconds)
        except (PlatformError, DataError) as error:
            log.problem("lease release failed", error=str(error))

    async def fencing_number(self, needed_seconds: float) -> int | None:
        """Return the fencing number for an order, renewing the lease if necessary.

        None means that the lease would expire before the order's timeout.
        """
        async with self._renewing:
            number = self.lease.fencing_number(self._read_clock(), needed_seconds)
            if number is not None or not self.is_held:
                return number
            try:
                await self._write()
            except (PlatformError, DataError) as error:
                log.problem("lease renewal failed, order not sent", error=str(error))
        return self.lease.fencing_number(self._read_clock(), needed_seconds)

    async def _write(self) -> None:
        assert self._leases is not None
        renewal_seconds = self.lease.duration_seconds * RENEWAL_RATIO
        self._renew_at_seconds = self._read_clock() + renewal_seconds
        await self._leases.try_acquire(self.lease, self._read_clock)

    async def _check_holder(self, now_seconds: float) -> None:
        """Read the lease once if its holder is unresponsive.

        Its last renewal may not have been received. The wait until the lease can be
        acquired counts from when the newest version was seen.
        """
        assert self._leases is not None
        unseen_seconds = now_seconds - self.lease.last_seen_seconds
        is_known = self.lease.version in (0, self._read_version)
        if is_known or unseen_seconds < HOLDER_TIMEOUT_SECONDS:
            return
        await self._leases.read(self.lease, self._read_clock)
        self._read_version = self.lease.version
