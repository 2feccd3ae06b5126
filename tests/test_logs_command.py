"""The logs command, on lines that hosts wrote."""

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
    def run_logs(self, *words):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.log"
            path.write_text(LINES)
            code, out, errors = run_main(["logs", str(path), *words])
        return code, out.splitlines(), errors

    def test_all_lines_of_a_request_in_their_order(self):
        code, lines, _ = self.run_logs("--about", "r1")
        self.assertEqual(0, code)
        self.assertEqual(2, len(lines))
        self.assertIn("attempt sent", lines[0])
        self.assertIn("! entry: attempt failed", lines[1])
        self.assertIn('collected="3.99 host-1"', lines[1])

    def test_what_was_believed_of_an_upstream(self):
        _, lines, _ = self.run_logs("--about", "i-1", "--part", "beliefs")
        self.assertEqual(1, len(lines))
        self.assertIn("before=up after=down reason=reset", lines[0])

    def test_problems_of_a_workspace_or_nothing(self):
        code, lines, _ = self.run_logs("--problems", "--workspace", "/a")
        self.assertEqual((1, []), (code, lines))

    def test_json_gives_the_lines_as_they_were(self):
        _, lines, _ = self.run_logs("--json", "--part", "beliefs")
        self.assertEqual([LINES.splitlines()[-1]], lines)

    def test_a_file_that_is_not_there_is_said(self):
        code, _, errors = run_main(["logs", "/nowhere/host.log"])
        self.assertEqual(2, code)
        self.assertIn("/nowhere/host.log", errors)


class OperationsPageTest(TestCase):
    """What docs/OPERATIONS.md tells operators to type can be typed."""

    def commands(self):
        text = OPERATIONS.read_text()
        return re.findall(r"^    \$ (rampwick .*)$", text, re.MULTILINE)

    def examples(self):
        """Return the log lines that the page shows."""
        return re.findall(r"^    (\{.*\})$", OPERATIONS.read_text(), re.MULTILINE)

    def test_each_logs_command_finds_its_lines_on_the_page(self):
        commands = [
            item for item in self.commands() if item.startswith("rampwick logs")
        ]
        self.assertGreaterEqual(len(commands), 3)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "host.log"
            path.write_text("\n".join(self.examples()) + "\n")
            for command in commands:
                words = shlex.split(command.replace("*.log", str(path)))[1:]
                code, out, errors = run_main(words)
                self.assertEqual(0, code, f"{command}: {errors}")
                self.assertTrue(out, command)

    def test_every_other_command_is_understood(self):
        for command in self.commands():
            words = shlex.split(command)[1:]
            code, out, _ = run_main([*words[:1], "--help"])
            self.assertEqual(0, code, command)
            for word in words:
                if word.startswith("--"):
                    self.assertIn(word, out, command)
