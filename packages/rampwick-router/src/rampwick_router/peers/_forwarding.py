"""Forwarding of messages by the relay of a hall."""

from collections.abc import Callable
from typing import Any

from rampwick_schema import RolloutUpdate

from ._links import Link, PeerLinks
from ._roles import Roles


class Forwarder:
    """Passes on what a relay receives, each message once.

    Hosts of a hall may differ on which of them is the relay. Two that act as one must
    not forward each other's messages: every message would go back and forth.
    """

    def __init__(
        self, links: PeerLinks, roles: Roles, read_clock: Callable[[], float]
    ) -> None:
        self._links = links
        self._roles = roles
        self._read_clock = read_clock

    def must_forward(self, link: Link) -> bool:
        """Return whether this host is to forward what it receives on a link."""
        return self._roles.is_relay() and not self.is_acting_relay(link)

    def is_acting_relay(self, link: Link) -> bool:
        """Return whether a peer of this hall forwards its messages itself."""
        return self._roles.is_in_own_group(
            link.peer
        ) and self._roles.relay_listener.is_acting_relay(
            link.peer.name, self._read_clock()
        )

    def forward(self, link: Link, message: Any) -> None:
        """Forward a message from this hall to all peers, any other to this hall."""
        if not self.must_forward(link):
            return
        is_own = self._roles.is_in_own_group(link.peer)
        self._links.broadcast(
            message,
            lambda peer: (
                peer.name != link.peer.name
                and (is_own or self._roles.is_in_own_group(peer))
            ),
        )

    def forward_rollout(self, link: Link, update: RolloutUpdate) -> None:
        """Forward an update, within the hall of its holder only from the holder.

        The holder sends it to the relays of its hall itself.
        """
        is_own = self._roles.is_in_own_group(link.peer)
        if not is_own or link.peer.name == update.holder:
            self.forward(link, update)
