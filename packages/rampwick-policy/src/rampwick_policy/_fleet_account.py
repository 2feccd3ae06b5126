"""What all hosts together have sent under one limit, as a leaky bucket.

The level rises with every token that any host charges and falls at the rate of the
limit. While it stays below a capacity, every interval holds at most that capacity and
the rate over its length. So a fleet that has lost its level with its last host only has
to start with a full bucket: whatever was sent before, the window that spans the restart
stays within its bound.

Hosts report counters, not windows: what an ended host had sent was added to the levels
of its peers when its counter grew, and stays there.
"""

import attrs

from rampwick_schema import LimitUsage, ReprMixin

#: Age up to which the growth of a counter is extrapolated.
EXTRAPOLATION_SECONDS = 1.0

#: Age of a report up to which its sender counts as alive. Later its tokens that wait to
#: be sent no longer count, and the growth since that report counts in part: meanwhile
#: each side of a partition has divided the limit.
ALIVE_SECONDS = 3.0

#: Age up to which requests in a report count as held.
HELD_SECONDS = 1.0

#: Time by which the hosts of a fleet that starts at once may differ in their start.
START_SPREAD_SECONDS = 1.0


@attrs.frozen(repr=False)
class PeerReport(ReprMixin):
    """The sender of a usage report and the times that it refers to."""

    peer: str
    incarnation: int
    #: Time at which the report was current, and at which its counters were zero.
    at_seconds: float
    counted_since_seconds: float
    #: Whether the sender is a host of this host's hall.
    is_own_hall: bool = False
    #: Whether it is a relay's sum over all other hosts.
    is_fleet: bool = False
    #: Whether the sender has known the limits for about as long as this host.
    is_trusted: bool = False
    #: Whether a relay's sum was made with an earlier report of this host.
    includes_own: bool = False


@attrs.define(repr=False)
class _Source(ReprMixin):
    """The last report of a peer and the time at which it was current."""

    usage: LimitUsage
    incarnation: int
    at_seconds: float

    def is_alive(self, now_seconds: float) -> bool:
        return now_seconds - self.at_seconds < ALIVE_SECONDS


class FleetAccount:
    """The level of one limit's bucket, as one host knows it."""

    def __init__(
        self,
        path: str,
        level_tokens: float,
        tokens_per_second: float,
        now_seconds: float,
    ) -> None:
        self._path = path
        self.tokens_per_second = tokens_per_second
        #: Share of the limit that the hosts which reach each other may use. Each token
        #: that they send stands for those that unreachable hosts may send.
        self.share_ratio = 1.0
        self._level_tokens = level_tokens
        #: Level that was assumed at the start for want of knowledge.
        self._assumed_tokens = level_tokens
        self._started_at_seconds = now_seconds
        self._at_seconds = now_seconds
        self._counting_since_seconds = now_seconds
        self._sources: dict[str, _Source] = {}
        #: Tokens that this host has admitted and not sent yet.
        self._own_pending_tokens = 0.0
        #: Tokens that this host has charged, and those of its hall, since the start.
        self.own_total_tokens = 0.0
        self.hall_total_tokens = 0.0

    # Own requests.

    def charge(self, tokens: float, now_seconds: float) -> None:
        """Add tokens that this host sends, or takes back if negative."""
        self._advance(now_seconds)
        self.own_total_tokens += tokens
        self.hall_total_tokens += tokens
        self._add(tokens)

    def note_pending(self, tokens: float, now_seconds: float) -> None:
        """Change the part of the charged tokens that waits to be sent.

        It does not leak: all of it may be sent in one moment as a queue empties.
        """
        self._advance(now_seconds)
        self._own_pending_tokens = max(0.0, self._own_pending_tokens + tokens)

    # Reports of peers.

    def receive(
        self,
        report: PeerReport,
        usage: LimitUsage,
        admit_ratio: float,
        now_seconds: float,
    ) -> None:
        """Add what a peer's counter has grown by since its last report.

        ``admit_ratio`` is the ratio of its demand that it is taken to have admitted if
        its earlier counter is unknown.
        """
        self._advance(now_seconds)
        growth = self._growth(report, usage, admit_ratio)
        self._add(growth)
        if report.is_own_hall:
            self.hall_total_tokens += growth
        self._sources[report.peer] = _Source(
            usage, report.incarnation, report.at_seconds
        )

    def _growth(
        self, report: PeerReport, usage: LimitUsage, admit_ratio: float
    ) -> float:
        known = self._sources.get(report.peer)
        if known is None:
            known_until_seconds = self._counting_since_seconds - START_SPREAD_SECONDS
        else:
            known_until_seconds = known.at_seconds
        if (
            known is None
            or known.incarnation != report.incarnation
            or usage.total_tokens < 0
        ):
            is_new_counter = report.counted_since_seconds >= known_until_seconds
            if usage.total_tokens >= 0 and is_new_counter:
                return float(usage.total_tokens)
            if known is None:
                return 0.0
            return _expected(known, report.at_seconds, admit_ratio)
        growth = float(usage.total_tokens - max(0, known.usage.total_tokens))
        unheard_seconds = report.at_seconds - known.at_seconds
        if unheard_seconds > ALIVE_SECONDS:
            growth *= ALIVE_SECONDS / unheard_seconds
        return growth

    def reset_counter(self, peer: str, incarnation: int, at_seconds: float) -> None:
        """Set a peer's counter to zero, since its summary does not name this limit."""
        idle = LimitUsage(self._path, 0, total_tokens=0)
        self._sources[peer] = _Source(idle, incarnation, at_seconds)

    def adopt(self, level_tokens: float, own_tokens: float, now_seconds: float) -> None:
        """Replace the level by that of a peer, which lacks ``own_tokens``."""
        self._advance(now_seconds)
        self._counting_since_seconds = now_seconds
        self._assumed_tokens = 0.0
        self._level_tokens = level_tokens + own_tokens / self.share_ratio

    def record_fleet(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Record demand and pending tokens of the fleet; its level was adopted."""
        self._sources[peer] = _Source(usage, 0, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop the counter of a peer; another one now reports on its behalf."""
        self._sources.pop(peer, None)

    def expire(self, now_seconds: float, retention_seconds: float) -> None:
        """Drop counters that have not been reported for a while."""
        for peer, source in list(self._sources.items()):
            if now_seconds - source.at_seconds > retention_seconds:
                del self._sources[peer]

    # State.

    def level_tokens(self, now_seconds: float) -> float:
        """Return the level as reported, without growth since the reports."""
        self._advance(now_seconds)
        return self._level_tokens

    def expected_tokens(self, admit_ratio: float, now_seconds: float) -> float:
        """Return the expected growth of the peers' counters since their reports."""
        expected = sum(
            _expected(source, now_seconds, admit_ratio)
            for source in self._sources.values()
        )
        return expected / self.share_ratio

    @property
    def pending_tokens(self) -> float:
        """Tokens of this host that wait to be sent."""
        return self._own_pending_tokens

    def limit_level(self, max_tokens: float) -> None:
        """Lower the level to a bound, as after implausible reports."""
        self._level_tokens = min(self._level_tokens, max_tokens)

    def shift_level(self, tokens: float) -> None:
        """Change the level, but not the counters."""
        self._level_tokens = max(0.0, self._level_tokens + tokens)

    def demand_per_second(self, now_seconds: float) -> float:
        """Return the demand at the peers that are alive, in tokens per second."""
        return sum(
            source.usage.asked_tokens
            for source in self._sources.values()
            if source.is_alive(now_seconds)
        )

    def held_tokens(self, now_seconds: float) -> float:
        """Return the tokens of requests that peers hold after a start.

        Those of an older report were released meanwhile, or are in a newer one.
        """
        return sum(
            source.usage.held_tokens
            for source in self._sources.values()
            if now_seconds - source.at_seconds < HELD_SECONDS
        )

    def assumed_tokens(self, now_seconds: float) -> float:
        """Return the part of the level that stands for what no live host has seen."""
        leaked = (now_seconds - self._started_at_seconds) * self.tokens_per_second
        return max(0.0, self._assumed_tokens - leaked)

    def report_age_seconds(self, now_seconds: float) -> float:
        """Return the age of the oldest report of a peer that is alive."""
        ages = (
            now_seconds - source.at_seconds
            for source in self._sources.values()
            if source.is_alive(now_seconds)
        )
        return max(ages, default=0.0)

    def _add(self, tokens: float) -> None:
        self._level_tokens = max(0.0, self._level_tokens + tokens / self.share_ratio)

    def _advance(self, now_seconds: float) -> None:
        elapsed_seconds = max(0.0, now_seconds - self._at_seconds)
        self._at_seconds = max(self._at_seconds, now_seconds)
        pending = self._own_pending_tokens + sum(
            source.usage.pending_tokens
            for source in self._sources.values()
            if source.is_alive(now_seconds)
        )
        floor_tokens = min(self._level_tokens, pending / self.share_ratio)
        leaked = self._level_tokens - elapsed_seconds * self.tokens_per_second
        self._level_tokens = max(floor_tokens, leaked)


def _expected(source: _Source, at_seconds: float, admit_ratio: float) -> float:
    age_seconds = min(EXTRAPOLATION_SECONDS, max(0.0, at_seconds - source.at_seconds))
    return admit_ratio * source.usage.asked_tokens * age_seconds
