"""Compare strategies that enforce request rates of upstreams.

All strategies run on the same arrivals.

``python -m measure rates [--ways WAY …] [--patterns N …] [--seeds N]``
"""

import argparse
import statistics
from collections.abc import Sequence

from ._rate_lab import WAYS, RateLab
from ._rate_patterns import PATTERNS


def main(words: Sequence[str]) -> None:
    """Print a table with one line for each pattern and strategy."""
    parser = argparse.ArgumentParser(prog="python -m measure rates")
    parser.add_argument("--ways", nargs="*", choices=list(WAYS), default=list(WAYS))
    parser.add_argument(
        "--patterns", nargs="*", type=int, help="indexes of patterns, from 0"
    )
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args(words)
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
