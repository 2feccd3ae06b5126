"""Importing cached prompts instead of computing them, and saving them to a store.

An import moves the cache of tokens over a link, which takes a small part of the time
that computing them would. Sources are the other runners with the same weights and a
store of kept cache. What is known of them is an estimate: a wrong import costs the
round trip of one question.
"""

import attrs

from rampwick_schema import KeptStore, PlacedPrefix, ReprMixin, Service

from . import _rendezvous
from ._kept import KeptKnowledge, kept_version
from ._prefix import PrefixChain
from ._routes import RouteIndex

#: Time that setting up one import takes; from the engines' data sheets.
SETUP_SECONDS = 0.004

#: How many times longer a move between two halls takes than one within a hall; the
#: platform says so of its links.
FAR_FACTOR = 2.0


@attrs.frozen(repr=False)
class ImportSource(ReprMixin):
    """A cache that holds a part of a prompt."""

    name: str
    address: str
    held_tokens: int
    seconds_per_token: float
    weights_version: int
    hall: str = ""
    #: Time that what moves from this cache already takes.
    queue_seconds: float = 0.0

    def seconds(self, own_tokens: int, hall: str) -> float:
        """Return the time to import into a hall what goes beyond ``own_tokens``."""
        tokens = max(0, self.held_tokens - own_tokens)
        if not tokens:
            return 0.0
        factor = FAR_FACTOR if hall and self.hall and hall != self.hall else 1.0
        moving_seconds = tokens * self.seconds_per_token * factor
        return SETUP_SECONDS + self.queue_seconds + moving_seconds


@attrs.frozen(repr=False)
class Holder(ReprMixin):
    """A runner that may be asked for its cache."""

    name: str
    address: str
    held_tokens: int
    weights_version: int
    hall: str = ""


class Imports:
    """Sources of cached prompts for the engines of one configuration."""

    def __init__(self) -> None:
        self._routes: RouteIndex | None = None
        self._stores: dict[str, KeptStore] = {}
        self._kept: dict[str, KeptKnowledge] = {}

    def apply(self, routes: RouteIndex) -> None:
        """Take the services and stores of another configuration."""
        self._routes = routes
        self._stores = {store.name: store for store in routes.routing.kept_stores}
        self._kept = {name: self.kept(name) for name in self._stores}

    def service(self, name: str) -> Service | None:
        """Return a service whose engines can import, if this is one."""
        if self._routes is None:
            return None
        service = self._routes.service(name)
        if service is None or service.link_bits_per_second <= 0.0:
            return None
        return service

    def stores(self) -> list[KeptStore]:
        """Return the stores of kept cache."""
        return list(self._stores.values())

    def kept(self, store: str) -> KeptKnowledge:
        """Return what a store is believed to hold; nothing of an unknown one."""
        return self._kept.get(store, KeptKnowledge())

    def runner_source(self, service: Service, holder: Holder) -> ImportSource:
        """Return a runner's cache as a source."""
        bits_per_token = 8.0 * service.token_bytes
        return ImportSource(
            holder.name,
            holder.address,
            holder.held_tokens,
            bits_per_token / service.link_bits_per_second,
            holder.weights_version,
            holder.hall,
        )

    def store_sources(
        self,
        service: Service,
        weights_version: int,
        chain: PrefixChain,
        now_seconds: float,
    ) -> list[ImportSource]:
        """Return the stores as sources, with what each is believed to hold.

        The one that a prompt is saved to comes last.
        """
        bits_per_token = 8.0 * service.token_bytes
        return [
            ImportSource(
                store.name,
                store.address,
                self._kept[store.name].held_tokens(weights_version, chain, now_seconds),
                bits_per_token / store.link_bits_per_second,
                weights_version,
                store.hall,
            )
            for store in reversed(self._ranked(chain))
            if store.link_bits_per_second > 0.0
        ]

    def note_reported(self, placed: PlacedPrefix, now_seconds: float) -> bool:
        """Take what a peer had saved; return whether it is about a store."""
        version = kept_version(placed.incarnation)
        if version is None:
            return False
        kept = self.kept(placed.upstream)
        pairs = zip(placed.prefixes, placed.extents_tokens, strict=False)
        for prefix, tokens in pairs:
            kept.note_saved(version, prefix, tokens, now_seconds)
        return True

    def take_store(
        self, weights_version: int, chain: PrefixChain, now_seconds: float
    ) -> KeptStore | None:
        """Return where to save a prompt's shared part; none if it is kept already.

        One copy does for the fleet: a store's link carries a prompt in a small part
        of the time that reading it takes, and together the stores then hold the
        more. The prefixes count as saved from now on.
        """
        ranked = self._ranked(chain)
        levels = chain.levels
        if not ranked or not levels:
            return None
        for store in ranked:
            held = self._kept[store.name].held_tokens(
                weights_version, chain, now_seconds
            )
            if held >= levels[-1].tokens:
                return None
        kept = self._kept[ranked[0].name]
        previous = 0
        for level in levels:
            extent = level.tokens - previous
            previous = level.tokens
            kept.note_saved(weights_version, level.prefix, extent, now_seconds)
        return ranked[0]

    def _ranked(self, chain: PrefixChain) -> list[KeptStore]:
        """Return the stores, with that first to which a prompt is saved."""
        names = _rendezvous.rank(chain.home_key, self._stores)
        return [self._stores[name] for name in names]
