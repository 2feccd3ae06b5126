"""Parsing ``key=value`` arguments of the command line into a tree node."""

from collections.abc import Sequence
from typing import Any

import attrs

from rampwick_schema import DataError, Node, structure, unstructure

STEP = "read values"

_FIELDS = attrs.fields_dict(Node)


def update_node(node: Node, arguments: Sequence[str], unset: Sequence[str]) -> Node:
    """Return a copy of the node with values set and the ``unset`` ones removed."""
    data = unstructure(node)
    for name in unset:
        if name not in _FIELDS:
            raise DataError(f"{name}: is unknown", step=STEP)
        data.pop(name, None)
    for argument in arguments:
        name, separator, text = argument.partition("=")
        if not separator:
            raise DataError(f"{argument!r} is not key=value", step=STEP)
        data[name] = _parse(name, text)
    return structure(data, Node, step=STEP)


def _parse(name: str, text: str) -> Any:
    kind = str(_FIELDS[name].type) if name in _FIELDS else "str"
    if "list" in kind:
        return [item for item in text.split(",") if item]
    if "bool" in kind:
        return {"true": True, "false": False}.get(text, text)
    if "int" in kind:
        return int(text) if text.lstrip("-").isdigit() else text
    if "float" in kind:
        return _parse_float(text)
    return text


def _parse_float(text: str) -> float | str:
    try:
        return float(text)
    except ValueError:
        return text
