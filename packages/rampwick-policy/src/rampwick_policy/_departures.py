"""Upstreams that announced their shutdown in an answer."""

from collections.abc import Collection

import attrs

from rampwick_schema import Shown

#: Time for which the announcement of an upstream that is no longer listed is kept: an
#: entry that lapsed with the store may come back for the same incarnation.
UNLISTED_SECONDS = 600.0


@attrs.frozen(repr=False)
class Incarnation(Shown):
    """One run of an upstream, from its start to its end."""

    upstream: str
    #: Empty where incarnations are not told apart.
    name: str


class Departures:
    """The incarnations that are shutting down; none of them ever takes that back."""

    def __init__(self) -> None:
        self._noted_at: dict[Incarnation, float] = {}

    def __len__(self) -> int:
        return len(self._noted_at)

    def __contains__(self, incarnation: Incarnation) -> bool:
        return incarnation in self._noted_at

    def note(self, incarnation: Incarnation, now_seconds: float) -> bool:
        """Note an announcement; return whether it is the first."""
        if incarnation in self._noted_at:
            return False
        self._noted_at[incarnation] = now_seconds
        return True

    def sweep(self, listed: Collection[str], now_seconds: float) -> None:
        """Drop what concerns upstreams that have not been listed for long."""
        oldest_seconds = now_seconds - UNLISTED_SECONDS
        for incarnation, noted_at_seconds in list(self._noted_at.items()):
            if incarnation.upstream in listed:
                self._noted_at[incarnation] = now_seconds
            elif noted_at_seconds < oldest_seconds:
                del self._noted_at[incarnation]
