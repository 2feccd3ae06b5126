"""Gossip topology and the choice of relays and platform readers.

A small fleet is one group with a full mesh. In a larger fleet, the hosts of each hall
form a group. Each host sends its summary to the first two hosts of its hall, the
relays. The first relay aggregates the summaries, sends the sum to the relays of other
halls, and sends the sum of the fleet to its own hall. A few hosts of each group read
the platform, and the others query them. There is no leader election: each host ranks
the live members by the speed of their links and takes the role that follows from its
own rank. Hosts with different views may both act in one role for a while, which costs
some extra calls.
"""

import itertools
from collections.abc import Collection, Iterable, Iterator

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous

#: Maximum number of hosts of a full mesh. Each host receives a few messages per second
#: from every other, so the cost per host grows with the number of hosts.
MESH_LIMIT_COUNT = 16

#: Hosts of a group that read the platform. A small fleet is a single group and its
#: calls are cheap, so it has enough readers that two may fail at once.
READERS_COUNT = 3
LARGE_READERS_COUNT = 1

#: Relays of each hall, which receive from all its hosts and from the relays of other
#: halls. The first live one is active, the next is a standby.
RELAYS_COUNT = 2

#: Time for which an unreachable member is skipped.
UNREACHABLE_SECONDS = 5.0

_KEY = b"roles"


@attrs.frozen(repr=False)
class Member(ReprMixin):
    """A host of the fleet, as described by itself."""

    name: str
    hall: str
    #: IP and port for streams between hosts.
    address: str
    incarnation: int = 0
    link_megabits_per_second: float = 1000.0


@attrs.frozen(repr=False)
class LivePeers(ReprMixin):
    """Live hosts of the own hall, by name, and live halls."""

    #: Live hosts of the own hall.
    alive: frozenset[str] = frozenset()
    #: Those of them that are not draining.
    not_draining: frozenset[str] = frozenset()
    halls: frozenset[str] = frozenset()


class MemberTable:
    """Known members of the fleet, and the rank of this host among them."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._unreachable_until: dict[str, float] = {}
        # Caches: roles are read for each message and seldom change.
        self._group: list[Member] | None = None
        self._ranking: tuple[frozenset[str], list[Member]] | None = None
        self._halls: dict[str, list[Member]] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    def get(self, name: str) -> Member | None:
        """Return a member by its name."""
        return self._members.get(name)

    def merge(self, members: Iterable[Member]) -> list[Member]:
        """Merge member records; return those that are new or changed."""
        changed = []
        for member in members:
            known = self._members.get(member.name)
            if member.name == self.own.name or member == known:
                continue
            if known is not None and member.incarnation < known.incarnation:
                continue
            if known is not None and 0 < known.incarnation < member.incarnation:
                # What was unreachable was the process before this one.
                self._unreachable_until.pop(member.name, None)
            self._members[member.name] = member
            changed.append(member)
        if changed:
            self._forget_roles()
        return changed

    def keep_only(self, names: Collection[str]) -> None:
        """Drop the members that are missing from an authoritative list."""
        for name in self._members.keys() - set(names) - {self.own.name}:
            del self._members[name]
            self._forget_roles()

    def _forget_roles(self) -> None:
        self._group = self._ranking = None
        self._halls.clear()

    def note_unreachable(self, name: str, now_seconds: float) -> None:
        """Record that a member is unreachable or unresponsive."""
        self._unreachable_until[name] = now_seconds + UNREACHABLE_SECONDS

    @property
    def is_large(self) -> bool:
        """Whether the fleet has more than one group."""
        return len(self._members) > MESH_LIMIT_COUNT

    def group(self) -> list[Member]:
        """Return the other members of this host's group."""
        if self._group is None:
            self._group = [
                member
                for member in self._members.values()
                if member.name != self.own.name and self.is_in_group(member.hall)
            ]
        return list(self._group)

    def is_in_group(self, hall: str) -> bool:
        """Return whether the hosts of a hall belong to the group of this host."""
        return not self.is_large or hall == self.own.hall

    def rank(self, live: Collection[str]) -> int:
        """Return the rank of this host among the live members of its group."""
        return self._ranked_group(live).index(self.own)

    def ranked_group_peers(self, live: Collection[str]) -> list[Member]:
        """Return the live peers of the group in order of rank."""
        return [member for member in self._ranked_group(live) if member != self.own]

    def _ranked_group(self, live: Collection[str]) -> list[Member]:
        """Return this host and the live peers of its group in order of rank."""
        names = frozenset(live)
        if self._ranking is None or self._ranking[0] != names:
            live_members = [member for member in self.group() if member.name in names]
            self._ranking = (names, _ranked([*live_members, self.own]))
        return self._ranking[1]

    def is_reader(self, live: Collection[str]) -> bool:
        """Return whether this host reads the platform for its group."""
        max_readers = LARGE_READERS_COUNT if self.is_large else READERS_COUNT
        return self.rank(live) < max_readers

    def is_relay(self, live: Collection[str]) -> bool:
        """Return whether this host relays the summary of its group to other groups."""
        return self.is_large and self.rank(live) == 0

    def wanted_links(self, now_seconds: float) -> list[Member]:
        """Return the members to which this host maintains a link."""
        if not self.is_large:
            return self.group()
        halls = {self.own.hall}
        if self.is_relay_candidate(now_seconds):
            halls = {member.hall for member in self._members.values()}
        return [
            member
            for hall in sorted(halls)
            for member in self.relays(hall, now_seconds)
            if member != self.own
        ]

    def is_relay_candidate(self, now_seconds: float) -> bool:
        """Return whether this host is one of its hall's relays."""
        return self.is_large and self.own in self.relays(self.own.hall, now_seconds)

    def relays(self, hall: str, now_seconds: float) -> list[Member]:
        """Return the relays of a hall, the active one first."""
        if hall not in self._halls:
            self._halls[hall] = _ranked(
                member for member in self._members.values() if member.hall == hall
            )
        reachable = (
            member
            for member in self._halls[hall]
            if not self.is_marked_unreachable(member.name, now_seconds)
        )
        return list(itertools.islice(reachable, RELAYS_COUNT))

    def is_marked_unreachable(self, name: str, now_seconds: float) -> bool:
        """Return whether a member was recently unreachable or unresponsive."""
        return now_seconds < self._unreachable_until.get(name, -1.0)


def _ranked(members: Iterable[Member]) -> list[Member]:
    """Return members in an order that is the same on every host."""
    known = {member.name: member for member in members}
    order = _rendezvous.rank(_KEY, known)
    place = {name: index for index, name in enumerate(order)}
    return sorted(
        known.values(),
        key=lambda member: (-member.link_megabits_per_second, place[member.name]),
    )
