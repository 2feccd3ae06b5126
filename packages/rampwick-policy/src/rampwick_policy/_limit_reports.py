"""Peers' reports on one limit, extrapolated to the present."""

import attrs

from rampwick_schema import LimitUsage, ReprMixin

#: Time ahead for which hosts report what will have left their windows.
LEAVING_SECONDS = 1.0

#: Age up to which a report is extrapolated, and up to which it then holds: an
#: unresponsive peer may still be sending. From there on it leaves the window.
CONTINUED_SECONDS = 1.0
HELD_SECONDS = 3.0

#: Part of a peer's sum that must be missing, with nothing to have left the window,
#: before it is taken for the sum of hosts that died: their requests have run all the
#: same. Less is a host that is counted in one report and not in the next.
LOST_RATIO = 0.1


@attrs.frozen(repr=False)
class _Report(ReprMixin):
    """A peer's last report, with the time at which it held."""

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
        """Return whether the peer is surely alive."""
        return now_seconds - self.at_seconds < HELD_SECONDS


class PeerReports:
    """The newest report of each peer, and what hosts had sent that died."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._reports: dict[str, _Report] = {}
        self._lost: list[_Report] = []

    def __bool__(self) -> bool:
        return bool(self._reports)

    def take(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Take a peer's report."""
        known = self._reports.get(peer)
        if known is not None:
            missing = known.kept_tokens(at_seconds, self._window_seconds)
            missing -= usage.sent_tokens
            if missing > LOST_RATIO * known.usage.sent_tokens:
                lost = LimitUsage(usage.path, round(missing))
                self._lost.append(_Report(lost, at_seconds))
        self._reports[peer] = _Report(usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop a peer's report, since another peer reports for it."""
        self._reports.pop(peer, None)

    def expire(self, now_seconds: float) -> None:
        """Drop the reports of which nothing can be within the window any more."""
        oldest_seconds = now_seconds - self._window_seconds - HELD_SECONDS
        self._lost = [
            report for report in self._lost if report.at_seconds > oldest_seconds
        ]
        for peer, report in list(self._reports.items()):
            if report.at_seconds <= oldest_seconds:
                del self._reports[peer]

    @property
    def asked_tokens(self) -> float:
        """Tokens that peers are asked for, a second."""
        return sum(report.usage.asked_tokens for report in self._reports.values())

    @property
    def leaving_tokens(self) -> float:
        """Tokens that leave peers' windows, a second."""
        return sum(report.usage.leaving_tokens for report in self._reports.values())

    def sent_tokens(
        self, admit_ratio: float, only_fresh: bool, now_seconds: float
    ) -> float:
        """Return what peers have sent within the window by now, as far as known.

        ``admit_ratio`` is the part that they are assumed to have admitted since;
        ``only_fresh`` leaves out those that are not surely alive.
        """
        reports = [*self._reports.values(), *self._lost]
        if only_fresh:
            reports = [
                report
                for report in self._reports.values()
                if report.is_fresh(now_seconds)
            ]
        return sum(
            report.sent_tokens(admit_ratio, self._window_seconds, now_seconds)
            for report in reports
        )
