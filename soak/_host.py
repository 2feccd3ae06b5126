"""Runs rampwickd with a wall clock offset read from a file.

Usage: ``python -m soak._host SETTINGS FILE``. Everything else is the real program;
only the soak test needs a wrong clock on demand.
"""

import sys
import time
from pathlib import Path

import anyio

from rampwick_router import Clocks, open_log, run_host


def main() -> None:
    """Run the daemon until it is stopped."""
    settings, shift = Path(sys.argv[1]), Path(sys.argv[2])

    def read_wall_clock() -> float:
        return time.time() + float(shift.read_text() or "0")

    clocks = Clocks(wall=read_wall_clock)
    with open_log(None):
        anyio.run(lambda: run_host(settings, clocks=clocks))


if __name__ == "__main__":
    main()
