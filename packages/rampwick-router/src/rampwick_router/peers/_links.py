"""Links between this host and its peers: dialled, accepted, proved, kept.

A link carries messages both ways; any fault costs that link only. What the messages
mean is for others: they are handed to one callback.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable
from contextlib import AsyncExitStack, closing
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import move_on_at_grid, sleep_on_grid
from rampwick_policy import Member
from rampwick_schema import Members, PeerSettings, Shown, encode_message

from .._errors import PeerError
from .._logs import ComponentLogger
from .._metrics import Metrics
from ._stream import PeerStream

#: Waits before a peer is dialled again: the first, the factor, the longest.
REDIAL_SECONDS = 0.25
REDIAL_FACTOR = 1.6
MAX_REDIAL_SECONDS = 2.0

DIAL_TIMEOUT_SECONDS = 1.0

#: Time between two looks at which peers are to be dialled, unless members change.
LOOK_SECONDS = 1.0

#: Time between two looks at which links are silent and which have nothing to say, as a
#: part of the silence after which a peer counts as gone: two such words may be lost.
KEEP_ALIVE_RATIO = 1 / 3

#: Said on a link that has nothing else to say.
NOTHING_NEW = Members([])

#: Links that may wait to be accepted: a whole fleet dials its seeds at once, and what
#: finds no place asks again after seconds.
BACKLOG_COUNT = 1024

#: Links accepted at once, peers and strangers together.
MAX_ACCEPTED = 512

log = ComponentLogger("peers")


def _send_nothing(data: bytes) -> bool:
    return False


@attrs.define(eq=False, repr=False)
class Link(Shown):
    """One link to a peer that has proved itself."""

    peer: Member
    #: Sends what is encoded; returns false where the peer is too slow.
    _send: Callable[[bytes], bool]
    #: Last times at which bytes came in, and at which a message went out.
    heard_at_seconds: float
    told_at_seconds: float
    #: Cancelled to give the link up.
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    _was_silent: bool = False

    @classmethod
    def open(
        cls,
        peer: Member,
        now_seconds: float,
        send: Callable[[bytes], bool] = _send_nothing,
    ) -> "Link":
        """Return a link that has just been opened."""
        return cls(peer, send, now_seconds, now_seconds)

    def note_heard(self, now_seconds: float) -> None:
        """Note that something came in."""
        self.heard_at_seconds = now_seconds

    def note_told(self, now_seconds: float) -> None:
        """Note that something went out."""
        self.told_at_seconds = now_seconds

    def is_silent(self, now_seconds: float, max_seconds: float) -> bool:
        """Return whether nothing came for too long, at this look and the one before.

        After a pause of this process the first look may come before what has arrived
        meanwhile is read.
        """
        was_silent = self._was_silent
        self._was_silent = now_seconds - self.heard_at_seconds > max_seconds
        return was_silent and self._was_silent

    def put(self, message: Any) -> None:
        """Send a message in its turn, or drop it if the peer is too slow."""
        self.put_encoded(encode_message(message))

    def put_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for several peers.

        One that a slow peer does not get is said by a later message of its kind.
        """
        self._send(data)


class PeerLinks:
    """Owns all links of this host."""

    def __init__(
        self,
        own: Member,
        settings: PeerSettings,
        metrics: Metrics,
        list_wanted: Callable[[], Iterable[Member]],
        list_seeds: Callable[[], Iterable[str]],
        read_clock: Callable[[], float],
    ) -> None:
        self._read_clock = read_clock
        self._keep_alive_seconds = settings.dead_after_seconds * KEEP_ALIVE_RATIO
        self._own = own
        self._settings = settings
        self._metrics = metrics
        self._list_wanted = list_wanted
        self._list_seeds = list_seeds
        self._links: list[Link] = []
        self._dialled: dict[str, anyio.CancelScope] = {}
        self._accepted_count = 0
        self._changed = anyio.Event()
        #: Called with each link that opens, before anything comes over it.
        self.note_opened: Callable[[Link], None] = _ignore_link
        #: Called with each message and the link that it came over.
        self.take: Callable[[Link, Any], None] = _ignore_message
        #: Called with the name of a wanted member that could not be reached.
        self.note_unreachable: Callable[[str], None] = _ignore_name

    @property
    def links(self) -> list[Link]:
        """One link to each peer."""
        return list({link.peer.name: link for link in self._links}.values())

    def link_to(self, name: str) -> Link | None:
        """Return a link to a peer, if there is one."""
        return next((link for link in self._links if link.peer.name == name), None)

    def broadcast(self, message: Any, is_for: Callable[[Member], bool]) -> None:
        """Send a message to all linked peers that it is for."""
        links = [link for link in self.links if is_for(link.peer)]
        if not links:
            return
        data = encode_message(message)
        for link in links:
            link.put_encoded(data)

    async def run(self, listener: socket.socket) -> None:
        """Accept and dial until cancelled."""
        async with AsyncExitStack() as stack:
            tasks = await stack.enter_async_context(anyio.create_task_group())
            server = await asyncio.get_running_loop().create_server(
                lambda: PeerStream(
                    self._settings.max_message_bytes,
                    self._metrics,
                    lambda stream: tasks.start_soon(self._accept, stream),
                ),
                sock=listener,
                backlog=BACKLOG_COUNT,
            )
            stack.callback(server.close)
            tasks.start_soon(self.keep_links)
            while True:
                self._changed = anyio.Event()
                self._look(tasks)
                with move_on_at_grid(LOOK_SECONDS):
                    await self._changed.wait()

    async def keep_links(self) -> None:
        """Look after all links, again and again until cancelled.

        An open connection may be dead without an end or a reset: its link hid the peer
        for the rest of a run, since a linked peer is not dialled again.
        """
        while True:
            await sleep_on_grid(self._keep_alive_seconds)
            now_seconds = self._read_clock()
            for link in self._links:
                self.keep_link(link, now_seconds)

    def keep_link(self, link: Link, now_seconds: float) -> None:
        """Give up a link that fell silent, or say something on one that is quiet."""
        if link.is_silent(now_seconds, self._settings.dead_after_seconds):
            silent_seconds = round(now_seconds - link.heard_at_seconds, 1)
            peer = link.peer.name
            log.problem("link given up", peer=peer, silent_seconds=silent_seconds)
            link.scope.cancel()
        elif now_seconds - link.told_at_seconds > self._keep_alive_seconds / 2:
            link.put(NOTHING_NEW)

    def look_again(self) -> None:
        """Look now at which peers are wanted, since that may have changed."""
        self._changed.set()

    def _look(self, tasks: TaskGroup) -> None:
        """Dial what is wanted and not dialled, and let go of what is not wanted."""
        wanted = {member.address: member.name for member in self._list_wanted()}
        linked = {link.peer.address for link in self._links}
        addresses = dict(wanted)
        for seed in self._list_seeds():
            addresses.setdefault(seed, "")
        for address in addresses.keys() - self._dialled.keys() - linked:
            scope = self._dialled[address] = anyio.CancelScope()
            tasks.start_soon(self._dial_again, address, addresses[address], scope)
        for address in self._dialled.keys() - addresses.keys():
            self._dialled.pop(address).cancel()

    async def _dial_again(
        self, address: str, name: str, scope: anyio.CancelScope
    ) -> None:
        pause_seconds = REDIAL_SECONDS
        with scope:
            while True:
                is_met = False
                try:
                    await self._dial(address)
                    is_met = True
                except (PeerError, OSError, TimeoutError, ValueError):
                    # Silence is noticed by the membership; here it only counts.
                    if name:
                        self.note_unreachable(name)
                if is_met:
                    pause_seconds = REDIAL_SECONDS
                await anyio.sleep(pause_seconds)
                pause_seconds = min(MAX_REDIAL_SECONDS, pause_seconds * REDIAL_FACTOR)

    async def _dial(self, address: str) -> None:
        with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
            stream = await PeerStream.connect(
                address, self._settings.max_message_bytes, self._metrics
            )
        await self._converse(stream)

    async def _accept(self, stream: PeerStream) -> None:
        if self._accepted_count >= MAX_ACCEPTED:
            stream.close()
            return
        self._accepted_count += 1
        try:
            await self._converse(stream)
        except PeerError as error:
            log.info("link from peer ended", error=str(error))
        finally:
            self._accepted_count -= 1

    async def _converse(self, stream: PeerStream) -> None:
        with closing(stream):
            peer = await stream.shake_hands(self._own, self._settings.secret)
            if peer.name == self._own.name:
                # A seed may be this host itself; keep the line so as not to redial.
                await anyio.sleep_forever()
            link = Link.open(peer, self._read_clock(), stream.put)
            self._links.append(link)
            # Bytes count, not messages: a long one takes seconds over a slow way.
            stream.note_bytes = lambda: link.note_heard(self._read_clock())
            stream.note_sent = lambda: link.note_told(self._read_clock())
            log.info("peer linked", peer=peer.name, hall=peer.hall)
            try:
                with link.scope:
                    self.note_opened(link)
                    await stream.deliver(lambda message: self.take(link, message))
            finally:
                self._links.remove(link)


def _ignore_link(link: Link) -> None:
    return


def _ignore_message(link: Link, message: Any) -> None:
    return


def _ignore_name(name: str) -> None:
    return
