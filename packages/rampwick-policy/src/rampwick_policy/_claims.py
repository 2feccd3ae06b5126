"""At-most-once claims: which arrivals own their idempotency key.

A claim is won only by the conditional write that put it on the platform. These
functions decide what that write shall hold and read off who won; they are the same
for every host, so two hosts that race settle by whose write took effect.
"""

import hashlib
from collections.abc import Iterable

import attrs

from rampwick_schema import Claim, ClaimShard, ReprMixin

#: How far the hosts' clocks may differ; a claim stays this much past its expiry.
CLOCK_MARGIN_SECONDS = 60.0


@attrs.frozen(repr=False)
class ClaimDecision(ReprMixin):
    """What to write to the shard, and how each wanted claim fares if it succeeds."""

    shard: ClaimShard
    won: frozenset[str]
    #: Write ids of claims whose key another arrival owns.
    lost: frozenset[str]

    @property
    def needs_write(self) -> bool:
        """Whether anything was won that the shard does not hold yet."""
        return bool(self.won)


def key_hash(workspace: str, key: str) -> str:
    """Return the hash under which a workspace's key is claimed."""
    text = f"{workspace}\0{key}"
    return hashlib.blake2b(text.encode(), digest_size=16).hexdigest()


def shard_of(claim_hash: str, shards_count: int) -> int:
    """Return the number of the shard that holds a key."""
    return int(claim_hash[:8], 16) % shards_count


def decide_claims(
    shard: ClaimShard, wanted: Iterable[Claim], now_seconds: float
) -> ClaimDecision:
    """Return the shard with the wanted claims added where the key is free.

    A claim that the shard holds under the same write id is won already: its write
    took effect although the answer was lost.
    """
    held = {
        claim.key_hash: claim
        for claim in shard.claims
        if now_seconds < claim.expires_at_seconds + CLOCK_MARGIN_SECONDS
    }
    won: set[str] = set()
    lost: set[str] = set()
    for claim in wanted:
        owner = held.setdefault(claim.key_hash, claim)
        side = won if owner.write_id == claim.write_id else lost
        side.add(claim.write_id)
    return ClaimDecision(
        shard=ClaimShard(claims=list(held.values())),
        won=frozenset(won),
        lost=frozenset(lost),
    )


def withdraw_claims(shard: ClaimShard, write_ids: Iterable[str]) -> ClaimShard:
    """Return the shard without the claims of arrivals that surely did not run."""
    withdrawn = set(write_ids)
    kept = [claim for claim in shard.claims if claim.write_id not in withdrawn]
    return ClaimShard(claims=kept)
