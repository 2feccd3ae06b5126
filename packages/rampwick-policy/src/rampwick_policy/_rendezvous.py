"""Rendezvous hashing: a ranking that hosts agree on without communication."""

import functools
import hashlib
from bisect import insort
from collections import OrderedDict
from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

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


#: Total number of names in the cached rankings, and bounds of the number of rankings.
_CACHED_NAMES_COUNT = 196_608
_MIN_RANKINGS_COUNT = 16
_MAX_RANKINGS_COUNT = 512


@attrs.frozen(repr=False)
class Ranking(ReprMixin):
    """Names in the order of their weight for a key, and the rank of each."""

    names: frozenset[str]
    order: list[str]
    ranks: dict[str, int]


class RankingCache:
    """Rankings of the keys that were used last."""

    def __init__(self) -> None:
        self._rankings: OrderedDict[bytes, Ranking] = OrderedDict()

    def ranking(self, key: bytes, names: frozenset[str]) -> Ranking:
        """Return the ranking of some names for a key."""
        known = self._rankings.get(key)
        if known is not None and (known.names is names or known.names == names):
            self._rankings.move_to_end(key)
            return known
        order = _order(key, names) if known is None else _reorder(key, known, names)
        ranks = {name: rank for rank, name in enumerate(order)}
        ranking = self._rankings[key] = Ranking(names, order, ranks)
        self._rankings.move_to_end(key)
        count = _CACHED_NAMES_COUNT // max(1, len(names))
        count = min(_MAX_RANKINGS_COUNT, max(_MIN_RANKINGS_COUNT, count))
        while len(self._rankings) > count:
            self._rankings.popitem(last=False)
        return ranking


def _order(key: bytes, names: Iterable[str]) -> list[str]:
    """Return the same order as ``rank``, without caching the weights."""
    keyed = hashlib.blake2b(key=key[:64], digest_size=8)
    weighted = []
    for name in names:
        hash_state = keyed.copy()
        hash_state.update(name.encode())
        weighted.append((hash_state.digest(), name))
    weighted.sort(reverse=True)
    return [name for _, name in weighted]


def _reorder(key: bytes, known: Ranking, names: frozenset[str]) -> list[str]:
    """Return the order after some names joined or left."""
    order = [name for name in known.order if name in names]
    added = names - known.names
    if len(added) > len(order):
        return _order(key, names)
    for name in sorted(added):
        insort(order, name, key=lambda item: -_weight(key, item))
    return order
