"""Estimate of the prefill speed of a model's runners, from times to the first token.

Guards against engines that are slower than configured: each host then sent a runner
nearly twice the queue that it should. A speed reported by the engine takes precedence.
Only long prompts that were sent to an empty queue count. Cache contents are estimates,
so a single prompt may seem many times too fast or too slow; the estimate follows a
quantile, which a few wrong samples do not move.
"""

import attrs

from rampwick_schema import ReprMixin

#: Minimum number of tokens to compute for a prompt to count as a sample.
MIN_SAMPLE_TOKENS = 1500

#: Maximum prefill time queued at a runner for its queue to count as empty.
MAX_EMPTY_QUEUE_SECONDS = 0.005

#: Share of the time to the first token due to the round trip and the engine's steps.
OVERHEAD_SECONDS = 0.012

#: Quantile that the estimate follows: most prompts below it were computed alongside
#: prompts of other hosts that had not been reported to this host yet.
QUANTILE = 0.6

#: Relative step of the estimate after each sample: the initial step, which shrinks with
#: the number of samples, and the minimum.
INITIAL_STEP_RATIO = 0.5
MIN_STEP_RATIO = 0.08


@attrs.define(repr=False)
class PrefillSpeed(ReprMixin):
    """Estimate for one model, starting from a configured value."""

    tokens_per_second: float
    _count: int = 0

    def note(self, tokens: int, taken_seconds: float) -> None:
        """Record the time to the first token of a runner with an empty queue."""
        prefill_seconds = max(0.001, taken_seconds - OVERHEAD_SECONDS)
        self._count += 1
        step_ratio = max(MIN_STEP_RATIO, INITIAL_STEP_RATIO / self._count)
        if tokens / prefill_seconds > self.tokens_per_second:
            self.tokens_per_second *= 1.0 + step_ratio * QUANTILE
        else:
            self.tokens_per_second *= 1.0 - step_ratio * (1.0 - QUANTILE)
