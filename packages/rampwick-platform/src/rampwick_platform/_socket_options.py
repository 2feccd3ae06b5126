"""Options by which the kernel notices that a connection is silent for good.

A peer that lost its power, or a way that lost the connection, says nothing: without
these an idle connection counts as sound for hours, and one with bytes under way for
a quarter of an hour.
"""

import socket

#: Unacknowledged bytes after this time break a connection, so that a peer behind a
#: cut does not hold requests until their deadlines.
USER_TIMEOUT_MILLISECONDS = 2000

#: Keep-alive probes of a silent connection: first after, then every, so many. They
#: cost two packets a second on a connection at rest.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES_COUNT = 3

#: Level, name and value of each, as ``setsockopt`` takes them.
LIVENESS_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_COUNT),
)
