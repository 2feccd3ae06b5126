"""The logs command, on log lines as hosts write them."""

import re
import shlex
import tempfile
from pathlib import Path

from testtools import TestCase

from .test_cli import run_main

ROOT = Path(__file__).resolve().parent.parent
OPERATIONS = ROOT / "docs/OPERATIONS.md"

LINES = """\
{"level":"info","message":"entry: attempt sent","request":"r1","attempt":"e-1.1",\
"upstream":"i-1","workspace":"/a","timestamp":1771328541.99,"task_uuid":"u"}
   3.99 host-1 {"level":"problem","message":"entry: attempt failed","request":"r1",\
"attempt":"e-1.1","upstream":"i-1","error":"read answer at i-1: reset",\
"timestamp":1771328542.0}
no log line at all
{"broken
{"level":"info","message":"beliefs: upstream is down","name":"i-1","before":"up",\
"after":"down","reason":"reset","timestamp":1771328542.1}
"""


class LogsTest(TestCase):
    def run_logs(self, *arguments):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.log"
            path.write_text(LINES)
            code, out, errors = run_main(["logs", str(path), *arguments])
        return code, out.splitlines(), errors

    def test_lines_of_a_request_in_order(self):
        code, lines, _ = self.run_logs("--about", "r1")
        self.assertEqual(0, code)
        self.assertEqual(2, len(lines))
        self.assertIn("attempt sent", lines[0])
        self.assertIn("! entry: attempt failed", lines[1])
        self.assertIn('collected="3.99 host-1"', lines[1])

    def test_state_changes_of_an_upstream(self):
        _, lines, _ = self.run_logs("--about", "i-1", "--part", "beliefs")
        self.assertEqual(1, len(lines))
        self.assertIn("before=up after=down reason=reset", lines[0])

    def test_no_match_exits_with_failure(self):
        code, lines, _ = self.run_logs("--problems", "--workspace", "/a")
        self.assertEqual((1, []), (code, lines))

    def test_json_prints_the_original_lines(self):
        _, lines, _ = self.run_logs("--json", "--part", "beliefs")
        self.assertEqual([LINES.splitlines()[-1]], lines)

    def test_missing_file_is_invalid_input(self):
        code, _, errors = run_main(["logs", "/nowhere/host.log"])
        self.assertEqual(2, code)
        self.assertIn("/nowhere/host.log", errors)


class OperationsPageTest(TestCase):
    """The commands in docs/OPERATIONS.md are valid."""

    def commands(self):
        text = OPERATIONS.read_text()
        return re.findall(r"^    \$ (rampwick .*)$", text, re.MULTILINE)

    def examples(self):
        """Return the example log lines of the page."""
        return re.findall(r"^    (\{.*\})$", OPERATIONS.read_text(), re.MULTILINE)

    def test_each_logs_command_matches_an_example_line(self):
        commands = [
            item for item in self.commands() if item.startswith("rampwick logs")
        ]
        self.assertGreaterEqual(len(commands), 3)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.log"
            path.write_text("\n".join(self.examples()) + "\n")
            for command in commands:
                arguments = shlex.split(command.replace("*.log", str(path)))[1:]
                code, out, errors = run_main(arguments)
                self.assertEqual(0, code, f"{command}: {errors}")
                self.assertTrue(out, command)

    def test_options_of_every_command_exist(self):
        for command in self.commands():
            arguments = shlex.split(command)[1:]
            code, out, _ = run_main([*arguments[:1], "--help"])
            self.assertEqual(0, code, command)
            for word in arguments:
                if word.startswith("--"):
                    self.assertIn(word, out, command)
