"""Import of cached prompts instead of computing them, and saving them to a KV store.

An import transfers the KV cache of tokens over a link, which takes a small fraction of
the time to compute them. Sources are the other runners with the same weights and the KV
stores. Their contents are an estimate: a failed import costs the round trip of one
query.
"""

from collections.abc import Callable

import attrs

from rampwick_schema import HostEntry, KeptStore, PlacedPrefix, ReprMixin, Service

from . import _rendezvous
from ._kv_store_contents import KvStoreContents, store_weights_version
from ._prefix import PrefixChain
from ._routes import RouteIndex

#: Setup time of one import, from the engines' data sheets.
SETUP_SECONDS = 0.004

#: Ratio of the transfer times between two halls and within a hall, as the platform
#: specifies for its links.
CROSS_HALL_FACTOR = 2.0


@attrs.frozen(repr=False)
class ImportSource(ReprMixin):
    """A cache that a prompt may be imported from."""

    name: str
    address: str
    held_tokens: int
    seconds_per_token: float
    weights_version: int
    hall: str = ""
    #: Remaining time of the transfers from this cache that are in progress.
    queue_seconds: float = 0.0

    def seconds(self, own_tokens: int, hall: str) -> float:
        """Return the time to import the tokens beyond ``own_tokens`` into a hall."""
        tokens = max(0, self.held_tokens - own_tokens)
        if not tokens:
            return 0.0
        factor = CROSS_HALL_FACTOR if hall and self.hall and hall != self.hall else 1.0
        transfer_seconds = tokens * self.seconds_per_token * factor
        return SETUP_SECONDS + self.queue_seconds + transfer_seconds


class CacheImports:
    """Import sources for the engines of the current configuration."""

    def __init__(self) -> None:
        self._routes: RouteIndex | None = None
        self._stores: dict[str, KeptStore] = {}
        self._kv_store_contents: dict[str, KvStoreContents] = {}

    def apply(self, routes: RouteIndex) -> None:
        """Apply the services and stores of a new configuration."""
        self._routes = routes
        self._stores = {store.name: store for store in routes.routing.kept_stores}
        self._kv_store_contents = {
            name: self.store_contents(name) for name in self._stores
        }

    def service(self, name: str) -> Service | None:
        """Return the service of this name if its engines can import, or None."""
        if self._routes is None:
            return None
        service = self._routes.service(name)
        if service is None or service.link_bits_per_second <= 0.0:
            return None
        return service

    def stores(self) -> list[KeptStore]:
        """Return the KV stores."""
        return list(self._stores.values())

    def store_contents(self, store: str) -> KvStoreContents:
        """Return the estimated contents of a store; empty for an unknown store."""
        return self._kv_store_contents.get(store, KvStoreContents())

    def runner_source(
        self,
        service: Service,
        entry: HostEntry,
        held_tokens: int,
        weights_version: int,
        queued_tokens: int,
    ) -> ImportSource:
        """Return a runner's cache as a source.

        ``queued_tokens`` are in transfer from or to it.
        """
        bits_per_token = 8.0 * service.token_bytes
        seconds_per_token = bits_per_token / service.link_bits_per_second
        return ImportSource(
            entry.name,
            entry.address,
            held_tokens,
            seconds_per_token,
            weights_version,
            entry.hall,
            queued_tokens * seconds_per_token,
        )

    def store_sources(
        self,
        service: Service,
        weights_version: int,
        chain: PrefixChain,
        count_queued_tokens: Callable[[str], int],
        now_seconds: float,
    ) -> list[ImportSource]:
        """Return the stores as sources, with the estimated contents of each.

        The store that the prompt is saved to comes last.
        """
        bits_per_token = 8.0 * service.token_bytes
        sources = []
        for store in reversed(self._ranked(chain)):
            if store.link_bits_per_second <= 0.0:
                continue
            seconds_per_token = bits_per_token / store.link_bits_per_second
            contents = self._kv_store_contents[store.name]
            sources.append(
                ImportSource(
                    store.name,
                    store.address,
                    contents.held_tokens(weights_version, chain, now_seconds),
                    seconds_per_token,
                    weights_version,
                    store.hall,
                    count_queued_tokens(store.name) * seconds_per_token,
                )
            )
        return sources

    def note_reported(self, placed: PlacedPrefix, now_seconds: float) -> bool:
        """Apply a peer's placement if it is a save to a store; return whether it is."""
        version = store_weights_version(placed.incarnation)
        if version is None:
            return False
        store_contents = self.store_contents(placed.upstream)
        pairs = zip(placed.prefixes, placed.extents_tokens, strict=False)
        for prefix, tokens in pairs:
            store_contents.note_saved(version, prefix, tokens, now_seconds)
        return True

    def select_store(
        self, weights_version: int, chain: PrefixChain, now_seconds: float
    ) -> KeptStore | None:
        """Return the store to save a prompt's shared part to, or None if one holds it.

        The fleet saves one copy: a store's link transfers a prompt in a small fraction
        of the time to compute it, and the stores together then hold more prompts. The
        prefixes count as saved from now on.
        """
        ranked = self._ranked(chain)
        levels = chain.levels
        if not ranked or not levels:
            return None
        for store in ranked:
            held = self._kv_store_contents[store.name].held_tokens(
                weights_version, chain, now_seconds
            )
            if held >= levels[-1].tokens:
                return None
        store_contents = self._kv_store_contents[ranked[0].name]
        previous = 0
        for level in levels:
            extent = level.tokens - previous
            previous = level.tokens
            store_contents.note_saved(
                weights_version, level.prefix, extent, now_seconds
            )
        return ranked[0]

    def _ranked(self, chain: PrefixChain) -> list[KeptStore]:
        """Return the stores, starting with the one that the prompt is saved to."""
        names = _rendezvous.rank(chain.affinity_key, self._stores)
        return [self._stores[name] for name in names]
