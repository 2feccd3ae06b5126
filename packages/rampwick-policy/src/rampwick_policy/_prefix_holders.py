"""Index from cache entries to the runners that hold them."""

from collections.abc import Collection, Iterable

_NONE: dict[str, None] = {}


class PrefixHolders:
    """The runners that hold each entry, in the order in which they first did."""

    def __init__(self) -> None:
        # Dictionaries instead of sets, whose order differs between processes.
        self._runners: dict[bytes, dict[str, None]] = {}

    def __len__(self) -> int:
        return len(self._runners)

    def get(self, prefix: bytes) -> Collection[str]:
        """Return the runners that hold an entry."""
        return self._runners.get(prefix, _NONE)

    def add(self, prefix: bytes, runner: str) -> None:
        """Record that a runner holds an entry."""
        self._runners.setdefault(prefix, {})[runner] = None

    def remove(self, prefix: bytes, runner: str) -> None:
        """Record that a runner no longer holds an entry."""
        runners = self._runners.get(prefix)
        if runners is None:
            return
        runners.pop(runner, None)
        if not runners:
            del self._runners[prefix]

    def remove_all(self, prefixes: Iterable[bytes], runner: str) -> None:
        """Record that a runner no longer holds any of some entries."""
        for prefix in prefixes:
            self.remove(prefix, runner)
