"""Guards against requests to an upstream that announced its shutdown in an answer."""

from contextlib import asynccontextmanager

import anyio
from testtools import TestCase

from rampwick_adapter._control import ControlTranslation
from rampwick_platform import PlatformUnavailableError
from rampwick_policy import (
    AttemptFailed,
    Dispatch,
    HostListRead,
    LeavingUpdateReceived,
    Obstacle,
    Outcome,
    ProbeFailed,
    Refuse,
    RunState,
    Tick,
    UpstreamSignalled,
)
from rampwick_policy._departures import (
    RETRANSMIT_SECONDS,
    UNLISTED_SECONDS,
    Departures,
    Incarnation,
)
from rampwick_router import ResponseHead
from rampwick_schema import (
    HostEntry,
    HostList,
    LeavingUpdate,
    LeavingUpstream,
    StewardSettings,
)

from .bench import run_two_hosts, until
from .case import ScenarioCase
from .scripted import run_routed
from .test_scheduler import Session

TEST_TIMEOUT_SECONDS = 30.0


async def answer_leaving(exchange):
    """Answer as an upstream does that is shutting down."""
    await exchange.answer(extra=b"Rampwick-Leaving: 1")


class AnnouncedShutdownTest(TestCase):
    def test_no_request_follows_the_answer_that_announces_it(self):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    found["a"].scripts = [answer_leaving]
                    # The store has no news of it, and can't be asked.
                    host.store.failure = PlatformUnavailableError("down", step="test")
                    statuses = [
                        (await host.call("/open/1", request_id=f"r{number}")).status
                        for number in range(20)
                    ]
                    return statuses, len(found["a"].requests)

        statuses, count = anyio.run(main)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, count)

    def test_nor_one_that_was_placed_before_and_waits_for_its_connection(self):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    scheduler = host.daemon.scheduler
                    channels = host.daemon.entry._context.channels
                    borrow = channels.borrow

                    @asynccontextmanager
                    async def announce_first(upstream, *terms, **options):
                        async with borrow(upstream, *terms, **options) as channel:
                            signal = UpstreamSignalled("a", "a", is_leaving=True)
                            scheduler.post(signal)
                            yield channel

                    channels.borrow = announce_first
                    answer = await host.call("/once/1")
                    return answer.status, {
                        name: len(item.requests) for name, item in found.items()
                    }

        self.assertEqual((200, {"a": 0, "b": 1}), anyio.run(main))


def leave(session, at, *names, life="one"):
    """Have upstreams announce their shutdown in an answer."""
    for name in names:
        session.do(at, UpstreamSignalled(name, life, is_leaving=True))


def sent_to(actions):
    return [action.upstream for action in actions if isinstance(action, Dispatch)]


class LeavingUpstreamTest(TestCase):
    def test_a_later_listing_as_live_does_not_take_it_back(self):
        session = Session(runners=2, slots=8)
        leave(session, 1.0, "lektor-1")
        entries = [item.entry for item in session.scheduler.upstreams]
        session.do(2.0, HostListRead(HostList(2, entries)))
        for number in range(5):
            sent = sent_to(session.arrive(2.1, f"r{number}", text=f"{number} " * 99))
            self.assertEqual(["lektor-2"], sent)

    def test_an_entry_that_lapsed_and_came_back_still_leaves(self):
        session = Session(runners=1, slots=8)
        entry = HostEntry(
            "a", "service", "trnava", "a:1", group="labels", incarnation="a"
        )
        for version, at, entries in (
            (2, 1.0, [entry]),
            (3, 2.0, []),
            (4, 4.0, [entry]),
        ):
            session.do(at, HostListRead(HostList(version, entries)))
            if version == 2:
                leave(session, 1.5, "a", life="")
        upstream = session.scheduler.upstreams.get("a")
        self.assertTrue(session.scheduler.upstreams.is_leaving(upstream, 4.0))

    def test_its_next_incarnation_takes_requests(self):
        session = Session(runners=1, slots=8)
        leave(session, 1.0, "lektor-1")
        session.report(2.0, "lektor-1", life="two", slots=8)
        self.assertEqual(["lektor-1"], sent_to(session.arrive(2.1, "r1")))
        leave(session, 3.0, "lektor-1", life="one")
        self.assertEqual(["lektor-1"], sent_to(session.arrive(3.1, "r2")))

    def test_what_came_while_it_was_down_holds_as_it_is_back(self):
        session = Session(runners=1, slots=8)
        session.do(1.0, ProbeFailed("lektor-1", "silent"))
        update = LeavingUpdate([LeavingUpstream("lektor-1", "one")])
        session.do(1.1, LeavingUpdateReceived(update))
        session.report(2.0, "lektor-1", life="one", slots=8)
        upstreams = session.scheduler.upstreams
        self.assertTrue(upstreams.is_leaving(upstreams.get("lektor-1"), 2.0))

    def test_its_closed_connections_are_no_crash(self):
        session = Session(runners=1, slots=8)
        leave(session, 1.0, "lektor-1")
        self.assertFalse(session.scheduler.upstreams.has_ended("lektor-1", 1.0))

    def test_a_withdrawn_attempt_costs_no_retry(self):
        session = Session(runners=2, slots=8)
        (first,) = session.arrive(1.0, "r1", is_repeatable=False)
        leave(session, 1.0, first.upstream)
        found = session.scheduler.pool.withdrawal(first.upstream, "one", 1.0)
        self.assertEqual(Obstacle.LEAVING, found)
        before = session.scheduler.budgets.least_saved
        failed = AttemptFailed("r1", "r1.1", Outcome.WITHDRAWN, "it leaves")
        (second,) = sent_to(session.do(1.0, failed))
        self.assertNotEqual(first.upstream, second)
        self.assertEqual(before, session.scheduler.budgets.least_saved)

    def test_where_all_leave_requests_are_refused_at_once_as_not_run(self):
        session = Session(runners=2, slots=8)
        leave(session, 1.0, "lektor-1", "lektor-2")
        (refusal,) = session.arrive(1.1, "r1", latency_target_seconds=2.0)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(
            ("no_upstream", RunState.NOT_SENT), (refusal.reason, refusal.run_state)
        )
        self.assertGreater(refusal.retry_after_seconds, 0.0)

    def test_what_waits_is_refused_as_the_last_one_leaves(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "r1", latency_target_seconds=2.0)
        session.arrive(1.0, "r2", latency_target_seconds=2.0)
        leave(session, 1.1, "lektor-1")
        refused = [
            action.request_id
            for action in session.do(1.2, Tick())
            if isinstance(action, Refuse)
        ]
        self.assertEqual(["r2"], refused)


class PeersTest(ScenarioCase):
    def test_a_host_sends_nothing_to_one_that_a_peer_s_answer_announced(self):
        async def scenario(bench):
            bench.add_runner("lektor-0")
            bench.add_runner("lektor-1")
            bench.runners["lektor-0"].engine.is_leaving = True
            async with run_two_hosts(bench) as (one, two):
                started = bench.runners["lektor-0"].engine.started
                for number in range(100):
                    if started:
                        break
                    await one.complete(f"{number} of the sheets, " * 20)
                await until(lambda: len(two.daemon.scheduler.departures))
                known_count = len(started)
                for number in range(20):
                    await two.complete(f"{number} of the plants, " * 20)
                return known_count, len(started)

        self.assertEqual((1, 1), self.run_scenario(scenario))


class DeparturesTest(TestCase):
    def setUp(self):
        super().setUp()
        self.one, self.two = Departures(), Departures()
        self.woken = []
        self.one.on_update = lambda: self.woken.append(True)
        self.two.on_update = lambda: self.woken.append(False)

    def test_an_answer_is_broadcast_once_and_retransmitted_for_a_while(self):
        gone = Incarnation("a", "1")
        self.one.note(gone, 1.0)
        self.one.note(gone, 1.5)
        self.assertEqual([True], self.woken)
        update = self.one.take_update(1.02)
        self.assertEqual([gone], self.two.receive(update, 1.03))
        self.assertEqual([], self.two.receive(update, 1.04))
        self.assertIs(None, self.one.take_update(1.1))
        self.assertEqual(update, self.one.take_retransmission(2.0))
        self.assertIs(None, self.one.take_retransmission(1.1 + RETRANSMIT_SECONDS))

    def test_what_a_peer_sent_goes_to_new_peers_only(self):
        update = LeavingUpdate([LeavingUpstream("a", "1")])
        self.two.receive(update, 1.0)
        self.assertEqual([], self.woken)
        self.assertIs(None, self.two.take_update(1.0))
        self.assertEqual(update, self.two.initial_state(1.0))
        self.assertIs(None, self.one.initial_state(1.0))

    def test_what_is_not_listed_for_long_is_dropped(self):
        departures = Departures()
        gone, listed = Incarnation("a", "1"), Incarnation("b", "1")
        self.assertTrue(departures.note(gone, 0.0))
        self.assertTrue(departures.note(listed, 0.0))
        self.assertFalse(departures.note(listed, 1.0))
        departures.sweep({"b"}, UNLISTED_SECONDS)
        self.assertIn(gone, departures)
        departures.sweep({"b"}, UNLISTED_SECONDS + 1.0)
        self.assertNotIn(gone, departures)
        self.assertIn(listed, departures)


class ControlAnswersTest(TestCase):
    def is_leaving(self, status, headers=(), body=b""):
        control = ControlTranslation("entry-1", StewardSettings())
        head = ResponseHead(status, headers, is_framed=True)
        return control.read_signals(head, body).is_leaving

    def test_answers_to_control_calls_count_unless_another_gave_them(self):
        headers = [(b"Server-Leaving", b"1")]
        for status, is_leaving in {200: True, 503: True, 421: False}.items():
            self.assertEqual(is_leaving, self.is_leaving(status, headers))

    def test_a_report_counts_by_its_state(self):
        for body, is_leaving in {
            b'{"state": "draining", "running": 3}': True,
            b'{"state": "ready"}': False,
            b'{"state": 7}': False,
            b"[]": False,
            b"ok": False,
            b"": False,
        }.items():
            self.assertEqual(is_leaving, self.is_leaving(200, body=body))
        self.assertFalse(self.is_leaving(503, body=b'{"state": "draining"}'))
