"""Who can still be answered in time, and what room the others leave to them.

It answers a burst, and all hosts coming back at once: for some seconds more prompts
wait than the runners can read within their callers' latency targets. Served by arrival,
each of them waits behind those that are late already, until nearly all are late. Those
that can still be in time go first instead; the others are served in the room that is
left, for as long as their deadlines last.
"""

import math

from ._queue import QueuedRequest

#: Part of its latency target after which a request that still waits counts as late: the
#: rest is what sending it and reading a short prompt take.
MAX_WAIT_RATIO = 0.75

#: Part of a runner's usual queue of prompts up to which it is sent what is late
#: already: a request that arrives next then finds the larger part of the queue free.
MIN_LATE_QUEUE_RATIO = 0.33


#: The same when all of its time is spent: more than the usual queue, so that a flood of
#: requests that can be in time does not keep it waiting until its deadline.
MAX_LATE_QUEUE_RATIO = 1.5


def late_queue_ratio(item: QueuedRequest, now_seconds: float) -> float:
    """Return the part of a runner's usual queue up to which a late one is sent there.

    It grows while the request waits: one that was held in vain until its deadline has
    cost its caller all of its time.
    """
    allowed_seconds = item.arrival.deadline_seconds - item.arrived_at_seconds
    waited_seconds = now_seconds - item.arrived_at_seconds
    # Nothing of the growth in the first half of its time, all of it at the end.
    growth_ratio = max(0.0, 2.0 * waited_seconds / max(0.001, allowed_seconds) - 1.0)
    return MIN_LATE_QUEUE_RATIO + growth_ratio * (
        MAX_LATE_QUEUE_RATIO - MIN_LATE_QUEUE_RATIO
    )


def latest_answer_start_seconds(item: QueuedRequest) -> float:
    """Return when its answer must begin; infinite where no target is known."""
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return math.inf
    return item.arrived_at_seconds + target_seconds


def latest_send_seconds(item: QueuedRequest) -> float:
    """Return when it must be sent to be in time; its deadline if it has no target."""
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return item.arrival.deadline_seconds
    return item.arrived_at_seconds + target_seconds * MAX_WAIT_RATIO


def cannot_meet_target(item: QueuedRequest, now_seconds: float) -> bool:
    """Return whether it has waited too long to be in time wherever it is sent."""
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return False
    return now_seconds - item.arrived_at_seconds > target_seconds * MAX_WAIT_RATIO
