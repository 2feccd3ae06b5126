"""Handling of upstreams' shutdown and back-off signals."""

from rampwick_policy import Dispatch, Outcome, UpstreamSignalled

from .._dialects import UpstreamSignals
from .._errors import AttemptError
from .._scheduler_task import SchedulerTask
from ._context import EntryContext


def post_signals(
    scheduler: SchedulerTask, dispatch: Dispatch, signals: UpstreamSignals
) -> None:
    """Post the signals in a response to the dispatch, if there are any."""
    if not signals:
        return
    scheduler.post(
        UpstreamSignalled(
            dispatch.upstream,
            dispatch.incarnation,
            signals.is_leaving,
            signals.pause_seconds,
            f"signalled in its response to {dispatch.attempt_id}",
        )
    )


def check_not_withdrawn(context: EntryContext, dispatch: Dispatch) -> None:
    """Raise if the upstream has stopped accepting requests since the dispatch.

    A list that has become too old may lack that. The request is placed again, by a
    newer one.
    """
    ineligible_reason = context.scheduler.withdrawal(dispatch)
    if ineligible_reason is not None:
        raise _withdrawn(dispatch, f"the upstream is {ineligible_reason.value}")
    if context.hosts.must_refresh():
        raise _withdrawn(dispatch, "the host list is too old")


def _withdrawn(dispatch: Dispatch, message: str) -> AttemptError:
    return AttemptError(
        message,
        outcome=Outcome.WITHDRAWN,
        step="forward request",
        peer=dispatch.upstream,
    )
