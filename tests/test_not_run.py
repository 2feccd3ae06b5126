"""Refusals that report "not run" are correct; marked requests run at most once."""

from unittest import mock

import anyio
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_platform import HttpObjectApi, VersionConflictError
from rampwick_policy import (
    LifecycleError,
    Outcome,
    RequestLifecycle,
    RunState,
    decide_claims,
    withdraw_claims,
)
from rampwick_schema import Claim, ClaimShard
from rampwick_standin import EngineFaults, PlatformFaults

from .bench import KEY, until
from .case import ScenarioCase
from .history import check_at_most_once, check_not_run, check_responses

ONCE = {"Rampwick-Repeat": "never"}


def keyed(key):
    """Return the headers of a request that runs at most once on all hosts."""
    return {"Idempotency-Key": key}


class NotRunTest(ScenarioCase):
    def run_with(self, faults, headers):
        """Return the caller's answers and the runner's requests under faults."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = faults
                extra = {"Rampwick-Deadline-Seconds": "0.5", **headers}
                answer = await host.stream("the one", headers=extra)
            return [answer], bench.ran()

        return self.run_scenario(scenario)

    def test_lost_answer_of_a_marked_request_reports_maybe(self):
        answers, ran = self.run_with(EngineFaults(loses_answers=True), ONCE)
        self.assertEqual(["the one"], ran)
        self.assertEqual("maybe", answers[0].was_run)
        self.assert_holds(check_not_run(answers, ran))
        self.assert_holds(check_at_most_once(ran, ["the one"]))

    def test_checks_detect_a_scheduler_that_treats_a_lost_answer_as_refusal(self):
        proves = mock.PropertyMock(return_value=True)
        with mock.patch.object(Outcome, "proves_not_run", proves):
            answers, ran = self.run_with(EngineFaults(loses_answers=True), ONCE)
        found = check_not_run(answers, ran) + check_at_most_once(ran, ["the one"])
        self.assertNotEqual([], found)

    def test_refusal_by_a_busy_upstream_reports_not_run(self):
        answers, ran = self.run_with(EngineFaults(is_busy=True), ONCE)
        self.assertEqual("no", answers[0].was_run)
        self.assert_holds(check_not_run(answers, ran))

    def test_frozen_upstream_past_the_deadline_reports_maybe(self):
        answers, _ = self.run_with(EngineFaults(is_frozen=True), ONCE)
        self.assertEqual("maybe", answers[0].was_run)

    def test_request_that_was_never_sent_reports_no(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                await host.until_ready()
                answer = await host.stream("no runner at all")
            return [answer], bench.ran()

        answers, ran = self.run_scenario(scenario)
        self.assertEqual("no", answers[0].was_run)
        self.assert_holds(check_not_run(answers, ran))

    def test_deadline_in_the_queue_is_refused_immediately_as_not_run(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", slots_count=1, step_seconds=0.05)
            answers = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def send(prompt, headers):
                    answers.append(await host.stream(prompt, headers=headers))

                async def occupy():
                    await host.stream("long", max_tokens=1000)

                tasks.start_soon(occupy)
                await until(lambda: runner.engine.started)
                quick = {"Rampwick-Deadline-Seconds": "0.2"}
                # The second may be queued at the engine; the third waits at the host.
                tasks.start_soon(send, "second", quick)
                tasks.start_soon(send, "third", quick)
                await until(lambda: len(answers) == 2)
                tasks.cancel_scope.cancel()
            return answers, bench.ran()

        answers, ran = self.run_scenario(scenario)
        self.assert_holds(check_not_run(answers, ran))
        allowed = {"deadline_passed", "deadline_unreachable"}
        self.assertEqual(set(), {answer.error_code for answer in answers} - allowed)

    def test_service_call_with_a_lost_answer_is_not_retried(self):
        async def scenario(bench):
            service = bench.add_service("portal-1", "portal")
            bench.add_service("portal-2", "portal")
            async with bench.run_host() as host:
                await host.until_ready()
                await until(lambda: host.upstream("portal-2"))
                for each in bench.services.values():
                    each.lost_answers_count = 1
                headers = {"Authorization": f"Bearer {KEY}"}
                url = "/services/portal/catalogue?sheet=7"
                lost = await host.client.post(url, content=b"x", headers=headers)
                for each in bench.services.values():
                    each.lost_answers_count = 0
                followup = await host.client.get(url, headers=headers)
            calls = [call for each in bench.services.values() for call in each.calls]
            return lost, followup, calls, service

        lost, followup, calls, _ = self.run_scenario(scenario)
        self.assertNotEqual("no", lost.json()["error"]["was_run"])
        self.assertNotIn("retry-after", lost.headers)
        self.assertEqual(200, followup.status_code)
        self.assertEqual(1, sum(method == "POST" for method, _, _ in calls))


class AtMostOnceTest(ScenarioCase):
    def repeat_over_hosts(self, delay_seconds=0.0):
        """Return the answers to one key sent to three hosts concurrently."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            answers = []
            async with (
                bench.run_host("entry-1") as one,
                bench.run_host("entry-2") as two,
                bench.run_host("entry-3") as three,
                anyio.create_task_group() as tasks,
            ):
                hosts = [one, two, three]
                for host in hosts:
                    await host.until_ready("lektor-1")
                bench.platform.set_faults(PlatformFaults(delay_seconds=delay_seconds))

                async def send(host):
                    answers.append(await host.stream("write 7", headers=keyed("k7")))

                for host in hosts * 3:
                    tasks.start_soon(send, host)
                await until(lambda: len(answers) == 9)
            return answers, bench.ran()

        return self.run_scenario(scenario)

    def test_concurrent_retries_at_several_hosts_run_once(self):
        answers, ran = self.repeat_over_hosts()
        self.assert_holds(check_at_most_once(ran, ["write 7"]))
        self.assert_holds(check_responses(answers, 4))
        self.assertEqual(1, sum(answer.is_whole for answer in answers))
        others = {answer.error_code for answer in answers if not answer.is_whole}
        self.assertEqual({"key_already_used"}, others)

    def test_checks_detect_an_unconditional_claim(self):
        async def put_anyway(self, key, value, expected_version):
            while True:
                stored = await self.get(key)
                try:
                    return await put(self, key, value, stored.version if stored else 0)
                except VersionConflictError:
                    continue

        put = HttpObjectApi.put
        with mock.patch.object(HttpObjectApi, "put", put_anyway):
            # The delay makes every host read before any host writes.
            _, ran = self.repeat_over_hosts(delay_seconds=0.2)
        self.assertNotEqual([], check_at_most_once(ran, ["write 7"]))

    def send_under(self, faults, count=1):
        """Return answers and executed prompts of a key sent under platform faults."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                bench.platform.set_faults(faults)
                answers = [
                    await host.stream("write 8", headers=keyed("k8"))
                    for _ in range(count)
                ]
                bench.platform.set_faults(PlatformFaults())
                answers.append(await host.stream("write 8", headers=keyed("k8")))
            return answers, bench.ran()

        return self.run_scenario(scenario)

    def test_claim_is_won_if_the_response_to_its_write_is_lost(self):
        answers, ran = self.send_under(PlatformFaults(lost_answers_count=1))
        self.assertEqual(["write 8"], ran)
        self.assertTrue(answers[0].is_whole)
        self.assertEqual("key_already_used", answers[1].error_code)

    def test_two_lost_responses_to_claim_writes(self):
        answers, ran = self.send_under(PlatformFaults(lost_answers_count=2))
        self.assert_holds(check_at_most_once(ran, ["write 8"]))
        self.assert_holds(check_not_run(answers[:1], ran[1:]))

    def test_request_is_refused_without_a_claim_while_the_platform_is_down(self):
        answers, ran = self.send_under(PlatformFaults(is_down=True), count=2)
        self.assertEqual(["no", "no"], [answer.was_run for answer in answers[:2]])
        self.assertEqual("claim_unavailable", answers[0].error_code)
        self.assertEqual(["write 8"], ran)
        self.assertTrue(answers[2].is_whole)

    def test_slow_platform_only_delays_requests(self):
        answers, ran = self.send_under(PlatformFaults(delay_seconds=0.2))
        self.assertEqual(["write 8"], ran)
        self.assertTrue(answers[0].is_whole)

    def test_key_of_a_request_that_did_not_run_is_released(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = EngineFaults(is_busy=True)
                extra = {"Rampwick-Deadline-Seconds": "0.3", **keyed("k9")}
                refused = await host.stream("write 9", headers=extra)
                runner.engine.faults = EngineFaults()
                await until(lambda: b"k9" not in shard_text(bench))
                with anyio.fail_after(10):
                    answer = refused
                    while not answer.is_whole:
                        answer = await host.stream("write 9", headers=keyed("k9"))
            return refused, answer, bench.ran()

        refused, answer, ran = self.run_scenario(scenario)
        self.assertEqual("no", refused.was_run)
        self.assertTrue(answer.is_whole)
        self.assertEqual(["write 9"], ran)

    def test_keys_are_scoped_by_workspace(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                first = await host.stream("a", headers=keyed("same"))
                second = await host.stream("b", key="key-drafts", headers=keyed("same"))
            return first, second

        first, second = self.run_scenario(scenario)
        self.assertTrue(first.is_whole and second.is_whole)

    def test_host_paused_until_its_claim_expired_does_not_dispatch(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            extra = "[claims]\nwindow_seconds = 1.0\n"
            async with bench.run_host(extra=extra) as host:
                await host.until_ready("lektor-1")
                claims = host.daemon._context.claims
                claim = claims.claim

                async def claim_then_pause(workspace, key):
                    won = await claim(workspace, key)
                    await anyio.sleep(0.6)
                    return won

                with mock.patch.object(claims, "claim", claim_then_pause):
                    answer = await host.stream("late", headers=keyed("late"))
            return [answer], bench.ran()

        answers, ran = self.run_scenario(scenario)
        self.assertEqual([], ran)
        self.assertEqual("claim_expired", answers[0].error_code)
        self.assert_holds(check_not_run(answers, ran))


def shard_text(bench):
    """Return the stored bytes of all claims."""
    items = bench.platform.store.list_items("claims/")
    return b"".join(item.value for item in items)


WRITE_IDS = st.integers(0, 5).map(str)
CLAIMS = st.builds(
    Claim,
    key_hash=st.sampled_from(["a", "b", "c"]),
    write_id=WRITE_IDS,
    expires_at_seconds=st.sampled_from([0.0, 1000.0]),
)


class ClaimDecisionTest(TestCase):
    @settings(derandomize=True, deadline=None)
    @given(st.lists(st.lists(CLAIMS, max_size=4), max_size=6))
    def test_a_key_has_one_owner_until_it_expires(self, batches):
        shard = ClaimShard(claims=[])
        owners = {}
        for batch in batches:
            decision = decide_claims(shard, batch, now_seconds=500.0)
            shard = decision.shard
            for claim in batch:
                if claim.write_id in decision.won and claim.expires_at_seconds > 500:
                    held = [item for item in shard.claims if item == claim]
                    for item in held:
                        owner = owners.setdefault(item.key_hash, item.write_id)
                        self.assertEqual(owner, item.write_id)

    def test_expired_claim_is_kept_for_the_clock_margin(self):
        held = ClaimShard(claims=[Claim("a", "old", 100.0)])
        wanted = [Claim("a", "new", 900.0)]
        self.assertEqual(frozenset({"new"}), decide_claims(held, wanted, 130.0).lost)
        self.assertEqual(frozenset({"new"}), decide_claims(held, wanted, 161.0).won)

    def test_key_of_a_withdrawn_claim_is_free(self):
        held = ClaimShard(claims=[Claim("a", "one", 1.0), Claim("b", "two", 1.0)])
        left = withdraw_claims(held, ["one"])
        self.assertEqual(["two"], [claim.write_id for claim in left.claims])


class LifecycleTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.booleans(), st.lists(st.integers(0, 8), max_size=25))
    def test_every_sequence_of_events_gives_at_most_one_final_answer(
        self, repeatable, steps
    ):
        lifecycle = RequestLifecycle("r", 10.0, repeatable, 3)
        finals = 0
        attempts = 0
        may_have_run = False
        for step in steps:
            current = lifecycle.attempt_id
            if step == 0 and lifecycle.may_retry(0.0) or step == 0 and not attempts:
                if lifecycle.is_waiting and not lifecycle.has_ended:
                    attempts += 1
                    lifecycle.start(f"r.{attempts}")
                    # A non-repeatable request never restarts after it may have run.
                    self.assertFalse(may_have_run and not repeatable)
            elif step == 1:
                if lifecycle.accept(current):
                    may_have_run = True
            elif step == 2:
                lifecycle.deliver(current)
            elif step in (3, 4, 5):
                outcome = (Outcome.BROKEN, Outcome.BUSY, Outcome.STALE)[step - 3]
                if lifecycle.fail(current, outcome) and not outcome.proves_not_run:
                    may_have_run = True
            elif step == 6:
                finals += lifecycle.finish(current)
            elif step == 7:
                finals += lifecycle.end()
            else:
                self.assertFalse(lifecycle.fail("older attempt", Outcome.BROKEN))
                self.assertFalse(lifecycle.finish("older attempt"))
            if may_have_run:
                self.assertGreater(lifecycle.run_state, RunState.REFUSED)
            self.assertLessEqual(finals, 1)
            self.assertEqual(bool(finals), lifecycle.has_ended)

    def test_marked_request_can_not_be_restarted(self):
        lifecycle = RequestLifecycle("r", 10.0, False, 3)
        lifecycle.start("r.1")
        lifecycle.fail("r.1", Outcome.BROKEN)
        self.assertFalse(lifecycle.may_retry(0.0))
        self.assertRaises(LifecycleError, lifecycle.start, "r.2")
