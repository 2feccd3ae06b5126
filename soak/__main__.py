"""Command line of the soak test."""

import argparse
import random
import shutil
import sys
import time
from pathlib import Path

import anyio

from ._failed_seeds import FAILED_SEEDS
from ._fleet import FleetSize
from ._run import RunParameters, run_seed, summary

#: Directory for the logs of failed runs.
LOG_DIRECTORY = Path("out/soak")


def main() -> int:
    """Run the requested seeds; return 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(prog="soak", description=__doc__)
    parser.add_argument("--seed", type=int, help="first seed (default: random)")
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of consecutive seeds to run"
    )
    parser.add_argument(
        "--failed", action="store_true", help="run all seeds that have failed before"
    )
    parser.add_argument(
        "--minutes", type=float, help="run random seeds for this many minutes"
    )
    parser.add_argument("--hosts", type=int, default=FleetSize().hosts_count)
    parser.add_argument("--runners", type=int, default=FleetSize().runners_count)
    parser.add_argument("--callers", type=int, default=FleetSize().callers_count)
    parser.add_argument("--faults", type=int, default=RunParameters(0).faults_count)
    parser.add_argument(
        "--chaos-seconds", type=float, default=RunParameters(0).chaos_seconds
    )
    parser.add_argument(
        "--keep", action="store_true", help="keep the logs of runs that pass"
    )
    arguments = parser.parse_args()
    failed = [seed for seed in _seeds(arguments) if not _run_seed(seed, arguments)]
    if failed:
        print(f"failed seeds: {', '.join(map(str, failed))}; logs in {LOG_DIRECTORY}/")
    return 1 if failed else 0


def _seeds(arguments: argparse.Namespace):
    if arguments.failed:
        yield from FAILED_SEEDS
        return
    if arguments.minutes:
        end_seconds = time.monotonic() + 60.0 * arguments.minutes
        while time.monotonic() < end_seconds:
            yield random.SystemRandom().randrange(10**6)
        return
    first = arguments.seed
    if first is None:
        first = random.SystemRandom().randrange(10**6)
    yield from range(first, first + arguments.seeds)


def _run_seed(seed: int, arguments: argparse.Namespace) -> bool:
    size = FleetSize(arguments.hosts, arguments.runners, arguments.callers)
    parameters = RunParameters(seed, size, arguments.chaos_seconds, arguments.faults)
    directory = LOG_DIRECTORY / str(seed)
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    result = anyio.run(run_seed, parameters, directory)
    print(summary(result), flush=True)
    for violation in result.violations:
        print(f"  {violation}", flush=True)
    if not result.violations and not arguments.keep:
        shutil.rmtree(directory)
    return not result.violations


if __name__ == "__main__":
    sys.exit(main())
