"""End-to-end tests of requests on routes: response integrity and retry rules."""

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
            ) as (host, servers):
                return await scenario(host, servers)

    return anyio.run(main)


def ran(servers):
    """Return the sorted names of upstreams, one for each request received."""
    return sorted(name for name, item in servers.items() for _ in item.requests)


def all_scripts(servers, *scripts):
    """Set the same scripts for every upstream."""
    for upstream in servers.values():
        upstream.scripts = list(scripts)


async def close_connection(exchange):
    """Close the connection without a response."""
    raise Hangup


async def refuse(exchange):
    """Respond that the request was not run."""
    await exchange.answer(b"", 503, b"Rampwick-Not-Run: refused")


async def misdirect(exchange):
    """Respond that the request is for another upstream."""
    await exchange.answer(b"", 421, b"Rampwick-Not-Run: misdirected")


class ForwardingTest(TestCase):
    def test_method_path_query_and_body_are_forwarded_unchanged(self):
        async def scenario(host, servers):
            response = await host.call(
                "/once/a%2Fb?x=1&y=%20", body=b"\x00body", headers={"X-Own": "kept"}
            )
            (received,) = [item for one in servers.values() for item in one.requests]
            return response, received

        response, received = run(scenario)
        self.assertEqual(
            (200, b"done", True), (response.status, response.body, response.is_whole)
        )
        self.assertEqual(
            ("POST", "/once/a%2Fb?x=1&y=%20"), (received.method, received.target)
        )
        self.assertEqual(b"\x00body", received.body)
        self.assertEqual("kept", received.headers["x-own"])
        self.assertNotIn("authorization", received.headers)
        self.assertEqual("t", received.headers["rampwick-workspace"])

    def test_reserved_headers_from_callers_are_dropped(self):
        async def scenario(host, servers):
            forged = {
                "Rampwick-Workspace": "other",
                "Rampwick-Cache-Salt": "x",
                "Rampwick-Save-To": "10.0.0.1:1",
                "Rampwick-Incarnation": "x",
                "Connection": "x-hop, keep-alive",
                "X-Hop": "1",
            }
            await host.call("/once/1", headers=forged)
            (received,) = [item for one in servers.values() for item in one.requests]
            return received

        received = run(scenario)
        self.assertEqual("t", received.headers["rampwick-workspace"])
        self.assertNotIn("rampwick-cache-salt", received.headers)
        self.assertNotIn("rampwick-save-to", received.headers)
        self.assertNotIn("x-hop", received.headers)
        self.assertEqual(
            received.upstream.name, received.headers["rampwick-incarnation"]
        )

    def test_error_response_of_upstream_is_forwarded_unchanged(self):
        async def scenario(host, servers):
            async def fail(exchange):
                await exchange.answer(b"broken", 500)

            all_scripts(servers, fail)
            return await host.call("/again/1"), ran(servers)

        response, received = run(scenario)
        self.assertEqual((500, b"broken"), (response.status, response.body))
        self.assertEqual(1, len(received))

    def test_unknown_route_and_key_are_rejected(self):
        async def scenario(host, servers):
            return (
                (await host.call("/nowhere/1")).status,
                (await host.call("/once/1", key="other")).status,
                (await host.call("/once/1", key=None)).status,
                (await host.call("/open/1", key=None)).status,
            )

        self.assertEqual((404, 401, 401, 200), run(scenario))

    def test_idle_connections_are_reused(self):
        async def scenario(host, servers):
            for number in range(5):
                await host.call("/once/1", request_id=f"r{number}")
            return servers["a"].connections_count

        self.assertEqual(1, run(scenario, {"labels": ["a"]}))


class StoppingHostTest(TestCase):
    """A host that shuts down accepts only requests that fit before its exit.

    Guards against truncated responses on persistent connections during a rolling
    restart: after an outage of the store, responses took three times the estimate, and
    a host with four seconds left accepted requests that took six.
    """

    def call_during_shutdown(self, slow_seconds, left_seconds):
        async def scenario(host, servers):
            daemon = host.daemon
            now_seconds = daemon._clocks.monotonic()
            if slow_seconds:
                daemon._context.slow_answers.note(
                    slow_seconds,
                    latency_target_seconds=1.0,
                    answer_tokens=0,
                    now_seconds=now_seconds,
                )
            daemon.lifecycle.begin_stop()
            daemon.lifecycle.exit_deadline_seconds = now_seconds + left_seconds
            daemon.lifecycle.balancer_done_at_seconds = now_seconds
            return await host.call("/again/1"), ran(servers)

        return run(scenario)

    def test_request_that_may_not_complete_is_rejected_before_it_runs(self):
        response, received = self.call_during_shutdown(
            slow_seconds=6.4, left_seconds=5.0
        )
        self.assertEqual((503, []), (response.status, received))
        self.assertEqual("close", response.headers["connection"])
        # Retry-After of this dialect has a resolution of one second.
        self.assertEqual("1", response.headers["retry-after"])

    def test_request_that_fits_is_served(self):
        response, received = self.call_during_shutdown(
            slow_seconds=0.0, left_seconds=5.0
        )
        self.assertEqual((200, 1), (response.status, len(received)))


class NotRunTest(TestCase):
    """The status of an error response matches whether the request ran."""

    def test_broken_request_that_is_not_repeatable_may_have_run(self):
        async def scenario(host, servers):
            all_scripts(servers, close_connection)
            return (await host.call("/once/1")).status, ran(servers)

        status, received = run(scenario)
        self.assertEqual(502, status)
        self.assertEqual(1, len(received))

    def test_broken_repeatable_request_is_retried_at_another_upstream(self):
        async def scenario(host, servers):
            all_scripts(servers, close_connection)
            return (await host.call("/again/1")).status, ran(servers)

        status, received = run(scenario)
        # Both allowed attempts were broken off.
        self.assertEqual(502, status)
        self.assertEqual(["a", "b"], received)

    def test_refused_request_is_retried_elsewhere_even_if_not_repeatable(self):
        async def scenario(host, servers):
            servers["a"].scripts = [refuse]
            servers["b"].scripts = [refuse]
            status = (await host.call("/once/1")).status
            return status, ran(servers)

        status, received = run(scenario)
        self.assertEqual(503, status)
        self.assertEqual(["a", "b"], sorted(set(received)))

    def test_misdirected_request_counts_as_not_run(self):
        async def scenario(host, servers):
            servers["a"].scripts = [misdirect]
            servers["b"].scripts = [misdirect]
            return (await host.call("/once/1")).status

        self.assertEqual(503, run(scenario))

    def test_refusal_after_a_possible_run_is_not_reported_as_not_run(self):
        async def scenario(host, servers):
            servers["a"].scripts = [close_connection, refuse]
            servers["b"].scripts = [close_connection, refuse]
            return (await host.call("/again/1")).status

        self.assertEqual(502, run(scenario))

    def test_lack_of_upstreams_is_reported_immediately_as_not_run(self):
        async def scenario(host, servers):
            return await host.call("/once/1")

        response = run(scenario, {"notes": ["c"]})
        self.assertEqual(503, response.status)
        self.assertIn("retry-after", response.headers)


class OwnAnswerTest(TestCase):
    """A caller receives only the response to its own request."""

    def test_response_to_another_request_is_not_forwarded(self):
        async def scenario(host, servers):
            async def cross(exchange):
                await exchange.answer(b"other's", request_id="other")

            all_scripts(servers, cross)
            return await host.call("/once/1")

        response = run(scenario)
        self.assertEqual(502, response.status)
        self.assertNotIn(b"other's", response.body)

    def test_unsigned_success_is_not_forwarded(self):
        async def scenario(host, servers):
            async def forge(exchange):
                await exchange.answer(b"forged", signed=False)

            all_scripts(servers, forge)
            return await host.call("/once/1")

        response = run(scenario)
        self.assertEqual(502, response.status)
        self.assertNotIn(b"forged", response.body)

    def test_surplus_bytes_after_a_response_close_the_connection(self):
        async def scenario(host, servers):
            async def twice(exchange):
                head = exchange.head(length=4)
                await exchange.send(head + b"done" + head + b"more")

            servers["a"].scripts = [twice, lambda exchange: exchange.answer(b"next")]
            first = await host.call("/once/1", request_id="r1")
            second = await host.call("/once/1", request_id="r2")
            return first.body, second.body, servers["a"].connections_count

        self.assertEqual((b"done", b"next", 2), run(scenario, {"labels": ["a"]}))

    def test_late_surplus_response_is_not_taken_for_the_next_one(self):
        async def scenario(host, servers):
            async def twice(exchange):
                await exchange.answer(b"done")
                await exchange.send(exchange.head(length=4) + b"more")

            servers["a"].scripts = [twice, lambda exchange: exchange.answer(b"next")]
            first = await host.call("/once/1", request_id="r1")
            await anyio.sleep(0.05)
            second = await host.call("/once/1", request_id="r2")
            return first.body, second.body

        self.assertEqual((b"done", b"next"), run(scenario, {"labels": ["a"]}))

    def test_unframed_response_is_complete_at_close(self):
        async def scenario(host, servers):
            async def unframed(exchange):
                await exchange.send(exchange.head() + b"to the end")
                raise Hangup

            all_scripts(servers, unframed)
            return await host.call("/once/1")

        response = run(scenario)
        self.assertEqual((200, b"to the end"), (response.status, response.body))

    def test_unframed_response_is_incomplete_at_reset(self):
        async def scenario(host, servers):
            async def unframed(exchange):
                await exchange.send(exchange.head() + b"not to the")
                await anyio.sleep(0.05)
                exchange.reset()
                raise Hangup

            all_scripts(servers, unframed)
            return await host.call("/once/1")

        self.assertEqual(502, run(scenario).status)

    def test_truncated_response_is_incomplete(self):
        async def scenario(host, servers):
            async def short(exchange):
                await exchange.send(exchange.head(length=10) + b"half")
                raise Hangup

            all_scripts(servers, short)
            return await host.call("/once/1")

        self.assertEqual(502, run(scenario).status)


def event(number):
    """Return one server-sent event."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


CHUNKED = b"Transfer-Encoding: chunked\r\nContent-Type: text/event-stream"


def chunk(data):
    """Return one chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def stream_of(first, last, stop_after=None, partial_event=b""):
    """Return a script that streams events, optionally truncated after one of them."""

    async def script(exchange):
        await exchange.send(exchange.head(extra=CHUNKED))
        for number in range(first, last + 1):
            await exchange.send(chunk(event(number)))
            if number == stop_after:
                if partial_event:
                    await exchange.send(chunk(partial_event))
                raise Hangup
        await exchange.send(b"0\r\n\r\n")

    return script


class StreamTest(TestCase):
    """Streams arrive complete and in order, or are recognizably incomplete."""

    def expect(self, last):
        return b"".join(event(number) for number in range(1, last + 1))

    def test_complete_stream_is_forwarded(self):
        async def scenario(host, servers):
            all_scripts(servers, stream_of(1, 5))
            return await host.call("/stream/1")

        response = run(scenario)
        self.assertEqual(
            (200, self.expect(5), True),
            (response.status, response.body, response.is_whole),
        )

    def test_broken_stream_resumes_elsewhere_after_the_last_complete_event(self):
        async def scenario(host, servers):
            resumed_after = []

            async def resume(exchange):
                resumed_after.append(exchange.headers.get("last-event-id"))
                await stream_of(4, 6)(exchange)

            # Whichever upstream is second resumes where the first one broke off.
            servers["c"].scripts = [self.break_then_resume(servers, "d", resume)]
            servers["d"].scripts = [self.break_then_resume(servers, "c", resume)]
            return await host.call("/stream/1"), resumed_after

        response, resumed_after = run(scenario)
        self.assertEqual(["3"], resumed_after)
        self.assertEqual((self.expect(6), True), (response.body, response.is_whole))

    def break_then_resume(self, servers, other, resume):
        async def script(exchange):
            servers[other].scripts = [resume]
            await stream_of(1, 9, stop_after=3, partial_event=b"id: 4\ndata: ha")(
                exchange
            )

        return script

    def test_repeated_events_are_dropped(self):
        async def scenario(host, servers):
            again = stream_of(1, 6)
            servers["c"].scripts = [self.break_then_resume(servers, "d", again)]
            servers["d"].scripts = [self.break_then_resume(servers, "c", again)]
            return await host.call("/stream/1")

        response = run(scenario)
        self.assertEqual((self.expect(6), True), (response.body, response.is_whole))

    def test_stream_that_is_not_resumable_ends_truncated(self):
        async def scenario(host, servers):
            all_scripts(
                servers, stream_of(1, 9, stop_after=3, partial_event=b"id: 4\ndata: h")
            )
            return await host.call("/brittle/1"), ran(servers)

        response, received = run(scenario)
        self.assertEqual((self.expect(3), False), (response.body, response.is_whole))
        self.assertEqual(1, len(received))

    def test_returning_caller_receives_the_remaining_events(self):
        async def scenario(host, servers):
            all_scripts(servers, stream_of(4, 6))
            response = await host.call("/stream/1", headers={"Last-Event-Id": "3"})
            (received,) = [item for one in servers.values() for item in one.requests]
            return response, received.headers["last-event-id"]

        response, resumed_after = run(scenario)
        self.assertEqual("3", resumed_after)
        self.assertEqual(b"".join(event(number) for number in (4, 5, 6)), response.body)

    def test_disconnect_of_the_caller_stops_the_upstream(self):
        async def scenario(host, servers):
            async def endless(exchange):
                await exchange.send(exchange.head(extra=CHUNKED))
                number = 0
                while True:
                    number += 1
                    await exchange.send(chunk(event(number)))
                    await anyio.sleep(0.005)

            all_scripts(servers, endless)
            with anyio.move_on_after(0.2):
                await host.call("/stream/1")
            while any(upstream.open_count for upstream in servers.values()):
                await anyio.sleep(0.005)
            return True

        self.assertTrue(run(scenario))


class ConfigurationAgeTest(TestCase):
    def test_key_is_rejected_after_a_long_outage_of_the_store(self):
        async def scenario(host, servers):
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

    def test_revoked_key_is_rejected_once_the_change_is_received(self):
        async def scenario(host, servers):
            before = (await host.call("/once/1")).status
            tree = make_tree(2, nodes={"/": make_tree().nodes["/"]})
            host.store.write("config/main", tree)
            while host.daemon.follower.revision < 2:
                await anyio.sleep(0.005)
            return before, (await host.call("/once/1")).status

        self.assertEqual((200, 401), run(scenario))

    def test_invalid_configuration_is_rejected_and_confirms_no_keys(self):
        async def scenario(host, servers):
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
    def test_leaving_upstream_receives_no_new_requests(self):
        async def scenario(host, servers):
            list_upstream(host.store, servers["a"], "labels", "leaving")
            upstreams = host.daemon.scheduler._scheduler.upstreams
            while upstreams.get("a").entry.state != "leaving":
                await anyio.sleep(0.005)
            for number in range(6):
                await host.call("/once/1", request_id=f"r{number}")
            host.store.delete("upstreams/a")
            while upstreams.get("a") is not None:
                await anyio.sleep(0.005)
            return len(servers["a"].requests), len(servers["b"].requests)

        self.assertEqual((0, 6), run(scenario))


class CheapRefusalTest(TestCase):
    """Refusals are cheap, since a busy workspace gets thousands of them.

    Guards against three costs: the state of every upstream in each refusal, a task that
    watches the caller, and a cancellation event for a request that was refused already.
    """

    def refuse(self, count):
        events, tasks = Counter(), Counter()

        async def scenario(host, servers):
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
                responses = [
                    await host.call("/once/1", request_id=f"r{number}")
                    for number in range(count)
                ]
            (explained,) = host.daemon.scheduler.decisions(f"r{count - 1}")
            return responses, explained.action

        responses, refusal = run(scenario, {"labels": ["a"]})
        return responses, refusal, events, tasks

    def test_refusal_takes_one_event_and_no_task(self):
        responses, refusal, events, tasks = self.refuse(5)
        refused = [item for item in responses if item.status == 429]
        served = len(responses) - len(refused)
        self.assertGreaterEqual(len(refused), 4)
        self.assertEqual(len(responses), events["RequestArrived"])
        self.assertEqual(0, events["RequestCancelled"])
        self.assertEqual(served, tasks["watch"])
        self.assertIn("tokens sent by all", refusal.evidence)
        self.assertNotIn("upstreams", refusal.evidence)
