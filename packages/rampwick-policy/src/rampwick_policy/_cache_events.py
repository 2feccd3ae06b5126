"""Cache events of engines and stores: who reads them, and what they are about.

An engine names a cached part by the salt under which it was made and the part's own
name. A salt stands for a scope and a weights version, so the hosts that chose it can
turn an event into the key under which they know the part.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._events import CacheChanges, CacheSeen
from ._prefix import Scope, cache_salt
from ._roles import Member, Neighbours

_KEY = b"cache events of "


@attrs.frozen(repr=False)
class SaltMeaning(ReprMixin):
    """What was cached under a salt."""

    scope: Scope
    weights_version: int


class SaltBook:
    """The salts that hosts of this fleet choose, both ways."""

    def __init__(self, secret: str) -> None:
        self._secret = secret
        self._salts: dict[SaltMeaning, str] = {}
        self._meanings: dict[str, SaltMeaning] = {}

    def salt(self, scope: Scope, weights_version: int) -> str:
        """Return the salt of a scope's entries under one version of the weights."""
        meaning = SaltMeaning(scope, weights_version)
        salt = self._salts.get(meaning)
        if salt is None:
            salt = cache_salt(scope, weights_version, self._secret)
            self._salts[meaning] = salt
            self._meanings[salt] = meaning
        return salt

    def prepare(self, scopes: Iterable[Scope], versions: Iterable[int]) -> None:
        """Note the salts that other hosts may be choosing."""
        known = list(versions)
        for scope in scopes:
            for version in known:
                self.salt(scope, version)

    def find(self, salt: str) -> SaltMeaning | None:
        """Return what a salt stands for, if this fleet chose it."""
        return self._meanings.get(salt)


@attrs.define(repr=False)
class _Gathered(ReprMixin):
    """What waits to be told of one cache."""

    is_reset: bool = False
    #: Tokens kept by life and prefix.
    tokens: dict[str, dict[bytes, int]] = attrs.field(factory=dict)


@attrs.define(repr=False)
class CacheBox(ReprMixin):
    """Cache events gathered for a while; of each entry only the newest is told."""

    _by_upstream: dict[str, _Gathered] = attrs.field(factory=dict)

    def add(self, seen: CacheSeen) -> None:
        """Gather the changes of one cache."""
        gathered = self._by_upstream.setdefault(seen.upstream, _Gathered())
        if seen.is_reset:
            gathered.is_reset = True
            gathered.tokens.clear()
        for change in seen.changes:
            known = gathered.tokens.setdefault(change.label, {})
            known.update(zip(change.prefixes, change.tokens, strict=False))

    def take(self) -> list[CacheSeen]:
        """Return what was gathered, by cache, and begin anew."""
        gathered, self._by_upstream = self._by_upstream, {}
        return [
            CacheSeen(
                upstream,
                tuple(
                    CacheChanges(label, tuple(known), tuple(known.values()))
                    for label, known in item.tokens.items()
                ),
                item.is_reset,
            )
            for upstream, item in gathered.items()
        ]


def is_cache_reader(own: Member, upstream: str, hall: str, near: Neighbours) -> bool:
    """Return whether this host shall read the cache events of an upstream.

    One host of the upstream's own hall does for all, where any is heard: then the
    events cross between halls once. Hosts agree as far as they hear each other; one
    that hears nobody reads for itself.
    """
    key = _KEY + upstream.encode()[:40]
    halls = near.halls | {own.hall}
    reading_hall = hall if hall in halls else _rendezvous.rank(key, halls)[0]
    if reading_hall != own.hall:
        return False
    return _rendezvous.rank(key, near.staying | {own.name})[0] == own.name
