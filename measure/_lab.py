"""Load lab: simulation of several hosts' schedulers and engines under a load pattern.

The simulation is deterministic: the same pattern, seed and disabled mechanisms give the
same result. Hosts exchange summaries as the daemon does.
"""

import math
import random
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from unittest import mock

from rampwick_policy import (
    AttemptAccepted,
    AttemptDelivered,
    AttemptDone,
    CacheChanges,
    CacheGeneration,
    CacheReported,
    CancelAttempt,
    Dispatch,
    Event,
    HostListRead,
    LivePeers,
    PeersChanged,
    PeerSummaryReceived,
    RateLimitReported,
    RateLimitUpdateReceived,
    Refuse,
    RequestArrived,
    RequestCancelled,
    Scheduler,
    Tick,
    TreeChanged,
    TreeView,
    Workspace,
    _cache_transfers,
    _dispatcher,
    _prefill_speed,
    chain_from_parts,
    generation_label,
    store_generation,
)
from rampwick_schema import (
    HostEntry,
    HostList,
    KeptStore,
    Node,
    Route,
    Routing,
    Service,
    Tree,
    WeightedService,
    parse_settings,
)

from ._lab_engine import (
    HALLS,
    HOP_SECONDS,
    SCOPE,
    Cache,
    Engine,
)
from ._lab_plain import PLAIN_SERVICE, SLOTS_COUNT, UPSTREAMS_COUNT, PlainUpstream
from ._lab_script import KINDS, PLAIN, Call, Kind, Pattern, Sample, draw_calls
from ._lab_steps import SteppedEngine
from ._runner import Clock

STORE = "kept"
SERVICE = "s"

TICK_SECONDS = 0.1
GOSSIP_SECONDS = 0.25
#: Interval of the caches' change events, and their delay until hosts receive them.
CACHE_EVENT_INTERVAL_SECONDS = 0.7
CACHE_EVENT_DELAY_SECONDS = 0.1
EARLY_SUMMARY_INTERVAL_SECONDS = 0.05
#: Time for which rate limits of upstreams are collected before they are broadcast.
RATE_UPDATE_DELAY_SECONDS = 0.02
LONG_PROMPT_TOKENS = 1000

#: Mechanisms that can be disabled.
MECHANISMS = (
    "order",
    "early-word",
    "cache-word",
    "speed",
    "link-queue",
    "estimate",
)


class Host:
    """A host's scheduler with its open requests."""

    def __init__(self, lab: "Lab", index: int) -> None:
        self._lab = lab
        self._index = index
        self.name = f"host-{index}"
        self.hall = HALLS[index % len(HALLS)]
        self.incarnation = 0
        self._sequence = 0
        self._count = 0
        self._early_summary_at_seconds = -1.0
        self.start()

    def start(self) -> None:
        """Start a new incarnation whose only state comes from the platform."""
        self.incarnation += 1
        self.open: dict[str, Sample] = {}
        settings = parse_settings(
            f'[host]\nname = "{self.name}"\nhall = "{self.hall}"\n'
            "[placement]\nprefill_tokens_per_second = 40000.0\n"
            "max_prefill_queue_seconds = 0.3\nconnect_price_seconds = 0.01\n"
            f"{self._lab.pattern.placement_settings}"
            f"[queue]\n{self._lab.queue_settings}",
            source="lab",
        )
        self.scheduler = Scheduler(settings)
        self.scheduler.pool.rates.on_update = self._schedule_rate_update
        self.handle(PeersChanged(self._live_peers(), is_leaving=False))
        self.handle(TreeChanged(self._lab.view))
        self.handle(HostListRead(self._lab.host_list))

    def _live_peers(self) -> LivePeers:
        halls = {
            f"host-{index}": HALLS[index % len(HALLS)]
            for index in range(self._lab.pattern.hosts_count)
        }
        hall_peers = frozenset(
            name
            for name, hall in halls.items()
            if hall == self.hall and name != self.name
        )
        return LivePeers(hall_peers, hall_peers, frozenset(halls.values()))

    def _schedule_rate_update(self) -> None:
        self._lab.clock.after(RATE_UPDATE_DELAY_SECONDS, self._broadcast_rate_update)

    def _broadcast_rate_update(self) -> None:
        update = self.scheduler.pool.rates.take_update(self._lab.clock.now_seconds)
        if update is None:
            return
        for peer in self._lab.hosts:
            if peer is not self:
                self._lab.clock.after(
                    HOP_SECONDS, peer.handle, RateLimitUpdateReceived(update)
                )

    def arrive(self, sample: Sample) -> None:
        """Receive a request of a caller."""
        self._count += 1
        request_id = f"{self.name}.{self.incarnation}.{self._count}"
        self.open[request_id] = sample
        call = sample.call
        is_plain = call.kind is PLAIN
        now_seconds = self._lab.clock.now_seconds
        sample.tries_count += 1
        sample.submitted_seconds = now_seconds
        if sample.tries_count == 1:
            sample.deadline_seconds = now_seconds + call.kind.deadline_seconds
        self.handle(
            RequestArrived(
                request_id=request_id,
                workspace=self._lab.workspaces[call.workspace],
                priority_class=call.kind.priority_class,
                deadline_seconds=sample.deadline_seconds,
                is_repeatable=False,
                chain=None if is_plain else chain_from_parts(SCOPE, call.parts),
                scope=None if is_plain else SCOPE,
                service=PLAIN_SERVICE if is_plain else SERVICE,
                latency_target_seconds=call.kind.target_seconds,
                max_answer_tokens=call.kind.answer_tokens,
                pause_target_seconds=_pause_target_seconds(call.kind),
            )
        )

    def handle(self, event: Event) -> None:
        """Pass an event to the scheduler and execute its actions."""
        for action in self.scheduler.handle(event, self._lab.clock.now_seconds):
            if isinstance(action, Dispatch):
                self._send(action)
            elif isinstance(action, Refuse):
                self._lab.note_refused(self.open.pop(action.request_id), action, self)
            elif isinstance(action, CancelAttempt):
                continue

    def _send(self, dispatch: Dispatch) -> None:
        sample = self.open[dispatch.request_id]
        engine = self._lab.upstreams[dispatch.upstream]
        self._lab.clock.after(HOP_SECONDS, engine.receive, self, dispatch, sample)
        choice = dispatch.choice
        if choice is not None and choice.missing_tokens >= LONG_PROMPT_TOKENS:
            self._publish_early()

    def _publish_early(self) -> None:
        now_seconds = self._lab.clock.now_seconds
        due_seconds = self._early_summary_at_seconds + EARLY_SUMMARY_INTERVAL_SECONDS
        if (
            "early-word" in self._lab.without
            or not self._lab.pattern.has_early_summaries
            or now_seconds < self._early_summary_at_seconds
        ):
            return
        at_seconds = max(now_seconds, due_seconds)
        self._early_summary_at_seconds = at_seconds
        self._lab.clock.after(at_seconds - now_seconds, self.publish_summary)

    def first_token(self, dispatch: Dispatch) -> None:
        """Receive the first token of an attempt."""
        sample = self.open.get(dispatch.request_id)
        if sample is None:
            return
        sample.first_seconds = self._lab.clock.now_seconds
        self._report_rate(dispatch)
        names = (dispatch.request_id, dispatch.attempt_id)
        self.handle(AttemptAccepted(*names))
        self.handle(AttemptDelivered(*names))

    def _report_rate(self, dispatch: Dispatch) -> None:
        rate = self._lab.upstreams[dispatch.upstream].rate_per_second
        if rate is not None:
            now_seconds = self._lab.clock.now_seconds
            observation = RateLimitReported(
                dispatch.upstream, dispatch.incarnation, rate, now_seconds
            )
            self.handle(observation)

    def expire(self, dispatch: Dispatch, sample: Sample) -> None:
        """End an attempt whose deadline passed before its upstream started it."""
        if self.open.pop(dispatch.request_id, None) is None:
            return
        sample.refused = "deadline_passed"
        sample.refused_seconds = self._lab.clock.now_seconds
        self.handle(RequestCancelled(dispatch.request_id))

    def done(self, dispatch: Dispatch, sample: Sample) -> None:
        """Receive the end of an attempt."""
        if self.open.pop(dispatch.request_id, None) is None:
            return
        tokens = sum(part.tokens for part in sample.call.parts)
        missing = dispatch.choice.missing_tokens if dispatch.choice else 0
        self.handle(
            AttemptDone(
                dispatch.request_id,
                dispatch.attempt_id,
                cached_tokens=max(0, tokens - missing),
                prompt_tokens=tokens,
                answer_tokens=sample.call.kind.answer_tokens,
                connection_idle_seconds=4.0,
            )
        )

    def publish_summary(self) -> None:
        """Send a summary to all peers."""
        if not self._lab.pattern.has_peer_summaries:
            return
        self._sequence += 1
        now_seconds = self._lab.clock.now_seconds
        summary = self.scheduler.summary(self._sequence, 1, False, now_seconds)
        received = PeerSummaryReceived(self.name, self.hall, self.incarnation, summary)
        for peer in self._lab.hosts:
            if peer is not self:
                self._lab.clock.after(HOP_SECONDS, peer.receive_summary, received)

    def receive_summary(self, received: PeerSummaryReceived) -> None:
        """Receive a peer's summary, unless the hosts are down."""
        if not self._lab.is_down:
            self.handle(received)


class Lab:
    """A simulation of one load pattern."""

    def __init__(
        self, pattern: Pattern, seed: int, without: frozenset[str] = frozenset()
    ) -> None:
        self.pattern = pattern
        self.without = without
        self.clock = Clock()
        self.samples: list[Sample] = []
        self.is_down = False
        self._rng = random.Random(seed)
        self._calls = draw_calls(pattern, seed)
        self.store = Cache(600_000)
        engine_class = SteppedEngine if pattern.fleet else Engine
        self.engines: dict[str, Engine] = {
            f"e{index}": engine_class(self, f"e{index}", HALLS[index % len(HALLS)])
            for index in range(pattern.engines_count)
        }
        self.plain_upstreams = {
            f"p{index}": PlainUpstream(self, f"p{index}", HALLS[index % len(HALLS)])
            for index in range(UPSTREAMS_COUNT if pattern.plain_per_second else 0)
        }
        self.upstreams: dict[str, Engine | PlainUpstream] = {
            **self.engines,
            **self.plain_upstreams,
        }
        entries = [_entry(item, pattern) for item in self.engines.values()]
        entries += [_plain_entry(item) for item in self.plain_upstreams.values()]
        self.host_list = HostList(1, entries)
        self.view = TreeView(_tree(pattern))
        self.workspaces: list[Workspace] = list(self.view.workspaces.values())
        self.hosts = [Host(self, index) for index in range(pattern.hosts_count)]

    def run(self) -> list[Sample]:
        """Simulate the pattern; return the requests after the warm-up."""
        with disable_mechanisms(self.without):
            for host in self.hosts:
                phase = self._rng.random()
                self.clock.after(phase * GOSSIP_SECONDS, self._gossip, host)
                self.clock.after(phase * TICK_SECONDS, self._tick, host)
            self.clock.after(CACHE_EVENT_INTERVAL_SECONDS, self._publish_cache_changes)
            for call in self._calls:
                self.clock.after(call.at_seconds, self._arrive, call)
            if self.pattern.off_until_seconds:
                self.clock.after(self.pattern.off_from_seconds, self._stop_hosts)
                self.clock.after(self.pattern.off_until_seconds, self._restart_hosts)
            self.clock.run_until(self.pattern.length_seconds + 15.0)
        return [
            sample
            for sample in self.samples
            if sample.call.at_seconds >= self.pattern.warm_seconds
        ]

    def _arrive(self, call: Call) -> None:
        sample = Sample(call)
        self.samples.append(sample)
        if self.is_down:
            # The caller's connection waits until a host is up again.
            wait = self.pattern.off_until_seconds - self.clock.now_seconds
            self.clock.after(wait + 0.3 * self._rng.random(), self._submit, sample)
        else:
            self._submit(sample)

    def _submit(self, sample: Sample) -> None:
        self._rng.choice(self.hosts).arrive(sample)

    @property
    def queue_settings(self) -> str:
        """Lines of the hosts' settings on the queue."""
        is_estimated = self.pattern.estimates_start and "estimate" not in self.without
        return (
            f"estimates_start = {str(is_estimated).lower()}\n"
            f"max_waiting_count = {self.pattern.max_waiting_count}\n"
        )

    def note_refused(self, sample: Sample, refuse: Refuse, host: Host) -> None:
        """Record a refusal; the caller may try another host."""
        now_seconds = self.clock.now_seconds
        sample.held_times_seconds.append(now_seconds - sample.submitted_seconds)
        others = [item for item in self.hosts if item is not host]
        if self.pattern.repeats_at_once and sample.tries_count == 1 and others:
            other = self._rng.choice(others)
            self.clock.after(2.0 * HOP_SECONDS, other.arrive, sample)
            return
        sample.refused = refuse.reason
        sample.refused_seconds = now_seconds

    def _gossip(self, host: Host) -> None:
        if not self.is_down:
            host.publish_summary()
        self.clock.after(GOSSIP_SECONDS, self._gossip, host)

    def _tick(self, host: Host) -> None:
        if not self.is_down:
            host.handle(Tick())
        self.clock.after(TICK_SECONDS, self._tick, host)

    def _publish_cache_changes(self) -> None:
        self.clock.after(CACHE_EVENT_INTERVAL_SECONDS, self._publish_cache_changes)
        for name, label, cache in self._caches():
            changed = cache.take_changes()
            if changed:
                self.clock.after(
                    CACHE_EVENT_DELAY_SECONDS,
                    self._deliver_cache_changes,
                    name,
                    label,
                    changed,
                )

    def _caches(self) -> Iterator[tuple[str, str, Cache]]:
        for engine in self.engines.values():
            yield (
                engine.name,
                generation_label(CacheGeneration(engine.name, 1)),
                engine.cache,
            )
        yield STORE, generation_label(store_generation(1)), self.store

    def _deliver_cache_changes(
        self, name: str, label: str, changed: dict[bytes, int]
    ) -> None:
        changes = CacheChanges(label, tuple(changed), tuple(changed.values()))
        for host in self.hosts:
            if not self.is_down:
                host.handle(CacheReported(name, (changes,)))

    def _stop_hosts(self) -> None:
        self.is_down = True

    def _restart_hosts(self) -> None:
        self.is_down = False
        for host in self.hosts:
            host.start()
        if "cache-word" not in self.without:
            for name, label, cache in self._caches():
                self.clock.after(
                    0.02, self._deliver_cache_changes, name, label, dict(cache.tokens)
                )


def _entry(engine: Engine, pattern: Pattern) -> HostEntry:
    return HostEntry(
        engine.name,
        "runner",
        engine.hall,
        f"{engine.name}:1",
        group=SERVICE,
        incarnation=engine.name,
        model=SCOPE.model,
        weights_version=1,
        slots_count=pattern.slots_count,
    )


def _plain_entry(upstream: PlainUpstream) -> HostEntry:
    return HostEntry(
        upstream.name,
        "service",
        upstream.hall,
        f"{upstream.name}:1",
        group=PLAIN_SERVICE,
        slots_count=SLOTS_COUNT,
    )


def _tree(pattern: Pattern) -> Tree:
    service = Service(
        SERVICE,
        is_engine=True,
        cache_tokens=pattern.cache_tokens,
        token_bytes=pattern.token_bytes,
        link_bits_per_second=pattern.link_bits_per_second,
        event_tokens=pattern.stride_tokens,
    )
    store = KeptStore(
        STORE, f"{STORE}:1", HALLS[1], 600_000, pattern.link_bits_per_second
    )
    nodes = {"/": Node()}
    nodes |= {f"/w{index}": Node(is_workspace=True) for index in range(8)}
    routes = [
        Route(
            kind.name,
            "lab",
            f"/{kind.name}/",
            [WeightedService(SERVICE)],
            gap_target_seconds=_pause_target_seconds(kind) or 0.0,
        )
        for kind in KINDS[pattern.fleet]
    ]
    routing = Routing(
        services=[service, Service(PLAIN_SERVICE)], kept_stores=[store], routes=routes
    )
    return Tree(1, nodes, routing)


def _pause_target_seconds(kind: Kind) -> float | None:
    target_seconds = kind.pause_target_seconds
    return target_seconds if math.isfinite(target_seconds) else None


@contextmanager
def disable_mechanisms(names: frozenset[str]) -> Iterator[None]:
    """Disable mechanisms of the policy within the context."""
    unknown = names - set(MECHANISMS)
    if unknown:
        raise ValueError(f"unknown: {sorted(unknown)}; known: {MECHANISMS}")
    with ExitStack() as stack:

        def replace(target: object, name: str, value: object) -> None:
            stack.enter_context(mock.patch.object(target, name, value))

        if "order" in names:
            replace(_dispatcher, "cannot_meet_target", lambda item, now_seconds: False)
            replace(
                _dispatcher, "latest_answer_start_seconds", lambda item: float("inf")
            )
            replace(_dispatcher, "late_queue_ratio", lambda *_: 1.0)
        if "speed" in names:
            replace(_prefill_speed.PrefillSpeed, "note", lambda *_: None)
        if "link-queue" in names:
            replace(_cache_transfers.CacheTransfers, "waiting_tokens", lambda *_: 0)
        yield


def in_time_ratio(samples: list[Sample], kind: Kind | None = None) -> float:
    """Return the share of requests, of one kind or all, that met their target."""
    counted = [item for item in samples if kind is None or item.call.kind == kind]
    return sum(item.outcome == "in time" for item in counted) / max(1, len(counted))
