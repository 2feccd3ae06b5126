"""Interface for the HTTP dialect of an object store; the client is common to all."""

from typing import Protocol

import attrs
import httpx

from rampwick_schema import ReprMixin

from ._api import Listing, StoredObject

#: Maximum number of digits of an era; longer numbers are invalid.
MAX_ERA_DIGITS = 6


def read_era(text: str) -> int:
    """Return the era in a header value; 0 if it is not a whole number."""
    is_era = text.isascii() and text.isdigit() and len(text) <= MAX_ERA_DIGITS
    return int(text) if is_era else 0


@attrs.frozen(repr=False)
class StoreRequest(ReprMixin):
    """A call to a store."""

    #: Name of the operation in errors and logs.
    step: str
    method: str
    path: str
    parameters: dict[str, str] = attrs.field(factory=dict)
    headers: dict[str, str] = attrs.field(factory=dict)
    content: bytes | None = None


class StoreDialect(Protocol):
    """Encodes requests to a store and decodes its responses.

    The ``read_`` methods raise PlatformError or a subclass. The client handles error
    statuses before it calls them, except for those that a dialect interprets itself.
    """

    def read_era(self, response: httpx.Response) -> int:
        """Return the era of the store in a response; 0 if the response has none.

        The era increases whenever the store is restored from an older copy.
        """

    def get(self, key: str) -> StoreRequest:
        """Return the request for an object."""

    def read_object(self, key: str, response: httpx.Response) -> StoredObject | None:
        """Return the object in a response, or None if it does not exist."""

    def put(self, key: str, value: bytes, expected_version: int) -> StoreRequest:
        """Return the request for a conditional write."""

    def read_put(self, key: str, response: httpx.Response) -> int:
        """Return the new version, or raise VersionConflictError."""

    def list_objects(self, prefix: str, after_key: str) -> StoreRequest:
        """Return the request for the objects under a prefix."""

    def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> StoreRequest:
        """Return the long-poll request for changes."""

    def read_listing(self, prefix: str, response: httpx.Response) -> Listing:
        """Return the objects in the response to a listing or a watch."""
