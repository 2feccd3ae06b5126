"""One host's estimate of the prefix caches of its upstreams and of the KV stores.

Finds the caches that hold a prompt and those that it may be imported from, and collects
the placements to publish to peers.
"""

import itertools
from collections.abc import Collection, Iterable

from rampwick_schema import PlacedPrefix

from . import _events as ev
from ._cache_imports import CacheImports, ImportSource
from ._cache_transfers import CacheTransfers
from ._health import HealthState
from ._kv_store_contents import store_generation, store_weights_version
from ._membership import Membership
from ._placement_updates import PlacementUpdates
from ._prefix import PrefixChain
from ._prefix_cache_index import CacheGeneration, PrefixCacheIndex
from ._upstreams import Upstream, UpstreamTable
from ._weights_versions import WeightsVersions

#: Runners of one weights version that are considered as import sources of a prompt,
#: those that hold most of it. More than one, because the runner chosen for the prompt
#: may be the best source itself.
MAX_HOLDERS_PER_VERSION = 3

#: Runners whose cached tokens are determined for one prompt. A prefix of all prompts is
#: held by all runners, and a few of them suffice as sources.
MAX_EXAMINED_COUNT = 64


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
        self._weights_versions = WeightsVersions(upstreams)

    def import_sources(
        self, service: str, chain: PrefixChain, now_seconds: float
    ) -> list[ImportSource]:
        """Return the caches that engines of a service may import a prompt from.

        The stores come last: they are queried when no runner is known to hold more.
        """
        importing_service = self.imports.service(service)
        if importing_service is None:
            return []
        versions = self._weights_versions.of_service(service)
        if not versions:
            return []
        holders = self._holders(service, chain)
        sources = []
        for version in versions:
            best = sorted(holders.get(version, ()))[:MAX_HOLDERS_PER_VERSION]
            for negative_tokens, _, upstream in best:
                sources.append(
                    self.imports.runner_source(
                        importing_service,
                        upstream.entry,
                        -negative_tokens,
                        version,
                        self.cache_transfers.waiting_tokens(upstream.name),
                    )
                )
            sources += self.imports.store_sources(
                importing_service,
                version,
                chain,
                self.cache_transfers.waiting_tokens,
                now_seconds,
            )
        return sources

    def _holders(
        self, service: str, chain: PrefixChain
    ) -> dict[int, list[tuple[int, int, Upstream]]]:
        """Return the runners that hold a part of a prompt, by weights version.

        Each with the negative number of tokens that it holds and its position, so that
        the first in order hold most.
        """
        holders: dict[int, list[tuple[int, int, Upstream]]] = {}
        for name in self._runners_with_entries(chain):
            upstream = self._upstreams.get(name)
            if upstream is None or upstream.entry.group != service:
                continue
            generation = upstream.cache_generation
            if generation is None or upstream.health.state is HealthState.DOWN:
                continue
            tokens = self.cache_index.cached_tokens(name, chain)
            if tokens:
                holder = (-tokens, upstream.position, upstream)
                holders.setdefault(generation.weights_version, []).append(holder)
        return holders

    def _runners_with_entries(self, chain: PrefixChain) -> Iterable[str]:
        found: dict[str, None] = {}
        for checkpoint in reversed(chain.checkpoints):
            runners = self.cache_index.runners_holding(checkpoint.prefix)
            free_count = MAX_EXAMINED_COUNT - len(found)
            found.update(dict.fromkeys(itertools.islice(runners, free_count)))
            if len(found) >= MAX_EXAMINED_COUNT:
                break
        return found

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
