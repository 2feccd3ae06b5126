"""Callers of a workspace with a limit, and a check of what runners ran for them."""

import hashlib
import random
import time
from collections.abc import Callable, Iterable, Sequence

import anyio
import attrs
import httpx

from rampwick_schema import Node

from ._fleet import LIMITED_KEY, MODEL, QUOTA, Fleet

#: Prefix of their prompts, by which the runs are found.
LIMITED_PREFIX = "limited "

#: Limit in requests, the usual demand as a ratio of it, and that in a surge.
LIMITED_PATH = "/soak/limited"
REQUESTS_PER_SECOND = 20.0
BURST_COUNT = 20.0
USUAL_RATIO = 1.0 / 1.8
SURGE_RATIO = 5.0

#: Hosts that a caller tries, and the pause before the next one.
TRIES_COUNT = 20
TRY_PAUSE_SECONDS = 0.1
REQUEST_TIMEOUT_SECONDS = 10.0


def limited_node(ratio: float = 1.0) -> Node:
    """Return the node of the workspace, with a share of its limit."""
    return Node(
        is_workspace=True,
        key_hashes=[hashlib.sha256(LIMITED_KEY.encode()).hexdigest()],
        tokens_per_second=REQUESTS_PER_SECOND * ratio,
        burst_tokens=BURST_COUNT * ratio,
        counts_requests=True,
    )


def allowed_count(ratio: float = 1.0) -> float:
    """Return the requests that may run within any window."""
    rate_count = REQUESTS_PER_SECOND * ratio * QUOTA.window_seconds
    count = rate_count + BURST_COUNT * ratio
    return count * (1.0 + QUOTA.over_ratio) + QUOTA.slack_tokens


def worst_window_count(times: Iterable[float]) -> tuple[int, float]:
    """Return the most runs within any window, and the time at which it begins."""
    ordered = sorted(times)
    worst, first = (0, 0.0), 0
    for index, at in enumerate(ordered):
        while ordered[first] < at - QUOTA.window_seconds:
            first += 1
        worst = max(worst, (index - first + 1, ordered[first]))
    return worst


def check_limited_runs(times: Sequence[float]) -> list[str]:
    """No window holds more runs than the limit of the workspace allows."""
    count, began_seconds = worst_window_count(times)
    if count <= allowed_count():
        return []
    return [
        f"{count} requests of {LIMITED_PATH} ran within {QUOTA.window_seconds} s from "
        f"{began_seconds:.3f}, allowed {allowed_count():.0f}"
    ]


@attrs.define
class LimitedCallers:
    """Sends requests at random times, whatever becomes of the earlier ones."""

    fleet: Fleet
    rng: random.Random
    #: Demand as a ratio of the limit.
    ratio: float = USUAL_RATIO
    served_count: int = 0
    refused_count: int = 0
    other_count: int = 0
    #: Times of refusals for the limit.
    refused_at: list[float] = attrs.field(factory=list)
    _clients: dict[str, httpx.AsyncClient] = attrs.field(factory=dict)

    async def run(self, until: Callable[[], bool]) -> None:
        """Send requests until `until` returns true."""
        async with anyio.create_task_group() as tasks:
            number = 0
            while not until():
                number += 1
                tasks.start_soon(self._send, number)
                rate = REQUESTS_PER_SECOND * self.ratio
                await anyio.sleep(self.rng.expovariate(rate))
        for client in self._clients.values():
            await client.aclose()

    async def _send(self, number: int) -> None:
        body = {
            "model": MODEL,
            "prompt": f"{LIMITED_PREFIX}{number}",
            "max_tokens": 1,
            "stream": True,
        }
        headers = {"Authorization": f"Bearer {LIMITED_KEY}"}
        for _ in range(TRIES_COUNT):
            host = self.rng.choice(self.fleet.hosts)
            client = self._client(self.fleet.entry_url(host))
            try:
                response = await client.post(
                    "/v1/completions", json=body, headers=headers
                )
            except httpx.TransportError:
                await anyio.sleep(TRY_PAUSE_SECONDS)
                continue
            self._note(response.status_code)
            return
        self.other_count += 1

    def _note(self, status: int) -> None:
        if status == httpx.codes.OK:
            self.served_count += 1
        elif status == httpx.codes.TOO_MANY_REQUESTS:
            self.refused_count += 1
            self.refused_at.append(time.monotonic())
        else:
            self.other_count += 1

    def _client(self, url: str) -> httpx.AsyncClient:
        if url not in self._clients:
            self._clients[url] = httpx.AsyncClient(
                base_url=url,
                trust_env=False,
                verify=False,
                timeout=REQUEST_TIMEOUT_SECONDS,
            )
        return self._clients[url]
