"""Callers, which send one request after another and record what they observe."""

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import attrs
import httpx
from tests.history import ObservedResponse, read_error, read_stream

from ._fleet import KEY, MODEL

#: Tokens of each response, and the prefix that all prompts share.
RESPONSE_TOKENS = 12
SHARED_PREFIX = "A guide that all requests share, as long as a few blocks. " * 12

#: Weight of each request kind in the random choice.
KIND_WEIGHTS = {"stream": 5, "never": 3, "keyed": 3, "read": 2, "write": 2}

#: Attempts of a request with an idempotency key; each may go to another host.
KEYED_ATTEMPTS = 3

#: Limit of a caller for any response, also while faults are injected.
REQUEST_TIMEOUT_SECONDS = 20.0

#: Deadline that callers declare in their requests.
DEADLINE_SECONDS = 8.0


@attrs.frozen
class Call:
    """One attempt as its caller observed it; times are monotonic."""

    kind: str
    host: str
    observed: ObservedResponse
    began_seconds: float
    ended_seconds: float
    #: Whether the connection ended without a complete response.
    is_cut: bool = False
    #: Whether the connection was refused.
    is_unreachable: bool = False
    #: Exception that ended the attempt without a readable response.
    error: str = ""


@attrs.define
class Caller:
    """One caller, which reuses its connections until their hosts close them."""

    name: str
    urls: dict[str, str]
    rng: random.Random
    record_call: Callable[[Call], None]
    _clients: dict[str, httpx.AsyncClient] = attrs.field(factory=dict)
    _count: int = 0

    async def run(self, until: Callable[[], bool]) -> None:
        """Send requests until `until` returns true."""
        while not until():
            kind = self.rng.choices(
                list(KIND_WEIGHTS), weights=list(KIND_WEIGHTS.values())
            )[0]
            await self.send(kind, self.rng.choice(list(self.urls)))
            await anyio.sleep(self.rng.expovariate(20.0))

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def send(self, kind: str, host: str) -> Call:
        """Send one request.

        A request with an idempotency key is sent again if the connection was cut or
        refused.
        """
        self._count += 1
        text = f"{SHARED_PREFIX}{self.name}-{self._count}"
        for _ in range(KEYED_ATTEMPTS if kind == "keyed" else 1):
            call = await self._attempt(kind, host, text)
            self.record_call(call)
            if not call.is_cut and not call.is_unreachable:
                break
            # Another host may have the recorded outcome.
            host = self.rng.choice(list(self.urls))
        return call

    async def _attempt(self, kind: str, host: str, text: str) -> Call:
        began_seconds = time.monotonic()
        key = text if kind == "keyed" else ""
        try:
            with anyio.fail_after(REQUEST_TIMEOUT_SECONDS):
                response = await self._send_request(kind, host, text)
        except httpx.ConnectError:
            return self._failed_call(
                kind, host, text, began_seconds, is_unreachable=True
            )
        except (httpx.HTTPError, TimeoutError) as error:
            return self._failed_call(
                kind, host, text, began_seconds, is_cut=True, error=repr(error)
            )
        try:
            observed = _read(kind, text, response, key)
        except ValueError as error:
            observed = ObservedResponse(text, response.status_code, key=key)
            ended_seconds = time.monotonic()
            return Call(
                kind, host, observed, began_seconds, ended_seconds, error=repr(error)
            )
        return Call(kind, host, observed, began_seconds, time.monotonic())

    def _failed_call(
        self, kind: str, host: str, text: str, began_seconds: float, **outcome: Any
    ) -> Call:
        observed = ObservedResponse(prompt=text, status=0)
        return Call(kind, host, observed, began_seconds, time.monotonic(), **outcome)

    async def _send_request(self, kind: str, host: str, text: str) -> httpx.Response:
        client = self._clients.get(host)
        if client is None:
            client = self._clients[host] = httpx.AsyncClient(
                base_url=self.urls[host],
                trust_env=False,
                verify=False,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        headers = {
            "Authorization": f"Bearer {KEY}",
            "Rampwick-Deadline-Seconds": str(DEADLINE_SECONDS),
        }
        if kind in ("read", "write"):
            method = "PUT" if kind == "read" else "POST"
            path = "/services/portal/sheet"
            return await client.request(method, path, content=text, headers=headers)
        if kind == "never":
            headers["Rampwick-Repeat"] = "never"
        if kind == "keyed":
            headers["Idempotency-Key"] = text.removeprefix(SHARED_PREFIX)
        body = {
            "model": MODEL,
            "prompt": text,
            "max_tokens": RESPONSE_TOKENS,
            "stream": True,
        }
        return await client.post("/v1/completions", json=body, headers=headers)


def _read(kind: str, text: str, response: httpx.Response, key: str) -> ObservedResponse:
    if kind not in ("read", "write"):
        return read_stream(text, response.status_code, response.content, key=key)
    if response.status_code != 200:
        return read_error(text, response.status_code, response.content)
    is_whole = response.json().get("bytes") == len(text)
    return ObservedResponse(prompt=text, status=200, is_whole=is_whole)


def at_most_once_prompts(calls: Sequence[Call]) -> set[str]:
    """Return the prompts of the requests that must run at most once."""
    return {
        call.observed.prompt
        for call in calls
        if call.kind in ("never", "keyed", "write")
    }
