"""Rules that decide which suspect caused the crashes of upstreams."""

import itertools
import math
from collections import Counter
from collections.abc import Iterable, Sequence
from typing import Protocol

from ._suspects import Crash, Suspect

#: Crashes after which a suspect may be quarantined. Each further crash would cost
#: another upstream.
QUARANTINE_CRASHES_COUNT = 3

#: Crashes after which a whole request is quarantined whatever else was running there.
#: Few sound requests are sent so often: callers give up before.
UNRIVALLED_CRASHES_COUNT = 4

#: Crashes after which a part that had been answered before may be quarantined. Parts
#: that many requests share are running on all upstreams whenever one of them crashes.
SOUND_PART_CRASHES_COUNT = 6

#: Crashes of a part from which on quarantined suspects that crashed fewer upstreams do
#: not explain them. Several parts that crash upstreams would otherwise protect each
#: other, by requests that were running at the crashes of all of them.
SHARED_BLAME_CRASHES_COUNT = 6
SOUND_SHARED_BLAME_CRASHES_COUNT = 8

#: Different requests with a part that must have been running at its crashes. Otherwise
#: the only one, as a whole, explains them as well. After a part had been answered,
#: several requests that crash upstreams are more likely than the part itself.
PART_REQUESTS_COUNT = 2
SOUND_PART_REQUESTS_COUNT = 3

#: Number and share of the other requests at the crashes of a part that must hold it as
#: well for it to be common.
MIN_COMMON_REQUESTS_COUNT = 3
COMMON_PART_RATIO = 0.1

#: Time that must lie between the first and the last crash of a part. Upstreams that
#: crash together have many parts in common.
PART_CRASHES_SECONDS = 0.5

#: Crashes by which a wider part must exceed a narrower one to be preferred to it. Each
#: crash under the narrower one counts against the wider one too, and one more may have
#: another cause.
WIDER_PART_MARGIN = 1


class AttributionRule(Protocol):
    """A rule that decides which suspect caused the crashes of upstreams."""

    def is_responsible(
        self, suspect: Suspect, other_suspects: Iterable[Suspect]
    ) -> bool:
        """Return whether a suspect is to be quarantined.

        ``other_suspects`` were running on the same incarnation at its last crash, and
        for a part also whole requests at its other crashes.
        """


class MostCrashes:
    """Selects the suspect that explains the most crashes, the narrowest of several.

    A plain count of crashes would also quarantine a suspect that lost three upstreams
    in a row to another one, and the parts that a crashing request shares with others.

    Whole requests are compared with each other only, by all their crashes: a part that
    is shared by several of them exceeds each of them.
    """

    def is_responsible(
        self, suspect: Suspect, other_suspects: Iterable[Suspect]
    ) -> bool:
        """Return whether a suspect is to be quarantined."""
        if suspect.is_part:
            return _is_responsible_part(suspect, other_suspects)
        crashes_count = len(suspect.crashes)
        if crashes_count >= UNRIVALLED_CRASHES_COUNT:
            return True
        return crashes_count >= QUARANTINE_CRASHES_COUNT and all(
            len(other.crashes) < crashes_count
            for other in other_suspects
            if not other.is_part
        )


def _is_responsible_part(part: Suspect, other_suspects: Iterable[Suspect]) -> bool:
    return _may_be_responsible(part) and all(
        _explains_more(part, other)
        for other in other_suspects
        if part.was_sound or not other.was_sound or _may_be_responsible(other)
    )


def _may_be_responsible(part: Suspect) -> bool:
    """Return whether the crashes of a part suffice, regardless of its rivals."""
    crashes = part.unexplained_crashes
    if len(crashes) < min_crashes_count(part):
        return False
    return _are_independent(part, crashes) and not (part.was_sound and _is_common(part))


def min_crashes_count(suspect: Suspect) -> int:
    """Return the crashes below which a suspect is not held responsible."""
    if suspect.is_part and suspect.was_sound:
        return SOUND_PART_CRASHES_COUNT
    return QUARANTINE_CRASHES_COUNT


def shared_blame_limit(part: Suspect) -> int:
    """Return the crashes of a part from which on several others explain none."""
    if part.was_sound:
        return SOUND_SHARED_BLAME_CRASHES_COUNT
    return SHARED_BLAME_CRASHES_COUNT


def _are_independent(part: Suspect, crashes: Sequence[Crash]) -> bool:
    """Return whether several requests with a part crashed upstreams, over some time."""
    times_seconds = [crash.at_seconds for crash in crashes]
    requests_count = (
        SOUND_PART_REQUESTS_COUNT if part.was_sound else PART_REQUESTS_COUNT
    )
    return (
        max(times_seconds) - min(times_seconds) >= PART_CRASHES_SECONDS
        and _count_covering_requests(part, crashes) >= requests_count
    )


def _count_covering_requests(part: Suspect, crashes: Sequence[Crash]) -> int:
    """Return how many requests with a part are enough to be at all of its crashes.

    Each one chosen is at as many of the remaining crashes as any other.
    """
    remaining = [set(_requests_with(part, crash)) for crash in crashes]
    count = 0
    while remaining:
        occurrences = Counter(itertools.chain.from_iterable(remaining))
        ((fingerprint, _),) = occurrences.most_common(1)
        remaining = [item for item in remaining if fingerprint not in item]
        count += 1
    return count


def _is_common(part: Suspect) -> bool:
    """Return whether many other requests at the crashes of a part hold it as well.

    Such a part is running on all upstreams whenever one of them crashes.
    """
    crashes = part.crashes.values()
    with_part_count = sum(len(_requests_with(part, crash)) - 1 for crash in crashes)
    others_count = sum(len(crash.requests) - 1 for crash in crashes)
    return with_part_count >= max(
        MIN_COMMON_REQUESTS_COUNT, COMMON_PART_RATIO * others_count
    )


def _requests_with(part: Suspect, crash: Crash) -> list[bytes]:
    return [
        fingerprint
        for fingerprint, request in crash.requests.items()
        if part.key in request.part_keys
    ]


def _explains_more(part: Suspect, other: Suspect) -> bool:
    """Return whether a part is a better explanation of crashes than another suspect."""
    margin = WIDER_PART_MARGIN if other.is_part else 0
    difference = _explained_count(part) - _explained_count(other)
    if abs(difference) > margin:
        return difference > 0
    if _is_narrower(part, other):
        return True
    return difference > 0 and not _is_narrower(other, part)


def _explained_count(suspect: Suspect) -> int:
    if suspect.is_part:
        return len(suspect.unexplained_crashes)
    return len(suspect.crashes)


def _is_narrower(suspect: Suspect, other: Suspect) -> bool:
    """Return whether all requests with a suspect also hold another, wider one."""
    requests, other_requests = suspect.requests, other.requests
    if requests == other_requests:
        return _depth(suspect) > _depth(other)
    return requests < other_requests


def _depth(suspect: Suspect) -> float:
    return math.inf if suspect.part_index is None else suspect.part_index
