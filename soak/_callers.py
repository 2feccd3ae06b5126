"""Callers: each works through one request after another and writes down what it saw."""

import random
import time
from collections.abc import Callable, Sequence
from typing import Any

import anyio
import attrs
import httpx
from tests.history import ObservedResponse, read_error, read_stream

from ._fleet import KEY, MODEL

#: Tokens of each answer, and the prompts' shared beginning.
ANSWER_TOKENS = 12
GUIDE = "A guide that all requests share, as long as a few blocks. " * 12

#: Kinds of requests and how often each is drawn.
KINDS = {"stream": 5, "never": 3, "keyed": 3, "read": 2, "write": 2}

#: Tries of a request with a key, over hosts.
KEYED_TRIES = 3

#: A caller's patience: what no answer may take, faults or not.
PATIENCE_SECONDS = 20.0

#: Deadline that callers name.
DEADLINE_SECONDS = 8.0


@attrs.frozen
class Call:
    """One try as its caller saw it; times are steady seconds."""

    kind: str
    host: str
    saw: ObservedResponse
    began_seconds: float
    ended_seconds: float
    #: Whether the connection ended without a whole answer.
    is_cut: bool = False
    #: Whether nobody listened at all.
    is_unreachable: bool = False
    #: How it ended, where that was no answer.
    error: str = ""


@attrs.define
class Caller:
    """One caller; it keeps its connections open until their hosts are gone."""

    name: str
    urls: dict[str, str]
    draw: random.Random
    note: Callable[[Call], None]
    _clients: dict[str, httpx.AsyncClient] = attrs.field(factory=dict)
    _count: int = 0

    async def run(self, until: Callable[[], bool]) -> None:
        """Send requests until told to stop."""
        while not until():
            kind = self.draw.choices(list(KINDS), weights=list(KINDS.values()))[0]
            await self.send(kind, self.draw.choice(list(self.urls)))
            await anyio.sleep(self.draw.expovariate(20.0))

    async def close(self) -> None:
        """Close all connections."""
        for client in self._clients.values():
            await client.aclose()

    async def send(self, kind: str, host: str) -> Call:
        """Send one request of a kind; one with a key may be sent several times."""
        self._count += 1
        text = f"{GUIDE}{self.name}-{self._count}"
        for _ in range(KEYED_TRIES if kind == "keyed" else 1):
            call = await self._try(kind, host, text)
            self.note(call)
            if not call.is_cut and not call.is_unreachable:
                break
            # Another host may know what became of it.
            host = self.draw.choice(list(self.urls))
        return call

    async def _try(self, kind: str, host: str, text: str) -> Call:
        began_seconds = time.monotonic()
        key = text if kind == "keyed" else ""
        try:
            with anyio.fail_after(PATIENCE_SECONDS):
                answer = await self._exchange(kind, host, text)
        except httpx.ConnectError:
            return self._lost(kind, host, text, began_seconds, is_unreachable=True)
        except (httpx.HTTPError, TimeoutError) as error:
            return self._lost(
                kind, host, text, began_seconds, is_cut=True, error=repr(error)
            )
        saw = _read(kind, text, answer, key)
        return Call(kind, host, saw, began_seconds, time.monotonic())

    def _lost(
        self, kind: str, host: str, text: str, began_seconds: float, **how: Any
    ) -> Call:
        saw = ObservedResponse(prompt=text, status=0)
        return Call(kind, host, saw, began_seconds, time.monotonic(), **how)

    async def _exchange(self, kind: str, host: str, text: str) -> httpx.Response:
        client = self._clients.get(host)
        if client is None:
            client = self._clients[host] = httpx.AsyncClient(
                base_url=self.urls[host],
                trust_env=False,
                verify=False,
                timeout=PATIENCE_SECONDS,
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
            headers["Idempotency-Key"] = text.removeprefix(GUIDE)
        body = {
            "model": MODEL,
            "prompt": text,
            "max_tokens": ANSWER_TOKENS,
            "stream": True,
        }
        return await client.post("/v1/completions", json=body, headers=headers)


def _read(kind: str, text: str, answer: httpx.Response, key: str) -> ObservedResponse:
    if kind not in ("read", "write"):
        return read_stream(text, answer.status_code, answer.content, key=key)
    if answer.status_code != 200:
        return read_error(text, answer.status_code, answer.content)
    is_whole = answer.json().get("bytes") == len(text)
    return ObservedResponse(prompt=text, status=200, is_whole=is_whole)


def marked(calls: Sequence[Call]) -> set[str]:
    """Return the prompts of the requests that must run at most once."""
    return {
        call.saw.prompt for call in calls if call.kind in ("never", "keyed", "write")
    }
