"""The task that reads cache events of engines and stores, for this host and peers."""

from collections.abc import Callable, Iterable

import anyio
import attrs

from rampwick_platform import sleep_on_grid
from rampwick_policy import (
    CacheChanges,
    CacheSeen,
    Life,
    Member,
    Neighbours,
    SaltBook,
    Scheduler,
    Scope,
    is_cache_reader,
    kept_life,
    life_label,
    part_key,
)
from rampwick_schema import DataError, Shown

from .._dialects import CacheDialect, CacheEvents
from .._errors import AttemptError
from .._logs import ComponentLogger
from .._scheduler_task import SchedulerTask
from ._channels import ChannelPool
from ._control import call_upstream

#: Longest wait of one question, and what its answer may take beyond.
WAIT_SECONDS = 1.0
ANSWER_SECONDS = 0.5

#: Time between two questions to one cache. Events come in all the time, so that a
#: question seldom waits, and each one has its price; placements that hosts tell each
#: other fill the time between.
PERIOD_SECONDS = 0.7

#: Events in one answer from which the next question follows at once. Caches tell a few
#: hundred at a time, the oldest first: at one answer a period a host that has just
#: started would have all saved again before it knows what a cache holds.
MANY_EVENTS_COUNT = 200

#: Time from a host's start in which it reads the caches of its own hall only: the
#: others' readers tell it theirs as soon as they are linked, at a part of the bytes.
ALONE_AFTER_SECONDS = 1.0

#: Caches asked at once for what they told before this host listened: their answers are
#: as long as they may be, and a weak link has requests to carry beside them.
HISTORIES_AT_ONCE = 4

#: Entries that went before a reader had caught up of which peers are told: what went in
#: the second or two in which a reader before it was missing.
TOLD_LOSSES_COUNT = 100

#: Wait after a question that failed.
FAILURE_PAUSE_SECONDS = 1.0

#: Time between two looks at which caches this host is to read.
ROLE_SECONDS = 1.0

#: The same in the first moments of a host, until it knows which caches there are: until
#: it has read them it takes each prompt for unknown and each runner for full.
FIRST_ROLE_SECONDS = 0.02
FIRST_MOMENTS_SECONDS = 3.0

log = ComponentLogger("cache")


@attrs.frozen(repr=False)
class Source(Shown):
    """A cache whose events are read."""

    name: str
    hall: str
    address: str
    #: Life of the engine; empty for a store, which outlives all weights.
    incarnation: str = ""


@attrs.define(repr=False)
class History(Shown):
    """What a cache told before this host had caught up with it, for peers.

    Engines remember thousands of events and hold some dozens of entries. Told event by
    event, they would fill the links and keep hosts busy while callers wait, whenever
    all hosts of a large fleet come back.
    """

    #: Tokens kept now by life and prefix, those that changed last at the end.
    _tokens: dict[str, dict[bytes, int]] = attrs.field(factory=dict)

    def add(self, changes: Iterable[CacheChanges]) -> None:
        """Take what the next events changed."""
        for change in changes:
            known = self._tokens.setdefault(change.label, {})
            for prefix, tokens in zip(change.prefixes, change.tokens, strict=False):
                known.pop(prefix, None)
                known[prefix] = tokens

    def take(self) -> list[CacheChanges]:
        """Return what is kept, and what went last; begin anew."""
        tokens_by_label, self._tokens = self._tokens, {}
        return [
            CacheChanges(label, tuple(told), tuple(told.values()))
            for label, known in tokens_by_label.items()
            if (told := _without_old_losses(known))
        ]


@attrs.define(repr=False)
class Reading(Shown):
    """Where the reading of one cache stands."""

    epoch: int | None = None
    since: int = 0
    #: Whether the last question was answered.
    is_heard: bool = True
    #: What peers have not been told yet of the time before; none once they were.
    history: History | None = attrs.field(factory=History)


class CacheReaderTask:
    """Reads the events of those caches that are this host's to read."""

    def __init__(
        self,
        own: Member,
        scheduler: SchedulerTask,
        channels: ChannelPool,
        dialect: CacheDialect,
        salts: SaltBook,
        notify_peers: Callable[[CacheSeen], None],
        list_neighbours: Callable[[], Neighbours],
    ) -> None:
        self._own = own
        self._scheduler = scheduler
        self._channels = channels
        self._dialect = dialect
        self._salts = salts
        self._notify_peers = notify_peers
        self._list_neighbours = list_neighbours
        self._scopes: dict[Source, anyio.CancelScope] = {}
        self._histories = anyio.CapacityLimiter(HISTORIES_AT_ONCE)
        self._began_seconds: float | None = None
        #: Whether any cache is known, read here or elsewhere.
        self._knows_any = False
        #: Caches that told all that they had, or did not answer.
        self._caught_up: set[Source] = set()

    async def run(self) -> None:
        """Read until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                wanted = self._scheduler.run_query(self._list_sources)
                for source in self._scopes.keys() - wanted:
                    self._scopes.pop(source).cancel()
                    self._caught_up.discard(source)
                for source in wanted - self._scopes.keys():
                    scope = self._scopes[source] = anyio.CancelScope()
                    tasks.start_soon(self._follow, source, scope)
                await sleep_on_grid(self._scheduler.run_query(self._pause_seconds))

    @property
    def is_caught_up(self) -> bool:
        """Whether the caches that are read here are known, and what they hold."""
        return self._knows_any and self._scopes.keys() <= self._caught_up

    def _age_seconds(self, now_seconds: float) -> float:
        """Return the time since this host first looked for caches."""
        if self._began_seconds is None:
            self._began_seconds = now_seconds
        return now_seconds - self._began_seconds

    def _pause_seconds(self, scheduler: Scheduler, now_seconds: float) -> float:
        """Return the time until the next look."""
        is_first = self._age_seconds(now_seconds) < FIRST_MOMENTS_SECONDS
        if is_first and not self._knows_any:
            return FIRST_ROLE_SECONDS
        return ROLE_SECONDS

    def read_names(self) -> set[str]:
        """Return the names of the caches that this host reads."""
        return {source.name for source in self._scopes}

    def _list_sources(self, scheduler: Scheduler, now_seconds: float) -> set[Source]:
        imports = scheduler.pool.imports
        sources = {
            Source(
                upstream.name,
                upstream.entry.hall,
                upstream.entry.address,
                upstream.entry.incarnation,
            )
            for upstream in scheduler.upstreams
            if upstream.is_runner and imports.service(upstream.entry.group) is not None
        }
        sources.update(
            Source(store.name, store.hall, store.address) for store in imports.stores()
        )
        self._salts.prepare(_list_scopes(scheduler), _list_versions(scheduler))
        self._knows_any = bool(sources)
        near = self._list_neighbours()
        if not near.halls and self._age_seconds(now_seconds) < ALONE_AFTER_SECONDS:
            sources = {item for item in sources if item.hall == self._own.hall}
        return {
            source
            for source in sources
            if is_cache_reader(self._own, source.name, source.hall, near)
        }

    async def _follow(self, source: Source, scope: anyio.CancelScope) -> None:
        reading = Reading()
        with scope:
            while True:
                try:
                    if await self._ask_in_turn(source, reading):
                        continue
                except (AttemptError, DataError) as error:
                    self._note_silence(source, reading, str(error))
                    self._note_caught_up(source, reading)
                    await anyio.sleep(FAILURE_PAUSE_SECONDS)
                self._note_caught_up(source, reading)
                await sleep_on_grid(PERIOD_SECONDS)

    async def _ask_in_turn(self, source: Source, reading: Reading) -> bool:
        """Ask for the next events; for those of the time before, a few at once."""
        if reading.history is None:
            return await self._ask(source, reading)
        async with self._histories:
            return await self._ask(source, reading)

    async def _ask(self, source: Source, reading: Reading) -> bool:
        """Ask for the next events; return whether there are likely more already."""
        request = self._dialect.events(source.address, reading.since, WAIT_SECONDS)
        # Named apart from requests, so that a waiting call holds none of theirs up.
        head, body = await call_upstream(
            self._channels,
            f"{source.name} events",
            source.address,
            request,
            WAIT_SECONDS + ANSWER_SECONDS,
        )
        events = self._dialect.read_events(head, body)
        if not reading.is_heard:
            reading.is_heard = True
            log.info("cache tells again", cache=source.name, epoch=events.epoch)
        before = reading.since
        is_new = reading.epoch not in (None, events.epoch)
        reading.epoch = events.epoch
        if is_new and events.next_number < reading.since:
            # Numbers began anew, too: the answer may have left the first ones out.
            reading.since = 0
            events = attrs.evolve(events, events=[])
        else:
            reading.since = events.next_number
        is_reset = is_new and not source.incarnation
        self._pass_on(source, events, is_reset, reading.history)
        return len(events.events) >= MANY_EVENTS_COUNT and reading.since > before

    def _note_caught_up(self, source: Source, reading: Reading) -> None:
        """Tell peers what came of all events up to now, at the first time."""
        self._caught_up.add(source)
        if reading.history is None:
            return
        changes = reading.history.take()
        reading.history = None
        if changes:
            self._notify_peers(CacheSeen(source.name, tuple(changes)))

    def _note_silence(self, source: Source, reading: Reading, error: str) -> None:
        if reading.is_heard:
            log.problem("cache does not tell", cache=source.name, error=error)
        reading.is_heard = False

    def _pass_on(
        self,
        source: Source,
        events: CacheEvents,
        is_reset: bool,
        history: History | None,
    ) -> None:
        changes = self._translate(source, events)
        if not changes and not is_reset:
            return
        seen = CacheSeen(source.name, tuple(changes), is_reset)
        self._scheduler.post(seen)
        if history is not None and not is_reset:
            history.add(changes)
        else:
            self._notify_peers(seen)

    def _translate(self, source: Source, events: CacheEvents) -> list[CacheChanges]:
        by_version: dict[int, dict[bytes, int]] = {}
        for event in events.events:
            meaning = self._salts.find(event.salt)
            if meaning is not None:
                known = by_version.setdefault(meaning.weights_version, {})
                # Of several changes of an entry the last one holds.
                known[part_key(meaning.scope, event.part)] = event.kept_tokens
        return [
            CacheChanges(_label(source, version), tuple(known), tuple(known.values()))
            for version, known in by_version.items()
        ]


def _without_old_losses(known: dict[bytes, int]) -> dict[bytes, int]:
    """Return the entries that are kept, and those of the others that went last."""
    lost = [prefix for prefix, tokens in known.items() if not tokens]
    old = set(lost[:-TOLD_LOSSES_COUNT])
    return {prefix: tokens for prefix, tokens in known.items() if prefix not in old}


def _label(source: Source, version: int) -> str:
    if source.incarnation:
        return life_label(Life(source.incarnation, version))
    return life_label(kept_life(version))


def _list_scopes(scheduler: Scheduler) -> set[Scope]:
    models = {upstream.model for upstream in scheduler.upstreams if upstream.model}
    walls = {item.cache_wall for item in scheduler.admission.workspaces.values()}
    return {Scope(wall, model) for wall in walls for model in models}


def _list_versions(scheduler: Scheduler) -> set[int]:
    versions = {
        upstream.life.weights_version
        for upstream in scheduler.upstreams
        if upstream.life is not None and upstream.is_runner
    }
    newest = {
        target.weights_version for target in scheduler.upstreams.targets.all_newest()
    }
    return versions | newest
