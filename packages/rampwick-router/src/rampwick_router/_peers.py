"""The tasks that talk to peers: a summary at each interval, and configuration.

Every process dials every peer it knows, and answers over whichever stream brought the
question; so a host that nobody has listed yet still hears from those it dials. At
today's 6 to 8 hosts all know each other.
"""

from collections.abc import Callable
from typing import Any

import anyio
import attrs
from anyio.abc import SocketStream, TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from rampwick_policy import (
    CacheChanges,
    CacheSeen,
    ConfigurationFollower,
    LoadOrdered,
    PeerHeard,
    WeightsSeen,
)
from rampwick_schema import (
    CacheNews,
    ChangesReply,
    ChangesRequest,
    HostListReply,
    HostListRequest,
    RunnerLoad,
    RunnerWeights,
    Settings,
    Summary,
    TreeReply,
    encode_message,
)

from ._configuration import ConfigurationTask
from ._errors import PeerError
from ._host_sources import PeerDirectory
from ._logs import PartLogger
from ._metrics import Metrics
from ._peer_stream import PeerIdentity, PeerStream
from ._scheduler_task import SchedulerTask
from ._steward import StewardTask
from ._upstream_tasks import HostListTask

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


@attrs.define(eq=False)
class Outbox:
    """Messages on their way over one connection."""

    peer: PeerIdentity
    _sending: MemoryObjectSendStream[bytes]
    waiting: MemoryObjectReceiveStream[bytes]

    @classmethod
    def open(cls, peer: PeerIdentity) -> "Outbox":
        """Return an empty outbox towards a peer."""
        return cls(peer, *anyio.create_memory_object_stream[bytes](OUTBOX_COUNT))

    def put(self, message: Any) -> None:
        """Send a message in its turn, or drop it if the peer is too slow."""
        self.put_encoded(encode_message(message))

    def put_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for several peers."""
        try:
            self._sending.send_nowait(data)
        except (anyio.WouldBlock, anyio.BrokenResourceError):
            # A later summary says all that this one would have.
            return


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
        read_clock: Callable[[], float],
        hosts: HostListTask,
        steward: StewardTask,
        directory: PeerDirectory | None,
    ) -> None:
        self._identity = identity
        self._settings = settings.peers
        self._scheduler = scheduler
        self._follower = follower
        self._configuration = configuration
        self._metrics = metrics
        self._read_clock = read_clock
        self._hosts = hosts
        self._steward = steward
        self._directory = directory
        self._outboxes: list[Outbox] = []
        self._dialled: dict[str, anyio.CancelScope] = {}
        self._sequence = 0
        self._accepted_count = 0
        #: Addresses known from the settings.
        self.seeds = frozenset(settings.peers.seeds)
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

    # Connections.

    async def _accept(self, connection: SocketStream) -> None:
        if self._accepted_count >= MAX_ACCEPTED:
            await connection.aclose()
            return
        self._accepted_count += 1
        try:
            await self._converse(connection)
        except PeerError as error:
            log.info("stream from peer ended", error=str(error))
        finally:
            self._accepted_count -= 1

    async def _dial_all(self, task_group: TaskGroup) -> None:
        while True:
            addresses = self._addresses()
            for address in addresses - self._dialled.keys():
                scope = self._dialled[address] = anyio.CancelScope()
                task_group.start_soon(self._dial_forever, address, scope)
            for address in self._dialled.keys() - addresses:
                self._dialled.pop(address).cancel()
            await anyio.sleep(REDIAL_SECONDS)

    def _addresses(self) -> set[str]:
        listed = {
            entry.address
            for entry in self._hosts.host_list.hosts
            if entry.kind == "entry" and entry.name != self._identity.host
        }
        if self._directory is not None:
            listed |= self._directory.addresses()
        return listed | self.seeds

    async def _dial_forever(self, address: str, scope: anyio.CancelScope) -> None:
        with scope:
            while True:
                try:
                    await self._dial(address)
                except (PeerError, OSError, TimeoutError, ValueError):
                    # Silence is noticed by the membership; nothing to do here.
                    pass
                await anyio.sleep(REDIAL_SECONDS)

    async def _dial(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        with anyio.fail_after(DIAL_TIMEOUT_SECONDS):
            connection = await anyio.connect_tcp(host, int(port))
        await self._converse(connection)

    async def _converse(self, connection: SocketStream) -> None:
        async with connection:
            limit = self._settings.max_message_bytes
            stream = PeerStream(connection, limit, self._metrics)
            peer = await stream.shake_hands(self._identity, self._settings.secret)
            if peer.host == self._identity.host:
                # A seed may be this host itself; keep the line so as not to redial.
                await anyio.sleep_forever()
            outbox = Outbox.open(peer)
            self._outboxes.append(outbox)
            log.info("peer connected", peer=peer.host)
            try:
                await self._talk(stream, outbox)
            finally:
                self._outboxes.remove(outbox)

    async def _talk(self, stream: PeerStream, outbox: Outbox) -> None:
        failure: PeerError | None = None
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._write, stream, outbox, task_group.cancel_scope)
            try:
                while True:
                    self._take(outbox, await stream.receive())
            except PeerError as error:
                failure = error
            task_group.cancel_scope.cancel()
        if failure is not None:
            raise failure

    async def _write(
        self, stream: PeerStream, outbox: Outbox, scope: anyio.CancelScope
    ) -> None:
        try:
            async for data in outbox.waiting:
                await stream.send_encoded(data)
        except PeerError as error:
            log.info("stream to peer ended", error=str(error))
            scope.cancel()

    # What comes in.

    def _take(self, outbox: Outbox, message: Any) -> None:
        if isinstance(message, Summary):
            self._take_summary(outbox, message)
        elif isinstance(message, CacheNews):
            self._take_cache_news(message)
        elif isinstance(message, ChangesRequest):
            self._answer_changes(outbox, message.after_revision)
        elif isinstance(message, ChangesReply):
            if self._follower.offer_changes(message.changes, "peer"):
                self._configuration.announce()
        elif isinstance(message, TreeReply):
            if self._follower.offer_tree(message.tree, "peer"):
                self._configuration.announce()
        elif isinstance(message, HostListRequest):
            if self._hosts.version > message.after_version:
                outbox.put(HostListReply(self._hosts.host_list))
        elif isinstance(message, HostListReply):
            self._hosts.offer(message.host_list)
        else:
            name = type(message).__name__
            raise PeerError(f"{name} at this point", step="talk", peer=outbox.peer.host)

    def _take_summary(self, outbox: Outbox, summary: Summary) -> None:
        peer = outbox.peer
        self._take_steward_news(peer, summary)
        self._scheduler.post(PeerHeard(peer.host, peer.hall, peer.incarnation, summary))
        if summary.revision > self._follower.head_revision:
            outbox.put(ChangesRequest(self._follower.head_revision))
        if summary.host_list_version > self._hosts.version:
            outbox.put(HostListRequest(self._hosts.version))

    def _take_steward_news(self, peer: PeerIdentity, summary: Summary) -> None:
        now_seconds = self._read_clock()
        if summary.lease_version:
            self._steward.lease.note_heard(
                peer.host, summary.lease_version, now_seconds
            )
        for load in summary.loads:
            until_seconds = now_seconds + load.remaining_seconds
            self._scheduler.post(
                LoadOrdered(
                    load.upstream,
                    load.incarnation,
                    load.weights_version,
                    until_seconds,
                )
            )
        for shown in summary.weights:
            self._scheduler.post(
                WeightsSeen(
                    shown.upstream,
                    shown.incarnation,
                    shown.weights_version,
                    is_own_word=False,
                )
            )

    def _take_cache_news(self, news: CacheNews) -> None:
        changes = tuple(
            CacheChanges(
                item.incarnation, tuple(item.prefixes), tuple(item.kept_tokens)
            )
            for item in news.changes
        )
        self._scheduler.post(CacheSeen(news.upstream, changes, news.is_reset))

    def _answer_changes(self, outbox: Outbox, after_revision: int) -> None:
        changes = self._follower.changes_after(after_revision)
        if changes is None:
            outbox.put(TreeReply(self._follower.view.tree))
        elif changes:
            outbox.put(ChangesReply(changes[:CHANGES_PER_REPLY]))

    # What goes out.

    async def _gossip(self) -> None:
        while True:
            await self.tell_summary()
            changed = self._configuration.changed
            with anyio.move_on_after(self._settings.gossip_interval_seconds):
                await changed.wait()

    def _with_steward_news(self, summary: Summary) -> Summary:
        now_seconds = self._read_clock()
        steward = self._steward
        loads = [
            RunnerLoad(
                load.upstream,
                load.incarnation,
                load.weights_version,
                max(0.0, load.until_seconds - now_seconds),
            )
            for load in steward.loads()
        ]
        weights = [
            RunnerWeights(shown.upstream, shown.incarnation, shown.weights_version)
            for shown in steward.weights_shown()
        ]
        lease_version = steward.lease.version if steward.is_holder else 0
        return attrs.evolve(
            summary, lease_version=lease_version, loads=loads, weights=weights
        )

    def tell_cache_news(self, news: CacheNews) -> None:
        """Send cache events to the peers that this host reads them for."""
        self._send_to_all(encode_message(news))

    def _send_to_all(self, data: bytes) -> None:
        by_peer = {outbox.peer.host: outbox for outbox in self._outboxes}
        for outbox in by_peer.values():
            outbox.put_encoded(data)

    async def tell_summary(self) -> None:
        """Send a summary to every connected peer now, over one stream each."""
        self._sequence += 1
        sequence = self._sequence
        summary = await self._scheduler.ask(
            lambda scheduler, now_seconds: scheduler.summary(
                sequence, self._follower.revision, self.is_leaving, now_seconds
            )
        )
        self._send_to_all(encode_message(self._with_steward_news(summary)))
