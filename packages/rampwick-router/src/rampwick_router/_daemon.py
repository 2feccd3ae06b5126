"""The daemon: its parts put together, its tasks run, its stop carried out."""

import random
import socket
import time
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import HttpObjectApi, ObjectApi, TreeStore
from rampwick_policy import ConfigurationFollower, Member, SaltBook, Scheduler
from rampwick_schema import Settings

from ._admin import AdminApp
from ._fallback import read_fallback
from ._integration import Integration
from ._life import Life
from ._logs import PartLogger, milliseconds
from ._metrics import Metrics
from ._own_dialect import OWN_DIALECTS
from ._scheduler_task import SchedulerTask
from ._servers import Addresses, Listeners, listen, serve_apps
from .control import (
    ConfigurationTask,
    HostListTask,
    PolledHosts,
    PolledTargets,
    ReadingRole,
    StewardTask,
    TreeStoreSource,
    WatchedHosts,
    WatchedTargets,
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
    SilenceWatch,
    UpstreamClient,
    UpstreamControl,
)

#: Time between two looks at whether all requests have been served out.
DRAIN_STEP_SECONDS = 0.05

#: Time before a stopping process would be killed at which it is gone: what closing
#: the listeners and the connections takes, several times over.
STOP_MARGIN_SECONDS = 1.0

#: Longest wait of a host that starts for what it decides by: a few calls to the store
#: and to caches in calm times, a small part of what callers bear in others.
INFORMED_WITHIN_SECONDS = 0.25
INFORMED_STEP_SECONDS = 0.01

#: Time between two lines that say how the host stands.
STATE_INTERVAL_SECONDS = 10.0

log = PartLogger("life")


@attrs.frozen
class Clocks:
    """Where the daemon reads time, in seconds."""

    monotonic: Callable[[], float] = time.monotonic
    wall: Callable[[], float] = time.time


class Daemon:
    """One rampwickd; ``run_daemon`` starts and stops it."""

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
        self._settings = settings
        self._api = api
        self._clocks = clocks
        self._metrics = Metrics()
        self._channels = channels
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
            control = DialectControl(channels, dialects.control, self._find_health_path)
        self.steward = StewardTask(
            api, settings, self.scheduler, control, read_clock, draw
        )
        self._hosts = HostListTask(self.scheduler)
        self._configuration = ConfigurationTask(
            self.follower, self.scheduler, read_clock
        )
        self._gossip = GossipTask(
            own,
            settings,
            self.scheduler,
            self._configuration,
            self._metrics,
            read_clock,
            self._hosts,
            self.steward,
        )
        self.steward.tell_peers = self._gossip.tell_steward_news
        self.scheduler.note_long_prompt = self._gossip.note_load
        self._connect(api, draw, integration)
        self._claims = ClaimTask(api, settings.claims, read_clock, clocks.wall)
        self._probes = ProbeTask(control, self.scheduler)
        self._cancels = CancelTask(control, self.scheduler)
        salts = SaltBook(settings.peers.secret)
        self._cache_reader = CacheReaderTask(
            own,
            self.scheduler,
            channels,
            dialects.cache,
            salts,
            self._gossip.cache_mail.tell,
            self._gossip.roles.neighbours,
        )
        self._gossip.cache_mail.list_read = self._cache_reader.read_names
        self._silences = SilenceWatch(read_clock)
        self._parts = Parts(
            settings=settings,
            scheduler=self.scheduler,
            follower=self.follower,
            upstreams=upstreams,
            claims=self._claims,
            metrics=self._metrics,
            tokens=StreamTokens(settings.peers.secret),
            ids=RequestIds(host.name, incarnation),
            life=self.life,
            read_clock=read_clock,
            configuration=self._configuration,
            channels=channels,
            dialects=dialects,
            salts=salts,
            silences=self._silences,
        )
        self.entry = EntryApp(self._parts, serves_routes=integration is not None)
        self.admin = AdminApp(
            self._parts,
            self.life,
            self._configuration,
            self._hosts,
            self.steward,
            lambda: getattr(api, "calls_count", 0),
            needs_configuration=integration is not None,
        )

    def _connect(
        self,
        api: ObjectApi | None,
        draw: random.Random,
        integration: Integration | None,
    ) -> None:
        """Give the tasks that follow the platform their sources."""
        self._targets: PolledTargets | WatchedTargets | None = None
        self._directory: PeerDirectory | None = None
        if api is None:
            return
        settings, scheduler, steward = self._settings, self.scheduler, self.steward
        read_clock = self._clocks.monotonic
        if integration is None:
            self._configuration.source = TreeStoreSource(
                TreeStore(api), settings, self._gossip.roles.neighbours, read_clock
            )
            interval_seconds = settings.platform.host_list_interval_seconds
            self._hosts.source = PolledHosts(api, interval_seconds)
            self._targets = PolledTargets(
                api, scheduler, lambda: steward.is_holder, steward.wake, read_clock
            )
            return
        role = ReadingRole(
            self._gossip.roles.table,
            lambda: self._gossip.roles.live_names,
            lambda: self._gossip.roles.staying_names,
            lambda: self._gossip.roles.hears_nobody,
            lambda: self._gossip.ages.answered_at_seconds,
            self._configuration,
            self._hosts,
            lambda: steward.is_holder,
            read_clock,
        )
        reader = integration.reader
        self._configuration.source = WatchedTreeSource(
            api, reader, settings, role.wants_configuration, read_clock, draw
        )
        self._configuration.ask_peer = self._gossip.ages.ask_reader
        self._hosts.source = WatchedHosts(
            api, reader, role.wants_hosts, read_clock, draw
        )
        self._targets = WatchedTargets(
            api, reader, scheduler, steward.wake, role.wants_targets, read_clock, draw
        )
        self._directory = PeerDirectory(
            api, self._gossip.roles.table.own, role.is_lonely, role.is_reader, draw
        )
        self._directory.note_found = self._gossip.look_for_peers
        self._gossip.directory = self._directory
        steward.is_candidate = role.is_candidate

    def _find_health_path(self, service: str) -> str:
        known = self.follower.view.routes.service(service)
        return known.health_path if known else "/health"

    def load_fallback(self) -> None:
        """Put the tree and upstreams of the settings in force until others come."""
        path = self._settings.life.fallback_tree
        if not path:
            return
        fallback = read_fallback(Path(path))
        self._hosts.offer(fallback.hosts)
        if self.follower.offer_fallback(fallback.tree):
            self._configuration.announce()

    def reload(self, settings: Settings) -> None:
        """Take settings that were read again: seeds at once, the rest at a restart."""
        changed = sorted(
            field.name
            for field in attrs.fields(Settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        )
        self._gossip.seeds = frozenset(settings.peers.seeds)
        log.info("settings reloaded", changed=changed)

    async def start(self, tasks: TaskGroup, listeners: Listeners) -> None:
        """Start all tasks; return once requests are taken."""
        tasks.start_soon(self.scheduler.run)
        self.load_fallback()
        tasks.start_soon(self._hosts.run)
        tasks.start_soon(self._configuration.run)
        tasks.start_soon(self._claims.run)
        tasks.start_soon(self._probes.run)
        tasks.start_soon(self._cancels.run)
        tasks.start_soon(self.steward.run)
        tasks.start_soon(self._channels.sweep)
        tasks.start_soon(self._cache_reader.run)
        if self._targets is not None:
            tasks.start_soon(self._targets.run)
        if self._directory is not None:
            tasks.start_soon(self._directory.run)
        tasks.start_soon(self.entry.watch_callers)
        tasks.start_soon(self._silences.run)
        tasks.start_soon(self._log_state)
        tasks.start_soon(self._gossip.run, listeners.peer)
        log.info("started", host=self._settings.host.name)

    async def wait_informed(self) -> None:
        """Wait, for a short while, until this host knows what it decides by.

        Callers' connections wait meanwhile. A host that serves before it knows the
        configuration refuses, and one that knows no cache takes each runner for full.
        """
        with anyio.move_on_after(INFORMED_WITHIN_SECONDS):
            while not self._is_informed():
                await anyio.sleep(INFORMED_STEP_SECONDS)

    def _is_informed(self) -> bool:
        return (
            self.follower.revision > 0
            and self._hosts.version >= 0
            and self._cache_reader.is_caught_up
        )

    async def _log_state(self) -> None:
        """Say now and then how the host stands, so that logs alone tell it."""
        while True:
            await anyio.sleep(STATE_INTERVAL_SECONDS)
            now_seconds = self._clocks.monotonic()
            log.info(
                "state",
                open_count=self.entry.open_count,
                revision=self.follower.revision,
                revision_age_ms=milliseconds(
                    self._configuration.age_seconds(now_seconds)
                ),
                host_list_age_ms=milliseconds(self._hosts.age_seconds(now_seconds)),
                is_reader=self._gossip.roles.is_reader(),
                is_steward=self.steward.is_holder,
                **self._describe_targets(),
                hosts_heard_count=len(self._gossip.roles.live_names),
                connections_opened_count=self._channels.opened_count,
                platform_calls=dict(getattr(self._api, "calls", {})),
            )

    def _describe_targets(self) -> dict[str, Any]:
        """Return what this host believes of new weights, as its log tells it."""
        return {
            "targets": {
                target.model: target.weights_version
                for target in self.scheduler.targets()
            },
            "targets_read_age_ms": milliseconds(self.scheduler.targets_age_seconds()),
            "outdated_runners_count": self.steward.outdated_count(),
            "loads_count": len(self.steward.loads()),
        }

    async def stop(self) -> None:
        """Carry out a planned stop once it has begun."""
        await self.life.wait_stopping()
        began_seconds = self._clocks.monotonic()
        stop_within_seconds = self._settings.life.stop_within_seconds
        if stop_within_seconds:
            gone_by_seconds = began_seconds + stop_within_seconds - STOP_MARGIN_SECONDS
            self.life.gone_by_seconds = gone_by_seconds
        log.info("not ready, waiting for the balancer")
        self._gossip.is_leaving = True
        await self.steward.give_up()
        self._gossip.tell_summary()
        await self.life.pause(self._settings.life.balancer_delay_seconds)
        self.entry.is_closed = self._settings.life.refuses_while_leaving
        log.info("closed, serving out", open_count=self.entry.open_count)
        with anyio.move_on_after(self._drain_seconds()):
            while self.entry.open_count:
                # A hurried stop has each open request end itself with an error.
                await anyio.sleep(DRAIN_STEP_SECONDS)
        log.info(
            "left",
            open_count=self.entry.open_count,
            platform_calls=dict(getattr(self._api, "calls", {})),
        )

    def _drain_seconds(self) -> float:
        """Return how long open requests are waited for at the most."""
        drain_seconds = self._settings.life.drain_timeout_seconds
        if self.life.gone_by_seconds is None:
            return drain_seconds
        left_seconds = self.life.gone_by_seconds - self._clocks.monotonic()
        return max(0.0, min(drain_seconds, left_seconds))


@asynccontextmanager
async def run_daemon(
    settings: Settings,
    *,
    api: ObjectApi | None = None,
    clocks: Clocks | None = None,
    integration: Integration | None = None,
    listener: socket.socket | None = None,
) -> AsyncIterator[tuple[Daemon, Addresses]]:
    """Run a daemon for the length of the context; leaving it stops it hard.

    To stop it gently, call ``daemon.life.begin_stop()`` and await ``daemon.stop()``
    within the context.
    """
    async with AsyncExitStack() as stack:
        if api is None and settings.platform.url:
            api = await stack.enter_async_context(
                HttpObjectApi(
                    settings.platform.url,
                    call_timeout_seconds=settings.platform.call_timeout_seconds,
                    calls_per_second=settings.platform.calls_per_second,
                    dialect=integration.store if integration else None,
                )
            )
        clocks = clocks or Clocks()
        channels = await stack.enter_async_context(ChannelPool(clocks.monotonic))
        upstreams = UpstreamClient(
            channels,
            settings.retry.silence_timeout_seconds,
            settings.limits.max_event_bytes,
        )
        listeners = await listen(settings.listen, stack, listener)
        daemon = Daemon(
            settings,
            api,
            upstreams,
            channels,
            settings.peers.advertised_address or listeners.addresses.peer,
            clocks,
            integration,
        )
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        await daemon.start(tasks, listeners)
        if integration is not None:
            await daemon.wait_informed()
        served = [
            (daemon.entry, listeners.entry),
            (daemon.admin.app, listeners.admin),
        ]
        if listeners.ready is not None:
            served.append((daemon.admin.ready_app, listeners.ready))
        serve_apps(served, settings.limits.max_header_bytes, tasks, stack)
        yield daemon, listeners.addresses
