"""Gossip between hosts.

In a small fleet every host sends a summary to every other host at each interval; the
summary is also the heartbeat. In a large fleet each host sends its summary to the
relays of its hall, and the first of these sends an aggregate of the whole fleet to its
hall.
"""

import socket
from collections.abc import Callable, Iterable
from typing import Any

import anyio

from rampwick_platform import move_on_after_aligned, sleep_aligned
from rampwick_policy import (
    CrashUpdateReceived,
    LeavingUpdateReceived,
    LivePeers,
    Member,
    PeerRemoved,
    PeersChanged,
    PeerSummaryReceived,
    RateLimitUpdateReceived,
)
from rampwick_schema import (
    BegunStreamsUpdate,
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
from .._unexpected_errors import keep_running
from ..control import ConfigurationTask, HostListTask, RolloutController
from ._cache_outbox import CacheOutbox
from ._directory import PeerDirectory
from ._forwarding import Forwarder
from ._freshness import FreshnessPoller
from ._links import Link, PeerLinks
from ._member_updates import MemberUpdates
from ._messages import (
    listed_members,
    rollout_events,
    rollout_update,
    to_member,
    to_record,
)
from ._paced_sender import PacedSender
from ._roles import Roles
from ._stream_records import StreamRecordSender
from ._summaries import SummaryPublisher
from ._sync import PeerSync
from ._tunnel_server import TunnelServer, TunnelsView
from ._tunnels import TunnelClient
from ._urgent_updates import UrgentUpdates

#: Number of hosts in a small fleet up to which summaries are sent at the configured
#: interval. Above it the interval grows with the square of the size, which bounds the
#: messages per second that each host receives; a longer interval is acceptable because
#: each host carries a smaller part of the load.
FULL_RATE_GROUP_COUNT = 9

#: Number of fleet summaries for each summary that is sent to other halls.
SUMMARIES_PER_HALL_SUMMARY = 2

#: Time between two broadcasts of the rollout update while nothing changes.
ROLLOUT_INTERVAL_SECONDS = 0.5

#: Time after the start during which seeds are dialled whatever else is known, and
#: members count that are known but not yet seen alive.
SEEDING_SECONDS = 2.0

#: Name under which the scheduler records a relay's aggregate of all other hosts.
FLEET = "fleet"

log = ComponentLogger("peers")


class GossipTask:
    """Sends updates to peers and processes the updates they send."""

    def __init__(
        self,
        own: Member,
        settings: Settings,
        scheduler: SchedulerTask,
        configuration: ConfigurationTask,
        metrics: Metrics,
        read_clock: Callable[[], float],
        hosts: HostListTask,
        rollout_controller: RolloutController,
    ) -> None:
        self._settings = settings.peers
        self._scheduler = scheduler
        self._configuration = configuration
        self._read_clock = read_clock
        self._hosts = hosts
        self._rollout_controller = rollout_controller
        #: Peer discovery through the store, for hosts that receive from no peer.
        self.directory: PeerDirectory | None = None
        self.roles = Roles(own, scheduler, read_clock)
        self.table = self.roles.table
        self._relay_listener = self.roles.relay_listener
        self._links = PeerLinks(
            own,
            settings.peers,
            metrics,
            self._list_wanted,
            self._list_seeds,
            read_clock,
        )
        self._member_updates = MemberUpdates(self._links)
        self._sender = PacedSender(
            self._links, own.link_megabits_per_second, read_clock
        )
        self._links.on_unpaced = self._sender.note_unpaced
        self._forwarder = Forwarder(self._links, self.roles, read_clock)
        self._links.on_message = self._handle_message
        self._links.on_opened = self._on_link_opened
        self._links.on_unreachable = self._on_unreachable
        self._links.on_checked = scheduler.note_check
        self._sync = PeerSync(
            configuration.follower, configuration, hosts, scheduler, read_clock
        )
        self.freshness = FreshnessPoller(
            self.roles, self._links, self._sync, read_clock
        )
        self.summaries = SummaryPublisher(
            scheduler,
            configuration.follower,
            self._links,
            self.roles,
            self._sync,
            self._sender,
            read_clock,
        )
        self.urgent_updates = UrgentUpdates(
            (scheduler.rates, scheduler.shutdown_announcements),
            self.summaries,
            self._links,
            self.roles,
            read_clock,
            self._make_record_sender(),
            scheduler.quarantine,
        )
        self.tunnels = TunnelClient(
            own,
            settings.peers,
            metrics,
            self.roles.tunnel_peers,
            scheduler.upstream_hall,
            read_clock,
        )
        self.tunnel_server = TunnelServer(
            settings.peers.max_tunnels_count,
            lambda address: scheduler.run_query(
                lambda found, now_seconds: found.pool.tunnel_refusal(address)
            ),
            read_clock,
        )
        self._links.serve_tunnel = self.tunnel_server.serve
        #: Message counters by class. Each is looked up only once.
        self._received = _Counters(metrics)
        self.cache_outbox = CacheOutbox(
            self.table,
            self._links,
            scheduler,
            lambda: self.roles.live_names,
            self._sender,
        )
        self.cache_outbox.is_acting_relay = self._forwarder.is_acting_relay
        #: Whether the fleet was large, and whether this host was a relay candidate,
        #: when the role was last checked.
        self._last_role = (False, False)
        self._last_live_peers = PeersChanged(LivePeers(), is_leaving=False)
        self._started_seconds = read_clock()
        #: Seed addresses from the settings.
        self.seeds = frozenset(settings.peers.seeds)

    async def run(self, listener: socket.socket) -> None:
        """Connect, publish and receive until cancelled."""
        if not self._settings.secret:
            return
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._links.run, listener)
            for task, run in (
                ("paced messages", self._sender.run),
                ("member updates", self._member_updates.run),
                ("cache updates", self.cache_outbox.run),
                ("poll of a reader", self.freshness.run),
                ("rollout updates", self._broadcast_rollout),
                ("urgent updates", self.urgent_updates.run),
                ("summaries", self._publish_summaries),
            ):
                tasks.start_soon(keep_running, task, run)

    def _make_record_sender(self) -> StreamRecordSender | None:
        streams = self._scheduler.begun_streams
        if streams is None:
            return None
        return StreamRecordSender(streams, self._sender, self.roles)

    def describe_tunnels(self) -> TunnelsView:
        """Return the tunnels of this host, for operators."""
        return TunnelsView(
            opened=self.tunnels.peers.open_counts,
            served_count=self.tunnel_server.open_count,
            results=dict(self.tunnel_server.results),
        )

    # Members and roles.

    def reconcile_links(self) -> None:
        """Dial newly discovered peers now."""
        self._links.schedule_reconcile()

    def _list_wanted(self) -> list[Member]:
        self.table.merge(listed_members(self._hosts.host_list))
        if self.directory is not None:
            self.table.merge(self.directory.members())
        return self.table.wanted_links(self._read_clock())

    def _list_seeds(self) -> Iterable[str]:
        if self._is_starting or self.roles.has_no_live_peers:
            return self.seeds
        return ()

    @property
    def _is_starting(self) -> bool:
        return self._read_clock() - self._started_seconds < SEEDING_SECONDS

    def _on_unreachable(self, name: str) -> None:
        self.table.note_unreachable(name, self._read_clock())

    def _on_link_opened(self, link: Link) -> None:
        known = [to_record(member) for member in self.table]
        link.put(Members(known))
        self.cache_outbox.send_initial_state(link)
        self.urgent_updates.send_initial_states(link)
        if self._rollout_controller.is_holder:
            # Without this, a newly started host sent prompts to a runner that was about
            # to load, until the next rollout broadcast half a second later.
            link.put(self._rollout_update())
        self._add_members([link.peer], link)

    def _add_members(self, members: Iterable[Member], link: Link) -> None:
        added = self.table.merge(members)
        if added:
            if self._is_starting:
                # Later only members seen alive count: some known members have left.
                self._scheduler.note_members(len(list(self.table)))
            self._links.schedule_reconcile()
            self._member_updates.add(added, link.peer.name)

    def _update_roles(self) -> None:
        """Replace an unresponsive relay; drop peer views when the own role changes."""
        now_seconds = self._read_clock()
        if self.table.is_large:
            relays = self.table.relays(self.table.own.hall, now_seconds)
            if self._relay_listener.is_relay_unresponsive(
                relays, now_seconds, self._links.is_doubtful
            ):
                log.problem("relay unresponsive", peer=relays[0].name)
                self.table.note_unreachable(relays[0].name, now_seconds)
                self._links.schedule_reconcile()
        role = (self.table.is_large, self.roles.is_relay_candidate)
        if role == self._last_role:
            return
        self._last_role = role
        self._links.schedule_reconcile()
        log.info("role changed", is_large=role[0], is_relay_candidate=role[1])
        # Drop the views of all peers: an aggregate received in the former role would be
        # counted in addition to the hosts that it covers.
        for view in self._scheduler.peer_views(now_seconds):
            self._scheduler.post(PeerRemoved(view.name))

    def _post_live_peers(self) -> None:
        """Notify the scheduler of the live peers.

        They determine which hosts send to which upstream.
        """
        event = PeersChanged(self.roles.live_peers(), self.summaries.is_leaving)
        if event != self._last_live_peers:
            self._last_live_peers = event
            self._scheduler.post(event)

    # Incoming messages.

    def _handle_message(self, link: Link, message: Any) -> None:
        self._received[type(message)].inc()
        if isinstance(message, Summary):
            self._handle_summary(link, message)
        elif isinstance(message, FleetSummary):
            self._handle_fleet_summary(link, message)
        elif isinstance(message, HallSummary):
            self._handle_hall_summary(link, message)
        elif isinstance(message, RolloutUpdate):
            self._handle_rollout_update(link, message)
        elif isinstance(message, CrashUpdate):
            self._scheduler.post(CrashUpdateReceived(message))
            self._forwarder.forward(link, message)
        elif isinstance(message, RateLimitUpdate):
            self._scheduler.post(RateLimitUpdateReceived(message))
            self._forwarder.forward(link, message)
        elif isinstance(message, LeavingUpdate):
            self._scheduler.post(LeavingUpdateReceived(message))
            self._forwarder.forward(link, message)
        elif isinstance(message, BegunStreamsUpdate):
            self._scheduler.receive_begun_streams(
                message,
                must_forward=self._forwarder.must_forward(link),
                is_from_group=self.table.is_in_group(link.peer.hall),
            )
        elif isinstance(message, CacheEventUpdate):
            self.cache_outbox.receive(link, message)
        elif isinstance(message, Members):
            members = [to_member(record) for record in message.members]
            self._add_members(members, link)
        elif not self._sync.handle(link, message):
            name = type(message).__name__
            raise PeerError(
                f"unexpected {name}", step="talk to peer", peer=link.peer.name
            )

    def _handle_summary(self, link: Link, summary: Summary) -> None:
        peer = link.peer
        if not self.table.is_in_group(peer.hall):
            # Covered by the summary of its relay.
            return
        self._relay_listener.note_message(peer.name, self._read_clock())
        self._sync.request_missing(link, summary)
        if self.table.is_large and not self.roles.is_relay_candidate:
            # Covered by the relay's fleet summary.
            return
        self._scheduler.post(
            PeerSummaryReceived(peer.name, peer.hall, peer.incarnation, summary)
        )
        self.summaries.add_host(summary)
        if summary.has_surged and self.roles.is_relay():
            self.urgent_updates.note_burst()

    def _handle_fleet_summary(self, link: Link, update: FleetSummary) -> None:
        peer, own = link.peer, self.table.own
        if not self.table.is_in_group(peer.hall):
            return
        now_seconds = self._read_clock()
        relays = self.table.relays(own.hall, now_seconds)
        report = self._relay_listener.receive(peer.name, update, relays, now_seconds)
        if report is None:
            return
        self._sync.request_missing(link, update.summary)
        if report.own_sent_at_seconds is not None:
            self._sync.apply_ages(update, report.own_sent_at_seconds)
        if not self.roles.is_relay_candidate:
            # The relay's aggregate is as old as the newest summary of this host that it
            # includes.
            age_seconds = 0.0
            if report.own_sent_at_seconds is not None:
                age_seconds = now_seconds - report.own_sent_at_seconds
            self._scheduler.post(
                PeerSummaryReceived(
                    FLEET, "", own.incarnation, report.summary, age_seconds
                )
            )

    def _handle_hall_summary(self, link: Link, update: HallSummary) -> None:
        if self.table.is_in_group(update.hall) or not self.roles.is_relay_candidate:
            return
        name = f"hall {update.hall}"
        self._scheduler.post(
            PeerSummaryReceived(
                name,
                update.hall,
                update.incarnation,
                update.summary,
                # Hosts report to their relay at any time within the preceding interval;
                # use the mean age.
                self._settings.gossip_interval_seconds / 2.0,
            )
        )
        self._sync.request_missing(link, update.summary)
        self.summaries.add_hall(update.summary)
        if update.summary.has_surged and self.roles.is_relay():
            self.urgent_updates.note_remote_burst()

    def _handle_rollout_update(self, link: Link, update: RolloutUpdate) -> None:
        if update.holder == self.table.own.name:
            return
        now_seconds = self._read_clock()
        self._rollout_controller.lease.observe_announcement(
            update.holder, update.lease_version, now_seconds
        )
        for event in rollout_events(update, now_seconds):
            self._scheduler.post(event)
        self._forwarder.forward_rollout(link, update)

    # Outgoing messages.

    @property
    def _interval_seconds(self) -> float:
        if self.table.is_large:
            return self._settings.gossip_interval_seconds
        factor = max(1.0, len(self.table.group()) / FULL_RATE_GROUP_COUNT)
        return self._settings.gossip_interval_seconds * factor**2

    async def _publish_summaries(self) -> None:
        count = 0
        while True:
            count += 1
            self._update_roles()
            self._post_live_peers()
            self.summaries.publish_own()
            if self.roles.is_relay():
                self.summaries.publish_fleet()
                is_due = count % SUMMARIES_PER_HALL_SUMMARY == 0
                if is_due or self.summaries.is_hall_behind:
                    self.summaries.publish_hall()
            changed = self._configuration.changed
            with move_on_after_aligned(self._interval_seconds):
                await changed.wait()

    async def _broadcast_rollout(self) -> None:
        """Broadcast the rollout update periodically while this host holds the lease."""
        while True:
            if self._rollout_controller.is_holder:
                self.broadcast_rollout()
            await sleep_aligned(ROLLOUT_INTERVAL_SECONDS)

    def broadcast_rollout(self) -> None:
        """Broadcast loads, weights and lease to all hosts now."""
        update = self._rollout_update()
        is_relay = self.roles.is_relay()
        self._links.broadcast(
            update, lambda peer: is_relay or self.roles.is_recipient(peer)
        )

    def _rollout_update(self) -> RolloutUpdate:
        return rollout_update(
            self.table.own.name,
            self._rollout_controller,
            self._scheduler.targets(),
            self._scheduler.named_weights(),
            self._read_clock(),
        )


class _Counters(dict[type, Any]):
    """Counters of messages from peers by message class."""

    def __init__(self, metrics: Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def __missing__(self, cls: type) -> Any:
        counter = self[cls] = self._metrics.control_kinds.labels(cls.__name__)
        return counter
