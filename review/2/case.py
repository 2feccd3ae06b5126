"""An entry of another writer among the servers' entries in the store."""

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.fleet import Fleet, Host, free_port  # noqa: E402
from standins.http import encode, read_message  # noqa: E402
from standins.manifest import (  # noqa: E402
    HOST,
    KEY,
    PATHS,
    PLAIN_SERVICE,
    make_manifest,
)
from standins.record import Record  # noqa: E402
from standins.script import BROKEN, HELD, NOT_RUN, run_script  # noqa: E402
from standins.service import Server  # noqa: E402
from standins.store import Store  # noqa: E402

ZONES = ("bratislava-a", "bratislava-b", "trnava", "nitra")
HOSTS = [(f"front-{zone}-1", zone) for zone in ZONES]

CONSUMERS_COUNT = 32
TIMEOUT_MS = 1500
WORK_SECONDS = 0.09

ENTRY_AT_SECONDS = 6.0
DAY_SECONDS = 24.0

#: Time after which the platform starts a process again that has ended.
RESTART_SECONDS = 0.5

#: The rule's bounds: ends of a process by itself, on a tenth of the machines and on two
#: at least.
ENDS_COUNT = 3
MACHINES_COUNT = 2

#: A name in an encoding that is not the store's: two of its bytes are not UTF-8.
UNREADABLE_NAME = "i-k" + b"\xf4\xf2".decode("utf-8", "surrogateescape") + "-1"


class Consumer:
    """Sends one request after the other, on one channel as long as it stays open."""

    def __init__(self, number: int, host: Host, record: Record) -> None:
        self._number = number
        self._host = host
        self._record = record
        self._count = 0
        self._channel: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None
        #: Results of the requests: statuses, or why there was none.
        self.results: list[str] = []

    async def run(self, until_seconds: float) -> None:
        """Send requests until a time of the event loop's clock."""
        loop = asyncio.get_running_loop()
        while loop.time() < until_seconds:
            self._count += 1
            request_id = f"{self._number:08x}{self._count:08x}"
            result = await self._send(request_id)
            self.results.append(result)
            self._record("client", request_id, f"answer {result}")
            if result != "200":
                self._leave()
                await asyncio.sleep(0.2)
        self._leave()

    async def _send(self, request_id: str) -> str:
        self._record("client", request_id, f"sent to {self._host.name}")
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                return await self._exchange(request_id)
        except TimeoutError:
            return "none in time"
        except ConnectionRefusedError:
            return "connection refused"
        except (OSError, EOFError):
            return "channel closed"

    async def _exchange(self, request_id: str) -> str:
        if self._channel is None:
            host = self._host
            self._channel = await asyncio.open_connection(host.ip, host.front)
        reader, writer = self._channel
        headers = {
            "Host": HOST,
            "X-Rampwick-Request-Id": request_id,
            "X-Rampwick-Request-Timeout-Ms": str(TIMEOUT_MS),
            "Authorization": f"Bearer {KEY}",
        }
        writer.write(encode(f"POST {PATHS['thumb']}2f HTTP/1.1", headers, b"x" * 600))
        answer = await read_message(reader)
        if answer is None:
            return "channel closed"
        if answer.headers.get("connection", "").lower() == "close":
            self._leave()
        return str(answer.status)

    def _leave(self) -> None:
        if self._channel is not None:
            self._channel[1].close()
        self._channel = None


class Platform:
    """Starts a process again that has ended, after a short delay."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        #: Number of times that each host has ended by itself.
        self.ends = {host.name: 0 for host in fleet.hosts}

    async def keep(self, host: Host) -> None:
        """Keep one host running until cancelled."""
        while True:
            await asyncio.sleep(0.05)
            assert host.process is not None
            code = host.process.poll()
            if code is not None:
                self.ends[host.name] += 1
                self._record("host", host.name, f"ended by itself, code {code}")
                await asyncio.sleep(RESTART_SECONDS)
                host.start()
                self._record("host", host.name, "started again")


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    await store.start("127.0.0.1")
    store.put("config", "main", make_manifest())
    servers = [Server(store, record, PLAIN_SERVICE, zone) for zone in ZONES]
    for server in servers:
        server.work_seconds = WORK_SECONDS
        await server.start()
        server.register()
    fleet = Fleet(store.address, HOSTS)
    platform = Platform(fleet, record)
    consumers = [
        Consumer(number, fleet.hosts[number % len(HOSTS)], record)
        for number in range(CONSUMERS_COUNT)
    ]
    try:
        await fleet.start()
        keeping = [asyncio.create_task(platform.keep(host)) for host in fleet.hosts]
        until_seconds = asyncio.get_running_loop().time() + DAY_SECONDS
        async with asyncio.TaskGroup() as tasks:
            for consumer in consumers:
                tasks.create_task(consumer.run(until_seconds))
            await asyncio.sleep(ENTRY_AT_SECONDS)
            if has_trouble:
                entry = servers[0].entry()
                entry["address"] = f"127.0.0.1:{free_port('127.0.0.1')}"
                store.put("servers", UNREADABLE_NAME, entry)
                record("trouble", "store", "an entry of another writer appears")
        for task in keeping:
            task.cancel()
    finally:
        fleet.end()
    return judge(record, consumers, platform)


def judge(record: Record, consumers: list[Consumer], platform: Platform) -> int:
    """Check the rule; return the exit code."""
    results: dict[str, int] = {}
    for consumer in consumers:
        for result in consumer.results:
            results[result] = results.get(result, 0) + 1
    summary = f"answers {results}; processes ended by themselves {platform.ends}"
    record("judge", "all", summary)
    print(summary)
    if not results.get("200"):
        return NOT_RUN
    ended_count = sum(count >= ENDS_COUNT for count in platform.ends.values())
    return BROKEN if ended_count >= MACHINES_COUNT else HELD


if __name__ == "__main__":
    sys.exit(run_script(HERE, play))
