"""Guards against a stopping host that refuses what it could finish, or cuts answers.

A fixed reckoning refused four of five requests, whose answers took a tenth of it.
"""

import math

from testtools import TestCase

from rampwick_policy import AnswerKind, DrainAdmission, LateRequest, answer_kind

TARGET_SECONDS = 0.5
TOKENS_COUNT = 80
#: What the fixed reckoning says: twice the target, and 30 ms a token.
RECKONED_SECONDS = 2 * TARGET_SECONDS + 0.03 * TOKENS_COUNT
KIND = AnswerKind("labels", "m", True, TOKENS_COUNT.bit_length())


class Admission:
    """A host's knowledge, fed by answers at a steady pace."""

    def __init__(self):
        self.policy = DrainAdmission()
        self.now_seconds = 100.0

    def answer(self, *seconds, kind=KIND, apart_seconds=0.1):
        """Note answers that took so many seconds."""
        for value in seconds:
            self.now_seconds += apart_seconds
            self.policy.note_answer(
                kind,
                value,
                latency_target_seconds=TARGET_SECONDS,
                answer_tokens=TOKENS_COUNT,
                now_seconds=self.now_seconds,
            )

    def decide(
        self,
        left_seconds,
        *,
        kind=KIND,
        is_repeatable=False,
        timeout_seconds=30.0,
        is_balancer_done=True,
    ):
        """Return whether a request is taken with so many seconds left."""
        request = LateRequest(
            kind=kind,
            latency_target_seconds=TARGET_SECONDS,
            max_answer_tokens=TOKENS_COUNT,
            is_repeatable=is_repeatable,
            deadline_seconds=self.now_seconds + timeout_seconds,
        )
        return self.policy.decide(
            request,
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
        host.answer(*([0.3] * 97 + [4.0] * 3))
        self.assertTrue(host.decide(1.0, is_repeatable=True))
        self.assertFalse(host.decide(1.0, is_repeatable=False))

    def test_request_that_ends_by_its_own_timeout_first_is_taken(self):
        host = Admission()
        self.assertTrue(host.decide(1.0, timeout_seconds=0.6))
        self.assertFalse(host.decide(1.0, timeout_seconds=1.1))

    def test_kind_that_was_seen_seldom_goes_by_the_answers_of_all_kinds(self):
        host = Admission()
        host.answer(*[0.1 * RECKONED_SECONDS] * 60)
        other = AnswerKind("notes")
        self.assertTrue(host.decide(0.2 * RECKONED_SECONDS, kind=other))
        self.assertFalse(host.decide(0.1 * RECKONED_SECONDS, kind=other))

    def test_old_answers_are_forgotten(self):
        host = Admission()
        host.answer(*[0.3] * 60)
        host.now_seconds += 61.0
        self.assertFalse(host.decide(2.0))


class ChangedPaceTest(TestCase):
    """A rise of the times is believed at once, a fall slowly."""

    def test_answers_that_take_three_times_the_usual(self):
        host = Admission()
        # One answer in twenty is slow; the others tell of the rise first.
        host.answer(*[*[0.3] * 19, 1.5] * 5)
        self.assertTrue(host.decide(2.0))
        host.answer(*[0.9] * 9)
        self.assertFalse(host.decide(2.0))
        self.assertTrue(host.decide(6.0))

    def test_fall_is_believed_slowly(self):
        host = Admission()
        host.answer(*[0.3] * 60)
        host.answer(*[0.9] * 20)
        host.answer(*[0.3] * 100)
        self.assertFalse(host.decide(0.9))
        host.answer(*[0.3] * 2000)
        self.assertTrue(host.decide(0.9))

    def test_usual_variation_is_no_rise(self):
        host = Admission()
        host.answer(*[0.2, 0.3, 0.4] * 60)
        self.assertTrue(host.decide(0.6))


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

    def test_announced_tokens_without_sense_are_a_kind_too(self):
        self.assertEqual(
            0, answer_kind("s", "m", is_stream=True, max_answer_tokens=-5).tokens_order
        )
