"""Learning of the rates behind start estimates, from the events of this host.

Handles fleets whose upstreams are slower or busier than configured: the expected start
follows what requests experience here.
"""

from collections import deque
from collections.abc import Sequence

import attrs

from rampwick_schema import ReprMixin

from . import _events as ev
from ._learned_rates import LearnedRates
from ._open_requests import OpenRequests
from ._placement import Choice
from ._prefill_speed import OVERHEAD_SECONDS
from ._queue import WaitingQueue
from ._start_estimates import StartEstimates
from ._timeliness import cannot_meet_target

#: Estimate errors that are retained until they are read.
MAX_RETAINED_ERRORS = 1000


@attrs.frozen(repr=False)
class RunningRequest(ReprMixin):
    """A dispatched request whose run time is not known yet."""

    service: str
    sent_at_seconds: float
    #: Prompt tokens to compute at its runner, including those known to precede it, and
    #: the time that this should take.
    tokens: int = 0
    prefill_seconds: float = 0.0


class EstimateLearning:
    """Follows dispatched requests; shares the scheduler's components."""

    def __init__(
        self,
        estimates: StartEstimates,
        rates: LearnedRates,
        queue: WaitingQueue,
        requests: OpenRequests,
    ) -> None:
        self._estimates = estimates
        self._rates = rates
        self._queue = queue
        self._requests = requests
        self._running: dict[str, RunningRequest] = {}
        self._errors: deque[float] = deque(maxlen=MAX_RETAINED_ERRORS)

    def take_errors(self) -> list[float]:
        """Return actual minus expected starts since the last call, in seconds."""
        errors = list(self._errors)
        self._errors.clear()
        return errors

    def learn(
        self, event: ev.Event, actions: Sequence[ev.Action], now_seconds: float
    ) -> None:
        """Learn from an event and the actions that followed it."""
        if isinstance(event, ev.AttemptDone):
            running = self._running.pop(event.request_id, None)
            if running is not None:
                run_seconds = now_seconds - running.sent_at_seconds
                self._rates.note_run(running.service, run_seconds)
        elif isinstance(event, ev.AttemptDelivered):
            self._learn_first_token(event, now_seconds)
        elif isinstance(event, (ev.AttemptFailed, ev.RequestCancelled)):
            self._running.pop(event.request_id, None)
        for action in actions:
            if isinstance(action, ev.Dispatch):
                self._learn_dispatch(action, now_seconds)
            else:
                self._running.pop(action.request_id, None)

    def _learn_dispatch(self, dispatch: ev.Dispatch, now_seconds: float) -> None:
        item = self._requests.get(dispatch.request_id)
        if item is None:
            return
        service = item.arrival.service
        if item.expected_start_seconds is not None:
            self._errors.append(now_seconds - item.expected_start_seconds)
        is_preceding = not cannot_meet_target(item, now_seconds) and any(
            cannot_meet_target(other, now_seconds)
            for other in self._queue
            if other.arrival.service == service
        )
        chain, choice = item.arrival.chain, dispatch.choice
        if chain is None or choice is None:
            self._running[item.request_id] = RunningRequest(service, now_seconds)
            self._rates.note_plain_dispatched(service, is_preceding, now_seconds)
            return
        missing_tokens = choice.missing_tokens
        self._running[item.request_id] = self._running_prompt(
            service, choice, now_seconds
        )
        self._rates.note_placed(
            service, item.priority_rank, missing_tokens, chain.total_tokens
        )
        self._rates.note_prompt_dispatched(
            service, missing_tokens, is_preceding, now_seconds
        )

    def _running_prompt(
        self, service: str, choice: Choice, now_seconds: float
    ) -> RunningRequest:
        upstream = self._estimates.capacities.upstream(choice.upstream)
        if upstream is None or choice.imported_tokens:
            return RunningRequest(service, now_seconds)
        speed = self._estimates.capacities.tokens_per_second(upstream)
        tokens = choice.missing_tokens + round(choice.prefill_queue_seconds * speed)
        return RunningRequest(service, now_seconds, tokens, tokens / speed)

    def _learn_first_token(
        self, event: ev.AttemptDelivered, now_seconds: float
    ) -> None:
        running = self._running.get(event.request_id)
        if running is not None and running.tokens:
            taken_seconds = now_seconds - running.sent_at_seconds - OVERHEAD_SECONDS
            self._rates.note_first_token(
                running.service, running.tokens, running.prefill_seconds, taken_seconds
            )
