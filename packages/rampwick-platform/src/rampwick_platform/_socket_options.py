"""Socket options with which the kernel detects dead connections.

A remote host without power or a network partition does not close connections. Without
these options an idle connection is considered open for hours, and one with
unacknowledged data for a quarter of an hour.
"""

import socket

#: Time after which unacknowledged data closes a connection, so that requests to a peer
#: behind a network partition do not wait until their deadlines.
USER_TIMEOUT_MILLISECONDS = 2000

#: Keep-alive probes of an idle connection: initial delay, interval and count. They cost
#: two packets per second on an idle connection. The user timeout also ends the probing,
#: whatever their count.
KEEPALIVE_IDLE_SECONDS = 1
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES_COUNT = 3

#: Arguments of ``setsockopt``: level, name and value.
LIVENESS_OPTIONS = (
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MILLISECONDS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES_COUNT),
)
