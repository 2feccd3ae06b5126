"""Moves of cache under way, which later moves over the same links wait for.

It answers many prompts that want parts of one cache at once, as after all hosts came
back or new weights: a cache moves one prompt after another, and a prompt of a few
hundred tokens has waited 0.7 s there for what its runner reads in 15 ms. Hosts tell
each other what they have under way beside their other load, as a load of the cache in a
life of its own name.
"""

from collections import Counter

import attrs

from rampwick_schema import ReprMixin, UpstreamUsage

from ._membership import Membership

#: Life under which hosts tell each other what moves from or to a cache.
MOVES_LABEL = "moves"


@attrs.frozen(repr=False)
class Move(ReprMixin):
    """One import that was asked for."""

    source: str
    target: str
    tokens: int


class Moves:
    """Imports that this host asked for and whose answers have not begun."""

    def __init__(self, peers: Membership) -> None:
        self._peers = peers
        self._open: dict[str, Move] = {}
        self._tokens: Counter[str] = Counter()
        self._counts: Counter[str] = Counter()

    def begin(self, attempt_id: str, move: Move) -> None:
        """Note an import that an attempt asks for."""
        self._open[attempt_id] = move
        for name in (move.source, move.target):
            self._tokens[name] += move.tokens
            self._counts[name] += 1

    def end(self, attempt_id: str) -> None:
        """Note that an attempt has what it asked for, or is over."""
        move = self._open.pop(attempt_id, None)
        if move is None:
            return
        for name in (move.source, move.target):
            self._tokens[name] -= move.tokens
            self._counts[name] -= 1
            if not self._counts[name]:
                # Names of runners that are gone would add up.
                del self._counts[name], self._tokens[name]

    def waiting_tokens(self, name: str) -> int:
        """Return the tokens that move from or to a cache, for all hosts."""
        return (
            self._tokens[name] + self._peers.load_of(name, MOVES_LABEL).waiting_tokens
        )

    def usages(self) -> list[UpstreamUsage]:
        """Return what peers are told."""
        return [
            UpstreamUsage(name, MOVES_LABEL, count, self._tokens[name])
            for name, count in sorted(self._counts.items())
        ]
