"""Which hosts of a hall wait on the platform's watch.

A waiting watch is a counted call, so only a few hosts of a hall keep one; the others
hear of changes from them. A host that hears no peer keeps its own.
"""

from collections.abc import Iterable

from . import _rendezvous

#: Hosts in each hall that keep a watch, so that one may fail unnoticed.
WATCHERS_PER_HALL = 2

_KEY = b"configuration watch"


def is_watcher(host: str, heard: Iterable[str]) -> bool:
    """Return whether ``host`` shall keep a watch, by whom it hears of its hall."""
    ranked = _rendezvous.rank(_KEY, {*heard, host})
    return host in ranked[:WATCHERS_PER_HALL]
