"""The summary that a host publishes: usage, load, placements and failed upstreams."""

from rampwick_schema import (
    QueuedWork,
    Summary,
    UpstreamUsage,
    WaitingCount,
    WorkspaceUsage,
)

from ._health import HealthState
from ._pool import MAX_REPORTED_DOWN_RATIO, Pool
from ._queue import WaitingQueue

#: Time after its first failure for which an upstream is reported as down, and the
#: minimum number of consecutive failures, since a single one may be a lost packet.
DOWN_REPORT_SECONDS = 1.5
MIN_DOWN_FAILURES = 2


def own_summary(
    pool: Pool,
    queue: WaitingQueue,
    sequence: int,
    revision: int,
    is_leaving: bool,
    now_seconds: float,
) -> Summary:
    """Return the summary of this host for its peers.

    Each placement is included in one summary only.
    """
    return Summary(
        sequence=sequence,
        revision=revision,
        host_list_version=pool.upstreams.list_version,
        is_leaving=is_leaving,
        workspaces=_workspace_usages(pool, now_seconds),
        upstreams=[*_upstream_usages(pool), *pool.cache_transfers.usages()],
        placed=pool.caches.take_placed(),
        down=_reported_down(pool, now_seconds),
        waiting=[
            WaitingCount(path, service, count)
            for (path, service), count in sorted(queue.service_counts().items())
        ],
        limits=pool.limits.usages(now_seconds),
        limits_known_seconds=pool.limits.known_seconds(now_seconds),
        limits_counted_seconds=pool.limits.counted_seconds(now_seconds),
        prefill_demand=pool.prefill_isolation.own_demand(now_seconds),
        queued=_queued_work(queue),
    )


def _reported_down(pool: Pool, now_seconds: float) -> list[str]:
    down = [
        upstream
        for upstream in pool.upstreams
        if upstream.health.state is HealthState.DOWN
    ]
    if len(down) > MAX_REPORTED_DOWN_RATIO * len(pool.upstreams):
        return []
    return [
        upstream.name
        for upstream in down
        if upstream.health.failures_count >= MIN_DOWN_FAILURES
        and now_seconds - upstream.health.down_at_seconds < DOWN_REPORT_SECONDS
    ]


def _workspace_usages(pool: Pool, now_seconds: float) -> list[WorkspaceUsage]:
    used = pool.ledger.own_usage(now_seconds)
    return [WorkspaceUsage(path, round(used[path])) for path in sorted(used)]


def _upstream_usages(pool: Pool) -> list[UpstreamUsage]:
    return [
        UpstreamUsage(
            upstream=upstream.name,
            incarnation=upstream.generation_name,
            running_count=len(upstream.own_attempts),
            waiting_tokens=upstream.own_waiting_tokens,
        )
        for upstream in pool.upstreams
        if upstream.own_attempts
    ]


def _queued_work(queue: WaitingQueue) -> list[QueuedWork]:
    return [
        QueuedWork(service, rank, work.requests_count, work.prompt_tokens)
        for (service, rank), work in sorted(queue.ranked_work().items())
    ]
