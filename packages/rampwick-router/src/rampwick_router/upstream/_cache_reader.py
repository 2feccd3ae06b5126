"""Reading of cache events from engines and stores, for this host and its peers."""

from collections.abc import Callable, Iterable

import anyio
import attrs
from anyio.abc import TaskGroup

from rampwick_platform import sleep_aligned
from rampwick_policy import (
    CacheChanges,
    CacheGeneration,
    CacheReported,
    LivePeers,
    Member,
    SaltTable,
    Scheduler,
    Scope,
    generation_label,
    is_cache_reader,
    part_key,
    store_generation,
)
from rampwick_schema import DataError, ReprMixin

from .._dialects import CacheDialect, CacheEvents
from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from .._unexpected_errors import contain_errors, note_unexpected_error
from ._connection_pool import ConnectionPool
from ._control import call_upstream

#: Maximum wait of one poll at the cache, and the additional time allowed for the
#: response.
POLL_WAIT_SECONDS = 1.0
RESPONSE_MARGIN_SECONDS = 0.5

#: Time between two polls of one cache. Events arrive constantly, so a poll seldom
#: waits, and each poll has a cost. Placements that hosts exchange cover the time
#: between polls.
POLL_INTERVAL_SECONDS = 0.7

#: Number of events in a response from which the next poll follows immediately. Caches
#: send a few hundred events per response, oldest first: with one response per interval,
#: a newly started host would save all entries again before it had read the contents of
#: a cache.
FULL_RESPONSE_EVENTS_COUNT = 200

#: Time after a host's start during which it reads only the caches of its own hall.
#: Readers in other halls send the contents of theirs on connection, in far fewer bytes.
OWN_HALL_ONLY_SECONDS = 1.0

#: Maximum number of concurrent polls for backlogs. Their responses have the maximum
#: size, and slow links carry requests at the same time.
MAX_CONCURRENT_BACKLOGS = 4

#: Maximum number of evictions from a backlog that are sent to peers. This covers the
#: one or two seconds between the failure of the previous reader and the start of this
#: one.
MAX_REPORTED_EVICTIONS = 100

#: Wait after a failed poll.
FAILURE_PAUSE_SECONDS = 1.0

#: Time between two scans for the caches that this host must read.
SCAN_INTERVAL_SECONDS = 1.0

#: The same during the start of a host, until any cache is known. Until a host has read
#: the caches, it considers each prompt uncached and each runner full.
STARTUP_SCAN_SECONDS = 0.02
STARTUP_SECONDS = 3.0

log = ComponentLogger("cache")


@attrs.frozen(repr=False)
class CacheSource(ReprMixin):
    """A cache whose events are read."""

    name: str
    hall: str
    address: str
    #: Incarnation of the engine; empty for a store, which outlives engines and weights.
    incarnation: str = ""


@attrs.define(repr=False)
class EventBacklog(ReprMixin):
    """Combined effect of the events from before this host caught up, for peers.

    Engines retain thousands of events but hold only dozens of entries. Sent one by one,
    these events would saturate the links and keep hosts busy while callers wait,
    whenever all hosts of a large fleet restart.
    """

    #: Cached tokens by cache generation and prefix, most recently changed last.
    _tokens: dict[str, dict[bytes, int]] = attrs.field(factory=dict)

    def add(self, changes: Iterable[CacheChanges]) -> None:
        """Add the changes of the next events."""
        for change in changes:
            known = self._tokens.setdefault(change.label, {})
            for prefix, tokens in zip(change.prefixes, change.tokens, strict=False):
                known.pop(prefix, None)
                known[prefix] = tokens

    def take(self) -> list[CacheChanges]:
        """Return cached entries and the latest evictions, and clear the backlog."""
        tokens_by_label, self._tokens = self._tokens, {}
        return [
            CacheChanges(label, tuple(reported), tuple(reported.values()))
            for label, known in tokens_by_label.items()
            if (reported := _without_old_evictions(known))
        ]


@attrs.define(repr=False)
class ReadState(ReprMixin):
    """Progress of reading one cache."""

    epoch: int | None = None
    since: int = 0
    #: Whether the last poll succeeded.
    is_responding: bool = True
    #: Backlog not yet sent to peers; none once it was sent.
    backlog: EventBacklog | None = attrs.field(factory=EventBacklog)


class CacheReaderTask:
    """Reads the events of the caches assigned to this host."""

    def __init__(
        self,
        own: Member,
        scheduler: SchedulerTask,
        connection_pool: ConnectionPool,
        dialect: CacheDialect,
        salts: SaltTable,
        notify_peers: Callable[[CacheReported], None],
        list_peers: Callable[[], LivePeers],
    ) -> None:
        self._own = own
        self._scheduler = scheduler
        self._connection_pool = connection_pool
        self._dialect = dialect
        self._salts = salts
        self._notify_peers = notify_peers
        self._list_peers = list_peers
        self._scopes: dict[CacheSource, anyio.CancelScope] = {}
        self._backlog_slots = anyio.CapacityLimiter(MAX_CONCURRENT_BACKLOGS)
        self._started_seconds: float | None = None
        #: Whether any cache is known, read by this host or by another.
        self._has_caches = False
        #: Caches whose backlog has been read completely, or that did not respond.
        self._caught_up: set[CacheSource] = set()

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                with contain_errors("scan for caches"):
                    self._scan(tasks)
                await sleep_aligned(self._scheduler.run_query(self._pause_seconds))

    def _scan(self, tasks: TaskGroup) -> None:
        """Follow the caches that this host is to read, and no others."""
        wanted = self._scheduler.run_query(self._list_sources)
        for source in self._scopes.keys() - wanted:
            self._scopes.pop(source).cancel()
            self._caught_up.discard(source)
        for source in wanted - self._scopes.keys():
            scope = self._scopes[source] = anyio.CancelScope()
            tasks.start_soon(self._follow, source, scope)

    @property
    def is_caught_up(self) -> bool:
        """Whether the caches read here are known and their backlogs have been read."""
        return self._has_caches and self._scopes.keys() <= self._caught_up

    def _age_seconds(self, now_seconds: float) -> float:
        """Return the time since this host first scanned for caches."""
        if self._started_seconds is None:
            self._started_seconds = now_seconds
        return now_seconds - self._started_seconds

    def _pause_seconds(self, scheduler: Scheduler, now_seconds: float) -> float:
        """Return the time until the next scan."""
        is_first = self._age_seconds(now_seconds) < STARTUP_SECONDS
        if is_first and not self._has_caches:
            return STARTUP_SCAN_SECONDS
        return SCAN_INTERVAL_SECONDS

    def read_names(self) -> set[str]:
        """Return the names of the caches that this host reads."""
        return {source.name for source in self._scopes}

    def _list_sources(
        self, scheduler: Scheduler, now_seconds: float
    ) -> set[CacheSource]:
        imports = scheduler.pool.imports
        sources = {
            CacheSource(
                upstream.name,
                upstream.entry.hall,
                upstream.entry.address,
                upstream.entry.incarnation,
            )
            for upstream in scheduler.upstreams
            if upstream.is_runner and imports.service(upstream.entry.group) is not None
        }
        sources.update(
            CacheSource(store.name, store.hall, store.address)
            for store in imports.stores()
        )
        self._salts.prepare(_list_scopes(scheduler), _list_versions(scheduler))
        self._has_caches = bool(sources)
        peers = self._list_peers()
        if not peers.halls and self._age_seconds(now_seconds) < OWN_HALL_ONLY_SECONDS:
            sources = {item for item in sources if item.hall == self._own.hall}
        return {
            source
            for source in sources
            if is_cache_reader(self._own, source.name, source.hall, peers)
        }

    async def _follow(self, source: CacheSource, scope: anyio.CancelScope) -> None:
        state = ReadState()
        with scope:
            while True:
                try:
                    if await self._poll_limited(source, state):
                        continue
                except (AttemptError, DataError) as error:
                    self._note_failure(source, state, str(error))
                    await anyio.sleep(FAILURE_PAUSE_SECONDS)
                except Exception as error:
                    note_unexpected_error("cache events", error, cache=source.name)
                    self._note_failure(source, state, repr(error))
                    await anyio.sleep(FAILURE_PAUSE_SECONDS)
                self._note_caught_up(source, state)
                await sleep_aligned(POLL_INTERVAL_SECONDS)

    async def _poll_limited(self, source: CacheSource, state: ReadState) -> bool:
        """Poll for the next events; polls for backlogs are limited in concurrency."""
        if state.backlog is None:
            return await self._poll(source, state)
        async with self._backlog_slots:
            return await self._poll(source, state)

    async def _poll(self, source: CacheSource, state: ReadState) -> bool:
        """Poll for the next events; return whether more are likely available."""
        request = self._dialect.events(source.address, state.since, POLL_WAIT_SECONDS)
        # Polls have their own lane in the connection pool, so that a waiting poll does
        # not occupy connections needed by requests.
        head, body = await call_upstream(
            self._connection_pool,
            source.name,
            source.address,
            request,
            POLL_WAIT_SECONDS + RESPONSE_MARGIN_SECONDS,
            lane="events",
        )
        events = self._dialect.read_events(head, body)
        if not state.is_responding:
            state.is_responding = True
            log.info("cache responds again", cache=source.name, epoch=events.epoch)
        before = state.since
        is_new = state.epoch not in (None, events.epoch)
        state.epoch = events.epoch
        if is_new and events.next_number < state.since:
            # The numbering has restarted as well, so the response may lack the first
            # events.
            state.since = 0
            events = attrs.evolve(events, events=[])
        else:
            state.since = events.next_number
        is_reset = is_new and not source.incarnation
        self._publish(source, events, is_reset, state.backlog)
        return len(events.events) >= FULL_RESPONSE_EVENTS_COUNT and state.since > before

    def _note_caught_up(self, source: CacheSource, state: ReadState) -> None:
        """Mark a cache as caught up.

        The first time, send the combined backlog to peers.
        """
        self._caught_up.add(source)
        if state.backlog is None:
            return
        backlog, state.backlog = state.backlog, None
        with contain_errors("cache backlog", cache=source.name):
            changes = backlog.take()
            if changes:
                self._notify_peers(CacheReported(source.name, tuple(changes)))

    def _note_failure(self, source: CacheSource, state: ReadState, error: str) -> None:
        if state.is_responding:
            log.problem("cache not responding", cache=source.name, error=error)
        state.is_responding = False
        self._note_caught_up(source, state)

    def _publish(
        self,
        source: CacheSource,
        events: CacheEvents,
        is_reset: bool,
        backlog: EventBacklog | None,
    ) -> None:
        changes = self._translate(source, events)
        if not changes and not is_reset:
            return
        event = CacheReported(source.name, tuple(changes), is_reset)
        self._scheduler.post(event)
        if backlog is not None and not is_reset:
            backlog.add(changes)
        else:
            self._notify_peers(event)

    def _translate(
        self, source: CacheSource, events: CacheEvents
    ) -> list[CacheChanges]:
        by_version: dict[int, dict[bytes, int]] = {}
        for event in events.events:
            context = self._salts.find(event.salt)
            if context is not None:
                known = by_version.setdefault(context.weights_version, {})
                # The last of several changes of an entry applies.
                known[part_key(context.scope, event.part)] = event.kept_tokens
        return [
            CacheChanges(_label(source, version), tuple(known), tuple(known.values()))
            for version, known in by_version.items()
        ]


def _without_old_evictions(known: dict[bytes, int]) -> dict[bytes, int]:
    """Drop all but the latest evictions."""
    evicted = [prefix for prefix, tokens in known.items() if not tokens]
    old = set(evicted[:-MAX_REPORTED_EVICTIONS])
    return {prefix: tokens for prefix, tokens in known.items() if prefix not in old}


def _label(source: CacheSource, version: int) -> str:
    if source.incarnation:
        return generation_label(CacheGeneration(source.incarnation, version))
    return generation_label(store_generation(version))


def _list_scopes(scheduler: Scheduler) -> set[Scope]:
    models = {upstream.model for upstream in scheduler.upstreams if upstream.model}
    domains = {item.cache_domain for item in scheduler.admission.workspaces.values()}
    return {Scope(domain, model) for domain in domains for model in models}


def _list_versions(scheduler: Scheduler) -> set[int]:
    versions = {
        upstream.cache_generation.weights_version
        for upstream in scheduler.upstreams
        if upstream.cache_generation is not None and upstream.is_runner
    }
    newest = {
        target.weights_version for target in scheduler.upstreams.targets.all_newest()
    }
    return versions | newest
