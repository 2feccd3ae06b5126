"""What a refusal rested on, in a line for logs and explanations."""

from collections import Counter

from ._limit_tracker import LimitState
from ._pool import Pool
from ._queue import QueuedRequest
from ._room import serves
from ._upstream import Upstream


def describe_refusal(
    item: QueuedRequest,
    suspicion: str,
    pool: Pool,
    waiting_count: int,
    saved_retries: float,
    now_seconds: float,
) -> str:
    """Return how long a request waited, what it tried, and who could have taken it."""
    lifecycle = item.lifecycle
    waited_seconds = now_seconds - item.arrived_at_seconds
    left_seconds = item.arrival.deadline_seconds - now_seconds
    return (
        f"waited {waited_seconds:.3f} s, {left_seconds:.3f} s left; "
        f"{lifecycle.attempts_count} attempts, {lifecycle.runs_count} may have run; "
        f"{waiting_count} wait here; {saved_retries:.1f} retries saved; "
        f"upstreams: {_describe_upstreams(item, pool, now_seconds)}"
        + (f"; {suspicion}" if suspicion else "")
    )


def describe_limit(state: LimitState) -> str:
    """Return how a limit stands that a request was refused for."""
    return (
        f"{state.used_tokens:.0f} of {state.allowed_tokens:.0f} tokens sent by all "
        f"within the window; admitted {state.admit_ratio:.3f} of what is asked for; "
        f"part of the fleet heard {state.part_ratio:.2f}"
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
    turn = pool.turns.state(upstream, now_seconds)
    if state != "up" or turn is None:
        return state
    return (
        f"up at {turn.requests_per_second:g}/s of which "
        f"{turn.own_requests_per_second:.2g}/s are this host's"
    )
