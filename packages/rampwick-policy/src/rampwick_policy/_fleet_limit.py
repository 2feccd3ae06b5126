"""A limit in tokens that all hosts keep together, as one host sees it.

Each host counts what it sends itself and hears from its peers, some tenths of a second
late, what they sent within the window, what of it leaves the window next, and what they
are asked for. While the fleet is well below the limit every request goes. Near it, each
host lets the same ratio of its requests go: so many as bring the fleet's sum to the
limit within a short time. A host's equal part of a limit would not do: with 90 hosts it
is smaller than one long prompt.
"""

import math
import random

import attrs

from rampwick_schema import LimitUsage, ReprMixin

from ._limit_reports import LEAVING_SECONDS, PeerReports
from ._sent_window import SentWindow
from ._tree import LimitedNode

#: Time over which the rate of what is asked for is taken: some tens of requests of a
#: workspace near its limit, and short against the time in which a burst fills it.
ASKED_SECONDS = 0.5

#: Time within which the fleet's sum is to reach the limit: two to three times the age
#: of peers' words, so that the correction of one host isn't repeated by all.
SETTLE_SECONDS = 2.0

#: Time in which hosts hear of a burst: the aim is as far from what must not be passed
#: as what is asked for within it, so that a small excess is held near the bound and a
#: large one near the limit. A fleet that aims at the limit itself is below it half of
#: the time, and refuses then what is within it.
UNHEARD_SECONDS = 0.6

#: Largest part of what a limit may be passed by that is aimed at.
MOST_AIMED_RATIO = 0.5

#: Growth of what a host is asked for that its peers hear of at once, in a limit of
#: which more than a part is used.
SURGE_RATIO = 2.0
TIGHT_RATIO = 0.8

#: Least time over which the rate of what is asked for is taken after a start.
MIN_ASKED_SECONDS = 0.125

#: Time for which a limit's rate may be used at once by a fleet that has just started:
#: a lone request is no sign of a workspace over its limit.
FRESH_SECONDS = 0.5

#: Time for which the first requests wait in a fleet that has just come back as a whole:
#: until what other halls are asked has come by way of two relays. What was asked
#: meanwhile comes at once, and each host would let all of it go before it had heard of
#: the others'.
HOLD_SECONDS = 1.0

#: Part of a limit up to which a request is no matter: it neither waits nor is drawn.
TRIFLE_RATIO = 1.0 / 5000.0

#: Time for which a limit is said to bind after a refusal.
BINDING_SECONDS = 1.0

#: Bounds of what callers over a limit are told to wait, and how it is spread.
MIN_RETRY_AFTER_SECONDS = 0.25
SPREAD_RATIO = 0.25


@attrs.frozen(repr=False)
class FleetTerms(ReprMixin):
    """What holds for all limits at a moment."""

    window_seconds: float
    #: How far a limit may be passed before a rule is broken.
    over_ratio: float
    slack_tokens: float
    #: Part of the limit that the hosts which hear each other may use.
    part_ratio: float = 1.0
    #: Part of the window of which nobody who is alive knows anything.
    unknown_seconds: float = 0.0


@attrs.frozen(repr=False)
class OverLimit(ReprMixin):
    """A request that its workspace's limit has no room for."""

    path: str
    retry_after_seconds: float


@attrs.define(repr=False)
class _Forgiven(ReprMixin):
    """What was sent under a higher limit; less and less of it is in the window.

    Forgiven whole until it has left, what leaves would be let go again at the old rate,
    and a surge right after would find the window full.
    """

    until_seconds: float
    _excess_tokens: float = 0.0
    _since_seconds: float | None = None

    def tokens(self, excess_tokens: float, now_seconds: float) -> float:
        """Return the tokens of the window that count no more.

        The excess counts as it is when it is first asked for after the change.
        """
        if now_seconds >= self.until_seconds:
            return 0.0
        if self._since_seconds is None:
            self._since_seconds = now_seconds
            self._excess_tokens = max(0.0, excess_tokens)
        span_seconds = self.until_seconds - self._since_seconds
        return self._excess_tokens * (self.until_seconds - now_seconds) / span_seconds


@attrs.frozen(repr=False)
class _Outlook(ReprMixin):
    """How a limit stands at a moment, over all hosts; tokens within the window."""

    used: float
    #: What may still be sent, and what must not be passed.
    room: float
    most: float
    #: Tokens that will be sent elsewhere before the fleet's sum has settled.
    ahead: float
    #: Tokens asked for a second, and those that may go.
    asked: float
    may_settle: float
    #: Whether others' part of it is known by old words, or not at all.
    is_guess: bool


class FleetLimit:
    """One limit: this host's own window and its peers' words."""

    def __init__(
        self, limit: LimitedNode, window_seconds: float, draw: random.Random
    ) -> None:
        self.limit = limit
        self._draw = draw
        self._sent = SentWindow(window_seconds)
        self._asked = SentWindow(ASKED_SECONDS)
        self._words = PeerReports(window_seconds)
        #: Parts of requests that may go; one is sent for each whole.
        self._credit = draw.random()
        #: Ratio of the requests that may go, as decided last.
        self.admit_ratio = 1.0
        self._forgiven: _Forgiven | None = None
        self._refused_at_seconds = -math.inf
        self._asked_since_seconds: float | None = None
        #: What peers were told last that this host is asked for, a second.
        self._told_asked = 0.0

    def change(
        self, limit: LimitedNode, window_seconds: float, now_seconds: float
    ) -> None:
        """Take other figures; what was sent under a higher limit is no excess."""
        old = allowed_tokens(self.limit, window_seconds)
        if allowed_tokens(limit, window_seconds) < old:
            self._forgiven = _Forgiven(now_seconds + window_seconds)
        elif self._forgiven is not None:
            # What is beyond the new figures is less.
            self._forgiven = _Forgiven(self._forgiven.until_seconds)
        self.limit = limit

    # What peers say and are told.

    def word(self, now_seconds: float) -> LimitUsage | None:
        """Return what peers are told; nothing if there is nothing to tell."""
        sent = self._sent.total(now_seconds)
        asked = self._asked_per_second(now_seconds)
        self._told_asked = asked
        if sent < 1.0 and asked < 1.0:
            return None
        leaving = self._leaving_per_second(now_seconds)
        return LimitUsage(self.limit.path, round(sent), round(leaving), round(asked))

    def hear(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Take what a peer says of a time."""
        self._words.take(peer, usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop what a peer said, since another one speaks for it."""
        self._words.forget(peer)

    def has_surged(self, terms: FleetTerms, now_seconds: float) -> bool:
        """Return whether peers are to hear at once of what this host is asked now.

        While a limit has room to spare there is time for the usual words.
        """
        asked = self._asked_per_second(now_seconds)
        if asked < SURGE_RATIO * max(1.0, self._told_asked):
            return False
        allowed = allowed_tokens(self.limit, terms.window_seconds)
        return self.used_tokens(terms, now_seconds) > allowed * TIGHT_RATIO

    def expire(self, now_seconds: float) -> None:
        """Drop the words of which nothing can be within the window any more."""
        self._words.expire(now_seconds)

    # Decisions.

    def hold_seconds(
        self, tokens: float, window_seconds: float, now_seconds: float
    ) -> float:
        """Return how long a request waits until peers have told what they are asked.

        To be asked while the fleet is young; peers are told of a request that waits.
        """
        if tokens <= self._trifle_tokens(window_seconds):
            return 0.0
        since_seconds = self._asked_since_seconds
        if since_seconds is None:
            since_seconds = now_seconds
        hold_seconds = max(0.0, since_seconds + HOLD_SECONDS - now_seconds)
        if hold_seconds:
            self.note_asked(tokens, now_seconds)
        return hold_seconds

    def note_asked(self, tokens: float, now_seconds: float) -> None:
        """Count a request among those that this host is asked for."""
        if self._asked_since_seconds is None:
            self._asked_since_seconds = now_seconds
        self._asked.add(tokens, now_seconds)

    def ask(
        self, tokens: float, terms: FleetTerms, now_seconds: float
    ) -> OverLimit | None:
        """Count a request that may go now; return why it may not."""
        outlook = self._look_ahead(terms, now_seconds)
        self.admit_ratio = min(1.0, outlook.may_settle / max(1.0, outlook.asked))
        if self._may_go(tokens, terms.window_seconds, outlook):
            self._sent.add(tokens, now_seconds)
            return None
        self._refused_at_seconds = now_seconds
        wait_seconds = self._wait_seconds(tokens, outlook)
        return OverLimit(self.limit.path, min(wait_seconds, terms.window_seconds))

    def _may_go(self, tokens: float, window_seconds: float, outlook: _Outlook) -> bool:
        if tokens + outlook.ahead <= outlook.room:
            return True
        if not outlook.is_guess or outlook.used + tokens > outlook.most:
            return False
        return tokens <= self._trifle_tokens(window_seconds) or self._draw_one()

    def _trifle_tokens(self, window_seconds: float) -> float:
        return allowed_tokens(self.limit, window_seconds) * TRIFLE_RATIO

    def _look_ahead(self, terms: FleetTerms, now_seconds: float) -> _Outlook:
        asked_elsewhere = self._words.asked_tokens
        asked = self._asked_per_second(now_seconds) + asked_elsewhere
        leaving = self._leaving_per_second(now_seconds) + self._words.leaving_tokens
        aimed, most = self._bounds(asked, terms)
        used = self.used_tokens(terms, now_seconds)
        if self._forgiven is not None:
            forgiven = self._forgiven.tokens(used - aimed, now_seconds)
            used = max(min(used, aimed), used - forgiven)
        room = aimed - used
        if terms.unknown_seconds:
            leaving += self._refill * terms.part_ratio
            room = self._room_of_unknown(room, used, terms)
        ahead = max(0.0, asked_elsewhere - leaving) * SETTLE_SECONDS
        return _Outlook(
            used=used,
            room=room,
            most=most,
            ahead=ahead,
            asked=asked,
            may_settle=max(0.0, room / SETTLE_SECONDS + leaving),
            is_guess=bool(self._words) or terms.unknown_seconds > 0.0,
        )

    def _room_of_unknown(self, room: float, used: float, terms: FleetTerms) -> float:
        """Return the room where hosts that are no more may have sent, too.

        They are taken to have sent all that they might, the burst not long ago.
        """
        sent = self._refill * terms.unknown_seconds + self.limit.burst_tokens
        known_seconds = terms.window_seconds - terms.unknown_seconds
        fresh = self._refill * (known_seconds + FRESH_SECONDS)
        return max(room - sent * terms.part_ratio, fresh * terms.part_ratio - used)

    def _bounds(self, asked: float, terms: FleetTerms) -> tuple[float, float]:
        """Return what is aimed at within a window, and what must not be passed."""
        limit = allowed_tokens(self.limit, terms.window_seconds)
        most = limit * (1.0 + terms.over_ratio) + terms.slack_tokens
        aimed = min(
            most - asked * UNHEARD_SECONDS,
            limit + (most - limit) * MOST_AIMED_RATIO,
        )
        aimed = max(limit, aimed)
        return aimed * terms.part_ratio, most * terms.part_ratio

    def is_binding(self, now_seconds: float) -> bool:
        """Return whether a request was refused because of it of late."""
        return now_seconds - self._refused_at_seconds < BINDING_SECONDS

    def used_tokens(self, terms: FleetTerms, now_seconds: float) -> float:
        """Return what all hosts have sent within the window, as far as known."""
        # Those that are not heard have the rest of the limit to themselves.
        only_fresh = terms.part_ratio < 1.0
        return self._sent.total(now_seconds) + self._words.sent_tokens(
            self.admit_ratio, only_fresh, now_seconds
        )

    def move(self, tokens: float, from_seconds: float, now_seconds: float) -> None:
        """Count a request that waited from when it is sent."""
        self._sent.take_back(tokens, from_seconds)
        self._sent.add(tokens, now_seconds)

    def count_again(self, tokens: float, now_seconds: float) -> None:
        """Count a second run of a request."""
        self._sent.add(tokens, now_seconds)

    def give_back(self, tokens: float, at_seconds: float) -> None:
        """Count a request no more that surely did not run."""
        self._sent.take_back(tokens, at_seconds)

    @property
    def _refill(self) -> float:
        return self.limit.tokens_per_second or 0.0

    def _asked_per_second(self, now_seconds: float) -> float:
        if self._asked_since_seconds is None:
            return 0.0
        # A host that has just started has not been asked for the whole time.
        since_seconds = now_seconds - self._asked_since_seconds
        span_seconds = min(ASKED_SECONDS, max(MIN_ASKED_SECONDS, since_seconds))
        return self._asked.total(now_seconds) / span_seconds

    def _leaving_per_second(self, now_seconds: float) -> float:
        return self._sent.leaving(LEAVING_SECONDS, now_seconds) / LEAVING_SECONDS

    def _draw_one(self) -> bool:
        # Parts are saved up: single draws would let a host that sees two requests a
        # second send both or none.
        self._credit += self.admit_ratio
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _wait_seconds(self, tokens: float, outlook: _Outlook) -> float:
        """Return when there is room again for this request and those turned away."""
        refill = max(1.0, self._refill)
        wait_seconds = max(0.0, tokens - outlook.room) / refill
        turned_away = max(0.0, outlook.asked - outlook.may_settle)
        wait_seconds += turned_away * ASKED_SECONDS / refill
        spread = 1.0 + SPREAD_RATIO * (2.0 * self._draw.random() - 1.0)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds * spread)


def allowed_tokens(limit: LimitedNode, window_seconds: float) -> float:
    """Return what all hosts together may send within a window."""
    return (limit.tokens_per_second or 0.0) * window_seconds + limit.burst_tokens
