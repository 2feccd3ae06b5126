"""Receives fleet summaries from the relays of a hall and detects relay failure."""

import math
from collections import deque
from collections.abc import Callable, Sequence

import attrs

from rampwick_schema import Beat, FleetSummary, ReprMixin, Summary

from ._roles import LivePeers, Member
from ._summary_aggregator import subtract_summary

#: Time without messages after which a relay is skipped: four of its intervals.
RELAY_TIMEOUT_SECONDS = 1.0

#: The same while the link to it may be silent and is being replaced.
SILENT_LINK_TIMEOUT_SECONDS = 1.75

#: Time for which a host counts as an acting relay after a fleet summary.
ACTING_RELAY_SECONDS = 1.25

#: Time for which a host is considered alive after a relay has listed it.
HOST_ALIVE_SECONDS = 3.0

#: Number of own summaries retained until the sum of a relay includes one of them.
MAX_SENT_SUMMARIES = 16


def _is_never_doubtful(name: str) -> bool:
    return False


@attrs.frozen(repr=False)
class _OwnReport(ReprMixin):
    sent_at_seconds: float
    summary: Summary


@attrs.frozen(repr=False)
class FleetReport(ReprMixin):
    """A fleet summary from a relay, without the contribution of this host."""

    #: Sum of all other hosts.
    summary: Summary
    #: Time at which this host sent the summary that the sum includes; ages in the
    #: message are relative to it. None if the sum does not include this host yet.
    own_sent_at_seconds: float | None


class RelayListener:
    """State machine of a host that receives fleet summaries through a relay."""

    def __init__(self, own: Member) -> None:
        self._own = own
        self._sent_reports: deque[_OwnReport] = deque(maxlen=MAX_SENT_SUMMARIES)
        self._active_relay = ""
        self._relayed_at_seconds = -math.inf
        self._last_seen: dict[str, float] = {}
        #: Times at which hosts of the hall last sent a fleet summary.
        self._summed_at: dict[str, float] = {}
        self._monitored_relay: tuple[str, float] = ("", 0.0)
        self._beats: dict[str, tuple[Beat, float]] = {}
        self._halls: frozenset[str] = frozenset()
        self._sequence = 0

    def note_published(self, summary: Summary, now_seconds: float) -> None:
        """Record a summary that this host sends to its relays."""
        self._sent_reports.append(_OwnReport(now_seconds, summary))

    def note_message(self, name: str, now_seconds: float) -> None:
        """Record that a message from a host of the hall arrived."""
        self._last_seen[name] = now_seconds

    def is_acting_relay(self, name: str, now_seconds: float) -> bool:
        """Return whether a host of the hall acts as its relay.

        There may be several for a while, this host among them.
        """
        since_seconds = now_seconds - self._summed_at.get(name, -math.inf)
        return since_seconds <= ACTING_RELAY_SECONDS

    def is_relay_unresponsive(
        self,
        relays: Sequence[Member],
        now_seconds: float,
        is_link_doubtful: Callable[[str], bool] = _is_never_doubtful,
    ) -> bool:
        """Return whether the first relay has not sent a message in time.

        ``is_link_doubtful`` returns whether the link to a host may be the reason. No
        other relay reports to a host that has skipped a sound one.
        """
        first = relays[0].name if relays else ""
        if first in ("", self._own.name):
            return False
        if first != self._monitored_relay[0]:
            self._monitored_relay = (first, now_seconds)
        since_seconds = max(
            self._monitored_relay[1], self._last_seen.get(first, -math.inf)
        )
        silent_seconds = now_seconds - since_seconds
        if silent_seconds <= RELAY_TIMEOUT_SECONDS:
            return False
        return silent_seconds > SILENT_LINK_TIMEOUT_SECONDS or not is_link_doubtful(
            first
        )

    def receive(
        self,
        relay: str,
        fleet: FleetSummary,
        relays: Sequence[Member],
        now_seconds: float,
    ) -> FleetReport | None:
        """Process a relay's message; ``None`` if another relay is active."""
        self.note_message(relay, now_seconds)
        self._summed_at[relay] = now_seconds
        is_first = bool(relays) and relays[0].name == relay
        is_other = relay != self._active_relay and not is_first
        since_seconds = now_seconds - self._relayed_at_seconds
        if is_other and since_seconds <= RELAY_TIMEOUT_SECONDS:
            return None
        self._active_relay = relay
        self._relayed_at_seconds = now_seconds
        self._halls = frozenset(fleet.halls)
        for beat in fleet.heard:
            self._beats[beat.host] = (beat, now_seconds)
        own = self._find_own(fleet)
        self._sequence += 1
        summary = subtract_summary(fleet.summary, own.summary) if own else fleet.summary
        return FleetReport(
            attrs.evolve(summary, sequence=self._sequence),
            own.sent_at_seconds if own else None,
        )

    def live_peers(self, now_seconds: float) -> LivePeers:
        """Return the hosts and halls that the relay listed recently."""
        oldest_seconds = now_seconds - HOST_ALIVE_SECONDS
        beats = [
            beat
            for beat, listed_at_seconds in self._beats.values()
            if listed_at_seconds > oldest_seconds and beat.host != self._own.name
        ]
        return LivePeers(
            frozenset(beat.host for beat in beats),
            frozenset(beat.host for beat in beats if not beat.is_leaving),
            self._halls,
        )

    def _find_own(self, fleet: FleetSummary) -> _OwnReport | None:
        """Return the own summary that the sum of a relay includes, if any."""
        own = (self._own.name, self._own.incarnation)
        sequences = {
            beat.sequence
            for beat in fleet.heard
            if (beat.host, beat.incarnation) == own
        }
        for report in self._sent_reports:
            if report.summary.sequence in sequences:
                return report
        return None
