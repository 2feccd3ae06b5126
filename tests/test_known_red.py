"""The list of known failures passes over just what it names."""

from testtools import TestCase

from .conftest import KnownFailure, find_missing, read_known

LINE = "tests/test_known_red.py::A::test_b | make test | what was seen | issue 1"


class KnownRedTest(TestCase):
    def test_a_line_names_test_command_sight_and_issue(self):
        known = read_known(f"# a note\n\n{LINE}\n")
        expected = KnownFailure(
            "tests/test_known_red.py::A::test_b",
            "make test",
            "what was seen",
            "issue 1",
        )
        self.assertEqual([expected], known)

    def test_a_line_that_lacks_a_part_is_no_line(self):
        for line in (
            "tests/test_a.py::b",
            "a | b | c",
            "a | | c | d",
            "a | b | c | d | e",
        ):
            self.assertRaises(ValueError, read_known, line)

    def test_no_more_than_three(self):
        self.assertEqual(3, len(read_known(f"{LINE}\n" * 3)))
        self.assertRaises(ValueError, read_known, f"{LINE}\n" * 4)

    def test_a_name_that_is_no_test_is_missing(self):
        (known,) = read_known(LINE)
        here = "tests/test_known_red.py"
        self.assertEqual([known.test], find_missing([known], {f"{here}::A::c": None}))
        self.assertEqual([], find_missing([known], {known.test: None}))
        # Its file was not part of this run.
        self.assertEqual([], find_missing([known], {"tests/test_a.py::b": None}))
        gone = KnownFailure("tests/no_such_file.py::A", "make test", "seen", "issue 1")
        self.assertEqual([gone.test], find_missing([gone], {known.test: None}))
