"""Answers whose upstreams fall silent are broken off, others are not."""

import anyio
from testtools import TestCase

from rampwick_policy import (
    AttemptDelivered,
    AttemptFailed,
    AttemptSilent,
    Dispatch,
    HostListRead,
    LoadReported,
    Outcome,
    RequestArrived,
    Scheduler,
    TreeInForce,
    TreeView,
)
from rampwick_router.upstream._silence import SilenceWatch
from rampwick_schema import (
    HostEntry,
    HostList,
    Node,
    Routing,
    Service,
    Tree,
    parse_settings,
)


class SilenceWatchTest(TestCase):
    def setUp(self):
        super().setUp()
        self.now_seconds = 10.0
        self.watch = SilenceWatch(lambda: self.now_seconds)

    def read(self, *steps, bound_seconds=1.0):
        """Return whether reading was broken off; each step is waiting and time."""

        async def main():
            with self.watch.listen(bound_seconds) as listening:
                for is_waiting, seconds in steps:
                    listening.waiting_since_seconds = None
                    if is_waiting:
                        self.watch.note_waiting(listening)
                    self.now_seconds += seconds
                    self.watch.look(self.now_seconds)
                    await anyio.sleep(0)
            return listening.is_silent

        return anyio.run(main)

    def test_a_piece_now_and_then_is_no_silence(self):
        self.assertFalse(self.read((True, 0.9), (True, 0.9), (True, 0.9)))

    def test_silence_beyond_the_bound_breaks_off(self):
        self.assertTrue(self.read((True, 0.9), (True, 1.1)))

    def test_a_caller_that_takes_nothing_is_not_the_upstreams_silence(self):
        self.assertFalse(self.read((True, 0.9), (False, 30.0), (True, 0.9)))

    def test_without_a_bound_nothing_is_broken_off(self):
        self.assertFalse(self.read((True, 1e6), bound_seconds=float("inf")))

    def test_what_has_ended_is_looked_at_no_more(self):
        self.read((True, 0.1))
        self.assertEqual(set(), self.watch._open)


class SilentHallTest(TestCase):
    """A hall that is cut off is found out by two of its upstreams, not by each.

    A hall of twelve runners was cut off; two and a half seconds later a host of another
    hall still sent requests there, 1.2 s until each was given up, and 247 failed.
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
        self.do(0.0, TreeInForce(self.view))
        self.do(0.0, HostListRead(HostList(1, entries)))

    def do(self, at, event):
        return self.scheduler.handle(event, at)

    def send(self, at, count):
        """Send requests; return what went to the far hall."""
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

    def test_after_two_the_others_are_asked_first(self):
        first, second = self.send(1.0, 20)[:2]
        self.assertNotEqual(first.upstream, second.upstream)
        self.do(1.5, AttemptSilent(first.request_id, first.attempt_id))
        self.assertEqual(6, len(self.open_names(1.5)))
        self.do(1.6, AttemptSilent(second.request_id, second.attempt_id))
        self.assertEqual({"near-0"}, self.open_names(1.6))
        # Those that answer are back at once.
        self.do(1.7, LoadReported("far-5", None))
        self.assertEqual({"near-0", "far-5"}, self.open_names(1.7))

    def test_one_that_answers_speaks_for_its_hall(self):
        first, second, third = self.send(1.0, 20)[:3]
        self.do(1.3, AttemptDelivered(third.request_id, third.attempt_id))
        self.do(1.5, AttemptSilent(first.request_id, first.attempt_id))
        self.do(1.6, AttemptSilent(second.request_id, second.attempt_id))
        self.assertEqual(5, len(self.open_names(1.6)))

    def test_upstreams_that_close_are_no_silence(self):
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
