"""Simulate fairness, overload and faults; each scenario reports a few figures."""

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

from ._runner import SimulationSettings
from ._simulation import Sample, Simulation
from ._workload import HERBARIA, Arrival, Kind, Script, make_prompt, make_workspaces
from .placement import default_placement, first_token_ms, nominal_rate

Figures = dict[str, float]

WARM_SECONDS = 20.0
LABEL = Kind("label", 1.0, "interactive", 200, 8)
PORTAL = Kind("portal", 1.0, "portal", 300, 10, has_levels=False)

#: Uneven distribution of callers over hosts.
UNEVEN = (8.0, 4.0, 2.0, 1.0, 1.0, 1.0, 1.0)


@attrs.frozen
class Flow:
    """Steady Poisson traffic of one workspace."""

    workspace: int
    kind: Kind
    requests_per_second: float


def make_simulation(seed: int, **options) -> Simulation:
    """Return a simulation with the daemon's placement strategy."""
    return Simulation(SimulationSettings(**options), seed, default_placement)


def flow_arrivals(
    flows: list[Flow], seed: int, seconds: float, weights: dict[int, float]
) -> Iterator[Arrival]:
    """Yield the arrivals of several flows in order of time."""
    rng = np.random.default_rng(seed)
    workspaces = make_workspaces(HERBARIA, weights)
    total = sum(flow.requests_per_second for flow in flows)
    shares = [flow.requests_per_second / total for flow in flows]
    at_seconds, number = 0.0, 0
    while (at_seconds := at_seconds + rng.exponential(1.0 / total)) < seconds:
        number += 1
        flow = flows[rng.choice(len(flows), p=shares)]
        workspace = workspaces[flow.workspace]
        collection = int(rng.integers(3))
        prompt = make_prompt(
            HERBARIA, workspace.path, flow.kind, collection, seed * 10**6 + number
        )
        yield Arrival(at_seconds, workspace, flow.kind, prompt)


def run_flows(
    simulation: Simulation, flows: list[Flow], seed: int, seconds: float, weights=None
) -> list[Sample]:
    """Simulate flows; return the samples after the warm-up."""
    weights = weights or {}
    nodes = {"/herbaria": Node()}
    for workspace in make_workspaces(HERBARIA, weights):
        nodes[workspace.path] = Node(is_workspace=True, weight=workspace.weights[-1])
    simulation.set_weights(nodes)
    for arrival in flow_arrivals(flows, seed, seconds, weights):
        simulation.submit(arrival)
    simulation.start()
    simulation.clock.run_until(seconds)
    return [
        item for item in simulation.samples if item.arrival.at_seconds >= WARM_SECONDS
    ]


def label_rate(settings: SimulationSettings) -> float:
    """Return the label requests per second that saturate the pool."""
    # Three collections fit into every cache, so mostly items miss.
    shape = attrs.evolve(HERBARIA, kinds=(LABEL,), nominal_hit_rate=0.99)
    return nominal_rate(shape, settings)


def p99_ms(samples: list[Sample], workspace: int) -> float:
    """Return a workspace's p99 of the time to first token."""
    path = f"/herbaria/w{workspace}"
    waits_ms = [
        first_token_ms(item)
        for item in samples
        if item.arrival.workspace.path == path and item.first_seconds is not None
    ]
    return float(np.percentile(waits_ms, 99)) if waits_ms else float("nan")


def shares(seed: int) -> Figures:
    """Share of backlogged workspaces with weights 1, 2 and 4 in windows of 10 s."""
    simulation = make_simulation(seed, host_weights=UNEVEN)
    rate = label_rate(simulation.settings)
    weights = {0: 1.0, 1: 2.0, 2: 4.0}
    flows = [Flow(index, LABEL, rate) for index in weights]
    run_flows(simulation, flows, seed, 60.0, weights)
    errors = []
    for begin in (30.0, 40.0, 50.0):
        done = dict.fromkeys(weights, 0.0)
        for item in simulation.samples:
            if item.done_seconds and begin <= item.done_seconds < begin + 10.0:
                missing = item.arrival.prompt.tokens - item.cached_tokens
                done[int(item.arrival.workspace.path[-1])] += missing + 4 * 8
        total = sum(done.values())
        for index, weight in weights.items():
            errors.append(abs(done[index] / total / (weight / 7.0) - 1.0))
    return {"worst_share_error_ratio": max(errors)}


def aggressor(seed: int) -> Figures:
    """p99 of a low-traffic workspace while another sends 20 times its share."""
    figures = {}
    for name, factor in (("alone", 0.0), ("beside", 20.0)):
        simulation = make_simulation(seed, host_weights=UNEVEN)
        # Two workspaces of equal weight: the share of each is half the pool.
        rate = label_rate(simulation.settings)
        flows = [Flow(0, LABEL, rate * 0.2)]
        if factor:
            flows.append(Flow(1, LABEL, rate * 0.5 * factor))
        samples = run_flows(simulation, flows, seed, 50.0)
        figures[f"quiet_p99_{name}_ms"] = p99_ms(samples, 0)
    return figures


def portal(seed: int) -> Figures:
    """p99 of portal calls with and without long prompts at 95 % load."""
    figures = {}
    for name, load in (("alone", 0.0), ("beside", 0.95)):
        simulation = make_simulation(seed)
        rate = label_rate(simulation.settings)
        flows = [Flow(0, PORTAL, 5.0)]
        if load:
            flows.append(Flow(1, LABEL, rate * load))
        samples = run_flows(simulation, flows, seed, 60.0)
        figures[f"portal_p99_{name}_ms"] = p99_ms(samples, 0)
    return figures


def isolated(seed: int) -> Figures:
    """Most open attempts at one runner while no host receives another's messages."""
    simulation = make_simulation(seed)
    simulation.partitioned_hosts = {host.name for host in simulation.hosts}
    rate = label_rate(simulation.settings)
    for arrival in flow_arrivals([Flow(0, LABEL, rate * 2)], seed, 40.0, {}):
        simulation.submit(arrival)
    simulation.start()
    simulation.clock.run_until(10.0)
    # From here on every host is partitioned from all others.
    simulation.can_communicate = lambda one, two: False  # type: ignore[method-assign]
    worst = 0
    while simulation.clock.now_seconds < 40.0:
        simulation.clock.run_until(simulation.clock.now_seconds + 0.25)
        if simulation.clock.now_seconds > 20.0:
            worst = max(
                worst, *[len(item.jobs) for item in simulation.runners.values()]
            )
    return {
        "worst_open_at_a_runner": float(worst),
        "slots_of_a_runner": float(simulation.settings.slots_count),
    }


def overload(seed: int) -> Figures:
    """Completed requests per second at 100 % and at 200 % load."""
    figures = {}
    for load in (1.0, 2.0):
        simulation = make_simulation(seed, deadline_seconds=5.0)
        rate = nominal_rate(HERBARIA, simulation.settings) * load
        script = Script(HERBARIA, seed, rate)
        for arrival in script.arrivals(60.0):
            simulation.submit(arrival)
        simulation.start()
        simulation.clock.run_until(60.0)
        samples = [
            item
            for item in simulation.samples
            if item.arrival.at_seconds > WARM_SECONDS
        ]
        completed = [item for item in samples if item.done_seconds is not None]
        refused = [
            (item.refused_seconds - item.arrival.at_seconds) * 1000.0
            for item in samples
            if item.refused
        ]
        figures[f"answers_per_second_at_{load:g}"] = len(completed) / 40.0
        if refused:
            key = f"refusal_p50_ms_at_{load:g}"
            figures[key] = float(np.percentile(refused, 50))
    ratio = figures["answers_per_second_at_2"] / figures["answers_per_second_at_1"]
    figures["goodput_ratio"] = ratio
    return figures


def run_with_fault(
    seed: int, fault: Callable[[Simulation], None], **options
) -> Simulation:
    """Simulate the herbaria workload at 80 % load for 80 s, with a fault at 40 s."""
    simulation = make_simulation(seed, **options)
    rate = nominal_rate(HERBARIA, simulation.settings) * 0.8
    shift = options.get("shift_at_seconds")
    for arrival in Script(HERBARIA, seed, rate, shift).arrivals(80.0):
        simulation.submit(arrival)
    simulation.start()
    simulation.clock.after(40.0, fault, simulation)
    simulation.clock.run_until(80.0)
    return simulation


def refused_after_warm_up(simulation: Simulation) -> list[Sample]:
    """Return the refused requests that arrived after the warm-up."""
    return [
        item
        for item in simulation.samples
        if item.refused and item.arrival.at_seconds >= WARM_SECONDS
    ]


def hit_rate(simulation: Simulation, begin: float, end: float) -> float:
    """Return the cache hit rate of requests that arrived in a time span."""
    items = [
        item
        for item in simulation.samples
        if begin <= item.arrival.at_seconds < end and item.first_seconds is not None
    ]
    prompt = sum(item.arrival.prompt.tokens for item in items)
    return sum(item.cached_tokens for item in items) / max(1, prompt)


def crash(seed: int) -> Figures:
    """A runner crashes and restarts empty after five seconds."""

    def fault(simulation: Simulation) -> None:
        simulation.runners["lektor-0"].crash(5.0)

    simulation = run_with_fault(seed, fault)
    refused = refused_after_warm_up(simulation)
    lost = [item for item in refused if not item.first_seconds]
    cut = [item for item in refused if item.first_seconds]
    late = [
        first_token_ms(item)
        for item in simulation.samples
        if 60.0 <= item.arrival.at_seconds < 78.0 and item.first_seconds is not None
    ]
    return {
        "refused_after_crash": float(len(lost)),
        "cut_in_mid_stream": float(len(cut)),
        "p99_20_s_after_ms": float(np.percentile(late, 99)),
    }


def herd(seed: int) -> Figures:
    """All hosts restart simultaneously without state."""

    def fault(simulation: Simulation) -> None:
        for host in simulation.hosts:
            host.open.clear()
            host.restart()

    simulation = run_with_fault(seed, fault)
    before = hit_rate(simulation, 20.0, 40.0)
    after = [
        item
        for item in simulation.samples
        if item.arrival.at_seconds >= 40.0 and item.first_seconds is not None
    ][: 50 * simulation.settings.hosts_count]
    prompt = sum(item.arrival.prompt.tokens for item in after)
    cached = sum(item.cached_tokens for item in after)
    return {
        "hit_rate_before": before,
        "hit_rate_ratio_first_50": cached / prompt / before,
    }


def shift(seed: int) -> Figures:
    """All hot collections are replaced simultaneously."""
    simulation = make_simulation(seed)
    rate = nominal_rate(HERBARIA, simulation.settings) * 0.8
    for arrival in Script(HERBARIA, seed, rate, 40.0).arrivals(80.0):
        simulation.submit(arrival)
    simulation.start()
    simulation.clock.run_until(80.0)
    before = hit_rate(simulation, 20.0, 40.0)
    span_hit_rates = [
        hit_rate(simulation, begin, begin + 5.0) for begin in range(40, 75, 5)
    ]
    recovered_seconds = next(
        (at * 5.0 for at, rate in enumerate(span_hit_rates) if rate >= 0.95 * before),
        99.0,
    )
    return {"hit_rate_before": before, "seconds_until_back": recovered_seconds}


def cut(seed: int) -> Figures:
    """The two hosts of a hall are partitioned from the others."""

    def fault(simulation: Simulation) -> None:
        simulation.partitioned_hosts = {"entry-0", "entry-4"}

    simulation = run_with_fault(seed, fault)
    refused = refused_after_warm_up(simulation)
    return {
        "hit_rate_before": hit_rate(simulation, 20.0, 40.0),
        "hit_rate_cut_off": hit_rate(simulation, 45.0, 75.0),
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
    """Run one scenario with one seed."""
    return name, seed, SCENARIOS[name](seed)


def main(argv: list[str] | None = None) -> None:
    """Run scenarios over seeds; print and write the median and all values."""
    parser = argparse.ArgumentParser(prog="measure load", description=__doc__)
    parser.add_argument("--only", nargs="+", default=list(SCENARIOS))
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--out", type=Path, default=Path("out/load.json"))
    arguments = parser.parse_args(argv)
    started_seconds = time.monotonic()
    results: dict[str, dict[str, list[float]]] = {}
    with ProcessPoolExecutor(arguments.processes) as pool:
        futures = [
            pool.submit(run_one, name, seed)
            for name in arguments.only
            for seed in range(1, arguments.seeds + 1)
        ]
        for future in as_completed(futures):
            name, _, figures = future.result()
            for key, value in figures.items():
                results.setdefault(name, {}).setdefault(key, []).append(value)
            spent_seconds = time.monotonic() - started_seconds
            print(f"{name} done at {spent_seconds:.0f} s", flush=True)
    for name in arguments.only:
        for key, values in results[name].items():
            spread = ", ".join(f"{value:.4g}" for value in sorted(values))
            print(f"{name:<10}{key:<28}{np.median(values):>10.4g}   ({spread})")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
