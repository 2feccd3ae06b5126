"""One caller's request from its arrival to its one final answer.

An exchange asks the scheduler where to go, makes the attempt, and tells how it ended.
What is common to models and services lives here; each kind makes its own attempts.
"""

from abc import ABC, abstractmethod

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream

from rampwick_policy import (
    AttemptDone,
    AttemptFailed,
    Dispatch,
    Refuse,
    RequestArrived,
    RequestCancelled,
    RequestIdentity,
    RunState,
)

from .._errors import REFUSALS, AttemptError, CallerError, ErrorKind
from .._logs import ComponentLogger, milliseconds
from ._call import CallTerms
from ._claims import AcquiredClaim
from ._context import EntryContext
from ._responder import Receive, Responder, wait_disconnect

log = ComponentLogger("entry")

#: Scores of other upstreams in the log line of a placement.
MAX_LOGGED_CHOICES = 6

Decisions = MemoryObjectReceiveStream[Dispatch | Refuse]


class Exchange(ABC):
    """A request under way."""

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
        self._has_ended = False
        #: Whether an attempt ran or may have run.
        self.may_have_run = False
        self._is_under_way = False
        self._identity: RequestIdentity | None = None

    @abstractmethod
    def arrival(self) -> RequestArrived:
        """Return what the scheduler is told."""

    @abstractmethod
    async def attempt(self, dispatch: Dispatch) -> AttemptDone:
        """Make one attempt and answer the caller, or raise AttemptError."""

    def recheck_access(self) -> None:
        """Raise a CallerError if the request may not run any more."""
        return

    async def answer_error(self, error: CallerError) -> None:
        """Give the caller an error as its final answer."""
        await self.responder.send_error(error)

    @property
    def labels(self) -> tuple[str, str]:
        """Workspace and class, as metrics name them."""
        return self.terms.workspace.path, self.terms.priority_class

    async def run(self) -> None:
        """Serve the request; return when the caller has its final answer."""
        arrival = await self._hold(self.arrival())
        self._identity = arrival.identity
        submitted = self.context.scheduler.submit(arrival, self.caller_request_id)
        with submitted as decisions:
            try:
                decision = _receive_now(decisions)
                if isinstance(decision, Refuse):
                    # Watching a caller that is answered at once costs as much as all
                    # the rest of its refusal.
                    await self._answer_error(self._refusal(decision))
                else:
                    await self._serve_watched(decision, decisions)
            finally:
                self.context.scheduler.close_decisions(self.request_id)
                if not self._has_ended:
                    self._note_cancelled()

    async def _serve_watched(
        self, first: Dispatch | None, decisions: Decisions
    ) -> None:
        """Serve the request, and give it up if its caller leaves."""
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._watch_disconnect, task_group.cancel_scope)
            await self._serve(first, decisions)
            task_group.cancel_scope.cancel()

    async def _hold(self, arrival: RequestArrived) -> RequestArrived:
        """Wait, in a fleet that has just come back, for what all hosts are asked."""
        hold_seconds = self.context.scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.limits.hold_seconds(
                arrival, now_seconds
            )
        )
        if not hold_seconds:
            return arrival
        await anyio.sleep(hold_seconds)
        return attrs.evolve(arrival, was_held=True)

    def _note_cancelled(self) -> None:
        """Note that nobody waits for the answer any more."""
        self._end("cancelled")
        self.context.scheduler.post(RequestCancelled(self.request_id))
        after_seconds = self.context.read_clock() - self.arrived_at_seconds
        log.info(
            "request cancelled",
            request=self.caller_request_id,
            after_ms=milliseconds(after_seconds),
            was_dispatched=self.responder.was_dispatched,
            had_begun=self.responder.has_started,
            was_writing=self.responder.waiting_since_seconds is not None,
        )

    async def _serve(self, first: Dispatch | None, decisions: Decisions) -> None:
        try:
            decision: Dispatch | Refuse | None = first or await decisions.receive()
            while isinstance(decision, Dispatch):
                decision = await self._follow(decision, decisions)
            if decision is not None:
                await self._answer_error(self._refusal(decision))
        except CallerError as error:
            if not self._has_ended:
                # Nobody decided this for the scheduler, which has it open still.
                self.context.scheduler.post(RequestCancelled(self.request_id))
            await self._answer_error(error)

    async def _follow(
        self, dispatch: Dispatch, decisions: Decisions
    ) -> Dispatch | Refuse | None:
        """Make an attempt; return what is decided next, or nothing at its end."""
        await self._own_key()
        self.recheck_access()
        self._note_dispatch()
        self._log_dispatch(dispatch)
        decision: Dispatch | Refuse | None = None
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self._attempt, dispatch, task_group.cancel_scope)
            decision = await decisions.receive()
            # Decided while the attempt was under way: nobody knows if it ran.
            self.may_have_run |= self._is_under_way
            task_group.cancel_scope.cancel()
        return None if self.responder.has_ended else decision

    async def _attempt(self, dispatch: Dispatch, scope: anyio.CancelScope) -> None:
        self._is_under_way = True
        try:
            done = await self.attempt(dispatch)
        except AttemptError as error:
            self._is_under_way = False
            self._note_attempt(dispatch, error.outcome.value)
            self.may_have_run |= not error.outcome.proves_not_run
            log.problem(
                "attempt failed",
                request=self.caller_request_id,
                attempt=dispatch.attempt_id,
                outcome=error.outcome.value,
                upstream=dispatch.upstream,
                error=str(error),
                **self._fingerprint_field(error),
            )
            # The decision about it ends this task group.
            self.context.scheduler.post(
                AttemptFailed(
                    request_id=self.request_id,
                    attempt_id=dispatch.attempt_id,
                    outcome=error.outcome,
                    message=str(error),
                    retry_after_seconds=error.retry_after_seconds,
                    was_closed=error.was_closed,
                )
            )
            return
        self._note_attempt(dispatch, "done")
        self._end("answered")
        self.context.scheduler.post(done)
        scope.cancel()

    async def _own_key(self) -> None:
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

    async def _answer_error(self, error: CallerError) -> None:
        if self._claim and error.run_state <= RunState.REFUSED:
            self.context.claims.withdraw(self._claim)
        if not self._has_ended:
            self._end(error.code)
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
        await self.answer_error(error)

    async def _watch_disconnect(self, scope: anyio.CancelScope) -> None:
        await wait_disconnect(self._receive)
        scope.cancel()

    def _note_dispatch(self) -> None:
        if self.responder.was_dispatched:
            return
        self.responder.was_dispatched = True
        waited = self.context.read_clock() - self.arrived_at_seconds
        self.context.metrics.queue_wait.labels(*self.labels).observe(waited)

    @property
    def caller_request_id(self) -> str:
        """The id under which the caller knows the request."""
        return self.request_id

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
                    other.upstream: round(other.score_seconds * 1000)
                    for other in choice.considered[:MAX_LOGGED_CHOICES]
                },
            }
        waited = self.context.read_clock() - self.arrived_at_seconds
        log.info(
            "attempt sent",
            request=self.caller_request_id,
            attempt=dispatch.attempt_id,
            upstream=dispatch.upstream,
            weights_version=dispatch.weights_version,
            waited_ms=round(waited * 1000),
            is_saved=bool(dispatch.save_address),
            **fields,
        )

    def _fingerprint_field(self, error: AttemptError) -> dict[str, str]:
        """Return what links a request's tries in logs, where a runner ended."""
        if self._identity is None or not error.was_closed:
            return {}
        return {"fingerprint": self._identity.shown}

    def _note_attempt(self, dispatch: Dispatch, outcome: str) -> None:
        self.context.metrics.attempts.labels(dispatch.upstream, outcome).inc()

    def _end(self, answer: str) -> None:
        self._has_ended = True
        self.context.metrics.requests.labels(*self.labels, answer).inc()


def _receive_now(decisions: Decisions) -> Dispatch | Refuse | None:
    """Return what was decided on arrival; none if the request waits."""
    try:
        return decisions.receive_nowait()
    except anyio.WouldBlock:
        return None


def _refusal_status(kind: ErrorKind, run_state: RunState) -> int:
    """Return a status that promises no more than what is known of the request.

    503 says that it was not run; after attempts that may have run it must not be
    said, and after attempts that surely did not, it may, unless earlier tries of the
    same request ran.
    """
    status = kind.status
    if kind.is_permanent:
        return status
    if run_state > RunState.REFUSED and status in (429, 503):
        return 502
    if run_state <= RunState.REFUSED and status == 502:
        return 503
    return status
