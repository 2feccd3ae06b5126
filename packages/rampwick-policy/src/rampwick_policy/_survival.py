"""Kaplan-Meier estimate of durations, of which some have not ended yet."""

import math
from collections.abc import Iterable

#: Tolerance in the comparison of shares that are products of fractions.
SHARE_TOLERANCE = 1e-9


def duration_quantile(
    ended_seconds: Iterable[float], open_seconds: Iterable[float], quantile: float
) -> float:
    """Return the time within which a share of durations ends; infinite if not known.

    An open duration shows that it is longer than its age, and no more than that.
    """
    # At the same time those that ended come first.
    durations = sorted(
        [(seconds, 0) for seconds in ended_seconds]
        + [(seconds, 1) for seconds in open_seconds]
    )
    open_share = 1.0
    for index, (seconds, is_open) in enumerate(durations):
        if is_open:
            continue
        open_share *= 1.0 - 1.0 / (len(durations) - index)
        if open_share <= 1.0 - quantile + SHARE_TOLERANCE:
            return seconds
    return math.inf
