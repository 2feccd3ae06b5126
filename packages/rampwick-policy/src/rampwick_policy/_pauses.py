"""Pauses that upstreams requested from this host, for example with Retry-After."""

import math

from ._shutdown_announcements import Incarnation

#: Pause after a refusal without a requested duration.
DEFAULT_PAUSE_SECONDS = 1.0


class Pauses:
    """End of the pause of each incarnation."""

    def __init__(self) -> None:
        self._until: dict[Incarnation, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def note(
        self, incarnation: Incarnation, pause_seconds: float | None, now_seconds: float
    ) -> None:
        """Start a pause; a longer pause in progress is not shortened."""
        until_seconds = now_seconds + (pause_seconds or DEFAULT_PAUSE_SECONDS)
        known_seconds = self.until_seconds(incarnation)
        self._until[incarnation] = max(known_seconds, until_seconds)

    def until_seconds(self, incarnation: Incarnation) -> float:
        """Return the end of the last pause of an incarnation."""
        return self._until.get(incarnation, -math.inf)

    def expire(self, now_seconds: float) -> list[Incarnation]:
        """Drop pauses that are over; return their incarnations."""
        if not self._until:
            return []
        over = [item for item, until in self._until.items() if until <= now_seconds]
        for incarnation in over:
            del self._until[incarnation]
        return over
