"""The runners that are scored for a prompt.

Handles large fleets: a score takes some microseconds, so that a host with hundreds of
runners must not score all of them for each prompt. Each of the three groups contains
the best runner under one of the conditions that decide a score: a long cached prefix,
a prefix that no runner holds, and long queues at all runners of the first two groups.
"""

import heapq
from collections.abc import Collection, Sequence
from typing import Protocol

from ._prefix import PrefixChain
from ._rendezvous import Ranking
from ._runner_views import RunnerView, RunnerViews

#: Maximum number of candidates. Fleets up to this size have all runners scored.
MAX_CANDIDATES_COUNT = 24

#: Maximum number of candidates that hold most of the prompt, and of those that are
#: first by rendezvous rank; the rest are the least loaded. The parts are equal, since
#: each group decides under another load. A group that is not full leaves its places to
#: the next.
HOLDERS_COUNT = 8
RANKED_COUNT = 8

#: Maximum number of runners whose cached tokens or additional costs are determined for
#: one prompt, the least loaded first. A prefix of all prompts is held by all runners.
MAX_EXAMINED_COUNT = 64


class PrefixLookup(Protocol):
    """Looks up which runners hold a prefix, and how much of a prompt one holds."""

    def cached_tokens(self, upstream: str, chain: PrefixChain) -> int:
        """Return the estimated number of the chain's tokens that a runner holds."""

    def runners_holding(self, prefix: bytes) -> Collection[str]:
        """Return the runners that hold an entry, in a fixed order."""


class RunnerCosts(Protocol):
    """Costs of sending one prompt to a runner, in addition to its own wait."""

    def extra_seconds(self, runner: RunnerView, prefill_seconds: float) -> float:
        """Return the cost as waiting time, which is not negative.

        ``prefill_seconds`` is the time to compute the tokens that the runner lacks.
        """


class NoCosts:
    """No additional costs."""

    def extra_seconds(self, runner: RunnerView, prefill_seconds: float) -> float:
        """Return 0."""
        return 0.0


NO_COSTS = NoCosts()


def find_candidates(
    chain: PrefixChain,
    views: RunnerViews,
    ranking: Ranking,
    lookup: PrefixLookup,
    missing_tokens: int,
    costs: RunnerCosts,
) -> Sequence[str]:
    """Return the runners to score, ordered by rendezvous rank.

    ``missing_tokens`` are those that a runner computes if it holds nothing.
    """
    if len(views) <= MAX_CANDIDATES_COUNT:
        return ranking.order
    candidates = dict.fromkeys(_holders(chain, views, lookup))
    ranked_end = HOLDERS_COUNT + RANKED_COUNT
    for name in ranking.order:
        if len(candidates) >= ranked_end:
            break
        candidates[name] = None
    for name in _least_loaded(views, missing_tokens, costs):
        if len(candidates) >= MAX_CANDIDATES_COUNT:
            break
        candidates[name] = None
    return sorted(candidates, key=ranking.ranks.__getitem__)


def _holders(
    chain: PrefixChain, views: RunnerViews, lookup: PrefixLookup
) -> Sequence[str]:
    """Return the runners that hold most of a prompt, those with less load first."""
    held = []
    for name in _runners_with_entries(chain, views, lookup):
        tokens = lookup.cached_tokens(name, chain)
        if tokens:
            held.append((-tokens, views.load_seconds(name), name))
    return [name for _, _, name in heapq.nsmallest(HOLDERS_COUNT, held)]


def _runners_with_entries(
    chain: PrefixChain, views: RunnerViews, lookup: PrefixLookup
) -> Collection[str]:
    """Return runners that hold an entry of a prompt, deeper entries first."""
    names = views.names
    found: dict[str, None] = {}
    for checkpoint in reversed(chain.checkpoints):
        runners = lookup.runners_holding(checkpoint.prefix)
        if len(runners) <= MAX_EXAMINED_COUNT - len(found):
            found.update(dict.fromkeys(name for name in runners if name in names))
            continue
        for _, _, name in views.by_load():
            if len(found) >= MAX_EXAMINED_COUNT:
                return found
            if name in runners:
                found[name] = None
    return found


def _least_loaded(
    views: RunnerViews, missing_tokens: int, costs: RunnerCosts
) -> Sequence[str]:
    """Return the runners with the lowest sum of queue, penalty and additional costs."""
    by_load = views.by_load()
    if costs is NO_COSTS:
        return [name for _, _, name in by_load[:MAX_CANDIDATES_COUNT]]
    lowest: list[tuple[float, int, str]] = []
    for load_seconds, position, name in by_load[:MAX_EXAMINED_COUNT]:
        if len(lowest) >= MAX_CANDIDATES_COUNT and load_seconds > lowest[-1][0]:
            # No cost is negative, so that the sums of the rest are higher.
            break
        view = views.get(name)
        assert view is not None
        extra_seconds = costs.extra_seconds(view, view.prefill_seconds(missing_tokens))
        lowest.append((load_seconds + extra_seconds, position, name))
        lowest.sort()
        del lowest[MAX_CANDIDATES_COUNT:]
    return [name for _, _, name in lowest]
