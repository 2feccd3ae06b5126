"""No requests are sent within the pause that an upstream requests in a refusal."""

import anyio
from testtools import TestCase

from rampwick_policy import (
    AttemptFailed,
    Dispatch,
    HostListRead,
    IneligibleReason,
    LoadReported,
    Outcome,
    ProbeFailed,
    Refuse,
    RunState,
    Tick,
    UpstreamSignalled,
)
from rampwick_policy._pauses import DEFAULT_PAUSE_SECONDS, Pauses
from rampwick_policy._shutdown_announcements import Incarnation
from rampwick_schema import HostEntry, HostList

from .scripted import run_routed
from .test_scheduler import Session

#: Requested pause.
PAUSE_SECONDS = 3.0


class RequestedPauseTest(TestCase):
    def refuse(self, session, at, request_id, attempt=1, pause=PAUSE_SECONDS):
        """Make a runner refuse an attempt and request a pause."""
        failed = AttemptFailed(
            request_id,
            f"{request_id}.{attempt}",
            Outcome.BUSY,
            "status 503",
            retry_after_seconds=pause,
        )
        return session.do(at, failed)

    def test_no_request_is_sent_before_the_end(self):
        session = Session(runners=2, slots=64)
        (first,) = session.arrive(1.0, "r0")
        # The request is retried on the other runner.
        (second,) = self.refuse(session, 1.01, "r0")
        self.assertNotEqual(first.upstream, second.upstream)
        sent = []
        for number in range(1, 40):
            at = 1.01 + number * 0.1
            for action in session.arrive(at, f"r{number}", text=f"{number} " * 200):
                if isinstance(action, Dispatch) and action.upstream == first.upstream:
                    sent.append(at)
            session.done(at + 0.01, f"r{number}")
        early = [at for at in sent if at < 1.01 + PAUSE_SECONDS]
        self.assertEqual([], early)
        self.assertGreater(len(sent), 0)

    def test_a_refusal_without_a_duration_does_not_shorten_a_pause(self):
        session = Session(runners=1, slots=64)
        session.arrive(1.0, "r0")
        session.arrive(1.0, "r1", text="another prompt " * 80)
        self.refuse(session, 1.01, "r0")
        self.refuse(session, 1.02, "r1", pause=None)
        sent = [
            at
            for at in (1.5, 2.1, 3.0, 4.0)
            for action in session.do(at, Tick())
            if isinstance(action, Dispatch)
        ]
        self.assertEqual([], sent)

    def pause(self, session, at, *names, seconds=PAUSE_SECONDS, incarnation="one"):
        for name in names:
            signal = UpstreamSignalled(name, incarnation, pause_seconds=seconds)
            session.do(at, signal)

    def sent_to(self, actions):
        return [item.upstream for item in actions if isinstance(item, Dispatch)]

    def test_a_forwarded_answer_can_request_a_pause(self):
        session = Session(runners=2, slots=8)
        self.pause(session, 1.0, "lektor-1")
        self.assertEqual(["lektor-2"], self.sent_to(session.arrive(3.9, "r1")))

    def test_a_shorter_pause_does_not_end_a_longer_one(self):
        session = Session(runners=1, slots=8)
        self.pause(session, 1.0, "lektor-1")
        self.pause(session, 1.1, "lektor-1", seconds=0.05)
        self.assertEqual([], self.sent_to(session.arrive(2.0, "r1")))
        self.assertEqual(["lektor-1"], self.sent_to(session.do(4.0, Tick())))

    def test_a_pause_does_not_apply_to_the_next_incarnation(self):
        session = Session(runners=1, slots=8)
        self.pause(session, 1.0, "lektor-1", seconds=30.0)
        self.assertEqual([], session.arrive(1.1, "r1"))
        report = session.report(1.2, "lektor-1", incarnation="two", slots=8)
        sent = report + session.do(1.3, Tick())
        self.assertEqual(["lektor-1"], self.sent_to(sent))

    def test_a_pause_applies_to_an_entry_that_expired_and_returned(self):
        session = Session(runners=1, slots=8)
        entry = HostEntry(
            "a", "service", "trnava", "a:1", group="labels", incarnation="a"
        )
        session.do(1.0, HostListRead(HostList(2, [entry])))
        self.pause(session, 1.1, "a", incarnation="")
        session.do(2.0, HostListRead(HostList(3, [])))
        session.do(3.0, HostListRead(HostList(4, [entry])))
        upstreams = session.scheduler.upstreams
        found = upstreams.ineligible_reason(upstreams.get("a"), 4.0)
        self.assertEqual(IneligibleReason.PAUSED, found)

    def test_a_request_placed_before_the_pause_is_not_sent(self):
        session = Session(runners=2, slots=8)
        (first,) = session.arrive(1.0, "r1")
        self.pause(session, 1.0, first.upstream)
        found = session.scheduler.pool.withdrawal(
            first.upstream, first.address, "one", 1.0
        )
        self.assertEqual(IneligibleReason.PAUSED, found)

    def test_requests_are_refused_while_all_upstreams_are_paused(self):
        session = Session(runners=2, slots=8)
        self.pause(session, 1.0, "lektor-1")
        self.pause(session, 1.0, "lektor-2", seconds=2.0)
        (refusal,) = session.arrive(1.5, "r1", latency_target_seconds=1.0)
        self.assertEqual(
            ("upstreams_paused", RunState.NOT_SENT, 1.5),
            (refusal.reason, refusal.run_state, refusal.retry_after_seconds),
        )
        # A request that can still be in time waits for the first runner to resume.
        self.assertEqual([], session.arrive(2.5, "r2", latency_target_seconds=1.0))
        self.assertEqual(["lektor-2"], self.sent_to(session.do(3.0, Tick())))

    def test_the_retry_delay_of_callers_is_bounded(self):
        session = Session(runners=1, slots=8)
        self.pause(session, 1.0, "lektor-1", seconds=3600.0)
        (refusal,) = session.arrive(1.5, "r1", latency_target_seconds=1.0)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(10.0, refusal.retry_after_seconds)
        # A new incarnation accepts requests before the hour is over.
        session.report(2.0, "lektor-1", incarnation="two", slots=8)
        self.assertEqual(["lektor-1"], self.sent_to(session.arrive(2.1, "r2")))

    def test_a_paused_service_gets_no_health_probe(self):
        session = Session(runners=1, slots=8)
        entry = HostEntry(
            "a", "service", "trnava", "a:1", group="labels", incarnation="a"
        )
        session.do(1.0, HostListRead(HostList(2, [entry])))
        session.do(1.0, LoadReported("a", None))
        session.do(1.0, ProbeFailed("a", "status 503"))
        self.pause(session, 1.0, "a", incarnation="a")
        upstreams = session.scheduler.upstreams
        for at, names in ((3.9, []), (4.1, ["a"])):
            due = [entry.name for entry in upstreams.due_probes(at)]
            self.assertEqual(names, due)


class PausesTest(TestCase):
    def test_a_pause_without_a_duration_is_short(self):
        pauses, paused = Pauses(), Incarnation("a", "1")
        for requested_seconds in (None, 0.0):
            pauses.note(paused, requested_seconds, 1.0)
            until_seconds = pauses.until_seconds(paused)
            self.assertEqual(1.0 + DEFAULT_PAUSE_SECONDS, until_seconds)

    def test_pauses_that_are_over_are_dropped(self):
        pauses, paused = Pauses(), Incarnation("a", "1")
        pauses.note(paused, 3.0, 1.0)
        self.assertEqual([], pauses.expire(3.9))
        self.assertEqual([paused], pauses.expire(4.0))
        self.assertEqual(0, len(pauses))


class PausedHostTest(TestCase):
    """A complete host and two upstreams, one of which refuses with a pause."""

    def counts(self, value, count=30):
        """Return the requests at an upstream that refused once with this pause."""

        async def refuse(exchange):
            extra = b"Rampwick-Not-Run: busy\r\nRetry-After: " + value
            await exchange.answer(b"", 503, extra)

        async def main():
            with anyio.fail_after(20.0):
                async with run_routed({"labels": ["a", "b"]}) as (host, found):
                    found["a"].scripts = [refuse]
                    statuses = {
                        (await host.call("/once/1", request_id=f"r{number}")).status
                        for number in range(count)
                    }
                    self.assertEqual({200}, statuses)
                    return len(found["a"].requests)

        return anyio.run(main)

    def test_any_pause_value_leaves_the_host_running(self):
        for value in (b"3", b"3600", b"1e9", b"-1", b"nan", b"inf", b"9" * 4096):
            self.assertEqual(1, self.counts(value))
