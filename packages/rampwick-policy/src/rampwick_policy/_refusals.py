"""Refusals: when an open request is refused, and the content of the refusal."""

import math

from rampwick_schema import RetrySettings

from . import _events as ev
from ._admission import Admission
from ._evidence import describe_refusal
from ._limit_tracker import describe_limit
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

#: Time for which a request may wait without a usable upstream or retry budget.
MAX_BLOCKED_SECONDS = 2.0

#: The same for a stream that broke after its first chunk. Its caller accepts a longer
#: pause, about the time that an upstream needs to restart, and then retries itself.
#: Without a bound callers had to wait until their deadlines, 4 s and more.
MAX_BLOCKED_STREAM_SECONDS = 4.0


class Refusals:
    """Decides on refusals and builds them; shares the scheduler's components."""

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
        """Return why an unanswered request is to be refused now, or ``""``."""
        if item.lifecycle.has_delivered and item.lifecycle.attempt_id:
            return ""
        if now_seconds >= item.arrival.deadline_seconds:
            return DEADLINE_PASSED
        blocked_since_seconds = item.blocked_since_seconds
        if blocked_since_seconds is None:
            return ""
        is_blocked_too_long = (
            now_seconds - blocked_since_seconds > self._max_blocked_seconds(item)
        )
        return item.blocked_reason if is_blocked_too_long else ""

    def make(
        self,
        item: QueuedRequest,
        reason: str,
        now_seconds: float,
        peer: str,
        retry_after_seconds: float | None = None,
        evidence: str = "",
    ) -> ev.Refuse:
        """Return the refusal of a request that is no longer queued.

        ``retry_after_seconds`` and ``evidence`` are given if the reason determines
        them.
        """
        if retry_after_seconds is None and reason != ENDS_UPSTREAMS:
            retry_after_seconds = self._retry_after_seconds(item, now_seconds)
        if reason == OVER_LIMIT:
            # A limit does not depend on upstreams, and describing them is too expensive
            # if thousands of requests of one workspace are refused.
            evidence = describe_limit(self._pool.limits.state(peer, now_seconds))
        elif not evidence:
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
            budget.balance,
            now_seconds,
        )

    def _retry_after_seconds(
        self, item: QueuedRequest, now_seconds: float
    ) -> float | None:
        may_resend = (
            item.arrival.is_repeatable or item.lifecycle.run_state <= RunState.REFUSED
        )
        if not may_resend:
            return None
        return self._admission.retry_after_seconds(item.arrival.workspace, now_seconds)

    def _max_blocked_seconds(self, item: QueuedRequest) -> float:
        """Return how long a request may wait while no upstream is usable for it."""
        if item.lifecycle.has_delivered:
            return MAX_BLOCKED_STREAM_SECONDS
        target_seconds = item.arrival.latency_target_seconds
        if item.blocked_reason in (AT_RATE, PAUSED):
            # The forecast refuses it as soon as it can't be sent in time.
            return math.inf
        if target_seconds is None and item.blocked_reason == NO_RETRY_LEFT:
            # The caller set only a deadline, and the budget refills with time.
            return math.inf
        if target_seconds is None or item.blocked_reason == KEPT_APART:
            # An upstream without another suspected request is available as soon as one
            # such request is answered.
            return MAX_BLOCKED_SECONDS
        return target_seconds * self._settings.hold_ratio
