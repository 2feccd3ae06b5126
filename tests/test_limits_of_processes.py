"""A limit holds over whole processes, by what the runners ran.

``RAMPWICK_LIMIT_HOSTS`` sets the number of hosts.
"""

import os
import random
import signal
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from soak._fleet import Fleet, FleetSize
from soak._limited import (
    LIMITED_PATH,
    LIMITED_PREFIX,
    SURGE_RATIO,
    USUAL_RATIO,
    LimitedCallers,
    allowed_count,
    limited_node,
    worst_window_count,
)
from testtools import TestCase

from rampwick_platform import TreeStore
from rampwick_schema import Node, NodeEdit

HOSTS_COUNT = int(os.environ.get("RAMPWICK_LIMIT_HOSTS", "8"))

#: Demand before the surge, as a ratio of the limit.
CALM_RATIO = 0.1
CALM_SECONDS = 3.0
#: Time from the start of the surge to the fault, and from there to the end.
SURGE_SECONDS = 2.5
AFTER_SECONDS = 9.0
DOWN_SECONDS = 0.3
#: Time over which hosts start that return one after the other.
RETURN_SECONDS = 2.0
START_TIMEOUT_SECONDS = 60.0


@attrs.define
class Played:
    """What a scenario came to."""

    #: The most runs within any window, relative to what is allowed.
    worst_ratio: float
    runs_count: int
    callers: LimitedCallers


class Scenario:
    """A fleet with a limited workspace, whose demand surges, and one fault."""

    def __init__(self, fleet: Fleet, callers: LimitedCallers) -> None:
        self.fleet = fleet
        self.callers = callers
        self.is_over = False

    async def write(self, node: Node | None) -> None:
        """Write the workspace, or remove it."""
        edits = [NodeEdit("/soak", Node()), NodeEdit(LIMITED_PATH, node)]
        async with self.fleet.open_api() as api:
            await TreeStore(api).propose(
                lambda tree: edits, author="test", base_revision=None, now_seconds=0.0
            )

    async def await_recovery(self) -> None:
        """Wait until all hosts have the tree, all peers and all upstreams."""
        with anyio.fail_after(START_TIMEOUT_SECONDS):
            for host in self.fleet.hosts:
                while not await self._is_ready(self.fleet.ports(host)["admin"]):
                    await anyio.sleep(0.1)

    async def _is_ready(self, port: int) -> bool:
        try:
            status = await self.fleet.get_json(port, "/status")
        except (httpx.HTTPError, ValueError):
            return False
        return (
            status["revision"] > 0
            and len(status["peers"]) == len(self.fleet.hosts) - 1
            and len(status["upstreams"]) > len(self.fleet.runners)
            and all(item["health"] == "up" for item in status["upstreams"])
        )

    async def run_times(self) -> list[float]:
        """Return when each request of the workspace began to run."""
        times = []
        for runner in self.fleet.runners:
            seen = await self.fleet.get_json(runner.port, "/seen")
            times += [
                item["started_at_seconds"]
                for item in seen["attempts"]
                if LIMITED_PREFIX in item["text"]
            ]
        return times

    # Faults.

    async def nothing(self) -> None:
        """Leave the fleet alone."""

    async def kill(self, count: int) -> None:
        """Kill hosts at once, and start them again."""
        hosts = self.fleet.hosts[:count]
        for host in hosts:
            host.signal(signal.SIGKILL)
        for host in hosts:
            await host.wait_exited()
        await anyio.sleep(DOWN_SECONDS)
        for host in hosts:
            host.start()

    async def kill_all(self) -> None:
        """Kill all hosts at once."""
        await self.kill(len(self.fleet.hosts))

    async def kill_all_back_in_turn(self) -> None:
        """Kill all hosts at once, and start them again one after the other."""
        for host in self.fleet.hosts:
            host.signal(signal.SIGKILL)
        for host in self.fleet.hosts:
            await host.wait_exited()
        await anyio.sleep(DOWN_SECONDS)
        for host in self.fleet.hosts:
            host.start()
            await anyio.sleep(RETURN_SECONDS / len(self.fleet.hosts))

    async def kill_most(self) -> None:
        """Kill nine hosts of ten at once."""
        await self.kill(round(0.9 * len(self.fleet.hosts)))

    async def kill_all_twice(self) -> None:
        """Kill all hosts at once, and again soon after their return."""
        await self.kill_all()
        await anyio.sleep(2.0)
        await self.kill_all()

    async def end_in_turn(self, number: signal.Signals) -> None:
        """End each host after the other, within a window."""
        for host in self.fleet.hosts:
            host.signal(number)
            await host.wait_exited()
            host.start()
            await anyio.sleep(4.0 / len(self.fleet.hosts))

    async def kill_in_turn(self) -> None:
        """Kill each host after the other."""
        await self.end_in_turn(signal.SIGKILL)

    async def stop_in_turn(self) -> None:
        """Stop each host after the other as an operator would."""
        await self.end_in_turn(signal.SIGTERM)

    async def stop_all(self) -> None:
        """Stop all hosts at once as an operator would."""
        for host in self.fleet.hosts:
            host.signal(signal.SIGTERM)
        for host in self.fleet.hosts:
            await host.wait_exited()
            host.start()

    async def suspend_half(self) -> None:
        """Suspend half of the hosts for a while."""
        hosts = self.fleet.hosts[::2]
        for host in hosts:
            host.signal(signal.SIGSTOP)
        await anyio.sleep(1.5)
        for host in hosts:
            host.signal(signal.SIGCONT)

    async def remove_and_return(self) -> None:
        """Remove the workspace from the tree, and write it again."""
        await self.write(None)
        await anyio.sleep(1.2)
        await self.write(limited_node())

    async def move_there_and_back(self) -> None:
        """Write the limit to an ancestor in its place, and back."""
        await self.write(attrs.evolve(limited_node(), tokens_per_second=None))
        await anyio.sleep(1.2)
        await self.write(limited_node())

    async def rewrite(self) -> None:
        """Write new revisions that change nothing."""
        for _ in range(10):
            await self.write(limited_node())
            await anyio.sleep(0.3)

    async def lose_answers(self) -> None:
        """Lose the answers of most of the runners."""
        for runner in self.fleet.runners[1:]:
            await self.fleet.post(runner, "/faults", {"loses_answers": True})

    async def freeze_upstreams(self) -> None:
        """Stop all upstreams, so that queues grow, and let all go on at once."""
        for runner in self.fleet.runners:
            runner.signal(signal.SIGSTOP)
        await anyio.sleep(4.0)
        for runner in self.fleet.runners:
            runner.signal(signal.SIGCONT)

    async def lower(self) -> None:
        """Lower the limit."""
        await self.write(limited_node(0.4))


async def play(
    fault: Callable[[Scenario], Awaitable[None]], surge_ratio: float = SURGE_RATIO
) -> Played:
    """Play a surge with a fault in it, over real processes."""
    rng = random.Random(82)
    with ExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        fleet = Fleet(FleetSize(HOSTS_COUNT, 4, 0), random.Random(), directory, stack)
        callers = LimitedCallers(fleet, rng, min(surge_ratio, CALM_RATIO))
        scenario = Scenario(fleet, callers)
        async with anyio.create_task_group() as tasks:
            await fleet.start(tasks)
            await scenario.write(limited_node())
            await scenario.await_recovery()
            async with anyio.create_task_group() as load:
                load.start_soon(callers.run, lambda: scenario.is_over)
                await anyio.sleep(CALM_SECONDS)
                callers.ratio = surge_ratio
                await anyio.sleep(SURGE_SECONDS)
                began_seconds = time.monotonic()
                await fault(scenario)
                spent_seconds = time.monotonic() - began_seconds
                await anyio.sleep(max(5.0, AFTER_SECONDS - spent_seconds))
                scenario.is_over = True
            times = await scenario.run_times()
            tasks.cancel_scope.cancel()
    count, _ = worst_window_count(times)
    return Played(count / allowed_count(), len(times), callers)


class ProcessesTest(TestCase):
    """What the runners ran stays within the limit, whatever ends."""

    def play(self, fault, surge_ratio=SURGE_RATIO):
        played = anyio.run(play, fault, surge_ratio)
        callers = played.callers
        print(
            f"{fault.__name__}: worst window {played.worst_ratio:.2f}, "
            f"{played.runs_count} runs, {callers.served_count} served, "
            f"{callers.refused_count} refused, {callers.other_count} others"
        )
        return played

    def assert_within(self, fault):
        played = self.play(fault)
        self.assertGreater(played.runs_count, 150)
        self.assertLessEqual(played.worst_ratio, 1.0)

    def test_all_hosts_killed_in_a_surge(self):
        self.assert_within(Scenario.kill_all)

    def test_most_hosts_killed_in_a_surge(self):
        self.assert_within(Scenario.kill_most)

    def test_workspace_that_leaves_the_tree_and_returns(self):
        self.assert_within(Scenario.remove_and_return)

    def test_second_attempts_of_requests_that_ran(self):
        self.assert_within(Scenario.lose_answers)

    def test_a_caller_within_its_limit_is_not_refused_after_a_return(self):
        played = self.play(Scenario.kill_all, USUAL_RATIO)
        self.assertEqual(0, played.callers.refused_count)


def main() -> None:
    """Play scenarios by hand: ``python -m tests.test_limits_of_processes [NAME …]``."""
    names = sys.argv[1:] or [
        name
        for name, value in vars(Scenario).items()
        if callable(value)
        and not name.startswith("_")
        and name not in ("write", "await_recovery", "run_times", "kill", "end_in_turn")
    ]
    for name in names:
        ProcessesTest("play").play(getattr(Scenario, name))


if __name__ == "__main__":
    main()
