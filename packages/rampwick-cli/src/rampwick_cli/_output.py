"""Tables for people and JSON for programs."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table


class Output:
    """Where a command prints its result: a table, or JSON if asked for."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._console = Console(soft_wrap=True)

    def show(self, title: str, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows of equal keys."""
        if self.as_json:
            print(json.dumps(list(rows), sort_keys=True))
            return
        if not rows:
            print(f"{title}: none")
            return
        table = Table(title=title, title_justify="left")
        # Columns without any value would only push the others together.
        names = [name for name in rows[0] if any(_cell(row[name]) for row in rows)]
        for name in names:
            table.add_column(name.replace("_", " "))
        for row in rows:
            table.add_row(*[_cell(row[name]) for name in names])
        self._console.print(table)

    def show_object(self, data: Mapping[str, Any]) -> None:
        """Print one object."""
        if self.as_json:
            print(json.dumps(data, sort_keys=True))
            return
        for name, value in data.items():
            print(f"{name}: {_cell(value)}")

    def say(self, sentence: str) -> None:
        """Print a sentence for people; programs don't see it."""
        if not self.as_json:
            print(sentence)


def complain(error: object) -> None:
    """Print an error."""
    print(f"rampwick: {error}", file=sys.stderr)


def _cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)
