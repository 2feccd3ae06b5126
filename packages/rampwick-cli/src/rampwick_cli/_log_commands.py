"""The ``logs`` command: filter and format the log lines of hosts."""

import argparse
import sys
import time
from collections.abc import Iterable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any, TextIO

import orjson

from . import _exit_codes
from ._output import Output

#: Poll interval of ``--follow``.
FOLLOW_SECONDS = 0.2

#: Fields left out of the field list: internal, or printed in columns of their own.
OMITTED_FIELDS = frozenset(
    {"task_uuid", "task_level", "message_type", "timestamp", "message", "level"}
)

#: File name that stands for standard input.
STANDARD_INPUT = "-"


async def run_logs(arguments: argparse.Namespace, output: Output) -> int:
    """Show log lines of hosts, filtered by request, workspace or component."""
    lines_count = 0
    for line in _read(arguments.files, arguments.follow):
        entry = parse_line(line)
        if entry is None or not matches_filters(entry, arguments):
            continue
        lines_count += 1
        print(line.strip() if output.as_json else format_entry(entry), flush=True)
    return _exit_codes.OK if lines_count else _exit_codes.FAILED


def parse_line(line: str) -> dict[str, Any] | None:
    """Return the fields of a log line, or None if it holds none.

    Text that a log collector put before the JSON object is kept as ``collected``.
    """
    start = line.find("{")
    if start < 0:
        return None
    try:
        entry = orjson.loads(line[start:])
    except ValueError:
        return None
    if "message" not in entry:
        return None
    prefix = line[:start].strip()
    if prefix:
        entry["collected"] = prefix
    return entry


def matches_filters(entry: dict[str, Any], arguments: argparse.Namespace) -> bool:
    """Return whether a log entry passes all filters of the command line."""
    part, about, workspace = arguments.part, arguments.about, arguments.workspace
    return (
        (not part or entry["message"].startswith(f"{part}: "))
        and (not about or about in _names(entry))
        and (not workspace or entry.get("workspace") == workspace)
        and (not arguments.problems or entry.get("level") == "problem")
    )


def _names(entry: dict[str, Any]) -> set[object]:
    keys = ("request", "attempt", "upstream", "name", "runner", "peer", "cache")
    return {entry.get(key) for key in keys}


def format_entry(entry: dict[str, Any]) -> str:
    """Return an entry as readable text: time, message, then the other fields."""
    fields = " ".join(
        f"{key}={_format_value(value)}"
        for key, value in entry.items()
        if key not in OMITTED_FIELDS and value not in ("", None)
    )
    at = datetime.fromtimestamp(entry.get("timestamp", 0.0), UTC)
    mark = "!" if entry.get("level") == "problem" else " "
    return f"{at:%H:%M:%S.%f}{mark} {entry['message']}  {fields}"


def _format_value(value: Any) -> str:
    if isinstance(value, str) and " " not in value:
        return value
    return orjson.dumps(value).decode()


def _read(names: Iterable[str], is_followed: bool) -> Iterator[str]:
    for name in names or [STANDARD_INPUT]:
        if name == STANDARD_INPUT:
            yield from sys.stdin
            continue
        with Path(name).open(encoding="utf-8", errors="replace") as file:
            yield from _follow(file) if is_followed else file


def _follow(file: TextIO) -> Iterator[str]:
    part = ""
    while True:
        piece = file.readline()
        if not piece:
            time.sleep(FOLLOW_SECONDS)
            continue
        part += piece
        if part.endswith("\n"):
            yield part
            part = ""
