"""Importing cached prompts instead of computing them, and saving them to a store.

An import moves the cache of tokens over a link, which takes a small part of the time
that computing them would. Sources are the other runners with the same weights and a
store of kept cache. What is known of them is an estimate: a wrong import costs the
round trip of one question.
"""

import attrs

from rampwick_schema import KeptStore, PlacedPrefix, Service

from ._knowledge import Life
from ._prefix import PrefixChain, held_tokens
from ._routes import RouteIndex

#: Time that setting up one import takes; from the engines' data sheets.
SETUP_SECONDS = 0.004

#: Time for which a prefix saved to a store is taken to be there.
SAVED_SECONDS = 15.0

#: Stands for a store's incarnation, which hosts don't know.
KEPT_INCARNATION = "kept"

#: Prefixes remembered as saved.
SAVED_COUNT = 20_000


@attrs.frozen
class ImportSource:
    """A cache that holds a part of a prompt."""

    name: str
    address: str
    held_tokens: int
    seconds_per_token: float
    weights_version: int

    def seconds(self, own_tokens: int) -> float:
        """Return the time to import what goes beyond ``own_tokens``."""
        tokens = max(0, self.held_tokens - own_tokens)
        return SETUP_SECONDS + tokens * self.seconds_per_token if tokens else 0.0


@attrs.frozen
class Holder:
    """A runner that may be asked for its cache."""

    name: str
    address: str
    held_tokens: int
    weights_version: int


@attrs.frozen
class KeptEntry:
    """One prefix that a store is believed to hold."""

    tokens: int
    noted_at_seconds: float
    #: Whether the store itself told of it, rather than a host that had it saved.
    is_told: bool


class KeptKnowledge:
    """What this host believes a store of kept cache holds, by weights version."""

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


class Imports:
    """Sources of cached prompts for the engines of one configuration."""

    def __init__(self, hall: str) -> None:
        self._hall = hall
        self._routes: RouteIndex | None = None
        self.kept = KeptKnowledge()

    def apply(self, routes: RouteIndex) -> None:
        """Take the services and stores of another configuration."""
        self._routes = routes

    def service(self, name: str) -> Service | None:
        """Return a service whose engines can import, if this is one."""
        if self._routes is None:
            return None
        service = self._routes.service(name)
        if service is None or service.link_bits_per_second <= 0.0:
            return None
        return service

    def store(self) -> KeptStore | None:
        """Return the store that serves this host's engines."""
        if self._routes is None:
            return None
        return self._routes.kept_store(self._hall)

    def runner_source(self, service: Service, holder: Holder) -> ImportSource:
        """Return a runner's cache as a source."""
        bits_per_token = 8.0 * service.token_bytes
        return ImportSource(
            holder.name,
            holder.address,
            holder.held_tokens,
            bits_per_token / service.link_bits_per_second,
            holder.weights_version,
        )

    def store_source(
        self,
        service: Service,
        weights_version: int,
        chain: PrefixChain,
        now_seconds: float,
    ) -> ImportSource | None:
        """Return the store as a source, with what it is believed to hold."""
        store = self.store()
        if store is None or store.link_bits_per_second <= 0.0:
            return None
        held = self.kept.held_tokens(weights_version, chain, now_seconds)
        bits_per_token = 8.0 * service.token_bytes
        seconds_per_token = bits_per_token / store.link_bits_per_second
        return ImportSource(
            store.name, store.address, held, seconds_per_token, weights_version
        )

    def note_reported(self, placed: PlacedPrefix, now_seconds: float) -> bool:
        """Take what a peer had saved; return whether it is about a store."""
        version = kept_version(placed.incarnation)
        if version is None:
            return False
        pairs = zip(placed.prefixes, placed.extents_tokens, strict=False)
        for prefix, tokens in pairs:
            self.kept.note_saved(version, prefix, tokens, now_seconds)
        return True

    def save_address(
        self, weights_version: int, chain: PrefixChain, now_seconds: float
    ) -> str:
        """Return where to save a prompt's shared part, if it is not kept already.

        The prefixes count as saved from now on.
        """
        store = self.store()
        levels = chain.levels
        if store is None or not levels:
            return ""
        held = self.kept.held_tokens(weights_version, chain, now_seconds)
        if held >= levels[-1].tokens:
            return ""
        previous = 0
        for level in levels:
            extent = level.tokens - previous
            previous = level.tokens
            self.kept.note_saved(weights_version, level.prefix, extent, now_seconds)
        return store.address
