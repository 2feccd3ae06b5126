"""Fast decoding of lists whose items are rows of scalars and lists of scalars."""

import math
from collections import deque
from collections.abc import Callable, Collection, Sequence
from itertools import chain
from typing import Any, get_args, get_origin

import attrs

from ._validators import Within


def make_row_decoder(
    cls: Any, kinds: Sequence[Any], scalar_kinds: Collection[type]
) -> Callable[[Any], list[Any] | None]:
    """Return a function that decodes a list of rows, or returns None if it can't.

    ``kinds`` are the types of the fields. The function checks types and bounds of whole
    columns and sets the fields directly, so that it calls no Python function for each
    row. It returns None for rows that are incomplete or invalid; decoding them one by
    one gives them their defaults, or an error message.
    """
    fields = attrs.fields(cls)
    checks: list[Any] = [_column_check(kind, scalar_kinds) for kind in kinds]
    validators = [field.validator for field in fields]
    if (
        hasattr(cls, "__attrs_post_init__")
        or None in checks
        or not all(item is None or isinstance(item, Within) for item in validators)
    ):
        return _decode_none
    setters = [cls.__dict__[field.name].__set__ for field in fields]
    columns_count = len(setters)
    new = cls.__new__

    def decode(rows: Any) -> list[Any] | None:
        if set(map(type, rows)) != {list} or set(map(len, rows)) != {columns_count}:
            return None
        columns = list(zip(*rows, strict=True))
        for column, has_kind, validator in zip(
            columns, checks, validators, strict=True
        ):
            if not has_kind(column):
                return None
            if validator is not None and not _are_within(column, validator):
                return None
        instances = [new(cls) for _ in rows]
        for column, setter in zip(columns, setters, strict=True):
            deque(map(setter, instances, column), maxlen=0)
        return instances

    return decode


def _decode_none(rows: Any) -> None:
    return None


def _column_check(
    kind: Any, scalar_kinds: Collection[type]
) -> Callable[[Sequence[Any]], bool] | None:
    """Return a check of the types of a column; None if there is none for the kind."""
    if kind in scalar_kinds:
        kinds = {kind}
        return lambda column: set(map(type, column)) == kinds
    if get_origin(kind) is not list or get_args(kind)[0] not in scalar_kinds:
        return None
    item_kinds = {get_args(kind)[0]}
    return lambda column: (
        set(map(type, column)) == {list}
        and set(map(type, chain.from_iterable(column))) <= item_kinds
    )


def _are_within(column: Sequence[Any], bounds: Any) -> bool:
    # Comparisons with NaN would give a wrong minimum.
    if type(column[0]) is float and any(map(math.isnan, column)):
        return False
    is_above_low = bounds.low is None or min(column) >= bounds.low
    is_below_high = bounds.high is None or max(column) <= bounds.high
    return is_above_low and is_below_high
