"""Selection of the placements that a host publishes to its peers.

A host places only its own share of the traffic, so hosts exchange their placements.
Only prefixes that prompts share are worth the bytes, thousands instead of millions: for
a prompt of several messages the ends of all but the last, for a single message the
checkpoints that this host has seen before.
"""

from collections import OrderedDict

import attrs

from rampwick_schema import PlacedPrefix, ReprMixin

from ._prefix import Checkpoint, PrefixChain
from ._prefix_cache_index import CacheGeneration, generation_label

#: Number of prefixes tracked to distinguish a second use from the first.
MAX_TRACKED_PREFIXES = 50_000

#: Interval after which a prefix in continuous use at a runner is published again.
REFRESH_SECONDS = 5.0

#: Maximum number of prefixes in one summary, at about eleven bytes each.
MAX_PREFIXES_PER_SUMMARY = 512


@attrs.define(repr=False)
class PlacementUpdates(ReprMixin):
    """Placements of this host that have not been published to peers yet."""

    _seen: OrderedDict[bytes, None] = attrs.field(factory=OrderedDict)
    _published_at: OrderedDict[tuple[str, bytes], float] = attrs.field(
        factory=OrderedDict
    )
    _pending: dict[tuple[str, str], dict[bytes, int]] = attrs.field(factory=dict)
    _pending_count: int = 0

    def note(
        self,
        upstream: str,
        generation: CacheGeneration,
        chain: PrefixChain,
        now_seconds: float,
    ) -> None:
        """Record that a prompt was placed; its shared prefixes become pending."""
        key = (upstream, generation_label(generation))
        previous = 0
        for checkpoint in chain.levels or self._seen_before(chain):
            extent = checkpoint.tokens - previous
            previous = checkpoint.tokens
            self._add_pending(key, checkpoint.prefix, extent, now_seconds)

    def take(self) -> list[PlacedPrefix]:
        """Return the pending placements, and clear them."""
        placed = [
            PlacedPrefix(
                upstream=upstream,
                incarnation=incarnation,
                prefixes=list(reversed(prefixes)),
                extents_tokens=list(reversed(prefixes.values())),
            )
            for (upstream, incarnation), prefixes in self._pending.items()
        ]
        self._pending = {}
        self._pending_count = 0
        return placed

    def _seen_before(self, chain: PrefixChain) -> list[Checkpoint]:
        return [item for item in chain.checkpoints if self._check_seen(item.prefix)]

    def _check_seen(self, prefix: bytes) -> bool:
        was_seen = prefix in self._seen
        self._seen[prefix] = None
        self._seen.move_to_end(prefix)
        if len(self._seen) > MAX_TRACKED_PREFIXES:
            self._seen.popitem(last=False)
        return was_seen

    def _add_pending(
        self, key: tuple[str, str], prefix: bytes, extent: int, now_seconds: float
    ) -> None:
        published_key = (key[0] + key[1], prefix)
        published_at = self._published_at.get(published_key)
        is_recent = (
            published_at is not None and now_seconds - published_at < REFRESH_SECONDS
        )
        if is_recent or self._pending_count >= MAX_PREFIXES_PER_SUMMARY:
            return
        self._published_at[published_key] = now_seconds
        self._published_at.move_to_end(published_key)
        if len(self._published_at) > MAX_TRACKED_PREFIXES:
            self._published_at.popitem(last=False)
        self._pending.setdefault(key, {})[prefix] = extent
        self._pending_count += 1
