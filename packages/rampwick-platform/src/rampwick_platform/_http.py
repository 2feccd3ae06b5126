"""The object API over HTTP: conditional requests with entity tags."""

import time
from collections.abc import Callable
from typing import Any

import anyio
import httpx

from rampwick_schema import HostList, structure

from ._api import (
    ABSENT,
    AnswerLostError,
    Listing,
    PlatformError,
    PlatformUnavailableError,
    StoredObject,
    VersionConflictError,
)
from ._budget import CallBudget

#: Added to a watch's own length before its answer counts as lost.
WATCH_GRACE_SECONDS = 2.0


class HttpObjectApi:
    """Client of the platform's object API; it owns no task, only connections."""

    def __init__(
        self,
        url: str,
        *,
        call_timeout_seconds: float,
        calls_per_second: float,
        read_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self._url = url
        self._budget = CallBudget(calls_per_second)
        self._read_clock = read_clock
        #: Calls made so far, a watch as one.
        self.calls_count = 0
        self._client = httpx.AsyncClient(
            base_url=url, timeout=call_timeout_seconds, trust_env=False
        )

    async def __aenter__(self) -> "HttpObjectApi":
        return self

    async def __aexit__(self, *details: object) -> None:
        await self._client.aclose()

    async def get(self, key: str) -> StoredObject | None:
        """Return an object, or none if it does not exist."""
        response = await self._call("get object", "GET", f"/v1/objects/{key}")
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        self._check(response, "get object")
        version = self._version(response, "get object")
        return StoredObject(key=key, version=version, value=response.content)

    async def put(self, key: str, value: bytes, expected_version: int) -> int:
        """Write if the object has the expected version; return the new version."""
        if expected_version == ABSENT:
            headers = {"If-None-Match": "*"}
        else:
            headers = {"If-Match": f'"{expected_version}"'}
        step = "put object"
        response = await self._call(
            step, "PUT", f"/v1/objects/{key}", content=value, headers=headers
        )
        if response.status_code == httpx.codes.PRECONDITION_FAILED:
            raise VersionConflictError(f"{key} changed", step=step, peer=self._url)
        self._check(response, step)
        return self._version(response, step)

    async def list_objects(self, prefix: str, after_key: str = "") -> Listing:
        """Return the objects whose keys start with a prefix, in order."""
        parameters = {"prefix": prefix, "after_key": after_key}
        step = "list objects"
        response = await self._call(step, "GET", "/v1/objects", params=parameters)
        return self._listing(response, step)

    async def watch(
        self, prefix: str, after_version: int, timeout_seconds: float
    ) -> Listing:
        """Wait for objects written after a version; none at a time-out."""
        parameters = {
            "prefix": prefix,
            "after_version": str(after_version),
            "timeout_seconds": str(timeout_seconds),
        }
        step = "watch objects"
        response = await self._call(
            step,
            "GET",
            "/v1/watch",
            params=parameters,
            timeout=timeout_seconds + WATCH_GRACE_SECONDS,
        )
        return self._listing(response, step)

    async def read_hosts(self) -> HostList:
        """Return the lagging list of hosts."""
        step = "read host list"
        response = await self._call(step, "GET", "/v1/hosts")
        self._check(response, step)
        return structure(
            self._json(response, step), HostList, step=step, peer=self._url
        )

    async def _call(
        self, step: str, method: str, path: str, **options: Any
    ) -> httpx.Response:
        await anyio.sleep(self._budget.reserve(self._read_clock()))
        self.calls_count += 1
        try:
            return await self._client.request(method, path, **options)
        except (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout) as error:
            raise PlatformUnavailableError(
                _describe(error), step=step, peer=self._url
            ) from error
        except httpx.HTTPError as error:
            raise AnswerLostError(
                _describe(error), step=step, peer=self._url
            ) from error

    def _listing(self, response: httpx.Response, step: str) -> Listing:
        self._check(response, step)
        data = self._json(response, step)
        try:
            objects = [
                StoredObject(item["key"], item["version"], item["value"].encode())
                for item in data["objects"]
            ]
            return Listing(version=data["version"], objects=objects)
        except (KeyError, TypeError, AttributeError) as error:
            raise PlatformError(
                f"bad answer: {error!r}", step=step, peer=self._url
            ) from None

    def _check(self, response: httpx.Response, step: str) -> None:
        if response.is_success:
            return
        message = f"status {response.status_code}"
        # A server error may come from behind a write that took effect.
        is_refusal = response.status_code in (429, 503) or response.is_client_error
        kind = PlatformUnavailableError if is_refusal else AnswerLostError
        raise kind(message, step=step, peer=self._url)

    def _version(self, response: httpx.Response, step: str) -> int:
        try:
            return int(response.headers["ETag"].strip('"'))
        except (KeyError, ValueError):
            raise AnswerLostError(
                "answer without version", step=step, peer=self._url
            ) from None

    def _json(self, response: httpx.Response, step: str) -> Any:
        try:
            return response.json()
        except ValueError:
            raise PlatformError(
                "answer is not JSON", step=step, peer=self._url
            ) from None


def _describe(error: Exception) -> str:
    return str(error) or type(error).__name__
