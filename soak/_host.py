"""Runs rampwickd with a wrong clock and with its own links to the upstreams.

Usage: ``python -m soak._host SETTINGS CLOCK LINKS``: files with the settings, the
offset of the wall clock, and the address to connect to in place of each upstream's.
Everything else is the real program.
"""

import json
import sys
import time
from pathlib import Path

import anyio

from rampwick_router import Clocks, open_log, run_host
from rampwick_router.upstream._tcp_socket import TcpSocket


def main() -> None:
    """Run the daemon until it is stopped."""
    settings, shift, links = map(Path, sys.argv[1:4])
    use_links(json.loads(links.read_text()))

    def read_wall_clock() -> float:
        return time.time() + float(shift.read_text() or "0")

    clocks = Clocks(wall=read_wall_clock)
    with open_log(None):
        anyio.run(lambda: run_host(settings, clocks=clocks))


def use_links(links: dict[str, str]) -> None:
    """Connect to other addresses in place of the upstreams' own."""
    connect = TcpSocket.connect.__func__

    async def connect_by_link(cls: type[TcpSocket], address: str) -> TcpSocket:
        return await connect(cls, links.get(address, address))

    TcpSocket.connect = classmethod(connect_by_link)


if __name__ == "__main__":
    main()
