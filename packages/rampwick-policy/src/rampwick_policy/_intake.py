"""Checks on arriving requests: which are queued, and which are refused at once."""

import attrs

from rampwick_schema import ReprMixin, Settings

from . import _events as ev
from ._admission import Admission
from ._dispatcher import ANSWER_TOKEN_PRICE, AnswerEstimates
from ._fleet_limit import OverLimit
from ._forecasts import Forecasts
from ._learned_rates import LearnedRates
from ._limit_tracker import LimitTracker
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    DEADLINE_UNREACHABLE,
    ENDS_UPSTREAMS,
    OVER_LIMIT,
    QUEUE_FULL,
)
from ._request import RequestLifecycle
from ._request_quarantine import RequestQuarantine
from ._software_versions import SoftwareVersions
from ._suspects import QuarantineState


@attrs.frozen(repr=False)
class Rejection(ReprMixin):
    """Why an arriving request is refused."""

    reason: str
    #: Path whose limit is reached, if the reason is a limit.
    limit_path: str = ""
    #: Time until there is capacity again, if the reason determines it.
    retry_after_seconds: float | None = None
    #: State that the refusal is based on, if it isn't that of the upstreams.
    evidence: str = ""


class Intake:
    """Checks requests on arrival; shares the scheduler's components."""

    def __init__(
        self,
        settings: Settings,
        queue: WaitingQueue,
        admission: Admission,
        limits: LimitTracker,
        answers: AnswerEstimates,
        quarantine: RequestQuarantine,
        forecasts: Forecasts,
        rates: LearnedRates,
        software_versions: SoftwareVersions,
    ) -> None:
        self._software_versions = software_versions
        self._settings = settings
        self._queue = queue
        self._admission = admission
        self._limits = limits
        self._answers = answers
        self._request_quarantine = quarantine
        self._forecasts = forecasts
        self._rates = rates

    def new_item(self, event: ev.RequestArrived, now_seconds: float) -> QueuedRequest:
        """Return a queue item with the initial state of an arriving request."""
        lifecycle = RequestLifecycle(
            request_id=event.request_id,
            deadline_seconds=event.deadline_seconds,
            is_repeatable=event.is_repeatable,
            max_attempts_count=event.max_attempts_count
            or self._settings.retry.max_attempts_count,
            is_resumable=event.is_resumable,
        )
        prompt_tokens = event.chain.total_tokens if event.chain else 0
        answer_tokens = self._answers.expect(event)
        item = QueuedRequest(
            arrival=event,
            lifecycle=lifecycle,
            arrived_at_seconds=now_seconds,
            expected_tokens=prompt_tokens + ANSWER_TOKEN_PRICE * answer_tokens,
        )
        item.uncached_tokens = self._rates.uncached_tokens(
            event.service, item.priority_rank, prompt_tokens
        )
        return item

    def check(self, item: QueuedRequest, now_seconds: float) -> Rejection | None:
        """Return why a request is refused; otherwise charge it to its limits.

        Requests over a limit are not queued, because requests within their limits
        would wait behind them.
        """
        event = item.arrival
        state = self._request_quarantine.quarantine_state(item)
        if (
            state is QuarantineState.STOPPED
            and not self._request_quarantine.begin_probe(item, now_seconds)
        ):
            self._request_quarantine.note_refused(item, now_seconds)
            return Rejection(ENDS_UPSTREAMS)
        unresumable = self._software_versions.check_resumption(item, now_seconds)
        if unresumable is not None:
            return Rejection(
                unresumable.reason,
                retry_after_seconds=unresumable.retry_after_seconds,
                evidence=unresumable.evidence,
            )
        postponed = self._forecasts.find_postponement_on_arrival(item, now_seconds)
        if postponed is not None:
            return Rejection(
                postponed.reason, retry_after_seconds=postponed.retry_after_seconds
            )
        charges = self._limits.admit(event, now_seconds)
        if isinstance(charges, OverLimit):
            return Rejection(OVER_LIMIT, charges.path, charges.retry_after_seconds)
        item.limit_charges = charges
        limit_path = self._admission.reached_limit(event.workspace)
        if limit_path:
            return Rejection(QUEUE_FULL, limit_path)
        if self._settings.queue.estimates_start:
            # Estimated after the dispatcher has searched for an upstream.
            return None
        wait_seconds = self._admission.wait_seconds(event.workspace, now_seconds)
        if now_seconds + wait_seconds > event.deadline_seconds:
            return Rejection(DEADLINE_UNREACHABLE)
        return None

    def evict_for(self, item: QueuedRequest) -> QueuedRequest | None:
        """Return the request to refuse so that the queue keeps its size, or ``None``.

        If the queue is full, this is the newest request of the workspace with the
        longest queue, removed from it, or the arriving request itself.
        """
        if len(self._queue) < self._settings.queue.max_waiting_count:
            return None
        victim = self._queue.newest_of_longest_queue(other_than=item.workspace_path)
        if victim is None:
            return item
        self._queue.remove(victim)
        return victim
