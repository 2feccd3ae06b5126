"""Requests without a final answer: how each leaves its upstream, its line, the host."""

from collections import Counter
from collections.abc import Iterator

from . import _events as ev
from ._admission import Admission
from ._forecasts import Forecasts
from ._pool import Pool
from ._queue import QueuedRequest, WaitingQueue
from ._refusals import Refusals
from ._request import RunState
from ._suspects import Suspects


class OpenRequests:
    """The requests of one host by id; it shares the scheduler's parts."""

    def __init__(
        self,
        pool: Pool,
        queue: WaitingQueue,
        admission: Admission,
        refusals: Refusals,
        suspects: Suspects,
    ) -> None:
        self._pool = pool
        self._queue = queue
        self._admission = admission
        self._refusals = refusals
        self._suspects = suspects
        self._items: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._items)

    def __iter__(self) -> Iterator[QueuedRequest]:
        return iter(list(self._items.values()))

    def get(self, request_id: str) -> QueuedRequest | None:
        """Return a request that has no final answer yet."""
        return self._items.get(request_id)

    def add(self, item: QueuedRequest) -> None:
        """Take a request in."""
        self._items[item.request_id] = item

    def remove(self, item: QueuedRequest) -> None:
        """Let go of a request that has its final answer."""
        self._items.pop(item.request_id, None)

    def release(self, item: QueuedRequest, attempt_id: str, now_seconds: float) -> None:
        """Note that a request is at its upstream no more."""
        self._pool.moves.end(attempt_id)
        self._suspects.note_left(item)
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is not None:
            upstream.release(attempt_id, now_seconds)
        item.upstream = ""
        self._admission.note_ended(item.arrival.workspace)

    def settle(
        self, item: QueuedRequest, real_tokens: float, now_seconds: float
    ) -> None:
        """Charge a request for what it cost in place of what it was taken to cost."""
        difference = real_tokens - item.charged_tokens
        self._pool.ledger.charge(item.workspace_path, difference, now_seconds)
        item.charged_tokens = 0.0

    def cancel(self, item: QueuedRequest, event: ev.AttemptFailed) -> list[ev.Action]:
        """Stop what an upstream may still do for an attempt that failed."""
        upstream = self._pool.upstreams.get(item.upstream)
        if upstream is None or event.outcome.proves_not_run:
            return []
        address = upstream.entry.address
        return [
            ev.CancelAttempt(event.request_id, event.attempt_id, upstream.name, address)
        ]

    def drop(self, item: QueuedRequest, now_seconds: float) -> list[ev.Action]:
        """Take a request out of its line, or cancel its attempt."""
        self.remove(item)
        attempt_id = item.lifecycle.attempt_id
        if not attempt_id:
            self._queue.remove(item)
            self._uncount(item)
            return []
        upstream = self._pool.upstreams.get(item.upstream)
        self.release(item, attempt_id, now_seconds)
        if upstream is None:
            return []
        address = upstream.entry.address
        return [ev.CancelAttempt(item.request_id, attempt_id, upstream.name, address)]

    def refuse(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        peer: str = "",
        retry_after_seconds: float | None = None,
    ) -> ev.Refuse:
        """Refuse a request that is in no line; its caller is answered at once."""
        item.lifecycle.end()
        self.remove(item)
        self._uncount(item)
        return self._refusals.make(item, reason, now_seconds, peer, retry_after_seconds)

    def give_up(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        retry_after_seconds: float | None = None,
    ) -> list[ev.Action]:
        """Refuse a request that waits or is under way, and cancel its attempt."""
        dropped = self.drop(item, now_seconds)
        if dropped and item.lifecycle.run_state < RunState.MAYBE_RUN:
            # Under way and unanswered: nobody knows whether it ran.
            item.lifecycle.run_state = RunState.MAYBE_RUN
        refusal = self.refuse(
            item, reason, now_seconds, retry_after_seconds=retry_after_seconds
        )
        return [*dropped, refusal]

    def refuse_unsendable(
        self, forecasts: Forecasts, now_seconds: float
    ) -> list[ev.Action]:
        """Refuse what waits and, by its forecast, can't be sent in time."""
        actions: list[ev.Action] = []
        before: Counter[str] = Counter()
        for item in self:
            if not item.lifecycle.is_waiting or item.lifecycle.has_delivered:
                continue
            service = item.arrival.service
            postponed = forecasts.postpone(item, before[service], now_seconds)
            if postponed is None:
                before[service] += 1
            else:
                actions += self.give_up(
                    item, postponed.reason, now_seconds, postponed.retry_after_seconds
                )
        return actions

    def _uncount(self, item: QueuedRequest) -> None:
        """Have a request that surely did not run count no more towards limits."""
        if item.lifecycle.run_state <= RunState.REFUSED:
            self._pool.limits.refund(item.counted)
            item.counted = []
