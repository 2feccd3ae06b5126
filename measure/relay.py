"""Benchmark of rampwickd: added latency, CPU time, memory, requests per second.

Starts a platform, runners and one rampwickd as processes and reads the daemon's metrics
before and after each load.
"""

import argparse
import json
import re
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import anyio
import httpx
import numpy as np
from tools.demo import SETTINGS, Processes, bearer, run_cli

from rampwick_schema import HostEntry, unstructure

RUNNERS_COUNT = 3
TIMEOUT_SECONDS = 60.0


class Setup:
    """Started processes and their addresses."""

    def __init__(self, stack: ExitStack, step_seconds: float) -> None:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = Processes(stack)
        standin = ("-m", "rampwick_standin")
        line = processes.start("platform", *standin, "platform")
        platform = "http://" + line.split()[-1]
        entries = []
        self.runners = []
        for index in range(RUNNERS_COUNT):
            name = f"lektor-{index}"
            options = ("--slots-count", "2000", "--step-seconds", str(step_seconds))
            line = processes.start(name, *standin, "runner", "--name", name, *options)
            self.runners.append(f"http://{line.split()[-1]}")
            entries.append(HostEntry(name, "runner", "trnava", line.split()[-1]))
        path = folder / "host.toml"
        path.write_text(
            SETTINGS.format(name="entry-1", hall="trnava", platform=platform)
            + "[queue]\nmax_waiting_count = 100000\n"
        )
        line = processes.start(
            "rampwickd",
            "-m",
            "rampwick_router",
            str(path),
            "--log",
            str(folder / "log"),
        )
        found = dict(program.split("=") for program in line.split() if "=" in program)
        self.entry = f"http://{found['entry']}"
        self.admin = f"http://{found['admin']}"
        hosts = [unstructure(entry) for entry in entries]
        httpx.put(f"{platform}/v1/hosts", json=hosts).raise_for_status()
        run_cli(platform, "tree", "create", "/w")
        out = run_cli(platform, "tree", "create", "/w/a", "--new-key")
        self.key = out.rsplit('"bearer_key": "', 1)[1].split('"')[0]
        self._wait_until_ready()

    def _wait_until_ready(self) -> None:
        ends_seconds = time.monotonic() + TIMEOUT_SECONDS
        while time.monotonic() < ends_seconds:
            status = httpx.get(f"{self.admin}/status").json()
            reporting_runners = [item for item in status["upstreams"] if item["life"]]
            if len(reporting_runners) == RUNNERS_COUNT and status["revision"] == 2:
                return
            time.sleep(0.1)
        raise RuntimeError("rampwickd did not become ready in time")

    def processor_seconds(self) -> float:
        """Return the CPU time used by rampwickd so far."""
        text = httpx.get(f"{self.admin}/metrics").text
        found = re.search(r"^rampwick_processor_seconds (\S+)", text, re.M)
        assert found is not None
        return float(found.group(1))

    def memory_bytes(self, process_id: int) -> int:
        """Return the resident memory of a process."""
        text = Path(f"/proc/{process_id}/status").read_text()
        return int(text.split("VmRSS:")[1].split()[0]) * 1024


async def send(client, url: str, key: str, number: int, tokens: int, times: list):
    """Send one streamed request and append its time to the first chunk."""
    body = {
        "model": "lektor",
        "prompt": f"number {number} ",
        "max_tokens": tokens,
        "stream": True,
    }
    headers = {**bearer(key), "X-Request-Id": f"direct-{time.monotonic_ns()}"}
    started_seconds = time.monotonic()
    first_seconds = None
    async with client.stream(
        "POST", f"{url}/v1/completions", json=body, headers=headers
    ) as response:
        async for _ in response.aiter_raw():
            first_seconds = first_seconds or time.monotonic() - started_seconds
    times.append(first_seconds)


async def send_requests(urls, key, rate: float, count: int, tokens: int) -> list[float]:
    """Send requests at a constant rate; return the times to the first chunk."""
    times: list[float] = []
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=None)
    async with (
        httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_SECONDS, limits=limits
        ) as client,
        anyio.create_task_group() as tasks,
    ):
        for number in range(count):
            url = urls[number % len(urls)]
            tasks.start_soon(send, client, url, key, number, tokens, times)
            await anyio.sleep(1.0 / rate)
    return times


def measure_latency(setup: Setup, result: dict) -> None:
    """Compare the time to the first chunk with and without rampwickd."""
    for name, urls in (("direct", setup.runners), ("through", [setup.entry])):
        anyio.run(send_requests, urls, setup.key, 50.0, 100, 4)
        times = anyio.run(send_requests, urls, setup.key, 50.0, 750, 4)
        for mark in (50, 99):
            value = float(np.percentile(times, mark)) * 1000
            result[f"first_piece_{name}_p{mark}_ms"] = round(value, 2)


def measure_chunks(setup: Setup, result: dict) -> None:
    """Measure the CPU time per relayed chunk and per request."""
    idle = setup.processor_seconds()
    time.sleep(10.0)
    idle_rate = (setup.processor_seconds() - idle) / 10.0
    result["processor_idle_ratio"] = round(idle_rate, 4)
    costs = []
    for tokens in (4, 200):
        before, started_seconds = setup.processor_seconds(), time.monotonic()
        count = 300 if tokens == 4 else 60
        anyio.run(send_requests, [setup.entry], setup.key, 20.0, count, tokens)
        idle = idle_rate * (time.monotonic() - started_seconds)
        costs.append((setup.processor_seconds() - before - idle) / count)
    per_chunk = (costs[1] - costs[0]) / 196
    result["processor_per_piece_us"] = round(per_chunk * 1e6, 1)
    result["processor_per_request_us"] = round((costs[0] - 4 * per_chunk) * 1e6, 1)


def measure_rate(setup: Setup, result: dict) -> None:
    """Measure the throughput of one process in short requests per second."""

    async def run() -> float:
        times: list[float] = []
        limits = httpx.Limits(max_connections=64, max_keepalive_connections=64)
        async with httpx.AsyncClient(
            trust_env=False, timeout=TIMEOUT_SECONDS, limits=limits
        ) as client:

            async def loop(worker: int) -> None:
                for number in range(25):
                    at = worker * 1000 + number
                    await send(client, setup.entry, setup.key, at, 1, times)

            started_seconds = time.monotonic()
            async with anyio.create_task_group() as tasks:
                for worker in range(32):
                    tasks.start_soon(loop, worker)
            return len(times) / (time.monotonic() - started_seconds)

    before = setup.processor_seconds()
    rate = anyio.run(run)
    used = setup.processor_seconds() - before
    result["requests_per_second"] = round(rate, 1)
    result["requests_per_processor_second"] = round(800 / used, 1)


def measure_memory(setup: Setup, result: dict) -> None:
    """Measure the memory with a thousand open streams."""
    process_id = find_process("rampwick_router")
    before = setup.memory_bytes(process_id)
    peak = 0

    async def run() -> None:
        nonlocal peak
        times: list[float] = []
        limits = httpx.Limits(max_connections=None)
        async with (
            httpx.AsyncClient(
                trust_env=False, timeout=TIMEOUT_SECONDS, limits=limits
            ) as client,
            anyio.create_task_group() as tasks,
        ):
            for number in range(1000):
                tasks.start_soon(
                    send, client, setup.entry, setup.key, number, 10_000, times
                )
                await anyio.sleep(0.01)
            await anyio.sleep(2.0)
            peak = setup.memory_bytes(process_id)
            result["open_streams"] = len(open_requests(setup))
            tasks.cancel_scope.cancel()

    anyio.run(run)
    result["memory_before_mb"] = round(before / 1e6, 1)
    result["memory_with_streams_mb"] = round(peak / 1e6, 1)


def open_requests(setup: Setup) -> range:
    """Return a range whose length is the number of open requests of rampwickd."""
    status = httpx.get(f"{setup.admin}/status", timeout=TIMEOUT_SECONDS).json()
    return range(status["open_count"])


def find_process(program: str) -> int:
    """Return the id of a process with the program among its command-line arguments."""
    for path in Path("/proc").glob("[0-9]*/cmdline"):
        argv = path.read_bytes().split(b"\0")
        if program.encode() in argv:
            return int(path.parent.name)
    raise RuntimeError(f"no process {program}")


def main(argv: list[str] | None = None) -> None:
    """Run all measurements and print the figures as JSON."""
    parser = argparse.ArgumentParser(prog="measure relay", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("out/relay.json"))
    parser.add_argument("--skip-memory", action="store_true")
    arguments = parser.parse_args(argv)
    result: dict[str, float] = {}
    with ExitStack() as stack:
        setup = Setup(stack, step_seconds=0.02)
        measure_latency(setup, result)
        measure_chunks(setup, result)
        measure_rate(setup, result)
    if not arguments.skip_memory:
        with ExitStack() as stack:
            # Slow tokens keep the streams open, so that only memory is measured.
            measure_memory(Setup(stack, step_seconds=5.0), result)
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")
    print(json.dumps(result, indent=1))


if __name__ == "__main__":
    main(sys.argv[1:])
