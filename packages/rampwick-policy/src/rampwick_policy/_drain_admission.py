"""Whether a request that comes to a leaving host may still be served there."""

import math

#: Time that one answer token is taken to need: some three times what today's engines
#: take at a middling load.
TOKEN_SECONDS = 0.03

#: Multiple of its latency target within which a request is taken to begin.
TARGET_FACTOR = 2.0

#: Least part of the reckoned time that the slowest answers are taken to need, and the
#: time constant with which a slow one is forgotten.
MIN_WORST_RATIO = 2.0
WORST_DECAY_SECONDS = 30.0


class SlowAnswerTracker:
    """How much longer than reckoned the slowest answers of late took.

    After an outage of the store some take several times what is reckoned: hosts that
    leave would take such requests with too little time left, and cut their answers.
    """

    def __init__(self) -> None:
        self._worst_ratio = 0.0
        self._at_seconds = 0.0

    def note(
        self,
        whole_seconds: float,
        *,
        latency_target_seconds: float,
        answer_tokens: int,
        now_seconds: float,
    ) -> None:
        """Note how long a whole answer took."""
        needed_seconds = _needed_seconds(latency_target_seconds, answer_tokens)
        ratio = whole_seconds / needed_seconds
        if ratio > self._decayed_ratio(now_seconds):
            self._worst_ratio = ratio
            self._at_seconds = now_seconds

    def worst_ratio(self, now_seconds: float) -> float:
        """Return the multiple of the reckoned time that is surely enough."""
        return max(MIN_WORST_RATIO, self._decayed_ratio(now_seconds))

    def _decayed_ratio(self, now_seconds: float) -> float:
        elapsed_seconds = now_seconds - self._at_seconds
        return self._worst_ratio * math.exp(-elapsed_seconds / WORST_DECAY_SECONDS)


def can_finish_before(
    end_seconds: float,
    *,
    latency_target_seconds: float,
    max_answer_tokens: int,
    now_seconds: float,
    overrun_ratio: float = 1.0,
) -> bool:
    """Return whether a request will have its whole answer by ``end_seconds``.

    One that may not is better refused at once, while it has not run. ``pace_ratio`` is
    how much longer than reckoned its answer may take.
    """
    needed_seconds = _needed_seconds(latency_target_seconds, max_answer_tokens)
    return now_seconds + needed_seconds * overrun_ratio <= end_seconds


def _needed_seconds(latency_target_seconds: float, answer_tokens: int) -> float:
    return latency_target_seconds * TARGET_FACTOR + answer_tokens * TOKEN_SECONDS
