"""What this host knows of one upstream for placement, without the load of its peers.

Peers' load changes several times a second at nearly all upstreams, the rest seldom. It
is therefore kept apart, so that new load does not require a new evaluation of the rest.
"""

import math

import attrs

from rampwick_schema import ReprMixin

from ._health import HealthState
from ._membership import PeerLoad
from ._runner_views import RunnerView, precedence_slots_count
from ._upstream import Upstream

#: Margin around a time that is the sum of two others: within it, rounding decides
#: whether the time has passed, so that a state applies to one instant only.
ROUNDING_SECONDS = 1e-6


@attrs.define(repr=False)
class RunnerState(ReprMixin):
    """State of one upstream at one time."""

    name: str
    #: Label of the current generation, which the load of peers must have.
    generation_name: str
    is_eligible: bool
    slots_count: int
    own_running_count: int
    own_waiting_tokens: int
    prefill_tokens_per_second: float
    #: Whether the speed is the estimate for all runners of the model.
    has_estimated_speed: bool
    model: str
    hall: str
    distance_seconds: float
    connect_seconds: float
    #: Time between two releases of a slot.
    release_seconds: float
    max_prefill_queue_seconds: float
    weights_version: int
    penalty_seconds: float

    def figures(self, load: PeerLoad) -> tuple[float, int, bool]:
        """Return the queue with the penalty, the free slots and whether any headroom.

        They equal those of the view, which takes several times as long to build.
        """
        slots_count = self.slots_count
        running_count = self.own_running_count + load.running_count
        queued_seconds = (
            self.own_waiting_tokens + load.waiting_tokens
        ) / self.prefill_tokens_per_second
        excess = max(0, running_count - slots_count + 1)
        engine_seconds = excess * self.release_seconds + queued_seconds
        queue_seconds = self.distance_seconds + self.connect_seconds + engine_seconds
        has_headroom = (
            running_count < slots_count + precedence_slots_count(slots_count)
            and queued_seconds < 2 * self.max_prefill_queue_seconds
        )
        return (
            queue_seconds + self.penalty_seconds,
            max(0, slots_count - running_count),
            has_headroom,
        )

    def view(self, load: PeerLoad) -> RunnerView:
        """Return the view for placement with the load of peers."""
        running_count = self.own_running_count + load.running_count
        excess = max(0, running_count - self.slots_count + 1)
        return RunnerView(
            self.name,
            self.slots_count,
            running_count,
            self.own_waiting_tokens + load.waiting_tokens,
            self.prefill_tokens_per_second,
            self.hall,
            self.distance_seconds,
            self.connect_seconds,
            excess * self.release_seconds,
            self.max_prefill_queue_seconds,
            self.weights_version,
            self.penalty_seconds,
        )


def state_expires_seconds(
    upstream: Upstream,
    outdated_since_seconds: float,
    outdated_limits_seconds: tuple[float, ...],
    now_seconds: float,
) -> float:
    """Return until when the state of an unchanged upstream stays the same.

    ``outdated_since_seconds`` is when newer weights were published, infinite if none
    were; the limits are the ages at which that has an effect.
    """
    only_now_seconds = math.nextafter(now_seconds, math.inf)
    if upstream.health.state is HealthState.RAMPING:
        return only_now_seconds
    times = [
        upstream.draining_until_seconds,
        upstream.paused_until_seconds,
        upstream.unconfirmed_until_seconds,
        upstream.load_until_seconds,
        upstream.connected_until_seconds,
    ]
    if outdated_since_seconds < math.inf:
        for limit_seconds in outdated_limits_seconds:
            at_seconds = outdated_since_seconds + limit_seconds
            if abs(now_seconds - at_seconds) <= ROUNDING_SECONDS:
                return only_now_seconds
            times.append(at_seconds - ROUNDING_SECONDS)
    return min((time for time in times if time > now_seconds), default=math.inf)
