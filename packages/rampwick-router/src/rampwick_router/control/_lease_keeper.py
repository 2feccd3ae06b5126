"""Keeping the steward's lease: taking, renewing, releasing, leaving it to others."""

import math
from collections.abc import Callable

import anyio

from rampwick_platform import LeaseStore, PlatformError
from rampwick_policy import LeaseWatcher
from rampwick_schema import DataError

from .._logs import ComponentLogger, milliseconds

#: Part of the lease after which it is renewed: two renewals may fail before another
#: host takes it.
RENEWAL_RATIO = 1 / 3

#: Time for which nothing is heard of the holder after which the lease is read: a few
#: summaries of peers.
SILENCE_SECONDS = 1.2

#: Age of its own reading of the targets up to which a holder keeps the lease: a watch
#: on a dead connection and three listings after it that fail take 7 s.
MAX_TARGETS_AGE_SECONDS = 8.0

#: Lengths of the lease for which a host that can't learn what is wanted leaves it to
#: others; they notice its silence and wait the old lease out within one and a half.
ABSTAIN_LEASES = 2.0

log = ComponentLogger("steward")


class LeaseKeeper:
    """Competes for the lease and keeps it while this host can do what it is for."""

    def __init__(
        self,
        leases: LeaseStore | None,
        lease: LeaseWatcher,
        read_targets_age: Callable[[], float],
        read_clock: Callable[[], float],
    ) -> None:
        self._leases = leases
        self.lease = lease
        self._read_targets_age = read_targets_age
        self._read_clock = read_clock
        self._renew_at_seconds = 0.0
        self._renewing = anyio.Lock()
        #: Version of the lease that a silence of its holder was looked into for.
        self._read_version = 0
        self._held_since_seconds = math.inf
        #: Until when the lease is left to hosts that know what is wanted.
        self._abstains_until_seconds = -math.inf
        #: Latest time at which an order that was sent may arrive.
        self._order_arrives_seconds = -math.inf

    @property
    def is_held(self) -> bool:
        """Whether this host holds the lease now."""
        return self.lease.is_held(self._read_clock())

    def note_holding(self) -> bool:
        """Look at whether the lease is held; return whether that has changed."""
        was_held = math.isfinite(self._held_since_seconds)
        if self.is_held == was_held:
            return False
        self._held_since_seconds = math.inf if was_held else self._read_clock()
        sentence = "lease lost" if was_held else "lease taken"
        log.info(sentence, fencing_number=self.lease.version)
        return True

    def note_order(self, timeout_seconds: float) -> None:
        """Note that an order is about to be sent; it may arrive until its time-out."""
        self._order_arrives_seconds = self._read_clock() + timeout_seconds

    async def keep(self, is_candidate: bool) -> None:
        """Do what is due now: renew, take, or look for a holder that fell silent."""
        now_seconds = self._read_clock()
        if self.is_held and not self._is_informed(now_seconds):
            await self._abstain(now_seconds)
        is_due = now_seconds >= self._renew_at_seconds
        if not self._may_try(is_candidate, now_seconds):
            return
        if is_due and self.lease.may_take(now_seconds):
            async with self._renewing:
                # It may have been released while the lock was waited for.
                if self._may_try(is_candidate, self._read_clock()):
                    await self._write()
        elif not self.is_held:
            await self._listen_for_holder(now_seconds)

    def _may_try(self, is_candidate: bool, now_seconds: float) -> bool:
        if self.is_held:
            return True
        return is_candidate and now_seconds >= self._abstains_until_seconds

    def _is_informed(self, now_seconds: float) -> bool:
        """Return whether this holder knows what is wanted, or may still learn it."""
        held_seconds = now_seconds - self._held_since_seconds
        return min(self._read_targets_age(), held_seconds) <= MAX_TARGETS_AGE_SECONDS

    async def _abstain(self, now_seconds: float) -> None:
        """Leave the lease to others, who may learn what is wanted.

        A holder that knows of no newer weights orders nothing, and while it renews
        nobody else may: all runners would keep old ones for as long as it lives.
        """
        age_ms = milliseconds(self._read_targets_age())
        log.problem("targets can't be read, lease let go", targets_read_age_ms=age_ms)
        abstain_seconds = ABSTAIN_LEASES * self.lease.duration_seconds
        self._abstains_until_seconds = now_seconds + abstain_seconds
        await self._release()

    async def retire(self) -> None:
        """Leave the lease to others for good, at once if this host holds it."""
        self._abstains_until_seconds = math.inf
        await self._release()

    async def _release(self) -> None:
        # A renewal under way would win, and the host hold the lease again.
        async with self._renewing:
            if self.is_held:
                await self._write_release()

    async def _write_release(self) -> None:
        assert self._leases is not None
        self.lease.give_up()
        # Two holders' orders lie as far apart as when a lease runs out.
        apart_seconds = self.lease.duration_seconds - self.lease.order_window_seconds
        since_seconds = self._read_clock() - self._order_arrives_seconds
        wait_seconds = max(0.0, apart_seconds - since_seconds)
        try:
            await self._leases.release(self.lease, wait_seconds, self._read_clock)
            log.info("lease given up", wait_seconds=wait_seconds)
        except (PlatformError, DataError) as error:
            log.problem("lease not given up", error=str(error))

    async def fencing_number(self, needed_seconds: float) -> int | None:
        """Return the number for an order, after a renewal if it takes one.

        None means that the lease would not outlive the order.
        """
        async with self._renewing:
            number = self.lease.fencing_number(self._read_clock(), needed_seconds)
            if number is not None or not self.is_held:
                return number
            try:
                await self._write()
            except (PlatformError, DataError) as error:
                log.problem("lease not renewed, no order", error=str(error))
        return self.lease.fencing_number(self._read_clock(), needed_seconds)

    async def _write(self) -> None:
        assert self._leases is not None
        renewal_seconds = self.lease.duration_seconds * RENEWAL_RATIO
        self._renew_at_seconds = self._read_clock() + renewal_seconds
        await self._leases.try_take(self.lease, self._read_clock)

    async def _listen_for_holder(self, now_seconds: float) -> None:
        """Read the lease once if its holder has fallen silent.

        Its last renewal may not have been heard of; the wait for the lease counts
        from when the newest version was seen.
        """
        assert self._leases is not None
        silent_seconds = now_seconds - self.lease.heard_at_seconds
        is_known = self.lease.version in (0, self._read_version)
        if is_known or silent_seconds < SILENCE_SECONDS:
            return
        await self._leases.read(self.lease, self._read_clock)
        self._read_version = self.lease.version
