"""Estimate of the contents of KV stores."""

import attrs

from rampwick_schema import ReprMixin

from ._prefix import PrefixChain, held_tokens
from ._prefix_cache_index import CacheChanges, CacheGeneration, generation_label

#: Time for which a prefix saved by a host is assumed to be in the store.
SAVED_ENTRY_SECONDS = 15.0

#: Placeholder for a store's incarnation, which hosts do not know.
KV_STORE_INCARNATION = "kept"

#: Maximum number of entries tracked for each store.
MAX_STORE_ENTRIES_COUNT = 20_000


@attrs.frozen(repr=False)
class KvStoreEntry(ReprMixin):
    """A prefix that a store is estimated to hold."""

    tokens: int
    recorded_at_seconds: float
    #: Whether the store itself reported it, rather than a host that saved it.
    is_reported_by_store: bool


class KvStoreContents:
    """Estimated contents of one store, by weights version."""

    def __init__(self) -> None:
        self._entries: dict[tuple[int, bytes], KvStoreEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def tokens(self, version: int, prefix: bytes, now_seconds: float) -> int:
        """Return the number of tokens of an entry that the store holds.

        An entry saved by a host counts for a limited time, an entry reported by the
        store until the store reports a change.
        """
        entry = self._entries.get((version, prefix))
        if entry is None:
            return 0
        age_seconds = now_seconds - entry.recorded_at_seconds
        if not entry.is_reported_by_store and age_seconds >= SAVED_ENTRY_SECONDS:
            return 0
        return entry.tokens

    def held_tokens(self, version: int, chain: PrefixChain, now_seconds: float) -> int:
        """Return the length of the prompt's prefix that the store holds."""
        held = {
            item.prefix: self.tokens(version, item.prefix, now_seconds)
            for item in chain.checkpoints
        }
        return held_tokens(chain, held)

    def note_saved(
        self, version: int, prefix: bytes, tokens: int, now_seconds: float
    ) -> None:
        """Record that a prefix is being saved."""
        known = self._entries.get((version, prefix))
        if known is None or not known.is_reported_by_store:
            self._put(version, prefix, KvStoreEntry(tokens, now_seconds, False))

    def note_change(
        self, version: int, prefix: bytes, tokens: int, now_seconds: float
    ) -> None:
        """Apply a change that the store reported."""
        if tokens > 0:
            self._put(version, prefix, KvStoreEntry(tokens, now_seconds, True))
        else:
            self._entries.pop((version, prefix), None)

    def contents(self) -> list[CacheChanges]:
        """Return the entries that the store itself reported, by weights version."""
        reported: dict[int, dict[bytes, int]] = {}
        for (version, prefix), entry in self._entries.items():
            if entry.is_reported_by_store:
                reported.setdefault(version, {})[prefix] = entry.tokens
        return [
            CacheChanges(
                generation_label(store_generation(version)),
                tuple(held),
                tuple(held.values()),
            )
            for version, held in reported.items()
        ]

    def clear(self) -> None:
        """Drop all entries, for example after the store restarted empty."""
        self._entries.clear()

    def _put(self, version: int, prefix: bytes, entry: KvStoreEntry) -> None:
        self._entries.pop((version, prefix), None)
        self._entries[version, prefix] = entry
        while len(self._entries) > MAX_STORE_ENTRIES_COUNT:
            del self._entries[next(iter(self._entries))]


def store_generation(weights_version: int) -> CacheGeneration:
    """Return the generation that stands for a store's contents in peer messages."""
    return CacheGeneration(KV_STORE_INCARNATION, weights_version)


def store_weights_version(label: str) -> int | None:
    """Return the weights version of a store's generation; None for a runner's."""
    incarnation, _, version = label.rpartition("/")
    if incarnation != KV_STORE_INCARNATION or not version.isdigit():
        return None
    return int(version)
