"""Rollouts of weights: report requests, orders, retries and the lease."""

import attrs
from hypothesis import given, settings, strategies as st
from testtools import TestCase

from rampwick_policy import (
    FetchReport,
    HostListRead,
    LeaseWatcher,
    LoadReported,
    OrderResult,
    Rollout,
    RunnerState,
    Scheduler,
    TargetsReceived,
    WeightsLoadOrdered,
    WeightsReported,
    count_outdated,
    plan_orders,
)
from rampwick_schema import (
    HostEntry,
    HostList,
    LeaseRecord,
    LoadReport,
    WeightsTarget,
    parse_settings,
)

TARGETS = [WeightsTarget("m", 2)]


def state(name, version=1, serving=True, running=0):
    return RunnerState(name, "m", version, serving, False, running, f"{name}:1")


def report(version=1, orders=0, role="serve"):
    return LoadReport("one", "m", version, 8, 0, 0, 8000.0, 60_000, role, 0, orders)


class Controller:
    """Executes the steps of a rollout on runners that obey immediately."""

    def __init__(self, names, max_loads=1, ratio=0.4):
        self.rollout = Rollout(max_loads, ratio)
        self.versions = dict.fromkeys(names, 1)
        self.orders = dict.fromkeys(names, 0)
        self.busy_until = dict.fromkeys(names, 0.0)
        self.max_loading = 0

    def step(self, now):
        runners = [state(name, version) for name, version in self.versions.items()]
        for step in self.rollout.plan(runners, TARGETS, now):
            if isinstance(step, FetchReport):
                self.answer(step.runner, now)
            else:
                self.take(step, now)
        loading = sum(now < until for until in self.busy_until.values())
        self.max_loading = max(self.max_loading, loading)

    def answer(self, name, now):
        is_busy = now < self.busy_until[name]
        if self.busy_until[name] and not is_busy:
            self.versions[name] = 2
        role = "loading" if is_busy else "serve"
        shown = report(self.versions[name], self.orders[name], role)
        self.rollout.note_report(name, shown, now)

    def take(self, planned, now):
        name = planned.runner
        self.rollout.note_sent(name, planned.order.weights_version, now)
        if planned.order.expected_orders_count != self.orders[name]:
            self.rollout.note_result(name, OrderResult.CONFLICT)
            return
        self.orders[name] += 1
        self.busy_until[name] = now + 0.8
        self.rollout.note_result(name, OrderResult.TAKEN)


class RolloutPlanTest(TestCase):
    def test_a_report_is_requested_before_an_order(self):
        rollout = Rollout(1)
        (ask,) = rollout.plan([state("r")], TARGETS, 1.0)
        self.assertEqual(FetchReport("r", "r:1"), ask)
        rollout.note_report("r", report(orders=3), 1.01)
        (planned,) = rollout.plan([state("r")], TARGETS, 1.02)
        self.assertEqual(3, planned.order.expected_orders_count)
        self.assertEqual(2, planned.order.weights_version)

    def test_no_order_is_based_on_an_old_report(self):
        rollout = Rollout(1)
        rollout.plan([state("r")], TARGETS, 1.0)
        rollout.note_report("r", report(orders=3), 1.01)
        (again,) = rollout.plan([state("r")], TARGETS, 2.0)
        self.assertIsInstance(again, FetchReport)

    def test_all_runners_reach_the_target_two_of_five_at_a_time(self):
        controller = Controller([f"r{number}" for number in range(5)])
        now = 1.0
        while set(controller.versions.values()) != {2} and now < 20.0:
            controller.step(now)
            now += 0.05
        self.assertEqual({2}, set(controller.versions.values()))
        self.assertEqual({1}, set(controller.orders.values()))
        self.assertEqual(2, controller.max_loading)
        self.assertLess(now, 5.0)

    def test_an_order_without_answer_or_effect_is_resent(self):
        rollout = Rollout(1)
        rollout.note_report("r", report(), 1.0)
        rollout.note_sent("r", 2, 1.0)
        rollout.note_result("r", OrderResult.LOST)
        self.assertEqual([], rollout.plan([state("r")], TARGETS, 1.1))
        (poll,) = rollout.plan([state("r")], TARGETS, 1.7)
        self.assertIsInstance(poll, FetchReport)
        # Reports lag, so the result is not known yet.
        rollout.note_report("r", report(), 1.7)
        self.assertIn("r", rollout.loads())
        rollout.note_report("r", report(), 2.1)
        (again,) = rollout.plan([state("r")], TARGETS, 2.11)
        self.assertEqual(0, again.order.expected_orders_count)

    def test_a_conflicting_order_is_followed_by_a_poll(self):
        rollout = Rollout(1)
        rollout.plan([state("r")], TARGETS, 1.0)
        rollout.note_report("r", report(), 1.0)
        rollout.note_sent("r", 2, 1.0)
        rollout.note_result("r", OrderResult.CONFLICT)
        (poll,) = rollout.plan([state("r")], TARGETS, 1.5)
        self.assertIsInstance(poll, FetchReport)

    def test_runners_that_do_not_serve_are_loaded(self):
        # The weights of all runners are too old to serve.
        rollout = Rollout(1, 0.4)
        runners = [state(f"r{number}", serving=False) for number in range(5)]
        steps = rollout.plan(runners, TARGETS, 1.0)
        self.assertEqual(2, len(steps))

    @settings(derandomize=True, deadline=None, max_examples=50)
    @given(st.lists(st.sampled_from(list(OrderResult)), max_size=12))
    def test_the_maximum_of_loads_holds_for_any_results(self, results):
        rollout = Rollout(2)
        runners = [state(f"r{number}") for number in range(4)]
        now = 1.0
        for result in results:
            for step in rollout.plan(runners, TARGETS, now):
                if isinstance(step, FetchReport):
                    rollout.note_report(step.runner, report(), now)
                else:
                    rollout.note_sent(step.runner, 2, now)
                    rollout.note_result(step.runner, result)
            self.assertLessEqual(len(rollout.loads()), 2)
            now += 0.2


class CapacityTest(TestCase):
    """Runners that do not serve are loaded regardless of the capacity of the others.

    Four of ten runners serve, and none of them can be taken out of service. Six have
    weights too old to serve and still run requests. The plan was ordered by running
    requests and stopped at the first runner that could not be taken out of service.
    """

    def test_serving_runners_do_not_block_those_that_do_not_serve(self):
        serving = [
            RunnerState(f"a{number}", "m", 1, is_serving=True, is_loading=False)
            for number in range(4)
        ]
        not_serving = [
            RunnerState(
                f"b{n}", "m", 1, is_serving=False, is_loading=False, running_count=5
            )
            for n in range(6)
        ]
        target = WeightsTarget("m", 2)
        planned = plan_orders([*serving, *not_serving], [target], 1, max_loads=4)
        self.assertEqual(["b0", "b1", "b2", "b3"], [item.runner for item in planned])


class OutdatedTest(TestCase):
    def test_runners_older_than_the_target_of_their_model_are_counted(self):
        runners = [
            RunnerState("a", "m", 1, is_serving=True, is_loading=False),
            RunnerState("b", "m", 2, is_serving=True, is_loading=False),
            RunnerState("c", "other", 1, is_serving=True, is_loading=False),
        ]
        self.assertEqual(1, count_outdated(runners, [WeightsTarget("m", 2)]))
        self.assertEqual(0, count_outdated(runners, []))


class RunnerViewTest(TestCase):
    """State of a runner at a host during a load."""

    def setUp(self):
        super().setUp()
        settings = parse_settings('[host]\nname = "e"\nhall = "t"\n', source="test")
        self.scheduler = Scheduler(settings)
        self.entry = HostEntry(
            "r",
            "runner",
            "t",
            "r:1",
            group="s",
            incarnation="one",
            model="m",
            weights_version=1,
        )
        self.read(1, self.entry)

    def read(self, version, entry, now=0.0):
        self.scheduler.handle(HostListRead(HostList(version, [entry])), now)

    def is_open(self, now):
        upstream = self.scheduler.upstreams.get("r")
        return self.scheduler.upstreams.is_eligible(upstream, now)

    def test_no_requests_between_the_announcement_and_the_new_weights(self):
        self.assertTrue(self.is_open(1.0))
        self.scheduler.handle(WeightsLoadOrdered("r", "", 2, 4.0), 1.0)
        self.assertFalse(self.is_open(1.1))
        self.scheduler.handle(WeightsReported("r", "one", 2, is_own_report=False), 1.8)
        self.assertTrue(self.is_open(1.9))

    def test_an_announced_load_without_effect_times_out(self):
        self.scheduler.handle(WeightsLoadOrdered("r", "", 2, 4.0), 1.0)
        self.assertTrue(self.is_open(4.1))

    def test_a_reported_load_ends_once_the_host_list_has_its_weights(self):
        # The role "loading" from the last report persisted after the load.
        loading = report(role="loading")
        self.scheduler.handle(LoadReported("r", loading), 1.0)
        self.assertFalse(self.is_open(1.1))
        self.read(2, attrs.evolve(self.entry, weights_version=2), 2.0)
        self.assertTrue(self.is_open(2.1))

    def test_a_late_list_does_not_lower_the_weights(self):
        self.scheduler.handle(WeightsReported("r", "one", 3), 1.0)
        self.read(2, attrs.evolve(self.entry, weights_version=2), 2.0)
        upstream = self.scheduler.upstreams.get("r")
        self.assertEqual(3, upstream.cache_generation.weights_version)

    def test_only_a_report_of_the_runner_lowers_the_weights(self):
        self.scheduler.handle(WeightsReported("r", "one", 3), 1.0)
        self.scheduler.handle(WeightsReported("r", "one", 2, is_own_report=False), 1.1)
        upstream = self.scheduler.upstreams.get("r")
        self.assertEqual(3, upstream.cache_generation.weights_version)
        self.scheduler.handle(WeightsReported("r", "one", 2), 1.2)
        self.assertEqual(2, upstream.cache_generation.weights_version)

    def test_weights_are_outdated_from_the_first_newer_target(self):
        self.scheduler.handle(TargetsReceived((WeightsTarget("m", 2),)), 10.0)
        self.scheduler.handle(TargetsReceived((WeightsTarget("m", 3),)), 14.0)
        upstream = self.scheduler.upstreams.get("r")
        outdated = self.scheduler.upstreams.outdated_seconds(upstream, 15.0)
        self.assertEqual(5.0, outdated)


class LeaseTakeOverTest(TestCase):
    """Orders of two holders are separated, and an unresponsive holder is replaced."""

    def test_a_holder_sends_orders_only_within_its_window(self):
        lease = LeaseWatcher("one", 3.8, 0.8)
        lease.note_written(LeaseRecord("one", "", 3.8), 5, 10.0)
        self.assertEqual(5, lease.fencing_number(10.3, needed_seconds=0.4))
        self.assertIsNone(lease.fencing_number(10.5, needed_seconds=0.4))
        self.assertTrue(lease.is_held(13.7))
        self.assertFalse(lease.is_held(13.8))

    def test_the_next_holder_waits_from_the_last_announced_renewal(self):
        lease = LeaseWatcher("two", 3.8, 0.8)
        lease.observe_announcement("one", 5, 10.2)
        # The same version again is no renewal.
        lease.observe_announcement("one", 5, 12.0)
        self.assertFalse(lease.may_acquire(13.9))
        self.assertTrue(lease.may_acquire(14.0))
        # The last order of the first holder arrives at 10.0 + 0.8 at the latest.
        self.assertGreaterEqual(14.0 - 10.8, 3.0)

    def test_another_machine_of_the_holders_name_waits_for_its_lease(self):
        holder = LeaseWatcher("one", 3.8, 0.8, "10.0.0.1:7340")
        record = LeaseRecord("one", holder.mark_write_id("1"), 3.8)
        holder.note_written(record, 5, 10.0)
        newer = LeaseWatcher("one", 3.8, 0.8, "10.0.0.2:7340")
        newer.observe(record, 5, 10.3)
        self.assertFalse(newer.may_acquire(10.3))
        self.assertTrue(newer.may_acquire(14.2))
        restarted = LeaseWatcher("one", 3.8, 0.8, "10.0.0.1:7340")
        restarted.observe(record, 5, 10.3)
        self.assertTrue(restarted.may_acquire(10.3))
        # The former machine, which may still run, gives the lease up.
        taken = LeaseRecord("one", newer.mark_write_id("2"), 3.8)
        holder.observe(taken, 6, 11.0)
        self.assertFalse(holder.is_held(11.0))

    def test_a_released_lease_is_free_after_its_recorded_duration(self):
        lease = LeaseWatcher("two", 3.8, 0.8)
        lease.observe(LeaseRecord("", "", 0.0), 6, 10.0)
        self.assertTrue(lease.may_acquire(10.0))
        lease.observe(LeaseRecord("", "", 2.4), 7, 11.0)
        self.assertFalse(lease.may_acquire(13.3))
        self.assertTrue(lease.may_acquire(13.4))
