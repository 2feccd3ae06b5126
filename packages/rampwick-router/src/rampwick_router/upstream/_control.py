"""Control calls to upstreams: probes, orders, cancellations."""

from collections.abc import Callable
from typing import Protocol

import anyio
import attrs

from rampwick_policy import (
    IncarnationKey,
    OrderResult,
    Outcome,
    UpstreamPath,
    UpstreamSignalled,
)
from rampwick_schema import DataError, HostEntry, LoadReport, Order

from .._dialects import ControlDialect, ControlRequest
from .._errors import AttemptError
from .._headers import ResponseHead
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ._connection_pool import ConnectionPool, UnsendableRequestError

#: Timeout of a control call. An order is sent only if the lease outlives this timeout,
#: so it is short; responses take a few milliseconds.
CONTROL_TIMEOUT_SECONDS = 0.4

#: The same through a peer, which first has to be reached.
TUNNEL_TIMEOUT_SECONDS = 0.6

#: Time for an upstream to name its incarnation after a supposed crash, less than that
#: after which the crash is attributed to a request.
IDENTITY_TIMEOUT_SECONDS = 0.1

#: Maximum size of a response to a control call.
MAX_RESPONSE_BYTES = 1_048_576

log = ComponentLogger("upstreams")


class UpstreamControl(Protocol):
    """Control operations on upstreams, besides serving requests."""

    async def probe(
        self,
        entry: HostEntry,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
    ) -> LoadReport | None:
        """Return a runner's load report, or none for a service that is up.

        ``path`` replaces the current path to the upstream. Without ``may_reuse`` the
        probe opens a new connection.
        """

    async def send_order(self, entry: HostEntry, order: Order) -> OrderResult:
        """Send an order and return its result."""

    async def cancel(self, address: str, upstream: str, attempt_id: str) -> None:
        """Cancel an attempt whose result is no longer needed."""


class DialectControl:
    """Control calls over pooled connections, in a deployment's own dialect."""

    def __init__(
        self,
        connection_pool: ConnectionPool,
        dialect: ControlDialect,
        find_health_path: Callable[[str], str],
        scheduler: SchedulerTask,
    ) -> None:
        self._scheduler = scheduler
        self._connection_pool = connection_pool
        self._dialect = dialect
        self._find_health_path = find_health_path

    async def probe(
        self,
        entry: HostEntry,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
    ) -> LoadReport | None:
        """Return a runner's load report, or none for a service that is up."""
        head, body = await self._call(
            entry, self._probe_request(entry), path, may_reuse=may_reuse
        )
        try:
            report = self._dialect.read_probe(entry, head, body)
        except DataError as error:
            raise AttemptError(
                error.message, outcome=Outcome.BROKEN, step=error.step, peer=entry.name
            ) from error
        if report is None or report.is_identified or not self._may_have_crashed(entry):
            return report
        is_identified = await self._is_same_incarnation(entry, path)
        return attrs.evolve(report, is_identified=is_identified)

    def _may_have_crashed(self, entry: HostEntry) -> bool:
        """Return whether an answer that names the incarnation may refute a crash."""
        incarnation_key = IncarnationKey(entry.name, entry.incarnation)
        return bool(
            self._scheduler.run_query(
                lambda scheduler, now_seconds: (
                    scheduler.quarantine.tracker.is_refutable(
                        incarnation_key, now_seconds
                    )
                )
            )
        )

    async def _is_same_incarnation(
        self, entry: HostEntry, path: UpstreamPath | None
    ) -> bool:
        health_path = self._find_health_path(entry.group)
        request = self._dialect.identity_probe(entry, health_path)
        try:
            # A busy upstream may answer late, and its report must not wait for that.
            with anyio.fail_after(IDENTITY_TIMEOUT_SECONDS):
                head, _ = await self._call(entry, request, path)
        except (AttemptError, TimeoutError) as error:
            log.info("incarnation unknown", upstream=entry.name, error=repr(error))
            return False
        return self._dialect.names_incarnation(entry, head)

    async def send_order(self, entry: HostEntry, order: Order) -> OrderResult:
        """Send an order and return its result; a missing response is a result too."""
        try:
            # Orders that come from two hosts count as those of two holders.
            head, _ = await self._call(
                entry, self._dialect.order(entry, order), UpstreamPath.DIRECT
            )
        except AttemptError as error:
            if error.outcome.never_arrived:
                return OrderResult.REFUSED
            return OrderResult.LOST
        return self._dialect.read_order(head)

    def _probe_request(self, entry: HostEntry) -> ControlRequest:
        return self._dialect.probe(entry, self._find_health_path(entry.group))

    async def cancel(self, address: str, upstream: str, attempt_id: str) -> None:
        """Do nothing: closing the attempt's connection has already cancelled it."""

    async def _call(
        self,
        entry: HostEntry,
        request: ControlRequest,
        path: UpstreamPath | None = None,
        *,
        may_reuse: bool = True,
    ) -> tuple[ResponseHead, bytes]:
        head, body = await call_upstream(
            self._connection_pool,
            entry.name,
            entry.address,
            request,
            timeout_seconds(path),
            path,
            may_reuse=may_reuse,
        )
        signals = self._dialect.read_signals(head, body)
        if signals:
            self._scheduler.post(
                UpstreamSignalled(
                    entry.name,
                    entry.incarnation,
                    signals.is_leaving,
                    signals.pause_seconds,
                    f"reported in the response to {request.step!r}",
                )
            )
        return head, body


async def call_upstream(
    connection_pool: ConnectionPool,
    name: str,
    address: str,
    request: ControlRequest,
    timeout_seconds: float,
    path: UpstreamPath | None = None,
    *,
    may_reuse: bool = True,
    lane: str = "",
) -> tuple[ResponseHead, bytes]:
    """Make a small call to an upstream; every failure is an AttemptError."""
    headers = list(request.headers)
    if request.body:
        headers.append((b"content-length", str(len(request.body)).encode()))
    is_connected = False
    with anyio.move_on_after(timeout_seconds):
        async with connection_pool.borrow(
            name,
            address,
            reason=request.step,
            path=path,
            may_reuse=may_reuse,
            lane=lane,
        ) as connection:
            is_connected = not may_reuse
            try:
                await connection.send(
                    request.method, request.path, headers, request.body
                )
            except UnsendableRequestError as error:
                raise _failed(error.message, request, name) from error
            head = await connection.receive_head()
            body = bytearray()
            with connection_pool.buffers.open(name) as buffer:
                async for chunk in connection.receive_chunks():
                    body += chunk
                    buffer.hold(len(body))
                    if len(body) > MAX_RESPONSE_BYTES:
                        raise _failed(
                            f"response larger than {MAX_RESPONSE_BYTES} bytes",
                            request,
                            name,
                        )
            return head, bytes(body)
    raise _failed(
        f"no response within {timeout_seconds} s", request, name, is_connected
    )


def timeout_seconds(path: UpstreamPath | None) -> float:
    """Return the time limit of a control call on a path."""
    if path is UpstreamPath.TUNNEL:
        return TUNNEL_TIMEOUT_SECONDS
    return CONTROL_TIMEOUT_SECONDS


def _failed(
    message: str, request: ControlRequest, name: str, is_connected: bool = False
) -> AttemptError:
    return AttemptError(
        message,
        outcome=Outcome.BROKEN,
        step=request.step,
        peer=name,
        is_connected=is_connected,
    )
