"""Which software versions the upstreams of each service had, and since when.

Where no record says at which version a stream began, it is known all the same if its
service had a single version for as long as the stream can have existed.
"""

import math
from collections.abc import Callable, Iterable, Iterator

from rampwick_schema import HostEntry, ListedVersion

from ._upstream import Upstream

#: Age of the host list above which another version may have begun to serve elsewhere.
MAX_LIST_AGE_SECONDS = 2.5

#: Time for which a version is remembered after it was last listed.
REMEMBERED_SECONDS = 600.0

#: Maximum number of versions of one service that are remembered.
MAX_VERSIONS_COUNT = 64

#: Longest name of a service or a version that is accepted from a peer.
MAX_NAME_CHARACTERS = 256


def _age_unknown(now_seconds: float) -> float:
    return math.inf


class VersionHistory:
    """The versions of each service, and when each was last seen."""

    def __init__(self) -> None:
        self._seen_at: dict[str, dict[str, float]] = {}
        #: Time since which all listed versions are known; none before the first list.
        self._known_since_seconds: float | None = None
        #: Returns the age of the host list.
        self.list_age_seconds: Callable[[float], float] = _age_unknown
        #: Whether any service has upstreams of several versions.
        self.is_mixed = False
        #: Number of times at which the history began anew.
        self.resets_count = 0

    def note_listed(self, upstreams: Iterable[Upstream], now_seconds: float) -> None:
        """Record the listed upstreams, before and after each change of the list."""
        if self._known_since_seconds is None:
            self._known_since_seconds = now_seconds
        for upstream in upstreams:
            entry = upstream.entry
            self._note(entry.group, entry.software_version, now_seconds)
        self._forget(now_seconds)

    def note_time(self, now_seconds: float) -> None:
        """Begin anew if the list is too old: versions may have come and gone unseen."""
        if self._known_since_seconds is not None and self._is_list_old(now_seconds):
            self._known_since_seconds = now_seconds
            self.resets_count += 1

    def _is_list_old(self, now_seconds: float) -> bool:
        return self.list_age_seconds(now_seconds) > MAX_LIST_AGE_SECONDS

    def note_begun(self, service: str, version: str, now_seconds: float) -> None:
        """Record that a stream began at a version, which this host may not list."""
        self._note(service, version, now_seconds)

    def receive(
        self, listed: Iterable[ListedVersion], known_seconds: float, now_seconds: float
    ) -> None:
        """Add what a peer knows."""
        for item in listed:
            if max(len(item.service), len(item.software_version)) > MAX_NAME_CHARACTERS:
                continue
            self._note(
                item.service, item.software_version, now_seconds - item.age_seconds
            )
        if known_seconds:
            since_seconds = now_seconds - min(known_seconds, REMEMBERED_SECONDS)
            own_seconds = self._known_since_seconds
            self._known_since_seconds = (
                since_seconds
                if own_seconds is None
                else min(own_seconds, since_seconds)
            )

    def recover(
        self,
        listed: Iterable[ListedVersion],
        known_seconds: float,
        changed: Iterable[HostEntry],
        now_seconds: float,
    ) -> None:
        """Add a history from the store, and the entries that changed after it.

        When it was written is not known: its versions count as if that were now, so
        that they are remembered for too long rather than forgotten too early.
        """
        for entry in changed:
            self._note(entry.group, entry.software_version, now_seconds)
        self.receive(listed, known_seconds, now_seconds)

    def had_several(self, within_seconds: float, now_seconds: float) -> bool:
        """Return whether any service has had several versions lately."""
        oldest_seconds = now_seconds - within_seconds
        return any(
            sum(at >= oldest_seconds for at in versions.values()) > 1
            for versions in self._seen_at.values()
        )

    def known_seconds(self, now_seconds: float) -> float:
        """Return for how long all listed versions are known."""
        if self._known_since_seconds is None or self._is_list_old(now_seconds):
            return 0.0
        return max(0.0, now_seconds - self._known_since_seconds)

    def confirmed_at_seconds(self, now_seconds: float) -> float:
        """Return the last time at which the list certainly had all upstreams."""
        return now_seconds - self.list_age_seconds(now_seconds)

    def ages(self, now_seconds: float) -> Iterator[tuple[str, str, float]]:
        """Yield service, version and the time since the version was last seen."""
        for service, versions in self._seen_at.items():
            for version, at_seconds in versions.items():
                yield service, version, max(0.0, now_seconds - at_seconds)

    def only_version(
        self,
        service: str,
        upstreams: Iterable[Upstream],
        max_age_seconds: float,
        now_seconds: float,
    ) -> str | None:
        """Return the version that all upstreams of a service had for some time.

        ``upstreams`` are those listed now. ``None`` if there were several versions, or
        if this host can't know.
        """
        if self.known_seconds(now_seconds) < max_age_seconds:
            return None
        oldest_seconds = now_seconds - max_age_seconds
        versions = self._seen_at.get(service, {})
        recent = {name for name, at in versions.items() if at >= oldest_seconds}
        entries = (upstream.entry for upstream in upstreams)
        recent |= {item.software_version for item in entries if item.group == service}
        return recent.pop() if len(recent) == 1 else None

    def _note(self, service: str, version: str, at_seconds: float) -> None:
        versions = self._seen_at.setdefault(service, {})
        if version not in versions and len(versions) >= MAX_VERSIONS_COUNT:
            return
        versions[version] = max(at_seconds, versions.get(version, -math.inf))
        self.is_mixed = self.is_mixed or len(versions) > 1

    def _forget(self, now_seconds: float) -> None:
        oldest_seconds = now_seconds - REMEMBERED_SECONDS
        for versions in self._seen_at.values():
            for version in [
                name for name, at in versions.items() if at < oldest_seconds
            ]:
                del versions[version]
        self.is_mixed = any(len(versions) > 1 for versions in self._seen_at.values())
