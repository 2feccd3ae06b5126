"""Reports of peers on one limit, extrapolated to the current time."""

from collections.abc import Iterable

import attrs

from rampwick_schema import LimitUsage, ReprMixin

#: Look-ahead for which hosts report the tokens that will expire from their windows.
EXPIRY_HORIZON_SECONDS = 1.0

#: Age up to which a report is extrapolated, and age up to which its last value is then
#: held, since an unresponsive peer may still be sending. After that the value decays.
EXTRAPOLATION_SECONDS = 1.0
ALIVE_SECONDS = 3.0

#: Minimum unexplained drop in the sum that a peer reports, as a share of the sum, that
#: is attributed to crashed hosts; the requests that they sent still count. A smaller
#: drop is attributed to a host that is only missing from one report.
LOST_RATIO = 0.1


@attrs.frozen(repr=False)
class _Report(ReprMixin):
    """The last report of a peer and the time at which it was current."""

    usage: LimitUsage
    at_seconds: float

    def sent_tokens(
        self, admit_ratio: float, window_seconds: float, now_seconds: float
    ) -> float:
        """Return the estimated tokens that the peer has sent within the window."""
        age_seconds = max(0.0, now_seconds - self.at_seconds)
        extrapolated_seconds = min(age_seconds, EXTRAPOLATION_SECONDS)
        usage = self.usage
        growth = admit_ratio * usage.asked_tokens - usage.leaving_tokens
        tokens = max(0.0, usage.sent_tokens + growth * extrapolated_seconds)
        decay_seconds = max(0.0, age_seconds - ALIVE_SECONDS)
        return tokens * max(0.0, 1.0 - decay_seconds / window_seconds)

    def remaining_tokens(self, at_seconds: float, window_seconds: float) -> float:
        """Return the reported tokens that are still within the window at a time."""
        since_seconds = max(0.0, at_seconds - self.at_seconds)
        reported_seconds = min(since_seconds, EXPIRY_HORIZON_SECONDS)
        tokens = self.usage.sent_tokens - self.usage.leaving_tokens * reported_seconds
        unreported_seconds = since_seconds - reported_seconds
        return tokens * max(0.0, 1.0 - unreported_seconds / window_seconds)

    def is_fresh(self, now_seconds: float) -> bool:
        """Return whether the report is recent enough for the peer to be alive."""
        return now_seconds - self.at_seconds < ALIVE_SECONDS


class PeerReports:
    """The newest report of each peer, and the usage of crashed hosts."""

    def __init__(self, window_seconds: float) -> None:
        self._window_seconds = window_seconds
        self._reports: dict[str, _Report] = {}
        self._lost: list[_Report] = []

    def __bool__(self) -> bool:
        return bool(self._reports)

    def record(self, peer: str, usage: LimitUsage, at_seconds: float) -> None:
        """Record the report of a peer."""
        known = self._reports.get(peer)
        if known is not None:
            missing = known.remaining_tokens(at_seconds, self._window_seconds)
            missing -= usage.sent_tokens
            if missing > LOST_RATIO * known.usage.sent_tokens:
                lost = LimitUsage(usage.path, round(missing))
                self._lost.append(_Report(lost, at_seconds))
        self._reports[peer] = _Report(usage, at_seconds)

    def forget(self, peer: str) -> None:
        """Drop the report of a peer; another peer now reports on its behalf."""
        self._reports.pop(peer, None)

    def expire(self, now_seconds: float) -> None:
        """Drop reports that are older than the window."""
        oldest_seconds = now_seconds - self._window_seconds - ALIVE_SECONDS
        self._lost = [
            report for report in self._lost if report.at_seconds > oldest_seconds
        ]
        for peer, report in list(self._reports.items()):
            if report.at_seconds <= oldest_seconds:
                del self._reports[peer]

    def reported_tokens(self, admit_ratio: float, now_seconds: float) -> float:
        """Return the estimated tokens that the peers have sent within the window."""
        return self._sum(self._reports.values(), admit_ratio, now_seconds)

    def remembered_tokens(self, now_seconds: float) -> float:
        """Return the tokens that ended hosts have sent within the window."""
        return self._sum(self._lost, 0.0, now_seconds)

    def _sum(
        self, reports: Iterable[_Report], admit_ratio: float, now_seconds: float
    ) -> float:
        return sum(
            report.sent_tokens(admit_ratio, self._window_seconds, now_seconds)
            for report in reports
        )

    def sent_tokens(
        self, admit_ratio: float, only_fresh: bool, now_seconds: float
    ) -> float:
        """Return the estimated tokens that the peers have sent within the window.

        ``admit_ratio`` is the ratio of requests that they are assumed to have admitted
        since their reports; ``only_fresh`` excludes peers with an old report.
        """
        reports = [*self._reports.values(), *self._lost]
        if only_fresh:
            reports = [
                report
                for report in self._reports.values()
                if report.is_fresh(now_seconds)
            ]
        return self._sum(reports, admit_ratio, now_seconds)
