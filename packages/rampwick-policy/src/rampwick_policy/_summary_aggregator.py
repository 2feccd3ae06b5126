"""Aggregation of host summaries by a relay."""

from collections import Counter
from collections.abc import Iterable

import attrs

from rampwick_schema import (
    LimitUsage,
    PlacedPrefix,
    PrefillDemand,
    QueuedWork,
    ReprMixin,
    Summary,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
)

from ._configuration import TreeVersion
from ._prefill_demand import is_plausible

#: Maximum number of placements of a hall that wait for the next sum. Older ones are
#: dropped, since rendezvous hashing places prefixes without a known holder.
MAX_PLACED = 512


@attrs.define(repr=False)
class SummaryAggregator(ReprMixin):
    """Collects placements, which are sent once, and sums up current values."""

    _placed: list[PlacedPrefix] = attrs.field(factory=list)

    def add(self, summary: Summary) -> None:
        """Collect the placements in the summary of one host."""
        self._placed += summary.placed
        del self._placed[:-MAX_PLACED]

    def restore(self, placed: Iterable[PlacedPrefix]) -> None:
        """Add placements of a sum again that did not reach all its recipients."""
        self._placed[:0] = placed
        del self._placed[:-MAX_PLACED]

    def merge(
        self,
        summaries: Iterable[Summary],
        sequence: int,
        max_placed: int = MAX_PLACED,
    ) -> Summary:
        """Return the sum of the summaries of the hosts of a hall.

        It has at most ``max_placed`` placements, the newest ones; the others wait.
        """
        host_summaries = list(summaries)
        placed = self._placed[-max_placed:]
        del self._placed[-max_placed:]
        version = _newest_version(host_summaries)
        return Summary(
            sequence=sequence,
            revision=version.revision,
            host_list_version=max(
                (item.host_list_version for item in host_summaries), default=-1
            ),
            is_leaving=False,
            workspaces=_sum_workspaces(host_summaries),
            upstreams=_sum_upstreams(host_summaries),
            placed=placed,
            down=sorted({name for item in host_summaries for name in item.down}),
            hosts_count=max(1, sum(item.hosts_count for item in host_summaries)),
            waiting=_sum_waiting(host_summaries),
            limits=sum_limits(host_summaries),
            limits_known_seconds=max(
                (item.limits_known_seconds for item in host_summaries), default=0.0
            ),
            store_era=version.store_era,
            prefill_demand=_sum_prefill_demand(host_summaries),
            queued=_sum_queued(host_summaries),
        )


def subtract_summary(total: Summary, part: Summary) -> Summary:
    """Return a sum of summaries minus one of them.

    A host subtracts its own summary from the sum that its relay sends.
    """
    used = {item.workspace: item.used_tokens for item in part.workspaces}
    loads = {(item.upstream, item.incarnation): item for item in part.upstreams}
    waiting = {
        (item.workspace, item.service): item.requests_count for item in part.waiting
    }
    own_limits = {item.path: item for item in part.limits}
    own_demand = {item.service: item for item in part.prefill_demand}
    own_queued = {(item.service, item.priority_rank): item for item in part.queued}
    return attrs.evolve(
        total,
        workspaces=[
            WorkspaceUsage(
                item.workspace,
                max(0, item.used_tokens - used.get(item.workspace, 0)),
            )
            for item in total.workspaces
        ],
        upstreams=[
            _subtract_load(item, loads.get((item.upstream, item.incarnation)))
            for item in total.upstreams
        ],
        waiting=[
            attrs.evolve(
                item,
                requests_count=max(
                    0,
                    item.requests_count
                    - waiting.get((item.workspace, item.service), 0),
                ),
            )
            for item in total.waiting
        ],
        hosts_count=max(1, total.hosts_count - part.hosts_count),
        limits=[
            _add_usage(item, own_limits[item.path], sign=-1)
            if item.path in own_limits
            else item
            for item in total.limits
        ],
        prefill_demand=[
            _add_demand(item, own_demand[item.service], sign=-1)
            if item.service in own_demand
            else item
            for item in total.prefill_demand
        ],
        queued=[
            _add_queued(item, own_queued[item.service, item.priority_rank], sign=-1)
            if (item.service, item.priority_rank) in own_queued
            else item
            for item in total.queued
        ],
    )


def without_limits(summary: Summary) -> Summary:
    """Return the summary of hosts that may be dead, without limits and host count.

    Dead hosts neither send requests nor count as members.
    """
    return attrs.evolve(summary, limits=[], hosts_count=1, limits_known_seconds=0.0)


def _newest_version(summaries: Iterable[Summary]) -> TreeVersion:
    newest = TreeVersion(0)
    for summary in summaries:
        version = TreeVersion(summary.revision, summary.store_era)
        if version.is_newer_than(newest):
            newest = version
    return newest


def _subtract_load(total: UpstreamUsage, part: UpstreamUsage | None) -> UpstreamUsage:
    if part is None:
        return total
    return UpstreamUsage(
        total.upstream,
        total.incarnation,
        max(0, total.running_count - part.running_count),
        max(0, total.waiting_tokens - part.waiting_tokens),
    )


def _sum_workspaces(summaries: Iterable[Summary]) -> list[WorkspaceUsage]:
    used: Counter[str] = Counter()
    for summary in summaries:
        for usage in summary.workspaces:
            used[usage.workspace] += usage.used_tokens
    return [WorkspaceUsage(path, used[path]) for path in sorted(used)]


def _sum_waiting(summaries: Iterable[Summary]) -> list[WaitingCount]:
    counts: Counter[tuple[str, str]] = Counter()
    for summary in summaries:
        for waiting in summary.waiting:
            counts[waiting.workspace, waiting.service] += waiting.requests_count
    return [WaitingCount(*key, counts[key]) for key in sorted(counts)]


def sum_limits(summaries: Iterable[Summary]) -> list[LimitUsage]:
    """Return the usage of each limit, summed over all summaries."""
    sums: dict[str, LimitUsage] = {}
    for summary in summaries:
        for usage in summary.limits:
            previous = sums.get(usage.path)
            sums[usage.path] = (
                usage if previous is None else _add_usage(previous, usage)
            )
    return [sums[path] for path in sorted(sums)]


def _add_usage(usage: LimitUsage, other: LimitUsage, sign: int = 1) -> LimitUsage:
    return LimitUsage(
        usage.path,
        max(0, usage.sent_tokens + sign * other.sent_tokens),
        max(0, usage.leaving_tokens + sign * other.leaving_tokens),
        max(0, usage.asked_tokens + sign * other.asked_tokens),
        # The relay fills these in: see LimitTracker.with_relayed_limits().
        usage.total_tokens,
        max(0, usage.pending_tokens + sign * other.pending_tokens),
        usage.level_tokens,
        max(0, usage.held_tokens + sign * other.held_tokens),
    )


def _sum_prefill_demand(summaries: Iterable[Summary]) -> list[PrefillDemand]:
    sums: dict[str, PrefillDemand] = {}
    for summary in summaries:
        # The rates of one host must not make the sum of its hall implausible.
        for item in filter(is_plausible, summary.prefill_demand):
            known = sums.get(item.service)
            sums[item.service] = item if known is None else _add_demand(known, item)
    return [sums[service] for service in sorted(sums)]


def _add_demand(
    demand: PrefillDemand, other: PrefillDemand, sign: int = 1
) -> PrefillDemand:
    return PrefillDemand(
        demand.service,
        max(0.0, demand.long_tokens_per_second + sign * other.long_tokens_per_second),
        max(0.0, demand.short_tokens_per_second + sign * other.short_tokens_per_second),
    )


def _sum_queued(summaries: Iterable[Summary]) -> list[QueuedWork]:
    sums: dict[tuple[str, int], QueuedWork] = {}
    for summary in summaries:
        for item in summary.queued:
            key = (item.service, item.priority_rank)
            known = sums.get(key)
            sums[key] = item if known is None else _add_queued(known, item)
    return [sums[key] for key in sorted(sums)]


def _add_queued(queued: QueuedWork, other: QueuedWork, sign: int = 1) -> QueuedWork:
    return QueuedWork(
        queued.service,
        queued.priority_rank,
        max(0, queued.requests_count + sign * other.requests_count),
        max(0, queued.prompt_tokens + sign * other.prompt_tokens),
    )


def _sum_upstreams(summaries: Iterable[Summary]) -> list[UpstreamUsage]:
    sums: dict[tuple[str, str], UpstreamUsage] = {}
    for summary in summaries:
        for usage in summary.upstreams:
            key = (usage.upstream, usage.incarnation)
            previous = sums.get(key)
            if previous is not None:
                usage = attrs.evolve(
                    usage,
                    running_count=usage.running_count + previous.running_count,
                    waiting_tokens=usage.waiting_tokens + previous.waiting_tokens,
                )
            sums[key] = usage
    return [sums[key] for key in sorted(sums)]
