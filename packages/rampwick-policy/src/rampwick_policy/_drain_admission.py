"""Admission of requests to a draining host, by the estimated time of their answers."""

import math

#: Estimated time for one answer token: about three times what current engines take at
#: medium load.
TOKEN_SECONDS = 0.03

#: Multiple of its latency target within which a request is assumed to start.
START_FACTOR = 2.0

#: Minimum ratio assumed for the slowest answers, and the time constant of the decay of
#: a measured ratio.
MIN_WORST_RATIO = 2.0
WORST_DECAY_SECONDS = 30.0


class SlowAnswerTracker:
    """Tracks how much longer than estimated the slowest recent answers took.

    After an outage of the store some answers take several times the estimate. Without
    the measured ratio, draining hosts would admit such requests with too little time
    left, and truncate their answers.
    """

    def __init__(self) -> None:
        self._worst_ratio = 0.0
        self._updated_at_seconds = 0.0

    def note(
        self,
        answer_seconds: float,
        *,
        latency_target_seconds: float,
        answer_tokens: int,
        now_seconds: float,
    ) -> None:
        """Record the duration of a complete answer."""
        estimated_seconds = _estimated_seconds(latency_target_seconds, answer_tokens)
        ratio = answer_seconds / estimated_seconds
        if ratio > self._decayed_ratio(now_seconds):
            self._worst_ratio = ratio
            self._updated_at_seconds = now_seconds

    def worst_ratio(self, now_seconds: float) -> float:
        """Return the multiple of the estimate that even slow answers stay within."""
        return max(MIN_WORST_RATIO, self._decayed_ratio(now_seconds))

    def _decayed_ratio(self, now_seconds: float) -> float:
        elapsed_seconds = now_seconds - self._updated_at_seconds
        return self._worst_ratio * math.exp(-elapsed_seconds / WORST_DECAY_SECONDS)


def can_finish_before(
    end_seconds: float,
    *,
    latency_target_seconds: float,
    max_answer_tokens: int,
    now_seconds: float,
    overrun_ratio: float = 1.0,
) -> bool:
    """Return whether a request will have its complete answer by ``end_seconds``.

    A request that may not is refused at once, before it has run. ``overrun_ratio`` is
    the multiple of the estimate that its answer may take.
    """
    estimated_seconds = _estimated_seconds(latency_target_seconds, max_answer_tokens)
    return now_seconds + estimated_seconds * overrun_ratio <= end_seconds


def _estimated_seconds(latency_target_seconds: float, answer_tokens: int) -> float:
    return latency_target_seconds * START_FACTOR + answer_tokens * TOKEN_SECONDS
