"""Command output as tables or JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from rich.console import Console
from rich.table import Table


class Output:
    """Printer of a command's result, as a table or as JSON."""

    def __init__(self, as_json: bool) -> None:
        self.as_json = as_json
        self._console = Console(soft_wrap=True)

    def show(self, title: str, rows: Sequence[Mapping[str, Any]]) -> None:
        """Print rows that share the same keys."""
        if self.as_json:
            print(json.dumps(list(rows), sort_keys=True))
            return
        if not rows:
            print(f"{title}: none")
            return
        table = Table(title=title, title_justify="left")
        # Empty columns are dropped; they would narrow the others.
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

    def print_text(self, sentence: str) -> None:
        """Print a sentence; omitted from JSON output."""
        if not self.as_json:
            print(sentence)


def print_error(error: object) -> None:
    """Print an error message to standard error."""
    print(f"rampwick: {error}", file=sys.stderr)


def _cell(value: Any) -> str:
    if value is None:
        return ""
    if isinstance(value, list):
        return ", ".join(str(item) for item in value)
    return str(value)
