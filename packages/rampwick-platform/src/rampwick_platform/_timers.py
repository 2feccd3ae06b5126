"""Timers that fire together, so that a host without requests seldom wakes up.

A host has a dozen tasks that look at something a few times a second. Each by its own
time, they woke a host without requests 23 times a second, and each time costs as much
as what it is for. On a grid that all share, they wake it four times.
"""

import math

import anyio

from ._steady_clock import read_steady_clock

#: Distance of the times at which timers fire: that of the summaries between hosts,
#: which come most often.
GRID_SECONDS = 0.25

#: Where the grid lies: at another place in each process, so that hosts which start
#: together don't all speak at once.
_BEGAN_SECONDS = read_steady_clock()


def align_delay(seconds: float, now_seconds: float) -> float:
    """Return the wait, about so long, that ends on the grid; short ones stay exact."""
    if seconds < GRID_SECONDS or math.isinf(seconds):
        return seconds
    earliest_seconds = now_seconds + seconds - GRID_SECONDS / 2
    steps = math.ceil((earliest_seconds - _BEGAN_SECONDS) / GRID_SECONDS)
    return _BEGAN_SECONDS + steps * GRID_SECONDS - now_seconds


async def sleep_aligned(seconds: float) -> None:
    """Sleep for about so long, to the same moment as others."""
    await anyio.sleep(align_delay(seconds, anyio.current_time()))


def move_on_after_aligned(seconds: float) -> anyio.CancelScope:
    """Return a scope that ends after about so long, at the same moment as others."""
    return anyio.move_on_after(align_delay(seconds, anyio.current_time()))
