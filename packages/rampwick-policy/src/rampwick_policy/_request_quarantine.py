"""Quarantine of requests, and of parts of prompts, that crash upstreams.

Feeds the crash tracker from this host's attempts and its peers' updates, restricts the
upstreams that a suspect may be sent to, and collects the updates for peers.
"""

import zlib
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from http import HTTPStatus

import attrs

from rampwick_schema import CrashUpdate, EndedUpstream, ReprMixin, StoppedRequest

from ._crash_attribution import CRASH_REPORTS_SECONDS, CrashTracker
from ._crash_updates import (
    ClearedFact,
    CrashFact,
    Fact,
    LiveFact,
    SoundFact,
    quarantine_fact,
    state_facts,
    to_update,
)
from ._events import AttemptDone
from ._identity import MAX_PART_KEYS, RequestIdentity
from ._placement import RunnerView
from ._queue import QueuedRequest
from ._rendezvous import rank
from ._sound_parts import SoundParts
from ._state_changes import StateChangeTracker
from ._suspects import IncarnationKey, QuarantineState, Suspect

#: Batching interval of updates: all attempts that a crash breaks fail within
#: milliseconds of each other, and share one message.
UPDATE_BATCH_SECONDS = 0.02

#: Time for which updates are retransmitted. Covers messages dropped by a full send
#: queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0

#: Time for which a runner writes an answer by which its parts have proved sound.
SOUND_AFTER_SECONDS = 0.5

#: Time for which an answer may wait for proof that its upstream has not crashed.
UNCONFIRMED_ANSWER_SECONDS = 5.0

#: Maximum number of answers that wait for it.
MAX_UNCONFIRMED_ANSWERS_COUNT = 256

#: Hosts that share the probes of a suspect. In larger fleets each host takes a larger
#: share, so that a few requests are enough for a probe; two at once are still rare.
MAX_PROBE_SHARES_COUNT = 10


def _find_no_incarnation(upstream: str) -> str:
    return ""


@attrs.define(repr=False)
class _IsolatedRuns(ReprMixin):
    """Requests with one suspect that this host runs at an upstream."""

    key: bytes
    request_ids: set[str] = attrs.field(factory=set)


@attrs.frozen(repr=False)
class _UnconfirmedAnswer(ReprMixin):
    """An answer whose end may also be that of its upstream."""

    incarnation_key: IncarnationKey
    identity: RequestIdentity
    status: int
    at_seconds: float


class RequestQuarantine:
    """One host's handling of requests that crash upstreams."""

    def __init__(
        self,
        state_changes: StateChangeTracker,
        count_hosts: Callable[[], int],
        tracker: CrashTracker | None = None,
        find_incarnation: Callable[[str], str] = _find_no_incarnation,
    ) -> None:
        """``count_hosts`` returns the number of hosts, including this one.

        ``find_incarnation`` returns the incarnation that requests to an upstream are
        sent to; empty if it has none.
        """
        self.tracker = tracker or CrashTracker()
        self._count_hosts = count_hosts
        self._find_incarnation = find_incarnation
        self._sound_parts = SoundParts()
        self._state_changes = state_changes
        #: The isolated requests that this host runs, by upstream.
        self._isolated_at: dict[str, _IsolatedRuns] = {}
        self._unconfirmed: deque[_UnconfirmedAnswer] = deque(
            maxlen=MAX_UNCONFIRMED_ANSWERS_COUNT
        )
        #: Facts not broadcast yet, and broadcast ones that are still retransmitted.
        self._pending: list[Fact] = []
        #: Whether a crash of an isolated request is among those not broadcast yet.
        self._has_isolated_crash = False
        self._broadcast: deque[Fact] = deque()
        #: Called when there is an update to broadcast.
        self.on_update: Callable[[], None] = _do_nothing

    # Results of attempts.

    def note_crash(self, item: QueuedRequest, now_seconds: float) -> None:
        """Record that a request's upstream closed its connection unexpectedly."""
        identity = item.arrival.identity
        item.probed_key = b""
        if identity is None:
            return
        incarnation_key = IncarnationKey(item.upstream, item.incarnation)
        # Until the other hosts know of it, they may send the same request.
        self._has_isolated_crash |= self._is_isolated(item)
        self._note_own_crash(incarnation_key, identity, now_seconds, now_seconds)
        self._recheck_answers(incarnation_key, now_seconds)

    def note_replaced(self, item: QueuedRequest, now_seconds: float) -> None:
        """Record that a request reached another incarnation than intended.

        The intended one may have crashed while running the same request for another
        host, whose report has not arrived yet.
        """
        item.reports_due_at_seconds = now_seconds + CRASH_REPORTS_SECONDS

    def note_answered(
        self, item: QueuedRequest, answer: AttemptDone, now_seconds: float
    ) -> None:
        """Record the complete answer of a request.

        It clears the request, and with success its parts, which a runner may not have
        read otherwise. If only the end of the connection ended the answer, that waits
        until the upstream is known to be alive.
        """
        identity = item.arrival.identity
        if identity is None or answer.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            return
        if not answer.has_certain_end:
            incarnation_key = IncarnationKey(item.upstream, item.incarnation)
            self._unconfirmed.append(
                _UnconfirmedAnswer(
                    incarnation_key, identity, answer.status, now_seconds
                )
            )
            self._recheck_answers(incarnation_key, now_seconds)
        else:
            self._clear_answered(identity, answer.status, now_seconds)

    def note_live(
        self, upstream: str, incarnation: str, sent_at_seconds: float
    ) -> None:
        """Record that an incarnation answered a message sent at a given time."""
        incarnation_key = IncarnationKey(upstream, incarnation)
        if self._unconfirmed:
            self._confirm_answers(incarnation_key, sent_at_seconds)
        if not len(self.tracker):
            return
        refuted = self.tracker.find_refuted(incarnation_key, sent_at_seconds)
        if self.tracker.note_live(incarnation_key, sent_at_seconds):
            self._enqueue(LiveFact(incarnation_key, sent_at_seconds))
        for suspect in refuted:
            # Peers repeat the verdict for some seconds; it is older than the clearing.
            at_seconds = max(sent_at_seconds, suspect.quarantined_at_seconds or 0.0)
            self.clear(suspect.key, at_seconds, "its upstreams had not crashed")

    def note_unreachable(self, upstream: str, incarnation: str) -> None:
        """Record that no connection to an incarnation could be opened."""
        self.tracker.note_unreachable(IncarnationKey(upstream, incarnation))

    def note_writing(
        self,
        items: Iterable[QueuedRequest],
        incarnation: str,
        sent_at_seconds: float,
    ) -> None:
        """Clear the parts of requests that an incarnation writes answers for.

        It answered a message sent at a given time, so that it was still running then.
        """
        if not len(self.tracker):
            return
        for item in items:
            identity = item.arrival.identity
            if identity is None or item.incarnation != incarnation:
                continue
            if _is_writing(item, sent_at_seconds):
                for key in identity.part_keys:
                    self.clear(key, sent_at_seconds, "an upstream writes answers on it")

    def clear(self, key: bytes, at_seconds: float, reason: str) -> bool:
        """Clear a suspect of what happened up to a time; return whether it did."""
        suspect = self.tracker.get(key)
        if suspect is None or not self.tracker.clear(key, at_seconds):
            return False
        if suspect.state is QuarantineState.NONE:
            self._state_changes.forget(suspect.kind, key.hex(), reason)
        self._enqueue(ClearedFact(key, at_seconds))
        return True

    def attribute_crashes(self, now_seconds: float) -> bool:
        """Quarantine the responsible suspects; return whether there were any."""
        quarantined = self.tracker.attribute_crashes(now_seconds)
        for suspect in quarantined:
            self._record_state(suspect)
            self._enqueue(quarantine_fact(suspect))
        return bool(quarantined)

    def _note_own_crash(
        self,
        incarnation_key: IncarnationKey,
        identity: RequestIdentity,
        at_seconds: float,
        now_seconds: float,
    ) -> None:
        crash = CrashFact(
            incarnation_key,
            identity.fingerprint,
            identity.workspace_path,
            at_seconds,
            identity.part_keys,
            self._sound_parts.are_sound(identity.part_keys, now_seconds),
        )
        if self._add_crash(crash, now_seconds):
            self._enqueue(crash)

    def _clear_answered(
        self, identity: RequestIdentity, status: int, now_seconds: float
    ) -> None:
        is_success = status < HTTPStatus.MULTIPLE_CHOICES
        if is_success:
            self._sound_parts.note_answered(
                identity.workspace_path, identity.part_keys, now_seconds
            )
        if not len(self.tracker):
            return
        for key in (*(identity.part_keys if is_success else ()), identity.fingerprint):
            self.clear(key, now_seconds, "a request with it was answered")

    def _recheck_answers(
        self, incarnation_key: IncarnationKey, now_seconds: float
    ) -> None:
        """Count answers that a crash ended as broken by it."""
        if not self._unconfirmed or not self.tracker.has_crashed(incarnation_key):
            return
        for answer in self._take_unconfirmed(incarnation_key, now_seconds):
            self._note_own_crash(
                incarnation_key, answer.identity, answer.at_seconds, now_seconds
            )

    def _confirm_answers(
        self, incarnation_key: IncarnationKey, sent_at_seconds: float
    ) -> None:
        """Clear the requests whose answers ended before an upstream was live."""
        for answer in self._take_unconfirmed(incarnation_key, sent_at_seconds):
            if answer.at_seconds < sent_at_seconds:
                self._clear_answered(answer.identity, answer.status, answer.at_seconds)
            else:
                self._unconfirmed.append(answer)

    def _take_unconfirmed(
        self, incarnation_key: IncarnationKey, now_seconds: float
    ) -> list[_UnconfirmedAnswer]:
        """Remove and return the answers of an incarnation, and drop old ones of all."""
        oldest_seconds = now_seconds - UNCONFIRMED_ANSWER_SECONDS
        taken, kept = [], []
        for answer in self._unconfirmed:
            if answer.incarnation_key == incarnation_key:
                taken.append(answer)
            elif answer.at_seconds >= oldest_seconds:
                kept.append(answer)
        self._unconfirmed.clear()
        self._unconfirmed.extend(kept)
        return taken

    # Restrictions on requests.

    def quarantine_state(self, item: QueuedRequest) -> QuarantineState:
        """Return how a request is restricted."""
        states = [
            QuarantineState.APART if suspect.key == item.probed_key else suspect.state
            for suspect in self._restricted(item)
        ]
        return max(states, default=QuarantineState.NONE)

    def begin_probe(self, item: QueuedRequest, now_seconds: float) -> bool:
        """Return whether a quarantined request is sent as a probe, and record it.

        A wrong quarantine ends by a probe that is answered. Hosts agree on no turns:
        each takes its share of the requests once a probe is due.
        """
        stopped = [
            suspect
            for suspect in self._restricted(item)
            if suspect.state is QuarantineState.STOPPED
        ]
        if len(stopped) != 1 or now_seconds < stopped[0].probe_due_at_seconds:
            return False
        shares_count = max(1, min(self._count_hosts(), MAX_PROBE_SHARES_COUNT))
        if zlib.crc32(item.request_id.encode()) % shares_count:
            return False
        (suspect,) = stopped
        item.probed_key = suspect.key
        self.tracker.note_probe(suspect, now_seconds)
        self._enqueue(quarantine_fact(suspect))
        return True

    def allowed_views(
        self, item: QueuedRequest, views: Sequence[RunnerView], now_seconds: float
    ) -> Sequence[RunnerView]:
        """Return the upstreams that a request may be sent to.

        An isolated request gets one upstream without another suspect, the same on all
        hosts where possible, so that the next crash identifies the suspect behind it.
        It waits for the successor of a crashed incarnation to be known: a crash of the
        successor would not be told from that of its predecessor.
        """
        suspects = self._restricted(item)
        if not suspects:
            return views
        if now_seconds < item.reports_due_at_seconds or not all(
            self.tracker.has_complete_reports(suspect.key, now_seconds)
            for suspect in suspects
        ):
            return []
        key = _leading(suspects).key
        by_name = {view.name: view for view in views}
        for name in rank(key, by_name):
            runs = self._isolated_at.get(name)
            if (runs is None or runs.key == key) and not self._has_crashed(name):
                return [by_name[name]]
        return []

    def _has_crashed(self, name: str) -> bool:
        """Return whether the last known incarnation of an upstream has crashed."""
        incarnation = self._find_incarnation(name)
        return bool(incarnation) and self.tracker.has_crashed(
            IncarnationKey(name, incarnation)
        )

    def _is_isolated(self, item: QueuedRequest) -> bool:
        """Return whether a request is at its upstream as an isolated one."""
        runs = self._isolated_at.get(item.upstream)
        return runs is not None and item.request_id in runs.request_ids

    def note_sent(self, item: QueuedRequest) -> None:
        """Record which upstream an isolated request is sent to."""
        suspects = self._restricted(item)
        if suspects:
            key = _leading(suspects).key
            runs = self._isolated_at.setdefault(item.upstream, _IsolatedRuns(key))
            runs.request_ids.add(item.request_id)

    def note_released(self, item: QueuedRequest) -> None:
        """Record that the attempt of a request at its upstream ended."""
        runs = self._isolated_at.get(item.upstream)
        if runs is not None:
            runs.request_ids.discard(item.request_id)
            if not runs.request_ids:
                del self._isolated_at[item.upstream]

    def note_refused(self, item: QueuedRequest, now_seconds: float) -> None:
        """Record that a quarantined request arrived again."""
        for suspect in self._restricted(item):
            if suspect.state is QuarantineState.STOPPED:
                self.tracker.note_refused(suspect.key, now_seconds)

    def describe(self, item: QueuedRequest) -> str:
        """Return a request's crashes for logs; empty if it is not restricted."""
        suspects = self._restricted(item)
        if not suspects:
            return ""
        suspect = _leading(suspects)
        name = "fingerprint" if not suspect.is_part else "part"
        return f"{name} {suspect.key.hex()}: {_describe_crashes(suspect)}"

    def _restricted(self, item: QueuedRequest) -> list[Suspect]:
        identity = item.arrival.identity
        if identity is None or not self.tracker.has_restrictions:
            return []
        return self.tracker.restricted(identity.suspect_keys)

    # Updates from and to peers.

    def receive_update(self, update: CrashUpdate, now_seconds: float) -> bool:
        """Apply a peer's update; return whether it quarantined a suspect."""
        for live in update.live:
            incarnation_key = IncarnationKey(live.upstream, live.incarnation)
            self.tracker.note_live(incarnation_key, now_seconds - live.age_seconds)
        for cleared in update.cleared:
            suspect = self.tracker.get(cleared.fingerprint)
            self.tracker.clear(cleared.fingerprint, now_seconds - cleared.age_seconds)
            if suspect is not None:
                name = suspect.key.hex()
                self._state_changes.forget(suspect.kind, name, "a peer cleared it")
        for ended in update.ended:
            self._receive_crash(ended, now_seconds)
        for key in update.sound:
            self.tracker.note_sound(key)
        has_quarantined = False
        for quarantined in update.stopped:
            has_quarantined |= self._receive_quarantined(quarantined, now_seconds)
        return has_quarantined

    def _receive_crash(self, ended: EndedUpstream, now_seconds: float) -> None:
        incarnation_key = IncarnationKey(ended.upstream, ended.incarnation)
        at_seconds = now_seconds - ended.age_seconds
        for request in ended.aboard:
            crash = CrashFact(
                incarnation_key,
                request.fingerprint,
                request.workspace,
                at_seconds,
                tuple(request.parts[:MAX_PART_KEYS]),
                tuple(request.are_sound),
            )
            self._add_crash(crash, now_seconds)
        self._recheck_answers(incarnation_key, now_seconds)

    def _receive_quarantined(
        self, quarantined: StoppedRequest, now_seconds: float
    ) -> bool:
        is_new = self.tracker.note_quarantined(
            quarantined.fingerprint,
            quarantined.workspace,
            quarantined.ends_count,
            now_seconds - quarantined.age_seconds,
            now_seconds,
            is_part=quarantined.is_part,
            probes_count=quarantined.probes_count,
        )
        suspect = self.tracker.get(quarantined.fingerprint)
        if is_new and suspect is not None:
            self._record_state(suspect)
        return is_new

    def batch_seconds(self) -> float:
        """Return the time over which facts are collected for one update."""
        return 0.0 if self._has_isolated_crash else UPDATE_BATCH_SECONDS

    def take_update(self, now_seconds: float) -> CrashUpdate | None:
        """Return the facts not broadcast yet, and keep them for retransmissions."""
        self._has_isolated_crash = False
        if not self._pending:
            return None
        facts, self._pending = self._pending, []
        self._broadcast.extend(facts)
        return to_update(facts, now_seconds)

    def take_retransmission(self, now_seconds: float) -> CrashUpdate | None:
        """Return the facts that were broadcast recently."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        while self._broadcast and self._broadcast[0].at_seconds < oldest_seconds:
            self._broadcast.popleft()
        return to_update(self._broadcast, now_seconds) if self._broadcast else None

    def initial_state(self, now_seconds: float) -> CrashUpdate | None:
        """Return the state that a newly connected host needs."""
        facts = list(state_facts(self.tracker, now_seconds))
        return to_update(facts, now_seconds) if facts else None

    def _add_crash(self, crash: CrashFact, now_seconds: float) -> bool:
        dropped_count = self.tracker.dropped_count
        is_new = self.tracker.note_crash(
            crash.incarnation_key,
            crash.fingerprint,
            crash.workspace_path,
            crash.at_seconds,
            now_seconds,
            crash.part_keys,
            crash.are_sound,
        )
        if self.tracker.dropped_count > dropped_count:
            reason = f"the limit of {len(self.tracker)} tracked suspects is reached"
            self._state_changes.note(
                "suspects", crash.workspace_path, "dropped", reason
            )
        if is_new:
            keys = (*crash.part_keys, crash.fingerprint)
            for suspect in self.tracker.restricted(keys):
                self._record_state(suspect)
                self._report_sound(suspect, now_seconds)
        return is_new

    def _report_sound(self, suspect: Suspect, now_seconds: float) -> None:
        """Tell the other hosts of a suspected part that this one had answered.

        The hosts that observed its crashes may not have answered it themselves.
        """
        if not suspect.is_part or suspect.was_sound:
            return
        if self._sound_parts.is_sound(suspect.key, now_seconds):
            self.tracker.note_sound(suspect.key)
            self._enqueue(SoundFact(suspect.key, now_seconds))

    def _record_state(self, suspect: Suspect) -> None:
        if suspect.state is QuarantineState.NONE:
            return
        state = suspect.state.name.lower()
        reason = _describe_crashes(suspect)
        self._state_changes.note(suspect.kind, suspect.key.hex(), state, reason)

    def _enqueue(self, fact: Fact) -> None:
        self._pending.append(fact)
        self.on_update()


def _is_writing(item: QueuedRequest, at_seconds: float) -> bool:
    """Return whether an answer had begun long enough before for its parts to be sound.

    A part crashes its runner as it begins to write.
    """
    delivered_at_seconds = item.delivered_at_seconds
    return (
        delivered_at_seconds is not None
        and at_seconds - delivered_at_seconds >= SOUND_AFTER_SECONDS
    )


def _leading(suspects: Sequence[Suspect]) -> Suspect:
    """Return the suspect with the most crashes, the narrowest of several.

    ``suspects`` are those of one request, from its first part to the whole of it.
    """
    return max(reversed(suspects), key=lambda suspect: suspect.crashes_count)


def _describe_crashes(suspect: Suspect) -> str:
    names = ", ".join(incarnation_key.upstream for incarnation_key in suspect.crashes)
    return (
        f"{suspect.crashes_count} upstreams crashed while running it, workspace "
        f"{suspect.workspace_path}" + (f": {names}" if names else "")
    )


def _do_nothing() -> None:
    return
