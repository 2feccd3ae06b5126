"""Recently removed upstream entries, to detect that a restored store lists them again.

A store that is restored from an older copy lists upstreams that were removed since.
"""

from collections.abc import Iterable

import attrs

from rampwick_schema import ReprMixin

from ._shutdown_announcements import Incarnation
from ._upstream import Upstream

#: Retention of removed entries, which is the maximum age of a copy that is detected.
RETENTION_SECONDS = 120.0


@attrs.frozen(repr=False)
class FormerEntry(ReprMixin):
    """The state of an upstream when its entry was removed."""

    incarnation: Incarnation
    was_draining: bool
    removed_at_seconds: float


class FormerEntries:
    """The recently removed upstream entries by name."""

    def __init__(self) -> None:
        self._entries: dict[str, FormerEntry] = {}

    def get(self, name: str, now_seconds: float) -> FormerEntry | None:
        """Return the entry of this name if it was removed recently."""
        entry = self._entries.get(name)
        is_retained = entry is not None and _is_retained(entry, now_seconds)
        return entry if is_retained else None

    def note_removed(
        self, upstream: Upstream, was_draining: bool, now_seconds: float
    ) -> None:
        """Record that an upstream's entry was removed."""
        incarnation = Incarnation(upstream.name, upstream.incarnation)
        self._entries[upstream.name] = FormerEntry(
            incarnation, was_draining, now_seconds
        )

    def forget(self, listed: Iterable[str], now_seconds: float) -> None:
        """Drop the entries that are listed again and those past their retention."""
        for name in listed:
            self._entries.pop(name, None)
        self._entries = {
            name: entry
            for name, entry in self._entries.items()
            if _is_retained(entry, now_seconds)
        }


def _is_retained(entry: FormerEntry, now_seconds: float) -> bool:
    return now_seconds < entry.removed_at_seconds + RETENTION_SECONDS
