"""Which waiting request goes next, and where.

Those that can still be in time go before those that are late; among them classes go in
order, workspaces by their standing, requests by arrival. A request goes to the runner
that placement chooses, or waits for it.
"""

import itertools

import attrs

from rampwick_schema import PlacementSettings, ReprMixin

from . import _events as ev
from ._admission import Admission
from ._forecasts import Forecasts
from ._moves import Move
from ._placement import (
    Choice,
    LeastLoaded,
    Placement,
    RunnerView,
    blind_tokens,
    chosen_view,
)
from ._pool import Pool
from ._prefix import PrefixChain
from ._queue import QueuedRequest, WaitingQueue
from ._reading_speed import MAX_QUEUE_SECONDS, MIN_TOKENS
from ._reasons import KEPT_APART, NO_RETRY_LEFT, NO_UPSTREAM
from ._request import RunState
from ._retry import RetryBudgets
from ._room import Room
from ._shares import Standing
from ._suspects import Suspects
from ._timeliness import in_time_until_seconds, is_spent, late_queue_ratio
from ._tree import Workspace

#: What an answer token costs in prompt tokens: it holds a slot for a whole step.
ANSWER_TOKEN_PRICE = 4.0

#: Answer tokens assumed for a workspace before it has had an answer.
FIRST_ANSWER_TOKENS = 64.0
ANSWER_SMOOTHING = 0.1

#: Requests of one workspace that are tried for a free runner in one go.
LOOKAHEAD_COUNT = 4

#: Wait after which a request pays half the price to have its prefix cached.
PATIENCE_SECONDS = 2.0


@attrs.frozen(repr=False)
class Hopeless(ReprMixin):
    """A request, out of its line already, that can't begin before its deadline."""

    item: QueuedRequest


class AnswerEstimates:
    """How long each workspace's answers are, learnt from the last ones."""

    def __init__(self) -> None:
        self._tokens: dict[str, float] = {}

    def expect(self, arrival: ev.RequestArrived) -> float:
        """Return the tokens that a request's answer is taken to have."""
        if arrival.chain is None:
            return 1.0
        learned = self._tokens.get(arrival.workspace.path, FIRST_ANSWER_TOKENS)
        return min(learned, arrival.max_answer_tokens or learned)

    def learn(self, path: str, tokens: int) -> None:
        """Note the length of a workspace's answer."""
        known = self._tokens.get(path, FIRST_ANSWER_TOKENS)
        self._tokens[path] = known + ANSWER_SMOOTHING * (tokens - known)


class Dispatcher:
    """Chooses among what waits; it shares its parts with the scheduler."""

    def __init__(
        self,
        settings: PlacementSettings,
        pool: Pool,
        queue: WaitingQueue,
        admission: Admission,
        budgets: RetryBudgets,
        answers: AnswerEstimates,
        placement: Placement,
        suspects: Suspects,
        forecasts: Forecasts,
    ) -> None:
        self._settings = settings
        self._forecasts = forecasts
        self._pool = pool
        self._queue = queue
        self._admission = admission
        self._budgets = budgets
        self._answers = answers
        self._placement = placement
        self._suspects = suspects
        self._service_placement = LeastLoaded()

    def next_decision(
        self, only_path: str, now_seconds: float
    ) -> ev.Dispatch | Hopeless | None:
        """Return the next request to send or give up, or none for now.

        ``only_path`` restricts the look to one workspace; empty looks at all.
        """
        pool = self._pool
        room = Room(
            pool.upstreams, pool.peers, self._admission, pool.turns, now_seconds
        )
        for is_late, priority_class in itertools.product(
            (False, True), ev.RANKED_CLASSES
        ):
            decision = self._next_of_class(
                priority_class, is_late, only_path, room, now_seconds
            )
            if decision is not None:
                return decision
        return None

    def _next_of_class(
        self,
        priority_class: str,
        is_late: bool,
        only_path: str,
        room: Room,
        now_seconds: float,
    ) -> ev.Dispatch | Hopeless | None:
        paths = self._queue.workspaces_waiting(priority_class)
        if only_path:
            paths = [path for path in paths if path == only_path]
        for standing, path, workspace in self._lines(
            priority_class, paths, now_seconds
        ):
            if not self._admission.may_start(workspace):
                continue
            line = self._queue.line(priority_class, path)
            if not is_late:
                line = (item for item in line if not is_spent(item, now_seconds))
            for _, item in zip(range(LOOKAHEAD_COUNT), line, strict=False):
                action = self._try_dispatch(item, is_late, standing, room, now_seconds)
                if action is not None:
                    return action
        return None

    def _lines(
        self, priority_class: str, paths: list[str], now_seconds: float
    ) -> list[tuple[Standing, str, Workspace]]:
        lines = []
        for path in paths:
            first = next(self._queue.line(priority_class, path))
            workspace = first.arrival.workspace
            standing = self._admission.standing(workspace, now_seconds)
            lines.append((standing, path, workspace))
        lines.sort(key=lambda line: line[:2])
        return lines

    def _try_dispatch(
        self,
        item: QueuedRequest,
        is_late: bool,
        standing: Standing,
        room: Room,
        now_seconds: float,
    ) -> ev.Dispatch | Hopeless | None:
        arrival = item.arrival
        views = room.views(arrival)
        if not views:
            forecast = self._forecasts.find(arrival, now_seconds)
            item.strand(forecast.reason if forecast else NO_UPSTREAM, now_seconds)
            return None
        budget = self._budgets.of(arrival.service, self._pool.peers.known_hosts_count)
        if item.needs_budget and not budget.has_one(now_seconds):
            item.strand(NO_RETRY_LEFT, now_seconds)
            return None
        fresh = [view for view in views if view.name not in item.tried]
        views = self._suspects.allowed_views(item, fresh or views, now_seconds)
        if not views:
            item.strand(KEPT_APART, now_seconds)
            return None
        item.unstrand()
        if not room.has_any(views):
            return None
        choice = self._choose(item, views, now_seconds)
        begins_seconds = _begins_seconds(arrival, choice, views, now_seconds)
        if begins_seconds > arrival.deadline_seconds:
            self._queue.remove(item)
            return Hopeless(item)
        if not is_late and begins_seconds > in_time_until_seconds(item):
            return None
        terms = (arrival.service, choice, views, standing)
        if is_late:
            queue_ratio = late_queue_ratio(item, now_seconds)
            may_take = room.may_take_late(*terms, queue_ratio)
        else:
            may_take = room.may_take(*terms)
        if not may_take:
            return None
        if item.needs_budget:
            budget.spend(now_seconds)
        return self._dispatch(item, choice, now_seconds)

    def _choose(
        self, item: QueuedRequest, views: list[RunnerView], now_seconds: float
    ) -> Choice:
        arrival = item.arrival
        price = arrival.workspace.miss_price
        if price is None:
            price = self._settings.miss_price
        # Who has waited long settles for a runner that must compute more.
        waited_seconds = now_seconds - item.arrived_at_seconds
        price /= 1.0 + waited_seconds / PATIENCE_SECONDS
        if arrival.chain is None:
            no_chain = PrefixChain(checkpoints=(), total_tokens=1)
            return self._service_placement.choose(no_chain, views, price, now_seconds)
        sources = self._pool.caches.import_sources(
            arrival.service, arrival.chain, now_seconds
        )
        return self._placement.choose(arrival.chain, views, price, now_seconds, sources)

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
        is_again = item.lifecycle.run_state >= RunState.MAYBE_RUN
        item.counted = self._pool.limits.note_sent(item.counted, is_again, now_seconds)
        item.lifecycle.start(attempt_id)
        item.needs_budget = False
        item.upstream = upstream.name
        item.incarnation = upstream.incarnation
        item.sent_at_seconds = now_seconds
        self._suspects.note_sent(item)
        self._pool.turns.note_sent(upstream, now_seconds)
        upstream.start(
            attempt_id,
            choice.missing_tokens,
            now_seconds,
            is_alone=_is_alone(choice),
        )
        self._note_import(attempt_id, item, choice)
        answer_tokens = self._answers.expect(item.arrival)
        item.charged_tokens = choice.missing_tokens + ANSWER_TOKEN_PRICE * answer_tokens
        self._pool.ledger.charge(item.workspace_path, item.charged_tokens, now_seconds)
        self._admission.note_started(
            item.arrival.workspace, item.expected_tokens, now_seconds
        )
        save_address = ""
        if item.arrival.chain is not None and upstream.life is not None:
            chain, life = item.arrival.chain, upstream.life
            self._pool.caches.note_placed(upstream.name, life, chain, now_seconds)
            save_address = self._pool.caches.save_address(
                item.arrival.service, upstream, chain, now_seconds
            )
        source = choice.import_source
        return ev.Dispatch(
            request_id=item.request_id,
            attempt_id=attempt_id,
            upstream=upstream.name,
            address=upstream.entry.address,
            incarnation=upstream.life.incarnation if upstream.life else "",
            weights_version=upstream.life.weights_version if upstream.life else 0,
            choice=choice,
            import_address=source.address if source else "",
            save_address=save_address,
        )

    def _note_import(
        self, attempt_id: str, item: QueuedRequest, choice: Choice
    ) -> None:
        if choice.import_source is None or item.arrival.chain is None:
            return
        tokens = choice.imported_tokens or blind_tokens(
            item.arrival.chain, choice.cached_tokens
        )
        move = Move(choice.import_source.name, choice.upstream, tokens)
        self._pool.moves.begin(attempt_id, move)


def _is_alone(choice: Choice) -> bool:
    """Return whether how long a prompt takes tells how fast its runner reads."""
    return (
        choice.missing_tokens >= MIN_TOKENS
        and not choice.imported_tokens
        and choice.prefill_queue_seconds < MAX_QUEUE_SECONDS
    )


def _begins_seconds(
    arrival: ev.RequestArrived,
    choice: Choice,
    views: list[RunnerView],
    now_seconds: float,
) -> float:
    """Return when the answer begins if the request is sent where it was placed now."""
    if arrival.chain is None:
        return now_seconds
    prefill_seconds = chosen_view(choice, views).prefill_seconds(choice.missing_tokens)
    before_seconds = choice.queue_seconds + choice.import_seconds
    return now_seconds + before_seconds + prefill_seconds
