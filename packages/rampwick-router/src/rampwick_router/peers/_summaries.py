"""Publication of summaries of this host, its hall and the whole fleet.

In a small fleet each host sends its own summary to every other host. In a large fleet
it sends the summary to the relays of its hall. The first of these relays sends an
aggregate of its hall to the other halls, and an aggregate of the whole fleet to its own
hall.
"""

from collections.abc import Callable, Iterable

import attrs

from rampwick_policy import (
    MAX_PLACED,
    BurstDetector,
    ConfigurationFollower,
    MessageKind,
    SummaryAggregator,
    sum_limits,
    without_limits,
)
from rampwick_schema import Beat, FleetSummary, HallSummary, PlacedPrefix, Summary

from .._scheduler_task import SchedulerTask
from ._links import PeerLinks
from ._paced_sender import PacedSender
from ._roles import Roles
from ._sync import PeerSync

#: Maximum number of placements in an aggregate while the link is too slow for one at
#: each interval. They would be most of its size.
MAX_PLACED_WHILE_BEHIND = 64

#: Time without a summary after which another hall no longer counts as alive or as using
#: shared limits: about two and a half publication intervals of its relay. Hosts that
#: are cut off must fall back to their own share of a limit before both sides of a
#: partition use the same capacity.
HALL_TIMEOUT_SECONDS = 1.25


class SummaryPublisher:
    """Builds summaries and sends each to its recipients."""

    def __init__(
        self,
        scheduler: SchedulerTask,
        follower: ConfigurationFollower,
        links: PeerLinks,
        roles: Roles,
        sync: PeerSync,
        sender: PacedSender,
        read_clock: Callable[[], float],
    ) -> None:
        self._scheduler = scheduler
        self._follower = follower
        self._links = links
        self._roles = roles
        self._sync = sync
        self._sender = sender
        self._read_clock = read_clock
        #: Aggregates of this hall, for other halls, and of the fleet, for this hall.
        self._hall_aggregator = SummaryAggregator()
        self._fleet_aggregator = SummaryAggregator()
        #: Whether an aggregate was left out because the last one was still being sent.
        self._is_fleet_behind = False
        self.is_hall_behind = False
        #: Placements in the last aggregate of each kind.
        self._fleet_placed: list[PlacedPrefix] = []
        self._hall_placed: list[PlacedPrefix] = []
        self._burst_detector = BurstDetector()
        self._own: Summary | None = None
        self._sequence = 0
        #: Whether summaries announce that this host accepts no new requests.
        self.is_leaving = False

    def add_host(self, summary: Summary) -> None:
        """Add the summary of a host of this hall."""
        self._hall_aggregator.add(summary)
        self._fleet_aggregator.add(summary)

    def add_hall(self, summary: Summary) -> None:
        """Add the summary of another hall."""
        self._fleet_aggregator.add(summary)

    def publish_own(self, *, has_surged: bool = False) -> None:
        """Send this host's summary to every peer that needs it.

        ``has_surged`` makes relays forward it immediately.
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
        self._roles.relay_listener.note_published(summary, self._read_clock())
        self._links.broadcast(summary, self._roles.is_recipient)
        self.add_host(summary)

    def publish_fleet(self, *, has_surged: bool = False) -> None:
        """Send the hosts of this hall the aggregate of the whole fleet.

        While the last one is still being sent, a new one replaces it only after a
        surge. Otherwise the hosts get a heartbeat.
        """
        if not self._sender.is_sent(MessageKind.FLEET_SUMMARY):
            self._is_fleet_behind = True
            if not has_surged:
                self._send_heartbeats()
                return
            self._fleet_aggregator.restore(self._fleet_placed)
        own = self._roles.table.own
        now_seconds = self._read_clock()
        views = self._scheduler.peer_views(now_seconds)
        summaries = [
            without_limits(view.summary)
            if view.hall != own.hall
            and now_seconds - view.last_seen_seconds > HALL_TIMEOUT_SECONDS
            else view.summary
            for view in views
        ]
        max_placed = MAX_PLACED_WHILE_BEHIND if self._is_fleet_behind else MAX_PLACED
        self._is_fleet_behind = False
        summary = self._fleet_aggregator.merge(
            self._with_own(summaries), self._sequence, max_placed
        )
        summary = self._scheduler.with_relayed_limits(summary)
        self._fleet_placed = summary.placed
        message = FleetSummary(
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
        self._sender.broadcast_state(
            MessageKind.FLEET_SUMMARY, message, self._roles.is_in_own_group
        )

    def _send_heartbeats(self) -> None:
        """Tell the hosts of this hall that their relay is alive."""
        if self._own is None:
            return
        heartbeat = attrs.evolve(
            self._own,
            workspaces=[],
            upstreams=[],
            placed=[],
            down=[],
            waiting=[],
            limits=[],
            prefill_demand=[],
            queued=[],
        )
        # Other relays of the hall need the rows and get them from publish_own().
        self._links.broadcast(
            heartbeat,
            lambda peer: (
                self._roles.is_in_own_group(peer) and not self._roles.is_recipient(peer)
            ),
        )

    def is_hall_burst(self) -> bool:
        """Return whether demand in this hall is far above the last published value."""
        return self._burst_detector.has_grown(sum_limits(self._hall_summaries()))

    def publish_hall(self, *, has_surged: bool = False) -> None:
        """Send other halls the aggregate of this hall.

        While the last one is still being sent, a new one replaces it only after a
        surge.
        """
        if not self._sender.is_sent(MessageKind.HALL_SUMMARY):
            self.is_hall_behind = True
            if not has_surged:
                return
            self._hall_aggregator.restore(self._hall_placed)
        max_placed = MAX_PLACED_WHILE_BEHIND if self.is_hall_behind else MAX_PLACED
        self.is_hall_behind = False
        own = self._roles.table.own
        summary = self._hall_aggregator.merge(
            self._hall_summaries(), self._sequence, max_placed
        )
        self._hall_placed = summary.placed
        self._burst_detector.note_published(summary.limits)
        summary = self._scheduler.with_relayed_limits(summary)
        summary = attrs.evolve(summary, has_surged=has_surged)
        message = HallSummary(own.hall, own.name, own.incarnation, summary)
        self._sender.broadcast_state(
            MessageKind.HALL_SUMMARY, message, self._roles.is_in_other_group
        )

    def _hall_summaries(self) -> list[Summary]:
        views = self._scheduler.peer_views(self._read_clock())
        own_hall = self._roles.table.own.hall
        summaries = (view.summary for view in views if view.hall == own_hall)
        return self._with_own(summaries)

    def _with_own(self, summaries: Iterable[Summary]) -> list[Summary]:
        return [*summaries, self._own] if self._own is not None else list(summaries)
