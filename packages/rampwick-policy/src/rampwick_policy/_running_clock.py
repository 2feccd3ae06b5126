"""Time in which this host runs, as evidence for the silence of its peers.

Messages that arrive while the event loop is blocked, or the process is stopped, wait
unread. Their sender is not silent.
"""

import attrs

from rampwick_schema import ReprMixin


@attrs.define(repr=False)
class RunningClock(ReprMixin):
    """A clock that stands still while a periodic check is overdue.

    Until the first check it returns the given time.
    """

    #: Longest time between two checks of a host that runs.
    max_gap_seconds: float
    _checked_at_seconds: float | None = None
    #: Sum of the times by which checks were overdue.
    _missed_seconds: float = 0.0

    def note_check(self, now_seconds: float) -> None:
        """Record that this host runs; called periodically."""
        self._missed_seconds += self._overdue_seconds(now_seconds)
        self._checked_at_seconds = now_seconds

    def read(self, now_seconds: float) -> float:
        """Return the time in seconds; only differences have a meaning."""
        return now_seconds - self._missed_seconds - self._overdue_seconds(now_seconds)

    def _overdue_seconds(self, now_seconds: float) -> float:
        if self._checked_at_seconds is None:
            return 0.0
        gap_seconds = now_seconds - self._checked_at_seconds
        return max(0.0, gap_seconds - self.max_gap_seconds)
