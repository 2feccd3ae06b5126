"""Versions of what a store holds, in an order that also holds across its restores.

A store that is restored from an older copy gives revisions out again, and its era
rises. A version is one whole number with the era in its high bits, so that what
compares versions, keeps or sends them needs no knowledge of eras.
"""

#: Bits of a version that hold the store's revision; lists of hosts use two numbers for
#: each revision.
REVISION_BITS = 40
MAX_REVISION = 2 ** (REVISION_BITS - 1) - 1

#: Highest era with which a version fits 63 bits.
MAX_ERA = 2**23 - 1


def join_version(era: int, revision: int) -> int:
    """Return the version of a revision, or raise ValueError if it is out of range."""
    if not (0 <= era <= MAX_ERA and 0 <= revision < 1 << REVISION_BITS):
        raise ValueError(f"revision {revision} of era {era} is out of range")
    return era << REVISION_BITS | revision


def era_of(version: int) -> int:
    """Return the era of a version."""
    return version >> REVISION_BITS


def revision_of(version: int) -> int:
    """Return the revision by which the store knows a version within its era."""
    return version & ((1 << REVISION_BITS) - 1)
