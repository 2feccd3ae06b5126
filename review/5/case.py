"""Long streams that reach machines in their rolling stop are cut at the exit.

All machines are stopped and started in turn. Consumers keep their channels until the
process is gone, and the answers of a few requests take longer than those of the others.
"""

import asyncio
import json
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "standins-2"))

from world import (
    BOUNDS,
    LIMITS,
    Answer,
    Channel,
    Engine,
    Fleet,
    Host,
    Record,
    Store,
    has_trouble,
    main,
)

HOST = "lektor.example"
KEY = "a-key-of-a-tenant"
MODEL = "m0"

HOSTS_COUNT = 4
#: Time between two machines of the rolling stop, as the site's days have it.
GAP_SECONDS = 2.0
WARM_UP_SECONDS = 12.0
#: Time from the stop of a machine to its long request; later than 3 s.
LONG_AFTER_SECONDS = 3.3
#: Events of the usual answers, and of the few that take twice what their hint says.
USUAL_EVENTS = (18, 24)
LONG_EVENTS = 50
TOKENS_PER_EVENT = 6


def manifest() -> dict[str, object]:
    """Return a manifest with the route of the stream."""
    return {
        "version": 3,
        "routes": [
            {
                "name": "r-det-note",
                "host": HOST,
                "path_prefix": "/note/",
                "kind": "stream",
                "timeout_ms": 12000,
                "target_latency_ms": 500,
                "priority": 0,
                "service": "lektor",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_aim_ms": 500,
            }
        ],
        "services": [
            {
                "name": "lektor",
                "health_path": "/health",
                "max_connections": 370,
                "engine": {
                    "slots": 64,
                    "kv_capacity_tokens": 99487,
                    "kv_token_bytes": 18432,
                    "link_mbps": 550000.0,
                    "stride": 6,
                    "max_in_flight": 12,
                    "models": [{"name": MODEL}],
                },
            }
        ],
        "limits": LIMITS,
        "tenants": [{"name": "museum", "api_keys": [KEY], "priority": 0}],
    }


class Consumer:
    """Keeps a channel to each machine and sends streams on it."""

    def __init__(self, record: Record, answers: list[Answer]) -> None:
        self._record = record
        self._answers = answers
        self._count = 0

    async def call(self, channel: Channel, events: int) -> Answer:
        """Ask for a stream of some events."""
        self._count += 1
        headers: dict[str, object] = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "X-Rampwick-Request-Timeout-Ms": 12000,
            "X-Rampwick-Model": MODEL,
            # At the median the hint is right, and it is often far off.
            "X-Rampwick-Length-Hint": USUAL_EVENTS[1] * TOKENS_PER_EVENT,
            "X-Rampwick-Token-Usage": f"300,{LONG_EVENTS * TOKENS_PER_EVENT}",
            "X-Rampwick-Prefix-Hash": f"aa:120,bb:80,{self._count:x}:100",
        }
        body = json.dumps({"events": events}).encode()
        answer = await channel.call("POST", "/note/a", headers, body)
        self._answers.append(answer)
        return answer


async def play(record: Record) -> list[str]:
    """Play the case; return what breaks the rule."""
    store = Store()
    await store.start()
    store.put("config", "main", manifest())
    store.put("versions", MODEL, {"model": MODEL, "version": 1})
    runners = [
        Engine(f"i-lektor-{n}", "lektor", store, record, model=MODEL) for n in (1, 2)
    ]
    for runner in runners:
        await runner.start()
    fleet = Fleet(store, record)
    answers: list[Answer] = []
    stops: dict[str, float] = {}
    owners: dict[str, str] = {}
    consumer = Consumer(record, answers)
    try:
        hosts = [fleet.add(f"front-{n}") for n in range(1, HOSTS_COUNT + 1)]
        await fleet.start_all()
        is_over = asyncio.Event()

        async def keep_busy(host: Host) -> None:
            """Send short streams on one channel until it ends, then on a new one."""
            channel: Channel | None = None
            while not is_over.is_set():
                try:
                    if channel is None or channel.has_ended or channel.is_closing:
                        channel = Channel(host, record)
                        await channel.open()
                    answer = await consumer.call(channel, random.randint(*USUAL_EVENTS))
                    owners[answer.request_id] = host.name
                    if not answer.is_complete:
                        channel.is_closing = True
                        await asyncio.sleep(0.2)
                except (OSError, TimeoutError):
                    channel = None
                    await asyncio.sleep(0.3)
                await asyncio.sleep(0.05)

        async def send_long(host: Host, channel: Channel) -> None:
            """Send a long stream on a channel that was kept since before the stop."""
            await asyncio.sleep(LONG_AFTER_SECONDS)
            answer = await consumer.call(channel, LONG_EVENTS)
            owners[answer.request_id] = host.name

        async def restart(host: Host) -> None:
            """Stop a machine as the platform does, and start it again."""
            record.note(f"SIGTERM to {host.name}")
            stops[host.name] = record.now()
            host.signal(signal.SIGTERM)
            end_seconds = time.monotonic() + BOUNDS["grace_s"]
            while not host.has_ended and time.monotonic() < end_seconds:
                await asyncio.sleep(0.05)
            record.note(f"{host.name} has ended: {host.has_ended}")
            if not host.has_ended:
                host.signal(signal.SIGKILL)
            fleet.start(host)

        async with asyncio.TaskGroup() as tasks:
            busy = [
                tasks.create_task(keep_busy(host)) for host in hosts for _ in range(6)
            ]
            await asyncio.sleep(WARM_UP_SECONDS)
            idle = []
            for host in hosts:
                channel = Channel(host, record)
                await channel.open()
                await consumer.call(channel, random.randint(*USUAL_EVENTS))
                idle.append(channel)
            work = []
            for host, channel in zip(hosts, idle, strict=True):
                if has_trouble():
                    work.append(tasks.create_task(restart(host)))
                work.append(tasks.create_task(send_long(host, channel)))
                await asyncio.sleep(GAP_SECONDS)
            for task in work:
                await task
            is_over.set()
            for task in busy:
                await task
    finally:
        fleet.end_all()
    return judge(answers, stops, owners, record)


def judge(
    answers: list[Answer],
    stops: dict[str, float],
    owners: dict[str, str],
    record: Record,
) -> list[str]:
    """Return the requests that a machine read and cut in its planned stop."""
    breaks = []
    grace_seconds = BOUNDS["grace_s"]
    for answer in answers:
        host = owners.get(answer.request_id, "")
        stopped_at = stops.get(host, 0.0)
        since = answer.sent_at_seconds - stopped_at
        was_stopped = 0.0 < stopped_at < answer.ended_at_seconds
        is_in_time = answer.ended_at_seconds <= stopped_at + grace_seconds + 1.0
        if answer.status != 200 or answer.is_complete:
            continue
        if not (was_stopped and is_in_time):
            record.note(f"{answer.request_id} was cut outside of a stop")
            continue
        if since <= 3.0:
            record.note(f"{answer.request_id} was cut, sent {since:.3f} s after")
            continue
        held = answer.ended_at_seconds - answer.sent_at_seconds
        breaks.append(
            f"LOST: {answer.request_id}, sent to {host} {since:.3f} s after its "
            f"SIGTERM and run, was cut after {held:.3f} s of 12 s"
        )
    return breaks


if __name__ == "__main__":
    sys.exit(main(str(Path(__file__).parent), play))
