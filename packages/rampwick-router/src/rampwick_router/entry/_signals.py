"""What an upstream's answers ask of whoever sends to it, noted and obeyed."""

from rampwick_policy import Dispatch, Outcome, UpstreamSignalled

from .._dialects import UpstreamSignals
from .._errors import AttemptError
from .._scheduler_task import SchedulerTask


def note_signals(
    scheduler: SchedulerTask, dispatch: Dispatch, signals: UpstreamSignals
) -> None:
    """Post the signals of an answer that is the dispatch's own, if it has any."""
    if not signals:
        return
    scheduler.post(
        UpstreamSignalled(
            dispatch.upstream,
            dispatch.incarnation,
            signals.is_leaving,
            signals.pause_seconds,
            f"its answer to {dispatch.attempt_id} says so",
        )
    )


def check_not_withdrawn(scheduler: SchedulerTask, dispatch: Dispatch) -> None:
    """Raise unless the upstream still takes a request that is about to be sent."""
    obstacle = scheduler.withdrawal(dispatch.upstream, dispatch.incarnation)
    if obstacle is not None:
        raise AttemptError(
            f"the upstream is {obstacle.value}",
            outcome=Outcome.WITHDRAWN,
            step="forward request",
            peer=dispatch.upstream,
        )
