"""Messages between hosts: links, summaries, updates from the platform.

It owns the streams between hosts and the records by which hosts find each other. Peers'
messages become events for the scheduler and updates for
:mod:`~rampwick_router.control`, whose knowledge it passes on. It knows nothing of
callers.
"""

from ._directory import PeerDirectory as PeerDirectory
from ._gossip import GossipTask as GossipTask
from ._roles import RolesView as RolesView
