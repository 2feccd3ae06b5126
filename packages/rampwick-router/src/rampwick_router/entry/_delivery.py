"""The moment at which an attempt first sends something to the caller."""

from rampwick_policy import AttemptDelivered, Dispatch, Outcome

from .._errors import AttemptError
from ._context import EntryContext


def post_delivery(
    context: EntryContext,
    request_id: str,
    dispatch: Dispatch,
    step: str,
    *,
    may_continue: bool = True,
) -> None:
    """Tell the scheduler that an attempt delivers; raise if it has been given up.

    The task of such an attempt runs on for a moment. What it brings must not reach the
    caller: the next attempt is chosen without it, and starts the response itself.
    """
    event = AttemptDelivered(request_id, dispatch.attempt_id, may_continue)
    context.scheduler.post(event)
    lifecycle = context.scheduler.run_query(
        lambda scheduler, _: scheduler.lifecycle(request_id)
    )
    if lifecycle is None or lifecycle.attempt_id != dispatch.attempt_id:
        raise AttemptError(
            "the attempt was given up",
            # Unlike a broken stream, it must not be resumed.
            outcome=Outcome.STALE,
            step=step,
            peer=dispatch.upstream,
        )
