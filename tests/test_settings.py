"""Settings files: values that are applied, ignored or rejected."""

from testtools import TestCase

from rampwick_schema import SettingsError, parse_settings

HOST = """
[host]
name = "entry-1"
hall = "trnava"
"""


class FilledValuesTest(TestCase):
    def read(self, text):
        self.problems = []
        return parse_settings(
            HOST + text, source="host.toml", on_problem=self.problems.append
        )

    def test_units_are_converted_to_seconds(self):
        settings = self.read(
            "[filled.platform]\nmax_key_age_seconds = '5000 ms'\n"
            "[filled.life]\nstop_within_seconds = '8'\n"
        )
        self.assertEqual(5.0, settings.platform.max_key_age_seconds)
        self.assertEqual(8.0, settings.life.stop_within_seconds)
        self.assertEqual([], self.problems)

    def test_an_empty_value_leaves_the_plain_setting_unchanged(self):
        settings = self.read(
            "[retry]\nbudget_ratio = 0.3\n[filled.retry]\nbudget_ratio = ' ms'\n"
        )
        self.assertEqual(0.3, settings.retry.budget_ratio)
        self.assertEqual([], self.problems)

    def test_an_invalid_value_is_reported_with_its_key(self):
        settings = self.read("[filled.retry]\nbudget_ratio = 'a fifth'\n")
        self.assertEqual(0.1, settings.retry.budget_ratio)
        (problem,) = self.problems
        self.assertIn("filled.retry.budget_ratio", problem)
        self.assertIn("a fifth", problem)

    def test_a_value_out_of_range_is_limited_to_the_bound(self):
        settings = self.read("[filled.retry]\nbudget_ratio = '7.5'\n")
        self.assertEqual(1.0, settings.retry.budget_ratio)
        (problem,) = self.problems
        self.assertIn("7.5", problem)

    def test_a_fractional_count_is_rounded(self):
        settings = self.read("[filled.steward]\nmax_loads_count = '2.6'\n")
        self.assertEqual(3, settings.steward.max_loads_count)

    def test_an_unknown_key_is_rejected(self):
        error = self.assertRaises(
            SettingsError, self.read, "[filled.retry]\nbudget = '1'\n"
        )
        self.assertIn("retry.budget", str(error))

    def test_an_invalid_plain_setting_is_rejected(self):
        error = self.assertRaises(
            SettingsError, self.read, "[retry]\nbudget_ratio = '0.2'\n"
        )
        self.assertIn("retry.budget_ratio", str(error))
