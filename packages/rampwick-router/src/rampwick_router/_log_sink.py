"""Where log lines go: a file descriptor that never holds anybody up.

A reader that stops reading fills the pipe. What does not fit any more waits in a
bounded buffer, and what does not fit there is counted and left out.
"""

import os
import sys
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import eliot
import orjson

#: Bytes that may wait for a reader that is behind.
MAX_WAITING_BYTES = 262_144


class LogSink:
    """Destination of eliot's messages: one JSON object a line."""

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._waiting: deque[bytes] = deque()
        self._waiting_bytes = 0
        #: Lines left out because their reader was behind.
        self.left_out_count = 0

    def __call__(self, message: dict[str, Any]) -> None:
        """Write a message, now or once the reader takes it."""
        line = orjson.dumps(message, default=str) + b"\n"
        self.flush()
        if self._waiting_bytes + len(line) > MAX_WAITING_BYTES:
            self.left_out_count += 1
            return
        if self.left_out_count:
            message = {**message, "left_out_lines_count": self.left_out_count}
            line = orjson.dumps(message, default=str) + b"\n"
            self.left_out_count = 0
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of what waits as the reader takes."""
        while self._waiting:
            line = self._waiting[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody will ever read it: a closed pipe must not stop the host.
                written = len(line)
            self._waiting_bytes -= written
            if written < len(line):
                self._waiting[0] = line[written:]
                return
            self._waiting.popleft()


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
