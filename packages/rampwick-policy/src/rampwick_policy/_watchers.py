"""Choice of the hosts that watch the platform for changes.

A watch counts as a call to the platform, so only a few hosts of a hall have one open
and notify the others of changes. A host without live peers opens its own.
"""

from collections.abc import Iterable

from . import _rendezvous

#: Hosts in each hall with an open watch, so that the failure of one has no effect.
WATCHERS_PER_HALL = 2

_KEY = b"configuration watch"


def is_watcher(host: str, live_hosts: Iterable[str]) -> bool:
    """Return whether ``host`` opens a watch, given the live hosts of its hall."""
    ranked = _rendezvous.rank(_KEY, {*live_hosts, host})
    return host in ranked[:WATCHERS_PER_HALL]
