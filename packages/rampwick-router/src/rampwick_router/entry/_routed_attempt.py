"""One attempt of a request on a route: sending it and validating the response.

The caller's method, path and body are forwarded unchanged; the dialects select the
headers.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio

from rampwick_policy import (
    AttemptAccepted,
    AttemptStalled,
    BodyEnd,
    Dispatch,
    Outcome,
    WeightsReported,
)

from .._dialects import AttemptTerms, ResponseInfo
from .._errors import AttemptError
from .._headers import ResponseHead
from .._logs import ComponentLogger
from ..upstream import IDLE_TIME_BOUND, ReadMonitor, UpstreamConnection
from ._attempt_check import AttemptCheck
from ._context import EntryContext
from ._rates import post_brittleness, post_rate_limit
from ._routed_request import RoutedRequest
from ._signals import post_signals

#: Time without a response head after which an upstream is reported as unresponsive:
#: well above the response time of a busy engine, well below what callers tolerate.
UNRESPONSIVE_AFTER_SECONDS = 0.5

#: Time between two checks whether an attempt at an unresponsive upstream may end.
GIVE_UP_CHECK_SECONDS = 0.2

STEP = "forward request"

log = ComponentLogger("route")


class RoutedAttempt:
    """One attempt at one upstream.

    ``open`` sends the request; ``chunks`` yields the body of the response.
    """

    def __init__(
        self,
        context: EntryContext,
        request: RoutedRequest,
        dispatch: Dispatch,
        request_id: str,
        resume_after: str,
        check: AttemptCheck,
        *,
        is_resumed: bool,
        prefers_new_connection: bool = False,
    ) -> None:
        self._context = context
        self._request = request
        self.dispatch = dispatch
        self._request_id = request_id
        self._resume_after = resume_after
        self._check_write = check
        #: Whether the caller received part of a response that this attempt continues.
        self._is_resumed = is_resumed
        #: Whether the connection that an earlier attempt used may be silent for good,
        #: and the idle ones as well.
        self._prefers_new_connection = prefers_new_connection
        self._connection: UpstreamConnection
        self._read_monitor: ReadMonitor
        #: Time for which the connection may stay idle after the response.
        self.idle_timeout_seconds = 0.0

    @asynccontextmanager
    async def open(self) -> AsyncIterator[ResponseHead]:
        """Send the request and yield the response head, or raise AttemptError."""
        dispatch = self.dispatch
        dialect = self._context.dialects.upstream
        async with self._context.connection_pool.borrow(
            dispatch.upstream,
            dispatch.address,
            self._max_connections(),
            prefers_new=self._prefers_new_connection,
        ) as self._connection:
            sent_at_seconds = self._context.read_clock()
            await self._send()
            head = await self._receive_head()
            info = dialect.read_response(head, self._expected_incarnation)
            self._update_connection(info)
            self._post_upstream_state(info, sent_at_seconds)
            self._check(head, info)
            with self._context.stall_detector.monitor(
                dispatch.attempt_id, self._stall_timeout_seconds(), self._may_give_up
            ) as monitor:
                self._read_monitor = monitor
                yield head
            if monitor.is_idle:
                message = "the response stream brings no event"
                raise self.failed(Outcome.BROKEN, message, bound=IDLE_TIME_BOUND)
            if monitor.has_stalled:
                self._context.connection_pool.note_stalled(
                    self._connection, monitor.timeout_seconds
                )
                raise self.failed(Outcome.BROKEN, "the response stream is stalled")
        self.idle_timeout_seconds = self._connection.max_idle_seconds

    async def _send(self) -> None:
        call, body = self._request.call, self._request.body
        headers = self._context.dialects.upstream.request_headers(call, self._terms())
        if body or call.method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
            headers.append((b"content-length", str(len(body)).encode()))
        await self._connection.send(
            call.method, call.target, headers, body, self._check_write
        )

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive."""
        monitor = self._read_monitor
        self._context.stall_detector.note_waiting(monitor)
        async for chunk in self._connection.receive_chunks():
            # Time that a slow caller takes must not count as a stall of the upstream.
            monitor.waiting_since_seconds = None
            yield chunk
            self._context.stall_detector.note_waiting(monitor)
        # The caller may take the end of the answer slowly.
        monitor.waiting_since_seconds = None

    def note_progress(self) -> None:
        """Record that the stream has begun, or has brought an event."""
        self._context.stall_detector.note_progress(self._read_monitor)

    @property
    def body_end(self) -> BodyEnd | None:
        """How the body of the response ended; none while it has not."""
        return self._connection.body_end

    def data_age_seconds(self) -> float:
        """Return how long ago at least the bytes read last arrived at this host."""
        return self._connection.data_age_seconds()

    def max_data_age_seconds(self) -> float | None:
        """Return an upper bound on the age of the bytes read last, if known."""
        return self._connection.max_data_age_seconds()

    def failed(
        self,
        outcome: Outcome,
        message: str,
        info: ResponseInfo | None = None,
        *,
        bound: str = "",
    ) -> AttemptError:
        """Return the error for an attempt that ended with an outcome."""
        return AttemptError(
            message,
            outcome=outcome,
            step=STEP,
            peer=self.dispatch.upstream,
            retry_after_seconds=info.signals.pause_seconds if info else None,
            bound=bound,
        )

    @property
    def _expected_incarnation(self) -> str:
        """The incarnation that must run it; the name for upstreams that have none."""
        return self.dispatch.incarnation or self.dispatch.upstream

    def _terms(self) -> AttemptTerms:
        request, dispatch = self._request, self.dispatch
        salt = ""
        if request.scope is not None:
            salt = self._context.salts.salt(request.scope, dispatch.weights_version)
        return AttemptTerms(
            incarnation=self._expected_incarnation,
            weights_version=dispatch.weights_version,
            remaining_seconds=self._check_write.remaining_seconds,
            workspace=request.workspace.path.removeprefix("/"),
            priority_rank=request.priority_rank,
            cache_salt=salt,
            import_address=dispatch.import_address,
            save_address=dispatch.save_address,
            resume_after=self._resume_after,
        )

    def _max_connections(self) -> int:
        """Return this host's share of the connections that an upstream accepts."""
        max_count = self._request.service.max_connections_count
        return max(1, max_count // self._context.count_hosts())

    async def _receive_head(self) -> ResponseHead:
        stall_timeout_seconds = self._stall_timeout_seconds()
        with anyio.move_on_after(
            min(UNRESPONSIVE_AFTER_SECONDS, stall_timeout_seconds)
        ):
            return await self._connection.receive_head()
        self._report_unresponsive()
        # The cancelled read has consumed no bytes.
        with anyio.move_on_after(stall_timeout_seconds - UNRESPONSIVE_AFTER_SECONDS):
            return await self._connection.receive_head()
        while not self._may_give_up():
            with anyio.move_on_after(GIVE_UP_CHECK_SECONDS):
                return await self._connection.receive_head()
        raise self.failed(Outcome.BROKEN, "the upstream is unresponsive")

    def _may_give_up(self) -> bool:
        """Return whether the attempt may end because its upstream is unresponsive."""
        if self._connection.has_unread():
            return False
        return self._context.scheduler.may_give_up(self._request_id)

    def _report_unresponsive(self) -> None:
        """Report to the scheduler that the upstream has not sent a response head."""
        log.problem(
            "upstream is unresponsive",
            request=self._request.call.request_id,
            upstream=self.dispatch.upstream,
        )
        self._context.connection_pool.note_silent(self._connection)
        event = AttemptStalled(self._request_id, self.dispatch.attempt_id)
        self._context.scheduler.post(event)

    def _stall_timeout_seconds(self) -> float:
        """Return the time without data after which another upstream is tried.

        There is no such timeout for a request that must not run again.
        """
        if not self._request.is_repeatable:
            return float("inf")
        return self._context.settings.retry.silence_timeout_seconds

    def _update_connection(self, info: ResponseInfo) -> None:
        if info.is_closing:
            self._connection.max_idle_seconds = 0.0
        elif info.max_idle_seconds is not None:
            self._connection.set_idle_limit(info.max_idle_seconds)

    def _check(self, head: ResponseHead, info: ResponseInfo) -> None:
        """Raise unless the response belongs to this attempt and may be forwarded."""
        self._post_weights(info)
        status = f"status {head.status}"
        if info.is_misdirected:
            raise self.failed(Outcome.MISDIRECTED, status, info)
        if info.was_refused:
            raise self.failed(Outcome.BUSY, status, info)
        if info.request_id != self._request.call.request_id:
            message = f"the response is for request {info.request_id!r}"
            raise self.failed(Outcome.BROKEN, message)
        if not info.is_signed:
            raise self.failed(Outcome.BROKEN, f"{status} without signature")
        if self._is_resumed and not is_success(head):
            raise self.failed(Outcome.BROKEN, f"resumed with {status}")
        accepted = AttemptAccepted(self._request_id, self.dispatch.attempt_id)
        self._context.scheduler.post(accepted)

    def _post_upstream_state(self, info: ResponseInfo, sent_at_seconds: float) -> None:
        """Post rate limit and signals of a response from the intended upstream."""
        if info.is_misdirected or info.is_other_incarnation:
            return
        if info.request_id != self._request.call.request_id:
            return
        post_signals(self._context.scheduler, self.dispatch, info.signals)
        post_rate_limit(
            self._context.scheduler,
            self.dispatch,
            info.request_rate,
            sent_at_seconds=sent_at_seconds,
            is_verified=info.is_signed,
        )
        post_brittleness(
            self._context.scheduler,
            self.dispatch,
            info.brittleness,
            sent_at_seconds=sent_at_seconds,
            is_verified=info.is_signed,
        )

    def _post_weights(self, info: ResponseInfo) -> None:
        dispatch = self.dispatch
        if info.weights_version is None or not dispatch.weights_version:
            return
        if info.is_other_incarnation:
            return
        if info.weights_version != dispatch.weights_version:
            event = WeightsReported(
                dispatch.upstream, dispatch.incarnation, info.weights_version
            )
            self._context.scheduler.post(event)


def is_success(head: ResponseHead) -> bool:
    """Return whether a response has a 2xx status."""
    return 200 <= head.status < 300
