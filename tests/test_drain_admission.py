"""Guards against a stopping host that refuses what it could finish, or cuts answers.

A fixed estimate refused four of five requests, whose answers took a tenth of it.
"""

import math

from testtools import TestCase

from rampwick_policy import (
    AnswerKind,
    DrainAdmission,
    DrainRequest,
    retry_elsewhere_seconds,
)
from rampwick_policy._survival import Duration, duration_quantile

TARGET_SECONDS = 0.5
TOKENS_COUNT = 80
#: What the fixed estimate says: twice the target, and 30 ms a token.
RECKONED_SECONDS = 2 * TARGET_SECONDS + 0.03 * TOKENS_COUNT
#: Plain requests: once the balancer is done, the estimate alone admits no stream.
KIND = AnswerKind("labels", "m")


class Admission:
    """A host's knowledge, fed by answers at a steady pace."""

    def __init__(self):
        self.policy = DrainAdmission()
        self.now_seconds = 100.0

    def request(self, **terms):
        """Return a request; its fields may be given."""
        fields = {
            "kind": KIND,
            "latency_target_seconds": TARGET_SECONDS,
            "max_answer_tokens": TOKENS_COUNT,
            "expected_answer_tokens": None,
            "is_repeatable": True,
            "deadline_seconds": self.now_seconds + 30.0,
        }
        return DrainRequest(**{**fields, **terms})

    def answer(self, *seconds, apart_seconds=0.1, **terms):
        """Note answers that took so many seconds."""
        for value in seconds:
            self.now_seconds += apart_seconds
            self.policy.note_answer(self.request(**terms), value, self.now_seconds)

    def open(self, count, **terms):
        """Begin requests; return their answers."""
        answers = []
        for _ in range(count):
            answer = self.policy.begin(self.request(**terms), self.now_seconds)
            answer.note_sent(self.now_seconds)
            answers.append(answer)
        return answers

    def decide(self, left_seconds, **terms):
        """Return whether a request is taken with so many seconds left."""
        return self.judge(left_seconds, **terms).is_admitted

    def judge(
        self,
        left_seconds,
        *,
        is_balancer_done=True,
        is_waiting=False,
        may_have_run=False,
        is_elsewhere_ready=False,
        **terms,
    ):
        """Return the decision on a request with so many seconds left."""
        options = {}
        if is_waiting or may_have_run:
            options = {"is_waiting": is_waiting, "may_have_run": may_have_run}
        if is_elsewhere_ready:
            options["is_elsewhere_ready"] = True
        return self.policy.decide(
            self.request(**terms),
            self.now_seconds + left_seconds,
            now_seconds=self.now_seconds,
            is_balancer_done=is_balancer_done,
            **options,
        )


class LearnedAdmissionTest(TestCase):
    def test_request_whose_answers_are_known_to_be_fast_is_taken(self):
        host = Admission()
        self.assertFalse(host.decide(2.0))
        host.answer(*[0.3] * 30)
        self.assertTrue(host.decide(0.5))
        self.assertFalse(host.decide(0.2))

    def test_request_whose_answers_are_known_to_be_slow_is_refused(self):
        host = Admission()
        self.assertTrue(host.decide(5.0, is_balancer_done=False))
        host.answer(*[6.0] * 30)
        self.assertFalse(host.decide(5.0, is_balancer_done=False))

    def test_request_that_may_run_twice_takes_more_risk(self):
        host = Admission()
        host.answer(*[1.0] * 30)
        self.assertTrue(host.decide(1.4, is_repeatable=True))
        self.assertFalse(host.decide(1.4, is_repeatable=False))

    def test_request_that_ends_by_its_own_timeout_first_is_taken(self):
        host = Admission()
        self.assertTrue(host.decide(1.0, deadline_seconds=host.now_seconds + 0.6))
        self.assertFalse(host.decide(1.0, deadline_seconds=host.now_seconds + 1.1))

    def test_answers_of_another_length_do_not_count(self):
        host = Admission()
        for _ in range(30):
            host.answer(0.2, expected_answer_tokens=5)
            host.answer(3.0, expected_answer_tokens=60)
        self.assertTrue(host.decide(0.5, expected_answer_tokens=6))
        self.assertFalse(host.decide(2.0, expected_answer_tokens=50))

    def test_answer_longer_than_any_seen_is_expected_to_take_longer(self):
        host = Admission()
        host.answer(*[1.0] * 30, expected_answer_tokens=10)
        self.assertTrue(host.decide(1.4, expected_answer_tokens=10))
        self.assertFalse(host.decide(2.5, expected_answer_tokens=20))
        self.assertTrue(host.decide(2.7, expected_answer_tokens=20))

    def test_few_answers_are_taken_with_a_margin(self):
        host = Admission()
        host.answer(*[0.5] * 4)
        self.assertFalse(host.decide(2.0))
        host.answer(0.5)
        self.assertTrue(host.decide(1.0))
        self.assertFalse(host.decide(0.7))
        host.answer(*[0.5] * 30)
        self.assertTrue(host.decide(0.7))

    def test_old_answers_are_forgotten(self):
        host = Admission()
        host.answer(*[0.3] * 60)
        host.now_seconds += 61.0
        self.assertFalse(host.decide(2.0))


class ChangedPaceTest(TestCase):
    """A rise of the times is believed at once, a fall slowly."""

    def test_answers_that_take_three_times_the_usual(self):
        host = Admission()
        for _ in range(30):
            host.answer(0.3, expected_answer_tokens=5)
            host.answer(1.5, expected_answer_tokens=70)
        self.assertTrue(host.decide(2.5, expected_answer_tokens=70))
        # Short answers tell of the rise first.
        host.answer(*[2.7] * 9, expected_answer_tokens=5)
        self.assertFalse(host.decide(2.5, expected_answer_tokens=70))

    def test_fall_is_believed_slowly(self):
        host = Admission()
        host.answer(*[0.3] * 60)
        host.answer(*[0.9] * 20)
        host.answer(*[0.3] * 10)
        self.assertFalse(host.decide(0.9))
        host.answer(*[0.3] * 100)
        self.assertTrue(host.decide(0.9))

    def test_usual_variation_is_no_rise(self):
        host = Admission()
        host.answer(*[0.2, 0.3, 0.4] * 60)
        self.assertTrue(host.decide(0.55))


class EvidenceTest(TestCase):
    """A request is not taken on an estimate that nothing supports."""

    def test_request_that_must_not_run_twice_needs_answers(self):
        host = Admission()
        for is_balancer_done in (False, True):
            terms = {"is_repeatable": False, "is_balancer_done": is_balancer_done}
            self.assertFalse(host.decide(9.0, max_answer_tokens=0, **terms))
        host.answer(*[0.3] * 19)
        self.assertFalse(host.decide(5.0, is_repeatable=False))
        host.answer(0.3)
        self.assertTrue(host.decide(5.0, is_repeatable=False))

    def test_once_the_balancer_is_done_few_requests_of_unknown_time_are_open(self):
        host = Admission()
        self.assertTrue(host.decide(9.0))
        host.open(2)
        self.assertFalse(host.decide(9.0))
        self.assertTrue(host.decide(9.0, is_balancer_done=False))
        self.assertTrue(host.decide(9.0, kind=AnswerKind("other")))

    def test_long_answers_are_risked_only_while_the_balancer_sends_callers_here(self):
        host = Admission()
        host.answer(*([0.25] * 32 + [6.0]) * 3)
        self.assertTrue(host.decide(5.0, is_balancer_done=False))
        self.assertFalse(host.decide(5.0))
        self.assertFalse(host.decide(5.0, is_balancer_done=False, is_repeatable=False))

    def test_one_long_answer_of_a_hundred_does_not_refuse_all(self):
        host = Admission()
        host.answer(*[0.25] * 95, 6.0, *[0.25] * 4)
        self.assertTrue(host.decide(5.0))
        self.assertFalse(host.decide(5.0, is_repeatable=False))

    def test_decision_states_its_evidence(self):
        host = Admission()
        decision = host.judge(9.0)
        self.assertEqual(("target", 0), (decision.source.value, decision.answers_count))
        host.answer(*[0.3] * 30)
        host.open(3)
        decision = host.judge(2.0)
        self.assertEqual("answers", decision.source.value)
        self.assertEqual((30, 3), (decision.answers_count, decision.open_count))
        self.assertAlmostEqual(2.0, decision.remaining_seconds)
        self.assertEqual(
            "timeout",
            host.judge(2.0, deadline_seconds=host.now_seconds).source.value,
        )


class OpenAnswerTest(TestCase):
    """What is not complete yet shows that answers take at least that long."""

    def test_open_requests_that_are_older_than_every_known_answer(self):
        host = Admission()
        host.answer(*[0.3] * 20)
        host.open(20)
        self.assertTrue(host.decide(1.0))
        host.now_seconds += 2.0
        self.assertFalse(host.decide(3.0))
        self.assertTrue(host.decide(6.0))
        self.assertFalse(host.decide(6.0, is_repeatable=False))

    def test_open_requests_of_a_host_that_has_few_answers(self):
        host = Admission()
        self.assertTrue(host.decide(9.0, is_balancer_done=False))
        host.open(1)
        host.now_seconds += RECKONED_SECONDS + 0.1
        self.assertFalse(host.decide(9.0, is_balancer_done=False))

    def test_open_requests_that_have_ended_or_are_longer_do_not_count(self):
        host = Admission()
        host.answer(*[0.3] * 20, expected_answer_tokens=5)
        longer = host.open(10, expected_answer_tokens=60)
        like = host.open(10, expected_answer_tokens=5)
        host.now_seconds += 2.0
        self.assertFalse(host.decide(2.0, expected_answer_tokens=5))
        for answer in like:
            host.policy.end(answer)
        self.assertTrue(host.decide(2.0, expected_answer_tokens=5))
        for answer in longer:
            host.policy.end(answer)
        self.assertEqual({}, host.policy.answer_times.open_answers._kinds)

    def test_pace_of_open_streams_that_falls(self):
        host = Admission()
        usual = host.open(5)
        for _ in range(40):
            host.now_seconds += 0.02
            for answer in usual:
                answer.note_events(1, host.now_seconds)
        for answer in usual * 4:
            host.policy.note_answer(
                host.request(), 0.8, host.now_seconds, progress=answer
            )
        self.assertTrue(host.decide(2.0))
        for _ in range(8):
            host.now_seconds += 0.1
            for answer in usual:
                answer.note_events(1, host.now_seconds)
        self.assertFalse(host.decide(4.0))
        self.assertTrue(host.decide(6.0))

    def test_streams_whose_events_cease(self):
        host = Admission()
        answers = host.open(5)
        for _ in range(40):
            host.now_seconds += 0.02
            for answer in answers:
                answer.note_events(1, host.now_seconds)
        for answer in answers * 4:
            host.policy.note_answer(
                host.request(), 0.8, host.now_seconds, progress=answer
            )
        self.assertTrue(host.decide(2.0))
        host.now_seconds += 1.0
        self.assertFalse(host.decide(4.0))

    def test_pace_of_open_streams_replaces_that_of_the_fixed_estimate(self):
        host = Admission()
        answers = host.open(1)
        self.assertTrue(host.decide(7.0))
        for _ in range(10):
            host.now_seconds += 0.1
            answers[0].note_events(1, host.now_seconds)
        self.assertFalse(host.decide(7.0))


class DurationQuantileTest(TestCase):
    def test_ages_of_open_ones_are_lower_bounds(self):
        ended = [Duration(seconds / 10) for seconds in range(1, 11)]
        self.assertEqual(0.5, duration_quantile(ended, 0.5))
        young = [Duration(0.05, is_open=True)] * 10
        self.assertEqual(0.5, duration_quantile([*ended, *young], 0.5))
        old = [Duration(2.0, is_open=True)] * 10
        self.assertEqual(1.0, duration_quantile([*ended, *old], 0.5))
        for quantile in (0.6, 1.0):
            self.assertEqual(math.inf, duration_quantile([*ended, *old], quantile))

    def test_long_ones_that_began_before_the_others_do_not_count_at_first(self):
        short = [Duration(0.25)] * 94
        former = [Duration(6.0, entry_seconds=5.5)] * 4
        still_open = [Duration(3.0, is_open=True)] * 2
        durations = [*short, *former, *still_open]
        self.assertEqual(0.25, duration_quantile(durations, 0.95))
        self.assertEqual(6.0, duration_quantile(durations, 0.99))
        self.assertEqual(6.0, duration_quantile(durations, 1.0))

    def test_end_of_one_among_many_that_began_earlier(self):
        durations = [Duration(0.2), *[Duration(6.0, entry_seconds=3.0)] * 5]
        self.assertEqual(6.0, duration_quantile(durations, 0.95))

    def test_nothing_known(self):
        for quantile in (0.5, 1.0):
            self.assertEqual(math.inf, duration_quantile([], quantile))


class WaitingRequestTest(TestCase):
    """A request that waited is judged by what is left once it is sent."""

    def test_time_of_an_attempt_counts_from_its_first_write(self):
        host = Admission()
        for _ in range(30):
            answer = host.policy.begin(host.request(), host.now_seconds)
            answer.note_sent(host.now_seconds + 3.0)
            host.now_seconds += 4.0
            host.policy.end(answer)
            host.policy.note_answer(
                host.request(), 4.0, host.now_seconds, progress=answer
            )
        self.assertFalse(host.decide(2.0))
        self.assertTrue(host.decide(2.0, is_waiting=True))
        self.assertFalse(host.decide(1.0, is_waiting=True))

    def test_requests_that_wait_show_nothing_to_each_other(self):
        host = Admission()
        waiting = host.open(3)
        for answer in waiting:
            answer.note_attempt()
        host.now_seconds += RECKONED_SECONDS * 2 + 0.1
        self.assertFalse(host.decide(9.0))
        self.assertTrue(host.decide(9.0, is_waiting=True))
        for answer in waiting[:2]:
            answer.note_sent(host.now_seconds)
        self.assertFalse(host.decide(9.0, is_waiting=True))

    def test_request_that_may_have_run_is_sent_if_it_is_likely_to_fit(self):
        host = Admission()
        host.answer(*[0.3, 0.3, 0.3, 3.0] * 10)
        self.assertFalse(host.decide(1.0, is_waiting=True))
        self.assertTrue(host.decide(1.0, is_waiting=True, may_have_run=True))
        self.assertFalse(host.decide(0.2, is_waiting=True, may_have_run=True))


class ImplausibleTimeTest(TestCase):
    def test_implausible_durations_are_ignored(self):
        host = Admission()
        host.answer(*[0.3] * 60)
        host.answer(0.0, -1.0, math.nan, math.inf, 1e9)
        self.assertTrue(host.decide(0.5))

    def test_number_of_kinds_is_bounded(self):
        host = Admission()
        for number in range(2000):
            host.answer(0.1, kind=AnswerKind(f"s{number}"), apart_seconds=0.001)
        self.assertEqual(512, len(host.policy.answer_times._kinds))

    def test_expected_tokens_without_sense_count_as_the_announced_ones(self):
        host = Admission()
        host.answer(*[0.3] * 30)
        for tokens in (10**12, 0, -5):
            self.assertTrue(host.decide(0.5, expected_answer_tokens=tokens))


class RetryElsewhereTest(TestCase):
    def test_refused_caller_waits_longer_the_fewer_peers_are_ready(self):
        self.assertEqual(0.05, retry_elsewhere_seconds(5, 5))
        self.assertEqual(0.25, retry_elsewhere_seconds(1, 5))
        self.assertEqual(1.0, retry_elsewhere_seconds(0, 5))
        self.assertEqual(1.0, retry_elsewhere_seconds(1, 299))

    def test_host_without_peers_does_not_know(self):
        self.assertEqual(0.05, retry_elsewhere_seconds(0, 0))
