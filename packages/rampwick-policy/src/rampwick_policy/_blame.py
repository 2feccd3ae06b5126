"""Which requests upstreams end under, so that they are kept from the others.

An upstream that ends takes everything along that it has aboard, and one request may
have done it. Each end counts against all that were aboard; a whole answer clears a
request, and an upstream that answers after all takes its end back. Who has the most
ends left is to blame: the others were aboard by chance, and are answered elsewhere.
"""

import enum
import math
from collections.abc import Iterable, Iterator
from typing import Protocol

import attrs

from rampwick_schema import ReprMixin

#: Ends after which a request is kept apart from others that are suspected. Two in a row
#: by chance are rare, and the third is to show which of them it is.
APART_ENDS_COUNT = 2

#: Ends after which a request may be stopped: each one more costs an upstream.
STOP_ENDS_COUNT = 3

#: Time after an end by which the other hosts' word on what they had aboard is here. One
#: hop takes milliseconds; two relays gather for 50 ms each.
SETTLE_SECONDS = 0.15

#: Time for which an end is held against a request that is neither answered nor asked
#: for. Long, for callers come again when their users do.
SUSPECT_SECONDS = 900.0

#: The same for requests that were stopped, counted from when they were last asked for.
STOPPED_SECONDS = 3600.0

#: Requests remembered, about 660 bytes each (traced with one end, 20 to a life); the
#: workspace that has most gives way.
MAX_SUSPECTS_COUNT = 4096

#: Time between two looks for what is to be forgotten: each goes through all of it.
SWEEP_SECONDS = 10.0


class Suspicion(enum.IntEnum):
    """What is held against a request."""

    #: Nothing that matters.
    NONE = 0
    #: It goes to an upstream that no other suspect is at.
    APART = 1
    #: It goes nowhere any more.
    STOPPED = 2


@attrs.frozen(repr=False)
class LifeName(ReprMixin):
    """One life of an upstream."""

    upstream: str
    incarnation: str


@attrs.define(repr=False)
class Suspect(ReprMixin):
    """A request that upstreams have ended under."""

    fingerprint: bytes
    workspace_path: str
    #: When each life ended that had it aboard.
    ends: dict[LifeName, float] = attrs.field(factory=dict)
    stopped_at_seconds: float | None = None
    #: Last time that it came, or that something was heard of it.
    seen_at_seconds: float = 0.0
    #: Ends that it was stopped for, where others counted them.
    told_ends_count: int = 0
    refused_count: int = 0

    @property
    def ends_count(self) -> int:
        """Upstreams that ended under it."""
        return max(len(self.ends), self.told_ends_count)

    @property
    def last_end(self) -> LifeName | None:
        """The life that ended last under it."""
        return max(self.ends, key=self.ends.__getitem__, default=None)

    def is_forgotten(self, now_seconds: float) -> bool:
        """Return whether it has not come for so long that nothing is held any more."""
        is_stopped = self.stopped_at_seconds is not None
        kept_seconds = STOPPED_SECONDS if is_stopped else SUSPECT_SECONDS
        return now_seconds - self.seen_at_seconds > kept_seconds


class BlameRule(Protocol):
    """Says who is to blame for the ends of upstreams."""

    def is_to_blame(self, suspect: Suspect, rivals: Iterable[Suspect]) -> bool:
        """Return whether a request is to be stopped.

        ``rivals`` were aboard the upstream that ended last under it.
        """


class MostEnds:
    """Blames who has enough ends, and more than anybody aboard the last of them.

    A plain count of ends stops those, too, that lost three upstreams in a row to
    somebody else.
    """

    def is_to_blame(self, suspect: Suspect, rivals: Iterable[Suspect]) -> bool:
        """Return whether a request is to be stopped."""
        count = len(suspect.ends)
        if count < STOP_ENDS_COUNT:
            return False
        return all(len(rival.ends) < count for rival in rivals)


class BlameBook:
    """What one host knows of requests that upstreams end under."""

    def __init__(self, rule: BlameRule | None = None) -> None:
        self._rule = rule or MostEnds()
        self._suspects: dict[bytes, Suspect] = {}
        #: Requests that were aboard each life that ended, and when it did.
        self._aboard: dict[LifeName, set[bytes]] = {}
        self._ended_at: dict[LifeName, float] = {}
        #: When lives and requests were cleared: older word on them counts no more.
        self._live_at: dict[LifeName, float] = {}
        self._cleared_at: dict[bytes, float] = {}
        #: Suspects on whom the last word is not in yet.
        self._unsettled: set[bytes] = set()
        self._swept_at_seconds = -math.inf
        #: Suspects that made way for others since anybody asked.
        self.dropped_count = 0

    def __len__(self) -> int:
        return len(self._suspects)

    def __iter__(self) -> Iterator[Suspect]:
        return iter(list(self._suspects.values()))

    def get(self, fingerprint: bytes) -> Suspect | None:
        """Return a request that something is held against."""
        return self._suspects.get(fingerprint)

    def suspicion(self, fingerprint: bytes) -> Suspicion:
        """Return what is held against a request."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.ends_count < APART_ENDS_COUNT:
            return Suspicion.NONE
        if suspect.stopped_at_seconds is not None:
            return Suspicion.STOPPED
        return Suspicion.APART

    def is_settled(self, fingerprint: bytes, now_seconds: float) -> bool:
        """Return whether what others had aboard its last end is known by now."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None or suspect.ends_count < APART_ENDS_COUNT:
            return True
        last = suspect.last_end
        return last is None or now_seconds >= suspect.ends[last] + SETTLE_SECONDS

    # What this host sees or hears.

    def note_end(
        self,
        life: LifeName,
        fingerprint: bytes,
        workspace_path: str,
        at_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Note that a life ended with a request aboard; return whether that is new.

        ``at_seconds`` is earlier than the present time where another host saw it.
        """
        if self._live_at.get(life, -math.inf) > at_seconds:
            return False
        if self._cleared_at.get(fingerprint, -math.inf) >= at_seconds:
            return False
        suspect = self._take_in(fingerprint, workspace_path, now_seconds)
        if life in suspect.ends:
            return False
        suspect.ends[life] = at_seconds
        suspect.seen_at_seconds = now_seconds
        self._aboard.setdefault(life, set()).add(fingerprint)
        # One end is seen by each host at its own time: the first to see it is right.
        known_at_seconds = self._ended_at.get(life, math.inf)
        self._ended_at[life] = min(known_at_seconds, at_seconds)
        self._unsettled.add(fingerprint)
        return True

    def note_live(self, life: LifeName, at_seconds: float) -> bool:
        """Note an answer to what was sent at a time; take a later end of it back.

        Return whether one was held against anybody.
        """
        ended_at_seconds = self._ended_at.get(life)
        if ended_at_seconds is None or at_seconds <= ended_at_seconds:
            return False
        self._live_at[life] = at_seconds
        del self._ended_at[life]
        for fingerprint in self._aboard.pop(life, ()):
            suspect = self._suspects[fingerprint]
            del suspect.ends[life]
            if not suspect.ends and suspect.stopped_at_seconds is None:
                del self._suspects[fingerprint]
        return True

    def clear(self, fingerprint: bytes, at_seconds: float) -> bool:
        """Hold nothing of before a time against a request; return whether that is new.

        It was answered whole, or an operator lets it go.
        """
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return False
        self._cleared_at[fingerprint] = at_seconds
        for life in [life for life, at in suspect.ends.items() if at <= at_seconds]:
            self._forget_end(suspect, life)
        stopped_at_seconds = suspect.stopped_at_seconds
        if stopped_at_seconds is not None and stopped_at_seconds <= at_seconds:
            suspect.stopped_at_seconds = None
            suspect.told_ends_count = 0
        if not suspect.ends and suspect.stopped_at_seconds is None:
            self._drop(suspect)
        return True

    def note_stopped(
        self,
        fingerprint: bytes,
        workspace_path: str,
        ends_count: int,
        at_seconds: float,
        now_seconds: float,
    ) -> bool:
        """Take another host's word that a request is stopped; return if it is new."""
        if self._cleared_at.get(fingerprint, -math.inf) >= at_seconds:
            return False
        suspect = self._take_in(fingerprint, workspace_path, now_seconds)
        if suspect.stopped_at_seconds is not None:
            return False
        suspect.stopped_at_seconds = at_seconds
        suspect.told_ends_count = ends_count
        suspect.seen_at_seconds = now_seconds
        return True

    def note_refused(self, fingerprint: bytes, now_seconds: float) -> None:
        """Note that a stopped request was asked for again."""
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            suspect.refused_count += 1
            suspect.seen_at_seconds = now_seconds

    def judge(self, now_seconds: float) -> list[Suspect]:
        """Stop whoever is to blame by now; return those stopped since the last call."""
        stopped = []
        for fingerprint in list(self._unsettled):
            suspect = self._suspects.get(fingerprint)
            if suspect is None or suspect.stopped_at_seconds is not None:
                self._unsettled.discard(fingerprint)
                continue
            if not self.is_settled(fingerprint, now_seconds):
                continue
            self._unsettled.discard(fingerprint)
            if self._rule.is_to_blame(suspect, self._rivals(suspect)):
                suspect.stopped_at_seconds = now_seconds
                stopped.append(suspect)
        return stopped

    def _rivals(self, suspect: Suspect) -> list[Suspect]:
        last = suspect.last_end
        if last is None:
            return []
        return [
            self._suspects[fingerprint]
            for fingerprint in self._aboard.get(last, ())
            if fingerprint != suspect.fingerprint
        ]

    # Bounds.

    def _take_in(
        self, fingerprint: bytes, workspace_path: str, now_seconds: float
    ) -> Suspect:
        suspect = self._suspects.get(fingerprint)
        if suspect is not None:
            return suspect
        if len(self._suspects) >= MAX_SUSPECTS_COUNT:
            self._make_room(now_seconds)
        suspect = Suspect(fingerprint, workspace_path, seen_at_seconds=now_seconds)
        self._suspects[fingerprint] = suspect
        return suspect

    def _make_room(self, now_seconds: float) -> None:
        self.sweep(now_seconds)
        if len(self._suspects) < MAX_SUSPECTS_COUNT:
            return
        by_workspace: dict[str, list[Suspect]] = {}
        for suspect in self._suspects.values():
            by_workspace.setdefault(suspect.workspace_path, []).append(suspect)
        largest = max(by_workspace.values(), key=len)
        # Those that were stopped go last: each would end another three upstreams.
        oldest = min(
            largest,
            key=lambda item: (
                item.stopped_at_seconds is not None,
                item.seen_at_seconds,
            ),
        )
        self._drop(oldest)
        self.dropped_count += 1

    def sweep(self, now_seconds: float) -> None:
        """Forget what has not been heard of for long; to be called now and then."""
        if now_seconds - self._swept_at_seconds < SWEEP_SECONDS:
            return
        self._swept_at_seconds = now_seconds
        for suspect in list(self._suspects.values()):
            if suspect.is_forgotten(now_seconds):
                self._drop(suspect)
        oldest_seconds = now_seconds - SUSPECT_SECONDS
        for times in (self._live_at, self._cleared_at):
            for key in [key for key, at in times.items() if at < oldest_seconds]:
                del times[key]  # type: ignore[arg-type]

    def _drop(self, suspect: Suspect) -> None:
        for life in list(suspect.ends):
            self._forget_end(suspect, life)
        del self._suspects[suspect.fingerprint]
        self._unsettled.discard(suspect.fingerprint)

    def _forget_end(self, suspect: Suspect, life: LifeName) -> None:
        del suspect.ends[life]
        aboard = self._aboard[life]
        aboard.discard(suspect.fingerprint)
        if not aboard:
            del self._aboard[life]
            del self._ended_at[life]
