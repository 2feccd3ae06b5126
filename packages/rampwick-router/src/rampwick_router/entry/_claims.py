"""The task that claims idempotency keys: many arrivals, one write."""

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
from .._logs import PartLogger

STEP = "claim key"

#: Batches that may wait for the platform before newer claims are turned away.
MAX_QUEUED = 1000

#: Seconds after which a caller may ask again when the platform did not answer.
RETRY_AFTER_SECONDS = 2.0

#: Claims of its own that a host keeps, for the case that the store loses them.
MAX_KEPT_CLAIMS = 20_000

#: Time after a restore in which no key can be claimed, so that hosts have written their
#: claims again; and the time between two looks at whether there was one.
RESTORED_WAIT_SECONDS = 4.0
ERA_INTERVAL_SECONDS = 0.5

#: Why no key can be claimed after a restore.
INCOMPLETE = "the store was restored, claims are being written again"

log = PartLogger("claims")


@attrs.frozen(repr=False)
class WonClaim(ReprMixin):
    """A key that this arrival owns; only its holder may dispatch."""

    shard: int
    write_id: str
    #: Local time after which it must not be dispatched any more.
    usable_until_seconds: float


@attrs.frozen(repr=False)
class _Wanted(ReprMixin):
    shard: int
    claim: Claim
    answer: MemoryObjectSendStream[bool | RampwickError]


@attrs.frozen(repr=False)
class _Kept(ReprMixin):
    shard: int
    claim: Claim


class ClaimTask:
    """Owns the claim store; gathers what is wanted into batches by shard."""

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
        #: Claims won here that have not expired, the oldest first.
        self._won: dict[str, _Kept] = {}
        self._era = 0
        self._restored_at_seconds = -math.inf
        self._read_clock = read_clock
        self._read_wall_clock = read_wall_clock
        self._inbox: MemoryObjectSendStream[_Wanted]
        self._incoming: MemoryObjectReceiveStream[_Wanted]
        self._inbox, self._incoming = anyio.create_memory_object_stream(MAX_QUEUED)
        self._withdrawals: MemoryObjectSendStream[WonClaim]
        self._withdrawn: MemoryObjectReceiveStream[WonClaim]
        self._withdrawals, self._withdrawn = anyio.create_memory_object_stream(math.inf)

    async def claim(self, workspace: str, key: str) -> WonClaim:
        """Return the claim of a key, or raise a CallerError: it was not run."""
        wait_seconds = self.incomplete_seconds
        if wait_seconds > 0.0:
            raise _unavailable(INCOMPLETE, wait_seconds)
        hashed = key_hash(workspace, key)
        shard = shard_of(hashed, self._settings.shards_count)
        began_seconds = self._read_clock()
        claim = Claim(
            key_hash=hashed,
            write_id=secrets.token_hex(8),
            expires_at_seconds=self._read_wall_clock() + self._settings.window_seconds,
        )
        is_won = await self._decide(shard, claim)
        if not is_won:
            raise CallerError(
                "another request with this key came first and may have run",
                status=409,
                code="key_already_used",
                step=STEP,
            )
        # Half the window is left for the answer of a later arrival to be right
        # even if this host is paused in between.
        usable_until = began_seconds + self._settings.window_seconds / 2
        return WonClaim(shard, claim.write_id, usable_until)

    async def _decide(self, shard: int, claim: Claim) -> bool:
        outgoing, incoming = anyio.create_memory_object_stream[bool | RampwickError](1)
        with incoming:
            try:
                self._inbox.send_nowait(_Wanted(shard, claim, outgoing))
            except anyio.WouldBlock:
                raise _unavailable("too many claims are waiting") from None
            answer = await incoming.receive()
        if isinstance(answer, RampwickError):
            raise _unavailable(str(answer))
        return answer

    def withdraw(self, claim: WonClaim) -> None:
        """Free the key of an arrival that surely did not run."""
        self._withdrawals.send_nowait(claim)

    async def run(self) -> None:
        """Claim and withdraw until cancelled."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._run_withdrawals)
            task_group.start_soon(self._watch_era)
            async for first in self._incoming:
                await anyio.sleep(self._settings.batch_seconds)
                batch = [first, *self._drain()]
                for shard in {wanted.shard for wanted in batch}:
                    part = [wanted for wanted in batch if wanted.shard == shard]
                    task_group.start_soon(self._claim_batch, shard, part)

    def _drain(self) -> list[_Wanted]:
        batch = []
        while True:
            try:
                batch.append(self._incoming.receive_nowait())
            except anyio.WouldBlock:
                return batch

    async def _claim_batch(self, shard: int, batch: list[_Wanted]) -> None:
        try:
            if self._store is None:
                raise RampwickError("no platform is set", step=STEP)
            if self.incomplete_seconds > 0.0:
                raise RampwickError(INCOMPLETE, step=STEP)
            decision = await self._store.claim(
                shard, [wanted.claim for wanted in batch], self._read_wall_clock()
            )
            if self.incomplete_seconds > 0.0:
                # The store was restored before it answered.
                for write_id in decision.won:
                    self.withdraw(WonClaim(shard, write_id, -math.inf))
                raise RampwickError(INCOMPLETE, step=STEP)
            self._keep(shard, batch, decision.won)
        except RampwickError as error:
            log.problem("keys could not be claimed", error=str(error))
            for wanted in batch:
                _answer(wanted, error)
            return
        for wanted in batch:
            _answer(wanted, wanted.claim.write_id in decision.won)

    def _keep(self, shard: int, batch: list[_Wanted], won: frozenset[str]) -> None:
        for wanted in batch:
            if wanted.claim.write_id in won:
                self._won[wanted.claim.write_id] = _Kept(shard, wanted.claim)
        now_seconds = self._read_wall_clock()
        for write_id, kept in list(self._won.items()):
            has_room = len(self._won) <= MAX_KEPT_CLAIMS
            if has_room and now_seconds < kept.claim.expires_at_seconds:
                break
            del self._won[write_id]

    # A store that was restored from a copy lacks claims whose requests have run.

    @property
    def incomplete_seconds(self) -> float:
        """Time for which claims may still be missing from the store; 0 for none."""
        self._note_era()
        since_seconds = self._read_clock() - self._restored_at_seconds
        return max(0.0, RESTORED_WAIT_SECONDS - since_seconds)

    def _note_era(self) -> None:
        """Note when the store was restored."""
        era = self._api.era if self._api else 0
        if era > self._era:
            self._era = era
            self._restored_at_seconds = self._read_clock()

    async def _watch_era(self) -> None:
        written_era = 0
        while True:
            self._note_era()
            era = self._era
            if era != written_era and await self._write_again():
                written_era = era
            await sleep_aligned(ERA_INTERVAL_SECONDS)

    async def _write_again(self) -> bool:
        """Claim once more what was won here; return whether all is written."""
        claims_by_shard: dict[int, list[Claim]] = {}
        for kept in self._won.values():
            claims_by_shard.setdefault(kept.shard, []).append(kept.claim)
        try:
            for shard, claims in claims_by_shard.items():
                assert self._store is not None
                await self._store.claim(shard, claims, self._read_wall_clock())
        except RampwickError as error:
            log.problem("claims not written again", error=str(error))
            return False
        if claims_by_shard:
            log.info("claims written again", claims_count=len(self._won))
        return True

    async def _run_withdrawals(self) -> None:
        async for claim in self._withdrawn:
            if self._store is None:
                continue
            self._won.pop(claim.write_id, None)
            try:
                await self._store.withdraw(claim.shard, [claim.write_id])
            except RampwickError as error:
                log.problem("a key could not be freed", error=str(error))


def _answer(wanted: _Wanted, answer: bool | RampwickError) -> None:
    try:
        wanted.answer.send_nowait(answer)
    except anyio.BrokenResourceError:
        # The caller is gone; the claim stays until it expires.
        return


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
