"""Refusal of new connections by a listener whose queue is still accepted.

The kernel resets the connections in the queue of a listener that is closed. A filter
that drops the first segment of each connection lets the queue run empty before. The
caller sends that segment again a second later, when the closed listener refuses it.
"""

import array
import socket
import struct

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


def drop_new_connections(listener: socket.socket) -> None:
    """Have the kernel drop connections that begin from now on; may raise OSError."""
    instructions = b"".join(struct.pack("HBBI", *item) for item in _PROGRAM)
    memory = array.array("B", instructions)
    address, _ = memory.buffer_info()
    program = struct.pack("HP", len(_PROGRAM), address)
    listener.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
