"""One host's estimate of the prefix caches of its upstreams and of the KV stores.

Finds the caches that hold a prompt and those that it may be imported from, and collects
the placements to publish to peers.
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

#: Runners of one weights version that are considered as import sources of a prompt,
#: those that hold most of it. More than one, because the runner chosen for the prompt
#: may be the best source itself.
MAX_HOLDERS_PER_VERSION = 3


class CacheTracker:
    """Tracks the contents of caches; shares the pool's upstreams and peers."""

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

        The stores come last: they are queried when no runner is known to hold more.
        """
        importing_service = self.imports.service(service)
        if importing_service is None:
            return []
        holders: dict[int, list[CacheHolder]] = {}
        for upstream in self._upstreams:
            if upstream.entry.group != service or upstream.cache_generation is None:
                continue
            version = upstream.cache_generation.weights_version
            version_holders = holders.setdefault(version, [])
            held = self.cache_index.cached_tokens(upstream.name, chain)
            if held and upstream.health.state is not HealthState.DOWN:
                address = upstream.entry.address
                hall = upstream.entry.hall
                version_holders.append(
                    CacheHolder(upstream.name, address, held, version, hall)
                )
        sources = []
        for version, candidates in holders.items():
            best = heapq.nlargest(
                MAX_HOLDERS_PER_VERSION, candidates, key=attrgetter("held_tokens")
            )
            sources += [
                self.imports.runner_source(importing_service, holder) for holder in best
            ]
            sources += self.imports.store_sources(
                importing_service, version, chain, now_seconds
            )
        return [self._add_queue_time(source) for source in sources]

    def _add_queue_time(self, source: ImportSource) -> ImportSource:
        queued_tokens = self.cache_transfers.waiting_tokens(source.name)
        if not queued_tokens:
            return source
        queue_seconds = queued_tokens * source.seconds_per_token
        return attrs.evolve(source, queue_seconds=queue_seconds)

    def save_address(
        self, service: str, upstream: Upstream, chain: PrefixChain, now_seconds: float
    ) -> str:
        """Return the address of the store to save a prompt to, or an empty string."""
        if self.imports.service(service) is None or upstream.cache_generation is None:
            return ""
        version = upstream.cache_generation.weights_version
        store = self.imports.select_store(version, chain, now_seconds)
        if store is None:
            return ""
        # Peers need not save it again.
        self._updates.note(store.name, store_generation(version), chain, now_seconds)
        return store.address

    def contents(self, names: Collection[str]) -> list[ev.CacheReported]:
        """Return the estimated contents of some caches, for an initial state sync."""
        reports = []
        for name in sorted(names):
            changes = (
                self.cache_index.contents(name)
                or self.imports.store_contents(name).contents()
            )
            if changes:
                reports.append(ev.CacheReported(name, tuple(changes)))
        return reports

    def note_placed(
        self,
        name: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        now_seconds: float,
    ) -> None:
        """Record that a prompt was sent to a runner, whose cache will then hold it."""
        self.cache_index.note_prompt(name, generation, chain)
        self._updates.note(name, generation, chain, now_seconds)

    def note_answer(
        self,
        name: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        event: ev.AttemptDone,
    ) -> None:
        """Update the estimate of a runner's cache from a complete answer."""
        if not event.prompt_tokens:
            return
        if not event.cached_tokens:
            # The runner held no part of the prompt, so the estimate of its shallow
            # levels was wrong. The prompt itself is cached there now.
            self.cache_index.correct(name, generation, chain, 0)
        self.cache_index.note_prompt(name, generation, chain)

    def take_placed(self) -> list[PlacedPrefix]:
        """Return the placements not published to peers yet, and clear them."""
        return self._updates.take()

    def apply_changes(self, event: ev.CacheReported, now_seconds: float) -> None:
        """Apply the changes that a cache reported to this host or to a peer."""
        store_contents = self.imports.store_contents(event.upstream)
        if event.is_reset:
            store_contents.clear()
        for changes in event.changes:
            version = store_weights_version(changes.label)
            if version is None:
                self.cache_index.note_changes(
                    event.upstream, changes.label, changes.prefixes, changes.tokens
                )
                continue
            pairs = zip(changes.prefixes, changes.tokens, strict=False)
            for prefix, tokens in pairs:
                store_contents.note_change(version, prefix, tokens, now_seconds)

    def update_generation(self, upstream: Upstream, cache_tokens: int = 0) -> None:
        """Set the generation of a runner's cache; drop entries of an earlier one."""
        if upstream.cache_generation is None:
            return
        service = self.imports.service(upstream.entry.group)
        capacity = cache_tokens or (service.cache_tokens if service else 0)
        self.cache_index.observe_generation(
            upstream.name, upstream.cache_generation, capacity
        )
