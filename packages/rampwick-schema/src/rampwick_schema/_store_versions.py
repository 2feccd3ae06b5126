"""Versions of store contents that stay ordered when the store is restored.

A store that is restored from an older copy assigns revisions again and increments its
era. A version is an integer with the era in the high bits, so that code that compares,
stores or sends versions does not have to handle eras.
"""

#: Bits of a version for the store's revision. Host lists use two numbers for each
#: revision, so MAX_REVISION has one bit less.
REVISION_BITS = 40
MAX_REVISION = 2 ** (REVISION_BITS - 1) - 1

#: Highest era for which a version fits into 63 bits.
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
    """Return the store's revision of a version, which is unique within its era."""
    return version & ((1 << REVISION_BITS) - 1)
