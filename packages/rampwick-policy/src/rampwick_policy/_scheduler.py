"""The request scheduler of one host, which turns events into actions.

The scheduler owns the queue and the state of every request. Its pool holds the state of
upstreams and peers, and its dispatcher assigns requests to upstreams. It does no I/O
and reads no clock: the caller passes each event with the current time and performs the
returned actions in order.
"""

import math
import random
from collections.abc import Callable
from typing import Any

from rampwick_schema import Settings, Summary

from . import _events as ev
from ._admission import Admission
from ._dispatcher import (
    ANSWER_TOKEN_PRICE,
    AnswerEstimates,
    DeadlineUnreachable,
    Dispatcher,
)
from ._early_refusals import EarlyRefusals
from ._errors import LifecycleError
from ._estimate_learning import EstimateLearning
from ._forecasts import Forecasts
from ._intake import Intake
from ._learned_rates import LearnedRates
from ._limit_tracker import LimitTracker
from ._membership import Membership
from ._open_requests import OpenRequests
from ._own_summary import own_summary
from ._placement import CacheAwarePlacement, Placement
from ._plain_shares import PlainShares
from ._pool import Pool, PoolEvent
from ._prefix_cache_index import PrefixCacheIndex
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    ANSWER_TOO_LARGE,
    DEADLINE_PASSED,
    DEADLINE_UNREACHABLE,
    ENDS_UPSTREAMS,
    QUEUE_FULL,
    UPSTREAM_FAILED,
)
from ._refusals import Refusals
from ._request import Outcome, RequestLifecycle, RunState
from ._request_quarantine import RequestQuarantine
from ._retry import RetryBudgets
from ._shares import UsageLedger
from ._shutdown_announcements import Incarnation
from ._software_versions import SoftwareVersions
from ._start_estimates import StartEstimates
from ._suspects import QuarantineState
from ._upstreams import Upstream, UpstreamTable

#: Silence of an attempt from which a failed probe of its upstream ends it: about what a
#: probe waits, so that later data outweighs the probe.
MIN_SILENCE_SECONDS = 0.4

#: Events that can't make a waiting request dispatchable; the next tick follows anyway.
NON_DISPATCHING_EVENTS = (ev.AttemptAccepted, ev.LoadReported, ev.CacheReported)


#: Longest time for which bytes of a crashed upstream may still be on their way.
IN_FLIGHT_SECONDS = 0.25


def _always_silent(attempt_id: str, now_seconds: float) -> float:
    return math.inf


class Scheduler:
    """State machine that queues, dispatches, retries and refuses requests."""

    def __init__(
        self,
        settings: Settings,
        placement: Placement | None = None,
        rng: random.Random | None = None,
        *,
        has_software_versions: bool = False,
    ) -> None:
        self._settings = settings
        self.pool = Pool(settings)
        self.queue = WaitingQueue()
        self.admission = Admission(self.queue, self.ledger, self.peers)
        self.budgets = RetryBudgets(settings.retry)
        self._answers = AnswerEstimates()
        self.quarantine = RequestQuarantine(
            self.pool.state_changes,
            lambda: self.peers.known_hosts_count,
            find_incarnation=self.pool.find_incarnation,
        )
        self._forecasts = Forecasts(
            self.pool.upstreams, self.pool.rate_limiter, self.queue
        )
        rates = LearnedRates()
        estimates = StartEstimates(self.upstreams, self.peers, self.queue, rates)
        self.software_versions = SoftwareVersions(
            self.upstreams, is_enabled=has_software_versions
        )
        self._dispatcher = Dispatcher(
            settings.placement,
            self.pool,
            self.queue,
            self.admission,
            self.budgets,
            self._answers,
            placement
            or CacheAwarePlacement(self.cache_index, settings.placement.import_price),
            self.quarantine,
            self._forecasts,
            PlainShares(
                settings.queue.estimates_start,
                self.upstreams,
                self.queue,
                estimates.peer_queues,
                rates,
            ),
            estimates.peer_queues,
            self.software_versions,
            settings.queue.estimates_start,
        )
        self._intake = Intake(
            settings,
            self.queue,
            self.admission,
            self.limits,
            self._answers,
            self.quarantine,
            self._forecasts,
            rates,
            self.software_versions,
        )
        self._refusals = Refusals(
            settings.retry,
            self.pool,
            self.queue,
            self.admission,
            self.budgets,
            self.quarantine,
        )
        self._requests = OpenRequests(
            self.pool,
            self.queue,
            self.admission,
            self._refusals,
            self.quarantine,
            self.budgets,
        )
        self.early_refusals = EarlyRefusals(
            settings.queue.estimates_start,
            estimates,
            EstimateLearning(estimates, rates, self.queue, self._requests),
            self.queue,
            self._requests,
            self.pool.state_changes,
            # Hosts must not draw the same jitter.
            rng or random.Random(settings.host.name),
        )
        #: Returns for how long the upstream of an attempt has sent nothing.
        self.silent_seconds: Callable[[str, float], float] = _always_silent
        self._handlers: dict[type, Callable[[Any, float], list[ev.Action]]] = {
            ev.RequestArrived: self._on_arrived,
            ev.AttemptAccepted: self._on_accepted,
            ev.AttemptDelivered: self._on_delivered,
            ev.AttemptFailed: self._on_failed,
            ev.AttemptStalled: self._on_stalled,
            ev.AttemptDone: self._on_done,
            ev.RequestCancelled: self._on_cancelled,
            ev.LoadReported: self._on_reported,
            ev.ProbeFailed: self._on_probe_failed,
            ev.HostListRead: self._on_host_list,
            ev.PeerSummaryReceived: self._on_pool_event,
            ev.PeerRemoved: self._on_pool_event,
            ev.WeightsReported: self._on_pool_event,
            ev.WeightsLoadOrdered: self._on_pool_event,
            ev.TargetsReceived: self._on_pool_event,
            ev.CacheReported: self._on_pool_event,
            ev.RateLimitReported: self._on_pool_event,
            ev.BrittlenessReported: self._on_pool_event,
            ev.RateLimitUpdateReceived: self._on_pool_event,
            ev.UpstreamSignalled: self._on_pool_event,
            ev.LeavingUpdateReceived: self._on_pool_event,
            ev.PeersChanged: self._on_pool_event,
            ev.CrashUpdateReceived: self._on_crashes_received,
            ev.TreeChanged: self._on_tree_changed,
            ev.Tick: self._on_tick,
        }

    def handle(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Process one event; return the actions to perform, in order."""
        actions = self._handlers[type(event)](event, now_seconds)
        if self.quarantine.attribute_crashes(now_seconds):
            actions += self._refuse_quarantined(now_seconds)
        self.admission.note_backlog(now_seconds)
        actions += self._dispatch_waiting(event, now_seconds)
        actions += self.early_refusals.apply(event, actions, now_seconds)
        return actions

    @property
    def upstreams(self) -> UpstreamTable:
        """The upstreams that may receive requests."""
        return self.pool.upstreams

    @property
    def peers(self) -> Membership:
        """The other hosts."""
        return self.pool.peers

    def list_peers(self, now_seconds: float) -> tuple[set[str], set[str]]:
        """Return the names of the live peers, and of those that are ready.

        A ready peer has a configuration and does not leave. A summary of several hosts
        does not name them; the hosts of this hall are then taken from its relay's list.
        """
        views = list(self.peers.live(now_seconds))
        single = [view for view in views if view.summary.hosts_count == 1]
        known = {view.name for view in single}
        ready = {
            view.name
            for view in single
            if view.summary.revision and not view.summary.is_leaving
        }
        if len(single) < len(views):
            live_peers = self.pool.rate_limiter.local_view.live_peers
            known |= live_peers.alive
            ready |= live_peers.not_draining
        return known, ready

    @property
    def ledger(self) -> UsageLedger:
        """Usage of the pool by workspace."""
        return self.pool.ledger

    @property
    def limits(self) -> LimitTracker:
        """Token limits, enforced together with the other hosts."""
        return self.pool.limits

    @property
    def cache_index(self) -> PrefixCacheIndex:
        """Estimated contents of the runners' caches."""
        return self.pool.cache_index

    def running_count(self, upstream: Upstream) -> int:
        """Return the number of open attempts at an upstream, including peers'."""
        load = self.peers.load_of(upstream.name, upstream.generation_name)
        return len(upstream.own_attempts) + load.running_count

    def lifecycle(self, request_id: str) -> RequestLifecycle | None:
        """Return the lifecycle of a request that has no final answer yet."""
        item = self._requests.get(request_id)
        return item.lifecycle if item else None

    @property
    def open_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._requests)

    def summary(
        self, sequence: int, revision: int, is_leaving: bool, now_seconds: float
    ) -> Summary:
        """Return the summary for peers; it includes each placement update only once."""
        return own_summary(
            self.pool,
            self.queue,
            sequence,
            revision,
            is_leaving,
            now_seconds,
        )

    def may_give_up(self, request_id: str, now_seconds: float) -> bool:
        """Return whether an attempt may end because its upstream is unresponsive.

        The upstream may still answer, so that another attempt must be possible. Without
        one, a caller that has nothing of the answer yet may try again itself, which
        makes sense only while the upstream is down. Each attempt that may be replaced
        has a retry of the budget reserved.
        """
        item = self._requests.get(request_id)
        if item is None or now_seconds >= item.arrival.deadline_seconds:
            return True
        lifecycle = item.lifecycle
        if lifecycle.may_replace(now_seconds) and self._dispatcher.may_send_again(
            item, self._count_reserved(item), now_seconds
        ):
            item.given_up_attempt_id = lifecycle.attempt_id
            return True
        return not lifecycle.has_delivered and not self.pool.is_in_use(item.upstream)

    def _count_reserved(self, item: QueuedRequest) -> int:
        """Return the retries that other requests of the service are about to use."""
        return sum(
            other.needs_budget
            or (
                other.given_up_attempt_id != ""
                and other.given_up_attempt_id == other.lifecycle.attempt_id
            )
            for other in self._requests
            if other is not item and other.arrival.service == item.arrival.service
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
                    rejection.limit_path,
                    rejection.retry_after_seconds,
                    rejection.evidence,
                )
            ]
        victim = self._intake.evict_for(item)
        if victim is not item:
            # What a caller has a part of goes before what it may begin elsewhere.
            add = self.queue.add_begun if item.has_begun else self.queue.add
            add(item)
        if victim is None:
            return []
        return [self._requests.refuse(victim, QUEUE_FULL, now_seconds, peer="host")]

    def _on_accepted(
        self, event: ev.AttemptAccepted, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.accept(event.attempt_id):
            upstream = self.upstreams.get(item.upstream)
            if upstream is not None:
                upstream.note_accepted(event.attempt_id)
            self.quarantine.note_live(
                item.upstream, item.incarnation, item.sent_at_seconds
            )
        return []

    def _on_delivered(
        self, event: ev.AttemptDelivered, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.deliver(
            event.attempt_id, may_continue=event.may_continue
        ):
            if item.delivered_at_seconds is None:
                item.delivered_at_seconds = now_seconds
            self.software_versions.note_first_event(item, now_seconds)
            upstream = self.upstreams.get(item.upstream)
            self.pool.cache_transfers.end(event.attempt_id)
            if upstream is not None:
                speed = self.upstreams.prefill_speed(upstream.model)
                upstream.note_first_token(event.attempt_id, speed, now_seconds)
        return []

    def _on_failed(
        self, event: ev.AttemptFailed, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.fail(event.attempt_id, event.outcome):
            return []
        if not event.outcome.never_arrived:
            item.has_unused_retry = False
        peer = item.upstream
        item.tried_upstreams.add(peer)
        if event.was_closed and self.upstreams.has_crashed(peer, now_seconds):
            self.quarantine.note_crash(item, now_seconds)
        elif event.outcome.shows_other_generation:
            self.quarantine.note_replaced(item, now_seconds)
        is_quarantined = (
            self.quarantine.quarantine_state(item) is QuarantineState.STOPPED
        )
        actions = self._requests.cancel(item, event)
        self._requests.release(item, event.attempt_id, now_seconds)
        failed = Incarnation(peer, item.incarnation)
        self.pool.note_failure(failed, event, item.sent_at_seconds, now_seconds)
        self._requests.charge_actual(item, 0.0, now_seconds)
        # Another attempt would find even less time left.
        is_unsent = event.outcome is Outcome.UNSENT
        may_retry = item.lifecycle.may_retry(now_seconds) and (
            item.lifecycle.run_state < RunState.MAYBE_RUN
            or self.limits.may_repeat(item.limit_charges, now_seconds)
        )
        # The same answer would be as large from another upstream.
        is_too_large = event.outcome is Outcome.TOO_LARGE
        if is_unsent or is_quarantined or is_too_large or not may_retry:
            reason = ENDS_UPSTREAMS if is_quarantined else UPSTREAM_FAILED
            if is_unsent:
                reason, peer = DEADLINE_PASSED, ""
            elif is_too_large and not is_quarantined:
                reason = ANSWER_TOO_LARGE
            elif event.outcome is Outcome.EXPIRED and not is_quarantined:
                reason = DEADLINE_PASSED
            refusal = self._requests.refuse(item, reason, now_seconds, peer=peer)
            return [*actions, refusal]
        item.needs_budget = self.budgets.is_charged(event.outcome)
        self.queue.add_first(item)
        return actions

    def _on_done(self, event: ev.AttemptDone, now_seconds: float) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.finish(event.attempt_id):
            return []
        upstream = self.upstreams.get(item.upstream)
        if event.last_bytes_at_seconds is not None:
            # A crash ends all connections of an upstream at once.
            self.quarantine.note_live(
                item.upstream,
                item.incarnation,
                event.last_bytes_at_seconds - IN_FLIGHT_SECONDS,
            )
        self.quarantine.note_answered(item, event, now_seconds)
        self._requests.release(item, event.attempt_id, now_seconds)
        if upstream is not None and event.connection_idle_seconds > 0.0:
            upstream.note_idle_connection(now_seconds + event.connection_idle_seconds)
        self._requests.remove(item)
        chain = item.arrival.chain
        if chain is None:
            return []
        missing = max(0, event.prompt_tokens - event.cached_tokens)
        self._requests.charge_actual(
            item, missing + ANSWER_TOKEN_PRICE * event.answer_tokens, now_seconds
        )
        self._answers.record(item.workspace_path, event.answer_tokens)
        if upstream is not None and upstream.cache_generation is not None:
            self.pool.caches.note_answer(
                upstream.name, upstream.cache_generation, chain, event
            )
        return []

    def _on_cancelled(
        self, event: ev.RequestCancelled, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.end():
            return []
        return self._requests.drop(item, now_seconds, event.may_have_arrived)

    def _on_stalled(
        self, event: ev.AttemptStalled, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.attempt_id == event.attempt_id:
            item.stalled_attempt_id = event.attempt_id
            self.pool.note_stalled_upstream(item.upstream, now_seconds)
        return []

    def _on_probe_failed(
        self, event: ev.ProbeFailed, now_seconds: float
    ) -> list[ev.Action]:
        """Mark an upstream as down, and fail its attempts that may be repeated."""
        if self.pool.is_outdated(event):
            return []
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None and not event.is_connected:
            self.quarantine.note_unreachable(upstream.name, upstream.incarnation)
        if self.pool.may_be_silent(event, now_seconds):
            return []
        if self._is_sending(event.upstream, now_seconds):
            # It gets no new requests until a probe succeeds.
            self.pool.suspect(event.upstream, now_seconds)
        else:
            self.pool.handle(event, now_seconds)
        return self._fail_attempts(event.upstream, event.message, now_seconds)

    def _is_sending(self, upstream: str, now_seconds: float) -> bool:
        """Return whether any attempt at an upstream got data very recently."""
        return any(
            self.silent_seconds(item.lifecycle.attempt_id, now_seconds)
            < MIN_SILENCE_SECONDS
            for item in self._requests
            if item.upstream == upstream
        )

    def _fail_attempts(
        self,
        upstream: str,
        message: str,
        now_seconds: float,
        *,
        only_stalled: bool = False,
    ) -> list[ev.Action]:
        """Fail the silent attempts at an upstream that may be repeated."""
        actions: list[ev.Action] = []
        for item in self._requests:
            attempt_id = item.lifecycle.attempt_id
            if item.upstream != upstream or not item.lifecycle.is_repeatable:
                continue
            if only_stalled and item.stalled_attempt_id != attempt_id:
                continue
            if self.silent_seconds(attempt_id, now_seconds) < MIN_SILENCE_SECONDS:
                continue
            if item.lifecycle.has_delivered and not self.may_give_up(
                item.request_id, now_seconds
            ):
                continue
            failed = ev.AttemptFailed(
                item.request_id, attempt_id, Outcome.BROKEN, message
            )
            self.pool.state_changes.note_end(
                "attempt", attempt_id, f"at {upstream}", "abandoned", message
            )
            actions += self._on_failed(failed, now_seconds)
        return actions

    # Upstreams and peers.

    def _on_pool_event(self, event: PoolEvent, now_seconds: float) -> list[ev.Action]:
        self.pool.handle(event, now_seconds)
        return []

    def _on_host_list(
        self, event: ev.HostListRead, now_seconds: float
    ) -> list[ev.Action]:
        self.software_versions.note_listed(now_seconds)
        self.pool.handle(event, now_seconds)
        self.software_versions.note_listed(now_seconds)
        return []

    def _on_reported(
        self, event: ev.LoadReported, now_seconds: float
    ) -> list[ev.Action]:
        if self.pool.is_outdated(event):
            return []
        before = self.pool.paths.path(event.upstream)
        self.pool.handle(event, now_seconds)
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            if event.report is None or event.report.is_identified:
                self.quarantine.note_live(
                    upstream.name, upstream.incarnation, upstream.probed_at_seconds
                )
            self.quarantine.note_writing(
                (item for item in self._requests if item.upstream == upstream.name),
                upstream.incarnation,
                upstream.probed_at_seconds,
            )
        if before is event.path:
            return []
        # Those without an answer were sent over a link that has failed.
        return self._fail_attempts(
            event.upstream, "its path failed", now_seconds, only_stalled=True
        )

    # Crash updates, changes of the tree and time.

    def _on_crashes_received(
        self, event: ev.CrashUpdateReceived, now_seconds: float
    ) -> list[ev.Action]:
        if self.quarantine.receive_update(event.update, now_seconds):
            return self._refuse_quarantined(now_seconds)
        return []

    def _refuse_quarantined(self, now_seconds: float) -> list[ev.Action]:
        """Refuse quarantined requests, queued or under way.

        A request crashes its upstream as the answer begins, so that those with a part
        of their answers may complete. That ends a wrong quarantine.
        """
        actions: list[ev.Action] = []
        for item in self._requests:
            if item.lifecycle.attempt_id and item.lifecycle.has_delivered:
                continue
            if self.quarantine.quarantine_state(item) is QuarantineState.STOPPED:
                self.quarantine.note_refused(item, now_seconds)
                actions += self._requests.abort(item, ENDS_UPSTREAMS, now_seconds)
        return actions

    def _on_tree_changed(
        self, event: ev.TreeChanged, now_seconds: float
    ) -> list[ev.Action]:
        self.admission.workspaces = event.view.workspaces
        self.limits.apply(event.view.workspaces, now_seconds)
        self.pool.imports.apply(event.view.routes)
        self.pool.prefill_isolation.apply_routing(event.view.routes.routing)
        services = event.view.routes.routing.services
        self.pool.services = frozenset(service.name for service in services)
        return []

    def _on_tick(self, event: ev.Tick, now_seconds: float) -> list[ev.Action]:
        self.software_versions.note_time(now_seconds)
        self.pool.expire_peers(now_seconds)
        self.pool.update_limit_states(now_seconds)
        self.pool.expire_pauses(now_seconds)
        self.quarantine.tracker.sweep(now_seconds)
        actions: list[ev.Action] = []
        for item in self._requests:
            actions += self._abort_if_overdue(item, now_seconds)
        if self._forecasts.is_needed:
            actions += self._requests.refuse_unsendable(self._forecasts, now_seconds)
        return actions

    def _abort_if_overdue(
        self, item: QueuedRequest, now_seconds: float
    ) -> list[ev.Action]:
        reason = self._refusals.find_reason(item, now_seconds)
        return self._requests.abort(item, reason, now_seconds) if reason else []

    def _dispatch_waiting(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Dispatch requests that may be sent now; refuse those that are too late."""
        if not len(self.queue) or isinstance(event, NON_DISPATCHING_EVENTS):
            return []
        # Requests that waited before an arrival could not be dispatched then, and the
        # arrival changes only the queue of its own workspace.
        only_path = ""
        if isinstance(event, ev.RequestArrived):
            if self._requests.get(event.request_id) is None:
                # It was refused, so that nothing changed for the others.
                return []
            only_path = event.workspace.path
        # Each tick runs a full pass, since time alone changes what a pass marks.
        elif not isinstance(event, ev.Tick) and self._dispatcher.has_no_capacity(
            now_seconds
        ):
            return []
        actions: list[ev.Action] = []
        while decision := self._dispatcher.next_decision(only_path, now_seconds):
            if isinstance(decision, DeadlineUnreachable):
                refusal = self._requests.refuse(
                    decision.item, DEADLINE_UNREACHABLE, now_seconds
                )
                actions.append(refusal)
            else:
                actions.append(decision)
        return actions
