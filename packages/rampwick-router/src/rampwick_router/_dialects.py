"""Interfaces of dialects, which translate protocols to and from the daemon's types.

Rampwick's native dialect is in ``_native_dialect``; a deployment with other protocols
provides its own.
"""

import re
import reprlib
from collections.abc import Sequence
from http import HTTPStatus
from typing import Protocol

import attrs

from rampwick_policy import OrderResult, PromptPart
from rampwick_schema import HostEntry, LoadReport, Order, ReprMixin

from ._errors import CallerError
from ._headers import Header, ResponseHead, find_all

#: Accepted decimal numbers: without sign or exponent, and short, since any other number
#: is not a plausible rate.
DECIMAL = re.compile(rb"[0-9]{1,12}(\.[0-9]{0,12})?|\.[0-9]{1,12}")


#: Maximum of numbers in reports, which messages carry as 64 bits.
MAX_WHOLE_NUMBER = 2**62


def read_whole_number(value: object) -> int:
    """Return a number of decoded JSON, or raise ValueError if it is not a whole one."""
    if type(value) is not int or not 0 <= value <= MAX_WHOLE_NUMBER:
        raise ValueError(f"{reprlib.repr(value)}, expected a whole number")
    return value


@attrs.frozen(repr=False)
class RawCall(ReprMixin):
    """A caller's request line and headers as received."""

    method: str
    #: Path and query, byte for byte.
    target: str
    #: Headers with lower-case names.
    headers: Sequence[Header]

    def get(self, name: bytes) -> bytes | None:
        """Return the value of a header that occurs at most once; None if absent."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    def count(self, name: bytes) -> int:
        """Return the number of occurrences of a header."""
        return sum(known == name for known, _ in self.headers)


#: Longest id of another request that a caller may name.
MAX_NAMED_ID_BYTES = 256


def read_resumed_id(raw: RawCall, name: bytes) -> str:
    """Return the id of the request whose stream a caller takes up; empty if invalid."""
    value = (raw.get(name) or b"").strip()
    if raw.count(name) != 1 or len(value) > MAX_NAMED_ID_BYTES:
        return ""
    return value.decode("latin-1")


@attrs.frozen(repr=False)
class RoutedCall(ReprMixin):
    """A caller's request on a route, parsed from its headers."""

    request_id: str
    host: str
    method: str
    #: Path and query, forwarded unchanged.
    target: str
    #: Bearer key; None if the caller sent none.
    key: str | None
    #: Headers that are forwarded to the upstream unchanged.
    forwarded_headers: Sequence[Header]
    #: Timeout of the caller; None if it sent none.
    timeout_seconds: float | None = None
    #: Model and prompt parts; empty for plain services.
    model: str = ""
    parts: tuple[PromptPart, ...] = ()
    max_answer_tokens: int = 0
    #: Response length that the caller expects; None if it stated none.
    expected_answer_tokens: int | None = None
    #: Tokens of prompt and response together as declared by the caller, if any.
    declared_tokens: int | None = None
    #: Id of the last event that the caller received; empty for a new stream.
    last_event_id: str = ""
    #: Id of the request that brought the first event of the stream that is taken up;
    #: empty if the caller names none.
    resumed_id: str = ""

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@attrs.frozen(repr=False)
class AttemptTerms(ReprMixin):
    """Metadata that an attempt sends to its upstream with the caller's request."""

    #: Incarnation of the upstream that must run it; any other must reject it.
    incarnation: str
    weights_version: int
    remaining_seconds: float
    #: Workspace of the request; empty on public routes.
    workspace: str
    priority_rank: int
    cache_salt: str = ""
    import_address: str = ""
    save_address: str = ""
    #: Id of the last event that the caller received, if a stream is resumed.
    resume_after: str = ""


@attrs.frozen(repr=False)
class RequestRate(ReprMixin):
    """The request rate limit in an upstream's response, which all hosts share."""

    #: Requests per second; None if the response contains no limit.
    per_second: float | None = None
    #: Whether the header is absent or valid. An invalid header neither sets nor removes
    #: a limit.
    is_readable: bool = True


#: Statuses with which ``Retry-After`` requests a pause from the sender.
RETRY_AFTER_STATUSES = frozenset(
    {HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE}
)


@attrs.frozen(repr=False)
class UpstreamSignals(ReprMixin):
    """Shutdown and back-off signals in an upstream's response."""

    #: Whether the upstream is shutting down and accepts no new requests.
    is_leaving: bool = False
    #: Time for which this host must not send requests; None if no pause is requested.
    pause_seconds: float | None = None

    def __bool__(self) -> bool:
        return self.is_leaving or self.pause_seconds is not None


def read_signals(head: ResponseHead, leaving_name: bytes) -> UpstreamSignals:
    """Return the signals in a response; ``leaving_name`` is a lower-case header name.

    The longest of several pauses applies. Any shutdown header with a value other than
    ``0`` announces a shutdown. A pause that is not a decimal number, such as a date, is
    ignored.
    """
    announced = find_all(head.headers, leaving_name)
    pauses = [
        float(value)
        for value in find_all(head.headers, b"retry-after")
        if head.status in RETRY_AFTER_STATUSES and DECIMAL.fullmatch(value.strip())
    ]
    return UpstreamSignals(
        is_leaving=any(value.strip() not in (b"", b"0") for value in announced),
        pause_seconds=max(pauses, default=None),
    )


@attrs.frozen(repr=False)
class ResponseInfo(ReprMixin):
    """Information in a response head about the attempt and the upstream."""

    #: Id of the request that the response belongs to; empty if it contains none.
    request_id: str
    #: Whether the upstream reports that it did not run the request.
    was_refused: bool = False
    #: Whether the upstream rejected a request for another upstream or other weights.
    is_misdirected: bool = False
    #: Whether the response is verified to come from the upstream.
    is_signed: bool = False
    #: Whether the response comes from another upstream or incarnation than addressed.
    is_other_incarnation: bool = False
    #: Weights version of the upstream; None if it is not reported.
    weights_version: int | None = None
    #: Idle timeout of the connection; None if it is not reported.
    max_idle_seconds: float | None = None
    #: Whether the upstream closes the connection, as during its shutdown.
    is_closing: bool = False
    request_rate: RequestRate = RequestRate()
    #: Rejections per second that the upstream withstands, if it is brittle.
    brittleness: RequestRate = RequestRate()
    signals: UpstreamSignals = UpstreamSignals()


def read_request_rate(head: ResponseHead, name: bytes) -> RequestRate:
    """Return the rate limit under a lower-case header name, the lowest of several."""
    values = find_all(head.headers, name)
    if not values:
        return RequestRate()
    if not all(DECIMAL.fullmatch(value.strip()) for value in values):
        return RequestRate(is_readable=False)
    return RequestRate(min(float(value) for value in values))


@attrs.frozen(repr=False)
class ErrorResponse(ReprMixin):
    """An error response to a caller."""

    status: int
    headers: Sequence[Header]
    body: bytes


class CallerDialect(Protocol):
    """Protocol of callers of routes."""

    def read_call(self, raw: RawCall) -> RoutedCall:
        """Return the request, or raise a CallerError of status 400."""

    def write_error(self, error: CallerError, request_id: str) -> ErrorResponse:
        """Return the error response of this dialect."""


class UpstreamDialect(Protocol):
    """Protocol of upstreams of routes."""

    def request_headers(self, call: RoutedCall, terms: AttemptTerms) -> list[Header]:
        """Return the headers of an attempt, without Content-Length."""

    def read_response(self, head: ResponseHead, incarnation: str) -> ResponseInfo:
        """Parse a response head; ``incarnation`` is the one that was addressed."""

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the response headers for the caller."""


@attrs.frozen(repr=False)
class ControlRequest(ReprMixin):
    """A call to an upstream on behalf of this host, not of a caller."""

    #: Name of the operation, for errors and logs.
    step: str
    method: str
    path: str
    headers: Sequence[Header]
    body: bytes = b""


class ControlDialect(Protocol):
    """Protocol of health probes and orders to upstreams."""

    def probe(self, entry: HostEntry, health_path: str) -> ControlRequest:
        """Return the request that probes an upstream."""

    def read_probe(
        self, entry: HostEntry, head: ResponseHead, body: bytes
    ) -> LoadReport | None:
        """Return a runner's report, None for a healthy service, or raise DataError."""

    def identity_probe(self, entry: HostEntry, health_path: str) -> ControlRequest:
        """Return the request to which an upstream names its incarnation."""

    def names_incarnation(self, entry: HostEntry, head: ResponseHead) -> bool:
        """Return whether the response to it is from the listed incarnation."""

    def read_signals(self, head: ResponseHead, body: bytes) -> UpstreamSignals:
        """Return the signals in a response verified to come from the upstream."""

    def order(self, entry: HostEntry, order: Order) -> ControlRequest:
        """Return the request that sends an order."""

    def read_order(self, head: ResponseHead) -> OrderResult:
        """Return a runner's result for an order."""


@attrs.frozen(repr=False)
class CacheEvent(ReprMixin):
    """One change of a cache."""

    salt: str
    part: bytes
    #: Tokens of the part that are cached now; 0 if it was evicted.
    kept_tokens: int


@attrs.frozen(repr=False)
class CacheEvents(ReprMixin):
    """The events of a cache since the last read."""

    #: Changes when the cache restarts empty.
    epoch: int
    #: Event number from which the next read continues.
    next_number: int
    #: Whether events were discarded before they were read.
    has_gap: bool
    events: Sequence[CacheEvent]


class CacheDialect(Protocol):
    """Protocol by which engines and KV stores report their cache contents."""

    def events(self, address: str, since: int, wait_seconds: float) -> ControlRequest:
        """Return the long-polling request for the events after a number."""

    def read_events(self, head: ResponseHead, body: bytes) -> CacheEvents:
        """Return the events in a response, or raise DataError."""


@attrs.frozen(repr=False)
class Dialects(ReprMixin):
    """The dialects for callers, upstreams, control calls and caches."""

    caller: CallerDialect
    upstream: UpstreamDialect
    control: ControlDialect
    cache: CacheDialect
