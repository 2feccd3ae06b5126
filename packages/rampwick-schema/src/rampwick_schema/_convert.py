"""Strict conversion between plain data and the generated classes.

Types are not coerced: ``"5"`` is not a number and ``1`` is not a boolean. Error
messages are a single line with the key, the value and the allowed values.
"""

import difflib
import functools
import operator
from collections.abc import Callable
from typing import Any, TypeVar, get_args, get_type_hints

import attrs
import cattrs
from cattrs.gen import make_dict_unstructure_fn

from ._errors import DataError
from ._rows import make_row_decoder

T = TypeVar("T")

#: Names of the scalar types in error messages.
TYPE_NAMES = {
    bool: "true or false",
    int: "a whole number",
    float: "a number",
    str: "a string",
    bytes: "bytes",
}


class FieldError(ValueError):
    """A field that violates the schema; ``path`` is its dotted path."""

    def __init__(self, path: str, message: str) -> None:
        super().__init__(message)
        self.path = path
        self.message = message

    def with_prefix(self, key: str) -> "FieldError":
        """Return the same error with ``key`` prepended to its path."""
        path = f"{key}.{self.path}" if self.path else key
        return FieldError(path, self.message)


def structure(data: Any, cls: type[T], *, step: str, peer: str = "") -> T:
    """Return ``data`` as an instance of ``cls``, or raise DataError."""
    try:
        return _dict_converter.structure(data, cls)
    except FieldError as field_error:
        prefix = f"{field_error.path}: " if field_error.path else ""
        raise DataError(prefix + field_error.message, step=step, peer=peer) from None
    except (TypeError, ValueError, KeyError, AttributeError, RecursionError) as error:
        raise DataError(str(error), step=step, peer=peer) from None


def unstructure(instance: Any) -> Any:
    """Return an instance as plain dicts and lists; fields that are None are omitted."""
    return _dict_converter.unstructure(instance)


def structure_row(data: Any, cls: type[T], *, step: str, peer: str = "") -> T:
    """Return an array of field values as an instance of ``cls``.

    Additional values at the end are ignored and missing ones take their defaults, so
    that hosts of different releases can exchange messages.
    """
    try:
        return _row_converter.structure(data, cls)
    except (TypeError, ValueError, KeyError, AttributeError, RecursionError) as error:
        message = getattr(error, "message", str(error))
        raise DataError(message, step=step, peer=peer) from None


def unstructure_row(instance: Any) -> Any:
    """Return an instance as an array of its field values."""
    cls: Any = type(instance)
    return _row_encoder(cls)(instance)


def _strict_hook(kind: type) -> Callable[[Any, Any], Any]:
    def convert(value: Any, _: Any) -> Any:
        if kind is float and type(value) is int:
            return float(value)
        if type(value) is not kind:
            raise FieldError("", f"is {value!r}, allowed is {TYPE_NAMES[kind]}")
        return value

    return convert


_strict_text = _strict_hook(str)


def _structure_text(value: Any, kind: Any) -> Any:
    if type(value) is str and not value.isascii():
        try:
            value.encode()
        except UnicodeEncodeError:
            # No message could carry it.
            raise FieldError("", f"is {value!r}, which UTF-8 can't represent") from None
    return _strict_text(value, kind)


def _structure_list(value: Any, kind: Any) -> Any:
    if not isinstance(value, list | tuple):
        raise FieldError("", f"is {value!r}, allowed is a list")
    (item_kind,) = kind.__args__
    return [
        _structure_at(f"{index}", item, item_kind, _dict_converter)
        for index, item in enumerate(value)
    ]


def _structure_map(value: Any, kind: Any) -> Any:
    if not isinstance(value, dict):
        raise FieldError("", f"is {value!r}, allowed is a table")
    _, item_kind = kind.__args__
    return {
        _dict_converter.structure(key, str): _structure_at(
            key, item, item_kind, _dict_converter
        )
        for key, item in value.items()
    }


def _structure_at(key: str, value: Any, kind: Any, converter: cattrs.Converter) -> Any:
    try:
        return converter.structure(value, kind)
    except FieldError as error:
        raise error.with_prefix(key) from None


def _dict_hook(cls: type) -> Callable[[Any, Any], Any]:
    attrs.resolve_types(cls)
    hints = get_type_hints(cls)
    fields = attrs.fields_dict(cls)

    def convert(value: Any, _: Any) -> Any:
        if not isinstance(value, dict):
            raise FieldError("", f"is {value!r}, allowed is a table")
        for key in value:
            if key not in fields:
                raise FieldError(
                    str(key), _describe_unknown_key(str(key), list(fields))
                )
        for name, field in fields.items():
            if field.default is attrs.NOTHING and name not in value:
                raise FieldError(name, "is missing")
        values = {
            key: _structure_at(key, item, hints[key], _dict_converter)
            for key, item in value.items()
        }
        return _instantiate(cls, values)

    return convert


def _instantiate(cls: type, values: dict[str, Any]) -> Any:
    try:
        return cls(**values)
    except FieldError:
        raise
    except ValueError as error:
        name, _, rest = str(error).partition(" ")
        raise FieldError(name, rest) from None


def _describe_unknown_key(key: str, allowed: list[str]) -> str:
    matches = [name for name in allowed if name.startswith(f"{key}_")]
    if matches:
        return f"is unknown; the key with its unit is {matches[0]}"
    close = difflib.get_close_matches(key, allowed, n=1)
    hint = f"did you mean {close[0]}?" if close else f"allowed: {', '.join(allowed)}"
    return f"is unknown; {hint}"


def _unstructure_fn(cls: type, converter: cattrs.Converter) -> Callable[[Any], Any]:
    attrs.resolve_types(cls)
    return make_dict_unstructure_fn(
        cls, converter, _cattrs_omit_if_default=False, _cattrs_use_linecache=False
    )


def _omit_none(function: Callable[[Any], Any]) -> Callable[[Any], Any]:
    def convert(instance: Any) -> Any:
        plain = function(instance)
        return {key: item for key, item in plain.items() if item is not None}

    return convert


def _make_dict_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    for kind in TYPE_NAMES:
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook(str, _structure_text)
    converter.register_structure_hook_func(_is_list, _structure_list)
    converter.register_structure_hook_func(_is_map, _structure_map)
    converter.register_structure_hook_factory(attrs.has, _dict_hook)
    converter.register_unstructure_hook_factory(
        attrs.has, lambda cls: _omit_none(_unstructure_fn(cls, converter))
    )
    return converter


def _make_row_converter() -> cattrs.Converter:
    converter = cattrs.Converter(detailed_validation=False)
    for kind in TYPE_NAMES:
        converter.register_structure_hook(kind, _strict_hook(kind))
    converter.register_structure_hook_factory(
        _is_list, lambda kind: _row_list_hook(kind.__args__[0], converter)
    )
    converter.register_structure_hook_factory(
        attrs.has, lambda cls: _row_hook(cls, converter)
    )
    return converter


def _row_list_hook(item_kind: Any, converter: cattrs.Converter) -> Callable[..., Any]:
    """Return a structure hook for lists, with a fast path for rows of scalars.

    The relay of a large fleet sends lists of a hundred rows four times a second.
    """
    structure_item = converter.get_structure_hook(item_kind)
    decode_rows: Callable[[Any], list[Any] | None] | None = None
    if attrs.has(item_kind):
        hints = get_type_hints(item_kind)
        kinds = [hints[field.name] for field in attrs.fields(item_kind)]
        decode_rows = make_row_decoder(item_kind, kinds, TYPE_NAMES)

    def convert(value: Any, _: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise ValueError(f"a field is {value!r}, allowed is a list")
        if item_kind in TYPE_NAMES and set(map(type, value)) <= {item_kind}:
            return list(value)
        items = decode_rows(value) if decode_rows is not None else None
        if items is not None:
            return items
        return [structure_item(item, item_kind) for item in value]

    return convert


def _row_hook(cls: type, converter: cattrs.Converter) -> Callable[[Any, Any], Any]:
    attrs.resolve_types(cls)
    hints = get_type_hints(cls)
    fields = attrs.fields(cls)
    required_count = sum(field.default is attrs.NOTHING for field in fields)
    kinds = [hints[field.name] for field in fields]
    hooks = [converter.get_structure_hook(kind) for kind in kinds]
    # The expected type of each value and the indices of the nested ones. One comparison
    # of all types is faster than a check of each field, and peers send many rows.
    expected_kinds = tuple(kind if kind in TYPE_NAMES else list for kind in kinds)
    nested = [index for index, kind in enumerate(kinds) if kind not in TYPE_NAMES]

    def convert(value: Any, _: Any) -> Any:
        if not isinstance(value, list | tuple):
            raise ValueError(f"{cls.__name__} is {value!r}, allowed is an array")
        if len(value) < required_count:
            raise ValueError(f"{cls.__name__} has {len(value)} of {len(hooks)} fields")
        row = list(value[: len(hooks)])
        if tuple(map(type, row)) != expected_kinds:
            pairs = zip(hooks, row, kinds, strict=False)
            return cls(*[hook(item, kind) for hook, item, kind in pairs])
        for index in nested:
            row[index] = hooks[index](row[index], kinds[index])
        return cls(*row)

    return convert


@functools.cache
def _row_encoder(cls: Any) -> Callable[[Any], Any]:
    """Return a function that encodes instances of ``cls`` as arrays, recursively."""
    attrs.resolve_types(cls)
    hints = get_type_hints(cls)
    names = [field.name for field in attrs.fields(cls)]
    encoders = [
        (index, encoder)
        for index, name in enumerate(names)
        if (encoder := _value_encoder(hints[name])) is not None
    ]
    if len(names) == 1:
        get_value = operator.attrgetter(names[0])
        encoder = encoders[0][1] if encoders else None
        return lambda instance: [
            encoder(get_value(instance)) if encoder else get_value(instance)
        ]
    get_values = operator.attrgetter(*names)
    if not encoders:
        return get_values

    def encode(instance: Any) -> Any:
        row = list(get_values(instance))
        for index, encode_value in encoders:
            row[index] = encode_value(row[index])
        return row

    return encode


def _value_encoder(kind: Any) -> Callable[[Any], Any] | None:
    """Return a function that encodes a value as plain data; None if it is plain."""
    if attrs.has(kind):
        return _row_encoder(kind)
    item_kinds = [item for item in get_args(kind) if item is not type(None)]
    encode_item = _value_encoder(item_kinds[-1]) if item_kinds else None
    if encode_item is None:
        return None
    if _is_list(kind):
        return lambda values: [encode_item(value) for value in values]
    if _is_map(kind):
        return lambda values: {key: encode_item(item) for key, item in values.items()}
    # Only optional types are left.
    return lambda value: None if value is None else encode_item(value)


def _is_list(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is list


def _is_map(kind: Any) -> bool:
    return getattr(kind, "__origin__", None) is dict


_dict_converter = _make_dict_converter()
_row_converter = _make_row_converter()
