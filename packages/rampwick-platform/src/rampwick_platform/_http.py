"""The object API over HTTP: one client, whatever dialect the store speaks."""

from collections import Counter
from collections.abc import Callable
from typing import Any

import anyio
import attrs
import httpx

from rampwick_schema import (
    MAX_REVISION,
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
from ._budget import CallBudget
from ._entity_tags import EntityTagDialect
from ._socket_options import LIVENESS_OPTIONS
from ._steady_clock import read_steady_clock
from ._store_dialect import StoreDialect, StoreRequest

#: Added to a watch's own length before its answer counts as lost: the way there and
#: back, and what a busy store adds.
WATCH_GRACE_SECONDS = 0.5

#: Rest after which a connection is used no more: otherwise the call after one on a dead
#: connection takes another that is as dead; two watches heard nothing for 7.3 s.
MAX_REST_SECONDS = 2.0

#: Statuses that a dialect's readers understand.
MEANINGFUL_STATUSES = frozenset(
    {
        httpx.codes.NOT_FOUND,
        httpx.codes.CONFLICT,
        httpx.codes.PRECONDITION_FAILED,
    }
)


class HttpObjectApi:
    """Client of the platform's object API; it owns no task, only connections."""

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
        self._dialect = dialect or EntityTagDialect()
        self._read_clock = read_clock
        #: Calls made so far by what they were for, a watch as one.
        self.calls: Counter[str] = Counter()
        #: Highest era of the store that an answer gave.
        self.era = 0
        self._has_answer = False
        #: Called as the store was restored, with its era before and the new one, and
        #: with the call whose answer told it.
        self.on_restored: Callable[[int, int, str], None] = _ignore_era
        self._client = httpx.AsyncClient(
            base_url=url,
            timeout=call_timeout_seconds,
            trust_env=False,
            transport=httpx.AsyncHTTPTransport(
                trust_env=False,
                # Loading certificates that nobody asks for takes a tenth of a start.
                verify=url.startswith("https:"),
                # Each dead connection in the pool costs the next call its whole
                # time-out, unless the kernel has found it dead before.
                socket_options=LIVENESS_OPTIONS,
                limits=httpx.Limits(keepalive_expiry=MAX_REST_SECONDS),
            ),
        )

    async def __aenter__(self) -> "HttpObjectApi":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._client.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or none if it does not exist."""
        response = await self._call(self._dialect.get(key))
        stored = self._dialect.read_object(key, response)
        return self._with_era(stored) if stored else None

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the object has the expected version; return the new version.

        In another era than that of the expected version its revision may be another
        object's: such a write is not sent, or its success is a StoreRestoredError.
        """
        step = "put object"
        expected_era = era_of(expected_version)
        is_absent = expected_version == ABSENT
        if not is_absent and expected_era < self.era:
            message = f"{key} was read in era {expected_era}, it is {self.era}"
            raise VersionConflictError(message, step=step, peer=self._url)
        request = self._dialect.put(key, value, revision_of(expected_version))
        response = await self._call(request)
        version = self._lift(self._dialect.read_put(key, response))
        if not is_absent and expected_era != self.era:
            message = f"{key} was written in era {self.era}, expected {expected_era}"
            raise StoreRestoredError(message, step=step, peer=self._url)
        return version

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        """Return the objects whose keys start with a prefix, in order."""
        request = self._dialect.list_objects(prefix, after_key)
        response = await self._call(request)
        return self._listing_with_era(self._dialect.read_listing(prefix, response))

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        """Wait for objects written after a version; none at a time-out.

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
            # The changes up to that revision in the new era would never be read.
            message = f"era {self.era} began"
            raise HistoryGoneError(message, step="watch objects", peer=self._url)

    def _with_era(self, stored: StoredObject) -> StoredObject:
        return attrs.evolve(stored, version=self._lift(stored.version))

    def _listing_with_era(self, listing: Listing) -> Listing:
        return attrs.evolve(
            listing,
            version=self._lift(listing.version),
            objects=[self._with_era(item) for item in listing.objects],
        )

    def _lift(self, revision: int) -> int:
        if not 0 <= revision <= MAX_REVISION:
            message = f"revision {revision} is out of range"
            raise PlatformError(message, step="read version", peer=self._url)
        return join_version(self.era, revision)

    async def read_hosts(self) -> HostList:
        """Return the lagging list of hosts."""
        request = StoreRequest("read host list", "GET", "/v1/hosts")
        response = await self._call(request)
        try:
            data = response.json()
        except ValueError:
            raise PlatformError(
                "answer is not JSON", step=request.step, peer=self._url
            ) from None
        host_list = structure(data, HostList, step=request.step, peer=self._url)
        return attrs.evolve(host_list, version=self._lift(host_list.version))

    async def _call(self, request: StoreRequest, **options: Any) -> httpx.Response:
        await anyio.sleep(self._budget.reserve(self._read_clock()))
        step = request.step
        self.calls[f"{step} {request.path}"] += 1
        try:
            response = await self._client.request(
                request.method,
                request.path,
                params=request.parameters,
                headers=request.headers,
                content=request.content,
                **options,
            )
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailableError(
                _describe(error), step=step, peer=self._url
            ) from error
        except httpx.HTTPError as error:
            raise OutcomeUnknownError(
                _describe(error), step=step, peer=self._url
            ) from error
        era = self._dialect.read_era(response)
        self._take_era(era, f"{step} {request.path}")
        self._check(response, step)
        if era < self.era:
            # From before the restore, or without its place in the order.
            message = f"answer of era {era}, the store is in era {self.era}"
            raise OutcomeUnknownError(message, step=step, peer=self._url)
        self._has_answer = True
        return response

    def _take_era(self, era: int, call: str) -> None:
        before, self.era = self.era, max(era, self.era)
        if self._has_answer and era > before:
            self.on_restored(before, era, call)

    def _check(self, response: httpx.Response, step: str) -> None:
        status = response.status_code
        if response.is_success or status in MEANINGFUL_STATUSES:
            return
        message = f"status {status}"
        if status == httpx.codes.GONE:
            raise HistoryGoneError(message, step=step, peer=self._url)
        # A server error may come from behind a write that took effect.
        is_refusal = status in (429, 503) or response.is_client_error
        kind = PlatformUnavailableError if is_refusal else OutcomeUnknownError
        raise kind(message, step=step, peer=self._url)


def _ignore_era(before: int, era: int, call: str) -> None:
    return


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
