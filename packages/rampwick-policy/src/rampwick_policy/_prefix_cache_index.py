"""Estimated index of the runners' prefix caches.

The index of a runner belongs to one generation of its cache: an incarnation and a
weights version. It is an LRU list with the capacity of the runner's cache, corrected by
the cached tokens that answers report. Correctness never depends on it.
"""

from collections import OrderedDict
from collections.abc import Collection, Iterable, Sequence

import attrs

from rampwick_schema import PlacedPrefix, ReprMixin

from ._prefix import Checkpoint, PrefixChain, held_tokens
from ._prefix_holders import PrefixHolders


@attrs.frozen(repr=False)
class CacheGeneration(ReprMixin):
    """A runner's cache at one incarnation and weights version.

    Two generations share no entries.
    """

    incarnation: str
    weights_version: int


def generation_label(generation: CacheGeneration) -> str:
    """Return the label of a generation in peer messages."""
    return f"{generation.incarnation}/{generation.weights_version}"


@attrs.frozen(repr=False)
class CacheChanges(ReprMixin):
    """Entries of one cache generation with the number of tokens now cached of each."""

    #: Label of the generation.
    label: str
    prefixes: tuple[bytes, ...]
    #: Cached tokens; 0 means that the entry was evicted.
    tokens: tuple[int, ...]


@attrs.define(repr=False)
class RunnerCache(ReprMixin):
    """Estimated contents of one runner's cache in its current generation."""

    name: str
    generation: CacheGeneration
    capacity_tokens: int
    #: Index over all runners, kept up to date by this cache.
    _holders: PrefixHolders
    _tokens: OrderedDict[bytes, int] = attrs.field(factory=OrderedDict)
    _held_tokens: int = 0

    def __len__(self) -> int:
        return len(self._tokens)

    def cached_tokens(self, chain: PrefixChain) -> int:
        """Return the length of the prompt's prefix that is estimated to be cached."""
        return held_tokens(chain, self._tokens)

    def insert(self, checkpoints: Iterable[Checkpoint]) -> None:
        """Record that the runner has just used these, ordered shallowest first."""
        ordered = list(checkpoints)
        extents = []
        previous = 0
        for checkpoint in ordered:
            extents.append(checkpoint.tokens - previous)
            previous = checkpoint.tokens
        # Deepest first, so that the shallowest is the most recently used: engines
        # evict the ends of prompts before their beginnings.
        pairs = zip(reversed(ordered), reversed(extents), strict=True)
        for checkpoint, extent in pairs:
            self._put(checkpoint.prefix, extent)
        self._evict()

    def touch(self, prefixes: Iterable[bytes], extents_tokens: Iterable[int]) -> None:
        """Record prefixes that a peer reported, ordered deepest first."""
        for prefix, extent in zip(prefixes, extents_tokens, strict=False):
            # Entries that this host inserted have finer extents, so they are kept.
            self._put(prefix, self._tokens.get(prefix, extent))
        self._evict()

    def note_change(self, prefix: bytes, tokens: int) -> None:
        """Apply an engine's report of the tokens now cached of an entry."""
        if tokens > 0:
            self._put(prefix, tokens)
        else:
            self._drop(prefix)

    def contents(self) -> list[CacheChanges]:
        """Return all entries, the most recently used last."""
        if not self._tokens:
            return []
        label = generation_label(self.generation)
        return [CacheChanges(label, tuple(self._tokens), tuple(self._tokens.values()))]

    def drop_beyond(self, chain: PrefixChain, tokens: int) -> None:
        """Drop the chain's checkpoints beyond the tokens that the runner held."""
        for checkpoint in chain.checkpoints:
            if checkpoint.tokens > tokens:
                self._drop(checkpoint.prefix)

    def limit_entries(self, count: int) -> None:
        """Drop the least recently used entries beyond ``count``."""
        while len(self._tokens) > count:
            self._drop_oldest()

    def clear(self) -> None:
        """Drop all entries."""
        self._holders.remove_all(self._tokens, self.name)
        self._tokens.clear()
        self._held_tokens = 0

    def _put(self, prefix: bytes, extent: int) -> None:
        known = self._tokens.pop(prefix, None)
        if known is None:
            self._holders.add(prefix, self.name)
        self._held_tokens += extent - (known or 0)
        self._tokens[prefix] = extent

    def _drop(self, prefix: bytes) -> None:
        extent = self._tokens.pop(prefix, None)
        if extent is not None:
            self._holders.remove(prefix, self.name)
            self._held_tokens -= extent

    def _drop_oldest(self) -> None:
        prefix, extent = self._tokens.popitem(last=False)
        self._holders.remove(prefix, self.name)
        self._held_tokens -= extent

    def _evict(self) -> None:
        while self._held_tokens > self.capacity_tokens and self._tokens:
            self._drop_oldest()


class PrefixCacheIndex:
    """Estimated caches of all runners, each in its latest known generation."""

    def __init__(self, max_entries_count: int) -> None:
        self._max_entries_count = max_entries_count
        self._caches: dict[str, RunnerCache] = {}
        self._holders = PrefixHolders()

    def observe_generation(
        self, upstream: str, generation: CacheGeneration, capacity_tokens: int
    ) -> bool:
        """Record the generation that a runner reports; return whether it is new.

        The entries of an earlier generation are dropped at once.
        """
        cache = self._caches.get(upstream)
        if cache is not None and cache.generation == generation:
            cache.capacity_tokens = capacity_tokens or cache.capacity_tokens
            return False
        if cache is not None:
            cache.clear()
        self._caches[upstream] = RunnerCache(
            upstream, generation, capacity_tokens, self._holders
        )
        return True

    def forget(self, upstream: str) -> None:
        """Drop all entries of a runner."""
        cache = self._caches.pop(upstream, None)
        if cache is not None:
            cache.clear()

    def runners_holding(self, prefix: bytes) -> Collection[str]:
        """Return the runners that are estimated to hold an entry."""
        return self._holders.get(prefix)

    def cached_tokens(self, upstream: str, chain: PrefixChain) -> int:
        """Return the estimated number of the chain's tokens that a runner holds."""
        cache = self._caches.get(upstream)
        return cache.cached_tokens(chain) if cache else 0

    def contents(self, upstream: str) -> list[CacheChanges]:
        """Return a runner's estimated entries, the most recently used last."""
        cache = self._caches.get(upstream)
        return cache.contents() if cache else []

    def generation_of(self, upstream: str) -> CacheGeneration | None:
        """Return the latest known generation of a runner's cache."""
        cache = self._caches.get(upstream)
        return cache.generation if cache else None

    def note_prompt(
        self, upstream: str, generation: CacheGeneration, chain: PrefixChain
    ) -> None:
        """Record that a runner in ``generation`` computed or used the whole prompt."""
        cache = self._current(upstream, generation)
        if cache is not None:
            cache.insert(chain.checkpoints)
            self._limit_cache(cache)

    def correct(
        self,
        upstream: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        tokens: int,
    ) -> None:
        """Drop entries that were not cached, by the cached tokens of an answer."""
        cache = self._current(upstream, generation)
        if cache is not None:
            cache.drop_beyond(chain, tokens)

    def note_reported(self, placed: PlacedPrefix) -> None:
        """Apply a peer's placement; one of another generation is ignored."""
        cache = self._caches.get(placed.upstream)
        if (
            cache is not None
            and generation_label(cache.generation) == placed.incarnation
        ):
            cache.touch(placed.prefixes, placed.extents_tokens)
            self._limit_cache(cache)

    def note_changes(
        self,
        upstream: str,
        label: str,
        prefixes: Sequence[bytes],
        tokens: Sequence[int],
    ) -> None:
        """Apply changes that an engine reported; another generation's are ignored."""
        cache = self._caches.get(upstream)
        if cache is None or generation_label(cache.generation) != label:
            return
        for prefix, cached in zip(prefixes, tokens, strict=False):
            cache.note_change(prefix, cached)
        self._limit_cache(cache)

    def entries_count(self) -> int:
        """Return the number of entries over all runners."""
        return sum(len(cache) for cache in self._caches.values())

    def _current(
        self, upstream: str, generation: CacheGeneration
    ) -> RunnerCache | None:
        cache = self._caches.get(upstream)
        return cache if cache is not None and cache.generation == generation else None

    def _limit_cache(self, cache: RunnerCache) -> None:
        cache.limit_entries(max(1, self._max_entries_count // len(self._caches)))
