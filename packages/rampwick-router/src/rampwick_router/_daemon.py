"""The daemon: start of its tasks and planned shutdown."""

import math
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial
from pathlib import Path
from typing import Any

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import HttpObjectApi, ObjectApi, sleep_aligned
from rampwick_policy import (
    EXIT_CHECK_SECONDS,
    ExitGuard,
    retry_elsewhere_seconds,
)
from rampwick_schema import Settings

from ._answer_buffers import make_buffers
from ._assembly import Assembly, Clocks as Clocks
from ._caller_connections import CallerConnections
from ._errors import CallerError
from ._fallback import read_fallback
from ._hand_on import ConnectionHandOn
from ._idle_timeout import CallerIdleTimeout
from ._integration import Integration
from ._logs import ComponentLogger, milliseconds
from ._refused_connections import encode_response
from ._servers import (
    CLOSE_TIMEOUT_SECONDS,
    Addresses,
    CallerServerOptions,
    Listeners,
    listen,
    serve_apps,
)
from ._unexpected_errors import contain_errors, keep_running
from .upstream import (
    ConnectionPool,
    UpstreamClient,
)

#: Interval between checks whether all open requests have completed.
DRAIN_CHECK_SECONDS = 0.05

#: Margin before the time at which a stopping process would be killed: 1.5 times what
#: the HTTP server is given to close its connections.
STOP_MARGIN_SECONDS = 1.5 * CLOSE_TIMEOUT_SECONDS

#: Time before a stopping process exits that is kept to close the callers' connections
#: in order, beside the requests that are open until then.
SETTLE_SECONDS = 0.5

#: Longest time for that if the process may take any time to exit.
MAX_SETTLE_SECONDS = 5.0

#: Longest delay of a host's start for the initial configuration and cache state. It
#: allows for a few calls to the store and to caches under normal load, and under
#: overload is a small part of what callers tolerate.
INITIAL_STATE_TIMEOUT_SECONDS = 0.25
INITIAL_STATE_CHECK_SECONDS = 0.01

#: Interval between log lines with the state of the host.
STATE_INTERVAL_SECONDS = 10.0

log = ComponentLogger("life")


class Daemon:
    """One rampwickd process; ``run_daemon`` starts and stops it."""

    def __init__(self, assembly: Assembly) -> None:
        self._settings = assembly.settings
        self._api = assembly.api
        self._clocks = assembly.clocks
        self._connection_pool = assembly.connection_pool
        self._components = assembly
        self._hosts = assembly.hosts
        self._configuration = assembly.configuration
        self._gossip = assembly.gossip
        self._context = assembly.context
        self.lifecycle = assembly.lifecycle
        self.follower = assembly.follower
        self.scheduler = assembly.scheduler
        self.rollout_controller = assembly.rollout_controller
        self.entry = assembly.entry
        self.admin = assembly.admin
        self.admin.on_drain = lambda is_urgent: self.request_stop(is_urgent=is_urgent)
        self._tasks: TaskGroup
        self._drain_end_seconds = -math.inf
        self.hand_on = ConnectionHandOn(
            assembly.scheduler,
            lambda: self.entry.open_count,
            assembly.context.metrics.handed_on,
            assembly.clocks.monotonic,
            lambda: not assembly.lifecycle.is_ready,
        )
        self.idle_timeout = CallerIdleTimeout(
            assembly.configuration, assembly.clocks.monotonic
        )
        self.caller_connections = CallerConnections(
            assembly.context.metrics.connections_ended,
            lambda: not assembly.lifecycle.is_ready,
            assembly.caller_memory,
        )
        self.exit_guard = ExitGuard(STOP_MARGIN_SECONDS)

    def load_fallback(self) -> None:
        """Apply the fallback tree and host list until newer ones are received."""
        path = self._settings.life.fallback_tree
        if not path:
            return
        fallback = read_fallback(Path(path))
        self._hosts.offer(fallback.hosts)
        if self.follower.offer_fallback(fallback.tree):
            self._configuration.announce()

    def reload(self, settings: Settings) -> None:
        """Apply the reloaded seeds; other settings take effect at a restart."""
        changed = sorted(
            field.name
            for field in attrs.fields(Settings)
            if getattr(settings, field.name) != getattr(self._settings, field.name)
        )
        self._gossip.seeds = frozenset(settings.peers.seeds)
        log.info("settings reloaded", changed=changed)

    async def start(self, tasks: TaskGroup, listeners: Listeners) -> None:
        """Start all tasks; return when they have been scheduled."""
        self._tasks = tasks
        components, start = self._components, self.run_task
        start("scheduler", self.scheduler.run)
        self.load_fallback()
        start("host list", self._hosts.run)
        start("configuration", self._configuration.run)
        start("claims", components.claims.run)
        start("probes", components.probes.run)
        start("cancellations", components.cancels.run)
        start("rollout", self.rollout_controller.run)
        start("connection pool", self._connection_pool.sweep)
        start("cache reader", components.cache_reader.run)
        if components.targets is not None:
            start("weights targets", components.targets.run)
        if components.directory is not None:
            start("peer records", components.directory.run)
        if components.stream_storage is not None:
            start("stream storage", components.stream_storage.run)
        start("watch of callers", self.entry.watch_callers)
        start("stall detector", components.stall_detector.run)
        start("log of the state", self._log_state)
        # The listeners can't be opened again: their servers' end is the process's end.
        tasks.start_soon(self._gossip.run, listeners.peer)
        log.info("started", host=self._settings.host.name)

    def run_task(self, task: str, run: Callable[[], Awaitable[None]]) -> None:
        """Run a task until the daemon's servers have ended."""
        self._tasks.start_soon(keep_running, task, run)

    async def wait_initial_state(self) -> None:
        """Wait, up to a timeout, for the configuration and what hosts knew before.

        Callers' connections are queued meanwhile. Without the configuration the host
        would reject requests, without the cache contents it would treat each runner's
        cache as full, and without the stored streams it would refuse them.
        """
        with anyio.move_on_after(INITIAL_STATE_TIMEOUT_SECONDS):
            while not self._has_initial_state():
                await anyio.sleep(INITIAL_STATE_CHECK_SECONDS)

    def _has_initial_state(self) -> bool:
        storage = self._components.stream_storage
        return (
            self.follower.revision > 0
            and self._hosts.version >= 0
            and self._components.cache_reader.is_caught_up
            and (storage is None or storage.is_caught_up)
        )

    async def _log_state(self) -> None:
        """Log the state of the host periodically, for analysis from logs alone."""
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
                is_steward=self.rollout_controller.is_holder,
                **self._describe_targets(),
                hosts_heard_count=len(self._gossip.roles.live_names),
                connections_opened=self._connection_pool.opened_counts(),
                platform_calls=dict(getattr(self._api, "calls", {})),
                platform_calls_waiting_count=getattr(self._api, "waiting_count", 0),
                store_era=self._api.era if self._api else 0,
            )

    def _describe_targets(self) -> dict[str, Any]:
        """Return log fields with the known target versions of weights."""
        return {
            "targets": {
                target.model: target.weights_version
                for target in self.scheduler.targets()
            },
            "targets_read_age_ms": milliseconds(self.scheduler.targets_age_seconds()),
            "outdated_runners_count": self.rollout_controller.outdated_count(),
            "loads_count": len(self.rollout_controller.loads()),
        }

    def request_stop(
        self, waited_seconds: float = 0.0, *, is_urgent: bool = False
    ) -> None:
        """Begin a planned shutdown, or force one that has begun if this is urgent.

        ``waited_seconds`` is for how long the request could not be handled. Where the
        process has a time within which it must exit, its callers have that time, and a
        supervisor that repeats its signal does not shorten it. Without such a time each
        repeated request is urgent.
        """
        is_repeated = not self.lifecycle.is_ready
        if is_repeated and not is_urgent and self._settings.life.stop_within_seconds:
            log.info(
                "repeated request to stop ignored",
                open_count=self.entry.open_count,
                left_ms=milliseconds(self._remaining_seconds(math.inf)),
            )
            return
        self.lifecycle.begin_stop(waited_seconds)

    async def stop(self) -> None:
        """Wait for the start of a planned shutdown and carry it out."""
        await self.lifecycle.wait_stopping()
        waited_seconds = self.lifecycle.stop_waited_seconds
        started_seconds = self._clocks.monotonic() - waited_seconds
        self.lifecycle.stop_requested_at_seconds = started_seconds
        balancer_delay_seconds = self._settings.life.balancer_delay_seconds
        self.lifecycle.balancer_done_at_seconds = (
            started_seconds + balancer_delay_seconds
        )
        stop_within_seconds = self._settings.life.stop_within_seconds
        if stop_within_seconds:
            exit_deadline_seconds = (
                started_seconds + stop_within_seconds - STOP_MARGIN_SECONDS
            )
            self.lifecycle.exit_deadline_seconds = exit_deadline_seconds
        log.info(
            "not ready, waiting for the balancer to stop routing here",
            waited_ms=milliseconds(waited_seconds),
        )
        self._gossip.summaries.is_leaving = True
        self._gossip.tunnel_server.is_leaving = True
        with contain_errors("summaries"):
            self._gossip.summaries.publish_own()
        await self._release_lease()
        delay_seconds = (
            self.lifecycle.balancer_done_at_seconds - self._clocks.monotonic()
        )
        await self.lifecycle.pause(max(0.0, delay_seconds))
        self.entry.is_closed = self._settings.life.refuses_while_leaving
        log.info("draining open requests", open_count=self.entry.open_count)
        drain_seconds = min(
            self._settings.life.drain_timeout_seconds, self._remaining_seconds(math.inf)
        )
        self._drain_end_seconds = self._clocks.monotonic() + drain_seconds
        # What is left then is served while the other connections are closed.
        settle_at_seconds = self._remaining_seconds(math.inf) - SETTLE_SECONDS
        with anyio.move_on_after(max(0.0, min(drain_seconds, settle_at_seconds))):
            while self._has_open_requests():
                # In a forced shutdown EntryApp ends each open request with an error.
                await anyio.sleep(DRAIN_CHECK_SECONDS)
        self.lifecycle.has_drained = True
        self.entry.log_open()
        log.info(
            "stopped",
            open_count=self.entry.open_count,
            tunnels_count=self._gossip.tunnel_server.active_count,
            connections_count=self.caller_connections.open_count,
            platform_calls=dict(getattr(self._api, "calls", {})),
        )

    async def _release_lease(self) -> None:
        """Release the lease, in a time that leaves the stop its other steps.

        The store may not answer, or other calls to it may be waiting.
        """
        settle_seconds = self._remaining_seconds(math.inf) - SETTLE_SECONDS
        with anyio.move_on_after(max(0.0, settle_seconds)) as scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._cancel_when_forced, scope)
                with contain_errors("release of the lease"):
                    await self.rollout_controller.retire()
                tasks.cancel_scope.cancel()
        if scope.cancelled_caught:
            log.problem("lease not released in time")

    async def _cancel_when_forced(self, scope: anyio.CancelScope) -> None:
        await self.lifecycle.wait_forced()
        scope.cancel()

    def awaits_open_requests(self) -> bool:
        """Return whether the shutdown waits for requests of callers or of peers."""
        is_draining = self._clocks.monotonic() < self._drain_end_seconds
        return is_draining and self._has_open_requests()

    def read_settle_seconds(self) -> float:
        """Return for how long callers' connections may be closed in order."""
        if self.lifecycle.is_forced:
            return 0.0
        return max(0.0, self._remaining_seconds(MAX_SETTLE_SECONDS))

    def read_close_seconds(self) -> float:
        """Return for how long the servers may go on with open requests at the exit."""
        return self.exit_guard.close_seconds(
            self.lifecycle.exit_deadline_seconds,
            CLOSE_TIMEOUT_SECONDS,
            self._clocks.monotonic(),
        )

    def start_exit_guard(self, end_process: Callable[[], None]) -> None:
        """Call ``end_process`` if a shutdown is so late that it would be killed."""
        self.run_task("exit guard", partial(self._guard_exit, end_process))

    async def _guard_exit(self, end_process: Callable[[], None]) -> None:
        await self.lifecycle.wait_stopping()
        read_clock, is_late = self._clocks.monotonic, False
        while not is_late:
            due_seconds = read_clock() + EXIT_CHECK_SECONDS
            await anyio.sleep(EXIT_CHECK_SECONDS)
            self.exit_guard.note_check(due_seconds, read_clock())
            exit_at_seconds = self.lifecycle.exit_deadline_seconds
            is_late = self.exit_guard.must_end(exit_at_seconds, read_clock())
        log.problem(
            "process ends before its connections, as it would be killed",
            open_count=self.entry.open_count,
            connections_count=self.caller_connections.open_count,
            late_ms=milliseconds(self.exit_guard.late_seconds),
        )
        self.entry.record_remaining()
        self.caller_connections.record_remaining()
        end_process()

    def write_refusal(self) -> bytes:
        """Return a response for connections that are refused as this host stops."""
        peers, ready = self._context.scheduler.list_peers(self._clocks.monotonic())
        error = CallerError(
            "this host is leaving",
            status=503,
            code="leaving",
            step="accept connection",
            retry_after_seconds=retry_elsewhere_seconds(len(ready), len(peers)),
        )
        return encode_response(self._context.dialects.caller.write_error(error, ""))

    def _has_open_requests(self) -> bool:
        return bool(self.entry.open_count or self._gossip.tunnel_server.active_count)

    def _remaining_seconds(self, unbounded_seconds: float) -> float:
        """Return the time until the process exits; the given one without a bound."""
        if self.lifecycle.exit_deadline_seconds is None:
            return unbounded_seconds
        return self.lifecycle.exit_deadline_seconds - self._clocks.monotonic()


def _log_restore(era_before: int, era: int, call: str) -> None:
    log.problem(
        "store restored from an older copy", era_before=era_before, era=era, call=call
    )


def _log_delay(is_delayed: bool, waited_seconds: float, call: str) -> None:
    fields = {"waited_ms": milliseconds(waited_seconds), "call": call}
    if is_delayed:
        log.problem("calls to the store delayed by their budget", **fields)
    else:
        log.info("calls to the store no longer delayed by their budget", **fields)


@asynccontextmanager
async def run_daemon(
    settings: Settings,
    *,
    api: ObjectApi | None = None,
    clocks: Clocks | None = None,
    integration: Integration | None = None,
    listener: socket.socket | None = None,
) -> AsyncIterator[tuple[Daemon, Addresses]]:
    """Run a daemon for the duration of the context; the exit stops it immediately.

    For a graceful shutdown, call ``daemon.lifecycle.begin_stop()`` and await
    ``daemon.stop()`` within the context.
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
            api.on_delayed = _log_delay
        clocks = clocks or Clocks()
        connection_pool = await stack.enter_async_context(
            ConnectionPool(
                clocks.monotonic,
                settings.limits.max_answer_bytes,
                make_buffers(settings.limits),
            )
        )
        upstreams = UpstreamClient(
            connection_pool,
            settings.retry.silence_timeout_seconds,
            settings.limits.max_event_bytes,
        )
        listeners = await listen(settings.listen, stack, listener)
        assembly = Assembly(
            settings,
            api,
            upstreams,
            connection_pool,
            settings.peers.advertised_address or listeners.addresses.peer,
            clocks,
            integration,
        )
        daemon = Daemon(assembly)
        tasks = await stack.enter_async_context(anyio.create_task_group())
        stack.callback(tasks.cancel_scope.cancel)
        await daemon.start(tasks, listeners)
        if integration is not None:
            await daemon.wait_initial_state()
        served = [
            (daemon.entry, listeners.entry),
            (daemon.admin.app, listeners.admin),
        ]
        if listeners.ready is not None:
            served.append((daemon.admin.ready_app, listeners.ready))
        serve_apps(
            served,
            CallerServerOptions(
                daemon.hand_on.decide,
                daemon.idle_timeout.max_seconds,
                daemon.read_settle_seconds,
                daemon.awaits_open_requests,
                daemon.write_refusal,
                daemon.caller_connections,
                daemon.read_close_seconds,
            ),
            settings.limits.max_header_bytes,
            tasks,
            stack,
        )
        yield daemon, listeners.addresses
