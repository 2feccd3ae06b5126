"""Hashes that identify prompt prefixes.

A prompt is split into blocks of equal length. The hash of a block covers all blocks up
to it and is keyed by the scope: workspace, model and adapter. Equal hashes therefore
mean equal prefixes within one scope. The incarnation and weights version of a runner
are not hashed; the cache index is kept per generation instead, so that a new generation
drops all entries at once.

Only some depths are tracked, the checkpoints: a geometric series and the ends of
messages. A prompt of any length has a few dozen, and two prompts with a common prefix
share the checkpoints within it.
"""

import hashlib
from collections.abc import Mapping, Sequence
from functools import lru_cache

import attrs

from rampwick_schema import ReprMixin

#: Length of a prefix hash in bytes.
HASH_BYTES = 8

#: Ratio between two consecutive checkpoints of the geometric series.
CHECKPOINT_RATIO = 1.25


@attrs.frozen(repr=False)
class Scope(ReprMixin):
    """The context in which cached entries can be shared."""

    workspace: str
    model: str
    adapter: str = ""

    @property
    def seed(self) -> bytes:
        """Key of all hashes within this scope."""
        text = "\0".join((self.workspace, self.model, self.adapter))
        return hashlib.blake2b(text.encode(), digest_size=32).digest()


@attrs.frozen(repr=False)
class Checkpoint(ReprMixin):
    """A tracked depth of a prompt."""

    prefix: bytes
    tokens: int
    #: Whether a message other than the last ends here, so that prompts may share it.
    is_level: bool = False


@attrs.frozen(repr=False)
class PrefixChain(ReprMixin):
    """The checkpoints of one prompt, shallowest first, and its total length."""

    checkpoints: tuple[Checkpoint, ...]
    total_tokens: int
    #: Affinity key given by named parts; if empty, a hash of the first blocks is used.
    explicit_affinity_key: bytes = b""
    #: Whether the checkpoints are named parts with independent keys.
    has_parts: bool = False

    @property
    def levels(self) -> tuple[Checkpoint, ...]:
        """The checkpoints at the ends of all messages but the last."""
        return tuple(item for item in self.checkpoints if item.is_level)

    @property
    def affinity_key(self) -> bytes:
        """Key shared by related prompts, which ranks runners and stores."""
        if self.explicit_affinity_key or not self.checkpoints:
            return self.explicit_affinity_key
        return self.checkpoints[min(3, len(self.checkpoints) - 1)].prefix


def build_chain(
    scope: Scope,
    text: bytes,
    *,
    block_bytes: int,
    bytes_per_token: float,
    boundaries_bytes: Sequence[int] = (),
) -> PrefixChain:
    """Return the chain of a prompt; ``boundaries_bytes`` are the ends of messages."""
    count = len(text) // block_bytes
    levels = {min(end // block_bytes, count) for end in boundaries_bytes[:-1]}
    selected_depths = {*geometric_depths(count), *levels, count} - {0}
    hashes = _hash_blocks(scope.seed, text, block_bytes, sorted(selected_depths))
    checkpoints = tuple(
        Checkpoint(prefix, int(depth * block_bytes / bytes_per_token), depth in levels)
        for depth, prefix in hashes
    )
    total_tokens = max(1, round(len(text) / bytes_per_token))
    return PrefixChain(checkpoints=checkpoints, total_tokens=total_tokens)


@attrs.frozen(repr=False)
class PromptPart(ReprMixin):
    """A named part of a prompt; equal names mean equal text."""

    name: bytes
    tokens: int


def chain_from_parts(scope: Scope, parts: Sequence[PromptPart]) -> PrefixChain:
    """Return the chain of a prompt that is given as named parts instead of text.

    The last part belongs to this request only; the ends of the others are levels.
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
        explicit_affinity_key=shared[-1].prefix if shared else b"",
        has_parts=True,
    )


def part_key(scope: Scope, name: bytes) -> bytes:
    """Return the key of a named part within a scope."""
    return hashlib.blake2b(name, key=scope.seed, digest_size=HASH_BYTES).digest()


def held_tokens(chain: PrefixChain, held: Mapping[bytes, int]) -> int:
    """Return the length of the prompt's prefix that a cache holds.

    ``held`` maps each entry to the tokens that it adds to the previous entry. In a
    prompt of named parts, each entry is one part, which may be cached partially and
    counts only if all parts before it are cached completely.
    """
    if not chain.has_parts:
        for checkpoint in reversed(chain.checkpoints):
            if checkpoint.prefix in held:
                return checkpoint.tokens
        return 0
    total = 0
    for checkpoint in chain.checkpoints:
        extent = checkpoint.tokens - total
        cached = held.get(checkpoint.prefix, 0)
        if cached < extent:
            return total + cached
        total = checkpoint.tokens
    return total


def _hash_blocks(
    seed: bytes, text: bytes, block_bytes: int, depths: Sequence[int]
) -> list[tuple[int, bytes]]:
    # Copying the state of one running hash at each depth costs less than a separate
    # hash for each block.
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
    """Return the depths, in blocks up to ``count``, of the geometric series."""
    depths = []
    depth = 1
    while depth <= count:
        depths.append(depth)
        depth = max(depth + 1, int(depth * CHECKPOINT_RATIO))
    return tuple(depths)


def cache_salt(scope: Scope, weights_version: int, secret: str) -> str:
    """Return the salt that isolates a scope's entries in an engine's cache.

    It includes the weights version, so that an engine that fails to clear its cache
    on a reload cannot match entries of older weights.
    """
    digest = hashlib.blake2b(scope.seed, key=secret.encode()[:64], digest_size=16)
    digest.update(str(weights_version).encode())
    return digest.hexdigest()
