"""How one object store is spoken to over HTTP; the plumbing around it is shared."""

from typing import Protocol

import attrs
import httpx

from rampwick_schema import Shown

from ._api import Listing, StoredObject

#: Digits of an era that are read; longer ones are no era.
MAX_ERA_DIGITS = 6


def read_era(text: str) -> int:
    """Return the era that a header's text gives; 0 if it is no whole number."""
    is_era = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_era else 0


@attrs.frozen(repr=False)
class StoreRequest(Shown):
    """One call to a store."""

    #: What is being done, for errors and logs.
    step: str
    method: str
    path: str
    parameters: dict[str, str] = attrs.field(factory=dict)
    headers: dict[str, str] = attrs.field(factory=dict)
    content: bytes | None = None


class StoreDialect(Protocol):
    """Requests to a store, and what its answers mean.

    Readers raise PlatformError, or one of its kinds; a status that says that nothing
    was done has been dealt with before they are called, unless ``is_refusal`` says
    that it has a meaning of its own.
    """

    def read_era(self, response: httpx.Response) -> int:
        """Return the store's era as an answer gives it; 0 where it gives none.

        It rises whenever the store is restored from an older copy.
        """

    def get(self, key: str) -> StoreRequest:
        """Return the request for an object."""

    def read_object(self, key: str, response: httpx.Response) -> StoredObject | None:
        """Return the object of an answer, or none if it does not exist."""

    def put(self, key: str, value: bytes, expected_version: int) -> StoreRequest:
        """Return the request for a conditional write."""

    def read_put(self, key: str, response: httpx.Response) -> int:
        """Return the new version, or raise VersionConflictError."""

    def list_objects(self, prefix: str, after_key: str) -> StoreRequest:
        """Return the request for the objects under a prefix."""

    def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> StoreRequest:
        """Return the request that waits for changes."""

    def read_listing(self, prefix: str, response: httpx.Response) -> Listing:
        """Return the objects of a listing or a watch."""
