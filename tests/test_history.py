"""Tests of the checkers in history.py, on histories with violations."""

import attrs
import testtools

from .history import (
    ObservedAttempt,
    ObservedResponse,
    ObservedRevision,
    check_at_most_once,
    check_cache,
    check_final_responses,
    check_not_run,
    check_responses,
    check_revisions,
    expected_tokens,
)

WHOLE = expected_tokens("p", 3)


def attempt(attempt_id: str, salt: str, cached: int, weights: int) -> ObservedAttempt:
    return ObservedAttempt("r", attempt_id, b"", salt, cached, weights, "life")


class CheckersTest(testtools.TestCase):
    def test_complete_response_passes(self):
        self.assertEqual(
            [], check_responses([ObservedResponse("p", 200, WHOLE, True)], 3)
        )

    def test_wrong_responses_are_reported(self):
        wrong_responses = [
            ObservedResponse("p", 200, WHOLE[:2], True),
            ObservedResponse("p", 200, WHOLE[::-1], True),
            ObservedResponse("p", 200, (*WHOLE, WHOLE[2]), True),
            ObservedResponse("p", 200, expected_tokens("other", 3), True),
            ObservedResponse("p", 200, WHOLE[:2], False),
            ObservedResponse("p", 200, (WHOLE[0], WHOLE[2]), False, "stream_lost"),
        ]
        for response in wrong_responses:
            self.assertNotEqual([], check_responses([response], 3), response)

    def test_second_run_is_reported(self):
        self.assertEqual([], check_at_most_once(["a", "b", "b"], ["a"]))
        self.assertNotEqual([], check_at_most_once(["a", "b", "b"], ["b"]))

    def test_run_of_a_request_refused_as_not_run_is_reported(self):
        response = ObservedResponse("p", 503, error_code="x", was_run="no")
        self.assertEqual([], check_not_run([response], ["q"]))
        self.assertNotEqual([], check_not_run([response], ["p"]))
        maybe = ObservedResponse("p", 502, error_code="x", was_run="maybe")
        self.assertEqual([], check_not_run([maybe], ["p"]))

    def test_missing_and_second_responses_are_reported(self):
        response = ObservedResponse("p", 200, WHOLE, True)
        self.assertEqual([], check_final_responses([response], ["p"]))
        self.assertNotEqual([], check_final_responses([], ["p"]))
        self.assertNotEqual([], check_final_responses([response, response], ["p"]))

    def test_cache_entry_of_older_weights_is_reported(self):
        valid = [attempt("a", "s", 0, 1), attempt("b", "s", 16, 1)]
        self.assertEqual([], check_cache(valid))
        self.assertNotEqual([], check_cache([*valid, attempt("c", "s", 16, 2)]))

    def test_weights_version_reported_by_the_engine_overrides_the_salt(self):
        first = attempt("a", "s", 0, 1)
        late = attrs.evolve(attempt("b", "s", 16, 2), cached_weights_version=2)
        self.assertEqual([], check_cache([first, late]))
        stale = attrs.evolve(attempt("b", "t", 16, 2), cached_weights_version=1)
        self.assertNotEqual([], check_cache([first, stale]))

    def test_decreasing_revision_is_reported(self):
        samples = [
            ObservedRevision("h", 1),
            ObservedRevision("g", 5),
            ObservedRevision("h", 2),
        ]
        self.assertEqual([], check_revisions(samples))
        self.assertNotEqual([], check_revisions([*samples, ObservedRevision("h", 1)]))
