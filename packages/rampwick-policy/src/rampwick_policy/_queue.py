"""Requests that wait for an upstream, by class, then workspace, then arrival."""

from collections.abc import Iterator

import attrs

from rampwick_schema import ReprMixin

from ._events import RANKED_CLASSES, RequestArrived
from ._limit_book import Counted
from ._request import RequestLifecycle


@attrs.define(repr=False)
class QueuedRequest(ReprMixin):
    """A request with its state; it keeps its place in line over retries."""

    arrival: RequestArrived
    lifecycle: RequestLifecycle
    arrived_at_seconds: float
    #: Priced tokens that the request is taken to need.
    expected_tokens: float
    #: Whether its next attempt must be paid from the retry budget.
    needs_budget: bool = False
    #: Upstreams that had an attempt; another one goes first.
    tried: set[str] = attrs.field(factory=set)
    #: Upstream of the current attempt, its life, when that was sent, and its charge.
    upstream: str = ""
    incarnation: str = ""
    sent_at_seconds: float = 0.0
    charged_tokens: float = 0.0
    #: What it counts towards limits in tokens.
    counted: list[Counted] = attrs.field(factory=list)
    #: Since when nothing could be done for it, and why; nothing while something can.
    stranded_at_seconds: float | None = None
    stranded_reason: str = ""

    @property
    def request_id(self) -> str:
        """Id of the request."""
        return self.arrival.request_id

    @property
    def workspace_path(self) -> str:
        """Path of the workspace."""
        return self.arrival.workspace.path

    def strand(self, reason: str, now_seconds: float) -> None:
        """Note that nothing can be done for it now; it is not held for long so."""
        if self.stranded_at_seconds is None:
            self.stranded_at_seconds = now_seconds
        self.stranded_reason = reason

    def unstrand(self) -> None:
        """Note that it can go as soon as its turn comes."""
        self.stranded_at_seconds = None
        self.stranded_reason = ""


class WaitingQueue:
    """All waiting requests of this host."""

    def __init__(self) -> None:
        self._lines: dict[str, dict[str, dict[str, QueuedRequest]]] = {
            name: {} for name in RANKED_CLASSES
        }
        self._counts: dict[str, int] = {}
        self._service_counts: dict[tuple[str, str], int] = {}
        self._tokens: dict[str, float] = {}
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def __iter__(self) -> Iterator[QueuedRequest]:
        for lines in self._lines.values():
            for line in lines.values():
                yield from line.values()

    def add(self, item: QueuedRequest) -> None:
        """Append a request to its line."""
        lines = self._lines[item.arrival.priority_class]
        lines.setdefault(item.workspace_path, {})[item.request_id] = item
        self._adjust(item, sign=1)

    def add_first(self, item: QueuedRequest) -> None:
        """Put a request at the head of its line, as after a failed attempt."""
        lines = self._lines[item.arrival.priority_class]
        line = lines.get(item.workspace_path, {})
        lines[item.workspace_path] = {item.request_id: item, **line}
        self._adjust(item, sign=1)

    def remove(self, item: QueuedRequest) -> None:
        """Take a request out of its line."""
        lines = self._lines[item.arrival.priority_class]
        line = lines[item.workspace_path]
        del line[item.request_id]
        if not line:
            del lines[item.workspace_path]
        self._adjust(item, sign=-1)

    def last_of_longest(self, other_than: str) -> QueuedRequest | None:
        """Return the newest request of the workspace with the longest line.

        None if the other workspace's own line is as long.
        """
        path = max(self._counts, key=lambda name: self._counts[name])
        if self._counts[path] <= self._counts.get(other_than, 0) + 1:
            return None
        for lines in reversed(self._lines.values()):
            if path in lines:
                return next(reversed(lines[path].values()))
        return None

    def workspaces_waiting(self, priority_class: str) -> list[str]:
        """Return the paths of the workspaces that wait in a class."""
        return list(self._lines[priority_class])

    def line(self, priority_class: str, path: str) -> Iterator[QueuedRequest]:
        """Yield a workspace's requests in a class, the first in line first."""
        yield from self._lines[priority_class].get(path, {}).values()

    def counts(self) -> dict[str, int]:
        """Return the number of waiting requests by workspace."""
        return self._counts

    def service_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of waiting requests by workspace and service."""
        return self._service_counts

    def waiting_count(self, path: str) -> int:
        """Return the number of requests waiting at or below a path."""
        if path in self._counts:
            return self._counts[path]
        prefix = path.rstrip("/") + "/"
        return sum(
            count for name, count in self._counts.items() if name.startswith(prefix)
        )

    def waiting_tokens(self, path: str) -> float:
        """Return the priced tokens that wait for one workspace."""
        return self._tokens.get(path, 0.0)

    def _adjust(self, item: QueuedRequest, sign: int) -> None:
        path = item.workspace_path
        key = (path, item.arrival.service)
        self._count += sign
        self._service_counts[key] = self._service_counts.get(key, 0) + sign
        if not self._service_counts[key]:
            del self._service_counts[key]
        self._counts[path] = self._counts.get(path, 0) + sign
        self._tokens[path] = self._tokens.get(path, 0.0) + sign * item.expected_tokens
        if not self._counts[path]:
            del self._counts[path]
            del self._tokens[path]
