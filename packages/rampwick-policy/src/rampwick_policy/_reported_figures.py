"""Bounds on the figures that runners and peers report.

Messages are checked against the schema for their lower bounds. A figure above these
bounds is an error of its sender and is ignored: believed, it would make a runner always
preferred or always full, or a fleet seem huge.
"""

import attrs

from rampwick_schema import LoadReport, Summary, UpstreamUsage

#: Largest plausible report for one service and rank. Ten times the requests that the
#: queues of a hundred hosts hold, and as many prompts of 100,000 tokens.
MAX_REPORTED_REQUESTS = 1_000_000
MAX_REPORTED_TOKENS = 100_000_000_000

#: Far above what engines batch and compute, and above the largest fleets.
MAX_SLOTS_COUNT = 100_000
MAX_TOKENS_PER_SECOND = 1e9
MAX_HOSTS_COUNT = 10_000


def is_plausible_report(report: LoadReport) -> bool:
    """Return whether a runner may have these slots, this speed and this load."""
    return (
        report.slots_count <= MAX_SLOTS_COUNT
        and report.running_count <= MAX_REPORTED_REQUESTS
        and report.prefill_tokens_per_second <= MAX_TOKENS_PER_SECOND
    )


def without_implausible(summary: Summary) -> Summary:
    """Return a peer's summary without figures that can't be true."""
    usages = [usage for usage in summary.upstreams if _is_plausible_usage(usage)]
    hosts_count = summary.hosts_count
    if len(usages) == len(summary.upstreams) and hosts_count <= MAX_HOSTS_COUNT:
        return summary
    return attrs.evolve(
        summary,
        upstreams=usages,
        hosts_count=hosts_count if hosts_count <= MAX_HOSTS_COUNT else 1,
    )


def _is_plausible_usage(usage: UpstreamUsage) -> bool:
    return (
        usage.running_count <= MAX_REPORTED_REQUESTS
        and usage.waiting_tokens <= MAX_REPORTED_TOKENS
    )
