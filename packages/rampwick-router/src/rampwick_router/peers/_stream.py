"""Message framing and mutual authentication on one peer connection."""

import asyncio
import hashlib
import hmac
import secrets
import select
import socket
import struct
from collections.abc import Callable
from typing import Any, cast

import anyio
import attrs

from rampwick_platform import LIVENESS_OPTIONS
from rampwick_policy import Member
from rampwick_schema import (
    LENGTH_BYTES,
    MESSAGES_VERSION,
    PROTOCOL_VERSION,
    UNANNOUNCED_MESSAGES_VERSION,
    Hello,
    MessageError,
    Proof,
    ReprMixin,
    TunnelHello,
    decode_message,
    encode_message,
)

from .._errors import PeerError
from .._metrics import Metrics
from .._segment_age import segment_age_seconds

NONCE_BYTES = 16

#: Time limit for the whole handshake.
HANDSHAKE_SECONDS = 2.0

#: Maximum size of a message before the peer is authenticated.
MAX_HANDSHAKE_BYTES = 1024

#: Maximum number of buffered bytes during the handshake.
MAX_UNREAD_BYTES = 4 * MAX_HANDSHAKE_BYTES

#: Maximum size of a message on a tunnel, and of its buffered bytes. A message carries
#: at most 64 KiB of the connection.
MAX_TUNNEL_MESSAGE_BYTES = 66_000
MAX_UNREAD_TUNNEL_BYTES = 2 * MAX_TUNNEL_MESSAGE_BYTES

#: Size of a peer's send buffer above which new messages are dropped: a few seconds of a
#: relay's output, and small enough to hold in memory for a whole hall of slow hosts.
MAX_UNSENT_BYTES = 131_072

STEP = "talk to peer"


def _ignore() -> None:
    return


def _ignore_stream(stream: "PeerStream") -> None:
    return


@attrs.frozen(repr=False)
class UpstreamAddress(ReprMixin):
    """An upstream to which a tunnel leads."""

    name: str
    hall: str
    #: IP and port.
    address: str


class PeerStream(asyncio.Protocol):
    """Messages on one connection. An error closes only this connection.

    This is a protocol of the asyncio event loop, which anyio runs on here. Messages are
    delivered in the loop iteration in which their bytes arrive, and written in the
    iteration in which they are sent. Separate reader and writer tasks took four
    iterations per message, which was most of the work of a host without requests: a
    relay of 20 hosts took 280 iterations per second, counted over 8 s.
    """

    def __init__(
        self,
        max_message_bytes: int,
        metrics: Metrics,
        on_connected: "Callable[[PeerStream], object]" = _ignore_stream,
    ) -> None:
        self._max_message_bytes = max_message_bytes
        self._metrics = metrics
        self._on_connected = on_connected
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        #: Set when bytes arrive or the stream ends, then replaced.
        self._wakeup = anyio.Event()
        self._on_message: Callable[[Any], None] | None = None
        self._max_received_bytes = MAX_HANDSHAKE_BYTES
        self._max_unread_bytes = MAX_UNREAD_BYTES
        #: Cleared while the send buffer is above the transport's limit.
        self._is_writable = asyncio.Event()
        self._is_writable.set()
        #: The tunnel that the peer requests; none if it opens a link.
        self.tunnel: TunnelHello | None = None
        #: Error that ended the stream; none while it is open.
        self._failure: Exception | None = None
        self.peer = ""
        #: Whether this side has proved its identity: the peer may use the stream then.
        self.has_proved = False
        #: Version of the messages that the peer decodes.
        self.messages_version = UNANNOUNCED_MESSAGES_VERSION
        #: Called when bytes are received, and when a message is sent.
        self.on_bytes: Callable[[], None] = _ignore
        self.on_sent: Callable[[], None] = _ignore
        # The hall of a peer is unknown until the handshake.
        self._count_as("across")

    @classmethod
    async def connect(
        cls, address: str, max_message_bytes: int, metrics: Metrics
    ) -> "PeerStream":
        """Connect to ``ip:port``; the caller limits the time."""
        host, _, port = address.rpartition(":")
        _, stream = await asyncio.get_running_loop().create_connection(
            lambda: cls(max_message_bytes, metrics), host, int(port)
        )
        return stream

    def _count_as(self, scope: str) -> None:
        """Cache the counters, since looking up a label costs more than counting."""
        metrics = self._metrics
        self._sent_bytes = metrics.control_bytes.labels("sent", scope)
        self._sent_messages = metrics.control_messages.labels("sent", scope)
        self._received_bytes = metrics.control_bytes.labels("received", scope)
        self._received_messages = metrics.control_messages.labels("received", scope)

    # Callbacks of the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the new connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._on_connected(self)

    def data_received(self, data: bytes) -> None:
        """Deliver all complete messages."""
        if self._failure is not None:
            return
        self._received += data
        self.on_bytes()
        if self._on_message is None:
            if len(self._received) > self._max_unread_bytes:
                self._reading().pause_reading()
            self._wakeup.set()
            return
        try:
            self._deliver_received(self._on_message)
        except Exception as error:
            # Raised to the caller of receive() or deliver().
            self._end(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Record the end of the connection."""
        message = str(error) if error else "end of stream"
        self._end(self._closed(message))

    def pause_writing(self) -> None:
        """Make ``send_all`` wait, since the send buffer is full."""
        self._is_writable.clear()

    def resume_writing(self) -> None:
        """Let ``send_all`` continue."""
        self._is_writable.set()

    # Sending and receiving messages.

    def put(self, data: bytes) -> bool:
        """Send an encoded message; return false if the peer is too slow.

        A message above the size limit ends the stream, and the error is raised to the
        caller that waits for the end of the stream. A caller that broadcasts to many
        peers is not interrupted.
        """
        transport = self._transport
        if transport is None or self._failure is not None or transport.is_closing():
            return False
        if len(data) - LENGTH_BYTES > self._max_message_bytes:
            message = f"message of {len(data)} bytes exceeds the limit"
            self._end(PeerError(message, step=STEP, peer=self.peer))
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        transport.write(data)
        self._sent_bytes.inc(len(data))
        self._sent_messages.inc()
        self.on_sent()
        return True

    async def send(self, message: Any) -> None:
        """Send a handshake message."""
        self.put(encode_message(message))

    async def send_all(self, message: Any) -> None:
        """Send a message of a tunnel; wait while the peer is too slow."""
        if self._failure is None:
            await self._is_writable.wait()
        if self._failure is not None:
            raise self._failure
        self._writing().write(encode_message(message))

    async def receive(self) -> Any:
        """Return the next message of the handshake or of a tunnel."""
        while True:
            message = self._next_message(self._max_received_bytes)
            if message is not None:
                return message
            if self._failure is None:
                self._reading().resume_reading()
            await self._wait()

    def begin_tunnel(self) -> None:
        """Allow the messages of a tunnel, and detect a dead connection.

        Nothing is sent on an idle tunnel, so that only the kernel notices its end.
        """
        self._max_received_bytes = MAX_TUNNEL_MESSAGE_BYTES
        self._max_unread_bytes = MAX_UNREAD_TUNNEL_BYTES
        raw = self._raw_socket()
        try:
            for level, name, value in LIVENESS_OPTIONS:
                raw.setsockopt(level, name, value)
        except OSError as error:
            # The peer has closed the connection already.
            raise self._closed(str(error)) from error

    def has_unread(self) -> bool:
        """Return whether there is data to read, an end of stream or an error."""
        if self._received or self._failure is not None:
            return True
        poll = select.poll()
        poll.register(self._raw_socket(), select.POLLIN | select.POLLRDHUP)
        return bool(poll.poll(0))

    def data_age_seconds(self) -> float:
        """Return how long ago at least the last bytes arrived."""
        return segment_age_seconds(self._raw_socket())

    def discard_unsent(self) -> None:
        """Make the close discard the bytes that the kernel has not sent yet."""
        if self._failure is None:
            linger = struct.pack("ii", 1, 0)
            self._raw_socket().setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)

    async def deliver(self, on_message: Callable[[Any], None]) -> None:
        """Pass each message to a function until the stream ends; raise the reason."""
        self._on_message = on_message
        self._deliver_received(on_message)
        if self._failure is None:
            self._reading().resume_reading()
        while True:
            await self._wait()

    async def _wait(self) -> None:
        """Wait for bytes, or raise the error that ended the stream."""
        if self._failure is not None:
            raise self._failure
        self._wakeup = anyio.Event()
        await self._wakeup.wait()

    def close(self) -> None:
        """Close the connection and discard unsent data."""
        self._end(self._closed("closed by this host"))

    def _reading(self) -> asyncio.ReadTransport:
        assert self._transport is not None
        return self._transport

    def _writing(self) -> asyncio.WriteTransport:
        assert self._transport is not None
        return self._transport

    def _raw_socket(self) -> Any:
        return self._reading().get_extra_info("socket")

    def _deliver_received(self, on_message: Callable[[Any], None]) -> None:
        while self._failure is None:
            message = self._next_message(self._max_message_bytes)
            if message is None:
                return
            on_message(message)

    def _next_message(self, limit_bytes: int) -> Any:
        """Remove and return the next message; none if it is not complete."""
        if len(self._received) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
        if length > limit_bytes:
            raise PeerError(
                f"message of {length} bytes exceeds the limit of {limit_bytes}",
                step=STEP,
                peer=self.peer,
            )
        end = LENGTH_BYTES + length
        if len(self._received) < end:
            return None
        body = bytes(self._received[LENGTH_BYTES:end])
        del self._received[:end]
        self._received_bytes.inc(end)
        self._received_messages.inc()
        return self._decode(body)

    def _decode(self, body: bytes) -> Any:
        try:
            return decode_message(body, peer=self.peer)
        except MessageError as error:
            raise PeerError(error.message, step=error.step, peer=self.peer) from None

    def _end(self, error: Exception) -> None:
        if self._failure is not None:
            return
        self._failure = error
        self._wakeup.set()
        self._is_writable.set()
        if self._transport is not None:
            self._transport.abort()

    async def handshake(
        self, own: Member, secret: str, tunnel_to: UpstreamAddress | None = None
    ) -> Member:
        """Authenticate both sides by the shared secret; return the peer.

        With an upstream given, request a tunnel to it instead of a link.
        """
        with anyio.move_on_after(HANDSHAKE_SECONDS):
            return await self._run_handshake(own, secret, tunnel_to)
        raise PeerError("handshake timed out", step="handshake", peer=self.peer)

    async def _run_handshake(
        self, own: Member, secret: str, tunnel_to: UpstreamAddress | None
    ) -> Member:
        local = _make_hello(own, tunnel_to)
        await self.send(local)
        remote = await self.receive()
        if isinstance(remote, TunnelHello) and tunnel_to is None:
            self.tunnel = remote
        else:
            remote = self._expect(remote, Hello)
        if remote.protocol_version != PROTOCOL_VERSION:
            raise self._refused(
                f"unsupported protocol version {remote.protocol_version}"
            )
        if len(remote.nonce) != NONCE_BYTES or remote.nonce == local.nonce:
            raise self._refused("invalid or reflected nonce")
        self.has_proved = True
        await self.send(Proof(digest=_prove(secret, local, remote)))
        proof = self._expect(await self.receive(), Proof)
        if not hmac.compare_digest(proof.digest, _prove(secret, remote, local)):
            raise self._refused("wrong secret")
        self.peer = remote.host
        self.messages_version = max(self.messages_version, remote.messages_version)
        self._count_as("hall" if remote.hall == own.hall else "across")
        return Member(
            remote.host,
            remote.hall,
            remote.peer_address,
            remote.incarnation,
            remote.link_megabits_per_second,
        )

    def _expect(self, message: Any, cls: type) -> Any:
        if not isinstance(message, cls):
            raise self._refused(
                f"received {type(message).__name__}, expected {cls.__name__}"
            )
        return message

    def _refused(self, message: str) -> PeerError:
        return PeerError(message, step="handshake", peer=self.peer)

    def _closed(self, message: str) -> PeerError:
        return PeerError(f"connection closed: {message}", step=STEP, peer=self.peer)


def _make_hello(own: Member, tunnel_to: UpstreamAddress | None) -> Hello | TunnelHello:
    hello = Hello(
        protocol_version=PROTOCOL_VERSION,
        host=own.name,
        hall=own.hall,
        incarnation=own.incarnation,
        nonce=secrets.token_bytes(NONCE_BYTES),
        peer_address=own.address,
        link_megabits_per_second=own.link_megabits_per_second,
        messages_version=MESSAGES_VERSION,
    )
    if tunnel_to is None:
        return hello
    return TunnelHello(
        **attrs.asdict(hello),
        upstream=tunnel_to.name,
        upstream_address=tunnel_to.address,
    )


def _prove(
    secret: str, prover: Hello | TunnelHello, verifier: Hello | TunnelHello
) -> bytes:
    # The digest covers the identity of the prover and depends on the direction, so that
    # a proof cannot be reflected to its sender.
    parts = (prover.host, prover.hall, str(prover.incarnation), verifier.host)
    text = "\0".join(parts).encode() + prover.nonce + verifier.nonce
    return hmac.digest(secret.encode(), text, hashlib.sha256)
