"""Who may go next: limits, entitlement among hosts, and how long a wait will be."""

from collections import Counter

import attrs

from rampwick_schema import ReprMixin

from ._membership import Membership
from ._queue import WaitingQueue
from ._shares import DecayedUse, ShareLedger, Standing
from ._tree import LimitedNode, Workspace

#: Time constant of the rate at which this host gets rid of waiting work.
DRAIN_SECONDS = 5.0

#: Time for which work must have been waiting before that rate is believed.
MIN_BACKLOG_SECONDS = 2.0

#: Bounds of what callers are told to wait before they come back.
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_RETRY_AFTER_SECONDS = 60.0

#: Time for which a peer's word of what waits there is believed: two intervals of a
#: small fleet's summaries. What waits is gone within milliseconds where there is room,
#: and slots that are left free for it would stand idle.
WAITING_BELIEVED_SECONDS = 0.5

#: A standing this much lower than another goes first for sure; less is noise.
ENTITLED_RATIO = 0.9


@attrs.frozen(repr=False)
class Rival(ReprMixin):
    """A workspace that waits on other hosts."""

    standing: Standing
    waiting_count: int


class Admission:
    """Limits and shares over this host's queue and what peers told."""

    def __init__(
        self, queue: WaitingQueue, ledger: ShareLedger, peers: Membership
    ) -> None:
        self._queue = queue
        self._ledger = ledger
        self._peers = peers
        self._drain = DecayedUse(DRAIN_SECONDS)
        self._backlog_since_seconds: float | None = None
        self._running: dict[str, int] = {}
        self.workspaces: dict[str, Workspace] = {}

    def note_started(
        self, workspace: Workspace, tokens: float, now_seconds: float
    ) -> None:
        """Note that waiting work went to an upstream."""
        self._drain.add("", tokens, now_seconds)
        for path in workspace.lineage:
            self._running[path] = self._running.get(path, 0) + 1

    def note_queue(self, now_seconds: float) -> None:
        """Note whether anything waits; only then is the drain rate a measure.

        While nothing waits the rate shows the demand, not what could be served.
        """
        if not len(self._queue):
            self._backlog_since_seconds = None
        elif self._backlog_since_seconds is None:
            self._backlog_since_seconds = now_seconds
            self._drain = DecayedUse(DRAIN_SECONDS, at_seconds=now_seconds)

    def note_ended(self, workspace: Workspace) -> None:
        """Note that an attempt of a workspace ended."""
        for path in workspace.lineage:
            self._running[path] -= 1
            if not self._running[path]:
                del self._running[path]

    def running_count(self, path: str) -> int:
        """Return the attempts open at or below a path."""
        return self._running.get(path, 0)

    def full_limit(self, workspace: Workspace) -> str:
        """Return the path whose limit on waiting requests is reached, or nothing."""
        for limit in workspace.limits:
            most = limit.max_waiting_count
            if most is not None and self._queue.waiting_count(limit.path) >= most:
                return limit.path
        return ""

    def may_start(self, workspace: Workspace) -> bool:
        """Return whether limits on running requests let another one start."""
        return all(self._may_start(limit) for limit in workspace.limits)

    def _may_start(self, limit: LimitedNode) -> bool:
        most = limit.max_running_count
        return most is None or self.running_count(limit.path) < most

    def standing(self, workspace: Workspace, now_seconds: float) -> Standing:
        """Return the workspace's place in line over all hosts."""
        return self._ledger.standing(workspace, now_seconds)

    def rivals(self, service: str, now_seconds: float) -> list[Rival]:
        """Return the workspaces that wait at peers for a service."""
        return [
            Rival(self.standing(workspace, now_seconds), count)
            for path, count in self._waiting_elsewhere(service, now_seconds).items()
            if (workspace := self.workspaces.get(path)) is not None
        ]

    def _waiting_elsewhere(self, service: str, now_seconds: float) -> dict[str, int]:
        counts: Counter[str] = Counter()
        for view in self._peers.live(now_seconds):
            if now_seconds - view.heard_at_seconds > WAITING_BELIEVED_SECONDS:
                continue
            for waiting in view.summary.waiting:
                if waiting.service == service:
                    counts[waiting.workspace] += waiting.requests_count
        return counts

    def wait_seconds(self, workspace: Workspace, now_seconds: float) -> float:
        """Return how long a request that arrives now will wait, by the drain rate."""
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
        """Return when coming back has a chance: once today's queue is gone."""
        wait_seconds = self.wait_seconds(workspace, now_seconds)
        return min(MAX_RETRY_AFTER_SECONDS, max(MIN_RETRY_AFTER_SECONDS, wait_seconds))


def goes_before(standing: Standing, other: Standing) -> bool:
    """Return whether one standing is lower by more than noise."""
    for mine, theirs in zip(standing, other, strict=False):
        if mine < theirs * ENTITLED_RATIO:
            return True
        if theirs < mine * ENTITLED_RATIO:
            return False
    return False
