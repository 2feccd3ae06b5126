"""Rates that a host learns from its own requests, by service, for start estimates."""

import attrs

from rampwick_schema import ReprMixin

from ._shares import DecayedUsage

#: Weight of the latest sample in the moving averages; the first samples weigh more.
SMOOTHING = 0.05

#: Quantile of run times that counts as the time without a wait at the upstream, and the
#: relative step of its estimate after each sample.
WORK_QUANTILE = 0.25
WORK_STEP_RATIO = 0.04

#: Share of a prompt that no cache holds, assumed before the first dispatch. Half keeps
#: an estimate within a factor of two for warm and cold caches.
INITIAL_MISS_RATIO = 0.5

#: Minimum number of tokens at a runner for a first token to measure its speed; the
#: time to the first token of less work is mostly that of the network and of steps.
MIN_SAMPLE_TOKENS = 1500

#: Smallest speed by measurement, as a share of the assumed one. Prompts of other hosts
#: that were not known when a prompt was sent make a runner seem slower than it is.
MIN_SPEED_RATIO = 0.4

#: Time constants of the share of capacity that requests take which precede late ones.
#: Prompts have deadlines of several seconds, so that late ones outlast bursts of three
#: seconds. Calls of plain services have deadlines of about 1.5 seconds, so that an
#: estimate from before a burst would keep calls that can no longer be served in time.
PROMPT_PRECEDING_SECONDS = 5.0
PLAIN_PRECEDING_SECONDS = 0.25

#: Least share of capacity that is left for late requests: they are preferred shortly
#: before their deadlines.
MIN_LATE_RATIO = 0.1


@attrs.define(repr=False)
class RunningMean(ReprMixin):
    """Mean of the first samples, then a moving average."""

    value: float
    _count: int = 0

    @property
    def is_known(self) -> bool:
        """Whether there was a sample."""
        return self._count > 0

    def note(self, sample: float) -> None:
        """Record a sample."""
        self._count += 1
        self.value += max(SMOOTHING, 1.0 / self._count) * (sample - self.value)


class LearnedRates:
    """Time for which requests hold a slot, and the share of prompts to compute."""

    def __init__(self) -> None:
        self._run_seconds: dict[str, RunningMean] = {}
        self._work_seconds: dict[str, float] = {}
        self._miss_ratios: dict[tuple[str, int], RunningMean] = {}
        self._speed_ratios: dict[str, RunningMean] = {}
        self._prompt_costs = DispatchCosts(PROMPT_PRECEDING_SECONDS)
        self._plain_costs = DispatchCosts(PLAIN_PRECEDING_SECONDS)

    def run_seconds(self, service: str) -> float:
        """Return the mean time for which a request holds a slot; 0 if not known."""
        mean = self._run_seconds.get(service)
        return mean.value if mean is not None else 0.0

    def note_run(self, service: str, run_seconds: float) -> None:
        """Record the time for which a completed request held its slot."""
        self._run_seconds.setdefault(service, RunningMean(0.0)).note(run_seconds)
        work_seconds = self._work_seconds.setdefault(service, run_seconds)
        step_ratio = WORK_QUANTILE if run_seconds > work_seconds else WORK_QUANTILE - 1
        self._work_seconds[service] = work_seconds * (1 + WORK_STEP_RATIO * step_ratio)

    def work_seconds(self, service: str) -> float:
        """Return the time of a request that did not wait at its upstream; 0 if unknown.

        The mean contains the waits there, which depend on the load.
        """
        return self._work_seconds.get(service, 0.0)

    def uncached_tokens(
        self, service: str, priority_rank: int, prompt_tokens: int
    ) -> int:
        """Return how many tokens of a prompt are expected to be computed."""
        mean = self._miss_ratios.get((service, priority_rank))
        ratio = mean.value if mean is not None else INITIAL_MISS_RATIO
        return round(prompt_tokens * ratio)

    def note_placed(
        self, service: str, priority_rank: int, missing_tokens: int, prompt_tokens: int
    ) -> None:
        """Record how many tokens of a dispatched prompt its runner lacks."""
        if prompt_tokens > 0:
            key = (service, priority_rank)
            mean = self._miss_ratios.setdefault(key, RunningMean(INITIAL_MISS_RATIO))
            mean.note(min(1.0, missing_tokens / prompt_tokens))

    def speed_ratio(self, service: str) -> float:
        """Return the measured speed of its runners, relative to the assumed one."""
        mean = self._speed_ratios.get(service)
        return min(1.0, max(MIN_SPEED_RATIO, mean.value)) if mean is not None else 1.0

    def note_first_token(
        self, service: str, tokens: int, assumed_seconds: float, taken_seconds: float
    ) -> None:
        """Record the time to a first token, with all tokens known to precede it."""
        if tokens >= MIN_SAMPLE_TOKENS and taken_seconds > 0.0:
            mean = self._speed_ratios.setdefault(service, RunningMean(1.0))
            mean.note(min(1.0, assumed_seconds / taken_seconds))

    def late_ratio(self, service: str, is_prompt: bool, now_seconds: float) -> float:
        """Return the share of the capacity that is left for late requests."""
        costs = self._prompt_costs if is_prompt else self._plain_costs
        return max(MIN_LATE_RATIO, 1.0 - costs.preceding_ratio(service, now_seconds))

    def note_prompt_dispatched(
        self, service: str, tokens: int, is_preceding: bool, now_seconds: float
    ) -> None:
        """Record a dispatch, and whether late requests waited while it did not."""
        self._prompt_costs.note(service, 1.0 + tokens, is_preceding, now_seconds)

    def note_plain_dispatched(
        self, service: str, is_preceding: bool, now_seconds: float
    ) -> None:
        """Record the same for a request of a plain service."""
        self._plain_costs.note(service, 1.0, is_preceding, now_seconds)


class DispatchCosts:
    """Decayed costs of dispatches by service, all and those before late requests."""

    def __init__(self, decay_seconds: float) -> None:
        self._all = DecayedUsage(decay_seconds)
        self._preceding = DecayedUsage(decay_seconds)

    def note(
        self, service: str, cost: float, is_preceding: bool, now_seconds: float
    ) -> None:
        """Add the cost of a dispatch."""
        self._all.add(service, cost, now_seconds)
        if is_preceding:
            self._preceding.add(service, cost, now_seconds)

    def preceding_ratio(self, service: str, now_seconds: float) -> float:
        """Return the share of dispatches that late requests waited for."""
        cost = self._all.get(service, now_seconds)
        return self._preceding.get(service, now_seconds) / cost if cost else 0.0
