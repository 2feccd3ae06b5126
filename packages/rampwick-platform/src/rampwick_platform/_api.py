"""Interface of the platform's object API, and its exceptions."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from rampwick_schema import HostList, RampwickError, ReprMixin

#: Expected version for the creation of an object.
ABSENT = 0

#: Value of an object that can't be read, which is valid for no kind of objects.
UNREADABLE = b"null"

#: Name of all objects of a listing whose own names can't be read.
NAMELESS = " (a record without a readable name)"

#: Maximum size of a value in the platform's store.
MAX_VALUE_BYTES = 1_000_000


class PlatformError(RampwickError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The call had no effect: it was not sent, or it was refused."""


class OutcomeUnknownError(PlatformError):
    """The call may have taken effect: no usable response was received."""


class HistoryGoneError(PlatformError):
    """The store no longer has the changes that a watch needs; list again."""


class StoreRestoredError(OutcomeUnknownError):
    """The store was restored from an older copy during a write.

    The write may have replaced an object other than the expected one.
    """


class VersionConflictError(PlatformError):
    """A conditional write did not find the expected version."""


@attrs.frozen(repr=False)
class StoredObject(ReprMixin):
    """An object with its version, which each write increases store-wide.

    Versions also increase when the store is restored from an older copy: everything
    that is read afterwards has a higher version than everything read before.
    """

    key: str
    version: int
    value: bytes
    #: Whether the object was deleted; only in the response to a watch.
    is_deleted: bool = False


@attrs.frozen(repr=False)
class Listing(ReprMixin):
    """Objects under a prefix as of one version of the store."""

    version: int
    objects: Sequence[StoredObject]
    #: Whether more objects follow after the last key.
    is_truncated: bool = False

    @property
    def last_key(self) -> str:
        """Key after which the next page is listed: the last one that is readable."""
        keys = (item.key for item in reversed(self.objects))
        return next((key for key in keys if not key.endswith(NAMELESS)), "")


class ObjectApi(Protocol):
    """The platform calls that rampwick uses; each method is one call of the budget."""

    @property
    def era(self) -> int:
        """Number of restores of the store, as of its last response."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write the object if it has the expected version; return the new version."""

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        """Return the objects whose keys start with a prefix, in key order."""

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        """Wait for objects written after a version; return none on a timeout.

        Raise HistoryGoneError if the store was restored since that version.
        """

    async def read_hosts(self) -> HostList:
        """Return the list of hosts, which may be outdated."""
