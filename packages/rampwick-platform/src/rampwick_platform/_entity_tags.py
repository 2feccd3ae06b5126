"""Dialect of rampwick's native object API: conditional requests with entity tags."""

from typing import Any

import httpx

from ._api import (
    ABSENT,
    NAMELESS,
    UNREADABLE,
    Listing,
    OutcomeUnknownError,
    PlatformError,
    StoredObject,
    VersionConflictError,
)
from ._record_reading import decode_answer, read_revision
from ._store_dialect import StoreRequest, read_era

#: Response header with the era of the store.
ERA_HEADER = "Rampwick-Store-Era"


class EntityTagDialect:
    """Dialect with keys in the path and versions as entity tags."""

    def read_era(self, response: httpx.Response) -> int:
        """Return the era of the store; 0 if the response has none."""
        return read_era(response.headers.get(ERA_HEADER, ""))

    def get(self, key: str) -> StoreRequest:
        """Return the request for an object."""
        return StoreRequest("get object", "GET", f"/v1/objects/{key}")

    def read_object(self, key: str, response: httpx.Response) -> StoredObject | None:
        """Return the object in a response, or None if it does not exist."""
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return StoredObject(key, _version(response, "get object"), response.content)

    def put(self, key: str, value: bytes, expected_version: int) -> StoreRequest:
        """Return the request for a conditional write."""
        if expected_version == ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{expected_version}"'}
        return StoreRequest(
            "put object", "PUT", f"/v1/objects/{key}", headers=headers, content=value
        )

    def read_put(self, key: str, response: httpx.Response) -> int:
        """Return the new version, or raise VersionConflictError."""
        step = "put object"
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            raise VersionConflictError(f"{key} changed", step=step)
        return _version(response, step)

    def list_objects(self, prefix: str, after_key: str) -> StoreRequest:
        """Return the request for the objects under a prefix."""
        parameters = {"prefix": prefix, "after_key": after_key}
        return StoreRequest("list objects", "GET", "/v1/objects", parameters)

    def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> StoreRequest:
        """Return the long-poll request for changes."""
        parameters = {
            "prefix": prefix,
            "after_version": str(after_version),
            "timeout_seconds": str(timeout_seconds),
        }
        return StoreRequest("watch objects", "GET", "/v1/watch", parameters)

    def read_listing(self, prefix: str, response: httpx.Response) -> Listing:
        """Return the objects in the response to a listing or a watch."""
        step = "list objects"
        try:
            data = decode_answer(response.content, ("objects",))
            version = read_revision(data["version"])
            parsed = [_read_item(prefix, item, version) for item in data["objects"]]
        except (KeyError, TypeError, ValueError) as error:
            raise PlatformError(f"invalid response: {error!r}", step=step) from None
        return Listing(version=version, objects=parsed)


def _version(response: httpx.Response, step: str) -> int:
    try:
        return read_revision(response.headers["ETag"].strip('"'))
    except (KeyError, ValueError):
        raise OutcomeUnknownError("answer without version", step=step) from None


def _read_item(prefix: str, item: Any, listed_version: int) -> StoredObject:
    """Return an object of a listing; one with an unreadable value if it is invalid."""
    try:
        key = item["key"]
        key.encode()
    except (KeyError, TypeError, AttributeError, ValueError):
        return StoredObject(f"{prefix}{NAMELESS}", listed_version, UNREADABLE)
    try:
        version = min(read_revision(item["version"]), listed_version)
        return StoredObject(key, version, item["value"].encode())
    except (KeyError, TypeError, AttributeError, ValueError):
        return StoredObject(key, listed_version, UNREADABLE)
