"""Simulate adverse load patterns with and without each mechanism of the policy.

``python -m measure lab [PATTERN …] [--seeds N] [--without MECHANISM …]``
"""

import argparse
import statistics
from collections import Counter
from collections.abc import Sequence

from ._lab import MECHANISMS, Lab, in_time_ratio
from ._lab_script import KINDS, Pattern, Sample, read_patterns


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and set of disabled mechanisms."""
    patterns = read_patterns()
    parser = argparse.ArgumentParser(prog="python -m measure lab")
    parser.add_argument("patterns", nargs="*", choices=[*patterns, []], default=[])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--without", nargs="*", choices=MECHANISMS, default=None)
    arguments = parser.parse_args(argv)
    wanted = arguments.patterns or list(patterns)
    print("pattern without        in time  long   short  late refused  read again")
    for name in wanted:
        if arguments.without is None:
            sets = [frozenset(), *(frozenset({item}) for item in MECHANISMS)]
        else:
            sets = [frozenset(arguments.without)]
        for without in sets:
            _print_row(patterns[name], without, arguments.seeds)


def _print_row(pattern: Pattern, without: frozenset[str], seeds_count: int) -> None:
    runs = []
    for seed in range(1, seeds_count + 1):
        lab = Lab(pattern, seed, without)
        runs.append((lab.run(), lab))
    long, short = KINDS[pattern.fleet]
    counts = Counter(sample.outcome for samples, _ in runs for sample in samples)
    total = sum(counts.values())
    read = statistics.mean(
        sum(engine.prefilled_tokens for engine in lab.engines.values())
        for _, lab in runs
    )
    print(
        f"{pattern.name:7s} {'+'.join(sorted(without)) or '-':14s}"
        f" {_mean(runs, None):7.3f} {_mean(runs, long):6.3f} {_mean(runs, short):6.3f}"
        f" {counts['late'] / total:6.3f} {counts['refused'] / total:6.3f}"
        f" {read / 1000:9.0f}k read"
    )


def _mean(runs: Sequence[tuple[list[Sample], Lab]], kind) -> float:
    return statistics.mean(in_time_ratio(samples, kind) for samples, _ in runs)
