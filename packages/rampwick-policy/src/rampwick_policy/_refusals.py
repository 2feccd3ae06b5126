"""When a request is given up, and what its caller is told."""

import math

from rampwick_schema import RetrySettings

from . import _events as ev
from ._admission import Admission
from ._evidence import describe_limit, describe_refusal
from ._pool import Pool
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    AT_RATE,
    DEADLINE_PASSED,
    ENDS_UPSTREAMS,
    KEPT_APART,
    NO_RETRY_LEFT,
    OVER_LIMIT,
    PAUSED,
)
from ._request import RunState
from ._request_quarantine import RequestQuarantine
from ._retry import RetryBudgets

#: Wait for an upstream to come back, or for a retry, before a request is given up.
STRANDED_SECONDS = 2.0

#: The same for a stream that broke midway. Its caller has a part of it and bears a
#: longer pause, about what an upstream needs to come back; after that it asks again
#: itself. Without a bound callers were held to their deadlines, 4 s and more.
MIDWAY_SECONDS = 4.0


class Refusals:
    """Finds the requests without hope and says why; it shares the scheduler's parts."""

    def __init__(
        self,
        settings: RetrySettings,
        pool: Pool,
        queue: WaitingQueue,
        admission: Admission,
        budgets: RetryBudgets,
        quarantine: RequestQuarantine,
    ) -> None:
        self._settings = settings
        self._pool = pool
        self._queue = queue
        self._admission = admission
        self._budgets = budgets
        self._request_quarantine = quarantine

    def find_reason(self, item: QueuedRequest, now_seconds: float) -> str:
        """Return why a request without answer is to be given up now, or nothing."""
        if item.lifecycle.has_delivered and item.lifecycle.attempt_id:
            return ""
        if now_seconds >= item.arrival.deadline_seconds:
            return DEADLINE_PASSED
        stranded_at_seconds = item.stranded_at_seconds
        if stranded_at_seconds is None:
            return ""
        is_stranded = now_seconds - stranded_at_seconds > self._hold_seconds(item)
        return item.stranded_reason if is_stranded else ""

    def make(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        peer: str,
        retry_after_seconds: float | None = None,
    ) -> ev.Refuse:
        """Return the refusal of a request that is in no line any more.

        ``retry_after_seconds`` stands where the reason tells when to come back.
        """
        if retry_after_seconds is None and reason != ENDS_UPSTREAMS:
            retry_after_seconds = self._retry_after_seconds(item, now_seconds)
        if reason == OVER_LIMIT:
            # It hangs on no upstream, and a hot workspace is refused by the thousand.
            evidence = describe_limit(self._pool.limits.state(peer, now_seconds))
        else:
            evidence = self._describe(item, now_seconds)
        return ev.Refuse(
            request_id=item.request_id,
            reason=reason,
            run_state=item.lifecycle.run_state,
            retry_after_seconds=retry_after_seconds,
            peer=peer,
            evidence=evidence,
        )

    def _describe(self, item: QueuedRequest, now_seconds: float) -> str:
        budget = self._budgets.of(
            item.arrival.service, self._pool.peers.known_hosts_count
        )
        return describe_refusal(
            item,
            self._request_quarantine.describe(item),
            self._pool,
            len(self._queue),
            budget.saved,
            now_seconds,
        )

    def _retry_after_seconds(
        self, item: QueuedRequest, now_seconds: float
    ) -> float | None:
        may_ask_again = (
            item.arrival.is_repeatable or item.lifecycle.run_state <= RunState.REFUSED
        )
        if not may_ask_again:
            return None
        return self._admission.retry_after_seconds(item.arrival.workspace, now_seconds)

    def _hold_seconds(self, item: QueuedRequest) -> float:
        """Return how long a request waits while no upstream can take it."""
        if item.lifecycle.has_delivered:
            return MIDWAY_SECONDS
        target_seconds = item.arrival.latency_target_seconds
        if item.stranded_reason in (AT_RATE, PAUSED):
            # When it can go is foreseen; it is refused as soon as that is too late.
            return math.inf
        if target_seconds is None and item.stranded_reason == NO_RETRY_LEFT:
            # Its caller named nothing but a deadline, and retries are earned by time.
            return math.inf
        if target_seconds is None or item.stranded_reason == KEPT_APART:
            # An upstream that is free of other suspects is a matter of one answer.
            return STRANDED_SECONDS
        return target_seconds * self._settings.hold_ratio
