"""Placement strategies, which choose a runner for a prompt.

All strategies get the same views and return a choice with the figures behind it. The
daemon uses ``CacheAwarePlacement``; the others are baselines for its measurements.
"""

import heapq
import math
import operator
from collections.abc import Sequence
from typing import NamedTuple, Protocol

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._cache_imports import ImportSource
from ._candidates import (
    NO_COSTS as NO_COSTS,
    NoCosts as NoCosts,
    PrefixLookup,
    RunnerCosts as RunnerCosts,
    find_candidates,
)
from ._prefix import PrefixChain
from ._runner_views import RunnerView as RunnerView, RunnerViews, as_runner_views

#: Cost of each rendezvous rank below the first, as a share of the time to compute the
#: prompt. It places prefixes that no runner is known to hold, and breaks ties so that
#: hosts do not all choose the same runner at the same time.
AFFINITY_RANK_RATIO = 0.25

#: Number of candidates that a choice retains, for logs and ``rampwick explain``.
CONSIDERED_COUNT = 6


@attrs.frozen(repr=False)
class Choice(ReprMixin):
    """A chosen runner and the figures behind the choice."""

    upstream: str
    cached_tokens: int
    missing_tokens: int
    queue_seconds: float
    #: The share of ``queue_seconds`` due to prompts that wait at the runner.
    prefill_queue_seconds: float
    score_seconds: float
    has_slot: bool
    #: Cache to import missing tokens from, if any.
    import_source: ImportSource | None = None
    imported_tokens: int = 0
    #: Time until the tokens known to be there have been imported.
    import_seconds: float = 0.0
    #: The best candidates, the chosen one first, to explain the placement to operators.
    considered: tuple["Choice", ...] = ()


def chosen_view(choice: Choice, runners: Sequence[RunnerView]) -> RunnerView:
    """Return the view of the chosen runner."""
    if isinstance(runners, RunnerViews):
        view = runners.get(choice.upstream)
        assert view is not None
        return view
    return next(runner for runner in runners if runner.name == choice.upstream)


class Placement(Protocol):
    """A strategy to choose among at least one runner."""

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
        costs: RunnerCosts = NO_COSTS,
    ) -> Choice:
        """Return the choice; ``miss_price`` weighs recomputation against waiting.

        ``sources`` are the caches that the runner may import from; ``costs`` are added
        to the score of each runner.
        """


class CacheAwarePlacement:
    """Minimizes the priced prefill of missing tokens plus the wait.

    The rendezvous rank of a runner adds a small cost. The miss price is above 1 because
    a miss also delays other requests at the runner and evicts entries that they need.
    """

    def __init__(self, cache_index: PrefixLookup, import_price: float = 0.0) -> None:
        self._cache_index = cache_index
        self._import_price = import_price
        self._rankings = _rendezvous.RankingCache()

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
        costs: RunnerCosts = NO_COSTS,
    ) -> Choice:
        """Return the runner with the lowest score."""
        views = as_runner_views(runners)
        ranking = self._rankings.ranking(chain.affinity_key, views.names)
        importable_tokens = max((item.held_tokens for item in sources), default=0)
        missing_tokens = max(0, chain.total_tokens - importable_tokens)
        names = find_candidates(
            chain, views, ranking, self._cache_index, missing_tokens, costs
        )
        scored = []
        for name in names:
            runner = views.get(name)
            assert runner is not None
            rank = ranking.ranks[name]
            scored.append(self._score(chain, runner, miss_price, rank, sources, costs))
        # The order by rank decides between equal scores.
        best = heapq.nsmallest(CONSIDERED_COUNT, scored, key=_score_seconds)
        return _choice(
            chain, best[0], tuple(_choice(chain, candidate) for candidate in best)
        )

    def _score(
        self,
        chain: PrefixChain,
        runner: RunnerView,
        miss_price: float,
        rank: int,
        sources: Sequence[ImportSource],
        costs: RunnerCosts,
    ) -> "_Scored":
        cached = min(
            self._cache_index.cached_tokens(runner.name, chain),
            chain.total_tokens,
        )
        source = best_source(
            sources, runner, cached, chain, miss_price * (1.0 - self._import_price)
        )
        imported = max(0, source.held_tokens - cached) if source else 0
        missing_seconds = runner.prefill_seconds(chain.total_tokens - cached - imported)
        import_seconds = runner.prefill_seconds(imported) * self._import_price
        import_wait_seconds = source.seconds(cached, runner.hall) if source else 0.0
        affinity_seconds = (
            rank * AFFINITY_RANK_RATIO * (missing_seconds + import_seconds)
        )
        score = (
            miss_price * (missing_seconds + import_seconds)
            + affinity_seconds
            + import_wait_seconds
            + runner.queue_seconds
            + runner.penalty_seconds
            + costs.extra_seconds(runner, missing_seconds)
        )
        return _Scored(score, runner, cached, source, imported, import_wait_seconds)


class RoundRobin:
    """Baseline: round robin over the runners."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
        costs: RunnerCosts = NO_COSTS,
    ) -> Choice:
        """Return the next runner."""
        runner = runners[self._next % len(runners)]
        self._next += 1
        return _choice(chain, _Scored(0.0, runner))


class LeastLoaded:
    """Chooses the runner with the least load relative to its slots.

    Opening a connection counts as one more request.
    """

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
        costs: RunnerCosts = NO_COSTS,
    ) -> Choice:
        """Return the runner with the least load."""
        runner = min(runners, key=_load_after_dispatch)
        return _choice(chain, _Scored(runner.queue_seconds, runner))


class RendezvousPlacement:
    """Baseline: rendezvous hashing with bounded load, without cache contents."""

    def __init__(self, load_factor: float) -> None:
        self._load_factor = load_factor

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
        costs: RunnerCosts = NO_COSTS,
    ) -> Choice:
        """Return the first runner by rank whose load is within bounds."""
        by_name = {runner.name: runner for runner in runners}
        mean = sum(_load(runner) for runner in runners) / len(runners)
        ranked = [
            by_name[name] for name in _rendezvous.rank(chain.affinity_key, by_name)
        ]
        for runner in ranked:
            if _load(runner) <= self._load_factor * mean + 1 / runner.slots_count:
                return _choice(chain, _Scored(runner.queue_seconds, runner))
        return _choice(chain, _Scored(ranked[0].queue_seconds, ranked[0]))


def _load(runner: RunnerView) -> float:
    return runner.running_count / runner.slots_count


def _load_after_dispatch(runner: RunnerView) -> float:
    new_connections_count = 1 if runner.connect_seconds else 0
    return (runner.running_count + new_connections_count) / runner.slots_count


def best_source(
    sources: Sequence[ImportSource],
    runner: RunnerView,
    cached_tokens: int,
    chain: PrefixChain,
    price: float,
) -> ImportSource | None:
    """Return the source whose import saves a runner the most time, or None.

    If no source is known to hold more, the last one is queried all the same: the known
    contents lag behind, and a query costs next to nothing. A source is skipped if its
    transfers in progress take longer than ``price`` times the computation of the whole
    shared part.
    """
    best: ImportSource | None = None
    best_saved_seconds = -math.inf
    max_wait_seconds = price * runner.prefill_seconds(_shareable_tokens(chain))
    for source in reversed(sources):
        if source.weights_version != runner.weights_version:
            continue
        if source.name == runner.name or source.queue_seconds > max_wait_seconds:
            continue
        additional_tokens = source.held_tokens - cached_tokens
        saved_seconds = 0.0
        if additional_tokens > 0:
            transfer_seconds = source.seconds(cached_tokens, runner.hall)
            saved_seconds = runner.prefill_seconds(additional_tokens) - transfer_seconds
            saved_seconds += source.queue_seconds
        if saved_seconds > best_saved_seconds:
            best, best_saved_seconds = source, saved_seconds
    return best


def speculative_import_tokens(chain: PrefixChain, cached_tokens: int) -> int:
    """Return the tokens that a query of a cache with unknown contents may transfer."""
    return max(0, _shareable_tokens(chain) - cached_tokens)


def _shareable_tokens(chain: PrefixChain) -> int:
    """Return the tokens of a prompt that other prompts may share."""
    for checkpoint in reversed(chain.checkpoints):
        if checkpoint.is_level:
            return checkpoint.tokens
    return 0


class _Scored(NamedTuple):
    """A candidate with its score; a tuple, since one is made for each candidate."""

    score_seconds: float
    runner: RunnerView
    cached_tokens: int = 0
    source: ImportSource | None = None
    imported_tokens: int = 0
    import_seconds: float = 0.0


_score_seconds = operator.itemgetter(0)


def _choice(
    chain: PrefixChain, scored: _Scored, considered: tuple[Choice, ...] = ()
) -> Choice:
    runner = scored.runner
    return Choice(
        upstream=runner.name,
        cached_tokens=scored.cached_tokens,
        missing_tokens=chain.total_tokens
        - scored.cached_tokens
        - scored.imported_tokens,
        queue_seconds=runner.queue_seconds,
        prefill_queue_seconds=runner.prefill_queue_seconds,
        score_seconds=scored.score_seconds,
        has_slot=runner.has_slot,
        import_source=scored.source,
        imported_tokens=scored.imported_tokens,
        import_seconds=scored.import_seconds,
        considered=considered,
    )
