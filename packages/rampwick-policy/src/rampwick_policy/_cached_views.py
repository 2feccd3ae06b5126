"""Cached views of the upstreams of one service or model.

Handles hosts with many runners that make several decisions for each event: the cost of
building the views of all runners for each decision grows with the fleet. A view is
renewed when its upstream logged a change, when the load of peers there changed, or when
a time that it depends on has passed. All views are renewed when the share of the pool
or the target weights change, or when time goes back.
"""

import heapq
import math
from bisect import bisect_left, insort
from collections.abc import Iterable, Iterator, Sequence

import attrs

from rampwick_schema import ReprMixin

from ._membership import Membership, PeerLoad
from ._runner_state import RunnerState
from ._runner_views import RunnerView, RunnerViews
from ._send_limits import SendLimits
from ._upstream import serves
from ._upstreams import UpstreamTable

#: Share of the views that may change before they are sorted again as a whole instead of
#: being moved one by one: each move shifts a part of the list.
RESORT_RATIO = 0.125


@attrs.frozen(repr=False)
class ViewKey(ReprMixin):
    """Which upstreams a set of views includes, and for which requests."""

    service: str
    model: str
    #: Additional slots that these requests may use, as a share of the slots.
    extra_slots_ratio: float


@attrs.define(repr=False)
class _CachedView(ReprMixin):
    """The state of one upstream and the figures that a set sums up."""

    state: RunnerState
    position: int
    load: PeerLoad
    expires_at_seconds: float
    #: Whether the upstream's request rate limit allows a request now.
    is_within_rate: bool = True
    #: Whether the set includes it.
    is_listed: bool = False
    free_slots_count: int = 0
    has_headroom: bool = False
    #: Key in the order by load.
    order_key: tuple[float, int, str] = (0.0, 0, "")
    #: The view, built when it is first read.
    _view: RunnerView | None = None

    @property
    def view(self) -> RunnerView:
        """The view with the current load."""
        if self._view is None:
            self._view = self.state.view(self.load)
        return self._view

    def drop_view(self) -> None:
        """Build the view again when it is read next."""
        self._view = None


class CachedViews(RunnerViews):
    """Views of the eligible upstreams of one service or model."""

    def __init__(
        self,
        key: ViewKey,
        upstreams: UpstreamTable,
        peers: Membership,
        send_limits: SendLimits,
    ) -> None:
        self._key = key
        self._upstreams = upstreams
        self._peers = peers
        self._send_limits = send_limits
        self._reset()

    def _reset(self) -> None:
        self._items: dict[str, _CachedView] = {}
        self._share_ratio = -1.0
        self._now_seconds = -math.inf
        self._seen_changes_count = self._seen_loads_count = 0
        self._seen_targets_count = -1
        self._models: set[str] = set()
        self._speeds: dict[str, float] = {}
        self._expiries: list[tuple[float, str]] = []
        self._limited_names: list[str] = []
        self._listed: list[str] | None = None
        self._names: frozenset[str] | None = None
        self._order: list[tuple[float, int, str]] = []
        #: Names whose place in the order is outdated, with their keys in it.
        self._outdated_order_keys: dict[str, tuple[float, int, str] | None] = {}
        self._free_slots_count = 0
        self._headroom_count = 0

    # Queries.

    def __len__(self) -> int:
        return len(self._list())

    def __iter__(self) -> Iterator[RunnerView]:
        return (self._items[name].view for name in self._list())

    @property
    def names(self) -> frozenset[str]:
        """Names of the runners; the same object while they stay the same."""
        if self._names is None:
            self._names = frozenset(self._list())
        return self._names

    @property
    def has_headroom(self) -> bool:
        """Whether any runner may accept another request."""
        return self._headroom_count > 0

    @property
    def free_slots_count(self) -> int:
        """Number of slots of all runners that no request uses."""
        return self._free_slots_count

    def get(self, name: str) -> RunnerView | None:
        """Return the view of a runner."""
        item = self._items.get(name)
        return item.view if item is not None and item.is_listed else None

    def position(self, name: str) -> int:
        """Return the place of a runner in the order of the host list."""
        return self._items[name].position

    def load_seconds(self, name: str) -> float:
        """Return the queue and the penalty of a runner."""
        return self._items[name].order_key[0]

    def by_load(self) -> Sequence[tuple[float, int, str]]:
        """Return queue and penalty in seconds, position and name; lowest first."""
        if len(self._outdated_order_keys) > RESORT_RATIO * len(self._order):
            listed = (self._items[name] for name in self._list())
            self._order = sorted(item.order_key for item in listed)
        else:
            self._move_in_order()
        self._outdated_order_keys.clear()
        return self._order

    def _move_in_order(self) -> None:
        for name, old_key in self._outdated_order_keys.items():
            if old_key is not None:
                del self._order[bisect_left(self._order, old_key)]
            item = self._items.get(name)
            if item is not None and item.is_listed:
                insort(self._order, item.order_key)

    def _list(self) -> list[str]:
        if self._listed is None:
            listed = [
                (item.position, name)
                for name, item in self._items.items()
                if item.is_listed
            ]
            self._listed = [name for _, name in sorted(listed)]
        return self._listed

    # Updates.

    def refresh(self, share_ratio: float, now_seconds: float) -> None:
        """Renew the views that have changed."""
        targets_count = self._upstreams.targets.changes_count
        if (
            share_ratio != self._share_ratio
            or targets_count != self._seen_targets_count
            or now_seconds < self._now_seconds
        ):
            self._reset()
            self._share_ratio = share_ratio
            self._seen_targets_count = targets_count
            self._seen_changes_count = -1
        self._now_seconds = now_seconds
        for name in self._changed_names(now_seconds):
            self._renew(name, now_seconds)
        # Renewing a state may end a recovery ramp, which is logged as a change.
        self._seen_changes_count = self._upstreams.changes.count
        self._apply_loads()
        self._apply_speeds()
        self._apply_rate_limits(now_seconds)

    def _changed_names(self, now_seconds: float) -> Iterable[str]:
        changed = self._upstreams.changes.changed_since(self._seen_changes_count)
        if self._seen_changes_count < 0 or changed is None:
            listed = {upstream.name for upstream in self._upstreams}
            return listed | self._items.keys()
        names = dict.fromkeys(changed)
        while self._expiries and self._expiries[0][0] <= now_seconds:
            names[heapq.heappop(self._expiries)[1]] = None
        return names

    def _renew(self, name: str, now_seconds: float) -> None:
        upstream = self._upstreams.get(name)
        if upstream is None or not serves(upstream, self._key.service, self._key.model):
            known = self._items.get(name)
            if known is not None:
                self._update(known, is_listed=False)
                del self._items[name]
            return
        state = self._upstreams.state(
            upstream, self._share_ratio, self._key.extra_slots_ratio, now_seconds
        )
        expires_at_seconds = self._upstreams.state_expires_seconds(
            upstream, now_seconds
        )
        self._models.add(state.model)
        load = self._peers.load_of(name, state.generation_name)
        item = self._items.get(name)
        if item is None:
            item = self._items[name] = _CachedView(
                state, upstream.position, load, math.inf
            )
        item.state, item.position, item.load = state, upstream.position, load
        if expires_at_seconds != item.expires_at_seconds:
            item.expires_at_seconds = expires_at_seconds
            if expires_at_seconds < math.inf:
                heapq.heappush(self._expiries, (expires_at_seconds, name))
        self._update(item, state.is_eligible and item.is_within_rate)

    def _update(self, item: _CachedView, is_listed: bool) -> None:
        """Renew the figures of an upstream and their sums over the set."""
        name = item.state.name
        item.drop_view()
        self._outdated_order_keys.setdefault(
            name, item.order_key if item.is_listed else None
        )
        if item.is_listed:
            self._free_slots_count -= item.free_slots_count
            self._headroom_count -= item.has_headroom
        if is_listed != item.is_listed:
            self._listed = self._names = None
        item.is_listed = is_listed
        if not is_listed:
            return
        load_seconds, item.free_slots_count, item.has_headroom = item.state.figures(
            item.load
        )
        item.order_key = (load_seconds, item.position, name)
        self._free_slots_count += item.free_slots_count
        self._headroom_count += item.has_headroom

    def _apply_loads(self) -> None:
        changes = self._peers.load_changes
        changed = changes.changed_since(self._seen_loads_count)
        self._seen_loads_count = changes.count
        for name in list(self._items) if changed is None else changed:
            item = self._items.get(name)
            if item is None:
                continue
            load = self._peers.load_of(name, item.state.generation_name)
            # Peers' load is replaced by another object when it changes.
            if load is not item.load:
                item.load = load
                self._update(item, item.is_listed)

    def _apply_speeds(self) -> None:
        """Apply changed estimates of the prefill speed."""
        changed = {}
        for model in self._models:
            speed = self._upstreams.prefill_speed(model).tokens_per_second
            if self._speeds.get(model) != speed:
                self._speeds[model] = changed[model] = speed
        if not changed:
            return
        for item in self._items.values():
            state = item.state
            if state.has_estimated_speed and state.model in changed:
                state.prefill_tokens_per_second = changed[state.model]
                self._update(item, item.is_listed)

    def _apply_rate_limits(self, now_seconds: float) -> None:
        # An overloaded upstream reports one rate for all hosts together. If hosts
        # ignored it, or each used it in full, the upstream would receive several
        # times the rate that it accepts.
        limited_names = self._send_limits.limited_names(self._upstreams)
        for name in {*limited_names, *self._limited_names}:
            item = self._items.get(name)
            upstream = self._upstreams.get(name)
            if item is None or upstream is None:
                continue
            is_within_rate = not item.state.is_eligible or (
                self._send_limits.may_send(upstream, now_seconds)
            )
            if is_within_rate != item.is_within_rate:
                item.is_within_rate = is_within_rate
                self._update(item, item.state.is_eligible and is_within_rate)
        self._limited_names = limited_names
