"""Hosts as processes follow servers that leave beside an odd entry in the store.

``RAMPWICK_ODD_HOSTS`` sets the number of hosts.
"""

import os
import time

import anyio
import orjson
from testtools import TestCase

from .host_processes import (
    CALLED_HOST,
    LIMITS,
    HostFleet,
    PlainServer,
    run_fleet,
)
from .raw_store import RawRecord, make_spec
from .scripted import Exchange

HOSTS_COUNT = int(os.environ.get("RAMPWICK_ODD_HOSTS", "3"))
SERVERS_COUNT = int(os.environ.get("RAMPWICK_ODD_SERVERS", "4"))
CALLERS_COUNT = 12

#: Time between two servers that leave, and for which the last ones are watched.
LEAVING_INTERVAL_SECONDS = 0.5
WATCHED_SECONDS = 4.0
#: Time after which a server that said that it leaves gets no more requests.
LEAVING_BOUND_SECONDS = 2.0

#: An entry that no decoder reads as a whole.
ODD = RawRecord(b'"odd"', make_spec(unknown=b'{"a":' * 3000 + b"1" + b"}" * 3000))

MANIFEST = {
    "version": 1,
    "routes": [
        {
            "name": "r-1",
            "host": CALLED_HOST,
            "path_prefix": "/a/",
            "kind": "idempotent",
            "timeout_ms": 4000,
            "target_latency_ms": 600,
            "service": "plain",
            "max_attempts": 2,
            "public": True,
        }
    ],
    "services": [
        {"name": "plain", "health_path": "/health", "max_connections": 200},
    ],
    "limits": LIMITS,
}


class Server(PlainServer):
    """A plain server that notes when its requests came."""

    def __init__(self, name):
        super().__init__(name)
        self.left_at_seconds = float("inf")
        self.lateness_seconds = []

    async def reply(self, exchange: Exchange) -> None:
        """Answer a request or a health check."""
        if self.request_id(exchange) is not None:
            self.lateness_seconds.append(time.monotonic() - self.left_at_seconds)
        await super().reply(exchange)


class Fleet(HostFleet):
    """Hosts whose servers leave, and what their callers get."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self.servers = []
        self.statuses = []
        self.late_start_statuses = []

    async def start(self):
        """Start the store, the servers and the hosts."""
        self.servers += [Server(f"i-{number}") for number in range(SERVERS_COUNT)]
        await self.start_all(self.servers, HOSTS_COUNT)

    async def add_server(self, name):
        """Start a server, which records itself."""
        server = Server(name)
        await self.serve(server)
        self.servers.append(server)

    async def keep_calling(self, address, statuses):
        """Send one request after the other."""
        while True:
            statuses.append(await self.call(address))
            await anyio.sleep(0.02)

    def leave(self, server):
        """Have a server say that it leaves."""
        server.left_at_seconds = time.monotonic()
        self.store.write(server.record("draining"))

    def depart(self, server):
        """Have a server leave without a word: its entry goes, and it serves on."""
        server.left_at_seconds = time.monotonic()
        self.store.delete(orjson.dumps(server.name))

    def late_seconds(self):
        """Return how much too late requests began at servers that leave."""
        return [
            seconds
            for server in self.servers
            for seconds in server.lateness_seconds
            if seconds > LEAVING_BOUND_SECONDS
        ]


async def play(odd):
    """Have all first servers leave beside an odd entry; return the fleet."""
    async with run_fleet(Fleet, MANIFEST) as (fleet, tasks):
        await fleet.start()
        await play_leaving(fleet, tasks, odd)
    return fleet


async def play_leaving(fleet, tasks, odd):
    """Replace the servers one after the other; start a host beside the odd entry."""
    for number in range(CALLERS_COUNT):
        host = fleet.hosts[number % HOSTS_COUNT]
        tasks.start_soon(fleet.keep_calling, host.address, fleet.statuses)
    await anyio.sleep(1.0)
    if odd is not None:
        fleet.store.write(odd)
    started = fleet.start_host("late").address
    for number, server in enumerate(fleet.servers[:SERVERS_COUNT]):
        await fleet.add_server(f"n-{number}")
        await anyio.sleep(LEAVING_INTERVAL_SECONDS)
        fleet.leave(server)
    with anyio.move_on_after(10.0):
        while await fleet.call(started) != 200:
            await anyio.sleep(0.1)
    tasks.start_soon(fleet.keep_calling, started, fleet.late_start_statuses)
    await anyio.sleep(WATCHED_SECONDS)


async def play_start(odd):
    """Start hosts beside an odd entry; return the statuses of their callers."""
    async with run_fleet(Fleet, MANIFEST) as (fleet, _):
        fleet.store.write(odd)
        await fleet.start()
        fleet.leave(fleet.servers[0])
        await anyio.sleep(LEAVING_BOUND_SECONDS)
        for host in fleet.hosts * 5:
            fleet.statuses.append(await fleet.call(host.address))
    return fleet


class OddEntryProcessesTest(TestCase):
    """Requests at servers that left, while an odd entry is in the store."""

    def test_servers_that_leave_beside_an_odd_entry_get_no_late_request(self):
        fleet = anyio.run(play, ODD)
        requests_count = sum(len(item.lateness_seconds) for item in fleet.servers)
        late = fleet.late_seconds()
        summary = (
            f"{requests_count} requests, {len(late)} of them late by up to "
            f"{max(late, default=0.0):.1f} s; "
            f"{fleet.statuses.count(200)} of {len(fleet.statuses)} served; at the host "
            f"that started {fleet.late_start_statuses.count(200)} of "
            f"{len(fleet.late_start_statuses)}"
        )
        self.assertEqual([], late, summary)
        self.assertEqual({200}, set(fleet.statuses), summary)
        self.assertEqual({200}, set(fleet.late_start_statuses), summary)

    def test_hosts_that_start_beside_an_odd_entry_serve(self):
        fleet = anyio.run(play_start, ODD)
        self.assertEqual({200}, set(fleet.statuses))
        self.assertEqual([], fleet.late_seconds())
