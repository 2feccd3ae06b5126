"""Every stream arrives complete and in order, and goes to its own caller."""

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
    def cut_everywhere(self):
        """Return what callers saw of streams cut at every position."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            seen = []
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                for position in range(1, LENGTH + 1):
                    runner.engine.faults = EngineFaults(cut_after_count=position)
                    prompt = f"cut after {position}"
                    seen.append(await host.stream(prompt, max_tokens=LENGTH))
            return seen

        return self.run_scenario(scenario)

    def test_stream_cut_at_every_position_is_resumed_or_ends_with_an_error(self):
        seen = self.cut_everywhere()
        self.assert_holds(check_responses(seen, LENGTH))
        # Three resumes carry a stream over cuts after every second event or more.
        self.assertEqual([True] * 5, [saw.is_whole for saw in seen[1:]])

    def repeat_an_event(self):
        """Return what a caller saw of a stream with one event sent twice."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = EngineFaults(repeat_position=2)
                return [await host.stream("repeated", max_tokens=LENGTH)]

        return self.run_scenario(scenario)

    def test_repeated_event_is_delivered_once(self):
        self.assert_holds(check_responses(self.repeat_an_event(), LENGTH))

    def test_relay_without_order_is_caught(self):
        def admit_all(self, event):
            self.next_position += 1
            return True

        with mock.patch.object(SequenceFilter, "admit", admit_all):
            seen = self.repeat_an_event()
        self.assertNotEqual([], check_responses(seen, LENGTH))

    def test_engine_that_dies_in_mid_stream_ends_it_with_an_explicit_error(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")
                seen = []

                async def ask():
                    seen.append(await host.stream("to be cut", max_tokens=LENGTH))

                tasks.start_soon(ask)
                await until(lambda: runner.engine.started)
                await until(lambda: len(runner.engine.started[0].tokens) >= 2)
                runner.engine.crash()
                await until(lambda: seen)
            return seen

        (saw,) = self.run_scenario(scenario)
        self.assert_holds(check_responses([saw], LENGTH))
        self.assertFalse(saw.is_whole)
        self.assertEqual("upstream_failed", saw.error_code)

    def test_frozen_engine_is_given_up_and_another_one_answers(self):
        async def scenario(bench):
            frozen = bench.add_runner("lektor-1")
            extra = "[retry]\nsilence_timeout_seconds = 0.2\n"
            async with (
                bench.run_host(extra=extra) as host,
                anyio.create_task_group() as tasks,
            ):
                await host.until_ready("lektor-1")
                seen = []

                async def ask():
                    seen.append(
                        await host.stream("through a freeze", max_tokens=LENGTH)
                    )

                frozen.engine.faults = EngineFaults(is_frozen=True)
                tasks.start_soon(ask)
                bench.add_runner("lektor-2")
                await until(lambda: seen)
                frozen.engine.faults = EngineFaults()
            return seen

        seen = self.run_scenario(scenario)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assertTrue(seen[0].is_whole)


class ResumeElsewhereTest(ScenarioCase):
    async def first_events(self, host, prompt, count):
        """Read some events, then break off; return them and the last id."""
        body = {
            "model": "lektor",
            "prompt": prompt,
            "max_tokens": LENGTH,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {KEY}"}
        got = b""
        async with host.client.stream(
            "POST", "/v1/completions", json=body, headers=headers
        ) as response:
            token = response.headers["rampwick-stream"]
            async for data in response.aiter_raw():
                got += data
                if got.count(b"\n\n") >= count:
                    break
        events = got.split(b"\n\n")[:count]
        last_id = events[-1].split(b"\n")[0].removeprefix(b"id: ").decode()
        return b"\n\n".join(events) + b"\n\n", token, last_id

    async def resume(self, host, token, last_id, key=KEY):
        headers = {"Authorization": f"Bearer {key}", "Last-Event-ID": last_id}
        return await host.client.get(f"/v1/streams/{token}", headers=headers)

    def test_caller_comes_back_to_another_host(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.02)
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
            ):
                await one.until_ready("lektor-1")
                await two.until_ready("lektor-1")
                got, token, last_id = await self.first_events(one, "moving", 2)
                # The engine goes on although the first host's caller is gone: the
                # cancellation that it sends is what ends such streams.
                rest = await self.resume(two, token, last_id)
                stranger = await self.resume(two, token, last_id, OTHER_KEY)
                forged = await self.resume(two, token[:-2] + "xx", last_id)
                return got, rest, stranger, forged

        with mock.patch(
            "rampwick_router.upstream._client.UpstreamClient.cancel", do_nothing
        ):
            got, rest, stranger, forged = self.run_scenario(scenario)
        self.assertEqual(200, rest.status_code, rest.text)
        saw = read_stream("moving", 200, got + rest.content)
        self.assert_holds(check_responses([saw], LENGTH))
        self.assertTrue(saw.is_whole)
        self.assertEqual(410, stranger.status_code)
        self.assertEqual(410, forged.status_code)

    def test_host_dies_in_mid_stream_and_the_caller_goes_to_another(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.1)
            async with bench.run_host("entry-2") as two:
                async with bench.run_host("entry-1") as one:
                    await one.until_ready("lektor-1")
                    await two.until_ready("lektor-1")
                    # A dead host tells nobody that its callers are gone.
                    drop_cancellations(one.daemon.scheduler)
                    got, token, last_id = await self.first_events(one, "orphan", 2)
                return got, await self.resume(two, token, last_id)

        got, rest = self.run_scenario(scenario)
        saw = read_stream("orphan", rest.status_code, got + rest.content)
        self.assert_holds(check_responses([saw], LENGTH))
        self.assertTrue(saw.is_whole)

    def test_resumed_twice_at_once_gives_both_the_same(self):
        async def scenario(bench):
            bench.add_runner("lektor-1", step_seconds=0.02)
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")
                got, token, last_id = await self.first_events(host, "twice", 1)
                rests = []

                async def ask():
                    rests.append(await self.resume(host, token, last_id))

                tasks.start_soon(ask)
                tasks.start_soon(ask)
                await until(lambda: len(rests) == 2)
                return [
                    read_stream("twice", rest.status_code, got + rest.content)
                    for rest in rests
                ]

        with mock.patch(
            "rampwick_router.upstream._client.UpstreamClient.cancel", do_nothing
        ):
            seen = self.run_scenario(scenario)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assertTrue(all(saw.is_whole for saw in seen))


class OwnAnswerTest(ScenarioCase):
    def test_many_callers_each_get_their_own_answer(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            bench.add_runner("lektor-2")
            sent = [f"prompt number {number}" for number in range(40)]
            seen = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1", "lektor-2")

                async def ask(prompt):
                    seen.append(await host.stream(prompt, max_tokens=LENGTH))

                for prompt in sent:
                    tasks.start_soon(ask, prompt)
                await until(lambda: len(seen) == len(sent))
            return sent, seen

        sent, seen = self.run_scenario(scenario)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assert_holds(check_final_responses(seen, sent))
        self.assertTrue(all(saw.is_whole for saw in seen))

    def test_answer_to_another_attempt_is_not_passed_on(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = EngineFaults(crossed_attempt_id="another")
                extra = {"Rampwick-Repeat": "never"}
                return await host.stream("crossed", max_tokens=LENGTH, headers=extra)

        saw = self.run_scenario(scenario)
        self.assertEqual((502, "maybe"), (saw.status, saw.was_run))

    def test_cancellation_that_races_the_end_hurts_nobody(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                for number in range(8):
                    with anyio.move_on_after(0.004 * number):
                        await host.stream(f"left {number}", max_tokens=LENGTH)
                seen = [await host.stream("stays", max_tokens=LENGTH)]
                await until(lambda: not host.upstream("lektor-1").own_attempts)
                await until(lambda: runner.engine.running_count == 0)
            return seen

        seen = self.run_scenario(scenario)
        self.assert_holds(check_responses(seen, LENGTH))
        self.assertTrue(seen[0].is_whole)

    def test_caller_that_goes_away_has_its_attempt_cancelled(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", step_seconds=0.05)
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                with anyio.move_on_after(0.2):
                    await host.stream("left", max_tokens=1000)
                await until(lambda: runner.engine.cancelled)

        self.run_scenario(scenario)

    def test_ids_differ_after_a_restart(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            for _ in range(2):
                async with bench.run_host() as host:
                    await host.until_ready("lektor-1")
                    await host.stream("same name, other life")
            return [stream.attempt_id for stream in runner.engine.started]

        first, second = self.run_scenario(scenario)
        self.assertNotEqual(first, second)


def drop_cancellations(scheduler):
    """Have a scheduler's task not hear of callers that go away."""
    post = scheduler.post

    def post_others(event):
        if not isinstance(event, RequestCancelled):
            post(event)

    scheduler.post = post_others


async def do_nothing(*arguments, **options):
    """Stand in for a call that shall have no effect."""


class EventSplitterTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.data())
    def test_events_are_the_same_however_bytes_are_grouped(self, data):
        count = data.draw(st.integers(0, 8))
        whole = b"".join(b"id: %d\ndata: x%d\n\n" % (at, at) for at in range(count))
        cuts = sorted(data.draw(st.lists(st.integers(0, len(whole)), max_size=6)))
        splitter = EventSplitter(1000, "peer")
        events = []
        for start, end in zip([0, *cuts], [*cuts, len(whole)], strict=True):
            events += splitter.feed(whole[start:end])
        expected = [StreamEvent(at, b"x%d" % at) for at in range(count)]
        self.assertEqual(expected, events)

    @settings(derandomize=True, deadline=None)
    @given(st.binary(max_size=200))
    def test_any_bytes_give_events_or_an_attempt_error(self, data):
        splitter = EventSplitter(64, "peer")
        try:
            splitter.feed(data)
        except AttemptError as error:
            self.assertEqual("peer", error.peer)

    def test_gap_is_an_error(self):
        keeper = SequenceFilter(0, "peer")
        self.assertTrue(keeper.admit(StreamEvent(0, b"")))
        self.assertFalse(keeper.admit(StreamEvent(0, b"")))
        self.assertRaises(AttemptError, keeper.admit, StreamEvent(2, b""))


class StrangerTest(ScenarioCase):
    def test_hostile_requests_get_a_clear_error(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            answers = []
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
                    answers.append(
                        await host.client.post(
                            "/v1/completions", content=body, headers=headers
                        )
                    )
                slow = await send_half(host.addresses.entry)
                self.assertEqual(200, (await host.complete()).status_code)
            return answers, slow

        answers, slow = self.run_scenario(scenario)
        self.assertIn(b" 408 ", slow)
        for answer in answers:
            self.assertTrue(400 <= answer.status_code < 500, answer.text)
            self.assertEqual("no", answer.json()["error"]["was_run"])


async def send_half(address):
    """Send a request whose body never comes whole; return the answer's head."""
    host, _, port = address.rpartition(":")
    head = (
        f"POST /v1/completions HTTP/1.1\r\nHost: {address}\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 10\r\n\r\n{{"
    )
    async with await anyio.connect_tcp(host, int(port)) as stream:
        await stream.send(head.encode())
        return await stream.receive()
