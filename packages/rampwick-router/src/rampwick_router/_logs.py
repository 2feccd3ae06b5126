"""Logs: short sentences, each part with its fixed prefix, written by eliot.

The volume is bounded: of each sentence only so many lines go out in a second, and the
next one that does says how many were left out.
"""

import math
import time
from typing import Any

import attrs
import eliot

from rampwick_schema import ReprMixin

#: Lines of one sentence that go out in a second, and that may be saved up. A host
#: serves some tens of requests a second, so that each leaves its lines; a storm of
#: failures does not fill the disk of whoever collects them.
LINES_PER_SECOND = 50.0
SAVED_LINES = 200.0


@attrs.define(repr=False)
class LineBudget(ReprMixin):
    """Token bucket of one sentence's lines."""

    saved: float = SAVED_LINES
    at_seconds: float = 0.0
    left_out_count: int = 0

    def spend(self, now_seconds: float) -> bool:
        """Take one line; return whether it may go out."""
        earned = (now_seconds - self.at_seconds) * LINES_PER_SECOND
        self.saved = min(SAVED_LINES, self.saved + earned)
        self.at_seconds = now_seconds
        if self.saved < 1.0:
            self.left_out_count += 1
            return False
        self.saved -= 1.0
        return True


class PartLogger:
    """Logger of one part of the daemon.

    Call ``info`` for what operators may want to follow and ``problem`` for what
    they should look at. Fields go beside the sentence, never into it.
    """

    def __init__(self, part: str) -> None:
        self._part = part
        self._budgets: dict[str, LineBudget] = {}

    def info(self, sentence: str, **fields: Any) -> None:
        """Log something that went as it should."""
        self._write("info", sentence, fields)

    def problem(self, sentence: str, **fields: Any) -> None:
        """Log something that did not go as it should."""
        self._write("problem", sentence, fields)

    def _write(self, level: str, sentence: str, fields: dict[str, Any]) -> None:
        budget = self._budgets.setdefault(sentence, LineBudget())
        if not budget.spend(time.monotonic()):
            return
        if budget.left_out_count:
            fields["left_out_count"] = budget.left_out_count
            budget.left_out_count = 0
        eliot.log_message(
            message_type=f"rampwick:{self._part}",
            level=level,
            message=f"{self._part}: {sentence}",
            **fields,
        )


def milliseconds(seconds: float | None) -> int | None:
    """Return a time as log lines say it; none where it is not known."""
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000)
