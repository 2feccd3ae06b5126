"""The runners of a service that are preferred for short prompts.

The subset is as large as the prefill demand of the short prompts requires. Every host
computes it on its own; a rendezvous rank of the runners of each hall makes the results
nearly equal, since only the size depends on measured values.
"""

import math
from collections.abc import Iterable, Sequence

import attrs

from rampwick_schema import PrefillDemand, ReprMixin

from . import _rendezvous
from ._prefill_demand import NEGLIGIBLE_TOKENS_PER_SECOND

#: Runners of the subset, as a multiple of the share of the short prompts. With half as
#: much again their prompts rarely queue for each other, while the long prompts keep
#: enough runners for their own target. More runners join during a burst.
HEADROOM_RATIO = 1.5

#: Largest share of the runners in the subset: long prompts keep at least the rest.
MAX_SUBSET_RATIO = 0.5

#: Share of a runner's slots that short prompts are expected to fill. Beyond it, the
#: decode steps of the subset become noticeably longer than those of other runners.
SLOTS_FILL_RATIO = 0.5

#: Number of runners by which the wanted size must exceed the present one before a
#: runner joins, and fall below it before one leaves.
JOIN_MARGIN_COUNT = 0.25
LEAVE_MARGIN_COUNT = 0.75

#: Time for which a smaller subset must be wanted before one runner leaves: longer than
#: the bursts of three seconds, which would otherwise move runners back and forth.
LEAVE_DELAY_SECONDS = 4.0

#: Time for which a runner must be eligible before it joins, so that a runner that
#: crashes repeatedly does not displace another each time.
JOIN_DELAY_SECONDS = 2.0

_KEY = b"short prompts"


def wanted_size(
    demand: PrefillDemand,
    short_slots: float,
    slots_per_runner: float,
    runners_count: int,
) -> float:
    """Return the number of runners wanted for the short prompts, not rounded.

    It is 0 without both long and short prompts; decayed rates never reach 0 themselves.
    ``short_slots`` is the number of slots
    that the short prompts occupy.
    """
    long_rate = demand.long_tokens_per_second
    short_rate = demand.short_tokens_per_second
    if min(long_rate, short_rate) < NEGLIGIBLE_TOKENS_PER_SECOND:
        return 0.0
    prefill_count = (
        HEADROOM_RATIO * runners_count * short_rate / (long_rate + short_rate)
    )
    slots_count = short_slots / max(1.0, SLOTS_FILL_RATIO * slots_per_runner)
    return min(MAX_SUBSET_RATIO * runners_count, max(prefill_count, slots_count))


@attrs.define(repr=False)
class SubsetSize(ReprMixin):
    """Size of the subset with hysteresis: it grows at once and shrinks slowly."""

    runners_count: int = 0
    _smaller_since_seconds: float | None = None

    def update(self, wanted: float, max_count: int, now_seconds: float) -> int:
        """Return the new size for a wanted one."""
        grown = min(max_count, math.ceil(wanted - JOIN_MARGIN_COUNT))
        if grown > self.runners_count:
            self.runners_count = grown
            self._smaller_since_seconds = None
        elif wanted >= self.runners_count - LEAVE_MARGIN_COUNT:
            self._smaller_since_seconds = None
        elif self._smaller_since_seconds is None:
            self._smaller_since_seconds = now_seconds
        elif now_seconds - self._smaller_since_seconds >= LEAVE_DELAY_SECONDS:
            self.runners_count -= 1
            self._smaller_since_seconds = now_seconds
        return min(self.runners_count, max_count)


@attrs.frozen(repr=False)
class RankedRunner(ReprMixin):
    """A runner that may join the subset."""

    name: str
    hall: str
    #: Whether it may get requests now.
    is_eligible: bool = True


def join_order(runners: Iterable[RankedRunner]) -> list[str]:
    """Return the names of the eligible runners in the order in which they join.

    The order alternates between the halls in proportion to their runners, so that each
    hall has its share of a subset of any size.
    """
    by_hall: dict[str, list[RankedRunner]] = {}
    for runner in runners:
        by_hall.setdefault(runner.hall, []).append(runner)
    positions: list[tuple[float, str, str]] = []
    for hall, members in by_hall.items():
        eligible = [runner.name for runner in members if runner.is_eligible]
        positions += [
            ((rank + 0.5) / len(members), hall, name)
            for rank, name in enumerate(_rendezvous.rank(_KEY, eligible))
        ]
    return [name for _, _, name in sorted(positions)]


@attrs.define(repr=False)
class RunnerSubset(ReprMixin):
    """The subset of one service."""

    names: frozenset[str] = frozenset()
    _size: SubsetSize = attrs.field(factory=SubsetSize)
    #: When a runner was last seen not to be eligible.
    _ineligible_at: dict[str, float] = attrs.field(factory=dict)

    def update(
        self, wanted: float, runners: Sequence[RankedRunner], now_seconds: float
    ) -> bool:
        """Recompute the subset; return whether it changed."""
        listed = {runner.name for runner in runners}
        self._ineligible_at = {
            name: at_seconds
            for name, at_seconds in self._ineligible_at.items()
            if name in listed and now_seconds - at_seconds < JOIN_DELAY_SECONDS
        }
        for runner in runners:
            if not runner.is_eligible:
                self._ineligible_at[runner.name] = now_seconds
        eligible_count = sum(runner.is_eligible for runner in runners)
        max_count = int(MAX_SUBSET_RATIO * eligible_count)
        size = self._size.update(wanted, max_count, now_seconds)
        order = join_order(
            attrs.evolve(runner, is_eligible=runner.name not in self._ineligible_at)
            for runner in runners
        )
        names = frozenset(order[:size])
        is_changed = names != self.names
        self.names = names
        return is_changed
