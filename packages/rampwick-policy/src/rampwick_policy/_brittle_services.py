"""Services whose upstreams fail if they have to reject many requests in a short time.

Such an upstream states how many rejections per second it withstands, from all hosts
together. Any request that has no response yet may still be rejected, so the hosts
divide that number: each keeps no more unanswered requests at an upstream than its part,
and sends nothing there for a while after a rejection. Requests that certainly find room
are not counted, so that a service with little load is not slowed down.
"""

import math
from collections.abc import Callable

import attrs

from rampwick_schema import ReprMixin

from ._membership import Membership
from ._state_changes import StateChangeTracker
from ._upstream import Upstream
from ._upstream_rate_limiter import LocalView, rate_share

#: Age up to which an unconfirmed statement applies.
STALE_SECONDS = 30.0

#: Share of the slots up to which a request certainly finds room: peers' requests of the
#: last summary interval are not known, and a brittle upstream may queue fewer.
CERTAIN_ROOM_RATIO = 0.5

#: Largest number of rejections that is believed: more than a host could cause anyway.
MAX_REJECTIONS_PER_SECOND = 1e6

#: Tolerance for rounding errors in the parts of the hosts.
ROUNDING_TOLERANCE = 1e-9

#: Minimum pause after a rejection: the time over which rejections are counted.
REJECTION_PAUSE_SECONDS = 1.0

#: Minimum time between two health probes of one plain upstream by all hosts: a probe
#: waits for a slot, and may be rejected, like a request.
PROBE_SECONDS = 1.0


@attrs.frozen(repr=False)
class Brittleness(ReprMixin):
    """Rejections per second that each upstream of a service withstands."""

    rejections_per_second: float
    #: When the response arrived that stated it last.
    stated_at_seconds: float


def _all_alive(now_seconds: float) -> float:
    return 1.0


class BrittleServices:
    """The services that are brittle, and what this host may send to them."""

    def __init__(
        self,
        peers: Membership,
        read_local_view: Callable[[], LocalView],
        state_changes: StateChangeTracker,
        alive_ratio: Callable[[float], float] = _all_alive,
    ) -> None:
        """``alive_ratio`` returns the share of the fleet that this host can reach."""
        self._peers = peers
        self._alive_ratio = alive_ratio
        self._read_local_view = read_local_view
        self._state_changes = state_changes
        self._by_service: dict[str, Brittleness] = {}

    def __len__(self) -> int:
        return len(self._by_service)

    def note_response(
        self,
        upstream: Upstream,
        rejections_per_second: float | None,
        sent_at_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record what a response states; ``None`` if it states nothing.

        All upstreams of a service are brittle at the same time. A response without the
        statement ends that, if its request was sent after the last response with it.
        """
        service = upstream.entry.group
        known = self._by_service.get(service)
        if rejections_per_second is None:
            if known is not None and sent_at_seconds > known.stated_at_seconds:
                self._forget(service, f"{upstream.name} no longer states it")
            return
        rejections_per_second = min(rejections_per_second, MAX_REJECTIONS_PER_SECOND)
        stated = Brittleness(rejections_per_second, now_seconds)
        self._by_service[service] = stated
        state = f"brittle, withstands {rejections_per_second:g} rejections per second"
        self._state_changes.note("brittleness", service, state, upstream.name)

    def sweep(self, now_seconds: float) -> None:
        """Drop statements that have not been confirmed for long."""
        for service, stated in list(self._by_service.items()):
            if now_seconds - stated.stated_at_seconds > STALE_SECONDS:
                self._forget(service, "not stated recently")

    def _forget(self, service: str, reason: str) -> None:
        del self._by_service[service]
        self._state_changes.forget("brittleness", service, reason)

    def is_brittle(self, upstream: Upstream) -> bool:
        """Return whether an upstream belongs to a brittle service."""
        return upstream.entry.group in self._by_service

    def states(self) -> dict[str, float]:
        """Return the rejections per second that each brittle service withstands."""
        return {
            service: stated.rejections_per_second
            for service, stated in self._by_service.items()
        }

    def may_send(self, upstream: Upstream, now_seconds: float) -> bool:
        """Return whether this host may send a request to an upstream now."""
        stated = self._by_service.get(upstream.entry.group)
        if stated is None:
            return True
        alive_ratio = self._alive_ratio(now_seconds)
        part_count = self._part_count(upstream, stated, alive_ratio)
        if len(upstream.unanswered_attempts) < part_count:
            return True
        room_count = CERTAIN_ROOM_RATIO * upstream.slots_count * alive_ratio
        hosts_count = self._peers.hosts_count(now_seconds)
        own_count = len(upstream.own_attempts)
        peer_load = self._peers.load_of(upstream.name, upstream.generation_name)
        return (
            own_count < max(1.0, room_count / hosts_count)
            and own_count + peer_load.running_count < room_count
        )

    def _part_count(
        self, upstream: Upstream, stated: Brittleness, alive_ratio: float = 1.0
    ) -> int:
        """Return this host's part of the rejections that an upstream withstands.

        The part of a host is a whole number. Where there are more hosts than
        rejections, some hosts have one each and the others none.
        """
        total_count = max(1, math.floor(stated.rejections_per_second))
        key = f"{upstream.name}/{upstream.known_incarnation}".encode()
        ratio = rate_share(self._read_local_view(), key, total_count)
        return math.floor(total_count * ratio * alive_ratio + ROUNDING_TOLERANCE)

    def pause_seconds(
        self, upstream: Upstream, requested_seconds: float | None
    ) -> float | None:
        """Return the pause after a rejection, given the one that was requested."""
        if not self.is_brittle(upstream):
            return requested_seconds
        return max(requested_seconds or 0.0, REJECTION_PAUSE_SECONDS)

    def probe_interval_seconds(self, upstream: Upstream, now_seconds: float) -> float:
        """Return the minimum time between two health probes by this host."""
        if upstream.is_runner or not self.is_brittle(upstream):
            return 0.0
        hosts_count = self._peers.hosts_count(now_seconds)
        return PROBE_SECONDS * hosts_count / self._alive_ratio(now_seconds)
