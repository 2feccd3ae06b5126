"""Guards against late answers whose cause is attributed to the wrong component."""

import socket
import threading
import time
from unittest import mock

import anyio
import attrs
import eliot
from testtools import TestCase

from rampwick_policy import AnswerTimer, AnswerTimings, LateCause, find_late_cause
from rampwick_router._segment_age import segment_age_seconds
from rampwick_router.entry._answer_recorder import AnswerRecorder

from .bench import KEY as BENCH_KEY, until
from .case import ScenarioCase
from .scripted import (
    ScriptedUpstream,
    list_upstream,
    make_tree,
    run_routed,
)
from .test_cli import run

TEST_TIMEOUT_SECONDS = 30.0

#: An answer in time, whose parts are all small.
IN_TIME = AnswerTimings(
    waited_seconds=0.01,
    retry_seconds=0.0,
    connection_seconds=0.01,
    first_event_seconds=0.3,
    first_written_seconds=0.31,
    longest_pause_seconds=0.35,
    is_pause_by_retry=False,
    longest_stay_seconds=0.01,
    longest_written_pause_seconds=0.36,
    prefill_seconds=0.2,
    latency_target_seconds=0.4,
    pause_target_seconds=0.4,
)


def cause_of(**fields):
    """Return the cause of an answer in time with some timings changed."""
    return find_late_cause(attrs.evolve(IN_TIME, **fields))


def late_first(seconds=1.0, **fields):
    """Return the cause of an answer whose first event came after some time."""
    return cause_of(
        first_event_seconds=seconds, first_written_seconds=seconds + 0.01, **fields
    )


class LateCauseTest(TestCase):
    def test_an_answer_within_its_targets_has_no_cause(self):
        self.assertIsNone(cause_of())

    def test_an_answer_without_targets_is_never_late(self):
        no_targets = {"latency_target_seconds": None, "pause_target_seconds": None}
        late = {"first_written_seconds": 9.0, "longest_written_pause_seconds": 9.0}
        self.assertIsNone(cause_of(**no_targets, **late))

    def test_the_largest_part_before_the_first_event_is_the_cause(self):
        self.assertEqual(LateCause.HOST, late_first(waited_seconds=0.6))
        self.assertEqual(LateCause.CONNECTION, late_first(connection_seconds=0.6))
        self.assertEqual(LateCause.RETRY, late_first(retry_seconds=0.6))
        self.assertEqual(LateCause.RUNNER_QUEUE, late_first(prefill_seconds=0.2))
        self.assertEqual(LateCause.PREFILL, late_first(prefill_seconds=0.8))

    def test_a_service_without_prefill_waits_at_its_upstream(self):
        self.assertEqual(LateCause.RUNNER_QUEUE, late_first(prefill_seconds=0.0))

    def test_a_first_event_that_was_written_late_stayed_in_the_host(self):
        self.assertEqual(LateCause.STAY, cause_of(first_written_seconds=1.0))

    def test_a_late_first_event_counts_before_a_pause(self):
        pause = {"longest_pause_seconds": 0.9, "longest_written_pause_seconds": 0.9}
        self.assertEqual(LateCause.HOST, late_first(waited_seconds=0.8, **pause))

    def test_a_pause_of_the_runner(self):
        pause = {"longest_pause_seconds": 0.5, "longest_written_pause_seconds": 0.5}
        self.assertEqual(LateCause.PAUSE, cause_of(**pause))
        retried = cause_of(**pause, is_pause_by_retry=True)
        self.assertEqual(LateCause.RETRY, retried)

    def test_a_pause_only_in_the_writes_is_a_stay(self):
        self.assertEqual(LateCause.STAY, cause_of(longest_written_pause_seconds=0.5))

    def test_a_pause_that_the_caller_did_not_see_makes_nothing_late(self):
        self.assertIsNone(cause_of(longest_pause_seconds=0.5))


class AnswerTimerTest(TestCase):
    def make_timer(self):
        """Return the timer of an answer whose first event was written at 10.3 s."""
        timer = AnswerTimer(10.0)
        timer.note_dispatched(10.1)
        timer.note_sent(10.15)
        timer.note_events(1, 10.3)
        timer.note_written(10.3)
        return timer

    def assert_times(self, expected, timings):
        observed = attrs.asdict(timings)
        for name, seconds in expected.items():
            self.assertAlmostEqual(seconds, observed[f"{name}_seconds"], 6, name)

    def test_parts_until_the_first_event(self):
        expected = {"waited": 0.1, "retry": 0.0, "connection": 0.05, "first_event": 0.3}
        self.assert_times(expected, self.make_timer().timings(11.0))

    def test_a_failed_attempt_before_the_answer_is_a_retry(self):
        timer = AnswerTimer(10.0)
        timer.note_dispatched(10.1)
        timer.note_sent(10.2)
        timer.note_dispatched(10.6)
        timer.note_sent(10.61)
        timer.note_events(1, 10.9)
        expected = {"waited": 0.1, "retry": 0.5, "connection": 0.01}
        self.assert_times(expected, timer.timings(11.0))

    def test_the_longest_pause_and_stay_of_single_events(self):
        timer = self.make_timer()
        for arrived, written in ((10.4, 10.4), (10.9, 10.95), (11.0, 11.01)):
            timer.note_events(1, arrived)
            timer.note_written(written)
        expected = {
            "longest_pause": 0.5,
            "longest_stay": 0.05,
            "longest_written_pause": 0.55,
        }
        self.assert_times(expected, timer.timings(11.1))

    def test_events_read_together_stayed_in_the_host_and_were_no_pause(self):
        timer = self.make_timer()
        timer.note_events(10, 11.3)
        timer.note_written(11.3)
        timings = timer.timings(11.4, pause_target_seconds=0.4)
        expected = {"longest_pause": 0.1, "longest_stay": 0.9}
        self.assert_times(expected, timings)
        self.assertEqual(LateCause.STAY, find_late_cause(timings))

    def test_a_pause_with_another_attempt_is_marked(self):
        timer = self.make_timer()
        timer.note_dispatched(10.5)
        timer.note_events(1, 11.0)
        timer.note_written(11.0)
        timer.note_events(1, 11.5)
        timer.note_written(11.5)
        timings = timer.timings(12.0, pause_target_seconds=0.4)
        self.assertEqual(LateCause.RETRY, find_late_cause(timings))
        self.assert_times({"retry": 0.0, "waited": 0.1}, timings)

    def test_the_arrival_matters_for_the_first_event_and_long_times_only(self):
        self.assertTrue(AnswerTimer(10.0).needs_arrival(10.01))
        timer = self.make_timer()
        self.assertTrue(timer.needs_arrival(10.33))
        timer.note_events(1, 10.34)
        self.assertFalse(timer.needs_arrival(10.37))
        self.assertTrue(timer.needs_arrival(10.40))

    def test_times_that_run_backwards_give_no_negative_pause(self):
        timer = self.make_timer()
        timer.note_events(1, 10.2)
        timer.note_written(10.4)
        self.assert_times({"longest_pause": 0.0}, timer.timings(10.5))


class ThreadedStream:
    """An upstream in a thread, which sends events while the event loop is blocked."""

    def __init__(self, gaps_seconds):
        self.gaps_seconds = gaps_seconds
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self.serve)
        self.thread.start()

    def serve(self):
        connection, _ = self.listener.accept()
        with connection:
            request = b""
            while b"\r\n\r\n" not in request:
                request += connection.recv(65536)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nRampwick-Request-Id: r1\r\n"
                b"Rampwick-Incarnation: a\r\nConnection: close\r\n\r\n"
            )
            for number, gap_seconds in enumerate(self.gaps_seconds):
                time.sleep(gap_seconds)
                connection.sendall(b"id: %d\ndata: x\n\n" % number)

    def close(self):
        self.thread.join()
        self.listener.close()


class StreamTimingsTest(TestCase):
    """Streams through a host whose route has a pause target of 0.4 s."""

    def answer(self, gaps_seconds, blocked_seconds=0.0):
        """Send a stream through a host; return its answer and the log line."""
        lines = []

        async def main():
            async with run_routed({"notes": []}) as (host, _):
                self.set_pause_target(host)
                await until(lambda: host.daemon.follower.revision == 2)
                upstream = ThreadedStream(gaps_seconds)
                listed = ScriptedUpstream("a")
                listed.address = upstream.address
                list_upstream(host.store, listed, "notes")
                scheduler = host.daemon.scheduler
                await until(lambda: list(scheduler._scheduler.upstreams))
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(host.call, "/stream/1")
                    await anyio.sleep(0.2)
                    time.sleep(blocked_seconds)
                (answer,) = scheduler._answers
                upstream.close()
                return answer

        eliot.add_destinations(lines.append)
        try:
            with_timeout = anyio.run(main)
        finally:
            eliot.remove_destination(lines.append)
        answered = [x for x in lines if "request answered" in x.get("message", "")]
        # The log library first delivers what earlier tests have logged.
        return with_timeout, answered[-1]

    def set_pause_target(self, host):
        routes = [
            attrs.evolve(route, gap_target_seconds=0.4)
            for route in make_tree().routing.routes
        ]
        host.store.write("config/main", make_tree(2, routes=routes))

    def test_a_pause_of_the_runner(self):
        answer, line = self.answer([0.05] * 4 + [0.7] + [0.05] * 4)
        self.assertEqual(LateCause.PAUSE, answer.late_cause)
        self.assertTrue(680 <= line["longest_pause_ms"] < 900, line)
        self.assertLess(line["longest_stay_ms"], 200)
        self.assertEqual(9, line["events_count"])

    def test_a_blocked_host_is_not_a_pause_of_the_runner(self):
        answer, line = self.answer([0.05] * 30, blocked_seconds=1.0)
        self.assertEqual(LateCause.STAY, answer.late_cause)
        self.assertLess(line["longest_pause_ms"], 200)
        self.assertGreater(line["longest_stay_ms"], 800)

    def test_an_even_stream_is_in_time(self):
        answer, line = self.answer([0.05] * 8)
        self.assertIsNone(answer.late_cause)
        self.assertEqual("", line["late_cause"])
        expected = {"waited_ms", "first_ms", "longest_pause_ms", "longest_stay_ms"}
        self.assertEqual(set(), expected - set(line))


class OperatorsViewTest(ScenarioCase):
    def test_metrics_and_explain_show_the_timings(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.02)
            bench.add_service("portal-1", "portal")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                await host.stream("a prompt", max_tokens=5)
                await until(lambda: host.upstream("portal-1"))
                headers = {"Authorization": f"Bearer {BENCH_KEY}"}
                await host.client.get("/services/portal/x", headers=headers)
                answers = list(host.daemon.scheduler._answers)
                attempt_id = answers[0].attempt_id
                request_id = attempt_id.rpartition(".")[0]
                admin = f"http://{host.addresses.admin}"
                metrics = (await host.client.get(f"{admin}/metrics")).text
                explained = await run("explain", request_id, "--admin", admin)
            return answers, metrics, explained

        answers, metrics, (code, text, _) = self.run_scenario(scenario)
        labels = '{priority_class="interactive",workspace="/herbaria/labels"}'
        for name in ("rampwick_longest_pause_seconds", "rampwick_longest_stay_seconds"):
            self.assertIn(f"{name}_count{labels} 2.0", metrics)
        stream, service = answers
        self.assertGreater(stream.timings.longest_pause_seconds, 0.005)
        self.assertGreater(service.timings.first_event_seconds, 0.0)
        self.assertEqual(0, code)
        self.assertIn("answered in time", text)
        self.assertIn("longest pause", text)


class ExpectedWaitTest(ScenarioCase):
    def test_the_estimated_wait_is_logged_beside_the_actual_one(self):
        lines = []

        record = AnswerRecorder.record

        def record_estimated(recorder, arrival, dispatch, line):
            dispatch = attrs.evolve(dispatch, expected_wait_seconds=0.25)
            record(recorder, arrival, dispatch, line)

        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                with mock.patch.object(AnswerRecorder, "record", record_estimated):
                    await host.stream("a prompt")

        eliot.add_destinations(lines.append)
        try:
            self.run_scenario(scenario)
        finally:
            eliot.remove_destination(lines.append)
        (line,) = [x for x in lines if "request answered" in x.get("message", "")]
        self.assertEqual(250, line["expected_wait_ms"])
        self.assertIn("waited_ms", line)


class SegmentAgeTest(TestCase):
    def test_a_socket_without_tcp_has_no_age(self):
        one, two = socket.socketpair()
        with one, two:
            self.assertEqual(0.0, segment_age_seconds(one))
        self.assertEqual(0.0, segment_age_seconds(one))
