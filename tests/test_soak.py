"""The soak's checkers catch broken histories, and a short seeded run holds."""

import itertools
import random
import socket
import tempfile
from contextlib import ExitStack
from pathlib import Path

import anyio
import attrs
from soak._callers import ANSWER_TOKENS, Call
from soak._checks import Seen, check_all
from soak._faults import (
    LATE_KINDS,
    PLANNED,
    UNPLANNED,
    Deed,
    Fault,
    Saboteur,
    draw_plan,
)
from soak._fleet import DEADLY_TEXT, Member, Size, _reserve_block
from soak._run import Terms, play
from testtools import TestCase

from .history import (
    ObservedAttempt,
    ObservedResponse,
    ObservedRevision,
    expected_tokens,
)

#: The run that CI plays: few processes, few faults, always the same seed.
CI_TERMS = Terms(seed=11, size=Size(2, 2, 3), chaos_seconds=3.0, faults_count=4)


def call(prompt="p", kind="stream", at=100.0, **options):
    saw = {
        "status": 200,
        "tokens": expected_tokens(prompt, ANSWER_TOKENS),
        "is_whole": True,
    }
    fields = {name: options.pop(name) for name in list(options) if name in SAW}
    saw = ObservedResponse(prompt=prompt, **{**saw, **fields})
    return Call(kind, "e0", saw, at, at + 0.5, **options)


#: What seed 3 drew, in its order, before connections could be stranded.
SEED_3_KINDS = (
    "name_weights name_weights host_term runner_leave configure host_term "
    "runner_frozen name_weights runner_leave clock_step runner_leave host_pause "
    "platform_link_silent runner_leave platform_link_silent name_weights "
    "name_weights platform_stale platform_slow runner_loses_answers host_term "
    "name_weights peer_link_silent runner_link_reset platform_slow "
    "platform_link_silent platform_slow clock_step peer_link_reset "
    "runner_link_one_way"
)

SAW = {field.name for field in attrs.fields(ObservedResponse)}


def run(prompt, attempt="a.1", runner="r0", salt="s", cached=0, weights=1):
    return ObservedAttempt(
        runner, attempt, prompt.encode(), salt, cached, weights, "one"
    )


class CheckersTest(TestCase):
    """Each kind of broken history is caught, and its sound neighbour is not."""

    def violations(self, **seen):
        return check_all(Seen(**seen))

    def test_a_sound_history_has_no_violations(self):
        seen = {"calls": [call("p")], "attempts": [run("p")]}
        self.assertEqual([], self.violations(**seen))

    def test_anothers_answer_is_caught(self):
        wrong = expected_tokens("other", ANSWER_TOKENS)
        self.assertNotEqual([], self.violations(calls=[call("p", tokens=wrong)]))

    def test_a_cut_that_calls_itself_whole_is_caught(self):
        short = expected_tokens("p", ANSWER_TOKENS - 1)
        self.assertNotEqual([], self.violations(calls=[call("p", tokens=short)]))

    def test_a_marked_request_that_ran_twice_is_caught(self):
        attempts = [run("p", "a.1"), run("p", "b.1")]
        once = call("p", kind="never")
        self.assertNotEqual([], self.violations(calls=[once], attempts=attempts))
        again = call("p", kind="stream")
        self.assertEqual([], self.violations(calls=[again], attempts=attempts))

    def test_a_false_not_run_is_caught(self):
        refused = call(
            "p", status=503, tokens=(), is_whole=False, error_code="x", was_run="no"
        )
        self.assertEqual([], self.violations(calls=[refused]))
        self.assertNotEqual([], self.violations(calls=[refused], attempts=[run("p")]))

    def test_a_not_run_after_a_lost_try_promises_nothing_about_that_try(self):
        lost = call("p", kind="keyed", status=0, tokens=(), is_whole=False, is_cut=True)
        refused = call(
            "p",
            "keyed",
            status=409,
            tokens=(),
            is_whole=False,
            error_code="x",
            was_run="no",
        )
        deeds = [Deed("host_kill", "e0", 99.0, 101.0)]
        found = self.violations(calls=[lost, refused], attempts=[run("p")], deeds=deeds)
        self.assertEqual([], found)

    def departure(self, *begun, deeds=()):
        """Return what is wrong if a leaving runner's requests begin then."""
        names = [f"e{number}-1-1.1" for number, _ in enumerate(begun)]
        attempts = [
            attrs.evolve(run("p", name), announced_leaving=True) for name in names
        ]
        started = dict(zip(names, begun, strict=True))
        seen = {"attempts": attempts, "started": started, "deeds": list(deeds)}
        return self.violations(calls=[call("p")], **seen)

    def test_requests_to_a_runner_that_announced_its_shutdown_are_caught(self):
        self.assertEqual([], self.departure(101.0, 102.5))
        self.assertNotEqual([], self.departure(101.0, 103.5))
        for kind, target in (("peer_link_silent", "e1"), ("runner_frozen", "r0")):
            kept_from_it = Deed(kind, target, 100.0, 104.0)
            self.assertEqual([], self.departure(101.0, 103.5, deeds=[kept_from_it]))

    def test_old_weights_entries_are_caught(self):
        attempts = [run("p", "a.1"), run("q", "b.1", cached=16, weights=2)]
        self.assertNotEqual([], self.violations(attempts=attempts))

    def test_a_revision_that_falls_within_a_life_is_caught(self):
        fall = [ObservedRevision("e0/1", 5), ObservedRevision("e0/1", 4)]
        self.assertNotEqual([], self.violations(revisions=fall))
        restart = [ObservedRevision("e0/1", 5), ObservedRevision("e0/2", 4)]
        self.assertEqual([], self.violations(revisions=restart))

    def test_an_old_holders_order_is_caught(self):
        self.assertNotEqual([], self.violations(orders={"r0": [3, 5, 4]}))
        self.assertEqual([], self.violations(orders={"r0": [3, 3, 5]}))

    def test_a_runner_that_gets_more_than_it_says_is_caught(self):
        def found(count, *deeds):
            limited = Deed("runner_limited", "r0", 10.0, 20.0, request_rate=1.0)
            names = [f"e0-1-{index}.1" for index in range(count)]
            started = {name: 14.0 + index / 10.0 for index, name in enumerate(names)}
            runs = [run(name, name) for name in names]
            return self.violations(
                attempts=runs, started=started, deeds=[limited, *deeds]
            )

        self.assertEqual([], found(11))
        self.assertNotEqual([], found(12))
        # What a host does that was cut off, or to a runner that crashed, is excused.
        self.assertEqual([], found(12, Deed("peer_link_silent", "e0", 12.0, 13.0)))
        self.assertEqual([], found(12, Deed("runner_crash", "r0", 12.0, 12.1)))
        self.assertNotEqual([], found(12, Deed("peer_link_silent", "e1", 12.0, 13.0)))

    def test_a_deadly_prompt_that_goes_on_running_is_caught(self):
        def found(*times, deeds=()):
            names = [f"{index}.1" for index in range(len(times))]
            started = dict(zip(names, times, strict=True))
            runs = [run(DEADLY_TEXT, name) for name in names]
            return self.violations(attempts=runs, started=started, deeds=list(deeds))

        self.assertEqual([], found(1.0, 2.0))
        self.assertEqual([], found(1.0, 2.0, 3.0, 4.0, 5.0, 6.0))
        late = (1.0, 2.0, 3.0, 6.1, 6.2, 6.3, 6.4)
        self.assertNotEqual([], found(*late))
        killed = [Deed("hosts_kill_all", "", 4.0, 5.0)]
        self.assertEqual([], found(*late, deeds=killed))

    def test_another_request_that_is_stopped_is_caught(self):
        stopped = call(
            "p", status=502, tokens=(), is_whole=False, error_code="ends_upstreams"
        )
        self.assertNotEqual([], self.violations(calls=[stopped]))

    def test_a_cut_counts_in_calm_times_only(self):
        cut = call("p", status=0, tokens=(), is_whole=False, is_cut=True)
        seen = {"calls": [cut], "attempts": [run("p")]}
        planned = [Deed("host_term", "e0", 99.0, 101.0)]
        self.assertNotEqual([], self.violations(**seen, deeds=planned))
        killed = [Deed("host_kill", "e0", 99.0, 101.0)]
        self.assertEqual([], self.violations(**seen, deeds=killed))
        crossing = {"calls": [cut], "deeds": planned}
        self.assertEqual([], self.violations(**crossing))

    def test_work_for_a_runner_that_is_leaving_is_caught(self):
        deeds = [Deed("runner_leave", "r0", 100.0, 110.0)]
        for at, is_caught in ((101.0, False), (105.0, True), (111.0, False)):
            found = self.violations(
                attempts=[run("p")], started={"a.1": at}, deeds=deeds
            )
            self.assertEqual(is_caught, bool(found), at)

    def test_a_wrong_answer_of_the_service_is_caught(self):
        self.assertNotEqual(
            [], self.violations(calls=[call(kind="read", is_whole=False)])
        )


class PlanTest(TestCase):
    def test_a_seed_draws_the_same_plan_again(self):
        plans = [draw_plan(random.Random(3), 5.0, 8.0, 20) for _ in range(2)]
        self.assertEqual(*plans)

    def test_planned_work_has_its_time_alone(self):
        for seed in range(20):
            for fault in draw_plan(random.Random(seed), 5.0, 8.0, 20):
                if fault.at_seconds < 5.0:
                    self.assertIn(fault.kind, PLANNED)

    def test_stranded_connections_change_nothing_of_what_a_seed_drew_before(self):
        plan = draw_plan(random.Random(3), 5.0, 8.0, 20)
        kinds = [fault.kind for fault in plan]
        self.assertEqual(1, kinds.count("peer_link_stranded"))
        rest = [fault.kind for fault in plan if fault.kind not in LATE_KINDS]
        self.assertEqual(SEED_3_KINDS, " ".join(rest))

    def test_every_kind_can_be_carried_out(self):
        for kind in (*PLANNED, *UNPLANNED, *LATE_KINDS):
            self.assertTrue(callable(getattr(Saboteur, f"_{kind}")), kind)


@attrs.define
class OneRunner:
    """As much of a fleet as a runner's leave needs."""

    runners: list
    leaving: set = attrs.field(factory=set)

    async def publish(self):
        return


class OverlappingLeavesTest(TestCase):
    def test_a_runner_that_is_leaving_does_not_begin_to_leave_again(self):
        """The end of the first leave called it live in the middle of the next."""
        runners = [attrs.make_class("Runner", ["name"])(name) for name in "ab"]
        saboteur = Saboteur(OneRunner(runners))
        fault = Fault(0.0, 60.0, "runner_leave")
        first, second = Deed("runner_leave", "", 0.0), Deed("runner_leave", "", 0.0)

        async def main():
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(saboteur._runner_leave, fault, first)
                await anyio.sleep(0)
                tasks.start_soon(saboteur._runner_leave, fault, second)
                await anyio.sleep(0)
                tasks.cancel_scope.cancel()

        anyio.run(main)
        self.assertEqual(["a", ""], [first.target, second.target])


class PortsTest(TestCase):
    def test_runs_beside_each_other_share_no_port(self):
        """A port that was free when it was drawn was taken before its process started.

        Of 30 runs, ten at once, 3 waited for good for a process that had no port; in
        one more a runner was another run's, and gone when that run had ended.
        """
        with ExitStack() as stack:
            blocks = [_reserve_block(random.Random(1), stack) for _ in range(3)]
            for one, other in itertools.combinations(blocks, 2):
                self.assertEqual(set(), set(one) & set(other))

    def test_a_process_without_its_port_is_not_taken_for_another_runs(self):
        """Its run went on with the other's runner, until that run had ended."""
        with socket.create_server(("127.0.0.1", 0)) as other, ExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            port = other.getsockname()[1]
            words = ("-c", "raise SystemExit('no port')")
            member = Member("r0", words, port, Path(folder) / "r0.log")
            stack.callback(member.end)
            member.start()
            member.process.wait(20.0)
            error = self.assertRaises(RuntimeError, anyio.run, member.wait_started)
            self.assertIn("exit code 1: no port", str(error))


class ShortRunTest(TestCase):
    def test_a_short_seeded_run_keeps_the_promises(self):
        with tempfile.TemporaryDirectory() as folder:
            verdict = anyio.run(play, CI_TERMS, Path(folder))
        self.assertEqual([], verdict.violations)
        self.assertGreater(verdict.served_count, 0)
