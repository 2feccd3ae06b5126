"""Passing on what an upstream's answer asks of whoever sends to it."""

from rampwick_policy import Dispatch, UpstreamSignalled

from .._dialects import UpstreamSignals
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
        )
    )
