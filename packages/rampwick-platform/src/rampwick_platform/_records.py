"""Records on the platform: JSON objects with idempotent conditional writes.

A response can be lost after its write took effect. ``put_idempotent`` then reads the
object back and recognizes its own write by the random id in the record.
"""

import json
from typing import Any, TypeVar

from rampwick_schema import DataError, structure, unstructure

from ._api import ObjectApi, OutcomeUnknownError, StoredObject, VersionConflictError
from ._record_reading import decode_json

T = TypeVar("T")

#: Attempts at a write without a response, all with the same expected version.
MAX_ATTEMPTS = 4


def encode_record(record: Any) -> bytes:
    """Return a record as JSON for the platform's store."""
    text = json.dumps(unstructure(record), separators=(",", ":"), sort_keys=True)
    return text.encode()


def decode_record(stored: StoredObject, cls: type[T]) -> T:
    """Return the record in a stored object, or raise DataError."""
    step = f"read {cls.__name__}"
    try:
        data = decode_json(stored.value)
    except ValueError:
        data = None
    return structure(data, cls, step=step, peer=stored.key)


async def put_idempotent(
    api: ObjectApi, key: str, record: Any, expected_version: int
) -> int:
    """Write a record that has a ``write_id``; return its version.

    Raise VersionConflictError if another write came first, and OutcomeUnknownError if
    the outcome remains unknown: the write may have taken effect or may still do so.
    Retries with the same expected version are safe, since only one can succeed.
    """
    for remaining in reversed(range(MAX_ATTEMPTS)):
        try:
            return await api.put(key, encode_record(record), expected_version)
        except (OutcomeUnknownError, VersionConflictError) as error:
            stored = await _read_back(api, key, error)
            if stored is not None and _is_own_write(stored, record):
                return stored.version
            if isinstance(error, VersionConflictError) or not remaining:
                raise
    raise AssertionError("unreachable")


def _is_own_write(stored: StoredObject, record: Any) -> bool:
    try:
        return decode_record(stored, type(record)).write_id == record.write_id
    except DataError:
        # Own writes are valid.
        return False


async def _read_back(
    api: ObjectApi, key: str, cause: OutcomeUnknownError | VersionConflictError
) -> StoredObject | None:
    try:
        return await api.get(key)
    except Exception as error:
        raise OutcomeUnknownError(
            f"{cause.message}; reading back failed: {error}",
            step=cause.step,
            peer=cause.peer,
        ) from error
