"""The check that a request will have its answer before a host that leaves exits.

It is made when the request arrives, and again before an attempt is sent: between the
two lie waits, for a free upstream, a connection or an earlier attempt.
"""

import math

from rampwick_policy import (
    DrainDecision,
    RunState,
    finds_ready_host,
    retry_elsewhere_seconds,
)

from .._errors import CallerError
from .._logs import ComponentLogger, milliseconds
from ._context import EntryContext
from ._responder import Responder
from ._routed_request import RoutedRequest

log = ComponentLogger("route")


class ExitCheck:
    """Refuses requests that are not expected to be answered before the exit."""

    def __init__(self, context: EntryContext) -> None:
        self._context = context

    def check_arrival(self, request: RoutedRequest, responder: Responder) -> None:
        """Raise if a request that has arrived is not taken."""
        lifecycle = self._context.lifecycle
        if lifecycle.has_drained:
            raise self._leaving_error("accept request", "no request is taken any more")
        if lifecycle.exit_deadline_seconds is None:
            return
        # While the balancer still routes callers here, a refused caller may come back.
        # Later requests arrive on persistent connections, and their callers can move.
        now_seconds = self._context.read_clock()
        peers, ready = self._context.scheduler.list_peers(now_seconds)
        decision = self._context.drain_admission.decide(
            request.drain_request,
            lifecycle.exit_deadline_seconds,
            now_seconds=now_seconds,
            is_balancer_done=lifecycle.is_balancer_done(now_seconds),
            is_elsewhere_ready=finds_ready_host(len(ready), len(peers)),
        )
        if not decision.is_admitted:
            raise self._leaving_error("accept request", _describe(decision))
        fields = {**_fields(decision), "ready_count": len(ready)}
        responder.log_fields.update(fields)
        log.info(
            "request taken while leaving",
            request=request.call.request_id,
            service=request.service.name,
            is_repeatable=request.is_repeatable,
            **fields,
        )

    def check_send(
        self, request: RoutedRequest, responder: Responder, *, may_have_run: bool
    ) -> None:
        """Raise if an attempt must not be sent any more.

        A response that has begun goes on as long as it can: its caller can take it up
        elsewhere after its last event.
        """
        lifecycle = self._context.lifecycle
        if lifecycle.exit_deadline_seconds is None or responder.has_started:
            return
        now_seconds = self._context.read_clock()
        decision = self._context.drain_admission.decide(
            request.drain_request,
            lifecycle.exit_deadline_seconds,
            now_seconds=now_seconds,
            is_balancer_done=lifecycle.is_balancer_done(now_seconds),
            is_waiting=True,
            may_have_run=may_have_run,
        )
        if not decision.is_admitted:
            raise self._leaving_error(
                "send request", _describe(decision), may_have_run=may_have_run
            )
        responder.log_fields.update(_fields(decision))

    def _leaving_error(
        self, step: str, evidence: str, *, may_have_run: bool = False
    ) -> CallerError:
        peers, ready = self._context.scheduler.list_peers(self._context.read_clock())
        retry_seconds = retry_elsewhere_seconds(len(ready), len(peers))
        return CallerError(
            "this host is leaving",
            status=502 if may_have_run else 503,
            code="leaving",
            step=step,
            run_state=RunState.MAYBE_RUN if may_have_run else RunState.NOT_SENT,
            retry_after_seconds=None if may_have_run else retry_seconds,
            evidence=f"{evidence}; {len(ready)} of {len(peers)} peers ready",
        )


def _describe(decision: DrainDecision) -> str:
    expected = "no known time"
    if math.isfinite(decision.expected_seconds):
        expected = f"{decision.expected_seconds:.3f} s"
    reason = ""
    if decision.is_left_to_others:
        reason = "left to ready hosts, "
    elif decision.is_unbounded:
        reason = "a stream that the exit may cut, "
    return (
        f"{reason}expected in {expected} by {decision.source.value} "
        f"({decision.answers_count} answers, {decision.open_count} open), "
        f"{decision.remaining_seconds:.3f} s left"
    )


def _fields(decision: DrainDecision) -> dict[str, object]:
    return {
        "expected_ms": milliseconds(decision.expected_seconds),
        "expected_by": decision.source.value,
        "answers_count": decision.answers_count,
        "open_count": decision.open_count,
        "left_ms": milliseconds(decision.remaining_seconds),
    }
