"""Cache events of engines and stores: their readers, and the entries they refer to.

An engine identifies a cached part by the salt that it was computed with and the part's
own name. A salt identifies a scope and a weights version, so the hosts that chose it
can map an event to their key of the part.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._events import CacheChanges, CacheReported
from ._prefix import Scope, cache_salt
from ._roles import LivePeers, Member

_KEY = b"cache events of "


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


@attrs.define(repr=False)
class CacheEventBuffer(ReprMixin):
    """Batches cache events; only the latest change of each entry is sent."""

    _by_upstream: dict[str, _PendingChanges] = attrs.field(factory=dict)

    def add(self, event: CacheReported) -> None:
        """Add the changes of one cache."""
        pending = self._by_upstream.setdefault(event.upstream, _PendingChanges())
        if event.is_reset:
            pending.is_reset = True
            pending.tokens.clear()
        for change in event.changes:
            known = pending.tokens.setdefault(change.label, {})
            known.update(zip(change.prefixes, change.tokens, strict=False))

    def take(self) -> list[CacheReported]:
        """Return the batched changes by cache, and clear them."""
        pending, self._by_upstream = self._by_upstream, {}
        return [
            CacheReported(
                upstream,
                tuple(
                    CacheChanges(label, tuple(known), tuple(known.values()))
                    for label, known in item.tokens.items()
                ),
                item.is_reset,
            )
            for upstream, item in pending.items()
        ]


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
