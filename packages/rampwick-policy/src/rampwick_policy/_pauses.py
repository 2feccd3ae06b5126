"""Pauses that upstreams asked this host for."""

import math

from ._shutdown_announcements import Incarnation

#: Pause after a refusal that names no time.
DEFAULT_PAUSE_SECONDS = 1.0


class Pauses:
    """Until when each incarnation wants no request from this host."""

    def __init__(self) -> None:
        self._until: dict[Incarnation, float] = {}

    def __len__(self) -> int:
        return len(self._until)

    def note(
        self, incarnation: Incarnation, pause_seconds: float | None, now_seconds: float
    ) -> None:
        """Note that a pause begins; it never shortens the one under way."""
        until_seconds = now_seconds + (pause_seconds or DEFAULT_PAUSE_SECONDS)
        known_seconds = self.until_seconds(incarnation)
        self._until[incarnation] = max(known_seconds, until_seconds)

    def until_seconds(self, incarnation: Incarnation) -> float:
        """Return when the last pause of an incarnation ends or ended."""
        return self._until.get(incarnation, -math.inf)

    def expire(self, now_seconds: float) -> list[Incarnation]:
        """Drop the pauses that are over; return whose they were."""
        if not self._until:
            return []
        over = [item for item, until in self._until.items() if until <= now_seconds]
        for incarnation in over:
            del self._until[incarnation]
        return over
