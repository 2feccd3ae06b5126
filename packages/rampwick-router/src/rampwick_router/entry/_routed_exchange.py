"""A request on a route: its attempts at upstreams, and its one final answer.

The caller's method, path and body and the upstream's status and body are carried
unchanged; the dialects say which headers are.
"""

from collections.abc import AsyncIterator

import anyio

from rampwick_policy import (
    RANKED_CLASSES,
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    AttemptSilent,
    Dispatch,
    Outcome,
    RequestArrived,
    RunState,
    Verdict,
    WeightsSeen,
)

from .._dialects import AnswerFacts, AttemptTerms
from .._errors import AttemptError, CallerError, denial
from .._headers import AnswerHead
from .._logs import PartLogger
from ..upstream import Channel, Listening
from ._call import CallTerms
from ._exchange import Exchange
from ._parts import Parts
from ._responder import Receive, Responder
from ._routed_request import RoutedRequest
from ._whole_events import WholeEvents

#: Answers up to this size are read whole before any of it goes to the caller, so that
#: one that breaks off can still be replaced.
WHOLE_ANSWER_BYTES = 262_144

#: Silence before an answer's head after which an upstream is suspected to be gone:
#: well above what a busy engine takes, well below what callers bear.
SUSPECT_SECONDS = 0.5

#: Time left under which an attempt is not worth sending.
MIN_REMAINING_SECONDS = 0.005

STEP = "forward request"

log = PartLogger("route")


class RoutedExchange(Exchange):
    """A request on a route under way."""

    def __init__(
        self,
        parts: Parts,
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
        super().__init__(parts, terms, receive, responder, request.arrived_at_seconds)
        self._request = request
        self._call = request.call
        self._chain = request.chain
        self._resume_after = request.call.last_event_id
        self._events_count = 0
        self._delivered_attempt_id = ""
        self._first_seconds = 0.0
        self._listening: Listening
        #: For how long the connection of the last attempt is kept.
        self._rest_seconds = 0.0

    @property
    def caller_request_id(self) -> str:
        """The id under which the caller knows the request."""
        return self._call.request_id

    def arrival(self) -> RequestArrived:
        """Return what the scheduler is told."""
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
            max_attempts_count=request.route.max_attempts_count,
            is_resumable=request.route.is_resumable,
            latency_target_seconds=request.route.latency_target_seconds,
        )

    async def attempt(self, dispatch: Dispatch) -> AttemptDone:
        """Make one attempt and pass the upstream's answer on."""
        remaining_seconds = self._request.deadline_seconds - self.parts.read_clock()
        if remaining_seconds < MIN_REMAINING_SECONDS:
            raise self._failed(Outcome.UNREACHABLE, "no time is left", dispatch)
        with anyio.move_on_after(remaining_seconds):
            await self._forward(dispatch, self._terms(dispatch, remaining_seconds))
            self._log_answer(dispatch)
            return self._done(dispatch)
        raise self._failed(Outcome.EXPIRED, "no answer within the deadline", dispatch)

    async def _forward(self, dispatch: Dispatch, terms: AttemptTerms) -> None:
        dialect = self.parts.dialects.upstream
        headers = dialect.request_headers(self._call, terms)
        body = self._request.body
        if body or self._call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(body)).encode()))
        async with self.parts.channels.borrow(
            dispatch.upstream, dispatch.address, self._max_connections()
        ) as channel:
            await channel.send(self._call.method, self._call.target, headers, body)
            head = await self._head(channel, dispatch)
            facts = dialect.read_answer(head)
            self._note_channel(channel, facts)
            self._check(head, facts, dispatch)
            with self.parts.silences.listen(self._silence_seconds()) as listening:
                self._listening = listening
                await self._pass_on(channel, head, dispatch)
            if listening.is_silent:
                raise self._failed(Outcome.BROKEN, "the upstream is silent", dispatch)
        self._rest_seconds = channel.max_rest_seconds

    def _terms(self, dispatch: Dispatch, remaining_seconds: float) -> AttemptTerms:
        request = self._request
        salt = ""
        if request.scope is not None:
            salt = self.parts.salts.salt(request.scope, dispatch.weights_version)
        return AttemptTerms(
            incarnation=dispatch.incarnation or dispatch.upstream,
            weights_version=dispatch.weights_version,
            remaining_seconds=remaining_seconds,
            workspace=request.workspace.path.removeprefix("/"),
            priority_rank=request.priority_rank,
            cache_salt=salt,
            import_address=dispatch.import_address,
            save_address=dispatch.save_address,
            resume_after=self._resume_after,
        )

    def _max_connections(self) -> int:
        """Return this host's part of the connections that an upstream takes."""
        most = self._request.service.max_connections_count
        return max(1, most // self.parts.count_hosts())

    async def _head(self, channel: Channel, dispatch: Dispatch) -> AnswerHead:
        silence_seconds = self._silence_seconds()
        with anyio.move_on_after(min(SUSPECT_SECONDS, silence_seconds)):
            return await channel.receive_head()
        self._suspect(dispatch)
        # A wait that was broken off left every byte where it was.
        with anyio.move_on_after(silence_seconds - SUSPECT_SECONDS):
            return await channel.receive_head()
        raise self._failed(Outcome.BROKEN, "the upstream is silent", dispatch)

    def _suspect(self, dispatch: Dispatch) -> None:
        """Have an upstream looked at that does not begin to answer."""
        log.problem(
            "upstream is silent",
            request=self._call.request_id,
            upstream=dispatch.upstream,
        )
        self.parts.scheduler.post(AttemptSilent(self.request_id, dispatch.attempt_id))

    def _silence_seconds(self) -> float:
        """Return how long an upstream may say nothing before another is tried.

        A request that must not run again has nothing to gain from giving up.
        """
        if not self._request.is_repeatable:
            return float("inf")
        return self.parts.settings.retry.silence_timeout_seconds

    def _note_channel(self, channel: Channel, facts: AnswerFacts) -> None:
        if facts.is_closing:
            channel.max_rest_seconds = 0.0
        elif facts.max_rest_seconds is not None:
            channel.note_rest_bound(facts.max_rest_seconds)

    def _check(self, head: AnswerHead, facts: AnswerFacts, dispatch: Dispatch) -> None:
        """Raise unless the answer is this attempt's own and may be passed on."""
        self._note_weights(facts, dispatch)
        if facts.is_misdirected:
            raise self._failed(
                Outcome.MISDIRECTED, f"status {head.status}", dispatch, facts
            )
        if facts.was_refused:
            raise self._failed(Outcome.BUSY, f"status {head.status}", dispatch, facts)
        if facts.request_id != self._call.request_id:
            raise self._failed(
                Outcome.BROKEN, f"answer is for {facts.request_id!r}", dispatch
            )
        if not facts.is_signed:
            raise self._failed(
                Outcome.BROKEN, f"status {head.status} without proof", dispatch
            )
        if self.responder.has_started and not _is_success(head):
            raise self._failed(
                Outcome.BROKEN, f"resumed with status {head.status}", dispatch
            )
        self.parts.scheduler.post(AttemptAccepted(self.request_id, dispatch.attempt_id))

    def _note_weights(self, facts: AnswerFacts, dispatch: Dispatch) -> None:
        if facts.weights_version is None or not dispatch.weights_version:
            return
        if facts.incarnation not in ("", dispatch.incarnation):
            return
        if facts.weights_version != dispatch.weights_version:
            self.parts.scheduler.post(
                WeightsSeen(
                    dispatch.upstream, dispatch.incarnation, facts.weights_version
                )
            )

    async def _pass_on(
        self, channel: Channel, head: AnswerHead, dispatch: Dispatch
    ) -> None:
        if self._request.route.is_stream and _is_success(head):
            await self._pass_stream(channel, head, dispatch)
        else:
            await self._pass_whole(channel, head, dispatch)

    async def _pass_stream(
        self, channel: Channel, head: AnswerHead, dispatch: Dispatch
    ) -> None:
        limits = self.parts.settings.limits
        events = WholeEvents(
            limits.max_event_bytes, dispatch.upstream, self._resume_after
        )
        async for piece in self._pieces(channel):
            batch = events.feed(piece)
            if not batch.count:
                continue
            await self._begin(head, dispatch)
            # The id is noted first: bytes that may have reached the caller must
            # not come again.
            self._resume_after = batch.last_id or self._resume_after
            self._events_count += batch.count
            await self.responder.send(batch.data)
        await self._begin(head, dispatch)
        await self.responder.end(events.rest)

    async def _pieces(self, channel: Channel) -> AsyncIterator[bytes]:
        listening = self._listening
        self.parts.silences.note_waiting(listening)
        async for piece in channel.receive_pieces():
            # Whoever takes the piece may be slow; that is not the upstream's silence.
            listening.waiting_since_seconds = None
            yield piece
            self.parts.silences.note_waiting(listening)

    async def _pass_whole(
        self, channel: Channel, head: AnswerHead, dispatch: Dispatch
    ) -> None:
        kept = b""
        async for piece in self._pieces(channel):
            kept += piece
            if self.responder.has_started or len(kept) > WHOLE_ANSWER_BYTES:
                await self._begin(head, dispatch)
                await self.responder.send(kept)
                kept = b""
        if not self.responder.has_started:
            length = str(len(kept)).encode()
            await self._begin(head, dispatch, ((b"content-length", length),))
        await self.responder.end(kept)

    async def _begin(
        self,
        head: AnswerHead,
        dispatch: Dispatch,
        extra: tuple[tuple[bytes, bytes], ...] = (),
    ) -> None:
        if dispatch.attempt_id != self._delivered_attempt_id:
            self._delivered_attempt_id = dispatch.attempt_id
            self.parts.scheduler.post(
                AttemptDelivered(self.request_id, dispatch.attempt_id)
            )
        if self.responder.has_started:
            return
        self._first_seconds = self.parts.read_clock() - self.arrived_at_seconds
        self.parts.metrics.first_token.labels(*self.labels).observe(self._first_seconds)
        headers = [*self.parts.dialects.upstream.answer_headers(head), *extra]
        await self.responder.start(head.status, headers)

    def _log_answer(self, dispatch: Dispatch) -> None:
        whole_seconds = self.parts.read_clock() - self.arrived_at_seconds
        log.info(
            "request answered",
            request=self._call.request_id,
            attempt=dispatch.attempt_id,
            upstream=dispatch.upstream,
            workspace=self.terms.workspace.path,
            route=self._request.route.name,
            first_ms=round(self._first_seconds * 1000),
            whole_ms=round(whole_seconds * 1000),
            events_count=self._events_count,
        )

    def _done(self, dispatch: Dispatch) -> AttemptDone:
        choice = dispatch.choice
        prompt_tokens = self._chain.total_tokens if self._chain else 0
        missing = choice.missing_tokens if choice else 0
        return AttemptDone(
            request_id=self.request_id,
            attempt_id=dispatch.attempt_id,
            cached_tokens=max(0, prompt_tokens - missing),
            prompt_tokens=prompt_tokens,
            answer_tokens=min(self._events_count, self._call.max_answer_tokens),
            connection_rest_seconds=self._rest_seconds,
        )

    async def answer_error(self, error: CallerError) -> None:
        """Give the final answer, or break off an answer that has begun."""
        if self.responder.has_started:
            # Closing without an end is the only way to say that it is not whole.
            return
        answer = self.parts.dialects.caller.write_error(error, self._call.request_id)
        await self.responder.start(answer.status, answer.headers)
        await self.responder.end(answer.body)

    def check_still_allowed(self) -> None:
        """Raise if the request's key may have been taken away meanwhile."""
        access = self.parts.look_up(self._call)
        if access.verdict is not Verdict.ALLOWED:
            run_state = RunState.MAYBE_RUN if self.may_have_run else RunState.NOT_SENT
            raise denial(access.verdict, run_state)

    def _failed(
        self,
        outcome: Outcome,
        message: str,
        dispatch: Dispatch,
        facts: AnswerFacts | None = None,
    ) -> AttemptError:
        return AttemptError(
            message,
            outcome=outcome,
            step=STEP,
            peer=dispatch.upstream,
            retry_after_seconds=facts.retry_after_seconds if facts else None,
        )


def _is_success(head: AnswerHead) -> bool:
    return 200 <= head.status < 300
