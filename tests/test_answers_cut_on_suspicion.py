"""An answer that has begun is not cut because its upstream may be unresponsive."""

import socket
from contextlib import closing
from unittest import mock

import anyio
from testtools import TestCase

from rampwick_platform import PlatformUnavailableError
from rampwick_policy import (
    AttemptDelivered,
    AttemptFailed,
    AttemptStalled,
    Dispatch,
    HealthState,
    LoadReported,
    Outcome,
    ProbeFailed,
    Refuse,
    UpstreamPath,
)
from rampwick_router.entry._context import KEY_AGE_MARGIN_SECONDS
from rampwick_router.upstream._tcp_socket import TcpSocket
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

    def test_failed_probe_leaves_its_upstream_up_while_answers_go_on(self):
        session = self.session(runners=1)
        session.scheduler.silent_seconds = lambda attempt_id, now_seconds: 0.1
        self.fail_probe(session, 2.0)
        (upstream,) = session.scheduler.upstreams
        self.assertIs(HealthState.UP, upstream.health.state)
        self.assertTrue(upstream.is_suspected)

    def test_failed_probe_ends_an_answer_that_is_as_silent_as_the_probe(self):
        session = self.session()
        session.scheduler.silent_seconds = lambda attempt_id, now_seconds: 0.4
        self.fail_probe(session, 2.0)
        self.assertEqual("r1.2", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_that_must_not_run_again(self):
        session = self.session(is_repeatable=False)
        self.assertFalse(session.scheduler.may_give_up("r1", 2.0))
        self.assertEqual([], self.refusals(self.fail_probe(session, 2.0)))

    def test_answer_past_its_deadline_may_be_given_up(self):
        session = self.session(attempts_count=1)
        self.assertFalse(session.scheduler.may_give_up("r1", 60.9))
        self.assertTrue(session.scheduler.may_give_up("r1", 61.0))

    def test_stalled_upstream_is_no_other_upstream(self):
        self.assertFalse(self.session(runners=1).scheduler.may_give_up("r1", 2.0))

    def test_upstream_that_answers_others_can_continue_a_stalled_answer(self):
        session = self.session(runners=1)
        session.arrive(1.8, "r2")
        session.do(1.9, AttemptDelivered("r2", "r2.1"))
        self.assertTrue(session.scheduler.may_give_up("r1", 2.0))

    def test_one_retry_of_the_budget_replaces_one_answer(self):
        session = self.session(runners=2)
        for name in ("r2", "r3", "r4"):
            session.arrive(1.0, name, max_attempts_count=2, is_resumable=True)
            session.do(1.1, AttemptDelivered(name, f"{name}.1"))
        session.scheduler.budgets.of("", 1).balance = 1.5
        open_ids = ["r1", "r2", "r3", "r4"]
        given_up = [item for item in open_ids if session.scheduler.may_give_up(item, 2)]
        self.assertEqual(["r1"], given_up)

    def test_failed_probe_leaves_answers_without_another_slot(self):
        session = Session(runners=2, slots=2)
        names = [f"w{number}" for number in range(12)]
        for name in names:
            terms = {"max_attempts_count": 2, "is_resumable": True}
            session.arrive(1.0, name, text=f"{name} " * 200, **terms)
        lifecycles = [session.scheduler.lifecycle(name) for name in names]
        begun = [item for item in lifecycles if item.attempt_id]
        for item in begun:
            session.do(1.1, AttemptDelivered(item.request_id, item.attempt_id))
        self.fail_probe(session, 2.0)
        self.assertEqual([1] * len(begun), [item.attempts_count for item in begun])

    def test_failed_probe_leaves_an_answer_without_an_upstream_of_its_version(self):
        session = self.session()
        allowed = mock.Mock(return_value=())
        versions = session.scheduler.software_versions
        with mock.patch.object(versions, "allowed_views", allowed):
            self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_failed_probe_leaves_an_answer_that_is_kept_apart(self):
        session = self.session()
        allowed = mock.Mock(return_value=())
        quarantine = session.scheduler.quarantine
        with mock.patch.object(quarantine, "allowed_views", allowed):
            self.fail_probe(session, 2.0)
        self.assertEqual("r1.1", self.attempt_id(session))

    def test_abandoned_attempt_is_recorded_with_its_reason(self):
        session = self.session()
        name = self.upstream(session)
        self.fail_probe(session, 2.0)
        (change,) = [
            item
            for item in session.scheduler.pool.state_changes.take()
            if item.kind == "attempt"
        ]
        self.assertEqual(
            ("r1.1", f"at {name}", "abandoned", "no response within 0.4 s"),
            (change.name, change.before, change.after, change.reason),
        )

    def test_late_break_does_not_mark_the_next_incarnation_down(self):
        session = self.session(runners=1, attempts_count=1)
        session.report(4.0, "lektor-1", incarnation="two", slots=8)
        failed = AttemptFailed("r1", "r1.1", Outcome.BROKEN, "reset", was_closed=True)
        session.do(5.0, failed)
        (upstream,) = session.scheduler.upstreams
        self.assertIsNot(HealthState.DOWN, upstream.health.state)

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


class LateHostTest(TestCase):
    """A host that was late has not read what its upstreams sent."""

    def test_unread_bytes_are_no_silence(self):
        async def main():
            ours, theirs = socket.socketpair()
            ours.setblocking(False)
            reader = TcpSocket(ours)
            with theirs, closing(reader):
                before = reader.has_unread()
                theirs.send(b"data")
                return before, reader.has_unread()

        self.assertEqual((False, True), anyio.run(main))

    def test_attempt_with_unread_bytes_is_not_given_up(self):
        async def scenario(host, servers):
            script = pausing_stream(1, 9, pause_after=6)
            for server in servers.values():
                server.scripts = [script]
            with mock.patch.object(TcpSocket, "has_unread", return_value=True):
                response = await host.call("/stream/1")
            return response, sum(len(server.requests) for server in servers.values())

        response, requests_count = run(scenario, retry=RETRY)
        self.assertEqual((True, 1), (response.is_whole, requests_count))

    def test_failed_probe_leaves_an_answer_in_progress_at_a_host(self):
        async def scenario(host, servers):
            async def script(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))
                for number in range(1, 10):
                    await exchange.send(chunk(event(number)))
                    if number == 5:
                        name = exchange.upstream.name
                        host.daemon.scheduler.post(ProbeFailed(name, "no response"))
                        await anyio.sleep(0)
                await exchange.send(b"0\r\n\r\n")

            for server in servers.values():
                server.scripts = [script]
            response = await host.call("/stream/1")
            return response, sum(len(server.requests) for server in servers.values())

        response, requests_count = run(scenario)
        self.assertEqual((True, 1), (response.is_whole, requests_count))


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
