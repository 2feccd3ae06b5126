"""Which new connections of callers a host hands on to its peers.

A balancer may send most new connections to one host. What that host can't read in time
is closed unread, so that its callers try another host at once, instead of waiting here
until they give up.
"""

import attrs

from rampwick_schema import ReprMixin

#: Time for which a connection may wait to be accepted. Callers of short requests give
#: up a host that has not read them after some 0.2 s.
MAX_ACCEPT_WAIT_SECONDS = 0.1

#: Load of a host, compared with the mean of its peers, from which it hands connections
#: on. Below it the peers are about as busy, and a connection would only wait there.
BUSIER_RATIO = 2.0
BUSIER_REQUESTS_COUNT = 8


@attrs.frozen(repr=False)
class HostLoads(ReprMixin):
    """Requests under way at this host and at its live peers."""

    own_count: int
    peers_count: int
    #: Number of live hosts, including this one.
    hosts_count: int


def is_overdue(waited_seconds: float) -> bool:
    """Return whether a connection has waited too long to be accepted."""
    return waited_seconds >= MAX_ACCEPT_WAIT_SECONDS


def is_busier_than_peers(loads: HostLoads) -> bool:
    """Return whether this host is much busier than its peers."""
    if loads.hosts_count < 2:
        return False
    mean_count = loads.peers_count / (loads.hosts_count - 1)
    return loads.own_count >= BUSIER_RATIO * mean_count + BUSIER_REQUESTS_COUNT
