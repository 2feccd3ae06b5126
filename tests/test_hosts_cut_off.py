"""Guards against refusals at a host that has lost its own links to the upstreams."""

from contextlib import AsyncExitStack, asynccontextmanager

import anyio
from testtools import TestCase

from rampwick_policy import HealthState, LoadReported, ProbeFailed
from rampwick_policy._service_reachability import MODELS, ServiceReachability
from rampwick_policy._state_changes import StateChangeTracker

from .bench import run_bench, until
from .partitions import KINDS, current_host, partitioned_links
from .test_scheduler import Session

TEST_TIMEOUT_SECONDS = 60.0

#: Terms of a request: it fails after a second at the latest.
TERMS = {"Rampwick-Deadline-Seconds": "1.0"}


@asynccontextmanager
async def run_hosts(names=("entry-1", "entry-2"), runners=2, extra=""):
    """Run hosts before runners; yield them by name with the bench and the partition."""
    async with AsyncExitStack() as stack:
        partition = stack.enter_context(partitioned_links())
        bench = await stack.enter_async_context(run_bench())
        for number in range(runners):
            bench.add_runner(f"r{number}")
        hosts = {}
        for name in names:
            current_host.set(name)
            hosts[name] = await stack.enter_async_context(bench.run_host(name, extra))
        current_host.set("")
        for host in hosts.values():
            await host.until_ready(*bench.runners)
            await until(
                lambda host=host: host.daemon.scheduler.hosts_count == len(hosts)
            )
        yield hosts, bench, partition


def is_down(host, name):
    return host.upstream(name).health.state is HealthState.DOWN


class CutOffHostTest(TestCase):
    def serve_while_cut_off(self, kind):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_hosts() as (hosts, bench, partition):
                    cut_off, sound = hosts.values()
                    partition.cut("entry-1", kind)
                    # Requests during the detection may fail.
                    for number in range(6):
                        await cut_off.complete(f"warm up {number}", headers=TERMS)
                    served = {"cut off": [], "sound": []}
                    for number in range(10):
                        for name, host in (("cut off", cut_off), ("sound", sound)):
                            answer = await host.complete(
                                f"{name} {number}", headers=TERMS
                            )
                            served[name].append(answer.status_code)
                    return served

        return anyio.run(main)

    def test_first_tries_are_served_through_other_hosts(self):
        # All upstreams are sound and reachable from the other host.
        for kind in KINDS:
            self.assertEqual(
                {"cut off": [200] * 10, "sound": [200] * 10},
                self.serve_while_cut_off(kind),
                kind,
            )


class ReachabilityTest(TestCase):
    def test_service_is_reachable_while_one_upstream_is(self):
        session = Session(runners=2)
        pool = session.scheduler.pool
        tracker = ServiceReachability(pool.upstreams, StateChangeTracker())
        first, second = pool.upstreams
        first.is_suspected = True
        tracker.update(first, peers_count=1)
        self.assertEqual([], tracker.unreachable)
        second.is_suspected = True
        tracker.update(second, peers_count=1)
        self.assertEqual([MODELS], tracker.unreachable)

    def test_service_without_reachable_upstreams_is_logged_and_reported(self):
        session = Session(runners=2)
        session.do(1.0, ProbeFailed("lektor-1", "silent"))
        self.assertEqual([], session.scheduler.pool.reachability.unreachable)
        session.do(1.1, ProbeFailed("lektor-2", "silent"))
        self.assertEqual(["models"], session.scheduler.pool.reachability.unreachable)
        (change,) = self.take(session)
        self.assertEqual("unreachable", change.after)
        self.assertIn("2 upstreams unusable, 0 peers alive", change.reason)
        session.do(2.0, LoadReported("lektor-2", None))
        self.assertEqual([], session.scheduler.pool.reachability.unreachable)
        (change,) = self.take(session)
        self.assertEqual("reachable", change.after)

    def take(self, session):
        changes = session.scheduler.pool.state_changes.take()
        return [change for change in changes if change.kind == "service"]
