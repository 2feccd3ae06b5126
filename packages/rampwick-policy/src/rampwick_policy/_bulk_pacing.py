"""Share of the processor for answers that take much of it.

An upstream that sends without end is never waited for, so that parsing its bytes would
take every turn of the event loop. Answers beyond a small rate of work share a part of
the processor; all others are served as they arrive.
"""

import attrs

from rampwick_schema import ReprMixin

#: Work for one answer that is done at once.
BURST_SECONDS = 0.02

#: Part of the processor that one answer may take without being paced, meant to be more
#: than a stream of tokens needs.
UNPACED_RATIO = 0.03

#: Part of the processor for all paced answers together.
PACED_RATIO = 0.25


@attrs.define(repr=False)
class AnswerWork(ReprMixin):
    """Recent work for one answer, as a bucket that empties at the unpaced rate."""

    _level_seconds: float = 0.0
    _noted_at_seconds: float = 0.0

    def note(self, spent_seconds: float, now_seconds: float) -> bool:
        """Record processor time; return whether the answer must be paced."""
        passed_seconds = max(0.0, now_seconds - self._noted_at_seconds)
        left_seconds = self._level_seconds - UNPACED_RATIO * passed_seconds
        self._level_seconds = max(0.0, left_seconds) + spent_seconds
        self._noted_at_seconds = now_seconds
        return self._level_seconds > BURST_SECONDS


class BulkPacing:
    """Schedules the work for all paced answers of a process, in order of request."""

    def __init__(self) -> None:
        self._free_at_seconds = 0.0

    def delay_seconds(self, spent_seconds: float, now_seconds: float) -> float:
        """Return how long an answer must pause after the time that it has used."""
        begin_seconds = max(self._free_at_seconds, now_seconds)
        self._free_at_seconds = begin_seconds + spent_seconds / PACED_RATIO
        return self._free_at_seconds - now_seconds
