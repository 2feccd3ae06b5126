"""Simulation of several hosts' schedulers with simulated runners and a shared clock.

Network delays are constant and runners are simplified: the simulation compares
placement strategies on the same arrivals and does not predict absolute figures.
"""

import random
from collections.abc import Callable
from typing import Any

import attrs

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    AttemptFailed,
    CancelAttempt,
    Dispatch,
    HostListRead,
    LoadReported,
    Outcome,
    PeerSummaryReceived,
    Placement,
    PrefixChain,
    Refuse,
    RequestArrived,
    Scheduler,
    Tick,
    TreeChanged,
    TreeView,
)
from rampwick_schema import (
    HostEntry,
    HostList,
    LoadReport,
    Node,
    Tree,
    encode_message,
    parse_settings,
)

from ._runner import (
    HOP_SECONDS,
    REPORT_INTERVAL_SECONDS,
    REPORT_LAG_SECONDS,
    TICK_SECONDS,
    Clock,
    Job,
    Runner,
    SimulationSettings,
)
from ._workload import Arrival

HALLS = ("bratislava-a", "bratislava-b", "trnava", "nitra")


class Oracle:
    """Exact view of every runner's cache without delay."""

    def __init__(self, runners: dict[str, Runner]) -> None:
        self._runners = runners
        self._blocks: dict[int, tuple[tuple[str, int], ...]] = {}

    def register(self, arrival: Arrival) -> None:
        """Register the blocks of a prompt's chain."""
        self._blocks[id(arrival.prompt.chain)] = arrival.prompt.blocks

    def cached_tokens(self, upstream: str, chain: PrefixChain) -> int:
        """Return the number of tokens of a chain that a runner has cached."""
        return self._runners[upstream].cached_prefix_tokens(self._blocks[id(chain)])

    def runners_holding(self, prefix: bytes) -> tuple[str, ...]:
        """Return no runners; all of the few runners are scored anyway."""
        return ()


@attrs.define
class Sample:
    """Outcome of one request."""

    arrival: Arrival
    first_seconds: float | None = None
    done_seconds: float | None = None
    cached_tokens: int = 0
    refused: str = ""
    refused_seconds: float = 0.0


class Host:
    """A host's scheduler with its open requests."""

    def __init__(
        self, simulation: "Simulation", index: int, placement: Placement | None = None
    ) -> None:
        self._simulation = simulation
        self._clock = simulation.clock
        self._index = index
        self.name = f"entry-{index}"
        self._placement = placement
        self.incarnation = 0
        self.open: dict[str, Sample] = {}
        self._count = 0
        self.restart()

    def restart(self) -> None:
        """Restart with a new incarnation and without state."""
        self.incarnation += 1
        self._sequence = 0
        hall = HALLS[self._index % len(HALLS)]
        settings = parse_settings(
            f'[host]\nname = "{self.name}"\nhall = "{hall}"\n'
            f"[placement]\nmiss_price = {self._simulation.settings.miss_price}\n",
            source="world",
        )
        self.scheduler = Scheduler(settings, self._placement)
        now_seconds = self._clock.now_seconds
        self.scheduler.handle(HostListRead(self._simulation.host_list), now_seconds)
        self.scheduler.handle(TreeChanged(self._simulation.view), now_seconds)
        for runner in self._simulation.runners.values():
            if runner.is_up:
                self.receive_report(runner.name, runner.report())

    def arrive(self, arrival: Arrival) -> None:
        """Receive a request of a client."""
        self._count += 1
        request_id = f"{self.name}.{self.incarnation}.{self._count}"
        sample = Sample(arrival)
        self.open[request_id] = sample
        self._simulation.samples.append(sample)
        self.handle(
            RequestArrived(
                request_id=request_id,
                workspace=arrival.workspace,
                priority_class=arrival.kind.priority_class,
                deadline_seconds=self._clock.now_seconds
                + self._simulation.settings.deadline_seconds,
                is_repeatable=True,
                chain=arrival.prompt.chain,
                scope=arrival.prompt.scope,
                max_answer_tokens=arrival.kind.answer_tokens,
            )
        )

    def handle(self, event: Any) -> None:
        """Pass an event to the scheduler and execute its actions."""
        for action in self.scheduler.handle(event, self._clock.now_seconds):
            if isinstance(action, Dispatch):
                self._send(action)
            elif isinstance(action, CancelAttempt):
                runner = self._simulation.runners[action.upstream]
                self._clock.after(HOP_SECONDS, runner.cancel, action.attempt_id)
            elif isinstance(action, Refuse):
                sample = self.open.pop(action.request_id)
                sample.refused = action.reason
                sample.refused_seconds = self._clock.now_seconds

    def _send(self, dispatch: Dispatch) -> None:
        sample = self.open[dispatch.request_id]
        job = Job(self, dispatch, sample.arrival)
        runner = self._simulation.runners[dispatch.upstream]
        classes = ("portal", "interactive", "batch")
        priority = classes.index(sample.arrival.kind.priority_class)
        self._clock.after(HOP_SECONDS, runner.receive, job, priority)

    def first_token(self, job: Job) -> None:
        """Receive the first token of an attempt."""
        names = (job.dispatch.request_id, job.dispatch.attempt_id)
        sample = self.open.get(names[0])
        if sample is None:
            return
        sample.first_seconds = self._clock.now_seconds
        sample.cached_tokens = job.cached_tokens
        self.handle(AttemptAccepted(*names))
        self.handle(AttemptDelivered(*names))

    def done(self, job: Job) -> None:
        """Receive the end of an attempt."""
        sample = self.open.pop(job.dispatch.request_id, None)
        if sample is None:
            return
        sample.done_seconds = self._clock.now_seconds
        prompt = job.arrival.prompt
        self.handle(
            AttemptDone(
                job.dispatch.request_id,
                job.dispatch.attempt_id,
                cached_tokens=job.cached_tokens,
                prompt_tokens=prompt.tokens,
                answer_tokens=job.arrival.kind.answer_tokens,
            )
        )

    def failed(self, job: Job, outcome: Outcome) -> None:
        """Receive the failure of an attempt."""
        names = (job.dispatch.request_id, job.dispatch.attempt_id)
        if names[0] in self.open:
            self.handle(AttemptFailed(*names, outcome, "failed"))

    def receive_report(self, name: str, report: LoadReport) -> None:
        """Receive the load report of a runner."""
        self.handle(LoadReported(name, report))

    def gossip(self) -> None:
        """Send a summary to all peers and schedule the next one."""
        settings = self._simulation.settings
        self._sequence += 1
        summary = self.scheduler.summary(
            self._sequence, 1, False, self._clock.now_seconds
        )
        if not settings.shares_placements:
            summary = attrs.evolve(summary, placed=[])
        size_bytes = len(encode_message(summary))
        for peer in self._simulation.hosts:
            if peer is not self and self._simulation.can_communicate(self, peer):
                self._simulation.gossip_bytes += size_bytes
                summary_received = PeerSummaryReceived(
                    self.name, "", self.incarnation, summary
                )
                self._clock.after(HOP_SECONDS, peer.handle, summary_received)
        self._clock.after(settings.gossip_seconds, self.gossip)

    def tick(self) -> None:
        """Handle a tick and schedule the next one."""
        self.handle(Tick())
        self._clock.after(TICK_SECONDS, self.tick)


class Simulation:
    """A simulated fleet of hosts and runners."""

    def __init__(
        self,
        settings: SimulationSettings,
        seed: int,
        make_placement: Callable[["Simulation"], Placement | None],
    ) -> None:
        self.settings = settings
        self.clock = Clock()
        self.samples: list[Sample] = []
        self.gossip_bytes = 0
        self._rng = random.Random(seed)
        self.runners = {
            f"lektor-{index}": Runner(f"lektor-{index}", settings, self.clock)
            for index in range(settings.runners_count)
        }
        for runner in self.runners.values():
            runner.others = [
                other for other in self.runners.values() if other is not runner
            ]
        self.oracle = Oracle(self.runners)
        self.host_list = HostList(
            version=1,
            hosts=[
                HostEntry(name, "runner", HALLS[index % len(HALLS)], f"{name}:1")
                for index, name in enumerate(self.runners)
            ],
        )
        self.view = TreeView(Tree(1, {"/": Node()}))
        self.partitioned_hosts: set[str] = set()
        self.hosts: list[Host] = []
        for index in range(settings.hosts_count):
            self.hosts.append(Host(self, index, make_placement(self)))

    def set_weights(self, nodes: dict[str, Node]) -> None:
        """Put a tree with these nodes in force on all hosts."""
        self.view = TreeView(Tree(2, {"/": Node(), **nodes}))
        for host in self.hosts:
            host.handle(TreeChanged(self.view))

    def can_communicate(self, one: Host, two: Host) -> bool:
        """Return whether two hosts are on the same side of a network partition."""
        return (one.name in self.partitioned_hosts) == (
            two.name in self.partitioned_hosts
        )

    def start(self) -> None:
        """Start the periodic tasks of hosts and runners."""
        for host in self.hosts:
            phase = self._rng.random()
            self.clock.after(phase * self.settings.gossip_seconds, host.gossip)
            self.clock.after(phase * TICK_SECONDS, host.tick)
        for runner in self.runners.values():
            self._report(runner)

    def _report(self, runner: Runner) -> None:
        if runner.is_up:
            report = runner.report()
            for host in self.hosts:
                lag = REPORT_LAG_SECONDS
                self.clock.after(lag, host.receive_report, runner.name, report)
        self.clock.after(REPORT_INTERVAL_SECONDS, self._report, runner)

    def submit(self, arrival: Arrival) -> None:
        """Schedule a request's arrival at a random host."""
        weights = self.settings.host_weights or [1.0] * len(self.hosts)
        (host,) = self._rng.choices(self.hosts, weights)
        self.oracle.register(arrival)
        delay_seconds = arrival.at_seconds - self.clock.now_seconds
        self.clock.after(delay_seconds, host.arrive, arrival)
