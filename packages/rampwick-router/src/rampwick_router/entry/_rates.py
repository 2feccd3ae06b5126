"""Reporting of the limits that upstreams state to the scheduler."""

from rampwick_policy import BrittlenessReported, Dispatch, RateLimitReported

from .._dialects import RequestRate
from .._scheduler_task import SchedulerTask


def post_rate_limit(
    scheduler: SchedulerTask,
    dispatch: Dispatch,
    rate: RequestRate,
    *,
    sent_at_seconds: float,
    is_verified: bool,
) -> None:
    """Post the rate limit in a response, or that a known limit is no longer reported.

    Only a verified response removes a limit: an error response may come from a proxy in
    front of the upstream.
    """
    if not rate.is_readable:
        return
    removes_limit = is_verified and scheduler.has_request_rate(dispatch.upstream)
    if rate.per_second is None and not removes_limit:
        return
    scheduler.post(
        RateLimitReported(
            dispatch.upstream, dispatch.incarnation, rate.per_second, sent_at_seconds
        )
    )


def post_brittleness(
    scheduler: SchedulerTask,
    dispatch: Dispatch,
    stated: RequestRate,
    *,
    sent_at_seconds: float,
    is_verified: bool,
) -> None:
    """Post that an upstream is brittle, or that it no longer states so."""
    if not stated.is_readable:
        return
    ends = is_verified and scheduler.is_brittle(dispatch.upstream)
    if stated.per_second is None and not ends:
        return
    scheduler.post(
        BrittlenessReported(dispatch.upstream, stated.per_second, sent_at_seconds)
    )
