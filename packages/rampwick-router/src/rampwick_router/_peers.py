"""The tasks that talk to peers: a summary at each interval, and configuration.

Every process dials every peer it knows and sends over the streams it dialled; what
it accepted it only reads. At today's 6 to 8 hosts all know each other.
"""

from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.abc import SocketStream
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from rampwick_policy import ConfigurationFollower, PeerHeard
from rampwick_schema import (
    ChangesReply,
    ChangesRequest,
    HostEntry,
    Settings,
    Summary,
    TreeReply,
)

from ._configuration import ConfigurationTask
from ._errors import PeerError
from ._logs import PartLogger
from ._metrics import Metrics
from ._peer_stream import PeerIdentity, PeerStream
from ._scheduler_task import SchedulerTask

#: Wait before a peer is dialled again.
REDIAL_SECONDS = 0.25
DIAL_TIMEOUT_SECONDS = 1.0

#: Messages that may wait for a slow peer before the newest are dropped.
OUTBOX_COUNT = 64

#: Changes in one reply; the rest is asked for again.
CHANGES_PER_REPLY = 64

#: Connections accepted at once, peers and strangers together.
MAX_ACCEPTED = 512

log = PartLogger("peers")


@attrs.define
class Outbox:
    """Messages on their way to one dialled address."""

    sending: MemoryObjectSendStream[Any]
    waiting: MemoryObjectReceiveStream[Any]
    scope: anyio.CancelScope = attrs.field(factory=anyio.CancelScope)
    #: Name that the peer proved, empty while there is no connection.
    peer: str = ""


class PeerTask:
    """Owns all streams to and from peers."""

    def __init__(
        self,
        identity: PeerIdentity,
        settings: Settings,
        scheduler: SchedulerTask,
        follower: ConfigurationFollower,
        configuration: ConfigurationTask,
        metrics: Metrics,
        list_entries: Callable[[], list[HostEntry]],
    ) -> None:
        self._identity = identity
        self._settings = settings.peers
        self._scheduler = scheduler
        self._follower = follower
        self._configuration = configuration
        self._metrics = metrics
        self._list_entries = list_entries
        self._outboxes: dict[str, Outbox] = {}
        self._sequence = 0
        self._accepted_count = 0
        #: Whether peers are told that this host takes no new requests.
        self.is_leaving = False

    async def run(self, listener: Any) -> None:
        """Accept, dial and gossip until cancelled."""
        if not self._settings.secret:
            return
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(listener.serve, self._accept)
            task_group.start_soon(self._dial_all, task_group)
            await self._gossip()

    # What comes in.

    async def _accept(self, connection: SocketStream) -> None:
        async with connection:
            if self._accepted_count >= MAX_ACCEPTED:
                return
            self._accepted_count += 1
            stream = self._open(connection)
            try:
                await self._read(stream)
            except PeerError as error:
                log.info("peer's stream ended", error=str(error))
            finally:
                self._accepted_count -= 1

    async def _read(self, stream: PeerStream) -> None:
        peer = await stream.shake_hands(self._identity, self._settings.secret)
        if peer.host == self._identity.host:
            return
        while True:
            self._take(peer, await stream.receive())

    def _take(self, peer: PeerIdentity, message: Any) -> None:
        if isinstance(message, Summary):
            self._take_summary(peer, message)
        elif isinstance(message, ChangesRequest):
            self._answer_changes(peer.host, message.after_revision)
        elif isinstance(message, ChangesReply):
            if self._follower.offer_changes(message.changes, "peer"):
                self._configuration.announce()
        elif isinstance(message, TreeReply):
            if self._follower.offer_tree(message.tree, "peer"):
                self._configuration.announce()
        else:
            name = type(message).__name__
            raise PeerError(f"{name} at this point", step="talk", peer=peer.host)

    def _take_summary(self, peer: PeerIdentity, summary: Summary) -> None:
        self._scheduler.post(PeerHeard(peer.host, peer.hall, peer.incarnation, summary))
        if summary.revision > self._follower.head_revision:
            self._send_to(peer.host, ChangesRequest(self._follower.head_revision))

    def _answer_changes(self, peer: str, after_revision: int) -> None:
        changes = self._follower.changes_after(after_revision)
        if changes is None:
            self._send_to(peer, TreeReply(self._follower.view.tree))
        elif changes:
            self._send_to(peer, ChangesReply(changes[:CHANGES_PER_REPLY]))

    # What goes out.

    def _send_to(self, peer: str, message: Any) -> None:
        for outbox in self._outboxes.values():
            if outbox.peer == peer:
                _put(outbox, message)
                return

    async def _dial_all(self, task_group: anyio.abc.TaskGroup) -> None:
        while True:
            addresses = self._addresses()
            for address in addresses - self._outboxes.keys():
                outbox = Outbox(*anyio.create_memory_object_stream[Any](OUTBOX_COUNT))
                self._outboxes[address] = outbox
                task_group.start_soon(self._dial_forever, address, outbox)
            for address in self._outboxes.keys() - addresses:
                self._outboxes.pop(address).scope.cancel()
            await anyio.sleep(REDIAL_SECONDS)

    def _addresses(self) -> set[str]:
        listed = {
            entry.address
            for entry in self._list_entries()
            if entry.kind == "entry" and entry.name != self._identity.host
        }
        return listed | set(self._settings.seeds)

    async def _dial_forever(self, address: str, outbox: Outbox) -> None:
        with outbox.scope:
            while True:
                try:
                    await self._dial(address, outbox)
                except (PeerError, OSError, TimeoutError):
                    # Silence is noticed by the membership; nothing to do here.
                    outbox.peer = ""
                await anyio.sleep(REDIAL_SECONDS)

    async def _dial(self, address: str, outbox: Outbox) -> None:
        host, _, port = address.rpartition(":")
        with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
            connection = await anyio.connect_tcp(host, int(port))
        async with connection:
            stream = self._open(connection)
            peer = await stream.shake_hands(self._identity, self._settings.secret)
            if peer.host == self._identity.host:
                await anyio.sleep_forever()
            outbox.peer = peer.host
            log.info("peer dialled", peer=peer.host)
            async for message in outbox.waiting:
                await stream.send(message)

    async def _gossip(self) -> None:
        while True:
            await self.tell_summary()
            changed = self._configuration.changed
            with anyio.move_on_after(self._settings.gossip_interval_seconds):
                await changed.wait()

    async def tell_summary(self) -> None:
        """Send a summary to every connected peer now."""
        self._sequence += 1
        sequence = self._sequence
        summary = await self._scheduler.ask(
            lambda scheduler, now_seconds: scheduler.summary(
                sequence, self._follower.revision, self.is_leaving, now_seconds
            )
        )
        for outbox in self._outboxes.values():
            if outbox.peer:
                _put(outbox, summary)

    def _open(self, connection: SocketStream) -> PeerStream:
        limit = self._settings.max_message_bytes
        return PeerStream(connection, limit, self._metrics)


def _put(outbox: Outbox, message: Any) -> None:
    try:
        outbox.sending.send_nowait(message)
    except anyio.WouldBlock:
        # A later summary says all that this one would have.
        return
