"""At-most-once claims, which assign idempotency keys to requests.

A claim is won only by the conditional write that stored it on the platform. These
functions compute the content of that write and which claims it wins. They are the same
on every host, so a race between hosts is decided by whose write took effect.
"""

import hashlib
from collections.abc import Iterable

import attrs

from rampwick_schema import Claim, ClaimShard, ReprMixin

#: Largest assumed difference between the hosts' clocks. A claim is kept for this long
#: after its expiry.
CLOCK_MARGIN_SECONDS = 60.0


@attrs.frozen(repr=False)
class ClaimDecision(ReprMixin):
    """The new content of a shard, and the result of each claim if it is written."""

    shard: ClaimShard
    won: frozenset[str]
    #: Write IDs of claims whose key is owned by another request.
    lost: frozenset[str]

    @property
    def needs_write(self) -> bool:
        """Whether a claim was won, so that the shard has to be written."""
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
    """Return the shard with the wanted claims added whose keys are free.

    A claim that is stored with the same write ID is won: its write took effect although
    the response was lost.
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
        result = won if owner.write_id == claim.write_id else lost
        result.add(claim.write_id)
    return ClaimDecision(
        shard=ClaimShard(claims=list(held.values())),
        won=frozenset(won),
        lost=frozenset(lost),
    )


def withdraw_claims(shard: ClaimShard, write_ids: Iterable[str]) -> ClaimShard:
    """Return the shard without the claims of requests that certainly did not run."""
    withdrawn = set(write_ids)
    remaining = [claim for claim in shard.claims if claim.write_id not in withdrawn]
    return ClaimShard(claims=remaining)
