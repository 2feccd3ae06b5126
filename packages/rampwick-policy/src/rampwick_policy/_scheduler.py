"""The decisions of one host: events in, actions out.

The scheduler owns the queue, the view of upstreams and peers, and the state of every
request. It does no I/O and reads no clock. Whoever drives it hands it each event
with the present time and carries out the actions it returns, in their order.
"""

import random
from collections.abc import Callable
from typing import Any

from rampwick_schema import HostList, Settings, Summary, UpstreamUsage, WorkspaceUsage

from . import _events as ev
from ._admission import Admission
from ._errors import LifecycleError
from ._knowledge import CacheKnowledge, Life
from ._membership import Membership
from ._placement import Choice, LeastLoaded, Placement, PricedKnowledge, RunnerView
from ._pooling import PlacementPool
from ._prefix import PrefixChain
from ._queue import QueuedRequest, WaitingQueue
from ._request import Outcome, RequestLifecycle, RunState
from ._retry import RetryBudget
from ._room import Room
from ._shares import ShareLedger, Standing
from ._tree import Workspace
from ._upstreams import Upstream, UpstreamTable

#: What an answer token costs in prompt tokens: it holds a slot for a whole step.
ANSWER_TOKEN_PRICE = 4.0

#: Answer tokens assumed for a workspace before it has had an answer.
FIRST_ANSWER_TOKENS = 64.0
ANSWER_SMOOTHING = 0.1

#: Requests of one workspace that are tried for a free runner in one go.
LOOKAHEAD_COUNT = 4

#: Wait after which a request pays half the price to have its prefix cached.
PATIENCE_SECONDS = 2.0

#: Wait for an upstream to come back before a request is given up.
STRANDED_SECONDS = 2.0

#: Longest time that a busy upstream is left alone.
MAX_BUSY_SECONDS = 1.0

#: Events after which nothing that waits can go any sooner; ticks come anyway.
QUIET_EVENTS = (ev.AttemptAccepted, ev.LoadReported)

#: Reasons of refusals.
QUEUE_FULL = "queue_full"
DEADLINE_UNREACHABLE = "deadline_unreachable"
DEADLINE_PASSED = "deadline_passed"
NO_UPSTREAM = "no_upstream"
UPSTREAM_FAILED = "upstream_failed"


class Scheduler:
    """State machine of one host's decisions."""

    def __init__(
        self,
        settings: Settings,
        draw: random.Random,
        placement: Placement | None = None,
    ) -> None:
        self._settings = settings
        self._draw = draw
        self.knowledge = CacheKnowledge(settings.placement.known_blocks_count)
        self.peers = Membership(settings.peers.dead_after_seconds)
        self.ledger = ShareLedger(settings.queue.usage_decay_seconds)
        self.queue = WaitingQueue()
        self.admission = Admission(self.queue, self.ledger, self.peers)
        self.budget = RetryBudget(settings.retry.budget_ratio)
        self.upstreams = UpstreamTable(
            settings.host.hall,
            settings.retry,
            settings.placement,
            settings.queue.slots_factor,
        )
        self._pool = PlacementPool()
        self._placement = placement or PricedKnowledge(self.knowledge)
        self._service_placement = LeastLoaded()
        self._requests: dict[str, QueuedRequest] = {}
        self._answer_tokens: dict[str, float] = {}
        self._handlers: dict[type, Callable[[Any, float], list[ev.Action]]] = {
            ev.RequestArrived: self._on_arrived,
            ev.AttemptAccepted: self._on_accepted,
            ev.AttemptDelivered: self._on_delivered,
            ev.AttemptFailed: self._on_failed,
            ev.AttemptDone: self._on_done,
            ev.RequestCancelled: self._on_cancelled,
            ev.LoadReported: self._on_report,
            ev.ProbeFailed: self._on_probe_failed,
            ev.HostListRead: self._on_host_list,
            ev.PeerHeard: self._on_peer,
            ev.TreeInForce: self._on_tree,
            ev.Tick: self._on_tick,
        }

    def handle(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Take one event; return what is to be done, in order."""
        actions = self._handlers[type(event)](event, now_seconds)
        self.admission.note_queue(now_seconds)
        actions += self._fill(event, now_seconds)
        return actions

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
        """Return what peers are told; the news of placements are told once."""
        return Summary(
            sequence=sequence,
            revision=revision,
            host_list_version=self.upstreams.list_version,
            is_leaving=is_leaving,
            workspaces=self._workspace_usages(now_seconds),
            upstreams=self._upstream_usages(),
            placed=self._pool.take(),
        )

    def _workspace_usages(self, now_seconds: float) -> list[WorkspaceUsage]:
        used = self.ledger.own_use(now_seconds)
        waiting = self.queue.counts()
        return [
            WorkspaceUsage(
                workspace=path,
                used_tokens=round(used.get(path, 0.0), 1),
                waiting_count=waiting.get(path, 0),
            )
            for path in sorted(used.keys() | waiting.keys())
        ]

    def _upstream_usages(self) -> list[UpstreamUsage]:
        return [
            UpstreamUsage(
                upstream=upstream.name,
                incarnation=upstream.life_name,
                running_count=len(upstream.own_attempts),
                waiting_tokens=sum(upstream.own_attempts.values()),
            )
            for upstream in self.upstreams
            if upstream.own_attempts
        ]

    # Requests.

    def _on_arrived(
        self, event: ev.RequestArrived, now_seconds: float
    ) -> list[ev.Action]:
        if event.request_id in self._requests:
            raise LifecycleError(f"{event.request_id} arrived twice", step="arrive")
        self.budget.earn()
        workspace = event.workspace
        wait_seconds = self.admission.wait_seconds(workspace, now_seconds)
        item = self._new_item(event, now_seconds)
        self._requests[event.request_id] = item
        full = self.admission.full_limit(workspace)
        if full:
            return [self._refuse(item, QUEUE_FULL, now_seconds, peer=full)]
        if now_seconds + wait_seconds > event.deadline_seconds:
            return [self._refuse(item, DEADLINE_UNREACHABLE, now_seconds)]
        actions = self._make_way(item, now_seconds)
        if not item.lifecycle.has_ended:
            self.queue.add(item)
        return actions

    def _make_way(self, item: QueuedRequest, now_seconds: float) -> list[ev.Action]:
        """Refuse one request if the host's queue is full, of whoever fills it most."""
        if len(self.queue) < self._settings.queue.max_waiting_count:
            return []
        victim = self.queue.last_of_longest(other_than=item.workspace_path) or item
        if victim is not item:
            self.queue.remove(victim)
        return [self._refuse(victim, QUEUE_FULL, now_seconds, peer="host")]

    def _new_item(self, event: ev.RequestArrived, now_seconds: float) -> QueuedRequest:
        lifecycle = RequestLifecycle(
            request_id=event.request_id,
            deadline_seconds=event.deadline_seconds,
            is_repeatable=event.is_repeatable,
            max_attempts_count=self._settings.retry.max_attempts_count,
        )
        prompt_tokens = event.chain.total_tokens if event.chain else 0
        answer_tokens = self._expected_answer_tokens(event)
        return QueuedRequest(
            arrival=event,
            lifecycle=lifecycle,
            arrived_at_seconds=now_seconds,
            expected_tokens=prompt_tokens + ANSWER_TOKEN_PRICE * answer_tokens,
        )

    def _expected_answer_tokens(self, event: ev.RequestArrived) -> float:
        if event.chain is None:
            return 1.0
        learned = self._answer_tokens.get(event.workspace.path, FIRST_ANSWER_TOKENS)
        return min(learned, event.max_answer_tokens or learned)

    def _on_accepted(
        self, event: ev.AttemptAccepted, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None:
            item.lifecycle.accept(event.attempt_id)
        return []

    def _on_delivered(
        self, event: ev.AttemptDelivered, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is not None and item.lifecycle.deliver(event.attempt_id):
            upstream = self.upstreams.get(item.upstream)
            if upstream is not None:
                upstream.note_first_token(event.attempt_id)
        return []

    def _on_failed(
        self, event: ev.AttemptFailed, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.fail(event.attempt_id, event.outcome):
            return []
        peer = item.upstream
        actions = self._stop_attempt(item, event)
        self._release(item, event.attempt_id, now_seconds)
        self._note_outcome(peer, event, now_seconds)
        self._settle(item, 0.0, now_seconds)
        if not item.lifecycle.may_retry(now_seconds):
            refusal = self._refuse(item, UPSTREAM_FAILED, now_seconds, peer=peer)
            return [*actions, refusal]
        # An attempt that surely did not run cost the fleet nothing to speak of.
        item.needs_budget = not event.outcome.proves_not_run
        self.queue.add_first(item)
        return actions

    def _stop_attempt(
        self, item: QueuedRequest, event: ev.AttemptFailed
    ) -> list[ev.Action]:
        upstream = self.upstreams.get(item.upstream)
        if upstream is None or event.outcome.proves_not_run:
            return []
        address = upstream.entry.address
        return [
            ev.CancelAttempt(event.request_id, event.attempt_id, upstream.name, address)
        ]

    def _note_outcome(
        self, name: str, event: ev.AttemptFailed, now_seconds: float
    ) -> None:
        upstream = self.upstreams.get(name)
        if upstream is None:
            return
        if event.outcome.is_ill_health:
            self._take_down(upstream, event.message, now_seconds)
        elif event.outcome is Outcome.STALE:
            # The next probe says which life it is now.
            upstream.life = None
        elif event.outcome is Outcome.BUSY:
            asked = event.retry_after_seconds or MAX_BUSY_SECONDS
            upstream.busy_until_seconds = now_seconds + min(asked, MAX_BUSY_SECONDS)

    def _take_down(self, upstream: Upstream, error: str, now_seconds: float) -> None:
        upstream.health.note_failure(error, now_seconds)
        # Nothing is known of the engine until it reports a life again; if it is
        # the old one, what it holds is still good.
        upstream.life = None

    def _on_done(self, event: ev.AttemptDone, now_seconds: float) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.finish(event.attempt_id):
            return []
        upstream = self.upstreams.get(item.upstream)
        self._release(item, event.attempt_id, now_seconds)
        del self._requests[event.request_id]
        chain = item.arrival.chain
        if chain is None:
            return []
        missing = max(0, event.prompt_tokens - event.cached_tokens)
        self._settle(
            item, missing + ANSWER_TOKEN_PRICE * event.answer_tokens, now_seconds
        )
        self._learn_answer_tokens(item.workspace_path, event.answer_tokens)
        if upstream is not None and upstream.life is not None:
            self._learn_cache(upstream.name, upstream.life, chain, event)
        return []

    def _learn_cache(
        self, name: str, life: Life, chain: PrefixChain, event: ev.AttemptDone
    ) -> None:
        # An engine counts by its own tokens: compare as a share of the prompt.
        if not event.prompt_tokens:
            return
        ratio = event.cached_tokens / event.prompt_tokens
        if ratio == 0.0:
            # Nothing at all was held: what was believed of shallow levels is wrong
            # for this runner, but the prompt itself is there now.
            self.knowledge.correct(name, life, chain, 0)
        self.knowledge.note_prompt(name, life, chain)

    def _learn_answer_tokens(self, path: str, tokens: int) -> None:
        known = self._answer_tokens.get(path, FIRST_ANSWER_TOKENS)
        self._answer_tokens[path] = known + ANSWER_SMOOTHING * (tokens - known)

    def _on_cancelled(
        self, event: ev.RequestCancelled, now_seconds: float
    ) -> list[ev.Action]:
        item = self._requests.get(event.request_id)
        if item is None or not item.lifecycle.end():
            return []
        return self._drop(item, now_seconds)

    def _drop(self, item: QueuedRequest, now_seconds: float) -> list[ev.Action]:
        del self._requests[item.request_id]
        attempt_id = item.lifecycle.attempt_id
        if not attempt_id:
            self.queue.remove(item)
            return []
        upstream = self.upstreams.get(item.upstream)
        self._release(item, attempt_id, now_seconds)
        if upstream is None:
            return []
        address = upstream.entry.address
        return [ev.CancelAttempt(item.request_id, attempt_id, upstream.name, address)]

    def _refuse(
        self, item: QueuedRequest, reason: str, now_seconds: float, peer: str = ""
    ) -> ev.Refuse:
        # The item is in no line here; the caller gets its one final answer at once.
        item.lifecycle.end()
        self._requests.pop(item.request_id, None)
        return ev.Refuse(
            request_id=item.request_id,
            reason=reason,
            run_state=item.lifecycle.run_state,
            retry_after_seconds=self._retry_after_seconds(item, reason, now_seconds),
            peer=peer,
        )

    def _retry_after_seconds(
        self, item: QueuedRequest, reason: str, now_seconds: float
    ) -> float | None:
        may_ask_again = (
            item.arrival.is_repeatable or item.lifecycle.run_state <= RunState.REFUSED
        )
        if not may_ask_again:
            return None
        return self.admission.retry_after_seconds(item.arrival.workspace, now_seconds)

    # Upstreams, peers and configuration.

    def _on_report(self, event: ev.LoadReported, now_seconds: float) -> list[ev.Action]:
        upstream = self.upstreams.get(event.upstream)
        if upstream is None:
            return []
        is_same_life = True
        if event.report is not None:
            is_same_life = not self.upstreams.note_report(upstream, event.report)
            assert upstream.life is not None
            self.knowledge.observe_life(
                upstream.name, upstream.life, event.report.cache_tokens
            )
        upstream.health.note_probe(is_same_life, now_seconds)
        return []

    def _on_probe_failed(
        self, event: ev.ProbeFailed, now_seconds: float
    ) -> list[ev.Action]:
        upstream = self.upstreams.get(event.upstream)
        if upstream is not None:
            self._take_down(upstream, event.message, now_seconds)
        return []

    def _on_host_list(
        self, event: ev.HostListRead, now_seconds: float
    ) -> list[ev.Action]:
        for name in self.upstreams.apply_list(_sorted(event.host_list)):
            self.knowledge.forget(name)
        return []

    def _on_peer(self, event: ev.PeerHeard, now_seconds: float) -> list[ev.Action]:
        is_news = self.peers.hear(
            event.name, event.hall, event.incarnation, event.summary, now_seconds
        )
        if is_news:
            self.ledger.hear(event.name, event.summary.workspaces, now_seconds)
            for placed in event.summary.placed:
                self.knowledge.note_reported(placed)
        return []

    def _on_tree(self, event: ev.TreeInForce, now_seconds: float) -> list[ev.Action]:
        self.admission.workspaces = event.view.workspaces
        return []

    def _on_tick(self, event: ev.Tick, now_seconds: float) -> list[ev.Action]:
        self.peers.expire(now_seconds)
        actions: list[ev.Action] = []
        for item in list(self._requests.values()):
            actions += self._check_hope(item, now_seconds)
        return actions

    def _check_hope(self, item: QueuedRequest, now_seconds: float) -> list[ev.Action]:
        if item.lifecycle.has_delivered:
            return []
        is_late = now_seconds >= item.arrival.deadline_seconds
        is_stranded = (
            item.stranded_at_seconds is not None
            and now_seconds - item.stranded_at_seconds > STRANDED_SECONDS
        )
        if not is_late and not is_stranded:
            return []
        reason = DEADLINE_PASSED if is_late else NO_UPSTREAM
        dropped = self._drop(item, now_seconds)
        if dropped and item.lifecycle.run_state < RunState.MAYBE_RUN:
            # Under way and unanswered: nobody knows whether it ran.
            item.lifecycle.run_state = RunState.MAYBE_RUN
        return [*dropped, self._refuse(item, reason, now_seconds)]

    # Dispatching.

    def _fill(self, event: ev.Event, now_seconds: float) -> list[ev.Action]:
        """Dispatch what may go now, in the order of classes and shares."""
        if not len(self.queue) or isinstance(event, QUIET_EVENTS):
            return []
        # What waited before an arrival was found blocked then; only its own line
        # can have something new.
        only_path = ""
        if isinstance(event, ev.RequestArrived):
            only_path = event.workspace.path
        actions: list[ev.Action] = []
        for priority_class in ev.PRIORITY_CLASSES:
            while action := self._fill_one(priority_class, only_path, now_seconds):
                actions.append(action)
        return actions

    def _fill_one(
        self, priority_class: str, only_path: str, now_seconds: float
    ) -> ev.Dispatch | ev.Refuse | None:
        paths = self.queue.workspaces_waiting(priority_class)
        if only_path:
            paths = [path for path in paths if path == only_path]
        if not paths:
            return None
        room = Room(self.upstreams, self.peers, self.admission, now_seconds)
        for standing, path, workspace in self._lines(
            priority_class, paths, now_seconds
        ):
            if not self.admission.is_within_limits(workspace, now_seconds):
                continue
            line = self.queue.line(priority_class, path)
            for _, item in zip(range(LOOKAHEAD_COUNT), line, strict=False):
                action = self._try_dispatch(item, standing, room, now_seconds)
                if action is not None:
                    return action
        return None

    def _lines(
        self, priority_class: str, paths: list[str], now_seconds: float
    ) -> list[tuple[Standing, str, Workspace]]:
        lines = []
        for path in paths:
            first = next(self.queue.line(priority_class, path))
            workspace = first.arrival.workspace
            standing = self.admission.standing(workspace, now_seconds)
            lines.append((standing, path, workspace))
        lines.sort(key=lambda line: line[:2])
        return lines

    def _try_dispatch(
        self, item: QueuedRequest, standing: Standing, room: Room, now_seconds: float
    ) -> ev.Dispatch | ev.Refuse | None:
        arrival = item.arrival
        views = room.views(arrival)
        if not views:
            if item.stranded_at_seconds is None:
                item.stranded_at_seconds = now_seconds
            return None
        item.stranded_at_seconds = None
        if not room.has_any(views):
            return None
        choice = self._choose(item, views, now_seconds)
        if self._is_hopeless(arrival, choice, views, now_seconds):
            self.queue.remove(item)
            return self._refuse(item, DEADLINE_UNREACHABLE, now_seconds)
        if not room.may_take(choice, views, standing):
            return None
        if item.needs_budget and not self.budget.spend(now_seconds):
            return None
        return self._dispatch(item, choice, now_seconds)

    def _is_hopeless(
        self,
        arrival: ev.RequestArrived,
        choice: Choice,
        views: list[RunnerView],
        now_seconds: float,
    ) -> bool:
        """Return whether the answer can't begin in time even if it is sent now."""
        if arrival.chain is None:
            return False
        view = next(item for item in views if item.name == choice.upstream)
        prefill_seconds = view.prefill_seconds(choice.missing_tokens)
        begins_seconds = now_seconds + choice.queue_seconds + prefill_seconds
        return begins_seconds > arrival.deadline_seconds

    def _choose(
        self, item: QueuedRequest, views: list[RunnerView], now_seconds: float
    ) -> Choice:
        arrival = item.arrival
        price = arrival.workspace.miss_price
        if price is None:
            price = self._settings.placement.miss_price
        # Who has waited long settles for a runner that must compute more.
        waited_seconds = now_seconds - item.arrived_at_seconds
        price /= 1.0 + waited_seconds / PATIENCE_SECONDS
        if arrival.chain is None:
            no_chain = PrefixChain(checkpoints=(), total_tokens=1)
            return self._service_placement.choose(no_chain, views, price, now_seconds)
        return self._placement.choose(arrival.chain, views, price, now_seconds)

    def _dispatch(
        self, item: QueuedRequest, choice: Choice, now_seconds: float
    ) -> ev.Dispatch:
        upstream = self.upstreams.get(choice.upstream)
        assert upstream is not None
        attempt_id = f"{item.request_id}.{item.lifecycle.attempts_count + 1}"
        self.queue.remove(item)
        item.lifecycle.start(attempt_id)
        item.needs_budget = False
        item.upstream = upstream.name
        upstream.start(attempt_id, choice.missing_tokens)
        answer_tokens = self._expected_answer_tokens(item.arrival)
        item.charged_tokens = choice.missing_tokens + ANSWER_TOKEN_PRICE * answer_tokens
        self.ledger.charge(item.workspace_path, item.charged_tokens, now_seconds)
        self.admission.note_started(
            item.arrival.workspace, item.expected_tokens, now_seconds
        )
        if item.arrival.chain is not None and upstream.life is not None:
            chain, life = item.arrival.chain, upstream.life
            self.knowledge.note_prompt(upstream.name, life, chain)
            self._pool.note(upstream.name, life, chain, now_seconds)
        return ev.Dispatch(
            request_id=item.request_id,
            attempt_id=attempt_id,
            upstream=upstream.name,
            address=upstream.entry.address,
            incarnation=upstream.life.incarnation if upstream.life else "",
            weights_version=upstream.life.weights_version if upstream.life else 0,
            choice=choice,
        )

    def _release(
        self, item: QueuedRequest, attempt_id: str, now_seconds: float
    ) -> None:
        upstream = self.upstreams.get(item.upstream)
        if upstream is not None:
            upstream.release(attempt_id, now_seconds)
        item.upstream = ""
        self.admission.note_ended(item.arrival.workspace)

    def _settle(
        self, item: QueuedRequest, real_tokens: float, now_seconds: float
    ) -> None:
        difference = real_tokens - item.charged_tokens
        self.ledger.charge(item.workspace_path, difference, now_seconds)
        item.charged_tokens = 0.0


def _sorted(host_list: HostList) -> HostList:
    hosts = sorted(host_list.hosts, key=lambda entry: entry.name)
    return HostList(version=host_list.version, hosts=hosts)
