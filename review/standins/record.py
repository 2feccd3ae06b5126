"""The record of a script: what was sent, answered and run."""

import time
from pathlib import Path


class Record:
    """Lines with the time since the start, kept and written to a file."""

    def __init__(self, path: Path) -> None:
        self._started_seconds = time.monotonic()
        self._file = path.open("w", encoding="utf-8")
        #: (time in seconds, who, name, what) of each line.
        self.lines: list[tuple[float, str, str, str]] = []

    def __call__(self, who: str, name: str, what: str) -> None:
        """Add a line."""
        now_seconds = time.monotonic() - self._started_seconds
        self.lines.append((now_seconds, who, name, what))
        self._file.write(f"{now_seconds:9.3f} {who} {name}: {what}\n")

    def runs(self) -> dict[str, list[str]]:
        """Return the servers that ran each request, by its id."""
        found: dict[str, list[str]] = {}
        for _, who, name, what in self.lines:
            if who == "server" and what.startswith("ran "):
                found.setdefault(what.split()[1], []).append(name)
        return found

    def close(self) -> None:
        """Write the record to its file."""
        self._file.close()
