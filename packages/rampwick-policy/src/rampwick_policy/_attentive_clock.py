"""A clock that stands still while this host does not read what its peers send.

Silence is evidence about a peer only while the host itself was running: messages that
arrived while its event loop was blocked, or its process stopped, wait unread.
"""

import attrs

from rampwick_schema import ReprMixin


@attrs.define(repr=False)
class AttentiveClock(ReprMixin):
    """Time up to the last periodic check, without periods in which checks were late.

    Until the first check it is the given time.
    """

    #: Longest time between two checks of a host that runs.
    max_gap_seconds: float
    _checked_at_seconds: float | None = None
    #: Sum of the times by which checks were late.
    _missed_seconds: float = 0.0

    def note_check(self, now_seconds: float) -> None:
        """Record that this host runs; called periodically."""
        self._missed_seconds += self._late_seconds(now_seconds)
        self._checked_at_seconds = now_seconds

    def read(self, now_seconds: float) -> float:
        """Return the time in seconds; meaningful as a difference only."""
        return now_seconds - self._missed_seconds - self._late_seconds(now_seconds)

    def _late_seconds(self, now_seconds: float) -> float:
        if self._checked_at_seconds is None:
            return 0.0
        gap_seconds = now_seconds - self._checked_at_seconds
        return max(0.0, gap_seconds - self.max_gap_seconds)
