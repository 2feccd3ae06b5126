"""Paths from this host to the upstreams: its own link, or a tunnel through a peer.

A host that loses its links to upstreams is not cut off from its callers and peers.
While probes find an upstream only through a peer, connections to it are opened through
peers, and the own link is checked until it works again.
"""

import enum
import math
from collections.abc import Collection

#: Time between two checks of own links that are replaced by tunnels, and the number of
#: upstreams checked each time. Links fail and return together, so that a few show it.
CHECK_INTERVAL_SECONDS = 0.5
CHECKED_COUNT = 2

#: Time after an own link has returned in which all others are checked.
RECOVERY_SECONDS = 2.0

#: Number of tunnelled upstreams from which this host suspects its own links as a whole.
CUT_OFF_COUNT = 2


class UpstreamPath(enum.Enum):
    """How connections to an upstream are opened."""

    DIRECT = "direct"
    TUNNEL = "tunnel"


class UpstreamPaths:
    """The current path to each upstream, and the own links that are due for a check."""

    def __init__(self) -> None:
        #: When the own link to each tunnelled upstream was last checked.
        self._checked_at_seconds: dict[str, float] = {}
        #: When the path to an upstream last changed.
        self._changed_at_seconds: dict[str, float] = {}
        self._next_check_seconds = -math.inf
        self._returned_at_seconds = -math.inf

    @property
    def tunnelled(self) -> Collection[str]:
        """Names of the upstreams that are reached through peers."""
        return self._checked_at_seconds.keys()

    def path(self, name: str) -> UpstreamPath:
        """Return the path to an upstream."""
        if name in self._checked_at_seconds:
            return UpstreamPath.TUNNEL
        return UpstreamPath.DIRECT

    def note_answer(self, name: str, path: UpstreamPath, now_seconds: float) -> bool:
        """Record that an upstream answered a probe; return whether its path changed."""
        if path is self.path(name):
            return False
        self._changed_at_seconds[name] = now_seconds
        if path is UpstreamPath.DIRECT:
            del self._checked_at_seconds[name]
            self._returned_at_seconds = self._next_check_seconds = now_seconds
        else:
            self._checked_at_seconds[name] = now_seconds
            self._next_check_seconds = now_seconds + CHECK_INTERVAL_SECONDS
        return True

    def has_changed_since(self, name: str, since_seconds: float) -> bool:
        """Return whether the path to an upstream has changed since a time.

        A connection that was opened before says nothing about the current path.
        """
        return self._changed_at_seconds.get(name, -math.inf) >= since_seconds

    def forget(self, name: str) -> None:
        """Drop the path of an upstream that is no longer listed."""
        self._checked_at_seconds.pop(name, None)
        self._changed_at_seconds.pop(name, None)

    def due_checks(self, now_seconds: float) -> list[str]:
        """Return the upstreams whose own links are to be checked now.

        The caller checks them; the next ones are due after an interval.
        """
        if self.check_delay(now_seconds) > 0.0:
            return []
        self._next_check_seconds = now_seconds + CHECK_INTERVAL_SECONDS
        due = sorted(self._checked_at_seconds, key=self._checked_at_seconds.__getitem__)
        if now_seconds - self._returned_at_seconds > RECOVERY_SECONDS:
            due = due[:CHECKED_COUNT]
        self._checked_at_seconds.update(dict.fromkeys(due, now_seconds))
        return due

    def check_delay(self, now_seconds: float) -> float:
        """Return the time until the next check; infinite if there is none."""
        if not self._checked_at_seconds:
            return math.inf
        return max(0.0, self._next_check_seconds - now_seconds)
