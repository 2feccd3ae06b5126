"""Connections between this host and its peers.

Establishes outgoing connections, accepts incoming ones, runs the handshake and monitors
both kinds. A link carries messages in both directions; an error closes only the link on
which it occurs. Messages are passed to a callback and not interpreted here.
"""

import asyncio
import socket
from collections.abc import Awaitable, Callable, Iterable
from contextlib import AsyncExitStack, closing
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import move_on_after_aligned, sleep_aligned
from rampwick_policy import LinkMonitor, LinkState, Member
from rampwick_schema import (
    MESSAGES_VERSION,
    Compressed,
    ConfirmRequest,
    Members,
    PeerSettings,
    ReprMixin,
    compress_message,
    encode_message,
)

from .._errors import PeerError
from .._logs import ComponentLogger
from .._metrics import Metrics
from .._unexpected_errors import contain_errors, keep_running, note_unexpected_error
from ._stream import PeerStream

#: Backoff before a peer is dialled again: initial delay, factor, maximum.
REDIAL_SECONDS = 0.25
REDIAL_FACTOR = 1.6
MAX_REDIAL_SECONDS = 2.0

DIAL_TIMEOUT_SECONDS = 1.0

#: Time between two reconciliations of wanted and existing connections, unless
#: membership changes earlier.
RECONCILE_INTERVAL_SECONDS = 1.0

#: Checks of all links between two checks for unresponsive ones, so that two keep-alives
#: may be lost.
CHECKS_PER_CLOSE_CHECK = 4

#: Sent on a link that has nothing else to send.
KEEP_ALIVE = Members([])

#: Sent on a silent link. Hosts of all releases reply, and the reply is ignored, since
#: requests for ages have greater numbers.
PING = ConfirmRequest(0)

#: Maximum number of silent links for which replacements are dialled at the same time.
MAX_REPLACEMENTS_COUNT = 32

#: Size from which a message to one peer is compressed.
MIN_COMPRESSED_BYTES = 2_048

#: Listen backlog. A whole fleet dials its seeds at the same time, and a connection that
#: does not fit in the backlog is only retried after seconds.
BACKLOG_COUNT = 1024

#: Maximum number of accepted connections, authenticated or not.
MAX_ACCEPTED_COUNT = 512

log = ComponentLogger("peers")


def _send_nothing(data: bytes) -> bool:
    return False


def _ignore_size(size_bytes: int) -> None:
    return


def _ignore_time(now_seconds: float) -> None:
    return


@attrs.define(eq=False, repr=False)
class Link(ReprMixin):
    """A link to an authenticated peer."""

    peer: Member
    #: Sends an encoded message; returns false if the peer is too slow.
    _send: Callable[[bytes], bool]
    #: Times at which bytes were last received, a message was last sent, and the link
    #: was opened.
    received_at_seconds: float
    sent_at_seconds: float
    opened_at_seconds: float
    #: Version of the messages that the peer decodes; others are not sent.
    messages_version: int = MESSAGES_VERSION
    #: Cancelled to close the link.
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    #: As of the last check, or sound since bytes were received.
    state: LinkState = LinkState.SOUND
    #: Whether another link was opened in its place, and whether it is silent while
    #: another one to the peer is sound. Either is closed at the next check.
    is_replaced: bool = False
    is_spare: bool = False
    #: Called with the size of each message that was sent regardless of this host's
    #: send budget.
    on_unpaced: Callable[[int], None] = _ignore_size
    _was_unresponsive: bool = False

    @classmethod
    def open(
        cls,
        peer: Member,
        now_seconds: float,
        send: Callable[[bytes], bool] = _send_nothing,
        messages_version: int = MESSAGES_VERSION,
    ) -> "Link":
        """Return a link that has just been opened."""
        return cls(peer, send, now_seconds, now_seconds, now_seconds, messages_version)

    def accepts(self, message: Any) -> bool:
        """Return whether the peer decodes a message; it may be of an older release."""
        return bool(self.messages_version >= message.CODE)

    def mark_received(self, now_seconds: float) -> None:
        """Record that bytes were received."""
        self.received_at_seconds = now_seconds
        self.state = LinkState.SOUND
        self.is_spare = False

    def mark_sent(self, now_seconds: float) -> None:
        """Record that a message was sent."""
        self.sent_at_seconds = now_seconds

    def is_unresponsive(self, now_seconds: float, max_seconds: float) -> bool:
        """Return whether nothing was received for too long at two consecutive checks.

        A single check is not enough: after a pause of this process, the first check may
        run before the bytes that arrived during the pause are read.
        """
        was_unresponsive = self._was_unresponsive
        self._was_unresponsive = now_seconds - self.received_at_seconds > max_seconds
        return was_unresponsive and self._was_unresponsive

    def put(self, message: Any) -> None:
        """Send a message, or drop it if the peer is too slow or doesn't know it."""
        if not self.accepts(message):
            return
        data = encode_message(message)
        if len(data) >= MIN_COMPRESSED_BYTES and self.accepts(Compressed):
            data = compress_message(data)
        self.put_encoded(data)

    def put_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for several peers.

        A message that is dropped for a slow peer is superseded by a later message of
        the same kind.
        """
        if self._send(data):
            self.on_unpaced(len(data))

    def put_paced(self, data: bytes) -> bool:
        """Send a message that waited for the budget; return whether it was sent."""
        return self._send(data)


@attrs.define(eq=False, repr=False)
class _Dialler(ReprMixin):
    """Connects to one address until it is cancelled, or replaced."""

    address: str
    #: Name of the member at the address; empty for a seed.
    name: str
    #: Silent links that the new one will replace.
    replaced: list[Link] = attrs.field(factory=list)
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    stream: PeerStream | None = None
    #: Whether the handshake is complete.
    is_connected: bool = False

    def abandon(self) -> None:
        """Cancel, unless the peer may already use the new link."""
        if self.stream is None or not self.stream.has_proved:
            self.scope.cancel()


class PeerLinks:
    """All links of this host."""

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
        self._monitor = LinkMonitor(own.name, settings.dead_after_seconds)
        self._checks_count = 0
        self._own = own
        self._settings = settings
        self._metrics = metrics
        self._list_wanted = list_wanted
        self._list_seeds = list_seeds
        self._links: list[Link] = []
        self._diallers: list[_Dialler] = []
        self._accepted_count = 0
        self._changed = anyio.Event()
        #: Called with each link that opens, before any message is received on it.
        self.on_opened: Callable[[Link], None] = _ignore_link
        #: Called with each message and the link on which it was received.
        self.on_message: Callable[[Link, Any], None] = _ignore_message
        #: Serves a tunnel that an authenticated peer requests, until it ends.
        self.serve_tunnel: Callable[[PeerStream, Member], Awaitable[None]] = _refuse
        #: Called with the name of a wanted member that could not be reached.
        self.on_unreachable: Callable[[str], None] = _ignore_name
        #: Called with the size of each message that was sent regardless of the budget.
        self.on_unpaced: Callable[[int], None] = _ignore_size
        #: Called with the time of each check of the links.
        self.on_checked: Callable[[float], None] = _ignore_time

    @property
    def links(self) -> list[Link]:
        """One link for each peer: its newest sound one, or its newest one."""
        found: dict[str, Link] = {}
        for link in self._links:
            known = found.get(link.peer.name)
            if known is None or _is_preferred(link, known):
                found[link.peer.name] = link
        return list(found.values())

    def link_to(self, name: str) -> Link | None:
        """Return the link to a peer, if there is one."""
        return next((link for link in self.links if link.peer.name == name), None)

    def is_doubtful(self, name: str) -> bool:
        """Return whether the link to a peer may be silent, or has just replaced one."""
        link = self.link_to(name)
        if link is None:
            return False
        is_new = self._monitor.is_new(link.opened_at_seconds, self._read_clock())
        return is_new or link.state is not LinkState.SOUND

    def broadcast(self, message: Any, is_recipient: Callable[[Member], bool]) -> None:
        """Send a message to all connected peers that ``is_recipient`` selects."""
        links = self.recipients(message, is_recipient)
        if not links:
            return
        data = encode_message(message)
        for link in links:
            link.put_encoded(data)

    def recipients(
        self, message: Any, is_recipient: Callable[[Member], bool]
    ) -> list[Link]:
        """Return the links of selected peers that decode a message."""
        return [
            link
            for link in self.links
            if link.accepts(message) and is_recipient(link.peer)
        ]

    def is_open(self, link: Link) -> bool:
        """Return whether a link has not been closed."""
        return link in self._links

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
            tasks.start_soon(keep_running, "monitor of links", self.monitor_links)
            while True:
                self._changed = anyio.Event()
                with contain_errors("reconciliation of links"):
                    self._reconcile(tasks)
                with move_on_after_aligned(RECONCILE_INTERVAL_SECONDS):
                    await self._changed.wait()

    async def monitor_links(self) -> None:
        """Check all links periodically until cancelled.

        An open connection may be dead without a FIN or RST, and a peer that has a link
        is not dialled again.
        """
        while True:
            await sleep_aligned(self._monitor.check_seconds)
            self.check_links(self._read_clock())

    def check_links(self, now_seconds: float) -> None:
        """Check all links; close those that are replaced or unresponsive."""
        self._monitor.begin_check(now_seconds)
        self.on_checked(now_seconds)
        self._checks_count += 1
        must_close = self._checks_count % CHECKS_PER_CLOSE_CHECK == 0
        for link in self._links:
            if link.is_replaced or link.is_spare:
                self._close_link(link, "closing replaced link", now_seconds)
            elif must_close and link.is_unresponsive(
                now_seconds, self._settings.dead_after_seconds
            ):
                self._close_link(link, "closing unresponsive link", now_seconds)
            else:
                self.check_link(link, now_seconds)
        sound = {
            item.peer.name for item in self._links if item.state is LinkState.SOUND
        }
        for link in self._links:
            link.is_spare = link.state is LinkState.SILENT and link.peer.name in sound
        if self._list_silent():
            self.schedule_reconcile()

    def check_link(self, link: Link, now_seconds: float) -> None:
        """Ask a silent link for an answer, or send a keep-alive on an idle one."""
        link.state = self._monitor.state(
            link.peer.name, link.received_at_seconds, now_seconds
        )
        if link.state is LinkState.DOUBTFUL:
            link.put(PING)
        elif self._monitor.needs_keep_alive(link.sent_at_seconds, now_seconds):
            link.put(KEEP_ALIVE)

    def _close_link(self, link: Link, message: str, now_seconds: float) -> None:
        silent_seconds = round(now_seconds - link.received_at_seconds, 1)
        log.problem(message, peer=link.peer.name, silent_seconds=silent_seconds)
        link.scope.cancel()

    def _list_silent(self) -> dict[str, list[Link]]:
        """Return by address the links to each peer of which all links are silent."""
        return {
            link.peer.address: [
                other for other in self._links if other.peer.name == link.peer.name
            ]
            for link in self.links
            if link.state is LinkState.SILENT
        }

    def schedule_reconcile(self) -> None:
        """Reconcile now, since the set of wanted peers may have changed."""
        self._changed.set()

    def _reconcile(self, tasks: TaskGroup) -> None:
        """Dial wanted peers that have no link; stop dialling peers no longer wanted."""
        wanted = {member.address: member.name for member in self._list_wanted()}
        linked = {link.peer.address for link in self._links}
        addresses = dict(wanted)
        for seed in self._list_seeds():
            addresses.setdefault(seed, "")
        for dialler in self._diallers:
            if dialler.address not in addresses:
                dialler.scope.cancel()
        dialled = {dialler.address for dialler in self._diallers}
        for address in addresses.keys() - dialled - linked:
            self._start_dialler(tasks, _Dialler(address, addresses[address]))
        self._replace_silent(tasks, wanted)

    def _replace_silent(self, tasks: TaskGroup, wanted: dict[str, str]) -> None:
        """Open second links to the peers from which nothing is received."""
        dialling = {item.address for item in self._diallers if not item.is_connected}
        room_count = MAX_REPLACEMENTS_COUNT - sum(
            self._is_replacing(item) for item in self._diallers
        )
        silent = self._list_silent()
        addresses = sorted((silent.keys() & wanted.keys()) - dialling)
        for address in addresses[: max(0, room_count)]:
            log.info("replacing silent link", peer=wanted[address])
            dialler = _Dialler(address, wanted[address], silent[address])
            self._start_dialler(tasks, dialler)

    def _start_dialler(self, tasks: TaskGroup, dialler: _Dialler) -> None:
        self._diallers.append(dialler)
        tasks.start_soon(self._keep_dialing, dialler)

    async def _keep_dialing(self, dialler: _Dialler) -> None:
        pause_seconds = REDIAL_SECONDS
        try:
            with dialler.scope, contain_errors("dialling", peer=dialler.address):
                while not self._is_obsolete(dialler):
                    is_complete = False
                    try:
                        await self._dial(dialler)
                        is_complete = True
                    except (PeerError, OSError, TimeoutError, ValueError):
                        # The failure detector of the membership handles dead peers;
                        # this only reports that the address did not respond.
                        if dialler.name and not self._is_replacing(dialler):
                            self.on_unreachable(dialler.name)
                    except Exception as error:
                        note_unexpected_error("link", error, peer=dialler.address)
                    if is_complete:
                        pause_seconds = REDIAL_SECONDS
                    await anyio.sleep(pause_seconds)
                    pause_seconds = min(
                        MAX_REDIAL_SECONDS, pause_seconds * REDIAL_FACTOR
                    )
        finally:
            self._diallers.remove(dialler)

    def _is_replacing(self, dialler: _Dialler) -> bool:
        """Return whether a silent link is still open for which a second is dialled."""
        return any(link in self._links for link in dialler.replaced)

    def _is_obsolete(self, dialler: _Dialler) -> bool:
        """Return whether a newer dialler connects, or a silent link has answered."""
        newest = next(
            item for item in reversed(self._diallers) if item.address == dialler.address
        )
        return newest is not dialler or any(
            link in self._links and link.state is LinkState.SOUND
            for link in dialler.replaced
        )

    async def _dial(self, dialler: _Dialler) -> None:
        try:
            with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
                dialler.stream = await PeerStream.connect(
                    dialler.address, self._settings.max_message_bytes, self._metrics
                )
            await self._run_link(dialler.stream, dialler)
        finally:
            dialler.stream = None
            dialler.is_connected = False

    async def _accept(self, stream: PeerStream) -> None:
        if self._accepted_count >= MAX_ACCEPTED_COUNT:
            stream.close()
            return
        self._accepted_count += 1
        try:
            await self._run_link(stream)
        except PeerError as error:
            log.info("accepted peer connection closed", error=str(error))
        except Exception as error:
            note_unexpected_error("accepted link", error, peer=stream.peer)
        finally:
            self._accepted_count -= 1

    async def _run_link(
        self, stream: PeerStream, dialler: _Dialler | None = None
    ) -> None:
        with closing(stream):
            peer = await stream.handshake(self._own, self._settings.secret)
            if peer.name == self._own.name:
                # A seed may be this host itself. Keep the connection open so that the
                # seed is not dialled again.
                await anyio.sleep_forever()
            if stream.tunnel is not None:
                await self.serve_tunnel(stream, peer)
                return
            link = Link.open(
                peer, self._read_clock(), stream.put, stream.messages_version
            )
            link.on_unpaced = self.on_unpaced
            self._links.append(link)
            if dialler is not None:
                dialler.is_connected = True
                for replaced in dialler.replaced:
                    replaced.is_replaced = True
                dialler.replaced = []
            # Any received bytes count as activity, not only whole messages: a long
            # message takes seconds over a slow link.
            stream.on_bytes = lambda: self._note_received(link)
            stream.on_sent = lambda: link.mark_sent(self._read_clock())
            log.info("peer connected", peer=peer.name, hall=peer.hall)
            try:
                with link.scope:
                    self.on_opened(link)
                    await stream.deliver(lambda message: self.on_message(link, message))
            finally:
                self._links.remove(link)

    def _note_received(self, link: Link) -> None:
        """Record that bytes were received; a silent link that answers stays."""
        was_silent = link.state is LinkState.SILENT
        link.mark_received(self._read_clock())
        if was_silent:
            for dialler in self._diallers:
                if link in dialler.replaced:
                    dialler.abandon()


def _is_preferred(newer: Link, older: Link) -> bool:
    return newer.state is LinkState.SOUND or older.state is not LinkState.SOUND


async def _refuse(stream: PeerStream, peer: Member) -> None:
    return


def _ignore_link(link: Link) -> None:
    return


def _ignore_message(link: Link, message: Any) -> None:
    return


def _ignore_name(name: str) -> None:
    return
