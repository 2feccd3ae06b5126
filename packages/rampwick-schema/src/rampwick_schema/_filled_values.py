"""Settings values that a deployment tool fills into a settings file as text.

A deployment may generate the settings of its hosts from a template. A value in an
unexpected form (a fraction, an empty string, a word) must not prevent a whole fleet
from starting. The file therefore has such values in separate tables below ``filled``,
as strings with an optional unit of time or memory::

    [filled.platform]
    max_key_age_seconds = "5000 ms"

An empty value leaves the setting unchanged. An invalid value does, too, and is reported
with its key. A value out of range is limited to the bounds of the setting.
"""

import math
import re
from collections.abc import Callable, Mapping
from typing import Any, get_type_hints

import attrs

from ._validators import Within

#: Name of the table with the filled-in values.
FILLED = "filled"

#: Strings that deployment tools write for a missing value.
EMPTY_VALUES = ("", "null", "none", "nil")

#: Seconds or bytes for each unit; without a unit, seconds or bytes.
UNIT_FACTORS = {"ms": 0.001, "s": 1.0, "MB": 1e6, "": 1.0}

_VALUE_PATTERN = re.compile(r"(?P<number>.*?)\s*(?P<unit>ms|s|MB|)", re.DOTALL)


def merge_filled_values(
    data: Mapping[str, Any], cls: type, on_problem: Callable[[str], None]
) -> dict[str, Any]:
    """Return the data of a settings file with the filled-in values merged.

    ``cls`` is the settings class. Unknown keys are retained, so that the validation of
    the whole file reports them.
    """
    merged = {key: item for key, item in data.items() if key != FILLED}
    filled = data.get(FILLED)
    if not isinstance(filled, dict):
        return merged
    sections = get_type_hints(cls)
    for table, texts in filled.items():
        if not isinstance(texts, dict):
            on_problem(f"{FILLED}.{table}: is {texts!r}, allowed is a table")
            continue
        plain = merged.setdefault(table, {})
        if isinstance(plain, dict):
            parsed = _parse_table(sections.get(table), table, texts, on_problem)
            merged[table] = {**plain, **parsed}
    return merged


def _parse_table(
    section: type | None,
    table: str,
    texts: Mapping[str, Any],
    on_problem: Callable[[str], None],
) -> dict[str, Any]:
    fields = attrs.fields_dict(section) if section is not None else {}
    hints = get_type_hints(section) if section is not None else {}
    parsed = {}
    for key, text in texts.items():
        if key not in fields:
            parsed[key] = text
            continue
        path = f"{FILLED}.{table}.{key}"
        value = _parse_value(path, text, hints[key], on_problem)
        if value is not None:
            parsed[key] = _clamp(path, value, fields[key].validator, on_problem)
    return parsed


def _parse_value(
    path: str, text: Any, kind: type, on_problem: Callable[[str], None]
) -> float | int | None:
    """Return the value, or None if it is empty or invalid."""
    match = _VALUE_PATTERN.fullmatch(str(text).strip())
    assert match is not None
    number = match["number"]
    if number.lower() in EMPTY_VALUES:
        return None
    try:
        value = float(number) * UNIT_FACTORS[match["unit"]]
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        on_problem(f"{path}: is {text!r}, expected a number; value ignored")
        return None
    return round(value) if kind is int else value


def _clamp(
    path: str, value: float, validator: Any, on_problem: Callable[[str], None]
) -> float:
    if not isinstance(validator, Within):
        return value
    clamped = validator.clamp(value)
    if clamped != value:
        on_problem(f"{path}: is {value!r}, out of range; using {clamped!r}")
    return clamped
