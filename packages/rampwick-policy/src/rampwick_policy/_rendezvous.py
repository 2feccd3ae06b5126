"""Rendezvous hashing: a ranking that hosts agree on without communication."""

import functools
import hashlib
from collections.abc import Iterable

#: Largest value of the 8-byte hash, to map it into (0, 1).
_HASH_SPAN = 2.0**64


def rank(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the names ordered by their weight for a key, highest first.

    When a name is removed, only the keys that ranked it first move.
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


#: Number of cached weights: a few hundred hot prefixes at a few hundred upstreams each.
_CACHED_WEIGHTS_COUNT = 65_536


@functools.lru_cache(maxsize=_CACHED_WEIGHTS_COUNT)
def _weight(key: bytes, name: str) -> float:
    digest = hashlib.blake2b(name.encode(), key=key[:64], digest_size=8).digest()
    return (int.from_bytes(digest, "big") + 0.5) / _HASH_SPAN
