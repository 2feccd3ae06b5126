"""Compare strategies of crash attribution on the same arrivals.

``python -m measure blame [--ways WAY …] [--seeds N]``
"""

import argparse
import statistics
from collections.abc import Sequence

from ._attribution_lab import PATTERNS, STRATEGIES, AttributionLab


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and strategy."""
    parser = argparse.ArgumentParser(prog="python -m measure blame")
    parser.add_argument(
        "--ways", nargs="*", choices=list(STRATEGIES), default=list(STRATEGIES)
    )
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args(argv)
    print(
        "pattern                                 way               "
        "crashes, mean  most  innocent  refused  lost    isolated  waited p99 s"
    )
    for pattern in PATTERNS:
        for strategy in arguments.ways:
            results = [
                AttributionLab(pattern, strategy, seed).run()
                for seed in range(1, arguments.seeds + 1)
            ]
            crashes = [count for result in results for count in result.crashes.values()]
            waits = sorted(wait for item in results for wait in item.waits_seconds)
            p99_seconds = waits[int(len(waits) * 0.99)] if waits else 0.0
            print(
                f"{pattern.name:39s} {strategy:20s}"
                f" {statistics.mean(crashes):10.1f} {max(crashes):5d}"
                f" {sum(item.innocents_count for item in results):9d}"
                f" {sum(item.refused_count for item in results):8d}"
                f" {sum(item.lost_count for item in results):5d}"
                f" {len(waits):11d} {p99_seconds:13.2f}"
            )
