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

from rampwick_schema import LimitUsage, Shown

from ._sent_window import SentWindow
from ._tree import LimitedNode

#: Time over which the rate of what is asked for is taken: some tens of requests of a
#: workspace near its limit, and short against the time in which a burst fills it.
ASKED_SECONDS = 0.5

#: Time ahead for which hosts tell what will have left their windows.
LEAVING_SECONDS = 1.0

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

#: Age up to which a peer's word is continued, and up to which it then holds: a peer
#: that says nothing may still be sending. From there on it leaves the window.
CONTINUED_SECONDS = 1.0
HELD_SECONDS = 3.0

#: Least time over which the rate of what is asked for is taken after a start.
MIN_ASKED_SECONDS = 0.125

#: Part of a peer's sum that must be missing, with nothing to have left the window,
#: before it is taken for the sum of hosts that died: their requests have run all the
#: same. Less is a host that is counted in one word and not in the next.
LOST_RATIO = 0.1

#: Time for which a limit's rate may be used at once by a fleet that has just started:
#: a lone request is no sign of a workspace over its limit.
FRESH_SECONDS = 0.5

#: Time for which a limit is said to bind after a refusal.
BINDING_SECONDS = 1.0

#: Bounds of what callers over a limit are told to wait, and how it is spread.
MIN_RETRY_AFTER_SECONDS = 0.25
SPREAD_RATIO = 0.25


@attrs.frozen(repr=False)
class FleetTerms(Shown):
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
class OverLimit(Shown):
    """A request that its workspace's limit has no room for."""

    path: str
    retry_after_seconds: float


@attrs.frozen(repr=False)
class _Word(Shown):
    """What a peer said last, counted from when it was true."""

    usage: LimitUsage
    at_seconds: float

    def sent_tokens(
        self, admit_ratio: float, window_seconds: float, now_seconds: float
    ) -> float:
        """Return what the peer has sent within the window by now, as far as known."""
        age_seconds = max(0.0, now_seconds - self.at_seconds)
        continued_seconds = min(age_seconds, CONTINUED_SECONDS)
        usage = self.usage
        growth = admit_ratio * usage.asked_tokens - usage.leaving_tokens
        tokens = max(0.0, usage.sent_tokens + growth * continued_seconds)
        left_seconds = max(0.0, age_seconds - HELD_SECONDS)
        return tokens * max(0.0, 1.0 - left_seconds / window_seconds)

    def is_fresh(self, now_seconds: float) -> bool:
        """Return whether the peer is surely among those that hear each other."""
        return now_seconds - self.at_seconds < HELD_SECONDS


class FleetLimit:
    """One limit: this host's own window and its peers' words."""

    def __init__(
        self, limit: LimitedNode, window_seconds: float, draw: random.Random
    ) -> None:
        self.limit = limit
        self._draw = draw
        self._sent = SentWindow(window_seconds)
        self._asked = SentWindow(ASKED_SECONDS)
        self._words: dict[str, _Word] = {}
        self._lost: list[_Word] = []
        #: Parts of requests that may go; one is sent for each whole.
        self._credit = draw.random()
        #: Ratio of the requests that may go, as decided last.
        self.admit_ratio = 1.0
        self._forgiven_until_seconds = 0.0
        self._refused_at_seconds = -math.inf
        self._asked_since_seconds: float | None = None

    def change(
        self, limit: LimitedNode, window_seconds: float, now_seconds: float
    ) -> None:
        """Take other figures; what was sent under a higher limit is no excess."""
        old = allowed_tokens(self.limit, window_seconds)
        if allowed_tokens(limit, window_seconds) < old:
            self._forgiven_until_seconds = now_seconds + window_seconds
        self.limit = limit

    # What peers say and are told.

    def word(self, now_seconds: float) -> LimitUsage | None:
        """Return what peers are told; nothing if there is nothing to tell."""
        sent = self._sent.total(now_seconds)
        asked = self._asked_per_second(now_seconds)
        if sent < 1.0 and asked < 1.0:
            return None
        leaving = self._sent.leaving(LEAVING_SECONDS, now_seconds)
        return LimitUsage(
            self.limit.path, round(sent), round(leaving / LEAVING_SECONDS), round(asked)
        )

    def hear(
        self,
        peer: str,
        usage: LimitUsage,
        age_seconds: float,
        window_seconds: float,
        now_seconds: float,
    ) -> None:
        """Take what a peer says now of a time that was ``age_seconds`` ago."""
        at_seconds = now_seconds - age_seconds
        known = self._words.get(peer)
        if known is not None:
            since_seconds = max(0.0, at_seconds - known.at_seconds)
            told_seconds = min(since_seconds, LEAVING_SECONDS)
            kept = known.usage.sent_tokens - known.usage.leaving_tokens * told_seconds
            kept *= max(0.0, 1.0 - (since_seconds - told_seconds) / window_seconds)
            if kept - usage.sent_tokens > LOST_RATIO * known.usage.sent_tokens:
                lost = LimitUsage(self.limit.path, round(kept - usage.sent_tokens))
                self._lost.append(_Word(lost, at_seconds))
        self._words[peer] = _Word(usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop what a peer said, since another one speaks for it."""
        self._words.pop(peer, None)

    def expire(self, window_seconds: float, now_seconds: float) -> None:
        """Drop the words of which nothing can be within the window any more."""
        oldest_seconds = now_seconds - window_seconds - HELD_SECONDS
        self._lost = [word for word in self._lost if word.at_seconds > oldest_seconds]
        for peer, word in list(self._words.items()):
            if word.at_seconds <= oldest_seconds:
                del self._words[peer]

    # Decisions.

    def ask(
        self, tokens: float, terms: FleetTerms, now_seconds: float
    ) -> OverLimit | None:
        """Count a request that may go now; return why it may not."""
        if self._asked_since_seconds is None:
            self._asked_since_seconds = now_seconds
        self._asked.add(tokens, now_seconds)
        asked, leaving = self._rates(now_seconds)
        allowed, most = self._bounds(asked, terms)
        used = self.used_tokens(terms, now_seconds)
        if now_seconds < self._forgiven_until_seconds:
            used = min(used, allowed)
        unknown = self._unknown_tokens(terms)
        if unknown:
            leaving += self._refill * terms.part_ratio
        others_asked = sum(word.usage.asked_tokens for word in self._words.values())
        ahead = max(0.0, others_asked - leaving) * SETTLE_SECONDS
        room = allowed - used - unknown
        if unknown:
            known_seconds = terms.window_seconds - terms.unknown_seconds
            fresh = self._refill * (known_seconds + FRESH_SECONDS) * terms.part_ratio
            room = max(room, fresh - used)
        may_settle = max(0.0, room / SETTLE_SECONDS + leaving)
        self.admit_ratio = min(1.0, may_settle / max(1.0, asked))
        if tokens + ahead <= room:
            may_go = True
        elif used + tokens > most or not (self._words or unknown):
            may_go = False
        else:
            may_go = self._draw_one()
        if may_go:
            self._sent.add(tokens, now_seconds)
            return None
        self._refused_at_seconds = now_seconds
        wait_seconds = self._wait_seconds(tokens - room, asked, may_settle)
        most_seconds = terms.window_seconds
        return OverLimit(self.limit.path, min(wait_seconds, most_seconds))

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
        used = self._sent.total(now_seconds)
        words = [*self._words.values(), *self._lost]
        if terms.part_ratio < 1.0:
            # Those that are not heard have the rest of the limit to themselves.
            words = [
                word for word in self._words.values() if word.is_fresh(now_seconds)
            ]
        for word in words:
            used += word.sent_tokens(
                self.admit_ratio, terms.window_seconds, now_seconds
            )
        return used

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

    def _unknown_tokens(self, terms: FleetTerms) -> float:
        """Return what hosts that are no more may have sent within the window.

        They are taken to have sent all that they might, the burst not long ago.
        """
        if not terms.unknown_seconds:
            return 0.0
        tokens = self._refill * terms.unknown_seconds + self.limit.burst_tokens
        return tokens * terms.part_ratio

    def _asked_per_second(self, now_seconds: float) -> float:
        if self._asked_since_seconds is None:
            return 0.0
        # A host that has just started has not been asked for the whole time.
        since_seconds = now_seconds - self._asked_since_seconds
        span_seconds = min(ASKED_SECONDS, max(MIN_ASKED_SECONDS, since_seconds))
        return self._asked.total(now_seconds) / span_seconds

    def _rates(self, now_seconds: float) -> tuple[float, float]:
        """Return what all are asked for a second, and what leaves their windows."""
        asked = self._asked_per_second(now_seconds)
        leaving = self._sent.leaving(LEAVING_SECONDS, now_seconds) / LEAVING_SECONDS
        for word in self._words.values():
            asked += word.usage.asked_tokens
            leaving += word.usage.leaving_tokens
        return asked, leaving

    def _draw_one(self) -> bool:
        # Parts are saved up: single draws would let a host that sees two requests a
        # second send both or none.
        self._credit += self.admit_ratio
        if self._credit < 1.0:
            return False
        self._credit -= 1.0
        return True

    def _wait_seconds(
        self, short_tokens: float, asked: float, may_settle: float
    ) -> float:
        """Return when there is room again for this request and those turned away."""
        refill = max(1.0, self._refill)
        wait_seconds = max(0.0, short_tokens) / refill
        wait_seconds += max(0.0, asked - may_settle) * ASKED_SECONDS / refill
        spread = 1.0 + SPREAD_RATIO * (2.0 * self._draw.random() - 1.0)
        return max(MIN_RETRY_AFTER_SECONDS, wait_seconds * spread)


def allowed_tokens(limit: LimitedNode, window_seconds: float) -> float:
    """Return what all hosts together may send within a window."""
    return (limit.tokens_per_second or 0.0) * window_seconds + limit.burst_tokens
