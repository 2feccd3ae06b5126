"""What peers said of one limit, continued to the present."""

import attrs

from rampwick_schema import LimitUsage, Shown

#: Time ahead for which hosts tell what will have left their windows.
LEAVING_SECONDS = 1.0

#: Age up to which a peer's word is continued, and up to which it then holds: a peer
#: that says nothing may still be sending. From there on it leaves the window.
CONTINUED_SECONDS = 1.0
HELD_SECONDS = 3.0

#: Part of a peer's sum that must be missing, with nothing to have left the window,
#: before it is taken for the sum of hosts that died: their requests have run all the
#: same. Less is a host that is counted in one word and not in the next.
LOST_RATIO = 0.1


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

    def kept_tokens(self, at_seconds: float, window_seconds: float) -> float:
        """Return what must still be in the window then of what was sent."""
        since_seconds = max(0.0, at_seconds - self.at_seconds)
        told_seconds = min(since_seconds, LEAVING_SECONDS)
        tokens = self.usage.sent_tokens - self.usage.leaving_tokens * told_seconds
        untold_seconds = since_seconds - told_seconds
        return tokens * max(0.0, 1.0 - untold_seconds / window_seconds)

    def is_fresh(self, now_seconds: float) -> bool:
        """Return whether the peer is surely among those that hear each other."""
        return now_seconds - self.at_seconds < HELD_SECONDS


class PeerWords:
    """The newest word of each peer, and what hosts had sent that died."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._words: dict[str, _Word] = {}
        self._lost: list[_Word] = []

    def __bool__(self) -> bool:
        return bool(self._words)

    def take(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Take what a peer says of a time."""
        known = self._words.get(peer)
        if known is not None:
            missing = known.kept_tokens(at_seconds, self._window_seconds)
            missing -= usage.sent_tokens
            if missing > LOST_RATIO * known.usage.sent_tokens:
                lost = LimitUsage(usage.path, round(missing))
                self._lost.append(_Word(lost, at_seconds))
        self._words[peer] = _Word(usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop what a peer said, since another one speaks for it."""
        self._words.pop(peer, None)

    def expire(self, now_seconds: float) -> None:
        """Drop the words of which nothing can be within the window any more."""
        oldest_seconds = now_seconds - self._window_seconds - HELD_SECONDS
        self._lost = [word for word in self._lost if word.at_seconds > oldest_seconds]
        for peer, word in list(self._words.items()):
            if word.at_seconds <= oldest_seconds:
                del self._words[peer]

    @property
    def asked_tokens(self) -> float:
        """Tokens that peers are asked for, a second."""
        return sum(word.usage.asked_tokens for word in self._words.values())

    @property
    def leaving_tokens(self) -> float:
        """Tokens that leave peers' windows, a second."""
        return sum(word.usage.leaving_tokens for word in self._words.values())

    def sent_tokens(
        self, admit_ratio: float, only_fresh: bool, now_seconds: float
    ) -> float:
        """Return what peers have sent within the window by now, as far as known.

        ``admit_ratio`` is what they are taken to let go since; ``only_fresh`` leaves
        out those that are not surely among the hosts that hear each other.
        """
        words = [*self._words.values(), *self._lost]
        if only_fresh:
            words = [
                word for word in self._words.values() if word.is_fresh(now_seconds)
            ]
        return sum(
            word.sent_tokens(admit_ratio, self._window_seconds, now_seconds)
            for word in words
        )
