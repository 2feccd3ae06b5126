"""Compare strategies that enforce a token limit over a fleet on the same arrivals.

``python -m measure limits [PATTERN …] [--ways WAY …] [--seeds N]``
"""

import argparse
import statistics
from collections.abc import Sequence

from ._limit_patterns import PATTERNS
from ._limit_strategies import STRATEGIES
from ._limits_lab import LimitsLab, refused_wrongly_ratio, worst_window_ratio


def main(argv: Sequence[str]) -> None:
    """Print a table with one line per pattern and strategy."""
    names = [pattern.name for pattern in PATTERNS]
    parser = argparse.ArgumentParser(prog="python -m measure limits")
    parser.add_argument("patterns", nargs="*", choices=[*names, []], default=[])
    parser.add_argument(
        "--ways", nargs="*", choices=list(STRATEGIES), default=list(STRATEGIES)
    )
    parser.add_argument("--seeds", type=int, default=3)
    arguments = parser.parse_args(argv)
    print("pattern                          way            worst window  used  refused")
    for pattern in PATTERNS:
        if arguments.patterns and pattern.name not in arguments.patterns:
            continue
        for strategy in arguments.ways:
            worst, used, refused = [], [], []
            for seed in range(1, arguments.seeds + 1):
                requests = LimitsLab(pattern, strategy, seed).run()
                worst.append(worst_window_ratio(pattern, requests))
                refused.append(refused_wrongly_ratio(pattern, requests))
                admitted_tokens = sum(
                    item.tokens for item in requests if item.was_admitted
                )
                used.append(admitted_tokens / sum(item.tokens for item in requests))
            print(
                f"{pattern.name:32s} {strategy:13s}"
                f" {max(worst):9.3f} {statistics.mean(used):11.3f}"
                f" {statistics.mean(refused):8.3f}"
            )
