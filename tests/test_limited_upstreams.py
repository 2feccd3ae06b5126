"""An upstream in need is sent what it says that it takes, by all hosts together.

Two of five runners named a limit of 1.8 and 1.4 requests a second in their answers; six
hosts went on sending 4.9 and 4.0 a second, 18 within 4 s where 16 and 13 were allowed.
No host read what the answers named, so that each placed its requests as before; and had
each kept to the number by itself, six would have sent six times as much. What settled
it: the requests a second before and after the naming, 5.3 and 4.9, were the same; one
host alone sent 8 of them within 4 s; and the lines of attempts ("attempt sent") made
the whole sum, so that nothing but requests was counted.
"""

import random
from contextlib import asynccontextmanager

import attrs
from testtools import TestCase

from rampwick_policy import (
    Dispatch,
    Health,
    Neighbours,
    NeighboursSeen,
    ProbeFailed,
    RateLimitUpdateReceived,
    RateNamed,
    Refuse,
    RunState,
    Tick,
)
from rampwick_policy._notices import NoticeBook
from rampwick_policy._request_rates import (
    CONFIRM_SECONDS,
    RETRANSMIT_SECONDS,
    RateObservation,
    RequestRates,
)
from rampwick_policy._request_turns import (
    MOST_SAVED_COUNT,
    TRIAL_PER_SECOND,
    FewSenders,
    RequestTurns,
    Standpoint,
    part_ratio,
)
from rampwick_policy._upstream import Upstream
from rampwick_schema import HostEntry

from .bench import run_two_hosts, until
from .case import ScenarioCase
from .test_scheduler import Session

#: Time within which requests are counted, and what may come beyond its share.
WINDOW_SECONDS = 4.0
OVER_RATIO = 1.5
SLACK_COUNT = 5


def most_in_window(times, window_seconds=WINDOW_SECONDS):
    """Return the most of these times that lie within any window."""
    return max(
        (sum(at <= other < at + window_seconds for other in times) for at in times),
        default=0,
    )


def allowed_count(rate):
    """Return the requests that may come within a window."""
    return OVER_RATIO * rate * WINDOW_SECONDS + SLACK_COUNT


def label(number):
    """Return a prompt that shares no beginning with others."""
    return f"{number} of the sheets, " * 20


class LimitedCase(ScenarioCase):
    """Two hosts before two runners, of which one names a rate from the start."""

    RATE = 0.5

    @asynccontextmanager
    async def two_hosts(self, bench):
        """Run the hosts; yield them once both know all runners and each other."""
        for index in range(2):
            bench.add_runner(f"lektor-{index}")
        self.limit(bench, self.RATE)
        async with run_two_hosts(bench) as hosts:
            yield hosts

    def limit(self, bench, rate):
        """Have the first runner name a rate, or none."""
        bench.runners["lektor-0"].engine.request_rate = rate

    def begun(self, bench, name="lektor-0"):
        """Return when a runner began each request."""
        engine = bench.runners[name].engine
        return [stream.started_at_seconds for stream in engine.started]


class FleetTest(LimitedCase):
    def test_all_hosts_together_send_it_what_it_takes(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as hosts:
                # Both know before anything counts.
                for number in range(100):
                    if all(host.has_request_rate("lektor-0") for host in hosts):
                        break
                    await hosts[number % 2].complete(label(number))
                are_told = all(host.has_request_rate("lektor-0") for host in hosts)
                known_count = len(self.begun(bench))
                answers = [
                    await hosts[number % 2].complete(label(100 + number))
                    for number in range(160)
                ]
                return are_told, answers, self.begun(bench)[known_count:]

        are_told, answers, times = self.run_scenario(scenario)
        self.assertTrue(are_told)
        self.assertEqual({200}, {answer.status_code for answer in answers})
        self.assertLessEqual(most_in_window(times), allowed_count(self.RATE))

    def test_a_host_obeys_what_another_was_told_and_sees_it_end(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                for number in range(100):
                    if one.has_request_rate("lektor-0"):
                        break
                    await one.complete(label(number))
                await until(lambda: two.has_request_rate("lektor-0"))
                rates = two.daemon.scheduler.rates
                believed = rates.word("lektor-0").requests_per_second
                self.limit(bench, None)
                # Whoever has its turn next hears that there is no rate any more.
                for number in range(1000):
                    if rates.word("lektor-0").requests_per_second is None:
                        break
                    await one.complete(label(1000 + number))
                    await two.complete(label(1000 + number))
                return believed, rates.word("lektor-0").requests_per_second

        self.assertEqual((self.RATE, None), self.run_scenario(scenario))

    def test_what_is_beyond_all_rates_is_refused_at_once_as_not_run(self):
        async def scenario(bench):
            async with self.two_hosts(bench) as (one, two):
                for runner in bench.runners.values():
                    runner.engine.request_rate = 0.0
                for number in range(100):
                    if all(one.has_request_rate(name) for name in bench.runners):
                        break
                    await one.complete(label(number))
                deadline = {"Rampwick-Deadline-Seconds": "5"}
                return await one.complete("one more", headers=deadline)

        answer = self.run_scenario(scenario)
        self.assertEqual(503, answer.status_code)
        self.assertIn("Retry-After", answer.headers)
        error = answer.json()["error"]
        self.assertEqual(("upstreams_at_rate", "no"), (error["code"], error["was_run"]))


def make_upstream(name="u"):
    """Return a plain upstream as a host sees it."""
    return Upstream(HostEntry(name, "service", "h0", f"{name}:1"), Health(0.1, 1.0))


def make_fleet(hosts_count, halls_count):
    """Return the hosts of a fleet by name, each with its hall."""
    return {f"e{index}": f"h{index % halls_count}" for index in range(hosts_count)}


def standpoints(fleet):
    """Return where each host of a fleet stands if all hear all."""
    halls = frozenset(fleet.values())
    for name, hall in fleet.items():
        mates = frozenset(
            other for other in fleet if fleet[other] == hall and other != name
        )
        yield Standpoint(name, hall, Neighbours(mates, mates, halls))


def make_turns(standpoint, rate, at=0.0, heard_ratio=1.0):
    """Return the turns of a host that knows the rate of one upstream."""
    rates = RequestRates(NoticeBook())
    rates.take("u", RateObservation("", rate, at, at), "test")
    return RequestTurns(rates, standpoint, lambda now_seconds: heard_ratio)


class SendersTest(TestCase):
    def test_hosts_that_hear_each_other_agree_on_who_sends(self):
        for hosts_count, halls_count in ((1, 1), (6, 4), (90, 4), (300, 6)):
            fleet = make_fleet(hosts_count, halls_count)
            for rate in (0.1, 0.2, 1.8, 7.0, 50.0, 1e6):
                senders_count = FewSenders().senders_count(rate)
                ratios = [
                    part_ratio(item, b"u/1", senders_count)
                    for item in standpoints(fleet)
                ]
                self.assertAlmostEqual(1.0, sum(ratios))
                senders = [ratio for ratio in ratios if ratio]
                self.assertLessEqual(len(senders), senders_count)

    def test_upstreams_have_different_senders(self):
        fleet = make_fleet(90, 4)
        firsts = set()
        for key in (b"u/1", b"u/2", b"v/1", b"w/1"):
            for item in standpoints(fleet):
                if part_ratio(item, key, 1):
                    firsts.add(item.host)
        self.assertGreater(len(firsts), 1)

    def test_a_host_that_leaves_sends_nothing(self):
        (own,) = standpoints(make_fleet(1, 1))
        leaving = attrs.evolve(own, is_leaving=True)
        self.assertEqual(
            (1.0, 0.0), (part_ratio(own, b"u", 1), part_ratio(leaving, b"u", 1))
        )


class TurnsTest(TestCase):
    """However much is asked for, what all send together is within the bound."""

    def sent(self, hosts_count, halls_count, rate, seed):
        """Return when requests go, if each host has always one to send."""
        draw = random.Random(seed)
        fleet = make_fleet(hosts_count, halls_count)
        hosts = [make_turns(item, rate) for item in standpoints(fleet)]
        upstream = make_upstream()
        times = []
        for step in range(1200):
            now = step / 100.0
            for host in draw.sample(hosts, len(hosts)):
                if host.may_send(upstream, now):
                    host.note_sent(upstream, now)
                    times.append(now)
        return times

    def test_all_hosts_together_keep_to_the_rate(self):
        for hosts_count, halls_count in ((6, 4), (90, 4)):
            for rate in (0.2, 1.8, 50.0):
                times = self.sent(hosts_count, halls_count, rate, seed=1)
                self.assertLessEqual(most_in_window(times), allowed_count(rate))
                self.assertGreater(len(times), 0.6 * rate * 12.0 - 1.0)

    def test_one_that_nobody_asked_for_a_while_has_two_requests_to_send(self):
        turns = make_turns(Standpoint("e0", "h0"), 1.0)
        upstream = make_upstream()
        self.assertFalse(turns.may_send(upstream, 0.0))
        times = []
        for step in range(1000, 2000):
            if turns.may_send(upstream, step / 100.0):
                turns.note_sent(upstream, step / 100.0)
                times.append(step / 100.0)
        self.assertEqual([10.0, 10.01, 11.0], times[:3])
        self.assertLessEqual(most_in_window(times), 4 + MOST_SAVED_COUNT)

    def test_a_new_sender_waits_for_a_turn_of_its_own(self):
        near = Neighbours(frozenset(), frozenset(), frozenset({"h1"}))
        turns = make_turns(Standpoint("e0", "h0", near), 2.0)
        upstream = make_upstream()
        is_sender = turns.own_rate(upstream, 0.0) > 0.0
        turns.standpoint = Standpoint("e0", "h0", near, is_leaving=is_sender)
        self.assertTrue(is_sender)
        self.assertFalse(turns.may_send(upstream, 5.0))
        turns.standpoint = Standpoint("e0", "h0")
        self.assertFalse(turns.may_send(upstream, 5.0))
        self.assertFalse(turns.may_send(upstream, 5.4))
        self.assertTrue(turns.may_send(upstream, 5.5))

    def test_hosts_that_are_cut_off_keep_to_their_part(self):
        turns = make_turns(Standpoint("e0", "h0"), 2.0, heard_ratio=0.25)
        self.assertEqual(0.5, turns.own_rate(make_upstream(), 0.0))

    def test_one_that_takes_nothing_is_tried_now_and_then(self):
        turns = make_turns(Standpoint("e0", "h0"), 0.0)
        upstream = make_upstream()
        pause_seconds = 1.0 / TRIAL_PER_SECOND
        self.assertFalse(turns.may_send(upstream, 0.0))
        self.assertFalse(turns.may_send(upstream, pause_seconds - 0.1))
        self.assertTrue(turns.may_send(upstream, pause_seconds))

    def test_a_lower_rate_holds_at_once_and_a_higher_one_too(self):
        turns = make_turns(Standpoint("e0", "h0"), 10.0)
        upstream = make_upstream()
        self.assertFalse(turns.may_send(upstream, 0.0))
        self.assertTrue(turns.may_send(upstream, 1.0))
        turns.rates.take("u", RateObservation("", 0.5, 0.95, 1.0), "test")
        for _ in range(int(MOST_SAVED_COUNT)):
            self.assertTrue(turns.may_send(upstream, 1.0))
            turns.note_sent(upstream, 1.0)
        self.assertFalse(turns.may_send(upstream, 2.9))
        turns.rates.take("u", RateObservation("", 10.0, 2.0, 2.9), "test")
        self.assertFalse(turns.may_send(upstream, 2.9))
        self.assertTrue(turns.may_send(upstream, 3.0))
        turns.rates.take("u", RateObservation("", None, 2.95, 3.0), "test")
        turns.note_sent(upstream, 3.0)
        self.assertTrue(turns.may_send(upstream, 3.0))


class NewsTest(TestCase):
    """What one host reads in an answer, all others know: soon, later, and who comes."""

    def setUp(self):
        super().setUp()
        self.woken = []
        self.one = RequestRates(NoticeBook())
        self.one.on_update = lambda: self.woken.append(True)
        self.two = RequestRates(NoticeBook())

    def answer(self, rate, at, asked=None):
        asked = at if asked is None else asked
        self.one.take_answer("u", RateObservation("1", rate, asked, at), at)

    def test_it_is_told_at_once_and_again_for_a_while(self):
        self.answer(1.8, 1.0)
        self.assertEqual([True], self.woken)
        self.two.hear(self.one.take_update(1.02), 51.0)
        self.assertEqual(1.8, self.two.rate("u", "1", 51.0))
        self.assertIs(None, self.one.take_update(1.1))
        self.assertEqual(1, len(self.one.take_retransmission(2.0).rates))
        self.assertIs(None, self.one.take_retransmission(1.1 + RETRANSMIT_SECONDS))

    def test_the_same_is_told_again_where_nobody_has_for_a_while(self):
        self.answer(1.8, 1.0)
        self.one.take_update(1.0)
        self.answer(1.8, 5.0)
        self.assertEqual(1, len(self.woken))
        self.two.hear(self.one.initial_state(5.0), 5.0)
        self.one.hear(self.two.initial_state(6.0), 6.0)
        self.answer(1.8, 1.5 + CONFIRM_SECONDS)
        self.assertEqual(2, len(self.woken))

    def test_an_old_word_does_not_bring_back_what_is_over(self):
        self.answer(1.8, 1.0)
        old = self.one.initial_state(1.0)
        self.two.hear(old, 1.0)
        self.answer(None, 2.0)
        self.two.hear(self.one.take_update(2.0), 2.0)
        self.assertIs(None, self.two.rate("u", "1", 2.0))
        late = attrs.evolve(
            old,
            rates=[
                attrs.evolve(old.rates[0], asked_age_seconds=2.0, heard_age_seconds=2.0)
            ],
        )
        self.two.hear(late, 3.0)
        self.assertIs(None, self.two.rate("u", "1", 3.0))


class SchedulerTest(TestCase):
    """What is refused, what waits for its turn, and what goes elsewhere."""

    def name_rate(self, session, at, rate, *names):
        for name in names:
            session.do(at, RateNamed(name, "one", rate, at))

    def sent_to(self, actions):
        return [item.upstream for item in actions if isinstance(item, Dispatch)]

    def test_what_a_limited_runner_does_not_take_goes_to_another(self):
        session = Session(runners=2, slots=8)
        self.name_rate(session, 0.0, 1.0, "lektor-1")
        sent = []
        for number in range(6):
            sent += self.sent_to(session.arrive(0.1, f"r{number}", text=f"{number}"))
        self.assertEqual(["lektor-2"] * 6, sent)

    def test_beyond_all_rates_it_is_refused_on_arrival(self):
        session = Session(runners=2, slots=8)
        self.name_rate(session, 0.0, 1.0, "lektor-1", "lektor-2")
        terms = {"latency_target_seconds": 2.0, "deadline": 8.0}
        waiting = session.arrive(0.5, "r0", **terms)
        self.assertEqual([], waiting)
        session.arrive(0.5, "r1", **terms)
        # Two turns a second, the first at 1.5; from 2.0 on nothing is in time.
        (refusal,) = session.arrive(0.5, "r2", **terms)
        self.assertIsInstance(refusal, Refuse)
        self.assertEqual(
            ("upstreams_at_rate", RunState.NOT_SENT),
            (refusal.reason, refusal.run_state),
        )
        self.assertGreater(refusal.retry_after_seconds, 0.0)
        self.assertIn("2 up at 1/s", refusal.evidence)
        self.assertEqual(2, len(self.sent_to(session.do(1.5, Tick()))))

    def test_what_waits_already_is_refused_as_soon_as_rates_are_known(self):
        session = Session(runners=1, slots=1)
        terms = {"latency_target_seconds": 2.0, "deadline": 8.0}
        session.arrive(0.0, "r0", **terms)
        for number in range(1, 9):
            session.arrive(0.1, f"r{number}", **terms)
        session.done(0.3, "r0")
        self.name_rate(session, 0.4, 1.0, "lektor-1")
        refused = [
            item.request_id
            for item in session.do(0.5, Tick())
            if isinstance(item, Refuse)
        ]
        # One turn a second from 0.4 on: two of those that wait are in time.
        self.assertGreaterEqual(len(refused), 5)

    def test_when_the_rate_ends_they_go_again(self):
        session = Session(runners=1, slots=8)
        self.name_rate(session, 0.0, 1.0, "lektor-1")
        self.assertEqual([], session.arrive(0.1, "r0", latency_target_seconds=2.0))
        ended = session.do(0.2, RateNamed("lektor-1", "one", None, 0.1))
        self.assertEqual(["lektor-1"], self.sent_to(ended))

    def test_while_another_may_be_back_any_moment_nothing_is_refused_for_it(self):
        session = Session(runners=2, slots=8, extra="[retry]\nhold_ratio = 0.25\n")
        self.name_rate(session, 10.0, 0.0, "lektor-1")
        session.do(10.0, ProbeFailed("lektor-2", "silent"))
        terms = {"latency_target_seconds": 2.0}
        self.assertEqual([], session.arrive(10.1, "r0", **terms))
        self.assertEqual([], session.do(10.5, Tick()))
        (refusal,) = session.do(10.7, Tick())
        self.assertEqual("no_upstream", refusal.reason)
        (refusal,) = session.arrive(13.0, "r1", **terms)
        self.assertEqual("upstreams_at_rate", refusal.reason)

    def test_another_life_of_the_runner_is_not_limited(self):
        session = Session(runners=1, slots=8)
        self.name_rate(session, 0.0, 0.0, "lektor-1")
        session.report(0.1, "lektor-1", life="two", slots=8)
        self.assertEqual(["lektor-1"], self.sent_to(session.arrive(0.2, "r0")))

    def test_a_host_that_is_no_sender_refuses_all(self):
        session = Session(runners=1, slots=8)
        near = Neighbours(frozenset({"e9"}), frozenset({"e9"}), frozenset({"trnava"}))
        session.do(0.0, NeighboursSeen(near, is_leaving=True))
        rates = RequestRates(NoticeBook())
        rates.take("lektor-1", RateObservation("one", 1.0, 0.0, 0.0), "test")
        session.do(0.0, RateLimitUpdateReceived(rates.initial_state(0.0)))
        (refusal,) = session.arrive(0.1, "r0", latency_target_seconds=2.0)
        self.assertEqual("upstreams_at_rate", refusal.reason)
