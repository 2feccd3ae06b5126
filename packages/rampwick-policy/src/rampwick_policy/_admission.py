"""Admission: limits on requests, fairness across hosts and estimated waiting times."""

from collections import Counter

import attrs

from rampwick_schema import ReprMixin

from ._membership import Membership
from ._queue import WaitingQueue
from ._shares import DecayedUsage, FairnessKey, UsageLedger
from ._tree import LimitedNode, Workspace

#: Time constant of the rate at which this host's queue drains.
DRAIN_SECONDS = 5.0

#: Time for which requests must have been queued before that rate is used.
MIN_BACKLOG_SECONDS = 2.0

#: Bounds of the ``Retry-After`` value sent to callers.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0

#: Age up to which a peer's report of its waiting requests is used: two summary
#: intervals of a small fleet. Requests leave the queue within milliseconds where there
#: is capacity, and slots reserved for them after that would stay idle.
MAX_WAITING_REPORT_AGE_SECONDS = 0.5

#: Ratio below which one usage counts as lower than another; the rest is noise.
PRECEDENCE_RATIO = 0.9


@attrs.frozen(repr=False)
class PeerDemand(ReprMixin):
    """Requests of one workspace that wait at peers."""

    fairness_key: FairnessKey
    waiting_count: int


class Admission:
    """Applies limits and fair shares to this host's queue and its peers' reports."""

    def __init__(
        self, queue: WaitingQueue, ledger: UsageLedger, peers: Membership
    ) -> None:
        self._queue = queue
        self._ledger = ledger
        self._peers = peers
        self._drain = DecayedUsage(DRAIN_SECONDS)
        self._backlog_since_seconds: float | None = None
        self._running: dict[str, int] = {}
        self.workspaces: dict[str, Workspace] = {}

    def note_started(
        self, workspace: Workspace, tokens: float, now_seconds: float
    ) -> None:
        """Record that a waiting request was sent to an upstream."""
        self._drain.add("", tokens, now_seconds)
        for path in workspace.lineage:
            self._running[path] = self._running.get(path, 0) + 1

    def note_backlog(self, now_seconds: float) -> None:
        """Record whether requests wait; the drain rate is valid only while some do.

        With an empty queue the rate measures the demand, not the capacity.
        """
        if not len(self._queue):
            self._backlog_since_seconds = None
        elif self._backlog_since_seconds is None:
            self._backlog_since_seconds = now_seconds
            self._drain = DecayedUsage(DRAIN_SECONDS, at_seconds=now_seconds)

    def note_ended(self, workspace: Workspace) -> None:
        """Record that an attempt of a workspace ended."""
        for path in workspace.lineage:
            self._running[path] -= 1
            if not self._running[path]:
                del self._running[path]

    def running_count(self, path: str) -> int:
        """Return the number of open attempts at or below a path."""
        return self._running.get(path, 0)

    def reached_limit(self, workspace: Workspace) -> str:
        """Return the path whose limit on waiting requests is reached, or ``""``."""
        for limit in workspace.limits:
            max_count = limit.max_waiting_count
            if (
                max_count is not None
                and self._queue.waiting_count(limit.path) >= max_count
            ):
                return limit.path
        return ""

    def may_start(self, workspace: Workspace) -> bool:
        """Return whether the limits on running requests allow another one."""
        return all(self._may_start(limit) for limit in workspace.limits)

    def _may_start(self, limit: LimitedNode) -> bool:
        max_count = limit.max_running_count
        return max_count is None or self.running_count(limit.path) < max_count

    def fairness_key(self, workspace: Workspace, now_seconds: float) -> FairnessKey:
        """Return the workspace's usage by level over all hosts; the lowest is first."""
        return self._ledger.fairness_key(workspace, now_seconds)

    def peer_demands(self, service: str, now_seconds: float) -> list[PeerDemand]:
        """Return the workspaces with requests for a service that wait at peers."""
        return [
            PeerDemand(self.fairness_key(workspace, now_seconds), count)
            for path, count in self._waiting_at_peers(service, now_seconds).items()
            if (workspace := self.workspaces.get(path)) is not None
        ]

    def _waiting_at_peers(self, service: str, now_seconds: float) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for view in self._peers.live(now_seconds):
            if now_seconds - view.last_seen_seconds > MAX_WAITING_REPORT_AGE_SECONDS:
                continue
            for waiting in view.summary.waiting:
                if waiting.service == service:
                    counts[waiting.workspace] += waiting.requests_count
        return counts

    def wait_seconds(self, workspace: Workspace, now_seconds: float) -> float:
        """Estimate from the drain rate how long a request that arrives now waits."""
        waiting = self._queue.waiting_tokens(workspace.path)
        tokens_per_second = self._drained_tokens_per_second(now_seconds)
        if not waiting or tokens_per_second is None:
            return 0.0
        contenders = max(1, len(self._queue.counts()))
        return waiting * contenders / tokens_per_second

    def _drained_tokens_per_second(self, now_seconds: float) -> float | None:
        since_seconds = self._backlog_since_seconds
        if since_seconds is None or now_seconds - since_seconds < MIN_BACKLOG_SECONDS:
            return None
        elapsed_seconds = min(DRAIN_SECONDS, now_seconds - since_seconds)
        return max(1.0, self._drain.get("", now_seconds)) / elapsed_seconds

    def retry_after_seconds(self, workspace: Workspace, now_seconds: float) -> float:
        """Return the time until the present queue is expected to be empty, bounded."""
        wait_seconds = self.wait_seconds(workspace, now_seconds)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))


def precedes(fairness_key: FairnessKey, other: FairnessKey) -> bool:
    """Return whether a fairness key is lower than another by more than noise."""
    for value, other_value in zip(fairness_key, other, strict=False):
        if value < other_value * PRECEDENCE_RATIO:
            return True
        if other_value < value * PRECEDENCE_RATIO:
            return False
    return False
