"""Compare strategies of crash attribution on the same arrivals.

``python -m measure blame [--ways WAY …] [--seeds N] [--pattern NAME]``
"""

import argparse
import math
import statistics
from collections.abc import Sequence

from ._attribution_lab import PATTERNS, STRATEGIES, AttributionLab, AttributionResult


def _share_served_later(results: Sequence[AttributionResult]) -> float:
    """Return the share of sound requests that a first try serves after all is known."""
    later_count = sum(item.later_count for item in results)
    served_count = sum(item.later_served_count for item in results)
    return served_count / later_count if later_count else math.nan


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and strategy."""
    parser = argparse.ArgumentParser(prog="python -m measure blame")
    parser.add_argument(
        "--ways", nargs="*", choices=list(STRATEGIES), default=list(STRATEGIES)
    )
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--pattern", default="", help="part of the patterns' names")
    arguments = parser.parse_args(argv)
    print(
        "pattern                                      way         until known  "
        "crashes, mean  most  late  sound  refused  lost  later served  isolated"
        "  waited p99 s  KB a host"
    )
    for pattern in (item for item in PATTERNS if arguments.pattern in item.name):
        for strategy in arguments.ways:
            results = [
                AttributionLab(pattern, strategy, seed).run()
                for seed in range(1, arguments.seeds + 1)
            ]
            crashes = [n for item in results for n in item.crashes.values()]
            known = [n for item in results for n in item.crashes_until_known.values()]
            waits = sorted(wait for item in results for wait in item.waits_seconds)
            p99_seconds = waits[int(len(waits) * 0.99)] if waits else 0.0
            broadcast_bytes = statistics.mean(item.broadcast_bytes for item in results)
            print(
                f"{pattern.name:44s} {strategy:12s}"
                f" {statistics.mean(known) if known else math.nan:10.1f}"
                f" {statistics.mean(crashes) if crashes else math.nan:14.1f}"
                f" {max(crashes, default=0):5d}"
                f" {sum(sum(item.late_runs.values()) for item in results):5d}"
                f" {sum(item.innocents_count for item in results):6d}"
                f" {sum(item.refused_count for item in results):8d}"
                f" {sum(item.lost_count for item in results):5d}"
                f" {_share_served_later(results):13.3f}"
                f" {len(waits):9d} {p99_seconds:13.2f}"
                f" {broadcast_bytes / 1000 / pattern.hosts_count:10.1f}",
                flush=True,
            )
