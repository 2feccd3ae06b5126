"""Store of idempotency key claims on the platform, one object for each shard."""

from collections.abc import Sequence

from rampwick_policy import ClaimDecision, decide_claims, withdraw_claims
from rampwick_schema import Claim, ClaimShard

from ._api import ABSENT, ObjectApi, OutcomeUnknownError, VersionConflictError
from ._records import decode_record, encode_record

CLAIMS_PREFIX = "claims/"

#: Attempts at a conditional write that races with other hosts.
MAX_ATTEMPTS = 20


class ClaimStore:
    """Claims idempotency keys by conditional writes."""

    def __init__(self, api: ObjectApi) -> None:
        self._api = api

    async def claim(
        self, shard: int, requested: Sequence[Claim], now_seconds: float
    ) -> ClaimDecision:
        """Return which of the requested claims were won and lost.

        Raise PlatformError if the outcome is unknown: then none of the requests may be
        dispatched.
        """
        for _ in range(MAX_ATTEMPTS):
            current, version = await self._read(shard)
            decision = decide_claims(current, requested, now_seconds)
            if not decision.needs_write or decision.shard == current:
                return decision
            try:
                await self._write(shard, decision.shard, version)
            except (VersionConflictError, OutcomeUnknownError):
                # The shard, when read again, shows whose write took effect.
                continue
            return decision
        raise OutcomeUnknownError("too many races", step="claim keys", peer=_key(shard))

    async def withdraw(self, shard: int, write_ids: Sequence[str]) -> None:
        """Release the keys of requests that certainly did not run."""
        for _ in range(MAX_ATTEMPTS):
            current, version = await self._read(shard)
            remaining = withdraw_claims(current, write_ids)
            if remaining == current:
                return
            try:
                await self._write(shard, remaining, version)
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
