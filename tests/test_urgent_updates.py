"""Tests of urgent updates and their recipients by fleet size."""

from types import SimpleNamespace

import anyio
import attrs
from testtools import TestCase

from rampwick_policy import (
    BurstDetector,
    IncarnationKey,
    Member,
    RequestArrived,
    RequestQuarantine,
    Scheduler,
    TreeChanged,
    TreeView,
)
from rampwick_policy._state_changes import StateChangeTracker
from rampwick_router._scheduler_task import SchedulerTask
from rampwick_router.peers._urgent_updates import UpdateBroadcaster, UrgentUpdates
from rampwick_schema import CrashUpdate, LimitUsage, Node, Tree, parse_settings

from .bench import until


class RecordingPublisher:
    """Fake publisher that records which summaries are sent."""

    def __init__(self, is_hall_burst):
        self.published = []
        self._is_hall_burst = is_hall_burst

    def is_hall_burst(self):
        return self._is_hall_burst

    def publish_own(self, *, has_surged=False):
        self.published.append(("own", has_surged))

    def publish_fleet(self, *, has_surged=False):
        self.published.append(("fleet", has_surged))

    def publish_hall(self, *, has_surged=False):
        self.published.append(("hall", has_surged))


class BurstTest(TestCase):
    def publish(self, *notes, is_relay, is_hall_burst=True):
        publisher = RecordingPublisher(is_hall_burst)
        roles = SimpleNamespace(is_relay=lambda: is_relay)
        updates = UrgentUpdates((), publisher, None, roles, None)
        for note in notes:
            getattr(updates, note)()
        updates.broadcast_burst()
        return publisher.published

    def test_a_host_publishes_its_own_summary(self):
        published = self.publish("note_burst", is_relay=False)
        self.assertEqual([("own", True)], published)

    def test_a_relay_forwards_a_burst_to_all_halls(self):
        published = self.publish("note_burst", is_relay=True)
        self.assertEqual([("own", True), ("fleet", True), ("hall", True)], published)

    def test_a_relay_does_not_forward_a_burst_that_is_small_for_its_hall(self):
        published = self.publish("note_burst", is_relay=True, is_hall_burst=False)
        self.assertEqual([("own", True)], published)
        both = self.publish(
            "note_burst", "note_remote_burst", is_relay=True, is_hall_burst=False
        )
        self.assertEqual([("own", True), ("fleet", True)], both)

    def test_a_hall_burst_is_reported_once(self):
        gate = BurstDetector()
        usage = LimitUsage("/w", 0, 0, 1000)
        self.assertTrue(gate.has_grown([usage]))
        gate.note_published([usage])
        self.assertFalse(gate.has_grown([usage]))
        self.assertFalse(gate.has_grown([attrs.evolve(usage, asked_tokens=1400)]))
        self.assertTrue(gate.has_grown([attrs.evolve(usage, asked_tokens=1600)]))
        # A limit that has not been published yet counts as grown.
        self.assertTrue(gate.has_grown([usage, attrs.evolve(usage, path="/v")]))

    def test_a_burst_of_another_hall_is_not_sent_back(self):
        published = self.publish("note_remote_burst", is_relay=True)
        self.assertEqual([("own", False), ("fleet", True)], published)

    def test_a_burst_counts_only_when_a_limit_is_nearly_used(self):
        bursts = []
        scheduler = Scheduler(
            parse_settings('[host]\nname = "e"\nhall = "h"\n', source="test")
        )
        clock = SimpleNamespace(now=100.0)
        task = SchedulerTask(scheduler, lambda: clock.now)
        task.on_burst = lambda: bursts.append(clock.now)
        node = Node(is_workspace=True, tokens_per_second=100.0, burst_tokens=200.0)
        view = TreeView(Tree(1, {"/": Node(), "/w": node}))
        task.post(TreeChanged(view))
        # Demand that the limit of 1,000 tokens in 8 s can just serve, published at each
        # request.
        for number in range(20):
            clock.now += 1.0
            arrived = RequestArrived(
                f"r{number}",
                view.workspaces["/w"],
                "interactive",
                clock.now + 5.0,
                True,
                declared_tokens=105,
                was_held=False,
            )
            scheduler.limits.admit(arrived, clock.now)
            scheduler.limits.usages(clock.now)
        self.assertEqual([], bursts)
        clock.now += 0.1
        task.post(attrs.evolve(arrived, request_id="s", declared_tokens=900))
        self.assertEqual(clock.now, bursts[-1])


class ReadinessTest(TestCase):
    """Records of streams stay in their outbox while earlier ones are being sent."""

    def test_an_update_is_taken_when_earlier_ones_have_been_sent(self):
        events = []

        async def scenario():
            source = SimpleNamespace(
                on_update=None,
                take_update=lambda now_seconds: events.append("taken"),
            )
            checks = iter([False, False, True])

            def is_ready():
                ready = next(checks)
                events.append(ready)
                return ready

            broadcaster = UpdateBroadcaster(
                source, None, lambda: 1.0, lambda: 0.0, is_ready
            )
            broadcaster.wake()
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(broadcaster.run)
                await until(lambda: "taken" in events)
                tasks.cancel_scope.cancel()

        anyio.run(scenario)
        self.assertEqual([False, False, True, "taken"], events)


class CrashUpdatesTest(TestCase):
    def broadcast(self, *, is_relay, recipients):
        peers = [Member(name, "h", f"{name}:1", 1) for name in ("a", "b", "c")]
        sent = []

        def send(message, is_recipient):
            sent.extend(peer.name for peer in peers if is_recipient(peer))

        roles = SimpleNamespace(
            is_relay=lambda: is_relay, is_recipient=lambda peer: peer.name in recipients
        )
        links = SimpleNamespace(broadcast=send)
        updates = UrgentUpdates((), None, links, roles, None)
        updates._broadcast(CrashUpdate())
        return sent

    def test_a_host_of_a_large_fleet_sends_to_its_relays(self):
        self.assertEqual(["a"], self.broadcast(is_relay=False, recipients={"a"}))

    def test_a_relay_sends_to_all_connected_peers(self):
        self.assertEqual(
            ["a", "b", "c"], self.broadcast(is_relay=True, recipients=set())
        )

    def test_each_crash_is_included_in_updates(self):
        suspects = RequestQuarantine(StateChangeTracker(), lambda: 1)
        for number in range(3):
            life = IncarnationKey("u", str(number))
            suspects.tracker.note_crash(life, b"f" * 16, "/w", 1.0, 1.0)
        suspects.attribute_crashes(2.0)
        updates = suspects.take_update(2.0)
        self.assertEqual([3], [item.ends_count for item in updates.stopped])
        self.assertEqual(3, len(suspects.initial_state(2.0).ended))
