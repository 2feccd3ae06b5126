"""Lifecycle of one request: its attempts, its run state and its one final answer."""

import enum

import attrs

from rampwick_schema import ReprMixin

from ._errors import LifecycleError

#: Attempts allowed in addition to those that ran: refusals of one request by upstreams.
MAX_REFUSALS = 4


class RunState(enum.IntEnum):
    """What is known about whether a request ran; it never decreases.

    Only with the first two may an answer state that the request was not run.
    """

    NOT_SENT = 0
    REFUSED = 1
    MAYBE_RUN = 2
    RUNNING = 3
    DONE = 4

    @property
    def was_run(self) -> str:
        """Value in an error answer: ``no``, ``maybe`` or ``yes``."""
        if self <= RunState.REFUSED:
            return "no"
        return "yes" if self >= RunState.RUNNING else "maybe"


class Outcome(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    #: The connection was not established; the upstream is unhealthy.
    UNREACHABLE = "unreachable"
    #: The request was not sent, because the upstream stopped accepting requests.
    WITHDRAWN = "withdrawn"
    #: The request was not sent, because its deadline passed before.
    UNSENT = "unsent"
    #: The request was not sent, because this host uses all its connections to the
    #: upstream, which is healthy.
    CROWDED = "crowded"
    #: The upstream reported that it did not run the request; it is healthy.
    BUSY = "busy"
    #: The connection broke or stalled; the upstream may have run the request.
    BROKEN = "broken"
    #: This host had no room to buffer the answer of an upstream that may have run the
    #: request.
    TOO_LARGE = "too large"
    #: The deadline passed first; the upstream may have run the request.
    EXPIRED = "expired"
    #: The upstream answered from another incarnation than the one it was chosen for.
    STALE = "stale"
    #: The request reached another upstream or incarnation than intended, which
    #: reported that it did not run the request.
    MISDIRECTED = "misdirected"

    @property
    def is_health_failure(self) -> bool:
        """Whether the outcome indicates that the upstream is unhealthy."""
        return self in (Outcome.UNREACHABLE, Outcome.BROKEN)

    @property
    def shows_other_generation(self) -> bool:
        """Whether the upstream has another incarnation or weights version by now."""
        return self in (Outcome.STALE, Outcome.MISDIRECTED)

    @property
    def proves_not_run(self) -> bool:
        """Whether the attempt certainly did not run."""
        return self.never_arrived or self in (Outcome.BUSY, Outcome.MISDIRECTED)

    @property
    def never_arrived(self) -> bool:
        """Whether the upstream never received the attempt."""
        return self in (
            Outcome.UNREACHABLE,
            Outcome.WITHDRAWN,
            Outcome.UNSENT,
            Outcome.CROWDED,
        )


@attrs.define(repr=False)
class RequestLifecycle(ReprMixin):
    """State machine of one request over all its attempts.

    Events of an attempt other than the current one return ``False`` and change
    nothing, so that delayed and reordered events have no effect on the caller.
    """

    request_id: str
    deadline_seconds: float
    #: Whether the request may run again after an attempt that may have run.
    is_repeatable: bool
    #: Number of upstreams on which the request may run.
    max_attempts_count: int
    #: Whether another upstream may continue a stream that broke.
    is_resumable: bool = False
    run_state: RunState = RunState.NOT_SENT
    attempt_id: str = ""
    attempts_count: int = 0
    #: Attempts that ran or may have run.
    runs_count: int = 0
    has_delivered: bool = False
    has_ended: bool = False

    @property
    def is_waiting(self) -> bool:
        """Whether the request has neither an attempt under way nor an answer."""
        return not self.has_ended and not self.attempt_id

    def start(self, attempt_id: str) -> None:
        """Record that an attempt is passed to the network."""
        if not self.is_waiting:
            raise LifecycleError(
                f"{self.request_id} is not waiting", step="start attempt"
            )
        if self.run_state >= RunState.MAYBE_RUN and not self.is_repeatable:
            raise LifecycleError(
                f"{self.request_id} must not run twice", step="start attempt"
            )
        self.attempt_id = attempt_id
        self.attempts_count += 1

    def accept(self, attempt_id: str) -> bool:
        """Record that the upstream has started to answer."""
        if not self._is_current(attempt_id):
            return False
        self.run_state = max(self.run_state, RunState.RUNNING)
        return True

    def deliver(self, attempt_id: str, *, may_continue: bool = True) -> bool:
        """Record that a first chunk is sent to the caller.

        No other attempt follows, unless the request is resumable and what is sent can
        be continued.
        """
        if not self._is_current(attempt_id):
            return False
        self.has_delivered = True
        self.is_resumable = self.is_resumable and may_continue
        return True

    def fail(self, attempt_id: str, outcome: Outcome) -> bool:
        """Record that an attempt ended without a complete answer."""
        if not self._is_current(attempt_id):
            return False
        self.attempt_id = ""
        observed = RunState.REFUSED if outcome.proves_not_run else RunState.MAYBE_RUN
        self.run_state = max(self.run_state, observed)
        self.runs_count += not outcome.proves_not_run
        return True

    def may_retry(self, now_seconds: float) -> bool:
        """Return whether another attempt is allowed, apart from the retry budget."""
        may_run_again = self.is_repeatable or self.run_state <= RunState.REFUSED
        return (
            self.is_waiting
            and may_run_again
            and self._has_attempt_left(self.runs_count, now_seconds)
        )

    def may_replace(self, now_seconds: float) -> bool:
        """Return whether another attempt may follow the one under way.

        The one under way may have run.
        """
        return (
            not self.is_waiting
            and not self.has_ended
            and self.is_repeatable
            and self._has_attempt_left(self.runs_count + 1, now_seconds)
        )

    def _has_attempt_left(self, runs_count: int, now_seconds: float) -> bool:
        return (
            (not self.has_delivered or self.is_resumable)
            and runs_count < self.max_attempts_count
            and self.attempts_count < self.max_attempts_count + MAX_REFUSALS
            and now_seconds < self.deadline_seconds
        )

    def finish(self, attempt_id: str) -> bool:
        """Record the complete answer; return whether it is the final one."""
        if not self._is_current(attempt_id):
            return False
        self.run_state = RunState.DONE
        return self.end()

    def end(self) -> bool:
        """Record the final answer; return ``False`` if there was one already."""
        if self.has_ended:
            return False
        self.has_ended = True
        return True

    def _is_current(self, attempt_id: str) -> bool:
        return not self.has_ended and bool(attempt_id) and attempt_id == self.attempt_id
