"""Following all objects under a prefix: a listing, then one watch after another.

What is known is a value with a version and the time at which it was surely the
store's newest. That time counts from when the call that showed it was sent, so that a
slow answer never makes old knowledge look fresh.
"""

import random
from collections.abc import Callable, Mapping

import anyio
import attrs

from rampwick_schema import DataError, Shown, era_of

from ._api import HistoryGoneError, Listing, ObjectApi, PlatformError, StoredObject
from ._timers import sleep_aligned

#: Waits between two calls after failures: the first, the factor, the longest.
INITIAL_BACKOFF_SECONDS = 0.1
BACKOFF_FACTOR = 1.6
MAX_PAUSE_SECONDS = 0.8

#: Time between two looks at whether this host is to read.
ROLE_SECONDS = 0.5


@attrs.frozen(repr=False)
class KindState(Shown):
    """Objects under a prefix as the store had them."""

    objects: Mapping[str, StoredObject]
    #: Highest version of any change that is part of it.
    version: int
    #: Steady time until which it was surely the newest.
    confirmed_at_seconds: float
    #: Whether the store could not be read right before.
    is_after_failure: bool = False
    #: Version of the store, which other kinds' changes raise, too.
    store_version: int = 0


@attrs.define(repr=False)
class KindView(Shown):
    """Merges listings and watched changes; it does no I/O and reads no clock."""

    #: Version of the store from which the next watch goes on.
    store_version: int = 0
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    version: int = 0

    def apply_listing(self, listing: Listing) -> bool:
        """Replace everything by a whole listing; return false if it is older."""
        if listing.version < self.store_version:
            return False
        known = self.objects
        self.objects = {item.key: item for item in listing.objects}
        self.store_version = listing.version
        versions = [item.version for item in listing.objects]
        if known.keys() - self.objects.keys():
            # A deletion is a change, and nothing in the listing has its version: hosts
            # would keep the list from before it, and send to what has left.
            versions.append(listing.version)
        self.version = max([self.version, *versions])
        return True

    def take_changes(self, listing: Listing) -> None:
        """Merge what a watch told; older versions of an object change nothing."""
        for item in listing.objects:
            known = self.objects.get(item.key)
            if known is not None and known.version > item.version:
                continue
            if item.is_deleted:
                self.objects.pop(item.key, None)
            else:
                self.objects[item.key] = item
            self.version = max(self.version, item.version)
        self.store_version = max(self.store_version, listing.version)


class KindWatcher:
    """Task that follows one prefix and hands each state to a callback.

    ``on_state`` is called after every successful call, also if nothing changed:
    then only the confirmation is newer. While ``is_wanted`` says no, others read and
    no call is made. ``pause_seconds`` go by between two calls, so that many changes
    in a short time are read by few of them.
    """

    def __init__(
        self,
        api: ObjectApi,
        prefix: str,
        *,
        wait_seconds: float,
        on_state: Callable[[KindState], None],
        on_problem: Callable[[str], None],
        read_clock: Callable[[], float],
        draw: random.Random,
        pause_seconds: float = 0.0,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._api = api
        self._prefix = prefix
        self._wait_seconds = wait_seconds
        self._take_state = on_state
        self._take_problem = on_problem
        self._read_clock = read_clock
        self._draw = draw
        self._pause_seconds = pause_seconds
        self._is_wanted = is_wanted
        self._view = KindView()
        self._is_listed = False
        #: Failures since a watch was answered, and whether the last call failed.
        self._failures_count = 0
        self._has_failed = False
        #: Watches in a row whose history was gone.
        self._gone_count = 0

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            while not self._is_wanted():
                await sleep_aligned(ROLE_SECONDS)
            try:
                confirmed_at_seconds = await self._look()
                self._note_success(confirmed_at_seconds)
                await anyio.sleep(self._pause_seconds)
            except HistoryGoneError as error:
                self._is_listed = False
                self._take_problem(str(error))
                self._gone_count += 1
                if self._gone_count > 1:
                    # A listing was followed by another: without a pause a store that
                    # has no history would get calls as fast as it answers them.
                    self._failures_count += 1
                    await self._pause()
            except (PlatformError, DataError) as error:
                # Another watch would confirm nothing until it has waited; a listing
                # does within one round trip.
                self._is_listed = False
                self._failures_count += 1
                self._has_failed = True
                self._take_problem(str(error))
                await self._pause()

    async def refresh(self) -> None:
        """Read everything once more, or raise PlatformError."""
        began_seconds = self._read_clock()
        self._take_listing(await self._list())
        self._note_success(began_seconds)

    async def _look(self) -> float:
        began_seconds = self._read_clock()
        if not self._is_listed:
            self._take_listing(await self._list())
            self._is_listed = True
            return began_seconds
        listing = await self._api.watch(
            self._prefix, self._view.store_version, self._wait_seconds
        )
        # Only this ends a row of failures: a store that answers listings and no watches
        # would get ten times the calls.
        self._failures_count = 0
        self._gone_count = 0
        self._view.take_changes(listing)
        waited_seconds = self._read_clock() - began_seconds
        # An answer without changes came at the end of the wait, so all of the wait
        # counts, but not the time that its answer was under way.
        if not listing.objects and waited_seconds >= self._wait_seconds:
            return began_seconds + self._wait_seconds
        return began_seconds

    async def _list(self) -> Listing:
        listing = await self._api.list_objects(self._prefix)
        objects = list(listing.objects)
        version = listing.version
        while listing.is_truncated and listing.objects:
            listing = await self._api.list_objects(self._prefix, objects[-1].key)
            if era_of(listing.version) != era_of(version):
                raise HistoryGoneError("restored", step="list", peer=self._prefix)
            objects += listing.objects
        # Pages are read one after the other; the first one's version is the one up
        # to which all changes are surely in.
        return Listing(version=version, objects=objects)

    def _take_listing(self, listing: Listing) -> None:
        known_version = self._view.store_version
        if not self._view.apply_listing(listing):
            # What it does not show it does not confirm either.
            message = f"listing has version {listing.version}, {known_version} is known"
            raise PlatformError(message, step="list", peer=self._prefix)

    def _note_success(self, confirmed_at_seconds: float) -> None:
        state = KindState(
            objects=dict(self._view.objects),
            version=self._view.version,
            confirmed_at_seconds=confirmed_at_seconds,
            is_after_failure=self._has_failed,
            store_version=self._view.store_version,
        )
        self._has_failed = False
        self._take_state(state)

    async def _pause(self) -> None:
        seconds = INITIAL_BACKOFF_SECONDS * BACKOFF_FACTOR ** (self._failures_count - 1)
        seconds = min(MAX_PAUSE_SECONDS, seconds) * self._draw.uniform(0.5, 1.0)
        await anyio.sleep(seconds)
