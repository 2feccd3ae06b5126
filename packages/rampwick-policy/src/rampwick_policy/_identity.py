"""Identity of a request over the caller's retries: workspace, target and body."""

import hashlib

import attrs

#: Length of a fingerprint. The probability that any two of a million requests collide
#: is about 2**-88.
FINGERPRINT_BYTES = 16


@attrs.define(eq=False, repr=False)
class RequestIdentity:
    """What a caller's retries of a request share, regardless of request ID and host."""

    workspace_path: str
    #: Host and path with its query, as sent by the caller.
    target: str
    body: bytes
    _fingerprint: bytes = b""

    @property
    def fingerprint(self) -> bytes:
        """Hash of the identity, computed on first use.

        Few requests need it: those whose runner crashed, and those that arrive while
        such requests are tracked.
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
        """The fingerprint in hexadecimal, as in logs and commands."""
        return self.fingerprint.hex()
