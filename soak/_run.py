"""One run of the soak test: a fleet, its callers, the faults, and the result."""

import hashlib
import random
import time
from collections.abc import Sequence
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from tests.history import ObservedAttempt, ObservedRevision

from rampwick_platform import TreeStore
from rampwick_schema import Node, NodeEdit

from ._callers import KEY, KIND_WEIGHTS, RESPONSE_TOKENS, Call, Caller
from ._checks import (
    BEFORE_SILENCE_SECONDS,
    RESPONSE_SLACK_SECONDS,
    RunObservations,
    check_all,
)
from ._faults import MODEL, FaultInjector, draw_plan
from ._fleet import Fleet, FleetSize
from ._herd import SkewedLoad
from ._limited import LIMITED_PATH, LimitedCallers, limited_node

#: Duration of the first phase, which has planned operations only.
PLANNED_SECONDS = 5.0

#: Demand of the limited callers while faults are injected, as a ratio of their limit.
SURGE_RATIO = 2.0

#: Time limit for the fleet to recover after the last fault.
RECOVERY_TIMEOUT_SECONDS = 60.0

#: Interval at which the soak checks how late its own event loop is, and the delay that
#: counts: all proxied links stand still meanwhile.
OWN_CHECK_INTERVAL_SECONDS = 0.05
OWN_DELAY_SECONDS = 0.2

#: Poll intervals for the status of hosts, and for conditions that are awaited.
STATUS_INTERVAL_SECONDS = 0.3
POLL_INTERVAL_SECONDS = 0.1


@attrs.frozen
class RunParameters:
    """Parameters from which a run is drawn."""

    seed: int
    size: FleetSize = attrs.field(factory=FleetSize)
    chaos_seconds: float = 8.0
    faults_count: int = 12


@attrs.define
class RunResult:
    """Result of a run."""

    parameters: RunParameters
    violations: list[str]
    calls_count: int
    served_count: int
    cut_count: int
    runs_count: int
    #: Times at which the soak's own event loop did not run, and for how long.
    own_delays: list[tuple[float, float]]


async def run_seed(parameters: RunParameters, directory: Path) -> RunResult:
    """Run one seed; the logs of all processes go to the directory."""
    rng = random.Random(parameters.seed)
    # Ports do not depend on the seed, as other processes may use them.
    port_rng = random.Random()
    with ExitStack() as stack:
        fleet = Fleet(parameters.size, port_rng, directory, stack)
        async with anyio.create_task_group() as tasks:
            run = Run(parameters, rng, fleet)
            await fleet.start(tasks)
            await run.execute(tasks)
            tasks.cancel_scope.cancel()
    return run.result()


class Run:
    """State of a run in progress."""

    def __init__(
        self, parameters: RunParameters, rng: random.Random, fleet: Fleet
    ) -> None:
        self._parameters = parameters
        self._rng = rng
        self._fleet = fleet
        self._observations = RunObservations()
        self._injector = FaultInjector(fleet)
        self._observations.injected_faults = self._injector.injected_faults
        self._is_over = False
        self._own_delays: list[tuple[float, float]] = []

    async def execute(self, tasks: anyio.abc.TaskGroup) -> None:
        """Execute the run up to the collection of what the upstreams observed."""
        await self._create_tree()
        await self._await_recovery("after the start")
        plan = draw_plan(
            self._rng,
            PLANNED_SECONDS,
            self._parameters.chaos_seconds,
            self._parameters.faults_count,
        )
        tasks.start_soon(self._monitor_hosts)
        tasks.start_soon(self._monitor_own_loop)
        async with anyio.create_task_group() as callers:
            for number in range(self._parameters.size.callers_count):
                callers.start_soon(self._call, f"c{number}")
            callers.start_soon(self._surge)
            await self._injector.inject_all(plan, time.monotonic())
            await self._injector.clear_faults()
            await self._await_recovery("after the faults")
            await self._injector.leave_beside_odd_entry(self._parameters.seed)
            await self._await_recovery("after the odd entry")
            await self._injector.leave_beside_cut_watches(self._parameters.seed)
            await self._await_recovery("after the cut watches")
            await self._injector.cut_off_alone(self._parameters.seed)
            await self._await_recovery("after the cuts")
            # Calls before the silence show how callers are usually served.
            await anyio.sleep(BEFORE_SILENCE_SECONDS)
            await self._injector.silence_alone()
            await self._await_recovery("after the silence")
            await self._injector.stop_in_turn()
            await self._await_recovery("after the stops")
            await self._injector.stop_overlapping()
            await self._await_recovery("after the overlapping stops")
            await self._send_herd()
            self._is_over = True
        await self._collect()

    def result(self) -> RunResult:
        """Check all observations and return the result."""
        calls = self._observations.calls
        return RunResult(
            self._parameters,
            check_all(self._observations),
            calls_count=len(calls),
            served_count=sum(call.observed.is_whole for call in calls),
            cut_count=sum(call.is_cut for call in calls),
            runs_count=len(self._observations.runs),
            own_delays=self._own_delays,
        )

    async def _send_herd(self) -> None:
        herd = SkewedLoad(self._fleet, self._rng, self._parameters.seed)
        violation = await herd.run()
        if violation:
            self._observations.found_during_run.append(violation)

    async def _create_tree(self) -> None:
        key_hash = hashlib.sha256(KEY.encode()).hexdigest()
        edits = [
            NodeEdit("/soak", Node()),
            NodeEdit("/soak/callers", Node(is_workspace=True, key_hashes=[key_hash])),
            NodeEdit(LIMITED_PATH, limited_node()),
        ]
        async with self._fleet.open_api() as api:
            change = await TreeStore(api).propose(
                lambda tree: edits, author="soak", base_revision=None, now_seconds=0.0
            )
        self._injector.record_accepted(0, change.revision)

    async def _surge(self) -> None:
        """Demand more than a limit allows while faults are injected."""
        rng = random.Random(f"{self._parameters.seed} surge")
        callers = LimitedCallers(self._fleet, rng)
        await anyio.sleep(PLANNED_SECONDS)
        end_seconds = time.monotonic() + self._parameters.chaos_seconds
        callers.ratio = SURGE_RATIO
        await callers.run(lambda: time.monotonic() > end_seconds)

    async def _call(self, name: str) -> None:
        caller = self._caller(name)
        try:
            await caller.run(lambda: self._is_over)
        finally:
            with anyio.CancelScope(shield=True):
                await caller.close()

    def _caller(self, name: str) -> Caller:
        urls = {host.name: self._fleet.entry_url(host) for host in self._fleet.hosts}
        rng = random.Random(f"{self._parameters.seed} {name}")
        return Caller(name, urls, rng, self._record_call)

    def _record_call(self, call: Call) -> None:
        self._observations.calls.append(call)
        elapsed_seconds = call.ended_seconds - call.began_seconds
        if (
            elapsed_seconds > 8.0 + RESPONSE_SLACK_SECONDS
            and not self._was_host_stopped(call)
        ):
            self._observations.found_during_run.append(
                f"{call.observed.prompt} got no final response "
                f"in {elapsed_seconds:.1f} s"
            )

    def _was_host_stopped(self, call: Call) -> bool:
        return any(
            injected.target == call.host
            and injected.kind in ("host_pause", "host_term")
            for injected in self._injector.injected_faults
        )

    async def _monitor_hosts(self) -> None:
        """Poll the hosts for their revision and for unexpected exits."""
        while True:
            for host in self._fleet.hosts:
                is_down = host.name in self._injector.down
                if not is_down and not host.is_running:
                    self._observations.found_during_run.append(
                        f"{host.name} exited unexpectedly"
                    )
                    host.start()
                await self._read_status(host.name, self._fleet.ports(host)["admin"])
            await anyio.sleep(STATUS_INTERVAL_SECONDS)

    async def _monitor_own_loop(self) -> None:
        """Record when the soak itself, which runs the proxies, did not run."""
        while True:
            began_seconds = time.monotonic()
            await anyio.sleep(OWN_CHECK_INTERVAL_SECONDS)
            late_seconds = time.monotonic() - began_seconds - OWN_CHECK_INTERVAL_SECONDS
            if late_seconds >= OWN_DELAY_SECONDS:
                self._own_delays.append((began_seconds, late_seconds))

    async def _read_status(self, name: str, port: int) -> None:
        try:
            status = await self._fleet.get_json(port, "/status")
        except (httpx.HTTPError, ValueError):
            # Down, paused or starting; the calls show the same.
            return
        process = next(host for host in self._fleet.hosts if host.name == name).process
        incarnation = f"{name}/{process.pid if process else 0}"
        if len(status["peers"]) < len(self._fleet.hosts) - 1:
            self._observations.missing_peers.append((name, time.monotonic()))
        era = status["revision_era"] or 0
        self._observations.revisions.append(
            ObservedRevision(incarnation, status["revision"], era)
        )

    async def _await_recovery(self, when: str) -> None:
        """Wait until the fleet is healthy and serves; a time-out is a violation."""
        problem = "no status was read"
        with anyio.move_on_after(RECOVERY_TIMEOUT_SECONDS):
            while problem := await self._find_problem():
                await anyio.sleep(POLL_INTERVAL_SECONDS)
        if problem:
            self._observations.found_during_run.append(
                f"not recovered {when}: {problem}"
            )
            return
        caller = self._caller(f"probe {when}")
        for host in self._fleet.hosts:
            for kind in KIND_WEIGHTS:
                call = await caller.send(kind, host.name)
                if not call.observed.is_whole:
                    what = f"{kind} at {host.name}: {call.observed.status}"
                    self._observations.found_during_run.append(
                        f"not served {when}: {what} {call.observed.error_code}"
                    )
        await caller.close()

    async def _find_problem(self) -> str:
        """Return the first problem of the fleet, or an empty string."""
        for host in self._fleet.hosts:
            try:
                status = await self._fleet.get_json(
                    self._fleet.ports(host)["admin"], "/status"
                )
            except (httpx.HTTPError, ValueError) as error:
                return f"{host.name} did not respond: {error!r}"
            if status["revision"] != self._injector.revision:
                return f"{host.name} has revision {status['revision']}"
            if any(item.startswith("claims:") for item in status["degraded"]):
                return f"{host.name} cannot claim idempotency keys"
            if len(status["peers"]) != len(self._fleet.hosts) - 1:
                return f"{host.name} has {len(status['peers'])} live peers"
            for upstream in status["upstreams"]:
                if upstream["health"] != "up" or upstream["state"] != "live":
                    return (
                        f"{host.name} reports {upstream['name']} {upstream['health']}"
                    )
                version = upstream["life"].rpartition("/")[2]
                wanted = str(self._injector.weights_version)
                if upstream["model"] == MODEL and version != wanted:
                    return f"{upstream['name']} has weights {version or 'unknown'}"
        return ""

    async def _collect(self) -> None:
        """Collect the runs and orders that the upstreams recorded."""
        observations = self._observations
        observations.found_during_run += [
            f"{name} did not stop in time"
            for name in self._injector.slow_stops
            if not any(
                injected.target == name and injected.kind == "host_pause"
                for injected in self._injector.injected_faults
            )
        ]
        for runner in self._fleet.runners:
            reported = await self._fleet.get_json(runner.port, "/seen")
            observations.orders[runner.name] = reported["orders"]
            for item in reported["attempts"]:
                observations.started[item["attempt_id"]] = item.pop(
                    "started_at_seconds"
                )
                text = item.pop("text").encode()
                observations.attempts.append(
                    ObservedAttempt(runner=runner.name, text=text, **item)
                )
        observations.service_runs += await self._fleet.get_json(
            self._fleet.service.port, "/seen"
        )


def summary(result: RunResult) -> str:
    """Return a one-line summary of a run."""
    state = f"{len(result.violations)} violations" if result.violations else "ok"
    return (
        f"seed {result.parameters.seed}: {state}; {result.calls_count} calls, "
        f"{result.served_count} complete, {result.cut_count} cut, "
        f"{result.runs_count} runs of {RESPONSE_TOKENS} tokens; the soak itself late "
        f"{len(result.own_delays)} times, {_longest(result.own_delays):.2f} s at most"
    )


def _longest(delays: Sequence[tuple[float, float]]) -> float:
    return max((seconds for _, seconds in delays), default=0.0)
