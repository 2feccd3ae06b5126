"""A new version of the manifest that adds a route with a larger ``max_attempts``."""

import asyncio
import sys
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.fleet import Fleet, call  # noqa: E402
from standins.manifest import (  # noqa: E402
    HOST,
    KEY,
    PATHS,
    PLAIN_SERVICE,
    make_manifest,
    make_route,
)
from standins.record import Record  # noqa: E402
from standins.script import BROKEN, HELD, NOT_RUN, run_script  # noqa: E402
from standins.service import Server  # noqa: E402
from standins.store import Store  # noqa: E402

ZONES = ("bratislava-a", "bratislava-b", "trnava", "nitra")
HOSTS = [(f"front-{zone}-1", zone) for zone in ZONES[:3]]

#: Limit of the new route: the runners that a consumer attempt may be sent to.
MAX_ATTEMPTS, USUAL_MAX_ATTEMPTS = 12, 2
NEW_PATH = "/kuva51/"

#: Classes of requests: a first route that is public, one with a key, and the new one.
PUBLIC, KEYED, ADDED = "public", "keyed", "added"
CLASS_PATHS = {PUBLIC: PATHS["batch-status"], KEYED: PATHS["thumb"], ADDED: NEW_PATH}

TIMEOUT_MS = 1500
CHANGE_AT_SECONDS = 5.0
CONFIG_APPLY_SECONDS = 2.0
JUDGED_SECONDS = 10.0
REQUEST_INTERVAL_SECONDS = 0.1

#: The rule's bounds.
MIN_REQUESTS_COUNT = 20
MIN_SERVED_RATIO = 0.25


def make_version(version: int, max_attempts: int | None) -> dict[str, object]:
    """Return a manifest; with the new route if its limit is given."""
    manifest = make_manifest(version)
    for route in manifest["routes"]:
        if route["name"] == "r-batch-status":
            route["public"] = True
    if max_attempts is not None:
        route = make_route(
            "added",
            NEW_PATH,
            "idempotent",
            TIMEOUT_MS,
            service=PLAIN_SERVICE,
            target_latency_ms=300,
            priority=2,
            max_attempts=max_attempts,
        )
        manifest["routes"].append(route)
    return manifest


class Clients:
    """Callers of all classes, at all hosts in turn."""

    def __init__(self, fleet: Fleet, record: Record) -> None:
        self._fleet = fleet
        self._record = record
        self._count = 0

    async def send(self, kind: str, results: Counter[tuple[str, str]]) -> None:
        """Send one request on a channel of its own; count its result."""
        self._count += 1
        request_id = f"{self._count:016x}"
        host = self._fleet.hosts[self._count % len(self._fleet.hosts)]
        headers = {
            "Host": HOST,
            "X-Rampwick-Request-Id": request_id,
            "X-Rampwick-Request-Timeout-Ms": str(TIMEOUT_MS),
        }
        if kind != PUBLIC:
            headers["Authorization"] = f"Bearer {KEY}"
        self._record("client", request_id, f"{kind}, sent to {host.name}")
        method = "POST" if kind == KEYED else "GET"
        result = "none"
        try:
            async with asyncio.timeout(TIMEOUT_MS / 1000):
                answer = await call(
                    f"{host.ip}:{host.front}", method, f"{CLASS_PATHS[kind]}2f", headers
                )
                result = str(answer.status) if answer else "closed"
        except (OSError, EOFError):
            pass
        self._record("client", request_id, f"{kind}, answer {result}")
        results[kind, result] += 1

    async def send_for(
        self, seconds: float, kinds: tuple[str, ...]
    ) -> Counter[tuple[str, str]]:
        """Send requests of some classes for a time; return their results."""
        results: Counter[tuple[str, str]] = Counter()
        loop = asyncio.get_running_loop()
        until_seconds = loop.time() + seconds
        async with asyncio.TaskGroup() as tasks:
            while loop.time() < until_seconds:
                for kind in kinds:
                    tasks.create_task(self.send(kind, results))
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        return results


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    await store.start("127.0.0.1")
    store.put("config", "main", make_version(7, None))
    for zone in ZONES:
        server = Server(store, record, PLAIN_SERVICE, zone)
        await server.start()
        server.register()
    fleet = Fleet(store.address, HOSTS)
    clients = Clients(fleet, record)
    try:
        await fleet.start()
        before = await clients.send_for(CHANGE_AT_SECONDS, (PUBLIC, KEYED))
        max_attempts = MAX_ATTEMPTS if has_trouble else USUAL_MAX_ATTEMPTS
        store.put("config", "main", make_version(11, max_attempts))
        record("operator", "config/main", f"version 11, max_attempts {max_attempts}")
        await clients.send_for(CONFIG_APPLY_SECONDS, (PUBLIC, KEYED))
        after = await clients.send_for(JUDGED_SECONDS, (PUBLIC, KEYED, ADDED))
    finally:
        fleet.end()
    return judge(record, before, after)


def judge(
    record: Record,
    before: Counter[tuple[str, str]],
    after: Counter[tuple[str, str]],
) -> int:
    """Compare how often the new route and the first routes are served."""

    def served_ratio(kinds: tuple[str, ...]) -> float:
        sent = sum(count for (kind, _), count in after.items() if kind in kinds)
        served = sum(after[kind, "200"] for kind in kinds)
        return served / sent if sent else 0.0

    first_ratio = served_ratio((PUBLIC, KEYED))
    added_ratio = served_ratio((ADDED,))
    added_count = sum(count for (kind, _), count in after.items() if kind == ADDED)
    summary = (
        f"before the change {dict(before)}; from 2 s after it {dict(after)}; served: "
        f"first routes {first_ratio:.2f}, added route {added_ratio:.2f}"
    )
    record("judge", "all", summary)
    print(summary)
    if not before[PUBLIC, "200"] or not before[KEYED, "200"]:
        return NOT_RUN
    if added_count < MIN_REQUESTS_COUNT:
        return NOT_RUN
    return BROKEN if added_ratio < MIN_SERVED_RATIO * first_ratio else HELD


if __name__ == "__main__":
    sys.exit(run_script(HERE, play))
