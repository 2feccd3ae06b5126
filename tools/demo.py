"""Demo of rampwick with stand-in upstreams in real processes.

Starts a platform, five runners, a plain service and four rampwickd in two halls,
sends a few hundred streamed requests with nested shared prefixes, prints a table of the
results and stops everything.
"""

import argparse
import random
import statistics
import subprocess
import sys
import tempfile
import time
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx

from rampwick_schema import HostEntry, unstructure

HALLS = ("bratislava-a", "trnava")
RUNNERS_COUNT = 5
HOSTS_COUNT = 4

#: Timeout for the hosts to become ready and receive the tree.
START_SECONDS = 20.0
STOP_SECONDS = 20.0

SETTINGS = """
[host]
name = "{name}"
hall = "{hall}"
region = "sk-west"
[platform]
url = "{platform}"
host_list_interval_seconds = 0.5
[peers]
secret = "the demo's secret"
[life]
balancer_delay_seconds = 0.2
"""


@attrs.frozen
class Group:
    """Traffic of one workspace."""

    path: str
    priority_class: str
    requests_count: int
    guide_bytes: int
    collections_count: int
    collection_bytes: int
    item_bytes: int
    answer_tokens: int


GROUPS = (
    Group("/herbaria/labels", "batch", 120, 16_000, 4, 4_000, 600, 8),
    Group("/herbaria/drafts", "interactive", 80, 8_000, 4, 2_000, 400, 24),
    Group("/susret/verdicts", "interactive", 80, 6_000, 10, 6_000, 400, 16),
    Group("/susret/messages", "portal", 40, 3_000, 4, 1_000, 200, 12),
)
SERVICE_CALLS_COUNT = 40


@attrs.frozen
class Result:
    """Outcome of one request."""

    group: str
    priority_class: str
    status: int
    first_seconds: float = 0.0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    is_whole: bool = False


class Processes:
    """Started processes, which are stopped in reverse order."""

    def __init__(self, stack: ExitStack) -> None:
        self._stack = stack
        self.failed: list[str] = []

    def start(self, label: str, *command_arguments: str) -> str:
        """Start a process; return the line that it prints once it is listening."""
        process = subprocess.Popen(
            [sys.executable, *command_arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            text=True,
        )
        self._stack.callback(self._stop, label, process)
        assert process.stdout is not None
        line = process.stdout.readline().strip()
        if not line:
            raise RuntimeError(f"{label} exited without printing an address")
        return line

    def _stop(self, label: str, process: subprocess.Popen) -> None:
        process.terminate()
        try:
            code = process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            code = process.wait()
        if code:
            self.failed.append(f"{label} exited with {code}")


def main() -> int:
    """Run the demo; return 1 if a request failed or a process exited with an error."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--requests-per-second", type=float, default=40.0)
    arguments = parser.parse_args()
    started_seconds = time.monotonic()
    with ExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        processes = Processes(stack)
        platform, entries = start_all(processes, folder)
        keys = create_tree(platform)
        print(
            f"started in {time.monotonic() - started_seconds:.1f} s; sending requests"
        )
        results = anyio.run(send_all, entries, keys, arguments)
    print_table(results)
    for line in processes.failed:
        print(f"not stopped cleanly: {line}")
    cut = [item for item in results if item.status == 200 and not item.is_whole]
    refused = [item for item in results if item.status != 200]
    print(f"{len(results)} requests, {len(refused)} refused, {len(cut)} cut")
    return 1 if cut or refused or processes.failed else 0


def start_all(processes: Processes, folder: Path) -> tuple[str, list[str]]:
    """Start everything; return the platform's URL and the entry URLs."""
    standin = ("-m", "rampwick_standin")
    line = processes.start("platform", *standin, "platform")
    platform = "http://" + line.split()[-1]
    host_entries = []
    for index in range(RUNNERS_COUNT):
        name = f"lektor-{index + 1}"
        line = processes.start(
            name, *standin, "runner", "--name", name, "--cache-tokens", "24000"
        )
        hall = HALLS[index % len(HALLS)]
        host_entries.append(HostEntry(name, "runner", hall, line.split()[-1]))
    line = processes.start("portal", *standin, "service", "--name", "portal-1")
    host_entries.append(
        HostEntry("portal-1", "service", HALLS[0], line.split()[-1], group="portal")
    )
    entries = []
    for index in range(HOSTS_COUNT):
        name, hall = f"entry-{index + 1}", HALLS[index % len(HALLS)]
        path = folder / f"{name}.toml"
        path.write_text(SETTINGS.format(name=name, hall=hall, platform=platform))
        line = processes.start(
            name, "-m", "rampwick_router", str(path), "--log", str(folder / name)
        )
        addresses = dict(word.split("=") for word in line.split() if "=" in word)
        host_entries.append(HostEntry(name, "entry", hall, addresses["peer"]))
        entries.append(f"http://{addresses['entry']}")
        admin = f"http://{addresses['admin']}"
    httpx.put(
        f"{platform}/v1/hosts", json=[unstructure(entry) for entry in host_entries]
    ).raise_for_status()
    wait_ready(admin)
    return platform, entries


def wait_ready(admin: str) -> None:
    """Wait until a host has found all runners and peers."""
    ends_seconds = time.monotonic() + START_SECONDS
    while time.monotonic() < ends_seconds:
        status = httpx.get(f"{admin}/status").json()
        reporting_runners = [item for item in status["upstreams"] if item["life"]]
        if (
            len(reporting_runners) == RUNNERS_COUNT
            and len(status["peers"]) == HOSTS_COUNT - 1
        ):
            return
        time.sleep(0.1)
    raise RuntimeError("hosts did not discover all runners and peers in time")


def create_tree(platform: str) -> dict[str, str]:
    """Create the workspaces with the rampwick command; return their keys."""
    keys = {}
    for path in ("/herbaria", "/susret"):
        run_cli(platform, "tree", "create", path)
    for group in GROUPS:
        out = run_cli(platform, "tree", "create", group.path, "--new-key")
        keys[group.path] = out.rsplit('"bearer_key": "', 1)[1].split('"')[0]
    return keys


def run_cli(platform: str, *command_arguments: str) -> str:
    """Run a rampwick command; return its standard output."""
    done = subprocess.run(
        [sys.executable, "-m", "rampwick_cli", *command_arguments, "--json"],
        env={"RAMPWICK_PLATFORM": platform},
        capture_output=True,
        text=True,
        check=True,
    )
    return done.stdout


async def send_all(
    entries: list[str], keys: dict[str, str], arguments: argparse.Namespace
) -> list[Result]:
    """Send all requests with random spacing; return their results."""
    rng = random.Random(arguments.seed)
    groups = [group for group in GROUPS for _ in range(group.requests_count)]
    groups += [None] * SERVICE_CALLS_COUNT
    rng.shuffle(groups)
    results: list[Result] = []
    limits = httpx.Limits(max_connections=None)
    async with (
        httpx.AsyncClient(trust_env=False, timeout=60.0, limits=limits) as client,
        anyio.create_task_group() as tasks,
    ):
        await wait_tree(client, entries, keys)
        for group in groups:
            entry = rng.choice(entries)
            if group is None:
                key = keys[GROUPS[0].path]
                tasks.start_soon(send_service, client, entry, key, results)
            else:
                prompt = make_messages(group, rng)
                key = keys[group.path]
                tasks.start_soon(send_model, client, entry, key, group, prompt, results)
            await anyio.sleep(rng.expovariate(arguments.requests_per_second))
    return results


async def wait_tree(
    client: httpx.AsyncClient, entries: list[str], keys: dict[str, str]
) -> None:
    """Wait until every host accepts the last created key."""
    key = list(keys.values())[-1]
    for entry in entries:
        with anyio.fail_after(START_SECONDS):
            status = 401
            while status == 401:
                response = await client.get(f"{entry}/v1/models", headers=bearer(key))
                status = response.status_code
                await anyio.sleep(0.05)


def bearer(key: str) -> dict[str, str]:
    """Return the authorization header for a key."""
    return {"Authorization": f"Bearer {key}"}


def make_messages(group: Group, rng: random.Random) -> list[dict[str, str]]:
    """Return a prompt of three nested levels: guide, collection, item."""
    collection = rng.randrange(group.collections_count)
    texts = (
        repeat_to_length(f"guide of {group.path}. ", group.guide_bytes),
        repeat_to_length(
            f"collection {collection} of {group.path}. ", group.collection_bytes
        ),
        repeat_to_length(f"item {rng.random()}. ", group.item_bytes),
    )
    roles = ("system", "user", "user")
    return [
        {"role": role, "content": text} for role, text in zip(roles, texts, strict=True)
    ]


def repeat_to_length(text: str, length: int) -> str:
    """Return a text repeated to a length."""
    return (text * (length // len(text) + 1))[:length]


async def send_model(client, entry, key, group, messages, results) -> None:
    """Send one streamed request and read the whole response."""
    body = {
        "model": "lektor",
        "messages": messages,
        "max_tokens": group.answer_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    headers = {**bearer(key), "Rampwick-Class": group.priority_class}
    started_seconds = time.monotonic()
    first_seconds, usage, is_whole = 0.0, {}, False
    url = f"{entry}/v1/chat/completions"
    async with client.stream("POST", url, json=body, headers=headers) as response:
        async for line in response.aiter_lines():
            first_seconds = first_seconds or time.monotonic() - started_seconds
            is_whole = is_whole or line == "data: [DONE]"
            if '"usage"' in line:
                usage = httpx.Response(200, content=line[6:]).json()["usage"]
    details = usage.get("prompt_tokens_details", {})
    results.append(
        Result(
            group=group.path,
            priority_class=group.priority_class,
            status=response.status_code,
            first_seconds=first_seconds,
            prompt_tokens=usage.get("prompt_tokens", 0),
            cached_tokens=details.get("cached_tokens", 0),
            is_whole=is_whole,
        )
    )


async def send_service(client, entry, key, results) -> None:
    """Call the plain service once."""
    started_seconds = time.monotonic()
    url = f"{entry}/services/portal/thumbnail?sheet=1"
    headers = {**bearer(key), "Rampwick-Class": "portal"}
    response = await client.get(url, headers=headers)
    results.append(
        Result(
            group="portal service",
            priority_class="portal",
            status=response.status_code,
            first_seconds=time.monotonic() - started_seconds,
            is_whole=response.status_code == 200,
        )
    )


def print_table(results: list[Result]) -> None:
    """Print one line per workspace and priority class."""
    print(
        f"{'workspace':<18}{'class':<12}{'requests':>9}{'answered':>9}{'refused':>8}"
        f"{'hit rate':>9}{'p50 ms':>8}{'p95 ms':>8}{'p99 ms':>8}{'recomputed':>11}"
    )
    names = sorted({(item.group, item.priority_class) for item in results})
    for name in names:
        group_results = [
            item for item in results if (item.group, item.priority_class) == name
        ]
        answered = [item for item in group_results if item.is_whole]
        prompt = sum(item.prompt_tokens for item in answered)
        cached = sum(item.cached_tokens for item in answered)
        rate = f"{cached / prompt:.3f}" if prompt else "-"
        times = sorted(item.first_seconds * 1000 for item in answered) or [0.0]
        percentiles = (
            statistics.quantiles(times, n=100) if len(times) > 1 else times * 99
        )
        print(
            f"{name[0]:<18}{name[1]:<12}{len(group_results):>9}{len(answered):>9}"
            f"{len(group_results) - len(answered):>8}{rate:>9}{percentiles[49]:>8.0f}"
            f"{percentiles[94]:>8.0f}{percentiles[98]:>8.0f}{prompt - cached:>11}"
        )


if __name__ == "__main__":
    sys.exit(main())
