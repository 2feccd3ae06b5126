"""Tests of stalled responses, and of halls that become unreachable."""

import math

import anyio
from testtools import TestCase

from rampwick_policy import (
    AttemptDelivered,
    AttemptFailed,
    AttemptStalled,
    Dispatch,
    HostListRead,
    LoadReported,
    Outcome,
    RequestArrived,
    Scheduler,
    TreeChanged,
    TreeView,
)
from rampwick_router.upstream._stalls import StallDetector
from rampwick_schema import (
    HostEntry,
    HostList,
    Node,
    Routing,
    Service,
    Tree,
    parse_settings,
)


class StallDetectorTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 10.0
        self.detector = StallDetector(lambda: self.now_seconds)

    def read(self, *steps, timeout_seconds=1.0):
        """Return whether a read stalled; each step is a waiting flag and a duration."""

        async def main():
            with self.detector.monitor(
                "r1.1", timeout_seconds, lambda: True
            ) as monitored:
                for is_waiting, seconds in steps:
                    monitored.waiting_since_seconds = None
                    if is_waiting:
                        self.detector.note_waiting(monitored)
                    self.now_seconds += seconds
                    self.detector.check(self.now_seconds)
                    await anyio.sleep(0)
            return monitored.has_stalled

        return anyio.run(main)

    def test_regular_data_is_not_a_stall(self):
        self.assertFalse(self.read((True, 0.9), (True, 0.9), (True, 0.9)))

    def test_a_wait_beyond_the_timeout_is_a_stall(self):
        self.assertTrue(self.read((True, 0.9), (True, 1.1)))

    def test_a_slow_caller_is_not_a_stall(self):
        self.assertFalse(self.read((True, 0.9), (False, 30.0), (True, 0.9)))

    def test_an_infinite_timeout_never_stalls(self):
        self.assertFalse(self.read((True, 1e6), timeout_seconds=float("inf")))

    def test_finished_reads_are_not_checked(self):
        self.read((True, 0.1))
        self.assertEqual({}, self.detector._active)

    def test_silence_begins_when_the_reader_waits(self):
        def silence():
            return self.detector.silent_seconds("r1.1", self.now_seconds)

        async def main():
            observed = [silence()]
            with self.detector.monitor("r1.1", 1.0, lambda: True) as monitored:
                observed.append(silence())
                self.detector.note_waiting(monitored)
                self.now_seconds += 0.5
                observed.append(silence())
                monitored.waiting_since_seconds = None
                observed.append(silence())
            return [*observed, silence()]

        expected = [math.inf, 0.0, 0.5, 0.0, math.inf]
        self.assertEqual(expected, anyio.run(main))

    def test_stall_that_must_not_end_the_response_is_asked_about_again(self):
        answers = [False, True]

        async def main():
            stalled = []
            with self.detector.monitor("r1.1", 1.0, lambda: answers.pop(0)) as read:
                self.detector.note_waiting(read)
                self.now_seconds += 1.1
                for _ in range(2):
                    self.detector.check(self.now_seconds)
                    stalled.append(read.has_stalled)
            return stalled

        self.assertEqual([False, True], anyio.run(main))


class UnreachableHallTest(TestCase):
    """A partitioned hall is detected after two of its upstreams stall.

    Otherwise each of its upstreams has to stall first. After a hall of twelve runners
    was cut off, a host of another hall still sent requests there 2.5 s later, each of
    which took 1.2 s to fail, and 247 failed.
    """

    def setUp(self):
        super().setUp()
        text = '[host]\nname = "e"\nhall = "near"\n'
        self.scheduler = Scheduler(parse_settings(text, source="test"))
        entries = [
            HostEntry(f"{hall}-{index}", "service", hall, "a:1", group="s")
            for hall, count in (("near", 1), ("far", 6))
            for index in range(count)
        ]
        tree = Tree(
            1,
            {"/": Node(), "/w": Node(is_workspace=True)},
            Routing([], [Service("s")]),
        )
        self.view = TreeView(tree)
        self.do(0.0, TreeChanged(self.view))
        self.do(0.0, HostListRead(HostList(1, entries)))

    def do(self, at, event):
        return self.scheduler.handle(event, at)

    def send(self, at, count):
        """Send requests; return the dispatches to the far hall."""
        sent = []
        for number in range(count):
            workspace = self.view.workspaces["/w"]
            arrived = RequestArrived(
                f"r{at}-{number}", workspace, "interactive", at + 9.0, True, service="s"
            )
            sent += self.do(at, arrived)
        sent = [item for item in sent if isinstance(item, Dispatch)]
        return [item for item in sent if item.upstream.startswith("far")]

    def open_names(self, at):
        table = self.scheduler.upstreams
        return {item.name for item in table if table.is_eligible(item, at)}

    def test_after_two_stalls_the_other_upstreams_of_the_hall_are_avoided(self):
        first, second = self.send(1.0, 20)[:2]
        self.assertNotEqual(first.upstream, second.upstream)
        self.do(1.5, AttemptStalled(first.request_id, first.attempt_id))
        self.assertEqual(6, len(self.open_names(1.5)))
        self.do(1.6, AttemptStalled(second.request_id, second.attempt_id))
        self.assertEqual({"near-0"}, self.open_names(1.6))
        # An upstream that responds is available again immediately.
        self.do(1.7, LoadReported("far-5", None))
        self.assertEqual({"near-0", "far-5"}, self.open_names(1.7))

    def test_one_response_shows_that_the_hall_is_reachable(self):
        first, second, third = self.send(1.0, 20)[:3]
        self.do(1.3, AttemptDelivered(third.request_id, third.attempt_id))
        self.do(1.5, AttemptStalled(first.request_id, first.attempt_id))
        self.do(1.6, AttemptStalled(second.request_id, second.attempt_id))
        self.assertEqual(5, len(self.open_names(1.6)))

    def test_closed_connections_are_not_stalls(self):
        first, second = self.send(1.0, 20)[:2]
        for sent in (first, second):
            failed = AttemptFailed(
                sent.request_id,
                sent.attempt_id,
                Outcome.BROKEN,
                "closed",
                was_closed=True,
            )
            self.do(1.2, failed)
        self.assertEqual(5, len(self.open_names(1.2)))

    def test_answers_ended_by_a_bound_are_not_stalls(self):
        first, second = self.send(1.0, 20)[:2]
        for sent in (first, second):
            failed = AttemptFailed(
                sent.request_id,
                sent.attempt_id,
                Outcome.BROKEN,
                "no event in 70000 bytes",
                is_over_bound=True,
            )
            self.do(1.2, failed)
        self.assertEqual(5, len(self.open_names(1.2)))

    def test_answer_without_room_is_tried_nowhere_else(self):
        first = self.send(1.0, 20)[0]
        failed = AttemptFailed(
            first.request_id, first.attempt_id, Outcome.TOO_LARGE, "no room"
        )
        (refusal,) = self.do(1.2, failed)
        self.assertEqual("answer_too_large", refusal.reason)
        self.assertEqual(7, len(self.open_names(1.2)))
