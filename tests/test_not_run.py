"""A refusal that says a request was not run is true; marked ones run at most once."""

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
    """Return the headers of a request that runs at most once over all hosts."""
    return {"Idempotency-Key": key}


class NotRunTest(ScenarioCase):
    def run_with(self, faults, headers):
        """Return what a caller and the runner saw of a request under faults."""

        async def scenario(bench):
            runner = bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                runner.engine.faults = faults
                extra = {"Rampwick-Deadline-Seconds": "0.5", **headers}
                saw = await host.stream("the one", headers=extra)
            return [saw], bench.ran()

        return self.run_scenario(scenario)

    def test_lost_dispatch_answer_of_a_marked_request_says_maybe(self):
        seen, ran = self.run_with(EngineFaults(loses_answers=True), ONCE)
        self.assertEqual(["the one"], ran)
        self.assertEqual("maybe", seen[0].was_run)
        self.assert_holds(check_not_run(seen, ran))
        self.assert_holds(check_at_most_once(ran, ["the one"]))

    def test_scheduler_that_takes_silence_for_a_refusal_is_caught(self):
        proves = mock.PropertyMock(return_value=True)
        with mock.patch.object(Outcome, "proves_not_run", proves):
            seen, ran = self.run_with(EngineFaults(loses_answers=True), ONCE)
        found = check_not_run(seen, ran) + check_at_most_once(ran, ["the one"])
        self.assertNotEqual([], found)

    def test_busy_upstream_is_a_true_not_run(self):
        seen, ran = self.run_with(EngineFaults(is_busy=True), ONCE)
        self.assertEqual("no", seen[0].was_run)
        self.assert_holds(check_not_run(seen, ran))

    def test_frozen_upstream_past_the_deadline_says_maybe(self):
        seen, _ = self.run_with(EngineFaults(is_frozen=True), ONCE)
        self.assertEqual("maybe", seen[0].was_run)

    def test_request_that_never_left_the_queue_says_no(self):
        async def scenario(bench):
            async with bench.run_host() as host:
                await host.until_ready()
                saw = await host.stream("no runner at all")
            return [saw], bench.ran()

        seen, ran = self.run_scenario(scenario)
        self.assertEqual("no", seen[0].was_run)
        self.assert_holds(check_not_run(seen, ran))

    def test_deadline_in_the_queue_is_answered_at_once_and_not_run(self):
        async def scenario(bench):
            runner = bench.add_runner("lektor-1", slots_count=1, step_seconds=0.05)
            seen = []
            async with bench.run_host() as host, anyio.create_task_group() as tasks:
                await host.until_ready("lektor-1")

                async def ask(prompt, headers):
                    seen.append(await host.stream(prompt, headers=headers))

                async def occupy():
                    await host.stream("long", max_tokens=1000)

                tasks.start_soon(occupy)
                await until(lambda: runner.engine.started)
                quick = {"Rampwick-Deadline-Seconds": "0.2"}
                # The second one may wait at the engine; the third stays here.
                tasks.start_soon(ask, "second", quick)
                tasks.start_soon(ask, "third", quick)
                await until(lambda: len(seen) == 2)
                tasks.cancel_scope.cancel()
            return seen, bench.ran()

        seen, ran = self.run_scenario(scenario)
        self.assert_holds(check_not_run(seen, ran))
        allowed = {"deadline_passed", "deadline_unreachable"}
        self.assertEqual(set(), {saw.error_code for saw in seen} - allowed)

    def test_service_call_with_a_lost_answer_is_not_repeated(self):
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
                again = await host.client.get(url, headers=headers)
            calls = [call for each in bench.services.values() for call in each.calls]
            return lost, again, calls, service

        lost, again, calls, _ = self.run_scenario(scenario)
        self.assertNotEqual("no", lost.json()["error"]["was_run"])
        self.assertNotIn("retry-after", lost.headers)
        self.assertEqual(200, again.status_code)
        self.assertEqual(1, sum(method == "POST" for method, _, _ in calls))


class AtMostOnceTest(ScenarioCase):
    def repeat_over_hosts(self, delay_seconds=0.0):
        """Return what callers saw of one key sent to three hosts at once."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            seen = []
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

                async def ask(host):
                    seen.append(await host.stream("write 7", headers=keyed("k7")))

                for host in hosts * 3:
                    tasks.start_soon(ask, host)
                await until(lambda: len(seen) == 9)
            return seen, bench.ran()

        return self.run_scenario(scenario)

    def test_caller_repeats_over_several_hosts_at_once(self):
        seen, ran = self.repeat_over_hosts()
        self.assert_holds(check_at_most_once(ran, ["write 7"]))
        self.assert_holds(check_responses(seen, 4))
        self.assertEqual(1, sum(saw.is_whole for saw in seen))
        others = {saw.error_code for saw in seen if not saw.is_whole}
        self.assertEqual({"key_already_used"}, others)

    def test_claim_without_its_condition_is_caught(self):
        async def put_anyway(self, key, value, expected_version):
            while True:
                stored = await self.get(key)
                try:
                    return await put(self, key, value, stored.version if stored else 0)
                except VersionConflictError:
                    continue

        put = HttpObjectApi.put
        with mock.patch.object(HttpObjectApi, "put", put_anyway):
            # The delay lets every host read before any of them writes.
            _, ran = self.repeat_over_hosts(delay_seconds=0.2)
        self.assertNotEqual([], check_at_most_once(ran, ["write 7"]))

    def send_under(self, faults, count=1):
        """Return what callers and runner saw of a key sent under platform faults."""

        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                bench.platform.set_faults(faults)
                seen = [
                    await host.stream("write 8", headers=keyed("k8"))
                    for _ in range(count)
                ]
                bench.platform.set_faults(PlatformFaults())
                seen.append(await host.stream("write 8", headers=keyed("k8")))
            return seen, bench.ran()

        return self.run_scenario(scenario)

    def test_claims_answer_lost_after_the_write_took_effect(self):
        seen, ran = self.send_under(PlatformFaults(lost_answers_count=1))
        self.assertEqual(["write 8"], ran)
        self.assertTrue(seen[0].is_whole)
        self.assertEqual("key_already_used", seen[1].error_code)

    def test_claims_answer_lost_twice_in_a_row(self):
        seen, ran = self.send_under(PlatformFaults(lost_answers_count=2))
        self.assert_holds(check_at_most_once(ran, ["write 8"]))
        self.assert_holds(check_not_run(seen[:1], ran[1:]))

    def test_platform_down_refuses_as_not_run_and_leaves_the_key_free(self):
        seen, ran = self.send_under(PlatformFaults(is_down=True), count=2)
        self.assertEqual(["no", "no"], [saw.was_run for saw in seen[:2]])
        self.assertEqual("claim_unavailable", seen[0].error_code)
        self.assertEqual(["write 8"], ran)
        self.assertTrue(seen[2].is_whole)

    def test_platform_slow_only_delays(self):
        seen, ran = self.send_under(PlatformFaults(delay_seconds=0.2))
        self.assertEqual(["write 8"], ran)
        self.assertTrue(seen[0].is_whole)

    def test_key_of_a_request_that_was_not_run_is_free_again(self):
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
                    saw = refused
                    while not saw.is_whole:
                        saw = await host.stream("write 9", headers=keyed("k9"))
            return refused, saw, bench.ran()

        refused, saw, ran = self.run_scenario(scenario)
        self.assertEqual("no", refused.was_run)
        self.assertTrue(saw.is_whole)
        self.assertEqual(["write 9"], ran)

    def test_same_key_in_two_workspaces_is_two_keys(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            async with bench.run_host() as host:
                await host.until_ready("lektor-1")
                first = await host.stream("a", headers=keyed("same"))
                second = await host.stream("b", key="key-drafts", headers=keyed("same"))
            return first, second

        first, second = self.run_scenario(scenario)
        self.assertTrue(first.is_whole and second.is_whole)

    def test_owner_paused_past_its_claim_does_not_dispatch(self):
        async def scenario(bench):
            bench.add_runner("lektor-1")
            extra = "[claims]\nwindow_seconds = 1.0\n"
            async with bench.run_host(extra=extra) as host:
                await host.until_ready("lektor-1")
                claims = host.daemon._parts.claims
                claim = claims.claim

                async def claim_then_pause(workspace, key):
                    won = await claim(workspace, key)
                    await anyio.sleep(0.6)
                    return won

                with mock.patch.object(claims, "claim", claim_then_pause):
                    saw = await host.stream("late", headers=keyed("late"))
            return [saw], bench.ran()

        seen, ran = self.run_scenario(scenario)
        self.assertEqual([], ran)
        self.assertEqual("claim_expired", seen[0].error_code)
        self.assert_holds(check_not_run(seen, ran))


def shard_text(bench):
    """Return all claims as stored."""
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

    def test_clock_margin_keeps_an_expired_claim(self):
        held = ClaimShard(claims=[Claim("a", "old", 100.0)])
        wanted = [Claim("a", "new", 900.0)]
        self.assertEqual(frozenset({"new"}), decide_claims(held, wanted, 130.0).lost)
        self.assertEqual(frozenset({"new"}), decide_claims(held, wanted, 161.0).won)

    def test_withdrawn_claim_is_free(self):
        held = ClaimShard(claims=[Claim("a", "one", 1.0), Claim("b", "two", 1.0)])
        left = withdraw_claims(held, ["one"])
        self.assertEqual(["two"], [claim.write_id for claim in left.claims])


class LifecycleTest(TestCase):
    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.booleans(), st.lists(st.integers(0, 8), max_size=25))
    def test_one_final_answer_from_every_sequence_of_events(self, repeatable, steps):
        life = RequestLifecycle("r", 10.0, repeatable, 3)
        finals = 0
        attempts = 0
        may_have_run = False
        for step in steps:
            current = life.attempt_id
            if step == 0 and life.may_retry(0.0) or step == 0 and not attempts:
                if life.is_waiting and not life.has_ended:
                    attempts += 1
                    life.start(f"r.{attempts}")
                    # An unrepeatable one never starts after it may have run.
                    self.assertFalse(may_have_run and not repeatable)
            elif step == 1:
                if life.accept(current):
                    may_have_run = True
            elif step == 2:
                life.deliver(current)
            elif step in (3, 4, 5):
                outcome = (Outcome.BROKEN, Outcome.BUSY, Outcome.STALE)[step - 3]
                if life.fail(current, outcome) and not outcome.proves_not_run:
                    may_have_run = True
            elif step == 6:
                finals += life.finish(current)
            elif step == 7:
                finals += life.end()
            else:
                self.assertFalse(life.fail("older attempt", Outcome.BROKEN))
                self.assertFalse(life.finish("older attempt"))
            if may_have_run:
                self.assertGreater(life.run_state, RunState.REFUSED)
            self.assertLessEqual(finals, 1)
            self.assertEqual(bool(finals), life.has_ended)

    def test_marked_request_can_not_be_started_again(self):
        life = RequestLifecycle("r", 10.0, False, 3)
        life.start("r.1")
        life.fail("r.1", Outcome.BROKEN)
        self.assertFalse(life.may_retry(0.0))
        self.assertRaises(LifecycleError, life.start, "r.2")
