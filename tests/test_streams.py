"""Streams arrive complete and in order at the caller that requested them."""

from unittest import mock

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import RequestCancelled
from rampwick_router._errors import AttemptError
from rampwick_router.upstream._sse import EventSplitter, SequenceFilter, StreamEvent
from rampwick_standin import EngineFaults

from .bench import KEY, OTHER_KEY, until
from .case import ScenarioCase
from .history import check_final_responses, check_responses, read_stream

LENGTH = 6


class CutStreamTest(ScenarioCase):
    def cut_at_each_position(self):
        """Return the responses to streams that are cut at each position."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            responses = []
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                for position in range(1, LENGTH + 1):
                    runner.engine.faults = EngineFaults(cut_after_count=position)
                    prompt = f"cut after {position}"
                    responses.append(await host.stream(prompt, max_tokens=LENGTH))
            return responses

        return self.run_scenario(scenario)

    def test_stream_cut_at_any_position_is_resumed_or_ends_with_an_error(self):
        responses = self.cut_at_each_position()
        self.assert_holds(check_responses(responses, LENGTH))
        # Three resumptions suffice for cuts after every second event or more.
        self.assertEqual([True] * 5, [response.is_whole for response in responses[1:]])

    def test_stream_torn_inside_any_event_is_never_framed_as_complete(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            responses = []
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                # The usage and the end mark follow the tokens.
                for position in range(LENGTH + 2):
                    runner.engine.faults = EngineFaults(torn_after_count=position)
                    prompt = f"torn after {position}"
                    responses.append(await host.stream(prompt, max_tokens=LENGTH))
            return responses

        self.assert_holds(check_responses(self.run_scenario(scenario), LENGTH))

    def repeat_an_event(self):
        """Return the response to a stream with one event sent twice."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = EngineFaults(repeat_position=2)
                return [await host.stream("repeated", max_tokens=LENGTH)]

        return self.run_scenario(scenario)

    def test_repeated_event_is_delivered_once(self):
        self.assert_holds(check_responses(self.repeat_an_event(), LENGTH))

    def test_checker_detects_a_relay_that_ignores_event_order(self):
        def admit_all(self, event):
            self.next_position += 1
            return True

        with mock.patch.object(SequenceFilter, "admit", admit_all):
            responses = self.repeat_an_event()
        self.assertNotEqual([], check_responses(responses, LENGTH))

    def test_engine_crash_in_mid_stream_ends_it_with_an_explicit_error(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")
                responses = []

                async def send_request():
                    responses.append(await host.stream("to be cut", max_tokens=LENGTH))

                tasks.start_soon(send_request)
                await until(lambda: runner.engine.started)
                await until(lambda: len(runner.engine.started[0].tokens) >= 2)
                runner.engine.crash()
                await until(lambda: responses)
            return responses

        (response,) = self.run_scenario(scenario)
        self.assert_holds(check_responses([response], LENGTH))
        self.assertFalse(response.is_whole)
        self.assertEqual("upstream_failed", response.error_code)

    def test_request_at_a_frozen_engine_is_retried_at_another_one(self):
        async def scenario(bench):
            frozen = bench.add_runner("lektor-1")
            extra = "[retry]\nsilence_timeout_seconds = 0.2\n"
            async with (
                bench.run_host(extra=extra) as host,
                anyio.create_task_group() as tasks,
            ):
                await host.until_ready("lektor-1")
                responses = []

                async def send_request():
                    responses.append(
                        await host.stream("through a freeze", max_tokens=LENGTH)
                    )

                frozen.engine.faults = EngineFaults(is_frozen=True)
                tasks.start_soon(send_request)
                bench.add_runner("lektor-2")
                await until(lambda: responses)
                frozen.engine.faults = EngineFaults()
            return responses

        responses = self.run_scenario(scenario)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assertTrue(responses[0].is_whole)


class ResumeElsewhereTest(ScenarioCase):
    async def first_events(self, host, prompt, count):
        """Read some events, then disconnect; return them, the token and the last id."""
        body = {
            "model": "lektor",
            "prompt": prompt,
            "max_tokens": LENGTH,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {KEY}"}
        received = b""
        async with host.client.stream(
            "POST", "/v1/completions", json=body, headers=headers
        ) as response:
            token = response.headers["rampwick-stream"]
            async for data in response.aiter_raw():
                received += data
                if received.count(b"\n\n") >= count:
                    break
        events = received.split(b"\n\n")[:count]
        last_id = events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        return b"\n\n".join(events) + b"\n\n", token, last_id

    async def resume(self, host, token, last_id, key=KEY):
        headers = {"Authorization": f"Bearer {key}", "Last-Event-ID": last_id}
        return await host.client.get(f"/v1/streams/{token}", headers=headers)

    def test_caller_resumes_at_another_host(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.02)
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                await one.until_ready("lektor-1")
                await two.until_ready("lektor-1")
                received, token, last_id = await self.first_events(one, "moving", 2)
                # The engine continues although the caller has disconnected, because the
                # host's cancellation is patched out below.
                remainder = await self.resume(two, token, last_id)
                other_workspace = await self.resume(two, token, last_id, OTHER_KEY)
                forged = await self.resume(two, token[:-2] + "xx", last_id)
                return received, remainder, other_workspace, forged

        with mock.patch(
            "rampwick_router.upstream._client.UpstreamClient.cancel", do_nothing
        ):
            received, remainder, other_workspace, forged = self.run_scenario(scenario)
        self.assertEqual(200, remainder.status_code, remainder.text)
        response = read_stream("moving", 200, received + remainder.content)
        self.assert_holds(check_responses([response], LENGTH))
        self.assertTrue(response.is_whole)
        self.assertEqual(410, other_workspace.status_code)
        self.assertEqual(410, forged.status_code)

    def test_caller_resumes_elsewhere_after_a_crash_of_the_host(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.1)
            async with bench.run_host("entry-2") as two:
                async with bench.run_host("entry-1") as one:
                    await one.until_ready("lektor-1")
                    await two.until_ready("lektor-1")
                    # A crashed host does not cancel the attempts of its callers.
                    drop_cancellations(one.daemon.scheduler)
                    received, token, last_id = await self.first_events(one, "orphan", 2)
                return received, await self.resume(two, token, last_id)

        received, remainder = self.run_scenario(scenario)
        response = read_stream(
            "orphan", remainder.status_code, received + remainder.content
        )
        self.assert_holds(check_responses([response], LENGTH))
        self.assertTrue(response.is_whole)

    def test_concurrent_resumptions_receive_the_same_events(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.02)
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")
                received, token, last_id = await self.first_events(host, "twice", 1)
                remainders = []

                async def send_request():
                    remainders.append(await self.resume(host, token, last_id))

                tasks.start_soon(send_request)
                tasks.start_soon(send_request)
                await until(lambda: len(remainders) == 2)
                return [
                    read_stream(
                        "twice", remainder.status_code, received + remainder.content
                    )
                    for remainder in remainders
                ]

        with mock.patch(
            "rampwick_router.upstream._client.UpstreamClient.cancel", do_nothing
        ):
            responses = self.run_scenario(scenario)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assertTrue(all(response.is_whole for response in responses))


class OwnAnswerTest(ScenarioCase):
    def test_many_callers_receive_their_own_responses(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            sent = [f"prompt number {number}" for number in range(40)]
            responses = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1", "lektor-2")

                async def send_request(prompt):
                    responses.append(await host.stream(prompt, max_tokens=LENGTH))

                for prompt in sent:
                    tasks.start_soon(send_request, prompt)
                await until(lambda: len(responses) == len(sent))
            return sent, responses

        sent, responses = self.run_scenario(scenario)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assert_holds(check_final_responses(responses, sent))
        self.assertTrue(all(response.is_whole for response in responses))

    def test_response_to_another_attempt_is_not_forwarded(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = EngineFaults(crossed_attempt_id="another")
                extra = {"Rampwick-Repeat": "never"}
                return await host.stream("crossed", max_tokens=LENGTH, headers=extra)

        response = self.run_scenario(scenario)
        self.assertEqual((502, "maybe"), (response.status, response.was_run))

    def test_cancellation_that_races_the_end_affects_no_other_request(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                for number in range(8):
                    with anyio.move_on_after(0.004 * number):
                        await host.stream(f"left {number}", max_tokens=LENGTH)
                responses = [await host.stream("stays", max_tokens=LENGTH)]
                await until(lambda: not host.upstream("lektor-1").own_attempts)
                await until(lambda: runner.engine.running_count == 0)
            return responses

        responses = self.run_scenario(scenario)
        self.assert_holds(check_responses(responses, LENGTH))
        self.assertTrue(responses[0].is_whole)

    def test_disconnect_of_the_caller_cancels_the_attempt(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                with anyio.move_on_after(0.2):
                    await host.stream("left", max_tokens=1000)
                await until(lambda: runner.engine.cancelled)

        self.run_scenario(scenario)

    def test_attempt_ids_differ_after_a_restart(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            for _ in range(2):
                async with bench.run_host() as host:
                    await host.until_ready("lektor-1")
                    await host.stream("same name, other incarnation")
            return [stream.attempt_id for stream in runner.engine.started]

        first, second = self.run_scenario(scenario)
        self.assertNotEqual(first, second)


def drop_cancellations(scheduler):
    """Make a scheduler task ignore cancelled requests."""
    post = scheduler.post

    def post_others(event):
        if not isinstance(event, RequestCancelled):
            post(event)

    scheduler.post = post_others


async def do_nothing(*arguments, **options):
    """Replace a call that must have no effect."""


class EventSplitterTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.data())
    def test_events_do_not_depend_on_the_boundaries_of_reads(self, data):
        count = data.draw(st.integers(0, 8))
        whole = b"".join(b"id: %d\ndata: x%d\n\n" % (at, at) for at in range(count))
        if data.draw(st.booleans()):
            whole = whole.replace(b"\n", b"\r\n")
        cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=6)))
        splitter = EventSplitter(1000, "peer")
        events = []
        for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
            events += splitter.feed(whole[start:end])
        expected = [StreamEvent(at, b"x%d" % at) for at in range(count)]
        self.assertEqual(expected, events)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_arbitrary_bytes_give_events_or_an_attempt_error(self, data):
        splitter = EventSplitter(64, "peer")
        try:
            splitter.feed(data)
        except AttemptError as error:
            self.assertEqual("peer", error.peer)

    def test_gap_in_positions_is_an_error(self):
        keeper = SequenceFilter(0, "peer")
        self.assertTrue(keeper.admit(StreamEvent(0, b"")))
        self.assertFalse(keeper.admit(StreamEvent(0, b"")))
        self.assertRaises(AttemptError, keeper.admit, StreamEvent(2, b""))


class InvalidRequestTest(ScenarioCase):
    def test_invalid_requests_get_a_client_error(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            responses = []
            extra = "[limits]\nmax_body_bytes = 2048\nbody_timeout_seconds = 0.1\n"
            async with bench.run_host(extra=extra) as host:
                await host.until_ready("lektor-1")
                headers = {"Authorization": f"Bearer {KEY}"}
                for body in (
                    b"",
                    b"{",
                    b"[1]",
                    b'{"model": 3}',
                    b'{"model": "lektor", "prompt": ""}',
                    b'{"model": "lektor", "prompt": "\\ud800"}',
                    b'{"model": "lektor", "prompt": "x", "max_tokens": true}',
                    b'{"model": "lektor", "prompt": "x", "stream": "yes"}',
                    b"x" * 4096,
                    b"[" * 2000,
                ):
                    responses.append(
                        await host.client.post(
                            "/v1/completions", content=body, headers=headers
                        )
                    )
                slow = await send_incomplete(host.addresses.entry)
                self.assertEqual(200, (await host.complete()).status_code)
            return responses, slow

        responses, slow = self.run_scenario(scenario)
        self.assertIn(b" 408 ", slow)
        for response in responses:
            self.assertTrue(400 <= response.status_code < 500, response.text)
            self.assertEqual("no", response.json()["error"]["was_run"])


async def send_incomplete(address):
    """Send a request with an incomplete body; return the start of the response."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 10\r\n\r\n{{"
    )
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head.encode())
        return await stream.receive()
