"""Asking readers of the platform how old their knowledge is."""

from collections.abc import Callable

from rampwick_platform import sleep_on_grid

from ._links import Link, PeerLinks
from ._roles import Roles
from ._sync import PeerSync

#: Time between two questions about the ages of a reader's knowledge.
CONFIRM_SECONDS = 0.6

#: Time without an answer after which the next reader in rank is asked.
CONFIRM_PATIENCE_SECONDS = 1.5


class AgeKeeper:
    """Keeps the ages of what this host was told, unless it reads itself."""

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
        """Ask a reader for the ages of its knowledge, unless this host is one.

        In a large fleet the relay tells them unasked.
        """
        while True:
            await sleep_on_grid(CONFIRM_SECONDS)
            if self._roles.table.is_large or self._roles.is_reader():
                continue
            link = self._reader_link()
            if link is not None:
                self._sync.ask_ages(link)

    def _reader_link(self) -> Link | None:
        links = (
            self._links.link_to(member.name)
            for member in self._roles.table.ranked_group_peers(self._roles.live_names)
        )
        known = [link for link in links if link is not None]
        if not known:
            return None
        since_seconds = self._read_clock() - self._sync.answered_at_seconds
        is_silent = since_seconds > CONFIRM_PATIENCE_SECONDS
        return known[1] if is_silent and len(known) > 1 else known[0]

    def ask_reader(self) -> bool:
        """Ask a reader now, if one is linked; return whether one is."""
        link = None if self._roles.is_reader() else self._reader_link()
        if link is not None:
            self._sync.ask_ages(link)
        return link is not None

    @property
    def answered_at_seconds(self) -> float:
        """When a reader last said how old its knowledge is."""
        return self._sync.answered_at_seconds
