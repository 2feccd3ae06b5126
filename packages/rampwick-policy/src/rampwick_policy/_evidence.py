"""One-line descriptions of the state behind a refusal, for logs and operators."""

from collections import Counter

from ._capacity import serves
from ._pool import Pool
from ._queue import QueuedRequest
from ._upstream import Upstream


def describe_refusal(
    item: QueuedRequest,
    quarantine_state: str,
    pool: Pool,
    waiting_count: int,
    retry_balance: float,
    now_seconds: float,
) -> str:
    """Return a refused request's wait, its attempts and the states of its upstreams."""
    lifecycle = item.lifecycle
    waited_seconds = now_seconds - item.arrived_at_seconds
    left_seconds = item.arrival.deadline_seconds - now_seconds
    return (
        f"waited {waited_seconds:.3f} s, {left_seconds:.3f} s left; "
        f"{lifecycle.attempts_count} attempts, {lifecycle.runs_count} may have run; "
        f"{waiting_count} queued on this host; "
        f"retry budget {retry_balance:.1f}; "
        f"upstreams: {_describe_upstreams(item, pool, now_seconds)}"
        + (f"; {quarantine_state}" if quarantine_state else "")
    )


def _describe_upstreams(item: QueuedRequest, pool: Pool, now_seconds: float) -> str:
    scope = item.arrival.scope
    model = scope.model if scope else ""
    states = Counter(
        _state(upstream, pool, now_seconds)
        for upstream in pool.upstreams
        if serves(upstream, item.arrival.service, model)
    )
    return ", ".join(f"{count} {state}" for state, count in sorted(states.items()))


def _state(upstream: Upstream, pool: Pool, now_seconds: float) -> str:
    state = pool.upstreams.describe(upstream, now_seconds).partition(" ")[0]
    rate_state = pool.rate_limiter.state(upstream, now_seconds)
    if state != "up" or rate_state is None:
        return state
    return (
        f"up at {rate_state.requests_per_second:g}/s "
        f"({rate_state.own_requests_per_second:.2g}/s for this host)"
    )
