"""One run of the soak: a fleet, its callers, its troubles, and the verdict."""

import hashlib
import random
import time
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from tests.history import ObservedAttempt, ObservedRevision

from rampwick_platform import TreeStore
from rampwick_schema import Node, NodeEdit

from ._callers import ANSWER_TOKENS, KEY, KINDS, Call, Caller
from ._checks import ANSWER_SLACK_SECONDS, Seen, check_all
from ._faults import MODEL, Saboteur, draw_plan
from ._fleet import Fleet, Size

#: Spans of a run: planned work alone, then everything.
PLANNED_SECONDS = 5.0

#: Time after the last fault after which what is not well yet counts as stuck.
RECOVERY_SECONDS = 60.0

#: Time between two looks at the hosts' status, and at conditions that are awaited.
STATUS_SECONDS = 0.3
STEP_SECONDS = 0.1


@attrs.frozen
class Terms:
    """What a run is drawn from."""

    seed: int
    size: Size = attrs.field(factory=Size)
    chaos_seconds: float = 8.0
    faults_count: int = 12


@attrs.define
class Verdict:
    """What came of a run."""

    terms: Terms
    violations: list[str]
    calls_count: int
    served_count: int
    cut_count: int
    runs_count: int


async def play(terms: Terms, folder: Path) -> Verdict:
    """Play one seed; logs of all processes go to the folder."""
    draw = random.Random(terms.seed)
    # Which ports are free is no part of the seed.
    ports = random.Random()
    with ExitStack() as stack:
        fleet = Fleet(terms.size, ports, folder, stack)
        async with anyio.create_task_group() as tasks:
            run = Run(terms, draw, fleet)
            await fleet.start(tasks)
            await run.go(tasks)
            tasks.cancel_scope.cancel()
    return run.verdict()


class Run:
    """One run under way."""

    def __init__(self, terms: Terms, draw: random.Random, fleet: Fleet) -> None:
        self._terms = terms
        self._draw = draw
        self._fleet = fleet
        self._seen = Seen()
        self._saboteur = Saboteur(fleet)
        self._seen.deeds = self._saboteur.deeds
        self._is_over = False

    async def go(self, tasks: anyio.abc.TaskGroup) -> None:
        """Play the run from its first request to its last check."""
        await self._make_tree()
        await self._await_recovery("after the start")
        plan = draw_plan(
            self._draw,
            PLANNED_SECONDS,
            self._terms.chaos_seconds,
            self._terms.faults_count,
        )
        tasks.start_soon(self._watch)
        async with anyio.create_task_group() as callers:
            for number in range(self._terms.size.callers_count):
                callers.start_soon(self._call, f"c{number}")
            await self._saboteur.play(plan, time.monotonic())
            await self._saboteur.heal()
            await self._await_recovery("after the faults")
            self._is_over = True
        await self._collect()

    def verdict(self) -> Verdict:
        """Return the verdict on all that was seen."""
        calls = self._seen.calls
        return Verdict(
            self._terms,
            check_all(self._seen),
            calls_count=len(calls),
            served_count=sum(call.saw.is_whole for call in calls),
            cut_count=sum(call.is_cut for call in calls),
            runs_count=len(self._seen.runs),
        )

    async def _make_tree(self) -> None:
        key_hash = hashlib.sha256(KEY.encode()).hexdigest()
        edits = [
            NodeEdit("/soak", Node()),
            NodeEdit("/soak/callers", Node(is_workspace=True, key_hashes=[key_hash])),
        ]
        async with self._fleet.open_api() as api:
            change = await TreeStore(api).propose(
                lambda tree: edits, author="soak", base_revision=None, now_seconds=0.0
            )
        self._saboteur.note_accepted(0, change.revision)

    async def _call(self, name: str) -> None:
        caller = self._caller(name)
        try:
            await caller.run(lambda: self._is_over)
        finally:
            with anyio.CancelScope(shield=True):
                await caller.close()

    def _caller(self, name: str) -> Caller:
        urls = {host.name: self._fleet.entry_url(host) for host in self._fleet.hosts}
        draw = random.Random(f"{self._terms.seed} {name}")
        return Caller(name, urls, draw, self._note)

    def _note(self, call: Call) -> None:
        self._seen.calls.append(call)
        took_seconds = call.ended_seconds - call.began_seconds
        if took_seconds > 8.0 + ANSWER_SLACK_SECONDS and not self._was_paused(call):
            self._seen.noted.append(
                f"{call.saw.prompt} had no final answer for {took_seconds:.1f} s"
            )

    def _was_paused(self, call: Call) -> bool:
        return any(
            deed.target == call.host and deed.kind in ("host_pause", "host_term")
            for deed in self._saboteur.deeds
        )

    async def _watch(self) -> None:
        """Look at the hosts again and again: revisions, and ends of their own."""
        while True:
            for host in self._fleet.hosts:
                is_down = host.name in self._saboteur.down
                if not is_down and not host.is_running:
                    self._seen.noted.append(f"{host.name} ended by itself")
                    host.start()
                await self._look(host.name, self._fleet.ports(host)["admin"])
            await anyio.sleep(STATUS_SECONDS)

    async def _look(self, name: str, port: int) -> None:
        try:
            status = await self._fleet.ask(port, "/status")
        except (httpx.HTTPError, ValueError):
            # Down, paused or starting: its callers will see it as well.
            return
        process = next(host for host in self._fleet.hosts if host.name == name).process
        life = f"{name}/{process.pid if process else 0}"
        era = status["revision_era"] or 0
        self._seen.revisions.append(ObservedRevision(life, status["revision"], era))

    async def _await_recovery(self, when: str) -> None:
        """Wait until everything is well; what is not in time is a violation."""
        problem = "nothing was looked at"
        with anyio.move_on_after(RECOVERY_SECONDS):
            while problem := await self._problem():
                await anyio.sleep(STEP_SECONDS)
        if problem:
            self._seen.noted.append(f"not well {when}: {problem}")
            return
        caller = self._caller(f"probe {when}")
        for host in self._fleet.hosts:
            for kind in KINDS:
                call = await caller.send(kind, host.name)
                if not call.saw.is_whole:
                    what = f"{kind} at {host.name}: {call.saw.status}"
                    self._seen.noted.append(
                        f"not served {when}: {what} {call.saw.error_code}"
                    )
        await caller.close()

    async def _problem(self) -> str:
        """Return what is not well yet, or nothing."""
        for host in self._fleet.hosts:
            try:
                status = await self._fleet.ask(
                    self._fleet.ports(host)["admin"], "/status"
                )
            except (httpx.HTTPError, ValueError) as error:
                return f"{host.name} is silent: {error!r}"
            if status["revision"] != self._saboteur.revision:
                return f"{host.name} has revision {status['revision']}"
            if any(item.startswith("claims:") for item in status["degraded"]):
                return f"{host.name} can't claim keys"
            if len(status["peers"]) != len(self._fleet.hosts) - 1:
                return f"{host.name} hears {len(status['peers'])} peers"
            for upstream in status["upstreams"]:
                if upstream["health"] != "up" or upstream["state"] != "live":
                    return f"{host.name} sees {upstream['name']} {upstream['health']}"
                version = upstream["life"].rpartition("/")[2]
                wanted = str(self._saboteur.weights_version)
                if upstream["model"] == MODEL and version != wanted:
                    return f"{upstream['name']} has weights {version or 'unknown'}"
        return ""

    async def _collect(self) -> None:
        """Ask the upstreams what ran."""
        seen = self._seen
        seen.noted += [
            f"{name} did not stop in time"
            for name in self._saboteur.slow_stops
            if not any(
                deed.target == name and deed.kind == "host_pause"
                for deed in self._saboteur.deeds
            )
        ]
        for runner in self._fleet.runners:
            told = await self._fleet.ask(runner.port, "/seen")
            seen.orders[runner.name] = told["orders"]
            for item in told["attempts"]:
                seen.started[item["attempt_id"]] = item.pop("started_at_seconds")
                text = item.pop("text").encode()
                seen.attempts.append(
                    ObservedAttempt(runner=runner.name, text=text, **item)
                )
        seen.service_runs += await self._fleet.ask(self._fleet.service.port, "/seen")


def summary(verdict: Verdict) -> str:
    """Return one line about a run."""
    state = f"{len(verdict.violations)} violations" if verdict.violations else "ok"
    return (
        f"seed {verdict.terms.seed}: {state}; {verdict.calls_count} calls, "
        f"{verdict.served_count} served whole, {verdict.cut_count} cut, "
        f"{verdict.runs_count} runs of {ANSWER_TOKENS} tokens"
    )
