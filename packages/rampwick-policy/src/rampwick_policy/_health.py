"""Health of one upstream: down at the first failure, then a gradual recovery.

A circuit breaker that closes at once would send a restarted runner, with an empty
cache, the full load under which it failed. The slow-start ramp follows the Switchyard
paper (see related reading); docs/design/retries.md has the measurement.
"""

import enum
from typing import Any

import attrs

from rampwick_schema import ReprMixin

from ._change_log import ChangeLog

#: Minimum and maximum backoff: the time without new work after a failure.
MIN_BACKOFF_SECONDS = 0.25
MAX_BACKOFF_SECONDS = 8.0

#: Maximum count of consecutive failures.
MAX_COUNTED_FAILURES = 16


class HealthState(enum.Enum):
    """Whether an upstream gets new work."""

    UP = "up"
    DOWN = "down"
    RAMPING = "ramping"


def _note_change(health: "Health", attribute: Any, value: Any) -> Any:
    if value != getattr(health, attribute.name):
        health.changes.note(health.upstream)
    return value


@attrs.define(repr=False)
class Health(ReprMixin):
    """State machine of one upstream's health; times are in seconds."""

    ramp_start_ratio: float
    ramp_seconds: float
    state: HealthState = attrs.field(default=HealthState.UP, on_setattr=_note_change)
    backoff_seconds: float = MIN_BACKOFF_SECONDS
    #: When the current state began; while down, the time of the last failure.
    since_seconds: float = attrs.field(default=0.0, on_setattr=_note_change)
    #: When it last changed to down.
    down_at_seconds: float = 0.0
    last_error: str = ""
    #: Consecutive failures; an answered probe resets the count.
    failures_count: int = 0
    #: Log of the changes of the state, and the name of the upstream in it.
    changes: ChangeLog = attrs.field(factory=ChangeLog, kw_only=True)
    upstream: str = attrs.field(default="", kw_only=True)

    def note_failure(self, error: str, now_seconds: float) -> None:
        """Mark the upstream as down; double the backoff after a failure on the ramp."""
        since_return_seconds = now_seconds - self.since_seconds
        self.failures_count = min(self.failures_count + 1, MAX_COUNTED_FAILURES)
        if self.state is not HealthState.DOWN:
            self.down_at_seconds = now_seconds
            is_repeated = since_return_seconds < self.ramp_seconds and self.last_error
            self.backoff_seconds = (
                min(MAX_BACKOFF_SECONDS, self.backoff_seconds * 2)
                if is_repeated
                else MIN_BACKOFF_SECONDS
            )
        self.state = HealthState.DOWN
        self.since_seconds = now_seconds
        self.last_error = error

    def note_probe(self, is_same_generation: bool, now_seconds: float) -> None:
        """Readmit the upstream if a probe was answered after the backoff.

        If the generation is unchanged, only a connection broke and the cache is warm:
        all slots are available at once. A new generation gets them on the ramp.
        """
        self.failures_count = 0
        if self.state is not HealthState.DOWN:
            return
        if now_seconds - self.since_seconds < self.backoff_seconds:
            return
        self.state = HealthState.UP if is_same_generation else HealthState.RAMPING
        self.since_seconds = now_seconds

    def forget_failures(self) -> None:
        """Let the next answered probe readmit the upstream without a backoff.

        It answers over another path than the one on which the failures were.
        """
        self.backoff_seconds = 0.0
        self.last_error = ""

    def admit_ratio(self, now_seconds: float) -> float:
        """Return the share of the upstream's slots that may be used now."""
        if self.state is HealthState.UP:
            return 1.0
        if self.state is HealthState.DOWN:
            return 0.0
        progress = (now_seconds - self.since_seconds) / self.ramp_seconds
        if progress >= 1.0:
            self.state = HealthState.UP
            return 1.0
        # Geometric growth: equal factors in equal times.
        return self.ramp_start_ratio ** (1.0 - progress)
