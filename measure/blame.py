"""Ways to find the request that ends its upstreams, compared on the same arrivals.

``python -m measure blame [--ways WAY …] [--seeds N]``
"""

import argparse
import statistics
from collections.abc import Sequence

from ._attribution_lab import PATTERNS, WAYS, BlameLab


def main(words: Sequence[str]) -> None:
    """Print a table: one line for each pattern and way."""
    parser = argparse.ArgumentParser(prog="python -m measure blame")
    parser.add_argument("--ways", nargs="*", choices=list(WAYS), default=list(WAYS))
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args(words)
    print(
        "pattern                                 way                  "
        "ends, mean  most  innocent  refused  lost  kept apart  waited p99 s"
    )
    for pattern in PATTERNS:
        for way in arguments.ways:
            results = [
                BlameLab(pattern, way, seed).run()
                for seed in range(1, arguments.seeds + 1)
            ]
            ends = [count for result in results for count in result.ends.values()]
            waits = sorted(wait for item in results for wait in item.waits_seconds)
            late = waits[int(len(waits) * 0.99)] if waits else 0.0
            print(
                f"{pattern.name:39s} {way:20s}"
                f" {statistics.mean(ends):10.1f} {max(ends):5d}"
                f" {sum(item.innocents_count for item in results):9d}"
                f" {sum(item.refused_count for item in results):8d}"
                f" {sum(item.lost_count for item in results):5d}"
                f" {len(waits):11d} {late:13.2f}"
            )
