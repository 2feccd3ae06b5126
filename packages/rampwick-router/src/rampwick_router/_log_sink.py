"""Non-blocking output of log lines to a file descriptor.

If the reader of a pipe stops reading, lines are held in a bounded buffer; lines that do
not fit there are dropped and counted.
"""

import json
import os
import sys
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import eliot
import orjson

#: Maximum size of the buffer for a slow reader.
MAX_BUFFERED_BYTES = 262_144


class LogSink:
    """Destination of eliot messages that writes one JSON object per line."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._buffer: deque[bytes] = deque()
        self._buffered_bytes = 0
        #: Number of lines dropped because the reader was too slow.
        self.dropped_count = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, or buffer it until the reader catches up."""
        line = _encode(message)
        self.flush()
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.dropped_count += 1
            return
        if self.dropped_count:
            message = {**message, "left_out_lines_count": self.dropped_count}
            line = _encode(message)
            self.dropped_count = 0
        self._buffer.append(line)
        self._buffered_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts."""
        while self._buffer:
            line = self._buffer[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The line is dropped: a closed pipe must not stop the host.
                written = len(line)
            self._buffered_bytes -= written
            if written < len(line):
                self._buffer[0] = line[written:]
                return
            self._buffer.popleft()


def _encode(message: dict[str, Any]) -> bytes:
    try:
        return orjson.dumps(message, default=str) + b"\n"
    except TypeError:
        # A number of more than 64 bits, or text that UTF-8 can't represent.
        return json.dumps(message, default=str).encode() + b"\n"


@contextmanager
def open_log(path: Path | None) -> Iterator[LogSink]:
    """Send log lines to a file, or to standard output, until the context ends."""
    flags = os.O_WRONLY | os.O_CREAT | os.O_APPEND
    descriptor = os.open(path, flags, 0o644) if path else sys.stdout.fileno()
    was_blocking = os.get_blocking(descriptor)
    os.set_blocking(descriptor, False)
    sink = LogSink(descriptor)
    eliot.add_destinations(sink)
    try:
        yield sink
    finally:
        eliot.remove_destination(sink)
        sink.flush()
        os.set_blocking(descriptor, was_blocking)
        if path:
            os.close(descriptor)
