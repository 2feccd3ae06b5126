"""The daemon: its tasks run, its stop carried out."""

import socket
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import HttpObjectApi, ObjectApi, sleep_aligned
from rampwick_schema import Settings

from ._assembly import Assembly, Clocks as Clocks
from ._fallback import read_fallback
from ._integration import Integration
from ._logs import PartLogger, milliseconds
from ._servers import CLOSE_SECONDS, Addresses, Listeners, listen, serve_apps
from .upstream import (
    ChannelPool,
    UpstreamClient,
)

#: Time between two looks at whether all requests have been served out.
DRAIN_STEP_SECONDS = 0.05

#: Time before a stopping process would be killed at which it begins to close: what the
#: HTTP library is given to close connections, and half as much again.
STOP_MARGIN_SECONDS = 1.5 * CLOSE_SECONDS

#: Longest wait of a host that starts for what it decides by: a few calls to the store
#: and to caches in calm times, a small part of what callers bear in others.
INFORMED_WITHIN_SECONDS = 0.25
INFORMED_STEP_SECONDS = 0.01

#: Time between two lines that say how the host stands.
STATE_INTERVAL_SECONDS = 10.0

log = PartLogger("life")


class Daemon:
    """One rampwickd; ``run_daemon`` starts and stops it."""

    def __init__(self, built: Assembly) -> None:
        self._settings = built.settings
        self._api = built.api
        self._clocks = built.clocks
        self._channels = built.channels
        self._built = built
        self._hosts = built.hosts
        self._configuration = built.configuration
        self._gossip = built.gossip
        self._parts = built.parts
        self.life = built.life
        self.follower = built.follower
        self.scheduler = built.scheduler
        self.steward = built.steward
        self.entry = built.entry
        self.admin = built.admin

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
        tasks.start_soon(self._built.claims.run)
        tasks.start_soon(self._built.probes.run)
        tasks.start_soon(self._built.cancels.run)
        tasks.start_soon(self.steward.run)
        tasks.start_soon(self._channels.sweep)
        tasks.start_soon(self._built.cache_reader.run)
        if self._built.targets is not None:
            tasks.start_soon(self._built.targets.run)
        if self._built.directory is not None:
            tasks.start_soon(self._built.directory.run)
        tasks.start_soon(self.entry.watch_callers)
        tasks.start_soon(self._built.silences.run)
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
            and self._built.cache_reader.is_caught_up
        )

    async def _log_state(self) -> None:
        """Say now and then how the host stands, so that logs alone tell it."""
        while True:
            await sleep_aligned(STATE_INTERVAL_SECONDS)
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
                connections_opened=self._channels.opened_counts(),
                platform_calls=dict(getattr(self._api, "calls", {})),
                store_era=self._api.era if self._api else 0,
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
        self._gossip.summaries.is_leaving = True
        await self.steward.retire()
        self._gossip.summaries.publish_own()
        await self.life.pause(self._settings.life.balancer_delay_seconds)
        self.life.has_balancer_turned = True
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


def _log_restore(era_before: int, era: int, call: str) -> None:
    log.problem(
        "store restored from an older copy", era_before=era_before, era=era, call=call
    )


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
        if isinstance(api, HttpObjectApi):
            api.on_restored = _log_restore
        clocks = clocks or Clocks()
        channels = await stack.enter_async_context(ChannelPool(clocks.monotonic))
        upstreams = UpstreamClient(
            channels,
            settings.retry.silence_timeout_seconds,
            settings.limits.max_event_bytes,
        )
        listeners = await listen(settings.listen, stack, listener)
        built = Assembly(
            settings,
            api,
            upstreams,
            channels,
            settings.peers.advertised_address or listeners.addresses.peer,
            clocks,
            integration,
        )
        daemon = Daemon(built)
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
