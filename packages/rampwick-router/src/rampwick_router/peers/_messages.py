"""Peers' messages as the scheduler's events and members, and the other way round."""

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

from ..control import StewardTask

#: Who told this host of targets, as its log says it.
STEWARD_SOURCE = "the steward says so"


def to_record(member: Member) -> MemberRecord:
    """Return a member as peers are told of it."""
    return MemberRecord(
        member.name,
        member.hall,
        member.address,
        member.incarnation,
        member.link_megabits_per_second,
    )


def to_member(record: MemberRecord) -> Member:
    """Return the member that a peer told of."""
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
    steward: StewardTask,
    targets: Sequence[WeightsTarget],
    named: Sequence[NamedWeights],
    now_seconds: float,
) -> RolloutUpdate:
    """Return what the steward has to say: lease, targets, loads, weights."""
    loads = [
        RunnerLoad(
            load.upstream,
            load.incarnation,
            load.weights_version,
            max(0.0, load.until_seconds - now_seconds),
        )
        for load in steward.loads()
    ]
    weights = [
        RunnerWeights(shown.upstream, shown.incarnation, shown.weights_version)
        for shown in steward.weights_shown()
    ]
    return RolloutUpdate(
        holder=holder,
        lease_version=steward.lease.version,
        targets=list(targets),
        loads=loads,
        weights=weights,
        named=list(named),
    )


def steward_events(update: RolloutUpdate, now_seconds: float) -> Iterator[Event]:
    """Yield what the scheduler learns from a leader's update."""
    if update.targets:
        named = tuple(update.named)
        yield TargetsReceived(tuple(update.targets), STEWARD_SOURCE, named=named)
    for load in update.loads:
        yield WeightsLoadOrdered(
            load.upstream,
            load.incarnation,
            load.weights_version,
            now_seconds + load.remaining_seconds,
        )
    for shown in update.weights:
        yield WeightsReported(
            shown.upstream,
            shown.incarnation,
            shown.weights_version,
            is_own_report=False,
        )


def to_cache_event_update(gathered: Iterable[CacheReported]) -> CacheEventUpdate:
    """Return cache events as peers are told of them."""
    return CacheEventUpdate(
        [
            CacheUpdate(
                seen.upstream,
                seen.is_reset,
                [
                    CacheChange(item.label, list(item.prefixes), list(item.tokens))
                    for item in seen.changes
                ],
            )
            for seen in gathered
        ]
    )


def cache_events(message: CacheEventUpdate) -> Iterator[CacheReported]:
    """Yield what the scheduler learns from a peer's cache events."""
    for update in message.updates:
        changes = tuple(
            CacheChanges(
                change.incarnation, tuple(change.prefixes), tuple(change.kept_tokens)
            )
            for change in update.changes
        )
        yield CacheReported(update.upstream, changes, update.is_reset)
