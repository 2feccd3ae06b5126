"""When a stopping process has to end, so that it is not killed.

A killed process logs nothing about the responses that it cuts. On a busy machine the
steps of a planned end take longer than the margin before the kill.
"""

from collections import deque

import attrs

from rampwick_schema import ReprMixin

#: Interval of the checks, and number of checks whose lateness counts: one second.
EXIT_CHECK_SECONDS = 0.05
EXIT_CHECKS_COUNT = 20

#: Time for the log lines about what is cut, and for the end of the process.
END_SECONDS = 0.1

#: Iterations of the event loop between the end of the servers' time and the end of the
#: process: the ends of the requests, of the connections and of the servers.
END_STEPS_COUNT = 3


@attrs.define(repr=False)
class ExitGuard(ReprMixin):
    """Decides by the lateness of the event loop; times are monotonic."""

    #: Time from the planned exit until the process is killed.
    margin_seconds: float
    _late_seconds: deque[float] = attrs.field(
        factory=lambda: deque(maxlen=EXIT_CHECKS_COUNT)
    )

    @property
    def late_seconds(self) -> float:
        """The greatest lateness of the recent checks."""
        return max(self._late_seconds, default=0.0)

    def note_check(self, due_seconds: float, now_seconds: float) -> None:
        """Record a check that was due at a time."""
        self._late_seconds.append(max(0.0, now_seconds - due_seconds))

    def must_end(self, exit_at_seconds: float | None, now_seconds: float) -> bool:
        """Return whether the next check may come too late to end the process.

        ``exit_at_seconds`` is the planned exit, before which the process goes on
        however late it is; without one it may take any time.
        """
        if exit_at_seconds is None or now_seconds < exit_at_seconds:
            return False
        remaining_seconds = exit_at_seconds + self.margin_seconds - now_seconds
        return remaining_seconds <= EXIT_CHECK_SECONDS + END_SECONDS + self.late_seconds

    def close_seconds(
        self,
        exit_at_seconds: float | None,
        max_close_seconds: float,
        now_seconds: float,
    ) -> float:
        """Return for how long the servers may go on with open requests.

        A late event loop takes longer for the steps after that.
        """
        if exit_at_seconds is None:
            return max_close_seconds
        remaining_seconds = exit_at_seconds + self.margin_seconds - now_seconds
        end_seconds = self.margin_seconds - max_close_seconds
        end_seconds += END_STEPS_COUNT * self.late_seconds
        return min(max_close_seconds, max(0.0, remaining_seconds - end_seconds))
