"""Health of one upstream: down at the first failure, back on a ramp.

A breaker that closes at once hands a runner that has just come back, with an empty
cache, the whole load under which it failed. The ramp is taken from the Switchyard
paper (related reading); docs/design/retries.md has our measurement.
"""

import enum

import attrs

from rampwick_schema import ReprMixin

#: Shortest and longest time without new work after a failure.
MIN_PAUSE_SECONDS = 0.25
MAX_PAUSE_SECONDS = 8.0

#: Failures in a row that are told apart.
MAX_COUNTED_FAILURES = 16


class HealthState(enum.Enum):
    """Whether an upstream gets work."""

    UP = "up"
    DOWN = "down"
    RAMPING = "ramping"


@attrs.define(repr=False)
class Health(ReprMixin):
    """State machine of one upstream's health; times are in seconds."""

    ramp_start_ratio: float
    ramp_seconds: float
    state: HealthState = HealthState.UP
    pause_seconds: float = MIN_PAUSE_SECONDS
    #: When the present state began; while it is down, when it failed last.
    since_seconds: float = 0.0
    #: When it went down.
    down_at_seconds: float = 0.0
    last_error: str = ""
    #: Failures in a row, answers between them set it to nothing.
    failures_count: int = 0

    def note_failure(self, error: str, now_seconds: float) -> None:
        """Take the upstream out; soon after a return, for twice as long."""
        was_back_seconds = now_seconds - self.since_seconds
        self.failures_count = min(self.failures_count + 1, MAX_COUNTED_FAILURES)
        if self.state is not HealthState.DOWN:
            self.down_at_seconds = now_seconds
            is_soon_again = was_back_seconds < self.ramp_seconds and self.last_error
            self.pause_seconds = (
                min(MAX_PAUSE_SECONDS, self.pause_seconds * 2)
                if is_soon_again
                else MIN_PAUSE_SECONDS
            )
        self.state = HealthState.DOWN
        self.since_seconds = now_seconds
        self.last_error = error

    def note_probe(self, is_same_life: bool, now_seconds: float) -> None:
        """Let the upstream back in if an answered probe comes after the pause.

        A life that went on had only a broken connection, and its cache is warm: it
        gets its slots back at once. A new one gets them on the ramp.
        """
        self.failures_count = 0
        if self.state is not HealthState.DOWN:
            return
        if now_seconds - self.since_seconds < self.pause_seconds:
            return
        self.state = HealthState.UP if is_same_life else HealthState.RAMPING
        self.since_seconds = now_seconds

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
        # Geometric: the ratio grows by equal factors in equal times.
        return self.ramp_start_ratio ** (1.0 - progress)
