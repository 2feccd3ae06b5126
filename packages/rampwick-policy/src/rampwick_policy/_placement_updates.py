"""Which placements a host shares with its peers.

A host sees only its own part of the traffic, so hosts pool what they placed. Only upper
levels are worth the bytes, thousands instead of millions: where a prompt has several
messages, the ends of all but the last; where it has one, the checkpoints that this host
has seen before.
"""

from collections import OrderedDict

import attrs

from rampwick_schema import PlacedPrefix, ReprMixin

from ._knowledge import Life, life_label
from ._prefix import Checkpoint, PrefixChain

#: Prefixes remembered to tell a second use from a first.
SEEN_COUNT = 50_000

#: A prefix in steady use at a runner is told again after this time.
REFRESH_SECONDS = 5.0

#: Prefixes told in one summary, at about eleven bytes each.
MAX_TOLD = 512


@attrs.define(repr=False)
class PlacementUpdates(ReprMixin):
    """Placements of this host that have not been sent to peers yet."""

    _seen: OrderedDict[bytes, None] = attrs.field(factory=OrderedDict)
    _told_at: OrderedDict[tuple[str, bytes], float] = attrs.field(factory=OrderedDict)
    _pending: dict[tuple[str, str], dict[bytes, int]] = attrs.field(factory=dict)
    _pending_count: int = 0

    def note(
        self, upstream: str, life: Life, chain: PrefixChain, now_seconds: float
    ) -> None:
        """Note that a prompt was placed; its shared prefixes become pending."""
        key = (upstream, life_label(life))
        previous = 0
        for checkpoint in chain.levels or self._seen_before(chain):
            extent = checkpoint.tokens - previous
            previous = checkpoint.tokens
            self._offer(key, checkpoint.prefix, extent, now_seconds)

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
        return [item for item in chain.checkpoints if self._was_seen(item.prefix)]

    def _was_seen(self, prefix: bytes) -> bool:
        was_seen = prefix in self._seen
        self._seen[prefix] = None
        self._seen.move_to_end(prefix)
        if len(self._seen) > SEEN_COUNT:
            self._seen.popitem(last=False)
        return was_seen

    def _offer(
        self, key: tuple[str, str], prefix: bytes, extent: int, now_seconds: float
    ) -> None:
        told_key = (key[0] + key[1], prefix)
        told_at = self._told_at.get(told_key)
        is_fresh = told_at is not None and now_seconds - told_at < REFRESH_SECONDS
        if is_fresh or self._pending_count >= MAX_TOLD:
            return
        self._told_at[told_key] = now_seconds
        self._told_at.move_to_end(told_key)
        if len(self._told_at) > SEEN_COUNT:
            self._told_at.popitem(last=False)
        self._pending.setdefault(key, {})[prefix] = extent
        self._pending_count += 1
