"""Guards against requests to an upstream that announced its shutdown in a response."""

import time
from contextlib import asynccontextmanager

import anyio
import attrs
from testtools import TestCase

from rampwick_adapter._control import ControlTranslation
from rampwick_platform import PlatformUnavailableError
from rampwick_policy import (
    AttemptFailed,
    Dispatch,
    HostListRead,
    IneligibleReason,
    LeavingUpdateReceived,
    Outcome,
    ProbeFailed,
    Refuse,
    RunState,
    Tick,
    UpstreamSignalled,
)
from rampwick_policy._shutdown_announcements import (
    RETRANSMIT_SECONDS,
    UNLISTED_SECONDS,
    Incarnation,
    ShutdownAnnouncements,
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
from .scripted import list_upstream, run_routed
from .test_scheduler import Session

TEST_TIMEOUT_SECONDS = 30.0


async def answer_leaving(exchange):
    """Answer like an upstream that is shutting down."""
    await exchange.answer(extra=b"Rampwick-Leaving: 1")


class AnnouncedShutdownTest(TestCase):
    def test_no_request_follows_an_answer_that_announces_a_shutdown(self):
        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    found["a"].scripts = [answer_leaving]
                    # The store is unavailable, so only the response announces it.
                    host.store.failure = PlatformUnavailableError("down", step="test")
                    statuses = [
                        (await host.call("/open/1", request_id=f"r{number}")).status
                        for number in range(20)
                    ]
                    return statuses, len(found["a"].requests)

        statuses, count = anyio.run(main)
        self.assertEqual({200}, set(statuses))
        self.assertEqual(1, count)

    def count_sent(self, change):
        """Return a status, and what each upstream got of a request that had to wait.

        ``change`` is called with the host while the request waits for its connection.
        """

        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    connection_pool = host.daemon.entry._context.connection_pool
                    borrow = connection_pool.borrow

                    @asynccontextmanager
                    async def change_first(upstream, *terms, **options):
                        async with borrow(upstream, *terms, **options) as connection:
                            change(host)
                            yield connection

                    connection_pool.borrow = change_first
                    answer = await host.call("/once/1")
                    return answer.status, {
                        name: len(item.requests) for name, item in found.items()
                    }

        return anyio.run(main)

    def test_no_request_is_sent_that_waited_for_its_connection_meanwhile(self):
        def announce(host):
            signal = UpstreamSignalled("a", "a", is_leaving=True)
            host.daemon.scheduler.post(signal)

        self.assertEqual((200, {"a": 0, "b": 1}), self.count_sent(announce))

    def test_no_request_is_sent_to_an_upstream_that_was_removed_meanwhile(self):
        def remove(host):
            listed = host.daemon._hosts.host_list
            left = [entry for entry in listed.hosts if entry.name != "a"]
            host.daemon._hosts.offer(HostList(listed.version + 1, left))

        self.assertEqual((200, {"a": 0, "b": 1}), self.count_sent(remove))

    def test_no_request_is_sent_to_the_address_that_an_upstream_had_before(self):
        def move(host):
            listed = host.daemon._hosts.host_list
            moved = [
                attrs.evolve(entry, address="127.0.0.1:9")
                if entry.name == "a"
                else entry
                for entry in listed.hosts
            ]
            host.daemon._hosts.offer(HostList(listed.version + 1, moved))

        status, counts = self.count_sent(move)
        self.assertEqual((200, 0), (status, counts["a"]))


class OldListTest(TestCase):
    """No request is sent by a host list so old that upstreams may have left since."""

    def call(self, prepare, count=1):
        """Return statuses, times, and what each upstream got, after ``prepare``."""

        async def main():
            with anyio.fail_after(TEST_TIMEOUT_SECONDS):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    await prepare(host, found)
                    answers = []
                    for number in range(count):
                        began_seconds = anyio.current_time()
                        answer = await host.call("/once/1", request_id=f"r{number}")
                        seconds = anyio.current_time() - began_seconds
                        answers.append((answer.status, seconds))
                    return answers, {
                        name: len(item.requests) for name, item in found.items()
                    }

        return anyio.run(main)

    def test_a_list_that_nobody_confirms_is_read_before_a_request_is_sent(self):
        async def prepare(host, found):
            async def hang(*terms):
                await anyio.sleep_forever()

            host.store.watch = hang
            # The watch that was under way when the store began to hang ends first.
            await anyio.sleep(1.5)
            list_upstream(host.store, found["a"], "labels", state="leaving")
            await anyio.sleep(2.0)

        answers, counts = self.call(prepare, count=4)
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual({"a": 0, "b": 4}, counts)

    def test_a_request_that_the_event_loop_held_up_is_placed_by_a_newer_list(self):
        async def prepare(host, found):
            connection_pool = host.daemon.entry._context.connection_pool
            borrow = connection_pool.borrow

            @asynccontextmanager
            async def block_first(upstream, *terms, **options):
                async with borrow(upstream, *terms, **options) as connection:
                    if found["a"].name == upstream:
                        list_upstream(host.store, found["a"], "labels", "leaving")
                        time.sleep(2.0)
                    yield connection

            connection_pool.borrow = block_first

        answers, counts = self.call(prepare, count=4)
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual({"a": 0, "b": 4}, counts)

    def test_a_list_that_cannot_be_read_is_used_at_any_age(self):
        async def prepare(host, found):
            host.store.failure = PlatformUnavailableError("down", step="test")
            await anyio.sleep(2.5)

        answers, counts = self.call(prepare, count=20)
        self.assertEqual({200}, {status for status, _ in answers})
        self.assertEqual(20, sum(counts.values()))
        self.assertLess(sum(seconds for _, seconds in answers), 2.0)


def announce_shutdown(session, at, *names, incarnation="one"):
    """Have upstreams announce their shutdown in a response."""
    for name in names:
        session.do(at, UpstreamSignalled(name, incarnation, is_leaving=True))


def sent_to(actions):
    return [action.upstream for action in actions if isinstance(action, Dispatch)]


class DrainingUpstreamTest(TestCase):
    def test_later_live_entry_does_not_retract_the_announcement(self):
        session = Session(runners=2, slots=8)
        announce_shutdown(session, 1.0, "lektor-1")
        entries = [item.entry for item in session.scheduler.upstreams]
        session.do(2.0, HostListRead(HostList(2, entries)))
        for number in range(5):
            sent = sent_to(session.arrive(2.1, f"r{number}", text=f"{number} " * 99))
            self.assertEqual(["lektor-2"], sent)

    def test_upstream_is_still_draining_after_its_entry_expired_and_returned(self):
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
                announce_shutdown(session, 1.5, "a", incarnation="")
        upstream = session.scheduler.upstreams.get("a")
        self.assertTrue(session.scheduler.upstreams.is_draining(upstream, 4.0))

    def test_next_incarnation_gets_requests(self):
        session = Session(runners=1, slots=8)
        announce_shutdown(session, 1.0, "lektor-1")
        session.report(2.0, "lektor-1", incarnation="two", slots=8)
        self.assertEqual(["lektor-1"], sent_to(session.arrive(2.1, "r1")))
        announce_shutdown(session, 3.0, "lektor-1", incarnation="one")
        self.assertEqual(["lektor-1"], sent_to(session.arrive(3.1, "r2")))

    def test_announcement_received_while_down_applies_after_recovery(self):
        session = Session(runners=1, slots=8)
        session.do(1.0, ProbeFailed("lektor-1", "silent"))
        update = LeavingUpdate([LeavingUpstream("lektor-1", "one")])
        session.do(1.1, LeavingUpdateReceived(update))
        session.report(2.0, "lektor-1", incarnation="one", slots=8)
        upstreams = session.scheduler.upstreams
        self.assertTrue(upstreams.is_draining(upstreams.get("lektor-1"), 2.0))

    def test_closed_connections_of_a_draining_upstream_are_no_crash(self):
        session = Session(runners=1, slots=8)
        announce_shutdown(session, 1.0, "lektor-1")
        self.assertFalse(session.scheduler.upstreams.has_crashed("lektor-1", 1.0))

    def test_withdrawn_attempt_does_not_use_the_retry_budget(self):
        session = Session(runners=2, slots=8)
        (first,) = session.arrive(1.0, "r1", is_repeatable=False)
        announce_shutdown(session, 1.0, first.upstream)
        found = session.scheduler.pool.withdrawal(
            first.upstream, first.address, "one", 1.0
        )
        self.assertEqual(IneligibleReason.LEAVING, found)
        before = session.scheduler.budgets.min_balance
        failed = AttemptFailed("r1", "r1.1", Outcome.WITHDRAWN, "it is draining")
        (second,) = sent_to(session.do(1.0, failed))
        self.assertNotEqual(first.upstream, second)
        self.assertEqual(before, session.scheduler.budgets.min_balance)

    def test_requests_are_refused_at_once_as_not_run_if_all_upstreams_drain(self):
        session = Session(runners=2, slots=8)
        announce_shutdown(session, 1.0, "lektor-1", "lektor-2")
        (refusal,) = session.arrive(1.1, "r1", latency_target_seconds=2.0)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(
            ("no_upstream", RunState.NOT_SENT), (refusal.reason, refusal.run_state)
        )
        self.assertGreater(refusal.retry_after_seconds, 0.0)

    def test_queued_requests_are_refused_when_the_last_upstream_drains(self):
        session = Session(runners=1, slots=1)
        session.arrive(1.0, "r1", latency_target_seconds=2.0)
        session.arrive(1.0, "r2", latency_target_seconds=2.0)
        announce_shutdown(session, 1.1, "lektor-1")
        refused = [
            action.request_id
            for action in session.do(1.2, Tick())
            if isinstance(action, Refuse)
        ]
        self.assertEqual(["r2"], refused)


class PeerAnnouncementTest(ScenarioCase):
    def test_host_sends_nothing_to_an_upstream_that_announced_it_to_a_peer(self):
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
                await until(lambda: len(two.daemon.scheduler.shutdown_announcements))
                known_count = len(started)
                for number in range(20):
                    await two.complete(f"{number} of the plants, " * 20)
                return known_count, len(started)

        self.assertEqual((1, 1), self.run_scenario(scenario))


class ShutdownAnnouncementsTest(TestCase):
    def setUp(self):
        super().setUp()
        self.one, self.two = ShutdownAnnouncements(), ShutdownAnnouncements()
        self.updates = []
        self.one.on_update = lambda: self.updates.append(True)
        self.two.on_update = lambda: self.updates.append(False)

    def test_announcement_is_broadcast_once_and_retransmitted_for_a_limited_time(self):
        removed = Incarnation("a", "1")
        self.one.note(removed, 1.0)
        self.one.note(removed, 1.5)
        self.assertEqual([True], self.updates)
        update = self.one.take_update(1.02)
        self.assertEqual([removed], self.two.receive_update(update, 1.03))
        self.assertEqual([], self.two.receive_update(update, 1.04))
        self.assertIs(None, self.one.take_update(1.1))
        self.assertEqual(update, self.one.take_retransmission(2.0))
        self.assertIs(None, self.one.take_retransmission(1.1 + RETRANSMIT_SECONDS))

    def test_received_announcements_are_sent_to_new_peers_only(self):
        update = LeavingUpdate([LeavingUpstream("a", "1")])
        self.two.receive_update(update, 1.0)
        self.assertEqual([], self.updates)
        self.assertIs(None, self.two.take_update(1.0))
        self.assertEqual(update, self.two.initial_state(1.0))
        self.assertIs(None, self.one.initial_state(1.0))

    def test_announcements_of_unlisted_upstreams_expire(self):
        shutdown_announcements = ShutdownAnnouncements()
        removed, listed = Incarnation("a", "1"), Incarnation("b", "1")
        self.assertTrue(shutdown_announcements.note(removed, 0.0))
        self.assertTrue(shutdown_announcements.note(listed, 0.0))
        self.assertFalse(shutdown_announcements.note(listed, 1.0))
        shutdown_announcements.sweep({"b"}, UNLISTED_SECONDS)
        self.assertIn(removed, shutdown_announcements)
        shutdown_announcements.sweep({"b"}, UNLISTED_SECONDS + 1.0)
        self.assertNotIn(removed, shutdown_announcements)
        self.assertIn(listed, shutdown_announcements)


class ControlAnswersTest(TestCase):
    def is_leaving(self, status, headers=(), body=b""):
        control = ControlTranslation("entry-1", StewardSettings())
        head = ResponseHead(status, headers)
        return control.read_signals(head, body).is_leaving

    def test_control_answers_count_unless_another_incarnation_sent_them(self):
        headers = [(b"Server-Leaving", b"1")]
        for status, is_leaving in {200: True, 503: True, 421: False}.items():
            self.assertEqual(is_leaving, self.is_leaving(status, headers))

    def test_load_report_counts_by_its_state(self):
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
