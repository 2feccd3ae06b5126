"""Compare ways to serve callers of hosts that have lost their links to all upstreams.

The first part simulates a balancer and callers with kept and new connections; time is
simulated, and arrivals are the same for each way. The second part measures the
processor time of a tunnel between real hosts on loopback.
"""

import argparse
import random
import time
from collections.abc import Callable

import anyio
import attrs

from rampwick_policy import Member, TunnelPeers

LENGTH_SECONDS = 40.0
#: Two cuts in a row.
CUTS_SECONDS = ((10.0, 22.0), (24.0, 36.0))
#: Time after the beginning of a cut from which first tries are counted.
CONTACT_SECONDS = 3.0
#: Time until a host knows that all its links are down.
DETECTION_SECONDS = 1.2
#: Interval of the balancer's probes, and the failed ones that remove a host.
PROBE_SECONDS, MISSED_COUNT = 1.0, 2
#: Share of a hall's hosts below which the balancer uses all of them.
MIN_READY_RATIO = 0.5
CALLER_RATE = 4.0
CALLERS_PER_HOST = 30

#: Halls and hosts in each, and the number of hosts of the first hall that are cut off.
FLEETS = {
    "6 hosts, 1 cut off": ((2, 2, 1, 1), 1),
    "6 hosts, 2 of a hall": ((2, 2, 1, 1), 2),
    "20 hosts, 4 of 5 of a hall": ((5, 5, 5, 5), 4),
    "300 hosts, 40 of 50 of a hall": ((50,) * 6, 40),
    "all of 6 hosts": ((6,), 6),
}


@attrs.define(eq=False)
class _Host:
    hall: int
    index: int
    can_be_cut_off: bool
    member: Member
    tunnel_peers: TunnelPeers
    missed_count: int = 0
    is_listed: bool = True

    def is_cut_off(self, now_seconds: float) -> bool:
        return self.can_be_cut_off and any(
            began <= now_seconds < ended for began, ended in CUTS_SECONDS
        )

    def knows_cut(self, now_seconds: float) -> bool:
        return self.can_be_cut_off and any(
            began + DETECTION_SECONDS <= now_seconds < ended
            for began, ended in CUTS_SECONDS
        )


@attrs.define
class Figures:
    """First tries of callers, counted from a few seconds after the cuts began."""

    cut_off_count: int = 0
    cut_off_served_count: int = 0
    elsewhere_count: int = 0
    elsewhere_served_count: int = 0
    #: First tries that a peer served for a cut-off host, by peer.
    helped: dict[int, int] = attrs.field(factory=dict)

    def describe(self) -> str:
        """Return the figures as one line."""
        worst = max(self.helped.values(), default=0)
        return (
            f"cut off {_ratio(self.cut_off_served_count, self.cut_off_count)} of "
            f"{self.cut_off_count:5}, elsewhere "
            f"{_ratio(self.elsewhere_served_count, self.elsewhere_count)}, helped by "
            f"{len(self.helped)} peers, one by {worst} at most"
        )


def _ratio(part: int, whole: int) -> str:
    return f"{part / whole:.3f}" if whole else "  -  "


class PartitionLab:
    """A simulation of one way."""

    def __init__(
        self,
        fleet: tuple[tuple[int, ...], int],
        seed: int,
        *,
        kept_ratio: float,
        says_not_ready: bool,
        asks_peers: bool,
    ) -> None:
        sizes, cut_count = fleet
        self._hosts = [
            _make_host(hall, index, hall == 0 and index < cut_count)
            for hall, size in enumerate(sizes)
            for index in range(size)
        ]
        self._kept_ratio = kept_ratio
        self._says_not_ready = says_not_ready
        self._asks_peers = asks_peers
        self._rng = random.Random(seed)
        #: Host of each caller's kept connection.
        self._kept: dict[int, _Host] = {}
        self.figures = Figures()

    def run(self) -> Figures:
        """Run the simulation to its end and return the figures."""
        rng, now_seconds, probe_seconds = self._rng, 0.0, 0.0
        callers_count = CALLERS_PER_HOST * len(self._hosts)
        rate = CALLER_RATE * len(self._hosts)
        while (now_seconds := now_seconds + rng.expovariate(rate)) < LENGTH_SECONDS:
            while probe_seconds < now_seconds:
                self._probe(probe_seconds)
                probe_seconds += PROBE_SECONDS
            caller = rng.randrange(callers_count)
            self._call(caller, rng.random() < self._kept_ratio, now_seconds)
        return self.figures

    def _probe(self, now_seconds: float) -> None:
        for host in self._hosts:
            is_ready = not (self._says_not_ready and host.knows_cut(now_seconds))
            host.missed_count = 0 if is_ready else host.missed_count + 1
            host.is_listed = host.missed_count < MISSED_COUNT

    def _call(self, caller: int, is_kept: bool, now_seconds: float) -> None:
        host = self._kept.get(caller) if is_kept else None
        if host is None:
            host = self._balance(caller)
        if is_kept:
            self._kept[caller] = host
        is_served = self._serve(host, now_seconds)
        if not is_served and self._says_not_ready:
            # The answer closes the connection, so that the next one goes elsewhere.
            self._kept.pop(caller, None)
        if not any(
            began + CONTACT_SECONDS <= now_seconds < ended
            for began, ended in CUTS_SECONDS
        ):
            return
        figures = self.figures
        if host.is_cut_off(now_seconds):
            figures.cut_off_count += 1
            figures.cut_off_served_count += is_served
        else:
            figures.elsewhere_count += 1
            figures.elsewhere_served_count += is_served

    def _balance(self, caller: int) -> _Host:
        """Return the host that the balancer chooses for a new connection."""
        halls = sorted({host.hall for host in self._hosts})
        own = caller % len(halls)
        for hall in (own, *(hall for hall in halls if hall != own)):
            hosts = [host for host in self._hosts if host.hall == hall]
            listed = [host for host in hosts if host.is_listed]
            if not listed:
                continue
            if len(listed) < MIN_READY_RATIO * len(hosts):
                listed = hosts
            return listed[hash((caller, self._rng.random())) % len(listed)]
        return self._hosts[caller % len(self._hosts)]

    def _serve(self, host: _Host, now_seconds: float) -> bool:
        if not host.is_cut_off(now_seconds):
            return True
        if not self._asks_peers or not host.knows_cut(now_seconds):
            return False
        members = {other.member.name: other for other in self._hosts}
        found = [other.member for other in self._hosts]
        tried: list[str] = []
        while member := host.tunnel_peers.choose(found, "u", "", tried, now_seconds):
            peer = members[member.name]
            tried.append(member.name)
            if not peer.is_cut_off(now_seconds):
                index = self._hosts.index(peer)
                helped = self.figures.helped
                helped[index] = helped.get(index, 0) + 1
                # Tunnels are kept for further requests; the count spreads them.
                host.tunnel_peers.note_begun(member.name)
                return True
            host.tunnel_peers.note_refused(member, "u", "tunnelled", now_seconds)
        return False


def _make_host(hall: int, index: int, can_be_cut_off: bool) -> _Host:
    member = Member(f"h{hall}-{index}", f"hall {hall}", f"10.{hall}.0.{index}:1")
    return _Host(hall, index, can_be_cut_off, member, TunnelPeers(member))


WAYS = {
    "own links only": {"says_not_ready": False, "asks_peers": False},
    "not ready": {"says_not_ready": True, "asks_peers": False},
    "through peers": {"says_not_ready": False, "asks_peers": True},
    "both": {"says_not_ready": True, "asks_peers": True},
}


def compare_ways(seeds: int) -> None:
    """Print the figures of each way for each fleet."""
    for name, fleet in FLEETS.items():
        for kept_ratio in (0.0, 0.8):
            print(f"{name}, {kept_ratio:.0%} of the calls on kept connections")
            for way, options in WAYS.items():
                for seed in range(seeds):
                    lab = PartitionLab(fleet, seed, kept_ratio=kept_ratio, **options)
                    print(f"  {way:15} seed {seed}: {lab.run().describe()}")


async def measure_tunnels(count: int) -> None:
    """Print the processor time of requests over both paths, for all hosts together."""
    # Runs daemons and stand-ins in this process.
    from tests.bench import run_bench, run_two_hosts

    from rampwick_policy import LoadReported, UpstreamPath

    async with run_bench() as bench:
        bench.add_runner("r0", slots_count=64)
        async with run_two_hosts(bench) as (host, _):
            scheduler = host.daemon.scheduler
            for path in (UpstreamPath.DIRECT, UpstreamPath.TUNNEL, UpstreamPath.DIRECT):
                scheduler.post(LoadReported("r0", None, path))
                for tokens in (4, 60):
                    await _measure_calls(host.complete, path.value, tokens, count)


async def _measure_calls(
    complete: Callable, path: str, tokens: int, count: int
) -> None:
    for number in range(20):
        await complete(f"warm up {number}", max_tokens=tokens)
    began_seconds, began_cpu_seconds = time.perf_counter(), time.process_time()
    for number in range(count):
        await complete(f"request {number}", max_tokens=tokens)
    cpu_ms = (time.process_time() - began_cpu_seconds) * 1000 / count
    wall_ms = (time.perf_counter() - began_seconds) * 1000 / count
    print(f"{path:7} {tokens:3} tokens: {cpu_ms:.2f} ms of processor, {wall_ms:.2f} ms")


def main(argv: list[str]) -> None:
    """Print all figures."""
    parser = argparse.ArgumentParser(prog="measure partitions", description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--calls", type=int, default=300)
    arguments = parser.parse_args(argv)
    compare_ways(arguments.seeds)
    anyio.run(measure_tunnels, arguments.calls)
