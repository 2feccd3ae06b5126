"""Decoding of JSON by other writers, in which no record makes another unreadable.

A sound answer is decoded as a whole. If that fails, its text is first split into the
records, and each of them is decoded by itself. The bounds are rampwick's own: those of
the decoders depend on the interpreter and on the depth of its stack.
"""

import json
import re
from collections.abc import Sequence
from typing import Any

import orjson

from rampwick_schema import MAX_REVISION

#: Deepest nesting that is read; what is nested deeper is read as null. No field that
#: rampwick reads is nested as deep.
MAX_NESTING = 64

#: Number of digits up to which whole numbers are exact; longer ones are infinite. An
#: interpreter can be set to convert no more.
MAX_DIGITS = 640

#: Stands for a record that is not JSON.
NO_RECORD = None

_SPACE = re.compile(rb"[ \t\r\n]*+")
_STRING = rb'"(?:[^"\\]++|\\.)*+"'
_KEY = re.compile(_STRING, re.DOTALL)
#: A value that is no container, also one that is invalid.
_SCALAR = re.compile(_STRING + rb'|[^,\[\]{}"]++', re.DOTALL)


def _skipped(*containers: bytes) -> bytes:
    return rb"(?:" + rb"|".join((rb'[^"\[\]{}]++', _STRING, *containers)) + rb")*+"


def _container(*inner: bytes) -> bytes:
    return rb"[\[{]" + _skipped(*inner) + rb"[\]}]"


#: A container with few levels, as of a usual record.
_SHALLOW = _container(_container(_container()))
_SHALLOW_CONTAINER = re.compile(_SHALLOW, re.DOTALL)
#: Empty where none follow: a pattern that fails would be tried anew at each byte.
_NEXT_BRACKETS = rb"([\[{]++|[\]}]++|)"
_BRACKETS = re.compile(_skipped() + _NEXT_BRACKETS, re.DOTALL)
#: The next brackets of a container that is not shallow.
_DEEP_BRACKETS = re.compile(_skipped(_SHALLOW) + _NEXT_BRACKETS, re.DOTALL)


class NestingError(ValueError):
    """A decoded value that is nested too deeply to be encoded."""


def decode_json(raw: bytes) -> Any:
    """Return a decoded value, or raise ValueError if it is not JSON."""
    if raw.count(b"[") + raw.count(b"{") > MAX_NESTING:
        raw = _cut_nesting(raw)
    try:
        return orjson.loads(raw)
    except ValueError:
        pass
    # Numbers of any length, and text that UTF-8 can't represent.
    text = raw.decode("utf-8", "surrogateescape")
    return json.loads(text, strict=False, parse_int=_parse_digits)


def encode_json(value: Any) -> bytes:
    """Return a decoded value as JSON, or raise NestingError."""
    try:
        return orjson.dumps(value)
    except TypeError:
        pass
    if is_nested_deeper(value, MAX_NESTING):
        raise NestingError(f"nested deeper than {MAX_NESTING}")
    return json.dumps(value).encode()


def decode_answer(content: bytes, list_names: Sequence[str]) -> dict[str, Any]:
    """Return the fields of a store's answer, or raise ValueError.

    The records in its lists are decoded each by itself if the whole can't be.
    """
    try:
        data = orjson.loads(content)
    except ValueError:
        return split_answer(content, list_names)
    if not isinstance(data, dict):
        raise ValueError("answer is not an object")
    return data


def split_answer(content: bytes, list_names: Sequence[str]) -> dict[str, Any]:
    """Return the fields of an answer whose records are decoded each by itself."""
    fields: dict[str, Any] = {}
    at = _skip(content, 0, b"{")
    while content[at : at + 1] != b"}":
        key = _KEY.match(content, at)
        if key is None:
            raise ValueError("a field has no name")
        name = decode_json(key.group())
        at = _skip(content, key.end(), b":")
        if name in list_names and content[at : at + 1] == b"[":
            records, end = _split_list(content, at)
            fields[name] = [_decode_record(raw) for raw in records]
        else:
            end = _value_end(content, at)
            fields[name] = decode_json(content[at:end])
        at = _skip_separator(content, end, b"}")
    return fields


def read_revision(value: Any) -> int:
    """Return a revision of the store, or raise ValueError."""
    if isinstance(value, str) and value.isascii() and value.isdigit():
        value = _parse_digits(value)
    if type(value) is float and value.is_integer():
        value = int(value)
    if type(value) is not int or not 0 <= value <= MAX_REVISION:
        raise ValueError("revision is not a whole number of the store")
    return value


def _parse_digits(digits: str) -> int | float:
    return int(digits) if len(digits) <= MAX_DIGITS else float(digits)


def _decode_record(raw: bytes) -> Any:
    try:
        return decode_json(raw)
    except ValueError:
        return NO_RECORD


def is_nested_deeper(value: Any, limit: int) -> bool:
    """Return whether a decoded value has more levels than a limit."""
    containers = [value]
    for _ in range(limit + 1):
        containers = [item for item in containers if isinstance(item, dict | list)]
        containers = [
            child
            for item in containers
            for child in (item.values() if isinstance(item, dict) else item)
        ]
        if not containers:
            return False
    return True


def _cut_nesting(raw: bytes) -> bytes:
    """Return JSON in which null stands for what is nested too deeply."""
    kept, kept_until, depth = [], 0, 0
    for found in _BRACKETS.finditer(raw):
        start, end = found.span(1)
        count = end - start
        if not count:
            break
        if raw[start] in b"[{":
            if depth <= MAX_NESTING < depth + count:
                kept.append(raw[kept_until : start + MAX_NESTING - depth])
            depth += count
        else:
            if depth - count <= MAX_NESTING < depth:
                kept_until = start + depth - MAX_NESTING
            depth -= count
    if depth > MAX_NESTING:
        raise ValueError("brackets are not closed")
    return b"null".join([*kept, raw[kept_until:]])


def _split_list(content: bytes, start: int) -> tuple[list[bytes], int]:
    """Return the texts of the items in the list at a position, and its end."""
    items = []
    at = _skip(content, start, b"[")
    while content[at : at + 1] != b"]":
        end = _value_end(content, at)
        items.append(content[at:end])
        at = _skip_separator(content, end, b"]")
    return items, at + 1


def _value_end(content: bytes, start: int) -> int:
    """Return the end of the value at a position, or raise ValueError."""
    if content[start : start + 1] not in (b"[", b"{"):
        scalar = _SCALAR.match(content, start)
        if scalar is None:
            raise ValueError("a value is missing")
        return scalar.end()
    shallow = _SHALLOW_CONTAINER.match(content, start)
    if shallow is not None:
        return shallow.end()
    depth = 0
    for found in _DEEP_BRACKETS.finditer(content, start):
        first, end = found.span(1)
        count = end - first
        if not count:
            break
        if content[first] in b"[{":
            depth += count
        elif count >= depth:
            return first + depth
        else:
            depth -= count
    raise ValueError("brackets are not closed")


def _after_space(content: bytes, at: int) -> int:
    found = _SPACE.match(content, at)
    return found.end() if found else at


def _skip(content: bytes, at: int, token: bytes) -> int:
    """Return the position after a token with space around it, or raise ValueError."""
    at = _after_space(content, at)
    if content[at : at + 1] != token:
        raise ValueError(f"no {token.decode()} at {at}")
    return _after_space(content, at + 1)


def _skip_separator(content: bytes, at: int, closing: bytes) -> int:
    """Return the position of the next item or of the closing bracket."""
    at = _after_space(content, at)
    if content[at : at + 1] == closing:
        return at
    return _skip(content, at, b",")
