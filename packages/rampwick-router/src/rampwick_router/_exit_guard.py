"""The end of a stopping process that would otherwise be killed.

A killed process leaves no line about what it cuts. On a busy machine the steps of the
planned end may take longer than the margin before the kill.
"""

from collections import deque
from collections.abc import Callable

import anyio

from ._lifecycle import Lifecycle

CHECK_SECONDS = 0.05

#: Number of checks whose lateness counts: those of the last second.
CHECKS_COUNT = 20

#: Time that log lines and the end of the process take.
END_SECONDS = 0.1


class ExitGuard:
    """Knows how late the event loop is, and by when the process has to end itself."""

    def __init__(self, lifecycle: Lifecycle, margin_seconds: float) -> None:
        """``margin_seconds`` is the time from the planned exit until the kill."""
        self._lifecycle = lifecycle
        self._margin_seconds = margin_seconds
        self._late_seconds: deque[float] = deque(maxlen=CHECKS_COUNT)

    @property
    def late_seconds(self) -> float:
        """The time by which the latest of the newest checks was late."""
        return max(self._late_seconds, default=0.0)

    def remaining_seconds(self, now_seconds: float) -> float | None:
        """Return the time until the kill; None if there is none."""
        exit_at_seconds = self._lifecycle.exit_deadline_seconds
        if exit_at_seconds is None:
            return None
        return exit_at_seconds + self._margin_seconds - now_seconds

    def note_check(self, due_seconds: float, now_seconds: float) -> bool:
        """Note a check that was due at a time; return whether to end the process now.

        The next check may be as late as the latest one. Before the planned exit the
        process is not ended, however late it is.
        """
        self._late_seconds.append(max(0.0, now_seconds - due_seconds))
        remaining_seconds = self.remaining_seconds(now_seconds)
        if remaining_seconds is None or remaining_seconds > self._margin_seconds:
            return False
        return remaining_seconds <= CHECK_SECONDS + END_SECONDS + self.late_seconds

    async def run(
        self, read_clock: Callable[[], float], end: Callable[[], None]
    ) -> None:
        """Check from the request to stop on; call ``end`` when it is time."""
        await self._lifecycle.wait_stopping()
        while True:
            due_seconds = read_clock() + CHECK_SECONDS
            await anyio.sleep(CHECK_SECONDS)
            if self.note_check(due_seconds, read_clock()):
                end()
                return
