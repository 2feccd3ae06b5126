"""Cache events of engines and stores: who reads them, and what they are about.

An engine names a cached part by the salt under which it was made and the part's own
name. A salt stands for a scope and a weights version, so the hosts that chose it can
turn an event into the key under which they know the part.
"""

from collections.abc import Iterable

import attrs

from . import _rendezvous
from ._membership import PeerView
from ._prefix import Scope, cache_salt

#: Up to so many hosts one of them reads an engine's events for all; in larger fleets
#: one of each hall does, so that no news has to travel between halls.
SMALL_FLEET_COUNT = 16

_KEY = b"cache events of "


@attrs.frozen
class SaltMeaning:
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


def is_cache_reader(
    host: str, hall: str, upstream: str, live_peers: Iterable[PeerView]
) -> bool:
    """Return whether ``host`` shall read an upstream's cache events.

    Hosts agree as far as they hear each other; one that hears nobody reads for
    itself.
    """
    peers = list(live_peers)
    if len(peers) >= SMALL_FLEET_COUNT:
        peers = [view for view in peers if view.hall == hall]
    staying = [view.name for view in peers if not view.summary.is_leaving]
    ranked = _rendezvous.rank(_KEY + upstream.encode()[:40], [*staying, host])
    return ranked[0] == host
