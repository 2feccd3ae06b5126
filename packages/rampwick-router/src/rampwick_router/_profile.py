"""CPU profiles of the running host, taken on an operator's request.

There is no overhead unless a profile is being taken; then function calls take about
twice as long. A profile has a bounded duration, and only one is taken at a time.
"""

import time
from pathlib import Path
from typing import Any

import anyio
import attrs

from rampwick_schema import ReprMixin

#: Maximum duration, so that a forgotten profile does not slow down a loaded host.
MAX_PROFILE_SECONDS = 60.0

#: Number of functions and of modules in a report, most expensive first.
ROWS_COUNT = 40


@attrs.frozen(repr=False)
class ProfileEntry(ReprMixin):
    """Calls and time of one function or module."""

    name: str
    calls_count: int
    #: Time in the function itself, and including the functions that it called.
    own_seconds: float
    total_seconds: float


@attrs.frozen(repr=False)
class ProfileReport(ReprMixin):
    """The most expensive functions and modules of a profile."""

    elapsed_seconds: float
    processor_seconds: float
    functions: list[ProfileEntry]
    modules: list[ProfileEntry]


class Profiler:
    """Profiles the calling thread, one profile at a time."""

    def __init__(self) -> None:
        self.is_busy = False

    async def take(self, seconds: float) -> ProfileReport:
        """Profile for a number of seconds and return the report."""
        # Imported on use, so that it does not add to the start-up time.
        import cProfile

        self.is_busy = True
        profile = cProfile.Profile()
        start_seconds, start_processor = time.monotonic(), time.process_time()
        try:
            profile.enable()
            await anyio.sleep(min(seconds, MAX_PROFILE_SECONDS))
        finally:
            profile.disable()
            self.is_busy = False
        return _make_report(
            profile.getstats(),
            time.monotonic() - start_seconds,
            time.process_time() - start_processor,
        )


def _make_report(
    entries: list[Any], elapsed_seconds: float, processor_seconds: float
) -> ProfileReport:
    functions: list[ProfileEntry] = []
    modules: dict[str, ProfileEntry] = {}
    for entry in entries:
        module, name = _split_name(entry.code)
        row = ProfileEntry(name, entry.callcount, entry.inlinetime, entry.totaltime)
        functions.append(row)
        modules[module] = _add(modules.get(module), module, row)
    return ProfileReport(
        round(elapsed_seconds, 3),
        round(processor_seconds, 3),
        _most_expensive(functions),
        _most_expensive(list(modules.values())),
    )


def _add(current: ProfileEntry | None, module: str, row: ProfileEntry) -> ProfileEntry:
    """Add a function to the sum of its module, whose total time is its own time."""
    calls_count = row.calls_count + (current.calls_count if current else 0)
    own_seconds = row.own_seconds + (current.own_seconds if current else 0.0)
    return ProfileEntry(module, calls_count, own_seconds, own_seconds)


def _most_expensive(rows: list[ProfileEntry]) -> list[ProfileEntry]:
    rows.sort(key=lambda row: row.own_seconds, reverse=True)
    return [
        attrs.evolve(
            row,
            own_seconds=round(row.own_seconds, 4),
            total_seconds=round(row.total_seconds, 4),
        )
        for row in rows[:ROWS_COUNT]
    ]


def _split_name(code: Any) -> tuple[str, str]:
    """Return module and function name for a code object or a built-in's name."""
    if isinstance(code, str):
        return "built in", code
    path = Path(code.co_filename)
    module = f"{path.parent.name}/{path.stem}"
    return module, f"{module}:{code.co_firstlineno} {code.co_qualname}"
