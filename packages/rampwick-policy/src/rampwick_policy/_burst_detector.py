"""Whether demand of a hall under limits has grown since others were told.

A host sees a few requests of a workspace in a second, so that what it is asked doubles
by chance all the time; only a hall's sum tells whether there is more of it.
"""

from collections.abc import Iterable

from rampwick_schema import LimitUsage

#: Growth of what a hall is asked under a limit, since it was told last, that can't wait
#: for the next usual word.
GROWTH_RATIO = 1.5


class BurstDetector:
    """What others were told last that a hall is asked."""

    def __init__(self) -> None:
        self._published: dict[str, int] = {}

    def note_published(self, limits: Iterable[LimitUsage]) -> None:
        """Note what others are told now."""
        self._published = {usage.path: usage.asked_tokens for usage in limits}

    def has_grown(self, limits: Iterable[LimitUsage]) -> bool:
        """Return whether any limit is asked for much more than others know."""
        return any(
            usage.asked_tokens
            > GROWTH_RATIO * max(1, self._published.get(usage.path, 0))
            for usage in limits
        )
