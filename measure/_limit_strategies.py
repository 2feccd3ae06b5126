"""Strategies of the limits lab to enforce a token limit over many hosts."""

from collections.abc import Callable
from typing import Protocol

import attrs

from rampwick_policy import RequestArrived, TreeView, Workspace
from rampwick_policy._fleet_limit import OverLimit
from rampwick_policy._limit_tracker import LimitTracker, SummarySender
from rampwick_schema import Node, QuotaSettings, Summary, Tree

from ._limit_patterns import LimitPattern

PATH = "/w"


class Strategy(Protocol):
    """Admission under a limit, as decided by one host."""

    def hold_seconds(self, tokens: int, was_held: bool, now_seconds: float) -> float:
        """Return how long a request is held before its admission is decided."""
        ...

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request is admitted."""
        ...

    def change(self, ratio: float, now_seconds: float) -> None:
        """Set the limit to a share of the pattern's rate."""
        ...

    def summary(self, now_seconds: float) -> Summary:
        """Return the host's summary for its peers."""
        ...

    def hear(
        self,
        sender: SummarySender,
        summary: Summary,
        age_seconds: float,
        now_seconds: float,
    ) -> None:
        """Receive the summary of a peer."""
        ...

    def relayed(self, summary: Summary, now_seconds: float) -> Summary:
        """Return the sum of a hall or the fleet that this host publishes as a relay."""
        ...

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Advance the strategy's time."""
        ...

    def note_members(self, count: int, now_seconds: float) -> None:
        """Set the number of known hosts."""
        ...

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers must be notified immediately of a burst in demand."""
        ...


def workspace(pattern: LimitPattern, ratio: float = 1.0) -> Workspace:
    """Return the workspace with a share of the pattern's limit."""
    node = Node(
        is_workspace=True,
        tokens_per_second=pattern.tokens_per_second * ratio,
        burst_tokens=pattern.burst_tokens * ratio,
    )
    return TreeView(Tree(1, {"/": Node(), PATH: node})).workspaces[PATH]


class FleetUsage:
    """Fleet-wide usage and one admit ratio; updates by periodic summaries only."""

    def __init__(self, pattern: LimitPattern, name: str, now_seconds: float) -> None:
        self._pattern = pattern
        self._sequence = 0
        settings = QuotaSettings(
            over_ratio=pattern.over_ratio, slack_tokens=pattern.slack_tokens
        )
        self.book = LimitTracker(settings, name)
        self._workspace = workspace(pattern)
        self.book.apply({PATH: self._workspace}, now_seconds)

    def hold_seconds(self, tokens: int, was_held: bool, now_seconds: float) -> float:
        """Return how long a request is held before its admission is decided."""
        arrival = self._arrival(tokens, now_seconds)
        arrival = attrs.evolve(arrival, was_held=was_held)
        return self.book.hold_seconds(arrival, now_seconds)

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request is admitted."""
        arrival = self._arrival(tokens, now_seconds)
        arrival = attrs.evolve(arrival, was_held=was_held)
        charges = self.book.admit(arrival, now_seconds)
        if isinstance(charges, OverLimit):
            return False
        self.book.note_sent(charges, False, now_seconds)
        return True

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
        """Set the limit to a share of the pattern's rate."""
        self._workspace = workspace(self._pattern, ratio)
        self.book.apply({PATH: self._workspace}, now_seconds)

    def summary(self, now_seconds: float) -> Summary:
        """Return the host's summary for its peers."""
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
            limits_counted_seconds=self.book.counted_seconds(now_seconds),
        )

    def hear(
        self,
        sender: SummarySender,
        summary: Summary,
        age_seconds: float,
        now_seconds: float,
    ) -> None:
        """Receive the summary of a peer."""
        self.book.receive_summary(sender, summary, age_seconds, now_seconds)

    def relayed(self, summary: Summary, now_seconds: float) -> Summary:
        """Return the sum of a hall or the fleet that this host publishes as a relay."""
        return self.book.with_relayed_limits(summary, now_seconds)

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Advance the strategy's time."""
        self.book.note_time(hosts_count, now_seconds)

    def note_members(self, count: int, now_seconds: float) -> None:
        """Set the number of known hosts."""
        self.book.note_members(count, now_seconds)

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers must be notified immediately of a burst in demand."""
        return False


class EarlyNotifications(FleetUsage):
    """The router's strategy: fleet-wide usage, with immediate updates on bursts."""

    def has_surged(self, now_seconds: float) -> bool:
        """Return whether peers must be notified immediately of a burst in demand."""
        return self.book.has_burst(self._workspace, now_seconds)


class EqualShares(FleetUsage):
    """A fixed share of the limit per host: equal, or partly in proportion to demand."""

    #: Share of the limit that is divided equally, regardless of demand.
    equal_ratio = 1.0

    def __init__(self, pattern: LimitPattern, name: str, now_seconds: float) -> None:
        super().__init__(pattern, name, now_seconds)
        self._ratio = 1.0
        self._level = 0.0
        self._at_seconds = now_seconds
        self._own_demand = 0.0
        self._peer_demand: dict[str, float] = {}

    def ask(self, tokens: int, was_held: bool, now_seconds: float) -> bool:
        """Return whether a request is admitted."""
        super().ask(tokens, was_held, now_seconds)
        equal_share = self.equal_ratio / self._pattern.hosts_count
        total = self._own_demand + sum(self._peer_demand.values())
        demand_share = self._own_demand / total if total else equal_share
        share = equal_share + (1.0 - self.equal_ratio) * demand_share
        rate = self._pattern.tokens_per_second * self._ratio * share
        capacity = max(self._pattern.burst_tokens * self._ratio * share, tokens)
        elapsed_seconds = now_seconds - self._at_seconds
        self._at_seconds = now_seconds
        self._level = min(capacity, self._level + rate * elapsed_seconds)
        if self._level < tokens:
            return False
        self._level -= tokens
        return True

    def change(self, ratio: float, now_seconds: float) -> None:
        """Set the limit to a share of the pattern's rate."""
        self._ratio = ratio

    def summary(self, now_seconds: float) -> Summary:
        """Return the host's summary for its peers."""
        result = super().summary(now_seconds)
        self._own_demand = sum(item.asked_tokens for item in result.limits)
        return result

    def hear(
        self,
        sender: SummarySender,
        summary: Summary,
        age_seconds: float,
        now_seconds: float,
    ) -> None:
        """Receive the summary of a peer."""
        demand = sum(item.asked_tokens for item in summary.limits)
        self._peer_demand[sender.name] = demand


class DemandShares(EqualShares):
    """Shares of the limit mostly in proportion to each host's demand."""

    equal_ratio = 0.2


STRATEGIES: dict[str, Callable[[LimitPattern, str, float], Strategy]] = {
    "fleet-sums": FleetUsage,
    "early-words": EarlyNotifications,
    "granted-parts": DemandShares,
    "equal-parts": EqualShares,
}
