"""Refusal of new connections by a listener whose queue is still accepted.

The kernel resets the connections in the queue of a listener that is closed. If it drops
the first segment of each new connection, the queue runs empty before. The caller sends
that segment again a second later, when the closed listener refuses it.

A filter does so exactly. Where the kernel refuses filters, a minimum hop limit does: it
drops all segments of callers whose packets start with less, as nearly all do.
"""

import array
import enum
import socket
import struct

import attrs

from rampwick_schema import ReprMixin

#: Option of Linux that attaches a program of the classic packet filter to a socket. The
#: standard library doesn't name it.
SO_ATTACH_FILTER = 26

#: Offset of the flags in a TCP header, and the flag of a connection's first segment.
FLAGS_OFFSET = 13
SYN = 0x02

_LOAD_BYTE, _JUMP_IF_SET, _RETURN = 0x30, 0x45, 0x06
_WHOLE_SEGMENT = 0xFFFFFFFF

#: Operation, jumps if true and if false, and operand of each instruction.
_PROGRAM = (
    (_LOAD_BYTE, 0, 0, FLAGS_OFFSET),
    (_JUMP_IF_SET, 0, 1, SYN),
    (_RETURN, 0, 0, 0),
    (_RETURN, 0, 0, _WHOLE_SEGMENT),
)

#: Options of Linux for the lowest hop limit of segments that a socket receives. The
#: standard library doesn't name them.
IP_MINTTL = 21
IPV6_MINHOPCOUNT = 73
_MIN_HOP_LIMIT_OPTIONS = {
    socket.AF_INET: (socket.IPPROTO_IP, IP_MINTTL),
    socket.AF_INET6: (socket.IPPROTO_IPV6, IPV6_MINHOPCOUNT),
}
MAX_HOP_LIMIT = 255


class DropMethod(enum.Enum):
    """How the kernel drops new connections."""

    FILTER = "filter"
    HOP_LIMIT = "hop limit"
    #: New connections go on arriving.
    NONE = "none"


@attrs.frozen(repr=False)
class DropResult(ReprMixin):
    """The method in force, and the errors of those that the kernel refused."""

    method: DropMethod
    errors: list[str] = attrs.field(factory=list)


def drop_new_connections(listener: socket.socket) -> DropResult:
    """Have the kernel drop connections that begin from now on, if it can."""
    errors = []
    for method, apply in (
        (DropMethod.FILTER, _attach_filter),
        (DropMethod.HOP_LIMIT, _set_min_hop_limit),
    ):
        try:
            apply(listener)
        except OSError as error:
            errors.append(f"{method.value}: {error}")
        else:
            return DropResult(method, errors)
    return DropResult(DropMethod.NONE, errors)


def receive_again(accepted: socket.socket) -> None:
    """Lift the hop limit that a connection has inherited from its listener."""
    level, option = _MIN_HOP_LIMIT_OPTIONS[accepted.family]
    accepted.setsockopt(level, option, 0)


def _attach_filter(listener: socket.socket) -> None:
    instructions = b"".join(struct.pack("HBBI", *item) for item in _PROGRAM)
    memory = array.array("B", instructions)
    address, _ = memory.buffer_info()
    program = struct.pack("HP", len(_PROGRAM), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


def _set_min_hop_limit(listener: socket.socket) -> None:
    level, option = _MIN_HOP_LIMIT_OPTIONS[listener.family]
    listener.setsockopt(level, option, MAX_HOP_LIMIT)
