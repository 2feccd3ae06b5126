"""Decision whether this host reads the platform itself or relies on readers."""

from collections.abc import Callable

from rampwick_policy import MemberTable

from ._configuration import ConfigurationTask
from ._host_lists import HostListTask

#: Age of data from readers after which a host reads the platform itself. A reader's
#: watch and a poll of the reader take 2.1 s together, and keys require less than 3.5 s.
FALLBACK_SECONDS = 2.3

#: Link speed from which a host reads at its start without waiting for data from peers,
#: and the time that hosts with slower links wait. In a large fleet there are many such
#: hosts.
STRONG_LINK_MEGABITS_PER_SECOND = 100.0
START_GRACE_SECONDS = 2.5

#: Wait of the host that ranks first among the known ones, for fleets in which all links
#: are slow: a few round trips between halls, in which seeds send the member list.
#: Without it all hosts of such a fleet waited 2.5 s for each other after a restart and
#: refused requests.
FIRST_GRACE_SECONDS = 0.3

#: Wait of a host that knows no other member: seeds may be the last ones to listen.
ALONE_GRACE_SECONDS = 1.0

#: Time after its start from which a host may write for its group: links to peers open
#: within it.
RECORDER_GRACE_SECONDS = 1.0

#: Hosts of each group that write: the store may refuse one of them.
RECORDERS_COUNT = 2

#: Number of hosts of each group, by rank, that compete for the rollout lease.
CANDIDATES_COUNT = 2


class ReaderRole:
    """Decides which platform data this host reads."""

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
        self._started_seconds = read_clock()

    def is_reader(self) -> bool:
        """Return whether this host reads the platform for its group."""
        return self._is_past_grace() and self._table.is_reader(self._list_live())

    def recorder_rank(self) -> int | None:
        """Return the rank of this host among those that write what its group began.

        None if it doesn't write. After a simultaneous start each host knows itself
        alone at first.
        """
        uptime_seconds = self._read_clock() - self._started_seconds
        if uptime_seconds < RECORDER_GRACE_SECONDS or not self._is_past_grace():
            return None
        rank = self._table.rank(self._list_live())
        return rank if rank < RECORDERS_COUNT else None

    def is_disconnected(self) -> bool:
        """Return whether this host has no live peer."""
        return self._has_no_live_peers()

    def is_candidate(self) -> bool:
        """Return whether this host may acquire the rollout lease.

        Hosts that are shutting down are not candidates. They stay responsive while they
        drain: two of them occupied both candidate ranks, and no host held the lease for
        10 s.
        """
        if not self._is_past_grace():
            return False
        return self._table.rank(self._list_serving()) < CANDIDATES_COUNT

    def must_read_configuration(self) -> bool:
        """Return whether this host must read the configuration."""
        return self._needs_read(self._configuration.age_seconds(self._read_clock()))

    def must_read_hosts(self) -> bool:
        """Return whether this host must read the host list."""
        return self._needs_read(self._hosts.age_seconds(self._read_clock()))

    def must_read_targets(self) -> bool:
        """Return whether this host must read the weights targets.

        The rollout controller reads them regardless of its rank: a host may have
        acquired the lease before it discovered the other hosts.
        """
        return self._is_rollout_controller() or self._needs_read(0.0)

    def _needs_read(self, age_seconds: float) -> bool:
        if not self._is_past_grace():
            return False
        if self.is_reader():
            return True
        unanswered_seconds = self._read_clock() - self._answered_at()
        return max(age_seconds, unanswered_seconds) > FALLBACK_SECONDS

    def _is_past_grace(self) -> bool:
        if not self._is_weak:
            return True
        uptime_seconds = self._read_clock() - self._started_seconds
        return uptime_seconds >= self._grace_seconds()

    def _grace_seconds(self) -> float:
        """Return how long this host waits for data from readers after its start."""
        known = {member.name for member in self._table}
        if len(known) == 1:
            return ALONE_GRACE_SECONDS
        is_first = self._table.is_reader(known)
        return FIRST_GRACE_SECONDS if is_first else START_GRACE_SECONDS
