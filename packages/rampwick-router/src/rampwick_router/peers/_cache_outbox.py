"""Distribution of cache events between hosts.

In a small fleet each host sends the events it has read to all other hosts. In a large
fleet it sends them to the relay of its hall, which batches the events of its hall with
those from other halls. Each host then receives a few messages per second regardless of
the number of caches.
"""

from collections.abc import Callable

import anyio

from rampwick_policy import (
    CacheEventBuffer,
    CacheReported,
    Member,
    MemberTable,
    MessageKind,
)
from rampwick_schema import CacheEventUpdate

from .._scheduler_task import SchedulerTask
from ._links import Link, PeerLinks
from ._messages import cache_events, to_cache_event_update
from ._paced_sender import PacedSender

#: Batching interval for events. It is well below the validity period of placements,
#: which hosts exchange immediately.
BATCH_SECONDS = 0.4

#: Maximum number of entries of a message, so that none of them takes a slow link for
#: long. The others wait where later changes replace them.
MAX_ENTRIES_COUNT = 400


class CacheOutbox:
    """Batches cache events and sends them to the hosts that need them."""

    def __init__(
        self,
        table: MemberTable,
        links: PeerLinks,
        scheduler: SchedulerTask,
        list_live: Callable[[], set[str]],
        sender: PacedSender,
    ) -> None:
        self._table = table
        self._links = links
        self._scheduler = scheduler
        self._list_live = list_live
        self._sender = sender
        #: Events read by hosts of this hall.
        self._from_own_hall = CacheEventBuffer()
        #: Events received from other halls.
        self._from_other_halls = CacheEventBuffer()
        self._has_update = anyio.Event()
        #: Returns the names of the caches that this host reads.
        self.list_read_caches: Callable[[], set[str]] = set
        #: Returns whether a peer forwards the events that it sends itself.
        self.is_acting_relay: Callable[[Link], bool] = _is_no_relay

    def send_initial_state(self, link: Link) -> None:
        """Send a newly connected peer the contents of the caches read here.

        This is skipped in a large fleet, where each relay would otherwise send the
        state of all caches to each host.
        """
        names = self.list_read_caches()
        if self._table.is_large or not names:
            return
        contents = self._scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.pool.caches.contents(names)
        )
        parts = CacheEventBuffer()
        for event in contents:
            parts.add(event)
        while parts:
            self._sender.put_difference(
                MessageKind.CACHE_EVENTS,
                link,
                to_cache_event_update(parts.take(MAX_ENTRIES_COUNT)),
            )

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            await self._has_update.wait()
            # The first events after an idle period are sent immediately, so that a host
            # that has just read its first cache does not wait. Later events are
            # batched.
            self._has_update = anyio.Event()
            self._flush()
            await anyio.sleep(BATCH_SECONDS)

    def publish(self, event: CacheReported) -> None:
        """Queue events that this host has read."""
        self._from_own_hall.add(event)
        self._has_update.set()

    def receive(self, link: Link, message: CacheEventUpdate) -> None:
        """Apply events received from a peer; a relay also forwards them."""
        must_forward = self._table.is_relay(
            self._list_live()
        ) and not self.is_acting_relay(link)
        is_own_hall = self._table.is_in_group(link.peer.hall)
        buffer = self._from_own_hall if is_own_hall else self._from_other_halls
        for event in cache_events(message):
            self._scheduler.post(event)
            if must_forward:
                buffer.add(event)
                self._has_update.set()

    def _flush(self) -> None:
        """Send events until the link has no room for more; the rest waits here."""
        live = self._list_live()
        while self._sender.is_sent(MessageKind.CACHE_EVENTS):
            own_hall = self._from_own_hall.take(MAX_ENTRIES_COUNT)
            other_halls = self._from_other_halls.take(MAX_ENTRIES_COUNT)
            if not own_hall and not other_halls:
                return
            self._send_batch(own_hall, other_halls, live)
        if self._from_own_hall or self._from_other_halls:
            self._has_update.set()

    def _send_batch(
        self,
        own_hall: list[CacheReported],
        other_halls: list[CacheReported],
        live: set[str],
    ) -> None:
        if self._table.is_relay(live):
            self._send(own_hall, lambda peer: not self._table.is_in_group(peer.hall))
            self._send([*own_hall, *other_halls], self._is_in_own_group)
            return
        relay = self._relay(live)
        self._send(
            own_hall, self._is_in_own_group if relay is None else _is_named(relay)
        )

    def _relay(self, live: set[str]) -> str | None:
        """Return the hall's relay in a large fleet, if it is connected."""
        if not self._table.is_large:
            return None
        first = next(iter(self._table.ranked_group_peers(live)), None)
        if first is None or self._links.link_to(first.name) is None:
            return None
        return first.name

    def _is_in_own_group(self, peer: Member) -> bool:
        return self._table.is_in_group(peer.hall)

    def _send(
        self, events: list[CacheReported], is_recipient: Callable[[Member], bool]
    ) -> None:
        if events:
            self._sender.broadcast_difference(
                MessageKind.CACHE_EVENTS, to_cache_event_update(events), is_recipient
            )


def _is_no_relay(link: Link) -> bool:
    return False


def _is_named(name: str) -> Callable[[Member], bool]:
    return lambda peer: peer.name == name
