"""Handling of upstreams' shutdown and back-off signals."""

from rampwick_policy import Dispatch, Outcome, UpstreamSignalled

from .._dialects import UpstreamSignals
from .._errors import AttemptError
from .._scheduler_task import SchedulerTask


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


def check_not_withdrawn(scheduler: SchedulerTask, dispatch: Dispatch) -> None:
    """Raise if the upstream has stopped accepting requests since the dispatch."""
    ineligible_reason = scheduler.withdrawal(dispatch)
    if ineligible_reason is not None:
        raise AttemptError(
            f"the upstream is {ineligible_reason.value}",
            outcome=Outcome.WITHDRAWN,
            step="forward request",
            peer=dispatch.upstream,
        )
