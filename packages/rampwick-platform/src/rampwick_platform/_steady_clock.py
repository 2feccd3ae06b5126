"""The steady clock, which goes on while the machine is suspended.

The usual one (CLOCK_MONOTONIC) stands still meanwhile: a host would wake up with a
lease, confirmed keys and a list of upstreams that seem as young as before, while others
have long acted without it.
"""

import asyncio
import time

#: The clock that counts a suspend; the usual one where the system has no such clock.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_steady_clock() -> float:
    """Return seconds that count whether the machine runs or is suspended."""
    return time.clock_gettime(_CLOCK)


class SteadyLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers are due by the steady clock.

    The kernel's own wait for the next of them goes by the usual clock, so that after a
    suspend the loop wakes up to one look at time later: a second in a host without
    requests, a tenth with some.
    """

    def time(self) -> float:
        """Return the steady time."""
        return read_steady_clock()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return a loop to run a host on."""
    return SteadyLoop()
