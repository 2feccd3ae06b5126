"""Compare placement strategies on the same arrivals."""

import argparse
import csv
import itertools
import sys
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor, as_completed
from pathlib import Path

import attrs
import numpy as np

from rampwick_policy import (
    CacheAwarePlacement,
    LeastLoaded,
    Placement,
    RendezvousPlacement,
    RoundRobin,
)

from ._runner import STEP_SECONDS, SimulationSettings
from ._simulation import Simulation
from ._workload import SHAPES, Script, WorkloadShape

WARM_SECONDS = 20.0


@attrs.frozen
class Strategy:
    """A placement strategy with its settings."""

    name: str
    make: Callable[[Simulation], Placement | None]
    shares_placements: bool = True
    gossip_seconds: float = 0.25
    miss_price: float = 8.0


def default_placement(simulation: Simulation) -> None:
    """Use the scheduler's own cache index for placement, as the daemon does."""
    return


def list_strategies(prices: tuple[float, ...] = (1.0, 2.0, 4.0, 8.0)) -> list[Strategy]:
    """Return all strategies; the cache-aware ones also over a range of prices."""
    strategies = [
        Strategy("round robin", lambda simulation: RoundRobin()),
        Strategy("least loaded", lambda simulation: LeastLoaded()),
        Strategy("computed", lambda simulation: RendezvousPlacement(1.25)),
    ]
    for price in (1.0, 4.0):
        strategies.append(
            Strategy(
                "own only", default_placement, shares_placements=False, miss_price=price
            )
        )
    for price in prices:
        strategies.append(
            Strategy("pooled 0.25 s", default_placement, miss_price=price)
        )
    strategies.append(Strategy("pooled 0.5 s", default_placement, gossip_seconds=0.5))
    strategies.append(Strategy("pooled 0.1 s", default_placement, gossip_seconds=0.1))
    strategies.append(Strategy("pooled 1 s", default_placement, gossip_seconds=1.0))
    strategies.append(Strategy("pooled 3 s", default_placement, gossip_seconds=3.0))
    for price in prices:
        strategies.append(
            Strategy(
                "oracle",
                lambda simulation: CacheAwarePlacement(simulation.oracle),
                gossip_seconds=0.05,
                miss_price=price,
            )
        )
    return strategies


@attrs.frozen
class Row:
    """Figures of one run."""

    workload: str
    way: str
    miss_price: float
    load: float
    seed: int
    requests: int
    refused: int
    hit_rate: float
    wasted_ratio: float
    p50_ms: float
    p99_ms: float
    portal_p99_ms: float
    gossip_bytes_per_second: float


def nominal_rate(shape: WorkloadShape, settings: SimulationSettings) -> float:
    """Return the requests per second that saturate the pool at the nominal hit rate."""
    prefill_seconds = slot_seconds = 0.0
    for kind in shape.kinds:
        levels = shape.guide_tokens + shape.collection_tokens
        shared = levels if kind.has_levels else 0
        missing = kind.item_tokens + shared * (1.0 - shape.nominal_hit_rate)
        prefill = missing / settings.prefill_tokens_per_second
        prefill_seconds += kind.share * prefill
        slot_seconds += kind.share * (prefill + kind.answer_tokens * STEP_SECONDS)
    per_runner = min(1.0 / prefill_seconds, settings.slots_count / slot_seconds)
    return settings.runners_count * per_runner


def run_one(
    workload: str, strategy_number: int, load: float, seed: int, seconds: float
) -> Row:
    """Simulate one strategy on one script; return its figures."""
    strategy = list_strategies()[strategy_number]
    shape = SHAPES[workload]
    settings = SimulationSettings(
        miss_price=strategy.miss_price,
        gossip_seconds=strategy.gossip_seconds,
        shares_placements=strategy.shares_placements,
    )
    simulation = Simulation(settings, seed, strategy.make)
    script = Script(shape, seed, nominal_rate(shape, settings) * load)
    for arrival in script.arrivals(seconds):
        simulation.submit(arrival)
    simulation.start()
    simulation.clock.run_until(WARM_SECONDS)
    bytes_before = simulation.gossip_bytes
    wasted = count_wasted(simulation)
    simulation.clock.run_until(seconds + settings.deadline_seconds)
    return summarize(
        simulation,
        count_wasted(simulation) - wasted,
        Row(
            workload=workload,
            way=strategy.name,
            miss_price=strategy.miss_price,
            load=load,
            seed=seed,
            requests=0,
            refused=0,
            hit_rate=0.0,
            wasted_ratio=0.0,
            p50_ms=0.0,
            p99_ms=0.0,
            portal_p99_ms=0.0,
            gossip_bytes_per_second=(simulation.gossip_bytes - bytes_before)
            / (seconds + settings.deadline_seconds - WARM_SECONDS)
            / settings.hosts_count,
        ),
    )


def count_wasted(simulation: Simulation) -> int:
    """Return the number of tokens computed so far that another runner had cached."""
    return sum(runner.wasted_tokens for runner in simulation.runners.values())


def summarize(simulation: Simulation, wasted_tokens: int, row: Row) -> Row:
    """Return the row with the figures of the samples after the warm-up.

    The wasted ratio is the share of prompt tokens that were computed although another
    runner had them cached.
    """
    samples = [
        sample
        for sample in simulation.samples
        if sample.arrival.at_seconds >= WARM_SECONDS
    ]
    answered = [sample for sample in samples if sample.first_seconds is not None]
    prompt = sum(sample.arrival.prompt.tokens for sample in answered)
    cached = sum(sample.cached_tokens for sample in answered)
    waits_ms = [first_token_ms(sample) for sample in answered] or [0.0]
    portal = [
        first_token_ms(sample)
        for sample in answered
        if sample.arrival.kind.priority_class == "portal"
    ] or [0.0]
    return attrs.evolve(
        row,
        requests=len(samples),
        refused=len(samples) - len(answered),
        hit_rate=cached / max(1, prompt),
        wasted_ratio=wasted_tokens / max(1, prompt),
        p50_ms=float(np.percentile(waits_ms, 50)),
        p99_ms=float(np.percentile(waits_ms, 99)),
        portal_p99_ms=float(np.percentile(portal, 99)),
    )


def first_token_ms(sample) -> float:
    """Return the time to first token in milliseconds."""
    return (sample.first_seconds - sample.arrival.at_seconds) * 1000.0


def main(argv: list[str] | None = None) -> None:
    """Compare the strategies and write the figures."""
    parser = argparse.ArgumentParser(prog="measure placement", description=__doc__)
    parser.add_argument("--workload", nargs="+", default=list(SHAPES))
    parser.add_argument("--load", nargs="+", type=float, default=[0.5, 0.8, 0.95, 1.2])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=80.0)
    parser.add_argument("--processes", type=int, default=7)
    parser.add_argument(
        "--only", default="", help="strategies whose name contains this"
    )
    parser.add_argument("--out", type=Path, default=Path("out/placement.csv"))
    arguments = parser.parse_args(argv)
    numbers = [
        at
        for at, strategy in enumerate(list_strategies())
        if arguments.only in strategy.name
    ]
    jobs = list(
        itertools.product(
            arguments.workload, numbers, arguments.load, range(1, arguments.seeds + 1)
        )
    )
    started_seconds = time.monotonic()
    with ProcessPoolExecutor(arguments.processes) as pool:
        futures = [pool.submit(run_one, *job, arguments.seconds) for job in jobs]
        rows = []
        for future in as_completed(futures):
            rows.append(future.result())
            spent = time.monotonic() - started_seconds
            print(f"{len(rows)}/{len(jobs)} {spent:.0f} s {rows[-1].way}", flush=True)
    write_rows(rows, arguments.out)
    print_medians(rows)
    print(f"{len(rows)} runs in {time.monotonic() - started_seconds:.0f} s")


def write_rows(rows: list[Row], path: Path) -> None:
    """Write all rows as CSV."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("w", newline="") as stream:
        writer = csv.DictWriter(stream, [field.name for field in attrs.fields(Row)])
        writer.writeheader()
        for row in rows:
            writer.writerow(attrs.asdict(row))


def print_medians(rows: list[Row]) -> None:
    """Print the median over seeds of each strategy, with the range of the p99."""
    print(
        f"{'workload':<10}{'load':>5} {'way':<14}{'price':>6}{'hit':>7}{'wasted':>8}"
        f"{'p50':>7}{'p99 ms':>8}{'(min..max)':>16}{'portal':>8}{'refused':>8}"
        f"{'B/s':>7}"
    )

    def key(row: Row):
        return (row.workload, row.load, row.way, row.miss_price)

    for name, group in itertools.groupby(sorted(rows, key=key), key):
        runs = list(group)
        p99 = [row.p99_ms for row in runs]
        spread = f"{min(p99):.0f}..{max(p99):.0f}"
        print(
            f"{name[0]:<10}{name[1]:>5} {name[2]:<14}{name[3]:>6}"
            f"{median(runs, 'hit_rate'):>7.3f}{median(runs, 'wasted_ratio'):>8.3f}"
            f"{median(runs, 'p50_ms'):>7.0f}{median(runs, 'p99_ms'):>8.0f}{spread:>16}"
            f"{median(runs, 'portal_p99_ms'):>8.0f}{median(runs, 'refused'):>8.0f}"
            f"{median(runs, 'gossip_bytes_per_second'):>7.0f}"
        )


def median(rows: list[Row], name: str) -> float:
    """Return the median of one figure."""
    return float(np.median([getattr(row, name) for row in rows]))


if __name__ == "__main__":
    main(sys.argv[1:])
