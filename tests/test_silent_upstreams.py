"""A sound upstream that answers nothing for about a second is not treated as down."""

import anyio
from testtools import TestCase

from rampwick_policy import (
    AttemptStalled,
    HealthState,
    LoadReported,
    ProbeFailed,
    UpstreamPath,
)
from rampwick_policy._pool import MAX_SILENT_SECONDS

from .bench import until
from .scripted import run_routed
from .test_hosts_cut_off import TEST_TIMEOUT_SECONDS, run_hosts
from .test_scheduler import Session


class SilentUpstreamTest(TestCase):
    def session(self):
        session = Session(runners=2, slots=8)
        session.arrive(1.0, "r1")
        session.do(1.5, AttemptStalled("r1", "r1.1"))
        return session

    def upstream(self, session):
        name = next(
            item.name for item in session.scheduler.upstreams if item.own_attempts
        )
        return session.scheduler.upstreams.get(name)

    def test_requests_stay_at_an_upstream_that_is_silent_for_a_moment(self):
        session = self.session()
        upstream = self.upstream(session)
        session.do(1.9, ProbeFailed(upstream.name, "silent", is_connected=True))
        self.assertIs(HealthState.UP, upstream.health.state)
        self.assertTrue(upstream.is_suspected)
        self.assertEqual("r1.1", session.scheduler.lifecycle("r1").attempt_id)
        session.do(2.0, LoadReported(upstream.name, None))
        self.assertFalse(upstream.is_suspected)

    def test_longer_silence_is_a_failure(self):
        session = self.session()
        upstream = self.upstream(session)
        at = 1.5 + MAX_SILENT_SECONDS
        session.do(at, ProbeFailed(upstream.name, "silent", is_connected=True))
        self.assertIs(HealthState.DOWN, upstream.health.state)
        self.assertNotEqual("r1.1", session.scheduler.lifecycle("r1").attempt_id)

    def test_unreachable_upstream_is_down_at_once(self):
        session = self.session()
        upstream = self.upstream(session)
        session.do(1.75, ProbeFailed(upstream.name, "connect"))
        self.assertIs(HealthState.DOWN, upstream.health.state)

    def test_peers_are_not_used_to_reach_a_silent_upstream(self):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_hosts(runners=1) as (hosts, bench, _):
                    host = hosts["entry-1"]
                    engine = bench.runners["r0"].engine
                    upstream = host.upstream("r0")
                    engine.faults.is_frozen = True
                    scheduler = host.daemon.scheduler
                    scheduler.run_query(
                        lambda found, now: found.pool.suspect("r0", now)
                    )
                    await anyio.sleep(0.35)
                    # Frozen for longer than a probe waits, not than one by a peer.
                    scheduler.probe_requested.set()
                    await anyio.sleep(0.25)
                    engine.faults.is_frozen = False
                    await until(lambda: not upstream.is_suspected)
                    return scheduler.path("r0"), upstream.health.state

        self.assertEqual((UpstreamPath.DIRECT, HealthState.UP), anyio.run(main))

    def test_call_is_answered_by_the_upstream_that_was_silent(self):
        async def pause(exchange):
            await anyio.sleep(1.0)
            await exchange.answer()

        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a"]}) as (host, found):
                    found["a"].scripts = [pause]
                    answer = await host.call("/again/1")
                    return answer.status, len(found["a"].requests)

        self.assertEqual((200, 1), anyio.run(main))
