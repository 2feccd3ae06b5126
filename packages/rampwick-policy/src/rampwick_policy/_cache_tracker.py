"""What one host knows of the caches of its upstreams and of the stores beside them.

It says where a prompt is held, from where it may be imported, and what peers are to be
told of what was placed.
"""

import heapq
from collections.abc import Collection
from operator import attrgetter

import attrs

from rampwick_schema import PlacedPrefix

from . import _events as ev
from ._cache_imports import CacheHolder, CacheImports, ImportSource
from ._cache_transfers import CacheTransfers
from ._health import HealthState
from ._kv_store_contents import store_generation, store_weights_version
from ._membership import Membership
from ._placement_updates import PlacementUpdates
from ._prefix import PrefixChain
from ._prefix_cache_index import CacheGeneration, PrefixCacheIndex
from ._upstreams import Upstream, UpstreamTable

#: Runners of one version that are weighed as sources of a prompt, those that hold most
#: first: one for the choice, the others where it is the source itself.
MAX_HOLDERS_PER_VERSION = 3


class CacheTracker:
    """Caches as this host knows them; it shares the pool's upstreams and peers."""

    def __init__(
        self, known_prefixes_count: int, upstreams: UpstreamTable, peers: Membership
    ) -> None:
        self.cache_index = PrefixCacheIndex(known_prefixes_count)
        self.imports = CacheImports()
        self.cache_transfers = CacheTransfers(peers)
        self._upstreams = upstreams
        self._updates = PlacementUpdates()

    def import_sources(
        self, service: str, chain: PrefixChain, now_seconds: float
    ) -> list[ImportSource]:
        """Return the caches that engines of a service may import a prompt from.

        The stores come last: they are asked when nobody is known to hold more.
        """
        terms = self.imports.service(service)
        if terms is None:
            return []
        holders: dict[int, list[CacheHolder]] = {}
        for upstream in self._upstreams:
            if upstream.entry.group != service or upstream.cache_generation is None:
                continue
            version = upstream.cache_generation.weights_version
            of_version = holders.setdefault(version, [])
            held = self.cache_index.cached_tokens(upstream.name, chain)
            if held and upstream.health.state is not HealthState.DOWN:
                address = upstream.entry.address
                hall = upstream.entry.hall
                of_version.append(
                    CacheHolder(upstream.name, address, held, version, hall)
                )
        sources = []
        for version, found in holders.items():
            best = heapq.nlargest(
                MAX_HOLDERS_PER_VERSION, found, key=attrgetter("held_tokens")
            )
            sources += [self.imports.runner_source(terms, holder) for holder in best]
            sources += self.imports.store_sources(terms, version, chain, now_seconds)
        return [self._with_queue(source) for source in sources]

    def _with_queue(self, source: ImportSource) -> ImportSource:
        moving_tokens = self.cache_transfers.waiting_tokens(source.name)
        if not moving_tokens:
            return source
        queue_seconds = moving_tokens * source.seconds_per_token
        return attrs.evolve(source, queue_seconds=queue_seconds)

    def save_address(
        self, service: str, upstream: Upstream, chain: PrefixChain, now_seconds: float
    ) -> str:
        """Return the store to which an upstream shall save a prompt, if any."""
        if self.imports.service(service) is None or upstream.cache_generation is None:
            return ""
        version = upstream.cache_generation.weights_version
        store = self.imports.take_store(version, chain, now_seconds)
        if store is None:
            return ""
        # Peers need not save it again.
        self._updates.note(store.name, store_generation(version), chain, now_seconds)
        return store.address

    def contents(self, names: Collection[str]) -> list[ev.CacheSeen]:
        """Return what some caches are believed to hold, to tell a host anew."""
        seen = []
        for name in sorted(names):
            changes = (
                self.cache_index.contents(name) or self.imports.kept(name).contents()
            )
            if changes:
                seen.append(ev.CacheSeen(name, tuple(changes)))
        return seen

    def note_placed(
        self,
        name: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        now_seconds: float,
    ) -> None:
        """Note that a prompt goes to a runner, which will then hold it."""
        self.cache_index.note_prompt(name, generation, chain)
        self._updates.note(name, generation, chain, now_seconds)

    def note_answer(
        self,
        name: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        event: ev.AttemptDone,
    ) -> None:
        """Learn from a whole answer what the runner held and holds now."""
        if not event.prompt_tokens:
            return
        if not event.cached_tokens:
            # Nothing at all was held: what was believed of shallow levels is wrong
            # for this runner, but the prompt itself is there now.
            self.cache_index.correct(name, generation, chain, 0)
        self.cache_index.note_prompt(name, generation, chain)

    def take_placed(self) -> list[PlacedPrefix]:
        """Return the placements that peers have not been told, to tell them once."""
        return self._updates.take()

    def apply_changes(self, event: ev.CacheSeen, now_seconds: float) -> None:
        """Take what a cache said of itself, here or to a peer."""
        kept = self.imports.kept(event.upstream)
        if event.is_reset:
            kept.clear()
        for changes in event.changes:
            version = store_weights_version(changes.label)
            if version is None:
                self.cache_index.note_changes(
                    event.upstream, changes.label, changes.prefixes, changes.tokens
                )
                continue
            pairs = zip(changes.prefixes, changes.tokens, strict=False)
            for prefix, tokens in pairs:
                kept.note_change(version, prefix, tokens, now_seconds)

    def observe(self, upstream: Upstream, cache_tokens: int = 0) -> None:
        """Drop what was known of an earlier life of a runner's cache."""
        if upstream.cache_generation is None:
            return
        service = self.imports.service(upstream.entry.group)
        capacity = cache_tokens or (service.cache_tokens if service else 0)
        self.cache_index.observe_generation(
            upstream.name, upstream.cache_generation, capacity
        )
