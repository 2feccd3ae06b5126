"""Load patterns of the load lab, read from a file, and the requests drawn from them."""

import math
import random
import tomllib
from collections.abc import Iterator
from pathlib import Path

import attrs
import cattrs

from rampwick_policy import PromptPart

#: Workspaces of the callers.
WORKSPACES_COUNT = 8

PATTERNS = Path(__file__).with_name("patterns.toml")


@attrs.frozen
class Pattern:
    """A load pattern and the size of the fleet that serves it."""

    name: str
    doc: str
    length_seconds: float
    hosts_count: int = 8
    engines_count: int = 5
    long_per_second: float = 11.0
    short_per_second: float = 14.0
    collections_count: int = 84
    #: Share of the long prompts that use the same collection.
    hot_ratio: float = 0.0
    tokens_per_second: float = 30_000.0
    cache_tokens: int = 75_000
    burst_from_seconds: float = 0.0
    burst_until_seconds: float = 0.0
    burst_ratio: float = 1.0
    off_from_seconds: float = 0.0
    off_until_seconds: float = 0.0
    #: Number of engines with a request rate limit over all hosts, its start and value.
    limited_count: int = 0
    limited_from_seconds: float = 0.0
    limited_per_second: float = 0.0
    #: Workspaces whose rate rises in the burst, each by this ratio.
    large_workspaces_count: int = 0
    large_ratio: float = 1.0
    #: Whether a refused caller tries another host immediately, once.
    repeats_at_once: bool = False
    #: Whether hosts refuse requests by an estimate of their start.
    estimates_start: bool = False
    #: Requests that each host queues at most.
    max_waiting_count: int = 1000
    #: Requests of a plain service with three upstreams.
    plain_per_second: float = 0.0
    #: Warm-up time; earlier requests are left out of the results.
    warm_seconds: float = 2.0
    #: Fleet whose requests are drawn and whose engines decode in steps; empty for the
    #: default requests and engines without steps.
    fleet: str = ""
    #: Kinds of requests to which ``burst_ratio`` applies.
    burst_kinds: tuple[str, ...] = ("long", "short", "plain")
    #: Whether hosts receive the summaries of their peers.
    has_peer_summaries: bool = True
    #: Whether hosts publish a summary soon after they sent a long prompt.
    has_early_summaries: bool = True
    #: Settings of ``[placement]`` in addition to the usual ones.
    placement_settings: str = ""
    slots_count: int = 64
    token_bytes: int = 163_840
    link_bits_per_second: float = 180e9
    #: Time of a decode step without and for each running request.
    step_seconds: float = 0.006
    step_seconds_per_running: float = 0.0
    #: Maximum prompt tokens computed in one step.
    chunk_tokens: int = 4096
    #: Tokens of one event of a stream.
    stride_tokens: int = 7
    import_setup_seconds: float = 0.0


def read_patterns() -> dict[str, Pattern]:
    """Return the patterns by name."""
    data = tomllib.loads(PATTERNS.read_text())
    fleets = data.pop("fleets")
    return {
        name: cattrs.structure(
            {"name": name, **fleets.get(fields.get("fleet"), {}), **fields}, Pattern
        )
        for name, fields in data.items()
    }


@attrs.frozen
class Kind:
    """A kind of request."""

    name: str
    priority_class: str
    target_seconds: float
    deadline_seconds: float
    answer_tokens: int
    #: Longest time between two events of an answer that is in time.
    pause_target_seconds: float = math.inf


LONG = Kind("long", "interactive", 0.6, 6.0, 13)
SHORT = Kind("short", "portal", 0.4, 15.0, 73)
PLAIN = Kind("plain", "interactive", 0.4, 1.5, 0)

#: Long and short kinds of requests by the fleet of a pattern.
KINDS = {
    "": (LONG, SHORT),
    "first": (
        Kind("long", "batch", 2.035, 5.088, 7, 0.8),
        Kind("short", "portal", 0.815, 15.285, 42, 0.8),
    ),
    "second": (
        Kind("long", "interactive", 0.514, 4.113, 7, 0.4),
        Kind("short", "interactive", 0.406, 12.182, 42, 0.4),
    ),
}


@attrs.frozen
class Call:
    """A request of the script."""

    at_seconds: float
    kind: Kind
    parts: tuple[PromptPart, ...]
    workspace: int


@attrs.define
class Sample:
    """Outcome of one request."""

    call: Call
    first_seconds: float | None = None
    refused: str = ""
    refused_seconds: float | None = None
    #: Longest time between two consecutive events, as sent by the engine.
    longest_pause_seconds: float = 0.0
    #: Time in the hosts before each refusal.
    held_times_seconds: list[float] = attrs.field(factory=list)
    submitted_seconds: float = 0.0
    deadline_seconds: float = 0.0
    tries_count: int = 0

    @property
    def missed_only_pause(self) -> bool:
        """Whether the answer began in time but paused for too long."""
        return (
            self.outcome == "late"
            and self.waited_seconds <= self.call.kind.target_seconds
        )

    @property
    def waited_seconds(self) -> float:
        """Time from arrival to the first event; infinite without one."""
        if self.first_seconds is None:
            return math.inf
        return self.first_seconds - self.call.at_seconds

    @property
    def held_seconds(self) -> float:
        """Time from arrival to refusal; 0 if the request was not refused."""
        if self.refused_seconds is None:
            return 0.0
        return self.refused_seconds - self.call.at_seconds

    @property
    def outcome(self) -> str:
        """One of "in time", "late", "refused" and "open"."""
        if self.refused:
            return "refused"
        if self.first_seconds is None:
            return "open"
        kind = self.call.kind
        is_in_time = (
            self.waited_seconds <= kind.target_seconds
            and self.longest_pause_seconds <= kind.pause_target_seconds
        )
        return "in time" if is_in_time else "late"


def draw_calls(pattern: Pattern, seed: int) -> list[Call]:
    """Draw the requests of a pattern in order of time."""
    rng = random.Random(seed)
    long, short = KINDS[pattern.fleet]
    calls = [
        *_calls(pattern, rng, long, pattern.long_per_second),
        *_calls(pattern, rng, short, pattern.short_per_second),
    ]
    if pattern.plain_per_second:
        calls += _calls(pattern, rng, PLAIN, pattern.plain_per_second)
    return sorted(calls, key=lambda call: call.at_seconds)


def _calls(
    pattern: Pattern, rng: random.Random, kind: Kind, per_second: float
) -> Iterator[Call]:
    at_seconds = 0.0
    while per_second:
        is_burst = (
            kind.name in pattern.burst_kinds
            and pattern.burst_from_seconds <= at_seconds < pattern.burst_until_seconds
        )
        weights = _workspace_weights(pattern) if is_burst else ()
        rate = per_second * (pattern.burst_ratio if is_burst else 1.0)
        if weights:
            rate *= sum(weights) / WORKSPACES_COUNT
        at_seconds += rng.expovariate(rate)
        if at_seconds >= pattern.length_seconds:
            return
        parts: tuple[PromptPart, ...] = ()
        if kind is not PLAIN:
            parts = _draw_parts(pattern, rng, kind)
        if weights:
            (workspace,) = rng.choices(range(WORKSPACES_COUNT), weights)
        else:
            workspace = rng.randrange(WORKSPACES_COUNT)
        yield Call(at_seconds, kind, parts, workspace)


def _workspace_weights(pattern: Pattern) -> tuple[float, ...]:
    """Return the rates of the workspaces in the burst; empty if they are equal."""
    large_count = pattern.large_workspaces_count
    if not large_count:
        return ()
    small_count = WORKSPACES_COUNT - large_count
    return (pattern.large_ratio,) * large_count + (1.0,) * small_count


def _draw_parts(
    pattern: Pattern, rng: random.Random, kind: Kind
) -> tuple[PromptPart, ...]:
    return _long_parts(pattern, rng) if kind.name == "long" else _short_parts(rng)


def _long_parts(pattern: Pattern, rng: random.Random) -> tuple[PromptPart, ...]:
    collection = 0
    if rng.random() >= pattern.hot_ratio:
        collection = rng.randrange(pattern.collections_count)
    own_tokens = min(20_000, 100 + int(rng.expovariate(1 / 2800)))
    return (
        PromptPart(b"guide %d" % (collection % 4), 2520),
        PromptPart(b"thing %d" % collection, 3780),
        PromptPart(b"own %d" % rng.getrandbits(60), own_tokens),
    )


def _short_parts(rng: random.Random) -> tuple[PromptPart, ...]:
    collection = rng.randrange(157)
    return (
        PromptPart(b"style %d" % (collection % 20), 119),
        PromptPart(b"shop %d" % collection, 79),
        PromptPart(b"own %d" % rng.getrandbits(60), 50 + int(rng.expovariate(1 / 580))),
    )
