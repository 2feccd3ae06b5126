"""Rampwick's native dialect for callers and upstreams of routes.

A deployment with other protocols provides its own dialect.
"""

import math
from typing import Any

import orjson

from rampwick_platform import decode_answer, decode_json
from rampwick_policy import OrderResult, PromptPart
from rampwick_schema import (
    DataError,
    HostEntry,
    LoadReport,
    Order,
    structure,
    unstructure,
)

from ._dialects import (
    AttemptTerms,
    CacheEvent,
    CacheEvents,
    ControlRequest,
    Dialects,
    ErrorResponse,
    Header,
    RawCall,
    ResponseInfo,
    RoutedCall,
    UpstreamSignals,
    read_request_rate,
    read_resumed_id,
    read_signals,
    read_whole_number,
)
from ._errors import CallerError
from ._headers import (
    BRITTLE,
    LEAVING,
    REQUEST_RATE,
    ResponseHead,
    end_to_end_headers,
    find,
    has_connection_close,
    keep_alive_seconds,
)
from .entry import bad_request

PREFIX = b"rampwick-"
REQUEST_ID = b"rampwick-request-id"
DEADLINE = b"rampwick-deadline-seconds"
MODEL = b"rampwick-model"
PARTS = b"rampwick-prompt-parts"
ANSWER_TOKENS = b"rampwick-answer-tokens"
LAST_EVENT_ID = b"last-event-id"
RESUMES = b"rampwick-resumes"
WORKSPACE = b"rampwick-workspace"
INCARNATION = b"rampwick-incarnation"
WEIGHTS = b"rampwick-weights-version"
SALT = b"rampwick-cache-salt"
PRIORITY = b"rampwick-priority"
IMPORT_FROM = b"rampwick-import-from"
SAVE_TO = b"rampwick-save-to"
#: Why an upstream did not run a request: ``refused`` or ``misdirected``.
NOT_RUN = b"rampwick-not-run"

#: Maximum length of a request id and maximum number of prompt parts.
MAX_ID_BYTES = 200
MAX_PARTS = 256

JSON = (b"content-type", b"application/json")


class NativeCallerDialect:
    """Reads requests from rampwick's headers and writes errors as JSON."""

    def read_call(self, raw: RawCall) -> RoutedCall:
        """Return the request, or raise a CallerError of status 400."""
        request_id = (raw.get(REQUEST_ID) or b"").decode("latin-1")
        if not request_id or len(request_id) > MAX_ID_BYTES:
            raise bad_request(f"{REQUEST_ID.decode()} is missing or too long")
        host = (raw.get(b"host") or b"").decode("latin-1").lower()
        return RoutedCall(
            request_id=request_id,
            host=host.partition(":")[0],
            method=raw.method,
            target=raw.target,
            key=read_bearer_key(raw),
            forwarded_headers=[
                (name, value)
                for name, value in end_to_end_headers(raw.headers)
                if not name.startswith(PREFIX)
                and name not in (b"authorization", LAST_EVENT_ID)
            ],
            timeout_seconds=_read_seconds(raw.get(DEADLINE)),
            model=(raw.get(MODEL) or b"").decode("latin-1"),
            parts=read_parts(raw.get(PARTS) or b""),
            max_answer_tokens=_read_count(raw.get(ANSWER_TOKENS)),
            last_event_id=(raw.get(LAST_EVENT_ID) or b"").decode("latin-1"),
            resumed_id=read_resumed_id(raw, RESUMES),
        )

    def write_error(self, error: CallerError, request_id: str) -> ErrorResponse:
        """Return a JSON error response."""
        headers: list[Header] = [JSON, (REQUEST_ID, request_id.encode("latin-1"))]
        if error.retry_after_seconds is not None:
            seconds = max(1, math.ceil(error.retry_after_seconds))
            headers.append((b"retry-after", str(seconds).encode()))
        body = orjson.dumps(error.body)
        headers.append((b"content-length", str(len(body)).encode()))
        return ErrorResponse(error.status, headers, body)


class NativeUpstreamDialect:
    """Exchanges attempt metadata with upstreams in rampwick's headers."""

    def request_headers(self, call: RoutedCall, terms: AttemptTerms) -> list[Header]:
        """Return the headers of an attempt."""
        headers = [
            *call.forwarded_headers,
            (REQUEST_ID, call.request_id.encode("latin-1")),
            (DEADLINE, f"{terms.remaining_seconds:.3f}".encode()),
            (INCARNATION, terms.incarnation.encode()),
            (PRIORITY, str(terms.priority_rank).encode()),
        ]
        optional = [
            (WORKSPACE, terms.workspace.encode()),
            # These three are sent back as the caller's bytes.
            (MODEL, call.model.encode("latin-1")),
            (PARTS, write_parts(call.parts).encode("latin-1")),
            (LAST_EVENT_ID, terms.resume_after.encode("latin-1")),
            (SALT, terms.cache_salt.encode()),
            (IMPORT_FROM, terms.import_address.encode()),
            (SAVE_TO, terms.save_address.encode()),
        ]
        headers += [(name, value) for name, value in optional if value]
        if terms.weights_version:
            headers.append((WEIGHTS, str(terms.weights_version).encode()))
        return headers

    def read_response(self, head: ResponseHead, incarnation: str) -> ResponseInfo:
        """Parse a response head; ``incarnation`` is the one that was addressed."""
        headers = head.headers
        not_run = find(headers, NOT_RUN)
        reported = find(headers, INCARNATION) or b""
        weights = find(headers, WEIGHTS)
        return ResponseInfo(
            request_id=(find(headers, REQUEST_ID) or b"").decode("latin-1"),
            was_refused=not_run is not None,
            is_misdirected=not_run == b"misdirected",
            is_signed=bool(reported),
            is_other_incarnation=reported not in (b"", incarnation.encode()),
            weights_version=_read_count(weights) if weights else None,
            max_idle_seconds=keep_alive_seconds(headers),
            is_closing=has_connection_close(headers),
            request_rate=read_request_rate(head, REQUEST_RATE),
            brittleness=read_request_rate(head, BRITTLE),
            signals=read_signals(head, LEAVING),
        )

    def response_headers(self, head: ResponseHead) -> list[Header]:
        """Return the response headers for the caller."""
        return end_to_end_headers(head.headers)


class NativeControlDialect:
    """Probes of rampwick's runners and orders to them."""

    def probe(self, entry: HostEntry, health_path: str) -> ControlRequest:
        """Return the request that probes an upstream."""
        host = (b"host", entry.address.encode())
        return ControlRequest("probe upstream", "GET", "/load", [host])

    def read_probe(
        self, entry: HostEntry, head: ResponseHead, body: bytes
    ) -> LoadReport | None:
        """Return a runner's report, None for a healthy service, or raise DataError."""
        step = "probe upstream"
        if not body and entry.kind == "service":
            return None
        try:
            data = decode_json(body)
        except ValueError as error:
            raise DataError(
                f"cut report: {error}", step=step, peer=entry.name
            ) from None
        return structure(data, LoadReport, step=step, peer=entry.name)

    def identity_probe(self, entry: HostEntry, health_path: str) -> ControlRequest:
        """Return the probe, whose report names the incarnation."""
        return self.probe(entry, health_path)

    def names_incarnation(self, entry: HostEntry, head: ResponseHead) -> bool:
        """Return False: the report names it, not the head."""
        return False

    def read_signals(self, head: ResponseHead, body: bytes) -> UpstreamSignals:
        """Return no signals: control responses carry no incarnation to verify."""
        return UpstreamSignals()

    def order(self, entry: HostEntry, order: Order) -> ControlRequest:
        """Return the request that sends an order."""
        headers = [(b"host", entry.address.encode()), JSON]
        body = orjson.dumps(unstructure(order))
        return ControlRequest("send order", "PUT", "/orders", headers, body)

    def read_order(self, head: ResponseHead) -> OrderResult:
        """Return a runner's result for an order."""
        results = {
            200: OrderResult.HOLDS,
            202: OrderResult.TAKEN,
            409: OrderResult.FENCED,
            412: OrderResult.CONFLICT,
        }
        return results.get(head.status, OrderResult.REFUSED)


class NativeCacheDialect:
    """Cache events as reported by rampwick's stand-ins."""

    def events(self, address: str, since: int, wait_seconds: float) -> ControlRequest:
        """Return the long-polling request for the events after a number."""
        path = f"/cache/events?since={since}&wait_seconds={wait_seconds:g}"
        host = (b"host", address.encode())
        return ControlRequest("read cache events", "GET", path, [host])

    def read_events(self, head: ResponseHead, body: bytes) -> CacheEvents:
        """Return the events in a response, or raise DataError."""
        step = "read cache events"
        if head.status != 200:
            raise DataError(f"status {head.status}", step=step)
        try:
            data = decode_answer(body, ("events",))
            parsed = [_parse_event(item) for item in data["events"]]
            events = [event for event in parsed if event is not None]
            return CacheEvents(
                epoch=read_whole_number(data["epoch"]),
                next_number=read_whole_number(data["next_number"]),
                has_gap=bool(data["has_gap"]) or len(events) < len(parsed),
                events=events,
            )
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            raise DataError(f"bad events: {error!r}", step=step) from None


def _parse_event(item: Any) -> CacheEvent | None:
    """Return an event, or None if it is invalid: events may be lost as well."""
    try:
        salt, part, tokens = item
        salt.encode()
        return CacheEvent(salt, part.encode(), read_whole_number(tokens))
    except (ValueError, TypeError, AttributeError):
        return None


NATIVE_DIALECTS = Dialects(
    NativeCallerDialect(),
    NativeUpstreamDialect(),
    NativeControlDialect(),
    NativeCacheDialect(),
)


def read_bearer_key(raw: RawCall) -> str | None:
    """Return the caller's bearer key, or None."""
    kind, _, key = (raw.get(b"authorization") or b"").partition(b" ")
    if kind.lower() != b"bearer" or not key.strip():
        return None
    return key.strip().decode("latin-1")


def read_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Parse prompt parts, a comma-separated list of NAME:TOKENS."""
    if not value.strip():
        return ()
    items = value.split(b",")
    if len(items) > MAX_PARTS:
        raise bad_request(f"a prompt of {len(items)} parts, allowed are {MAX_PARTS}")
    parts = []
    for item in items:
        name, _, tokens = item.strip().rpartition(b":")
        if not name or not tokens.isdigit() or len(tokens) > 9:
            raise bad_request(f"a part of the prompt is {item[:60]!r}")
        parts.append(PromptPart(name, int(tokens)))
    return tuple(parts)


def write_parts(parts: tuple[PromptPart, ...]) -> str:
    """Format prompt parts as a header value."""
    return ",".join(f"{part.name.decode('latin-1')}:{part.tokens}" for part in parts)


def _read_seconds(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        return None
    return seconds if 0.0 <= seconds < 1e6 else None


def _read_count(value: bytes | None) -> int:
    return int(value) if value and value.isdigit() and len(value) < 10 else 0
