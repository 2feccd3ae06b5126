"""Processor time of placement decisions by the number of runners.

One scheduler has the load of its peers at every runner, prompts with a shared prefix
that some runners hold, and import sources. Three things are timed: a choice (views,
import sources and scores), the way of a request from its arrival to its dispatch, and
the events of a host that has requests waiting for full runners.
"""

import argparse
import json
import random
import sys
import time
from collections.abc import Callable
from pathlib import Path

import attrs

from rampwick_policy import (
    AttemptDelivered,
    AttemptDone,
    CacheGeneration,
    Dispatch,
    HostListRead,
    PeerSummaryReceived,
    PrefixChain,
    RequestArrived,
    Scheduler,
    Scope,
    Tick,
    TreeChanged,
    TreeView,
    chain_from_parts,
)
from rampwick_policy._capacity import CapacitySnapshot
from rampwick_policy._prefix import PromptPart
from rampwick_policy._prefix_cache_index import generation_label
from rampwick_schema import (
    HostEntry,
    HostList,
    KeptStore,
    Node,
    PlacedPrefix,
    Routing,
    Service,
    Summary,
    Tree,
    UpstreamUsage,
    parse_settings,
)

SERVICE = "engine"
MODEL = "m"
HALLS = ("h0", "h1", "h2")
SLOTS_COUNT = 48
WORKSPACES_COUNT = 16
#: Prompts with a common prefix, in each workspace.
PREFIXES_COUNT = 4
#: Relays that send the load of a part of the fleet.
RELAYS_COUNT = 3
SUMMARY_INTERVAL_SECONDS = 0.25
WAITING_COUNT = 30

SETTINGS = """
[host]
name = "a"
hall = "h0"

[placement]
prefill_tokens_per_second = 36100.0
max_prefill_queue_seconds = 0.5
"""


@attrs.frozen
class Cost:
    """Processor time in microseconds by the number of runners."""

    runners_count: int
    #: Views, import sources and scores, with unchanged upstreams.
    choice_us: float
    #: The same for a prompt whose prefix has not been seen before.
    new_prefix_choice_us: float
    #: The same with new load of all peers before each choice; the summaries themselves
    #: are not counted.
    choice_after_summaries_us: float
    #: From the arrival to the dispatch, and the rest of a request's events.
    arrival_us: float
    completion_us: float
    #: One summary of a relay.
    summary_us: float
    #: Events while requests wait for full runners.
    waiting_arrival_us: float
    waiting_delivered_us: float
    waiting_summary_us: float
    waiting_tick_us: float


def make_scheduler(runners_count: int) -> Scheduler:
    """Return a scheduler that knows its runners, workspaces and stores."""
    settings = parse_settings(SETTINGS, source="measure")
    scheduler = Scheduler(settings)
    entries = [
        HostEntry(
            f"r{index}",
            "runner",
            HALLS[index % len(HALLS)],
            f"r{index}:1",
            group=SERVICE,
            incarnation=f"r{index}",
            model=MODEL,
            weights_version=1,
            slots_count=SLOTS_COUNT,
        )
        for index in range(runners_count)
    ]
    scheduler.handle(HostListRead(HostList(1, entries)), 0.0)
    service = Service(
        SERVICE,
        is_engine=True,
        cache_tokens=90_051,
        token_bytes=18_432,
        link_bits_per_second=130e9,
    )
    stores = [
        KeptStore(f"s{index}", f"s{index}:1", hall, 600_000, 130e9)
        for index, hall in enumerate(HALLS)
    ]
    nodes = {"/": Node()}
    nodes |= {
        f"/w{index}": Node(is_workspace=True) for index in range(WORKSPACES_COUNT)
    }
    tree = Tree(1, nodes, Routing(services=[service], kept_stores=stores))
    scheduler.handle(TreeChanged(TreeView(tree)), 0.0)
    return scheduler


class Bench:
    """A scheduler with the load and the placements of its peers."""

    def __init__(self, runners_count: int) -> None:
        self.scheduler = make_scheduler(runners_count)
        self.now_seconds = 1.0
        self._runners_count = runners_count
        self._rng = random.Random(1)
        self._sequence = 0
        self._requests_count = 0
        self._place_prefixes()
        for summary in self.make_summaries(0.5):
            self.handle(summary)

    def handle(self, event: object) -> list:
        """Handle an event now."""
        return self.scheduler.handle(event, self.now_seconds)

    def chain(self, workspace: int, prefix: int, own: int) -> PrefixChain:
        """Return a long prompt with a shared prefix."""
        scope = Scope(f"/w{workspace}", MODEL)
        parts = [
            PromptPart(b"guide", 1300),
            PromptPart(b"shared %d" % prefix, 5000),
            PromptPart(b"own %d" % own, 2890),
        ]
        return chain_from_parts(scope, parts)

    def arrival(self, chain: PrefixChain | None = None) -> RequestArrived:
        """Return the arrival of a prompt with a random prefix."""
        self._requests_count += 1
        index = self._rng.randrange(WORKSPACES_COUNT)
        if chain is None:
            prefix = self._rng.randrange(PREFIXES_COUNT)
            chain = self.chain(index, prefix, self._requests_count)
        workspace = self.scheduler.admission.workspaces[f"/w{index}"]
        return RequestArrived(
            request_id=f"q{self._requests_count}",
            workspace=workspace,
            priority_class="batch",
            deadline_seconds=self.now_seconds + 60.0,
            is_repeatable=True,
            chain=chain,
            scope=Scope(workspace.path, MODEL),
            service=SERVICE,
            latency_target_seconds=30.0,
            max_answer_tokens=7,
        )

    def make_summaries(self, load_ratio: float) -> list[PeerSummaryReceived]:
        """Return a summary of each relay, with a random load of every runner."""
        self._sequence += 1
        share = load_ratio * SLOTS_COUNT / RELAYS_COUNT
        return [
            PeerSummaryReceived(
                f"relay-{relay}", HALLS[relay], 1, self._make_summary(share)
            )
            for relay in range(RELAYS_COUNT)
        ]

    def _make_summary(self, share: float) -> Summary:
        usages = []
        for index in range(self._runners_count):
            name = f"r{index}"
            label = generation_label(CacheGeneration(name, 1))
            running_count = max(1, round(share * self._rng.uniform(0.8, 1.2)))
            usages.append(
                UpstreamUsage(name, label, running_count, self._rng.randrange(200))
            )
        return Summary(
            sequence=self._sequence,
            revision=1,
            host_list_version=1,
            is_leaving=False,
            workspaces=[],
            upstreams=usages,
            placed=[],
        )

    def _place_prefixes(self) -> None:
        placed = []
        for workspace in range(WORKSPACES_COUNT):
            for prefix in range(PREFIXES_COUNT):
                chain = self.chain(workspace, prefix, 0)
                shared = chain.levels
                for index in self._rng.sample(range(self._runners_count), 5):
                    name = f"r{index}"
                    placed.append(
                        PlacedPrefix(
                            name,
                            generation_label(CacheGeneration(name, 1)),
                            [item.prefix for item in reversed(shared)],
                            [5000, 1300],
                        )
                    )
        summary = Summary(1, 1, 1, False, [], [], placed)
        self.handle(PeerSummaryReceived("placer", "h1", 1, summary))

    def choose(self, arrival: RequestArrived) -> None:
        """Make one choice without a dispatch."""
        scheduler = self.scheduler
        item = scheduler._intake.new_item(arrival, self.now_seconds)
        pool = scheduler.pool
        dispatcher = scheduler._dispatcher
        capacity = CapacitySnapshot(
            pool.view_cache,
            pool.upstreams,
            pool.peers,
            scheduler.admission,
            self.now_seconds,
        )
        dispatcher._choose(item, capacity.views(arrival), self.now_seconds)


def mean_us(function: Callable[[], None], prepare: Callable[[], None], n: int) -> float:
    """Return the mean processor time of a function in microseconds."""
    prepare()
    function()
    used_seconds = 0.0
    for _ in range(n):
        prepare()
        started_seconds = time.process_time()
        function()
        used_seconds += time.process_time() - started_seconds
    return used_seconds / n * 1e6


def measure(runners_count: int, rounds_count: int) -> Cost:
    """Return the costs with a number of runners."""
    bench = Bench(runners_count)
    pending: list = []

    def advance() -> None:
        bench.now_seconds += 0.001
        pending[:] = [bench.arrival()]

    def advance_new_prefix() -> None:
        advance()
        chain = bench.chain(0, bench._requests_count + 1000, 0)
        pending[:] = [attrs.evolve(pending[0], chain=chain)]

    def advance_with_summaries() -> None:
        advance()
        for summary in bench.make_summaries(0.5):
            bench.handle(summary)

    def choose() -> None:
        bench.choose(pending[0])

    # Every prefix has been used before.
    for _ in range(8 * WORKSPACES_COUNT * PREFIXES_COUNT):
        advance()
        choose()
    choice_us = mean_us(choose, advance, rounds_count)
    new_prefix_us = mean_us(choose, advance_new_prefix, rounds_count)
    after_summaries_us = mean_us(choose, advance_with_summaries, rounds_count)
    arrival_us, completion_us = measure_requests(bench, rounds_count)
    summary_us = measure_summaries(bench, 0.5, rounds_count)
    return Cost(
        runners_count,
        choice_us,
        new_prefix_us,
        after_summaries_us,
        arrival_us,
        completion_us,
        summary_us,
        *measure_waiting(bench, rounds_count),
    )


def measure_requests(bench: Bench, rounds_count: int) -> tuple[float, float]:
    """Return the times from arrival to dispatch, and of the rest of a request."""
    arrival_seconds = completion_seconds = 0.0
    for _ in range(rounds_count):
        bench.now_seconds += 0.001
        arrival = bench.arrival()
        started_seconds = time.process_time()
        (action,) = bench.handle(arrival)
        sent_seconds = time.process_time()
        assert isinstance(action, Dispatch), action
        names = (action.request_id, action.attempt_id)
        bench.handle(AttemptDelivered(*names))
        bench.handle(AttemptDone(*names, 6300, 9190, 7, connection_idle_seconds=4.0))
        ended_seconds = time.process_time()
        arrival_seconds += sent_seconds - started_seconds
        completion_seconds += ended_seconds - sent_seconds
    scale = 1e6 / rounds_count
    return arrival_seconds * scale, completion_seconds * scale


def measure_summaries(bench: Bench, load_ratio: float, rounds_count: int) -> float:
    """Return the time to handle one summary of a relay."""
    used_seconds = 0.0
    for _ in range(rounds_count):
        bench.now_seconds += 0.001
        summaries = bench.make_summaries(load_ratio)
        started_seconds = time.process_time()
        for summary in summaries:
            bench.handle(summary)
        used_seconds += time.process_time() - started_seconds
    return used_seconds / rounds_count / RELAYS_COUNT * 1e6


def measure_waiting(
    bench: Bench, rounds_count: int
) -> tuple[float, float, float, float]:
    """Return the times of events while requests wait for full runners."""
    bench.now_seconds += 0.001
    (running,) = bench.handle(bench.arrival())
    for summary in bench.make_summaries(2.0):
        bench.handle(summary)
    while len(bench.scheduler.queue) < WAITING_COUNT:
        bench.handle(bench.arrival())
    names = (running.request_id, running.attempt_id)
    pending: list = []

    def arrive() -> None:
        bench.now_seconds += 0.001
        for item in list(bench.scheduler.queue)[WAITING_COUNT:]:
            bench.scheduler._requests.refuse(item, "queue_full", bench.now_seconds)
        pending[:] = [bench.arrival()]

    def advance() -> None:
        bench.now_seconds += 0.001

    def handle_pending() -> None:
        actions = bench.handle(pending[0])
        assert not any(isinstance(item, Dispatch) for item in actions)

    arrival_us = mean_us(handle_pending, arrive, rounds_count)
    arrive()
    pending[:] = [AttemptDelivered(*names)]
    delivered_us = mean_us(handle_pending, advance, rounds_count)
    summary_us = measure_summaries(bench, 2.0, max(10, rounds_count // 10))
    pending[:] = [Tick()]
    tick_us = mean_us(handle_pending, advance, rounds_count)
    return arrival_us, delivered_us, summary_us, tick_us


def main(argv: list[str] | None = None) -> None:
    """Measure fleets of several sizes."""
    parser = argparse.ArgumentParser(prog="measure decisions", description=__doc__)
    parser.add_argument("--runners", nargs="+", type=int, default=[30, 70, 200, 1500])
    parser.add_argument("--rounds", type=int, default=100)
    parser.add_argument("--out", type=Path, default=Path("out/decisions.json"))
    arguments = parser.parse_args(argv)
    costs = [measure(count, arguments.rounds) for count in arguments.runners]
    for field in attrs.fields(Cost):
        values = [getattr(cost, field.name) for cost in costs]
        shown = "".join(f"{value:>12.0f}" for value in values)
        print(f"{field.name:<28}{shown}")
    arguments.out.parent.mkdir(parents=True, exist_ok=True)
    result = [attrs.asdict(cost) for cost in costs]
    arguments.out.write_text(json.dumps(result, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
