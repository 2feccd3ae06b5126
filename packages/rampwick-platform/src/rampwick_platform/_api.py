"""The platform's object API as rampwick uses it, and its errors."""

from collections.abc import Sequence
from typing import Protocol

import attrs

from rampwick_schema import HostList, RampwickError, Shown

#: Expected version of an object that must not exist yet.
ABSENT = 0

#: Largest value that the platform holds.
MAX_VALUE_BYTES = 1_000_000


class PlatformError(RampwickError):
    """A call to the platform did not bring what was asked for."""


class PlatformUnavailableError(PlatformError):
    """The call surely had no effect: it was not sent, or was refused."""


class OutcomeUnknownError(PlatformError):
    """The call may have taken effect; its answer did not come."""


class HistoryGoneError(PlatformError):
    """A watch asked for changes that the store has forgotten; list again."""


class StoreRestoredError(OutcomeUnknownError):
    """The store was restored from an older copy while a write was under way.

    The write may have replaced another object than the one it expected.
    """


class VersionConflictError(PlatformError):
    """A conditional write found another version than it expected."""


@attrs.frozen(repr=False)
class StoredObject(Shown):
    """One object; versions rise over the whole store with each write.

    They also rise as the store is restored from an older copy: all that is read after
    that has a higher version than all that was read before.
    """

    key: str
    version: int
    value: bytes
    #: Whether a watch tells that it is gone.
    is_deleted: bool = False


@attrs.frozen(repr=False)
class Listing(Shown):
    """Objects under a prefix, and the store's version that they show."""

    version: int
    objects: Sequence[StoredObject]
    #: Whether there are more; they follow the last key.
    is_truncated: bool = False


class ObjectApi(Protocol):
    """What rampwick needs of the platform; each method is one counted call."""

    @property
    def era(self) -> int:
        """Number of the store's restores, as far as its answers have told."""

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or none if it does not exist."""

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the object has the expected version; return the new version."""

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        """Return the objects whose keys start with a prefix, in order."""

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        """Wait for objects written after a version; none at a time-out.

        Raise HistoryGoneError if the store was restored since that version.
        """

    async def read_hosts(self) -> HostList:
        """Return the lagging list of hosts."""
