"""Telling peers what this host, its hall and the whole fleet say.

In a small fleet each host tells every other a summary of its own. In a large one it
tells its hall's relays; the first of them adds up its hall for the other halls, and all
halls for its own.
"""

from collections.abc import Callable, Iterable

import attrs

from rampwick_policy import (
    ConfigurationFollower,
    HallNews,
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


class SummaryTeller:
    """Makes summaries and sends each to whom it is for."""

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
        self._hall_news = HallNews()
        self._fleet_news = HallNews()
        self._surges = SurgeGate()
        self._own: Summary | None = None
        self._sequence = 0
        #: Whether peers are told that this host takes no new requests.
        self.is_leaving = False

    def take_host(self, summary: Summary) -> None:
        """Take what a host of this hall says."""
        self._hall_news.take(summary)
        self._fleet_news.take(summary)

    def take_hall(self, summary: Summary) -> None:
        """Take what another hall says."""
        self._fleet_news.take(summary)

    def tell_own(self, *, has_surged: bool = False) -> None:
        """Send a summary now to every peer that is to hear this host.

        ``has_surged`` has relays pass it on at once.
        """
        self._sequence += 1
        summary = self._scheduler.look(
            lambda scheduler, now_seconds: scheduler.summary(
                self._sequence,
                self._follower.revision,
                self.is_leaving,
                now_seconds,
            )
        )
        summary = attrs.evolve(summary, has_surged=has_surged)
        self._own = summary
        self._roles.listener.note_told(summary, self._read_clock())
        self._links.broadcast(summary, self._roles.is_told)
        self.take_host(summary)

    def tell_fleet(self) -> None:
        """Tell this hall's hosts what the whole fleet says."""
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
        summary = self._fleet_news.merge(self._with_own(said), self._sequence)
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
        """Return whether this hall is asked for much more than others were told."""
        return self._surges.is_news(sum_limits(self._hall_said()))

    def tell_hall(self, *, has_surged: bool = False) -> None:
        """Tell other halls what this one says."""
        own = self._roles.table.own
        summary = self._hall_news.merge(self._hall_said(), self._sequence)
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
