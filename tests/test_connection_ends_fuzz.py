"""Random ends of connections and attempts beside random changes of the configuration.

``RAMPWICK_ENDS_CASES`` sets the number of cases, ``RAMPWICK_ENDS_SEED`` the first seed:

    RAMPWICK_ENDS_CASES=10000 python -m pytest tests/test_connection_ends_fuzz.py
"""

import os
import random
from collections import Counter

import anyio
import attrs
from testtools import TestCase

from rampwick_schema import CallerLimits, Node, WeightedService

from .scripted import (
    HOST,
    KEY,
    Hangup,
    MemoryStore,
    make_tree,
    read_response,
    run_routed,
)

CASES_COUNT = int(os.environ.get("RAMPWICK_ENDS_CASES", "200"))
FIRST_SEED = int(os.environ.get("RAMPWICK_ENDS_SEED", "1"))

#: Cases at one host, each with a request of its own.
CASES_AT_ONCE = 25

CASE_TIMEOUT_SECONDS = 20.0

PATHS = ("/once/1", "/again/1", "/stream/1", "/brittle/1", "/open/1")

UPSTREAMS = ("sound", "sound", "slow", "reset", "close", "cut", "refuse")
CALLERS = ("patient", "patient", "patient", "leaves", "pieces", "pipelines")

#: Reasons for which a request may end without a complete response.
STATED_REASONS = {
    "caller_left",
    "upstream_failed",
    "no_upstream",
    "no_retry_left",
    "deadline_passed",
    "deadline_unreachable",
    "unknown_key",
    "unknown_route",
    "leaving",
}


@attrs.frozen
class Case:
    """One request: how its upstreams and its caller behave."""

    seed: int
    path: str
    body_bytes: int
    upstream: str
    caller: str
    pause_seconds: float

    @classmethod
    def draw(cls, seed):
        """Draw a case."""
        rng = random.Random(seed)
        return cls(
            seed,
            rng.choice(PATHS),
            rng.choice([0, 10, 100_000, 8_000_000]),
            rng.choice(["sound", "sound", "slow", "reset", "close", "cut", "refuse"]),
            rng.choice(
                ["patient", "patient", "patient", "leaves", "pieces", "pipelines"]
            ),
            rng.uniform(0.0, 0.05),
        )


class CountingStore(MemoryStore):
    """Counts calls as the platform's client does, for the log lines of the host."""

    def __init__(self):
        super().__init__()
        self.calls = Counter()

    def _begin(self, call):
        self.calls[call] += 1


def change_tree(rng, revision):
    """Return a configuration that differs in one way from the usual one."""
    tree = make_tree(revision)
    routing, nodes = tree.routing, tree.nodes
    way = rng.choice(
        ["route", "target", "shorter", "longer", "tenant", "key", "limits", "idle", ""]
    )
    position = rng.randrange(len(routing.routes))
    routes = list(routing.routes)
    route = routes[position]
    if way == "route":
        del routes[position]
    elif way == "target":
        other = "notes" if route.targets[0].service == "labels" else "labels"
        routes[position] = attrs.evolve(route, targets=[WeightedService(other)])
    elif way in ("shorter", "longer"):
        timeout_seconds = 2.0 if way == "shorter" else 9.0
        routes[position] = attrs.evolve(route, timeout_seconds=timeout_seconds)
    elif way == "tenant":
        nodes = {"/": Node()}
    elif way == "key":
        nodes = {"/": Node(), "/t": attrs.evolve(nodes["/t"], key_hashes=["0" * 64])}
    limits = routing.caller_limits
    if way == "limits":
        limits = CallerLimits(max_body_bytes=1000)
    elif way == "idle":
        limits = CallerLimits(idle_timeout_seconds=0.01)
    routing = attrs.evolve(routing, routes=routes, caller_limits=limits)
    return attrs.evolve(tree, routing=routing, nodes=nodes)


def script_of(cases):
    """Return a script that behaves as the case of its request says."""

    async def script(exchange):
        case = cases[exchange.request_id]
        way = case.upstream
        await anyio.sleep(case.pause_seconds)
        if way == "refuse":
            await exchange.answer(b"", 503, b"Rampwick-Not-Run: refused")
            return
        if way in ("reset", "close"):
            if way == "reset":
                exchange.reset()
            raise Hangup
        if way == "slow":
            await anyio.sleep(4 * case.pause_seconds)
        if not case.path.startswith(("/stream", "/brittle")):
            if way == "cut":
                await exchange.send(exchange.head(length=10) + b"half")
                raise Hangup
            await exchange.answer()
            return
        await exchange.send(
            exchange.head(
                extra=b"Content-Type: text/event-stream\r\nContent-Length: 30"
            )
        )
        for number in range(2):
            await exchange.send(b"id: %d\ndata: 1\n\n" % number)
            await anyio.sleep(case.pause_seconds)
            if way == "cut":
                raise Hangup

    return script


async def send(case, host):
    """Send the request of a case; return the response unless the caller left."""
    address, _, port = host.address.partition(":")
    head = (
        f"POST {case.path} HTTP/1.1\r\n"
        f"Host: {HOST}\r\n"
        f"Authorization: Bearer {KEY}\r\n"
        f"Rampwick-Request-Id: r{case.seed}\r\n"
        f"Content-Length: {case.body_bytes}\r\n\r\n"
    ).encode()
    data = head + b"x" * case.body_bytes
    async with await anyio.connect_tcp(address, int(port)) as stream:
        half = len(data) // 2 if case.caller == "pieces" else len(data)
        await stream.send(data[:half])
        if case.caller == "pieces":
            await anyio.sleep(case.pause_seconds)
            await stream.send(data[half:])
        if case.caller == "leaves":
            await anyio.sleep(2 * case.pause_seconds)
            return None
        if case.caller == "pipelines":
            await stream.send(head[: len(head) // 2])
        return await read_response(stream)


class FuzzTest(TestCase):
    def test_requests_end_whole_or_for_a_stated_reason(self):
        violations = []
        for first in range(FIRST_SEED, FIRST_SEED + CASES_COUNT, CASES_AT_ONCE):
            last = min(first + CASES_AT_ONCE, FIRST_SEED + CASES_COUNT)
            violations += anyio.run(run_cases, range(first, last))
        self.assertEqual([], violations)


async def run_cases(seeds):
    """Run cases at one host; return what broke the promise."""
    rng = random.Random(f"changes {seeds[0]}")
    cases = {f"r{seed}": Case.draw(seed) for seed in seeds}
    cut, violations = [], []
    end = rng.choice(["", "", "drain", "force"])

    async def run_case(case):
        await anyio.sleep(case.pause_seconds * 8)
        try:
            with anyio.fail_after(CASE_TIMEOUT_SECONDS):
                response = await send(case, host)
        except anyio.BrokenResourceError as error:
            # A forced shutdown waits for no request that is still being sent.
            if end != "force":
                violations.append((case, repr(error)))
            return
        except TimeoutError as error:
            violations.append((case, repr(error)))
            return
        if response is not None and not response.is_whole:
            cut.append((case, response.status))
            if not response.status:
                violations.append((case, "neither an answer nor a refusal"))

    services = {"labels": ["a", "b"], "notes": ["c", "d"]}
    async with run_routed(services, store=CountingStore()) as (host, servers):
        for server in servers.values():
            server.scripts = [script_of(cases)]
        async with anyio.create_task_group() as tasks:
            for case in cases.values():
                tasks.start_soon(run_case, case)
            for revision in range(2, 8):
                await anyio.sleep(rng.uniform(0.0, 0.1))
                host.store.write("config/main", change_tree(rng, revision))
            if end:
                host.daemon.lifecycle.begin_stop()
                if end == "force":
                    await anyio.sleep(rng.uniform(0.0, 0.1))
                    host.daemon.lifecycle.begin_stop()
                await host.daemon.stop()
        samples = host.daemon._context.metrics.unanswered.collect()[0].samples
    counts = {
        sample.labels["reason"]: sample.value
        for sample in samples
        if sample.name.endswith("_total")
    }
    if counts.keys() - STATED_REASONS:
        violations.append((seeds, f"unstated reasons: {counts}"))
    if len(cut) > sum(counts.values()):
        violations.append((seeds, f"{cut} cut, but counted {counts}"))
    return violations
