"""Early refusal of requests that cannot start before their deadlines.

Handles overload: without it, requests wait for seconds and are refused only when their
callers have no time left for another attempt. A request that the upstreams have no room
for is estimated twice. On arrival, only one that certainly cannot start in time is
refused, so that a wrong estimate costs no answer. When a quarter of its latency target
has passed it is refused if it is not expected to start in time. Otherwise it is kept
and served, late if need be. A quarter leaves its caller enough of the target for an
attempt at another host.
"""

import heapq
import math
import random
from collections import Counter
from collections.abc import Sequence

import attrs

from rampwick_schema import ReprMixin

from . import _events as ev
from ._estimate_learning import EstimateLearning
from ._open_requests import OpenRequests
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import DEADLINE_UNREACHABLE
from ._start_estimates import StartEstimate, StartEstimates, is_reachable
from ._state_changes import StateChangeTracker

#: Share of the latency target after which a request is either refused or kept.
CHECK_RATIO = 0.25

#: Time before that at which a tick checks it, because the next tick may be too late:
#: the interval of ticks and their usual delay.
TICK_MARGIN_SECONDS = 0.12

#: Bounds of the ``Retry-After`` value. Below, a caller is back before a summary of the
#: peers has arrived; above, the estimate says little about the load at that time.
MIN_RETRY_AFTER_SECONDS = 0.1
MAX_RETRY_AFTER_SECONDS = 10.0

#: Largest random extension of that value, as a share of it. Callers that are refused
#: together return over half of the time in which the work before them is done.
RETRY_JITTER_RATIO = 0.5

#: Time without early refusals after which a service no longer counts as refusing.
REFUSING_SECONDS = 2.0

#: Moments of a refusal, as used in metrics.
ON_ARRIVAL = "arrival"
AT_CHECK = "check"
FOR_URGENT = "urgent"


@attrs.frozen(repr=False)
class EstimateState(ReprMixin):
    """Expected start of the newest queued request of a service and priority rank."""

    service: str
    priority_rank: int
    queued_count: int
    expected_seconds: float
    refused_count: int


class EarlyRefusals:
    """Decides on early refusals; shares the scheduler's components."""

    def __init__(
        self,
        is_enabled: bool,
        estimates: StartEstimates,
        learning: EstimateLearning,
        queue: WaitingQueue,
        requests: OpenRequests,
        state_changes: StateChangeTracker,
        rng: random.Random,
    ) -> None:
        self.is_enabled = is_enabled
        self.estimates = estimates
        self.learning = learning
        self._queue = queue
        self._requests = requests
        self._state_changes = state_changes
        self._rng = rng
        self._checks: list[tuple[float, str]] = []
        self._refused_at_seconds: dict[str, float] = {}
        #: Refused requests by service and moment.
        self.refused_counts: Counter[tuple[str, str]] = Counter()

    def states(self, now_seconds: float) -> list[EstimateState]:
        """Return the estimates for the requests that are queued here, for operators."""
        if not self.is_enabled:
            return []
        newest = {
            (item.arrival.service, item.priority_rank): item for item in self._queue
        }
        states = []
        for (service, rank), work in sorted(self._queue.ranked_work().items()):
            estimate = self.estimates.find(newest[service, rank], now_seconds)
            if estimate is not None:
                refused_count = sum(
                    count
                    for (name, _), count in self.refused_counts.items()
                    if name == service
                )
                states.append(
                    EstimateState(
                        service,
                        rank,
                        work.requests_count,
                        round(estimate.expected_seconds, 3),
                        refused_count,
                    )
                )
        return states

    def apply(
        self, event: ev.Event, actions: Sequence[ev.Action], now_seconds: float
    ) -> list[ev.Action]:
        """Learn from an event and its actions; return the early refusals after it.

        The dispatcher has already searched the queue, so that the upstreams have no
        room for what still waits.
        """
        if not self.is_enabled:
            return []
        self.learning.learn(event, actions, now_seconds)
        refusals: list[ev.Action] = []
        if isinstance(event, ev.RequestArrived):
            item = self._requests.get(event.request_id)
            if item is not None and self._is_estimated(item):
                refusals += self._decide_on_arrival(item, now_seconds)
        margin_seconds = 0.0
        if isinstance(event, ev.Tick):
            margin_seconds = TICK_MARGIN_SECONDS
            self._record_states(now_seconds)
        while self._checks and self._checks[0][0] <= now_seconds + margin_seconds:
            check_at_seconds, request_id = heapq.heappop(self._checks)
            item = self._requests.get(request_id)
            if item is not None and self._is_estimated(item):
                refusals += self._decide_at_check(item, check_at_seconds, now_seconds)
        return refusals

    def _is_estimated(self, item: QueuedRequest) -> bool:
        """Return whether a request waits for capacity only, and was never sent."""
        lifecycle = item.lifecycle
        return (
            lifecycle.is_waiting
            and not lifecycle.attempts_count
            and not item.has_begun
            and item.blocked_since_seconds is None
        )

    def _decide_on_arrival(
        self, item: QueuedRequest, now_seconds: float
    ) -> list[ev.Action]:
        target_seconds = item.arrival.latency_target_seconds
        if target_seconds is not None:
            check_at_seconds = now_seconds + CHECK_RATIO * target_seconds
            heapq.heappush(self._checks, (check_at_seconds, item.request_id))
        estimate = self.estimates.find(item, now_seconds)
        if estimate is None:
            return []
        if not is_reachable(item, estimate.earliest_seconds, now_seconds):
            return self._refuse(item, estimate, ON_ARRIVAL, now_seconds)
        item.expected_start_seconds = now_seconds + estimate.expected_seconds
        victim = self._find_less_urgent(item, estimate, now_seconds)
        if victim is None:
            return []
        return self._refuse(victim, estimate, FOR_URGENT, now_seconds)

    def _decide_at_check(
        self, item: QueuedRequest, check_at_seconds: float, now_seconds: float
    ) -> list[ev.Action]:
        estimate = self.estimates.find(item, now_seconds)
        if estimate is None:
            return []
        item.expected_start_seconds = now_seconds + estimate.expected_seconds
        answer_seconds = estimate.expected_seconds + estimate.answer_seconds
        # If the check is later than a tick, this host was blocked. The caller has
        # waited for longer than it should for a refusal, so that only an answer is of
        # use to it.
        is_overdue = now_seconds > check_at_seconds + TICK_MARGIN_SECONDS
        item.is_kept = is_overdue or is_reachable(item, answer_seconds, now_seconds)
        if item.is_kept:
            return []
        return self._refuse(item, estimate, AT_CHECK, now_seconds)

    def _find_less_urgent(
        self, item: QueuedRequest, estimate: StartEstimate, now_seconds: float
    ) -> QueuedRequest | None:
        """Return the request to refuse so that a more urgent one starts in time.

        Late requests are served after less urgent ones that can still meet their
        targets. ``None`` if these do not delay the request beyond its deadline.
        """
        answer_seconds = estimate.expected_seconds + estimate.answer_seconds
        if not is_reachable(item, answer_seconds, now_seconds):
            return None
        behind_all = self.estimates.find(item, now_seconds, includes_less_urgent=True)
        if behind_all is None:
            return None
        answer_seconds = behind_all.expected_seconds + behind_all.answer_seconds
        if is_reachable(item, answer_seconds, now_seconds):
            return None
        for priority_class in reversed(ev.RANKED_CLASSES[item.priority_rank + 1 :]):
            victim = self._newest_of_largest(
                priority_class, item.arrival.service, now_seconds
            )
            if victim is not None:
                return victim
        return None

    def _newest_of_largest(
        self, priority_class: str, service: str, now_seconds: float
    ) -> QueuedRequest | None:
        """Return the newest request of the workspace that queues the most in a class.

        Requests that were checked and kept are left out, since they are to be served.
        """
        best: list[QueuedRequest] = []
        for path in self._queue.waiting_workspaces(priority_class):
            candidates = [
                item
                for item in self._queue.workspace_queue(priority_class, path)
                if item.arrival.service == service
                and self._is_estimated(item)
                and now_seconds < _check_at_seconds(item)
            ]
            if len(candidates) > len(best):
                best = candidates
        return best[-1] if best else None

    def _refuse(
        self,
        item: QueuedRequest,
        estimate: StartEstimate,
        moment: str,
        now_seconds: float,
    ) -> list[ev.Action]:
        service = item.arrival.service
        self.refused_counts[service, moment] += 1
        self._refused_at_seconds[service] = now_seconds
        left_seconds = item.arrival.deadline_seconds - now_seconds
        waited_seconds = now_seconds - item.arrived_at_seconds
        self._state_changes.note("service", service, "refusing", estimate.describe())
        return self._requests.abort(
            item,
            DEADLINE_UNREACHABLE,
            now_seconds,
            self._retry_after_seconds(estimate),
            evidence=f"refused on {moment}, waited {waited_seconds:.3f} s, "
            f"{left_seconds:.3f} s left; {estimate.describe()}",
        )

    def _retry_after_seconds(self, estimate: StartEstimate) -> float:
        """Return the time until the work before a request is done, with jitter."""
        seconds = min(
            MAX_RETRY_AFTER_SECONDS,
            max(MIN_RETRY_AFTER_SECONDS, estimate.expected_seconds),
        )
        return seconds * (1.0 + RETRY_JITTER_RATIO * self._rng.random())

    def _record_states(self, now_seconds: float) -> None:
        """Record the services that no longer refuse requests early."""
        for service, refused_at_seconds in list(self._refused_at_seconds.items()):
            if now_seconds - refused_at_seconds > REFUSING_SECONDS:
                del self._refused_at_seconds[service]
                reason = f"no early refusal for {REFUSING_SECONDS:g} s"
                self._state_changes.note("service", service, "admitting", reason)


def _check_at_seconds(item: QueuedRequest) -> float:
    target_seconds = item.arrival.latency_target_seconds
    if target_seconds is None:
        return math.inf
    return item.arrived_at_seconds + CHECK_RATIO * target_seconds
