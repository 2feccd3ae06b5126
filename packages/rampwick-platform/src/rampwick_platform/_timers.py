"""Aligned timers, which reduce the wake-ups of an idle host.

A host has a dozen tasks that poll a few times a second. With independent timers they
caused 23 wake-ups a second in a host without requests, and a wake-up costs as much as
the work it is for. With timers aligned to a common interval there are four.
"""

import math

import anyio

from ._steady_clock import read_steady_clock

#: Interval to which timers are aligned: that of the summaries between hosts, which are
#: the most frequent.
ALIGNMENT_SECONDS = 0.25

#: Origin of the aligned times. It differs between processes, so that hosts that start
#: together do not send all at the same time.
_ALIGNMENT_ORIGIN_SECONDS = read_steady_clock()


def align_delay(seconds: float, now_seconds: float) -> float:
    """Return the delay that ends at the aligned time near ``seconds`` from now.

    Delays shorter than the interval are not changed.
    """
    if seconds < ALIGNMENT_SECONDS or math.isinf(seconds):
        return seconds
    earliest_seconds = now_seconds + seconds - ALIGNMENT_SECONDS / 2
    steps = math.ceil(
        (earliest_seconds - _ALIGNMENT_ORIGIN_SECONDS) / ALIGNMENT_SECONDS
    )
    return _ALIGNMENT_ORIGIN_SECONDS + steps * ALIGNMENT_SECONDS - now_seconds


async def sleep_aligned(seconds: float) -> None:
    """Sleep for about ``seconds``, until an aligned time."""
    await anyio.sleep(align_delay(seconds, anyio.current_time()))


def move_on_after_aligned(seconds: float) -> anyio.CancelScope:
    """Return a scope that is cancelled after about ``seconds``, at an aligned time."""
    return anyio.move_on_after(align_delay(seconds, anyio.current_time()))
