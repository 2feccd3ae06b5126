"""Views of the runners that a request may be sent to, for placement."""

import math
from abc import abstractmethod
from collections.abc import Iterable, Iterator, Sequence
from typing import overload

import attrs

from rampwick_schema import ReprMixin

#: Share of a runner's slots by which a request that precedes others may exceed them.
PRECEDENCE_EXTRA_RATIO = 0.125


def precedence_slots_count(slots_count: int) -> int:
    """Return the number of slots beyond the usual for requests that precede others."""
    return max(1, int(slots_count * PRECEDENCE_EXTRA_RATIO))


@attrs.frozen(repr=False)
class RunnerView(ReprMixin):
    """State of a runner for a placement; running work includes that of peers."""

    name: str
    slots_count: int
    running_count: int
    waiting_tokens: int
    prefill_tokens_per_second: float
    hall: str = ""
    #: Network round-trip time to the runner.
    distance_seconds: float = 0.0
    #: Cost of opening a connection; 0 if one is idle.
    connect_seconds: float = 0.0
    #: Estimated wait for a slot; 0 if one is free.
    slot_wait_seconds: float = 0.0
    #: Maximum prefill time that may be queued at the runner.
    max_prefill_queue_seconds: float = math.inf
    #: Weights version of its cache; it can import entries of this version only.
    weights_version: int = 0
    #: Cost of using a runner with outdated weights.
    penalty_seconds: float = 0.0

    @property
    def prefill_queue_seconds(self) -> float:
        """Time until the runner has computed the prompts sent to it."""
        return self.waiting_tokens / self.prefill_tokens_per_second

    @property
    def has_slot(self) -> bool:
        """Whether the runner can be sent another request now."""
        return (
            self.running_count < self.slots_count
            and self.prefill_queue_seconds < self.max_prefill_queue_seconds
        )

    @property
    def has_headroom(self) -> bool:
        """Whether a request that precedes others can be sent now.

        Such a request accepts up to twice the usual prefill queue.
        """
        extra_slots = precedence_slots_count(self.slots_count)
        return (
            self.running_count < self.slots_count + extra_slots
            and self.prefill_queue_seconds < 2 * self.max_prefill_queue_seconds
        )

    @property
    def queue_seconds(self) -> float:
        """Time until the runner starts a prompt that is sent now."""
        engine_seconds = self.slot_wait_seconds + self.prefill_queue_seconds
        return self.distance_seconds + self.connect_seconds + engine_seconds

    @property
    def free_slots_count(self) -> int:
        """Number of slots that no request uses."""
        return max(0, self.slots_count - self.running_count)

    def prefill_seconds(self, tokens: int) -> float:
        """Return the time to compute a number of prompt tokens."""
        return tokens / self.prefill_tokens_per_second


class RunnerViews(Sequence[RunnerView]):
    """Views in the order of the host list, with lookups that need not build them all.

    Views that are not read may not exist, so that a request at a host with 1,500
    runners costs little more than at a host with 70.
    """

    @property
    @abstractmethod
    def names(self) -> frozenset[str]:
        """Names of the runners; the same object while they stay the same."""

    @property
    @abstractmethod
    def has_headroom(self) -> bool:
        """Whether any runner may accept another request."""

    @property
    @abstractmethod
    def free_slots_count(self) -> int:
        """Number of slots of all runners that no request uses."""

    @abstractmethod
    def get(self, name: str) -> RunnerView | None:
        """Return the view of a runner."""

    @abstractmethod
    def position(self, name: str) -> int:
        """Return the place of a runner in the order of the host list."""

    @abstractmethod
    def load_seconds(self, name: str) -> float:
        """Return the queue and the penalty of a runner."""

    @abstractmethod
    def by_load(self) -> Sequence[tuple[float, int, str]]:
        """Return queue and penalty in seconds, position and name; lowest first."""

    @overload
    def __getitem__(self, index: int) -> RunnerView: ...

    @overload
    def __getitem__(self, index: slice) -> Sequence[RunnerView]: ...

    def __getitem__(self, index: int | slice) -> RunnerView | Sequence[RunnerView]:
        return list(self)[index]


class ListedViews(RunnerViews):
    """A fixed list of views."""

    def __init__(self, views: Iterable[RunnerView]) -> None:
        self._views = list(views)
        self._by_name = {view.name: view for view in self._views}
        self._positions = {view.name: at for at, view in enumerate(self._views)}
        self._names = frozenset(self._by_name)

    def __len__(self) -> int:
        return len(self._views)

    def __iter__(self) -> Iterator[RunnerView]:
        return iter(self._views)

    @property
    def names(self) -> frozenset[str]:
        """Names of the runners."""
        return self._names

    @property
    def has_headroom(self) -> bool:
        """Whether any runner may accept another request."""
        return any(view.has_headroom for view in self._views)

    @property
    def free_slots_count(self) -> int:
        """Number of slots of all runners that no request uses."""
        return sum(view.free_slots_count for view in self._views)

    def get(self, name: str) -> RunnerView | None:
        """Return the view of a runner."""
        return self._by_name.get(name)

    def position(self, name: str) -> int:
        """Return the place of a runner in the list."""
        return self._positions[name]

    def load_seconds(self, name: str) -> float:
        """Return the queue and the penalty of a runner."""
        view = self._by_name[name]
        return view.queue_seconds + view.penalty_seconds

    def by_load(self) -> Sequence[tuple[float, int, str]]:
        """Return queue and penalty in seconds, position and name; lowest first."""
        return sorted(
            (view.queue_seconds + view.penalty_seconds, at, view.name)
            for at, view in enumerate(self._views)
        )


def as_runner_views(views: Sequence[RunnerView]) -> RunnerViews:
    """Return the views with their lookups."""
    return views if isinstance(views, RunnerViews) else ListedViews(views)
