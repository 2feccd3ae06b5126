"""Token limits of a host: usage tracking and admission of requests."""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import LimitUsage, QuotaSettings, ReprMixin, Summary

from . import _events as ev
from ._fleet_limit import FleetLimit, LimitParameters, OverLimit, allowed_tokens
from ._tree import LimitedNode, Workspace

#: Age of the usage data of a fleet up to which its first requests are held until the
#: demand at the other hosts is known.
WARM_UP_SECONDS = 3.0

#: Time for which a host without live peers keeps the previous host count. After a
#: change of relay or role the next summary arrives shortly, and with 90 hosts the share
#: of a single host is less than one long prompt.
ISOLATION_GRACE_SECONDS = 1.5

#: Time for which unreachable hosts may still be serving callers, which is how long keys
#: are usually accepted without confirmation. Until it is over, the hosts that reach
#: each other use only their share of each limit.
UNCONFIRMED_SERVING_SECONDS = 5.0

#: The same for the smaller side of a partition, which may itself be the isolated one.
FLEET_SIZE_MEMORY_SECONDS = 10.0
MINORITY_RATIO = 0.5


@attrs.frozen(repr=False)
class LimitCharge(ReprMixin):
    """Charge of a request against one limit, and the time at which it was made."""

    path: str
    tokens: float
    at_seconds: float


@attrs.frozen(repr=False)
class LimitState(ReprMixin):
    """State of one limit, for the status page and metrics."""

    path: str
    allowed_tokens: float
    used_tokens: float
    admit_ratio: float
    #: Share of the limit that the live hosts may use.
    part_ratio: float
    #: Whether the limit caused refusals within the last second.
    is_binding: bool


class LimitTracker:
    """Limits by path, with their usage."""

    def __init__(self, settings: QuotaSettings, host: str) -> None:
        self._settings = settings
        self._rng = random.Random(host)
        self._limits: dict[str, FleetLimit] = {}
        #: Paths of the limits in the last summary of each peer.
        self._reported_paths: dict[str, frozenset[str]] = {}
        #: Time since which at least one live host has tracked usage.
        self._tracked_since_seconds = math.inf
        self._hosts_count = 1
        self._max_hosts_count = 1
        self._max_hosts_at_seconds = 0.0
        self._peers_seen_at_seconds = -math.inf

    def apply(self, workspaces: Mapping[str, Workspace], now_seconds: float) -> None:
        """Apply the limits of a tree; existing limits keep their usage."""
        self.known_seconds(now_seconds)
        limits = {
            limit.path: limit
            for workspace in workspaces.values()
            for limit in workspace.limits
            if limit.tokens_per_second is not None
        }
        self._limits = {
            path: self._updated_limit(limit, now_seconds)
            for path, limit in limits.items()
        }

    def _updated_limit(self, limit: LimitedNode, now_seconds: float) -> FleetLimit:
        window_seconds = self._settings.window_seconds
        fleet_limit = self._limits.get(limit.path)
        if fleet_limit is None:
            return FleetLimit(limit, window_seconds, self._rng)
        fleet_limit.change(limit, window_seconds, now_seconds)
        return fleet_limit

    # Requests.

    def hold_seconds(self, event: ev.RequestArrived, now_seconds: float) -> float:
        """Return how long a request is held until the demand of the fleet is known.

        The result is 0 except shortly after the start of a whole fleet, when no host
        has any usage history.
        """
        if self.known_seconds(now_seconds) > WARM_UP_SECONDS:
            return 0.0
        return max(
            (
                fleet_limit.hold_seconds(
                    _charged_tokens(limit, event),
                    self._settings.window_seconds,
                    now_seconds,
                )
                for limit in event.workspace.limits
                if (fleet_limit := self._limits.get(limit.path)) is not None
            ),
            default=0.0,
        )

    def admit(
        self, event: ev.RequestArrived, now_seconds: float
    ) -> OverLimit | list[LimitCharge]:
        """Charge an arriving request; return its charges, or the limit it exceeds."""
        charges: list[LimitCharge] = []
        for limit in event.workspace.limits:
            fleet_limit = self._limits.get(limit.path)
            if fleet_limit is None:
                continue
            tokens = _charged_tokens(limit, event)
            if not event.was_held:
                fleet_limit.record_demand(tokens, now_seconds)
            exceeded = fleet_limit.admit(
                tokens, self._parameters(now_seconds), now_seconds
            )
            if exceeded is not None:
                self.refund(charges)
                return exceeded
            charges.append(LimitCharge(limit.path, tokens, now_seconds))
        return charges

    def note_sent(
        self, charges: Iterable[LimitCharge], is_retry: bool, now_seconds: float
    ) -> list[LimitCharge]:
        """Move the charges of a request to its dispatch time and return them."""
        charged = []
        for item in charges:
            limit = self._limits.get(item.path)
            if limit is None:
                continue
            if is_retry:
                limit.charge_again(item.tokens, now_seconds)
            else:
                limit.move(item.tokens, item.at_seconds, now_seconds)
            charged.append(attrs.evolve(item, at_seconds=now_seconds))
        return charged

    def refund(self, charges: Iterable[LimitCharge]) -> None:
        """Revert the charges of a request that did not run."""
        for item in charges:
            limit = self._limits.get(item.path)
            if limit is not None:
                limit.refund(item.tokens, item.at_seconds)

    # Exchange with peers.

    def usages(self, now_seconds: float) -> list[LimitUsage]:
        """Return the usage that this host reports to its peers."""
        usages = (limit.usage(now_seconds) for limit in self._limits.values())
        return [usage for usage in usages if usage is not None]

    def has_burst(self, workspace: Workspace, now_seconds: float) -> bool:
        """Return whether the demand of a workspace calls for an immediate update."""
        if not workspace.limits:
            return False
        parameters = self._parameters(now_seconds)
        limits = (self._limits.get(limit.path) for limit in workspace.limits)
        return any(
            limit.has_burst(parameters, now_seconds)
            for limit in limits
            if limit is not None
        )

    def known_seconds(self, now_seconds: float) -> float:
        """Return for how long at least one live host has tracked usage."""
        self._tracked_since_seconds = min(self._tracked_since_seconds, now_seconds)
        return now_seconds - self._tracked_since_seconds

    def receive_summary(
        self, peer: str, summary: Summary, age_seconds: float, now_seconds: float
    ) -> None:
        """Record the summary of a peer, sent ``age_seconds`` ago."""
        since_seconds = now_seconds - age_seconds - summary.limits_known_seconds
        self._tracked_since_seconds = min(self._tracked_since_seconds, since_seconds)
        reported = {usage.path: usage for usage in summary.limits}
        # A limit that is missing from a summary has no usage left at that peer.
        for path in reported.keys() | self._reported_paths.get(peer, frozenset()):
            limit = self._limits.get(path)
            if limit is not None:
                usage = reported.get(path) or LimitUsage(path, 0)
                limit.receive_usage(peer, usage, now_seconds - age_seconds)
        self._reported_paths[peer] = frozenset(reported)

    def forget(self, peer: str) -> None:
        """Drop the reports of a peer; another peer now reports on its behalf."""
        self._reported_paths.pop(peer, None)
        for limit in self._limits.values():
            limit.forget(peer)

    def note_members(self, count: int, now_seconds: float) -> None:
        """Record the number of known hosts, whether alive or not.

        A host that has just started and has no peers yet must not consider itself
        the whole fleet.
        """
        if count > self._max_hosts_count:
            self._max_hosts_count = count
            self._max_hosts_at_seconds = now_seconds

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Record the current time and the number of hosts that reach each other."""
        self.known_seconds(now_seconds)
        if hosts_count > 1:
            self._peers_seen_at_seconds = now_seconds
        elif now_seconds - self._peers_seen_at_seconds < ISOLATION_GRACE_SECONDS:
            hosts_count = self._hosts_count
        self._hosts_count = hosts_count
        is_expired = (
            now_seconds - self._max_hosts_at_seconds > FLEET_SIZE_MEMORY_SECONDS
        )
        if hosts_count >= self._max_hosts_count or is_expired:
            self._max_hosts_count = hosts_count
            self._max_hosts_at_seconds = now_seconds
        for limit in self._limits.values():
            limit.expire(now_seconds)

    def states(self, now_seconds: float) -> list[LimitState]:
        """Return the state of each limit, ordered by path."""
        return [self.state(path, now_seconds) for path in sorted(self._limits)]

    def state(self, path: str, now_seconds: float) -> LimitState:
        """Return the state of one limit."""
        limit, parameters = self._limits[path], self._parameters(now_seconds)
        return LimitState(
            path,
            allowed_tokens(limit.limit, parameters.window_seconds),
            limit.used_tokens(parameters, now_seconds),
            limit.admit_ratio,
            parameters.share_ratio,
            limit.is_binding(now_seconds),
        )

    def binding_states(self, now_seconds: float) -> list[tuple[str, bool]]:
        """Return the path of each limit and whether it is binding."""
        return [
            (path, limit.is_binding(now_seconds))
            for path, limit in sorted(self._limits.items())
        ]

    def share_ratio(self, now_seconds: float, *, is_alone: bool = False) -> float:
        """Return the share of each limit that the live hosts may use.

        ``is_alone`` states that this host divides a limit among itself only, so that
        the previous host count does not apply.
        """
        hosts_count = 1 if is_alone else self._hosts_count
        ratio = hosts_count / self._max_hosts_count
        missing_seconds = now_seconds - self._max_hosts_at_seconds
        if ratio >= MINORITY_RATIO and missing_seconds > UNCONFIRMED_SERVING_SECONDS:
            return 1.0
        return ratio

    def _parameters(self, now_seconds: float) -> LimitParameters:
        settings = self._settings
        known_seconds = self.known_seconds(now_seconds)
        return LimitParameters(
            settings.window_seconds,
            settings.over_ratio,
            settings.slack_tokens,
            self.share_ratio(now_seconds),
            max(0.0, settings.window_seconds - known_seconds),
        )


def _charged_tokens(limit: LimitedNode, event: ev.RequestArrived) -> float:
    """Return the charge of a request: its declared size, whatever its actual cost."""
    if limit.counts_requests:
        return 1.0
    if event.declared_tokens is not None:
        return float(event.declared_tokens)
    if event.chain is not None:
        return float(event.chain.total_tokens + event.max_answer_tokens)
    return limit.plain_tokens
