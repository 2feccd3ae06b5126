"""Calls to plain services: method, body, headers and status are carried through."""

from http import HTTPStatus

import attrs

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    Dispatch,
    Outcome,
    RequestArrived,
    RequestIdentity,
)
from rampwick_schema import ReprMixin

from .._dialects import read_request_rate, read_signals
from .._errors import AttemptError
from .._headers import LEAVING, REQUEST_RATE
from ..upstream import UpstreamResponse
from ._call import CallTerms
from ._exchange import Exchange
from ._parts import Parts
from ._rates import note_rate
from ._responder import Receive, Responder
from ._signals import check_still_wanted, note_signals

#: Methods that HTTP itself allows to repeat.
REPEATABLE_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE"})

#: Headers that belong to one connection or to rampwick, not to the call.
OWN_HEADERS = frozenset(
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
OWN_PREFIX = "rampwick-"

STEP = "call service"


@attrs.frozen(repr=False)
class ServiceCall(ReprMixin):
    """A checked call to a plain service."""

    terms: CallTerms
    service: str
    method: str
    #: Path and query after the service's name.
    target: str
    headers: list[tuple[str, str]]
    body: bytes


def passes_through(name: str) -> bool:
    """Return whether a header goes on to the service or the caller."""
    return name not in OWN_HEADERS and not name.startswith(OWN_PREFIX)


class ServiceExchange(Exchange):
    """A call to a plain service."""

    def __init__(
        self,
        parts: Parts,
        call: ServiceCall,
        receive: Receive,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        super().__init__(parts, call.terms, receive, responder, arrived_at_seconds)
        self._call = call

    def arrival(self) -> RequestArrived:
        """Return what the scheduler is told."""
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

    async def attempt(self, dispatch: Dispatch) -> AttemptDone:
        """Make one attempt and pass the service's answer on."""
        headers = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in self._call.headers
        ]
        headers.append((b"x-request-id", dispatch.attempt_id.encode()))
        check_still_wanted(self.parts.scheduler, dispatch)
        asked_at_seconds = self.parts.read_clock()
        async with self.parts.upstreams.request(
            self._call.method,
            dispatch.address,
            self._call.target,
            step=STEP,
            peer=dispatch.upstream,
            headers=headers,
            body=self._call.body,
        ) as answer:
            note_rate(
                self.parts.scheduler,
                dispatch,
                read_request_rate(answer.head, REQUEST_RATE),
                asked_at_seconds=asked_at_seconds,
                is_proved=answer.status < HTTPStatus.INTERNAL_SERVER_ERROR,
            )
            signals = read_signals(answer.head, LEAVING)
            note_signals(self.parts.scheduler, dispatch, signals)
            if answer.status == HTTPStatus.TOO_MANY_REQUESTS:
                raise AttemptError(
                    "the service is busy",
                    outcome=Outcome.BUSY,
                    step=STEP,
                    peer=dispatch.upstream,
                )
            self.parts.scheduler.post(
                AttemptAccepted(self.request_id, dispatch.attempt_id)
            )
            await self._pass_on(dispatch, answer)
        return AttemptDone(self.request_id, dispatch.attempt_id)

    async def _pass_on(self, dispatch: Dispatch, answer: UpstreamResponse) -> None:
        headers = [
            (name, value)
            for name, value in answer.head.headers
            if passes_through(name.decode("latin-1"))
        ]
        headers.append((b"rampwick-upstream", dispatch.upstream.encode()))
        waited = self.parts.read_clock() - self.arrived_at_seconds
        self.parts.metrics.first_token.labels(*self.labels).observe(waited)
        # The first piece is awaited before anything goes to the caller, so that a
        # service that breaks off early can still be replaced.
        pieces = answer.pieces
        first = await anext(pieces, b"")
        self.parts.scheduler.post(
            AttemptDelivered(self.request_id, dispatch.attempt_id)
        )
        await self.responder.start(answer.status, headers)
        await self.responder.send(first)
        async for piece in pieces:
            await self.responder.send(piece)
        await self.responder.end()
