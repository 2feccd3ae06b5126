"""News that does not wait for the next interval, and who gets it in which fleet."""

from types import SimpleNamespace

import attrs
from testtools import TestCase

from rampwick_policy import (
    LifeName,
    Member,
    RequestArrived,
    Scheduler,
    SurgeGate,
    Suspects,
    TreeInForce,
    TreeView,
)
from rampwick_policy._notices import NoticeBook
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._urgent_updates import UrgentUpdates
from rampwick_schema import CrashUpdate, LimitUsage, Node, Tree, parse_settings


class RecordingTeller:
    """Stands for the summaries of one host."""

    def __init__(self, is_hall_surge):
        self.told = []
        self._is_hall_surge = is_hall_surge

    def is_hall_surge(self):
        return self._is_hall_surge

    def publish_own(self, *, has_surged=False):
        self.told.append(("own", has_surged))

    def publish_fleet(self):
        self.told.append(("fleet", False))

    def publish_hall(self, *, has_surged=False):
        self.told.append(("hall", has_surged))


class SurgeTest(TestCase):
    def tell(self, *notes, is_relay, is_hall_surge=True):
        teller = RecordingTeller(is_hall_surge)
        roles = SimpleNamespace(is_relay=lambda: is_relay)
        news = UrgentUpdates((), teller, None, roles, None)
        for note in notes:
            getattr(news, note)()
        news.broadcast_burst()
        return teller.told

    def test_a_host_tells_those_that_hear_it(self):
        told = self.tell("note_burst", is_relay=False)
        self.assertEqual([("own", True)], told)

    def test_a_relay_passes_it_on_to_its_hall_and_to_the_others(self):
        told = self.tell("note_burst", is_relay=True)
        self.assertEqual([("own", True), ("fleet", False), ("hall", True)], told)

    def test_a_relay_keeps_back_what_changes_nothing_for_its_hall(self):
        told = self.tell("note_burst", is_relay=True, is_hall_surge=False)
        self.assertEqual([("own", True)], told)
        both = self.tell(
            "note_burst", "note_remote_burst", is_relay=True, is_hall_surge=False
        )
        self.assertEqual([("own", True), ("fleet", False)], both)

    def test_a_halls_surge_is_news_once(self):
        gate = SurgeGate()
        usage = LimitUsage("/w", 0, 0, 1000)
        self.assertTrue(gate.has_grown([usage]))
        gate.note_told([usage])
        self.assertFalse(gate.has_grown([usage]))
        self.assertFalse(gate.has_grown([attrs.evolve(usage, asked_tokens=1400)]))
        self.assertTrue(gate.has_grown([attrs.evolve(usage, asked_tokens=1600)]))
        # Of two limits, one that has not been told of is news.
        self.assertTrue(gate.has_grown([usage, attrs.evolve(usage, path="/v")]))

    def test_what_another_hall_told_does_not_go_back(self):
        told = self.tell("note_remote_burst", is_relay=True)
        self.assertEqual([("own", False), ("fleet", False)], told)

    def test_a_surge_counts_where_a_limit_is_nearly_used_and_not_before(self):
        surges = []
        scheduler = Scheduler(
            parse_settings('[host]\nname = "e"\nhall = "h"\n', source="test")
        )
        clock = SimpleNamespace(now=100.0)
        task = SchedulerTask(scheduler, lambda: clock.now)
        task.on_burst = lambda: surges.append(clock.now)
        node = Node(is_workspace=True, tokens_per_second=100.0, burst_tokens=200.0)
        view = TreeView(Tree(1, {"/": Node(), "/w": node}))
        task.post(TreeInForce(view))
        # All that a limit of 1,000 tokens in 8 s has room for, told at each request.
        for number in range(20):
            clock.now += 1.0
            arrived = RequestArrived(
                f"r{number}",
                view.workspaces["/w"],
                "interactive",
                clock.now + 5.0,
                True,
                named_tokens=105,
                was_held=False,
            )
            scheduler.limits.ask(arrived, clock.now)
            scheduler.limits.words(clock.now)
        self.assertEqual([], surges)
        clock.now += 0.1
        task.post(attrs.evolve(arrived, request_id="s", named_tokens=900))
        self.assertEqual(clock.now, surges[-1])


class EndsTest(TestCase):
    def broadcast(self, *, is_relay, told_names):
        peers = [Member(name, "h", f"{name}:1", 1) for name in ("a", "b", "c")]
        sent = []

        def send(message, is_for):
            sent.extend(peer.name for peer in peers if is_for(peer))

        roles = SimpleNamespace(
            is_relay=lambda: is_relay, is_told=lambda peer: peer.name in told_names
        )
        links = SimpleNamespace(broadcast=send)
        news = UrgentUpdates((), None, links, roles, None)
        news._broadcast(CrashUpdate())
        return sent

    def test_a_host_of_a_large_fleet_tells_its_relays(self):
        self.assertEqual(["a"], self.broadcast(is_relay=False, told_names={"a"}))

    def test_a_relay_tells_all_that_it_has_links_to(self):
        self.assertEqual(
            ["a", "b", "c"], self.broadcast(is_relay=True, told_names=set())
        )

    def test_each_fact_reaches_the_news(self):
        suspects = Suspects(NoticeBook())
        for number in range(3):
            life = LifeName("u", str(number))
            suspects.book.note_end(life, b"f" * 16, "/w", 1.0, 1.0)
        suspects.judge(2.0)
        news = suspects.take_update(2.0)
        self.assertEqual([3], [item.ends_count for item in news.stopped])
        self.assertEqual(3, len(suspects.initial_state(2.0).ended))
