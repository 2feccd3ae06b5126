"""Connections of every kind that fall silent beside changes of the configuration.

``RAMPWICK_SILENT_CASES`` sets the number of cases, ``RAMPWICK_SILENT_SEED`` the first
seed:

    RAMPWICK_SILENT_CASES=500 python -m pytest tests/test_silent_connections_fuzz.py
"""

import os
import random
from collections import Counter
from contextlib import AsyncExitStack

import anyio
import attrs
from soak._proxy import Proxy
from testtools import TestCase

from .scripted import ScriptedUpstream, list_upstream, make_tree, run_routed_host
from .test_connection_ends_fuzz import STATED_REASONS, CountingStore, change_tree

CASES_COUNT = int(os.environ.get("RAMPWICK_SILENT_CASES", "2"))
FIRST_SEED = int(os.environ.get("RAMPWICK_SILENT_SEED", "1"))

REQUESTS_COUNT = 40

#: Time in which the requests of a case arrive, and within which each of them must end:
#: the longest timeout of a route that a case draws, and what a busy machine adds.
ARRIVALS_SECONDS = 1.5
CASE_TIMEOUT_SECONDS = 20.0

#: Paths and how often an upstream may run their requests: those that may be repeated
#: have two attempts.
PATHS = {"/once/1": 1, "/open/1": 1, "/brittle/1": 1, "/again/1": 2, "/stream/1": 2}

HOSTS = ("entry-1", "entry-2")
SERVICES = {"labels": ("a", "b"), "notes": ("c", "d")}


@attrs.define
class Fleet:
    """Two hosts, and upstreams that they reach through proxies."""

    hosts: list
    #: Proxies by kind: connections to upstreams, links between hosts.
    upstream_proxies: list[Proxy]
    link_proxies: list[Proxy]
    #: How often the request of each id was run.
    runs: Counter

    def silence(self, rng):
        """Silence all connections of some of the proxies, idle and in use."""
        kinds = rng.choice(["upstreams", "links", "all"])
        proxies = []
        if kinds != "links":
            proxies += self.upstream_proxies
        if kinds != "upstreams":
            proxies += self.link_proxies
        for proxy in proxies:
            if rng.random() < 0.7:
                proxy.blackhole_connections()


async def run_fleet(stack, tasks, rng):
    """Start a fleet; return it once its hosts know each other and the upstreams."""
    store, runs = CountingStore(), Counter()
    store.write("config/main", short_tree(make_tree(), 1.5))
    fleet = Fleet([], [], [], runs)
    for service, names in SERVICES.items():
        for name in names:
            server = ScriptedUpstream(name)
            server.scripts = [make_script(runs, random.Random(rng.random()))]
            await tasks.start(server.serve)
            proxy = Proxy(name, 0, int(server.address.rpartition(":")[2]))
            await proxy.run(tasks)
            fleet.upstream_proxies.append(proxy)
            server.address = proxy.address
            list_upstream(store, server, service)
    seeds = []
    for name in HOSTS:
        proxy = Proxy(name, 0, 0)
        await proxy.run(tasks)
        peers = f'secret = "s"\nseeds = {seeds}\nadvertised_address = "{proxy.address}"'
        host = await stack.enter_async_context(
            run_routed_host(
                store, name, peers=peers, retry="silence_timeout_seconds = 0.4"
            )
        )
        proxy.target_port = int(host.peer_address.rpartition(":")[2])
        fleet.hosts.append(host)
        fleet.link_proxies.append(proxy)
        seeds.append(proxy.address)
    while not all(knows_all(host) for host in fleet.hosts):
        await anyio.sleep(0.01)
    return fleet


def knows_all(host):
    scheduler = host.daemon.scheduler
    peers = scheduler.live_names(scheduler._read_clock())
    return host.upstreams_count == 4 and len(peers) == len(HOSTS) - 1


def short_tree(tree, timeout_seconds):
    """Return a tree whose routes have at most this timeout."""
    routes = [
        attrs.evolve(route, timeout_seconds=min(route.timeout_seconds, timeout_seconds))
        for route in tree.routing.routes
    ]
    return attrs.evolve(tree, routing=attrs.evolve(tree.routing, routes=routes))


def make_script(runs, rng):
    """Return a script that counts what it runs, and answers after a moment."""

    async def script(exchange):
        if exchange.target.startswith(tuple(path[:-1] for path in PATHS)):
            runs[exchange.request_id] += 1
        await anyio.sleep(rng.uniform(0.0, 0.2))
        if not exchange.target.startswith(("/stream", "/brittle")):
            await exchange.answer()
            return
        head = b"Content-Type: text/event-stream\r\nContent-Length: 30"
        await exchange.send(exchange.head(extra=head))
        for number in range(2):
            await anyio.sleep(rng.uniform(0.0, 0.2))
            await exchange.send(b"id: %d\ndata: 1\n\n" % number)

    return script


class FuzzTest(TestCase):
    def test_each_request_is_answered_or_refused_and_none_runs_too_often(self):
        violations = []
        for seed in range(FIRST_SEED, FIRST_SEED + CASES_COUNT):
            violations += anyio.run(run_case, seed)
        self.assertEqual([], violations)


async def run_case(seed):
    """Run one case; return what broke the promise."""
    rng = random.Random(f"silent {seed}")
    violations, cut = [], []

    async def call(host, number, path, delay_seconds):
        await anyio.sleep(delay_seconds)
        request_id = f"r{number}"
        try:
            with anyio.fail_after(CASE_TIMEOUT_SECONDS):
                view = await host.call(path, request_id=request_id)
        except (TimeoutError, anyio.BrokenResourceError) as error:
            violations.append((seed, path, request_id, repr(error)))
            return
        if not view.status:
            violations.append((seed, path, request_id, "no answer and no refusal"))
        elif not view.is_whole:
            cut.append((path, request_id, view.status))
        if fleet.runs[request_id] > PATHS[path]:
            violations.append((seed, path, request_id, "ran too often"))

    async with AsyncExitStack() as stack:
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        fleet = await run_fleet(stack, tasks, rng)
        async with anyio.create_task_group() as calls:
            for number in range(REQUESTS_COUNT):
                host, path = rng.choice(fleet.hosts), rng.choice(list(PATHS))
                delay_seconds = rng.uniform(0.0, ARRIVALS_SECONDS)
                calls.start_soon(call, host, number, path, delay_seconds)
            for revision in range(2, 6):
                await anyio.sleep(rng.uniform(0.1, 0.4))
                fleet.silence(rng)
                await anyio.sleep(rng.uniform(0.0, 0.1))
                tree = change_tree(rng, revision)
                fleet.hosts[0].store.write(
                    "config/main", short_tree(tree, rng.choice([1.0, 2.0]))
                )
        counts = sum(map(count_unanswered, fleet.hosts), Counter())
    if counts.keys() - STATED_REASONS:
        violations.append((seed, f"unstated reasons: {counts}"))
    if len(cut) > counts.total():
        violations.append((seed, f"{cut} cut, but counted {counts}"))
    return violations


def count_unanswered(host):
    """Return the requests of a host without a complete response, by reason."""
    samples = host.daemon._context.metrics.unanswered.collect()[0].samples
    return Counter(
        {
            sample.labels["reason"]: int(sample.value)
            for sample in samples
            if sample.name.endswith("_total")
        }
    )
