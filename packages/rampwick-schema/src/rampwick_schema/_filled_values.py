"""Figures that another program fills into a settings file, as text.

A deployment may write its hosts' settings from a template and figures of its own. A
figure that looks otherwise than the template's author has seen (a fraction, nothing at
all, a word) must not keep a whole fleet from starting. So the file holds such figures
in tables of their own, below ``filled``, as strings with an optional unit of time::

    [filled.platform]
    max_key_age_seconds = "5000 ms"

What says nothing leaves the setting as it is; what can't be read does, too, with a
problem that names key and value; what lies beyond the bounds of the setting is taken
as the bound.
"""

import math
import re
from collections.abc import Callable, Mapping
from typing import Any, get_type_hints

import attrs

from ._validators import Within

#: Name of the table that holds the filled-in figures.
FILLED = "filled"

#: What programs write where they have no value.
NOTHING_SAID = ("", "null", "none", "nil")

#: Seconds of each unit that a figure may name.
UNIT_SECONDS = {"ms": 0.001, "s": 1.0, "": 1.0}

_FIGURE = re.compile(r"(?P<number>.*?)\s*(?P<unit>ms|s|)", re.DOTALL)


def take_filled(
    data: Mapping[str, Any], cls: type, note_problem: Callable[[str], None]
) -> dict[str, Any]:
    """Return the data of a settings file with its filled-in figures in their places.

    ``cls`` is the class of the settings; keys that it doesn't have are kept, so that
    the check of the whole file finds them.
    """
    merged = {key: item for key, item in data.items() if key != FILLED}
    filled = data.get(FILLED)
    if not isinstance(filled, dict):
        return merged
    sections = get_type_hints(cls)
    for table, figures in filled.items():
        if not isinstance(figures, dict):
            note_problem(f"{FILLED}.{table}: is {figures!r}, allowed is a table")
            continue
        known = merged.setdefault(table, {})
        if isinstance(known, dict):
            read = _read_table(sections.get(table), table, figures, note_problem)
            merged[table] = {**known, **read}
    return merged


def _read_table(
    section: type | None,
    table: str,
    figures: Mapping[str, Any],
    note_problem: Callable[[str], None],
) -> dict[str, Any]:
    fields = attrs.fields_dict(section) if section is not None else {}
    hints = get_type_hints(section) if section is not None else {}
    read = {}
    for key, text in figures.items():
        if key not in fields:
            read[key] = text
            continue
        path = f"{FILLED}.{table}.{key}"
        value = _read_figure(path, text, hints[key], note_problem)
        if value is not None:
            read[key] = _bound(path, value, fields[key].validator, note_problem)
    return read


def _read_figure(
    path: str, text: Any, kind: type, note_problem: Callable[[str], None]
) -> float | int | None:
    """Return the figure, or none if it says nothing or can't be read."""
    match = _FIGURE.fullmatch(str(text).strip())
    assert match is not None
    number = match["number"]
    if number.lower() in NOTHING_SAID:
        return None
    try:
        value = float(number) * UNIT_SECONDS[match["unit"]]
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        note_problem(f"{path}: is {text!r}, expected is a number; the default holds")
        return None
    return round(value) if kind is int else value


def _bound(
    path: str, value: float, validator: Any, note_problem: Callable[[str], None]
) -> float:
    if not isinstance(validator, Within):
        return value
    bounded = validator.nearest(value)
    if bounded != value:
        note_problem(f"{path}: is {value!r}, taken as {bounded!r}")
    return bounded
