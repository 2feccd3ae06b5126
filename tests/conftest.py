"""Failures that are known and listed cost a run nothing; every run prints them.

``KNOWN-RED.txt`` at the root holds one line for each: the test's id, the command (with
its seed) that shows it, what was seen, and the issue, apart by ``|``. What is not
listed fails as ever, and so does a list that is too long or names a test that isn't
there.
"""

from pathlib import Path

import attrs
import pytest

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"

#: Most failures that may be known at once.
MAX_KNOWN = 3


@attrs.frozen
class KnownFailure:
    """One line of the list."""

    test: str
    command: str
    seen: str
    issue: str


def read_known(text: str) -> list[KnownFailure]:
    """Return the list's lines, or raise ValueError."""
    known = []
    for line in text.splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != 4 or not all(fields):
            raise ValueError(f"not 'test | command | seen | issue': {line!r}")
        known.append(KnownFailure(*fields))
    if len(known) > MAX_KNOWN:
        raise ValueError(f"{len(known)} known failures, allowed are {MAX_KNOWN}")
    return known


def find_missing(known: list[KnownFailure], collected: dict[str, object]) -> list[str]:
    """Return the listed tests that a collected file does not hold."""
    files = {node_id.partition("::")[0] for node_id in collected}
    return [
        failure.test
        for failure in known
        if failure.test not in collected
        and (failure.test.partition("::")[0] in files or not _is_file(failure.test))
    ]


def _is_file(test: str) -> bool:
    return (ROOT / test.partition("::")[0]).is_file()


def pytest_collection_modifyitems(config, items):
    """Expect the failures that are listed."""
    if not KNOWN_RED.exists():
        return
    try:
        known = read_known(KNOWN_RED.read_text())
    except ValueError as error:
        raise pytest.UsageError(f"{KNOWN_RED.name}: {error}") from None
    collected = {item.nodeid: item for item in items}
    # One test that was asked for by its name says nothing of the others.
    is_partial = any("::" in word for word in config.args)
    missing = [] if is_partial else find_missing(known, collected)
    if missing:
        raise pytest.UsageError(f"{KNOWN_RED.name}: no such test: {missing}")
    for failure in known:
        if failure.test in collected:
            reason = f"{failure.seen} ({failure.issue})"
            mark = pytest.mark.xfail(reason=reason, strict=False)
            collected[failure.test].add_marker(mark)


def pytest_terminal_summary(terminalreporter):
    """Say how each known failure went."""
    for outcome, word in (("xfailed", "failed"), ("xpassed", "PASSED, take it off")):
        for report in terminalreporter.stats.get(outcome, []):
            terminalreporter.write_line(f"known red: {report.nodeid}: {word}")
