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
    #: Times of the last check that was late, and of the one before it.
    _late_check: tuple[float, float] | None = None

    def note_check(self, now_seconds: float) -> None:
        """Record that this host runs; called periodically."""
        late_seconds = self._late_seconds(now_seconds)
        if late_seconds and self._checked_at_seconds is not None:
            self._late_check = (now_seconds, self._checked_at_seconds)
        self._missed_seconds += late_seconds
        self._checked_at_seconds = now_seconds

    def read(self, now_seconds: float) -> float:
        """Return the time in seconds; meaningful as a difference only."""
        return now_seconds - self._missed_seconds - self._late_seconds(now_seconds)

    def unattended_seconds(self, now_seconds: float) -> float:
        """Return for how long what is handled now may have waited for this host to run.

        It is 0 unless a check is overdue, or was late less than a check ago: what
        waited as well is handled about then.
        """
        if self._late_seconds(now_seconds) and self._checked_at_seconds is not None:
            return now_seconds - self._checked_at_seconds
        if self._late_check is None:
            return 0.0
        late_at_seconds, before_seconds = self._late_check
        if now_seconds - late_at_seconds >= self.max_gap_seconds / 2.0:
            return 0.0
        return now_seconds - before_seconds

    def _late_seconds(self, now_seconds: float) -> float:
        if self._checked_at_seconds is None:
            return 0.0
        gap_seconds = now_seconds - self._checked_at_seconds
        return max(0.0, gap_seconds - self.max_gap_seconds)
