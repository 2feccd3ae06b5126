"""Identity of prompt prefixes.

A prompt is cut into blocks of equal length. Each block's hash covers all blocks
before it and starts from the scope: workspace, model and adapter. Equal hashes
therefore mean equal beginnings within one workspace. The runner's life and weights
version are not hashed but key the knowledge about it, so that a newer life drops
what was known as a whole.

Only some depths are remembered, the checkpoints: a geometric series and the ends of
messages. A prompt of any length has a few dozen, and two prompts with a common
beginning share the checkpoints within it.
"""

import hashlib
from collections.abc import Mapping, Sequence
from functools import lru_cache

import attrs

from rampwick_schema import ReprMixin

#: Bytes of one prefix hash.
HASH_BYTES = 8

#: Ratio between two neighbouring checkpoints of the geometric series.
CHECKPOINT_RATIO = 1.25


@attrs.frozen(repr=False)
class Scope(ReprMixin):
    """What a cached entry belongs to besides its text."""

    workspace: str
    model: str
    adapter: str = ""

    @property
    def seed(self) -> bytes:
        """Key of the first block's hash."""
        text = "\0".join((self.workspace, self.model, self.adapter))
        return hashlib.blake2b(text.encode(), digest_size=32).digest()


@attrs.frozen(repr=False)
class Checkpoint(ReprMixin):
    """One remembered depth of a prompt."""

    prefix: bytes
    tokens: int
    #: Whether a message other than the last ends here: what prompts share.
    is_level: bool = False


@attrs.frozen(repr=False)
class PrefixChain(ReprMixin):
    """The checkpoints of one prompt, shallowest first, and its whole length."""

    checkpoints: tuple[Checkpoint, ...]
    total_tokens: int
    #: Key that related prompts share where it is known; empty takes the first blocks.
    named_home: bytes = b""
    #: Whether the checkpoints are named parts, each with a key of its own.
    has_parts: bool = False

    @property
    def levels(self) -> tuple[Checkpoint, ...]:
        """The ends of the messages before the last, if there are several."""
        return tuple(item for item in self.checkpoints if item.is_level)

    @property
    def home_key(self) -> bytes:
        """Key that related prompts share: the hash of the first blocks."""
        if self.named_home or not self.checkpoints:
            return self.named_home
        return self.checkpoints[min(3, len(self.checkpoints) - 1)].prefix


def build_chain(
    scope: Scope,
    text: bytes,
    *,
    block_bytes: int,
    bytes_per_token: float,
    boundaries_bytes: Sequence[int] = (),
) -> PrefixChain:
    """Return the chain of a prompt; ``boundaries_bytes`` are its messages' ends."""
    count = len(text) // block_bytes
    levels = {min(end // block_bytes, count) for end in boundaries_bytes[:-1]}
    wanted = {*geometric_depths(count), *levels, count} - {0}
    hashes = _hash_blocks(scope.seed, text, block_bytes, sorted(wanted))
    checkpoints = tuple(
        Checkpoint(prefix, int(depth * block_bytes / bytes_per_token), depth in levels)
        for depth, prefix in hashes
    )
    total_tokens = max(1, round(len(text) / bytes_per_token))
    return PrefixChain(checkpoints=checkpoints, total_tokens=total_tokens)


@attrs.frozen(repr=False)
class PromptPart(ReprMixin):
    """One named part of a prompt; equal names mean equal text."""

    name: bytes
    tokens: int


def chain_from_parts(scope: Scope, parts: Sequence[PromptPart]) -> PrefixChain:
    """Return the chain of a prompt whose parts are named instead of sent as text.

    The last part is the request's own; the ends of the others are levels.
    """
    checkpoints = []
    tokens = 0
    for index, part in enumerate(parts):
        tokens += part.tokens
        is_level = index < len(parts) - 1
        checkpoints.append(Checkpoint(part_key(scope, part.name), tokens, is_level))
    shared = [item for item in checkpoints if item.is_level] or checkpoints
    return PrefixChain(
        checkpoints=tuple(checkpoints),
        total_tokens=max(1, tokens),
        named_home=shared[-1].prefix if shared else b"",
        has_parts=True,
    )


def part_key(scope: Scope, name: bytes) -> bytes:
    """Return the key under which one named part is known within a scope."""
    return hashlib.blake2b(name, key=scope.seed, digest_size=HASH_BYTES).digest()


def held_tokens(chain: PrefixChain, held: Mapping[bytes, int]) -> int:
    """Return the length of the prompt's beginning that a cache holds.

    ``held`` has the tokens that each entry adds to the one before it. Where a prompt
    has named parts, each entry is one part, of which a cache may have kept only the
    beginning, and it counts if all parts before it are whole.
    """
    if not chain.has_parts:
        return next(
            (
                item.tokens
                for item in reversed(chain.checkpoints)
                if item.prefix in held
            ),
            0,
        )
    total = 0
    for checkpoint in chain.checkpoints:
        extent = checkpoint.tokens - total
        kept = held.get(checkpoint.prefix, 0)
        if kept < extent:
            return total + kept
        total = checkpoint.tokens
    return total


def _hash_blocks(
    seed: bytes, text: bytes, block_bytes: int, depths: Sequence[int]
) -> list[tuple[int, bytes]]:
    # One running hash over the text gives every depth's hash by copying its state,
    # which costs less than a separate hash for each block.
    running = hashlib.blake2b(key=seed, digest_size=HASH_BYTES)
    hashes = []
    start = 0
    for depth in depths:
        end = depth * block_bytes
        running.update(text[start:end])
        hashes.append((depth, running.copy().digest()))
        start = end
    return hashes


@lru_cache(maxsize=4096)
def geometric_depths(count: int) -> tuple[int, ...]:
    """Return the depths in blocks, up to ``count``, that every prompt remembers."""
    depths = []
    depth = 1
    while depth <= count:
        depths.append(depth)
        depth = max(depth + 1, int(depth * CHECKPOINT_RATIO))
    return tuple(depths)


def cache_salt(scope: Scope, weights_version: int, secret: str) -> str:
    """Return the salt that keeps a scope's entries in an engine to themselves.

    It holds the weights version, so that an engine which forgot to clear its cache
    at a reload can't match entries of the older weights.
    """
    digest = hashlib.blake2b(scope.seed, key=secret.encode()[:64], digest_size=16)
    digest.update(str(weights_version).encode())
    return digest.hexdigest()
