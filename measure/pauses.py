"""Compare placements by the pauses of streams, on the patterns with stepped engines.

``python -m measure pauses [PATTERN …] [--seeds N] [--speed-ratio R] [--rate-ratio R]``
"""

import argparse
from collections.abc import Sequence

import attrs

from rampwick_policy import PauseStrategy, PredictedPauses, SoftPartitioning

from ._lab import Lab, in_time_ratio
from ._lab_script import KINDS, Kind, Pattern, Sample, read_patterns

#: Strategies by name; ``None`` is the placement without the part.
STRATEGIES: dict[str, PauseStrategy | None] = {
    "today": None,
    "cost term": PredictedPauses(),
    "partition": SoftPartitioning(),
}


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and strategy."""
    patterns = {
        name: pattern for name, pattern in read_patterns().items() if pattern.fleet
    }
    parser = argparse.ArgumentParser(prog="python -m measure pauses")
    parser.add_argument("patterns", nargs="*", choices=[*patterns, []], default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--speed-ratio", type=float, default=1.0)
    parser.add_argument("--rate-ratio", type=float, default=1.0)
    arguments = parser.parse_args(argv)
    print("times in ms; pause: share of short streams that miss only the pause target")
    print(
        f"{'pattern':30s} {'strategy':10s} short pause first-50 first-90 pause-50"
        " pause-90  long first-50 first-90 refused"
    )
    for name in arguments.patterns or list(patterns):
        pattern = scale(patterns[name], arguments.speed_ratio, arguments.rate_ratio)
        for strategy_name, strategy in STRATEGIES.items():
            samples = [
                sample
                for seed in range(1, arguments.seeds + 1)
                for sample in run(pattern, seed, strategy)
            ]
            print(f"{name:30s} {strategy_name:10s} {_row(pattern, samples)}")


def scale(pattern: Pattern, speed_ratio: float, rate_ratio: float) -> Pattern:
    """Return a pattern with other engine speeds and request rates."""
    return attrs.evolve(
        pattern,
        tokens_per_second=pattern.tokens_per_second * speed_ratio,
        long_per_second=pattern.long_per_second * rate_ratio,
        short_per_second=pattern.short_per_second * rate_ratio,
    )


def run(pattern: Pattern, seed: int, strategy: PauseStrategy | None) -> list[Sample]:
    """Simulate a pattern with a strategy; ``None`` for the placement without one."""
    settings = "isolates_prefill = true\n" if strategy is not None else ""
    lab = Lab(attrs.evolve(pattern, placement_settings=settings), seed)
    if strategy is not None:
        for host in lab.hosts:
            host.scheduler.pool.prefill_isolation.strategy = strategy
    return lab.run()


def missed_pause_ratio(samples: Sequence[Sample], kind: Kind) -> float:
    """Return the share of requests of a kind that miss only the pause target."""
    counted = [sample for sample in samples if sample.call.kind == kind]
    return sum(sample.missed_only_pause for sample in counted) / max(1, len(counted))


def _row(pattern: Pattern, samples: list[Sample]) -> str:
    long, short = KINDS[pattern.fleet]
    refused_ratio = sum(bool(item.refused) for item in samples) / max(1, len(samples))
    streams = [item for item in samples if item.call.kind == short]
    pauses = [item.longest_pause_seconds for item in streams]
    return (
        f"{in_time_ratio(samples, short):5.3f}"
        f" {missed_pause_ratio(samples, short):5.3f}"
        f" {_quantiles(item.waited_seconds for item in streams)}"
        f" {_quantiles(pauses)}"
        f" {in_time_ratio(samples, long):5.3f}"
        f" {_quantiles(i.waited_seconds for i in samples if i.call.kind == long)}"
        f" {refused_ratio:7.3f}"
    )


def _quantiles(values) -> str:
    """Return the median and the 90th percentile in milliseconds."""
    ordered = sorted(values)
    median, high = (ordered[int(ratio * (len(ordered) - 1))] for ratio in (0.5, 0.9))
    return f"{median * 1e3:8.0f} {high * 1e3:8.0f}"
