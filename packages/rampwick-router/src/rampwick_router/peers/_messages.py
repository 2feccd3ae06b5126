"""Conversion between peer messages and scheduler events or members."""

from collections.abc import Iterable, Iterator, Sequence

from rampwick_policy import (
    CacheChanges,
    CacheReported,
    Event,
    Member,
    TargetsReceived,
    WeightsLoadOrdered,
    WeightsReported,
)
from rampwick_schema import (
    CacheChange,
    CacheEventUpdate,
    CacheUpdate,
    HostList,
    MemberRecord,
    NamedWeights,
    RolloutUpdate,
    RunnerLoad,
    RunnerWeights,
    WeightsTarget,
)

from ..control import RolloutController

#: Source of targets received from the rollout controller, for logs.
CONTROLLER_SOURCE = "update from the rollout controller"


def to_record(member: Member) -> MemberRecord:
    """Convert a member to its message form."""
    return MemberRecord(
        member.name,
        member.hall,
        member.address,
        member.incarnation,
        member.link_megabits_per_second,
    )


def to_member(record: MemberRecord) -> Member:
    """Convert a record from a peer to a member."""
    return Member(
        record.host,
        record.hall,
        record.peer_address,
        record.incarnation,
        record.link_megabits_per_second,
    )


def listed_members(host_list: HostList) -> list[Member]:
    """Return the entry hosts of a host list."""
    return [
        Member(entry.name, entry.hall, entry.address)
        for entry in host_list.hosts
        if entry.kind == "entry"
    ]


def rollout_update(
    holder: str,
    rollout_controller: RolloutController,
    targets: Sequence[WeightsTarget],
    named: Sequence[NamedWeights],
    now_seconds: float,
) -> RolloutUpdate:
    """Build the rollout controller's update: lease, targets, loads and weights."""
    loads = [
        RunnerLoad(
            load.upstream,
            load.incarnation,
            load.weights_version,
            max(0.0, load.until_seconds - now_seconds),
        )
        for load in rollout_controller.loads()
    ]
    weights = [
        RunnerWeights(observed.upstream, observed.incarnation, observed.weights_version)
        for observed in rollout_controller.observed_weights()
    ]
    return RolloutUpdate(
        holder=holder,
        lease_version=rollout_controller.lease.version,
        targets=list(targets),
        loads=loads,
        weights=weights,
        named=list(named),
    )


def rollout_events(update: RolloutUpdate, now_seconds: float) -> Iterator[Event]:
    """Yield the scheduler events for an update from the rollout controller."""
    if update.targets:
        named = tuple(update.named)
        yield TargetsReceived(tuple(update.targets), CONTROLLER_SOURCE, named=named)
    for load in update.loads:
        yield WeightsLoadOrdered(
            load.upstream,
            load.incarnation,
            load.weights_version,
            now_seconds + load.remaining_seconds,
        )
    for observed in update.weights:
        yield WeightsReported(
            observed.upstream,
            observed.incarnation,
            observed.weights_version,
            is_own_report=False,
        )


def to_cache_event_update(events: Iterable[CacheReported]) -> CacheEventUpdate:
    """Convert cache events to their message form."""
    return CacheEventUpdate(
        [
            CacheUpdate(
                event.upstream,
                event.is_reset,
                [
                    CacheChange(item.label, list(item.prefixes), list(item.tokens))
                    for item in event.changes
                ],
            )
            for event in events
        ]
    )


def cache_events(message: CacheEventUpdate) -> Iterator[CacheReported]:
    """Yield the scheduler events for cache events from a peer."""
    for update in message.updates:
        changes = tuple(
            CacheChanges(
                change.incarnation, tuple(change.prefixes), tuple(change.kept_tokens)
            )
            for change in update.changes
        )
        yield CacheReported(update.upstream, changes, update.is_reset)
