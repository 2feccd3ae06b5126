"""The checkers themselves, on histories that break their promise."""

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
    def test_whole_answer_passes(self):
        self.assertEqual(
            [], check_responses([ObservedResponse("p", 200, WHOLE, True)], 3)
        )

    def test_answers_that_break_the_promise_are_found(self):
        broken = [
            ObservedResponse("p", 200, WHOLE[:2], True),
            ObservedResponse("p", 200, WHOLE[::-1], True),
            ObservedResponse("p", 200, (*WHOLE, WHOLE[2]), True),
            ObservedResponse("p", 200, expected_tokens("other", 3), True),
            ObservedResponse("p", 200, WHOLE[:2], False),
            ObservedResponse("p", 200, (WHOLE[0], WHOLE[2]), False, "stream_lost"),
        ]
        for saw in broken:
            self.assertNotEqual([], check_responses([saw], 3), saw)

    def test_second_run_is_found(self):
        self.assertEqual([], check_at_most_once(["a", "b", "b"], ["a"]))
        self.assertNotEqual([], check_at_most_once(["a", "b", "b"], ["b"]))

    def test_run_behind_a_refusal_is_found(self):
        saw = ObservedResponse("p", 503, error_code="x", was_run="no")
        self.assertEqual([], check_not_run([saw], ["q"]))
        self.assertNotEqual([], check_not_run([saw], ["p"]))
        maybe = ObservedResponse("p", 502, error_code="x", was_run="maybe")
        self.assertEqual([], check_not_run([maybe], ["p"]))

    def test_missing_and_second_answers_are_found(self):
        saw = ObservedResponse("p", 200, WHOLE, True)
        self.assertEqual([], check_final_responses([saw], ["p"]))
        self.assertNotEqual([], check_final_responses([], ["p"]))
        self.assertNotEqual([], check_final_responses([saw, saw], ["p"]))

    def test_entry_of_older_weights_is_found(self):
        fine = [attempt("a", "s", 0, 1), attempt("b", "s", 16, 1)]
        self.assertEqual([], check_cache(fine))
        self.assertNotEqual([], check_cache([*fine, attempt("c", "s", 16, 2)]))

    def test_the_engines_own_word_on_its_entries_goes_before_the_salt(self):
        first = attempt("a", "s", 0, 1)
        late = attrs.evolve(attempt("b", "s", 16, 2), cached_weights_version=2)
        self.assertEqual([], check_cache([first, late]))
        stale = attrs.evolve(attempt("b", "t", 16, 2), cached_weights_version=1)
        self.assertNotEqual([], check_cache([first, stale]))

    def test_falling_revision_is_found(self):
        looks = [
            ObservedRevision("h", 1),
            ObservedRevision("g", 5),
            ObservedRevision("h", 2),
        ]
        self.assertEqual([], check_revisions(looks))
        self.assertNotEqual([], check_revisions([*looks, ObservedRevision("h", 1)]))
