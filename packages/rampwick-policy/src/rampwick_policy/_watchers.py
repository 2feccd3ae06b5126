"""Which hosts of a hall wait on the platform's watch.

A waiting watch is a counted call, so only a few hosts of a hall keep one; the others
hear of changes from them. A host that hears no peer keeps its own.
"""

from collections.abc import Iterable

from . import _rendezvous
from ._membership import PeerView

#: Hosts in each hall that keep a watch, so that one may fail unnoticed.
WATCHERS_PER_HALL = 2

_KEY = b"configuration watch"


def is_watcher(host: str, hall: str, live_peers: Iterable[PeerView]) -> bool:
    """Return whether ``host`` shall keep a watch, by what it hears."""
    names = [view.name for view in live_peers if view.hall == hall]
    ranked = _rendezvous.rank(_KEY, [*names, host])
    return host in ranked[:WATCHERS_PER_HALL]
