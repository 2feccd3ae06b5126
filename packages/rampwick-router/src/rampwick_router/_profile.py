"""A profile of the running host, taken when an operator asks for one.

Nothing is measured unless asked. While one is taken, each call of a function costs
about twice its time; it ends by itself, and only one is taken at once.
"""

import time
from pathlib import Path
from typing import Any

import anyio
import attrs

from rampwick_schema import ReprMixin

#: Longest profile; what runs for longer would slow a loaded host down unnoticed.
MAX_PROFILE_SECONDS = 60.0

#: Functions and modules in a report, those that cost most first.
ROWS_COUNT = 40


@attrs.frozen(repr=False)
class CostRow(ReprMixin):
    """What one function or module cost while the profile was taken."""

    name: str
    calls_count: int
    #: Time in the function itself, and with all that it called.
    own_seconds: float
    total_seconds: float


@attrs.frozen(repr=False)
class ProfileReport(ReprMixin):
    """Where a host's processor time went."""

    elapsed_seconds: float
    processor_seconds: float
    functions: list[CostRow]
    modules: list[CostRow]


class Profiler:
    """Takes one profile at a time of the thread that it is asked in."""

    def __init__(self) -> None:
        self.is_busy = False

    async def take(self, seconds: float) -> ProfileReport:
        """Return where the time of the next seconds went."""
        # Loaded when it is used: no host pays for it at its start.
        import cProfile

        self.is_busy = True
        profile = cProfile.Profile()
        began_seconds, began_processor = time.monotonic(), time.process_time()
        try:
            profile.enable()
            await anyio.sleep(min(seconds, MAX_PROFILE_SECONDS))
        finally:
            profile.disable()
            self.is_busy = False
        return _make_report(
            profile.getstats(),
            time.monotonic() - began_seconds,
            time.process_time() - began_processor,
        )


def _make_report(
    entries: list[Any], elapsed_seconds: float, processor_seconds: float
) -> ProfileReport:
    functions: list[CostRow] = []
    modules: dict[str, CostRow] = {}
    for entry in entries:
        module, name = _name(entry.code)
        row = CostRow(name, entry.callcount, entry.inlinetime, entry.totaltime)
        functions.append(row)
        modules[module] = _add(modules.get(module), module, row)
    return ProfileReport(
        round(elapsed_seconds, 3),
        round(processor_seconds, 3),
        _dearest(functions),
        _dearest(list(modules.values())),
    )


def _add(known: CostRow | None, module: str, row: CostRow) -> CostRow:
    """Return a module's sum with one more function; its own time is all it has."""
    calls_count = row.calls_count + (known.calls_count if known else 0)
    own_seconds = row.own_seconds + (known.own_seconds if known else 0.0)
    return CostRow(module, calls_count, own_seconds, own_seconds)


def _dearest(rows: list[CostRow]) -> list[CostRow]:
    rows.sort(key=lambda row: row.own_seconds, reverse=True)
    return [
        attrs.evolve(
            row,
            own_seconds=round(row.own_seconds, 4),
            total_seconds=round(row.total_seconds, 4),
        )
        for row in rows[:ROWS_COUNT]
    ]


def _name(code: Any) -> tuple[str, str]:
    """Return the module and the name of a function, by its code or its name."""
    if isinstance(code, str):
        return "built in", code
    path = Path(code.co_filename)
    module = f"{path.parent.name}/{path.stem}"
    return module, f"{module}:{code.co_firstlineno} {code.co_qualname}"
