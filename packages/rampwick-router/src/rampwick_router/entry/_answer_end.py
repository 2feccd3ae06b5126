"""Check at the end of an answer's body, before the answer to the caller is ended."""

from rampwick_policy import BodyEnd, Outcome, ReceivedAnswer, find_defect

from .._errors import AttemptError


def check_complete(answer: ReceivedAnswer, step: str, peer: str) -> None:
    """Raise an AttemptError if an answer from ``peer`` is not complete."""
    defect = find_defect(answer)
    if defect:
        raise AttemptError(
            defect,
            outcome=Outcome.BROKEN,
            step=step,
            peer=peer,
            was_closed=answer.body_end is BodyEnd.CLOSED,
        )
