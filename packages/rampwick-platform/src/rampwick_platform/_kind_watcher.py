"""Watcher of all objects under a prefix: one listing, then consecutive watches.

The state has a version and the time at which it was last confirmed as the newest in the
store. That is the time when the confirming call was sent, so that a slow response does
not make outdated state appear fresh.
"""

import random
from collections.abc import Callable, Mapping, Sequence

import anyio
import attrs

from rampwick_policy import OutageClock
from rampwick_schema import DataError, ReprMixin, era_of

from ._api import HistoryGoneError, Listing, ObjectApi, PlatformError, StoredObject
from ._timers import sleep_aligned

#: Backoff between calls after failures: initial, factor and maximum.
INITIAL_BACKOFF_SECONDS = 0.1
BACKOFF_FACTOR = 1.6
MAX_BACKOFF_SECONDS = 0.8

#: Interval of the checks whether this host must read the store.
ROLE_CHECK_INTERVAL_SECONDS = 0.5


@attrs.frozen(repr=False)
class KindState(ReprMixin):
    """Objects under a prefix at one version of the store."""

    objects: Mapping[str, StoredObject]
    #: Highest version of the included changes.
    version: int
    #: Monotonic time at which the state was last confirmed as the newest.
    confirmed_at_seconds: float
    #: Whether the preceding call to the store failed.
    is_after_failure: bool = False
    #: Version of the store, which changes of other kinds also increase.
    store_version: int = 0
    #: What the last watch brought, also of objects that have gone again.
    changes: Sequence[StoredObject] = ()
    #: Duration of the store's outage up to this state; 0 without one, infinite if the
    #: store was away when the watcher started.
    outage_seconds: float = 0.0


@attrs.define(repr=False)
class KindView(ReprMixin):
    """Merged state of listings and watched changes, without I/O or clock access."""

    #: Version of the store after which the next watch starts.
    store_version: int = 0
    objects: dict[str, StoredObject] = attrs.field(factory=dict)
    version: int = 0

    def apply_listing(self, listing: Listing) -> bool:
        """Replace the state with a complete listing; return False if that is older."""
        if listing.version < self.store_version:
            return False
        known = self.objects
        self.objects = {item.key: item for item in listing.objects}
        self.store_version = listing.version
        versions = [item.version for item in listing.objects]
        if known.keys() - self.objects.keys():
            # A deletion is a change, but no object in the listing has its version.
            # Without the version of the listing, hosts would retain the previous list
            # and send requests to removed upstreams.
            versions.append(listing.version)
        self.version = max([self.version, *versions])
        return True

    def merge_changes(self, listing: Listing) -> None:
        """Merge the response to a watch; older versions of an object are ignored.

        All objects may have been listed while the response was on its way. It then has
        nothing new, and an object that was removed meanwhile must not come back.
        """
        if listing.version <= self.store_version:
            return
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
    """Task that watches one prefix and passes each state to a callback.

    ``on_state`` is called after every successful call, also if only the confirmation
    time has changed. While ``must_read`` returns False, other hosts read the store and
    no calls are made. The task waits ``pause_seconds`` between two calls, so that a few
    calls read many changes in a short time.
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
        rng: random.Random,
        pause_seconds: float = 0.0,
        must_read: Callable[[], bool] = lambda: True,
    ) -> None:
        self._api = api
        self._prefix = prefix
        self._wait_seconds = wait_seconds
        self._on_state = on_state
        self._on_problem = on_problem
        self._read_clock = read_clock
        self._rng = rng
        self._pause_seconds = pause_seconds
        self._must_read = must_read
        self._view = KindView()
        self._is_listed = False
        #: Changes by the last watch that no state has had yet.
        self._changes: Sequence[StoredObject] = ()
        self._outage_clock = OutageClock()
        #: Failures since the last successful watch, and whether the last call failed.
        self._failures_count = 0
        self._has_failed = False
        #: Consecutive watches that failed because of missing history.
        self._history_gone_count = 0

    async def run(self) -> None:
        """Watch until cancelled."""
        # An error may have left an earlier run with a part of the changes.
        self._is_listed = False
        while True:
            while not self._must_read():
                await sleep_aligned(ROLE_CHECK_INTERVAL_SECONDS)
            try:
                confirmed_at_seconds = await self._poll()
                self._note_success(confirmed_at_seconds)
                await anyio.sleep(self._pause_seconds)
            except HistoryGoneError as error:
                self._is_listed = False
                self._on_problem(str(error))
                self._history_gone_count += 1
                if self._history_gone_count > 1:
                    # The watch after a listing failed as well. Without a backoff, a
                    # store without history would get calls as fast as it responds.
                    self._failures_count += 1
                    await self._back_off()
            except (PlatformError, DataError) as error:
                if not self._is_listed:
                    self._outage_clock.note_failed_listing()
                # A watch confirms the state only after its wait, a listing within one
                # round trip.
                self._is_listed = False
                self._failures_count += 1
                self._has_failed = True
                self._on_problem(str(error))
                await self._back_off()

    async def refresh(self) -> None:
        """Read all objects again, or raise PlatformError."""
        started_seconds = self._read_clock()
        self._apply_listing(await self._list())
        self._note_success(started_seconds)

    async def _poll(self) -> float:
        started_seconds = self._read_clock()
        if not self._is_listed:
            self._apply_listing(await self._list())
            self._is_listed = True
            return started_seconds
        listing = await self._api.watch(
            self._prefix, self._view.store_version, self._wait_seconds
        )
        # Only a successful watch resets the backoff: otherwise a store that responds to
        # listings but not to watches would get ten times as many calls.
        self._failures_count = 0
        self._history_gone_count = 0
        self._view.merge_changes(listing)
        self._changes = listing.objects
        waited_seconds = self._read_clock() - started_seconds
        # A response without changes was sent at the end of the wait. It confirms the
        # state as of then, without the transit time of the response.
        if not listing.objects and waited_seconds >= self._wait_seconds:
            return started_seconds + self._wait_seconds
        return started_seconds

    async def _list(self) -> Listing:
        listing = await self._api.list_objects(self._prefix)
        objects = list(listing.objects)
        version = listing.version
        after_keys = {""}
        while listing.is_truncated and listing.objects:
            if listing.last_key in after_keys:
                message = f"the page after {listing.last_key!r} can't be read"
                raise PlatformError(message, step="list", peer=self._prefix)
            after_keys.add(listing.last_key)
            listing = await self._api.list_objects(self._prefix, listing.last_key)
            if era_of(listing.version) != era_of(version):
                raise HistoryGoneError("store restored", step="list", peer=self._prefix)
            objects += listing.objects
        # Pages are read consecutively; only the changes up to the version of the first
        # page are certainly included.
        return Listing(version=version, objects=objects)

    def _apply_listing(self, listing: Listing) -> None:
        known_version = self._view.store_version
        if not self._view.apply_listing(listing):
            # An older listing does not confirm the known state.
            message = (
                f"listing has version {listing.version}, older than {known_version}"
            )
            raise PlatformError(message, step="list", peer=self._prefix)

    def _note_success(self, confirmed_at_seconds: float) -> None:
        state = KindState(
            objects=dict(self._view.objects),
            version=self._view.version,
            confirmed_at_seconds=confirmed_at_seconds,
            is_after_failure=self._has_failed,
            store_version=self._view.store_version,
            changes=self._changes,
            outage_seconds=self._outage_clock.note_answer(self._read_clock()),
        )
        self._changes = ()
        self._has_failed = False
        self._on_state(state)

    async def _back_off(self) -> None:
        seconds = INITIAL_BACKOFF_SECONDS * BACKOFF_FACTOR ** (self._failures_count - 1)
        seconds = min(MAX_BACKOFF_SECONDS, seconds) * self._rng.uniform(0.5, 1.0)
        await anyio.sleep(seconds)
