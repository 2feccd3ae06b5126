"""Requests without a final answer, and the ways in which they end.

Ending a request removes it from its upstream, its queue and the host's table.
"""

from collections import Counter
from collections.abc import Iterator

from . import _events as ev
from ._admission import Admission
from ._forecasts import Forecasts
from ._pool import Pool
from ._queue import QueuedRequest, WaitingQueue
from ._refusals import Refusals
from ._request import RunState
from ._request_quarantine import RequestQuarantine
from ._retry import RetryBudgets
from ._upstream import Upstream


class OpenRequests:
    """The open requests of one host by ID; shares the scheduler's components."""

    def __init__(
        self,
        pool: Pool,
        queue: WaitingQueue,
        admission: Admission,
        refusals: Refusals,
        quarantine: RequestQuarantine,
        budgets: RetryBudgets,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._admission = admission
        self._refusals = refusals
        self._request_quarantine = quarantine
        self._budgets = budgets
        self._items: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._items.values()))

    def get(self, request_id: str) -> QueuedRequest | None:
        """Return a request that has no final answer yet."""
        return self._items.get(request_id)

    def add(self, item: QueuedRequest) -> None:
        """Add a request."""
        self._items[item.request_id] = item

    def remove(self, item: QueuedRequest) -> None:
        """Remove a request that has its final answer."""
        self._items.pop(item.request_id, None)

    def release(self, item: QueuedRequest, attempt_id: str, now_seconds: float) -> None:
        """Release the upstream resources of an attempt that ended."""
        self._pool.cache_transfers.end(attempt_id)
        self._request_quarantine.note_released(item)
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is not None:
            upstream.release(attempt_id, now_seconds)
        item.upstream = ""
        self._admission.note_ended(item.arrival.workspace)

    def charge_actual(
        self, item: QueuedRequest, real_tokens: float, now_seconds: float
    ) -> None:
        """Replace the estimated charge of a request by its actual cost."""
        difference = real_tokens - item.charged_tokens
        self._pool.ledger.charge(item.workspace_path, difference, now_seconds)
        item.charged_tokens = 0.0

    def cancel(self, item: QueuedRequest, event: ev.AttemptFailed) -> list[ev.Action]:
        """Cancel a failed attempt that may still run at its upstream."""
        if event.outcome.proves_not_run:
            return []
        upstream = self._pool.upstreams.get(item.upstream)
        return _cancellations(upstream, event.request_id, event.attempt_id)

    def drop(
        self, item: QueuedRequest, now_seconds: float, may_have_arrived: bool = True
    ) -> list[ev.Action]:
        """Remove a request from its queue, or cancel its attempt.

        An attempt that can't have reached its upstream did not run.
        """
        self.remove(item)
        attempt_id = item.lifecycle.attempt_id
        if not attempt_id:
            self._queue.remove(item)
            self._refund(item, now_seconds)
            return []
        upstream = self._pool.upstreams.get(item.upstream)
        self.release(item, attempt_id, now_seconds)
        if not may_have_arrived:
            self.charge_actual(item, 0.0, now_seconds)
            self._refund(item, now_seconds)
            return []
        item.has_unused_retry = False
        return _cancellations(upstream, item.request_id, attempt_id)

    def refuse(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        peer: str = "",
        retry_after_seconds: float | None = None,
        evidence: str = "",
    ) -> ev.Refuse:
        """Refuse a request that is not queued; its caller is answered at once.

        ``evidence`` replaces the description of all upstreams.
        """
        item.lifecycle.end()
        self.remove(item)
        self._refund(item, now_seconds)
        return self._refusals.make(
            item, reason, now_seconds, peer, retry_after_seconds, evidence
        )

    def abort(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        retry_after_seconds: float | None = None,
        evidence: str = "",
    ) -> list[ev.Action]:
        """Refuse a request that is queued or under way, and cancel its attempt."""
        is_under_way = bool(item.lifecycle.attempt_id)
        dropped = self.drop(item, now_seconds)
        if is_under_way and item.lifecycle.run_state < RunState.MAYBE_RUN:
            # It was under way without an answer, so it may have run.
            item.lifecycle.run_state = RunState.MAYBE_RUN
        refusal = self.refuse(
            item,
            reason,
            now_seconds,
            retry_after_seconds=retry_after_seconds,
            evidence=evidence,
        )
        return [*dropped, refusal]

    def refuse_unsendable(
        self, forecasts: Forecasts, now_seconds: float
    ) -> list[ev.Action]:
        """Refuse queued requests that, by their forecast, can't be sent in time."""
        actions: list[ev.Action] = []
        before: Counter[str] = Counter()
        for item in self:
            if not item.lifecycle.is_waiting or item.lifecycle.has_delivered:
                continue
            service = item.arrival.service
            postponed = forecasts.find_postponement(item, before[service], now_seconds)
            if postponed is None:
                before[service] += 1
            else:
                actions += self.abort(
                    item, postponed.reason, now_seconds, postponed.retry_after_seconds
                )
        return actions

    def _refund(self, item: QueuedRequest, now_seconds: float) -> None:
        """Refund what was charged for attempts that reached no upstream.

        Limit charges are refunded if the request certainly did not run.
        """
        if item.has_unused_retry:
            hosts_count = self._pool.peers.known_hosts_count
            self._budgets.of(item.arrival.service, hosts_count).refund()
            item.has_unused_retry = False
        if item.lifecycle.run_state <= RunState.REFUSED:
            self._pool.limits.refund(item.limit_charges, now_seconds)
            item.limit_charges = []


def _cancellations(
    upstream: Upstream | None, request_id: str, attempt_id: str
) -> list[ev.Action]:
    """Return the cancellation of an attempt at a runner.

    A plain service knows no attempts: the close of the connection has to do.
    """
    if upstream is None or not upstream.is_runner:
        return []
    address = upstream.entry.address
    return [ev.CancelAttempt(request_id, attempt_id, upstream.name, address)]
