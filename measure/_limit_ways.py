"""Ways to keep a limit over many hosts, as one host of the limits lab decides."""

from collections.abc import Callable
from typing import Protocol

import attrs

from rampwick_policy import RequestArrived, TreeView, Workspace
from rampwick_policy._fleet_limit import OverLimit
from rampwick_policy._limit_tracker import LimitTracker
from rampwick_schema import Node, QuotaSettings, Summary, Tree

from ._limit_patterns import LimitPattern

PATH = "/w"


class Way(Protocol):
    """How one host decides under a limit."""

    def hold_seconds(self, tokens: int, now_seconds: float) -> float:
        """Return how long a request waits before that is decided."""
        ...

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request may go."""
        ...

    def change(self, ratio: float, now_seconds: float) -> None:
        """Take a limit that is lowered to a part."""
        ...

    def summary(self, now_seconds: float) -> Summary:
        """Return what the host tells."""
        ...

    def hear(
        self, peer: str, summary: Summary, age_seconds: float, now_seconds: float
    ) -> None:
        """Take what is told it."""
        ...

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Note the present time."""
        ...

    def note_members(self, count: int, now_seconds: float) -> None:
        """Note how many hosts are known."""
        ...

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers are to hear at once of what the host is asked."""
        ...


def workspace(pattern: LimitPattern, ratio: float = 1.0) -> Workspace:
    """Return the workspace with its limit."""
    node = Node(
        is_workspace=True,
        tokens_per_second=pattern.tokens_per_second * ratio,
        burst_tokens=pattern.burst_tokens * ratio,
    )
    return TreeView(Tree(1, {"/": Node(), PATH: node})).workspaces[PATH]


class FleetSums:
    """Sums of all, and a ratio that every host lets go; words at intervals only."""

    def __init__(self, pattern: LimitPattern, name: str, now_seconds: float) -> None:
        self._pattern = pattern
        self._sequence = 0
        settings = QuotaSettings(
            over_ratio=pattern.over_ratio, slack_tokens=pattern.slack_tokens
        )
        self.book = LimitTracker(settings, name)
        self._workspace = workspace(pattern)
        self.book.apply({PATH: self._workspace}, now_seconds)

    def hold_seconds(self, tokens: int, now_seconds: float) -> float:
        """Return how long a request waits before that is decided."""
        return self.book.hold_seconds(self._arrival(tokens, now_seconds), now_seconds)

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request may go."""
        arrival = self._arrival(tokens, now_seconds)
        arrival = attrs.evolve(arrival, was_held=was_held)
        return not isinstance(self.book.admit(arrival, now_seconds), OverLimit)

    def _arrival(self, tokens: int, now_seconds: float) -> RequestArrived:
        deadline_seconds = now_seconds + 9.0
        return RequestArrived(
            "r",
            self._workspace,
            "portal",
            deadline_seconds,
            False,
            declared_tokens=tokens,
        )

    def change(self, ratio: float, now_seconds: float) -> None:
        """Take a limit that is lowered to a part."""
        self._workspace = workspace(self._pattern, ratio)
        self.book.apply({PATH: self._workspace}, now_seconds)

    def summary(self, now_seconds: float) -> Summary:
        """Return what the host tells."""
        self._sequence += 1
        return Summary(
            self._sequence,
            1,
            1,
            False,
            [],
            [],
            [],
            limits=self.book.usages(now_seconds),
            limits_known_seconds=self.book.known_seconds(now_seconds),
        )

    def hear(
        self, peer: str, summary: Summary, age_seconds: float, now_seconds: float
    ) -> None:
        """Take what is told it."""
        self.book.receive_summary(peer, summary, age_seconds, now_seconds)

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Note the present time."""
        self.book.note_time(hosts_count, now_seconds)

    def note_members(self, count: int, now_seconds: float) -> None:
        """Note how many hosts are known."""
        self.book.note_members(count, now_seconds)

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers are to hear at once of what the host is asked."""
        return False


class EarlyWords(FleetSums):
    """The product's own way: the same, and who is asked for more says so at once."""

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers are to hear at once of what the host is asked."""
        return self.book.has_burst(self._workspace, now_seconds)


class Parts(FleetSums):
    """Each host has a part of the limit, and no more: equal, or by what it is asked."""

    #: Part of the limit that goes to all hosts equally, whatever they are asked.
    equal_ratio = 1.0

    def __init__(self, pattern: LimitPattern, name: str, now_seconds: float) -> None:
        super().__init__(pattern, name, now_seconds)
        self._ratio = 1.0
        self._level = 0.0
        self._at_seconds = now_seconds
        self._own_asked = 0.0
        self._others_asked: dict[str, float] = {}

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request may go."""
        super().ask(tokens, was_held, now_seconds)
        equal = self.equal_ratio / self._pattern.hosts_count
        total = self._own_asked + sum(self._others_asked.values())
        asked_part = self._own_asked / total if total else equal
        part = equal + (1.0 - self.equal_ratio) * asked_part
        rate = self._pattern.tokens_per_second * self._ratio * part
        most = max(self._pattern.burst_tokens * self._ratio * part, tokens)
        elapsed_seconds = now_seconds - self._at_seconds
        self._at_seconds = now_seconds
        self._level = min(most, self._level + rate * elapsed_seconds)
        if self._level < tokens:
            return False
        self._level -= tokens
        return True

    def change(self, ratio: float, now_seconds: float) -> None:
        """Take a limit that is lowered to a part."""
        self._ratio = ratio

    def summary(self, now_seconds: float) -> Summary:
        """Return what the host tells."""
        told = super().summary(now_seconds)
        self._own_asked = sum(item.asked_tokens for item in told.limits)
        return told

    def hear(
        self, peer: str, summary: Summary, age_seconds: float, now_seconds: float
    ) -> None:
        """Take what is told it."""
        self._others_asked[peer] = sum(item.asked_tokens for item in summary.limits)


class GrantedParts(Parts):
    """Parts that follow what each host is asked for."""

    equal_ratio = 0.2


WAYS: dict[str, Callable[[LimitPattern, str, float], Way]] = {
    "fleet-sums": FleetSums,
    "early-words": EarlyWords,
    "granted-parts": GrantedParts,
    "equal-parts": Parts,
}
