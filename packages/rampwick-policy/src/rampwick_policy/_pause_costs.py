"""Costs of pauses that the prefill of long prompts causes for open streams.

Each decode step of a runner may carry a chunk of another request's prompt, and an event
of a stream spans several steps. Streams of short prompts are late if long prompts are
computed on their runner. Two strategies add costs to the score of each runner:
``PartitionCosts`` keeps long prompts away from a subset of the runners and draws short
ones to it; ``PredictedPauseCosts`` charges the pause that a prompt causes or suffers.
"""

import math
from collections.abc import Collection
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

from ._placement import RunnerCosts, RunnerView

#: Prefill time of a long prompt, as a share of the smallest pause target. Eight such
#: prompts within one event of a stream make it late.
LONG_PROMPT_RATIO = 1 / 8

#: Time for which a short prompt waits for the subset rather than use another runner, as
#: a share of the pause target. Hosts count prompts of their peers as waiting for some
#: tenths of a second after they were computed, so that the queues of the subset seem
#: longer than they are. It stays below the targets of the first event.
ATTRACTION_RATIO = 3 / 8

#: Cost of the subset for a long prompt that causes a tolerated pause, as a share of the
#: pause target. It outweighs the recomputation of a shared prefix that only a member of
#: the subset has cached, which costs one prompt less than it costs the streams there.
BASE_AVOIDANCE_RATIO = 1.0

#: Predicted pause, as a share of the pause target, above which it is charged. Hosts
#: know each other's prompts late, so that about as much again may be on its way.
TOLERATED_PAUSE_RATIO = 0.5

#: Share of the latency target of a long prompt that it waits elsewhere rather than use
#: the subset. The rest is left for its own prefill.
AVOIDANCE_RATIO = 0.5

#: Cost for a long prompt without a latency target, in seconds of waiting.
DEFAULT_AVOIDANCE_SECONDS = 0.5


@attrs.frozen(repr=False)
class PauseSensitivity(ReprMixin):
    """What the costs of one prompt depend on."""

    #: Smallest pause target of the service's routes.
    pause_target_seconds: float
    #: Target for the first event; ``None`` if there is none.
    latency_target_seconds: float | None
    #: Whether the answer may have a pause: it has more than one event.
    has_pauses: bool
    #: Time for which the prompt has waited at the host.
    waited_seconds: float = 0.0

    @property
    def long_seconds(self) -> float:
        """Prefill time from which the prompt is long."""
        return self.pause_target_seconds * LONG_PROMPT_RATIO

    @property
    def attraction_seconds(self) -> float:
        """Time that a short prompt waits for the subset."""
        return self.pause_target_seconds * ATTRACTION_RATIO

    @property
    def avoidance_seconds(self) -> float:
        """Time that a long prompt waits elsewhere rather than delay short streams."""
        if self.latency_target_seconds is None:
            return DEFAULT_AVOIDANCE_SECONDS
        return AVOIDANCE_RATIO * self.latency_target_seconds


class PauseStrategy(Protocol):
    """Returns the costs of one prompt at the runners of its service."""

    def costs(
        self,
        sensitivity: PauseSensitivity,
        subset: Collection[str],
        runners: Collection[RunnerView],
    ) -> RunnerCosts:
        """Return the costs; ``subset`` are the runners preferred for short prompts."""


@attrs.define(repr=False)
class PartitionCosts(ReprMixin):
    """Costs that keep long prompts off a subset and draw short prompts to it."""

    sensitivity: PauseSensitivity
    subset: Collection[str]
    _runners: Collection[RunnerView]
    #: Whether a runner outside the subset can start a long prompt in time; ``None``
    #: until it is needed, since it may require the views of many runners.
    _has_other: bool | None = None

    def extra_seconds(self, runner: RunnerView, prefill_seconds: float) -> float:
        """Return the cost of a runner as waiting time."""
        is_member = runner.name in self.subset
        if prefill_seconds >= self.sensitivity.long_seconds:
            return (
                self._avoidance_seconds(runner, prefill_seconds) if is_member else 0.0
            )
        if not self.sensitivity.has_pauses:
            return 0.0
        # A member with occupied slots is preferred less, so that short prompts do not
        # pile up there.
        fill_ratio = 1.0
        if is_member:
            fill_ratio = min(1.0, runner.running_count / max(1, runner.slots_count))
        return fill_ratio * self.sensitivity.attraction_seconds

    def _avoidance_seconds(self, runner: RunnerView, prefill_seconds: float) -> float:
        """Return the cost of a member of the subset for a long prompt.

        It is limited, so that the prompt overflows into the subset when the wait
        elsewhere uses up its own target.
        """
        sensitivity = self.sensitivity
        pause_seconds = runner.prefill_queue_seconds + prefill_seconds
        excess_ratio = _excess_ratio(pause_seconds, sensitivity.pause_target_seconds)
        cost_seconds = excess_ratio * sensitivity.avoidance_seconds
        if self._can_start_elsewhere():
            cost_seconds += BASE_AVOIDANCE_RATIO * sensitivity.pause_target_seconds
        return cost_seconds

    def _can_start_elsewhere(self) -> bool:
        """Return whether a runner outside the subset can start a long prompt in time.

        Long prompts wait at the host while that is so: in a burst the subset would
        otherwise fill up with them.
        """
        if self._has_other is None:
            sensitivity = self.sensitivity
            max_queue_seconds = (
                sensitivity.avoidance_seconds - sensitivity.waited_seconds
            )
            self._has_other = any(
                runner.name not in self.subset
                and runner.running_count < runner.slots_count
                and runner.prefill_queue_seconds < max_queue_seconds
                for runner in self._runners
            )
        return self._has_other


class SoftPartitioning:
    """Prefers a subset of the runners for short prompts and avoids it for long ones."""

    def costs(
        self,
        sensitivity: PauseSensitivity,
        subset: Collection[str],
        runners: Collection[RunnerView],
    ) -> RunnerCosts:
        """Return costs that depend on whether a runner belongs to the subset."""
        return PartitionCosts(sensitivity, subset, runners)


@attrs.frozen(repr=False)
class PredictedPauseCosts(ReprMixin):
    """Costs of the pause that a prompt is predicted to cause or to suffer."""

    sensitivity: PauseSensitivity

    def extra_seconds(self, runner: RunnerView, prefill_seconds: float) -> float:
        """Return the cost of a runner as waiting time."""
        sensitivity = self.sensitivity
        target_seconds = sensitivity.pause_target_seconds
        if prefill_seconds >= sensitivity.long_seconds:
            pause_seconds = runner.prefill_queue_seconds + prefill_seconds
            late_count = runner.running_count
        elif sensitivity.has_pauses:
            pause_seconds = runner.prefill_queue_seconds
            late_count = 1
        else:
            return 0.0
        excess_ratio = _excess_ratio(pause_seconds, target_seconds)
        return excess_ratio * late_count * sensitivity.avoidance_seconds


class PredictedPauses:
    """Charges the answers that a predicted pause makes late."""

    def costs(
        self,
        sensitivity: PauseSensitivity,
        subset: Collection[str],
        runners: Collection[RunnerView],
    ) -> RunnerCosts:
        """Return costs that depend on the prefill queue of a runner."""
        return PredictedPauseCosts(sensitivity)


def _excess_ratio(pause_seconds: float, target_seconds: float) -> float:
    """Return 0 for a tolerated pause, 1 at the target, linear in between."""
    tolerated_seconds = TOLERATED_PAUSE_RATIO * target_seconds
    if not math.isfinite(pause_seconds):
        return 1.0
    excess_seconds = pause_seconds - tolerated_seconds
    return min(1.0, max(0.0, excess_seconds / (target_seconds - tolerated_seconds)))
