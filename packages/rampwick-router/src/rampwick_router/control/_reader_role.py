"""Whether this host reads the platform itself, or relies on those that do."""

from collections.abc import Callable

from rampwick_policy import MemberTable

from ._configuration import ConfigurationTask
from ._host_lists import HostListTask

#: Age of knowledge from readers after which a host reads for itself: a reader's watch
#: and a question to it take 2.1 s together, and keys want less than 3.5 s.
FALLBACK_SECONDS = 2.3

#: Link speed from which a host reads at its start without waiting for others to tell
#: it; weaker ones wait so long, since in a large fleet they are many.
STRONG_LINK_MEGABITS_PER_SECOND = 100.0
START_GRACE_SECONDS = 2.5

#: The same for the one that ranks first of the hosts that it has come to know, as where
#: all links are weak: a few trips between halls, in which seeds tell who there is. All
#: hosts of such a fleet that came back waited 2.5 s for each other and refused.
FIRST_GRACE_SECONDS = 0.3

#: The same for one that has come to know nobody: seeds may be the last ones to listen.
ALONE_GRACE_SECONDS = 1.0

#: Hosts of each group, the first in rank, that compete for the steward's lease.
CANDIDATES_COUNT = 2


class ReaderRole:
    """Answers what of the platform this host is to read now."""

    def __init__(
        self,
        table: MemberTable,
        list_live: Callable[[], set[str]],
        list_serving: Callable[[], set[str]],
        has_no_live_peers: Callable[[], bool],
        answered_at: Callable[[], float],
        configuration: ConfigurationTask,
        hosts: HostListTask,
        is_rollout_controller: Callable[[], bool],
        read_clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._list_live = list_live
        self._list_serving = list_serving
        self._has_no_live_peers = has_no_live_peers
        self._answered_at = answered_at
        self._configuration = configuration
        self._hosts = hosts
        self._is_rollout_controller = is_rollout_controller
        self._read_clock = read_clock
        link = table.own.link_megabits_per_second
        self._is_weak = link < STRONG_LINK_MEGABITS_PER_SECOND
        self._began_seconds = read_clock()

    def is_reader(self) -> bool:
        """Return whether this host reads for its group."""
        return self._is_past_grace() and self._table.is_reader(self._list_live())

    def is_disconnected(self) -> bool:
        """Return whether this host hears nobody."""
        return self._has_no_live_peers()

    def is_candidate(self) -> bool:
        """Return whether this host may take the steward's lease.

        Hosts that leave won't take it again. While they drain they answer as ever: two
        of them kept both places, and nobody held the lease for 10 s.
        """
        if not self._is_past_grace():
            return False
        return self._table.rank(self._list_serving()) < CANDIDATES_COUNT

    def wants_configuration(self) -> bool:
        """Return whether this host is to read the configuration."""
        return self._wants(self._configuration.age_seconds(self._read_clock()))

    def wants_hosts(self) -> bool:
        """Return whether this host is to read the list of upstreams."""
        return self._wants(self._hosts.age_seconds(self._read_clock()))

    def wants_targets(self) -> bool:
        """Return whether this host is to read the weights that are wanted.

        Whoever gives the orders reads them, whatever its rank: a host may have taken
        the lease before it heard of the others.
        """
        return self._is_rollout_controller() or self._wants(0.0)

    def _wants(self, age_seconds: float) -> bool:
        if not self._is_past_grace():
            return False
        if self.is_reader():
            return True
        silent_seconds = self._read_clock() - self._answered_at()
        return max(age_seconds, silent_seconds) > FALLBACK_SECONDS

    def _is_past_grace(self) -> bool:
        if not self._is_weak:
            return True
        age_seconds = self._read_clock() - self._began_seconds
        return age_seconds >= self._grace_seconds()

    def _grace_seconds(self) -> float:
        """Return how long this host leaves the reading to others after its start."""
        known = {member.name for member in self._table}
        if len(known) == 1:
            return ALONE_GRACE_SECONDS
        is_first = self._table.is_reader(known)
        return FIRST_GRACE_SECONDS if is_first else START_GRACE_SECONDS
