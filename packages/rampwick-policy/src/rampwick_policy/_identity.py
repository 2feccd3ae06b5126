"""Identity of a request over the caller's retries, and the parts of its prompt."""

import hashlib
from collections.abc import Callable, Iterable

import attrs

#: Length of a fingerprint. The probability that any two of a million requests collide
#: is about 2**-88.
FINGERPRINT_BYTES = 16

#: Maximum number of parts of one prompt that are considered, the first ones. It bounds
#: what one request can add to the state and the messages of all hosts.
MAX_PART_KEYS = 32


@attrs.define(eq=False, repr=False)
class RequestIdentity:
    """What a caller's retries of a request share, regardless of request ID and host."""

    workspace_path: str
    #: Host and path with its query, as sent by the caller.
    target: str
    body: bytes
    #: Returns the keys of all parts of the prompt but the last, in their order.
    _read_part_keys: Callable[[], Iterable[bytes]] = tuple
    _fingerprint: bytes = b""
    _part_keys: tuple[bytes, ...] | None = None

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

    @property
    def part_keys(self) -> tuple[bytes, ...]:
        """Keys of the parts that other requests may share, computed on first use.

        The last part of a prompt belongs to the request itself, so that its fingerprint
        identifies it.
        """
        if self._part_keys is None:
            distinct = dict.fromkeys(self._read_part_keys())
            self._part_keys = tuple(distinct)[:MAX_PART_KEYS]
        return self._part_keys

    @property
    def suspect_keys(self) -> tuple[bytes, ...]:
        """What may cause a crash of its upstream: its parts, then the whole request."""
        return (*self.part_keys, self.fingerprint)

    def __repr__(self) -> str:
        return f"RequestIdentity({self.workspace_path!r}, {self.target!r})"

    @property
    def fingerprint_hex(self) -> str:
        """The fingerprint in hexadecimal, as in logs and commands."""
        return self.fingerprint.hex()

    @property
    def part_keys_hex(self) -> list[str]:
        """The keys of the parts in hexadecimal, as in logs and commands."""
        return [key.hex() for key in self.part_keys]
