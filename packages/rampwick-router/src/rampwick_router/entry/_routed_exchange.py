"""A request on a route, with the forwarding of the upstream's response.

Status and body are forwarded unchanged; the dialects select the headers.
"""

import math

import anyio

from rampwick_policy import (
    RANKED_CLASSES,
    AnswerContent,
    AttemptDone,
    BodyEnd,
    Dispatch,
    OpenAnswer,
    Outcome,
    ReceivedAnswer,
    RequestArrived,
    RunState,
    Verdict,
    stream_key,
)

from .._answer_buffers import AnswerBuffer
from .._errors import CallerError, access_error
from .._headers import ResponseHead, is_bodiless
from .._logs import ComponentLogger
from ._access_check import confirm_access
from ._answer_end import BodyTracker, check_complete, has_events
from ._attempt_check import AttemptCheck
from ._call import CallTerms
from ._context import EntryContext
from ._delivery import post_delivery
from ._event_framing import EventFramer
from ._exchange import Exchange
from ._exit_check import ExitCheck
from ._request_body import Receive
from ._responder import Responder
from ._routed_attempt import RoutedAttempt, is_success
from ._routed_request import RoutedRequest

#: Responses up to this size are buffered completely before they are forwarded, so that
#: the request can be retried if the response breaks off.
MAX_BUFFERED_BYTES = 262_144

STEP = "forward answer"

log = ComponentLogger("route")


class RoutedExchange(Exchange):
    """A request on a route in progress."""

    answer_log = log

    def __init__(
        self,
        context: EntryContext,
        request: RoutedRequest,
        receive: Receive,
        responder: Responder,
    ) -> None:
        terms = CallTerms(
            workspace=request.workspace,
            priority_class=RANKED_CLASSES[request.priority_rank],
            deadline_seconds=request.deadline_seconds - request.arrived_at_seconds,
            is_repeatable=request.is_repeatable,
        )
        super().__init__(context, terms, receive, responder, request.arrived_at_seconds)
        self._request = request
        self._call = request.call
        self._chain = request.chain
        self._resume_after = request.call.last_event_id
        self._events_count = 0
        #: The attempt that last sent something to the caller, and whether another one
        #: can go on after that.
        self._last_delivery = ("", False)
        #: Whether the last attempt ended inside an event that no later one has sent.
        self._was_inside_event = False
        #: How the body of the last attempt ended, and its bytes after the last event.
        self._body_end: BodyEnd | None = None
        self._remainder_bytes = 0
        self._last_bytes_at_seconds: float | None = None
        self._exit_check = ExitCheck(context)
        self._progress: OpenAnswer
        self._buffer: AnswerBuffer

    @property
    def caller_request_id(self) -> str:
        """Request id in logs and towards the caller, chosen by the caller."""
        return self._call.request_id

    async def run(self) -> None:
        """Serve the request; return once the final response has been sent."""
        admission = self.context.drain_admission
        self._progress = admission.begin(
            self._request.drain_request, self.arrived_at_seconds
        )
        try:
            await super().run()
        finally:
            admission.end(self._progress)

    def check_first_write(self) -> None:
        """Raise if this host will likely exit before the response is complete."""
        self._exit_check.check_send(
            self._request, self.responder, may_have_run=self.may_have_run
        )
        self._progress.note_sent(self.context.read_clock())

    def arrival(self) -> RequestArrived:
        """Return the event that submits the request to the scheduler."""
        request = self._request
        return RequestArrived(
            request_id=self.request_id,
            workspace=request.workspace,
            priority_class=self.terms.priority_class,
            deadline_seconds=request.deadline_seconds,
            is_repeatable=request.is_repeatable,
            chain=self._chain,
            scope=request.scope,
            service=request.service.name,
            max_answer_tokens=self._call.max_answer_tokens,
            declared_tokens=self._call.declared_tokens,
            max_attempts_count=request.route.max_attempts_count,
            is_resumable=request.route.is_resumable,
            latency_target_seconds=request.route.latency_target_seconds,
            identity=request.identity,
            pause_target_seconds=request.route.gap_target_seconds or None,
            expected_answer_tokens=self._call.expected_answer_tokens,
            is_stream=request.route.is_stream,
            stream_key=stream_key(request.workspace.path, self._call.request_id),
            resumed_key=stream_key(request.workspace.path, self._call.resumed_id)
            if self._call.resumed_id
            else b"",
            is_resumption=bool(self._call.last_event_id),
            max_stream_age_seconds=self._max_stream_age_seconds(),
            received_at_seconds=self.context.read_clock(),
            is_allowed=self._is_allowed,
        )

    def _is_allowed(self) -> bool:
        return self.context.check_access(self._call).verdict is Verdict.ALLOWED

    def _max_stream_age_seconds(self) -> float:
        """Return how long ago a stream that is taken up can have begun.

        Without the id of the request that began it, the service is not known either
        where a route has several.
        """
        route = self._request.route
        if len(route.targets) > 1 and not self._call.resumed_id:
            return math.inf
        return route.timeout_seconds

    async def attempt(self, dispatch: Dispatch, check: AttemptCheck) -> AttemptDone:
        """Make one attempt and forward the upstream's response."""
        self._progress.note_attempt()
        attempt = RoutedAttempt(
            self.context,
            self._request,
            dispatch,
            self.request_id,
            self._resume_after,
            check,
            is_resumed=self.responder.has_started,
            prefers_new_connection=self.may_have_run,
        )
        buffers = self.context.connection_pool.buffers
        with anyio.move_on_after(check.remaining_seconds):
            with buffers.open(dispatch.upstream) as self._buffer:
                async with attempt.open() as head:
                    await self._forward(attempt, head)
            self._record_duration()
            return self._done(attempt, head)
        if not check.has_passed:
            raise attempt.failed(Outcome.UNSENT, "deadline reached before sending")
        raise attempt.failed(Outcome.EXPIRED, "response incomplete at the deadline")

    async def _forward(self, attempt: RoutedAttempt, head: ResponseHead) -> None:
        is_stream = self._request.route.is_stream and is_success(head)
        if is_stream and has_events(head, otherwise=True):
            await self._forward_stream(attempt, head)
        else:
            await self._forward_buffered(attempt, head)

    async def _forward_stream(self, attempt: RoutedAttempt, head: ResponseHead) -> None:
        dispatch = attempt.dispatch
        limits = self.context.settings.limits
        events = EventFramer(
            limits.max_event_bytes, dispatch.upstream, self._resume_after
        )
        was_inside_event, self._was_inside_event = self._was_inside_event, False
        try:
            await self._forward_events(attempt, head, events)
        finally:
            self._note_body_end(attempt, len(events.remainder))
            still_due = was_inside_event and not events.events_count
            self._was_inside_event = events.is_inside_event or still_due
        check_complete(
            ReceivedAnswer(
                AnswerContent.EVENTS,
                attempt.body_end,
                events_count=events.events_count,
                is_inside_event=events.is_inside_event,
                is_event_due=was_inside_event or self._is_first_event_due(head),
            ),
            STEP,
            dispatch.upstream,
        )
        await self._start_response(head, dispatch)
        await self.responder.end(events.remainder)

    def _is_first_event_due(self, head: ResponseHead) -> bool:
        """Return whether the caller has no event of a stream whose body may have one.

        One that resumes a stream may have had all of them.
        """
        if is_bodiless(self._call.method, head.status):
            return False
        return not (self._events_count or self._resume_after)

    async def _forward_events(
        self, attempt: RoutedAttempt, head: ResponseHead, events: EventFramer
    ) -> None:
        """Forward complete events as they arrive."""
        attempt.note_progress()
        async for chunk in attempt.chunks():
            self._note_bytes()
            batch = events.feed(chunk)
            self._buffer.hold(events.remainder_bytes)
            if not batch.data:
                continue
            if batch.count:
                self.recorder.note_events(batch.count, attempt.data_age_seconds)
                self._progress.note_events(batch.count, self.context.read_clock())
            has_id = bool(batch.last_id or self._resume_after)
            await self._start_response(
                head, attempt.dispatch, may_continue=has_id or not batch.count
            )
            # The id is recorded before the send: an event that may have reached the
            # caller must not be sent again.
            self._resume_after = batch.last_id or self._resume_after
            self._events_count += batch.count
            self._buffer.hold_for_caller(len(batch.data) + events.remainder_bytes)
            await self.responder.send(batch.data)
            self._buffer.hold(events.remainder_bytes)
            if batch.count:
                attempt.note_progress()
            self.recorder.note_written()

    async def _forward_buffered(
        self, attempt: RoutedAttempt, head: ResponseHead
    ) -> None:
        dispatch = attempt.dispatch
        tracker = BodyTracker(head)
        buffer = b""
        async for chunk in attempt.chunks():
            self._note_bytes()
            tracker.feed(chunk)
            buffer += chunk
            # Without room for the buffer the answer is forwarded as it arrives.
            is_forwarded = (
                self.responder.has_started
                or len(buffer) > MAX_BUFFERED_BYTES
                or not self._buffer.has_room(len(chunk))
            )
            if not is_forwarded:
                self._buffer.hold(len(buffer))
            else:
                self._buffer.hold_for_caller(len(buffer))
                self.recorder.note_events(1, attempt.data_age_seconds)
                await self._start_response(head, dispatch)
                await self.responder.send(buffer)
                self.recorder.note_written()
                buffer = b""
                self._buffer.hold(0)
        self._note_body_end(attempt)
        tracker.check(attempt.body_end, STEP, dispatch.upstream)
        self.recorder.note_events(1, attempt.data_age_seconds)
        if not self.responder.has_started:
            length = str(len(buffer)).encode()
            await self._start_response(head, dispatch, ((b"content-length", length),))
        self._buffer.hold_for_caller(len(buffer))
        await self.responder.end(buffer)
        self.recorder.note_written()

    async def _start_response(
        self,
        head: ResponseHead,
        dispatch: Dispatch,
        extra: tuple[tuple[bytes, bytes], ...] = (),
        *,
        may_continue: bool = False,
    ) -> None:
        delivery = (dispatch.attempt_id, may_continue)
        if delivery != self._last_delivery:
            self._last_delivery = delivery
            post_delivery(
                self.context,
                self.request_id,
                dispatch,
                STEP,
                may_continue=may_continue,
            )
        if self.responder.has_started:
            return
        first_seconds = self.context.read_clock() - self.arrived_at_seconds
        self.context.metrics.first_token.labels(*self.labels).observe(first_seconds)
        headers = [*self.context.dialects.upstream.response_headers(head), *extra]
        await self.responder.start(head.status, headers)

    def _note_bytes(self) -> None:
        self.responder.upstream.note_bytes(self.context.read_clock())

    def _note_body_end(self, attempt: RoutedAttempt, remainder_bytes: int = 0) -> None:
        self._body_end = attempt.body_end
        if self._body_end is not None:
            self.responder.upstream.note_ended(self.context.read_clock())
        self._remainder_bytes = remainder_bytes
        age_seconds = attempt.max_data_age_seconds()
        self._last_bytes_at_seconds = (
            None if age_seconds is None else self.context.read_clock() - age_seconds
        )

    def _record_duration(self) -> None:
        now_seconds = self.context.read_clock()
        self.context.drain_admission.note_answer(
            self._request.drain_request,
            now_seconds - self.arrived_at_seconds,
            now_seconds,
            progress=self._progress,
        )

    def answer_fields(self) -> dict[str, object]:
        """Return log fields of the answer that only requests on routes have."""
        return {
            "route": self._request.route.name,
            "service": self._request.service.name,
            "announced_tokens": self._call.max_answer_tokens,
            "expected_tokens": self._call.expected_answer_tokens,
            "events_count": self._events_count,
            **self.body_fields(),
        }

    def body_fields(self) -> dict[str, object]:
        """Return how the last body ended, and its bytes after the last event."""
        return {
            "body_end": self._body_end.value if self._body_end else "",
            "remainder_bytes": self._remainder_bytes,
        }

    def _done(self, attempt: RoutedAttempt, head: ResponseHead) -> AttemptDone:
        choice = attempt.dispatch.choice
        prompt_tokens = self._chain.total_tokens if self._chain else 0
        missing = choice.missing_tokens if choice else 0
        return AttemptDone(
            request_id=self.request_id,
            attempt_id=attempt.dispatch.attempt_id,
            cached_tokens=max(0, prompt_tokens - missing),
            prompt_tokens=prompt_tokens,
            answer_tokens=min(self._events_count, self._call.max_answer_tokens),
            connection_idle_seconds=attempt.idle_timeout_seconds,
            status=head.status,
            has_certain_end=attempt.body_end is not BodyEnd.CLOSED,
            last_bytes_at_seconds=self._last_bytes_at_seconds,
        )

    async def send_error(self, error: CallerError) -> None:
        """Send the final response, or leave a started one visibly cut."""
        if self.responder.has_started:
            self.responder.cut_code = error.code
            return
        response = self.context.dialects.caller.write_error(
            error, self._call.request_id
        )
        await self.responder.start(response.status, response.headers)
        await self.responder.end(response.body)

    async def recheck_access(self) -> None:
        """Raise if the request's key may have been revoked since its arrival."""
        access = await confirm_access(self.context, self._call)
        if access.verdict is not Verdict.ALLOWED:
            run_state = RunState.MAYBE_RUN if self.may_have_run else RunState.NOT_SENT
            raise access_error(access.verdict, run_state)
