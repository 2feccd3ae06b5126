"""A time-out that follows how fast the store answers."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager

import anyio

from rampwick_platform import OutcomeUnknownError

#: Shortest and longest time-out; the longest one is reached step by step, while calls
#: take longer than the one before.
MIN_SECONDS, MAX_SECONDS = 0.4, 3.2
GROWTH_FACTOR = 2.0

#: Time-out in durations of the last call.
ANSWER_FACTOR = 4.0


class AdaptiveTimeout:
    """Limits calls whose lost answers would hold up the calls after them."""

    def __init__(self, read_clock: Callable[[], float]) -> None:
        self._read_clock = read_clock
        self._seconds = MIN_SECONDS

    @contextmanager
    def limit(self) -> Iterator[None]:
        """Raise OutcomeUnknownError if the context takes too long."""
        started_seconds = self._read_clock()
        try:
            with anyio.fail_after(self._seconds):
                yield
        except TimeoutError:
            message = f"no answer within {self._seconds:.1f} s"
            self._seconds = min(MAX_SECONDS, self._seconds * GROWTH_FACTOR)
            raise OutcomeUnknownError(message, step="store streams") from None
        taken_seconds = self._read_clock() - started_seconds
        self._seconds = max(
            MIN_SECONDS, min(self._seconds, ANSWER_FACTOR * taken_seconds)
        )
