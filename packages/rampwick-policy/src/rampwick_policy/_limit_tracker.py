"""Token limits of a host: usage tracking and admission of requests."""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import LimitUsage, QuotaSettings, ReprMixin, Summary

from . import _events as ev
from ._fleet_account import PeerReport
from ._fleet_limit import (
    FleetLimit,
    LimitParameters,
    LimitWindow,
    OverLimit,
    allowed_tokens,
    capacity,
    max_window_tokens,
)
from ._tree import LimitedNode, Workspace

#: Age of the usage data of a fleet up to which its first requests are held until the
#: demand at the other hosts is known.
WARM_UP_SECONDS = 3.0

#: The same while known hosts are missing, which may still be starting, and the time by
#: which the others know what a host that is back has sent.
RETURN_SECONDS = 5.0
REPORT_SECONDS = 0.5

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

#: Time by which a peer must have known the limits for longer than this host so that the
#: host takes its levels. Ages of reports are less precise.
KNOWN_LONGER_SECONDS = 0.5


@attrs.frozen(repr=False)
class LimitCharge(ReprMixin):
    """Charge of a request against one limit, and the time at which it was made."""

    path: str
    tokens: float
    at_seconds: float
    #: Whether the request has not been sent since.
    is_pending: bool = True


@attrs.frozen(repr=False)
class _ReportedLimits(ReprMixin):
    """The limits in the last summary of a peer."""

    incarnation: int
    usages: Mapping[str, LimitUsage]
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
    #: Tokens that updates in flight are tolerated to lead to.
    tolerated_tokens: float
    window: LimitWindow
    #: Time for which this host, or peers whose counts it has, have known the limit.
    known_seconds: float


@attrs.frozen(repr=False)
class SummarySender(ReprMixin):
    """The sender of a summary, as far as its counters of limits are concerned."""

    name: str
    incarnation: int = 0
    #: Whether it is a host of this host's hall.
    is_own_hall: bool = False
    #: Whether it is a relay that sums up all other hosts.
    is_fleet: bool = False


class LimitTracker:
    """Limits by path, with their usage."""

    def __init__(self, settings: QuotaSettings, host: str) -> None:
        self._settings = settings
        self._rng = random.Random(host)
        self._limits: dict[str, FleetLimit] = {}
        #: Limits that the tree no longer has, with the time at which they left it.
        self._former: dict[str, tuple[FleetLimit, float]] = {}
        self._reported: dict[str, _ReportedLimits] = {}
        #: Time since which this host counts, and at least one live host has.
        self._counted_since_seconds = math.inf
        self._tracked_since_seconds = math.inf
        self._hosts_count = 1
        self._max_hosts_count = 1
        self._max_hosts_at_seconds = 0.0
        #: Time at which known hosts were missing.
        self._missing_at_seconds = -math.inf
        self._peers_seen_at_seconds = -math.inf

    def apply(self, workspaces: Mapping[str, Workspace], now_seconds: float) -> None:
        """Apply the limits of a tree; existing limits keep their usage."""
        known_seconds = self.known_seconds(now_seconds)
        limits = {
            limit.path: limit
            for workspace in workspaces.values()
            for limit in workspace.limits
            if limit.tokens_per_second is not None
        }
        for path, fleet_limit in self._limits.items():
            if path not in limits:
                self._former[path] = fleet_limit, now_seconds
        self._limits = {
            path: self._updated_limit(limit, known_seconds, now_seconds)
            for path, limit in limits.items()
        }

    def _updated_limit(
        self, limit: LimitedNode, known_seconds: float, now_seconds: float
    ) -> FleetLimit:
        parameters = self._parameters(now_seconds)
        former = self._former.pop(limit.path, None)
        fleet_limit = self._limits.get(limit.path) or (former and former[0])
        if fleet_limit is not None:
            fleet_limit.change(limit, parameters, now_seconds)
            return fleet_limit
        level = self._level_elsewhere(limit.path)
        if level is None:
            bounds = capacity(limit, parameters)
            level = 0.0
            if known_seconds < self._settings.window_seconds:
                level = max(0.0, bounds.start_tokens)
        return FleetLimit(
            limit, self._settings.window_seconds, self._rng, level, now_seconds
        )

    def _level_elsewhere(self, path: str) -> float | None:
        """Return the highest level that a peer has reported of a limit."""
        levels = [
            reported.usages[path].level_tokens
            for reported in self._reported.values()
            if path in reported.usages
        ]
        known = [level for level in levels if level >= 0]
        return float(max(known)) if known else None

    # Requests.

    def hold_seconds(self, event: ev.RequestArrived, now_seconds: float) -> float:
        """Return how long a request is held until the demand of the fleet is known.

        The result is 0 except shortly after the start of a whole fleet, when no host
        has any usage history. A request that was held is asked about again. Reports to
        the peers include held requests.
        """
        known_seconds = self.known_seconds(now_seconds)
        parameters = self._parameters(now_seconds)
        if parameters.share_ratio < 1.0:
            self._missing_at_seconds = now_seconds
        missing_seconds = now_seconds - self._missing_at_seconds
        is_returning = missing_seconds < REPORT_SECONDS
        if known_seconds > (RETURN_SECONDS if is_returning else WARM_UP_SECONDS):
            return 0.0
        has_time = event.deadline_seconds - now_seconds > WARM_UP_SECONDS
        may_wait = is_returning and has_time
        charged = [
            (fleet_limit, _charged_tokens(limit, event))
            for limit in event.workspace.limits
            if (fleet_limit := self._limits.get(limit.path)) is not None
        ]
        hold_seconds = max(
            (
                fleet_limit.hold_seconds(
                    tokens,
                    parameters,
                    now_seconds,
                    was_held=event.was_held,
                    may_wait=may_wait,
                )
                for fleet_limit, tokens in charged
            ),
            default=0.0,
        )
        if hold_seconds:
            for fleet_limit, tokens in charged:
                fleet_limit.note_held(
                    tokens, hold_seconds, now_seconds, was_held=event.was_held
                )
        return hold_seconds

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
                tokens,
                self._parameters(now_seconds),
                now_seconds,
                was_held=event.was_held,
            )
            if exceeded is not None:
                self.refund(charges, now_seconds)
                return exceeded
            charges.append(LimitCharge(limit.path, tokens, now_seconds))
        return charges

    def may_repeat(self, charges: Iterable[LimitCharge], now_seconds: float) -> bool:
        """Return whether the limits leave room for another attempt of a request."""
        parameters = self._parameters(now_seconds)
        return all(
            limit.may_repeat(item.tokens, parameters, now_seconds)
            for item in charges
            if (limit := self._find(item.path)) is not None
        )

    def note_sent(
        self, charges: Iterable[LimitCharge], is_retry: bool, now_seconds: float
    ) -> list[LimitCharge]:
        """Move the charges of a request to its dispatch time and return them."""
        charged = []
        for item in charges:
            limit = self._find(item.path)
            if limit is None:
                continue
            if is_retry:
                limit.charge_again(item.tokens, now_seconds)
            else:
                limit.note_sent(
                    item.tokens, item.at_seconds, item.is_pending, now_seconds
                )
            charged.append(attrs.evolve(item, at_seconds=now_seconds, is_pending=False))
        return charged

    def refund(self, charges: Iterable[LimitCharge], now_seconds: float) -> None:
        """Revert the charges of a request that did not run."""
        for item in charges:
            limit = self._find(item.path)
            if limit is not None:
                limit.refund(item.tokens, item.at_seconds, item.is_pending, now_seconds)

    def _find(self, path: str) -> FleetLimit | None:
        """Return a limit that has charges, though it may have left the tree."""
        former = self._former.get(path)
        return self._limits.get(path) or (former[0] if former else None)

    def _tracked(self) -> dict[str, FleetLimit]:
        """Return the limits whose usage is tracked, by path."""
        former = {path: limit for path, (limit, _) in self._former.items()}
        return former | self._limits

    # Exchange with peers.

    def usages(self, now_seconds: float) -> list[LimitUsage]:
        """Return the usage that this host reports to its peers."""
        usages = (limit.usage(now_seconds) for limit in self._tracked().values())
        return [usage for usage in usages if usage is not None]

    def counted_seconds(self, now_seconds: float) -> float:
        """Return the time since the counters of this host were zero."""
        self.known_seconds(now_seconds)
        return now_seconds - self._counted_since_seconds

    def with_relayed_limits(self, summary: Summary, now_seconds: float) -> Summary:
        """Return the sum of a hall or the fleet with this relay's counters and levels.

        The counters of the hosts can't be added up: they end with their hosts.
        """
        relayed = {usage.path: usage for usage in summary.limits}
        for path, limit in self._tracked().items():
            account = limit.account
            if path not in relayed:
                account.hall_total_tokens = 0.0
                continue
            relayed[path] = attrs.evolve(
                relayed[path],
                total_tokens=max(0, round(account.hall_total_tokens)),
                level_tokens=round(account.level_tokens(now_seconds)),
            )
        return attrs.evolve(
            summary,
            limits=list(relayed.values()),
            limits_counted_seconds=self.counted_seconds(now_seconds),
        )

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
        self._counted_since_seconds = min(self._counted_since_seconds, now_seconds)
        return now_seconds - self._tracked_since_seconds

    def receive_summary(
        self,
        sender: SummarySender,
        summary: Summary,
        age_seconds: float,
        now_seconds: float,
    ) -> None:
        """Record the summary of a peer, sent ``age_seconds`` ago."""
        self.known_seconds(now_seconds)
        at_seconds = now_seconds - age_seconds
        since_seconds = at_seconds - summary.limits_known_seconds
        counts = summary.limits_counted_seconds >= 0.0
        report = PeerReport(
            sender.name,
            sender.incarnation,
            at_seconds,
            at_seconds - summary.limits_counted_seconds if counts else -math.inf,
            is_own_hall=sender.is_own_hall,
            is_fleet=sender.is_fleet,
            is_trusted=since_seconds
            <= self._tracked_since_seconds + KNOWN_LONGER_SECONDS,
            includes_own=age_seconds > 0.0,
        )
        usages = {usage.path: usage for usage in summary.limits}
        known = self._reported.get(sender.name)
        is_continued = known is not None and known.incarnation == sender.incarnation
        previous = known.usages if known is not None else {}
        for path, limit in self._tracked().items():
            usage = usages.get(path)
            if usage is None:
                # A limit that is missing from a summary has no usage left there.
                if path in previous:
                    limit.note_idle(report)
                continue
            if known is not None and is_continued and path not in previous:
                limit.account.reset_counter(
                    sender.name, sender.incarnation, known.at_seconds
                )
            limit.receive_usage(report, usage, now_seconds)
        self._reported[sender.name] = _ReportedLimits(
            sender.incarnation, usages, at_seconds
        )
        if (
            counts
            and since_seconds < self._tracked_since_seconds - KNOWN_LONGER_SECONDS
        ):
            self._adopt_levels(usages, now_seconds)
        self._tracked_since_seconds = min(self._tracked_since_seconds, since_seconds)

    def _adopt_levels(
        self, usages: Mapping[str, LimitUsage], now_seconds: float
    ) -> None:
        """Take the levels of a peer that has known the limits for longer."""
        for path, limit in self._tracked().items():
            usage = usages.get(path)
            level = usage.level_tokens if usage is not None else 0
            if level >= 0:
                limit.adopt(float(level), now_seconds)

    def forget(self, peer: str) -> None:
        """Drop the reports of a peer; another peer now reports on its behalf."""
        self._reported.pop(peer, None)
        for limit in self._tracked().values():
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
        else:
            self._missing_at_seconds = now_seconds
        oldest_seconds = now_seconds - self._settings.window_seconds
        self._former = {
            path: (limit, left_at_seconds)
            for path, (limit, left_at_seconds) in self._former.items()
            if left_at_seconds > oldest_seconds
        }
        parameters = self._parameters(now_seconds)
        for limit in self._tracked().values():
            limit.expire(parameters, now_seconds)

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
            max_window_tokens(limit.limit, parameters),
            limit.window(parameters, now_seconds),
            self.known_seconds(now_seconds),
        )

    def noteworthy_states(self, now_seconds: float) -> list[tuple[str, str]]:
        """Return the path of each limit and whether it is open, binding or exceeded."""
        parameters = self._parameters(now_seconds)
        states = []
        for path, limit in sorted(self._limits.items()):
            state = "binding" if limit.is_binding(now_seconds) else "open"
            used = limit.used_tokens(parameters, now_seconds)
            if used > max_window_tokens(limit.limit, parameters):
                state = "exceeded"
            states.append((path, state))
        return states

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
        return LimitParameters(
            settings.window_seconds,
            settings.over_ratio,
            settings.slack_tokens,
            self.share_ratio(now_seconds),
        )


def describe_limit(state: LimitState) -> str:
    """Return the state of a limit for which a request was refused."""
    return (
        f"{describe_window(state)}; admitted share of the demand "
        f"{state.admit_ratio:.3f}; usable share of the limit {state.part_ratio:.2f}"
    )


def describe_window(state: LimitState) -> str:
    """Return what the window and the bucket of a limit hold, by their sources."""
    window = state.window
    return (
        f"{state.used_tokens:.0f} of {state.allowed_tokens:.0f} tokens sent by all "
        f"hosts within the window: {window.own_tokens:.0f} by this one, "
        f"{window.reported_tokens:.0f} reported, {window.report_age_seconds:.2f} s "
        f"old at most, {window.remembered_tokens:.0f} by hosts that ended; level "
        f"{window.level_tokens:.0f} of {window.capacity_tokens:.0f}, of which "
        f"{window.assumed_tokens:.0f} assumed; known for {state.known_seconds:.1f} s"
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
