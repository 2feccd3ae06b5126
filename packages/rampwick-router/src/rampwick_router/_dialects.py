"""What a daemon needs of the protocols around it.

The daemon decides and forwards; a dialect translates. Rampwick's own dialect is in
``_own_dialect``; a deployment with other names brings one of its own.
"""

import re
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import attrs

from rampwick_policy import OrderResult, PromptPart
from rampwick_schema import HostEntry, LoadReport, Order, ReprMixin

from ._errors import CallerError
from ._headers import AnswerHead, Header, find_all

#: A decimal number as upstreams write one: no sign, no exponent, and short, since
#: nothing else is a rate that anybody means.
DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


@attrs.frozen(repr=False)
class RawCall(ReprMixin):
    """A caller's request line and headers as they came."""

    method: str
    #: Path and query, byte for byte.
    target: str
    #: Names are in lower case.
    headers: Sequence[Header]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header that may stand once; None if it is absent."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Return how often a header stands."""
        return sum(known == name for known, _ in self.headers)


@attrs.frozen(repr=False)
class RoutedCall(ReprMixin):
    """A caller's request on a route, read from its headers."""

    request_id: str
    host: str
    method: str
    #: Path and query, to be sent on as they are.
    target: str
    #: Bearer key; none if the caller sent none.
    key: str | None
    #: Headers that go on to the upstream as they are.
    passed_headers: Sequence[Header]
    #: Time that the caller will wait; none if it does not say.
    timeout_seconds: float | None = None
    #: Model and parts of the prompt; none of them for plain services.
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    max_answer_tokens: int = 0
    #: Tokens of prompt and answer together as the caller names them, if it does.
    named_tokens: int | None = None
    #: Id of the last event that the caller has of a stream; empty for a new one.
    last_event_id: str = ""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]


@attrs.frozen(repr=False)
class AttemptTerms(ReprMixin):
    """What one attempt tells its upstream besides the caller's request."""

    #: Upstream and life that alone shall run it.
    incarnation: str
    weights_version: int
    remaining_seconds: float
    #: Workspace that it runs for; empty on public routes.
    workspace: str
    priority_rank: int
    cache_salt: str = ""
    import_address: str = ""
    save_address: str = ""
    #: Last event that the caller has, if a stream goes on.
    resume_after: str = ""


@attrs.frozen(repr=False)
class RequestRate(ReprMixin):
    """What an answer says of the requests that its upstream takes from all hosts."""

    #: Requests a second; none if it names no rate.
    per_second: float | None = None
    #: Whether it is surely so: what can't be read neither names a rate nor ends one.
    is_readable: bool = True


#: Statuses under which ``Retry-After`` asks the sender for a pause.
PAUSING_STATUSES = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)


@attrs.frozen(repr=False)
class UpstreamSignals(ReprMixin):
    """What an answer asks of whoever sends to its upstream."""

    #: Whether the upstream is shutting down and takes no new requests.
    is_leaving: bool = False
    #: Time for which it wants no request from this host; none if it does not say.
    pause_seconds: float | None = None

    def __bool__(self) -> bool:
        return self.is_leaving or self.pause_seconds is not None


def read_signals(head: AnswerHead, leaving_name: bytes) -> UpstreamSignals:
    """Return the signals of an answer; ``leaving_name`` is a lower-case header name.

    Of several values the longest pause counts, and any that is not ``0`` announces a
    shutdown. A pause that can't be read, as a date, is none.
    """
    announced = find_all(head.headers, leaving_name)
    pauses = [
        float(value)
        for value in find_all(head.headers, b"retry-after")
        if head.status in PAUSING_STATUSES and DECIMAL.fullmatch(value.strip())
    ]
    return UpstreamSignals(
        is_leaving=any(value.strip() not in (b"", b"0") for value in announced),
        pause_seconds=max(pauses, default=None),
    )


@attrs.frozen(repr=False)
class AnswerFacts(ReprMixin):
    """What an upstream's answer says of the attempt and of the upstream."""

    #: Id of the request that it answers; empty if it names none.
    request_id: str
    #: Whether the upstream says that it did not run the request.
    was_refused: bool = False
    #: Whether the upstream is another than asked for, or has other weights.
    is_misdirected: bool = False
    #: Whether the answer is proved to be the upstream's own.
    is_signed: bool = False
    #: Whether it names another upstream, or another life, than was asked.
    is_another: bool = False
    #: Weights of the upstream; none if it does not say.
    weights_version: int | None = None
    #: How long the connection may rest; none if it does not say.
    max_idle_seconds: float | None = None
    #: Whether the upstream closes its connections, as one that leaves does.
    is_closing: bool = False
    request_rate: RequestRate = RequestRate()
    signals: UpstreamSignals = UpstreamSignals()


def read_request_rate(head: AnswerHead, name: bytes) -> RequestRate:
    """Return the rate under a lower-case header name; the least one of several."""
    values = find_all(head.headers, name)
    if not values:
        return RequestRate()
    if not all(DECIMAL.fullmatch(value.strip()) for value in values):
        return RequestRate(is_readable=False)
    return RequestRate(min(float(value) for value in values))


@attrs.frozen(repr=False)
class ErrorAnswer(ReprMixin):
    """An error as a caller is told it."""

    status: int
    headers: Sequence[Header]
    body: bytes


class CallerDialect(Protocol):
    """How callers of routes speak."""

    def read_call(self, raw: RawCall) -> RoutedCall:
        """Return the request, or raise a CallerError of status 400."""

    def write_error(self, error: CallerError, request_id: str) -> ErrorAnswer:
        """Return an error as this dialect tells it."""


class UpstreamDialect(Protocol):
    """How the upstreams of routes speak."""

    def request_headers(self, call: RoutedCall, terms: AttemptTerms) -> list[Header]:
        """Return the headers of an attempt; its body keeps its length."""

    def read_answer(self, head: AnswerHead, incarnation: str) -> AnswerFacts:
        """Return what the head of an answer says; ``incarnation`` was asked."""

    def answer_headers(self, head: AnswerHead) -> list[Header]:
        """Return the headers that the caller is sent."""


@attrs.frozen(repr=False)
class ControlRequest(ReprMixin):
    """A call to an upstream that is not a caller's request."""

    #: What is being done, for errors and logs.
    step: str
    method: str
    path: str
    headers: Sequence[Header]
    body: bytes = b""


class ControlDialect(Protocol):
    """How upstreams are asked how they are, and told what to do."""

    def probe(self, entry: HostEntry, health_path: str) -> ControlRequest:
        """Return the call by which an upstream tells how it is."""

    def read_probe(
        self, entry: HostEntry, head: AnswerHead, body: bytes
    ) -> LoadReport | None:
        """Return a runner's report, none of a healthy service, or raise DataError."""

    def read_signals(self, head: AnswerHead, body: bytes) -> UpstreamSignals:
        """Return the signals of an answer that is surely the called upstream's own."""

    def order(self, entry: HostEntry, order: Order) -> ControlRequest:
        """Return the call that gives an order."""

    def read_order(self, head: AnswerHead) -> OrderResult:
        """Return what a runner says to an order."""


@attrs.frozen(repr=False)
class CacheEvent(ReprMixin):
    """One change of a cache."""

    salt: str
    part: bytes
    #: Tokens kept of the part now; none means that it is gone.
    kept_tokens: int


@attrs.frozen(repr=False)
class CacheEvents(ReprMixin):
    """What a cache told since the last question."""

    #: Changes when the cache starts anew, empty.
    epoch: int
    #: Where the next question goes on.
    next_number: int
    #: Whether older events were forgotten before they were read.
    has_gap: bool
    events: Sequence[CacheEvent]


class CacheDialect(Protocol):
    """How engines and stores tell what they cache."""

    def events(self, address: str, since: int, wait_seconds: float) -> ControlRequest:
        """Return the call for the events after a number; it waits for some."""

    def read_events(self, head: AnswerHead, body: bytes) -> CacheEvents:
        """Return the events of an answer, or raise DataError."""


@attrs.frozen(repr=False)
class Dialects(ReprMixin):
    """The protocols towards callers and upstreams of routes."""

    caller: CallerDialect
    upstream: UpstreamDialect
    control: ControlDialect
    cache: CacheDialect
