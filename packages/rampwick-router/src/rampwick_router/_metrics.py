"""Prometheus metrics, with histograms by workspace and priority class.

Label sets are bounded: workspaces come from the tree, upstreams from the host list, and
classes and reasons are fixed sets.
"""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from rampwick_policy import AnswerTimings, LateCause

#: Histogram buckets in seconds for latencies that callers experience.
WAIT_BUCKETS = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5.0, 10.0, 30.0)

#: Histogram buckets in seconds for the gap between two chunks of a response; 27 ms is
#: the long-run target.
GAP_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.02, 0.027, 0.05, 0.1, 0.25, 1.0, 5.0)

#: Histogram buckets in seconds for the longest pause or stay of an answer; 0.4 s and
#: 0.8 s are usual pause targets.
PAUSE_BUCKETS = (0.005, 0.02, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2.5, 5.0)

#: Histogram buckets in seconds for the error of a start estimate; negative if a request
#: started earlier than expected.
ERROR_BUCKETS = (-5.0, -2.0, -1.0, -0.5, -0.2, -0.05, 0.05, 0.2, 0.5, 1.0, 2.0, 5.0)

BY_WORKSPACE = ("workspace", "priority_class")


class Metrics:
    """All metrics of one daemon, in a separate registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        registry = self.registry
        self.requests = Counter(
            "rampwick_requests",
            "Requests by final response.",
            (*BY_WORKSPACE, "answer"),
            registry=registry,
        )
        self.first_token = Histogram(
            "rampwick_first_token_seconds",
            "Time from the arrival of a request to the first chunk of its response.",
            BY_WORKSPACE,
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self.token_gap = Histogram(
            "rampwick_token_gap_seconds",
            "Time between two chunks of a response.",
            BY_WORKSPACE,
            buckets=GAP_BUCKETS,
            registry=registry,
        )
        self.queue_wait = Histogram(
            "rampwick_queue_wait_seconds",
            "Time from the arrival of a request to its first dispatch.",
            BY_WORKSPACE,
            buckets=WAIT_BUCKETS,
            registry=registry,
        )
        self.longest_pause = Histogram(
            "rampwick_longest_pause_seconds",
            "Longest time between two events of an answer as they arrived here.",
            BY_WORKSPACE,
            buckets=PAUSE_BUCKETS,
            registry=registry,
        )
        self.longest_stay = Histogram(
            "rampwick_longest_stay_seconds",
            "Longest time from the arrival of an answer's event to the end of its "
            "write.",
            BY_WORKSPACE,
            buckets=PAUSE_BUCKETS,
            registry=registry,
        )
        self.late_answers = Counter(
            "rampwick_late_answers",
            "Answers that missed a target of their route, by cause.",
            (*BY_WORKSPACE, "cause"),
            registry=registry,
        )
        self.prompt_tokens = Counter(
            "rampwick_prompt_tokens",
            "Prompt tokens of completed requests, cached or recomputed.",
            (*BY_WORKSPACE, "source"),
            registry=registry,
        )
        self.answer_tokens = Counter(
            "rampwick_answer_tokens",
            "Output tokens of completed requests.",
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
            "Broken streams resumed at the same upstream.",
            registry=registry,
        )
        self.open_requests = Gauge(
            "rampwick_open_requests", "Requests in progress.", registry=registry
        )
        self.waiting_requests = Gauge(
            "rampwick_waiting_requests", "Requests in the queue.", registry=registry
        )
        self.used_tokens = Gauge(
            "rampwick_used_tokens",
            "Decayed weighted token usage over all known hosts.",
            ("workspace",),
            registry=registry,
        )
        self.limit_used = Gauge(
            "rampwick_limit_used_tokens",
            "Tokens used on all hosts within a limit's window, as far as known.",
            ("workspace",),
            registry=registry,
        )
        self.limit_allowed = Gauge(
            "rampwick_limit_allowed_tokens",
            "Tokens that a limit allows within its window.",
            ("workspace",),
            registry=registry,
        )
        self.limit_window = Gauge(
            "rampwick_limit_window_tokens",
            "Tokens of a limit's window by how this host knows of them.",
            ("workspace", "source"),
            registry=registry,
        )
        self.limit_level = Gauge(
            "rampwick_limit_level_tokens",
            "Level of a limit's bucket, which all hosts fill.",
            ("workspace",),
            registry=registry,
        )
        self.limit_capacity = Gauge(
            "rampwick_limit_capacity_tokens",
            "Level of a limit's bucket up to which requests are admitted.",
            ("workspace",),
            registry=registry,
        )
        self.limit_report_age = Gauge(
            "rampwick_limit_report_age_seconds",
            "Age of the oldest report of a live peer on a limit.",
            ("workspace",),
            registry=registry,
        )
        self.request_rate = Gauge(
            "rampwick_upstream_request_rate",
            "Request rate limit reported by an upstream, for all hosts together.",
            ("upstream",),
            registry=registry,
        )
        self.own_request_rate = Gauge(
            "rampwick_upstream_own_request_rate",
            "This host's share of an upstream's request rate limit.",
            ("upstream",),
            registry=registry,
        )
        self.short_prompt_runners = Gauge(
            "rampwick_short_prompt_runners",
            "Runners of a service that are preferred for short prompts.",
            ("service",),
            registry=registry,
        )
        self.against_preference = Gauge(
            "rampwick_prompts_against_preference",
            "Prompts sent to runners that are not preferred for their length.",
            ("service",),
            registry=registry,
        )
        self.ignored_demands = Gauge(
            "rampwick_ignored_prefill_demands",
            "Summaries of peers whose prefill demand was not plausible.",
            registry=registry,
        )
        self.streams_taken_up = Gauge(
            "rampwick_streams_taken_up",
            "Streams that callers took up, by how their software version was found.",
            ("found",),
            registry=registry,
        )
        self.early_refusals = Gauge(
            "rampwick_early_refusals",
            "Requests refused by an estimate of their start: on arrival, at the check "
            "within their target, or in favour of an urgent one.",
            ("service", "moment"),
            registry=registry,
        )
        self.estimate_error = Histogram(
            "rampwick_start_estimate_error_seconds",
            "Actual minus expected start of requests that waited.",
            buckets=ERROR_BUCKETS,
            registry=registry,
        )
        self.ignored_reports = Gauge(
            "rampwick_ignored_queue_reports",
            "Reports on queues and loads ignored as too old or implausible.",
            registry=registry,
        )
        self.suspects = Gauge(
            "rampwick_suspects",
            "Requests during which upstreams crashed, by state: suspected, isolated "
            "from other suspected requests, or quarantined.",
            ("state",),
            registry=registry,
        )
        self.handed_on = Counter(
            "rampwick_connections_handed_on",
            "Callers' connections closed unread, so that a less busy host serves them.",
            registry=registry,
        )
        self.denied = Counter(
            "rampwick_requests_denied",
            "Requests that were not submitted, by the code of their error.",
            ("code",),
            registry=registry,
        )
        self.connections_ended = Counter(
            "rampwick_connections_ended_holding_bytes",
            "Callers' connections that this host ended with bytes unread, unparsed "
            "or unsent.",
            ("kind",),
            registry=registry,
        )
        self.caller_memory = Gauge(
            "rampwick_caller_memory",
            "Bytes and connections that callers hold, now and at peak, and the bounds.",
            ("kind",),
            registry=registry,
        )
        self.callers_limited = Counter(
            "rampwick_callers_limited",
            "Callers' connections and requests that were ended or refused by a bound "
            "on what callers hold or send, by the bound.",
            ("bound",),
            registry=registry,
        )
        self.unanswered = Counter(
            "rampwick_requests_unanswered",
            "Requests that ended without a complete response, by reason.",
            ("reason",),
            registry=registry,
        )
        self.control_bytes = Counter(
            "rampwick_control_bytes",
            "Bytes of messages between hosts, within a hall or across halls.",
            ("direction", "scope"),
            registry=registry,
        )
        self.control_messages = Counter(
            "rampwick_control_messages",
            "Messages between hosts, within a hall or across halls.",
            ("direction", "scope"),
            registry=registry,
        )
        self.control_kinds = Counter(
            "rampwick_control_received",
            "Messages from other hosts by type.",
            ("kind",),
            registry=registry,
        )
        self.platform_calls = Gauge(
            "rampwick_platform_calls",
            "Calls to the platform by purpose.",
            ("purpose",),
            registry=registry,
        )
        self.platform_calls_waiting = Gauge(
            "rampwick_platform_calls_waiting",
            "Calls to the platform that wait for the call budget.",
            registry=registry,
        )
        self.connections_opened = Gauge(
            "rampwick_connections_opened",
            "Connections opened to upstreams by reason.",
            ("reason",),
            registry=registry,
        )
        self.answers_ended = Counter(
            "rampwick_answers_ended",
            "Answers of upstreams ended by a bound on their bytes.",
            ("upstream", "bound"),
            registry=registry,
        )
        self.buffered_bytes = Gauge(
            "rampwick_buffered_bytes",
            "Bytes of answers that are buffered: held now, at peak, and the bound.",
            ("kind",),
            registry=registry,
        )
        self.configuration_problems = Gauge(
            "rampwick_configuration_problems",
            "Parts of the newest configuration read here that are not in force as "
            "written.",
            registry=registry,
        )
        self.unread_records = Gauge(
            "rampwick_unread_records",
            "Records of a kind that can't be read, while the others are.",
            ("kind",),
            registry=registry,
        )
        self.list_age = Gauge(
            "rampwick_list_age_seconds",
            "Time since a list was last confirmed as the newest.",
            ("kind",),
            registry=registry,
        )
        self.unusable_routes = Gauge(
            "rampwick_unusable_routes",
            "Routes in force whose requests can't be served.",
            registry=registry,
        )
        self.unexpected_errors = Gauge(
            "rampwick_unexpected_errors",
            "Unexpected errors that were contained, by the task in which they came.",
            ("task",),
            registry=registry,
        )
        self.roles = Gauge(
            "rampwick_role",
            "Whether this host has a role: relay, reader, steward.",
            ("role",),
            registry=registry,
        )
        self.processor_seconds = Gauge(
            "rampwick_processor_seconds",
            "CPU time of this process.",
            registry=registry,
        )
        self.targets_age = Gauge(
            "rampwick_targets_age_seconds",
            "Time since this host itself read the target versions of weights.",
            registry=registry,
        )
        self.outdated_runners = Gauge(
            "rampwick_outdated_runners",
            "Runners with weights older than the known target version.",
            registry=registry,
        )
        self.unreachable_services = Gauge(
            "rampwick_unreachable_services",
            "Services of which this host reaches no upstream.",
            registry=registry,
        )
        self.tunnels = Gauge(
            "rampwick_tunnels",
            "Open connections to upstreams through another host, by the side of this "
            "host: opened or served.",
            ("side",),
            registry=registry,
        )
        self.store_era = Gauge(
            "rampwick_store_era",
            "Number of restores of the store from older copies, as the store reports.",
            registry=registry,
        )
        self.revision = Gauge(
            "rampwick_revision", "Revision of the tree in force.", registry=registry
        )

    def observe_timings(
        self,
        timings: AnswerTimings,
        late_cause: LateCause | None,
        labels: tuple[str, str],
    ) -> None:
        """Record the timings of a complete answer."""
        self.longest_pause.labels(*labels).observe(timings.longest_pause_seconds)
        self.longest_stay.labels(*labels).observe(timings.longest_stay_seconds)
        if late_cause is not None:
            self.late_answers.labels(*labels, late_cause.value).inc()
