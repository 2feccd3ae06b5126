"""Host-to-host communication: connections, summaries and urgent updates.

This package owns the connections between hosts and the records in the store by which
hosts discover each other. It turns messages from peers into scheduler events and into
updates for :mod:`~rampwick_router.control`, and forwards configuration, host lists and
targets to peers. It does not depend on the code that serves callers.
"""

from ._directory import PeerDirectory as PeerDirectory
from ._gossip import GossipTask as GossipTask
from ._roles import RolesView as RolesView
from ._tunnel_server import TunnelsView as TunnelsView
