"""The decisions of one host: events in, actions out.

The scheduler owns the queue and the state of every request; what it knows of upstreams
and peers is in its pool, and its dispatcher chooses who goes where. It does no I/O and
reads no clock. Whoever drives it hands it each event with the present time and carries
out the actions it returns, in their order.
"""

from collections.abc import Callable
from typing import Any

from rampwick_schema import Settings, Summary

from . import _events as ev
from ._admission import Admission
from ._blame import Suspicion
from ._departures import Incarnation
from ._dispatcher import (
    ANSWER_TOKEN_PRICE,
    AnswerEstimates,
    Dispatcher,
    Hopeless,
)
from ._errors import LifecycleError
from ._forecasts import Forecasts
from ._intake import Intake
from ._knowledge import CacheKnowledge
from ._limit_tracker import LimitTracker
from ._membership import Membership
from ._open_requests import OpenRequests
from ._own_summary import own_summary
from ._placement import Placement, PricedKnowledge
from ._pool import Pool, PoolEvent
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    DEADLINE_UNREACHABLE,
    ENDS_UPSTREAMS,
    QUEUE_FULL,
    UPSTREAM_FAILED,
)
from ._refusals import Refusals
from ._request import Outcome, RequestLifecycle
from ._retry import RetryBudgets
from ._shares import ShareLedger
from ._suspects import Suspects
from ._upstreams import Upstream, UpstreamTable

#: Events after which nothing that waits can go any sooner; ticks come anyway.
QUIET_EVENTS = (ev.AttemptAccepted, ev.LoadReported, ev.CacheSeen)


class Scheduler:
    """State machine of one host's decisions."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement | None = None,
    ) -> None:
        self._settings = settings
        self.pool = Pool(settings)
        self.queue = WaitingQueue()
        self.admission = Admission(self.queue, self.ledger, self.peers)
        self.budgets = RetryBudgets(settings.retry)
        self._answers = AnswerEstimates()
        self.suspects = Suspects(self.pool.state_changes)
        self._forecasts = Forecasts(self.pool.upstreams, self.pool.turns, self.queue)
        self._dispatcher = Dispatcher(
            settings.placement,
            self.pool,
            self.queue,
            self.admission,
            self.budgets,
            self._answers,
            placement
            or PricedKnowledge(self.knowledge, settings.placement.import_price),
            self.suspects,
            self._forecasts,
        )
        self._intake = Intake(
            settings,
            self.queue,
            self.admission,
            self.limits,
            self._answers,
            self.suspects,
            self._forecasts,
        )
        self._refusals = Refusals(
            settings.retry,
            self.pool,
            self.queue,
            self.admission,
            self.budgets,
            self.suspects,
        )
        self._requests = OpenRequests(
            self.pool, self.queue, self.admission, self._refusals, self.suspects
        )
        self._handlers: dict[type, Callable[[Any, float], list[ev.Action]]] = {
            ev.RequestArrived: self._on_arrived,
            ev.AttemptAccepted: self._on_accepted,
            ev.AttemptDelivered: self._on_delivered,
            ev.AttemptFailed: self._on_failed,
            ev.AttemptSilent: self._on_silent,
            ev.AttemptDone: self._on_done,
            ev.RequestCancelled: self._on_cancelled,
            ev.LoadReported: self._on_reported,
            ev.ProbeFailed: self._on_probe_failed,
            ev.HostListRead: self._on_pool_event,
            ev.PeerSummaryReceived: self._on_pool_event,
            ev.PeerGone: self._on_pool_event,
            ev.WeightsSeen: self._on_pool_event,
            ev.LoadOrdered: self._on_pool_event,
            ev.TargetsRead: self._on_pool_event,
            ev.CacheSeen: self._on_pool_event,
            ev.RateNamed: self._on_pool_event,
            ev.RateLimitUpdateReceived: self._on_pool_event,
            ev.UpstreamSignalled: self._on_pool_event,
            ev.LeavingUpdateReceived: self._on_pool_event,
            ev.NeighboursSeen: self._on_pool_event,
            ev.CrashUpdateReceived: self._on_crashes_received,
            ev.TreeInForce: self._on_tree,
            ev.Tick: self._on_tick,
        }

    def handle(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Take one event; return what is to be done, in order."""
        actions = self._handlers[type(event)](event, now_seconds)
        if self.suspects.judge(now_seconds):
            actions += self._stop_suspects(now_seconds)
        self.admission.note_queue(now_seconds)
        actions += self._fill(event, now_seconds)
        return actions

    @property
    def upstreams(self) -> UpstreamTable:
        """The upstreams that may be given work."""
        return self.pool.upstreams

    @property
    def peers(self) -> Membership:
        """The other hosts."""
        return self.pool.peers

    @property
    def ledger(self) -> ShareLedger:
        """Use of the pool by workspace."""
        return self.pool.ledger

    @property
    def limits(self) -> LimitTracker:
        """Limits in tokens, kept with the other hosts."""
        return self.pool.limits

    @property
    def knowledge(self) -> CacheKnowledge:
        """What the runners' caches are believed to hold."""
        return self.pool.knowledge

    def running_count(self, upstream: Upstream) -> int:
        """Return the attempts open at an upstream, those of peers included."""
        load = self.peers.load_of(upstream.name, upstream.life_name)
        return len(upstream.own_attempts) + load.running_count

    def lifecycle(self, request_id: str) -> RequestLifecycle | None:
        """Return the state of a request that has no final answer yet."""
        item = self._requests.get(request_id)
        return item.lifecycle if item else None

    @property
    def open_count(self) -> int:
        """Requests without a final answer."""
        return len(self._requests)

    def summary(
        self, sequence: int, revision: int, is_leaving: bool, now_seconds: float
    ) -> Summary:
        """Return what peers are told; updates of placements are sent once."""
        return own_summary(
            self.pool,
            self.queue.service_counts(),
            sequence,
            revision,
            is_leaving,
            now_seconds,
        )

    # Requests.

    def _on_arrived(
        self, event: ev.RequestArrived, now_seconds: float
    ) -> list[ev.Action]:
        if self._requests.get(event.request_id) is not None:
            raise LifecycleError(f"{event.request_id} arrived twice", step="arrive")
        self.budgets.of(event.service, self.peers.known_hosts_count).earn()
        item = self._intake.new_item(event, now_seconds)
        self._requests.add(item)
        rejection = self._intake.check(item, now_seconds)
        if rejection is not None:
            return [
                self._requests.refuse(
                    item,
                    rejection.reason,
                    now_seconds,
                    rejection.peer,
                    rejection.retry_after_seconds,
                )
            ]
        victim = self._intake.make_way(item)
        if victim is not item:
            self.queue.add(item)
        if victim is None:
            return []
        return [self._requests.refuse(victim, QUEUE_FULL, now_seconds, peer="host")]

    def _on_accepted(
        self, event: ev.AttemptAccepted, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.accept(event.attempt_id):
            self.suspects.note_live(
                item.upstream, item.incarnation, item.sent_at_seconds
            )
        return []

    def _on_delivered(
        self, event: ev.AttemptDelivered, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.deliver(event.attempt_id):
            upstream = self.upstreams.get(item.upstream)
            self.pool.moves.end(event.attempt_id)
            if upstream is not None:
                speed = self.upstreams.reading_speed(upstream.model)
                upstream.note_first_token(event.attempt_id, speed, now_seconds)
        return []

    def _on_failed(
        self, event: ev.AttemptFailed, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.fail(event.attempt_id, event.outcome):
            return []
        peer = item.upstream
        item.tried.add(peer)
        if event.was_closed and self.upstreams.has_ended(peer, now_seconds):
            self.suspects.note_end(item, now_seconds)
        actions = self._requests.cancel(item, event)
        self._requests.release(item, event.attempt_id, now_seconds)
        failed = Incarnation(peer, item.incarnation)
        self.pool.note_failure(failed, event, now_seconds)
        self._requests.settle(item, 0.0, now_seconds)
        if not item.lifecycle.may_retry(now_seconds):
            refusal = self._requests.refuse(
                item, UPSTREAM_FAILED, now_seconds, peer=peer
            )
            return [*actions, refusal]
        item.needs_budget = self.budgets.is_charged(event.outcome)
        self.queue.add_first(item)
        return actions

    def _on_done(self, event: ev.AttemptDone, now_seconds: float) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.finish(event.attempt_id):
            return []
        upstream = self.upstreams.get(item.upstream)
        self._requests.release(item, event.attempt_id, now_seconds)
        self.suspects.note_answered(item, now_seconds)
        if upstream is not None and event.connection_rest_seconds > 0.0:
            upstream.keep_connection(now_seconds + event.connection_rest_seconds)
        self._requests.remove(item)
        chain = item.arrival.chain
        if chain is None:
            return []
        missing = max(0, event.prompt_tokens - event.cached_tokens)
        self._requests.settle(
            item, missing + ANSWER_TOKEN_PRICE * event.answer_tokens, now_seconds
        )
        self._answers.learn(item.workspace_path, event.answer_tokens)
        if upstream is not None and upstream.life is not None:
            self.pool.caches.note_answer(upstream.name, upstream.life, chain, event)
        return []

    def _on_cancelled(
        self, event: ev.RequestCancelled, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.end():
            return []
        return self._requests.drop(item, now_seconds)

    def _on_silent(
        self, event: ev.AttemptSilent, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.attempt_id == event.attempt_id:
            self.pool.note_silent(item.upstream, now_seconds)
        return []

    def _on_probe_failed(
        self, event: ev.ProbeFailed, now_seconds: float
    ) -> list[ev.Action]:
        """Take an upstream down, and what may be repeated away from it."""
        self.pool.hear(event, now_seconds)
        actions: list[ev.Action] = []
        for item in self._requests:
            if item.upstream == event.upstream and item.lifecycle.is_repeatable:
                failed = ev.AttemptFailed(
                    item.request_id,
                    item.lifecycle.attempt_id,
                    Outcome.BROKEN,
                    event.message,
                )
                actions += self._on_failed(failed, now_seconds)
        return actions

    # Reports of others, and time.

    def _on_pool_event(self, event: PoolEvent, now_seconds: float) -> list[ev.Action]:
        self.pool.hear(event, now_seconds)
        return []

    def _on_reported(
        self, event: ev.LoadReported, now_seconds: float
    ) -> list[ev.Action]:
        self.pool.hear(event, now_seconds)
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            self.suspects.note_live(
                upstream.name, upstream.incarnation, upstream.probed_at_seconds
            )
        return []

    # Requests that upstreams end under.

    def _on_crashes_received(
        self, event: ev.CrashUpdateReceived, now_seconds: float
    ) -> list[ev.Action]:
        if self.suspects.hear(event.update, now_seconds):
            return self._stop_suspects(now_seconds)
        return []

    def _stop_suspects(self, now_seconds: float) -> list[ev.Action]:
        """Refuse what is stopped, be it waiting or under way."""
        actions: list[ev.Action] = []
        for item in self._requests:
            if self.suspects.suspicion(item) is Suspicion.STOPPED:
                self.suspects.note_refused(item, now_seconds)
                actions += self._requests.give_up(item, ENDS_UPSTREAMS, now_seconds)
        return actions

    def _on_tree(self, event: ev.TreeInForce, now_seconds: float) -> list[ev.Action]:
        self.admission.workspaces = event.view.workspaces
        self.limits.apply(event.view.workspaces, now_seconds)
        self.pool.imports.apply(event.view.routes)
        services = event.view.routes.routing.services
        self.pool.services = frozenset(service.name for service in services)
        return []

    def _on_tick(self, event: ev.Tick, now_seconds: float) -> list[ev.Action]:
        self.pool.expire_peers(now_seconds)
        self.pool.look_at_limits(now_seconds)
        self.pool.end_pauses(now_seconds)
        self.suspects.book.sweep(now_seconds)
        actions: list[ev.Action] = []
        for item in self._requests:
            actions += self._check_hope(item, now_seconds)
        if self._forecasts.is_needed:
            actions += self._requests.refuse_unsendable(self._forecasts, now_seconds)
        return actions

    def _check_hope(self, item: QueuedRequest, now_seconds: float) -> list[ev.Action]:
        reason = self._refusals.find_reason(item, now_seconds)
        return self._requests.give_up(item, reason, now_seconds) if reason else []

    def _fill(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Dispatch what may go now, and refuse what can't be served in time."""
        if not len(self.queue) or isinstance(event, QUIET_EVENTS):
            return []
        # What waited before an arrival was found blocked then; only its own line
        # can have something new.
        only_path = ""
        if isinstance(event, ev.RequestArrived):
            only_path = event.workspace.path
        actions: list[ev.Action] = []
        while decision := self._dispatcher.next_decision(only_path, now_seconds):
            if isinstance(decision, Hopeless):
                refusal = self._requests.refuse(
                    decision.item, DEADLINE_UNREACHABLE, now_seconds
                )
                actions.append(refusal)
            else:
                actions.append(decision)
        return actions
