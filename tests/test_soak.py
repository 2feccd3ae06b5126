"""Tests of the soak test: its checkers, its fault schedule, and one short run."""

import itertools
import random
import socket
import tempfile
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
import httpx
from soak._callers import RESPONSE_TOKENS, Call, Caller
from soak._checks import RunObservations, check_all
from soak._faults import (
    LAST_DRAWN_KINDS,
    PLANNED,
    UNPLANNED,
    Fault,
    FaultInjector,
    InjectedFault,
    draw_plan,
)
from soak._fleet import (
    CRASHING_PROMPT,
    QUOTA,
    FleetSize,
    ManagedProcess,
    _reserve_block,
)
from soak._limited import allowed_count, check_limited_runs
from soak._run import RunParameters, run_seed
from testtools import TestCase

from .history import (
    ObservedAttempt,
    ObservedResponse,
    ObservedRevision,
    expected_tokens,
)

#: The run in CI: few processes, few faults, a fixed seed.
CI_PARAMETERS = RunParameters(
    seed=11, size=FleetSize(2, 2, 3), chaos_seconds=3.0, faults_count=4
)


def call(prompt="p", kind="stream", at=100.0, **options):
    record = {
        "status": 200,
        "tokens": expected_tokens(prompt, RESPONSE_TOKENS),
        "is_whole": True,
    }
    fields = {
        name: options.pop(name) for name in list(options) if name in RESPONSE_FIELDS
    }
    record = ObservedResponse(prompt=prompt, **{**record, **fields})
    return Call(kind, "e0", record, at, at + 0.5, **options)


#: Fault kinds that seed 3 drew, in order, before LAST_DRAWN_KINDS existed.
SEED_3_KINDS = (
    "set_weights_target set_weights_target host_term runner_leave configure host_term "
    "runner_frozen set_weights_target runner_leave clock_step runner_leave host_pause "
    "platform_link_stalled runner_leave platform_link_stalled set_weights_target "
    "set_weights_target platform_stale platform_slow runner_loses_answers host_term "
    "set_weights_target peer_link_stalled runner_link_reset platform_slow "
    "platform_link_stalled platform_slow clock_step peer_link_reset "
    "runner_link_one_way"
)

RESPONSE_FIELDS = {field.name for field in attrs.fields(ObservedResponse)}


def attempt_record(prompt, attempt="a.1", runner="r0", salt="s", cached=0, weights=1):
    return ObservedAttempt(
        runner, attempt, prompt.encode(), salt, cached, weights, "one"
    )


def read_as_caller(kind, status, body):
    """Return the call of a caller that gets this response."""
    transport = httpx.MockTransport(lambda _: httpx.Response(status, content=body))
    client = httpx.AsyncClient(transport=transport, base_url="http://e0")
    caller = Caller("c0", {"e0": ""}, random.Random(1), lambda _: None, {"e0": client})
    return anyio.run(caller.send, kind, "e0")


class LimitedRunsTest(TestCase):
    """What the runners ran of a customer is compared with its limit."""

    def test_no_window_may_hold_more_than_the_limit_allows(self):
        allowed = int(allowed_count())
        steady = [100.0 + 0.01 * number for number in range(allowed)]
        self.assertEqual([], check_limited_runs(steady))
        later = [at + QUOTA.window_seconds + 3.0 for at in steady]
        self.assertEqual([], check_limited_runs([*later, *steady]))
        (violation,) = check_limited_runs([*steady, 107.9])
        self.assertIn(f"{allowed + 1} requests of /soak/limited ran", violation)

    def test_runs_of_limited_callers_are_found_by_their_prompts(self):
        observations = RunObservations()
        for number in range(int(allowed_count()) + 1):
            name = f"e0-{number}"
            observations.started[name] = 100.0
            observations.attempts.append(
                ObservedAttempt(
                    "r0", name, b"limited %d" % number, "salt", 0, 1, "life"
                )
            )
        self.assertEqual(1, len(check_all(observations)))


class CheckersTest(TestCase):
    """Each kind of violation is reported, and the nearest valid history is not."""

    def violations(self, **recorded):
        return check_all(RunObservations(**recorded))

    def test_valid_history_has_no_violations(self):
        recorded = {"calls": [call("p")], "attempts": [attempt_record("p")]}
        self.assertEqual([], self.violations(**recorded))

    def test_response_to_another_prompt_is_reported(self):
        other_tokens = expected_tokens("other", RESPONSE_TOKENS)
        self.assertNotEqual([], self.violations(calls=[call("p", tokens=other_tokens)]))

    def test_truncated_response_marked_complete_is_reported(self):
        short = expected_tokens("p", RESPONSE_TOKENS - 1)
        self.assertNotEqual([], self.violations(calls=[call("p", tokens=short)]))

    def test_second_run_of_an_at_most_once_request_is_reported(self):
        attempts = [attempt_record("p", "a.1"), attempt_record("p", "b.1")]
        once = call("p", kind="never")
        self.assertNotEqual([], self.violations(calls=[once], attempts=attempts))
        again = call("p", kind="stream")
        self.assertEqual([], self.violations(calls=[again], attempts=attempts))

    def test_run_of_a_request_refused_as_not_run_is_reported(self):
        refusal = call(
            "p", status=503, tokens=(), is_whole=False, error_code="x", was_run="no"
        )
        self.assertEqual([], self.violations(calls=[refusal]))
        self.assertNotEqual(
            [], self.violations(calls=[refusal], attempts=[attempt_record("p")])
        )

    def test_not_run_refusal_does_not_cover_an_earlier_cut_attempt(self):
        lost_attempt = call(
            "p", kind="keyed", status=0, tokens=(), is_whole=False, is_cut=True
        )
        refusal = call(
            "p",
            "keyed",
            status=409,
            tokens=(),
            is_whole=False,
            error_code="x",
            was_run="no",
        )
        injected_faults = [InjectedFault("host_kill", "e0", 99.0, 101.0)]
        violations = self.violations(
            calls=[lost_attempt, refusal],
            attempts=[attempt_record("p")],
            injected_faults=injected_faults,
        )
        self.assertEqual([], violations)

    def shutdown_violations(self, *start_times, injected_faults=()):
        """Return violations if a runner that announced its shutdown gets requests."""
        names = [f"e{number}-1-1.1" for number, _ in enumerate(start_times)]
        attempts = [
            attrs.evolve(attempt_record("p", name), announced_leaving=True)
            for name in names
        ]
        started = dict(zip(names, start_times, strict=True))
        recorded = {
            "attempts": attempts,
            "started": started,
            "injected_faults": list(injected_faults),
        }
        return self.violations(calls=[call("p")], **recorded)

    def test_requests_to_a_runner_that_announced_its_shutdown_are_reported(self):
        self.assertEqual([], self.shutdown_violations(101.0, 102.5))
        self.assertNotEqual([], self.shutdown_violations(101.0, 103.5))
        for kind, target in (("peer_link_stalled", "e1"), ("runner_frozen", "r0")):
            unreachable = InjectedFault(kind, target, 100.0, 104.0)
            self.assertEqual(
                [],
                self.shutdown_violations(101.0, 103.5, injected_faults=[unreachable]),
            )

    def test_use_of_cache_entries_of_older_weights_is_reported(self):
        attempts = [
            attempt_record("p", "a.1"),
            attempt_record("q", "b.1", cached=16, weights=2),
        ]
        self.assertNotEqual([], self.violations(attempts=attempts))

    def test_decreasing_revision_of_one_process_is_reported(self):
        fall = [ObservedRevision("e0/1", 5), ObservedRevision("e0/1", 4)]
        self.assertNotEqual([], self.violations(revisions=fall))
        restart = [ObservedRevision("e0/1", 5), ObservedRevision("e0/2", 4)]
        self.assertEqual([], self.violations(revisions=restart))

    def test_order_of_an_older_lease_holder_is_reported(self):
        self.assertNotEqual([], self.violations(orders={"r0": [3, 5, 4]}))
        self.assertEqual([], self.violations(orders={"r0": [3, 3, 5]}))

    def test_requests_over_the_rate_limit_of_a_runner_are_reported(self):
        def violations_of(count, *injected_faults):
            rate_limited = InjectedFault(
                "runner_limited", "r0", 10.0, 20.0, request_rate=1.0
            )
            names = [f"e0-1-{index}.1" for index in range(count)]
            started = {name: 14.0 + index / 10.0 for index, name in enumerate(names)}
            runs = [attempt_record(name, name) for name in names]
            return self.violations(
                attempts=runs,
                started=started,
                injected_faults=[rate_limited, *injected_faults],
            )

        self.assertEqual([], violations_of(11))
        self.assertNotEqual([], violations_of(12))
        # Requests of a host that was cut off, or to a runner that crashed, are excused.
        self.assertEqual(
            [], violations_of(12, InjectedFault("peer_link_stalled", "e0", 12.0, 13.0))
        )
        self.assertEqual(
            [], violations_of(12, InjectedFault("runner_crash", "r0", 12.0, 12.1))
        )
        self.assertNotEqual(
            [], violations_of(12, InjectedFault("peer_link_stalled", "e1", 12.0, 13.0))
        )

    def test_crashing_prompt_that_continues_to_run_is_reported(self):
        def violations_of(*times, injected_faults=()):
            names = [f"{index}.1" for index in range(len(times))]
            started = dict(zip(names, times, strict=True))
            runs = [attempt_record(CRASHING_PROMPT, name) for name in names]
            return self.violations(
                attempts=runs, started=started, injected_faults=list(injected_faults)
            )

        self.assertEqual([], violations_of(1.0, 2.0))
        self.assertEqual([], violations_of(1.0, 2.0, 3.0, 4.0, 5.0, 6.0))
        late = (1.0, 2.0, 3.0, 6.1, 6.2, 6.3, 6.4)
        self.assertNotEqual([], violations_of(*late))
        killed = [InjectedFault("hosts_kill_all", "", 4.0, 5.0)]
        self.assertEqual([], violations_of(*late, injected_faults=killed))

    def test_quarantine_of_another_request_is_reported(self):
        stopped = call(
            "p", status=502, tokens=(), is_whole=False, error_code="ends_upstreams"
        )
        self.assertNotEqual([], self.violations(calls=[stopped]))

    def test_callers_who_wait_after_all_connections_fell_silent_are_reported(self):
        def timed_call(at, seconds):
            return attrs.evolve(call(f"p{at}", at=at), ended_seconds=at + seconds)

        def violations_of(seconds):
            calls = [timed_call(at, 0.1) for at in (98.5, 99.0, 99.5)]
            calls += [timed_call(at, seconds) for at in (104.0, 104.5)]
            silence = InjectedFault("connections_silent_alone", "", 100.0, 106.0)
            return self.violations(calls=calls, injected_faults=[silence])

        self.assertEqual([], violations_of(0.1))
        self.assertNotEqual([], violations_of(4.0))

    def test_host_that_loses_a_peer_over_silent_connections_is_reported(self):
        def violations_of(at_seconds):
            silence = InjectedFault("connections_silent_alone", "", 100.0, 106.0)
            return self.violations(
                calls=[call("p", at=99.0), call("q", at=104.0)],
                missing_peers=[("e0", at_seconds)],
                injected_faults=[silence],
            )

        self.assertEqual([], violations_of(107.0))
        self.assertNotEqual([], violations_of(102.0))

    def test_cut_is_reported_during_planned_operations_only(self):
        cut = call("p", status=0, tokens=(), is_whole=False, is_cut=True)
        recorded = {"calls": [cut], "attempts": [attempt_record("p")]}
        planned = [InjectedFault("host_term", "e0", 99.0, 101.0)]
        self.assertNotEqual([], self.violations(**recorded, injected_faults=planned))
        killed = [InjectedFault("host_kill", "e0", 99.0, 101.0)]
        self.assertEqual([], self.violations(**recorded, injected_faults=killed))
        not_run = {"calls": [cut], "injected_faults": planned}
        self.assertEqual([], self.violations(**not_run))

    def test_request_to_a_draining_runner_is_reported(self):
        injected_faults = [InjectedFault("runner_leave", "r0", 100.0, 110.0)]
        for at, is_reported in ((101.0, False), (105.0, True), (111.0, False)):
            violations = self.violations(
                attempts=[attempt_record("p")],
                started={"a.1": at},
                injected_faults=injected_faults,
            )
            self.assertEqual(is_reported, bool(violations), at)

    def test_request_to_a_draining_runner_beside_an_odd_entry_is_reported(self):
        injected_faults = [
            InjectedFault("odd_entry", "", 99.0, 111.0),
            InjectedFault("runner_leave", "r0", 100.0, 110.0),
        ]
        for at, is_reported in ((101.0, False), (105.0, True)):
            violations = self.violations(
                attempts=[attempt_record("p")],
                started={"a.1": at},
                injected_faults=injected_faults,
            )
            self.assertEqual(is_reported, bool(violations), at)

    def test_complete_response_with_broken_content_is_reported(self):
        bodies = (
            ("stream", 200, b'id: 1\ndata: {"cho'),
            ("stream", 502, b'{"err'),
            ("read", 200, b'{"service": "portal", "by'),
        )
        for kind, status, body in bodies:
            calls = [read_as_caller(kind, status, body)]
            self.assertNotEqual([], self.violations(calls=calls), body)

    def test_cut_response_with_broken_content_is_not_reported(self):
        cut = call(status=0, tokens=(), is_whole=False, is_cut=True, error="x")
        self.assertEqual([], self.violations(calls=[cut]))

    def test_wrong_response_of_the_service_is_reported(self):
        self.assertNotEqual(
            [], self.violations(calls=[call(kind="read", is_whole=False)])
        )


class PlanTest(TestCase):
    def test_seed_is_reproducible(self):
        plans = [draw_plan(random.Random(3), 5.0, 8.0, 20) for _ in range(2)]
        self.assertEqual(*plans)

    def test_first_phase_has_planned_operations_only(self):
        for seed in range(20):
            for fault in draw_plan(random.Random(seed), 5.0, 8.0, 20):
                if fault.at_seconds < 5.0:
                    self.assertIn(fault.kind, PLANNED)

    def test_kinds_that_are_drawn_last_do_not_change_earlier_draws(self):
        plan = draw_plan(random.Random(3), 5.0, 8.0, 20)
        kinds = [fault.kind for fault in plan]
        self.assertEqual(1, kinds.count("peer_link_blackholed"))
        rest = [fault.kind for fault in plan if fault.kind not in LAST_DRAWN_KINDS]
        self.assertEqual(SEED_3_KINDS, " ".join(rest))

    def test_every_kind_has_a_method(self):
        for kind in (*PLANNED, *UNPLANNED, *LAST_DRAWN_KINDS):
            self.assertTrue(callable(getattr(FaultInjector, f"_{kind}")), kind)


@attrs.define
class RunnersOnly:
    """The part of Fleet that draining a runner uses."""

    runners: list
    leaving: set = attrs.field(factory=set)

    async def publish(self):
        return


class OverlappingDrainsTest(TestCase):
    def test_draining_runner_is_not_drained_again(self):
        """Guards against the first drain's end marking a draining runner live."""
        runners = [attrs.make_class("Runner", ["name"])(name) for name in "ab"]
        injector = FaultInjector(RunnersOnly(runners))
        fault = Fault(0.0, 60.0, "runner_leave")
        first, second = (
            InjectedFault("runner_leave", "", 0.0),
            InjectedFault("runner_leave", "", 0.0),
        )

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(injector._runner_leave, fault, first)
                await anyio.sleep(0)
                tasks.start_soon(injector._runner_leave, fault, second)
                await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(["a", ""], [first.target, second.target])


class PortsTest(TestCase):
    def test_concurrent_runs_share_no_port(self):
        """Guards against a port that another run binds between its draw and its use.

        Of 30 runs, ten at a time, 3 waited forever for a process that could not bind
        its port. One more used a runner of another run, which exited with that run.
        """
        with ExitStack() as stack:
            blocks = [_reserve_block(random.Random(1), stack) for _ in range(3)]
            for one, other in itertools.combinations(blocks, 2):
                self.assertEqual(set(), set(one) & set(other))

    def test_process_that_could_not_bind_its_port_is_detected(self):
        """Guards against a run that uses the process of another run on that port."""
        with socket.create_server(("127.0.0.1", 0)) as other, ExitStack() as stack:
            directory = stack.enter_context(tempfile.TemporaryDirectory())
            port = other.getsockname()[1]
            arguments = ("-c", "raise SystemExit('no port')")
            child = ManagedProcess("r0", arguments, port, Path(directory) / "r0.log")
            stack.callback(child.kill)
            child.start()
            child.process.wait(20.0)
            error = self.assertRaises(RuntimeError, anyio.run, child.wait_started)
            self.assertIn("exit code 1: no port", str(error))


class ShortRunTest(TestCase):
    def test_short_seeded_run_has_no_violations(self):
        with tempfile.TemporaryDirectory() as directory:
            result = anyio.run(run_seed, CI_PARAMETERS, Path(directory))
        self.assertEqual([], result.violations)
        self.assertGreater(result.served_count, 0)
