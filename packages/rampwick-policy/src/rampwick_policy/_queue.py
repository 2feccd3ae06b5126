"""The queue of requests that wait for an upstream.

Requests are ordered by priority class, then workspace, then arrival.
"""

import math
from collections.abc import Iterable, Iterator

import attrs

from rampwick_schema import ReprMixin

from ._events import RANKED_CLASSES, RequestArrived
from ._limit_tracker import LimitCharge
from ._request import RequestLifecycle

#: Service, model and priority class of a request, which determine its upstreams.
RequestKind = tuple[str, str, str]


def request_kind(arrival: RequestArrived) -> RequestKind:
    """Return the kind of a request."""
    model = arrival.scope.model if arrival.scope else ""
    return arrival.service, model, arrival.priority_class


@attrs.define(repr=False)
class QueuedRequest(ReprMixin):
    """A request with its state; it keeps its place in the queue over retries."""

    arrival: RequestArrived
    lifecycle: RequestLifecycle
    arrived_at_seconds: float
    #: Estimated cost in priced tokens.
    expected_tokens: float
    #: Prompt tokens that a runner is expected to compute for it.
    uncached_tokens: int = 0
    #: When it was expected to start, by the last estimate; ``None`` without one.
    expected_start_seconds: float | None = None
    #: Whether an estimate at its check promised that it will be served.
    is_kept: bool = False
    #: Whether its next attempt is charged to the retry budget.
    needs_budget: bool = False
    #: Whether a retry was charged to the budget that no upstream has received yet.
    has_unused_retry: bool = False
    #: Attempt that was given up, whose replacement has a retry of the budget reserved.
    given_up_attempt_id: str = ""
    #: Upstreams that had an attempt; others are preferred for the next one.
    tried_upstreams: set[str] = attrs.field(factory=set)
    #: Upstream of the current attempt, its incarnation, the time at which the attempt
    #: was sent, and the priced tokens charged for it.
    upstream: str = ""
    incarnation: str = ""
    sent_at_seconds: float = 0.0
    charged_tokens: float = 0.0
    #: When the answer of the current attempt began; ``None`` before.
    delivered_at_seconds: float | None = None
    #: Software version that the stream has to stay with; ``None`` while it may run at
    #: any. And that of the upstream of the current attempt.
    software_version: str | None = None
    attempt_software_version: str = ""
    #: How the version was found if the caller takes the stream up, for logs.
    version_evidence: str = ""
    #: Whether its caller certainly has a part of the answer.
    has_begun: bool = False
    #: Key of the quarantined suspect that it probes; empty for none.
    probed_key: bytes = b""
    #: When all reports of a crash have arrived that may concern this request.
    reports_due_at_seconds: float = -math.inf
    #: The latest attempt that got no answer for long.
    stalled_attempt_id: str = ""
    #: Charges against the token limits.
    limit_charges: list[LimitCharge] = attrs.field(factory=list)
    #: Since when and why no upstream can be used for it; unset while one can.
    blocked_since_seconds: float | None = None
    blocked_reason: str = ""

    @property
    def request_id(self) -> str:
        """ID of the request."""
        return self.arrival.request_id

    @property
    def priority_rank(self) -> int:
        """Rank of the priority class; 0 is the most urgent."""
        return RANKED_CLASSES.index(self.arrival.priority_class)

    @property
    def workspace_path(self) -> str:
        """Path of the workspace."""
        return self.arrival.workspace.path

    @property
    def expected_wait_seconds(self) -> float | None:
        """Time from its arrival to its expected start; ``None`` without an estimate."""
        if self.expected_start_seconds is None:
            return None
        return self.expected_start_seconds - self.arrived_at_seconds

    def mark_blocked(self, reason: str, now_seconds: float) -> None:
        """Mark the request as blocked; it is refused if that lasts too long."""
        if self.blocked_since_seconds is None:
            self.blocked_since_seconds = now_seconds
        self.blocked_reason = reason

    def clear_blocked(self) -> None:
        """Mark the request as ready to be dispatched in its order."""
        self.blocked_since_seconds = None
        self.blocked_reason = ""


@attrs.define(repr=False)
class RankedWork(ReprMixin):
    """Queued requests of one service and priority rank."""

    requests_count: int = 0
    #: Prompt tokens that runners are expected to compute for them.
    prompt_tokens: int = 0


class WaitingQueue:
    """All waiting requests of this host."""

    def __init__(self) -> None:
        self._queues: dict[str, dict[str, dict[str, QueuedRequest]]] = {
            name: {} for name in RANKED_CLASSES
        }
        self._counts: dict[str, int] = {}
        self._service_counts: dict[tuple[str, str], int] = {}
        self._kind_counts: dict[RequestKind, int] = {}
        self._tokens: dict[str, float] = {}
        self._ranked_work: dict[tuple[str, int], RankedWork] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        for queues in self._queues.values():
            for queue in queues.values():
                yield from queue.values()

    def add(self, item: QueuedRequest) -> None:
        """Append a request to its workspace's queue."""
        queues = self._queues[item.arrival.priority_class]
        queues.setdefault(item.workspace_path, {})[item.request_id] = item
        self._adjust(item, sign=1)

    def add_first(self, item: QueuedRequest) -> None:
        """Insert a request at the head of its queue, as after a failed attempt."""
        queues = self._queues[item.arrival.priority_class]
        queue = queues.get(item.workspace_path, {})
        queues[item.workspace_path] = {item.request_id: item, **queue}
        self._adjust(item, sign=1)

    def add_begun(self, item: QueuedRequest) -> None:
        """Insert a stream that has begun after the others and before new requests."""
        queues = self._queues[item.arrival.priority_class]
        queue = queues.get(item.workspace_path, {})
        begun = {name: other for name, other in queue.items() if other.has_begun}
        queues[item.workspace_path] = {**begun, item.request_id: item, **queue}
        self._adjust(item, sign=1)

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request from its queue."""
        queues = self._queues[item.arrival.priority_class]
        queue = queues[item.workspace_path]
        del queue[item.request_id]
        if not queue:
            del queues[item.workspace_path]
        self._adjust(item, sign=-1)

    def newest_of_longest_queue(self, other_than: str) -> QueuedRequest | None:
        """Return the newest request of the workspace with the longest queue.

        ``None`` unless it is longer than ``other_than``'s by more than one request.
        """
        path = max(self._counts, key=lambda name: self._counts[name])
        if self._counts[path] <= self._counts.get(other_than, 0) + 1:
            return None
        for queues in reversed(self._queues.values()):
            if path in queues:
                return next(reversed(queues[path].values()))
        return None

    def waiting_workspaces(self, priority_class: str) -> list[str]:
        """Return the paths of the workspaces with waiting requests in a class."""
        return list(self._queues[priority_class])

    def workspace_queue(
        self, priority_class: str, path: str
    ) -> Iterator[QueuedRequest]:
        """Yield a workspace's waiting requests in a class, in queue order."""
        yield from self._queues[priority_class].get(path, {}).values()

    def place(self, item: QueuedRequest) -> tuple[int, int]:
        """Return how many requests of its workspace and class precede one, and all."""
        queue = self._queues[item.arrival.priority_class].get(item.workspace_path, {})
        for index, request_id in enumerate(queue):
            if request_id == item.request_id:
                return index, len(queue)
        return len(queue), len(queue)

    def counts(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return self._counts

    def kinds(self) -> Iterable[RequestKind]:
        """Return the kinds of the waiting requests."""
        return self._kind_counts.keys()

    def service_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of waiting requests by workspace and service."""
        return self._service_counts

    def ranked_work(self) -> dict[tuple[str, int], RankedWork]:
        """Return the queued work by service and priority rank."""
        return self._ranked_work

    def waiting_count(self, path: str) -> int:
        """Return the number of requests waiting at or below a path."""
        if path in self._counts:
            return self._counts[path]
        prefix = path.rstrip("/") + "/"
        return sum(
            count for name, count in self._counts.items() if name.startswith(prefix)
        )

    def waiting_tokens(self, path: str) -> float:
        """Return the priced tokens of one workspace's waiting requests."""
        return self._tokens.get(path, 0.0)

    def _adjust(self, item: QueuedRequest, sign: int) -> None:
        path = item.workspace_path
        key = (path, item.arrival.service)
        self._count += sign
        self._adjust_work(item, sign)
        self._service_counts[key] = self._service_counts.get(key, 0) + sign
        if not self._service_counts[key]:
            del self._service_counts[key]
        kind = request_kind(item.arrival)
        self._kind_counts[kind] = self._kind_counts.get(kind, 0) + sign
        if not self._kind_counts[kind]:
            del self._kind_counts[kind]
        self._counts[path] = self._counts.get(path, 0) + sign
        self._tokens[path] = self._tokens.get(path, 0.0) + sign * item.expected_tokens
        if not self._counts[path]:
            del self._counts[path]
            del self._tokens[path]

    def _adjust_work(self, item: QueuedRequest, sign: int) -> None:
        key = (item.arrival.service, item.priority_rank)
        work = self._ranked_work.setdefault(key, RankedWork())
        work.requests_count += sign
        work.prompt_tokens += sign * item.uncached_tokens
        if not work.requests_count:
            del self._ranked_work[key]
