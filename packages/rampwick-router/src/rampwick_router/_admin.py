"""The operators' HTTP interface: health, metrics, status, explain, drain, profile."""

import math
import resource
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from rampwick_policy import (
    Dispatch,
    LimitState,
    PrefillIsolation,
    QuarantineState,
    Scheduler,
    UpstreamRateState,
)

from ._lifecycle import Lifecycle
from ._logs import ComponentLogger
from ._metrics import Metrics
from ._profile import MAX_PROFILE_SECONDS, Profiler
from ._scheduler_task import Decision
from ._unexpected_errors import unexpected_error_counts
from ._unread_records import UnreadRecords
from .control import ConfigurationTask, HostListTask, RolloutController
from .entry import EntryContext
from .peers import RolesView, TunnelsView

log = ComponentLogger("admin")


#: Age from which a list that was confirmed before counts as standing still: several
#: watches long.
STALE_LIST_SECONDS = 10.0

#: Maximum number of problems of the configuration in the status.
MAX_LISTED_PROBLEMS = 50


def _ignore_drain(is_urgent: bool) -> None:
    return


class AdminApp:
    """Builds the ASGI application for operators."""

    def __init__(
        self,
        context: EntryContext,
        lifecycle: Lifecycle,
        configuration: ConfigurationTask,
        hosts: HostListTask,
        rollout_controller: RolloutController,
        read_platform_calls: Callable[[], Mapping[str, int]],
        read_platform_calls_waiting: Callable[[], int],
        read_store_era: Callable[[], int],
        read_roles: Callable[[], RolesView],
        read_tunnels: Callable[[], TunnelsView],
        read_unread: Callable[[], Mapping[str, UnreadRecords]],
        read_clock: Callable[[], float],
        needs_configuration: bool,
    ) -> None:
        self._context = context
        self._needs_configuration = needs_configuration
        self._lifecycle = lifecycle
        self._configuration = configuration
        self._hosts = hosts
        self._rollout_controller = rollout_controller
        self._read_platform_calls = read_platform_calls
        self._read_platform_calls_waiting = read_platform_calls_waiting
        self._read_store_era = read_store_era
        self._read_roles = read_roles
        self._read_tunnels = read_tunnels
        self._read_unread = read_unread
        self._read_clock = read_clock
        self._profiler = Profiler()
        self._was_drain_requested = False
        #: Called for a drain request, with whether it is to force the shutdown.
        self.on_drain: Callable[[bool], None] = _ignore_drain
        self.app = Starlette(
            routes=[
                Route("/healthz", self._healthz),
                Route("/readyz", self._readyz),
                Route("/metrics", self._metrics),
                Route("/status", self._status),
                Route("/explain/{request_id:path}", self._explain),
                Route("/drain", self._drain, methods=["POST"]),
                Route("/profile", self._profile, methods=["POST"]),
                Route("/suspects", self._list_suspects),
                Route(
                    "/suspects/{fingerprint}", self._clear_suspect, methods=["DELETE"]
                ),
            ]
        )

        #: Serves only the readiness check, on a listener for a load balancer.
        self.ready_app = Starlette(routes=[Route("/readyz", self._readyz)])

    async def _healthz(self, request: Request) -> Response:
        return Response("ok\n")

    async def _readyz(self, request: Request) -> Response:
        if not self._lifecycle.is_ready:
            return Response("leaving\n", status_code=503)
        if self._lacks_configuration:
            return Response("no configuration yet\n", status_code=503)
        return Response("ready\n")

    @property
    def _lacks_configuration(self) -> bool:
        # Where all requests are routed by the configuration, a host without one would
        # reject them all. Rampwick's native paths can be served without routes.
        return self._needs_configuration and not self._context.follower.revision

    async def _metrics(self, request: Request) -> Response:
        metrics = self._context.metrics
        used = self._context.scheduler.run_query(_read_used_tokens)
        for path, tokens in used.items():
            metrics.used_tokens.labels(path).set(tokens)
        for state in self._context.scheduler.run_query(_read_limits):
            metrics.limit_used.labels(state.path).set(state.used_tokens)
            metrics.limit_allowed.labels(state.path).set(state.allowed_tokens)
            _set_limit_window(metrics, state)
        metrics.request_rate.clear()
        metrics.own_request_rate.clear()
        for rate in self._context.scheduler.run_query(_read_request_rates):
            metrics.request_rate.labels(rate.upstream).set(rate.requests_per_second)
            own_rate = rate.own_requests_per_second
            metrics.own_request_rate.labels(rate.upstream).set(own_rate)
        isolation = self._context.scheduler.run_query(_read_prefill_isolation)
        for service, count in isolation.subset_sizes().items():
            metrics.short_prompt_runners.labels(service).set(count)
        for service, count in isolation.against_preference_counts().items():
            metrics.against_preference.labels(service).set(count)
        metrics.ignored_demands.set(isolation.ignored_count)
        self._context.scheduler.run_query(self._observe_scheduler)
        for state, count in self._context.scheduler.run_query(_count_suspects).items():
            metrics.suspects.labels(state).set(count)
        unreachable = self._context.scheduler.run_query(_read_unreachable)
        metrics.unreachable_services.set(len(unreachable))
        open_count, waiting_count = self._context.scheduler.run_query(_read_counts)
        metrics.open_requests.set(open_count)
        metrics.waiting_requests.set(waiting_count)
        metrics.revision.set(self._context.follower.revision)
        metrics.store_era.set(self._read_store_era())
        metrics.targets_age.set(self._context.scheduler.targets_age_seconds())
        metrics.outdated_runners.set(self._rollout_controller.outdated_count())
        for purpose, count in self._read_platform_calls().items():
            metrics.platform_calls.labels(purpose).set(count)
        metrics.platform_calls_waiting.set(self._read_platform_calls_waiting())
        for reason, count in self._context.connection_pool.opened_counts().items():
            metrics.connections_opened.labels(reason).set(count)
        for kind, count in self._context.connection_pool.buffers.describe().items():
            metrics.buffered_bytes.labels(kind).set(count)
        for kind, count in self._context.caller_memory.describe().items():
            metrics.caller_memory.labels(kind).set(count)
        metrics.configuration_problems.set(len(self._configuration.part_problems))
        for kind, unread in self._read_unread().items():
            metrics.unread_records.labels(kind).set(len(unread.errors))
        for kind, age_seconds in self._list_ages().items():
            metrics.list_age.labels(kind).set(age_seconds)
        metrics.unusable_routes.set(len(self._list_unusable_routes()))
        for task, count in unexpected_error_counts().items():
            metrics.unexpected_errors.labels(task).set(count)
        tunnels = self._read_tunnels()
        metrics.tunnels.labels("opened").set(sum(tunnels.opened.values()))
        metrics.tunnels.labels("served").set(tunnels.served_count)
        roles = self._read_roles()
        metrics.roles.labels("relay").set(roles.is_relay)
        metrics.roles.labels("reader").set(roles.is_reader)
        metrics.roles.labels("steward").set(self._rollout_controller.is_holder)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        metrics.processor_seconds.set(usage.ru_utime + usage.ru_stime)
        body = generate_latest(metrics.registry)
        return Response(body, media_type=CONTENT_TYPE_LATEST)

    def _observe_scheduler(self, scheduler: Scheduler, now_seconds: float) -> None:
        taken_up = scheduler.software_versions.resumed_counts
        for found, count in taken_up.items():
            self._context.metrics.streams_taken_up.labels(found).set(count)
        metrics, refusals = self._context.metrics, scheduler.early_refusals
        for labels, count in refusals.refused_counts.items():
            metrics.early_refusals.labels(*labels).set(count)
        for error_seconds in refusals.learning.take_errors():
            metrics.estimate_error.observe(error_seconds)
        metrics.ignored_reports.set(refusals.estimates.ignored_count)

    async def _status(self, request: Request) -> Response:
        status = self._context.scheduler.run_query(_read_status)
        host = self._context.settings.host
        status["host"] = attrs.asdict(host)
        status["is_ready"] = self._lifecycle.is_ready
        status["revision"] = self._context.follower.revision
        status["revision_era"] = self._context.follower.version.store_era
        status["revision_source"] = self._context.follower.source
        status["store_era"] = self._read_store_era()
        status["lease"] = self._describe_lease()
        status["roles"] = attrs.asdict(self._read_roles())
        status["tunnels"] = attrs.asdict(self._read_tunnels())
        status["platform_calls"] = dict(self._read_platform_calls())
        status["connections_opened"] = self._context.connection_pool.opened_counts()
        status["buffered_bytes"] = self._context.connection_pool.buffers.describe()
        status["caller_memory"] = self._context.caller_memory.describe()
        status["unexpected_errors"] = unexpected_error_counts()
        status["configuration_problems"] = list(
            self._configuration.part_problems[:MAX_LISTED_PROBLEMS]
        )
        status["unusable_routes"] = self._list_unusable_routes()
        status["unread_records"] = {
            kind: {
                "count": len(unread.errors),
                "names": unread.names(MAX_LISTED_PROBLEMS),
            }
            for kind, unread in self._read_unread().items()
        }
        # Infinity is no JSON.
        status["list_ages_seconds"] = {
            kind: round(age_seconds, 3) if math.isfinite(age_seconds) else None
            for kind, age_seconds in self._list_ages().items()
        }
        status["host_list_version"] = self._hosts.version
        status["degraded"] = self._list_problems(status)
        return JSONResponse(status)

    def _list_ages(self) -> dict[str, float]:
        """Return the time since each list was last confirmed as the newest."""
        now_seconds = self._read_clock()
        return {
            "configuration": self._configuration.age_seconds(now_seconds),
            "targets": self._context.scheduler.targets_age_seconds(),
            "upstreams": self._hosts.age_seconds(now_seconds),
        }

    def _list_unread_problems(self) -> list[str]:
        return [
            f"{kind}: {len(unread.errors)} records can't be read: "
            + ", ".join(unread.names(MAX_LISTED_PROBLEMS))
            for kind, unread in self._read_unread().items()
            if unread.errors
        ]

    def _list_unusable_routes(self) -> list[str]:
        """Return the routes in force to which no request can be served."""
        routes = self._context.follower.view.routes.routing.routes
        return [route.name for route in routes if not route.targets]

    def _describe_lease(self) -> dict[str, Any]:
        lease = self._rollout_controller.lease
        return {
            "holder": lease.record.holder if lease.record else "",
            "fencing_number": lease.version,
            "is_held_here": self._rollout_controller.is_holder,
        }

    def _list_problems(self, status: dict[str, Any]) -> list[str]:
        problems = []
        if self._configuration.problem:
            problems.append(f"configuration: {self._configuration.problem}")
        if self._context.follower.problem:
            problems.append(f"configuration: {self._context.follower.problem}")
        problems += [
            f"configuration: {problem}" for problem in status["configuration_problems"]
        ]
        problems += [
            f"route {name}: its requests can't be served"
            for name in status["unusable_routes"]
        ]
        if self._hosts.problem:
            problems.append(f"host list: {self._hosts.problem}")
        age_seconds = self._list_ages()["upstreams"]
        if STALE_LIST_SECONDS < age_seconds < math.inf:
            problems.append(f"host list: not confirmed for {age_seconds:.1f} s")
        problems += self._list_unread_problems()
        claims_seconds = self._context.claims.recovery_remaining_seconds
        if claims_seconds > 0.0:
            problems.append(
                "claims: the store was restored, claims are rejected for "
                f"{claims_seconds:.1f} s"
            )
        if self._context.follower.revision == 0:
            problems.append("configuration: no tree is known; requests are rejected")
        problems += [
            f"upstream {item['name']}: {item['health']}: {item['last_error']}"
            for item in status["upstreams"]
            if item["health"] != "up"
        ]
        problems += [
            f"service {name}: no upstream is reachable from this host"
            for name in status["unreachable_services"]
        ]
        if self._context.settings.peers.secret and not status["peers"]:
            problems.append(
                "peers: none is alive; this host limits itself to its share"
            )
        return problems

    async def _explain(self, request: Request) -> Response:
        request_id = request.path_params["request_id"]
        decisions = self._context.scheduler.decisions(request_id)
        if not decisions:
            return JSONResponse({"error": "no recent request"}, status_code=404)
        return JSONResponse(
            [
                {**_describe_decision(item), **self._describe_answer(item)}
                for item in decisions
            ]
        )

    def _describe_answer(self, decision: Decision) -> dict[str, Any]:
        """Return the timings of the answer that followed a dispatch, if any."""
        if not isinstance(decision.action, Dispatch):
            return {}
        answer = self._context.scheduler.answer(decision.action.attempt_id)
        if answer is None:
            return {}
        late_cause = answer.late_cause.value if answer.late_cause else ""
        timings = attrs.asdict(answer.timings)
        return {"answer": {"late_cause": late_cause, **timings}}

    async def _drain(self, request: Request) -> Response:
        """Begin a planned shutdown; the second drain request forces it."""
        is_repeated, self._was_drain_requested = self._was_drain_requested, True
        self.on_drain(is_repeated)
        return Response(status_code=202)

    async def _list_suspects(self, request: Request) -> Response:
        return JSONResponse(self._context.scheduler.run_query(_read_suspects))

    async def _clear_suspect(self, request: Request) -> Response:
        """Clear the suspicion against a request or part, here and on all peers."""
        try:
            fingerprint = bytes.fromhex(request.path_params["fingerprint"])
        except ValueError:
            return JSONResponse({"error": "invalid fingerprint"}, status_code=400)

        def clear(scheduler: Scheduler, now_seconds: float) -> bool:
            reason = "cleared by an operator"
            return scheduler.quarantine.clear(fingerprint, now_seconds, reason)

        if not self._context.scheduler.run_query(clear):
            error = {"error": "nothing is held against such a request"}
            return JSONResponse(error, status_code=404)
        return Response(status_code=204)

    async def _profile(self, request: Request) -> Response:
        try:
            seconds = float(request.query_params.get("seconds", ""))
        except ValueError:
            seconds = 0.0
        if not 0.0 < seconds <= MAX_PROFILE_SECONDS:
            message = f"seconds must be a positive number up to {MAX_PROFILE_SECONDS:g}"
            return JSONResponse({"error": message}, status_code=400)
        if self._profiler.is_busy:
            message = "another profile is being taken"
            return JSONResponse({"error": message}, status_code=409)
        log.info("profile started", seconds=seconds)
        report = await self._profiler.take(seconds)
        log.info("profile finished", processor_seconds=report.processor_seconds)
        return JSONResponse(attrs.asdict(report))


def _read_used_tokens(scheduler: Scheduler, now_seconds: float) -> dict[str, float]:
    return {
        path: scheduler.ledger.used_tokens(path, now_seconds)
        for path in scheduler.admission.workspaces
    }


def _set_limit_window(metrics: Metrics, state: LimitState) -> None:
    window = state.window
    for source, tokens in (
        ("own", window.own_tokens),
        ("reported", window.reported_tokens),
        ("remembered", window.remembered_tokens),
        ("assumed", window.assumed_tokens),
    ):
        metrics.limit_window.labels(state.path, source).set(tokens)
    metrics.limit_level.labels(state.path).set(window.level_tokens)
    metrics.limit_capacity.labels(state.path).set(window.capacity_tokens)
    metrics.limit_report_age.labels(state.path).set(window.report_age_seconds)


def _read_limits(scheduler: Scheduler, now_seconds: float) -> list[LimitState]:
    return scheduler.limits.states(now_seconds)


def _read_prefill_isolation(
    scheduler: Scheduler, now_seconds: float
) -> PrefillIsolation:
    return scheduler.pool.prefill_isolation


def _read_request_rates(
    scheduler: Scheduler, now_seconds: float
) -> list[UpstreamRateState]:
    """Return upstreams' request rate limits with this host's shares."""
    rate_limiter = scheduler.pool.rate_limiter
    states = [
        rate_limiter.state(upstream, now_seconds) for upstream in scheduler.upstreams
    ]
    return [state for state in states if state is not None]


def _read_suspects(scheduler: Scheduler, now_seconds: float) -> list[dict[str, Any]]:
    """Return the requests and parts suspected of crashing upstreams.

    Those with most crashes are first.
    """
    tracker = scheduler.quarantine.tracker
    rows = [
        {
            "fingerprint": suspect.key.hex(),
            "kind": suspect.kind,
            "workspace": suspect.workspace_path,
            "state": suspect.state.name.lower(),
            "ends_count": suspect.crashes_count,
            "upstreams": [key.upstream for key in suspect.crashes],
            "refused_count": suspect.refused_count,
            "seen_seconds_ago": round(now_seconds - suspect.seen_at_seconds, 1),
        }
        for suspect in tracker
    ]
    return sorted(rows, key=lambda row: -row["ends_count"])


def _count_suspects(scheduler: Scheduler, now_seconds: float) -> dict[str, int]:
    tracker = scheduler.quarantine.tracker
    counts = dict.fromkeys((item.name.lower() for item in QuarantineState), 0)
    for suspect in tracker:
        counts[suspect.state.name.lower()] += 1
    return counts


def _read_counts(scheduler: Scheduler, now_seconds: float) -> tuple[int, int]:
    return scheduler.open_count, len(scheduler.queue)


def _read_unreachable(scheduler: Scheduler, now_seconds: float) -> list[str]:
    return scheduler.pool.reachability.unreachable


def _read_status(scheduler: Scheduler, now_seconds: float) -> dict[str, Any]:
    upstreams = [
        {
            "name": upstream.name,
            "kind": upstream.entry.kind,
            "hall": upstream.entry.hall,
            "path": scheduler.pool.paths.path(upstream.name).value,
            "state": upstream.entry.state,
            "belief": scheduler.upstreams.describe(upstream, now_seconds),
            "health": upstream.health.state.value,
            "admit_ratio": round(upstream.health.admit_ratio(now_seconds), 3),
            "last_error": upstream.health.last_error,
            "life": upstream.generation_name,
            "model": upstream.model,
            "software_version": upstream.entry.software_version,
            "slots_count": upstream.slots_count,
            "own_running_count": len(upstream.own_attempts),
        }
        for upstream in scheduler.upstreams
    ]
    peers = [
        {
            "name": view.name,
            "hall": view.hall,
            "revision": view.summary.revision,
            "revision_era": view.summary.store_era,
            "is_leaving": view.summary.is_leaving,
            "heard_seconds_ago": round(now_seconds - view.last_seen_seconds, 3),
        }
        for view in scheduler.peers.live(now_seconds)
    ]
    return {
        "upstreams": upstreams,
        "peers": peers,
        "open_count": scheduler.open_count,
        "waiting_count": len(scheduler.queue),
        "retry_budget_count": round(scheduler.budgets.min_balance, 2),
        "limits": [
            attrs.asdict(state) for state in _read_limits(scheduler, now_seconds)
        ],
        "unreachable_services": scheduler.pool.reachability.unreachable,
        "streams_taken_up": dict(scheduler.software_versions.resumed_counts),
        "brittle_services": scheduler.pool.brittle.states(),
        "request_rates": [
            attrs.asdict(state) for state in _read_request_rates(scheduler, now_seconds)
        ],
        "short_prompt_runners": scheduler.pool.prefill_isolation.subset_names(),
        "estimates": [
            attrs.asdict(state)
            for state in scheduler.early_refusals.states(now_seconds)
        ],
        "known_prefixes_count": scheduler.cache_index.entries_count(),
    }


def _describe_decision(decision: Decision) -> dict[str, Any]:
    action = decision.action
    kind = "dispatch" if isinstance(action, Dispatch) else "refuse"
    data = attrs.asdict(action)
    if "run_state" in data:
        data["run_state"] = action.run_state.name.lower()  # type: ignore[union-attr]
    return {"at_seconds": decision.at_seconds, "kind": kind, **data}
