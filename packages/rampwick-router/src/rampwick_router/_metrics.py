"""Metrics, with histograms by workspace and class.

Label sets are bounded: workspaces come from the tree, classes and reasons are fixed
sets, upstreams come from the host list.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

#: Bounds in seconds for waits that callers feel.
WAIT_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 30.0)

#: Bounds in seconds between two pieces of an answer; 27 ms is the long-run target.
GAP_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.027, 0.05, 0.1, 0.25, 1.0, 5.0)

BY_WORKSPACE = ("workspace", "priority_class")


class Metrics:
    """All metrics of one daemon, in a registry of their own."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "rampwick_requests",
            "Requests by final answer.",
            (*BY_WORKSPACE, "answer"),
            registry=registry,
        )
        self.first_token = Histogram(
            "rampwick_first_token_seconds",
            "Time from the request's arrival to the first piece of its answer.",
            BY_WORKSPACE,
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self.token_gap = Histogram(
            "rampwick_token_gap_seconds",
            "Time between two pieces of an answer.",
            BY_WORKSPACE,
            buckets=GAP_BUCKETS,
            registry=registry,
        )
        self.queue_wait = Histogram(
            "rampwick_queue_wait_seconds",
            "Time from the request's arrival to its first dispatch.",
            BY_WORKSPACE,
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "rampwick_prompt_tokens",
            "Prompt tokens of whole answers, cached or recomputed.",
            (*BY_WORKSPACE, "source"),
            registry=registry,
        )
        self.answer_tokens = Counter(
            "rampwick_answer_tokens",
            "Tokens of whole answers.",
            BY_WORKSPACE,
            registry=registry,
        )
        self.attempts = Counter(
            "rampwick_attempts",
            "Attempts at upstreams by outcome.",
            ("upstream", "outcome"),
            registry=registry,
        )
        self.resumes = Counter(
            "rampwick_stream_resumes",
            "Broken streams taken up again at the same upstream.",
            registry=registry,
        )
        self.open_requests = Gauge(
            "rampwick_open_requests", "Requests without answer.", registry=registry
        )
        self.waiting_requests = Gauge(
            "rampwick_waiting_requests", "Requests in the queue.", registry=registry
        )
        self.used_tokens = Gauge(
            "rampwick_used_tokens",
            "Decayed priced tokens over all hosts heard of.",
            ("workspace",),
            registry=registry,
        )
        self.limit_used = Gauge(
            "rampwick_limit_used_tokens",
            "Tokens that all hosts sent within a limit's window, as far as known.",
            ("workspace",),
            registry=registry,
        )
        self.limit_allowed = Gauge(
            "rampwick_limit_allowed_tokens",
            "Tokens that a limit allows within its window.",
            ("workspace",),
            registry=registry,
        )
        self.request_rate = Gauge(
            "rampwick_upstream_request_rate",
            "Requests a second that an upstream says it takes from all hosts.",
            ("upstream",),
            registry=registry,
        )
        self.own_request_rate = Gauge(
            "rampwick_upstream_own_request_rate",
            "The part of it that this host may send.",
            ("upstream",),
            registry=registry,
        )
        self.suspects = Gauge(
            "rampwick_suspects",
            "Requests that upstreams ended under: none is done yet, they are kept "
            "apart, or they are stopped.",
            ("state",),
            registry=registry,
        )
        self.control_bytes = Counter(
            "rampwick_control_bytes",
            "Bytes of messages between hosts; scope is hall or across.",
            ("direction", "scope"),
            registry=registry,
        )
        self.control_messages = Counter(
            "rampwick_control_messages",
            "Messages between hosts; scope is hall or across.",
            ("direction", "scope"),
            registry=registry,
        )
        self.control_kinds = Counter(
            "rampwick_control_received",
            "Messages from other hosts by what they are.",
            ("kind",),
            registry=registry,
        )
        self.platform_calls = Gauge(
            "rampwick_platform_calls",
            "Calls to the platform by purpose.",
            ("purpose",),
            registry=registry,
        )
        self.connections_opened = Gauge(
            "rampwick_connections_opened",
            "Connections opened to upstreams by what they were opened for.",
            ("reason",),
            registry=registry,
        )
        self.roles = Gauge(
            "rampwick_role",
            "Whether this host has a role among the hosts: relay, reader, steward.",
            ("role",),
            registry=registry,
        )
        self.processor_seconds = Gauge(
            "rampwick_processor_seconds",
            "Processor time of this process.",
            registry=registry,
        )
        self.targets_age = Gauge(
            "rampwick_targets_age_seconds",
            "Age of this host's own reading of the weights that are wanted.",
            registry=registry,
        )
        self.outdated_runners = Gauge(
            "rampwick_outdated_runners",
            "Runners with older weights than this host believes to be wanted.",
            registry=registry,
        )
        self.store_era = Gauge(
            "rampwick_store_era",
            "Number of the store's restores from older copies, as its answers tell it.",
            registry=registry,
        )
        self.revision = Gauge(
            "rampwick_revision", "Revision of the tree in force.", registry=registry
        )
