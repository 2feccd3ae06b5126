"""Which hosts talk to which, and who reads the platform for the others.

A small fleet is one group: all its hosts hear each other. In a larger one the hosts
of each hall are a group. Each tells the first two of its hall, the relays, what it has
to say; the first of them adds it up, tells the other halls' relays, and tells its own
hall what the whole fleet says. A few hosts of each group read the platform and the
others ask them. Nobody agrees on anything: each host ranks the members that it knows
and hears, by the speed of their links, and takes the role that its own place gives it.
Two hosts that differ do a role twice for a while, which costs some calls.
"""

import itertools
from collections.abc import Collection, Iterable, Iterator

import attrs

from rampwick_schema import ReprMixin

from . import _rendezvous

#: Hosts up to which a fleet is one group. Each hears every other a few times a second,
#: which costs more with each of them.
MESH_LIMIT_COUNT = 16

#: Hosts of a group that read the platform: in a small fleet, where a call is cheap and
#: a group is all there is, so many that two may fail at once.
READERS_COUNT = 3
LARGE_READERS_COUNT = 1

#: Relays of each hall: hosts that hear all of it and the other halls' relays. The first
#: that is heard speaks; the next one is ready to.
RELAYS_COUNT = 2

#: Time for which a member that could not be reached is passed over.
UNREACHABLE_SECONDS = 5.0

_KEY = b"roles"


@attrs.frozen(repr=False)
class Member(ReprMixin):
    """A host of the fleet, as it says of itself."""

    name: str
    hall: str
    #: IP and port of its streams between hosts.
    address: str
    incarnation: int = 0
    link_megabits_per_second: float = 1000.0


@attrs.frozen(repr=False)
class Neighbours(ReprMixin):
    """Whom a host hears: its own hall's hosts by name, and the halls."""

    #: Hosts of its own hall.
    heard: frozenset[str] = frozenset()
    #: Those of them that are not leaving.
    staying: frozenset[str] = frozenset()
    halls: frozenset[str] = frozenset()


class MemberTable:
    """The members of the fleet that this host knows, and its own place among them."""

    def __init__(self, own: Member) -> None:
        self.own = own
        self._members: dict[str, Member] = {own.name: own}
        self._unreachable_until: dict[str, float] = {}
        # Roles are asked for with each message and seldom change.
        self._group: list[Member] | None = None
        self._ranking: tuple[frozenset[str], list[Member]] | None = None
        self._halls: dict[str, list[Member]] = {}

    def __iter__(self) -> Iterator[Member]:
        return iter(list(self._members.values()))

    def get(self, name: str) -> Member | None:
        """Return a member by its name."""
        return self._members.get(name)

    def learn(self, members: Iterable[Member]) -> list[Member]:
        """Take what is said of members; return those that were not known."""
        learned = []
        for member in members:
            known = self._members.get(member.name)
            if member.name == self.own.name or member == known:
                continue
            if known is not None and member.incarnation < known.incarnation:
                continue
            self._members[member.name] = member
            learned.append(member)
        if learned:
            self._forget_roles()
        return learned

    def keep_only(self, names: Collection[str]) -> None:
        """Forget the members that an authoritative list does not name."""
        for name in self._members.keys() - set(names) - {self.own.name}:
            del self._members[name]
            self._forget_roles()

    def _forget_roles(self) -> None:
        self._group = self._ranking = None
        self._halls.clear()

    def note_unreachable(self, name: str, now_seconds: float) -> None:
        """Note that a member could not be reached, or fell silent."""
        self._unreachable_until[name] = now_seconds + UNREACHABLE_SECONDS

    @property
    def is_large(self) -> bool:
        """Whether the fleet is more than one group."""
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
        """Return whether hosts of a hall are of this host's group."""
        return not self.is_large or hall == self.own.hall

    def rank(self, live: Collection[str]) -> int:
        """Return this host's place among the members of its group that it hears."""
        return self._ranked_group(live).index(self.own)

    def first_of_group(self, live: Collection[str]) -> list[Member]:
        """Return the members of the group that are heard, the first in rank first."""
        return [member for member in self._ranked_group(live) if member != self.own]

    def _ranked_group(self, live: Collection[str]) -> list[Member]:
        """Return this host and those of its group that it hears, by rank."""
        names = frozenset(live)
        if self._ranking is None or self._ranking[0] != names:
            heard = [member for member in self.group() if member.name in names]
            self._ranking = (names, _ranked([*heard, self.own]))
        return self._ranking[1]

    def is_reader(self, live: Collection[str]) -> bool:
        """Return whether this host reads the platform for its group."""
        most = LARGE_READERS_COUNT if self.is_large else READERS_COUNT
        return self.rank(live) < most

    def is_relay(self, live: Collection[str]) -> bool:
        """Return whether this host tells other groups what its own says."""
        return self.is_large and self.rank(live) == 0

    def wanted_links(self, now_seconds: float) -> list[Member]:
        """Return the members that this host is to keep a link to."""
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
        """Return the relays of a hall, the one that speaks first."""
        if hall not in self._halls:
            self._halls[hall] = _ranked(
                member for member in self._members.values() if member.hall == hall
            )
        reachable = (
            member
            for member in self._halls[hall]
            if not self.is_passed_over(member.name, now_seconds)
        )
        return list(itertools.islice(reachable, RELAYS_COUNT))

    def is_passed_over(self, name: str, now_seconds: float) -> bool:
        """Return whether a member was out of reach or silent a moment ago."""
        return now_seconds < self._unreachable_until.get(name, -1.0)


def _ranked(members: Iterable[Member]) -> list[Member]:
    """Return members in the order that every host gives them."""
    known = {member.name: member for member in members}
    order = _rendezvous.rank(_KEY, known)
    place = {name: index for index, name in enumerate(order)}
    return sorted(
        known.values(),
        key=lambda member: (-member.link_megabits_per_second, place[member.name]),
    )
