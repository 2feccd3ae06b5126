"""Importing cached prompts instead of computing them, and saving them to a store.

An import moves the cache of tokens over a link, which takes a small part of the time
that computing them would. Sources are the other runners with the same weights and a
store of kept cache. What is known of them is an estimate: a wrong import costs the
round trip of one question.
"""

import attrs

from rampwick_schema import KeptStore, Service

from ._prefix import PrefixChain
from ._routes import RouteIndex

#: Time that setting up one import takes; from the engines' data sheets.
SETUP_SECONDS = 0.004

#: Time for which a prefix saved to a store is taken to be there.
SAVED_SECONDS = 15.0

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


@attrs.define
class KeptKnowledge:
    """What this host believes one store of kept cache holds, by weights version."""

    _saved_at: dict[tuple[int, bytes], float] = attrs.field(factory=dict)

    def holds(self, weights_version: int, prefix: bytes, now_seconds: float) -> bool:
        """Return whether a prefix was saved of late."""
        saved_at = self._saved_at.get((weights_version, prefix))
        return saved_at is not None and now_seconds - saved_at < SAVED_SECONDS

    def note_saved(
        self, weights_version: int, prefix: bytes, now_seconds: float
    ) -> None:
        """Note that a prefix is being saved."""
        self._saved_at.pop((weights_version, prefix), None)
        self._saved_at[weights_version, prefix] = now_seconds
        while len(self._saved_at) > SAVED_COUNT:
            del self._saved_at[next(iter(self._saved_at))]


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
        service = self._routes.service(name) if self._routes else None
        if service is None or service.link_bits_per_second <= 0.0:
            return None
        return service

    def store(self) -> KeptStore | None:
        """Return the store that serves this host's engines."""
        return self._routes.kept_store(self._hall) if self._routes else None

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
        held = 0
        for level in chain.levels:
            if self.kept.holds(weights_version, level.prefix, now_seconds):
                held = level.tokens
        bits_per_token = 8.0 * service.token_bytes
        seconds_per_token = bits_per_token / store.link_bits_per_second
        return ImportSource(
            store.name, store.address, held, seconds_per_token, weights_version
        )

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
        if self.kept.holds(weights_version, levels[-1].prefix, now_seconds):
            return ""
        for level in levels:
            self.kept.note_saved(weights_version, level.prefix, now_seconds)
        return store.address
