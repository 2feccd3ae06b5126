"""What the log tells of a request that ends, or may end, with its stopping host."""

from enum import StrEnum

from .._lifecycle import Lifecycle
from .._logs import milliseconds
from ._responder import Responder

#: Time without a byte after which an upstream counts as silent.
SILENT_SECONDS = 1.0

#: Timers may end this much early, so that an end at the exit seems to come before it.
EXIT_TOLERANCE_SECONDS = 0.05


class StopCut(StrEnum):
    """Why a stopping host ended a request, as a reason in metrics."""

    #: It was ended before the exit.
    EARLY = "leaving_early"
    #: The whole response was received from the upstream, or the caller did not read.
    UNDELIVERED = "leaving_undelivered"
    #: The upstream had sent nothing for ``SILENT_SECONDS``.
    SILENT = "leaving_silent"
    #: The upstream was at work on a request that came after the balancer's delay.
    LATE = "leaving_late"
    #: The upstream was at work on an earlier one.
    AT_WORK = "leaving"


class StopEvidence:
    """Describes the requests of a host by its planned shutdown."""

    def __init__(self, lifecycle: Lifecycle) -> None:
        self._lifecycle = lifecycle

    def find_cut(
        self, responder: Responder, arrived_at_seconds: float, now_seconds: float
    ) -> StopCut:
        """Return why a stopping host ends a request now."""
        lifecycle, upstream = self._lifecycle, responder.upstream
        exit_at_seconds = lifecycle.exit_deadline_seconds
        if exit_at_seconds is None:
            exit_at_seconds = now_seconds
        if now_seconds < exit_at_seconds - EXIT_TOLERANCE_SECONDS:
            return StopCut.EARLY
        is_held = responder.write_started_seconds is not None
        if is_held or upstream.ended_at_seconds is not None:
            return StopCut.UNDELIVERED
        heard_at_seconds = upstream.bytes_at_seconds or arrived_at_seconds
        if now_seconds - heard_at_seconds > SILENT_SECONDS:
            return StopCut.SILENT
        if lifecycle.is_balancer_done(arrived_at_seconds):
            return StopCut.LATE
        return StopCut.AT_WORK

    def fields(
        self, responder: Responder, arrived_at_seconds: float, now_seconds: float
    ) -> dict[str, object]:
        """Return log fields of a request; times after the stop are None before one."""
        upstream = responder.upstream
        stopped_at_seconds = self._lifecycle.stop_requested_at_seconds
        exit_at_seconds = self._lifecycle.exit_deadline_seconds

        def since(at_seconds: float | None) -> int | None:
            if at_seconds is None:
                return None
            return milliseconds(now_seconds - at_seconds)

        return {
            "arrived_after_stop_ms": None
            if stopped_at_seconds is None
            else milliseconds(arrived_at_seconds - stopped_at_seconds),
            "after_stop_ms": since(stopped_at_seconds),
            "until_exit_ms": None
            if exit_at_seconds is None
            else milliseconds(exit_at_seconds - now_seconds),
            "is_forced": self._lifecycle.is_forced,
            "had_begun": responder.has_started,
            "was_dispatched": responder.was_dispatched,
            "age_ms": since(arrived_at_seconds),
            "last_upstream_ms": since(upstream.bytes_at_seconds),
            "upstream_ended_ms": since(upstream.ended_at_seconds),
            "write_pending_ms": since(responder.write_started_seconds),
            "unacknowledged_bytes": responder.unacknowledged_bytes(),
        }
