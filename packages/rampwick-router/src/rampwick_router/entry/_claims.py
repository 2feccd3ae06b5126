"""Claims of idempotency keys, written to the store in batches by shard."""

import math
import secrets
from collections.abc import Callable

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from rampwick_platform import ClaimStore, ObjectApi, sleep_aligned
from rampwick_policy import RunState, key_hash, shard_of
from rampwick_schema import Claim, ClaimSettings, RampwickError, ReprMixin

from .._errors import CallerError
from .._logs import ComponentLogger
from .._unexpected_errors import contain_errors, note_unexpected_error

STEP = "claim key"

#: Pending claims at which further ones are rejected.
MAX_PENDING_CLAIMS = 1000

#: Retry-after for callers whose claim the platform did not confirm.
RETRY_AFTER_SECONDS = 2.0

#: Own claims that a host retains to rewrite them after the store loses them.
MAX_RETAINED_CLAIMS = 20_000

#: Time after a restore of the store in which no key can be claimed; within it hosts
#: rewrite their claims.
RESTORED_WAIT_SECONDS = 4.0

#: Interval between checks for a restore.
ERA_INTERVAL_SECONDS = 0.5

#: Message to callers while claims are rejected after a restore.
RESTORED_MESSAGE = "the store was restored, claims are being written again"

log = ComponentLogger("claims")


@attrs.frozen(repr=False)
class AcquiredClaim(ReprMixin):
    """A claimed key; only the request that holds it may be dispatched."""

    shard: int
    write_id: str
    #: Monotonic time after which the request must not be dispatched.
    usable_until_seconds: float


@attrs.frozen(repr=False)
class _PendingClaim(ReprMixin):
    shard: int
    claim: Claim
    result: MemoryObjectSendStream[bool | RampwickError]

    def has_caller(self) -> bool:
        """Return whether the request still waits for the result."""
        return self.result.statistics().open_receive_streams > 0


@attrs.frozen(repr=False)
class _RetainedClaim(ReprMixin):
    shard: int
    claim: Claim


class ClaimTask:
    """Owns the claim store and batches pending claims by shard."""

    def __init__(
        self,
        api: ObjectApi | None,
        settings: ClaimSettings,
        read_clock: Callable[[], float],
        read_wall_clock: Callable[[], float],
    ) -> None:
        self._api = api
        self._store = ClaimStore(api) if api else None
        self._settings = settings
        #: Unexpired claims acquired by this host, oldest first.
        self._own_claims: dict[str, _RetainedClaim] = {}
        self._era = 0
        self._restored_at_seconds = -math.inf
        self._read_clock = read_clock
        self._read_wall_clock = read_wall_clock
        #: Claims that wait for the batch of their shard that is in progress, by shard;
        #: a shard without such a batch has no entry.
        self._waiting: dict[int, list[_PendingClaim]] = {}
        self._pending_sender: MemoryObjectSendStream[_PendingClaim]
        self._pending: MemoryObjectReceiveStream[_PendingClaim]
        self._pending_sender, self._pending = anyio.create_memory_object_stream(
            MAX_PENDING_CLAIMS
        )
        self._withdrawal_sender: MemoryObjectSendStream[AcquiredClaim]
        self._withdrawals: MemoryObjectReceiveStream[AcquiredClaim]
        self._withdrawal_sender, self._withdrawals = anyio.create_memory_object_stream(
            math.inf
        )

    async def claim(self, workspace: str, key: str) -> AcquiredClaim:
        """Claim a key, or raise a CallerError for a request that was not run."""
        wait_seconds = self.recovery_remaining_seconds
        if wait_seconds > 0.0:
            raise _unavailable(RESTORED_MESSAGE, wait_seconds)
        hashed = key_hash(workspace, key)
        shard = shard_of(hashed, self._settings.shards_count)
        started_seconds = self._read_clock()
        claim = Claim(
            key_hash=hashed,
            write_id=secrets.token_hex(8),
            expires_at_seconds=self._read_wall_clock() + self._settings.window_seconds,
        )
        is_acquired = await self._submit(shard, claim)
        if not is_acquired:
            raise CallerError(
                "another request with this key came first and may have run",
                status=409,
                code="key_already_used",
                step=STEP,
            )
        # The claim is usable for half its window. The other half covers a pause of
        # this host after the check before dispatch: a later request with the same key
        # must still find the claim in the store.
        usable_until = started_seconds + self._settings.window_seconds / 2
        return AcquiredClaim(shard, claim.write_id, usable_until)

    async def _submit(self, shard: int, claim: Claim) -> bool:
        sender, receiver = anyio.create_memory_object_stream[bool | RampwickError](1)
        with receiver:
            try:
                self._pending_sender.send_nowait(_PendingClaim(shard, claim, sender))
            except anyio.WouldBlock:
                raise _unavailable("too many claims are waiting") from None
            result = await receiver.receive()
        if isinstance(result, RampwickError):
            raise _unavailable(str(result))
        return result

    def withdraw(self, claim: AcquiredClaim) -> None:
        """Release the key of a request that is known not to have run."""
        self._withdrawal_sender.send_nowait(claim)

    async def run(self) -> None:
        """Process claims and withdrawals until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._run_withdrawals)
            task_group.start_soon(self._watch_era)
            async for first in self._pending:
                await anyio.sleep(self._settings.batch_seconds)
                for pending in [first, *self._receive_pending()]:
                    if pending.shard not in self._waiting:
                        self._waiting[pending.shard] = []
                        task_group.start_soon(self._claim_waiting, pending.shard)
                    self._waiting[pending.shard].append(pending)

    def _receive_pending(self) -> list[_PendingClaim]:
        batch = []
        while True:
            try:
                batch.append(self._pending.receive_nowait())
            except anyio.WouldBlock:
                return batch

    async def _claim_waiting(self, shard: int) -> None:
        """Claim what waits for a shard, one batch after another.

        Batches of one shard at the same time would overwrite each other, and the calls
        that they wait for would delay all other calls of this host. Claims whose
        requests were cancelled meanwhile are dropped.
        """
        try:
            while waiting := self._waiting[shard]:
                self._waiting[shard] = []
                batch = [pending for pending in waiting if pending.has_caller()]
                if batch:
                    await self._claim_batch(shard, batch)
        finally:
            del self._waiting[shard]

    async def _claim_batch(self, shard: int, batch: list[_PendingClaim]) -> None:
        try:
            if self._store is None:
                raise RampwickError("no platform is set", step=STEP)
            if self.recovery_remaining_seconds > 0.0:
                raise RampwickError(RESTORED_MESSAGE, step=STEP)
            decision = await self._store.claim(
                shard, [pending.claim for pending in batch], self._read_wall_clock()
            )
            if self.recovery_remaining_seconds > 0.0:
                # The store was restored while the claim was in flight.
                for write_id in decision.won:
                    self.withdraw(AcquiredClaim(shard, write_id, -math.inf))
                raise RampwickError(RESTORED_MESSAGE, step=STEP)
            self._retain(shard, batch, decision.won)
        except Exception as error:
            if isinstance(error, RampwickError):
                log.problem("failed to claim keys", error=str(error))
            else:
                note_unexpected_error("claim of keys", error)
                error = RampwickError("an unexpected error", step=STEP)
            for pending in batch:
                _send_result(pending, error)
            return
        for pending in batch:
            write_id = pending.claim.write_id
            is_won = write_id in decision.won
            if not _send_result(pending, is_won) and is_won:
                self.withdraw(AcquiredClaim(shard, write_id, -math.inf))

    def _retain(
        self, shard: int, batch: list[_PendingClaim], won: frozenset[str]
    ) -> None:
        for pending in batch:
            if pending.claim.write_id in won:
                self._own_claims[pending.claim.write_id] = _RetainedClaim(
                    shard, pending.claim
                )
        now_seconds = self._read_wall_clock()
        for write_id, retained in list(self._own_claims.items()):
            has_capacity = len(self._own_claims) <= MAX_RETAINED_CLAIMS
            if has_capacity and now_seconds < retained.claim.expires_at_seconds:
                break
            del self._own_claims[write_id]

    # A store restored from an older copy lacks claims whose requests may have run.

    @property
    def recovery_remaining_seconds(self) -> float:
        """Time for which the store may still lack claims; 0 if it is complete."""
        self._check_era()
        elapsed_seconds = self._read_clock() - self._restored_at_seconds
        return max(0.0, RESTORED_WAIT_SECONDS - elapsed_seconds)

    def _check_era(self) -> None:
        """Record the time of a restore if the store's era has advanced."""
        era = self._api.era if self._api else 0
        if era > self._era:
            self._era = era
            self._restored_at_seconds = self._read_clock()

    async def _watch_era(self) -> None:
        rewritten_era = 0
        while True:
            self._check_era()
            era = self._era
            if era != rewritten_era and await self._rewrite_claims():
                rewritten_era = era
            await sleep_aligned(ERA_INTERVAL_SECONDS)

    async def _rewrite_claims(self) -> bool:
        """Rewrite the claims acquired here; return whether all were written."""
        claims_by_shard: dict[int, list[Claim]] = {}
        for retained in self._own_claims.values():
            claims_by_shard.setdefault(retained.shard, []).append(retained.claim)
        try:
            for shard, claims in claims_by_shard.items():
                assert self._store is not None
                await self._store.claim(shard, claims, self._read_wall_clock())
        except RampwickError as error:
            log.problem("failed to rewrite claims after a restore", error=str(error))
            return False
        if claims_by_shard:
            log.info(
                "claims rewritten after a restore", claims_count=len(self._own_claims)
            )
        return True

    async def _run_withdrawals(self) -> None:
        async for claim in self._withdrawals:
            if self._store is None:
                continue
            self._own_claims.pop(claim.write_id, None)
            with contain_errors("release of a key"):
                try:
                    await self._store.withdraw(claim.shard, [claim.write_id])
                except RampwickError as error:
                    log.problem("failed to release a key", error=str(error))


def _send_result(pending: _PendingClaim, result: bool | RampwickError) -> bool:
    """Send the result to the request; return False if that was cancelled."""
    try:
        pending.result.send_nowait(result)
    except anyio.BrokenResourceError:
        return False
    return True


def _unavailable(
    message: str, retry_after_seconds: float = RETRY_AFTER_SECONDS
) -> CallerError:
    return CallerError(
        f"the key could not be claimed: {message}",
        status=503,
        code="claim_unavailable",
        step=STEP,
        run_state=RunState.NOT_SENT,
        retry_after_seconds=retry_after_seconds,
    )
