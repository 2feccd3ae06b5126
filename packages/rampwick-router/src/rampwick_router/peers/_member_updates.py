"""Batched membership updates.

When a whole fleet starts, each host discovers all others within a second. Sent one by
one, these updates would need one message per host on each link.
"""

import anyio

from rampwick_policy import Member
from rampwick_schema import Members

from ._links import PeerLinks
from ._messages import to_record

#: Batching interval: a few round trips between halls, and a small part of the time that
#: a starting host waits.
BATCH_SECONDS = 0.05


class MemberUpdates:
    """Broadcasts members that peers may not have yet."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._members: dict[str, Member] = {}
        self._sources: set[str] = set()
        self._has_update = anyio.Event()

    def add(self, members: list[Member], source: str) -> None:
        """Queue members received from the peer ``source``."""
        self._members.update((member.name, member) for member in members)
        self._sources.add(source)
        self._has_update.set()

    async def run(self) -> None:
        """Broadcast batches until cancelled."""
        while True:
            await self._has_update.wait()
            self._has_update = anyio.Event()
            await anyio.sleep(BATCH_SECONDS)
            self.flush()

    def flush(self) -> None:
        """Broadcast the batch, except to a peer that was its only source."""
        members, self._members = self._members, {}
        sources, self._sources = self._sources, set()
        if not members:
            return
        batch = Members([to_record(member) for member in members.values()])
        self._links.broadcast(batch, lambda peer: sources != {peer.name})
