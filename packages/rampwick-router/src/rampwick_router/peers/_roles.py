"""Which hosts this one hears, and the roles that follow from that.

Roles are computed by each host for itself, from the members that it knows and hears;
see :mod:`rampwick_policy` for the rules.
"""

from collections.abc import Callable

import attrs

from rampwick_policy import LivePeers, Member, MemberTable, RelayListener
from rampwick_schema import Shown

from .._scheduler_task import SchedulerTask

#: Time from a host's start in which members count as there that it has not heard: a
#: herd's loading is spread over a second, and relays tell of it four times a second.
UNHEARD_SECONDS = 3.0


@attrs.frozen(repr=False)
class RolesView(Shown):
    """A host's place in the fleet as it sees it."""

    #: Whether the fleet is so large that relays speak for their halls.
    is_large: bool
    #: Whether this host speaks for its hall, and reads the platform for others.
    is_relay: bool
    is_reader: bool
    #: Relays of this host's hall, the one that speaks first.
    relays: list[str]
    #: Hosts of the fleet that are known, and those that are heard.
    members_count: int
    heard_count: int


class Roles:
    """Says who is there as this host sees it, and what its own place is."""

    def __init__(
        self,
        own: Member,
        scheduler: SchedulerTask,
        read_clock: Callable[[], float],
    ) -> None:
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._began_seconds = read_clock()
        self.table = MemberTable(own)
        #: What the relay of a large fleet's hall says of the others.
        self.listener = RelayListener(own)

    @property
    def is_relay_candidate(self) -> bool:
        """Whether this host hears all of its hall and speaks for it, or is next to."""
        return self.table.is_relay_candidate(self._read_clock())

    @property
    def hears_nobody(self) -> bool:
        """Whether no word of any peer has come for a while."""
        return not self._scheduler.live_names(self._read_clock())

    @property
    def live_names(self) -> set[str]:
        """Names of the hosts that count as alive where roles are given out."""
        now_seconds = self._read_clock()
        if not self.table.is_large:
            return self._scheduler.live_names(now_seconds)
        heard = self.live_peers().alive
        relays = self.table.relays(self.table.own.hall, now_seconds)
        names = heard | {member.name for member in relays}
        return {
            name
            for name in names
            if not self.table.is_marked_unreachable(name, now_seconds)
        }

    @property
    def staying_names(self) -> set[str]:
        """Names of those of them that are not leaving."""
        if self.table.is_large:
            near = self.live_peers()
            return self.live_names - (near.alive - near.not_draining)
        views = self._scheduler.peer_views(self._read_clock())
        return {view.name for view in views if not view.summary.is_leaving}

    def live_peers(self) -> LivePeers:
        """Return whom this host hears, by itself or through its relay."""
        now_seconds = self._read_clock()
        if self.table.is_large and not self.is_relay_candidate:
            return self.listener.live_peers(now_seconds)
        views = self._scheduler.peer_views(now_seconds)
        own_hall = self.table.own.hall
        mates = [view for view in views if view.hall == own_hall]
        return LivePeers(
            frozenset(view.name for view in mates),
            frozenset(view.name for view in mates if not view.summary.is_leaving),
            frozenset(view.hall for view in views),
        )

    def neighbours_at_work(self) -> LivePeers:
        """Return among whom the reading of caches is shared.

        In the first moments of a large fleet those count that are known and not heard
        yet. Hosts that come back together would each take themselves for alone and ask
        all caches for their histories, and weak links would carry nothing else.
        """
        near = self.live_peers()
        age_seconds = self._read_clock() - self._began_seconds
        if near.halls or not self.table.is_large or age_seconds > UNHEARD_SECONDS:
            return near
        members = [member for member in self.table if member != self.table.own]
        names = {member.name for member in members if self.is_of_group(member)}
        halls = {member.hall for member in members}
        return LivePeers(frozenset(names), frozenset(names), frozenset(halls))

    def is_reader(self) -> bool:
        """Return whether this host is to read the platform for its group."""
        return self.table.is_reader(self.live_names)

    def is_relay(self) -> bool:
        """Return whether this host speaks for its hall now."""
        return self.table.is_relay(self.live_names)

    def is_of_group(self, peer: Member) -> bool:
        """Return whether a peer is of this host's group."""
        return self.table.is_in_group(peer.hall)

    def is_of_another(self, peer: Member) -> bool:
        """Return whether a peer is of another group."""
        return not self.table.is_in_group(peer.hall)

    def is_told(self, peer: Member) -> bool:
        """Return whether a peer is to hear this host itself."""
        if not self.table.is_large:
            return True
        relays = self.table.relays(self.table.own.hall, self._read_clock())
        return peer.name in {member.name for member in relays}

    def describe(self) -> RolesView:
        """Return this host's place in the fleet, for operators."""
        now_seconds = self._read_clock()
        relays: list[Member] = []
        if self.table.is_large:
            relays = self.table.relays(self.table.own.hall, now_seconds)
        return RolesView(
            is_large=self.table.is_large,
            is_relay=self.is_relay(),
            is_reader=self.is_reader(),
            relays=[member.name for member in relays],
            members_count=len(list(self.table)),
            heard_count=len(self.live_names),
        )
