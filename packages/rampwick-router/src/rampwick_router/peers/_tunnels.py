"""Connections to upstreams that lead through another host.

Used while this host has lost its own link to an upstream. The bytes of one connection
travel in frames, so that its orderly end, a reset by the upstream and a break between
the hosts stay distinct. The other host interprets none of them.
"""

from collections.abc import Callable, Collection, Iterable
from contextlib import ExitStack

import anyio

from rampwick_policy import UNREACHABLE, Member, TunnelPeers
from rampwick_schema import (
    DataError,
    PeerSettings,
    TunnelData,
    TunnelEnd,
    TunnelReply,
)

from .._errors import PeerError
from .._logs import ComponentLogger
from .._metrics import Metrics
from ._stream import PeerStream, UpstreamAddress

#: Time limit for reaching a peer and authenticating: a few round trips between halls.
PEER_TIMEOUT_SECONDS = 0.15

#: Time limit for the peer's reply, which covers its own connect timeout.
REPLY_TIMEOUT_SECONDS = 0.35

#: Time limit for opening a tunnel through any of the peers tried.
OPEN_TIMEOUT_SECONDS = 0.6

#: Refusal recorded for a peer that failed or that knows no tunnels.
FAILED = "failed"

#: Errors after which another peer is tried.
OPEN_ERRORS = (PeerError, DataError, OSError, TimeoutError)

log = ComponentLogger("tunnels")


class TunnelLostError(OSError):
    """The tunnel broke between the hosts; the upstream may be sound."""


class TunnelRefusedError(OSError):
    """No peer that was tried opened a tunnel, so that nothing was sent."""


class TunnelSocket:
    """A connection to an upstream through a peer."""

    def __init__(
        self,
        stream: PeerStream,
        on_closed: Callable[[], None],
        is_peer_available: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._on_closed = on_closed
        self._is_peer_available = is_peer_available
        self._is_closed = False
        #: Number of bytes passed to the connection to the peer so far.
        self.sent_bytes_count = 0

    async def send(self, data: bytes, before_write: Callable[[], None]) -> None:
        """Send all bytes; ``before_write`` is called before each write."""
        before_write()
        self.sent_bytes_count += len(data)
        try:
            await self._stream.send_all(TunnelData(data))
        except PeerError as error:
            raise TunnelLostError(str(error)) from error

    async def receive(self) -> bytes:
        """Return the next bytes; empty once the upstream has closed its side."""
        try:
            message = await self._stream.receive()
        except PeerError as error:
            raise TunnelLostError(str(error)) from error
        if isinstance(message, TunnelData):
            return message.data
        if not isinstance(message, TunnelEnd):
            raise TunnelLostError(f"unexpected {type(message).__name__}")
        if message.error:
            raise ConnectionResetError(message.error)
        return b""

    def unwatch(self) -> None:
        """Do nothing: the event loop reads ahead up to a limit."""

    def is_readable(self) -> bool:
        """Return whether there is data to read, an end of stream or an error.

        Also true once the peer is shutting down, so that an idle tunnel is not used
        again: the peer waits for tunnels in use.
        """
        if self._is_closed or not self._is_peer_available():
            return True
        return self._stream.has_unread()

    def has_unread(self) -> bool:
        """Return whether a read would return or fail at once."""
        return self._is_closed or self._stream.has_unread()

    def data_age_seconds(self) -> float:
        """Return how long ago at least the bytes read last arrived at this host."""
        return 0.0 if self._is_closed else self._stream.data_age_seconds()

    def max_data_age_seconds(self) -> float | None:
        """Return None: the peer may have held the bytes back."""
        return None

    def discard_unsent(self) -> None:
        """Make the close discard the bytes that the kernel has not sent yet."""
        self._stream.discard_unsent()

    def close(self) -> None:
        """Close the tunnel; the peer then closes the connection to the upstream."""
        if not self._is_closed:
            self._is_closed = True
            self._stream.close()
            self._on_closed()


class TunnelClient:
    """Opens tunnels through the peers that are known to be alive."""

    def __init__(
        self,
        own: Member,
        settings: PeerSettings,
        metrics: Metrics,
        list_peers: Callable[[], Iterable[Member]],
        find_hall: Callable[[str], str],
        read_clock: Callable[[], float],
    ) -> None:
        self._own = own
        self._settings = settings
        self._metrics = metrics
        self._list_peers = list_peers
        self._find_hall = find_hall
        self._read_clock = read_clock
        self.peers = TunnelPeers(own)

    @property
    def is_available(self) -> bool:
        """Whether there are peers to try."""
        settings = self._settings
        if not settings.secret or not settings.max_tunnels_count:
            return False
        return any(True for _ in self._list_peers())

    async def open(self, upstream: str, address: str) -> TunnelSocket:
        """Connect to an upstream through one of a few peers."""
        target = UpstreamAddress(upstream, self._find_hall(upstream), address)
        refusals: dict[str, str] = {}
        with anyio.fail_after(OPEN_TIMEOUT_SECONDS):
            # Chosen again after each refusal, which may concern the whole hall.
            while peer := self._choose(target, refusals):
                try:
                    return await self._open_through(peer, target)
                except OPEN_ERRORS as error:
                    refusals[peer.name] = str(error) or type(error).__name__
        raise TunnelRefusedError(f"no tunnel: {refusals or 'no peers'}")

    def _choose(self, target: UpstreamAddress, tried: Collection[str]) -> Member | None:
        return self.peers.choose(
            self._list_peers(), target.name, target.hall, tried, self._read_clock()
        )

    async def _open_through(
        self, peer: Member, target: UpstreamAddress
    ) -> TunnelSocket:
        with ExitStack() as stack:
            self.peers.note_begun(peer.name)
            stack.callback(self.peers.note_closed, peer.name)
            refusal = FAILED
            try:
                with anyio.fail_after(PEER_TIMEOUT_SECONDS):
                    stream = await PeerStream.connect(
                        peer.address, self._settings.max_message_bytes, self._metrics
                    )
                    stack.callback(stream.close)
                    await stream.handshake(self._own, self._settings.secret, target)
                stream.begin_tunnel()
                refusal = UNREACHABLE
                with anyio.fail_after(REPLY_TIMEOUT_SECONDS):
                    reply = await stream.receive()
                if not isinstance(reply, TunnelReply):
                    raise TunnelLostError(f"unexpected {type(reply).__name__}")
                if reply.refusal:
                    refusal = reply.refusal
                    raise TunnelRefusedError(refusal)
            except OPEN_ERRORS:
                now_seconds = self._read_clock()
                self.peers.note_refused(peer, target.name, refusal, now_seconds)
                raise
            stack.pop_all()
        self.peers.note_opened(peer.name, target.name)
        log.info("tunnel opened", upstream=target.name, peer=peer.name)
        return TunnelSocket(
            stream,
            lambda: self.peers.note_closed(peer.name),
            lambda: any(item.name == peer.name for item in self._list_peers()),
        )
