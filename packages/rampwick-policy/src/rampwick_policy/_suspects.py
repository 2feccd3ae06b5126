"""Suspects: requests, and parts of prompts, that upstreams ran as they crashed."""

import enum
import math

import attrs

from rampwick_schema import ReprMixin

#: Crashes after which a suspect is isolated from other suspects. Two in a row by chance
#: are rare, and a third crash in isolation shows which suspect caused them.
ISOLATION_CRASHES_COUNT = 2

#: Retention of crashes of a suspect that is neither answered nor sent again. Long,
#: because callers retry when their users come back.
SUSPECT_RETENTION_SECONDS = 900.0

#: Retention of quarantined suspects, counted from the last time that one arrived.
QUARANTINE_RETENTION_SECONDS = 3600.0

#: Time in quarantine after which one request is sent as a probe. Each failed probe
#: crashes an upstream and doubles the time.
FIRST_PROBE_SECONDS = 60.0
MAX_PROBE_INTERVAL_SECONDS = 3600.0


class QuarantineState(enum.IntEnum):
    """How a request is restricted because of the crashes attributed to it.

    The member names are written to status, logs and metrics.
    """

    #: Not restricted.
    NONE = 0
    #: Isolated: sent only to an upstream that runs no other suspect.
    APART = 1
    #: Quarantined: not sent to any upstream.
    STOPPED = 2


@attrs.frozen(repr=False)
class IncarnationKey(ReprMixin):
    """Identifies one incarnation of an upstream."""

    upstream: str
    incarnation: str


@attrs.frozen(repr=False)
class CrashedRequest(ReprMixin):
    """A request that an upstream was running when it crashed."""

    workspace_path: str
    #: Keys of the parts of its prompt that other requests may share, in their order.
    part_keys: tuple[bytes, ...] = ()
    #: Whether each part had been answered recently; empty if none had.
    are_sound: tuple[bool, ...] = ()


@attrs.define(eq=False, repr=False)
class Crash(ReprMixin):
    """A crash of one incarnation of an upstream."""

    at_seconds: float
    #: The requests that it was running, by fingerprint.
    requests: dict[bytes, CrashedRequest] = attrs.field(factory=dict)
    #: Keys of the suspects against which it counts.
    suspect_keys: set[bytes] = attrs.field(factory=set)
    #: Whether the upstream could not be reached since. What answers afterwards may have
    #: been started again.
    is_confirmed: bool = False


@attrs.define(eq=False, repr=False)
class Suspect(ReprMixin):
    """A request, or a part of prompts, that was running on upstreams as they crashed.

    A whole request is the narrowest suspect: it holds all its parts.
    """

    #: Fingerprint of a whole request, or key of a part.
    key: bytes
    workspace_path: str
    #: Position of the part in its prompt; ``None`` for a whole request.
    part_index: int | None = None
    #: Whether requests with the part had been answered before one of its crashes.
    was_sound: bool = False
    #: The crashes that count against it, by incarnation.
    crashes: dict[IncarnationKey, Crash] = attrs.field(factory=dict)
    #: Those of its crashes that a quarantined suspect explains.
    explained_keys: set[IncarnationKey] = attrs.field(factory=set)
    quarantined_at_seconds: float | None = None
    #: Last time that it arrived or that a report of it was received.
    seen_at_seconds: float = 0.0
    #: Number of crashes for which another host quarantined it.
    reported_crashes_count: int = 0
    refused_count: int = 0
    #: Number of probes sent since it was quarantined.
    probes_count: int = 0

    @property
    def is_part(self) -> bool:
        """Whether it is a part of prompts rather than a whole request."""
        return self.part_index is not None

    @property
    def kind(self) -> str:
        """Word for it in logs and commands."""
        return "part" if self.is_part else "request"

    @property
    def crashes_count(self) -> int:
        """Number of upstreams that crashed while running it."""
        return max(len(self.crashes), self.reported_crashes_count)

    @property
    def is_quarantined(self) -> bool:
        """Whether requests with it are not sent to upstreams."""
        return self.quarantined_at_seconds is not None

    @property
    def unexplained_crashes(self) -> list[Crash]:
        """The crashes that no quarantined suspect explains."""
        return [
            crash
            for incarnation_key, crash in self.crashes.items()
            if incarnation_key not in self.explained_keys
        ]

    @property
    def state(self) -> QuarantineState:
        """How requests with it are restricted."""
        if self.quarantined_at_seconds is not None:
            return QuarantineState.STOPPED
        if len(self.crashes) - len(self.explained_keys) >= ISOLATION_CRASHES_COUNT:
            return QuarantineState.APART
        return QuarantineState.NONE

    @property
    def last_crash(self) -> Crash | None:
        """The latest crash that counts against it."""
        return max(
            self.crashes.values(), key=lambda crash: crash.at_seconds, default=None
        )

    @property
    def requests(self) -> set[bytes]:
        """Fingerprints of the requests with it that were running at its crashes."""
        if not self.is_part:
            return {self.key}
        return {
            fingerprint
            for crash in self.crashes.values()
            for fingerprint, request in crash.requests.items()
            if self.key in request.part_keys
        }

    @property
    def probe_due_at_seconds(self) -> float:
        """When a request may be sent as a probe; infinite unless quarantined."""
        if self.quarantined_at_seconds is None:
            return math.inf
        interval_seconds = FIRST_PROBE_SECONDS * 2.0 ** min(self.probes_count, 10)
        return self.quarantined_at_seconds + min(
            interval_seconds, MAX_PROBE_INTERVAL_SECONDS
        )

    def is_expired(self, now_seconds: float) -> bool:
        """Return whether its retention time has passed since it was last seen."""
        is_quarantined = self.quarantined_at_seconds is not None
        retention_seconds = (
            QUARANTINE_RETENTION_SECONDS
            if is_quarantined
            else SUSPECT_RETENTION_SECONDS
        )
        return now_seconds - self.seen_at_seconds > retention_seconds
