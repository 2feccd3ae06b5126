"""Bytes of a connection that the kernel holds."""

import fcntl
import struct
import termios


def unread_bytes(descriptor: int) -> int:
    """Return the number of bytes received that were not read (SIOCINQ)."""
    return _ask(descriptor, termios.FIONREAD)


def unacknowledged_bytes(descriptor: int) -> int:
    """Return the number of bytes sent that the peer's kernel lacks (SIOCOUTQ)."""
    return _ask(descriptor, termios.TIOCOUTQ)


def _ask(descriptor: int, request: int) -> int:
    if descriptor < 0:
        return 0
    try:
        found = fcntl.ioctl(descriptor, request, bytes(4))
    except OSError:
        # The peer has reset the connection.
        return 0
    return int(struct.unpack("i", found)[0])
