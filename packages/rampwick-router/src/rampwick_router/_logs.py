"""Structured logs, written by eliot, with a fixed prefix for each component.

The lines of each message are limited by a token bucket; the next line that is written
contains the number of lines dropped before it.
"""

import math
import time
from typing import Any

import attrs
import eliot

from rampwick_schema import ReprMixin

#: Rate limit and burst of lines with the same message. A host serves some tens of
#: requests a second, all of which are logged; a mass of failures must not fill the disk
#: of the log collector.
LINES_PER_SECOND = 50.0
BURST_LINES = 200.0


@attrs.define(repr=False)
class LineTokenBucket(ReprMixin):
    """Token bucket for the lines of one message."""

    tokens: float = BURST_LINES
    at_seconds: float = 0.0
    dropped_count: int = 0

    def take(self, now_seconds: float) -> bool:
        """Take one token; return whether the line may be written."""
        earned = (now_seconds - self.at_seconds) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + earned)
        self.at_seconds = now_seconds
        if self.tokens < 1.0:
            self.dropped_count += 1
            return False
        self.tokens -= 1.0
        return True


class ComponentLogger:
    """Logger of one component of the daemon.

    ``info`` is for normal events, ``problem`` for events that need an operator's
    attention. Values are passed as fields and never formatted into the message.
    """

    def __init__(self, component: str) -> None:
        self._component = component
        self._buckets: dict[str, LineTokenBucket] = {}

    def info(self, text: str, **fields: Any) -> None:
        """Log a normal event."""
        self._write("info", text, fields)

    def problem(self, text: str, **fields: Any) -> None:
        """Log a failure or an anomaly."""
        self._write("problem", text, fields)

    def _write(self, level: str, text: str, fields: dict[str, Any]) -> None:
        bucket = self._buckets.setdefault(text, LineTokenBucket())
        if not bucket.take(time.monotonic()):
            return
        if bucket.dropped_count:
            fields["left_out_count"] = bucket.dropped_count
            bucket.dropped_count = 0
        eliot.log_message(
            message_type=f"rampwick:{self._component}",
            level=level,
            message=f"{self._component}: {text}",
            **fields,
        )


def milliseconds(seconds: float | None) -> int | None:
    """Return a time in milliseconds for logs; None if it is unknown or infinite."""
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000)
