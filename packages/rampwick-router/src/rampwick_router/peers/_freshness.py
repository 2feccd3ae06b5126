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

#: Age of the own configuration from which this host, or the reader that it polls, may
#: not reach the store: more than a watch takes.
OLD_SECONDS = 2.0


class FreshnessPoller:
    """Keeps the age of this host's configuration and host list up to date.

    A host that does not read the platform itself polls a host that does. A host whose
    configuration is old polls its peers in turn, also if it is a reader. What a peer
    confirms has the age of that peer's data, so that hosts which all lack the store
    confirm nothing to each other.
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
        #: Number of polls while the own configuration was old.
        self._turn = 0

    async def run(self) -> None:
        """Poll a reader periodically, unless this host is one with recent data.

        In a large fleet the relay sends the ages with its summaries instead.
        """
        while True:
            await sleep_aligned(POLL_INTERVAL_SECONDS)
            if not self._roles.table.is_large:
                self.query_reader()

    def _choose_link(self) -> Link | None:
        configuration_age_seconds, _ = self._sync.own_ages()
        is_old = configuration_age_seconds > OLD_SECONDS
        if self._roles.is_reader() and not is_old:
            return None
        links = (
            self._links.link_to(member.name)
            for member in self._roles.table.ranked_group_peers(self._roles.live_names)
        )
        linked = [link for link in links if link is not None]
        if not linked:
            return None
        if is_old:
            self._turn += 1
            return linked[self._turn % len(linked)]
        elapsed_seconds = self._read_clock() - self._sync.answered_at_seconds
        is_unresponsive = elapsed_seconds > READER_TIMEOUT_SECONDS
        return linked[1] if is_unresponsive and len(linked) > 1 else linked[0]

    def query_reader(self) -> bool:
        """Poll a peer now if needed; return whether its reply is to be waited for.

        A reader reads the store meanwhile.
        """
        link = self._choose_link()
        if link is None:
            return False
        self._sync.request_ages(link)
        return not self._roles.is_reader()

    @property
    def answered_at_seconds(self) -> float:
        """When a reader last reported the age of its data."""
        return self._sync.answered_at_seconds
