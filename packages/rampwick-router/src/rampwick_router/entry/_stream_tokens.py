"""Signed tokens that identify an upstream's stream to callers.

A caller whose connection broke can resume its stream at any host by sending the id of
the last event it received. The token in that id locates the stream. It is signed with
the secret that the hosts share, so that a workspace cannot forge a token for another
workspace's stream.
"""

import base64
import hashlib
import hmac

import attrs
import msgpack

from rampwick_schema import ReprMixin

SIGNATURE_BYTES = 12

#: Longest accepted token.
MAX_TOKEN_BYTES = 1024


@attrs.frozen(repr=False)
class StreamReference(ReprMixin):
    """The location of a response stream."""

    workspace: str
    upstream: str
    incarnation: str
    attempt_id: str
    is_chat: bool


class StreamTokens:
    """Encodes and verifies stream tokens."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()

    def encode(self, reference: StreamReference) -> bytes:
        """Return the signed token for a reference."""
        body = msgpack.packb(list(attrs.astuple(reference)))
        return base64.urlsafe_b64encode(self._sign(body) + body).rstrip(b"=")

    def decode(self, token: str) -> StreamReference | None:
        """Return the reference in a token, or None if its signature is invalid."""
        if len(token) > MAX_TOKEN_BYTES or not token.isascii():
            return None
        try:
            padding = "=" * (-len(token) % 4)
            raw = base64.urlsafe_b64decode(token + padding)
        except ValueError:
            return None
        signature, body = raw[:SIGNATURE_BYTES], raw[SIGNATURE_BYTES:]
        if not hmac.compare_digest(signature, self._sign(body)):
            return None
        return StreamReference(*msgpack.unpackb(body))

    def _sign(self, body: bytes) -> bytes:
        return hmac.digest(self._key, body, "sha256")[:SIGNATURE_BYTES]
