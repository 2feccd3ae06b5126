"""Errors of the daemon, and their shape towards callers."""

import attrs

from rampwick_policy import Outcome, RunState, Verdict
from rampwick_schema import RampwickError, ReprMixin


class CallerError(RampwickError):
    """A request that gets an error as its final answer."""

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
        #: What it rests on; for logs, not for the caller.
        self.evidence = evidence
        self.status = status
        self.code = code
        self.run_state = run_state
        self.retry_after_seconds = retry_after_seconds

    @property
    def body(self) -> dict[str, object]:
        """The error in OpenAI's shape, with rampwick's own fields."""
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
    """An attempt at an upstream ended without its whole answer."""

    def __init__(
        self,
        message: str,
        *,
        outcome: Outcome,
        step: str,
        peer: str,
        retry_after_seconds: float | None = None,
        was_closed: bool = False,
    ) -> None:
        super().__init__(message, step=step, peer=peer)
        self.outcome = outcome
        self.retry_after_seconds = retry_after_seconds
        #: Whether the upstream closed or reset the connection.
        self.was_closed = was_closed


class PeerError(RampwickError):
    """A peer can't be talked to; it costs that connection only."""


@attrs.frozen(repr=False)
class ErrorKind(ReprMixin):
    """Status and code by which a refusal is told."""

    status: int
    message: str
    #: Whether it holds for each try of the request, so that none is to come back.
    is_lasting: bool = False


#: Refusals of the scheduler, by their reason.
REFUSALS = {
    "over_limit": ErrorKind(429, "the workspace's limit in tokens is used up for now"),
    "queue_full": ErrorKind(429, "too many requests are waiting"),
    "deadline_unreachable": ErrorKind(
        503, "the queue is too long to begin before the deadline"
    ),
    "deadline_passed": ErrorKind(504, "no answer began before the deadline"),
    "no_upstream": ErrorKind(503, "no upstream can take the request now"),
    "kept_apart": ErrorKind(
        503, "each upstream has another request that upstreams may end under"
    ),
    "upstreams_at_rate": ErrorKind(
        503, "the upstreams take no more requests than they get now"
    ),
    "upstreams_paused": ErrorKind(503, "the upstreams want no requests for a while"),
    "no_retry_left": ErrorKind(503, "the retry budget is spent for now"),
    "upstream_failed": ErrorKind(502, "the upstream failed"),
    "ends_upstreams": ErrorKind(
        502, "upstreams end when they run this request", is_lasting=True
    ),
}


#: How long a caller shall wait before it asks another host, where this one can't
#: confirm its configuration: hosts fail apart, so the next one can serve at once.
OTHER_HOST_SECONDS = 0.05

#: Answers to requests that the configuration does not allow.
DENIALS = {
    Verdict.NO_CONFIGURATION: ErrorKind(503, "no configuration is known here yet"),
    Verdict.UNKNOWN_ROUTE: ErrorKind(404, "no route leads there"),
    Verdict.NO_KEY: ErrorKind(401, "a bearer key is needed"),
    Verdict.UNKNOWN_KEY: ErrorKind(401, "the key is unknown"),
    Verdict.STALE: ErrorKind(503, "the configuration can't be confirmed here now"),
}


def denial(verdict: Verdict, run_state: RunState = RunState.NOT_SENT) -> CallerError:
    """Return the error for a request that the configuration does not allow."""
    kind = DENIALS[verdict]
    is_elsewhere = kind.status == 503
    may_ask_again = is_elsewhere and run_state <= RunState.REFUSED
    return CallerError(
        kind.message,
        status=kind.status if run_state <= RunState.REFUSED else 502,
        code=verdict.value,
        step="check access",
        run_state=run_state,
        retry_after_seconds=OTHER_HOST_SECONDS if may_ask_again else None,
    )
