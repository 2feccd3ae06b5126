"""Age of the last data that the kernel has received on a connection."""

import socket
import struct

#: Offset and length of ``tcpi_last_data_recv`` in Linux's ``struct tcp_info``: the
#: milliseconds since the last segment with data.
LAST_DATA_OFFSET = 52
INFO_BYTES = LAST_DATA_OFFSET + 4

_LAST_DATA = struct.Struct(f"={LAST_DATA_OFFSET}xI")

#: Longest period of the kernel's timer, by which it may overstate an age.
KERNEL_TICK_SECONDS = 0.01


def max_segment_age_seconds(raw: socket.socket) -> float | None:
    """Return an upper bound on the age of the last segment with data, if known."""
    age_seconds = _read_age_seconds(raw)
    return None if age_seconds is None else age_seconds + KERNEL_TICK_SECONDS


def segment_age_seconds(raw: socket.socket) -> float:
    """Return the age of the last segment with data, less one kernel tick.

    It is never more than the true age; 0 if the kernel does not report it.
    """
    age_seconds = _read_age_seconds(raw)
    return 0.0 if age_seconds is None else max(0.0, age_seconds - KERNEL_TICK_SECONDS)


def _read_age_seconds(raw: socket.socket) -> float | None:
    try:
        info = raw.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, INFO_BYTES)
    except OSError:
        # The connection is closed already, or is not TCP.
        return None
    if len(info) < INFO_BYTES:
        return None
    (age_ms,) = _LAST_DATA.unpack(info)
    return float(age_ms) / 1000
