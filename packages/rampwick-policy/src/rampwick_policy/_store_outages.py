"""How long the store was away, by the calls that a host makes to it."""

import math

import attrs

from rampwick_schema import ReprMixin


@attrs.define(repr=False)
class OutageClock(ReprMixin):
    """Measures outages of the store by its listings; times are monotonic seconds.

    An outage begins with the last answer before a failed listing. A store in trouble
    may answer some calls, so that it ends only with an answer that follows another one
    without a failed listing between them. Failed watches don't count: a store may cut
    them at any time, and the listing that follows shows whether it is there.
    """

    _answered_at_seconds: float = -math.inf
    _has_listing_failed: bool = False
    _began_at_seconds: float | None = None

    def note_failed_listing(self) -> None:
        """Record that a listing failed."""
        self._has_listing_failed = True

    def note_answer(self, now_seconds: float) -> float:
        """Record an answer; return the duration of the outage, or 0 without one.

        It is infinite for a host that has had no answer before.
        """
        if not self._has_listing_failed:
            self._began_at_seconds = None
        elif self._began_at_seconds is None:
            self._began_at_seconds = self._answered_at_seconds
        self._has_listing_failed = False
        self._answered_at_seconds = now_seconds
        if self._began_at_seconds is None:
            return 0.0
        return now_seconds - self._began_at_seconds
