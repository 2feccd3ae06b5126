"""The daemon's parts, put together: who hands what to whom."""

import random
import time
from collections.abc import Callable

import attrs

from rampwick_platform import ObjectApi, TreeStore, read_steady_clock
from rampwick_policy import ConfigurationFollower, Member, SaltBook, Scheduler
from rampwick_schema import ReprMixin, Settings

from ._admin import AdminApp
from ._integration import Integration
from ._life import Life
from ._metrics import Metrics
from ._own_dialect import OWN_DIALECTS
from ._scheduler_task import SchedulerTask
from .control import (
    ConfigurationTask,
    HostListTask,
    PolledHostSource,
    PolledTargetSource,
    ReaderRole,
    RolloutController,
    TreeStoreSource,
    WatchedHostSource,
    WatchedTargetSource,
    WatchedTreeSource,
)
from .entry import ClaimTask, EntryApp, Parts, RequestIds, StreamTokens
from .peers import GossipTask, PeerDirectory
from .upstream import (
    CacheReaderTask,
    CancelTask,
    ChannelPool,
    DialectControl,
    ProbeTask,
    StallDetector,
    UpstreamClient,
    UpstreamControl,
)


@attrs.frozen(repr=False)
class Clocks(ReprMixin):
    """Where the daemon reads time, in seconds."""

    monotonic: Callable[[], float] = read_steady_clock
    wall: Callable[[], float] = time.time


class Assembly:
    """All parts of one daemon; none of them runs yet."""

    def __init__(
        self,
        settings: Settings,
        api: ObjectApi | None,
        upstreams: UpstreamClient,
        channels: ChannelPool,
        peer_address: str,
        clocks: Clocks,
        integration: Integration | None,
    ) -> None:
        draw = random.Random()
        self.settings = settings
        self.api = api
        self.clocks = clocks
        self.channels = channels
        self._metrics = Metrics()
        self.life = Life()
        self.follower = ConfigurationFollower()
        incarnation = time.time_ns()
        host = settings.host
        own = Member(
            host.name,
            host.hall,
            peer_address,
            incarnation,
            host.link_megabits_per_second,
        )
        read_clock = clocks.monotonic
        self.scheduler = SchedulerTask(Scheduler(settings), read_clock)
        dialects = integration.dialects if integration else OWN_DIALECTS
        control: UpstreamControl = upstreams
        if integration is not None:
            control = DialectControl(
                channels,
                dialects.control,
                self._find_health_path,
                self.scheduler,
            )
        self.steward = RolloutController(
            api, settings, self.scheduler, control, read_clock, draw
        )
        self.hosts = HostListTask(self.scheduler)
        self.configuration = ConfigurationTask(
            self.follower, self.scheduler, read_clock
        )
        self.gossip = GossipTask(
            own,
            settings,
            self.scheduler,
            self.configuration,
            self._metrics,
            read_clock,
            self.hosts,
            self.steward,
        )
        self.steward.notify_peers = self.gossip.broadcast_rollout
        self.scheduler.note_long_prompt = self.gossip.urgent_updates.note_load
        self.scheduler.note_burst = self.gossip.urgent_updates.note_burst
        self._connect(api, draw, integration)
        self.claims = ClaimTask(api, settings.claims, read_clock, clocks.wall)
        self.probes = ProbeTask(control, self.scheduler)
        self.cancels = CancelTask(control, self.scheduler)
        salts = SaltBook(settings.peers.secret)
        self.cache_reader = CacheReaderTask(
            own,
            self.scheduler,
            channels,
            dialects.cache,
            salts,
            self.gossip.cache_outbox.publish,
            self.gossip.roles.cache_reading_peers,
        )
        self.gossip.cache_outbox.list_read_caches = self.cache_reader.read_names
        self.silences = StallDetector(read_clock)
        self.parts = Parts(
            settings=settings,
            scheduler=self.scheduler,
            follower=self.follower,
            upstreams=upstreams,
            claims=self.claims,
            metrics=self._metrics,
            tokens=StreamTokens(settings.peers.secret),
            ids=RequestIds(host.name, incarnation),
            life=self.life,
            read_clock=read_clock,
            configuration=self.configuration,
            channels=channels,
            dialects=dialects,
            salts=salts,
            silences=self.silences,
        )
        self.entry = EntryApp(self.parts, serves_routes=integration is not None)
        self.admin = AdminApp(
            self.parts,
            self.life,
            self.configuration,
            self.hosts,
            self.steward,
            lambda: getattr(api, "calls", {}),
            lambda: api.era if api else 0,
            self.gossip.roles.describe,
            needs_configuration=integration is not None,
        )

    def _connect(
        self,
        api: ObjectApi | None,
        draw: random.Random,
        integration: Integration | None,
    ) -> None:
        """Give the tasks that follow the platform their sources."""
        self.targets: PolledTargetSource | WatchedTargetSource | None = None
        self.directory: PeerDirectory | None = None
        if api is None:
            return
        settings, scheduler, steward = self.settings, self.scheduler, self.steward
        read_clock = self.clocks.monotonic
        if integration is None:
            self.configuration.source = TreeStoreSource(
                TreeStore(api), settings, self.gossip.roles.neighbours, read_clock
            )
            interval_seconds = settings.platform.host_list_interval_seconds
            self.hosts.source = PolledHostSource(api, interval_seconds)
            self.targets = PolledTargetSource(
                api, scheduler, lambda: steward.is_holder, steward.wake, read_clock
            )
            return
        role = ReaderRole(
            self.gossip.roles.table,
            lambda: self.gossip.roles.live_names,
            lambda: self.gossip.roles.serving_names,
            lambda: self.gossip.roles.has_no_live_peers,
            lambda: self.gossip.freshness.answered_at_seconds,
            self.configuration,
            self.hosts,
            lambda: steward.is_holder,
            read_clock,
        )
        reader = integration.reader
        self.configuration.source = WatchedTreeSource(
            api, reader, settings, role.must_read_configuration, read_clock, draw
        )
        self.configuration.query_peer = self.gossip.freshness.query_reader
        self.hosts.source = WatchedHostSource(
            api, reader, role.must_read_hosts, read_clock, draw
        )
        self.targets = WatchedTargetSource(
            api,
            reader,
            scheduler,
            steward.wake,
            role.must_read_targets,
            read_clock,
            draw,
        )
        self.directory = PeerDirectory(
            api, self.gossip.roles.table.own, role.is_disconnected, role.is_reader, draw
        )
        self.directory.on_records_read = self.gossip.reconcile_links
        self.gossip.directory = self.directory
        steward.is_candidate = role.is_candidate

    def _find_health_path(self, service: str) -> str:
        known = self.follower.view.routes.service(service)
        return known.health_path if known else "/health"
