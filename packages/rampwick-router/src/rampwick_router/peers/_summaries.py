"""Publication of summaries of this host, its hall and the whole fleet.

In a small fleet each host sends every other a summary of its own. In a large one it
sends it to its hall's relays; the first of them aggregates its hall for the other
halls, and all halls for its own.
"""

from collections.abc import Callable, Iterable

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    SummaryDigest,
    SurgeGate,
    sum_limits,
    without_limits,
)
from rampwick_schema import Beat, FleetSummary, HallSummary, Summary

from .._scheduler_task import SchedulerTask
from ._links import PeerLinks
from ._roles import Roles
from ._sync import PeerSync

#: Silence of a hall, some two and a half of its relay's tellings, after which it counts
#: neither as heard nor as sending under limits: hosts that are cut off keep to their
#: part before both sides fill the same room.
LATE_HALL_SECONDS = 1.25


class SummaryPublisher:
    """Builds summaries and sends each to its audience."""

    def __init__(
        self,
        scheduler: SchedulerTask,
        follower: ConfigurationFollower,
        links: PeerLinks,
        roles: Roles,
        sync: PeerSync,
        read_clock: Callable[[], float],
    ) -> None:
        self._scheduler = scheduler
        self._follower = follower
        self._links = links
        self._roles = roles
        self._sync = sync
        self._read_clock = read_clock
        #: What this hall's hosts say for other halls, and all hosts for this hall.
        self._hall_digest = SummaryDigest()
        self._fleet_digest = SummaryDigest()
        self._surges = SurgeGate()
        self._own: Summary | None = None
        self._sequence = 0
        #: Whether peers are told that this host takes no new requests.
        self.is_leaving = False

    def take_host(self, summary: Summary) -> None:
        """Add the summary of a host of this hall."""
        self._hall_digest.take(summary)
        self._fleet_digest.take(summary)

    def take_hall(self, summary: Summary) -> None:
        """Add the summary of another hall."""
        self._fleet_digest.take(summary)

    def publish_own(self, *, has_surged: bool = False) -> None:
        """Send this host's summary to every peer that needs it.

        ``has_surged`` has relays forward it at once.
        """
        self._sequence += 1
        summary = self._scheduler.run_query(
            lambda scheduler, now_seconds: scheduler.summary(
                self._sequence,
                self._follower.revision,
                self.is_leaving,
                now_seconds,
            )
        )
        summary = attrs.evolve(
            summary,
            has_surged=has_surged,
            store_era=self._follower.version.store_era,
        )
        self._own = summary
        self._roles.listener.note_told(summary, self._read_clock())
        self._links.broadcast(summary, self._roles.is_told)
        self.take_host(summary)

    def publish_fleet(self) -> None:
        """Send this hall's hosts the aggregate of the whole fleet."""
        own = self._roles.table.own
        now_seconds = self._read_clock()
        views = self._scheduler.peer_views(now_seconds)
        said = [
            without_limits(view.summary)
            if view.hall != own.hall
            and now_seconds - view.heard_at_seconds > LATE_HALL_SECONDS
            else view.summary
            for view in views
        ]
        summary = self._fleet_digest.merge(self._with_own(said), self._sequence)
        told = FleetSummary(
            own.incarnation,
            self._sync.with_own_versions(summary),
            [
                Beat(
                    view.name,
                    view.incarnation,
                    view.summary.sequence,
                    view.summary.is_leaving,
                )
                for view in views
                if view.hall == own.hall
            ],
            sorted({view.hall for view in views} | {own.hall}),
            *self._sync.own_ages(),
            self._scheduler.targets(),
            self._scheduler.named_weights(),
        )
        self._links.broadcast(told, self._roles.is_of_group)

    def is_hall_surge(self) -> bool:
        """Return whether demand in this hall is far above what was published."""
        return self._surges.has_grown(sum_limits(self._hall_said()))

    def publish_hall(self, *, has_surged: bool = False) -> None:
        """Send other halls the aggregate of this one."""
        own = self._roles.table.own
        summary = self._hall_digest.merge(self._hall_said(), self._sequence)
        self._surges.note_told(summary.limits)
        summary = attrs.evolve(summary, has_surged=has_surged)
        told = HallSummary(own.hall, own.name, own.incarnation, summary)
        self._links.broadcast(told, self._roles.is_of_another)

    def _hall_said(self) -> list[Summary]:
        views = self._scheduler.peer_views(self._read_clock())
        own_hall = self._roles.table.own.hall
        said = (view.summary for view in views if view.hall == own_hall)
        return self._with_own(said)

    def _with_own(self, summaries: Iterable[Summary]) -> list[Summary]:
        return [*summaries, self._own] if self._own is not None else list(summaries)
