"""Messages to peers that are sent no faster than this host's link has room for."""

import math
from collections.abc import Callable
from typing import Any

import anyio

from rampwick_policy import Member, MessageKind, PacedQueue, SendBudget
from rampwick_schema import Compressed, compress_message, encode_message

from .._logs import ComponentLogger
from ._links import Link, PeerLinks

#: Maximum size of the messages that wait for a peer that is too slow to accept any.
MAX_WAITING_BYTES = 524_288

log = ComponentLogger("peers")

#: Shortest time between two looks at the queue, so that messages of a slow link share
#: iterations of the event loop.
MIN_WAIT_SECONDS = 0.01


class PacedSender:
    """Sends what may wait, while other messages use links directly and go first."""

    def __init__(
        self,
        links: PeerLinks,
        link_megabits_per_second: float,
        read_clock: Callable[[], float],
    ) -> None:
        self._links = links
        self._read_clock = read_clock
        self._queue: PacedQueue[Link] = PacedQueue(SendBudget(link_megabits_per_second))
        self._has_messages = anyio.Event()

    def note_unpaced(self, size_bytes: int) -> None:
        """Record a message that was sent directly."""
        self._queue.budget.spend_unpaced(size_bytes, self._read_clock())

    def broadcast_state(
        self, kind: MessageKind, message: Any, is_recipient: Callable[[Member], bool]
    ) -> None:
        """Send a message that supersedes the last one of its kind."""
        links = self._links.recipients(message, is_recipient)
        if not links:
            return
        data = encode_message(message)
        compressed = compress_message(data)
        for link in links:
            is_compressed = link.accepts(Compressed)
            self._queue.put_state(
                kind, link, compressed if is_compressed else data, self._read_clock()
            )
        self.send_waiting()

    def broadcast_difference(
        self, kind: MessageKind, message: Any, is_recipient: Callable[[Member], bool]
    ) -> None:
        """Send a message that no later one supersedes."""
        links = self._links.recipients(message, is_recipient)
        if links:
            data = encode_message(message)
            for link in links:
                self._queue.put_difference(kind, link, data, self._read_clock())
            self.send_waiting()

    def put_difference(self, kind: MessageKind, link: Link, message: Any) -> None:
        """Send a message that no later one supersedes to one peer."""
        if link.accepts(message):
            data = encode_message(message)
            self._queue.put_difference(kind, link, data, self._read_clock())
            self.send_waiting()

    def is_sent(self, kind: MessageKind) -> bool:
        """Return whether no message of a kind waits, but for slow peers."""
        return self._queue.is_sent(kind)

    async def run(self) -> None:
        """Send what waits until cancelled."""
        while True:
            self.send_waiting()
            wait_seconds = self._queue.wait_seconds(self._read_clock())
            if math.isinf(wait_seconds):
                self._has_messages = anyio.Event()
                await self._has_messages.wait()
            else:
                await anyio.sleep(max(MIN_WAIT_SECONDS, wait_seconds))

    def send_waiting(self) -> None:
        """Send what may be sent now."""
        now_seconds = self._read_clock()
        while (message := self._queue.take(now_seconds)) is not None:
            link = message.peer
            if link.put_paced(message.data):
                continue
            self._queue.refund(message)
            if not self._links.is_open(link):
                self._queue.remove(link)
            elif message.kind.is_difference:
                self._queue.return_blocked(message, now_seconds)
                self._check_slow(link)
        if not math.isinf(self._queue.wait_seconds(now_seconds)):
            self._has_messages.set()

    def _check_slow(self, link: Link) -> None:
        """Drop what waits for a peer that is too slow for too long."""
        waiting_bytes = self._queue.waiting_bytes(link)
        if waiting_bytes > MAX_WAITING_BYTES:
            log.problem(
                "dropping updates for slow peer",
                peer=link.peer.name,
                waiting_bytes=waiting_bytes,
            )
            self._queue.remove(link)
