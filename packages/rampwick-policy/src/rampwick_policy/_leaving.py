"""Whether a request that comes to a leaving host may still be served there."""

#: Time that one answer token is taken to need: some three times what today's engines
#: take at a middling load.
TOKEN_SECONDS = 0.03

#: Multiple of its latency target within which a request is taken to begin.
TARGET_FACTOR = 2.0


def fits_before(
    end_seconds: float,
    *,
    latency_target_seconds: float,
    max_answer_tokens: int,
    now_seconds: float,
) -> bool:
    """Return whether a request will surely have its whole answer by ``end_seconds``.

    One that may not is better refused at once, while it has not run.
    """
    begins_seconds = latency_target_seconds * TARGET_FACTOR
    needed_seconds = begins_seconds + max_answer_tokens * TOKEN_SECONDS
    return now_seconds + needed_seconds <= end_seconds
