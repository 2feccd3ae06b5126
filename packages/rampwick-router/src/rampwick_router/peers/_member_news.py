"""Telling peers of members that have become known, gathered for a moment.

Where a whole fleet starts, each host learns of all others within a second. Told one by
one on every link, that made as many messages at each host as there are hosts, for each
of its links.
"""

import anyio

from rampwick_policy import Member
from rampwick_schema import Members

from ._links import PeerLinks
from ._news import to_record

#: Time for which members are gathered: a few trips between halls, and little of what a
#: host that starts waits for.
GATHER_SECONDS = 0.05


class MemberNews:
    """Members that peers have not been told of yet."""

    def __init__(self, links: PeerLinks) -> None:
        self._links = links
        self._members: dict[str, Member] = {}
        self._sources: set[str] = set()
        self._has_news = anyio.Event()

    def add(self, members: list[Member], source: str) -> None:
        """Take members that a peer told of; ``source`` names it."""
        self._members.update((member.name, member) for member in members)
        self._sources.add(source)
        self._has_news.set()

    async def run(self) -> None:
        """Tell peers what was gathered, again and again until cancelled."""
        while True:
            await self._has_news.wait()
            self._has_news = anyio.Event()
            await anyio.sleep(GATHER_SECONDS)
            self.tell()

    def tell(self) -> None:
        """Tell what was gathered; who alone told it is not told again."""
        members, self._members = self._members, {}
        sources, self._sources = self._sources, set()
        if not members:
            return
        told = Members([to_record(member) for member in members.values()])
        self._links.broadcast(told, lambda peer: sources != {peer.name})
