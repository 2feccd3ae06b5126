"""How fast runners of one model read prompts, learned from the answers that they begin.

It answers engines that read more slowly than they were taken to: each host then sent a
runner nearly twice the queue that it meant to. An engine's own figure for its speed, if
there is one, goes first. Only long prompts that found nothing waiting count. What
caches hold is guessed, so that a single prompt may look many times too fast or too
slow: the estimate follows a quantile, which a few wrong guesses don't move.
"""

import attrs

from rampwick_schema import ReprMixin

#: Shortest part of a prompt, in tokens to be read, that tells anything of the speed.
MIN_TOKENS = 1500

#: Prompts that wait at a runner up to which a prompt counts as finding none, as time.
MAX_QUEUE_SECONDS = 0.005

#: Part of an answer's beginning that is the way there and back and the engine's steps.
OVERHEAD_SECONDS = 0.012

#: Quantile that is followed: most prompts that miss it were read beside others that
#: this host did not know of.
QUANTILE = 0.6

#: Step of the estimate after each prompt: of the first ones, and the least.
FIRST_STEP_RATIO = 0.5
MIN_STEP_RATIO = 0.08


@attrs.define(repr=False)
class ReadingSpeed(ReprMixin):
    """Estimate for one model, from a start value on."""

    tokens_per_second: float
    _count: int = 0

    def note(self, tokens: int, taken_seconds: float) -> None:
        """Note how long a runner with nothing else to read took to begin an answer."""
        reading_seconds = max(0.001, taken_seconds - OVERHEAD_SECONDS)
        self._count += 1
        step_ratio = max(MIN_STEP_RATIO, FIRST_STEP_RATIO / self._count)
        if tokens / reading_seconds > self.tokens_per_second:
            self.tokens_per_second *= 1.0 + step_ratio * QUANTILE
        else:
            self.tokens_per_second *= 1.0 - step_ratio * (1.0 - QUANTILE)
