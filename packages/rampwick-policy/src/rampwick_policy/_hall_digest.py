"""What many hosts say, put together by a relay for those that don't hear them."""

from collections import Counter
from collections.abc import Iterable

import attrs

from rampwick_schema import (
    LimitUsage,
    PlacedPrefix,
    ReprMixin,
    Summary,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
)

from ._configuration import TreeVersion

#: Placements of a hall that wait for the next sum; older ones give way, since a home
#: is computed for what nobody is known to hold.
MAX_PLACED = 512


@attrs.define(repr=False)
class SummaryDigest(ReprMixin):
    """Collects what is told only once, and adds up what stands."""

    _placed: list[PlacedPrefix] = attrs.field(factory=list)

    def take(self, summary: Summary) -> None:
        """Take a summary of one host."""
        self._placed += summary.placed
        del self._placed[:-MAX_PLACED]

    def merge(self, summaries: Iterable[Summary], sequence: int) -> Summary:
        """Return the sum of the summaries of a hall's hosts."""
        known = list(summaries)
        placed, self._placed = self._placed, []
        version = _newest_version(known)
        return Summary(
            sequence=sequence,
            revision=version.revision,
            host_list_version=max(
                (item.host_list_version for item in known), default=-1
            ),
            is_leaving=False,
            workspaces=_sum_workspaces(known),
            upstreams=_sum_upstreams(known),
            placed=placed,
            down=sorted({name for item in known for name in item.down}),
            hosts_count=max(1, sum(item.hosts_count for item in known)),
            waiting=_sum_waiting(known),
            limits=sum_limits(known),
            limits_known_seconds=max(
                (item.limits_known_seconds for item in known), default=0.0
            ),
            store_era=version.store_era,
        )


def without(total: Summary, part: Summary) -> Summary:
    """Return a sum of summaries without one that is part of it.

    A host takes its own word out of what its relay tells of all.
    """
    used = {item.workspace: item.used_tokens for item in part.workspaces}
    loads = {(item.upstream, item.incarnation): item for item in part.upstreams}
    waiting = {
        (item.workspace, item.service): item.requests_count for item in part.waiting
    }
    own_limits = {item.path: item for item in part.limits}
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
            _less(item, loads.get((item.upstream, item.incarnation)))
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
            _plus(item, own_limits[item.path], sign=-1)
            if item.path in own_limits
            else item
            for item in total.limits
        ],
    )


def without_limits(summary: Summary) -> Summary:
    """Return what hosts say that may be gone: they neither send nor are there."""
    return attrs.evolve(summary, limits=[], hosts_count=1, limits_known_seconds=0.0)


def _newest_version(summaries: Iterable[Summary]) -> TreeVersion:
    newest = TreeVersion(0)
    for summary in summaries:
        version = TreeVersion(summary.revision, summary.store_era)
        if version.is_newer_than(newest):
            newest = version
    return newest


def _less(total: UpstreamUsage, part: UpstreamUsage | None) -> UpstreamUsage:
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
    """Return what hosts say under each limit, added up."""
    sums: dict[str, LimitUsage] = {}
    for summary in summaries:
        for usage in summary.limits:
            known = sums.get(usage.path)
            sums[usage.path] = usage if known is None else _plus(known, usage)
    return [sums[path] for path in sorted(sums)]


def _plus(usage: LimitUsage, other: LimitUsage, sign: int = 1) -> LimitUsage:
    return LimitUsage(
        usage.path,
        max(0, usage.sent_tokens + sign * other.sent_tokens),
        max(0, usage.leaving_tokens + sign * other.leaving_tokens),
        max(0, usage.asked_tokens + sign * other.asked_tokens),
    )


def _sum_upstreams(summaries: Iterable[Summary]) -> list[UpstreamUsage]:
    sums: dict[tuple[str, str], UpstreamUsage] = {}
    for summary in summaries:
        for usage in summary.upstreams:
            key = (usage.upstream, usage.incarnation)
            known = sums.get(key)
            if known is not None:
                usage = attrs.evolve(
                    usage,
                    running_count=usage.running_count + known.running_count,
                    waiting_tokens=usage.waiting_tokens + known.waiting_tokens,
                )
            sums[key] = usage
    return [sums[key] for key in sorted(sums)]
