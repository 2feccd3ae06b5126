"""An answer that has begun is not cut because its upstream may be unresponsive."""

import anyio
from testtools import TestCase

from rampwick_platform import PlatformUnavailableError
from rampwick_policy import (
    AttemptDelivered,
    AttemptFailed,
    AttemptStalled,
    Dispatch,
    LoadReported,
    Outcome,
    ProbeFailed,
    Refuse,
    UpstreamPath,
)
from rampwick_router.entry._context import KEY_AGE_MARGIN_SECONDS
from rampwick_schema import LoadReport

from .test_routed import CHUNKED, chunk, event, run, stream_of
from .test_scheduler import Session

PAUSE_SECONDS = 0.9
KEY_AGE_SECONDS = KEY_AGE_MARGIN_SECONDS + 0.2
RETRY = "silence_timeout_seconds = 0.3"


def pausing_stream(first, last, pause_after):
    """Return a script that pauses between two events of its answer."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=CHUNKED))
        for number in range(first, last + 1):
            await exchange.send(chunk(event(number)))
            if number == pause_after:
                await anyio.sleep(PAUSE_SECONDS)
        await exchange.send(b"0\r\n\r\n")

    return script


class SuspectedUpstreamTest(TestCase):
    """The caller has a part of the answer, and no other attempt may follow."""

    def session(self, *, attempts_count=2, runners=3, **fields):
        session = Session(runners=runners, slots=8)
        fields = {"is_resumable": True, **fields}
        session.arrive(1.0, "r1", max_attempts_count=attempts_count, **fields)
        session.do(1.1, AttemptDelivered("r1", "r1.1"))
        return session

    def upstream(self, session):
        return next(
            item.name for item in session.scheduler.upstreams if item.own_attempts
        )

    def refusals(self, actions):
        return [item for item in actions if isinstance(item, Refuse)]

    def fail_probe(self, session, at):
        name = self.upstream(session)
        return session.do(at, ProbeFailed(name, "no response within 0.4 s"))

    def attempt_id(self, session):
        lifecycle = session.scheduler.lifecycle("r1")
        return lifecycle.attempt_id if lifecycle else ""

    def test_failed_probe_replaces_an_attempt_that_another_may_follow(self):
        session = self.session()
        (sent,) = [
            item for item in self.fail_probe(session, 2.0) if isinstance(item, Dispatch)
        ]
        self.assertEqual("r1.2", sent.attempt_id)

    def test_failed_probe_leaves_an_answer_that_goes_on(self):
        session = self.session()
        session.scheduler.silent_seconds = lambda attempt_id, now_seconds: 0.1
        self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_the_last_attempt_alone(self):
        session = self.session()
        self.fail_probe(session, 2.0)
        session.do(2.1, AttemptDelivered("r1", "r1.2"))
        self.assertEqual([], self.refusals(self.fail_probe(session, 3.0)))
        self.assertEqual("r1.2", self.attempt_id(session))

    def test_failed_probe_leaves_the_only_attempt_alone(self):
        session = self.session(attempts_count=1)
        self.assertEqual([], self.refusals(self.fail_probe(session, 2.0)))
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_that_cannot_be_resumed(self):
        session = self.session(is_resumable=False)
        self.assertEqual([], self.refusals(self.fail_probe(session, 2.0)))
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_without_another_upstream(self):
        session = self.session(runners=1)
        self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_without_retry_budget(self):
        session = self.session()
        budget = session.scheduler.budgets.of("", 1)
        while budget.spend(2.0):
            continue
        self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_whose_access_cannot_be_confirmed(self):
        session = self.session(is_allowed=lambda: False)
        self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_replaced_path_leaves_the_last_attempt_alone(self):
        session = self.session()
        self.fail_probe(session, 2.0)
        session.do(2.5, AttemptStalled("r1", "r1.2"))
        report = LoadReport("one", "m", 1, 8, 0, 0, 8000.0, 60_000)
        name = self.upstream(session)
        actions = session.do(2.6, LoadReported(name, report, UpstreamPath.TUNNEL))
        self.assertEqual([], self.refusals(actions))
        self.assertEqual("r1.2", self.attempt_id(session))

    def test_broken_connection_ends_the_last_attempt(self):
        session = self.session(attempts_count=1)
        failed = AttemptFailed("r1", "r1.1", Outcome.BROKEN, "closed", was_closed=True)
        self.assertEqual(1, len(self.refusals(session.do(2.0, failed))))


class UnconfirmedAccessTest(TestCase):
    """The host can't confirm the configuration while an upstream pauses."""

    def test_answer_is_not_given_up_for_an_attempt_that_is_not_allowed(self):
        async def scenario(host, servers):
            async def pause(exchange):
                host.store.failure = PlatformUnavailableError("away", step="test")
                host.store.changed.set()
                await anyio.sleep(KEY_AGE_SECONDS - KEY_AGE_MARGIN_SECONDS)
                await pausing_stream(1, 9, pause_after=6)(exchange)

            for server in servers.values():
                server.scripts = [pause]
            return await host.call("/stream/1")

        platform = f"max_key_age_seconds = {KEY_AGE_SECONDS}"
        self.assertTrue(run(scenario, retry=RETRY, platform=platform).is_whole)


class SilentUpstreamTest(TestCase):
    """The caller has nothing of the answer yet, and no other attempt may follow."""

    def session(self):
        session = Session(runners=2, slots=8)
        session.arrive(1.0, "r1", max_attempts_count=1)
        session.do(1.5, AttemptStalled("r1", "r1.1"))
        return session

    def may_give_up(self, session, at):
        return session.scheduler.may_give_up("r1", at)

    def test_silence_alone_does_not_end_the_attempt(self):
        self.assertFalse(self.may_give_up(self.session(), 2.2))

    def test_silence_of_an_upstream_that_is_down_does(self):
        session = self.session()
        (upstream,) = [
            item.name for item in session.scheduler.upstreams if item.own_attempts
        ]
        failed = ProbeFailed(upstream, "no response within 0.4 s")
        (refusal,) = [
            item for item in session.do(2.2, failed) if isinstance(item, Refuse)
        ]
        self.assertEqual("upstream_failed", refusal.reason)

    def test_deadline_ends_it(self):
        self.assertTrue(self.may_give_up(self.session(), 61.0))

    def test_another_attempt_may_follow(self):
        session = Session(runners=2, slots=8)
        session.arrive(1.0, "r1", max_attempts_count=2)
        self.assertTrue(self.may_give_up(session, 2.2))


class PausingUpstreamTest(TestCase):
    """The upstream of the last attempt pauses for longer than the timeout."""

    def stream(self, script):
        """Return the response if the first attempt breaks and the second one pauses."""

        async def scenario(host, servers):
            async def break_off(exchange):
                for server in servers.values():
                    server.scripts = [script]
                await stream_of(1, 9, stop_after=3)(exchange)

            for server in servers.values():
                server.scripts = [break_off]
            return await host.call("/stream/1")

        return run(scenario, retry=RETRY)

    def test_pause_in_the_last_attempt(self):
        response = self.stream(pausing_stream(4, 9, pause_after=6))
        self.assertTrue(response.is_whole)
        self.assertEqual(9, response.body.count(b"data:"))

    def test_pause_before_the_only_answer(self):
        async def scenario(host, servers):
            async def pause(exchange):
                await anyio.sleep(PAUSE_SECONDS)
                await exchange.answer()

            for server in servers.values():
                server.scripts = [pause]
            host.daemon.scheduler._scheduler.budgets.of("labels", 1).balance = 0.0
            return await host.call("/again/1")

        self.assertEqual(200, run(scenario, retry=RETRY).status)

    def test_pause_before_the_head_of_the_last_attempt(self):
        async def pause(exchange):
            await anyio.sleep(PAUSE_SECONDS)
            await stream_of(4, 9)(exchange)

        response = self.stream(pause)
        self.assertTrue(response.is_whole)
        self.assertEqual(9, response.body.count(b"data:"))
