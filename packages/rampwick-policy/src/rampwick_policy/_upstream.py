"""One upstream as this host sees it: its life, health, load and connections."""

import math

import attrs

from rampwick_schema import HostEntry, ReprMixin

from ._health import Health
from ._knowledge import Life, life_label
from ._reading_speed import ReadingSpeed

#: Role in which a runner takes requests.
SERVING_ROLE = "serve"

#: Slots assumed for an upstream that reports none.
DEFAULT_SLOTS = 32

#: Time after an answer for which peers' word that an upstream is down is not followed.
HEARD_SECONDS = 0.5

#: Weight of the newest run in the mean length of runs, and the mean assumed before.
RUN_SMOOTHING = 0.1
FIRST_RUN_SECONDS = 1.0


@attrs.define(repr=False)
class Upstream(ReprMixin):
    """One runner or service as this host sees it."""

    entry: HostEntry
    health: Health
    #: Present life; none while it must be asked for again.
    life: Life | None = None
    #: Life that it reported last.
    last_life: Life | None = None
    model: str = ""
    role: str = SERVING_ROLE
    slots_count: int = DEFAULT_SLOTS
    #: Its own word of how fast it reads prompts; none if it says nothing of it.
    reported_tokens_per_second: float = 0.0
    reported_running_count: int = 0
    #: Prompt tokens whose first token has not come, by own attempt.
    own_attempts: dict[str, int] = attrs.field(factory=dict)
    #: Weights that it is loading and until when; it serves nothing meanwhile.
    load_version: int = 0
    load_until_seconds: float = -math.inf
    #: Whether its present incarnation announced its shutdown, and until when that wants
    #: no requests from this host.
    is_departing: bool = False
    paused_until_seconds: float = -math.inf
    #: Whether it fell silent and is to be asked at once if it is well.
    is_suspected: bool = False
    #: Until when its silence raises no suspicion, since it has just proved well.
    trusted_until_seconds: float = -math.inf
    #: When one of this host's attempts had a piece of an answer last.
    heard_at_seconds: float = -math.inf
    #: When one of them found no answer, and none of its hall had one shortly before.
    silent_at_seconds: float = -math.inf
    #: Until when it counts as leaving, whatever its entry says.
    leaving_until_seconds: float = -math.inf
    #: Until when it is doubted that it is still there.
    unconfirmed_until_seconds: float = -math.inf
    #: When it was last asked for its load.
    probed_at_seconds: float = -math.inf
    #: Mean time for which an attempt holds a slot.
    run_seconds: float = FIRST_RUN_SECONDS
    _started_at: dict[str, float] = attrs.field(factory=dict)
    #: Tokens to be read of attempts that found nothing waiting, by attempt.
    _alone_tokens: dict[str, int] = attrs.field(factory=dict)
    #: Until when each connection rests that this host keeps and nobody uses.
    _resting_until: list[float] = attrs.field(factory=list)

    @property
    def name(self) -> str:
        """Name in the host list."""
        return self.entry.name

    @property
    def is_runner(self) -> bool:
        """Whether it is a model engine rather than a plain service."""
        return self.entry.kind == "runner"

    @property
    def life_name(self) -> str:
        """Present life as peers name it, empty while none is known."""
        return life_label(self.life) if self.life else ""

    @property
    def life_incarnation(self) -> str:
        """Life that attempts name; empty where none is known, or there are no lives."""
        return self.life.incarnation if self.life is not None else ""

    @property
    def incarnation(self) -> str:
        """Life that attempts are sent to, as far as it is known."""
        if self.life is not None:
            return self.life.incarnation
        return self.entry.incarnation

    def is_loading(self, now_seconds: float) -> bool:
        """Return whether it was told to load weights that it does not have yet."""
        has_them = self.life is not None and (
            self.life.weights_version >= self.load_version
        )
        return not has_them and now_seconds < self.load_until_seconds

    @property
    def own_waiting_tokens(self) -> int:
        """Prompt tokens of own attempts whose first token has not come."""
        return sum(self.own_attempts.values())

    def start(
        self,
        attempt_id: str,
        missing_tokens: int,
        now_seconds: float,
        is_alone: bool = False,
    ) -> None:
        """Note an attempt that is sent here, and whether it finds nothing waiting."""
        if is_alone:
            self._alone_tokens[attempt_id] = missing_tokens
        self.own_attempts[attempt_id] = missing_tokens
        self._started_at[attempt_id] = now_seconds
        if self._resting_until:
            self._resting_until.pop()

    def is_heard(self, now_seconds: float) -> bool:
        """Return whether it has just answered this host, whatever others say."""
        return now_seconds - self.heard_at_seconds < HEARD_SECONDS

    def note_first_token(
        self, attempt_id: str, speed: ReadingSpeed, now_seconds: float
    ) -> None:
        """Note that an attempt's prompt is computed, and how long that took."""
        self.heard_at_seconds = now_seconds
        if attempt_id in self.own_attempts:
            self.own_attempts[attempt_id] = 0
        tokens = self._alone_tokens.pop(attempt_id, 0)
        started_at_seconds = self._started_at.get(attempt_id)
        if tokens and started_at_seconds is not None:
            speed.note(tokens, now_seconds - started_at_seconds)

    def has_connection(self, now_seconds: float) -> bool:
        """Return whether a kept connection is free for another attempt."""
        return any(until > now_seconds for until in self._resting_until)

    def keep_connection(self, until_seconds: float) -> None:
        """Note that a connection rests, to be used again until then."""
        self._resting_until.append(until_seconds)

    def release(self, attempt_id: str, now_seconds: float) -> None:
        """Note that an attempt's slot is free again."""
        self._resting_until = [
            until for until in self._resting_until if until > now_seconds
        ]
        self._alone_tokens.pop(attempt_id, None)
        if self.own_attempts.pop(attempt_id, None) is None:
            return
        ran_seconds = now_seconds - self._started_at.pop(attempt_id, now_seconds)
        self.run_seconds += RUN_SMOOTHING * (ran_seconds - self.run_seconds)
