"""All limits in tokens of a host: what is counted, and who may go."""

import math
import random
from collections.abc import Iterable, Mapping

import attrs

from rampwick_schema import LimitUsage, QuotaSettings, ReprMixin, Summary

from . import _events as ev
from ._fleet_limit import FleetLimit, FleetTerms, OverLimit, allowed_tokens
from ._tree import LimitedNode, Workspace

#: Age of what a fleet knows up to which its first requests wait for what all are asked.
YOUNG_SECONDS = 3.0

#: Time for which a host that hears nobody counts those that it heard: where its relay
#: or its own role is another, the next word is a moment away, and with 90 hosts its
#: own part of a limit is less than one long prompt.
ALONE_SECONDS = 1.5

#: Time for which hosts that fell silent may still be serving callers somewhere, as long
#: as keys are usually honoured without confirmation: for so long those that hear each
#: other keep to their part of each limit.
SERVING_SECONDS = 5.0

#: The same for the smaller part of a fleet, which may itself be what was cut off.
MISSING_SECONDS = 10.0
MINORITY_RATIO = 0.5


@attrs.frozen(repr=False)
class Counted(ReprMixin):
    """What a request counts towards one limit, and from when."""

    path: str
    tokens: float
    at_seconds: float


@attrs.frozen(repr=False)
class LimitState(ReprMixin):
    """One limit as operators are shown it."""

    path: str
    allowed_tokens: float
    used_tokens: float
    admit_ratio: float
    #: Part of the limit that the hosts heard here may use.
    part_ratio: float
    #: Whether requests were refused because of it within the last second.
    is_binding: bool


class LimitBook:
    """Limits by path, and what counts towards them."""

    def __init__(self, settings: QuotaSettings, host: str) -> None:
        self._settings = settings
        self._draw = random.Random(host)
        self._limits: dict[str, FleetLimit] = {}
        #: Limits that each peer named last.
        self._said: dict[str, frozenset[str]] = {}
        #: Since when somebody who is alive has been counting.
        self._known_since_seconds = math.inf
        self._hosts_count = 1
        self._most_hosts_count = 1
        self._most_at_seconds = 0.0
        self._heard_at_seconds = -math.inf

    def apply(self, workspaces: Mapping[str, Workspace], now_seconds: float) -> None:
        """Take the limits of a tree; what was counted stays."""
        self.known_seconds(now_seconds)
        limits = {
            limit.path: limit
            for workspace in workspaces.values()
            for limit in workspace.limits
            if limit.tokens_per_second is not None
        }
        self._limits = {
            path: self._changed(limit, now_seconds) for path, limit in limits.items()
        }

    def _changed(self, limit: LimitedNode, now_seconds: float) -> FleetLimit:
        window_seconds = self._settings.window_seconds
        known = self._limits.get(limit.path)
        if known is None:
            return FleetLimit(limit, window_seconds, self._draw)
        known.change(limit, window_seconds, now_seconds)
        return known

    # What requests count.

    def hold_seconds(self, event: ev.RequestArrived, now_seconds: float) -> float:
        """Return how long a request waits for what the fleet is asked, as a whole.

        Nothing, but for the first moments of a fleet in which nobody knows anything.
        """
        if self.known_seconds(now_seconds) > YOUNG_SECONDS:
            return 0.0
        return max(
            (
                known.hold_seconds(
                    _counted_tokens(limit, event),
                    self._settings.window_seconds,
                    now_seconds,
                )
                for limit in event.workspace.limits
                if (known := self._limits.get(limit.path)) is not None
            ),
            default=0.0,
        )

    def ask(
        self, event: ev.RequestArrived, now_seconds: float
    ) -> OverLimit | list[Counted]:
        """Count a request that arrives; return why it may not go."""
        counted: list[Counted] = []
        for limit in event.workspace.limits:
            known = self._limits.get(limit.path)
            if known is None:
                continue
            tokens = _counted_tokens(limit, event)
            if not event.was_held:
                known.note_asked(tokens, now_seconds)
            over = known.ask(tokens, self._terms(now_seconds), now_seconds)
            if over is not None:
                self.give_back(counted)
                return over
            counted.append(Counted(limit.path, tokens, now_seconds))
        return counted

    def note_sent(
        self, counted: Iterable[Counted], is_again: bool, now_seconds: float
    ) -> list[Counted]:
        """Note that a request is sent now; return what it counts from then on."""
        moved = []
        for item in counted:
            limit = self._limits.get(item.path)
            if limit is None:
                continue
            if is_again:
                limit.count_again(item.tokens, now_seconds)
            else:
                limit.move(item.tokens, item.at_seconds, now_seconds)
            moved.append(attrs.evolve(item, at_seconds=now_seconds))
        return moved

    def give_back(self, counted: Iterable[Counted]) -> None:
        """Count a request no more that surely did not run."""
        for item in counted:
            limit = self._limits.get(item.path)
            if limit is not None:
                limit.give_back(item.tokens, item.at_seconds)

    # What peers say and are told.

    def words(self, now_seconds: float) -> list[LimitUsage]:
        """Return what peers are told of this host's windows."""
        words = (limit.word(now_seconds) for limit in self._limits.values())
        return [word for word in words if word is not None]

    def has_surged(self, workspace: Workspace, now_seconds: float) -> bool:
        """Return whether peers are to hear at once of what a workspace asks here."""
        if not workspace.limits:
            return False
        terms = self._terms(now_seconds)
        limits = (self._limits.get(limit.path) for limit in workspace.limits)
        return any(
            limit.has_surged(terms, now_seconds)
            for limit in limits
            if limit is not None
        )

    def known_seconds(self, now_seconds: float) -> float:
        """Return for how long somebody who is alive has been counting."""
        self._known_since_seconds = min(self._known_since_seconds, now_seconds)
        return now_seconds - self._known_since_seconds

    def hear(
        self, peer: str, summary: Summary, age_seconds: float, now_seconds: float
    ) -> None:
        """Take a peer's word, which is that old already."""
        since_seconds = now_seconds - age_seconds - summary.limits_known_seconds
        self._known_since_seconds = min(self._known_since_seconds, since_seconds)
        said = {usage.path: usage for usage in summary.limits}
        # A peer that names a limit no more has nothing left in its window.
        for path in said.keys() | self._said.get(peer, frozenset()):
            limit = self._limits.get(path)
            if limit is not None:
                usage = said.get(path) or LimitUsage(path, 0)
                limit.hear(peer, usage, now_seconds - age_seconds)
        self._said[peer] = frozenset(said)

    def forget(self, peer: str) -> None:
        """Drop what a peer said, since another one speaks for it."""
        self._said.pop(peer, None)
        for limit in self._limits.values():
            limit.forget(peer)

    def note_members(self, count: int, now_seconds: float) -> None:
        """Note how many hosts are known, heard or not.

        One that has just started and hears nobody yet is not the whole fleet.
        """
        if count > self._most_hosts_count:
            self._most_hosts_count = count
            self._most_at_seconds = now_seconds

    def note_time(self, hosts_count: int, now_seconds: float) -> None:
        """Note the present time and the hosts that hear each other."""
        self.known_seconds(now_seconds)
        if hosts_count > 1:
            self._heard_at_seconds = now_seconds
        elif now_seconds - self._heard_at_seconds < ALONE_SECONDS:
            hosts_count = self._hosts_count
        self._hosts_count = hosts_count
        is_old = now_seconds - self._most_at_seconds > MISSING_SECONDS
        if hosts_count >= self._most_hosts_count or is_old:
            self._most_hosts_count = hosts_count
            self._most_at_seconds = now_seconds
        for limit in self._limits.values():
            limit.expire(now_seconds)

    def states(self, now_seconds: float) -> list[LimitState]:
        """Return how each limit stands."""
        return [self.state(path, now_seconds) for path in sorted(self._limits)]

    def state(self, path: str, now_seconds: float) -> LimitState:
        """Return how one limit stands."""
        limit, terms = self._limits[path], self._terms(now_seconds)
        return LimitState(
            path,
            allowed_tokens(limit.limit, terms.window_seconds),
            limit.used_tokens(terms, now_seconds),
            limit.admit_ratio,
            terms.part_ratio,
            limit.is_binding(now_seconds),
        )

    def bindings(self, now_seconds: float) -> list[tuple[str, bool]]:
        """Return the paths of all limits, each with whether it binds."""
        return [
            (path, limit.is_binding(now_seconds))
            for path, limit in sorted(self._limits.items())
        ]

    def part_ratio(self, now_seconds: float) -> float:
        """Return the part of each limit that the hosts heard here may use."""
        ratio = self._hosts_count / self._most_hosts_count
        missing_seconds = now_seconds - self._most_at_seconds
        if ratio >= MINORITY_RATIO and missing_seconds > SERVING_SECONDS:
            return 1.0
        return ratio

    def _terms(self, now_seconds: float) -> FleetTerms:
        settings = self._settings
        known_seconds = self.known_seconds(now_seconds)
        return FleetTerms(
            settings.window_seconds,
            settings.over_ratio,
            settings.slack_tokens,
            self.part_ratio(now_seconds),
            max(0.0, settings.window_seconds - known_seconds),
        )


def _counted_tokens(limit: LimitedNode, event: ev.RequestArrived) -> float:
    """Return what a request counts: as its caller names it, no matter what it costs."""
    if limit.counts_requests:
        return 1.0
    if event.named_tokens is not None:
        return float(event.named_tokens)
    if event.chain is not None:
        return float(event.chain.total_tokens + event.max_answer_tokens)
    return limit.plain_tokens
