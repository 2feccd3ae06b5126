"""Upstreams that are no longer listed, for the case that the store forgets it.

A store that is restored from an older copy lists upstreams that had left by then.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from ._departures import Incarnation
from ._upstream import Upstream

#: Age of a copy up to which what it lists is compared with what is known.
KEPT_SECONDS = 120.0


@attrs.frozen(repr=False)
class FormerEntry(ReprMixin):
    """An upstream as it was when its entry went."""

    incarnation: Incarnation
    was_leaving: bool
    gone_at_seconds: float


class FormerEntries:
    """The upstreams whose entries went of late, by name."""

    def __init__(self) -> None:
        self._entries: dict[str, FormerEntry] = {}

    def get(self, name: str, now_seconds: float) -> FormerEntry | None:
        """Return the upstream of this name, if it went of late."""
        entry = self._entries.get(name)
        is_kept = entry is not None and _is_kept(entry, now_seconds)
        return entry if is_kept else None

    def note_gone(
        self, upstream: Upstream, was_leaving: bool, now_seconds: float
    ) -> None:
        """Note that an upstream's entry went."""
        incarnation = Incarnation(upstream.name, upstream.incarnation)
        self._entries[upstream.name] = FormerEntry(
            incarnation, was_leaving, now_seconds
        )

    def forget(self, listed: Iterable[str], now_seconds: float) -> None:
        """Drop those that are listed again, and those of long ago."""
        for name in listed:
            self._entries.pop(name, None)
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if _is_kept(entry, now_seconds)
        }


def _is_kept(entry: FormerEntry, now_seconds: float) -> bool:
    return now_seconds < entry.gone_at_seconds + KEPT_SECONDS
