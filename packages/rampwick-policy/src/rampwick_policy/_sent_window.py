"""Tokens sent within a sliding window of time."""

import math
from collections import deque

import attrs

from rampwick_schema import ReprMixin

#: Steps of a window. What was sent counts until its whole step has left the window, so
#: that a sum is too large by one step at the most and never too small.
STEPS_COUNT = 64


@attrs.define(repr=False)
class _Step(ReprMixin):
    index: int
    tokens: float


class SentWindow:
    """Sum of tokens by the time at which they were sent."""

    def __init__(self, length_seconds: float) -> None:
        self._step_seconds = length_seconds / STEPS_COUNT
        self._steps: deque[_Step] = deque()
        self._total = 0.0

    def add(self, tokens: float, now_seconds: float) -> None:
        """Count tokens that are sent now."""
        index = self._index(now_seconds)
        self._forget(index)
        if self._steps and self._steps[-1].index == index:
            self._steps[-1].tokens += tokens
        else:
            self._steps.append(_Step(index, tokens))
        self._total += tokens

    def take_back(self, tokens: float, at_seconds: float) -> None:
        """Count tokens no more that were counted at a time."""
        index = self._index(at_seconds)
        for step in reversed(self._steps):
            if step.index == index:
                step.tokens -= tokens
                self._total -= tokens
                return
            if step.index < index:
                return

    def total(self, now_seconds: float) -> float:
        """Return the tokens within the window that ends now."""
        self._forget(self._index(now_seconds))
        return self._total

    def leaving(self, within_seconds: float, now_seconds: float) -> float:
        """Return the tokens that will have left the window after a time."""
        last = self._index(now_seconds + within_seconds) - STEPS_COUNT
        tokens = 0.0
        for step in self._steps:
            if step.index >= last:
                break
            tokens += step.tokens
        return tokens

    def _index(self, at_seconds: float) -> int:
        return math.floor(at_seconds / self._step_seconds)

    def _forget(self, index: int) -> None:
        steps = self._steps
        while steps and steps[0].index < index - STEPS_COUNT:
            self._total -= steps.popleft().tokens
        if not steps:
            self._total = 0.0
