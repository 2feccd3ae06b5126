"""One stream between two rampwickd processes: frames and the mutual proof."""

import asyncio
import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Any, cast

import anyio

from rampwick_policy import Member
from rampwick_schema import (
    LENGTH_BYTES,
    PROTOCOL_VERSION,
    Hello,
    MessageError,
    Proof,
    decode_message,
    encode_message,
)

from .._errors import PeerError
from .._metrics import Metrics

NONCE_BYTES = 16

#: Longest time for the whole handshake.
HANDSHAKE_SECONDS = 2.0

#: Largest message before the other side has proved itself.
MAX_HANDSHAKE_BYTES = 1024

#: Bytes of a peer that may wait while the two sides greet.
MAX_UNREAD_BYTES = 4 * MAX_HANDSHAKE_BYTES

#: Bytes that may wait for a slow peer before the newest messages are dropped: some
#: seconds of what a relay tells, and few enough for a hall of slow hosts.
MAX_UNSENT_BYTES = 131_072

STEP = "talk to peer"


def _ignore() -> None:
    return


def _ignore_stream(stream: "PeerStream") -> None:
    return


class PeerStream(asyncio.Protocol):
    """Messages over one connection; any fault costs this connection only.

    It is a protocol of the event loop's, which anyio runs on here: messages are handed
    on in the turn of the loop in which their bytes come in, and written in the turn in
    which they are said. A task that waits for the one and another for the other took
    four turns a message, which was most of what a host without requests spent: a relay
    of 20 hosts took 280 turns a second, counted over 8 s.
    """

    def __init__(
        self,
        max_message_bytes: int,
        metrics: Metrics,
        note_connected: "Callable[[PeerStream], object]" = _ignore_stream,
    ) -> None:
        self._max_message_bytes = max_message_bytes
        self._metrics = metrics
        self._note_connected = note_connected
        self._transport: asyncio.Transport | None = None
        self._received = bytearray()
        self._has_update = anyio.Event()
        self._on_message: Callable[[Any], None] | None = None
        #: Why the stream has ended; none while it goes on.
        self._failure: Exception | None = None
        self.peer = ""
        #: Called whenever bytes come in, and whenever some go out.
        self.note_bytes: Callable[[], None] = _ignore
        self.note_sent: Callable[[], None] = _ignore
        # Until it has said who it is, a peer may be of any hall.
        self._count_as("across")

    @classmethod
    async def connect(
        cls, address: str, max_message_bytes: int, metrics: Metrics
    ) -> "PeerStream":
        """Connect to ``ip:port``; the caller bounds the time."""
        host, _, port = address.rpartition(":")
        _, stream = await asyncio.get_running_loop().create_connection(
            lambda: cls(max_message_bytes, metrics), host, int(port)
        )
        return stream

    def _count_as(self, scope: str) -> None:
        """Look the counters up once: finding a label costs more than counting."""
        metrics = self._metrics
        self._sent_bytes = metrics.control_bytes.labels("sent", scope)
        self._sent_messages = metrics.control_messages.labels("sent", scope)
        self._received_bytes = metrics.control_bytes.labels("received", scope)
        self._received_messages = metrics.control_messages.labels("received", scope)

    # What the event loop calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection."""
        self._transport = cast(asyncio.Transport, transport)
        self._note_connected(self)

    def data_received(self, data: bytes) -> None:
        """Hand on the messages that are whole."""
        if self._failure is not None:
            return
        self._received += data
        self.note_bytes()
        if self._on_message is None:
            if len(self._received) > MAX_UNREAD_BYTES:
                self._reading().pause_reading()
            self._has_update.set()
            return
        try:
            self._deliver_received(self._on_message)
        except Exception as error:
            # Whoever waits for the end raises it.
            self._end(error)

    def connection_lost(self, error: Exception | None) -> None:
        """Note the end of the connection."""
        message = str(error) if error else "EndOfStream"
        self._end(self._closed(message))

    # Messages in and out.

    def put(self, data: bytes) -> bool:
        """Send a message that is encoded; return false where the peer is too slow.

        One that no peer would take ends the stream, and whoever waits for its end says
        so; whoever tells many peers goes on.
        """
        transport = self._transport
        if transport is None or self._failure is not None:
            return False
        if len(data) - LENGTH_BYTES > self._max_message_bytes:
            message = f"message of {len(data)} bytes is too long"
            self._end(PeerError(message, step=STEP, peer=self.peer))
            return False
        if transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            return False
        transport.write(data)
        self._sent_bytes.inc(len(data))
        self._sent_messages.inc()
        self.note_sent()
        return True

    async def send(self, message: Any) -> None:
        """Send a message of a greeting."""
        self.put(encode_message(message))

    async def receive(self) -> Any:
        """Return the next message of a greeting."""
        while True:
            message = self._next_message(MAX_HANDSHAKE_BYTES)
            if message is not None:
                return message
            await self._wait()

    async def deliver(self, on_message: Callable[[Any], None]) -> None:
        """Hand each message to a function until the stream ends, then raise why."""
        self._on_message = on_message
        self._deliver_received(on_message)
        if self._failure is None:
            self._reading().resume_reading()
        while True:
            await self._wait()

    async def _wait(self) -> None:
        """Wait for bytes, or raise why none will come."""
        if self._failure is not None:
            raise self._failure
        self._has_update = anyio.Event()
        await self._has_update.wait()

    def close(self) -> None:
        """Give the connection up, with what has not gone out."""
        self._end(self._closed("given up"))

    def _reading(self) -> asyncio.ReadTransport:
        assert self._transport is not None
        return self._transport

    def _deliver_received(self, on_message: Callable[[Any], None]) -> None:
        while self._failure is None:
            message = self._next_message(self._max_message_bytes)
            if message is None:
                return
            on_message(message)

    def _next_message(self, limit_bytes: int) -> Any:
        """Return the next message and forget its bytes; none where it is not whole."""
        if len(self._received) < LENGTH_BYTES:
            return None
        length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
        if length > limit_bytes:
            raise PeerError(
                f"message of {length} bytes, allowed are {limit_bytes}",
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
        self._has_update.set()
        if self._transport is not None:
            self._transport.abort()

    async def handshake(self, own: Member, secret: str) -> Member:
        """Prove each side's knowledge of the secret; return who the other is."""
        with anyio.move_on_after(HANDSHAKE_SECONDS):
            return await self._run_handshake(own, secret)
        raise PeerError("handshake took too long", step="shake hands", peer=self.peer)

    async def _run_handshake(self, own: Member, secret: str) -> Member:
        local = Hello(
            protocol_version=PROTOCOL_VERSION,
            host=own.name,
            hall=own.hall,
            incarnation=own.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
            peer_address=own.address,
            link_megabits_per_second=own.link_megabits_per_second,
        )
        await self.send(local)
        remote = self._expect(await self.receive(), Hello)
        if remote.protocol_version != PROTOCOL_VERSION:
            raise self._refused(f"protocol version {remote.protocol_version}")
        if len(remote.nonce) != NONCE_BYTES or remote.nonce == local.nonce:
            raise self._refused("bad nonce")
        await self.send(Proof(digest=_prove(secret, local, remote)))
        proof = self._expect(await self.receive(), Proof)
        if not hmac.compare_digest(proof.digest, _prove(secret, remote, local)):
            raise self._refused("wrong secret")
        self.peer = remote.host
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
            raise self._refused(f"{type(message).__name__} instead of {cls.__name__}")
        return message

    def _refused(self, message: str) -> PeerError:
        return PeerError(message, step="shake hands", peer=self.peer)

    def _closed(self, message: str) -> PeerError:
        return PeerError(f"connection closed: {message}", step=STEP, peer=self.peer)


def _prove(secret: str, prover: Hello, verifier: Hello) -> bytes:
    # The prover's name, hall and incarnation are part of the proof, and the roles
    # differ, so that no side can hand the other's proof back.
    parts = (prover.host, prover.hall, str(prover.incarnation), verifier.host)
    text = "\0".join(parts).encode() + prover.nonce + verifier.nonce
    return hmac.digest(secret.encode(), text, hashlib.sha256)
