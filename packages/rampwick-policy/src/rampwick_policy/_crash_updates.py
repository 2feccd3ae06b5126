"""What hosts tell each other about upstreams that crash, and its messages."""

from collections.abc import Iterable, Iterator

import attrs

from rampwick_schema import (
    AboardRequest,
    ClearedRequest,
    CrashUpdate,
    EndedUpstream,
    LiveUpstream,
    ReprMixin,
    StoppedRequest,
)

from ._crash_attribution import CrashTracker
from ._suspects import Crash, IncarnationKey, Suspect

#: Maximum age of crashes that the initial state sync includes.
INITIAL_STATE_SECONDS = 60.0


@attrs.frozen(repr=False)
class CrashFact(ReprMixin):
    """An incarnation crashed while it was running a request."""

    incarnation_key: IncarnationKey
    fingerprint: bytes
    workspace_path: str
    at_seconds: float
    part_keys: tuple[bytes, ...] = ()
    are_sound: tuple[bool, ...] = ()


@attrs.frozen(repr=False)
class LiveFact(ReprMixin):
    """An incarnation answered after it was reported as crashed."""

    incarnation_key: IncarnationKey
    at_seconds: float


@attrs.frozen(repr=False)
class ClearedFact(ReprMixin):
    """A suspect was cleared."""

    key: bytes
    at_seconds: float


@attrs.frozen(repr=False)
class QuarantineFact(ReprMixin):
    """A suspect was quarantined, or a request with it is sent as a probe."""

    key: bytes
    workspace_path: str
    crashes_count: int
    at_seconds: float
    is_part: bool
    probes_count: int


@attrs.frozen(repr=False)
class SoundFact(ReprMixin):
    """A part that was running at crashes had been answered before."""

    key: bytes
    at_seconds: float


Fact = CrashFact | LiveFact | ClearedFact | QuarantineFact | SoundFact


def quarantine_fact(suspect: Suspect) -> QuarantineFact:
    """Return the fact that a suspect is in quarantine."""
    assert suspect.quarantined_at_seconds is not None
    return QuarantineFact(
        suspect.key,
        suspect.workspace_path,
        suspect.crashes_count,
        suspect.quarantined_at_seconds,
        suspect.is_part,
        suspect.probes_count,
    )


def state_facts(tracker: CrashTracker, now_seconds: float) -> Iterator[Fact]:
    """Yield the facts that a newly connected host needs.

    Of the suspects that were running at a crash, some may have been cleared since.
    """
    oldest_seconds = now_seconds - INITIAL_STATE_SECONDS
    reported_keys: set[bytes] = set()
    for incarnation_key, crash in tracker.crashes():
        if crash.at_seconds > oldest_seconds:
            for fact in _crash_facts(incarnation_key, crash):
                reported_keys.update((*fact.part_keys, fact.fingerprint))
                yield fact
    for key in sorted(reported_keys):
        cleared_at_seconds = tracker.cleared_at_seconds(key)
        if cleared_at_seconds > oldest_seconds:
            yield ClearedFact(key, cleared_at_seconds)
    for suspect in tracker:
        if suspect.is_quarantined:
            yield quarantine_fact(suspect)
        if suspect.was_sound and suspect.key in reported_keys:
            yield SoundFact(suspect.key, now_seconds)


def _crash_facts(incarnation_key: IncarnationKey, crash: Crash) -> Iterator[CrashFact]:
    """Yield a crash for each request against which it counts."""
    for fingerprint, request in crash.requests.items():
        if not crash.suspect_keys.isdisjoint((fingerprint, *request.part_keys)):
            yield CrashFact(
                incarnation_key,
                fingerprint,
                request.workspace_path,
                crash.at_seconds,
                request.part_keys,
                request.are_sound,
            )


def to_update(facts: Iterable[Fact], now_seconds: float) -> CrashUpdate:
    """Return an update for peers with facts and their ages."""
    update = CrashUpdate()
    ended: dict[IncarnationKey, EndedUpstream] = {}
    for fact in facts:
        age_seconds = max(0.0, now_seconds - fact.at_seconds)
        if isinstance(fact, LiveFact):
            key = fact.incarnation_key
            update.live.append(LiveUpstream(key.upstream, key.incarnation, age_seconds))
        elif isinstance(fact, ClearedFact):
            update.cleared.append(ClearedRequest(fact.key, age_seconds))
        elif isinstance(fact, QuarantineFact):
            stopped = StoppedRequest(
                fact.key,
                fact.workspace_path,
                age_seconds,
                fact.crashes_count,
                fact.is_part,
                fact.probes_count,
            )
            update.stopped.append(stopped)
        elif isinstance(fact, SoundFact):
            update.sound.append(fact.key)
        else:
            key = fact.incarnation_key
            entry = ended.setdefault(
                key, EndedUpstream(key.upstream, key.incarnation, age_seconds, [])
            )
            entry.aboard.append(
                AboardRequest(
                    fact.fingerprint,
                    fact.workspace_path,
                    list(fact.part_keys),
                    list(fact.are_sound),
                )
            )
    update.ended.extend(ended.values())
    return update
