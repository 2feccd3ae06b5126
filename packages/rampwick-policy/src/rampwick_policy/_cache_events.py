"""Cache events of engines and stores: their readers, and the entries they refer to.

An engine identifies a cached part by the salt that it was computed with and the part's
own name. A salt identifies a scope and a weights version, so the hosts that chose it
can map an event to their key of the part.
"""

import itertools
from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._events import CacheChanges, CacheReported
from ._prefix import Scope, cache_salt
from ._roles import LivePeers, Member

_KEY = b"cache events of "

#: Maximum number of entries that wait to be sent, some 10 MB.
MAX_ENTRIES_COUNT = 100_000


@attrs.frozen(repr=False)
class SaltContext(ReprMixin):
    """The scope and weights version that a salt identifies."""

    scope: Scope
    weights_version: int


class SaltTable:
    """Maps between salts of this fleet and what they identify, in both directions."""

    def __init__(self, secret: str) -> None:
        self._secret = secret
        self._salts: dict[SaltContext, str] = {}
        self._contexts: dict[str, SaltContext] = {}

    def salt(self, scope: Scope, weights_version: int) -> str:
        """Return the salt of a scope's entries under one version of the weights."""
        context = SaltContext(scope, weights_version)
        salt = self._salts.get(context)
        if salt is None:
            salt = cache_salt(scope, weights_version, self._secret)
            self._salts[context] = salt
            self._contexts[salt] = context
        return salt

    def prepare(self, scopes: Iterable[Scope], versions: Iterable[int]) -> None:
        """Compute the salts that other hosts may choose, so that they can be found."""
        known = list(versions)
        for scope in scopes:
            for version in known:
                self.salt(scope, version)

    def find(self, salt: str) -> SaltContext | None:
        """Return what a salt identifies, or None if this fleet did not choose it."""
        return self._contexts.get(salt)


@attrs.define(repr=False)
class _PendingChanges(ReprMixin):
    """Changes of one cache that have not been sent yet."""

    is_reset: bool = False
    #: Cached tokens by generation label and prefix.
    tokens: dict[str, dict[bytes, int]] = attrs.field(factory=dict)

    @property
    def count(self) -> int:
        """The number of entries."""
        return sum(map(len, self.tokens.values()))

    def reset(self) -> None:
        """Drop all entries, and tell receivers to do the same."""
        self.is_reset = True
        self.tokens.clear()

    def take(self, upstream: str, max_count: int | None) -> CacheReported:
        """Remove and return at most ``max_count`` entries."""
        changes = []
        for label, known in list(self.tokens.items()):
            if max_count == 0:
                break
            if max_count is None or len(known) <= max_count:
                part = self.tokens.pop(label)
            else:
                part = dict(itertools.islice(known.items(), max_count))
                for prefix in part:
                    del known[prefix]
            if max_count is not None:
                max_count -= len(part)
            changes.append(CacheChanges(label, tuple(part), tuple(part.values())))
        is_reset, self.is_reset = self.is_reset, False
        return CacheReported(upstream, tuple(changes), is_reset)


@attrs.define(repr=False)
class CacheEventBuffer(ReprMixin):
    """Batches cache events; only the latest change of each entry is sent."""

    _by_upstream: dict[str, _PendingChanges] = attrs.field(factory=dict)
    _entries_count: int = 0

    def add(self, event: CacheReported) -> None:
        """Add the changes of one cache."""
        pending = self._by_upstream.setdefault(event.upstream, _PendingChanges())
        self._entries_count -= pending.count
        if event.is_reset:
            pending.reset()
        for change in event.changes:
            known = pending.tokens.setdefault(change.label, {})
            known.update(zip(change.prefixes, change.tokens, strict=False))
        self._entries_count += pending.count
        if self._entries_count > MAX_ENTRIES_COUNT:
            self._reset_longest()

    def _reset_longest(self) -> None:
        """Replace the changes of the cache with the most of them by a reset.

        Receivers then know less of that cache, but nothing that is wrong.
        """
        longest = max(self._by_upstream.values(), key=lambda pending: pending.count)
        self._entries_count -= longest.count
        longest.reset()

    def __bool__(self) -> bool:
        return bool(self._by_upstream)

    def take(self, max_count: int | None = None) -> list[CacheReported]:
        """Remove and return batched changes by cache, the oldest caches first.

        ``max_count`` limits the number of entries; the others stay.
        """
        taken: list[CacheReported] = []
        while self._by_upstream and (max_count is None or max_count > 0):
            upstream, pending = next(iter(self._by_upstream.items()))
            self._entries_count -= pending.count
            event = pending.take(upstream, max_count)
            self._entries_count += pending.count
            if not pending.tokens:
                del self._by_upstream[upstream]
            if max_count is not None:
                # A change without entries counts too, so that the loop is bounded.
                max_count -= max(1, sum(len(item.prefixes) for item in event.changes))
            taken.append(event)
        return taken


def is_cache_reader(own: Member, upstream: str, hall: str, peers: LivePeers) -> bool:
    """Return whether this host is to read the cache events of an upstream.

    One host reads them for all, in the upstream's hall if a host there is alive, so
    that the events cross between halls once. Hosts with the same live peers select the
    same reader; a host without live peers reads for itself.
    """
    key = _KEY + upstream.encode()[:40]
    halls = peers.halls | {own.hall}
    reading_hall = hall if hall in halls else _rendezvous.rank(key, halls)[0]
    if reading_hall != own.hall:
        return False
    return _rendezvous.rank(key, peers.not_draining | {own.name})[0] == own.name
