"""What hosts tell each other, and when.

In a small fleet every host tells every other a summary at each interval; it is the
heartbeat, too. In a large one each tells its hall's relays, and the first of these
tells its hall what the whole fleet says.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import anyio

from rampwick_platform import move_on_at_grid, sleep_on_grid
from rampwick_policy import (
    CrashUpdateReceived,
    LeavingUpdateReceived,
    Member,
    Neighbours,
    NeighboursSeen,
    PeerGone,
    PeerSummaryReceived,
    RateLimitUpdateReceived,
)
from rampwick_schema import (
    CacheEventUpdate,
    CrashUpdate,
    FleetSummary,
    HallSummary,
    LeavingUpdate,
    Members,
    RateLimitUpdate,
    RolloutUpdate,
    Settings,
    Summary,
)

from .._errors import PeerError
from .._logs import ComponentLogger
from .._metrics import Metrics
from .._scheduler_task import SchedulerTask
from ..control import ConfigurationTask, HostListTask, StewardTask
from ._ages import AgeKeeper
from ._cache_outbox import CacheOutbox
from ._directory import PeerDirectory
from ._links import Link, PeerLinks
from ._member_updates import MemberUpdates
from ._messages import (
    listed_members,
    rollout_update,
    steward_events,
    to_member,
    to_record,
)
from ._roles import Roles
from ._summaries import SummaryPublisher
from ._sync import PeerSync
from ._urgent_updates import UrgentUpdates

#: Hosts of a small fleet up to which summaries go at the interval of the settings. In
#: a larger one the interval grows with the square of the size: each host hears fewer
#: messages a second, and each tells of a smaller part of the load.
FULL_RATE_GROUP_COUNT = 9

#: Tellings of a hall's sum to its own hosts for each one to the other halls.
TELLINGS_PER_HALL_SUM = 2

#: Time between two broadcasts of the leader's update where nothing changes.
STEWARD_INTERVAL_SECONDS = 0.5

#: Time after the start for which seeds are dialled whatever else is known, and hosts
#: count that are known and not heard yet.
SEEDING_SECONDS = 2.0

#: Name under which the scheduler knows what a relay tells of all other hosts.
FLEET = "fleet"

log = ComponentLogger("peers")


class GossipTask:
    """Sends peers what this host knows, and takes what they send."""

    def __init__(
        self,
        own: Member,
        settings: Settings,
        scheduler: SchedulerTask,
        configuration: ConfigurationTask,
        metrics: Metrics,
        read_clock: Callable[[], float],
        hosts: HostListTask,
        steward: StewardTask,
    ) -> None:
        self._settings = settings.peers
        self._scheduler = scheduler
        self._configuration = configuration
        self._read_clock = read_clock
        self._hosts = hosts
        self._steward = steward
        #: Records in the store by which lonely hosts find others.
        self.directory: PeerDirectory | None = None
        self.roles = Roles(own, scheduler, read_clock)
        self.table = self.roles.table
        self._listener = self.roles.listener
        self._links = PeerLinks(
            own,
            settings.peers,
            metrics,
            self._list_wanted,
            self._list_seeds,
            read_clock,
        )
        self._member_updates = MemberUpdates(self._links)
        self._links.take = self._take
        self._links.note_opened = self._note_opened
        self._links.note_unreachable = self._note_unreachable
        self._sync = PeerSync(
            configuration.follower, configuration, hosts, scheduler, read_clock
        )
        self.ages = AgeKeeper(self.roles, self._links, self._sync, read_clock)
        self.summaries = SummaryPublisher(
            scheduler,
            configuration.follower,
            self._links,
            self.roles,
            self._sync,
            read_clock,
        )
        self.early = UrgentUpdates(
            (scheduler.suspects, scheduler.rates, scheduler.departures),
            self.summaries,
            self._links,
            self.roles,
            read_clock,
        )
        #: Counters of messages by their class, each looked up once.
        self._received = _Counters(metrics)
        self.cache_outbox = CacheOutbox(
            self.table, self._links, scheduler, lambda: self.roles.live_names
        )
        #: Whether the fleet is large, and whether this host is one of its relays.
        self._standing = (False, False)
        self._seen = NeighboursSeen(Neighbours(), is_leaving=False)
        self._began_seconds = read_clock()
        #: Addresses known from the settings.
        self.seeds = frozenset(settings.peers.seeds)

    async def run(self, listener: socket.socket) -> None:
        """Link, tell and listen until cancelled."""
        if not self._settings.secret:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, listener)
            tasks.start_soon(self._member_updates.run)
            tasks.start_soon(self.cache_outbox.run)
            tasks.start_soon(self.ages.run)
            tasks.start_soon(self._broadcast_rollout)
            tasks.start_soon(self.early.run)
            await self._tell_again()

    # Members and roles.

    def look_for_peers(self) -> None:
        """Dial at once whoever has become known."""
        self._links.look_again()

    def _list_wanted(self) -> list[Member]:
        self.table.learn(listed_members(self._hosts.host_list))
        if self.directory is not None:
            self.table.learn(self.directory.members())
        return self.table.wanted_links(self._read_clock())

    def _list_seeds(self) -> Iterable[str]:
        if self._is_starting or self.roles.hears_nobody:
            return self.seeds
        return ()

    @property
    def _is_starting(self) -> bool:
        return self._read_clock() - self._began_seconds < SEEDING_SECONDS

    def _note_unreachable(self, name: str) -> None:
        self.table.note_unreachable(name, self._read_clock())

    def _note_opened(self, link: Link) -> None:
        known = [to_record(member) for member in self.table]
        link.put(Members(known))
        self.cache_outbox.greet(link)
        for message in self.early.initial_states(self._read_clock()):
            link.put(message)
        if self._steward.is_holder:
            # A host that has just started sent prompts to a runner that was about to
            # load, until the next telling half a second later.
            link.put(self._rollout_update())
        self._learn([link.peer], link)

    def _learn(self, members: Iterable[Member], link: Link) -> None:
        learned = self.table.learn(members)
        if learned:
            if self._is_starting:
                # Later those count that were heard: some that are known have left.
                self._scheduler.note_members(len(list(self.table)))
            self._links.look_again()
            self._member_updates.add(learned, link.peer.name)

    def _look_at_roles(self) -> None:
        """Pass over a relay that fell silent; begin anew where the own role changes."""
        now_seconds = self._read_clock()
        if self.table.is_large:
            relays = self.table.relays(self.table.own.hall, now_seconds)
            if self._listener.is_silent(relays, now_seconds):
                log.problem("relay is silent", peer=relays[0].name)
                self.table.note_unreachable(relays[0].name, now_seconds)
                self._links.look_again()
        standing = (self.table.is_large, self.roles.is_relay_candidate)
        if standing == self._standing:
            return
        self._standing = standing
        self._links.look_again()
        log.info("role changed", is_large=standing[0], is_relay_candidate=standing[1])
        # Whoever spoke for others before would be counted beside them.
        for view in self._scheduler.peer_views(now_seconds):
            self._scheduler.post(PeerGone(view.name))

    def _note_neighbours(self) -> None:
        """Tell the scheduler whom this host hears, by which senders are chosen."""
        seen = NeighboursSeen(self.roles.neighbours(), self.summaries.is_leaving)
        if seen != self._seen:
            self._seen = seen
            self._scheduler.post(seen)

    # What comes in.

    def _take(self, link: Link, message: Any) -> None:
        self._received[type(message)].inc()
        if isinstance(message, Summary):
            self._take_summary(link, message)
        elif isinstance(message, FleetSummary):
            self._take_fleet(link, message)
        elif isinstance(message, HallSummary):
            self._take_hall(link, message)
        elif isinstance(message, RolloutUpdate):
            self._take_rollout_update(link, message)
        elif isinstance(message, CrashUpdate):
            self._scheduler.post(CrashUpdateReceived(message))
            self._relay(link, message)
        elif isinstance(message, RateLimitUpdate):
            self._scheduler.post(RateLimitUpdateReceived(message))
            self._relay(link, message)
        elif isinstance(message, LeavingUpdate):
            self._scheduler.post(LeavingUpdateReceived(message))
            self._relay(link, message)
        elif isinstance(message, CacheEventUpdate):
            self.cache_outbox.take(link, message)
        elif isinstance(message, Members):
            members = [to_member(record) for record in message.members]
            self._learn(members, link)
        elif not self._sync.take(link, message):
            name = type(message).__name__
            raise PeerError(f"{name} at this point", step="talk", peer=link.peer.name)

    def _take_summary(self, link: Link, summary: Summary) -> None:
        peer = link.peer
        if not self.table.is_in_group(peer.hall):
            # Its relay speaks for it.
            return
        self._listener.note_word(peer.name, self._read_clock())
        self._sync.compare(link, summary)
        if self.table.is_large and not self.roles.is_relay_candidate:
            # The relay speaks for it, too.
            return
        self._scheduler.post(
            PeerSummaryReceived(peer.name, peer.hall, peer.incarnation, summary)
        )
        self.summaries.take_host(summary)
        if summary.has_surged and self.roles.is_relay():
            self.early.note_burst()

    def _take_fleet(self, link: Link, update: FleetSummary) -> None:
        peer, own = link.peer, self.table.own
        if not self.table.is_in_group(peer.hall):
            return
        now_seconds = self._read_clock()
        relays = self.table.relays(own.hall, now_seconds)
        word = self._listener.take(peer.name, update, relays, now_seconds)
        if word is None:
            return
        self._sync.compare(link, update.summary)
        if word.asked_at_seconds is not None:
            self._sync.take_ages(update, word.asked_at_seconds)
        if not self.roles.is_relay_candidate:
            # What the relay added up is as old as this host's own part of it.
            age_seconds = 0.0
            if word.asked_at_seconds is not None:
                age_seconds = now_seconds - word.asked_at_seconds
            self._scheduler.post(
                PeerSummaryReceived(
                    FLEET, "", own.incarnation, word.summary, age_seconds
                )
            )

    def _take_hall(self, link: Link, update: HallSummary) -> None:
        if self.table.is_in_group(update.hall) or not self.roles.is_relay_candidate:
            return
        name = f"hall {update.hall}"
        self._scheduler.post(
            PeerSummaryReceived(
                name,
                update.hall,
                update.incarnation,
                update.summary,
                # Its hosts told their relay at any time within the interval before.
                self._settings.gossip_interval_seconds / 2.0,
            )
        )
        self._sync.compare(link, update.summary)
        self.summaries.take_hall(update.summary)
        if update.summary.has_surged and self.roles.is_relay():
            self.early.note_remote_burst()

    def _take_rollout_update(self, link: Link, update: RolloutUpdate) -> None:
        if update.holder == self.table.own.name:
            return
        now_seconds = self._read_clock()
        self._steward.lease.note_heard(update.holder, update.lease_version, now_seconds)
        for event in steward_events(update, now_seconds):
            self._scheduler.post(event)
        self._relay(link, update)

    def _relay(self, link: Link, message: Any) -> None:
        """Pass a message on to those who did not get it, if that is this host's."""
        if not self.roles.is_relay():
            return
        is_own = self.table.is_in_group(link.peer.hall)
        self._links.broadcast(
            message,
            lambda peer: (
                peer.name != link.peer.name and (is_own or self.roles.is_of_group(peer))
            ),
        )

    # What goes out.

    @property
    def _interval_seconds(self) -> float:
        if self.table.is_large:
            return self._settings.gossip_interval_seconds
        factor = max(1.0, len(self.table.group()) / FULL_RATE_GROUP_COUNT)
        return self._settings.gossip_interval_seconds * factor**2

    async def _tell_again(self) -> None:
        count = 0
        while True:
            count += 1
            self._look_at_roles()
            self._note_neighbours()
            self.summaries.publish_own()
            if self.roles.is_relay():
                self.summaries.publish_fleet()
                if count % TELLINGS_PER_HALL_SUM == 0:
                    self.summaries.publish_hall()
            changed = self._configuration.changed
            with move_on_at_grid(self._interval_seconds):
                await changed.wait()

    async def _broadcast_rollout(self) -> None:
        """Repeat what the steward has to say, while this host is it."""
        while True:
            if self._steward.is_holder:
                self.broadcast_rollout()
            await sleep_on_grid(STEWARD_INTERVAL_SECONDS)

    def broadcast_rollout(self) -> None:
        """Tell all hosts of loads, weights and lease now."""
        update = self._rollout_update()
        is_relay = self.roles.is_relay()
        self._links.broadcast(update, lambda peer: is_relay or self.roles.is_told(peer))

    def _rollout_update(self) -> RolloutUpdate:
        return rollout_update(
            self.table.own.name,
            self._steward,
            self._scheduler.targets(),
            self._scheduler.named_weights(),
            self._read_clock(),
        )


class _Counters(dict[type, Any]):
    """Counters of messages from other hosts by the class of the message."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def __missing__(self, cls: type) -> Any:
        counter = self[cls] = self._metrics.control_kinds.labels(cls.__name__)
        return counter
