"""Telling the scheduler which rate of requests an upstream's answer names."""

from rampwick_policy import Dispatch, RateNamed

from .._dialects import RequestRate
from .._scheduler_task import SchedulerTask


def note_rate(
    scheduler: SchedulerTask,
    dispatch: Dispatch,
    rate: RequestRate,
    *,
    asked_at_seconds: float,
    is_proved: bool,
) -> None:
    """Note the rate that an answer names, or that it names none any more.

    Only a proved answer ends a rate: a refusal may come from what stands before the
    upstream.
    """
    if not rate.is_readable:
        return
    ends_one = is_proved and scheduler.has_request_rate(dispatch.upstream)
    if rate.per_second is None and not ends_one:
        return
    scheduler.post(
        RateNamed(
            dispatch.upstream, dispatch.incarnation, rate.per_second, asked_at_seconds
        )
    )
