"""Detects growth in the demand of a hall since its last published summary.

A host receives a few requests per second of a workspace, so its own demand often
doubles by chance. Only the sum over a hall shows whether demand has grown.
"""

from collections.abc import Iterable

from rampwick_schema import LimitUsage

#: Growth in demand under a limit since the last summary that is published immediately
#: instead of with the next periodic summary.
GROWTH_RATIO = 1.5


class BurstDetector:
    """Compares the demand of a hall with the last published values."""

    def __init__(self) -> None:
        self._published: dict[str, int] = {}

    def note_published(self, limits: Iterable[LimitUsage]) -> None:
        """Record the values that are published now."""
        self._published = {usage.path: usage.asked_tokens for usage in limits}

    def has_grown(self, limits: Iterable[LimitUsage]) -> bool:
        """Return whether the demand of any limit is well above its published value."""
        return any(
            usage.asked_tokens
            > GROWTH_RATIO * max(1, self._published.get(usage.path, 0))
            for usage in limits
        )
