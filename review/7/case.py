"""Requests reach a runner long after its entry has gone, while watches are cut.

A runner leaves without a word: its entry goes, and it serves on for ``drain_ms`` and a
little longer. Around that moment the store cuts the watches that wait.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import (
    BOUNDS,
    LIMITS,
    Answer,
    Channel,
    Fleet,
    Record,
    Runner,
    Store,
    has_trouble,
    main,
)

HOST = "portal.example"
KEY = "a-key-of-a-tenant"
HOSTS_COUNT = 2
RUNNERS_COUNT = 4
CONSUMERS_COUNT = 8
WORK_SECONDS = 0.06
DRAIN_SECONDS = BOUNDS["drain_ms"] / 1000.0
#: How much longer than that the runner serves on.
LINGER_SECONDS = 0.4
WARM_UP_SECONDS = 6.0
#: Times at which watches are cut, from the moment at which the entry goes.
CUTS_SECONDS = (-0.05, 0.9)


class LeavingRunner(Runner):
    """A runner that can leave as the pages describe it."""

    async def leave(self, store: Store) -> float:
        """Remove the entry; return when the store took that."""
        store.delete("servers", self.name)
        return self._record.now()

    def end(self) -> None:
        """End: close the listener and all channels."""
        self._record.note(f"{self.name} ends")
        self._server.close()
        for writer in self.writers:
            writer.transport.abort()

    def __init__(self, *arguments: object, **options: object) -> None:
        super().__init__(*arguments, **options)  # type: ignore[arg-type]
        self.writers: set[asyncio.StreamWriter] = set()

    async def answer(self, message, reader, writer) -> bool:  # type: ignore[no-untyped-def]
        """Run a request."""
        self.writers.add(writer)
        return await super().answer(message, reader, writer)


def manifest() -> dict[str, object]:
    """Return a manifest with one route that must not run twice."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-thumb",
                "host": HOST,
                "path_prefix": "/thumb/",
                "kind": "non_idempotent",
                "timeout_ms": 1500,
                "target_latency_ms": 300,
                "priority": 2,
                "service": "portal",
                "max_attempts": 1,
                "public": False,
            }
        ],
        "services": [
            {"name": "portal", "health_path": "/health", "max_connections": 110}
        ],
        "limits": LIMITS,
        "tenants": [{"name": "museum", "api_keys": [KEY], "priority": 2}],
    }


async def play(record: Record) -> list[str]:
    """Play the case; return what breaks the rule."""
    store = Store()
    await store.start()
    store.put("config", "main", manifest())
    runners = [
        LeavingRunner(
            f"i-portal-{n}", "portal", store, record, work_seconds=WORK_SECONDS
        )
        for n in range(RUNNERS_COUNT)
    ]
    for runner in runners:
        await runner.start()
    fleet = Fleet(store, record)
    answers: list[Answer] = []
    is_over = asyncio.Event()
    try:
        hosts = [fleet.add(f"front-{n}") for n in range(HOSTS_COUNT)]
        await fleet.start_all()

        async def consume(number: int) -> None:
            host = hosts[number % len(hosts)]
            channel = Channel(host, record)
            await channel.open()
            headers: dict[str, object] = {
                "Host": HOST,
                "Authorization": f"Bearer {KEY}",
                "X-Rampwick-Request-Timeout-Ms": 3000,
            }
            while not is_over.is_set():
                if channel.has_ended or channel.is_closing:
                    channel.close()
                    channel = Channel(host, record)
                    await channel.open()
                answer = await channel.call("POST", "/thumb/a", headers, b"a sheet")
                answers.append(answer)
                if not answer.is_complete:
                    channel.is_closing = True
                await asyncio.sleep(0.01)
            channel.close()

        async with asyncio.TaskGroup() as tasks:
            for number in range(CONSUMERS_COUNT):
                tasks.create_task(consume(number))
            await asyncio.sleep(WARM_UP_SECONDS)
            # A watch is cut while it waits; between two of them a host pauses.
            while store.waiting_count["servers"] < HOSTS_COUNT:
                await asyncio.sleep(0.01)
            left_at = record.now() - CUTS_SECONDS[0]
            moments: list[tuple[float, str]] = [
                (left_at, "leave"),
                (left_at + DRAIN_SECONDS + LINGER_SECONDS, "end"),
            ]
            if has_trouble():
                moments += [(left_at + seconds, "cut") for seconds in CUTS_SECONDS]
            for at_seconds, what in sorted(moments):
                await asyncio.sleep(max(0.0, at_seconds - record.now()))
                if what == "cut":
                    record.note("the store cuts the watches on the runners")
                    store.cut_watches("servers")
                elif what == "leave":
                    left_at = await runners[0].leave(store)
                    record.note(f"the entry of {runners[0].name} has gone")
                else:
                    runners[0].end()
            await asyncio.sleep(1.0)
            is_over.set()
    finally:
        fleet.end_all()
    return judge(runners[0], left_at, answers, record)


def judge(
    runner: Runner, left_at: float, answers: list[Answer], record: Record
) -> list[str]:
    """Return the requests that reached the runner after its drain time."""
    late = [run for run in runner.runs if run.at_seconds > left_at + DRAIN_SECONDS]
    by_id = {answer.request_id: answer for answer in answers}
    record.note(f"{len(answers)} requests sent")
    return [
        f"DRAIN: {run.request_id} reached {runner.name} "
        f"{run.at_seconds - left_at:.3f} s after its entry had gone, "
        f"its consumer got {by_id[run.request_id].status}"
        for run in late
        if run.request_id in by_id
    ]


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play))
