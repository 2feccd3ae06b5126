"""The budget of bytes that all answers in progress share."""

from hypothesis import given, strategies as st
from testtools import TestCase

from rampwick_policy import BufferBudget, BufferedAnswer, BufferLimit


def add(budget, upstream="a"):
    answer = BufferedAnswer(upstream)
    budget.add(answer)
    return answer


class BufferBudgetTest(TestCase):
    def test_answer_over_its_own_bound_is_a_failure_of_its_upstream(self):
        budget = BufferBudget(1000, 100)
        answer = add(budget)
        self.assertEqual([], budget.resize(answer, 100))
        (cut,) = budget.resize(answer, 101)
        self.assertIs(answer, cut.answer)
        self.assertIs(BufferLimit.ANSWER, cut.limit)
        self.assertTrue(cut.is_upstream_failure)

    def test_largest_answer_makes_room_for_a_small_one(self):
        budget = BufferBudget(1000, 1000)
        large, small = add(budget, "a"), add(budget, "b")
        self.assertEqual([], budget.resize(large, 990))
        (cut,) = budget.resize(small, 20)
        self.assertIs(large, cut.answer)
        self.assertIs(BufferLimit.PROCESS, cut.limit)
        self.assertTrue(cut.is_upstream_failure)
        self.assertEqual(20, budget.held_bytes)

    def test_oldest_of_equally_large_answers_is_ended(self):
        budget = BufferBudget(100, 100)
        answers = [add(budget, str(number)) for number in range(5)]
        for answer in answers[:4]:
            self.assertEqual([], budget.resize(answer, 25))
        (cut,) = budget.resize(answers[4], 25)
        self.assertIs(answers[0], cut.answer)

    def test_shortage_is_no_failure_of_an_upstream_with_a_small_share(self):
        budget = BufferBudget(100, 100)
        answers = [add(budget, str(number)) for number in range(4)]
        cuts = [cut for item in answers for cut in budget.resize(item, 30)]
        self.assertEqual([False], [cut.is_upstream_failure for cut in cuts])

    def test_bytes_that_a_caller_does_not_take_are_no_failure_of_the_upstream(self):
        budget = BufferBudget(100, 80)
        first, second = add(budget), add(budget)
        (cut,) = budget.resize(first, 90, waits_for_caller=True)
        self.assertFalse(cut.is_upstream_failure)
        third = add(budget)
        self.assertEqual([], budget.resize(second, 60, waits_for_caller=True))
        (cut,) = budget.resize(third, 50, waits_for_caller=True)
        self.assertIs(second, cut.answer)
        self.assertFalse(cut.is_upstream_failure)

    @given(st.lists(st.tuples(st.integers(0, 5), st.integers(0, 200), st.booleans())))
    def test_total_never_exceeds_the_bound(self, steps):
        budget = BufferBudget(300, 150)
        answers = {}
        for number, count, is_end in steps:
            if is_end and number in answers:
                budget.remove(answers.pop(number))
                continue
            answer = answers.get(number) or add(budget, str(number % 2))
            answers[number] = answer
            budget.resize(answer, count)
            held = [item.held_bytes for item in answers.values() if not item.is_cut]
            self.assertEqual(sum(held), budget.held_bytes)
            self.assertTrue(budget.held_bytes <= 300)
            self.assertTrue(max(held, default=0) <= 150)
        for answer in answers.values():
            budget.remove(answer)
        self.assertEqual(0, budget.held_bytes)
