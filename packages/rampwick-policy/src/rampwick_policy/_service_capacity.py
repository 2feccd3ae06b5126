"""What the upstreams of a service can do together, and the load that they have.

The eligible upstreams are found once for many estimates, because there may be dozens,
and an overloaded host estimates each request that it receives.
"""

import attrs

from rampwick_schema import ReprMixin

from ._capacity import serves
from ._events import RequestArrived
from ._membership import NO_LOAD, Membership
from ._upstreams import Upstream, UpstreamTable

#: Time for which the set of eligible upstreams is reused. An upstream that was lost in
#: the meantime makes an estimate too short by its share, for this time only.
CAPACITY_REUSE_SECONDS = 0.1

#: Largest load that is believed of one upstream; more is left out of the estimate.
MAX_RUNNING_COUNT = 100_000
MAX_WAITING_TOKENS = 1_000_000_000

#: Largest prefill speed that is believed of one runner.
MAX_TOKENS_PER_SECOND = 10_000_000.0


@attrs.frozen(repr=False)
class ServiceCapacity(ReprMixin):
    """The upstreams that may serve a request, and what they can do together."""

    upstreams: tuple[Upstream, ...]
    #: Their generations, by which peers report loads.
    generation_names: tuple[str, ...]
    slots_count: int
    prefill_tokens_per_second: float
    valid_until_seconds: float


@attrs.frozen(repr=False)
class WorkAhead(ReprMixin):
    """Requests that are queued or run before another one, on all hosts."""

    requests_count: float
    prompt_tokens: float


class ServiceCapacities:
    """Capacities and loads by service; shares the scheduler's components."""

    def __init__(self, upstreams: UpstreamTable, peers: Membership) -> None:
        self._upstreams = upstreams
        self._peers = peers
        self._capacities: dict[tuple[str, str], ServiceCapacity] = {}
        #: Loads of upstreams that were left out as implausible.
        self.ignored_loads_count = 0

    def find(self, arrival: RequestArrived, now_seconds: float) -> ServiceCapacity:
        """Return the capacity for a request."""
        model = arrival.scope.model if arrival.scope else ""
        key = (arrival.service, model)
        capacity = self._capacities.get(key)
        if capacity is None or now_seconds > capacity.valid_until_seconds:
            capacity = self._find_capacity(*key, now_seconds)
            self._capacities[key] = capacity
        return capacity

    def upstream(self, name: str) -> Upstream | None:
        """Return the upstream of this name, if it is listed."""
        return self._upstreams.get(name)

    def tokens_per_second(self, upstream: Upstream) -> float:
        """Return the prefill speed of a runner, reported or else estimated."""
        reported = upstream.reported_tokens_per_second
        # A comparison with NaN is false.
        if 0.0 < reported <= MAX_TOKENS_PER_SECOND:
            return reported
        return self._upstreams.prefill_speed(upstream.model).tokens_per_second

    def load(self, capacity: ServiceCapacity) -> WorkAhead:
        """Return the running requests and the tokens in the upstreams' queues."""
        running_count = waiting_tokens = 0
        load_of = self._peers.load_of
        for upstream, generation_name in zip(
            capacity.upstreams, capacity.generation_names, strict=True
        ):
            if upstream.own_attempts:
                running_count += len(upstream.own_attempts)
                waiting_tokens += upstream.own_waiting_tokens
            load = load_of(upstream.entry.name, generation_name)
            if load is NO_LOAD:
                continue
            if (
                0 <= load.running_count <= MAX_RUNNING_COUNT
                and 0 <= load.waiting_tokens <= MAX_WAITING_TOKENS
            ):
                running_count += load.running_count
                waiting_tokens += load.waiting_tokens
            else:
                self.ignored_loads_count += 1
        return WorkAhead(running_count, waiting_tokens)

    def _find_capacity(
        self, service: str, model: str, now_seconds: float
    ) -> ServiceCapacity:
        table = self._upstreams
        share_ratio = self._peers.own_share_ratio(now_seconds)
        eligible = tuple(
            upstream
            for upstream in table
            if serves(upstream, service, model)
            and table.is_eligible(upstream, now_seconds)
        )
        return ServiceCapacity(
            eligible,
            tuple(upstream.generation_name for upstream in eligible),
            sum(
                table.usable_slots(item, share_ratio, now_seconds) for item in eligible
            ),
            sum(self.tokens_per_second(item) for item in eligible if item.is_runner),
            now_seconds + CAPACITY_REUSE_SECONDS,
        )
