"""Fault schedule of a run, drawn from its seed, and the injection of its faults."""

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

from ._callers import RESPONSE_TOKENS, SHARED_PREFIX
from ._fleet import CRASHING_PROMPT, KEY, MODEL, Fleet, ManagedProcess
from ._proxy import Proxy

#: Time within which a dead connection is detected and its requests have ended.
DETECTION_SECONDS = 5.0

#: Time between repeated signals to a stopping host.
REPEAT_SECONDS = 0.2

#: Time between two hosts that are stopped while the one before still stops.
OVERLAP_SECONDS = 0.5

#: Time between two cuts of the watches on the platform.
CUT_WATCHES_SECONDS = 0.6

#: Delay before a stopped process is started again.
RESTART_SECONDS = 0.3


@attrs.frozen
class Fault:
    """One scheduled fault; times count from the start of the run."""

    at_seconds: float
    duration_seconds: float
    kind: str
    #: Selects the target among the processes of its kind.
    index: int = 0
    #: Severity, from 0 to 1.
    strength: float = 0.5


@attrs.define
class InjectedFault:
    """A fault as it was injected; times are monotonic."""

    kind: str
    target: str
    began_seconds: float
    ended_seconds: float = float("inf")
    #: Rate limit in requests per second that the target reported, if any.
    request_rate: float | None = None


#: Planned operations: none may make a request fail.
PLANNED = ("host_term", "configure", "set_weights_target", "runner_leave")

#: Faults that excuse nothing: what hosts owe callers holds beside them.
WITHOUT_EFFECT = (*PLANNED, "odd_entry", "platform_watches_cut")

#: All other faults.
UNPLANNED = (
    "clock_step",
    "host_kill",
    "host_pause",
    "hosts_kill_all",
    "peer_link_reset",
    "peer_link_stalled",
    "platform_down",
    "platform_link_one_way",
    "platform_link_reset",
    "platform_link_stalled",
    "platform_loses_answers",
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

#: Connections that drop all bytes while new ones work, a request that crashes the
#: runners that run it, a runner with a low rate limit, a runner that announces its
#: shutdown in responses only, a store that is restored from an older copy, a host
#: without links to the upstreams, a runner that ends its streams inside an event,
#: a service that cuts responses, and a part of prompts that crashes the runners that
#: run it. They are drawn last, so that seeds from before these
#: kinds existed draw the same as then; new kinds are added at the end.
LAST_DRAWN_KINDS = (
    "peer_link_blackholed",
    "platform_link_blackholed",
    "runner_link_blackholed",
    "crashing_prompt",
    "runner_limited",
    "runner_announces_shutdown",
    "platform_restored",
    "host_cut_off",
    "torn_streams",
    "cut_answers",
    "crashing_part",
    "odd_entry",
)

#: JSON of other writers in the host list, which no decoder or no reader takes.
ODD_ENTRIES = (
    b'{"name":' + b'{"a":' * 3000 + b"1" + b"}" * 3001,
    b"[" * 100_000 + b"]" * 100_000,
    b'{"name":"odd","slots_count":' + b"9" * 5000 + b"}",
    b'{"name":"odd","kind":"runner","hall":NaN,"address":-1e400}',
    b'{"name":"\\ud800","kind":"runner"}',
    b'"\xff\xfe"',
    b"01x",
)

#: Ways in which a host's links to the upstreams fail: all bytes are held back, all
#: connections are reset and new ones refused, or new ones are refused or held back
#: while open ones work.
CUT_OFF_WAYS = ("hang", "reset", "refuse_new", "hold_new")

#: How long a host is cut off, and the pause before the next cut.
CUT_OFF_SECONDS = 6.0
CUT_OFF_PAUSE_SECONDS = 0.7

#: How long an odd entry is listed while a runner leaves.
ODD_SECONDS = 6.0

#: Time for which callers are observed after all connections have fallen silent.
SILENT_SECONDS = 6.0

#: How long a runner reports a rate limit, and the largest such limit.
RATE_LIMIT_SECONDS = 9.0
MAX_RATE = 3.0

#: Events of a whole stream, inside one of which it is torn: tokens, usage, end mark.
STREAM_EVENTS = RESPONSE_TOKENS + 2

#: Responses that the service cuts, half of them with a stated length.
CUT_ANSWERS = 4

#: Time from the announcement of a runner's shutdown to its exit.
DRAIN_SECONDS = 6.0

#: Attempts to write again what a restored store has lost, and the pause between.
WRITE_ATTEMPTS = 50
WRITE_PAUSE_SECONDS = 0.2

#: Number of requests with the crashing prompt, the pause between, and their timeout.
CRASHING_ATTEMPTS = 14
CRASHING_PAUSE_SECONDS = 0.5
CRASHING_TIMEOUT_SECONDS = 3.0


def draw_plan(
    rng: random.Random, planned_seconds: float, chaos_seconds: float, count: int
) -> list[Fault]:
    """Return a run's faults: planned operations alone first, then all kinds mixed."""
    faults = [
        _draw_fault(rng, kind, rng.uniform(0.0, planned_seconds * 0.6))
        for kind in (*PLANNED, *rng.choices(PLANNED, k=2))
    ]
    for _ in range(count):
        kind = rng.choice(UNPLANNED if rng.random() < 0.75 else PLANNED)
        at_seconds = planned_seconds + rng.uniform(0.0, chaos_seconds)
        faults.append(_draw_fault(rng, kind, at_seconds))
        if rng.random() < 0.25:
            # Faults come in series: repeat this one shortly after.
            again = attrs.evolve(faults[-1], at_seconds=at_seconds + rng.random())
            faults.append(again)
    for kind in LAST_DRAWN_KINDS:
        at_seconds = planned_seconds + rng.uniform(0.0, chaos_seconds)
        faults.append(_draw_fault(rng, kind, at_seconds))
    return sorted(faults, key=lambda fault: fault.at_seconds)


def _draw_fault(rng: random.Random, kind: str, at_seconds: float) -> Fault:
    return Fault(
        at_seconds=round(at_seconds, 3),
        duration_seconds=round(rng.uniform(0.2, 3.0), 3),
        kind=kind,
        index=rng.randrange(1000),
        strength=round(rng.random(), 3),
    )


class FaultInjector:
    """Injects faults and records what was injected and when."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self.injected_faults: list[InjectedFault] = []
        #: Hosts that are down on purpose, and hosts whose shutdown timed out.
        self.down: set[str] = set()
        self.slow_stops: list[str] = []
        #: Newest accepted version of the tree, as era of the store and revision, and
        #: the newest weights version that was set as target.
        self._accepted = (0, 0)
        self.weights_version = 1
        self._was_restored = False

    @property
    def revision(self) -> int:
        """Newest accepted revision of the tree."""
        return self._accepted[1]

    def record_accepted(self, era: int, revision: int) -> None:
        """Record a revision that the store accepted in an era."""
        self._accepted = max(self._accepted, (era, revision))

    async def inject_all(self, faults: list[Fault], began_seconds: float) -> None:
        """Inject all faults at their times; return when the last one has ended."""
        async with anyio.create_task_group() as tasks:
            for fault in faults:
                tasks.start_soon(self._inject, fault, began_seconds)

    async def clear_faults(self) -> None:
        """End all faults and start all processes that are down."""
        for proxy in self._fleet.proxies:
            proxy.conditions.clear()
        for host in self._fleet.hosts:
            host.signal(signal.SIGCONT)
            self._fleet.clock_file(host).write_text("0")
            host.start()
        await self._fleet.post(self._fleet.platform, "/faults", {})
        for runner in self._fleet.runners:
            await self._fleet.post(runner, "/faults", {})
        await self._fleet.post(self._fleet.service, "/faults", {})
        self._fleet.leaving.clear()
        await self._fleet.publish()
        if self._was_restored:
            # The last writes before the restore may be lost.
            await self._rewrite_lost_state()

    async def _inject(self, fault: Fault, began_seconds: float) -> None:
        wait_seconds = began_seconds + fault.at_seconds - time.monotonic()
        await anyio.sleep(max(0.0, wait_seconds))
        inject: Callable[[Fault, InjectedFault], Awaitable[None]] = getattr(
            self, f"_{fault.kind}"
        )
        injected = InjectedFault(fault.kind, "", time.monotonic())
        self.injected_faults.append(injected)
        await inject(fault, injected)
        injected.ended_seconds = min(injected.ended_seconds, time.monotonic())

    def _host(self, fault: Fault, injected: InjectedFault) -> ManagedProcess:
        host = self._fleet.hosts[fault.index % len(self._fleet.hosts)]
        injected.target = host.name
        return host

    def _runner(self, fault: Fault, injected: InjectedFault) -> ManagedProcess:
        runner = self._fleet.runners[fault.index % len(self._fleet.runners)]
        injected.target = runner.name
        return runner

    # Hosts.

    async def _host_term(self, fault: Fault, injected: InjectedFault) -> None:
        host = self._host(fault, injected)
        if host.name in self.down:
            return
        self.down.add(host.name)
        host.signal(signal.SIGTERM)
        # Every other host is signalled as by a supervisor that repeats its signal.
        if fault.index % 2:
            await self._repeat_signals(host)
        # A shutdown may be slow while the process is paused or its links are cut.
        if not await host.wait_exited():
            self.slow_stops.append(host.name)
            host.signal(signal.SIGKILL)
            await host.wait_exited()
        await self._restart(host)

    async def _repeat_signals(self, host: ManagedProcess) -> None:
        """Signal a stopping host again, which must end no request."""
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGTERM):
            host.signal(number)
            await anyio.sleep(REPEAT_SECONDS)

    async def _host_kill(self, fault: Fault, injected: InjectedFault) -> None:
        await self._kill([self._host(fault, injected)])

    async def _hosts_kill_all(self, fault: Fault, injected: InjectedFault) -> None:
        await self._kill(self._fleet.hosts)

    async def _kill(self, hosts: list[ManagedProcess]) -> None:
        targets = [host for host in hosts if host.name not in self.down]
        self.down |= {host.name for host in targets}
        for host in targets:
            host.signal(signal.SIGKILL)
        for host in targets:
            await host.wait_exited()
            await self._restart(host)

    async def _restart(self, host: ManagedProcess) -> None:
        await anyio.sleep(RESTART_SECONDS)
        host.start()
        self.down.discard(host.name)
        await host.wait_listening()

    async def _host_pause(self, fault: Fault, injected: InjectedFault) -> None:
        host = self._host(fault, injected)
        host.signal(signal.SIGSTOP)
        await anyio.sleep(fault.duration_seconds)
        host.signal(signal.SIGCONT)

    async def cut_off_alone(self, number: int) -> None:
        """Cut one host off twice in a row while nothing else happens."""
        for way in (number, number + 1):
            fault = Fault(0.0, 0.0, "host_cut_off", number, way % 4 / 4.0)
            injected = InjectedFault("host_cut_off_alone", "", time.monotonic())
            self.injected_faults.append(injected)
            await self._host_cut_off(fault, injected)
            injected.ended_seconds = time.monotonic()
            await anyio.sleep(CUT_OFF_PAUSE_SECONDS)

    async def silence_alone(self) -> None:
        """Silence all open connections at once, while new ones work."""
        injected = InjectedFault("connections_silent_alone", "", time.monotonic())
        self.injected_faults.append(injected)
        for proxy in self._fleet.proxies:
            proxy.blackhole_connections()
        await anyio.sleep(SILENT_SECONDS)
        injected.ended_seconds = time.monotonic()

    async def stop_in_turn(self) -> None:
        """Stop and start all hosts one after the other, while callers go on."""
        for index in range(len(self._fleet.hosts)):
            await self._inject(Fault(0.0, 0.0, "host_term", index), time.monotonic())

    async def stop_overlapping(self) -> None:
        """Stop all hosts a moment apart, so that for a while none of them is ready."""
        async with anyio.create_task_group() as tasks:
            for index in range(len(self._fleet.hosts)):
                fault = Fault(0.0, 0.0, "host_term", index)
                tasks.start_soon(self._inject, fault, time.monotonic())
                await anyio.sleep(OVERLAP_SECONDS)

    async def _host_cut_off(self, fault: Fault, injected: InjectedFault) -> None:
        """Make the links of a host to all upstreams, or to all runners, fail."""
        host = self._host(fault, injected)
        way = CUT_OFF_WAYS[int(fault.strength * len(CUT_OFF_WAYS)) % 4]
        links = self._fleet.own_links[host.name]
        if fault.index % 3 == 2:
            links = {item.name: links[item.name] for item in self._fleet.runners}
        for link in links.values():
            conditions = link.conditions
            conditions.is_stalled_to_target = way == "hang"
            conditions.is_stalled_from_target = way == "hang"
            conditions.refuses_new = way in ("reset", "refuse_new")
            conditions.holds_new = way == "hold_new"
            if way == "reset":
                link.reset()
        await anyio.sleep(CUT_OFF_SECONDS)
        for link in links.values():
            link.conditions.clear()
            if way == "hang":
                # A connection that fails during a cut loses the bytes held back.
                link.reset()

    async def _clock_step(self, fault: Fault, injected: InjectedFault) -> None:
        path = self._fleet.clock_file(self._host(fault, injected))
        path.write_text(str((fault.strength - 0.5) * 20.0))
        await anyio.sleep(fault.duration_seconds)
        path.write_text("0")

    # Links.

    async def _platform_link_stalled(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._stall_link(self._platform_link(fault, injected), fault, True, True)

    async def _platform_link_one_way(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        # Requests arrive but their responses don't, or neither arrives.
        await self._stall_link(self._platform_link(fault, injected), fault, False, True)

    async def _platform_link_reset(self, fault: Fault, injected: InjectedFault) -> None:
        self._platform_link(fault, injected).reset()

    async def _platform_link_blackholed(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._blackhole_link(self._platform_link(fault, injected))

    async def _peer_link_blackholed(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._blackhole_link(
            self._fleet.to_peer[self._host(fault, injected).name]
        )

    async def _runner_link_blackholed(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._blackhole_link(
            self._fleet.to_upstream[self._runner(fault, injected).name]
        )

    async def _peer_link_stalled(self, fault: Fault, injected: InjectedFault) -> None:
        proxy = self._fleet.to_peer[self._host(fault, injected).name]
        await self._stall_link(proxy, fault, True, True)

    async def _peer_link_reset(self, fault: Fault, injected: InjectedFault) -> None:
        self._fleet.to_peer[self._host(fault, injected).name].reset()

    async def _runner_link_one_way(self, fault: Fault, injected: InjectedFault) -> None:
        proxy = self._fleet.to_upstream[self._runner(fault, injected).name]
        is_to_target = fault.strength < 0.5
        await self._stall_link(proxy, fault, is_to_target, not is_to_target)

    async def _runner_link_delay(self, fault: Fault, injected: InjectedFault) -> None:
        proxy = self._fleet.to_upstream[self._runner(fault, injected).name]
        proxy.conditions.delay_seconds = fault.strength * 0.3
        await anyio.sleep(fault.duration_seconds)
        proxy.conditions.clear()

    async def _runner_link_reset(self, fault: Fault, injected: InjectedFault) -> None:
        self._fleet.to_upstream[self._runner(fault, injected).name].reset()

    def _platform_link(self, fault: Fault, injected: InjectedFault) -> Proxy:
        return self._fleet.to_platform[self._host(fault, injected).name]

    async def _blackhole_link(self, proxy: Proxy) -> None:
        proxy.blackhole_connections()
        # Requests on a dead connection fail only once it is detected.
        await anyio.sleep(DETECTION_SECONDS)

    async def _stall_link(
        self, proxy: Proxy, fault: Fault, is_to_target: bool, is_from_target: bool
    ) -> None:
        proxy.conditions.is_stalled_to_target = is_to_target
        proxy.conditions.is_stalled_from_target = is_from_target
        await anyio.sleep(fault.duration_seconds)
        proxy.conditions.clear()
        # A connection that fails during an outage loses the bytes held back; the reset
        # has the same effect.
        proxy.reset()

    # Upstreams.

    async def _runner_crash(self, fault: Fault, injected: InjectedFault) -> None:
        await self._fleet.post(self._runner(fault, injected), "/crash")

    async def _runner_busy(self, fault: Fault, injected: InjectedFault) -> None:
        await self._inject_runner_fault(fault, injected, {"is_busy": True})

    async def _runner_frozen(self, fault: Fault, injected: InjectedFault) -> None:
        await self._inject_runner_fault(fault, injected, {"is_frozen": True})

    async def _runner_loses_answers(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._inject_runner_fault(fault, injected, {"loses_answers": True})

    async def _torn_streams(self, fault: Fault, injected: InjectedFault) -> None:
        data = {"torn_after_count": fault.index % STREAM_EVENTS}
        await self._inject_runner_fault(fault, injected, data)

    async def _cut_answers(self, fault: Fault, injected: InjectedFault) -> None:
        service = self._fleet.service
        injected.target = service.name
        data = {"cut_answers_count": CUT_ANSWERS}
        await self._fleet.post(service, "/faults", data)
        await anyio.sleep(fault.duration_seconds)
        await self._fleet.post(service, "/faults", {})

    async def _crashing_prompt(self, fault: Fault, injected: InjectedFault) -> None:
        for number in range(CRASHING_ATTEMPTS):
            hosts = self._fleet.hosts
            await self._send_crashing_prompt(hosts[(fault.index + number) % len(hosts)])
            await anyio.sleep(CRASHING_PAUSE_SECONDS)

    async def _crashing_part(self, fault: Fault, injected: InjectedFault) -> None:
        """Send prompts, all different, with one message that crashes runners."""
        for number in range(CRASHING_ATTEMPTS):
            hosts = self._fleet.hosts
            texts = (SHARED_PREFIX, CRASHING_PROMPT, f"question {number}")
            messages = [{"role": "user", "content": text} for text in texts]
            await self._send_crashing(
                hosts[(fault.index + number) % len(hosts)],
                "/v1/chat/completions",
                {"messages": messages},
            )
            await anyio.sleep(CRASHING_PAUSE_SECONDS)

    async def _send_crashing_prompt(self, host: ManagedProcess) -> None:
        await self._send_crashing(host, "/v1/completions", {"prompt": CRASHING_PROMPT})

    async def _send_crashing(
        self, host: ManagedProcess, path: str, prompt: dict[str, object]
    ) -> None:
        url = f"{self._fleet.entry_url(host)}{path}"
        headers = {"Authorization": f"Bearer {KEY}", "Rampwick-Deadline-Seconds": "2.0"}
        body = {"model": MODEL, "max_tokens": 1, **prompt}
        with anyio.move_on_after(CRASHING_TIMEOUT_SECONDS):
            async with httpx.AsyncClient(trust_env=False, verify=False) as client:
                try:
                    await client.post(url, json=body, headers=headers)
                except httpx.HTTPError:
                    # The host is down or cut off; the next attempt uses another host.
                    return

    async def _runner_limited(self, fault: Fault, injected: InjectedFault) -> None:
        runner = self._runner(fault, injected)
        injected.request_rate = round(fault.strength * MAX_RATE, 2)
        await self._set_request_rate(runner, injected.request_rate)
        await anyio.sleep(RATE_LIMIT_SECONDS)
        injected.ended_seconds = time.monotonic()
        await self._set_request_rate(runner, None)

    async def _runner_announces_shutdown(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        """Let a runner announce its shutdown in responses only, then crash it."""
        runner = self._runner(fault, injected)
        await self._fleet.post(runner, "/leave")
        injected.began_seconds = time.monotonic()
        await anyio.sleep(DRAIN_SECONDS)
        injected.ended_seconds = time.monotonic()
        await self._fleet.post(runner, "/crash")

    async def _set_request_rate(
        self, runner: ManagedProcess, rate: float | None
    ) -> None:
        data = {"requests_per_second": rate}
        await self._fleet.post(runner, "/request-rate", data)

    async def _inject_runner_fault(
        self, fault: Fault, injected: InjectedFault, data: dict[str, int]
    ) -> None:
        runner = self._runner(fault, injected)
        await self._fleet.post(runner, "/faults", data)
        await anyio.sleep(fault.duration_seconds)
        await self._fleet.post(runner, "/faults", {})

    async def _runner_leave(self, fault: Fault, injected: InjectedFault) -> None:
        runner = self._runner(fault, injected)
        is_last = len(self._fleet.leaving) + 1 >= len(self._fleet.runners)
        if is_last or runner.name in self._fleet.leaving:
            injected.target = ""
            return
        self._fleet.leaving.add(runner.name)
        await self._fleet.publish()
        injected.began_seconds = time.monotonic()
        await anyio.sleep(fault.duration_seconds + 1.0)
        self._fleet.leaving.discard(runner.name)
        injected.ended_seconds = time.monotonic()
        await self._fleet.publish()

    async def leave_beside_odd_entry(self, number: int) -> None:
        """Have a runner leave while an odd entry is listed, and nothing else happens.

        It is checked as any other that leaves: an odd entry excuses nothing.
        """
        strength = number % len(ODD_ENTRIES) / len(ODD_ENTRIES)
        odd = Fault(0.0, ODD_SECONDS, "odd_entry", number, strength)
        await self._leave_beside(odd)

    async def leave_beside_cut_watches(self, number: int) -> None:
        """Have a runner leave while watches are cut, which excuses nothing."""
        cuts = Fault(0.0, ODD_SECONDS, "platform_watches_cut", number)
        await self._leave_beside(cuts)

    async def _leave_beside(self, other: Fault) -> None:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._inject, other, time.monotonic())
            leaving = Fault(
                ODD_SECONDS / 4, ODD_SECONDS / 2, "runner_leave", other.index
            )
            tasks.start_soon(self._inject, leaving, time.monotonic())

    async def _platform_watches_cut(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        with anyio.move_on_after(fault.duration_seconds):
            while True:
                for link in self._fleet.to_platform.values():
                    link.reset()
                await anyio.sleep(CUT_WATCHES_SECONDS)

    async def _odd_entry(self, fault: Fault, injected: InjectedFault) -> None:
        raw = ODD_ENTRIES[int(fault.strength * len(ODD_ENTRIES)) % len(ODD_ENTRIES)]
        await self._fleet.list_odd_host(raw)
        await anyio.sleep(fault.duration_seconds)
        await self._fleet.list_odd_host(b"")

    # The platform, and changes by operators.

    async def _platform_down(self, fault: Fault, injected: InjectedFault) -> None:
        await self._inject_platform_fault(fault, {"is_down": True})

    async def _platform_slow(self, fault: Fault, injected: InjectedFault) -> None:
        await self._inject_platform_fault(fault, {"delay_seconds": fault.strength})

    async def _platform_loses_answers(
        self, fault: Fault, injected: InjectedFault
    ) -> None:
        await self._inject_platform_fault(fault, {"lost_answers_count": 3})

    async def _platform_stale(self, fault: Fault, injected: InjectedFault) -> None:
        await self._inject_platform_fault(fault, {"is_stale": True})

    async def _inject_platform_fault(
        self, fault: Fault, data: dict[str, object]
    ) -> None:
        await self._fleet.post(self._fleet.platform, "/faults", data)
        await anyio.sleep(fault.duration_seconds)
        await self._fleet.post(self._fleet.platform, "/faults", {})

    async def _platform_restored(self, fault: Fault, injected: InjectedFault) -> None:
        platform = self._fleet.platform
        await self._fleet.post(platform, "/copy")
        await anyio.sleep(fault.duration_seconds)
        await self._fleet.post(platform, "/faults", {"is_down": True})
        await anyio.sleep(fault.strength)
        await self._fleet.post(platform, "/restore")
        await self._fleet.post(platform, "/faults", {})
        self._was_restored = True
        await self._rewrite_lost_state()

    async def _rewrite_lost_state(self) -> None:
        """Write again what the store has lost, as soon as it accepts writes."""
        before = self._accepted
        for _ in range(WRITE_ATTEMPTS):
            await self._add_node()
            if self._accepted > before and await self._rewrite_weights_target():
                return
            await anyio.sleep(WRITE_PAUSE_SECONDS)

    async def _rewrite_weights_target(self) -> bool:
        async with self._fleet.open_api() as api:
            try:
                target = WeightsTarget(MODEL, self.weights_version)
                await WeightsStore(api).set_target(target)
            except PlatformError:
                return False
            return True

    async def _configure(self, fault: Fault, injected: InjectedFault) -> None:
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
                # A platform fault or a concurrent edit: the operator gets the
                # error, and nothing was accepted.
                return
            self.record_accepted(api.era, change.revision)

    async def _set_weights_target(self, fault: Fault, injected: InjectedFault) -> None:
        version = self.weights_version + 1
        async with self._fleet.open_api() as api:
            try:
                await WeightsStore(api).set_target(WeightsTarget(MODEL, version))
            except PlatformError:
                return
            self.weights_version = max(self.weights_version, version)
