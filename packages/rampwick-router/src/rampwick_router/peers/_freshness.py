"""Polling of platform readers for the age of their data."""

from collections.abc import Callable

from rampwick_platform import sleep_aligned

from ._links import Link, PeerLinks
from ._roles import Roles
from ._sync import PeerSync

#: Time between two polls of a reader.
POLL_INTERVAL_SECONDS = 0.6

#: Time without a reply after which the next reader in rank is polled.
READER_TIMEOUT_SECONDS = 1.5


class FreshnessPoller:
    """Keeps the age of this host's configuration and host list up to date.

    A host that does not read the platform itself polls a host that does.
    """

    def __init__(
        self,
        roles: Roles,
        links: PeerLinks,
        sync: PeerSync,
        read_clock: Callable[[], float],
    ) -> None:
        self._roles = roles
        self._links = links
        self._sync = sync
        self._read_clock = read_clock

    async def run(self) -> None:
        """Poll a reader periodically, unless this host is one.

        In a large fleet the relay sends the ages with its summaries instead.
        """
        while True:
            await sleep_aligned(POLL_INTERVAL_SECONDS)
            if self._roles.table.is_large or self._roles.is_reader():
                continue
            link = self._reader_link()
            if link is not None:
                self._sync.request_ages(link)

    def _reader_link(self) -> Link | None:
        links = (
            self._links.link_to(member.name)
            for member in self._roles.table.ranked_group_peers(self._roles.live_names)
        )
        linked = [link for link in links if link is not None]
        if not linked:
            return None
        elapsed_seconds = self._read_clock() - self._sync.answered_at_seconds
        is_unresponsive = elapsed_seconds > READER_TIMEOUT_SECONDS
        return linked[1] if is_unresponsive and len(linked) > 1 else linked[0]

    def query_reader(self) -> bool:
        """Poll a reader now; return whether one is connected."""
        link = None if self._roles.is_reader() else self._reader_link()
        if link is not None:
            self._sync.request_ages(link)
        return link is not None

    @property
    def answered_at_seconds(self) -> float:
        """When a reader last reported the age of its data."""
        return self._sync.answered_at_seconds
