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
    ReprMixin,
    StoppedRequest,
)

from ._blame import BlameBook, LifeName, Suspect, Suspicion
from ._notices import NoticeBook
from ._placement import RunnerView
from ._queue import QueuedRequest
from ._rendezvous import rank

#: Covers messages dropped by a full send queue and a relay fail-over.
RETRANSMIT_SECONDS = 3.0

#: Age up to which ends are told to a host that has just come.
INITIAL_STATE_SECONDS = 60.0


@attrs.frozen(repr=False)
class _End(ReprMixin):
    """One life that ended with a request aboard."""

    life: LifeName
    fingerprint: bytes
    workspace_path: str
    at_seconds: float


@attrs.frozen(repr=False)
class _Live(ReprMixin):
    """One life that answered after all."""

    life: LifeName
    at_seconds: float


@attrs.frozen(repr=False)
class _Cleared(ReprMixin):
    """One request that nothing is held against any more."""

    fingerprint: bytes
    at_seconds: float


@attrs.frozen(repr=False)
class _Stopped(ReprMixin):
    """One request that was stopped."""

    fingerprint: bytes
    workspace_path: str
    ends_count: int
    at_seconds: float


_Fact = _End | _Live | _Cleared | _Stopped


class Suspects:
    """Requests that upstreams end under, as one host deals with them."""

    def __init__(self, notices: NoticeBook, book: BlameBook | None = None) -> None:
        self.book = book or BlameBook()
        self._notices = notices
        #: Suspects of this host at upstreams, by upstream.
        self._apart: dict[str, bytes] = {}
        #: What peers have not been told, and what they are told again for a while.
        self._untold: list[_Fact] = []
        self._told: deque[_Fact] = deque()
        #: Called when there is something to tell.
        self.on_update: Callable[[], None] = _do_nothing

    # What attempts show.

    def note_end(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that a request's upstream closed the connection under it."""
        identity = item.arrival.identity
        if identity is None:
            return
        end = _End(
            LifeName(item.upstream, item.incarnation),
            identity.fingerprint,
            item.workspace_path,
            now_seconds,
        )
        if self._take_end(end, now_seconds):
            self._tell(end)

    def note_answered(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that an upstream lived through a request to its whole answer."""
        if not len(self.book) or item.arrival.identity is None:
            return
        self.clear(item.arrival.identity.fingerprint, now_seconds, "it was answered")

    def note_live(
        self, upstream: str, incarnation: str, sent_at_seconds: float
    ) -> None:
        """Note that a life answered what was sent to it at a time."""
        if not len(self.book):
            return
        live = _Live(LifeName(upstream, incarnation), sent_at_seconds)
        if self.book.note_live(live.life, sent_at_seconds):
            self._tell(live)

    def clear(self, fingerprint: bytes, now_seconds: float, reason: str) -> bool:
        """Hold nothing against a request any more; return whether anything was."""
        if not self.book.clear(fingerprint, now_seconds):
            return False
        self._notices.forget("request", fingerprint.hex(), reason)
        self._tell(_Cleared(fingerprint, now_seconds))
        return True

    def judge(self, now_seconds: float) -> bool:
        """Stop whoever is to blame by now; return whether that stopped anybody."""
        stopped = self.book.judge(now_seconds)
        for suspect in stopped:
            self._notice(suspect)
            self._tell(
                _Stopped(
                    suspect.fingerprint,
                    suspect.workspace_path,
                    suspect.ends_count,
                    now_seconds,
                )
            )
        return bool(stopped)

    # Where a request may go.

    def suspicion(self, item: QueuedRequest) -> Suspicion:
        """Return what is held against a request."""
        if not len(self.book) or item.arrival.identity is None:
            return Suspicion.NONE
        return self.book.suspicion(item.arrival.identity.fingerprint)

    def allowed_views(
        self, item: QueuedRequest, views: list[RunnerView], now_seconds: float
    ) -> list[RunnerView]:
        """Return the upstreams that a request may go to, as far as it is suspected.

        A suspect goes to one that no other suspect is at, the same from all hosts as
        far as they can, so that the next end tells which of them it was.
        """
        identity = item.arrival.identity
        if identity is None or self.suspicion(item) is not Suspicion.APART:
            return views
        fingerprint = identity.fingerprint
        if not self.book.is_settled(fingerprint, now_seconds):
            return []
        by_name = {view.name: view for view in views}
        for name in rank(fingerprint, by_name):
            if self._apart.get(name, fingerprint) == fingerprint:
                return [by_name[name]]
        return []

    def note_sent(self, item: QueuedRequest) -> None:
        """Note where a request goes, if it is a suspect."""
        identity = item.arrival.identity
        if identity is not None and self.suspicion(item) is Suspicion.APART:
            self._apart[item.upstream] = identity.fingerprint

    def note_left(self, item: QueuedRequest) -> None:
        """Note that a request is at its upstream no more."""
        if not self._apart or item.arrival.identity is None:
            return
        if self._apart.get(item.upstream) == item.arrival.identity.fingerprint:
            del self._apart[item.upstream]

    def note_refused(self, item: QueuedRequest, now_seconds: float) -> None:
        """Note that a stopped request came again."""
        if item.arrival.identity is not None:
            self.book.note_refused(item.arrival.identity.fingerprint, now_seconds)

    def describe(self, item: QueuedRequest) -> str:
        """Return what is held against a request, for logs; nothing if nothing is."""
        if self.suspicion(item) is Suspicion.NONE or item.arrival.identity is None:
            return ""
        suspect = self.book.get(item.arrival.identity.fingerprint)
        if suspect is None:
            return ""
        return f"fingerprint {suspect.fingerprint.hex()}: {_describe_ends(suspect)}"

    # What peers say and are told.

    def hear(self, update: CrashUpdate, now_seconds: float) -> bool:
        """Take a peer's word; return whether it stopped anybody."""
        for live in update.live:
            life = LifeName(live.upstream, live.incarnation)
            self.book.note_live(life, now_seconds - live.age_seconds)
        for cleared in update.cleared:
            at_seconds = now_seconds - cleared.age_seconds
            if self.book.clear(cleared.fingerprint, at_seconds):
                name = cleared.fingerprint.hex()
                self._notices.forget("request", name, "a peer says so")
        for ended in update.ended:
            self._hear_end(ended, now_seconds)
        has_stopped = False
        for stopped in update.stopped:
            has_stopped |= self._hear_stopped(stopped, now_seconds)
        return has_stopped

    def _hear_end(self, ended: EndedUpstream, now_seconds: float) -> None:
        life = LifeName(ended.upstream, ended.incarnation)
        at_seconds = now_seconds - ended.age_seconds
        for request in ended.aboard:
            end = _End(life, request.fingerprint, request.workspace, at_seconds)
            self._take_end(end, now_seconds)

    def _hear_stopped(self, stopped: StoppedRequest, now_seconds: float) -> bool:
        is_new = self.book.note_stopped(
            stopped.fingerprint,
            stopped.workspace,
            stopped.ends_count,
            now_seconds - stopped.age_seconds,
            now_seconds,
        )
        suspect = self.book.get(stopped.fingerprint)
        if is_new and suspect is not None:
            self._notice(suspect)
        return is_new

    def take_update(self, now_seconds: float) -> CrashUpdate | None:
        """Return what peers have not been told, to tell them now and again later."""
        if not self._untold:
            return None
        facts, self._untold = self._untold, []
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
        for suspect in self.book:
            facts += [
                _End(life, suspect.fingerprint, suspect.workspace_path, at_seconds)
                for life, at_seconds in suspect.ends.items()
                if now_seconds - at_seconds < INITIAL_STATE_SECONDS
            ]
            if suspect.stopped_at_seconds is not None:
                facts.append(
                    _Stopped(
                        suspect.fingerprint,
                        suspect.workspace_path,
                        suspect.ends_count,
                        suspect.stopped_at_seconds,
                    )
                )
        return _to_update(facts, now_seconds) if facts else None

    def _take_end(self, end: _End, now_seconds: float) -> bool:
        dropped_count = self.book.dropped_count
        is_new = self.book.note_end(
            end.life, end.fingerprint, end.workspace_path, end.at_seconds, now_seconds
        )
        if self.book.dropped_count > dropped_count:
            reason = f"{len(self.book)} are remembered, which is the most"
            self._notices.note("suspects", end.workspace_path, "dropped", reason)
        suspect = self.book.get(end.fingerprint)
        if is_new and suspect is not None:
            self._notice(suspect)
        return is_new

    def _notice(self, suspect: Suspect) -> None:
        suspicion = self.book.suspicion(suspect.fingerprint)
        if suspicion is Suspicion.NONE:
            return
        name = suspect.fingerprint.hex()
        state = suspicion.name.lower()
        self._notices.note("request", name, state, _describe_ends(suspect))

    def _tell(self, fact: _Fact) -> None:
        self._untold.append(fact)
        self.on_update()


def _describe_ends(suspect: Suspect) -> str:
    names = ", ".join(life.upstream for life in suspect.ends)
    return (
        f"{suspect.ends_count} upstreams ended under it, of {suspect.workspace_path}"
        + (f": {names}" if names else "")
    )


def _to_update(facts: list[_Fact], now_seconds: float) -> CrashUpdate:
    """Return facts as peers are told them, with their ages."""
    update = CrashUpdate()
    ended: dict[LifeName, EndedUpstream] = {}
    for fact in facts:
        age_seconds = max(0.0, now_seconds - fact.at_seconds)
        if isinstance(fact, _Live):
            live = LiveUpstream(fact.life.upstream, fact.life.incarnation, age_seconds)
            update.live.append(live)
        elif isinstance(fact, _Cleared):
            update.cleared.append(ClearedRequest(fact.fingerprint, age_seconds))
        elif isinstance(fact, _Stopped):
            update.stopped.append(
                StoppedRequest(
                    fact.fingerprint, fact.workspace_path, age_seconds, fact.ends_count
                )
            )
        else:
            told = ended.setdefault(
                fact.life,
                EndedUpstream(
                    fact.life.upstream, fact.life.incarnation, age_seconds, []
                ),
            )
            told.aboard.append(AboardRequest(fact.fingerprint, fact.workspace_path))
    update.ended.extend(ended.values())
    return update


def _do_nothing() -> None:
    return
