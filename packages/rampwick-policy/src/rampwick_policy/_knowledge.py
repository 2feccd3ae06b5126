"""What this host believes the runners' prefix caches hold.

Knowledge belongs to one life of a runner: its incarnation and weights version. It
is an estimate: a least-recently-used list as long as the runner's cache, corrected
by the cached tokens that answers report. It is never needed for correctness.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence

import attrs

from rampwick_schema import PlacedPrefix, ReprMixin

from ._prefix import Checkpoint, PrefixChain, held_tokens


@attrs.frozen(repr=False)
class Life(ReprMixin):
    """One life of a runner's cache; another life shares no entry with it."""

    incarnation: str
    weights_version: int


def life_label(life: Life) -> str:
    """Return the text by which peers name a life to each other."""
    return f"{life.incarnation}/{life.weights_version}"


@attrs.frozen(repr=False)
class CacheChanges(ReprMixin):
    """Entries of one life of a cache and how many tokens of each it keeps now."""

    #: Life as peers name it.
    label: str
    prefixes: tuple[bytes, ...]
    #: Tokens kept; none means that the entry is gone.
    tokens: tuple[int, ...]


@attrs.define(repr=False)
class RunnerCache(ReprMixin):
    """Estimate of one runner's cache in its present life."""

    life: Life
    capacity_tokens: int
    _tokens: OrderedDict[bytes, int] = attrs.field(factory=OrderedDict)
    _held_tokens: int = 0

    def __len__(self) -> int:
        return len(self._tokens)

    def cached_tokens(self, chain: PrefixChain) -> int:
        """Return the length of the beginning believed to be held."""
        return held_tokens(chain, self._tokens)

    def insert(self, checkpoints: Iterable[Checkpoint]) -> None:
        """Note that the runner has just used these, given shallowest first."""
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
        """Note prefixes that a peer reports, deepest first."""
        for prefix, extent in zip(prefixes, extents_tokens, strict=False):
            # What this host inserted itself has finer extents; they stay.
            self._put(prefix, self._tokens.get(prefix, extent))
        self._evict()

    def note_change(self, prefix: bytes, tokens: int) -> None:
        """Take a change that the engine told: how much it keeps of an entry now."""
        if tokens > 0:
            self._put(prefix, tokens)
        else:
            self._held_tokens -= self._tokens.pop(prefix, 0)

    def contents(self) -> list[CacheChanges]:
        """Return all entries, those used last at the end."""
        if not self._tokens:
            return []
        label = life_label(self.life)
        return [CacheChanges(label, tuple(self._tokens), tuple(self._tokens.values()))]

    def forget_beyond(self, chain: PrefixChain, tokens: int) -> None:
        """Drop the chain's checkpoints deeper than the runner really held."""
        for checkpoint in chain.checkpoints:
            if checkpoint.tokens > tokens:
                self._held_tokens -= self._tokens.pop(checkpoint.prefix, 0)

    def limit_entries(self, count: int) -> None:
        """Drop the least recently used entries beyond ``count``."""
        while len(self._tokens) > count:
            _, extent = self._tokens.popitem(last=False)
            self._held_tokens -= extent

    def _put(self, prefix: bytes, extent: int) -> None:
        self._held_tokens += extent - self._tokens.pop(prefix, 0)
        self._tokens[prefix] = extent

    def _evict(self) -> None:
        while self._held_tokens > self.capacity_tokens and self._tokens:
            _, extent = self._tokens.popitem(last=False)
            self._held_tokens -= extent


class CacheKnowledge:
    """Caches of all runners, each in its newest known life."""

    def __init__(self, max_entries_count: int) -> None:
        self._max_entries_count = max_entries_count
        self._caches: dict[str, RunnerCache] = {}

    def observe_life(self, upstream: str, life: Life, capacity_tokens: int) -> bool:
        """Note the life that a runner itself reports; return whether it is new.

        Everything known of an earlier life is dropped at once.
        """
        cache = self._caches.get(upstream)
        if cache is not None and cache.life == life:
            cache.capacity_tokens = capacity_tokens or cache.capacity_tokens
            return False
        self._caches[upstream] = RunnerCache(life, capacity_tokens)
        return True

    def forget(self, upstream: str) -> None:
        """Drop all that is known of a runner."""
        self._caches.pop(upstream, None)

    def cached_tokens(self, upstream: str, chain: PrefixChain) -> int:
        """Return the tokens of the chain that the runner is believed to hold."""
        cache = self._caches.get(upstream)
        return cache.cached_tokens(chain) if cache else 0

    def contents(self, upstream: str) -> list[CacheChanges]:
        """Return what a runner is believed to hold, what it used last at the end."""
        cache = self._caches.get(upstream)
        return cache.contents() if cache else []

    def life_of(self, upstream: str) -> Life | None:
        """Return the newest life known of a runner."""
        cache = self._caches.get(upstream)
        return cache.life if cache else None

    def note_prompt(self, upstream: str, life: Life, chain: PrefixChain) -> None:
        """Note that a runner in ``life`` computed or used the whole prompt."""
        cache = self._current(upstream, life)
        if cache is not None:
            cache.insert(chain.checkpoints)
            self._bound(cache)

    def correct(
        self, upstream: str, life: Life, chain: PrefixChain, tokens: int
    ) -> None:
        """Drop what an answer's cached tokens show not to have been held."""
        cache = self._current(upstream, life)
        if cache is not None:
            cache.forget_beyond(chain, tokens)

    def note_reported(self, placed: PlacedPrefix) -> None:
        """Take prefixes that a peer placed; those of another life are dropped."""
        cache = self._caches.get(placed.upstream)
        if cache is not None and life_label(cache.life) == placed.incarnation:
            cache.touch(placed.prefixes, placed.extents_tokens)
            self._bound(cache)

    def note_changes(
        self,
        upstream: str,
        label: str,
        prefixes: Sequence[bytes],
        tokens: Sequence[int],
    ) -> None:
        """Take changes that an engine told; those of another life are dropped."""
        cache = self._caches.get(upstream)
        if cache is None or life_label(cache.life) != label:
            return
        for prefix, kept in zip(prefixes, tokens, strict=False):
            cache.note_change(prefix, kept)
        self._bound(cache)

    def entries_count(self) -> int:
        """Return the number of entries over all runners."""
        return sum(len(cache) for cache in self._caches.values())

    def _current(self, upstream: str, life: Life) -> RunnerCache | None:
        cache = self._caches.get(upstream)
        return cache if cache is not None and cache.life == life else None

    def _bound(self, cache: RunnerCache) -> None:
        cache.limit_entries(max(1, self._max_entries_count // len(self._caches)))
