"""What goes wrong in a run: drawn from its seed, then carried out."""

import random
import secrets
import signal
import time
from collections.abc import Awaitable, Callable

import anyio
import attrs
import httpx

from rampwick_platform import PlatformError, TreeStore, WeightsStore
from rampwick_policy import ConflictError
from rampwick_schema import Node, NodeEdit, WeightsTarget

from ._fleet import DEADLY_TEXT, KEY, MODEL, Fleet, Member
from ._proxy import Proxy

#: Time within which a dead connection is noticed, and what it carried has ended.
NOTICE_SECONDS = 5.0

#: Pause before a process that ended is started again.
RESTART_SECONDS = 0.3


@attrs.frozen
class Fault:
    """One trouble, from when and for how long, counted from the start of the run."""

    at_seconds: float
    for_seconds: float
    kind: str
    #: What it is drawn at: an index into the processes of its kind.
    index: int = 0
    #: How strong it is, from 0 to 1.
    strength: float = 0.5


@attrs.define
class Deed:
    """A fault as it was carried out; times are steady seconds."""

    kind: str
    target: str
    began_seconds: float
    ended_seconds: float = float("inf")
    #: Requests a second that its target said it takes, if it is about that.
    request_rate: float | None = None


#: Planned work: none of it may cost a caller anything.
PLANNED = ("host_term", "configure", "name_weights", "runner_leave")

#: Everything else.
UNPLANNED = (
    "clock_step",
    "host_kill",
    "host_pause",
    "hosts_kill_all",
    "peer_link_reset",
    "peer_link_silent",
    "platform_down",
    "platform_link_one_way",
    "platform_link_reset",
    "platform_link_silent",
    "platform_lost",
    "platform_slow",
    "platform_stale",
    "runner_busy",
    "runner_crash",
    "runner_frozen",
    "runner_link_delay",
    "runner_link_one_way",
    "runner_link_reset",
    "runner_loses_answers",
)

#: Connections that are silent for good while new ones work, a request that crashes
#: whoever runs it, a runner that takes few requests, one that only its answers say is
#: leaving, and a store that comes back from an older copy. They are drawn after all
#: else, so that a seed draws what it drew before there were such.
LATE_KINDS = (
    "peer_link_stranded",
    "platform_link_stranded",
    "runner_link_stranded",
    "deadly_prompt",
    "runner_limited",
    "runner_announces",
    "platform_restored",
)

#: How long a runner names a rate, and how large it is at the most.
LIMITED_SECONDS = 9.0
MOST_RATE = 3.0

#: Time from the announcement of a runner's shutdown to its end.
ANNOUNCED_SECONDS = 6.0

#: How often operators try to write what a restored store has lost.
WRITE_TRIES = 50
WRITE_PAUSE_SECONDS = 0.2

#: How often what runners don't survive is asked for, and with which pause.
DEADLY_TRIES = 14
DEADLY_PAUSE_SECONDS = 0.5
DEADLY_PATIENCE_SECONDS = 3.0


def draw_plan(
    draw: random.Random, planned_seconds: float, chaos_seconds: float, count: int
) -> list[Fault]:
    """Return a run's faults: planned work alone first, then everything at once."""
    faults = [
        _draw_fault(draw, kind, draw.uniform(0.0, planned_seconds * 0.6))
        for kind in (*PLANNED, *draw.choices(PLANNED, k=2))
    ]
    for _ in range(count):
        kind = draw.choice(UNPLANNED if draw.random() < 0.75 else PLANNED)
        at_seconds = planned_seconds + draw.uniform(0.0, chaos_seconds)
        faults.append(_draw_fault(draw, kind, at_seconds))
        if draw.random() < 0.25:
            # Troubles come in series: the same again, a moment later.
            again = attrs.evolve(faults[-1], at_seconds=at_seconds + draw.random())
            faults.append(again)
    for kind in LATE_KINDS:
        at_seconds = planned_seconds + draw.uniform(0.0, chaos_seconds)
        faults.append(_draw_fault(draw, kind, at_seconds))
    return sorted(faults, key=lambda fault: fault.at_seconds)


def _draw_fault(draw: random.Random, kind: str, at_seconds: float) -> Fault:
    return Fault(
        at_seconds=round(at_seconds, 3),
        for_seconds=round(draw.uniform(0.2, 3.0), 3),
        kind=kind,
        index=draw.randrange(1000),
        strength=round(draw.random(), 3),
    )


class Saboteur:
    """Carries faults out and writes down what it did and when."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.deeds: list[Deed] = []
        #: Hosts that are down on purpose, and stops that took too long.
        self.down: set[str] = set()
        self.slow_stops: list[str] = []
        #: Newest version of the tree that was accepted, by the store's era and its
        #: revision, and the weights that were named.
        self._accepted = (0, 0)
        self.weights_version = 1
        self._was_restored = False

    @property
    def revision(self) -> int:
        """Newest revision that was accepted."""
        return self._accepted[1]

    def note_accepted(self, era: int, revision: int) -> None:
        """Note a revision that the store has accepted in an era."""
        self._accepted = max(self._accepted, (era, revision))

    async def play(self, faults: list[Fault], began_seconds: float) -> None:
        """Carry all faults out, each in its time; return when the last is over."""
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                tasks.start_soon(self._carry_out, fault, began_seconds)

    async def heal(self) -> None:
        """End whatever is still wrong, and have everything run."""
        for proxy in self._fleet.proxies:
            proxy.weather.clear()
        for host in self._fleet.hosts:
            host.signal(signal.SIGCONT)
            self._fleet.clock_file(host).write_text("0")
            host.start()
        await self._fleet.post(self._fleet.platform, "/faults", {})
        for runner in self._fleet.runners:
            await self._fleet.post(runner, "/faults", {})
        self._fleet.leaving.clear()
        await self._fleet.publish()
        if self._was_restored:
            # What was accepted right before the restore may be lost.
            await self._write_again()

    async def _carry_out(self, fault: Fault, began_seconds: float) -> None:
        wait_seconds = began_seconds + fault.at_seconds - time.monotonic()
        await anyio.sleep(max(0.0, wait_seconds))
        act: Callable[[Fault, Deed], Awaitable[None]] = getattr(self, f"_{fault.kind}")
        deed = Deed(fault.kind, "", time.monotonic())
        self.deeds.append(deed)
        await act(fault, deed)
        deed.ended_seconds = min(deed.ended_seconds, time.monotonic())

    def _host(self, fault: Fault, deed: Deed) -> Member:
        host = self._fleet.hosts[fault.index % len(self._fleet.hosts)]
        deed.target = host.name
        return host

    def _runner(self, fault: Fault, deed: Deed) -> Member:
        runner = self._fleet.runners[fault.index % len(self._fleet.runners)]
        deed.target = runner.name
        return runner

    # Hosts.

    async def _host_term(self, fault: Fault, deed: Deed) -> None:
        host = self._host(fault, deed)
        if host.name in self.down:
            return
        self.down.add(host.name)
        host.signal(signal.SIGTERM)
        # A stop may take its time while the process is paused or its links are cut.
        if not await host.wait_gone():
            self.slow_stops.append(host.name)
            host.signal(signal.SIGKILL)
            await host.wait_gone()
        await self._restart(host)

    async def _host_kill(self, fault: Fault, deed: Deed) -> None:
        await self._kill([self._host(fault, deed)])

    async def _hosts_kill_all(self, fault: Fault, deed: Deed) -> None:
        await self._kill(self._fleet.hosts)

    async def _kill(self, hosts: list[Member]) -> None:
        taken = [host for host in hosts if host.name not in self.down]
        self.down |= {host.name for host in taken}
        for host in taken:
            host.signal(signal.SIGKILL)
        for host in taken:
            await host.wait_gone()
            await self._restart(host)

    async def _restart(self, host: Member) -> None:
        await anyio.sleep(RESTART_SECONDS)
        host.start()
        self.down.discard(host.name)
        await host.wait_listening()

    async def _host_pause(self, fault: Fault, deed: Deed) -> None:
        host = self._host(fault, deed)
        host.signal(signal.SIGSTOP)
        await anyio.sleep(fault.for_seconds)
        host.signal(signal.SIGCONT)

    async def _clock_step(self, fault: Fault, deed: Deed) -> None:
        path = self._fleet.clock_file(self._host(fault, deed))
        path.write_text(str((fault.strength - 0.5) * 20.0))
        await anyio.sleep(fault.for_seconds)
        path.write_text("0")

    # Links.

    async def _platform_link_silent(self, fault: Fault, deed: Deed) -> None:
        await self._silence(self._platform_link(fault, deed), fault, True, True)

    async def _platform_link_one_way(self, fault: Fault, deed: Deed) -> None:
        # Writes arrive and their answers don't, or neither.
        await self._silence(self._platform_link(fault, deed), fault, False, True)

    async def _platform_link_reset(self, fault: Fault, deed: Deed) -> None:
        self._platform_link(fault, deed).reset()

    async def _platform_link_stranded(self, fault: Fault, deed: Deed) -> None:
        await self._strand(self._platform_link(fault, deed))

    async def _peer_link_stranded(self, fault: Fault, deed: Deed) -> None:
        await self._strand(self._fleet.to_peer[self._host(fault, deed).name])

    async def _runner_link_stranded(self, fault: Fault, deed: Deed) -> None:
        await self._strand(self._fleet.to_upstream[self._runner(fault, deed).name])

    async def _peer_link_silent(self, fault: Fault, deed: Deed) -> None:
        proxy = self._fleet.to_peer[self._host(fault, deed).name]
        await self._silence(proxy, fault, True, True)

    async def _peer_link_reset(self, fault: Fault, deed: Deed) -> None:
        self._fleet.to_peer[self._host(fault, deed).name].reset()

    async def _runner_link_one_way(self, fault: Fault, deed: Deed) -> None:
        proxy = self._fleet.to_upstream[self._runner(fault, deed).name]
        is_out = fault.strength < 0.5
        await self._silence(proxy, fault, is_out, not is_out)

    async def _runner_link_delay(self, fault: Fault, deed: Deed) -> None:
        proxy = self._fleet.to_upstream[self._runner(fault, deed).name]
        proxy.weather.delay_seconds = fault.strength * 0.3
        await anyio.sleep(fault.for_seconds)
        proxy.weather.clear()

    async def _runner_link_reset(self, fault: Fault, deed: Deed) -> None:
        self._fleet.to_upstream[self._runner(fault, deed).name].reset()

    def _platform_link(self, fault: Fault, deed: Deed) -> Proxy:
        return self._fleet.to_platform[self._host(fault, deed).name]

    async def _strand(self, proxy: Proxy) -> None:
        proxy.blackhole_connections()
        # What rests on a dead connection breaks only once that is noticed.
        await anyio.sleep(NOTICE_SECONDS)

    async def _silence(
        self, proxy: Proxy, fault: Fault, is_out: bool, is_back: bool
    ) -> None:
        proxy.weather.is_silent_out = is_out
        proxy.weather.is_silent_back = is_back
        await anyio.sleep(fault.for_seconds)
        proxy.weather.clear()
        # Bytes that a cut held up are lost if a connection does not outlive it.
        proxy.reset()

    # Upstreams.

    async def _runner_crash(self, fault: Fault, deed: Deed) -> None:
        await self._fleet.post(self._runner(fault, deed), "/crash")

    async def _runner_busy(self, fault: Fault, deed: Deed) -> None:
        await self._upset(fault, deed, {"is_busy": True})

    async def _runner_frozen(self, fault: Fault, deed: Deed) -> None:
        await self._upset(fault, deed, {"is_frozen": True})

    async def _runner_loses_answers(self, fault: Fault, deed: Deed) -> None:
        await self._upset(fault, deed, {"loses_answers": True})

    async def _deadly_prompt(self, fault: Fault, deed: Deed) -> None:
        for number in range(DEADLY_TRIES):
            hosts = self._fleet.hosts
            await self._ask_deadly(hosts[(fault.index + number) % len(hosts)])
            await anyio.sleep(DEADLY_PAUSE_SECONDS)

    async def _ask_deadly(self, host: Member) -> None:
        url = f"{self._fleet.entry_url(host)}/v1/completions"
        headers = {"Authorization": f"Bearer {KEY}", "Rampwick-Deadline-Seconds": "2.0"}
        body = {"model": MODEL, "prompt": DEADLY_TEXT, "max_tokens": 1}
        with anyio.move_on_after(DEADLY_PATIENCE_SECONDS):
            async with httpx.AsyncClient(trust_env=False, verify=False) as client:
                try:
                    await client.post(url, json=body, headers=headers)
                except httpx.HTTPError:
                    # The host is down or cut off; the next try goes to another one.
                    return

    async def _runner_limited(self, fault: Fault, deed: Deed) -> None:
        runner = self._runner(fault, deed)
        deed.request_rate = round(fault.strength * MOST_RATE, 2)
        await self._name_rate(runner, deed.request_rate)
        await anyio.sleep(LIMITED_SECONDS)
        deed.ended_seconds = time.monotonic()
        await self._name_rate(runner, None)

    async def _runner_announces(self, fault: Fault, deed: Deed) -> None:
        """Have a runner announce its shutdown in its answers only, then end it."""
        runner = self._runner(fault, deed)
        await self._fleet.post(runner, "/leave")
        deed.began_seconds = time.monotonic()
        await anyio.sleep(ANNOUNCED_SECONDS)
        deed.ended_seconds = time.monotonic()
        await self._fleet.post(runner, "/crash")

    async def _name_rate(self, runner: Member, rate: float | None) -> None:
        data = {"requests_per_second": rate}
        await self._fleet.post(runner, "/request-rate", data)

    async def _upset(self, fault: Fault, deed: Deed, data: dict[str, bool]) -> None:
        runner = self._runner(fault, deed)
        await self._fleet.post(runner, "/faults", data)
        await anyio.sleep(fault.for_seconds)
        await self._fleet.post(runner, "/faults", {})

    async def _runner_leave(self, fault: Fault, deed: Deed) -> None:
        runner = self._runner(fault, deed)
        is_last = len(self._fleet.leaving) + 1 >= len(self._fleet.runners)
        if is_last or runner.name in self._fleet.leaving:
            deed.target = ""
            return
        self._fleet.leaving.add(runner.name)
        await self._fleet.publish()
        deed.began_seconds = time.monotonic()
        await anyio.sleep(fault.for_seconds + 1.0)
        self._fleet.leaving.discard(runner.name)
        deed.ended_seconds = time.monotonic()
        await self._fleet.publish()

    # The platform, and what operators do there.

    async def _platform_down(self, fault: Fault, deed: Deed) -> None:
        await self._upset_platform(fault, {"is_down": True})

    async def _platform_slow(self, fault: Fault, deed: Deed) -> None:
        await self._upset_platform(fault, {"delay_seconds": fault.strength})

    async def _platform_lost(self, fault: Fault, deed: Deed) -> None:
        await self._upset_platform(fault, {"lost_answers_count": 3})

    async def _platform_stale(self, fault: Fault, deed: Deed) -> None:
        await self._upset_platform(fault, {"is_stale": True})

    async def _upset_platform(self, fault: Fault, data: dict[str, object]) -> None:
        await self._fleet.post(self._fleet.platform, "/faults", data)
        await anyio.sleep(fault.for_seconds)
        await self._fleet.post(self._fleet.platform, "/faults", {})

    async def _platform_restored(self, fault: Fault, deed: Deed) -> None:
        platform = self._fleet.platform
        await self._fleet.post(platform, "/copy")
        await anyio.sleep(fault.for_seconds)
        await self._fleet.post(platform, "/faults", {"is_down": True})
        await anyio.sleep(fault.strength)
        await self._fleet.post(platform, "/restore")
        await self._fleet.post(platform, "/faults", {})
        self._was_restored = True
        await self._write_again()

    async def _write_again(self) -> None:
        """Have operators write what the store has lost, as soon as it lets them."""
        before = self._accepted
        for _ in range(WRITE_TRIES):
            await self._add_node()
            if self._accepted > before and await self._set_weights():
                return
            await anyio.sleep(WRITE_PAUSE_SECONDS)

    async def _set_weights(self) -> bool:
        async with self._fleet.open_api() as api:
            try:
                target = WeightsTarget(MODEL, self.weights_version)
                await WeightsStore(api).set_target(target)
            except PlatformError:
                return False
            return True

    async def _configure(self, fault: Fault, deed: Deed) -> None:
        await self._add_node()

    async def _add_node(self) -> None:
        path = f"/soak/extra-{secrets.token_hex(3)}"
        edits = [NodeEdit(path, Node(is_workspace=True))]
        async with self._fleet.open_api() as api:
            try:
                change = await TreeStore(api).propose(
                    lambda tree: edits,
                    author="soak",
                    base_revision=None,
                    now_seconds=0.0,
                )
            except (PlatformError, ConflictError):
                # The platform is being upset, or another operator was first: the
                # one who asked is told, and nothing was accepted.
                return
            self.note_accepted(api.era, change.revision)

    async def _name_weights(self, fault: Fault, deed: Deed) -> None:
        version = self.weights_version + 1
        async with self._fleet.open_api() as api:
            try:
                await WeightsStore(api).set_target(WeightsTarget(MODEL, version))
            except PlatformError:
                return
            self.weights_version = max(self.weights_version, version)
