"""Shares, overload and faults: one figure or a few for each target of the policy."""

import argparse
import json
import sys
import time
from collections.abc import Callable, Iterator
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import attrs
import numpy as np

from rampwick_schema import Node

from ._runner import WorldSettings
from ._simulation import Sample, World
from ._workload import HERBARIA, Arrival, Kind, Script, make_prompt, make_workspaces
from .placement import learned, nominal_rate, wait_ms

Figures = dict[str, float]

WARM_SECONDS = 20.0
LABEL = Kind("label", 1.0, "interactive", 200, 8)
PORTAL = Kind("portal", 1.0, "portal", 300, 10, has_levels=False)

#: Hosts' parts of the callers, far from even.
UNEVEN = (8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0)


@attrs.frozen
class Flow:
    """Steady Poisson traffic of one workspace."""

    workspace: int
    kind: Kind
    requests_per_second: float


def make_world(seed: int, **options) -> World:
    """Return a world of the daemon's own way of deciding."""
    return World(WorldSettings(**options), seed, learned)


def flow_arrivals(
    flows: list[Flow], seed: int, seconds: float, weights: dict[int, float]
) -> Iterator[Arrival]:
    """Yield the arrivals of several flows in order of time."""
    draw = np.random.default_rng(seed)
    workspaces = make_workspaces(HERBARIA, weights)
    total = sum(flow.requests_per_second for flow in flows)
    shares = [flow.requests_per_second / total for flow in flows]
    at_seconds, number = 0.0, 0
    while (at_seconds := at_seconds + draw.exponential(1.0 / total)) < seconds:
        number += 1
        flow = flows[draw.choice(len(flows), p=shares)]
        workspace = workspaces[flow.workspace]
        collection = int(draw.integers(3))
        prompt = make_prompt(
            HERBARIA, workspace.path, flow.kind, collection, seed * 10**6 + number
        )
        yield Arrival(at_seconds, workspace, flow.kind, prompt)


def run_flows(
    world: World, flows: list[Flow], seed: int, seconds: float, weights=None
) -> list[Sample]:
    """Run flows through a world; return the samples after the warm-up."""
    weights = weights or {}
    nodes = {"/herbaria": Node()}
    for workspace in make_workspaces(HERBARIA, weights):
        nodes[workspace.path] = Node(is_workspace=True, weight=workspace.weights[-1])
    world.set_weights(nodes)
    for arrival in flow_arrivals(flows, seed, seconds, weights):
        world.submit(arrival)
    world.begin()
    world.clock.run_until(seconds)
    return [item for item in world.samples if item.arrival.at_seconds >= WARM_SECONDS]


def label_rate(settings: WorldSettings) -> float:
    """Return the labels a second that the pool carries."""
    # Three collections fit every cache, so hardly anything but items is missing.
    shape = attrs.evolve(HERBARIA, kinds=(LABEL,), nominal_hit_rate=0.99)
    return nominal_rate(shape, settings)


def p99_ms(samples: list[Sample], workspace: int) -> float:
    """Return a workspace's p99 to first token."""
    path = f"/herbaria/w{workspace}"
    waits = [
        wait_ms(item)
        for item in samples
        if item.arrival.workspace.path == path and item.first_seconds is not None
    ]
    return float(np.percentile(waits, 99)) if waits else float("nan")


def shares(seed: int) -> Figures:
    """Backlogged workspaces of weights 1, 2 and 4 over ten seconds."""
    world = make_world(seed, host_weights=UNEVEN)
    rate = label_rate(world.settings)
    weights = {0: 1.0, 1: 2.0, 2: 4.0}
    flows = [Flow(index, LABEL, rate) for index in weights]
    run_flows(world, flows, seed, 60.0, weights)
    errors = []
    for begin in (30.0, 40.0, 50.0):
        done = dict.fromkeys(weights, 0.0)
        for item in world.samples:
            if item.done_seconds and begin <= item.done_seconds < begin + 10.0:
                missing = item.arrival.prompt.tokens - item.cached_tokens
                done[int(item.arrival.workspace.path[-1])] += missing + 4 * 8
        total = sum(done.values())
        for index, weight in weights.items():
            errors.append(abs(done[index] / total / (weight / 7.0) - 1.0))
    return {"worst_share_error_ratio": max(errors)}


def aggressor(seed: int) -> Figures:
    """A quiet workspace's p99 while another sends twenty times its share."""
    figures = {}
    for name, factor in (("alone", 0.0), ("beside", 20.0)):
        world = make_world(seed, host_weights=UNEVEN)
        # A pool shared by two equal workspaces: half is either's share.
        rate = label_rate(world.settings)
        flows = [Flow(0, LABEL, rate * 0.2)]
        if factor:
            flows.append(Flow(1, LABEL, rate * 0.5 * factor))
        samples = run_flows(world, flows, seed, 50.0)
        figures[f"quiet_p99_{name}_ms"] = p99_ms(samples, 0)
    return figures


def portal(seed: int) -> Figures:
    """Portal calls' p99 with and without long prompts at 95 % load."""
    figures = {}
    for name, load in (("alone", 0.0), ("beside", 0.95)):
        world = make_world(seed)
        rate = label_rate(world.settings)
        flows = [Flow(0, PORTAL, 5.0)]
        if load:
            flows.append(Flow(1, LABEL, rate * load))
        samples = run_flows(world, flows, seed, 60.0)
        figures[f"portal_p99_{name}_ms"] = p99_ms(samples, 0)
    return figures


def isolated(seed: int) -> Figures:
    """Attempts open at one runner at most, when no host hears another."""
    world = make_world(seed)
    world.cut_hosts = {host.name for host in world.hosts}
    rate = label_rate(world.settings)
    for arrival in flow_arrivals([Flow(0, LABEL, rate * 2)], seed, 40.0, {}):
        world.submit(arrival)
    world.begin()
    world.clock.run_until(10.0)
    # From here on each host is alone: nobody is on the same side as another.
    world.can_talk = lambda one, two: False  # type: ignore[method-assign]
    worst = 0
    while world.clock.now_seconds < 40.0:
        world.clock.run_until(world.clock.now_seconds + 0.25)
        if world.clock.now_seconds > 20.0:
            worst = max(worst, *[len(item.jobs) for item in world.runners.values()])
    return {
        "worst_open_at_a_runner": float(worst),
        "slots_of_a_runner": float(world.settings.slots_count),
    }


def overload(seed: int) -> Figures:
    """Answers begun in time, a second, at 100 % and at 200 % load."""
    figures = {}
    for load in (1.0, 2.0):
        world = make_world(seed, deadline_seconds=5.0)
        rate = nominal_rate(HERBARIA, world.settings) * load
        script = Script(HERBARIA, seed, rate)
        for arrival in script.arrivals(60.0):
            world.submit(arrival)
        world.begin()
        world.clock.run_until(60.0)
        samples = [
            item for item in world.samples if item.arrival.at_seconds > WARM_SECONDS
        ]
        good = [item for item in samples if item.done_seconds is not None]
        refused = [
            (item.refused_seconds - item.arrival.at_seconds) * 1000.0
            for item in samples
            if item.refused
        ]
        figures[f"answers_per_second_at_{load:g}"] = len(good) / 40.0
        if refused:
            key = f"refusal_p50_ms_at_{load:g}"
            figures[key] = float(np.percentile(refused, 50))
    ratio = figures["answers_per_second_at_2"] / figures["answers_per_second_at_1"]
    figures["goodput_ratio"] = ratio
    return figures


def faulty(seed: int, fault: Callable[[World], None], **options) -> World:
    """Run the herbaria's script at 80 % and have a fault at 40 s; end at 80 s."""
    world = make_world(seed, **options)
    rate = nominal_rate(HERBARIA, world.settings) * 0.8
    shift = options.get("shift_at_seconds")
    for arrival in Script(HERBARIA, seed, rate, shift).arrivals(80.0):
        world.submit(arrival)
    world.begin()
    world.clock.after(40.0, fault, world)
    world.clock.run_until(80.0)
    return world


def refused_after_warming(world: World) -> list[Sample]:
    """Return the refused requests that did not meet cold caches."""
    return [
        item
        for item in world.samples
        if item.refused and item.arrival.at_seconds >= WARM_SECONDS
    ]


def hit_rate(world: World, begin: float, end: float) -> float:
    """Return the hit rate of requests that arrived in a span of time."""
    items = [
        item
        for item in world.samples
        if begin <= item.arrival.at_seconds < end and item.first_seconds is not None
    ]
    prompt = sum(item.arrival.prompt.tokens for item in items)
    return sum(item.cached_tokens for item in items) / max(1, prompt)


def crash(seed: int) -> Figures:
    """A runner crashes and comes back empty after five seconds."""

    def fault(world: World) -> None:
        world.runners["lektor-0"].crash(5.0)

    world = faulty(seed, fault)
    refused = refused_after_warming(world)
    lost = [item for item in refused if not item.first_seconds]
    cut = [item for item in refused if item.first_seconds]
    late = [
        wait_ms(item)
        for item in world.samples
        if 60.0 <= item.arrival.at_seconds < 78.0 and item.first_seconds is not None
    ]
    return {
        "refused_after_crash": float(len(lost)),
        "cut_in_mid_stream": float(len(cut)),
        "p99_20_s_after_ms": float(np.percentile(late, 99)),
    }


def herd(seed: int) -> Figures:
    """All hosts restart at once and know nothing."""

    def fault(world: World) -> None:
        for host in world.hosts:
            host.open.clear()
            host.restart()

    world = faulty(seed, fault)
    before = hit_rate(world, 20.0, 40.0)
    after = [
        item
        for item in world.samples
        if item.arrival.at_seconds >= 40.0 and item.first_seconds is not None
    ][: 50 * world.settings.hosts_count]
    prompt = sum(item.arrival.prompt.tokens for item in after)
    cached = sum(item.cached_tokens for item in after)
    return {
        "hit_rate_before": before,
        "hit_rate_ratio_first_50": cached / prompt / before,
    }


def shift(seed: int) -> Figures:
    """All hot collections change at once."""
    world = make_world(seed)
    rate = nominal_rate(HERBARIA, world.settings) * 0.8
    for arrival in Script(HERBARIA, seed, rate, 40.0).arrivals(80.0):
        world.submit(arrival)
    world.begin()
    world.clock.run_until(80.0)
    before = hit_rate(world, 20.0, 40.0)
    spans = [hit_rate(world, begin, begin + 5.0) for begin in range(40, 75, 5)]
    back = next(
        (at * 5.0 for at, rate in enumerate(spans) if rate >= 0.95 * before), 99.0
    )
    return {"hit_rate_before": before, "seconds_until_back": back}


def cut(seed: int) -> Figures:
    """A hall's two hosts hear the others no more."""

    def fault(world: World) -> None:
        world.cut_hosts = {"entry-0", "entry-4"}

    world = faulty(seed, fault)
    refused = refused_after_warming(world)
    return {
        "hit_rate_before": hit_rate(world, 20.0, 40.0),
        "hit_rate_cut_off": hit_rate(world, 45.0, 75.0),
        "refused": float(len(refused)),
    }


SCENARIOS = {
    scenario.__name__: scenario
    for scenario in (
        shares,
        aggressor,
        portal,
        isolated,
        overload,
        crash,
        herd,
        shift,
        cut,
    )
}


def run_one(name: str, seed: int) -> tuple[str, int, Figures]:
    """Run a scenario with a seed."""
    return name, seed, SCENARIOS[name](seed)


def main(words: list[str] | None = None) -> None:
    """Run scenarios over seeds; print and write each figure with its spread."""
    parser = argparse.ArgumentParser(prog="measure load", description=__doc__)
    parser.add_argument("--only", nargs="+", default=list(SCENARIOS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--out", type=Path, default=Path("out/load.json"))
    arguments = parser.parse_args(words)
    began_seconds = time.monotonic()
    found: dict[str, dict[str, list[float]]] = {}
    with ProcessPoolExecutor(arguments.processes) as pool:
        futures = [
            pool.submit(run_one, name, seed)
            for name in arguments.only
            for seed in range(1, arguments.seeds + 1)
        ]
        for future in as_completed(futures):
            name, _, figures = future.result()
            for key, value in figures.items():
                found.setdefault(name, {}).setdefault(key, []).append(value)
            spent_seconds = time.monotonic() - began_seconds
            print(f"{name} done at {spent_seconds:.0f} s", flush=True)
    for name in arguments.only:
        for key, values in found[name].items():
            spread = ", ".join(f"{value:.4g}" for value in sorted(values))
            print(f"{name:<10}{key:<28}{np.median(values):>10.4g}   ({spread})")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(found, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
