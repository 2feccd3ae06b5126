"""Listening to a hall's relay: what it tells of the fleet, and if it still does."""

import math
from collections import deque
from collections.abc import Sequence

import attrs

from rampwick_schema import Beat, FleetSummary, ReprMixin, Summary

from ._hall_digest import without
from ._roles import Member, Neighbours

#: Silence after which a relay is passed over: four of its tellings.
RELAY_SILENCE_SECONDS = 1.0

#: Time for which a host counts as there after a relay has named it.
HEARD_SECONDS = 3.0

#: Own summaries remembered until a relay's sum names one of them.
KEPT_SUMMARIES = 16


@attrs.frozen(repr=False)
class _OwnReport(ReprMixin):
    told_at_seconds: float
    summary: Summary


@attrs.frozen(repr=False)
class FleetReport(ReprMixin):
    """What a relay told of the fleet, as this host takes it."""

    #: What the others say, this host left out.
    summary: Summary
    #: When this host sent the word that the relay had heard by then: ages that the
    #: relay tells count from there. None if it has not heard this host yet.
    asked_at_seconds: float | None


class RelayListener:
    """State machine of one host that hears the fleet through its hall's relay."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._told: deque[_OwnReport] = deque(maxlen=KEPT_SUMMARIES)
        self._speaker = ""
        self._spoke_at_seconds = -math.inf
        self._word_at: dict[str, float] = {}
        self._expected: tuple[str, float] = ("", 0.0)
        self._beats: dict[str, tuple[Beat, float]] = {}
        self._halls: frozenset[str] = frozenset()
        self._sequence = 0

    def note_told(self, summary: Summary, now_seconds: float) -> None:
        """Note a summary that this host sends to its relays."""
        self._told.append(_OwnReport(now_seconds, summary))

    def note_word(self, name: str, now_seconds: float) -> None:
        """Note that a host of the hall said anything at all."""
        self._word_at[name] = now_seconds

    def is_silent(self, relays: Sequence[Member], now_seconds: float) -> bool:
        """Return whether the first relay should have spoken and did not."""
        first = relays[0].name if relays else ""
        if first in ("", self._own.name):
            return False
        if first != self._expected[0]:
            self._expected = (first, now_seconds)
        since_seconds = max(self._expected[1], self._word_at.get(first, -math.inf))
        return now_seconds - since_seconds > RELAY_SILENCE_SECONDS

    def take(
        self,
        relay: str,
        fleet: FleetSummary,
        relays: Sequence[Member],
        now_seconds: float,
    ) -> FleetReport | None:
        """Take what a relay tells; None if another one is listened to."""
        self.note_word(relay, now_seconds)
        is_first = bool(relays) and relays[0].name == relay
        is_other = relay != self._speaker and not is_first
        since_seconds = now_seconds - self._spoke_at_seconds
        if is_other and since_seconds <= RELAY_SILENCE_SECONDS:
            return None
        self._speaker = relay
        self._spoke_at_seconds = now_seconds
        self._halls = frozenset(fleet.halls)
        for beat in fleet.heard:
            self._beats[beat.host] = (beat, now_seconds)
        own = self._find_own(fleet)
        self._sequence += 1
        summary = without(fleet.summary, own.summary) if own else fleet.summary
        return FleetReport(
            attrs.evolve(summary, sequence=self._sequence),
            own.told_at_seconds if own else None,
        )

    def neighbours(self, now_seconds: float) -> Neighbours:
        """Return whom the relay named of late."""
        oldest_seconds = now_seconds - HEARD_SECONDS
        beats = [
            beat
            for beat, heard_at_seconds in self._beats.values()
            if heard_at_seconds > oldest_seconds and beat.host != self._own.name
        ]
        return Neighbours(
            frozenset(beat.host for beat in beats),
            frozenset(beat.host for beat in beats if not beat.is_leaving),
            self._halls,
        )

    def _find_own(self, fleet: FleetSummary) -> _OwnReport | None:
        """Return the own summary that is part of a relay's sum, if one is."""
        own = (self._own.name, self._own.incarnation)
        sequences = {
            beat.sequence
            for beat in fleet.heard
            if (beat.host, beat.incarnation) == own
        }
        for word in self._told:
            if word.summary.sequence in sequences:
                return word
        return None
