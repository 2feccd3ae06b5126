"""Attribution of upstream crashes, so that what causes them is quarantined.

A crash fails every request that the upstream was running. One of them may have caused
it, as a whole or by a part of its prompt that other requests share. Each crash counts
against all of these suspects. A complete answer clears a request with its parts, and an
upstream that answers after its supposed crash retracts it. The suspect that explains
most of the remaining crashes is held responsible: the others ran there by chance and
complete on other upstreams, and their crashes count as explained for as long as it is
in quarantine.
"""

import itertools
import math
from collections.abc import Iterable, Iterator

from ._attribution_rules import (
    AttributionRule,
    MostCrashes,
    min_crashes_count,
    shared_blame_limit,
)
from ._suspects import (
    ISOLATION_CRASHES_COUNT,
    SUSPECT_RETENTION_SECONDS,
    Crash,
    CrashedRequest,
    IncarnationKey,
    QuarantineState,
    Suspect,
)

#: Time after a crash by which the other hosts' reports of the requests they had there
#: have arrived. A hop takes milliseconds, and two relays batch for 50 ms each.
CRASH_REPORTS_SECONDS = 0.15

#: Time after its supposed crash up to which an answer of an upstream refutes a verdict.
#: Later it may have been restarted: not all of them name their incarnation.
REFUTATION_SECONDS = 1.0

#: Maximum number of tracked suspects. Beyond it, the workspace with the most of them
#: loses its oldest.
MAX_SUSPECTS_COUNT = 4096

#: Maximum number of suspects of which the time of their clearing is kept.
MAX_CLEARED_COUNT = 2 * MAX_SUSPECTS_COUNT

#: Interval between two expiry sweeps; each iterates over all suspects.
SWEEP_SECONDS = 10.0


class CrashTracker:
    """Tracks what was running on upstreams when they crashed."""

    def __init__(self, rule: AttributionRule | None = None) -> None:
        self._rule = rule or MostCrashes()
        self._suspects: dict[bytes, Suspect] = {}
        #: The suspects of each workspace, the one seen longest ago first.
        self._by_workspace: dict[str, dict[bytes, Suspect]] = {}
        self._crashes: dict[IncarnationKey, Crash] = {}
        #: When incarnations and suspects were cleared; older reports are ignored.
        self._live_at: dict[IncarnationKey, float] = {}
        self._cleared_at: dict[bytes, float] = {}
        #: Suspects whose last crash has not been attributed yet.
        self._unattributed: set[bytes] = set()
        #: Keys of the suspects that are isolated or quarantined.
        self._restricted: set[bytes] = set()
        #: Keys of those that are quarantined.
        self._quarantined_keys: set[bytes] = set()
        self._swept_at_seconds = -math.inf
        #: Number of suspects evicted because the tracker was full.
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(list(self._suspects.values()))

    def get(self, key: bytes) -> Suspect | None:
        """Return a suspect, or None."""
        return self._suspects.get(key)

    @property
    def has_restrictions(self) -> bool:
        """Whether any suspect is isolated or quarantined."""
        return bool(self._restricted)

    def restricted(self, keys: Iterable[bytes]) -> list[Suspect]:
        """Return the suspects with some keys that are isolated or quarantined."""
        return [self._suspects[key] for key in keys if key in self._restricted]

    def quarantine_state(self, key: bytes) -> QuarantineState:
        """Return how requests with a suspect are restricted."""
        suspect = self._suspects.get(key)
        return suspect.state if suspect is not None else QuarantineState.NONE

    def has_complete_reports(self, key: bytes, now_seconds: float) -> bool:
        """Return whether the reports on a suspect's last crash have arrived by now."""
        suspect = self._suspects.get(key)
        if suspect is None or suspect.crashes_count < ISOLATION_CRASHES_COUNT:
            return True
        last = suspect.last_crash
        return last is None or now_seconds >= last.at_seconds + CRASH_REPORTS_SECONDS

    def crashes(self) -> Iterator[tuple[IncarnationKey, Crash]]:
        """Yield the crashes that count against any suspect."""
        yield from list(self._crashes.items())

    def has_crashed(self, incarnation_key: IncarnationKey) -> bool:
        """Return whether a crash of an incarnation is recorded."""
        return incarnation_key in self._crashes

    # Observations of this host and reports of peers.

    def note_crash(
        self,
        incarnation_key: IncarnationKey,
        fingerprint: bytes,
        workspace_path: str,
        at_seconds: float,
        now_seconds: float,
        part_keys: tuple[bytes, ...] = (),
        are_sound: tuple[bool, ...] = (),
    ) -> bool:
        """Record that an incarnation crashed while running a request.

        ``at_seconds`` is in the past if another host observed the crash.
        ``are_sound`` tells whether each part had been answered recently; it may be
        empty. Return whether the crash is new for this request.
        """
        if self._live_at.get(incarnation_key, -math.inf) > at_seconds:
            return False
        crash = self._crashes.get(incarnation_key) or Crash(at_seconds)
        if fingerprint in crash.requests:
            return False
        candidates: list[tuple[bytes, int | None]] = [
            *((key, index) for index, key in enumerate(part_keys)),
            (fingerprint, None),
        ]
        candidates = [
            (key, index)
            for key, index in candidates
            if self._cleared_at.get(key, -math.inf) < at_seconds
        ]
        if not candidates:
            return False
        # Each host observes a crash at its own time; the earliest is the closest to it.
        crash.at_seconds = min(crash.at_seconds, at_seconds)
        crash.requests[fingerprint] = CrashedRequest(
            workspace_path, part_keys, are_sound
        )
        sound_keys = set(itertools.compress(part_keys, are_sound))
        for key, index in candidates:
            suspect = self._get_or_add(key, workspace_path, index, now_seconds)
            suspect.was_sound |= key in sound_keys
            suspect.crashes[incarnation_key] = crash
            crash.suspect_keys.add(key)
            self._unattributed.add(key)
            self._note_seen(suspect, now_seconds)
            self._update_restriction(suspect)
        self._crashes[incarnation_key] = crash
        # A full tracker may have evicted some of them for the others.
        keys = {key for key, _ in candidates} & crash.suspect_keys
        for key in keys & self._quarantined_keys:
            keys |= self._keys_beside(self._suspects[key])
        self._update_explained(keys)
        return True

    def note_sound(self, key: bytes) -> None:
        """Record that requests with a suspected part had been answered before."""
        suspect = self._suspects.get(key)
        if suspect is not None and suspect.is_part and not suspect.was_sound:
            suspect.was_sound = True
            self._update_explained([key])
            self._unattributed.update(self._keys_beside(suspect) & self._restricted)

    def note_live(self, incarnation_key: IncarnationKey, at_seconds: float) -> bool:
        """Record an answer to a message sent at ``at_seconds``, and retract the crash.

        Return whether a crash of this incarnation was recorded before that time.
        """
        crash = self._crashes.get(incarnation_key)
        if crash is None or at_seconds <= crash.at_seconds:
            return False
        self._live_at[incarnation_key] = at_seconds
        for key in list(crash.suspect_keys):
            self._remove_crash(self._suspects[key], incarnation_key)
        return True

    def is_refutable(self, incarnation_key: IncarnationKey, at_seconds: float) -> bool:
        """Return whether a crash is recorded that an answer at a time may refute."""
        crash = self._crashes.get(incarnation_key)
        if crash is None or crash.is_confirmed:
            return False
        return 0.0 < at_seconds - crash.at_seconds < REFUTATION_SECONDS

    def note_unreachable(self, incarnation_key: IncarnationKey) -> None:
        """Record that an incarnation could not be reached, after a crash if any."""
        crash = self._crashes.get(incarnation_key)
        if crash is not None:
            crash.is_confirmed = True

    def find_refuted(
        self, incarnation_key: IncarnationKey, at_seconds: float
    ) -> list[Suspect]:
        """Return the quarantined suspects that too few crashes speak against.

        The incarnation answered a message sent at ``at_seconds``.
        """
        if not self.is_refutable(incarnation_key, at_seconds):
            return []
        return [
            self._suspects[key]
            for key in self._crashes[incarnation_key].suspect_keys
            & self._quarantined_keys
            if self._suspects[key].crashes_count
            <= min_crashes_count(self._suspects[key])
        ]

    def clear(self, key: bytes, at_seconds: float) -> bool:
        """Drop what was recorded of a suspect up to a time.

        A request with it was answered completely, or an operator released it. Return
        whether it was tracked and not cleared before. The time is kept for one that is
        not tracked, too: reports of earlier crashes may still arrive.
        """
        if self._cleared_at.get(key, -math.inf) >= at_seconds:
            return False
        self._note_cleared(key, at_seconds)
        suspect = self._suspects.get(key)
        if suspect is None:
            return False
        quarantined_at_seconds = suspect.quarantined_at_seconds
        if quarantined_at_seconds is not None and quarantined_at_seconds <= at_seconds:
            self._lift_quarantine(suspect)
            suspect.reported_crashes_count = suspect.probes_count = 0
        for incarnation_key, crash in list(suspect.crashes.items()):
            if crash.at_seconds <= at_seconds:
                self._remove_crash(suspect, incarnation_key)
        self._drop_if_empty(suspect)
        return True

    def _note_cleared(self, key: bytes, at_seconds: float) -> None:
        self._cleared_at.pop(key, None)
        self._cleared_at[key] = at_seconds
        if len(self._cleared_at) > MAX_CLEARED_COUNT:
            del self._cleared_at[next(iter(self._cleared_at))]

    def cleared_at_seconds(self, key: bytes) -> float:
        """Return when a suspect was cleared last; minus infinity if it was not."""
        return self._cleared_at.get(key, -math.inf)

    def note_quarantined(
        self,
        key: bytes,
        workspace_path: str,
        crashes_count: int,
        at_seconds: float,
        now_seconds: float,
        *,
        is_part: bool = False,
        probes_count: int = 0,
    ) -> bool:
        """Record that another host quarantined a suspect; return whether it is new."""
        if self._cleared_at.get(key, -math.inf) >= at_seconds:
            return False
        index = 0 if is_part else None
        suspect = self._get_or_add(key, workspace_path, index, now_seconds)
        self._note_seen(suspect, now_seconds)
        if suspect.quarantined_at_seconds is not None:
            if probes_count > suspect.probes_count:
                suspect.quarantined_at_seconds = at_seconds
                suspect.probes_count = probes_count
            return False
        suspect.reported_crashes_count = crashes_count
        suspect.probes_count = probes_count
        self._quarantine(suspect, at_seconds)
        return True

    def note_refused(self, key: bytes, now_seconds: float) -> None:
        """Record that a request with a quarantined suspect arrived again."""
        suspect = self._suspects.get(key)
        if suspect is not None:
            suspect.refused_count += 1
            self._note_seen(suspect, now_seconds)

    def note_probe(self, suspect: Suspect, now_seconds: float) -> None:
        """Record that a request with a quarantined suspect is sent as a probe."""
        suspect.probes_count += 1
        suspect.quarantined_at_seconds = now_seconds

    def attribute_crashes(self, now_seconds: float) -> list[Suspect]:
        """Quarantine the suspects found responsible by now, and return them."""
        # Requests first: they may explain crashes that would count against parts.
        return [
            *self._attribute(now_seconds, are_parts=False),
            *self._attribute(now_seconds, are_parts=True),
        ]

    def _attribute(self, now_seconds: float, *, are_parts: bool) -> list[Suspect]:
        """Quarantine the responsible suspects of one kind, by the same evidence."""
        quarantined = []
        for key in list(self._unattributed):
            suspect = self._suspects.get(key)
            if suspect is None or suspect.quarantined_at_seconds is not None:
                self._unattributed.discard(key)
                continue
            if suspect.is_part != are_parts:
                continue
            if not self.has_complete_reports(key, now_seconds):
                continue
            self._unattributed.discard(key)
            if self._rule.is_responsible(suspect, self._other_suspects(suspect)):
                quarantined.append(suspect)
        for suspect in quarantined:
            self._quarantine(suspect, now_seconds)
        return quarantined

    def _other_suspects(self, suspect: Suspect) -> list[Suspect]:
        """Return the suspects at the last crash of a suspect.

        Of a part, also the requests at its other crashes: each of them may explain
        those that they share.
        """
        last = suspect.last_crash
        if last is None:
            return []
        keys = set(last.suspect_keys)
        if suspect.is_part:
            for crash in suspect.unexplained_crashes:
                keys |= crash.suspect_keys & crash.requests.keys()
        return [self._suspects[key] for key in keys if key != suspect.key]

    def _quarantine(self, suspect: Suspect, at_seconds: float) -> None:
        suspect.quarantined_at_seconds = at_seconds
        self._update_restriction(suspect)
        self._update_explained(self._keys_beside(suspect))

    def _lift_quarantine(self, suspect: Suspect) -> None:
        """Lift a quarantine; what it explained counts against the others again."""
        suspect.quarantined_at_seconds = None
        self._update_restriction(suspect)
        self._update_explained(self._keys_beside(suspect))

    def _keys_beside(self, suspect: Suspect) -> set[bytes]:
        """Return the keys of all suspects at the crashes of one, and its own."""
        crashes = suspect.crashes.values()
        return {suspect.key}.union(*(crash.suspect_keys for crash in crashes))

    def _update_explained(self, keys: Iterable[bytes]) -> None:
        """Update which crashes of some suspects are explained."""
        for key in list(keys):
            suspect = self._suspects[key]
            explained_keys = self._find_explained(suspect)
            if explained_keys != suspect.explained_keys:
                suspect.explained_keys = explained_keys
                self._update_restriction(suspect)
                self._unattributed.add(key)

    def _find_explained(self, suspect: Suspect) -> set[IncarnationKey]:
        """Return the crashes of a suspect that quarantined ones explain.

        Suspects that the requests of a quarantined one hold keep them: a part may
        explain the crashes of a request that was held responsible.
        """
        if suspect.is_quarantined:
            return set()
        requests = suspect.requests
        others = [
            other
            for other in self._quarantined_beside(suspect)
            if requests.isdisjoint(other.requests)
        ]
        if suspect.is_part and not (
            len(suspect.crashes) < shared_blame_limit(suspect)
            and _have_own_evidence(others, suspect)
        ):
            crashes_count = len(suspect.crashes)
            others = [other for other in others if len(other.crashes) >= crashes_count]
        return suspect.crashes.keys() & _crash_keys(others)

    def _quarantined_beside(self, suspect: Suspect) -> list[Suspect]:
        """Return the quarantined suspects at the crashes of another one."""
        keys = self._keys_beside(suspect) & self._quarantined_keys
        return [self._suspects[key] for key in keys]

    # Bounds on memory.

    def _get_or_add(
        self,
        key: bytes,
        workspace_path: str,
        part_index: int | None,
        now_seconds: float,
    ) -> Suspect:
        suspect = self._suspects.get(key)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= MAX_SUSPECTS_COUNT:
            self._evict_one(now_seconds)
        suspect = Suspect(key, workspace_path, part_index, seen_at_seconds=now_seconds)
        self._suspects[key] = suspect
        self._by_workspace.setdefault(workspace_path, {})[key] = suspect
        return suspect

    def _note_seen(self, suspect: Suspect, now_seconds: float) -> None:
        suspect.seen_at_seconds = now_seconds
        siblings = self._by_workspace[suspect.workspace_path]
        del siblings[suspect.key]
        siblings[suspect.key] = suspect

    def _evict_one(self, now_seconds: float) -> None:
        self.sweep(now_seconds)
        if len(self._suspects) < MAX_SUSPECTS_COUNT:
            return
        largest = max(self._by_workspace.values(), key=len)
        # Quarantined suspects are evicted last: each would crash another three
        # upstreams before it is quarantined again.
        oldest = next(iter(largest.values()))
        for suspect in largest.values():
            if suspect.state is QuarantineState.NONE:
                oldest = suspect
                break
            if suspect.state < oldest.state:
                oldest = suspect
        self._drop(oldest)
        self.dropped_count += 1

    def sweep(self, now_seconds: float) -> None:
        """Drop expired entries; called periodically."""
        if now_seconds - self._swept_at_seconds < SWEEP_SECONDS:
            return
        self._swept_at_seconds = now_seconds
        for suspect in list(self._suspects.values()):
            if suspect.is_expired(now_seconds):
                self._drop(suspect)
        oldest_seconds = now_seconds - SUSPECT_RETENTION_SECONDS
        for times in (self._live_at, self._cleared_at):
            for key in [key for key, at in times.items() if at < oldest_seconds]:
                del times[key]  # type: ignore[arg-type]

    def _drop(self, suspect: Suspect) -> None:
        if suspect.is_quarantined:
            self._lift_quarantine(suspect)
        for incarnation_key in list(suspect.crashes):
            self._remove_crash(suspect, incarnation_key)
        self._drop_if_empty(suspect)

    def _drop_if_empty(self, suspect: Suspect) -> None:
        """Forget a suspect without crashes, and lift its restrictions."""
        self._update_restriction(suspect)
        key = suspect.key
        if suspect.crashes or suspect.quarantined_at_seconds is not None:
            return
        if self._suspects.get(key) is not suspect:
            return
        del self._suspects[key]
        siblings = self._by_workspace[suspect.workspace_path]
        del siblings[key]
        if not siblings:
            del self._by_workspace[suspect.workspace_path]
        self._unattributed.discard(key)
        self._restricted.discard(key)
        self._quarantined_keys.discard(key)

    def _remove_crash(self, suspect: Suspect, incarnation_key: IncarnationKey) -> None:
        crash = suspect.crashes.pop(incarnation_key)
        suspect.explained_keys.discard(incarnation_key)
        crash.suspect_keys.discard(suspect.key)
        # Without this suspect another one may explain the crash better than the rest.
        self._unattributed.update(crash.suspect_keys & self._restricted)
        if not crash.suspect_keys:
            self._crashes.pop(incarnation_key, None)
        self._drop_if_empty(suspect)

    def _update_restriction(self, suspect: Suspect) -> None:
        if suspect.state is QuarantineState.NONE:
            self._restricted.discard(suspect.key)
        else:
            self._restricted.add(suspect.key)
        if suspect.is_quarantined:
            self._quarantined_keys.add(suspect.key)
        else:
            self._quarantined_keys.discard(suspect.key)


def _have_own_evidence(quarantined: Iterable[Suspect], part: Suspect) -> bool:
    """Return whether quarantined suspects also crashed an upstream without a part.

    Otherwise the part may have caused all of their crashes.
    """
    return not _crash_keys(quarantined) <= part.crashes.keys()


def _crash_keys(suspects: Iterable[Suspect]) -> set[IncarnationKey]:
    return set().union(*(suspect.crashes for suspect in suspects))
