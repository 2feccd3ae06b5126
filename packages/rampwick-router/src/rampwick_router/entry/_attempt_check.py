"""The check before each write of an attempt's bytes.

Between a decision to send and the write lie waits: for the event loop, a connection, or
an upstream that reads slowly. In each of them the caller may leave, the deadline may
pass, the upstream may stop accepting requests, or this host may begin to leave.
"""

from collections.abc import Callable

from rampwick_policy import Dispatch, Outcome

from .._errors import AttemptError, CallerLeftError
from ._answer_recorder import AnswerRecorder
from ._context import EntryContext
from ._responder import Responder
from ._signals import check_not_withdrawn

#: Minimum time left before the deadline for an attempt to be sent: less is used up by
#: the network alone.
MIN_REMAINING_SECONDS = 0.005

STEP = "send request"


class AttemptCheck:
    """Raises an error if the bytes of an attempt must not be written now."""

    def __init__(
        self,
        context: EntryContext,
        responder: Responder,
        dispatch: Dispatch,
        deadline_seconds: float,
        recorder: AnswerRecorder,
        check_first_write: Callable[[], None],
    ) -> None:
        self._context = context
        self._responder = responder
        self._dispatch = dispatch
        self._deadline_seconds = deadline_seconds
        self._recorder = recorder
        self._check_first_write = check_first_write
        #: Whether a write was allowed, so that the upstream may know the request.
        self.has_passed = False

    @property
    def remaining_seconds(self) -> float:
        """Time until the deadline."""
        return self._deadline_seconds - self._context.read_clock()

    def __call__(self, has_sent: bool) -> None:
        """Check before a write; ``has_sent`` tells whether one has preceded it."""
        if not has_sent:
            check_not_withdrawn(self._context, self._dispatch)
        self.check_caller()
        remaining_seconds = self.remaining_seconds
        if remaining_seconds <= 0.0 or (
            not has_sent and remaining_seconds < MIN_REMAINING_SECONDS
        ):
            raise AttemptError(
                "the deadline passed before the request was sent",
                outcome=Outcome.EXPIRED if has_sent else Outcome.UNSENT,
                step=STEP,
                peer=self._dispatch.upstream,
            )
        if not has_sent:
            self._check_first_write()
        if not self.has_passed:
            self._recorder.note_sent()
        self.has_passed = True

    def before_resumption(self, has_sent: bool) -> None:
        """Check before a write of a request that resumes a stream."""
        self.check_caller()

    def check_caller(self) -> None:
        """Raise if the caller's close has reached this host."""
        if self._responder.has_caller_left():
            raise CallerLeftError(
                "the caller left", step=STEP, peer=self._dispatch.upstream
            )
