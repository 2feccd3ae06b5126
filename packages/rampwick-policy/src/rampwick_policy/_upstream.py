"""State of one upstream on this host: incarnation, health, load and connections."""

import math
from typing import Any

import attrs

from rampwick_schema import HostEntry, ReprMixin

from ._change_log import ChangeLog
from ._health import Health
from ._prefill_speed import PrefillSpeed
from ._prefix_cache_index import CacheGeneration, generation_label

#: Role of a runner that serves requests.
SERVING_ROLE = "serve"

#: Slots assumed for an upstream that reports none.
DEFAULT_SLOTS = 32

#: Time after an answer in which peers' reports that an upstream is down are ignored.
RECENT_ANSWER_SECONDS = 0.5

#: Weight of the latest run in the moving average of run times, and its initial value.
RUN_SMOOTHING = 0.1
INITIAL_RUN_SECONDS = 1.0


def _note_change(upstream: "Upstream", attribute: Any, value: Any) -> Any:
    """Log the change of a field that views of the upstream depend on."""
    if value != getattr(upstream, attribute.name):
        upstream.changes.note(upstream.name)
    return value


@attrs.define(repr=False)
class Upstream(ReprMixin):
    """One runner or service as this host has observed it.

    Logs each change that its views depend on, except those that time brings about.
    """

    entry: HostEntry = attrs.field(on_setattr=_note_change)
    health: Health
    #: Current generation of its cache; None until a probe reports it.
    cache_generation: CacheGeneration | None = attrs.field(
        default=None, on_setattr=_note_change
    )
    #: Generation that was observed last.
    last_generation: CacheGeneration | None = None
    model: str = attrs.field(default="", on_setattr=_note_change)
    role: str = attrs.field(default=SERVING_ROLE, on_setattr=_note_change)
    slots_count: int = attrs.field(default=DEFAULT_SLOTS, on_setattr=_note_change)
    #: Prefill speed that it reports; 0 if it reports none.
    reported_tokens_per_second: float = attrs.field(
        default=0.0, on_setattr=_note_change
    )
    reported_running_count: int = 0
    #: Prompt tokens still to be computed, by attempt of this host.
    own_attempts: dict[str, int] = attrs.field(factory=dict)
    #: Version of the weights that it is loading and the time by which it has them; it
    #: serves no requests meanwhile.
    load_version: int = attrs.field(default=0, on_setattr=_note_change)
    load_until_seconds: float = attrs.field(default=-math.inf, on_setattr=_note_change)
    #: Whether its current incarnation announced its shutdown, and the end of the pause
    #: that this incarnation requested from this host.
    is_shutting_down: bool = attrs.field(default=False, on_setattr=_note_change)
    paused_until_seconds: float = attrs.field(
        default=-math.inf, on_setattr=_note_change
    )
    #: Whether it is unresponsive; it is probed at once and gets no work until then.
    is_suspected: bool = attrs.field(default=False, on_setattr=_note_change)
    #: When a request to it was found to have no answer for long.
    suspected_at_seconds: float = -math.inf
    #: Until when it is not suspected again, because it has just answered a probe.
    suspicion_exempt_until_seconds: float = -math.inf
    #: When an attempt of this host last received a part of an answer.
    answered_at_seconds: float = -math.inf
    #: When an attempt of this host last got no answer while no upstream of the hall had
    #: answered recently.
    unresponsive_at_seconds: float = -math.inf
    #: Until when it counts as draining regardless of its entry.
    draining_until_seconds: float = attrs.field(
        default=-math.inf, on_setattr=_note_change
    )
    #: Until when its restored entry is ignored.
    unconfirmed_until_seconds: float = attrs.field(
        default=-math.inf, on_setattr=_note_change
    )
    #: When it was last probed.
    probed_at_seconds: float = -math.inf
    #: When it last closed a connection before the answer on it was complete.
    closed_at_seconds: float = -math.inf
    #: Moving average of the time for which an attempt holds a slot.
    run_seconds: float = attrs.field(
        default=INITIAL_RUN_SECONDS, on_setattr=_note_change
    )
    #: Attempts of this host without a response, which it may still reject.
    unanswered_attempts: set[str] = attrs.field(factory=set)
    _started_at: dict[str, float] = attrs.field(factory=dict)
    #: Tokens to compute of attempts that were sent to an empty queue, by attempt.
    _unqueued_tokens: dict[str, int] = attrs.field(factory=dict)
    #: Time until which each idle connection of this host can be reused.
    _idle_until: list[float] = attrs.field(factory=list)
    #: Log of changes, shared by all upstreams of a table.
    changes: ChangeLog = attrs.field(factory=ChangeLog, kw_only=True)

    #: Place among the upstreams of its table.
    position: int = attrs.field(default=0, kw_only=True, on_setattr=_note_change)

    def __attrs_post_init__(self) -> None:
        if self.health is not None:
            self.health.changes, self.health.upstream = self.changes, self.name

    def _note_changed(self) -> None:
        self.changes.note(self.name)

    @property
    def name(self) -> str:
        """Name in the host list."""
        return self.entry.name

    @property
    def is_runner(self) -> bool:
        """Whether it is a model engine rather than a plain service."""
        return self.entry.kind == "runner"

    @property
    def generation_name(self) -> str:
        """Label of the current generation in peer messages; empty if unknown."""
        return generation_label(self.cache_generation) if self.cache_generation else ""

    @property
    def known_incarnation(self) -> str:
        """Incarnation of the current generation; empty if unknown or for a service."""
        return (
            self.cache_generation.incarnation
            if self.cache_generation is not None
            else ""
        )

    @property
    def incarnation(self) -> str:
        """Incarnation that attempts are sent to, by its cache or else its entry."""
        if self.cache_generation is not None:
            return self.cache_generation.incarnation
        return self.entry.incarnation

    def is_loading(self, now_seconds: float) -> bool:
        """Return whether it was ordered to load weights that it does not have yet."""
        has_weights = self.cache_generation is not None and (
            self.cache_generation.weights_version >= self.load_version
        )
        return not has_weights and now_seconds < self.load_until_seconds

    @property
    def own_waiting_tokens(self) -> int:
        """Prompt tokens still to be computed for attempts of this host."""
        return sum(self.own_attempts.values())

    def start(
        self,
        attempt_id: str,
        missing_tokens: int,
        now_seconds: float,
        is_queue_empty: bool = False,
    ) -> None:
        """Record an attempt sent here, and whether it found the queue empty."""
        self._note_changed()
        if is_queue_empty:
            self._unqueued_tokens[attempt_id] = missing_tokens
        self.own_attempts[attempt_id] = missing_tokens
        self.unanswered_attempts.add(attempt_id)
        self._started_at[attempt_id] = now_seconds
        if self._idle_until:
            self._idle_until.pop()

    def note_accepted(self, attempt_id: str) -> None:
        """Record that an attempt was not rejected."""
        self.unanswered_attempts.discard(attempt_id)

    def has_answered_recently(self, now_seconds: float) -> bool:
        """Return whether it has answered this host very recently."""
        return now_seconds - self.answered_at_seconds < RECENT_ANSWER_SECONDS

    def note_first_token(
        self, attempt_id: str, speed: PrefillSpeed, now_seconds: float
    ) -> None:
        """Record that an attempt's prompt is computed, and update the prefill speed."""
        self.answered_at_seconds = now_seconds
        if self.own_attempts.get(attempt_id):
            self.own_attempts[attempt_id] = 0
            self._note_changed()
        tokens = self._unqueued_tokens.pop(attempt_id, 0)
        started_at_seconds = self._started_at.get(attempt_id)
        if tokens and started_at_seconds is not None:
            speed.note(tokens, now_seconds - started_at_seconds)

    def has_connection(self, now_seconds: float) -> bool:
        """Return whether an idle connection is available for another attempt."""
        return self.connected_until_seconds > now_seconds

    @property
    def connected_until_seconds(self) -> float:
        """Time until which an idle connection can be reused."""
        return max(self._idle_until, default=-math.inf)

    def note_idle_connection(self, until_seconds: float) -> None:
        """Record an idle connection that can be reused until a given time."""
        self._note_changed()
        self._idle_until.append(until_seconds)

    def release(self, attempt_id: str, now_seconds: float) -> None:
        """Record that an attempt released its slot."""
        self._note_changed()
        self._idle_until = [until for until in self._idle_until if until > now_seconds]
        self._unqueued_tokens.pop(attempt_id, None)
        self.unanswered_attempts.discard(attempt_id)
        if self.own_attempts.pop(attempt_id, None) is None:
            return
        ran_seconds = now_seconds - self._started_at.pop(attempt_id, now_seconds)
        self.run_seconds += RUN_SMOOTHING * (ran_seconds - self.run_seconds)


def serves(upstream: Upstream, service: str, model: str) -> bool:
    """Return whether an upstream belongs to a service, or serves a model."""
    if service and upstream.entry.group != service:
        return False
    if model:
        return upstream.is_runner and upstream.model == model
    return bool(service)
