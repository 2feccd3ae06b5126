"""HTTP client of the object API, for stores of any dialect."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import httpx

from rampwick_schema import (
    MAX_REVISION,
    DataError,
    HostEntry,
    HostList,
    era_of,
    join_version,
    revision_of,
    structure,
)

from ._api import (
    ABSENT,
    HistoryGoneError,
    Listing,
    OutcomeUnknownError,
    PlatformError,
    PlatformUnavailableError,
    StoredObject,
    StoreRestoredError,
    VersionConflictError,
)
from ._bounded_streams import bound_responses
from ._budget import CallBudget
from ._entity_tags import EntityTagDialect
from ._record_reading import decode_answer, read_revision
from ._socket_options import LIVENESS_OPTIONS
from ._steady_clock import read_steady_clock
from ._store_dialect import StoreDialect, StoreRequest

#: Added to the duration of a watch before its response counts as lost: the round trip
#: and the delay of a busy store.
WATCH_GRACE_SECONDS = 0.5

#: Idle time after which a connection is not reused. Otherwise a call that follows a
#: timeout on a dead connection takes another dead one from the pool: two watches
#: received nothing for 7.3 s.
MAX_IDLE_SECONDS = 2.0

#: Wait for the call budget from which a call counts as delayed.
DELAYED_CALL_SECONDS = 0.5

#: Error statuses that the dialect interprets.
DIALECT_STATUSES = frozenset(
    {
        httpx.codes.NOT_FOUND,
        httpx.codes.CONFLICT,
        httpx.codes.PRECONDITION_FAILED,
    }
)


class HttpObjectApi:
    """Client of the platform's object API; it has connections but no tasks."""

    def __init__(
        self,
        url: str,
        *,
        call_timeout_seconds: float,
        calls_per_second: float,
        dialect: StoreDialect | None = None,
        read_clock: Callable[[], float] = read_steady_clock,
    ) -> None:
        self._url = url
        self._budget = CallBudget(calls_per_second)
        #: Held by the first of the calls that wait for the budget.
        self._budget_lock = anyio.Lock()
        self._dialect = dialect or EntityTagDialect()
        self._read_clock = read_clock
        #: Number of calls by step and path; a watch is one call.
        self.calls: Counter[str] = Counter()
        #: Number of calls that wait for the budget.
        self.waiting_count = 0
        self._is_delayed = False
        #: Called when the budget begins to delay calls and when it no longer does, with
        #: whether the last call was delayed, its wait in seconds, and the call.
        self.on_delayed: Callable[[bool, float, str], None] = _ignore_delay
        #: Errors of the hosts that the last list left out, by their place.
        self.unread_hosts: dict[str, str] = {}
        #: Highest era of the store in any response.
        self.era = 0
        self._has_response = False
        #: Called when a restore of the store is detected, with the previous and the new
        #: era and the call whose response had the new era.
        self.on_restored: Callable[[int, int, str], None] = _ignore_restore
        transport = httpx.AsyncHTTPTransport(
            trust_env=False,
            # Loading certificates that are not needed takes a tenth of the startup.
            verify=url.startswith("https:"),
            # Each dead connection in the pool makes a call wait for its whole timeout,
            # unless the kernel has closed it before.
            socket_options=LIVENESS_OPTIONS,
            limits=httpx.Limits(keepalive_expiry=MAX_IDLE_SECONDS),
        )
        bound_responses(transport)
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=call_timeout_seconds,
            trust_env=False,
            headers={"accept-encoding": "identity"},
            transport=transport,
        )

    async def __aenter__(self) -> "HttpObjectApi":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._client.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        response = await self._call(self._dialect.get(key))
        stored = self._dialect.read_object(key, response)
        return self._with_era(stored) if stored else None

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write the object if it has the expected version; return the new version.

        If the era has changed since the expected version, its revision may belong to
        another object. Such a write is not sent; if the change is detected only in the
        response, StoreRestoredError is raised although the write succeeded.
        """
        step = "put object"
        expected_era = era_of(expected_version)
        is_absent = expected_version == ABSENT
        if not is_absent and expected_era < self.era:
            message = f"{key} was read in era {expected_era}, it is {self.era}"
            raise VersionConflictError(message, step=step, peer=self._url)
        request = self._dialect.put(key, value, revision_of(expected_version))
        response = await self._call(request)
        version = self._version_of(self._dialect.read_put(key, response))
        if not is_absent and expected_era != self.era:
            message = f"{key} was written in era {self.era}, expected {expected_era}"
            raise StoreRestoredError(message, step=step, peer=self._url)
        return version

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        """Return the objects whose keys start with a prefix, in key order."""
        request = self._dialect.list_objects(prefix, after_key)
        response = await self._call(request)
        return self._listing_with_era(self._dialect.read_listing(prefix, response))

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        """Wait for objects written after a version; return none on a timeout.

        Raise HistoryGoneError if the store was restored since that version.
        """
        self._check_watched_era(after_version)
        request = self._dialect.watch(
            prefix, revision_of(after_version), timeout_seconds
        )
        response = await self._call(
            request, timeout=timeout_seconds + WATCH_GRACE_SECONDS
        )
        self._check_watched_era(after_version)
        return self._listing_with_era(self._dialect.read_listing(prefix, response))

    def _check_watched_era(self, after_version: int) -> None:
        if era_of(after_version) < self.era:
            # The watch would skip the changes up to that revision in the new era.
            message = f"store restored, now in era {self.era}"
            raise HistoryGoneError(message, step="watch objects", peer=self._url)

    def _with_era(self, stored: StoredObject) -> StoredObject:
        return attrs.evolve(stored, version=self._version_of(stored.version))

    def _listing_with_era(self, listing: Listing) -> Listing:
        return attrs.evolve(
            listing,
            version=self._version_of(listing.version),
            objects=[self._with_era(item) for item in listing.objects],
        )

    def _version_of(self, revision: int) -> int:
        if not 0 <= revision <= MAX_REVISION:
            message = f"revision {revision} is out of range"
            raise PlatformError(message, step="read version", peer=self._url)
        return join_version(self.era, revision)

    async def read_hosts(self) -> HostList:
        """Return the list of hosts, which may be outdated."""
        request = StoreRequest("read host list", "GET", "/v1/hosts")
        response = await self._call(request)
        try:
            data = decode_answer(response.content, ("hosts",))
            revision = read_revision(data["version"])
            self.unread_hosts = {}
            entries = [
                self._read_host(index, item) for index, item in enumerate(data["hosts"])
            ]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformError(
                f"invalid host list: {error!r}", step=request.step, peer=self._url
            ) from None
        hosts = [entry for entry in entries if entry is not None]
        return HostList(self._version_of(revision), hosts)

    def _read_host(self, index: int, data: Any) -> HostEntry | None:
        """Return an entry of the host list; None if it is invalid."""
        try:
            return structure(data, HostEntry, step="read host list", peer=self._url)
        except DataError as error:
            self.unread_hosts[f"hosts[{index}]"] = str(error)
            return None

    async def _call(self, request: StoreRequest, **options: Any) -> httpx.Response:
        await self._wait_for_budget(request)
        step = request.step
        self.calls[f"{step} {request.path}"] += 1
        try:
            response = await self._exchange(request, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailableError(
                _describe(error), step=step, peer=self._url
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                _describe(error), step=step, peer=self._url
            ) from error
        era = self._dialect.read_era(response)
        self._observe_era(era, f"{step} {request.path}")
        self._check(response, step)
        if era < self.era:
            # The response predates the restore or has no era, so its order is unknown.
            message = f"answer of era {era}, the store is in era {self.era}"
            raise OutcomeUnknownError(message, step=step, peer=self._url)
        self._has_response = True
        return response

    async def _wait_for_budget(self, request: StoreRequest) -> None:
        """Return when the call may be made; calls are made in the order of arrival.

        One that is cancelled while it waits takes nothing from those behind it.
        """
        started_seconds = self._read_clock()
        self.waiting_count += 1
        try:
            async with self._budget_lock:
                await anyio.sleep(self._budget.wait_seconds(self._read_clock()))
                self._budget.take(self._read_clock())
        finally:
            self.waiting_count -= 1
        waited_seconds = self._read_clock() - started_seconds
        is_delayed = waited_seconds >= DELAYED_CALL_SECONDS
        if is_delayed is not self._is_delayed:
            self._is_delayed = is_delayed
            self.on_delayed(
                is_delayed, waited_seconds, f"{request.step} {request.path}"
            )

    async def _exchange(self, request: StoreRequest, **options: Any) -> httpx.Response:
        """Return the response with its body, which must not be compressed.

        A small compressed body may fill the memory.
        """
        async with self._client.stream(
            request.method,
            request.path,
            params=request.parameters,
            headers=request.headers,
            content=request.content,
            **options,
        ) as response:
            encoding = response.headers.get("content-encoding", "identity")
            if encoding != "identity":
                raise httpx.DecodingError(f"content encoding {encoding!r}")
            await response.aread()
            return response

    def _observe_era(self, era: int, call: str) -> None:
        before, self.era = self.era, max(era, self.era)
        if self._has_response and era > before:
            self.on_restored(before, era, call)

    def _check(self, response: httpx.Response, step: str) -> None:
        status = response.status_code
        if response.is_success or status in DIALECT_STATUSES:
            return
        message = f"status {status}"
        if status == httpx.codes.GONE:
            raise HistoryGoneError(message, step=step, peer=self._url)
        # A write may have taken effect before the server error occurred.
        is_refusal = status in (429, 503) or response.is_client_error
        kind = PlatformUnavailableError if is_refusal else OutcomeUnknownError
        raise kind(message, step=step, peer=self._url)


def _ignore_restore(before: int, era: int, call: str) -> None:
    return


def _ignore_delay(is_delayed: bool, waited_seconds: float, call: str) -> None:
    return


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
