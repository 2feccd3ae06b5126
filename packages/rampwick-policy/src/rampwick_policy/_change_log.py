"""Log of the upstreams whose state changed, for consumers that keep derived state."""

#: Maximum number of logged names. Names of removed upstreams stay until then; a full
#: log counts as a change of all upstreams.
MAX_NAMES_COUNT = 20_000


class ChangeLog:
    """The number of the last change of each upstream.

    A consumer remembers ``count`` and later asks which upstreams changed since.
    """

    def __init__(self) -> None:
        #: Number of changes so far.
        self.count = 0
        self._all_changed_at = 0
        #: Number of the last change by name, ordered by that number.
        self._changed_at: dict[str, int] = {}

    def note(self, name: str) -> None:
        """Record that an upstream changed."""
        self.count += 1
        self._changed_at.pop(name, None)
        self._changed_at[name] = self.count
        if len(self._changed_at) > MAX_NAMES_COUNT:
            self.note_all()

    def note_all(self) -> None:
        """Record that all upstreams may have changed."""
        self.count += 1
        self._all_changed_at = self.count
        self._changed_at.clear()

    def changed_since(self, count: int) -> list[str] | None:
        """Return the upstreams changed since; ``None`` if all may have changed."""
        if count < self._all_changed_at:
            return None
        names = []
        for name in reversed(self._changed_at):
            if self._changed_at[name] <= count:
                break
            names.append(name)
        return names
