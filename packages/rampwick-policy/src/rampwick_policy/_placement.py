"""Ways to choose a runner for a prompt.

All ways get the same views and return a choice with its reasons. The daemon uses
``PricedKnowledge``; the others are the baselines of its measurement.
"""

import math
from collections.abc import Sequence
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous
from ._imports import ImportSource
from ._prefix import PrefixChain

#: What being one rank further from the computed home costs, as a share of the time
#: that computing the whole prompt takes. It decides where a prefix goes that nobody
#: is known to hold, and breaks ties so that hosts don't herd.
HOME_RANK_RATIO = 0.25


@attrs.frozen(repr=False)
class RunnerView(ReprMixin):
    """What a choice may look at; running work counts peers' too."""

    name: str
    slots_count: int
    running_count: int
    waiting_tokens: int
    prefill_tokens_per_second: float
    hall: str = ""
    #: Time that a network round trip to the runner costs.
    distance_seconds: float = 0.0
    #: What opening a connection costs; nothing while one rests.
    connect_seconds: float = 0.0
    #: Estimated wait for a slot; nothing while one is free.
    slot_wait_seconds: float = 0.0
    #: Prefill time that may wait at the runner.
    max_prefill_queue_seconds: float = math.inf
    #: Weights of its cache; entries of others can't be imported.
    weights_version: int = 0
    #: What being sent to a runner with old weights is taken to cost.
    penalty_seconds: float = 0.0

    @property
    def prefill_queue_seconds(self) -> float:
        """Time until the runner has computed the prompts that it was sent."""
        return self.waiting_tokens / self.prefill_tokens_per_second

    @property
    def has_slot(self) -> bool:
        """Whether the runner is to be sent another request now."""
        return (
            self.running_count < self.slots_count
            and self.prefill_queue_seconds < self.max_prefill_queue_seconds
        )

    @property
    def queue_seconds(self) -> float:
        """Time until the runner begins with a prompt that is sent now."""
        engine_seconds = self.slot_wait_seconds + self.prefill_queue_seconds
        return self.distance_seconds + self.connect_seconds + engine_seconds

    def prefill_seconds(self, tokens: int) -> float:
        """Return the time that computing so many prompt tokens takes."""
        return tokens / self.prefill_tokens_per_second


@attrs.frozen(repr=False)
class Choice(ReprMixin):
    """A runner and why it was chosen."""

    upstream: str
    cached_tokens: int
    missing_tokens: int
    queue_seconds: float
    #: The part of it that prompts take which wait at the runner.
    prefill_queue_seconds: float
    score_seconds: float
    has_slot: bool
    #: Cache from which the runner shall take what it does not hold, if any.
    import_source: ImportSource | None = None
    imported_tokens: int = 0
    #: Time until what is known to be there has been imported.
    import_seconds: float = 0.0
    #: What else was weighed, for operators who ask why.
    considered: tuple["Choice", ...] = ()


def chosen_view(choice: Choice, runners: Sequence[RunnerView]) -> RunnerView:
    """Return the view of the runner that was chosen among these."""
    return next(runner for runner in runners if runner.name == choice.upstream)


class KnowsCaches(Protocol):
    """What can say how much of a prompt a runner holds."""

    def cached_tokens(self, upstream: str, chain: PrefixChain) -> int:
        """Return the tokens of the chain that the runner is believed to hold."""


class Placement(Protocol):
    """A way to choose among at least one runner."""

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
    ) -> Choice:
        """Return the choice; ``miss_price`` weighs recomputing against waiting.

        ``sources`` are caches from which the runner may import.
        """


class PricedKnowledge:
    """Least price times missing prefill plus wait, with the computed home as a hint.

    The price is above one because a miss costs others too: it takes the runner's
    time from them and evicts what they need.
    """

    def __init__(self, knowledge: KnowsCaches, import_price: float = 0.0) -> None:
        self._knowledge = knowledge
        self._import_price = import_price

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
    ) -> Choice:
        """Return the runner with the least score."""
        ranks = _rendezvous.rank(chain.home_key, (runner.name for runner in runners))
        by_name = {runner.name: runner for runner in runners}
        choices = [
            self._weigh(chain, by_name[name], miss_price, rank, sources)
            for rank, name in enumerate(ranks)
        ]
        best = min(choices, key=lambda choice: choice.score_seconds)
        return attrs.evolve(best, considered=tuple(choices))

    def _weigh(
        self,
        chain: PrefixChain,
        runner: RunnerView,
        miss_price: float,
        rank: int,
        sources: Sequence[ImportSource],
    ) -> Choice:
        cached = min(
            self._knowledge.cached_tokens(runner.name, chain), chain.total_tokens
        )
        source = best_source(
            sources, runner, cached, chain, miss_price * (1.0 - self._import_price)
        )
        imported = max(0, source.held_tokens - cached) if source else 0
        missing_seconds = runner.prefill_seconds(chain.total_tokens - cached - imported)
        import_seconds = runner.prefill_seconds(imported) * self._import_price
        import_wait_seconds = source.seconds(cached, runner.hall) if source else 0.0
        home_seconds = rank * HOME_RANK_RATIO * (missing_seconds + import_seconds)
        score = (
            miss_price * (missing_seconds + import_seconds)
            + home_seconds
            + import_wait_seconds
            + runner.queue_seconds
            + runner.penalty_seconds
        )
        choice = _choice(chain, runner, cached, score, source, imported)
        return attrs.evolve(choice, import_seconds=import_wait_seconds)


class RoundRobin:
    """Baseline: each runner in turn."""

    def __init__(self) -> None:
        self._next = 0

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
    ) -> Choice:
        """Return the next runner."""
        runner = runners[self._next % len(runners)]
        self._next += 1
        return _choice(chain, runner, 0, 0.0)


class LeastLoaded:
    """The runner with the shortest queue for its size; opening a connection to it
    counts as one more request.
    """

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
    ) -> Choice:
        """Return the runner with the least running work."""
        runner = min(runners, key=_fill_once_sent)
        return _choice(chain, runner, 0, runner.queue_seconds)


class ComputedHome:
    """Baseline: rendezvous hashing with bounded load, without any knowledge."""

    def __init__(self, load_factor: float) -> None:
        self._load_factor = load_factor

    def choose(
        self,
        chain: PrefixChain,
        runners: Sequence[RunnerView],
        miss_price: float,
        now_seconds: float,
        sources: Sequence[ImportSource] = (),
    ) -> Choice:
        """Return the first runner by rank whose load is within bounds."""
        by_name = {runner.name: runner for runner in runners}
        mean = sum(_fill(runner) for runner in runners) / len(runners)
        ranked = [by_name[name] for name in _rendezvous.rank(chain.home_key, by_name)]
        for runner in ranked:
            if _fill(runner) <= self._load_factor * mean + 1 / runner.slots_count:
                return _choice(chain, runner, 0, runner.queue_seconds)
        return _choice(chain, ranked[0], 0, ranked[0].queue_seconds)


def _fill(runner: RunnerView) -> float:
    return runner.running_count / runner.slots_count


def _fill_once_sent(runner: RunnerView) -> float:
    opened_count = 1 if runner.connect_seconds else 0
    return (runner.running_count + opened_count) / runner.slots_count


def best_source(
    sources: Sequence[ImportSource],
    runner: RunnerView,
    cached_tokens: int,
    chain: PrefixChain,
    price: float,
) -> ImportSource | None:
    """Return the cache that saves a runner the most time, or any to be asked.

    Among sources that hold nothing more, the last one is asked all the same: what is
    known of caches is old, and a question costs next to nothing. None is asked where
    computing the whole shared part, at ``price`` times its time, takes no longer than
    what moves from there already.
    """
    best: ImportSource | None = None
    best_saved_seconds = -math.inf
    most_wait_seconds = price * runner.prefill_seconds(_shared_tokens(chain))
    for source in reversed(sources):
        if source.weights_version != runner.weights_version:
            continue
        if source.name == runner.name or source.queue_seconds > most_wait_seconds:
            continue
        extra = source.held_tokens - cached_tokens
        saved_seconds = 0.0
        if extra > 0:
            moving_seconds = source.seconds(cached_tokens, runner.hall)
            saved_seconds = runner.prefill_seconds(extra) - moving_seconds
            saved_seconds += source.queue_seconds
        if saved_seconds > best_saved_seconds:
            best, best_saved_seconds = source, saved_seconds
    return best


def blind_tokens(chain: PrefixChain, cached_tokens: int) -> int:
    """Return what a cache that is asked without knowing moves if it holds all."""
    return max(0, _shared_tokens(chain) - cached_tokens)


def _shared_tokens(chain: PrefixChain) -> int:
    """Return the tokens of a prompt that others may share."""
    return chain.levels[-1].tokens if chain.levels else 0


def _choice(
    chain: PrefixChain,
    runner: RunnerView,
    cached: int,
    score_seconds: float,
    source: ImportSource | None = None,
    imported: int = 0,
) -> Choice:
    return Choice(
        upstream=runner.name,
        cached_tokens=cached,
        missing_tokens=chain.total_tokens - cached - imported,
        import_source=source,
        imported_tokens=imported,
        queue_seconds=runner.queue_seconds,
        prefill_queue_seconds=runner.prefill_queue_seconds,
        score_seconds=score_seconds,
        has_slot=runner.has_slot,
    )
