"""Requests that wait at peers, by service, from their summaries.

The sums are rebuilt only when a summary was received or dropped, or when one of them
becomes too old, because an estimate needs them for each request that waits.
"""

import math

import attrs

from rampwick_schema import QueuedWork, ReprMixin, Summary

from ._admission import MAX_WAITING_REPORT_AGE_SECONDS
from ._events import RANKED_CLASSES
from ._membership import Membership, PeerView
from ._reported_figures import MAX_REPORTED_REQUESTS, MAX_REPORTED_TOKENS


@attrs.define(repr=False)
class ServiceQueue(ReprMixin):
    """Requests for one service that wait at peers."""

    #: Requests and the prompt tokens to compute for them, by priority rank.
    requests_counts: list[int] = attrs.field(factory=lambda: [0] * len(RANKED_CLASSES))
    prompt_tokens: list[int] = attrs.field(factory=lambda: [0] * len(RANKED_CLASSES))
    #: Requests by workspace.
    workspace_counts: dict[str, int] = attrs.field(factory=dict)


NO_QUEUE = ServiceQueue()


class PeerQueues:
    """Sums of the peers' recent queue reports."""

    def __init__(self, peers: Membership) -> None:
        self._peers = peers
        self._queues: dict[str, ServiceQueue] = {}
        self._version = -1
        self._valid_until_seconds = -math.inf
        self._last_ignored: dict[str, tuple[int, int]] = {}
        #: Reports, or values in them, that were ignored as too old or implausible.
        self._ignored_count = 0

    @property
    def ignored_count(self) -> int:
        """Number of reports ignored, wholly or in part, as too old or implausible."""
        return self._ignored_count + self._peers.ignored_count

    def of(self, service: str, now_seconds: float) -> ServiceQueue:
        """Return the requests for a service that wait at peers."""
        is_current = self._version == self._peers.version
        if not is_current or now_seconds > self._valid_until_seconds:
            self._rebuild(now_seconds)
        return self._queues.get(service, NO_QUEUE)

    def _rebuild(self, now_seconds: float) -> None:
        self._version = self._peers.version
        self._valid_until_seconds = math.inf
        self._queues = {}
        for view in self._peers.live(now_seconds):
            until_seconds = view.last_seen_seconds + MAX_WAITING_REPORT_AGE_SECONDS
            if now_seconds > until_seconds:
                if view.summary.queued:
                    self._note_ignored(view, 1)
                continue
            self._valid_until_seconds = min(self._valid_until_seconds, until_seconds)
            ignored_count = self._add(view.summary)
            if ignored_count:
                self._note_ignored(view, ignored_count)

    def _add(self, summary: Summary) -> int:
        """Add a summary; return the number of implausible values in it."""
        ignored_count = 0
        for work in summary.queued:
            if not _is_plausible(work):
                ignored_count += 1
                continue
            queue = self._queues.setdefault(work.service, ServiceQueue())
            queue.requests_counts[work.priority_rank] += work.requests_count
            queue.prompt_tokens[work.priority_rank] += work.prompt_tokens
        for waiting in summary.waiting:
            queue_of_service = self._queues.get(waiting.service)
            if queue_of_service is None:
                # A peer of a version that reports no ranks.
                continue
            if not _is_within(waiting.requests_count, MAX_REPORTED_REQUESTS):
                ignored_count += 1
                continue
            counts = queue_of_service.workspace_counts
            known_count = counts.get(waiting.workspace, 0)
            counts[waiting.workspace] = known_count + waiting.requests_count
        return ignored_count

    def _note_ignored(self, view: PeerView, count: int) -> None:
        """Count what was ignored in a summary, once for each summary."""
        order = (view.incarnation, view.summary.sequence)
        if self._last_ignored.get(view.name) != order:
            self._last_ignored[view.name] = order
            self._ignored_count += count


def _is_plausible(work: QueuedWork) -> bool:
    return (
        _is_within(work.priority_rank, len(RANKED_CLASSES) - 1)
        and _is_within(work.requests_count, MAX_REPORTED_REQUESTS)
        and _is_within(work.prompt_tokens, MAX_REPORTED_TOKENS)
    )


def _is_within(value: object, maximum: int) -> bool:
    # Messages are checked against the schema only for their lower bounds.
    return isinstance(value, int) and 0 <= value <= maximum
