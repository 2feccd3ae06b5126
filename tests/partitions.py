"""Partitions between single hosts of a bench and the upstreams."""

import contextvars
import weakref
from collections.abc import Iterator
from contextlib import contextmanager
from unittest import mock

import anyio
import attrs

from rampwick_router.upstream._tcp_socket import TcpSocket

#: Host in whose tasks the code runs; a daemon's tasks inherit it from its start.
current_host: contextvars.ContextVar[str] = contextvars.ContextVar(
    "current_host", default=""
)

#: Kinds of partitions: bytes are lost, connections are reset and new ones refused, only
#: new ones are refused, or only new ones are lost.
HANG, RESET, REFUSE_NEW, LOSE_NEW = "hang", "reset", "refuse new", "lose new"
KINDS = (HANG, RESET, REFUSE_NEW, LOSE_NEW)


@attrs.define(eq=False)
class Partition:
    """Which hosts are cut off, how, and from which addresses."""

    _kinds: dict[str, str] = attrs.field(factory=dict)
    _addresses: dict[str, frozenset[str]] = attrs.field(factory=dict)
    _healed: anyio.Event = attrs.field(factory=anyio.Event)
    _reads: set[anyio.CancelScope] = attrs.field(factory=set)

    def cut(self, host: str, kind: str, addresses: frozenset[str] = frozenset()):
        """Cut a host off from some addresses, or from all."""
        self._kinds[host] = kind
        self._addresses[host] = addresses
        # Reads that are under way look again.
        for scope in self._reads:
            scope.cancel()

    def heal(self, host: str):
        """Restore the links of a host."""
        del self._kinds[host]
        healed, self._healed = self._healed, anyio.Event()
        healed.set()

    def kind(self, host: str, address: str) -> str:
        """Return how a host is cut off from an address; empty if it is not."""
        addresses = self._addresses.get(host)
        return (
            self._kinds.get(host, "") if not addresses or address in addresses else ""
        )

    async def lose(self) -> None:
        """Wait until links are restored, then fail like a dead connection."""
        await self._healed.wait()
        raise ConnectionResetError("the partition outlasted the connection")


@contextmanager
def partitioned_links() -> Iterator[Partition]:
    """Let the returned partition act on the connections to upstreams."""
    partition = Partition()
    owners: weakref.WeakKeyDictionary[TcpSocket, tuple[str, str]]
    owners = weakref.WeakKeyDictionary()
    connect, send, receive = (
        TcpSocket.connect.__func__,
        TcpSocket.send,
        TcpSocket.receive,
    )

    async def connect_across(cls, address):
        owner = current_host.get(), address
        kind = partition.kind(*owner)
        if kind in (HANG, LOSE_NEW):
            await partition.lose()
        if kind:
            raise ConnectionRefusedError("partitioned")
        found = await connect(cls, address)
        owners[found] = owner
        return found

    async def send_across(self, data, before_write):
        kind = partition.kind(*owners[self])
        if kind == RESET:
            raise ConnectionResetError("partitioned")
        if kind != HANG:
            await send(self, data, before_write)
            return
        before_write()
        self.sent_bytes_count += len(data)

    async def receive_across(self):
        while True:
            kind = partition.kind(*owners[self])
            if kind == RESET:
                raise ConnectionResetError("partitioned")
            if kind == HANG:
                await partition.lose()
            with anyio.CancelScope() as scope:
                partition._reads.add(scope)
                try:
                    return await receive(self)
                finally:
                    partition._reads.discard(scope)

    with (
        mock.patch.object(TcpSocket, "connect", classmethod(connect_across)),
        mock.patch.object(TcpSocket, "send", send_across),
        mock.patch.object(TcpSocket, "receive", receive_across),
    ):
        yield partition
