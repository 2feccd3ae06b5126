"""What makes two tries the same request: who asks, where, and with which body."""

import hashlib

import attrs

#: Length of a fingerprint: two of a million requests are alike by chance once in 2**88.
FINGERPRINT_BYTES = 16


@attrs.define(eq=False, repr=False)
class RequestIdentity:
    """A request as its caller repeats it, under whatever id and at whatever host."""

    workspace_path: str
    #: Host and path with its query, as the caller named them.
    target: str
    body: bytes
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Hash of what makes the request; worked out when it is asked for first.

        Few requests are ever asked for it: those whose runner ended, and those that
        arrive while such ones are remembered.
        """
        if not self._fingerprint:
            digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
            for part in (self.workspace_path.encode(), self.target.encode(), self.body):
                digest.update(len(part).to_bytes(8, "big"))
                digest.update(part)
            self._fingerprint = digest.digest()
        return self._fingerprint

    def __repr__(self) -> str:
        return f"RequestIdentity({self.workspace_path!r}, {self.target!r})"

    @property
    def fingerprint_hex(self) -> str:
        """The fingerprint as logs and operators name it."""
        return self.fingerprint.hex()
