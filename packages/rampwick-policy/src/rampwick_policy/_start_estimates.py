"""Estimates of when a waiting request starts, from the work of the whole fleet.

Handles overload: bursts, floods and large workspaces that queue more work than the
upstreams can do before its deadlines. Without an estimate those requests wait for
seconds and are then refused, when their callers have no time left for another attempt.
A host sees only a small part of the arrivals, so the estimate does not depend on how
fast its own queue drains. It divides the work ahead, as reported by all hosts, by the
speed of the upstreams, and is valid from the first request of a burst.
"""

import math

import attrs

from rampwick_schema import ReprMixin

from ._learned_rates import LearnedRates
from ._membership import Membership
from ._peer_queues import PeerQueues, ServiceQueue
from ._queue import QueuedRequest, RankedWork, WaitingQueue
from ._service_capacity import ServiceCapacities, ServiceCapacity, WorkAhead
from ._upstreams import UpstreamTable

#: Share of the computed wait that is certain: learned prefill speeds and cache contents
#: are wrong by up to about a fifth.
CERTAIN_RATIO = 0.8

#: Time in which peers may have served requests that they reported as queued: the usual
#: interval of summaries.
REPORT_AGE_SECONDS = 0.25


NO_WORK = RankedWork()


@attrs.frozen(repr=False)
class StartEstimate(ReprMixin):
    """When a waiting request starts, as time from now."""

    #: Time before which it certainly does not start.
    earliest_seconds: float
    expected_seconds: float
    #: Time from its start to its answer.
    answer_seconds: float
    ahead: WorkAhead
    upstreams_count: int

    def describe(self) -> str:
        """Return the figures of the estimate, for logs."""
        return (
            f"expected to start in {self.expected_seconds:.3f} s, not before "
            f"{self.earliest_seconds:.3f} s; {self.ahead.requests_count:.0f} requests "
            f"with {self.ahead.prompt_tokens:.0f} tokens to compute are queued before "
            f"it on all hosts, for {self.upstreams_count} upstreams"
        )


class StartEstimates:
    """Estimates for the requests of this host; shares the scheduler's components."""

    def __init__(
        self,
        upstreams: UpstreamTable,
        peers: Membership,
        queue: WaitingQueue,
        rates: LearnedRates,
    ) -> None:
        self._queue = queue
        self._rates = rates
        self.peer_queues = PeerQueues(peers)
        self.capacities = ServiceCapacities(upstreams, peers)

    def find(
        self,
        item: QueuedRequest,
        now_seconds: float,
        includes_less_urgent: bool = False,
    ) -> StartEstimate | None:
        """Return the estimate for a queued request; ``None`` without an upstream.

        ``includes_less_urgent`` counts the less urgent requests of its service as well.
        """
        capacity = self.capacities.find(item.arrival, now_seconds)
        if not capacity.upstreams:
            return None
        arrival = item.arrival
        peer_queue = self.peer_queues.of(arrival.service, now_seconds)
        ahead = self._work_ahead(item, peer_queue, includes_less_urgent, now_seconds)
        running = self.capacities.load(capacity)
        slot_seconds = self._slot_seconds(arrival.service, capacity, running, ahead)
        prefill_seconds = _prefill_seconds(capacity, running, ahead)
        certain_seconds = CERTAIN_RATIO * max(slot_seconds, prefill_seconds)
        if any(peer_queue.requests_counts):
            certain_seconds -= REPORT_AGE_SECONDS
        prefill_seconds /= self._rates.speed_ratio(arrival.service)
        is_prompt = arrival.chain is not None
        late_ratio = self._rates.late_ratio(arrival.service, is_prompt, now_seconds)
        return StartEstimate(
            earliest_seconds=max(0.0, certain_seconds),
            expected_seconds=max(slot_seconds, prefill_seconds) / late_ratio,
            answer_seconds=self._answer_seconds(item, capacity),
            ahead=ahead,
            upstreams_count=len(capacity.upstreams),
        )

    @property
    def ignored_count(self) -> int:
        """Number of peers' reports that were ignored as too old or implausible."""
        return self.peer_queues.ignored_count + self.capacities.ignored_loads_count

    def _slot_seconds(
        self,
        service: str,
        capacity: ServiceCapacity,
        running: WorkAhead,
        ahead: WorkAhead,
    ) -> float:
        """Return the time until a slot is free for a request."""
        count = running.requests_count + ahead.requests_count + 1
        excess_count = max(0.0, count - capacity.slots_count)
        run_seconds = self._rates.run_seconds(service)
        if not capacity.prefill_tokens_per_second:
            run_seconds = self._rates.work_seconds(service)
        return excess_count * run_seconds / capacity.slots_count

    def _answer_seconds(self, item: QueuedRequest, capacity: ServiceCapacity) -> float:
        """Return the time from the start of a request to the start of its answer."""
        if item.arrival.chain is None:
            return self._rates.run_seconds(item.arrival.service)
        speed = capacity.prefill_tokens_per_second / len(capacity.upstreams)
        return item.uncached_tokens / speed if speed else 0.0

    def _work_ahead(
        self,
        item: QueuedRequest,
        peer_queue: ServiceQueue,
        includes_less_urgent: bool,
        now_seconds: float,
    ) -> WorkAhead:
        """Return the queued work that is served before a request.

        This is all more urgent work, and the share of the work of its own rank that is
        served before it in fair order.
        """
        service, rank = item.arrival.service, item.priority_rank
        requests_count = prompt_tokens = 0.0
        rank_count = rank_tokens = total_count = 0
        own_work = self._queue.ranked_work()
        for other_rank, peers_count in enumerate(peer_queue.requests_counts):
            work = own_work.get((service, other_rank), NO_WORK)
            count = peers_count + work.requests_count
            tokens = peer_queue.prompt_tokens[other_rank] + work.prompt_tokens
            total_count += count
            if other_rank == rank:
                rank_count, rank_tokens = count, tokens
            elif other_rank < rank or includes_less_urgent:
                requests_count += count
                prompt_tokens += tokens
        # The request itself is part of the work of its rank.
        others_count = max(0, rank_count - 1)
        others_tokens = max(0, rank_tokens - item.uncached_tokens)
        if others_count:
            rank_ratio = rank_count / total_count
            before_count = self._before_in_fair_order(
                item, peer_queue, rank_ratio, now_seconds
            )
            before_ratio = min(1.0, before_count / others_count)
            requests_count += before_ratio * others_count
            prompt_tokens += before_ratio * others_tokens
        return WorkAhead(requests_count, prompt_tokens)

    def _before_in_fair_order(
        self,
        item: QueuedRequest,
        peer_queue: ServiceQueue,
        rank_ratio: float,
        now_seconds: float,
    ) -> float:
        """Return how many requests of its rank precede one if workspaces take turns.

        Each other workspace gets as many turns as this one needs for the requests
        before this one, and one more; a workspace with fewer requests gets fewer.
        ``rank_ratio`` is the share of the rank in the counts by workspace.
        """
        service, own_path = item.arrival.service, item.workspace_path
        own_before_count, own_count = self._queue.place(item)
        # Requests at peers arrive at the same rate as those here, so that the same
        # share of them precedes this one.
        place_ratio = (own_before_count + 0.5) / max(1, own_count)
        if now_seconds <= item.arrived_at_seconds:
            place_ratio = 1.0
        counts = dict(peer_queue.workspace_counts)
        peers_count = counts.pop(own_path, 0)
        for (path, name), count in self._queue.service_counts().items():
            if name == service and path != own_path:
                counts[path] = counts.get(path, 0) + count
        before_count = own_before_count + place_ratio * rank_ratio * peers_count
        max_count = before_count + 1.0
        others_count = 0.0
        for count in counts.values():
            ranked_count = rank_ratio * count
            others_count += ranked_count if ranked_count < max_count else max_count
        return before_count + others_count


def _prefill_seconds(
    capacity: ServiceCapacity, running: WorkAhead, ahead: WorkAhead
) -> float:
    """Return the time until runners have computed the prompts before a request."""
    if not capacity.prefill_tokens_per_second:
        return 0.0
    tokens = running.prompt_tokens + ahead.prompt_tokens
    return tokens / capacity.prefill_tokens_per_second


def is_reachable(item: QueuedRequest, wait_seconds: float, now_seconds: float) -> bool:
    """Return whether a request that starts after a wait starts before its deadline."""
    if not math.isfinite(wait_seconds):
        return False
    return now_seconds + wait_seconds <= item.arrival.deadline_seconds
