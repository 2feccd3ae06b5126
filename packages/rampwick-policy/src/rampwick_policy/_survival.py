"""Kaplan-Meier estimate of durations that were observed for a limited time."""

import math
from bisect import bisect_right
from collections.abc import Sequence

import attrs

from rampwick_schema import ReprMixin

#: Tolerance in the comparison of shares that are products of fractions.
SHARE_TOLERANCE = 1e-9

#: Durations at risk below which those not yet observed at that age count as well: the
#: share that goes on must not fall to nothing by the end of one.
MIN_AT_RISK_COUNT = 5


@attrs.frozen(repr=False)
class Duration(ReprMixin):
    """A duration, and from which age on it was observed."""

    seconds: float
    #: Its age when the observation began; it does not count at younger ages. Long
    #: durations would be overrepresented otherwise, as more of them began earlier.
    entry_seconds: float = 0.0
    #: Whether it goes on, so that it is longer than its age.
    is_open: bool = False


def duration_quantile(durations: Sequence[Duration], quantile: float) -> float:
    """Return the time within which a share of durations ends; infinite if not known."""
    # At the same time those that ended come first.
    ordered = sorted(durations, key=lambda item: (item.seconds, item.is_open))
    if quantile >= 1.0:
        is_known = bool(ordered) and not ordered[-1].is_open
        return ordered[-1].seconds if is_known else math.inf
    entries = sorted(item.entry_seconds for item in durations)
    open_share = 1.0
    for index, item in enumerate(ordered):
        if item.is_open:
            continue
        observed_count = bisect_right(entries, item.seconds) - index
        at_risk_count = max(
            observed_count, min(MIN_AT_RISK_COUNT, len(ordered) - index)
        )
        open_share *= 1.0 - 1.0 / at_risk_count
        if open_share <= 1.0 - quantile + SHARE_TOLERANCE:
            return item.seconds
    return math.inf
