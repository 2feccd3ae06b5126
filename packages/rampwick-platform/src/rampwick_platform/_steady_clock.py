"""The steady clock, a monotonic clock that includes suspend time.

CLOCK_MONOTONIC stops while the machine is suspended. After a resume, a host would
consider its lease, confirmed keys and list of upstreams as fresh as before, although
other hosts have acted in the meantime.
"""

import asyncio
import time

#: Clock that includes suspend time, or CLOCK_MONOTONIC if the system has none.
_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


def read_steady_clock() -> float:
    """Return the time in seconds, including time in suspend."""
    return time.clock_gettime(_CLOCK)


class SteadyEventLoop(asyncio.SelectorEventLoop):
    """Event loop whose timers use the steady clock.

    The kernel waits for the next timer by CLOCK_MONOTONIC. After a resume, the loop
    therefore wakes up late by up to one interval of its periodic tasks: a second in a
    host without requests, a tenth of a second otherwise.
    """

    def time(self) -> float:
        """Return the time of the steady clock."""
        return read_steady_clock()


def new_event_loop() -> asyncio.AbstractEventLoop:
    """Return an event loop for a host."""
    return SteadyEventLoop()
