"""What all scripts do: exit codes, the record and the variable TROUBLE."""

import asyncio
import os
from collections.abc import Awaitable, Callable
from pathlib import Path

from .record import Record

HELD, BROKEN, NOT_RUN = 0, 1, 2

Play = Callable[[Record, bool], Awaitable[int]]


def run_script(folder: Path, play: Play) -> int:
    """Play a case and write its record; return the exit code."""
    record = Record(folder / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        return asyncio.run(_play(record, has_trouble, play))
    except Exception as error:
        record("script", "failed", repr(error))
        print(f"the case could not run: {error!r}")
        return NOT_RUN
    finally:
        record.close()


async def _play(record: Record, has_trouble: bool, play: Play) -> int:
    return await play(record, has_trouble)
