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

TARGET_SECONDS = 0.5
TOKENS_COUNT = 80
#: What the fixed estimate says: twice the target, and 30 ms a token.
RECKONED_SECONDS = 2 * TARGET_SECONDS + 0.03 * TOKENS_COUNT
KIND = AnswerKind("labels", "m", True)


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

    def decide(self, left_seconds, *, is_balancer_done=True, **terms):
        """Return whether a request is taken with so many seconds left."""
        return self.policy.decide(
            self.request(**terms),
            self.now_seconds + left_seconds,
            now_seconds=self.now_seconds,
            is_balancer_done=is_balancer_done,
        ).is_admitted


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
