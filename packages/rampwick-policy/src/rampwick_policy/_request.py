"""Life of one request: what is known of its dispatch, and its one final answer."""

import enum

import attrs

from rampwick_schema import ReprMixin

from ._errors import LifecycleError

#: Attempts beyond those that ran: so often may upstreams refuse one request.
MAX_REFUSALS = 4


class RunState(enum.IntEnum):
    """What is known of whether a request ran; it only ever rises.

    Only the first two allow an answer that says the request was not run.
    """

    NOT_SENT = 0
    REFUSED = 1
    MAYBE_RUN = 2
    RUNNING = 3
    DONE = 4

    @property
    def was_run(self) -> str:
        """What an error answer says: ``no``, ``maybe`` or ``yes``."""
        if self <= RunState.REFUSED:
            return "no"
        return "yes" if self >= RunState.RUNNING else "maybe"


class Outcome(enum.Enum):
    """How an attempt ended."""

    DONE = "done"
    #: The connection was never made; the upstream is ill.
    UNREACHABLE = "unreachable"
    #: It was not sent, since the upstream has come to want no more requests.
    WITHDRAWN = "withdrawn"
    #: The upstream said that it did not run the request; it is not ill.
    BUSY = "busy"
    #: The upstream broke off or fell silent; it may have run the request.
    BROKEN = "broken"
    #: The caller's time ran out first; it may have run the request.
    EXPIRED = "expired"
    #: The upstream answered from another life than the one it was chosen for.
    STALE = "stale"
    #: The upstream is another than the one asked for, or in another life, and said
    #: that it did not run the request.
    MISDIRECTED = "misdirected"

    @property
    def is_ill_health(self) -> bool:
        """Whether the outcome speaks against the upstream's health."""
        return self in (Outcome.UNREACHABLE, Outcome.BROKEN)

    @property
    def proves_not_run(self) -> bool:
        """Whether the attempt surely did not run."""
        return self.never_arrived or self in (Outcome.BUSY, Outcome.MISDIRECTED)

    @property
    def never_arrived(self) -> bool:
        """Whether the upstream never saw the attempt."""
        return self in (Outcome.UNREACHABLE, Outcome.WITHDRAWN)


@attrs.define(repr=False)
class RequestLifecycle(ReprMixin):
    """State machine of one request over all its attempts.

    Events of an attempt other than the current one return false and change
    nothing: late and crossed events can't reach the caller.
    """

    request_id: str
    deadline_seconds: float
    #: Whether the request may run again after an attempt that may have run.
    is_repeatable: bool
    #: Upstreams on which the request may run.
    max_attempts_count: int
    #: Whether the rest of a stream may come from another upstream.
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
        """Note that an attempt is handed to the network."""
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
        """Note that the upstream has begun to answer."""
        if not self._is_current(attempt_id):
            return False
        self.run_state = max(self.run_state, RunState.RUNNING)
        return True

    def deliver(self, attempt_id: str) -> bool:
        """Note that a first piece goes to the caller; no other attempt follows."""
        if not self._is_current(attempt_id):
            return False
        self.has_delivered = True
        return True

    def fail(self, attempt_id: str, outcome: Outcome) -> bool:
        """Note that an attempt ended without its whole answer."""
        if not self._is_current(attempt_id):
            return False
        self.attempt_id = ""
        known = RunState.REFUSED if outcome.proves_not_run else RunState.MAYBE_RUN
        self.run_state = max(self.run_state, known)
        self.runs_count += not outcome.proves_not_run
        return True

    def may_retry(self, now_seconds: float) -> bool:
        """Return whether another attempt is allowed, the budget apart."""
        may_run_again = self.is_repeatable or self.run_state <= RunState.REFUSED
        return (
            self.is_waiting
            and (not self.has_delivered or self.is_resumable)
            and may_run_again
            and self.runs_count < self.max_attempts_count
            and self.attempts_count < self.max_attempts_count + MAX_REFUSALS
            and now_seconds < self.deadline_seconds
        )

    def finish(self, attempt_id: str) -> bool:
        """Note the whole answer; return whether it is the final one."""
        if not self._is_current(attempt_id):
            return False
        self.run_state = RunState.DONE
        return self.end()

    def end(self) -> bool:
        """Give the final answer; return false if there was one already."""
        if self.has_ended:
            return False
        self.has_ended = True
        return True

    def _is_current(self, attempt_id: str) -> bool:
        return not self.has_ended and bool(attempt_id) and attempt_id == self.attempt_id
