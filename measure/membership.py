"""Cost of membership per host: bytes, messages and CPU time by the number of hosts.

Every host has the same share of the fleet's state. One host sends and receives
summaries for 20 simulated seconds; only building, encoding, decoding and handling are
timed. The slopes are fitted over the number of hosts.
"""

import argparse
import json
import random
import sys
import time
from pathlib import Path

import attrs
import numpy as np

from rampwick_policy import (
    HostListRead,
    LoadReported,
    PeerSummaryReceived,
    Scheduler,
    TreeChanged,
    TreeView,
)
from rampwick_schema import (
    LENGTH_BYTES,
    HostEntry,
    HostList,
    LoadReport,
    Node,
    PlacedPrefix,
    Summary,
    Tree,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
    decode_message,
    encode_message,
    parse_settings,
)

GOSSIP_SECONDS = 0.25
RUN_SECONDS = 20.0


@attrs.frozen
class Shape:
    """Sizes of one summary."""

    workspaces_count: int = 8
    upstreams_count: int = 5
    #: Number of prefixes placed since the last summary.
    prefixes_count: int = 5


@attrs.frozen
class Cost:
    """Costs of one host."""

    hosts_count: int
    bytes_per_second: float
    messages_per_second: float
    processor_ratio: float


def make_summary(shape: Shape, sequence: int, rng: random.Random) -> Summary:
    """Return a summary of the given sizes."""
    return Summary(
        sequence=sequence,
        revision=17,
        host_list_version=3,
        is_leaving=False,
        workspaces=[
            WorkspaceUsage(f"/herbaria/w{index}", rng.randrange(100_000))
            for index in range(shape.workspaces_count)
        ],
        upstreams=[
            UpstreamUsage(f"lektor-{index}", "ab12cd34/1", 4, 900)
            for index in range(shape.upstreams_count)
        ],
        placed=[
            PlacedPrefix(
                f"lektor-{index}",
                "ab12cd34/1",
                [rng.randbytes(8) for _ in range(count)],
                [rng.randrange(64, 4000) for _ in range(count)],
            )
            for index in range(min(5, shape.upstreams_count))
            if (count := shape.prefixes_count // min(5, shape.upstreams_count))
        ],
        waiting=[
            WaitingCount(f"/herbaria/w{index}", "lektor", 3)
            for index in range(shape.workspaces_count)
        ],
    )


def make_scheduler(shape: Shape) -> Scheduler:
    """Return a scheduler with the upstreams and the tree."""
    settings = parse_settings('[host]\nname = "a"\nhall = "h"\n', source="measure")
    scheduler = Scheduler(settings)
    names = [f"lektor-{index}" for index in range(shape.upstreams_count)]
    hosts = [HostEntry(name, "runner", "h", f"{name}:1") for name in names]
    scheduler.handle(HostListRead(HostList(1, hosts)), 0.0)
    paths = [f"/herbaria/w{index}" for index in range(shape.workspaces_count)]
    nodes = {path: Node(is_workspace=True) for path in paths}
    tree = Tree(1, {"/": Node(), "/herbaria": Node(), **nodes})
    scheduler.handle(TreeChanged(TreeView(tree)), 0.0)
    for name in names:
        report = LoadReport("ab12cd34", "m", 1, 16, 4, 0, 8000.0, 60_000)
        scheduler.handle(LoadReported(name, report), 0.0)
    return scheduler


def measure_hosts(hosts_count: int, shape: Shape) -> Cost:
    """Return the costs of one host in a fleet of ``hosts_count``."""
    scheduler = make_scheduler(shape)
    rng = random.Random(hosts_count)
    peers = [f"entry-{index}" for index in range(hosts_count - 1)]
    rounds = int(RUN_SECONDS / GOSSIP_SECONDS)
    # Messages of peers are built in advance; building them is the peers' cost.
    incoming = [
        [(peer, encode_message(make_summary(shape, at, rng))) for peer in peers]
        for at in range(rounds)
    ]
    sent_bytes = received_bytes = 0
    started_seconds = time.process_time()
    for at in range(rounds):
        now_seconds = at * GOSSIP_SECONDS
        for peer, data in incoming[at]:
            summary = decode_message(data[LENGTH_BYTES:], peer=peer)
            scheduler.handle(PeerSummaryReceived(peer, "h", 1, summary), now_seconds)
            received_bytes += len(data)
        own = make_summary(shape, at, rng)
        scheduler.summary(at, 17, False, now_seconds)
        # The daemon encodes a summary once for all peers.
        sent_bytes += len(encode_message(own)) * len(peers)
    used_seconds = time.process_time() - started_seconds
    return Cost(
        hosts_count=hosts_count,
        bytes_per_second=(sent_bytes + received_bytes) / RUN_SECONDS,
        messages_per_second=2 * len(peers) / GOSSIP_SECONDS,
        processor_ratio=used_seconds / RUN_SECONDS,
    )


def main(argv: list[str] | None = None) -> None:
    """Measure fleets of several sizes and fit the slopes."""
    parser = argparse.ArgumentParser(prog="measure membership", description=__doc__)
    parser.add_argument("--hosts", nargs="+", type=int, default=[3, 8, 16, 32])
    parser.add_argument("--out", type=Path, default=Path("out/membership.json"))
    arguments = parser.parse_args(argv)
    result: dict[str, object] = {}
    shapes = {
        "today": Shape(),
        "quiet": Shape(prefixes_count=0),
        "hall of the fleet": Shape(60, 30, 20),
    }
    for name, shape in shapes.items():
        costs = [measure_hosts(count, shape) for count in arguments.hosts]
        peers = [cost.hosts_count - 1 for cost in costs]
        slopes = {
            field: float(
                np.polyfit(peers, [getattr(cost, field) for cost in costs], 1)[0]
            )
            for field in ("bytes_per_second", "messages_per_second", "processor_ratio")
        }
        result[name] = {"costs": [attrs.asdict(cost) for cost in costs], **slopes}
        for cost in costs:
            print(
                f"{name:<18}{cost.hosts_count:>4} hosts {cost.bytes_per_second:>9.0f} "
                f"B/s {cost.messages_per_second:>7.0f} messages/s "
                f"{cost.processor_ratio * 100:>7.3f} % of a core"
            )
        print(
            f"{name:<18}a peer more: {slopes['bytes_per_second']:.0f} B/s, "
            f"{slopes['processor_ratio'] * 100:.4f} % of a core"
        )
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
