"""What stores of kept cache are believed to hold."""

import attrs

from rampwick_schema import ReprMixin

from ._knowledge import CacheChanges, Life, life_label
from ._prefix import PrefixChain, held_tokens

#: Time for which a prefix saved to a store is taken to be there.
SAVED_SECONDS = 15.0

#: Stands for a store's incarnation, which hosts don't know.
KEPT_INCARNATION = "kept"

#: Prefixes remembered as saved, for each store.
SAVED_COUNT = 20_000


@attrs.frozen(repr=False)
class KeptEntry(ReprMixin):
    """One prefix that a store is believed to hold."""

    tokens: int
    noted_at_seconds: float
    #: Whether the store itself told of it, rather than a host that had it saved.
    is_told: bool


class KeptKnowledge:
    """What this host believes one store holds, by weights version."""

    def __init__(self) -> None:
        self._entries: dict[tuple[int, bytes], KeptEntry] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def tokens(self, version: int, prefix: bytes, now_seconds: float) -> int:
        """Return how much of an entry the store holds.

        What a host had saved is taken to be there for a while; what the store told
        itself stays until it tells otherwise.
        """
        entry = self._entries.get((version, prefix))
        if entry is None:
            return 0
        age_seconds = now_seconds - entry.noted_at_seconds
        if not entry.is_told and age_seconds >= SAVED_SECONDS:
            return 0
        return entry.tokens

    def held_tokens(self, version: int, chain: PrefixChain, now_seconds: float) -> int:
        """Return the length of a prompt's beginning that the store holds."""
        held = {
            item.prefix: self.tokens(version, item.prefix, now_seconds)
            for item in chain.checkpoints
        }
        return held_tokens(chain, held)

    def note_saved(
        self, version: int, prefix: bytes, tokens: int, now_seconds: float
    ) -> None:
        """Note that a prefix is being saved."""
        known = self._entries.get((version, prefix))
        if known is None or not known.is_told:
            self._put(version, prefix, KeptEntry(tokens, now_seconds, False))

    def note_change(
        self, version: int, prefix: bytes, tokens: int, now_seconds: float
    ) -> None:
        """Take a change that the store told."""
        if tokens > 0:
            self._put(version, prefix, KeptEntry(tokens, now_seconds, True))
        else:
            self._entries.pop((version, prefix), None)

    def contents(self) -> list[CacheChanges]:
        """Return what the store itself told that it holds, by weights version."""
        told: dict[int, dict[bytes, int]] = {}
        for (version, prefix), entry in self._entries.items():
            if entry.is_told:
                told.setdefault(version, {})[prefix] = entry.tokens
        return [
            CacheChanges(
                life_label(kept_life(version)), tuple(held), tuple(held.values())
            )
            for version, held in told.items()
        ]

    def clear(self) -> None:
        """Forget everything, as after the store came back empty."""
        self._entries.clear()

    def _put(self, version: int, prefix: bytes, entry: KeptEntry) -> None:
        self._entries.pop((version, prefix), None)
        self._entries[version, prefix] = entry
        while len(self._entries) > SAVED_COUNT:
            del self._entries[next(iter(self._entries))]


def kept_life(weights_version: int) -> Life:
    """Return the life by which hosts tell each other what a store holds."""
    return Life(KEPT_INCARNATION, weights_version)


def kept_version(label: str) -> int | None:
    """Return the weights version of a store's life; none for a runner's."""
    incarnation, _, version = label.rpartition("/")
    if incarnation != KEPT_INCARNATION or not version.isdigit():
        return None
    return int(version)
