"""Compare strategies that respect the request rate limits of upstreams.

``python -m measure rates [--ways WAY …] [--patterns N …] [--seeds N]``
"""

import argparse
import statistics
from collections.abc import Sequence

from ._rate_lab import STRATEGIES, RateLab
from ._rate_patterns import PATTERNS


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and strategy."""
    parser = argparse.ArgumentParser(prog="python -m measure rates")
    parser.add_argument(
        "--ways", nargs="*", choices=list(STRATEGIES), default=list(STRATEGIES)
    )
    parser.add_argument(
        "--patterns", nargs="*", type=int, help="indexes of patterns, from 0"
    )
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args(argv)
    print(
        "pattern                             way             "
        "worst window  by all  used of the rate  arrived  refused  messages"
    )
    numbers = arguments.patterns or range(len(PATTERNS))
    for pattern in (PATTERNS[number] for number in numbers):
        for strategy in arguments.ways:
            results = [
                RateLab(pattern, strategy, seed).run()
                for seed in range(1, arguments.seeds + 1)
            ]
            print(
                f"{pattern.name:35s} {strategy:15s}"
                f" {max(item.worst_ratio for item in results):12.2f}"
                f" {max(item.all_worst_ratio for item in results):7.2f}"
                f" {statistics.mean(item.used_ratio for item in results):17.2f}"
                f" {sum(item.arrived_count for item in results):8d}"
                f" {sum(item.refused_count for item in results):8d}"
                f" {sum(item.messages_count for item in results):9d}",
                flush=True,
            )
