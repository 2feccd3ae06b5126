"""Answers without a length that are reset in transit while a host stands still."""

import asyncio
import re
import signal
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from standins.fleet import Fleet, Host  # noqa: E402
from standins.http import encode, read_chunks, read_head  # noqa: E402
from standins.manifest import (  # noqa: E402
    HOST,
    KEY,
    MODEL,
    MODEL_SERVICE,
    PATHS,
    make_manifest,
)
from standins.proxy import Proxy  # noqa: E402
from standins.record import Record  # noqa: E402
from standins.runner import Runner  # noqa: E402
from standins.script import BROKEN, HELD, NOT_RUN, run_script  # noqa: E402
from standins.store import Store  # noqa: E402

ZONES = ("bratislava-a", "bratislava-b", "trnava")

#: Each runner's stream: its events and the pause before each, below the 500 ms that
#: the route allows.
EVENTS_COUNT = 15
EVENT_SECONDS = 0.3

ROUNDS_COUNT = 3
STREAMS_COUNT = 24
#: Time after the first stream of a round at which the host is stopped.
FREEZE_AT_SECONDS = 1.5
#: The site file's dose is 4.0 s; consumers give a stream up after a gap of 4 s.
FREEZE_SECONDS = 2.5
#: The dose in ``fleetbench kinds``: half of the connections of one machine.
RESET_RATIO = 0.5
RESET_AFTER_SECONDS = 0.05

EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)


class Answer:
    """What a consumer received."""

    def __init__(self) -> None:
        self.status = 0
        #: Whether the answer ended as complete.
        self.is_whole = False
        self.body = b""

    def ids(self) -> list[int]:
        """Return the ids of the events."""
        return [int(number) for number in EVENT_ID.findall(self.body)]


async def send(host: Host, request_id: str, record: Record) -> Answer:
    """Send one stream's request and read its answer."""
    answer = Answer()
    headers = {
        "Host": HOST,
        "X-Rampwick-Request-Id": request_id,
        "X-Rampwick-Model": MODEL,
        "X-Rampwick-Token-Usage": "826,49",
        "X-Rampwick-Prefix-Hash": f"5c1e07a2:119,91bd3f06:79,{request_id}:628",
        "X-Rampwick-Request-Timeout-Ms": "12000",
        "Authorization": f"Bearer {KEY}",
    }
    record("client", request_id, "sent")
    reader, writer = await asyncio.open_connection(host.ip, host.front)
    try:
        async with asyncio.timeout(12):
            target = f"POST {PATHS['det-note']}2f HTTP/1.1"
            writer.write(encode(target, headers, b"x" * 1700))
            head = await read_head(reader)
            if head is not None:
                answer.status = head.status
                await _read_body(reader, head.headers, answer)
    except (OSError, EOFError, TimeoutError, ValueError) as error:
        record("client", request_id, f"cut: {error!r}")
    finally:
        writer.close()
    end = "whole" if answer.is_whole else "cut"
    record("client", request_id, f"answer {answer.status} {end}, {answer.ids()}")
    return answer


async def _read_body(
    reader: asyncio.StreamReader, headers: dict[str, str], answer: Answer
) -> None:
    if "chunked" in headers.get("transfer-encoding", ""):
        answer.body = await read_chunks(reader)
    else:
        answer.body = await reader.readexactly(int(headers["content-length"]))
    answer.is_whole = True


async def play(record: Record, has_trouble: bool) -> int:
    """Play the case; return the exit code."""
    store = Store()
    await store.start("127.0.0.1")
    store.put("config", "main", make_manifest())
    store.put("versions", MODEL, {"model": MODEL, "version": 1})
    proxies = []
    for zone in ZONES:
        runner = Runner(store, record, MODEL_SERVICE, zone)
        runner.events_count, runner.event_seconds = EVENTS_COUNT, EVENT_SECONDS
        runner.is_chunked = False
        await runner.start()
        proxy = Proxy(runner.address)
        await proxy.start()
        proxies.append(proxy)
        runner.public_address = proxy.address
        runner.register()
    fleet = Fleet(store.address, [(f"front-{zone}-1", zone) for zone in ZONES[:2]])
    answers: dict[str, Answer] = {}
    try:
        await fleet.start()
        await asyncio.sleep(1.0)
        for number in range(ROUNDS_COUNT):
            answers |= await play_round(number, fleet, proxies, record, has_trouble)
    finally:
        fleet.end()
    return judge(record, answers)


async def play_round(
    number: int,
    fleet: Fleet,
    proxies: list[Proxy],
    record: Record,
    has_trouble: bool,
) -> dict[str, Answer]:
    """Send streams to one host; stop it and reset a part of its connections."""
    host = fleet.hosts[0]
    names = [f"{number:08x}{index:08x}" for index in range(STREAMS_COUNT)]
    tasks = [asyncio.create_task(send(host, name, record)) for name in names]
    await asyncio.sleep(FREEZE_AT_SECONDS)
    if has_trouble:
        host.signal(signal.SIGSTOP)
        record("trouble", host.name, "stopped")
        await asyncio.sleep(RESET_AFTER_SECONDS)
        count = sum(proxy.reset(RESET_RATIO) for proxy in proxies)
        record("trouble", host.name, f"{count} connections reset in transit")
        await asyncio.sleep(FREEZE_SECONDS - RESET_AFTER_SECONDS)
        host.signal(signal.SIGCONT)
        record("trouble", host.name, "continued")
    return dict(zip(names, await asyncio.gather(*tasks), strict=True))


def judge(record: Record, answers: dict[str, Answer]) -> int:
    """Check that no answer that was cut short ended as complete."""
    whole = list(range(1, EVENTS_COUNT + 1))
    ended = {name: item for name, item in answers.items() if item.status == 200}
    short = [
        name for name, item in ended.items() if item.is_whole and item.ids() != whole
    ]
    for name in short:
        record("judge", name, f"ended as complete with events {ended[name].ids()}")
    cut = sum(not item.is_whole for item in ended.values())
    summary = (
        f"{len(answers)} streams, {len(ended)} with a success, {cut} visibly cut, "
        f"{len(short)} ended as complete before the last event"
    )
    record("judge", "all", summary)
    print(summary)
    if not any(item.is_whole for item in ended.values()):
        return NOT_RUN
    return BROKEN if short else HELD


if __name__ == "__main__":
    sys.exit(run_script(HERE, play))
