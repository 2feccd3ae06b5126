"""Distribution of cache events between hosts.

In a small fleet each host sends all others what it has read. In a large one it sends it
to its hall's relay, which batches what its hall read and what other halls sent, so that
each host receives a few messages a second however many caches there are.
"""

from collections.abc import Callable

import anyio

from rampwick_policy import CacheBox, CacheSeen, Member, MemberTable
from rampwick_schema import CacheEventUpdate

from .._scheduler_task import SchedulerTask
from ._links import Link, PeerLinks
from ._messages import cache_events, to_cache_event_update

#: Time for which events are batched: well below the time for which placements, which
#: hosts exchange at once, stay valid.
GATHER_SECONDS = 0.4


class CacheOutbox:
    """Batches cache events and sends them to the hosts that need them."""

    def __init__(
        self,
        table: MemberTable,
        links: PeerLinks,
        scheduler: SchedulerTask,
        list_live: Callable[[], set[str]],
    ) -> None:
        self._table = table
        self._links = links
        self._scheduler = scheduler
        self._list_live = list_live
        #: What was read in this host's hall.
        self._read_here = CacheBox()
        #: What other halls sent.
        self._read_elsewhere = CacheBox()
        self._has_update = anyio.Event()
        #: Says which caches this host reads.
        self.list_read: Callable[[], set[str]] = set

    def greet(self, link: Link) -> None:
        """Send a newly linked peer what the caches read here hold.

        Not in a large fleet, where relays would send each host the state of all caches.
        """
        names = self.list_read()
        if self._table.is_large or not names:
            return
        seen = self._scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.pool.caches.contents(names)
        )
        if seen:
            link.put(to_cache_event_update(seen))

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._has_update.wait()
            # The first events after an idle time are sent at once, as by a host that
            # has just read its first cache; the rest is batched.
            self._has_update = anyio.Event()
            self._hand_on()
            await anyio.sleep(GATHER_SECONDS)

    def tell(self, seen: CacheSeen) -> None:
        """Add events that this host has read."""
        self._read_here.add(seen)
        self._has_update.set()

    def take(self, link: Link, message: CacheEventUpdate) -> None:
        """Apply events that a peer sent; a relay forwards them."""
        is_relay = self._table.is_relay(self._list_live())
        is_near = self._table.is_in_group(link.peer.hall)
        box = self._read_here if is_near else self._read_elsewhere
        for seen in cache_events(message):
            self._scheduler.post(seen)
            if is_relay:
                box.add(seen)
                self._has_update.set()

    def _hand_on(self) -> None:
        here, elsewhere = self._read_here.take(), self._read_elsewhere.take()
        if not here and not elsewhere:
            return
        live = self._list_live()
        if self._table.is_relay(live):
            self._send(here, lambda peer: not self._table.is_in_group(peer.hall))
            self._send([*here, *elsewhere], self._is_of_group)
            return
        relay = self._relay(live)
        self._send(here, self._is_of_group if relay is None else _named(relay))

    def _relay(self, live: set[str]) -> str | None:
        """Return the hall's relay in a large fleet, if there is a link to it."""
        if not self._table.is_large:
            return None
        first = next(iter(self._table.first_of_group(live)), None)
        if first is None or self._links.link_to(first.name) is None:
            return None
        return first.name

    def _is_of_group(self, peer: Member) -> bool:
        return self._table.is_in_group(peer.hall)

    def _send(self, seen: list[CacheSeen], is_for: Callable[[Member], bool]) -> None:
        if seen:
            self._links.broadcast(to_cache_event_update(seen), is_for)


def _named(name: str) -> Callable[[Member], bool]:
    return lambda peer: peer.name == name
