"""The owner of the scheduler, which other tasks access through events and queries.

Events are handled synchronously and in order. All tasks run in one thread, so that a
queue would bring no concurrency, and each iteration of the event loop that it adds
costs as much as a decision.
"""

import time
from collections import deque
from collections.abc import Callable, Iterable
from typing import Any

import anyio
import attrs
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from rampwick_platform import move_on_after_aligned
from rampwick_policy import (
    Action,
    AnswerTimings,
    AttemptFailed,
    BegunStreams,
    CancelAttempt,
    Dispatch,
    Event,
    IneligibleReason,
    LateCause,
    PeerView,
    Refuse,
    RequestArrived,
    RequestQuarantine,
    RequestRates,
    Scheduler,
    ShutdownAnnouncements,
    SoftwareVersions,
    StateChange,
    Tick,
    UpstreamPath,
)
from rampwick_schema import (
    BegunStreamsUpdate,
    HostEntry,
    NamedWeights,
    ReprMixin,
    Summary,
    WeightsTarget,
)

from ._logs import ComponentLogger, milliseconds
from ._unexpected_errors import contain_errors

#: Interval between checks of deadlines, and the interval while no request is open.
TICK_SECONDS = 0.1
IDLE_TICK_SECONDS = 1.0

#: Delay of a check from which it is logged: peers take a host that doesn't answer a
#: probe for that long for unreachable.
BLOCKED_LOOP_SECONDS = 0.3

#: Uncached prompt tokens from which a dispatch is published to peers immediately.
LONG_PROMPT_TOKENS = 1000

#: Recent decisions retained for the explain endpoint.
MAX_RETAINED_DECISIONS = 1000

#: Maximum number of attempts queued for cancellation at their upstreams.
MAX_QUEUED_CANCELS = 10_000

log = ComponentLogger("beliefs")
loop_log = ComponentLogger("loop")


@attrs.frozen(repr=False)
class Decision(ReprMixin):
    """A dispatch or refusal with the time of the decision."""

    at_seconds: float
    action: Dispatch | Refuse
    #: Request id that the caller sees.
    caller_request_id: str


@attrs.frozen(repr=False)
class Answer(ReprMixin):
    """The timings of a complete answer."""

    attempt_id: str
    timings: AnswerTimings
    #: What made it late; none if it was in time.
    late_cause: LateCause | None


@attrs.frozen(repr=False)
class DecisionChannel(ReprMixin):
    """Delivers the decisions about an open request."""

    sender: MemoryObjectSendStream[Dispatch | Refuse]
    caller_request_id: str


class SchedulerTask:
    """Passes events to the scheduler and executes the resulting actions."""

    def __init__(self, scheduler: Scheduler, read_clock: Callable[[], float]) -> None:
        self._scheduler = scheduler
        self._read_clock = read_clock
        #: Events posted while another event was being handled.
        self._pending: deque[Event] = deque()
        self._is_handling = False
        self._cancels: MemoryObjectSendStream[CancelAttempt]
        self.cancels: MemoryObjectReceiveStream[CancelAttempt]
        self._cancels, self.cancels = anyio.create_memory_object_stream(
            MAX_QUEUED_CANCELS
        )
        self._decision_channels: dict[str, DecisionChannel] = {}
        self._decisions: deque[Decision] = deque(maxlen=MAX_RETAINED_DECISIONS)
        self._answers: deque[Answer] = deque(maxlen=MAX_RETAINED_DECISIONS)
        self._has_open = anyio.Event()
        #: Set when an upstream needs an immediate probe, then replaced by a new event.
        self.probe_requested = anyio.Event()
        #: Called after the dispatch of a prompt that occupies a runner for long.
        self.on_long_prompt: Callable[[], None] = _do_nothing
        #: Called when demand of a workspace near its limit grows sharply at this host.
        self.on_burst: Callable[[], None] = _do_nothing

    @property
    def quarantine(self) -> RequestQuarantine:
        """Requests suspected of crashing upstreams."""
        return self._scheduler.quarantine

    @property
    def rates(self) -> RequestRates:
        """Request rate limits reported by upstreams."""
        return self._scheduler.pool.rates

    @property
    def shutdown_announcements(self) -> ShutdownAnnouncements:
        """Upstreams that announced a shutdown."""
        return self._scheduler.upstreams.shutdown_announcements

    @property
    def software_versions(self) -> SoftwareVersions:
        """The versions of upstreams, and those that streams have to stay with."""
        return self._scheduler.software_versions

    @property
    def begun_streams(self) -> BegunStreams | None:
        """The versions at which streams began; none where entries state no versions."""
        versions = self._scheduler.software_versions
        return versions.streams if versions.is_enabled else None

    def set_silence(self, silent_seconds: Callable[[str, float], float]) -> None:
        """Set the function that returns how long an attempt's upstream is silent."""
        self._scheduler.silent_seconds = silent_seconds

    def set_list_age(self, read_age_seconds: Callable[[float], float]) -> None:
        """Set the function that returns the age of the host list at a time."""
        history = self._scheduler.software_versions.history
        history.list_age_seconds = read_age_seconds

    def note_list_confirmed(self) -> None:
        """Note the age that the host list has reached before it is confirmed again.

        After a pause of the event loop the list may be confirmed before the next tick.
        """
        self._scheduler.software_versions.note_time(self._read_clock())

    def note_transient(self, entries: Iterable[HostEntry]) -> None:
        """Record entries that no list had, but by which other hosts may have sent."""
        versions = self._scheduler.software_versions
        versions.note_transient(entries, self._read_clock())

    def needs_recent_list(self, arrival: RequestArrived) -> bool:
        """Return whether a request must wait for a list that is read now."""
        versions = self._scheduler.software_versions
        return versions.needs_recent_list(arrival, self._read_clock())

    def receive_begun_streams(
        self, update: BegunStreamsUpdate, *, must_forward: bool, is_from_group: bool
    ) -> None:
        """Apply a peer's update, which makes no waiting request dispatchable."""
        self._scheduler.software_versions.streams.receive_update(
            update,
            self._read_clock(),
            must_forward=must_forward,
            is_from_group=is_from_group,
        )

    def has_request_rate(self, upstream: str) -> bool:
        """Return whether an upstream has reported a request rate limit recently."""
        return self.rates.has_observation(upstream)

    def is_brittle(self, upstream: str) -> bool:
        """Return whether an upstream belongs to a service that is brittle."""
        found = self._scheduler.upstreams.get(upstream)
        return found is not None and self._scheduler.pool.brittle.is_brittle(found)

    def withdrawal(self, dispatch: Dispatch) -> IneligibleReason | None:
        """Return why a dispatched request must not be sent; None if it may be."""
        return self._scheduler.pool.withdrawal(
            dispatch.upstream,
            dispatch.address,
            dispatch.incarnation,
            self._read_clock(),
        )

    def may_give_up(self, request_id: str) -> bool:
        """Return whether a request's attempt may end though it may be sound."""
        return self._scheduler.may_give_up(request_id, self._read_clock())

    def path(self, upstream: str) -> UpstreamPath:
        """Return the path to an upstream or a store of cached prompts."""
        if self._scheduler.pool.is_tunnelled(upstream):
            return UpstreamPath.TUNNEL
        return UpstreamPath.DIRECT

    def upstream_hall(self, upstream: str) -> str:
        """Return the hall of an upstream; empty if it is not listed."""
        found = self._scheduler.upstreams.get(upstream)
        return found.entry.hall if found is not None else ""

    @property
    def hosts_count(self) -> int:
        """Highest recent number of hosts alive at once, including this one."""
        return self._scheduler.peers.known_hosts_count

    def peer_views(self, now_seconds: float) -> list[PeerView]:
        """Return the latest state of the peers that are alive."""
        return list(self._scheduler.peers.live(now_seconds))

    def list_peers(self, now_seconds: float) -> tuple[set[str], set[str]]:
        """Return the names of the live peers, and of those that are ready."""
        return self._scheduler.list_peers(now_seconds)

    def live_names(self, now_seconds: float) -> set[str]:
        """Return the names of the peers that are alive."""
        return {view.name for view in self._scheduler.peers.live(now_seconds)}

    def note_check(self, now_seconds: float) -> None:
        """Record that this host reads what its peers send, at each check of links."""
        self._scheduler.peers.note_check(now_seconds)

    def targets(self) -> list[WeightsTarget]:
        """Return the newest known target version of each model's weights."""
        return self._scheduler.upstreams.targets.all_newest()

    def named_weights(self) -> list[NamedWeights]:
        """Return the ages of target versions, as far as they are known."""
        return self._scheduler.upstreams.targets.ages(self._read_clock())

    def targets_age_seconds(self) -> float:
        """Return the time since this host itself read the targets, or infinity."""
        now_seconds = self._read_clock()
        return self._scheduler.upstreams.targets.read_age_seconds(now_seconds)

    def post(self, event: Event) -> None:
        """Handle an event now, or after the event that is being handled."""
        self._pending.append(event)
        if self._is_handling:
            return
        self._is_handling = True
        try:
            while self._pending:
                self._handle(self._pending.popleft(), self._read_clock())
        finally:
            self._is_handling = False

    def submit(
        self, arrival: RequestArrived, caller_request_id: str
    ) -> MemoryObjectReceiveStream[Dispatch | Refuse]:
        """Submit a request; its decisions arrive on the returned stream."""
        sender, receiver = anyio.create_memory_object_stream[Dispatch | Refuse](8)
        self._decision_channels[arrival.request_id] = DecisionChannel(
            sender, caller_request_id
        )
        self._has_open.set()
        self.post(arrival)
        return receiver

    def close_decisions(self, request_id: str) -> None:
        """Stop the delivery of decisions for a request with a final response."""
        channel = self._decision_channels.pop(request_id, None)
        if channel is not None:
            channel.sender.close()

    def with_relayed_limits(self, summary: Summary) -> Summary:
        """Return the sum of a hall or the fleet with this relay's counts of limits."""
        limits = self._scheduler.limits
        return limits.with_relayed_limits(summary, self._read_clock())

    def run_query(self, query: Callable[[Scheduler, float], Any]) -> Any:
        """Call a function with the scheduler and the current time."""
        return query(self._scheduler, self._read_clock())

    def note_members(self, count: int) -> None:
        """Record the number of known hosts in the fleet, alive or not."""
        self._scheduler.limits.note_members(count, self._read_clock())

    def decisions(self, request_id: str) -> list[Decision]:
        """Return recent decisions on a request, by its id here or at the caller."""
        return [
            decision
            for decision in self._decisions
            if request_id in (decision.action.request_id, decision.caller_request_id)
        ]

    def note_answer(self, answer: Answer) -> None:
        """Retain the timings of an answer for the explain endpoint."""
        self._answers.append(answer)

    def answer(self, attempt_id: str) -> Answer | None:
        """Return the recent answer of an attempt; None if it has not completed."""
        found = (item for item in self._answers if item.attempt_id == attempt_id)
        return next(found, None)

    async def run(self) -> None:
        """Post clock ticks until cancelled."""
        while True:
            if self._scheduler.open_count:
                await self._sleep_one_tick()
            else:
                self._has_open = anyio.Event()
                with move_on_after_aligned(IDLE_TICK_SECONDS):
                    await self._has_open.wait()
            with contain_errors("scheduler tick"):
                self.post(Tick())

    async def _sleep_one_tick(self) -> None:
        """Sleep, and log if the event loop woke this task up much too late.

        The processor time tells whether this process was busy or was not run.
        """
        began_seconds, cpu_seconds = self._read_clock(), time.process_time()
        await anyio.sleep(TICK_SECONDS)
        late_seconds = self._read_clock() - began_seconds - TICK_SECONDS
        if late_seconds >= BLOCKED_LOOP_SECONDS:
            loop_log.problem(
                "event loop was blocked",
                blocked_ms=milliseconds(late_seconds),
                processor_ms=milliseconds(time.process_time() - cpu_seconds),
                open_count=self._scheduler.open_count,
            )

    def _handle(self, event: Event, now_seconds: float) -> None:
        for action in self._scheduler.handle(event, now_seconds):
            self._execute(action, now_seconds)
        if isinstance(event, RequestArrived) and self._scheduler.limits.has_burst(
            event.workspace, now_seconds
        ):
            self.on_burst()
        if isinstance(event, AttemptFailed) and event.was_closed:
            self._request_probes()
        for change in self._scheduler.pool.state_changes.take():
            self._log_state_change(change)

    def _log_state_change(self, change: StateChange) -> None:
        log.info(
            f"{change.kind} is {_first_word(change.after)}",
            name=change.name,
            before=change.before,
            after=change.after,
            reason=change.reason,
        )
        if change.kind == "upstream":
            self._request_probes()

    def _request_probes(self) -> None:
        self.probe_requested.set()
        self.probe_requested = anyio.Event()

    def _execute(self, action: Action, now_seconds: float) -> None:
        if isinstance(action, CancelAttempt):
            try:
                self._cancels.send_nowait(action)
            except anyio.WouldBlock:
                # The engine ends the attempt by itself once its connection is closed.
                return
            return
        if isinstance(action, Dispatch) and _is_long(action):
            self.on_long_prompt()
        channel = self._decision_channels.get(action.request_id)
        caller_id = channel.caller_request_id if channel else ""
        self._decisions.append(Decision(now_seconds, action, caller_id))
        if channel is None:
            return
        try:
            channel.sender.send_nowait(action)
        except anyio.BrokenResourceError:
            self.close_decisions(action.request_id)


def _is_long(dispatch: Dispatch) -> bool:
    choice = dispatch.choice
    return choice is not None and choice.missing_tokens >= LONG_PROMPT_TOKENS


def _do_nothing() -> None:
    return


def _first_word(text: str) -> str:
    # The log's rate limit applies per message, so the set of messages must be small.
    return text.partition(" ")[0]
