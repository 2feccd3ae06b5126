"""Calls to plain services; method, body, headers and status are forwarded."""

from http import HTTPStatus

import attrs

from rampwick_policy import (
    AttemptAccepted,
    AttemptDone,
    BodyEnd,
    Dispatch,
    Outcome,
    RequestArrived,
    RequestIdentity,
)
from rampwick_schema import ReprMixin

from .._answer_buffers import AnswerBuffer
from .._dialects import read_request_rate, read_signals
from .._errors import AttemptError
from .._headers import BRITTLE, LEAVING, REQUEST_RATE
from ..upstream import UpstreamResponse
from ._answer_end import BodyTracker
from ._attempt_check import AttemptCheck
from ._call import CallTerms
from ._context import EntryContext
from ._delivery import post_delivery
from ._exchange import Exchange
from ._rates import post_brittleness, post_rate_limit
from ._request_body import Receive
from ._responder import Responder
from ._signals import post_signals

#: Idempotent methods of HTTP, which are repeatable by default.
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

#: Headers for the connection or for rampwick, which are not forwarded.
NOT_FORWARDED_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "host",
        "idempotency-key",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
NOT_FORWARDED_PREFIX = "rampwick-"

STEP = "call service"


@attrs.frozen(repr=False)
class ServiceCall(ReprMixin):
    """A validated call to a plain service."""

    terms: CallTerms
    service: str
    method: str
    #: Path after the service's name, with the query.
    target: str
    headers: list[tuple[str, str]]
    body: bytes


def is_forwarded_header(name: str) -> bool:
    """Return whether a header is forwarded to the service or the caller."""
    return name not in NOT_FORWARDED_HEADERS and not name.startswith(
        NOT_FORWARDED_PREFIX
    )


class ServiceExchange(Exchange):
    """A call to a plain service."""

    def __init__(
        self,
        context: EntryContext,
        call: ServiceCall,
        receive: Receive,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        super().__init__(context, call.terms, receive, responder, arrived_at_seconds)
        self._call = call

    def arrival(self) -> RequestArrived:
        """Return the event that submits the request to the scheduler."""
        return RequestArrived(
            request_id=self.request_id,
            workspace=self.terms.workspace,
            priority_class=self.terms.priority_class,
            deadline_seconds=self.arrived_at_seconds + self.terms.deadline_seconds,
            is_repeatable=self.terms.is_repeatable,
            service=self._call.service,
            identity=RequestIdentity(
                self.terms.workspace.path,
                f"{self._call.service}{self._call.target}",
                self._call.body,
            ),
        )

    async def attempt(self, dispatch: Dispatch, check: AttemptCheck) -> AttemptDone:
        """Make one attempt and forward the service's response."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self._call.headers
        ]
        headers.append((b"x-request-id", dispatch.attempt_id.encode()))
        sent_at_seconds = self.context.read_clock()
        async with self.context.upstreams.request(
            self._call.method,
            dispatch.address,
            self._call.target,
            step=STEP,
            peer=dispatch.upstream,
            headers=headers,
            body=self._call.body,
            check=check,
            prefers_new_connection=self.may_have_run,
        ) as response:
            post_rate_limit(
                self.context.scheduler,
                dispatch,
                read_request_rate(response.head, REQUEST_RATE),
                sent_at_seconds=sent_at_seconds,
                is_verified=response.status < HTTPStatus.INTERNAL_SERVER_ERROR,
            )
            post_brittleness(
                self.context.scheduler,
                dispatch,
                read_request_rate(response.head, BRITTLE),
                sent_at_seconds=sent_at_seconds,
                is_verified=response.status < HTTPStatus.INTERNAL_SERVER_ERROR,
            )
            signals = read_signals(response.head, LEAVING)
            post_signals(self.context.scheduler, dispatch, signals)
            if response.status == HTTPStatus.TOO_MANY_REQUESTS:
                raise AttemptError(
                    "the service answered with status 429",
                    outcome=Outcome.BUSY,
                    step=STEP,
                    peer=dispatch.upstream,
                )
            self.context.scheduler.post(
                AttemptAccepted(self.request_id, dispatch.attempt_id)
            )
            with self.context.connection_pool.buffers.open(dispatch.upstream) as buffer:
                await self._forward(dispatch, response, buffer)
        return AttemptDone(
            self.request_id,
            dispatch.attempt_id,
            status=response.status,
            has_certain_end=response.read_body_end() is not BodyEnd.CLOSED,
        )

    async def _forward(
        self, dispatch: Dispatch, response: UpstreamResponse, buffer: AnswerBuffer
    ) -> None:
        headers = [
            (name, value)
            for name, value in response.head.headers
            if is_forwarded_header(name.decode("latin-1"))
        ]
        headers.append((b"rampwick-upstream", dispatch.upstream.encode()))
        waited = self.context.read_clock() - self.arrived_at_seconds
        self.context.metrics.first_token.labels(*self.labels).observe(waited)
        # The response starts once its first chunk has arrived, so that the call can be
        # retried if the service fails before.
        chunks = response.chunks
        tracker = BodyTracker(response.head)
        first = await anext(chunks, b"")
        tracker.feed(first)
        if not first:
            tracker.check(response.read_body_end(), STEP, dispatch.upstream)
        self.recorder.note_events(1, response.data_age_seconds)
        post_delivery(self.context, self.request_id, dispatch, STEP)
        await self.responder.start(response.status, headers)
        await self._send(first, buffer)
        async for chunk in chunks:
            tracker.feed(chunk)
            await self._send(chunk, buffer)
        tracker.check(response.read_body_end(), STEP, dispatch.upstream)
        await self.responder.end()
        self.recorder.note_written()

    async def _send(self, chunk: bytes, buffer: AnswerBuffer) -> None:
        buffer.hold_for_caller(len(chunk))
        await self.responder.send(chunk)
        buffer.hold(0)
