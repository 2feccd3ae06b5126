"""Scheduling of requests by whether they can still meet their latency target.

In a burst, or when all hosts start at the same time, more prompts wait for some seconds
than the runners can prefill within the latency targets. In order of arrival each of
them waits behind requests that are late already, until nearly all are late. Therefore
requests that can still meet their target go first; late ones use the remaining capacity
until their deadlines.
"""

import math

from ._queue import QueuedRequest

#: Share of the latency target after which a waiting request counts as late: the rest is
#: the time for sending it and for the prefill of a short prompt.
MAX_WAIT_RATIO = 0.75

#: Share of a runner's usual prefill queue up to which late requests are sent to it, so
#: that the larger part of the queue stays free for the next arriving request.
MIN_LATE_QUEUE_RATIO = 0.33

#: The same for a request at its deadline: more than the usual queue, so that overload
#: by requests that can meet their target does not hold it back until its deadline.
MAX_LATE_QUEUE_RATIO = 1.5

#: Share of a runner's usual prefill queue up to which less urgent requests are sent to
#: it while more urgent ones wait. A full queue takes most of the target of a short
#: prompt, and what is in it can't be overtaken.
YIELDING_QUEUE_RATIO = 0.5

#: Share of the time until its deadline after which a late request that was promised an
#: answer no longer gives way to others of its class. The rest is more than a request
#: waits at its upstream, whose queue may be twice the usual.
DUE_RATIO = 0.67


def late_queue_ratio(item: QueuedRequest, now_seconds: float) -> float:
    """Return the share of the usual prefill queue that a late request accepts.

    It grows while the request waits, because a request that is refused only at its
    deadline has cost its caller all of its time.
    """
    allowed_seconds = item.arrival.deadline_seconds - item.arrived_at_seconds
    waited_seconds = now_seconds - item.arrived_at_seconds
    # 0 in the first half of the time allowed, then linear up to 1 at the deadline.
    growth_ratio = max(0.0, 2.0 * waited_seconds / max(0.001, allowed_seconds) - 1.0)
    return MIN_LATE_QUEUE_RATIO + growth_ratio * (
        MAX_LATE_QUEUE_RATIO - MIN_LATE_QUEUE_RATIO
    )


def latest_answer_start_seconds(item: QueuedRequest) -> float:
    """Return when the answer must start to meet the target; infinite without one."""
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return math.inf
    return item.arrived_at_seconds + target_seconds


def latest_send_seconds(item: QueuedRequest) -> float:
    """Return when a request must be sent to meet its target.

    Without a latency target this is its deadline.
    """
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return item.arrival.deadline_seconds
    return item.arrived_at_seconds + target_seconds * MAX_WAIT_RATIO


def is_due(item: QueuedRequest, now_seconds: float) -> bool:
    """Return whether a request that is to be served can't give way any longer.

    A stream that has begun never does: its caller waits in the middle of an answer, and
    fewer upstreams can go on with it.
    """
    if item.has_begun:
        return True
    allowed_seconds = item.arrival.deadline_seconds - item.arrived_at_seconds
    waited_seconds = now_seconds - item.arrived_at_seconds
    return item.is_kept and waited_seconds > allowed_seconds * DUE_RATIO


def cannot_meet_target(item: QueuedRequest, now_seconds: float) -> bool:
    """Return whether a request has waited too long to meet its target anywhere."""
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return False
    return now_seconds - item.arrived_at_seconds > target_seconds * MAX_WAIT_RATIO
