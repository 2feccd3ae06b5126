"""Most new connections at one host, while nothing else happens."""

import random

import anyio
import attrs
import httpx

from ._fleet import KEY, Fleet

#: Requests that come at once, and then one after the other, each on a new connection.
BURST_COUNT = 40
REQUESTS_COUNT = 75
INTERVAL_SECONDS = 0.04

#: Share of the requests that go to one host first.
SKEWED_RATIO = 0.85
REQUEST_TIMEOUT_SECONDS = 5.0

#: Smallest share of requests that the first host that reads them serves.
MIN_SERVED_RATIO = 0.95


@attrs.define
class SkewedLoad:
    """Callers that open a connection for each request, most of them at one host."""

    fleet: Fleet
    rng: random.Random
    #: Index of the host that gets most of them.
    index: int
    sent_count: int = 0
    served_count: int = 0

    async def run(self) -> str:
        """Send all requests; return the violation, or an empty string."""
        async with anyio.create_task_group() as tasks:
            for number in range(BURST_COUNT + REQUESTS_COUNT):
                tasks.start_soon(self._send, f"herd {number}")
                if number >= BURST_COUNT:
                    await anyio.sleep(INTERVAL_SECONDS)
        if self.served_count >= MIN_SERVED_RATIO * self.sent_count:
            return ""
        return f"{self.served_count} of {self.sent_count} requests of a herd served"

    async def _send(self, text: str) -> None:
        """Send a request to the first host that reads it."""
        self.sent_count += 1
        urls = [self.fleet.entry_url(host) for host in self.fleet.hosts]
        first = urls.pop(self.index % len(urls))
        self.rng.shuffle(urls)
        is_first = self.rng.random() < SKEWED_RATIO
        for url in [first, *urls] if is_first else [*urls, first]:
            async with httpx.AsyncClient(
                trust_env=False, verify=False, timeout=REQUEST_TIMEOUT_SECONDS
            ) as client:
                try:
                    response = await client.put(
                        f"{url}/services/portal/sheet",
                        content=text,
                        headers={"Authorization": f"Bearer {KEY}"},
                    )
                except httpx.TimeoutException:
                    return
                except httpx.TransportError:
                    # The host has closed the connection unread.
                    continue
            self.served_count += response.status_code == httpx.codes.OK
            return
