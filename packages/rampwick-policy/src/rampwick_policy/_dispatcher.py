"""Selection of the next waiting request and of its upstream.

Requests that can still meet their latency target are dispatched before late ones, as
are late ones that were promised an answer and whose deadlines are near.
Within each group the order is priority class, then the fairness key of the workspace,
then arrival. A request is sent to the runner that placement chooses, or waits for it.
"""

import itertools

import attrs

from rampwick_schema import PlacementSettings, ReprMixin

from . import _events as ev
from ._admission import Admission
from ._cache_transfers import CacheTransfer
from ._capacity import CapacitySnapshot
from ._forecasts import Forecasts
from ._peer_queues import PeerQueues
from ._placement import (
    Choice,
    LeastLoaded,
    Placement,
    chosen_view,
    speculative_import_tokens,
)
from ._plain_shares import PlainShares, share_choice
from ._pool import Pool
from ._prefill_speed import MAX_EMPTY_QUEUE_SECONDS, MIN_SAMPLE_TOKENS
from ._prefix import PrefixChain
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    KEPT_APART,
    NO_RETRY_LEFT,
    NO_SAME_VERSION,
    NO_UPSTREAM,
    OVER_LIMIT,
)
from ._request import RunState
from ._request_quarantine import RequestQuarantine
from ._retry import RetryBudgets
from ._runner_views import ListedViews, RunnerViews, as_runner_views
from ._shares import FairnessKey
from ._software_versions import SoftwareVersions
from ._timeliness import (
    YIELDING_QUEUE_RATIO,
    cannot_meet_target,
    is_due,
    late_queue_ratio,
    latest_answer_start_seconds,
)
from ._tree import Workspace

#: Price of an answer token in prompt tokens: it occupies a slot for a whole step.
ANSWER_TOKEN_PRICE = 4.0

#: Answer tokens assumed for a workspace before its first answer.
FIRST_ANSWER_TOKENS = 64.0

#: Weight of the latest answer in the moving average of answer lengths.
ANSWER_SMOOTHING = 0.1

#: Requests of one workspace and class that are considered in one pass.
LOOKAHEAD_COUNT = 4

#: Queueing time after which the price of a prefix cache miss is halved.
MISS_PRICE_HALVING_SECONDS = 2.0


@attrs.frozen(repr=False)
class DeadlineUnreachable(ReprMixin):
    """A request, removed from the queue, that can't start before its deadline."""

    item: QueuedRequest


#: A workspace with waiting requests: its fairness key, its path and itself.
_OrderedWorkspace = tuple[FairnessKey, str, Workspace]


class AnswerEstimates:
    """Moving averages of the answer lengths of each workspace."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def expect(self, arrival: ev.RequestArrived) -> float:
        """Return the expected number of tokens of a request's answer."""
        if arrival.chain is None:
            return 1.0
        estimated = self._tokens.get(arrival.workspace.path, FIRST_ANSWER_TOKENS)
        return min(estimated, arrival.max_answer_tokens or estimated)

    def record(self, path: str, tokens: int) -> None:
        """Record the length of a workspace's answer."""
        previous = self._tokens.get(path, FIRST_ANSWER_TOKENS)
        self._tokens[path] = previous + ANSWER_SMOOTHING * (tokens - previous)


class Dispatcher:
    """Chooses waiting requests to send; shares its components with the scheduler."""

    def __init__(
        self,
        settings: PlacementSettings,
        pool: Pool,
        queue: WaitingQueue,
        admission: Admission,
        budgets: RetryBudgets,
        answers: AnswerEstimates,
        placement: Placement,
        quarantine: RequestQuarantine,
        forecasts: Forecasts,
        plain_shares: PlainShares,
        peer_queues: PeerQueues,
        software_versions: SoftwareVersions,
        estimates_start: bool,
    ) -> None:
        self._software_versions = software_versions
        self._peer_queues = peer_queues
        self._estimates_start = estimates_start
        self._settings = settings
        self._plain_shares = plain_shares
        self._forecasts = forecasts
        self._pool = pool
        self._queue = queue
        self._admission = admission
        self._budgets = budgets
        self._answers = answers
        self._placement = placement
        self._request_quarantine = quarantine
        self._service_placement = LeastLoaded()
        #: Whether the next pass may find something although no upstream has headroom:
        #: the last one dispatched a request, or blocked one for another reason.
        self._needs_full_pass = True

    def next_decision(
        self, only_path: str, now_seconds: float
    ) -> ev.Dispatch | DeadlineUnreachable | None:
        """Return the next request to send or to refuse; ``None`` if there is none.

        ``only_path`` restricts the search to one workspace; empty searches all.
        """
        capacity = self._snapshot(now_seconds)
        classes = {
            priority_class: self._order_workspaces(priority_class, paths, now_seconds)
            for priority_class in ev.RANKED_CLASSES
            if (paths := self._waiting_paths(priority_class, only_path))
        }
        was_blocked, self._needs_full_pass = self._needs_full_pass, False
        for is_late, workspaces in itertools.product((False, True), classes.items()):
            decision = self._next_of_class(*workspaces, is_late, capacity, now_seconds)
            if decision is not None:
                self._needs_full_pass = True
                return decision
        if only_path:
            self._needs_full_pass = self._needs_full_pass or was_blocked
        return None

    def has_no_capacity(self, now_seconds: float) -> bool:
        """Return whether a pass over the queue would certainly find nothing.

        That is so if the last pass over the whole queue found nothing and blocked no
        request, no upstream of any waiting request has headroom now, and no share in a
        plain service allows one.
        """
        if self._needs_full_pass:
            return False
        capacity = self._snapshot(now_seconds)
        for kind in self._queue.kinds():
            views = capacity.views_of(kind)
            if not views or views.has_headroom:
                return False
            # The share of this host may allow a request without any headroom.
            service, *_ = kind
            if self._plain_shares.may_send(service, views, now_seconds):
                return False
        return True

    def may_send_again(
        self, item: QueuedRequest, reserved_count: int, now_seconds: float
    ) -> bool:
        """Return whether another attempt can be sent now.

        That takes a configuration that allows it, and a retry of the budget and a slot
        besides the reserved ones. The upstream of the current attempt counts only if it
        has answered something else very recently.
        """
        arrival = item.arrival
        if not arrival.is_allowed():
            return False
        budget = self._budgets.of(arrival.service, self._pool.peers.known_hosts_count)
        if not budget.has_retry(now_seconds, reserved_count):
            return False
        views = self._snapshot(now_seconds).views(arrival)
        views = self._software_versions.allowed_views(item, views)
        current = self._pool.upstreams.get(item.upstream)
        if current is not None and not current.has_answered_recently(now_seconds):
            views = ListedViews(view for view in views if view.name != current.name)
        if not views:
            return False
        allowed = self._allowed_views(item, views, now_seconds)
        free_count = sum(view.free_slots_count for view in allowed if view.has_slot)
        return free_count > reserved_count

    def _snapshot(self, now_seconds: float) -> CapacitySnapshot:
        pool = self._pool
        return CapacitySnapshot(
            pool.view_cache, pool.upstreams, pool.peers, self._admission, now_seconds
        )

    def _waiting_paths(self, priority_class: str, only_path: str) -> list[str]:
        paths = self._queue.waiting_workspaces(priority_class)
        return [path for path in paths if path == only_path] if only_path else paths

    def _next_of_class(
        self,
        priority_class: str,
        workspaces: "list[_OrderedWorkspace]",
        is_late: bool,
        capacity: CapacitySnapshot,
        now_seconds: float,
    ) -> ev.Dispatch | DeadlineUnreachable | None:
        for fairness_key, path, workspace in workspaces:
            if not self._admission.may_start(workspace):
                continue
            requests = self._queue.workspace_queue(priority_class, path)
            if not is_late:
                requests = (
                    item
                    for item in requests
                    if not cannot_meet_target(item, now_seconds)
                    or is_due(item, now_seconds)
                )
            tried_count = 0
            for item in requests:
                if tried_count == LOOKAHEAD_COUNT:
                    break
                # Streams that wait for one of few upstreams must not hide requests
                # that others could serve.
                tried_count += not item.has_begun
                action = self._try_dispatch(
                    item, is_late, fairness_key, capacity, now_seconds
                )
                if action is not None:
                    return action
        return None

    def _order_workspaces(
        self, priority_class: str, paths: list[str], now_seconds: float
    ) -> "list[_OrderedWorkspace]":
        ordered = []
        for path in paths:
            first = next(self._queue.workspace_queue(priority_class, path))
            workspace = first.arrival.workspace
            fairness_key = self._admission.fairness_key(workspace, now_seconds)
            ordered.append((fairness_key, path, workspace))
        ordered.sort(key=lambda entry: entry[:2])
        return ordered

    def _try_dispatch(
        self,
        item: QueuedRequest,
        is_late: bool,
        fairness_key: FairnessKey,
        capacity: CapacitySnapshot,
        now_seconds: float,
    ) -> ev.Dispatch | DeadlineUnreachable | None:
        arrival = item.arrival
        views = capacity.views(arrival)
        if not views:
            forecast = self._forecasts.find(arrival, now_seconds)
            self._mark_blocked(
                item, forecast.reason if forecast else NO_UPSTREAM, now_seconds
            )
            return None
        views = self._software_versions.allowed_views(item, views)
        if not views:
            self._mark_blocked(item, NO_SAME_VERSION, now_seconds)
            return None
        budget = self._budgets.of(arrival.service, self._pool.peers.known_hosts_count)
        if item.needs_budget and not budget.has_retry(now_seconds):
            self._mark_blocked(item, NO_RETRY_LEFT, now_seconds)
            return None
        is_rerun = item.lifecycle.run_state >= RunState.MAYBE_RUN
        if is_rerun and not self._pool.limits.may_repeat(
            item.limit_charges, now_seconds
        ):
            self._mark_blocked(item, OVER_LIMIT, now_seconds)
            return None
        views = self._allowed_views(item, views, now_seconds)
        if not views:
            self._mark_blocked(item, KEPT_APART, now_seconds)
            return None
        item.clear_blocked()
        if self._plain_shares.applies(item, views, now_seconds):
            name = self._plain_shares.take(item, views, now_seconds)
            if not name:
                return None
            if item.needs_budget:
                item.has_unused_retry = budget.spend(now_seconds)
            return self._dispatch(item, share_choice(name, views), now_seconds)
        if not views.has_headroom:
            return None
        choice = capacity.choices.get(item.request_id)
        if choice is None:
            choice = self._choose(item, views, now_seconds)
            capacity.choices[item.request_id] = choice
        answer_start_seconds = _answer_start_seconds(
            arrival, choice, views, now_seconds
        )
        # An estimate that is not a number must not let an expired request pass.
        if max(now_seconds, answer_start_seconds) >= arrival.deadline_seconds:
            self._queue.remove(item)
            return DeadlineUnreachable(item)
        is_too_late = answer_start_seconds > latest_answer_start_seconds(item)
        if not is_late and is_too_late and not is_due(item, now_seconds):
            return None
        arguments = (arrival.service, choice, views, fairness_key)
        if item.has_begun:
            may_dispatch = chosen_view(choice, views).has_headroom
        elif is_late or is_too_late:
            queue_ratio = late_queue_ratio(item, now_seconds)
            may_dispatch = capacity.may_dispatch_late(*arguments, queue_ratio)
        elif self._gives_way(item, now_seconds):
            may_dispatch = capacity.may_dispatch_late(*arguments, YIELDING_QUEUE_RATIO)
        else:
            may_dispatch = capacity.may_dispatch(*arguments)
        if not may_dispatch:
            return None
        if item.needs_budget:
            item.has_unused_retry = budget.spend(now_seconds)
        return self._dispatch(item, choice, now_seconds)

    def _gives_way(self, item: QueuedRequest, now_seconds: float) -> bool:
        """Return whether a more urgent request of its service waits on any host.

        The prompts in a runner's queue can't be overtaken there, so that less urgent
        ones leave a part of it free then.
        """
        service, rank = item.arrival.service, item.priority_rank
        if not self._estimates_start or not rank:
            return False
        work = self._queue.ranked_work()
        if any((service, other) in work for other in range(rank)):
            return True
        counts = self._peer_queues.of(service, now_seconds).requests_counts
        return any(counts[:rank])

    def _mark_blocked(
        self, item: QueuedRequest, reason: str, now_seconds: float
    ) -> None:
        self._needs_full_pass = True
        item.mark_blocked(reason, now_seconds)

    def _allowed_views(
        self, item: QueuedRequest, views: RunnerViews, now_seconds: float
    ) -> RunnerViews:
        """Return the upstreams that have not been tried, or else all, if allowed."""
        if item.tried_upstreams:
            fresh = [view for view in views if view.name not in item.tried_upstreams]
            views = ListedViews(fresh) if fresh else views
        allowed = self._request_quarantine.allowed_views(item, views, now_seconds)
        return as_runner_views(allowed)

    def _choose(
        self, item: QueuedRequest, views: RunnerViews, now_seconds: float
    ) -> Choice:
        arrival = item.arrival
        price = arrival.workspace.miss_price
        if price is None:
            price = self._settings.miss_price
        # The longer a request has waited, the more cache misses it accepts.
        waited_seconds = now_seconds - item.arrived_at_seconds
        price /= 1.0 + waited_seconds / MISS_PRICE_HALVING_SECONDS
        if arrival.chain is None:
            no_chain = PrefixChain(checkpoints=(), total_tokens=1)
            return self._service_placement.choose(no_chain, views, price, now_seconds)
        sources = self._pool.caches.import_sources(
            arrival.service, arrival.chain, now_seconds
        )
        costs = self._pool.prefill_isolation.costs(
            arrival, views, waited_seconds, now_seconds
        )
        return self._placement.choose(
            arrival.chain, views, price, now_seconds, sources, costs
        )

    def _dispatch(
        self,
        item: QueuedRequest,
        choice: Choice,
        now_seconds: float,
    ) -> ev.Dispatch:
        upstream = self._pool.upstreams.get(choice.upstream)
        assert upstream is not None
        attempt_id = f"{item.request_id}.{item.lifecycle.attempts_count + 1}"
        self._queue.remove(item)
        is_rerun = item.lifecycle.run_state >= RunState.MAYBE_RUN
        item.limit_charges = self._pool.limits.note_sent(
            item.limit_charges, is_rerun, now_seconds
        )
        item.lifecycle.start(attempt_id)
        item.needs_budget = False
        item.upstream = upstream.name
        item.incarnation = upstream.incarnation
        item.attempt_software_version = upstream.entry.software_version
        item.sent_at_seconds = now_seconds
        item.delivered_at_seconds = None
        self._request_quarantine.note_sent(item)
        self._pool.rate_limiter.note_sent(upstream, now_seconds)
        upstream.start(
            attempt_id,
            choice.missing_tokens,
            now_seconds,
            is_queue_empty=_measures_prefill_speed(choice),
        )
        self._pool.prefill_isolation.note_sent(
            item.arrival, upstream, choice, now_seconds
        )
        self._note_import(attempt_id, item, choice)
        answer_tokens = self._answers.expect(item.arrival)
        item.charged_tokens = choice.missing_tokens + ANSWER_TOKEN_PRICE * answer_tokens
        self._pool.ledger.charge(item.workspace_path, item.charged_tokens, now_seconds)
        self._admission.note_started(
            item.arrival.workspace, item.expected_tokens, now_seconds
        )
        save_address = ""
        if item.arrival.chain is not None and upstream.cache_generation is not None:
            chain, generation = item.arrival.chain, upstream.cache_generation
            self._pool.caches.note_placed(upstream.name, generation, chain, now_seconds)
            save_address = self._pool.caches.save_address(
                item.arrival.service, upstream, chain, now_seconds
            )
        source = choice.import_source
        return ev.Dispatch(
            request_id=item.request_id,
            attempt_id=attempt_id,
            upstream=upstream.name,
            address=upstream.entry.address,
            incarnation=upstream.cache_generation.incarnation
            if upstream.cache_generation
            else "",
            weights_version=upstream.cache_generation.weights_version
            if upstream.cache_generation
            else 0,
            choice=choice,
            import_address=source.address if source else "",
            save_address=save_address,
            expected_wait_seconds=item.expected_wait_seconds,
            software_version=upstream.entry.software_version,
            version_evidence=item.version_evidence,
        )

    def _note_import(
        self, attempt_id: str, item: QueuedRequest, choice: Choice
    ) -> None:
        if choice.import_source is None or item.arrival.chain is None:
            return
        tokens = choice.imported_tokens or speculative_import_tokens(
            item.arrival.chain, choice.cached_tokens
        )
        transfer = CacheTransfer(choice.import_source.name, choice.upstream, tokens)
        self._pool.cache_transfers.begin(attempt_id, transfer)


def _measures_prefill_speed(choice: Choice) -> bool:
    """Return whether the time to the first token measures the prefill speed."""
    return (
        choice.missing_tokens >= MIN_SAMPLE_TOKENS
        and not choice.imported_tokens
        and choice.prefill_queue_seconds < MAX_EMPTY_QUEUE_SECONDS
    )


def _answer_start_seconds(
    arrival: ev.RequestArrived,
    choice: Choice,
    views: RunnerViews,
    now_seconds: float,
) -> float:
    """Return when the answer starts if the request is sent to its choice now."""
    if arrival.chain is None:
        return now_seconds
    prefill_seconds = chosen_view(choice, views).prefill_seconds(choice.missing_tokens)
    before_seconds = choice.queue_seconds + choice.import_seconds
    return now_seconds + before_seconds + prefill_seconds
