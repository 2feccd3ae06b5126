"""Cache events on their way between hosts.

In a small fleet each host tells all others what it has read. In a large one it tells
its hall's relay, which gathers what its hall read and what other halls tell, so that
each host gets a few messages a second however many caches there are.
"""

from collections.abc import Callable

import anyio

from rampwick_policy import CacheBox, CacheSeen, Member, MemberTable
from rampwick_schema import CacheNews

from .._scheduler_task import SchedulerTask
from ._links import Link, PeerLinks
from ._news import cache_events, to_cache_news

#: Time for which events are gathered: well below what placements, which hosts tell
#: each other at once, stay good for.
GATHER_SECONDS = 0.4


class CacheMail:
    """Gathers cache events and hands them to those who shall have them."""

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
        #: What other halls told.
        self._read_elsewhere = CacheBox()
        self._has_news = anyio.Event()
        #: Says which caches this host reads.
        self.list_read: Callable[[], set[str]] = set

    def greet(self, link: Link) -> None:
        """Tell a peer, which may have just started, what the caches read here hold.

        In a large fleet the relays would tell each host of all caches; hosts there
        learn from what comes next.
        """
        names = self.list_read()
        if self._table.is_large or not names:
            return
        seen = self._scheduler.look(
            lambda scheduler, now_seconds: scheduler.pool.caches.contents(names)
        )
        if seen:
            link.put(to_cache_news(seen))

    async def run(self) -> None:
        """Hand on what was gathered, again and again until cancelled."""
        while True:
            await self._has_news.wait()
            # What comes after a quiet time is told at once, as by a host that has just
            # read its first cache; the rest is gathered.
            self._has_news = anyio.Event()
            self._hand_on()
            await anyio.sleep(GATHER_SECONDS)

    def tell(self, seen: CacheSeen) -> None:
        """Take events that this host has read; they are told in their turn."""
        self._read_here.add(seen)
        self._has_news.set()

    def take(self, link: Link, news: CacheNews) -> None:
        """Take events that a peer tells; a relay tells them further."""
        is_relay = self._table.is_relay(self._list_live())
        is_near = self._table.is_in_group(link.peer.hall)
        box = self._read_here if is_near else self._read_elsewhere
        for seen in cache_events(news):
            self._scheduler.post(seen)
            if is_relay:
                box.add(seen)
                self._has_news.set()

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
            self._links.broadcast(to_cache_news(seen), is_for)


def _named(name: str) -> Callable[[Member], bool]:
    return lambda peer: peer.name == name
