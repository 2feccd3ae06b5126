"""Errors of the daemon and their representation in responses to callers."""

import attrs

from rampwick_policy import Outcome, RunState, Verdict
from rampwick_schema import RampwickError, ReprMixin


class CallerError(RampwickError):
    """An error that is the final response to a request."""

    def __init__(
        self,
        message: str,
        *,
        status: int,
        code: str,
        step: str,
        peer: str = "",
        run_state: RunState = RunState.NOT_SENT,
        retry_after_seconds: float | None = None,
        evidence: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        #: The facts behind the decision; logged, not sent to the caller.
        self.evidence = evidence
        self.status = status
        self.code = code
        self.run_state = run_state
        self.retry_after_seconds = retry_after_seconds

    @property
    def body(self) -> dict[str, object]:
        """The error in OpenAI's format, with additional fields of rampwick."""
        kind = "invalid_request_error" if self.status < 500 else "server_error"
        error: dict[str, object] = {
            "message": self.message,
            "type": kind,
            "code": self.code,
            "was_run": self.run_state.was_run,
            "step": self.step,
            "peer": self.peer,
        }
        if self.retry_after_seconds is not None:
            error["retry_after_seconds"] = round(self.retry_after_seconds, 3)
        return {"error": error}


class AttemptError(RampwickError):
    """An attempt at an upstream ended without a complete response."""

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome,
        step: str,
        peer: str,
        retry_after_seconds: float | None = None,
        was_closed: bool = False,
        is_connected: bool = False,
        bound: str = "",
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
        #: The bound on an answer's bytes that ended it; empty for another reason.
        self.bound = bound
        self.retry_after_seconds = retry_after_seconds
        #: Whether the upstream closed or reset the connection.
        self.was_closed = was_closed
        #: Whether a new connection was opened and then nothing was received.
        self.is_connected = is_connected


class CallerLeftError(RampwickError):
    """The caller left before its request was sent completely."""


class PeerError(RampwickError):
    """A connection to a peer failed; only that connection is closed."""


@attrs.frozen(repr=False)
class ErrorKind(ReprMixin):
    """Status and message of a refusal."""

    status: int
    message: str
    #: Whether every retry of the request is refused as well, so that callers get no
    #: time for one.
    is_permanent: bool = False


#: Refusals of the scheduler by reason.
REFUSALS = {
    "over_limit": ErrorKind(429, "the workspace's limit in tokens is used up for now"),
    "queue_full": ErrorKind(429, "too many requests are waiting"),
    "deadline_unreachable": ErrorKind(
        503, "the queue is too long to begin before the deadline"
    ),
    "deadline_passed": ErrorKind(504, "no answer began before the deadline"),
    "no_upstream": ErrorKind(503, "no upstream can take the request now"),
    "unknown_software_version": ErrorKind(
        503, "it is not known at which software version the stream began"
    ),
    "no_same_version": ErrorKind(
        503, "no usable upstream has the software version that began the stream"
    ),
    "kept_apart": ErrorKind(
        503, "each upstream has another request that upstreams may end under"
    ),
    "upstreams_at_rate": ErrorKind(
        503, "the upstreams take no more requests than they get now"
    ),
    "upstreams_paused": ErrorKind(503, "the upstreams want no requests for a while"),
    "no_retry_left": ErrorKind(503, "the retry budget is spent for now"),
    "upstream_failed": ErrorKind(502, "the upstream failed"),
    "answer_too_large": ErrorKind(
        502, "the host has no room to buffer the upstream's answer"
    ),
    "ends_upstreams": ErrorKind(
        502, "upstreams end when they run this request", is_permanent=True
    ),
}


#: Retry-after for requests that another host may serve, such as those that this host
#: cannot check against a current configuration. It is short because hosts fail
#: independently, so that another host can serve them immediately.
OTHER_HOST_RETRY_SECONDS = 0.05

#: Responses to requests that the configuration does not allow.
DENIALS = {
    Verdict.NO_CONFIGURATION: ErrorKind(503, "no configuration is known here yet"),
    Verdict.UNKNOWN_ROUTE: ErrorKind(404, "no route leads there"),
    Verdict.NO_KEY: ErrorKind(401, "a bearer key is needed"),
    Verdict.UNKNOWN_KEY: ErrorKind(401, "the key is unknown"),
    Verdict.UNUSABLE: ErrorKind(
        503, "the configuration of the route or key can't be carried out", True
    ),
    Verdict.STALE: ErrorKind(503, "the configuration can't be confirmed here now"),
}


def access_error(
    verdict: Verdict, run_state: RunState = RunState.NOT_SENT
) -> CallerError:
    """Return the error for a request that the configuration does not allow."""
    kind = DENIALS[verdict]
    is_retryable_elsewhere = kind.status == 503 and not kind.is_permanent
    may_retry = is_retryable_elsewhere and run_state <= RunState.REFUSED
    return CallerError(
        kind.message,
        status=kind.status if run_state <= RunState.REFUSED else 502,
        code=verdict.value,
        step="check access",
        run_state=run_state,
        retry_after_seconds=OTHER_HOST_RETRY_SECONDS if may_retry else None,
    )
