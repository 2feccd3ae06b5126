"""Command line of the soak."""

import argparse
import random
import shutil
import sys
import time
from pathlib import Path

import anyio

from ._failed_seeds import FAILED_SEEDS
from ._fleet import Size
from ._run import Terms, play, summary

#: Where logs of runs that failed are kept.
OUT = Path("out/soak")


def main() -> int:
    """Play the seeds that were asked for; return 1 if a promise was broken."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed; default is a fresh one")
    parser.add_argument("--seeds", type=int, default=1, help="how many in a row")
    parser.add_argument("--failed", action="store_true", help="all that ever failed")
    parser.add_argument("--minutes", type=float, help="fresh seeds for so long")
    parser.add_argument("--hosts", type=int, default=Size().hosts_count)
    parser.add_argument("--runners", type=int, default=Size().runners_count)
    parser.add_argument("--callers", type=int, default=Size().callers_count)
    parser.add_argument("--faults", type=int, default=Terms(0).faults_count)
    parser.add_argument("--chaos-seconds", type=float, default=Terms(0).chaos_seconds)
    parser.add_argument("--keep", action="store_true", help="keep logs of good runs")
    arguments = parser.parse_args()
    failed = [seed for seed in _seeds(arguments) if not _play(seed, arguments)]
    if failed:
        print(f"broken: {', '.join(map(str, failed))}; logs are in {OUT}/")
    return 1 if failed else 0


def _seeds(arguments: argparse.Namespace):
    if arguments.failed:
        yield from FAILED_SEEDS
        return
    if arguments.minutes:
        ends_seconds = time.monotonic() + 60.0 * arguments.minutes
        while time.monotonic() < ends_seconds:
            yield random.SystemRandom().randrange(10**6)
        return
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    yield from range(first, first + arguments.seeds)


def _play(seed: int, arguments: argparse.Namespace) -> bool:
    size = Size(arguments.hosts, arguments.runners, arguments.callers)
    terms = Terms(seed, size, arguments.chaos_seconds, arguments.faults)
    folder = OUT / str(seed)
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    verdict = anyio.run(play, terms, folder)
    print(summary(verdict), flush=True)
    for violation in verdict.violations:
        print(f"  {violation}", flush=True)
    if not verdict.violations and not arguments.keep:
        shutil.rmtree(folder)
    return not verdict.violations


if __name__ == "__main__":
    sys.exit(main())
