"""Connections of callers that this host closes unread, for its peers to serve."""

from collections.abc import Callable

from prometheus_client import Counter

from rampwick_policy import HostLoads, Scheduler, is_busier_than_peers, is_overdue

from ._logs import ComponentLogger, milliseconds
from ._scheduler_task import SchedulerTask

#: Minimum time between two log lines about handed-on connections.
LOG_INTERVAL_SECONDS = 1.0

log = ComponentLogger("entry")


class ConnectionHandOn:
    """Decides for each new connection whether this host serves it."""

    def __init__(
        self,
        scheduler: SchedulerTask,
        count_open: Callable[[], int],
        counter: Counter,
        read_clock: Callable[[], float],
        is_leaving: Callable[[], bool],
    ) -> None:
        """``count_open`` returns the number of requests under way at this host.

        ``is_leaving`` returns whether a planned shutdown has begun.
        """
        self._scheduler = scheduler
        self._count_open = count_open
        self._counter = counter
        self._read_clock = read_clock
        self._is_leaving = is_leaving
        self._unlogged_count = 0
        self._logged_at_seconds = 0.0

    def decide(self, waited_seconds: float) -> bool:
        """Return whether a connection that waited to be accepted is closed unread.

        A host that shuts down closes none: its refusals say that nothing was run.
        """
        if self._is_leaving() or not is_overdue(waited_seconds):
            return False
        loads = self._read_loads()
        if not is_busier_than_peers(loads):
            return False
        self._counter.inc()
        self._unlogged_count += 1
        now_seconds = self._read_clock()
        if now_seconds - self._logged_at_seconds >= LOG_INTERVAL_SECONDS:
            log.problem(
                "connections handed on",
                count=self._unlogged_count,
                waited_ms=milliseconds(waited_seconds),
                open_count=loads.own_count,
                peers_open_count=loads.peers_count,
                hosts_count=loads.hosts_count,
            )
            self._logged_at_seconds, self._unlogged_count = now_seconds, 0
        return True

    def _read_loads(self) -> HostLoads:
        def read(scheduler: Scheduler, now_seconds: float) -> HostLoads:
            return HostLoads(
                self._count_open(),
                scheduler.peers.running_count,
                scheduler.peers.hosts_count(now_seconds),
            )

        return self._scheduler.run_query(read)
