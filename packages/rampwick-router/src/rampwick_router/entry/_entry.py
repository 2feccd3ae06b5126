"""The callers' HTTP interface: dispatch of requests to their handlers."""

import functools
import re
from itertools import islice
from urllib.parse import unquote

import anyio
import attrs

from rampwick_policy import RunState
from rampwick_schema import RampwickError, ReprMixin

from .._caller_memory import HEADER_BYTES
from .._caller_sockets import caller_socket
from .._errors import AttemptError, CallerError, CallerLeftError
from .._logs import ComponentLogger
from .._unexpected_errors import note_unexpected_error
from ._call import (
    bad_request,
    find_workspace,
    parsed_bytes,
    read_model_call,
    read_terms,
)
from ._context import EntryContext
from ._model_exchange import CHAT_PATH, TEXT_PATH, ModelExchange
from ._relay import MAX_RESUMES, RESUME_DELAY_SECONDS, relay_resumed
from ._request_body import Message, Receive, RequestBody
from ._responder import Responder, Send
from ._routed_entry import RoutedEntry
from ._service_exchange import (
    REPEATABLE_METHODS,
    ServiceCall,
    ServiceExchange,
    is_forwarded_header,
)
from ._stop_evidence import StopEvidence

SERVICES_PREFIX = "/services/"
STREAMS_PREFIX = "/v1/streams/"
MODELS_PATH = "/v1/models"

#: Position in the id of an event.
POSITION = re.compile(r"[0-9]{1,12}")

#: Interval between checks of all callers with open requests. Upstreams must stop
#: within half a second of a caller's close, which the server does not report if bytes
#: of a next request precede it.
CALLER_CHECK_SECONDS = 0.25

#: Time that the server is given to send the response to a request that has ended.
ANSWER_TIMEOUT_SECONDS = 0.5

#: Most requests that are logged as open before the exit.
MAX_LOGGED_OPEN_COUNT = 50

log = ComponentLogger("entry")


@attrs.frozen(repr=False)
class OpenRequest(ReprMixin):
    """A request whose response is not complete."""

    path: str
    arrived_at_seconds: float
    #: Cancels the request.
    scope: anyio.CancelScope


class EntryApp:
    """ASGI application for callers."""

    def __init__(self, context: EntryContext, serves_routes: bool = False) -> None:
        self._context = context
        self._serves_routes = serves_routes
        #: Whether new requests are rejected because this host is shutting down.
        self.is_closed = False
        self._routed = RoutedEntry(context)
        self._evidence = StopEvidence(context.lifecycle)
        self._open: dict[Responder, OpenRequest] = {}
        self._has_open = anyio.Event()

    @property
    def open_count(self) -> int:
        """Number of requests whose response is not complete."""
        return len(self._open)

    def log_open(self) -> None:
        """Log the open requests, whose ends a process that is killed can't log."""
        now_seconds = self._context.read_clock()
        for responder, request in islice(self._open.items(), MAX_LOGGED_OPEN_COUNT):
            log.info(
                "request still open before the exit",
                path=request.path,
                **self._evidence.fields(
                    responder, request.arrived_at_seconds, now_seconds
                ),
                **responder.log_fields,
            )

    def record_remaining(self) -> None:
        """Record the open requests of a process that ends now."""
        for responder, request in self._open.items():
            if not responder.has_ended:
                self._record_unanswered(
                    responder, request.path, request.arrived_at_seconds
                )

    async def watch_callers(self) -> None:
        """Cancel requests of callers that stall or left; in a forced shutdown, all."""
        while True:
            if not self._open:
                self._has_open = anyio.Event()
                await self._has_open.wait()
            await self._context.lifecycle.pause(CALLER_CHECK_SECONDS)
            is_forced = self._context.lifecycle.is_forced
            oldest = self._context.read_clock() - (
                self._context.settings.limits.write_timeout_seconds
            )
            for responder, request in self._open.items():
                since = responder.write_started_seconds
                is_stalled = since is not None and since < oldest
                is_ended = is_forced and not responder.is_discarding
                if is_ended or is_stalled or responder.has_caller_left():
                    request.scope.cancel()
            if is_forced:
                await anyio.sleep(CALLER_CHECK_SECONDS)

    async def __call__(self, scope: Message, receive: Receive, send: Send) -> None:
        """Serve one request with exactly one final response.

        The HTTP server would answer a request that gets none with an empty 500, which
        looks complete and does not tell whether the request ran.
        """
        if scope["type"] != "http":
            return
        version = scope.get("http_version", "")
        head_bytes = sum(
            len(name) + len(value) + HEADER_BYTES for name, value in scope["headers"]
        )
        with self._context.caller_memory.open_request(
            head_bytes, ends_connection=version.startswith("1")
        ) as memory:
            caller = caller_socket(scope)
            request = RequestBody(receive, memory, caller, scope["headers"])
            await self._serve_request(scope, request, send)

    async def _serve_request(
        self, scope: Message, request: RequestBody, send: Send
    ) -> None:
        lifecycle = self._context.lifecycle
        caller = caller_socket(scope)
        arrived_at_seconds = self._context.read_clock() - caller.unread_seconds()
        responder = Responder(
            send,
            self._context.read_clock,
            is_draining=lambda: not lifecycle.is_ready,
            caller_socket=caller,
            http_version=scope.get("http_version", ""),
            request=request,
        )
        cancel_scope = anyio.CancelScope()
        self._open[responder] = OpenRequest(
            scope["path"], arrived_at_seconds, cancel_scope
        )
        self._has_open.set()
        try:
            with cancel_scope:
                await self._serve_or_send_error(
                    scope, request, responder, arrived_at_seconds
                )
            if cancel_scope.cancelled_caught:
                await self._end_cancelled(responder, scope["path"])
        finally:
            del self._open[responder]
            try:
                if not responder.has_started:
                    await self._end_unanswered(
                        responder, scope["path"], arrived_at_seconds
                    )
            finally:
                if not responder.has_ended:
                    self._record_unanswered(
                        responder, scope["path"], arrived_at_seconds
                    )

    async def _serve_or_send_error(
        self,
        scope: Message,
        receive: RequestBody,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        try:
            await self._serve(scope, receive, responder, arrived_at_seconds)
        except CallerError as error:
            await responder.send_error(error)
        except CallerLeftError as error:
            log.info("request cancelled", path=scope["path"], error=str(error))
        except RampwickError as error:
            log.problem("request failed", path=scope["path"], error=str(error))
            await responder.send_error(_internal_error(error, responder.was_dispatched))
        except Exception as error:
            note_unexpected_error("request", error, path=scope["path"])
            unexpected = RampwickError("an unexpected error", step="serve request")
            await responder.send_error(
                _internal_error(unexpected, responder.was_dispatched)
            )

    async def _end_cancelled(self, responder: Responder, path: str) -> None:
        if responder.has_caller_left():
            return
        if not self._context.lifecycle.is_forced:
            log.problem("caller does not read, request cancelled", path=path)
            return
        await responder.send_error(_forced_shutdown_error(responder.was_dispatched))

    async def _end_unanswered(
        self, responder: Responder, path: str, arrived_at_seconds: float
    ) -> None:
        """Answer a request that ended without a response.

        Its caller is believed to have left, or the server is cancelling the request.
        """
        error = _unanswered_error(
            responder.was_dispatched, is_leaving=not self._context.lifecycle.is_ready
        )
        if not responder.has_caller_left():
            log.problem(
                "request ended without response",
                path=path,
                code=error.code,
                **self._evidence.fields(
                    responder, arrived_at_seconds, self._context.read_clock()
                ),
                **responder.log_fields,
            )
        with anyio.move_on_after(ANSWER_TIMEOUT_SECONDS, shield=True):
            await responder.send_error(error)

    def _record_unanswered(
        self, responder: Responder, path: str, arrived_at_seconds: float
    ) -> None:
        """Record why a request has ended without a complete response."""
        now_seconds = self._context.read_clock()
        reason = self._unanswered_reason(responder, arrived_at_seconds, now_seconds)
        self._context.metrics.unanswered.labels(reason).inc()
        log.problem(
            "request ended without complete response",
            path=path,
            reason=reason,
            **self._evidence.fields(responder, arrived_at_seconds, now_seconds),
            **responder.log_fields,
        )

    def _unanswered_reason(
        self, responder: Responder, arrived_at_seconds: float, now_seconds: float
    ) -> str:
        if responder.has_caller_left():
            return "caller_left"
        # The refusal of a forced shutdown has the same code.
        if responder.cut_code not in ("", "leaving"):
            return responder.cut_code
        write_at_seconds = responder.write_started_seconds
        write_timeout_seconds = self._context.settings.limits.write_timeout_seconds
        is_leaving = not self._context.lifecycle.is_ready
        if write_at_seconds is not None:
            is_late = now_seconds - write_at_seconds >= write_timeout_seconds
            if is_late or not is_leaving:
                return "caller_stalled"
        if not is_leaving:
            return "cancelled"
        cut = self._evidence.find_cut(responder, arrived_at_seconds, now_seconds)
        return cut.value

    async def _serve(
        self,
        scope: Message,
        receive: RequestBody,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        is_routed = self._serves_routes or len(self._context.view.routes)
        has_drained = self._context.lifecycle.has_drained and not is_routed
        if self.is_closed or has_drained:
            self._context.metrics.denied.labels("leaving").inc()
            log.info("request denied", path=scope["path"], code="leaving")
            raise CallerError(
                "this host is leaving",
                status=503,
                code="leaving",
                step="accept request",
                retry_after_seconds=1.0,
            )
        if is_routed:
            await self._routed.serve(scope, receive, responder, arrived_at_seconds)
            return
        headers = _read_headers(scope)
        method, path = scope["method"], scope["path"]
        if method == "POST" and path in (CHAT_PATH, TEXT_PATH):
            await self._serve_model(
                path, headers, receive, responder, arrived_at_seconds
            )
        elif path.startswith(SERVICES_PREFIX):
            await self._serve_service(
                scope, headers, receive, responder, arrived_at_seconds
            )
        elif method == "GET" and path.startswith(STREAMS_PREFIX):
            token = path.removeprefix(STREAMS_PREFIX)
            await self._serve_resumed(token, headers, responder)
        elif method == "GET" and path == MODELS_PATH:
            await self._serve_models(headers, responder)
        else:
            raise _unknown_path(method, path)

    async def _read_body(self, request: RequestBody) -> bytes:
        limits = self._context.settings.limits
        return await request.read(
            max_body_bytes=limits.max_body_bytes,
            timeout_seconds=limits.body_timeout_seconds,
        )

    async def _serve_model(
        self,
        path: str,
        headers: dict[str, str],
        receive: RequestBody,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        settings = self._context.settings
        terms = read_terms(
            find_workspace(self._context.view, headers),
            headers,
            default_deadline_seconds=settings.queue.default_deadline_seconds,
            repeatable_by_default=True,
        )
        raw = await self._read_body(receive)
        receive.hold_parsed(parsed_bytes(raw))
        call = read_model_call(
            raw, terms, settings.placement, is_chat=path == CHAT_PATH
        )
        await ModelExchange(
            self._context, call, receive, responder, arrived_at_seconds
        ).run()

    async def _serve_service(
        self,
        scope: Message,
        headers: dict[str, str],
        receive: RequestBody,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        method = scope["method"]
        terms = read_terms(
            find_workspace(self._context.view, headers),
            headers,
            default_deadline_seconds=self._context.settings.queue.default_deadline_seconds,
            repeatable_by_default=method in REPEATABLE_METHODS,
        )
        service, target = _split_target(scope)
        call = ServiceCall(
            terms=terms,
            service=service,
            method=method,
            target=target,
            headers=[item for item in headers.items() if is_forwarded_header(item[0])],
            body=await self._read_body(receive),
        )
        await ServiceExchange(
            self._context, call, receive, responder, arrived_at_seconds
        ).run()

    async def _serve_resumed(
        self, token: str, headers: dict[str, str], responder: Responder
    ) -> None:
        workspace = find_workspace(self._context.view, headers)
        reference = self._context.stream_tokens.decode(token)
        if reference is None or reference.workspace != workspace.path:
            raise _lost_stream("no such stream")
        position = _read_position(headers, token)
        upstream = self._context.scheduler.run_query(
            lambda scheduler, _: scheduler.upstreams.get(reference.upstream)
        )
        if upstream is None:
            raise _lost_stream("its upstream is gone")
        resume = functools.partial(
            self._context.upstreams.resume_stream,
            upstream.entry.address,
            reference.upstream,
            reference.attempt_id,
            position,
            is_chat=reference.is_chat,
            check=lambda has_sent: _check_caller(responder),
        )
        buffers = self._context.connection_pool.buffers
        for attempts_left_count in reversed(range(MAX_RESUMES)):
            try:
                with buffers.open(reference.upstream) as buffer:
                    async with resume() as stream:
                        stream.check_start(reference.attempt_id, reference.incarnation)
                        await responder.start_events()
                        await relay_resumed(
                            stream, token.encode(), position, responder, buffer
                        )
                return
            except AttemptError as error:
                # The stream outlasts its connections.
                may_repeat = error.was_closed and not responder.has_started
                if not may_repeat or not attempts_left_count:
                    raise _lost_stream(str(error)) from error
                log.problem(
                    "resumption failed",
                    attempt=reference.attempt_id,
                    upstream=reference.upstream,
                    error=str(error),
                )
            await anyio.sleep(RESUME_DELAY_SECONDS)

    async def _serve_models(
        self, headers: dict[str, str], responder: Responder
    ) -> None:
        workspace = find_workspace(self._context.view, headers)
        names = self._context.scheduler.run_query(
            lambda scheduler, _: {item.model for item in scheduler.upstreams}
        )
        models = [
            {"id": name, "object": "model", "owned_by": "rampwick"}
            for name in sorted(names)
            if name and workspace.allows_model(name)
        ]
        await responder.send_json(200, {"object": "list", "data": models})


def _check_caller(responder: Responder) -> None:
    if responder.has_caller_left():
        raise CallerLeftError("the caller left", step="resume stream")


def _forced_shutdown_error(was_dispatched: bool) -> CallerError:
    return _unserved_error(
        "this host was forced to shut down", "leaving", "stop", was_dispatched
    )


def _unanswered_error(was_dispatched: bool, *, is_leaving: bool) -> CallerError:
    if is_leaving:
        return _unserved_error(
            "this host shut down first", "leaving", "stop", was_dispatched
        )
    return _unserved_error(
        "the request was cancelled", "cancelled", "serve request", was_dispatched
    )


def _unserved_error(
    message: str, code: str, step: str, was_dispatched: bool
) -> CallerError:
    return CallerError(
        message,
        status=502 if was_dispatched else 503,
        code=code,
        step=step,
        run_state=RunState.MAYBE_RUN if was_dispatched else RunState.NOT_SENT,
        retry_after_seconds=None if was_dispatched else 1.0,
    )


def _read_headers(scope: Message) -> dict[str, str]:
    return {
        name.decode("latin-1").lower(): value.decode("latin-1")
        for name, value in scope["headers"]
    }


def _split_target(scope: Message) -> tuple[str, str]:
    # The raw path preserves the caller's percent-encoding.
    raw = scope.get("raw_path", scope["path"].encode()).decode("latin-1")
    raw = raw.partition("?")[0].removeprefix(SERVICES_PREFIX)
    service, _, path = raw.partition("/")
    if not service:
        raise _unknown_path(scope["method"], scope["path"])
    query = scope.get("query_string", b"").decode("latin-1")
    return unquote(service), f"/{path}" + (f"?{query}" if query else "")


def _read_position(headers: dict[str, str], token: str) -> int:
    last_id = headers.get("last-event-id")
    if last_id is None:
        return 0
    token_in_id, _, position = last_id.rpartition(".")
    if token_in_id != token or not POSITION.fullmatch(position):
        raise bad_request("last-event-id is not of this stream")
    return int(position) + 1


def _unknown_path(method: str, path: str) -> CallerError:
    return CallerError(
        f"{method} {path[:200]} is not served here",
        status=404,
        code="unknown_path",
        step="find path",
    )


def _lost_stream(message: str) -> CallerError:
    return CallerError(
        f"the stream can't be resumed: {message}",
        status=410,
        code="stream_lost",
        step="resume stream",
    )


def _internal_error(error: RampwickError, was_dispatched: bool) -> CallerError:
    return CallerError(
        error.message,
        status=500,
        code="internal",
        step=error.step,
        peer=error.peer,
        run_state=RunState.MAYBE_RUN if was_dispatched else RunState.NOT_SENT,
    )
