"""Slopes for docs/CAPACITY.md: memory, size and CPU time by the sizes of the fleet."""

import argparse
import json
import random
import sys
import time
import tracemalloc
from collections.abc import Callable
from pathlib import Path

import numpy as np

from rampwick_platform import encode_record
from rampwick_policy import (
    AttemptDelivered,
    AttemptDone,
    CacheGeneration,
    Checkpoint,
    Dispatch,
    PrefixCacheIndex,
    PrefixChain,
    RequestArrived,
    Scheduler,
    Scope,
    TreeView,
    Workspace,
    build_chain,
    decide_claims,
)
from rampwick_schema import Claim, ClaimShard, Node, Tree

from .membership import Shape, make_scheduler

REQUESTS_COUNT = 2000


def fit(sizes: list[int], values: list[float]) -> float:
    """Return the slope of values over sizes."""
    return float(np.polyfit(sizes, values, 1)[0])


def known_prefix_bytes(entries: int) -> float:
    """Return the memory used by a number of known prefixes."""
    rng = random.Random(1)
    tracemalloc.start()
    cache_index = PrefixCacheIndex(10**7)
    generation = CacheGeneration("life", 1)
    cache_index.observe_generation("r", generation, 10**12)
    for _ in range(entries // 20):
        points = tuple(
            Checkpoint(rng.randbytes(8), depth * 64) for depth in range(1, 21)
        )
        cache_index.note_prompt("r", generation, PrefixChain(points, 1280))
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return float(used)


def request_seconds(runners: int, workspaces: int = 8) -> float:
    """Return the scheduler's CPU time per request by the number of runners."""
    shape = Shape(workspaces_count=workspaces, upstreams_count=runners)
    scheduler = make_scheduler(shape)
    chains = [
        build_chain(
            Scope("/herbaria/w0", "m"),
            (f"guide {number % 5} " * 3000).encode() + f"item {number}".encode(),
            block_bytes=256,
            bytes_per_token=4.0,
        )
        for number in range(20)
    ]
    started_seconds = time.process_time()
    for number in range(REQUESTS_COUNT):
        serve_one(scheduler, f"r{number}", chains[number % 20], number * 0.01)
    return (time.process_time() - started_seconds) / REQUESTS_COUNT


def serve_one(
    scheduler: Scheduler, request_id: str, chain: PrefixChain, at_seconds: float
) -> None:
    """Pass one request through the scheduler."""
    arrival = RequestArrived(
        request_id=request_id,
        workspace=Workspace("/herbaria/w0", (1.0, 1.0), ()),
        priority_class="interactive",
        deadline_seconds=at_seconds + 60.0,
        is_repeatable=True,
        chain=chain,
        scope=Scope("/herbaria/w0", "m"),
        max_answer_tokens=8,
    )
    (action,) = scheduler.handle(arrival, at_seconds)
    assert isinstance(action, Dispatch)
    names = (request_id, action.attempt_id)
    scheduler.handle(AttemptDelivered(*names), at_seconds)
    scheduler.handle(AttemptDone(*names, 0, chain.total_tokens, 8), at_seconds)


def chain_seconds(tokens: int) -> float:
    """Return the CPU time to hash a prompt of a number of tokens."""
    text = b"x" * (tokens * 4)
    scope = Scope("/w", "m")
    started_seconds = time.process_time()
    for _ in range(200):
        build_chain(scope, text, block_bytes=256, bytes_per_token=4.0)
    return (time.process_time() - started_seconds) / 200


def make_tree(nodes: int) -> Tree:
    """Return a tree with a number of workspaces."""
    paths = [f"/group-{number % 20}/workspace-{number}" for number in range(nodes)]
    groups = {f"/group-{number}": Node() for number in range(20)}
    hashes = {path: f"{number:064x}" for number, path in enumerate(paths)}
    own = {
        path: Node(
            is_workspace=True,
            key_hashes=[hashes[path]],
            weight=2.0,
            tokens_per_second=1000.0,
        )
        for path in paths
    }
    return Tree(1, {"/": Node(), **groups, **own})


def tree_bytes(nodes: int) -> float:
    """Return the size of a tree's snapshot."""
    return float(len(encode_record(make_tree(nodes))))


def tree_seconds(nodes: int) -> float:
    """Return the CPU time to validate and resolve a tree."""
    tree = make_tree(nodes)
    started_seconds = time.process_time()
    for _ in range(5):
        TreeView(tree)
    return (time.process_time() - started_seconds) / 5


def shard_bytes(claims: int) -> float:
    """Return the size of a shard with a number of live claims."""
    shard = ClaimShard([Claim(f"{at:032x}", f"{at:016x}", 1e9) for at in range(claims)])
    return float(len(encode_record(shard)))


def shard_seconds(claims: int) -> float:
    """Return the CPU time to decide one claim in a shard of a number of claims."""
    shard = ClaimShard([Claim(f"{at:032x}", f"{at:016x}", 1e9) for at in range(claims)])
    wanted = [Claim("f" * 32, "a" * 16, 1e9)]
    started_seconds = time.process_time()
    for _ in range(10):
        decide_claims(shard, wanted, 0.0)
    return (time.process_time() - started_seconds) / 10


SLOPES: dict[str, tuple[Callable[[int], float], list[int]]] = {
    "bytes for each known prefix": (known_prefix_bytes, [2_000, 8_000, 20_000]),
    "seconds for a request, each runner more": (request_seconds, [5, 15, 30, 60]),
    "seconds to hash, each token": (chain_seconds, [1_000, 4_000, 12_000]),
    "bytes of tree, each workspace": (tree_bytes, [50, 200, 400]),
    "seconds to resolve the tree, each workspace": (tree_seconds, [50, 200, 400]),
    "bytes of a claim shard, each claim": (shard_bytes, [100, 1_000, 5_000]),
    "seconds to decide a claim, each held": (shard_seconds, [100, 1_000, 5_000]),
}


def main(argv: list[str] | None = None) -> None:
    """Measure and fit every slope."""
    parser = argparse.ArgumentParser(prog="measure slopes", description=__doc__)
    parser.add_argument("--out", type=Path, default=Path("out/slopes.json"))
    arguments = parser.parse_args(argv)
    result = {}
    for name, (measure, sizes) in SLOPES.items():
        values = [measure(size) for size in sizes]
        slope = fit(sizes, values)
        result[name] = {"sizes": sizes, "values": values, "slope": slope}
        shown = ", ".join(f"{value:.4g}" for value in values)
        print(f"{name:<46}{slope:>12.4g}   ({shown})")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
