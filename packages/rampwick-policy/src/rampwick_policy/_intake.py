"""Which arriving requests get a place in line, and which are refused at once."""

import attrs

from rampwick_schema import ReprMixin, Settings

from . import _events as ev
from ._admission import Admission
from ._blame import Suspicion
from ._dispatcher import ANSWER_TOKEN_PRICE, AnswerEstimates
from ._fleet_limit import OverLimit
from ._forecasts import Forecasts
from ._limit_book import LimitBook
from ._queue import QueuedRequest, WaitingQueue
from ._reasons import (
    DEADLINE_UNREACHABLE,
    ENDS_UPSTREAMS,
    OVER_LIMIT,
    QUEUE_FULL,
)
from ._request import RequestLifecycle
from ._suspects import Suspects


@attrs.frozen(repr=False)
class Rejection(ReprMixin):
    """Why a request gets no place in line."""

    reason: str
    #: Path whose limit it is, if it is one.
    peer: str = ""
    #: When there is room again, where the reason tells.
    retry_after_seconds: float | None = None


class Intake:
    """Looks at requests as they arrive; it shares the scheduler's parts."""

    def __init__(
        self,
        settings: Settings,
        queue: WaitingQueue,
        admission: Admission,
        limits: LimitBook,
        answers: AnswerEstimates,
        suspects: Suspects,
        forecasts: Forecasts,
    ) -> None:
        self._settings = settings
        self._queue = queue
        self._admission = admission
        self._limits = limits
        self._answers = answers
        self._suspects = suspects
        self._forecasts = forecasts

    def new_item(self, event: ev.RequestArrived, now_seconds: float) -> QueuedRequest:
        """Return an arriving request with its state."""
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
        return QueuedRequest(
            arrival=event,
            lifecycle=lifecycle,
            arrived_at_seconds=now_seconds,
            expected_tokens=prompt_tokens + ANSWER_TOKEN_PRICE * answer_tokens,
        )

    def check(self, item: QueuedRequest, now_seconds: float) -> Rejection | None:
        """Return why a request gets no place; one that does counts from now on.

        What is over a limit waits nowhere: those within theirs would wait behind it.
        """
        event = item.arrival
        if self._suspects.suspicion(item) is Suspicion.STOPPED:
            self._suspects.note_refused(item, now_seconds)
            return Rejection(ENDS_UPSTREAMS)
        postponed = self._forecasts.postpone_on_arrival(item, now_seconds)
        if postponed is not None:
            return Rejection(
                postponed.reason, retry_after_seconds=postponed.retry_after_seconds
            )
        counted = self._limits.ask(event, now_seconds)
        if isinstance(counted, OverLimit):
            return Rejection(OVER_LIMIT, counted.path, counted.retry_after_seconds)
        item.counted = counted
        full = self._admission.full_limit(event.workspace)
        if full:
            return Rejection(QUEUE_FULL, full)
        wait_seconds = self._admission.wait_seconds(event.workspace, now_seconds)
        if now_seconds + wait_seconds > event.deadline_seconds:
            return Rejection(DEADLINE_UNREACHABLE)
        return None

    def make_way(self, item: QueuedRequest) -> QueuedRequest | None:
        """Return whom to refuse for a request: none while the host's queue has room.

        It is the last of whoever fills the queue most, taken out of it, or the request.
        """
        if len(self._queue) < self._settings.queue.max_waiting_count:
            return None
        victim = self._queue.last_of_longest(other_than=item.workspace_path)
        if victim is None:
            return item
        self._queue.remove(victim)
        return victim
