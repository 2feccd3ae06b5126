"""One stream between two rampwickd processes: frames and the mutual proof."""

import hashlib
import hmac
import secrets
from collections.abc import Callable
from typing import Any

import anyio
from anyio.abc import SocketStream

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

STEP = "talk to peer"


class PeerStream:
    """Messages over one connection; any fault costs this connection only."""

    def __init__(
        self, stream: SocketStream, max_message_bytes: int, metrics: Metrics
    ) -> None:
        self._stream = stream
        self._received = bytearray()
        self._max_message_bytes = max_message_bytes
        self.peer = ""
        #: Called whenever bytes come in.
        self.note_bytes: Callable[[], None] = _ignore
        self._metrics = metrics
        # Until it has said who it is, a peer may be of any hall.
        self._count_as("across")

    def _count_as(self, scope: str) -> None:
        """Look the counters up once: finding a label costs more than counting."""
        metrics = self._metrics
        self._sent_bytes = metrics.control_bytes.labels("sent", scope)
        self._sent_messages = metrics.control_messages.labels("sent", scope)
        self._received_bytes = metrics.control_bytes.labels("received", scope)
        self._received_messages = metrics.control_messages.labels("received", scope)

    async def send(self, message: Any) -> None:
        """Send a message."""
        await self.send_encoded(encode_message(message))

    async def send_encoded(self, data: bytes) -> None:
        """Send a message that was encoded once for several peers."""
        if len(data) - LENGTH_BYTES > self._max_message_bytes:
            raise PeerError(
                f"message of {len(data)} bytes is too long", step=STEP, peer=self.peer
            )
        try:
            await self._stream.send(data)
        except (OSError, anyio.BrokenResourceError) as error:
            raise self._closed(error) from error
        self._sent_bytes.inc(len(data))
        self._sent_messages.inc()

    async def receive(self, max_bytes: int | None = None) -> Any:
        """Return the next message."""
        limit = max_bytes or self._max_message_bytes
        await self._receive_bytes(LENGTH_BYTES)
        length = int.from_bytes(self._received[:LENGTH_BYTES], "big")
        if length > limit:
            raise PeerError(
                f"message of {length} bytes, allowed are {limit}",
                step=STEP,
                peer=self.peer,
            )
        end = LENGTH_BYTES + length
        await self._receive_bytes(end)
        body = bytes(self._received[LENGTH_BYTES:end])
        del self._received[:end]
        self._received_bytes.inc(end)
        self._received_messages.inc()
        try:
            return decode_message(body, peer=self.peer)
        except MessageError as error:
            raise PeerError(error.message, step=error.step, peer=self.peer) from None

    async def _receive_bytes(self, count: int) -> None:
        """Read on until so many bytes are there."""
        try:
            while len(self._received) < count:
                self._received += await self._stream.receive()
                self.note_bytes()
        except (OSError, anyio.EndOfStream) as error:
            raise self._closed(error) from error
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise self._closed(error) from error

    async def shake_hands(self, own: Member, secret: str) -> Member:
        """Prove each side's knowledge of the secret; return who the other is."""
        with anyio.move_on_after(HANDSHAKE_SECONDS):
            return await self._shake_hands(own, secret)
        raise PeerError("handshake took too long", step="shake hands", peer=self.peer)

    async def _shake_hands(self, own: Member, secret: str) -> Member:
        mine = Hello(
            protocol_version=PROTOCOL_VERSION,
            host=own.name,
            hall=own.hall,
            incarnation=own.incarnation,
            nonce=secrets.token_bytes(NONCE_BYTES),
            peer_address=own.address,
            link_megabits_per_second=own.link_megabits_per_second,
        )
        await self.send(mine)
        theirs = self._expect(await self.receive(MAX_HANDSHAKE_BYTES), Hello)
        if theirs.protocol_version != PROTOCOL_VERSION:
            raise self._refused(f"protocol version {theirs.protocol_version}")
        if len(theirs.nonce) != NONCE_BYTES or theirs.nonce == mine.nonce:
            raise self._refused("bad nonce")
        await self.send(Proof(digest=_prove(secret, mine, theirs)))
        proof = self._expect(await self.receive(MAX_HANDSHAKE_BYTES), Proof)
        if not hmac.compare_digest(proof.digest, _prove(secret, theirs, mine)):
            raise self._refused("wrong secret")
        self.peer = theirs.host
        self._count_as("hall" if theirs.hall == own.hall else "across")
        return Member(
            theirs.host,
            theirs.hall,
            theirs.peer_address,
            theirs.incarnation,
            theirs.link_megabits_per_second,
        )

    def _expect(self, message: Any, cls: type) -> Any:
        if not isinstance(message, cls):
            raise self._refused(f"{type(message).__name__} instead of {cls.__name__}")
        return message

    def _refused(self, message: str) -> PeerError:
        return PeerError(message, step="shake hands", peer=self.peer)

    def _closed(self, error: Exception) -> PeerError:
        message = str(error) or type(error).__name__
        return PeerError(f"connection closed: {message}", step=STEP, peer=self.peer)


def _ignore() -> None:
    return


def _prove(secret: str, prover: Hello, asker: Hello) -> bytes:
    # The prover's name, hall and incarnation are part of the proof, and the roles
    # differ, so that no side can hand the other's proof back.
    parts = (prover.host, prover.hall, str(prover.incarnation), asker.host)
    text = "\0".join(parts).encode() + prover.nonce + asker.nonce
    return hmac.digest(secret.encode(), text, hashlib.sha256)
