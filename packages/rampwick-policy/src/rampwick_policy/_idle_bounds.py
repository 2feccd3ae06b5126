"""How long callers' connections may stay idle, while the idle timeout changes."""

import attrs

from rampwick_schema import ReprMixin

#: Time for which connections stay open beyond the bound. A caller may take one up
#: until the bound, and its request is on the way then.
MARGIN_SECONDS = 1.0

#: Longest time for which the bound is extended because the configuration is not
#: confirmed.
MAX_UNCONFIRMED_SECONDS = 5.0


@attrs.define(repr=False)
class _Bound(ReprMixin):
    """An idle timeout and the time until which it was in force; none if it still is."""

    seconds: float
    ended_at_seconds: float | None = None


@attrs.define(repr=False)
class IdleBounds(ReprMixin):
    """The idle timeouts that callers may still go by.

    A caller takes up a connection by the bound that it knows, which may have been in
    force only for a part of the idle time.
    """

    #: From the earliest to the current one, each shorter than the one before.
    _bounds: list[_Bound] = attrs.field(factory=list)

    def note(self, bound_seconds: float, now_seconds: float) -> None:
        """Record that a bound is in force from now on."""
        if self._bounds and self._bounds[-1].ended_at_seconds is None:
            self._bounds[-1].ended_at_seconds = now_seconds
        self._bounds = [
            bound
            for bound in self._bounds
            if bound.seconds > bound_seconds and _may_matter(bound, now_seconds)
        ]
        self._bounds.append(_Bound(bound_seconds))

    def max_idle_seconds(
        self, since_seconds: float, configuration_age_seconds: float
    ) -> float:
        """Return the idle timeout of a connection that is idle since then, in seconds.

        ``configuration_age_seconds`` is the time since the configuration in force was
        last confirmed. Callers may know a newer one with a longer bound.
        """
        unconfirmed_seconds = min(configuration_age_seconds, MAX_UNCONFIRMED_SECONDS)
        longest_seconds = self.longest_since(since_seconds)
        return longest_seconds + max(MARGIN_SECONDS, unconfirmed_seconds)

    def longest_since(self, since_seconds: float) -> float:
        """Return the longest bound in force at some time since then, in seconds.

        It is zero before the first bound.
        """
        for bound in self._bounds:
            ended_at_seconds = bound.ended_at_seconds
            if ended_at_seconds is None or ended_at_seconds >= since_seconds:
                return bound.seconds
        return 0.0


def _may_matter(bound: _Bound, now_seconds: float) -> bool:
    """Return whether a connection may be idle by a bound that is no longer in force."""
    assert bound.ended_at_seconds is not None
    return now_seconds - bound.ended_at_seconds <= bound.seconds
