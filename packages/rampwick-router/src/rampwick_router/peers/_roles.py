"""Live peers of this host, and the roles that follow from them.

Each host computes roles for itself, from the members that it has discovered and those
it sees alive; see :mod:`rampwick_policy` for the rules.
"""

from collections.abc import Callable

import attrs

from rampwick_policy import LivePeers, Member, MemberTable, RelayListener
from rampwick_schema import ReprMixin

from .._scheduler_task import SchedulerTask

#: Time after a host's start during which members that it has not yet received from
#: count as alive. After a simultaneous start, loading is spread over one second, and
#: relays publish its results four times a second.
ASSUMED_ALIVE_SECONDS = 3.0


@attrs.frozen(repr=False)
class RolesView(ReprMixin):
    """The roles of a host, from its own view of the fleet."""

    #: Whether the fleet is large enough for relays to aggregate their halls.
    is_large: bool
    #: Whether this host is the relay of its hall, and whether it reads the platform for
    #: other hosts.
    is_relay: bool
    is_reader: bool
    #: Relays of this host's hall; the first one is active.
    relays: list[str]
    #: Number of known hosts, and of those that are alive.
    members_count: int
    heard_count: int


class Roles:
    """Determines live peers and roles from this host's own view of the fleet."""

    def __init__(
        self,
        own: Member,
        scheduler: SchedulerTask,
        read_clock: Callable[[], float],
    ) -> None:
        self._scheduler = scheduler
        self._read_clock = read_clock
        self._started_seconds = read_clock()
        self.table = MemberTable(own)
        #: Tracks the hall relay's reports about other hosts, in a large fleet.
        self.relay_listener = RelayListener(own)

    @property
    def is_relay_candidate(self) -> bool:
        """Whether this host is the active or the standby relay of its hall.

        Such a host receives the summaries of all hosts of its hall.
        """
        return self.table.is_relay_candidate(self._read_clock())

    @property
    def has_no_live_peers(self) -> bool:
        """Whether no peer is alive."""
        return not self._scheduler.live_names(self._read_clock())

    @property
    def live_names(self) -> set[str]:
        """Names of the hosts that count as alive when roles are assigned."""
        now_seconds = self._read_clock()
        if not self.table.is_large:
            return self._scheduler.live_names(now_seconds)
        alive = self.live_peers().alive
        relays = self.table.relays(self.table.own.hall, now_seconds)
        names = alive | {member.name for member in relays}
        return {
            name
            for name in names
            if not self.table.is_marked_unreachable(name, now_seconds)
        }

    @property
    def serving_names(self) -> set[str]:
        """Names of the live hosts that are not shutting down."""
        if self.table.is_large:
            peers = self.live_peers()
            return self.live_names - (peers.alive - peers.not_draining)
        views = self._scheduler.peer_views(self._read_clock())
        return {view.name for view in views if not view.summary.is_leaving}

    def live_peers(self) -> LivePeers:
        """Return the live peers, seen directly or reported by the relay."""
        now_seconds = self._read_clock()
        if self.table.is_large and not self.is_relay_candidate:
            return self.relay_listener.live_peers(now_seconds)
        views = self._scheduler.peer_views(now_seconds)
        own_hall = self.table.own.hall
        hall_peers = [view for view in views if view.hall == own_hall]
        return LivePeers(
            frozenset(view.name for view in hall_peers),
            frozenset(view.name for view in hall_peers if not view.summary.is_leaving),
            frozenset(view.hall for view in views),
        )

    def tunnel_peers(self) -> list[Member]:
        """Return the hosts that may connect this one to upstreams.

        Hosts of other halls of a large fleet are not known to be alive one by one.
        """
        now_seconds = self._read_clock()
        serving = self.serving_names
        halls = self.live_peers().halls if self.table.is_large else frozenset()
        return [
            member
            for member in self.table
            if member != self.table.own
            and not self.table.is_marked_unreachable(member.name, now_seconds)
            and (
                member.name in serving
                if self.is_in_own_group(member)
                else member.hall in halls
            )
        ]

    def cache_reading_peers(self) -> LivePeers:
        """Return the peers among which the reading of caches is divided.

        Shortly after the start of a large fleet, members that are known but not yet
        seen alive count as well. Otherwise hosts that restart together would each
        consider themselves alone and request the backlog of all caches, which saturates
        slow links.
        """
        peers = self.live_peers()
        uptime_seconds = self._read_clock() - self._started_seconds
        if (
            peers.halls
            or not self.table.is_large
            or uptime_seconds > ASSUMED_ALIVE_SECONDS
        ):
            return peers
        members = [member for member in self.table if member != self.table.own]
        names = {member.name for member in members if self.is_in_own_group(member)}
        halls = {member.hall for member in members}
        return LivePeers(frozenset(names), frozenset(names), frozenset(halls))

    def is_reader(self) -> bool:
        """Return whether this host reads the platform for its group."""
        return self.table.is_reader(self.live_names)

    def is_relay(self) -> bool:
        """Return whether this host is the active relay of its hall."""
        return self.table.is_relay(self.live_names)

    def is_in_own_group(self, peer: Member) -> bool:
        """Return whether a peer is in this host's group."""
        return self.table.is_in_group(peer.hall)

    def is_in_other_group(self, peer: Member) -> bool:
        """Return whether a peer is in another group."""
        return not self.table.is_in_group(peer.hall)

    def is_recipient(self, peer: Member) -> bool:
        """Return whether this host sends its own updates directly to a peer."""
        if not self.table.is_large:
            return True
        relays = self.table.relays(self.table.own.hall, self._read_clock())
        return peer.name in {member.name for member in relays}

    def describe(self) -> RolesView:
        """Return the roles of this host, for operators."""
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
