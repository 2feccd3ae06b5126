"""Attribution of upstream crashes to requests, so that crashing ones are quarantined.

A crash fails every request that the upstream was running, and one of them may have
caused it. Each crash counts against all of them. A complete answer clears a request,
and an upstream that answers after its supposed crash retracts it. The request with the
most remaining crashes is held responsible: the others ran there by chance and complete
on other upstreams.
"""

import enum
import math
from collections.abc import Iterable, Iterator
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

#: Crashes after which a request is isolated from other suspects. Two in a row by chance
#: are rare, and a third crash in isolation shows which request caused them.
ISOLATION_CRASHES_COUNT = 2

#: Crashes after which a request may be quarantined. Each further crash would cost
#: another upstream.
QUARANTINE_CRASHES_COUNT = 3

#: Time after a crash by which the other hosts' reports of the requests they had there
#: have arrived. A hop takes milliseconds, and two relays batch for 50 ms each.
CRASH_REPORTS_SECONDS = 0.15

#: Retention of crashes of a request that is neither answered nor sent again. Long,
#: because callers retry when their users come back.
SUSPECT_RETENTION_SECONDS = 900.0

#: Retention of quarantined requests, counted from the last time that one arrived.
QUARANTINE_RETENTION_SECONDS = 3600.0

#: Maximum number of tracked requests. Each takes about 660 bytes, with one crash each
#: and 20 requests per incarnation. Beyond it, the workspace with the most tracked
#: requests loses its oldest.
MAX_SUSPECT_REQUESTS_COUNT = 4096

#: Interval between two expiry sweeps; each iterates over all tracked requests.
SWEEP_SECONDS = 10.0


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


@attrs.define(repr=False)
class SuspectRequest(ReprMixin):
    """A request that was running on upstreams when they crashed."""

    fingerprint: bytes
    workspace_path: str
    #: Time of each crash, by the incarnation that ran the request.
    crashes: dict[IncarnationKey, float] = attrs.field(factory=dict)
    quarantined_at_seconds: float | None = None
    #: Last time that it arrived or that a report of it was received.
    seen_at_seconds: float = 0.0
    #: Number of crashes for which another host quarantined it.
    reported_crashes_count: int = 0
    refused_count: int = 0

    @property
    def crashes_count(self) -> int:
        """Number of upstreams that crashed while running it."""
        return max(len(self.crashes), self.reported_crashes_count)

    @property
    def last_crash(self) -> IncarnationKey | None:
        """The incarnation that crashed last while running it."""
        return max(self.crashes, key=self.crashes.__getitem__, default=None)

    def is_expired(self, now_seconds: float) -> bool:
        """Return whether its retention time has passed since it was last seen."""
        is_quarantined = self.quarantined_at_seconds is not None
        retention_seconds = (
            QUARANTINE_RETENTION_SECONDS
            if is_quarantined
            else SUSPECT_RETENTION_SECONDS
        )
        return now_seconds - self.seen_at_seconds > retention_seconds


class AttributionRule(Protocol):
    """A rule that decides which request caused the crashes of upstreams."""

    def is_responsible(
        self, suspect: SuspectRequest, other_suspects: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be quarantined.

        ``other_suspects`` were running on the same incarnation at its last crash.
        """


class MostCrashes:
    """Selects a request with enough crashes, and more than any other at its last crash.

    A plain count of crashes would also quarantine a request that lost three upstreams
    in a row to another request.
    """

    def is_responsible(
        self, suspect: SuspectRequest, other_suspects: Iterable[SuspectRequest]
    ) -> bool:
        """Return whether a request is to be quarantined."""
        count = len(suspect.crashes)
        if count < QUARANTINE_CRASHES_COUNT:
            return False
        return all(len(other.crashes) < count for other in other_suspects)


class CrashTracker:
    """Tracks the requests that were running on upstreams when they crashed."""

    def __init__(self, rule: AttributionRule | None = None) -> None:
        self._rule = rule or MostCrashes()
        self._requests: dict[bytes, SuspectRequest] = {}
        #: Requests that each crashed incarnation was running, and the crash times.
        self._affected_requests: dict[IncarnationKey, set[bytes]] = {}
        self._crashed_at: dict[IncarnationKey, float] = {}
        #: When incarnations and requests were cleared; older reports are ignored.
        self._live_at: dict[IncarnationKey, float] = {}
        self._cleared_at: dict[bytes, float] = {}
        #: Suspects whose last crash has not been attributed yet.
        self._unattributed: set[bytes] = set()
        self._swept_at_seconds = -math.inf
        #: Number of suspects evicted because the tracker was full.
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._requests)

    def __iter__(self) -> Iterator[SuspectRequest]:
        return iter(list(self._requests.values()))

    def get(self, fingerprint: bytes) -> SuspectRequest | None:
        """Return a tracked request, or None."""
        return self._requests.get(fingerprint)

    def quarantine_state(self, fingerprint: bytes) -> QuarantineState:
        """Return how a request is restricted."""
        suspect = self._requests.get(fingerprint)
        if suspect is None or suspect.crashes_count < ISOLATION_CRASHES_COUNT:
            return QuarantineState.NONE
        if suspect.quarantined_at_seconds is not None:
            return QuarantineState.STOPPED
        return QuarantineState.APART

    def has_complete_reports(self, fingerprint: bytes, now_seconds: float) -> bool:
        """Return whether the reports on a request's last crash have arrived by now."""
        suspect = self._requests.get(fingerprint)
        if suspect is None or suspect.crashes_count < ISOLATION_CRASHES_COUNT:
            return True
        last = suspect.last_crash
        return (
            last is None or now_seconds >= suspect.crashes[last] + CRASH_REPORTS_SECONDS
        )

    # Observations of this host and reports of peers.

    def note_crash(
        self,
        incarnation_key: IncarnationKey,
        fingerprint: bytes,
        workspace_path: str,
        at_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Record that an incarnation crashed while running a request.

        ``at_seconds`` is in the past if another host observed the crash. Return whether
        the crash is new for this request.
        """
        if self._live_at.get(incarnation_key, -math.inf) > at_seconds:
            return False
        if self._cleared_at.get(fingerprint, -math.inf) >= at_seconds:
            return False
        suspect = self._get_or_add(fingerprint, workspace_path, now_seconds)
        if incarnation_key in suspect.crashes:
            return False
        suspect.crashes[incarnation_key] = at_seconds
        suspect.seen_at_seconds = now_seconds
        self._affected_requests.setdefault(incarnation_key, set()).add(fingerprint)
        # Each host observes a crash at its own time; the earliest is the closest to it.
        known_at_seconds = self._crashed_at.get(incarnation_key, math.inf)
        self._crashed_at[incarnation_key] = min(known_at_seconds, at_seconds)
        self._unattributed.add(fingerprint)
        return True

    def note_live(self, incarnation_key: IncarnationKey, at_seconds: float) -> bool:
        """Record an answer to a message sent at ``at_seconds``, and retract the crash.

        Return whether a crash of this incarnation was recorded before that time.
        """
        crashed_at_seconds = self._crashed_at.get(incarnation_key)
        if crashed_at_seconds is None or at_seconds <= crashed_at_seconds:
            return False
        self._live_at[incarnation_key] = at_seconds
        del self._crashed_at[incarnation_key]
        for fingerprint in self._affected_requests.pop(incarnation_key, ()):
            suspect = self._requests[fingerprint]
            del suspect.crashes[incarnation_key]
            if not suspect.crashes and suspect.quarantined_at_seconds is None:
                del self._requests[fingerprint]
        return True

    def clear(self, fingerprint: bytes, at_seconds: float) -> bool:
        """Drop what was recorded of a request up to a time.

        The request was answered completely, or an operator released it. Return whether
        it was tracked.
        """
        suspect = self._requests.get(fingerprint)
        if suspect is None:
            return False
        self._cleared_at[fingerprint] = at_seconds
        for incarnation_key in [
            incarnation_key
            for incarnation_key, at in suspect.crashes.items()
            if at <= at_seconds
        ]:
            self._remove_crash(suspect, incarnation_key)
        quarantined_at_seconds = suspect.quarantined_at_seconds
        if quarantined_at_seconds is not None and quarantined_at_seconds <= at_seconds:
            suspect.quarantined_at_seconds = None
            suspect.reported_crashes_count = 0
        if not suspect.crashes and suspect.quarantined_at_seconds is None:
            self._drop(suspect)
        return True

    def note_quarantined(
        self,
        fingerprint: bytes,
        workspace_path: str,
        crashes_count: int,
        at_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Record that another host quarantined a request; return whether it is new."""
        if self._cleared_at.get(fingerprint, -math.inf) >= at_seconds:
            return False
        suspect = self._get_or_add(fingerprint, workspace_path, now_seconds)
        if suspect.quarantined_at_seconds is not None:
            return False
        suspect.quarantined_at_seconds = at_seconds
        suspect.reported_crashes_count = crashes_count
        suspect.seen_at_seconds = now_seconds
        return True

    def note_refused(self, fingerprint: bytes, now_seconds: float) -> None:
        """Record that a quarantined request arrived again."""
        suspect = self._requests.get(fingerprint)
        if suspect is not None:
            suspect.refused_count += 1
            suspect.seen_at_seconds = now_seconds

    def attribute_crashes(self, now_seconds: float) -> list[SuspectRequest]:
        """Quarantine the requests found responsible by now, and return them."""
        quarantined = []
        for fingerprint in list(self._unattributed):
            suspect = self._requests.get(fingerprint)
            if suspect is None or suspect.quarantined_at_seconds is not None:
                self._unattributed.discard(fingerprint)
                continue
            if not self.has_complete_reports(fingerprint, now_seconds):
                continue
            self._unattributed.discard(fingerprint)
            if self._rule.is_responsible(suspect, self._other_suspects(suspect)):
                suspect.quarantined_at_seconds = now_seconds
                quarantined.append(suspect)
        return quarantined

    def _other_suspects(self, suspect: SuspectRequest) -> list[SuspectRequest]:
        last = suspect.last_crash
        if last is None:
            return []
        return [
            self._requests[fingerprint]
            for fingerprint in self._affected_requests.get(last, ())
            if fingerprint != suspect.fingerprint
        ]

    # Bounds on memory.

    def _get_or_add(
        self, fingerprint: bytes, workspace_path: str, now_seconds: float
    ) -> SuspectRequest:
        suspect = self._requests.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._requests) >= MAX_SUSPECT_REQUESTS_COUNT:
            self._evict_one(now_seconds)
        suspect = SuspectRequest(
            fingerprint, workspace_path, seen_at_seconds=now_seconds
        )
        self._requests[fingerprint] = suspect
        return suspect

    def _evict_one(self, now_seconds: float) -> None:
        self.sweep(now_seconds)
        if len(self._requests) < MAX_SUSPECT_REQUESTS_COUNT:
            return
        by_workspace: dict[str, list[SuspectRequest]] = {}
        for suspect in self._requests.values():
            by_workspace.setdefault(suspect.workspace_path, []).append(suspect)
        largest = max(by_workspace.values(), key=len)
        # Quarantined requests are evicted last: each would crash another three
        # upstreams before it is quarantined again.
        oldest = min(
            largest,
            key=lambda item: (
                item.quarantined_at_seconds is not None,
                item.seen_at_seconds,
            ),
        )
        self._drop(oldest)
        self.dropped_count += 1

    def sweep(self, now_seconds: float) -> None:
        """Drop expired entries; called periodically."""
        if now_seconds - self._swept_at_seconds < SWEEP_SECONDS:
            return
        self._swept_at_seconds = now_seconds
        for suspect in list(self._requests.values()):
            if suspect.is_expired(now_seconds):
                self._drop(suspect)
        oldest_seconds = now_seconds - SUSPECT_RETENTION_SECONDS
        for times in (self._live_at, self._cleared_at):
            for key in [key for key, at in times.items() if at < oldest_seconds]:
                del times[key]  # type: ignore[arg-type]

    def _drop(self, suspect: SuspectRequest) -> None:
        for incarnation_key in list(suspect.crashes):
            self._remove_crash(suspect, incarnation_key)
        del self._requests[suspect.fingerprint]
        self._unattributed.discard(suspect.fingerprint)

    def _remove_crash(
        self, suspect: SuspectRequest, incarnation_key: IncarnationKey
    ) -> None:
        del suspect.crashes[incarnation_key]
        affected = self._affected_requests[incarnation_key]
        affected.discard(suspect.fingerprint)
        if not affected:
            del self._affected_requests[incarnation_key]
            del self._crashed_at[incarnation_key]
