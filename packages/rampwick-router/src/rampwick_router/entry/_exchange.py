"""One caller's request from its arrival to its single final response.

An exchange submits the request to the scheduler, makes the attempts that it dispatches,
and reports their outcomes. The base class holds what all kinds of requests share;
subclasses implement the attempt.
"""

from abc import ABC, abstractmethod
from typing import Any

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream

from rampwick_policy import (
    AttemptDone,
    AttemptFailed,
    Dispatch,
    Outcome,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RunState,
)

from .._errors import (
    REFUSALS,
    AttemptError,
    CallerError,
    CallerLeftError,
    ErrorKind,
)
from .._logs import ComponentLogger, milliseconds
from ._answer_recorder import AnswerLine, AnswerRecorder
from ._attempt_check import AttemptCheck
from ._call import CallTerms
from ._claims import AcquiredClaim
from ._context import EntryContext
from ._request_body import Receive, wait_disconnect
from ._responder import Responder

log = ComponentLogger("entry")

#: Maximum number of upstreams whose scores a dispatch's log line contains.
MAX_LOGGED_SCORES = 6

Decisions = MemoryObjectReceiveStream[Dispatch | Refuse]


class Exchange(ABC):
    """A request in progress."""

    #: Logger of the line about its answer.
    answer_log = log

    def __init__(
        self,
        context: EntryContext,
        terms: CallTerms,
        receive: Receive,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        self.context = context
        self.terms = terms
        self.responder = responder
        self.arrived_at_seconds = arrived_at_seconds
        self.request_id = context.ids.next()
        self._receive = receive
        self._claim: AcquiredClaim | None = None
        self._has_result = False
        #: Whether any attempt ran or may have run.
        self.may_have_run = False
        #: Why an attempt was not sent, and no other one must be.
        self._unsent_error: CallerError | None = None
        #: Check of the attempt that is running; none between attempts.
        self._running_check: AttemptCheck | None = None
        self._cancel_scope: anyio.CancelScope
        self._arrival: RequestArrived
        self.recorder = AnswerRecorder(context, arrived_at_seconds)

    @abstractmethod
    def arrival(self) -> RequestArrived:
        """Return the event that submits the request to the scheduler."""

    @abstractmethod
    async def attempt(self, dispatch: Dispatch, check: AttemptCheck) -> AttemptDone:
        """Make one attempt and send its response, or raise AttemptError.

        ``check`` must be called before each write of the request.
        """

    async def recheck_access(self) -> None:
        """Raise a CallerError if the request is no longer allowed."""
        return

    def check_first_write(self) -> None:
        """Raise a CallerError if neither this attempt nor another one must be sent."""
        return

    async def send_error(self, error: CallerError) -> None:
        """Send an error to the caller as the final response."""
        await self.responder.send_error(error)

    @property
    def labels(self) -> tuple[str, str]:
        """Metric labels: workspace and priority class."""
        return self.terms.workspace.path, self.terms.priority_class

    async def run(self) -> None:
        """Serve the request; return once the final response has been sent."""
        self.responder.log_fields |= {
            "request": self.caller_request_id,
            "exchange": self.request_id,
        }
        if self.responder.has_caller_left():
            self._record_cancellation()
            return
        arrival = await self._delay_after_restart(self.arrival())
        await self._confirm_versions(arrival)
        self._arrival = arrival
        submitted = self.context.scheduler.submit(arrival, self.caller_request_id)
        with submitted as decisions:
            try:
                decision = _receive_nowait(decisions)
                if isinstance(decision, Refuse):
                    # The disconnect watcher would double the cost of an immediate
                    # refusal.
                    await self._end_with_error(self._refusal(decision))
                else:
                    await self._serve_watched(decision, decisions)
            finally:
                self.context.scheduler.close_decisions(self.request_id)
                if not self._has_result:
                    self._record_cancellation()

    async def _serve_watched(
        self, first: Dispatch | None, decisions: Decisions
    ) -> None:
        """Serve the request, and cancel it if its caller disconnects."""
        async with anyio.create_task_group() as task_group:
            self._cancel_scope = task_group.cancel_scope
            task_group.start_soon(self._watch_disconnect)
            await self._serve(first, decisions)
            task_group.cancel_scope.cancel()

    async def _delay_after_restart(self, arrival: RequestArrived) -> RequestArrived:
        """Delay the request while a restarted fleet learns the demand on all hosts."""
        while hold_seconds := self._hold_seconds(arrival):
            await anyio.sleep(hold_seconds)
            arrival = attrs.evolve(arrival, was_held=True)
        return arrival

    async def _confirm_versions(self, arrival: RequestArrived) -> None:
        """Wait for a list that tells where a stream began that the caller takes up."""
        if self.context.scheduler.needs_recent_list(arrival):
            await self.context.hosts.wait_confirmed(arrival.received_at_seconds)

    def _hold_seconds(self, arrival: RequestArrived) -> float:
        return self.context.scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.limits.hold_seconds(
                arrival, now_seconds
            )
        )

    def _record_cancellation(self) -> None:
        """Record that the caller disconnected before the final response."""
        self._record_result("cancelled")
        may_have_arrived = self._may_have_arrived()
        if self._claim and not (self.may_have_run or may_have_arrived):
            self.context.claims.withdraw(self._claim)
        self.context.scheduler.post(
            RequestCancelled(self.request_id, may_have_arrived=may_have_arrived)
        )
        after_seconds = self.context.read_clock() - self.arrived_at_seconds
        log.info(
            "request cancelled",
            request=self.caller_request_id,
            after_ms=milliseconds(after_seconds),
            was_dispatched=self.responder.was_dispatched,
            may_have_arrived=may_have_arrived,
            had_begun=self.responder.has_started,
            was_writing=self.responder.write_started_seconds is not None,
        )

    async def _serve(self, first: Dispatch | None, decisions: Decisions) -> None:
        try:
            decision: Dispatch | Refuse | None = first or await decisions.receive()
            while isinstance(decision, Dispatch):
                decision = await self._run_attempt(decision, decisions)
            if decision is not None:
                await self._end_with_error(self._refusal(decision))
        except CallerError as error:
            if not self._has_result:
                # The scheduler did not make this decision, so the request is still
                # open there.
                self.context.scheduler.post(
                    RequestCancelled(
                        self.request_id, may_have_arrived=self.may_have_run
                    )
                )
            await self._end_with_error(error)

    async def _run_attempt(
        self, dispatch: Dispatch, decisions: Decisions
    ) -> Dispatch | Refuse | None:
        """Make an attempt; return the next decision, or None after the response."""
        await self._ensure_claim()
        await self.recheck_access()
        await self.context.hosts.wait_recent()
        self._record_dispatch()
        self._log_dispatch(dispatch)
        decision: Dispatch | Refuse | None = None
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._attempt, dispatch, task_group.cancel_scope)
            decision = await decisions.receive()
            # Decided while the attempt was running, so it is unknown whether it ran.
            self.may_have_run |= self._may_have_arrived()
            task_group.cancel_scope.cancel()
        self._running_check = None
        if self._unsent_error is not None:
            raise self._unsent_error
        return None if self.responder.has_ended else decision

    def _may_have_arrived(self) -> bool:
        """Return whether bytes of the running attempt may have been written."""
        return self._running_check is not None and self._running_check.has_passed

    async def _attempt(self, dispatch: Dispatch, scope: anyio.CancelScope) -> None:
        check = AttemptCheck(
            self.context,
            self.responder,
            dispatch,
            self.arrived_at_seconds + self.terms.deadline_seconds,
            self.recorder,
            self.check_first_write,
        )
        self._running_check = check
        try:
            done = await self.attempt(dispatch, check)
        except CallerError as error:
            # Raised before the first write.
            self._running_check = None
            self._count_attempt(dispatch, Outcome.UNSENT.value)
            self._unsent_error = error
            scope.cancel()
            return
        except CallerLeftError:
            self._count_attempt(dispatch, "cancelled")
            self._cancel_scope.cancel()
            return
        except AttemptError as error:
            self._running_check = None
            self._count_attempt(dispatch, error.outcome.value)
            self.may_have_run |= not error.outcome.proves_not_run
            if error.bound:
                metrics = self.context.metrics
                metrics.answers_ended.labels(dispatch.upstream, error.bound).inc()
            log.problem(
                "attempt failed",
                request=self.caller_request_id,
                attempt=dispatch.attempt_id,
                outcome=error.outcome.value,
                upstream=dispatch.upstream,
                error=str(error),
                **({"bound": error.bound} if error.bound else {}),
                **self._identity_fields(error),
                **self.body_fields(),
            )
            # The decision that follows cancels this task group.
            self.context.scheduler.post(
                AttemptFailed(
                    request_id=self.request_id,
                    attempt_id=dispatch.attempt_id,
                    outcome=error.outcome,
                    message=str(error),
                    retry_after_seconds=error.retry_after_seconds,
                    was_closed=error.was_closed,
                    is_over_bound=bool(error.bound),
                )
            )
            return
        self._count_attempt(dispatch, "done")
        self._record_result("answered")
        line = AnswerLine(
            self.answer_log, self.caller_request_id, self.labels, self.answer_fields()
        )
        self.recorder.record(self._arrival, dispatch, line)
        self.context.scheduler.post(done)
        scope.cancel()

    async def _ensure_claim(self) -> None:
        key = self.terms.idempotency_key
        if key and self._claim is None:
            path = self.terms.workspace.path
            self._claim = await self.context.claims.claim(path, key)
        claim = self._claim
        if claim and self.context.read_clock() >= claim.usable_until_seconds:
            raise CallerError(
                "the key was claimed too long ago",
                status=503,
                code="claim_expired",
                step="claim key",
            )

    def _refusal(self, refuse: Refuse) -> CallerError:
        kind = REFUSALS[refuse.reason]
        return CallerError(
            kind.message,
            status=_refusal_status(kind, refuse.run_state),
            code=refuse.reason,
            step="schedule request",
            peer=refuse.peer,
            run_state=refuse.run_state,
            retry_after_seconds=refuse.retry_after_seconds,
            evidence=refuse.evidence,
        )

    async def _end_with_error(self, error: CallerError) -> None:
        if self._claim and error.run_state <= RunState.REFUSED:
            self.context.claims.withdraw(self._claim)
        if not self._has_result:
            self._record_result(error.code)
        log.info(
            "request refused",
            request=self.caller_request_id,
            status=error.status,
            code=error.code,
            run_state=error.run_state.name.lower(),
            retry_after_ms=milliseconds(error.retry_after_seconds),
            had_begun=self.responder.has_started,
            error=str(error),
            evidence=error.evidence,
        )
        await self.send_error(error)

    async def _watch_disconnect(self) -> None:
        await wait_disconnect(self._receive)
        self.responder.is_disconnected = True
        self._cancel_scope.cancel()

    def _record_dispatch(self) -> None:
        self.recorder.note_dispatched()
        if self.responder.was_dispatched:
            return
        self.responder.was_dispatched = True
        waited = self.context.read_clock() - self.arrived_at_seconds
        self.context.metrics.queue_wait.labels(*self.labels).observe(waited)

    @property
    def caller_request_id(self) -> str:
        """Request id in logs and towards the caller."""
        return self.request_id

    def answer_fields(self) -> dict[str, object]:
        """Return log fields of the answer that only this kind of request has."""
        return {}

    def body_fields(self) -> dict[str, object]:
        """Return log fields of how the body of the last attempt ended, if known."""
        return {}

    def _log_dispatch(self, dispatch: Dispatch) -> None:
        choice = dispatch.choice
        fields: dict[str, object] = {}
        if choice is not None:
            source = choice.import_source
            fields = {
                "cached_tokens": choice.cached_tokens,
                "imported_tokens": choice.imported_tokens,
                "missing_tokens": choice.missing_tokens,
                "import_from": source.name if source else "",
                "queue_ms": round(choice.queue_seconds * 1000),
                "scores_ms": {
                    candidate.upstream: round(candidate.score_seconds * 1000)
                    for candidate in choice.considered[:MAX_LOGGED_SCORES]
                },
            }
        now_seconds = self.context.read_clock()
        waited = now_seconds - self.arrived_at_seconds
        hosts = self.context.hosts
        log.info(
            "attempt sent",
            request=self.caller_request_id,
            attempt=dispatch.attempt_id,
            upstream=dispatch.upstream,
            weights_version=dispatch.weights_version,
            software_version=dispatch.software_version,
            version_evidence=dispatch.version_evidence,
            waited_ms=round(waited * 1000),
            list_version=hosts.version,
            list_age_ms=milliseconds(hosts.age_seconds(now_seconds)),
            is_saved=bool(dispatch.save_address),
            **fields,
        )

    def _identity_fields(self, error: AttemptError) -> dict[str, Any]:
        """Return the identity log fields of an attempt whose connection was closed.

        They relate attempts of the same request, or with a part of their prompts in
        common, whose upstreams may have crashed.
        """
        identity = self._arrival.identity
        if identity is None or not error.was_closed:
            return {}
        return {
            "fingerprint": identity.fingerprint_hex,
            "parts": identity.part_keys_hex,
        }

    def _count_attempt(self, dispatch: Dispatch, outcome: str) -> None:
        self.context.metrics.attempts.labels(dispatch.upstream, outcome).inc()

    def _record_result(self, result: str) -> None:
        self._has_result = True
        self.context.metrics.requests.labels(*self.labels, result).inc()


def _receive_nowait(decisions: Decisions) -> Dispatch | Refuse | None:
    """Return the decision made on arrival; None if the request is queued."""
    try:
        return decisions.receive_nowait()
    except anyio.WouldBlock:
        return None


def _refusal_status(kind: ErrorKind, run_state: RunState) -> int:
    """Return a status that matches what is known about the request's execution.

    503 states that the request was not run, so 502 replaces it once an attempt may have
    run. If no attempt has run, 503 replaces 502. A permanent refusal keeps its status,
    since earlier requests that crashed upstreams ran.
    """
    status = kind.status
    if kind.is_permanent:
        return status
    if run_state > RunState.REFUSED and status in (429, 503):
        return 502
    if run_state <= RunState.REFUSED and status == 502:
        return 503
    return status
