"""Requests on routes, end to end: one final answer, its own, and no run too many."""

import hashlib
from collections import Counter
from unittest import mock

import anyio
import attrs
from testtools import TestCase

from rampwick_platform import PlatformUnavailableError
from rampwick_router.entry._routed_exchange import RoutedExchange
from rampwick_schema import Node

from .scripted import KEY, Hangup, list_upstream, make_tree, run_routed

TEST_TIMEOUT_SECONDS = 30.0


def run(scenario, upstreams=None, **options):
    """Run a scenario with a host and its upstreams."""

    async def main():
        with anyio.fail_after(TEST_TIMEOUT_SECONDS):
            async with run_routed(
                upstreams or {"labels": ["a", "b"], "notes": ["c", "d"]}, **options
            ) as (host, found):
                return await scenario(host, found)

    return anyio.run(main)


def ran(found):
    """Return the names of the upstreams that saw a request, in no order."""
    return sorted(name for name, item in found.items() for _ in item.requests)


def all_scripts(found, *scripts):
    """Give every upstream the same scripts."""
    for upstream in found.values():
        upstream.scripts = list(scripts)


async def cut(exchange):
    """Close without an answer."""
    raise Hangup


async def refuse(exchange):
    """Say that the request was not run."""
    await exchange.answer(b"", 503, b"Rampwick-Not-Run: refused")


async def misdirect(exchange):
    """Say that the request is for another upstream."""
    await exchange.answer(b"", 421, b"Rampwick-Not-Run: misdirected")


class ForwardingTest(TestCase):
    def test_method_path_query_and_body_go_on_unchanged(self):
        async def scenario(host, found):
            answer = await host.call(
                "/once/a%2Fb?x=1&y=%20", body=b"\x00body", headers={"X-Own": "kept"}
            )
            (seen,) = [item for one in found.values() for item in one.requests]
            return answer, seen

        answer, seen = run(scenario)
        self.assertEqual(
            (200, b"done", True), (answer.status, answer.body, answer.is_whole)
        )
        self.assertEqual(("POST", "/once/a%2Fb?x=1&y=%20"), (seen.method, seen.target))
        self.assertEqual(b"\x00body", seen.body)
        self.assertEqual("kept", seen.headers["x-own"])
        self.assertNotIn("authorization", seen.headers)
        self.assertEqual("t", seen.headers["rampwick-workspace"])

    def test_what_a_caller_must_not_set_is_dropped(self):
        async def scenario(host, found):
            forged = {
                "Rampwick-Workspace": "other",
                "Rampwick-Cache-Salt": "x",
                "Rampwick-Save-To": "10.0.0.1:1",
                "Rampwick-Incarnation": "x",
                "Connection": "x-hop, keep-alive",
                "X-Hop": "1",
            }
            await host.call("/once/1", headers=forged)
            (seen,) = [item for one in found.values() for item in one.requests]
            return seen

        seen = run(scenario)
        self.assertEqual("t", seen.headers["rampwick-workspace"])
        self.assertNotIn("rampwick-cache-salt", seen.headers)
        self.assertNotIn("rampwick-save-to", seen.headers)
        self.assertNotIn("x-hop", seen.headers)
        self.assertEqual(seen.upstream.name, seen.headers["rampwick-incarnation"])

    def test_an_upstreams_own_failure_goes_through_as_it_is(self):
        async def scenario(host, found):
            async def fail(exchange):
                await exchange.answer(b"broken", 500)

            all_scripts(found, fail)
            return await host.call("/again/1"), ran(found)

        answer, seen = run(scenario)
        self.assertEqual((500, b"broken"), (answer.status, answer.body))
        self.assertEqual(1, len(seen))

    def test_unknown_route_and_key(self):
        async def scenario(host, found):
            return (
                (await host.call("/nowhere/1")).status,
                (await host.call("/once/1", key="other")).status,
                (await host.call("/once/1", key=None)).status,
                (await host.call("/open/1", key=None)).status,
            )

        self.assertEqual((404, 401, 401, 200), run(scenario))

    def test_kept_connections_are_used_again(self):
        async def scenario(host, found):
            for number in range(5):
                await host.call("/once/1", request_id=f"r{number}")
            return found["a"].connections_count

        self.assertEqual(1, run(scenario, {"labels": ["a"]}))


class LeavingHostTest(TestCase):
    """A host that leaves takes only what it will surely answer whole.

    Symptom: callers on kept connections saw answers cut in the middle while hosts were
    stopped one by one. Sequence: the store had been away, answers took three times what
    hosts reckon, and a host with four seconds left took requests that needed six.
    """

    def leave(self, slow_seconds, left_seconds):
        async def scenario(host, found):
            daemon = host.daemon
            now_seconds = daemon._clocks.monotonic()
            if slow_seconds:
                daemon._context.pace.note(
                    slow_seconds,
                    latency_target_seconds=1.0,
                    answer_tokens=0,
                    now_seconds=now_seconds,
                )
            daemon.life.begin_stop()
            daemon.life.exit_deadline_seconds = now_seconds + left_seconds
            daemon.life.balancer_delay_elapsed = True
            return await host.call("/again/1"), ran(found)

        return run(scenario)

    def test_what_may_not_be_done_is_refused_while_it_has_not_run(self):
        answer, seen = self.leave(slow_seconds=6.4, left_seconds=5.0)
        self.assertEqual((503, []), (answer.status, seen))
        self.assertEqual("close", answer.headers["connection"])
        # Whole seconds are what this dialect can say.
        self.assertEqual("1", answer.headers["retry-after"])

    def test_what_will_be_done_is_served(self):
        answer, seen = self.leave(slow_seconds=0.0, left_seconds=5.0)
        self.assertEqual((200, 1), (answer.status, len(seen)))


class NotRunTest(TestCase):
    """What an answer says of whether a request ran is true."""

    def test_a_cut_request_that_must_not_repeat_may_have_run(self):
        async def scenario(host, found):
            all_scripts(found, cut)
            return (await host.call("/once/1")).status, ran(found)

        status, seen = run(scenario)
        self.assertEqual(502, status)
        self.assertEqual(1, len(seen))

    def test_a_cut_repeatable_request_runs_at_another(self):
        async def scenario(host, found):
            all_scripts(found, cut)
            return (await host.call("/again/1")).status, ran(found)

        status, seen = run(scenario)
        # Two runs are allowed; both were cut.
        self.assertEqual(502, status)
        self.assertEqual(["a", "b"], seen)

    def test_a_refusal_is_tried_elsewhere_even_if_it_must_not_repeat(self):
        async def scenario(host, found):
            found["a"].scripts = [refuse]
            found["b"].scripts = [refuse]
            status = (await host.call("/once/1")).status
            return status, ran(found)

        status, seen = run(scenario)
        self.assertEqual(503, status)
        self.assertEqual(["a", "b"], sorted(set(seen)))

    def test_a_misdirected_request_is_not_taken_for_run(self):
        async def scenario(host, found):
            found["a"].scripts = [misdirect]
            found["b"].scripts = [misdirect]
            return (await host.call("/once/1")).status

        self.assertEqual(503, run(scenario))

    def test_refused_after_it_may_have_run_is_not_called_not_run(self):
        async def scenario(host, found):
            found["a"].scripts = [cut, refuse]
            found["b"].scripts = [cut, refuse]
            return (await host.call("/again/1")).status

        self.assertEqual(502, run(scenario))

    def test_no_upstream_is_told_at_once_and_as_not_run(self):
        async def scenario(host, found):
            return await host.call("/once/1")

        answer = run(scenario, {"notes": ["c"]})
        self.assertEqual(503, answer.status)
        self.assertIn("retry-after", answer.headers)


class OwnAnswerTest(TestCase):
    """A caller gets the answer to its own request or none."""

    def test_an_answer_to_another_request_is_not_passed_on(self):
        async def scenario(host, found):
            async def cross(exchange):
                await exchange.answer(b"other's", request_id="other")

            all_scripts(found, cross)
            return await host.call("/once/1")

        answer = run(scenario)
        self.assertEqual(502, answer.status)
        self.assertNotIn(b"other's", answer.body)

    def test_a_success_without_proof_is_not_passed_on(self):
        async def scenario(host, found):
            async def forge(exchange):
                await exchange.answer(b"forged", signed=False)

            all_scripts(found, forge)
            return await host.call("/once/1")

        answer = run(scenario)
        self.assertEqual(502, answer.status)
        self.assertNotIn(b"forged", answer.body)

    def test_bytes_after_an_answer_spoil_only_their_connection(self):
        async def scenario(host, found):
            async def twice(exchange):
                head = exchange.head(length=4)
                await exchange.send(head + b"done" + head + b"more")

            found["a"].scripts = [twice, lambda exchange: exchange.answer(b"next")]
            first = await host.call("/once/1", request_id="r1")
            second = await host.call("/once/1", request_id="r2")
            return first.body, second.body, found["a"].connections_count

        self.assertEqual((b"done", b"next", 2), run(scenario, {"labels": ["a"]}))

    def test_a_surplus_answer_that_comes_late_is_not_taken_for_the_next(self):
        async def scenario(host, found):
            async def twice(exchange):
                await exchange.answer(b"done")
                await exchange.send(exchange.head(length=4) + b"more")

            found["a"].scripts = [twice, lambda exchange: exchange.answer(b"next")]
            first = await host.call("/once/1", request_id="r1")
            await anyio.sleep(0.05)
            second = await host.call("/once/1", request_id="r2")
            return first.body, second.body

        self.assertEqual((b"done", b"next"), run(scenario, {"labels": ["a"]}))

    def test_an_unframed_answer_that_is_closed_is_whole(self):
        async def scenario(host, found):
            async def unframed(exchange):
                await exchange.send(exchange.head() + b"to the end")
                raise Hangup

            all_scripts(found, unframed)
            return await host.call("/once/1")

        answer = run(scenario)
        self.assertEqual((200, b"to the end"), (answer.status, answer.body))

    def test_an_unframed_answer_that_is_reset_is_not_whole(self):
        async def scenario(host, found):
            async def unframed(exchange):
                await exchange.send(exchange.head() + b"not to the")
                await anyio.sleep(0.05)
                exchange.reset()
                raise Hangup

            all_scripts(found, unframed)
            return await host.call("/once/1")

        self.assertEqual(502, run(scenario).status)

    def test_an_answer_cut_short_is_not_whole(self):
        async def scenario(host, found):
            async def short(exchange):
                await exchange.send(exchange.head(length=10) + b"half")
                raise Hangup

            all_scripts(found, short)
            return await host.call("/once/1")

        self.assertEqual(502, run(scenario).status)


def event(number):
    """Return one event of a stream."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


CHUNKED = b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream"


def chunk(data):
    """Return one chunk."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_of(first, last, stop_after=None, half=b""):
    """Return a script that streams events, whole or cut after one of them."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=CHUNKED))
        for number in range(first, last + 1):
            await exchange.send(chunk(event(number)))
            if number == stop_after:
                if half:
                    await exchange.send(chunk(half))
                raise Hangup
        await exchange.send(b"0\r\n\r\n")

    return script


class StreamTest(TestCase):
    """Streams come whole and in order, or visibly not whole."""

    def expect(self, last):
        return b"".join(event(number) for number in range(1, last + 1))

    def test_a_whole_stream_goes_through(self):
        async def scenario(host, found):
            all_scripts(found, stream_of(1, 5))
            return await host.call("/stream/1")

        answer = run(scenario)
        self.assertEqual(
            (200, self.expect(5), True), (answer.status, answer.body, answer.is_whole)
        )

    def test_a_broken_stream_goes_on_at_another_after_the_last_whole_event(self):
        async def scenario(host, found):
            asked = []

            async def resume(exchange):
                asked.append(exchange.headers.get("last-event-id"))
                await stream_of(4, 6)(exchange)

            # Whichever is asked second goes on where the first one broke off.
            found["c"].scripts = [self.breaks_then(found, "d", resume)]
            found["d"].scripts = [self.breaks_then(found, "c", resume)]
            return await host.call("/stream/1"), asked

        answer, asked = run(scenario)
        self.assertEqual(["3"], asked)
        self.assertEqual((self.expect(6), True), (answer.body, answer.is_whole))

    def breaks_then(self, found, other, resume):
        async def script(exchange):
            found[other].scripts = [resume]
            await stream_of(1, 9, stop_after=3, half=b"id: 4\ndata: ha")(exchange)

        return script

    def test_events_that_come_again_are_left_out(self):
        async def scenario(host, found):
            again = stream_of(1, 6)
            found["c"].scripts = [self.breaks_then(found, "d", again)]
            found["d"].scripts = [self.breaks_then(found, "c", again)]
            return await host.call("/stream/1")

        answer = run(scenario)
        self.assertEqual((self.expect(6), True), (answer.body, answer.is_whole))

    def test_a_stream_that_may_not_go_on_elsewhere_ends_visibly_cut(self):
        async def scenario(host, found):
            all_scripts(found, stream_of(1, 9, stop_after=3, half=b"id: 4\ndata: h"))
            return await host.call("/brittle/1"), ran(found)

        answer, seen = run(scenario)
        self.assertEqual((self.expect(3), False), (answer.body, answer.is_whole))
        self.assertEqual(1, len(seen))

    def test_a_caller_that_comes_back_is_given_the_rest(self):
        async def scenario(host, found):
            all_scripts(found, stream_of(4, 6))
            answer = await host.call("/stream/1", headers={"Last-Event-Id": "3"})
            (seen,) = [item for one in found.values() for item in one.requests]
            return answer, seen.headers["last-event-id"]

        answer, asked = run(scenario)
        self.assertEqual("3", asked)
        self.assertEqual(b"".join(event(number) for number in (4, 5, 6)), answer.body)

    def test_a_caller_that_leaves_stops_the_upstream(self):
        async def scenario(host, found):
            async def endless(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))
                number = 0
                while True:
                    number += 1
                    await exchange.send(chunk(event(number)))
                    await anyio.sleep(0.005)

            all_scripts(found, endless)
            with anyio.move_on_after(0.2):
                await host.call("/stream/1")
            while any(upstream.open_count for upstream in found.values()):
                await anyio.sleep(0.005)
            return True

        self.assertTrue(run(scenario))


class ConfigurationAgeTest(TestCase):
    def test_a_key_is_not_honoured_once_the_store_is_lost_for_too_long(self):
        async def scenario(host, found):
            before = (await host.call("/once/1")).status
            host.store.failure = PlatformUnavailableError("away", step="test")
            host.store.changed.set()
            while (await host.call("/once/1")).status == 200:
                await anyio.sleep(0.02)
            refused = await host.call("/once/1")
            open_status = (await host.call("/open/1", key=None)).status
            host.store.failure = None
            while (await host.call("/once/1")).status != 200:
                await anyio.sleep(0.02)
            return before, refused, open_status

        before, refused, open_status = run(
            scenario, platform="max_key_age_seconds = 1.8"
        )
        self.assertEqual((200, 503, 200), (before, refused.status, open_status))
        self.assertIn("retry-after", refused.headers)

    def test_a_key_taken_away_is_refused_as_soon_as_it_is_heard(self):
        async def scenario(host, found):
            before = (await host.call("/once/1")).status
            tree = make_tree(2, nodes={"/": make_tree().nodes["/"]})
            host.store.write("config/main", tree)
            while host.daemon.follower.revision < 2:
                await anyio.sleep(0.005)
            return before, (await host.call("/once/1")).status

        self.assertEqual((200, 401), run(scenario))

    def test_an_invalid_configuration_is_refused_whole_and_confirms_nothing(self):
        async def scenario(host, found):
            bad = attrs.evolve(make_tree().routing.routes[0], path_prefix="no slash")
            host.store.write("config/main", make_tree(2, routes=[bad]))
            while not host.daemon.follower.problem:
                await anyio.sleep(0.005)
            kept = (await host.call("/once/1")).status
            while (await host.call("/once/1")).status == 200:
                await anyio.sleep(0.02)
            host.store.write("config/main", make_tree(3))
            while host.daemon.follower.revision < 3:
                await anyio.sleep(0.005)
            return kept, (await host.call("/once/1")).status

        self.assertEqual(
            (200, 200), run(scenario, platform="max_key_age_seconds = 1.8")
        )


class LeavingUpstreamTest(TestCase):
    def test_a_leaving_upstream_gets_nothing_new(self):
        async def scenario(host, found):
            list_upstream(host.store, found["a"], "labels", "leaving")
            upstreams = host.daemon.scheduler._scheduler.upstreams
            while upstreams.get("a").entry.state != "leaving":
                await anyio.sleep(0.005)
            for number in range(6):
                await host.call("/once/1", request_id=f"r{number}")
            host.store.delete("upstreams/a")
            while upstreams.get("a") is not None:
                await anyio.sleep(0.005)
            return len(found["a"].requests), len(found["b"].requests)

        self.assertEqual((0, 6), run(scenario))


class CheapRefusalTest(TestCase):
    """A hot workspace is refused by the thousand: that must not cost what serving does.

    Each refusal named the state of every upstream, had its caller watched by a task of
    its own, and told the scheduler that a request was cancelled which it had refused.
    """

    def refuse(self, count):
        events, tasks = Counter(), Counter()

        async def scenario(host, found):
            node = Node(
                is_workspace=True,
                key_hashes=[hashlib.sha256(KEY.encode()).hexdigest()],
                tokens_per_second=0.001,
                burst_tokens=0.0,
                counts_requests=True,
            )
            host.store.write(
                "config/main", make_tree(2, nodes={"/": Node(), "/t": node})
            )
            while host.daemon.follower.revision < 2:
                await anyio.sleep(0.005)
            scheduler = host.daemon.scheduler._scheduler
            handle = scheduler.handle

            def note(event, now_seconds):
                events[type(event).__name__] += 1
                return handle(event, now_seconds)

            scheduler.handle = note
            watch_disconnect = RoutedExchange._watch_disconnect

            async def watch(exchange, scope):
                tasks["watch"] += 1
                await watch_disconnect(exchange, scope)

            with mock.patch.object(RoutedExchange, "_watch_disconnect", watch):
                answers = [
                    await host.call("/once/1", request_id=f"r{number}")
                    for number in range(count)
                ]
            (explained,) = host.daemon.scheduler.decisions(f"r{count - 1}")
            return answers, explained.action

        answers, refusal = run(scenario, {"labels": ["a"]})
        return answers, refusal, events, tasks

    def test_it_is_one_event_and_no_task(self):
        answers, refusal, events, tasks = self.refuse(5)
        refused = [item for item in answers if item.status == 429]
        served = len(answers) - len(refused)
        self.assertGreaterEqual(len(refused), 4)
        self.assertEqual(len(answers), events["RequestArrived"])
        self.assertEqual(0, events["RequestCancelled"])
        self.assertEqual(served, tasks["watch"])
        self.assertIn("tokens sent by all", refusal.evidence)
        self.assertNotIn("upstreams", refusal.evidence)
