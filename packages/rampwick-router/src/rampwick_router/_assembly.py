"""Construction of the daemon's components and their connections."""

import random
import time
from collections.abc import Callable

import attrs

from rampwick_platform import ObjectApi, TreeStore, read_steady_clock
from rampwick_policy import ConfigurationFollower, Member, SaltTable, Scheduler
from rampwick_schema import ReprMixin, Settings

from ._admin import AdminApp
from ._caller_memory import CallerMemory, make_budget
from ._integration import Integration
from ._lifecycle import Lifecycle
from ._metrics import Metrics
from ._native_dialect import NATIVE_DIALECTS
from ._scheduler_task import SchedulerTask
from ._unread_records import UnreadRecords
from .control import (
    ConfigurationTask,
    HostListTask,
    PolledHostSource,
    PolledTargetSource,
    ReaderRole,
    RolloutController,
    StreamStorage,
    TreeStoreSource,
    WatchedHostSource,
    WatchedTargetSource,
    WatchedTreeSource,
)
from .entry import ClaimTask, EntryApp, EntryContext, RequestIdGenerator, StreamTokens
from .peers import GossipTask, PeerDirectory
from .upstream import (
    CacheReaderTask,
    CancelTask,
    ConnectionPool,
    DialectControl,
    ProbeTask,
    StallDetector,
    UpstreamClient,
    UpstreamControl,
)

#: Name of the only group of a small fleet.
WHOLE_FLEET = "fleet"


@attrs.frozen(repr=False)
class Clocks(ReprMixin):
    """Clocks of the daemon, in seconds."""

    monotonic: Callable[[], float] = read_steady_clock
    wall: Callable[[], float] = time.time


class Assembly:
    """All components of one daemon, before any of them runs."""

    def __init__(
        self,
        settings: Settings,
        api: ObjectApi | None,
        upstreams: UpstreamClient,
        connection_pool: ConnectionPool,
        peer_address: str,
        clocks: Clocks,
        integration: Integration | None,
    ) -> None:
        rng = random.Random()
        self.settings = settings
        self.api = api
        self.clocks = clocks
        self.connection_pool = connection_pool
        self._metrics = Metrics()
        self.lifecycle = Lifecycle()
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
        self.scheduler = SchedulerTask(
            Scheduler(
                settings,
                rng=rng,
                has_software_versions=integration is not None
                and integration.has_software_versions,
            ),
            read_clock,
        )
        dialects = integration.dialects if integration else NATIVE_DIALECTS
        control: UpstreamControl = upstreams
        if integration is not None:
            control = DialectControl(
                connection_pool,
                dialects.control,
                self._find_health_path,
                self.scheduler,
            )
        self.rollout_controller = RolloutController(
            api, settings, self.scheduler, control, read_clock, rng, peer_address
        )
        self.hosts = HostListTask(self.scheduler, read_clock)
        self.scheduler.set_list_age(self.hosts.age_seconds)
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
            self.rollout_controller,
        )
        self.rollout_controller.notify_peers = self.gossip.broadcast_rollout
        self.scheduler.on_long_prompt = self.gossip.urgent_updates.note_load
        self.scheduler.on_burst = self.gossip.urgent_updates.note_burst
        self._connect_sources(api, rng, integration)
        self.claims = ClaimTask(api, settings.claims, read_clock, clocks.wall)
        connection_pool.find_path = self.scheduler.path
        connection_pool.tunnels = self.gossip.tunnels
        self.probes = ProbeTask(control, self.scheduler, self.gossip.tunnels)
        self.cancels = CancelTask(control, self.scheduler)
        salts = SaltTable(settings.peers.secret)
        self.cache_reader = CacheReaderTask(
            own,
            self.scheduler,
            connection_pool,
            dialects.cache,
            salts,
            self.gossip.cache_outbox.publish,
            self.gossip.roles.cache_reading_peers,
        )
        self.gossip.cache_outbox.list_read_caches = self.cache_reader.read_names
        self.stall_detector = StallDetector(read_clock)
        self.scheduler.set_silence(self.stall_detector.silent_seconds)
        self.caller_memory = CallerMemory(
            make_budget(settings.limits), self._metrics.callers_limited, read_clock
        )
        self.context = EntryContext(
            settings=settings,
            scheduler=self.scheduler,
            follower=self.follower,
            upstreams=upstreams,
            claims=self.claims,
            metrics=self._metrics,
            stream_tokens=StreamTokens(settings.peers.secret),
            ids=RequestIdGenerator(host.name, incarnation),
            lifecycle=self.lifecycle,
            read_clock=read_clock,
            configuration=self.configuration,
            hosts=self.hosts,
            connection_pool=connection_pool,
            dialects=dialects,
            salts=salts,
            stall_detector=self.stall_detector,
            caller_memory=self.caller_memory,
        )
        self.entry = EntryApp(self.context, serves_routes=integration is not None)
        self.admin = AdminApp(
            self.context,
            self.lifecycle,
            self.configuration,
            self.hosts,
            self.rollout_controller,
            lambda: getattr(api, "calls", {}),
            lambda: getattr(api, "waiting_count", 0),
            lambda: api.era if api else 0,
            self.gossip.roles.describe,
            self.gossip.describe_tunnels,
            self._read_unread,
            clocks.monotonic,
            needs_configuration=integration is not None,
        )

    def _connect_sources(
        self,
        api: ObjectApi | None,
        rng: random.Random,
        integration: Integration | None,
    ) -> None:
        """Connect the tasks that follow the platform to their sources."""
        self.targets: PolledTargetSource | WatchedTargetSource | None = None
        self.directory: PeerDirectory | None = None
        self.stream_storage: StreamStorage | None = None
        if api is None:
            return
        settings, scheduler, rollout_controller = (
            self.settings,
            self.scheduler,
            self.rollout_controller,
        )
        read_clock = self.clocks.monotonic
        if integration is None:
            self.configuration.source = TreeStoreSource(
                TreeStore(api), settings, self.gossip.roles.live_peers, read_clock
            )
            interval_seconds = settings.platform.host_list_interval_seconds
            self.hosts.source = PolledHostSource(api, interval_seconds)
            self.targets = PolledTargetSource(
                api,
                scheduler,
                lambda: rollout_controller.is_holder,
                rollout_controller.wake,
                read_clock,
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
            lambda: rollout_controller.is_holder,
            read_clock,
        )
        decoder = integration.decoder
        self.configuration.source = WatchedTreeSource(
            api, decoder, settings, role.must_read_configuration, read_clock, rng
        )
        self.configuration.query_peer = self.gossip.freshness.query_reader
        host_source = WatchedHostSource(
            api,
            decoder,
            role.must_read_hosts,
            read_clock,
            rng,
            settings.platform.entry_renewal_seconds,
        )
        self.hosts.source = host_source
        if integration.has_software_versions:
            self.stream_storage = StreamStorage(
                api,
                decoder,
                scheduler.software_versions,
                role.recorder_rank,
                self._find_group,
                lambda: (
                    host_source.store_version,
                    self.hosts.age_seconds(read_clock()),
                ),
                read_clock,
                rng,
            )
        self.targets = WatchedTargetSource(
            api,
            decoder,
            scheduler,
            rollout_controller.wake,
            role.must_read_targets,
            read_clock,
            rng,
        )
        self.directory = PeerDirectory(
            api, self.gossip.roles.table.own, role.is_disconnected, role.is_reader, rng
        )
        self.directory.on_records_read = self.gossip.reconcile_links
        self.gossip.directory = self.directory
        rollout_controller.is_candidate = role.is_candidate

    def _find_group(self) -> tuple[str, int]:
        """Return the name of this host's group, and the number of groups."""
        table = self.gossip.roles.table
        if not table.is_large:
            return WHOLE_FLEET, 1
        return table.own.hall, len({member.hall for member in table})

    def _read_unread(self) -> dict[str, UnreadRecords]:
        """Return the records of each kind that can't be read."""
        sources = {
            "upstreams": self.hosts.source,
            "targets": self.targets,
            "peers": self.directory,
        }
        return {kind: source.unread for kind, source in sources.items() if source}

    def _find_health_path(self, service: str) -> str:
        found = self.follower.view.routes.service(service)
        return found.health_path if found else "/health"
