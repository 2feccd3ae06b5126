"""Claims of idempotency keys on the platform, one object for each shard."""

from collections.abc import Sequence

from rampwick_policy import ClaimDecision, decide_claims, withdraw_claims
from rampwick_schema import Claim, ClaimShard

from ._api import ABSENT, ObjectApi, OutcomeUnknownError, VersionConflictError
from ._records import decode_record, encode_record

CLAIMS_PREFIX = "claims/"

#: Conditional writes tried against other hosts' before giving up.
MAX_TRIES = 20


class ClaimStore:
    """Wins or loses claims by conditional writes."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def claim(
        self, shard: int, wanted: Sequence[Claim], now_seconds: float
    ) -> ClaimDecision:
        """Return which claims were won and lost.

        Raise PlatformError if that can't be known now: none of the arrivals may
        then be dispatched.
        """
        for _ in range(MAX_TRIES):
            found, version = await self._read(shard)
            decision = decide_claims(found, wanted, now_seconds)
            if not decision.needs_write or decision.shard == found:
                return decision
            try:
                await self._write(shard, decision.shard, version)
            except (VersionConflictError, OutcomeUnknownError):
                # Read again: the shard itself shows whose write took effect.
                continue
            return decision
        raise OutcomeUnknownError("too many races", step="claim keys", peer=_key(shard))

    async def withdraw(self, shard: int, write_ids: Sequence[str]) -> None:
        """Free the keys of arrivals that surely did not run."""
        for _ in range(MAX_TRIES):
            found, version = await self._read(shard)
            kept = withdraw_claims(found, write_ids)
            if kept == found:
                return
            try:
                await self._write(shard, kept, version)
            except (VersionConflictError, OutcomeUnknownError):
                continue
            return

    async def _read(self, shard: int) -> tuple[ClaimShard, int]:
        stored = await self._api.get(_key(shard))
        if stored is None:
            return ClaimShard(claims=[]), ABSENT
        return decode_record(stored, ClaimShard), stored.version

    async def _write(self, shard: int, content: ClaimShard, version: int) -> None:
        await self._api.put(_key(shard), encode_record(content), version)


def _key(shard: int) -> str:
    return f"{CLAIMS_PREFIX}{shard:04d}"
