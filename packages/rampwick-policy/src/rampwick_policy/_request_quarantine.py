"""Keeping requests that upstreams end under from the other upstreams.

It draws from a host's attempts and from its peers' words what the book of blame is to
know, says where a suspect may go, and gathers what peers are to be told.
"""

from collections import deque
from collections.abc import Callable

import attrs

from rampwick_schema import (
    AboardRequest,
    ClearedRequest,
    CrashUpdate,
    EndedUpstream,
    LiveUpstream,
    Shown,
    StoppedRequest,
)

from ._crash_attribution import (
    CrashTracker,
    IncarnationKey,
    QuarantineState,
    SuspectRequest,
)
from ._notices import NoticeBook
from ._placement import RunnerView
from ._queue import QueuedRequest
from ._rendezvous import rank

#: Covers messages dropped by a full send queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0

#: Age up to which ends are told to a host that has just come.
INITIAL_STATE_SECONDS = 60.0


@attrs.frozen(repr=False)
class _CrashFact(Shown):
    """One life that ended with a request aboard."""

    incarnation_key: IncarnationKey
    fingerprint: bytes
    workspace_path: str
    at_seconds: float


@attrs.frozen(repr=False)
class _LiveFact(Shown):
    """One life that answered after all."""

    incarnation_key: IncarnationKey
    at_seconds: float


@attrs.frozen(repr=False)
class _ClearedFact(Shown):
    """One request that nothing is held against any more."""

    fingerprint: bytes
    at_seconds: float


@attrs.frozen(repr=False)
class _QuarantineFact(Shown):
    """One request that was stopped."""

    fingerprint: bytes
    workspace_path: str
    ends_count: int
    at_seconds: float


_Fact = _CrashFact | _LiveFact | _ClearedFact | _QuarantineFact


class RequestQuarantine:
    """Requests that upstreams end under, as one host deals with them."""

    def __init__(
        self, notices: NoticeBook, tracker: CrashTracker | None = None
    ) -> None:
        self.tracker = tracker or CrashTracker()
        self._notices = notices
        #: Suspects of this host at upstreams, by upstream.
        self._isolated_at: dict[str, bytes] = {}
        #: What peers have not been told, and what they are told again for a while.
        self._unsent: list[_Fact] = []
        self._told: deque[_Fact] = deque()
        #: Called when there is something to tell.
        self.on_update: Callable[[], None] = _do_nothing

    # What attempts show.

    def note_crash(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that a request's upstream closed the connection under it."""
        identity = item.arrival.identity
        if identity is None:
            return
        end = _CrashFact(
            IncarnationKey(item.upstream, item.incarnation),
            identity.fingerprint,
            item.workspace_path,
            now_seconds,
        )
        if self._add_crash(end, now_seconds):
            self._enqueue(end)

    def note_answered(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that an upstream lived through a request to its whole answer."""
        if not len(self.tracker) or item.arrival.identity is None:
            return
        self.clear(item.arrival.identity.fingerprint, now_seconds, "it was answered")

    def note_live(
        self, upstream: str, incarnation: str, sent_at_seconds: float
    ) -> None:
        """Note that a life answered what was sent to it at a time."""
        if not len(self.tracker):
            return
        live = _LiveFact(IncarnationKey(upstream, incarnation), sent_at_seconds)
        if self.tracker.note_live(live.incarnation_key, sent_at_seconds):
            self._enqueue(live)

    def clear(self, fingerprint: bytes, now_seconds: float, reason: str) -> bool:
        """Hold nothing against a request any more; return whether anything was."""
        if not self.tracker.clear(fingerprint, now_seconds):
            return False
        self._notices.forget("request", fingerprint.hex(), reason)
        self._enqueue(_ClearedFact(fingerprint, now_seconds))
        return True

    def attribute_crashes(self, now_seconds: float) -> bool:
        """Stop whoever is to blame by now; return whether that stopped anybody."""
        stopped = self.tracker.attribute_crashes(now_seconds)
        for suspect in stopped:
            self._notice(suspect)
            self._enqueue(
                _QuarantineFact(
                    suspect.fingerprint,
                    suspect.workspace_path,
                    suspect.ends_count,
                    now_seconds,
                )
            )
        return bool(stopped)

    # Where a request may go.

    def quarantine_state(self, item: QueuedRequest) -> QuarantineState:
        """Return what is held against a request."""
        if not len(self.tracker) or item.arrival.identity is None:
            return QuarantineState.NONE
        return self.tracker.quarantine_state(item.arrival.identity.fingerprint)

    def allowed_views(
        self, item: QueuedRequest, views: list[RunnerView], now_seconds: float
    ) -> list[RunnerView]:
        """Return the upstreams that a request may go to, as far as it is suspected.

        A suspect goes to one that no other suspect is at, the same from all hosts as
        far as they can, so that the next end tells which of them it was.
        """
        identity = item.arrival.identity
        if identity is None or self.quarantine_state(item) is not QuarantineState.APART:
            return views
        fingerprint = identity.fingerprint
        if not self.tracker.has_complete_reports(fingerprint, now_seconds):
            return []
        by_name = {view.name: view for view in views}
        for name in rank(fingerprint, by_name):
            if self._isolated_at.get(name, fingerprint) == fingerprint:
                return [by_name[name]]
        return []

    def note_sent(self, item: QueuedRequest) -> None:
        """Note where a request goes, if it is a suspect."""
        identity = item.arrival.identity
        if (
            identity is not None
            and self.quarantine_state(item) is QuarantineState.APART
        ):
            self._isolated_at[item.upstream] = identity.fingerprint

    def note_released(self, item: QueuedRequest) -> None:
        """Note that a request is at its upstream no more."""
        if not self._isolated_at or item.arrival.identity is None:
            return
        if self._isolated_at.get(item.upstream) == item.arrival.identity.fingerprint:
            del self._isolated_at[item.upstream]

    def note_refused(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that a stopped request came again."""
        if item.arrival.identity is not None:
            self.tracker.note_refused(item.arrival.identity.fingerprint, now_seconds)

    def describe(self, item: QueuedRequest) -> str:
        """Return what is held against a request, for logs; nothing if nothing is."""
        if (
            self.quarantine_state(item) is QuarantineState.NONE
            or item.arrival.identity is None
        ):
            return ""
        suspect = self.tracker.get(item.arrival.identity.fingerprint)
        if suspect is None:
            return ""
        return f"fingerprint {suspect.fingerprint.hex()}: {_describe_ends(suspect)}"

    # What peers say and are told.

    def receive(self, update: CrashUpdate, now_seconds: float) -> bool:
        """Take a peer's word; return whether it stopped anybody."""
        for live in update.live:
            incarnation_key = IncarnationKey(live.upstream, live.incarnation)
            self.tracker.note_live(incarnation_key, now_seconds - live.age_seconds)
        for cleared in update.cleared:
            at_seconds = now_seconds - cleared.age_seconds
            if self.tracker.clear(cleared.fingerprint, at_seconds):
                name = cleared.fingerprint.hex()
                self._notices.forget("request", name, "a peer says so")
        for ended in update.ended:
            self._receive_crash(ended, now_seconds)
        has_stopped = False
        for stopped in update.stopped:
            has_stopped |= self._receive_stopped(stopped, now_seconds)
        return has_stopped

    def _receive_crash(self, ended: EndedUpstream, now_seconds: float) -> None:
        incarnation_key = IncarnationKey(ended.upstream, ended.incarnation)
        at_seconds = now_seconds - ended.age_seconds
        for request in ended.aboard:
            end = _CrashFact(
                incarnation_key, request.fingerprint, request.workspace, at_seconds
            )
            self._add_crash(end, now_seconds)

    def _receive_stopped(self, stopped: StoppedRequest, now_seconds: float) -> bool:
        is_new = self.tracker.note_stopped(
            stopped.fingerprint,
            stopped.workspace,
            stopped.ends_count,
            now_seconds - stopped.age_seconds,
            now_seconds,
        )
        suspect = self.tracker.get(stopped.fingerprint)
        if is_new and suspect is not None:
            self._notice(suspect)
        return is_new

    def take_update(self, now_seconds: float) -> CrashUpdate | None:
        """Return what peers have not been told, to tell them now and again later."""
        if not self._unsent:
            return None
        facts, self._unsent = self._unsent, []
        self._told.extend(facts)
        return _to_update(facts, now_seconds)

    def take_retransmission(self, now_seconds: float) -> CrashUpdate | None:
        """Return what peers were told of late, to tell it again."""
        oldest_seconds = now_seconds - RETRANSMIT_SECONDS
        while self._told and self._told[0].at_seconds < oldest_seconds:
            self._told.popleft()
        return _to_update(list(self._told), now_seconds) if self._told else None

    def initial_state(self, now_seconds: float) -> CrashUpdate | None:
        """Return what a host is to know that has just come."""
        facts: list[_Fact] = []
        for suspect in self.tracker:
            facts += [
                _CrashFact(
                    incarnation_key,
                    suspect.fingerprint,
                    suspect.workspace_path,
                    at_seconds,
                )
                for incarnation_key, at_seconds in suspect.ends.items()
                if now_seconds - at_seconds < INITIAL_STATE_SECONDS
            ]
            if suspect.stopped_at_seconds is not None:
                facts.append(
                    _QuarantineFact(
                        suspect.fingerprint,
                        suspect.workspace_path,
                        suspect.ends_count,
                        suspect.stopped_at_seconds,
                    )
                )
        return _to_update(facts, now_seconds) if facts else None

    def _add_crash(self, end: _CrashFact, now_seconds: float) -> bool:
        dropped_count = self.tracker.dropped_count
        is_new = self.tracker.note_crash(
            end.incarnation_key,
            end.fingerprint,
            end.workspace_path,
            end.at_seconds,
            now_seconds,
        )
        if self.tracker.dropped_count > dropped_count:
            reason = f"{len(self.tracker)} are remembered, which is the most"
            self._notices.note("suspects", end.workspace_path, "dropped", reason)
        suspect = self.tracker.get(end.fingerprint)
        if is_new and suspect is not None:
            self._notice(suspect)
        return is_new

    def _notice(self, suspect: SuspectRequest) -> None:
        quarantine_state = self.tracker.quarantine_state(suspect.fingerprint)
        if quarantine_state is QuarantineState.NONE:
            return
        name = suspect.fingerprint.hex()
        state = quarantine_state.name.lower()
        self._notices.note("request", name, state, _describe_ends(suspect))

    def _enqueue(self, fact: _Fact) -> None:
        self._unsent.append(fact)
        self.on_update()


def _describe_ends(suspect: SuspectRequest) -> str:
    names = ", ".join(incarnation_key.upstream for incarnation_key in suspect.ends)
    return (
        f"{suspect.ends_count} upstreams ended under it, of {suspect.workspace_path}"
        + (f": {names}" if names else "")
    )


def _to_update(facts: list[_Fact], now_seconds: float) -> CrashUpdate:
    """Return facts as peers are told them, with their ages."""
    update = CrashUpdate()
    ended: dict[IncarnationKey, EndedUpstream] = {}
    for fact in facts:
        age_seconds = max(0.0, now_seconds - fact.at_seconds)
        if isinstance(fact, _LiveFact):
            live = LiveUpstream(
                fact.incarnation_key.upstream,
                fact.incarnation_key.incarnation,
                age_seconds,
            )
            update.live.append(live)
        elif isinstance(fact, _ClearedFact):
            update.cleared.append(ClearedRequest(fact.fingerprint, age_seconds))
        elif isinstance(fact, _QuarantineFact):
            update.stopped.append(
                StoppedRequest(
                    fact.fingerprint, fact.workspace_path, age_seconds, fact.ends_count
                )
            )
        else:
            told = ended.setdefault(
                fact.incarnation_key,
                EndedUpstream(
                    fact.incarnation_key.upstream,
                    fact.incarnation_key.incarnation,
                    age_seconds,
                    [],
                ),
            )
            told.aboard.append(AboardRequest(fact.fingerprint, fact.workspace_path))
    update.ended.extend(ended.values())
    return update


def _do_nothing() -> None:
    return
