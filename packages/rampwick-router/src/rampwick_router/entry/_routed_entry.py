"""Requests on routes: parsing by the callers' dialect, access check, exchange."""

import anyio

from rampwick_policy import Verdict, choose_service
from rampwick_schema import Route, Service

from .._dialects import RawCall, RoutedCall
from .._errors import CallerError, access_error
from .._logs import ComponentLogger, milliseconds
from ._access_check import confirm_access
from ._context import EntryContext
from ._exit_check import ExitCheck
from ._request_body import Message, RequestBody
from ._responder import Responder
from ._routed_exchange import RoutedExchange
from ._routed_request import RoutedRequest

log = ComponentLogger("route")


class RoutedEntry:
    """Serves requests on routes to services."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context
        self._exit_check = ExitCheck(context)

    async def serve(
        self,
        scope: Message,
        receive: RequestBody,
        responder: Responder,
        arrived_at_seconds: float,
    ) -> None:
        """Serve one request with exactly one final response."""
        raw = _read_raw(scope)
        request_id = ""
        try:
            call = self._context.dialects.caller.read_call(raw)
            request_id = call.request_id
            responder.log_fields["request"] = request_id
            # A short body is read first: a connection that is closed with unread bytes
            # is reset, and the caller may lose its response.
            try:
                if receive.is_long:
                    await self._check(call, b"", arrived_at_seconds)
                body = await self._read_body(receive)
                request = await self._check(call, body, arrived_at_seconds)
                self._exit_check.check_arrival(request, responder)
            except anyio.get_cancelled_exc_class():
                log.info("request cancelled before submission", request=request_id)
                raise
            await RoutedExchange(self._context, request, receive, responder).run()
        except CallerError as error:
            self._log_rejection(error, request_id)
            await self._send_error(error, request_id, responder)

    def _log_rejection(self, error: CallerError, request_id: str) -> None:
        self._context.metrics.denied.labels(error.code).inc()
        configuration = self._context.configuration
        age_seconds = configuration.age_seconds(self._context.read_clock())
        log.info(
            "request denied",
            request=request_id,
            status=error.status,
            code=error.code,
            revision=self._context.follower.revision,
            revision_age_ms=milliseconds(age_seconds),
            error=str(error),
            evidence=error.evidence,
        )

    async def _check(
        self, call: RoutedCall, body: bytes, arrived_at_seconds: float
    ) -> RoutedRequest:
        access = await confirm_access(self._context, call)
        if access.verdict is not Verdict.ALLOWED:
            raise access_error(access.verdict)
        assert access.route is not None and access.workspace is not None
        return RoutedRequest(
            call=call,
            route=access.route,
            service=self._service(access.route, call),
            workspace=access.workspace,
            body=body,
            arrived_at_seconds=arrived_at_seconds,
        )

    def _service(self, route: Route, call: RoutedCall) -> Service:
        # A stream that is taken up goes on in the service that began it.
        is_resumption = bool(call.last_event_id and call.resumed_id)
        chosen_by = call.resumed_id if is_resumption else call.request_id
        name = choose_service(route, chosen_by)
        service = self._context.view.routes.service(name)
        assert service is not None, "the configuration was validated"
        return service

    async def _read_body(self, request: RequestBody) -> bytes:
        limits = self._context.view.routes.routing.caller_limits
        return await request.read(
            max_body_bytes=limits.max_body_bytes,
            timeout_seconds=limits.body_timeout_seconds,
        )

    async def _send_error(
        self, error: CallerError, request_id: str, responder: Responder
    ) -> None:
        if responder.has_started:
            responder.cut_code = error.code
            return
        response = self._context.dialects.caller.write_error(error, request_id)
        await responder.start(response.status, response.headers)
        await responder.end(response.body)


def _read_raw(scope: Message) -> RawCall:
    target = scope.get("raw_path", scope["path"].encode()).decode("latin-1")
    query = scope.get("query_string", b"").decode("latin-1")
    return RawCall(
        method=scope["method"],
        target=target + (f"?{query}" if query else ""),
        headers=list(scope["headers"]),
    )
