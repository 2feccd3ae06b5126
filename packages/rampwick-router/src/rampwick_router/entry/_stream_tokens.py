"""Tokens that name an upstream's stream to callers, signed by the hosts' secret.

A caller whose connection broke comes back to any host with the id of the last event
it got. The token in that id says where the stream is; its signature keeps one
workspace from asking for another's.
"""

import base64
import hashlib
import hmac

import attrs
import msgpack

from rampwick_schema import ReprMixin

SIGNATURE_BYTES = 12

#: Longest token that is looked at.
MAX_TOKEN_BYTES = 1024


@attrs.frozen(repr=False)
class StreamReference(ReprMixin):
    """Where an answer's stream is."""

    workspace: str
    upstream: str
    incarnation: str
    attempt_id: str
    is_chat: bool


class StreamTokens:
    """Makes and reads tokens."""

    def __init__(self, secret: str) -> None:
        self._key = hashlib.blake2b(secret.encode(), digest_size=32).digest()

    def encode(self, reference: StreamReference) -> bytes:
        """Return the token of a reference."""
        body = msgpack.packb(list(attrs.astuple(reference)))
        return base64.urlsafe_b64encode(self._sign(body) + body).rstrip(b"=")

    def decode(self, token: str) -> StreamReference | None:
        """Return the reference of a token, or none if it is not one of ours."""
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
