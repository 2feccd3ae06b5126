"""The command that reads hosts' logs: what became of a request, and why."""

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

#: Time between two looks at a file that is followed.
FOLLOW_SECONDS = 0.2

#: Fields of each line that its sentence or the command's own columns hold already.
PLUMBING = frozenset(
    {"task_uuid", "task_level", "message_type", "timestamp", "message", "level"}
)

#: What stands for standard input.
STANDARD_INPUT = "-"


async def run_logs(arguments: argparse.Namespace, output: Output) -> int:
    """Show lines of hosts' logs, by request, workspace or part."""
    shown = 0
    for line in _read(arguments.files, arguments.follow):
        entry = parse_line(line)
        if entry is None or not is_wanted(entry, arguments):
            continue
        shown += 1
        print(line.strip() if output.as_json else describe(entry), flush=True)
    return _exit_codes.OK if shown else _exit_codes.FAILED


def parse_line(line: str) -> dict[str, Any] | None:
    """Return a log line's fields, whatever its collector put before them."""
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


def is_wanted(entry: dict[str, Any], arguments: argparse.Namespace) -> bool:
    """Return whether a line is about all that was asked for."""
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


def describe(entry: dict[str, Any]) -> str:
    """Return a line for people: time, sentence, then what it rests on."""
    fields = " ".join(
        f"{key}={_text(value)}"
        for key, value in entry.items()
        if key not in PLUMBING and value not in ("", None)
    )
    at = datetime.fromtimestamp(entry.get("timestamp", 0.0), UTC)
    mark = "!" if entry.get("level") == "problem" else " "
    return f"{at:%H:%M:%S.%f}{mark} {entry['message']}  {fields}"


def _text(value: Any) -> str:
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
