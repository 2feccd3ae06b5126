"""Commands that inspect, profile or drain a single host."""

import argparse
from typing import Any

import httpx

from . import _exit_codes
from ._output import Output, print_error

TIMEOUT_SECONDS = 5.0

#: Times of an answer in the order in which they are printed.
ANSWER_TIMES = {
    "expected_wait_seconds": "expected wait",
    "waited_seconds": "waited at the host",
    "retry_seconds": "failed attempts",
    "connection_seconds": "connection",
    "prefill_seconds": "estimated prefill",
    "first_event_seconds": "first event after",
    "latency_target_seconds": "target",
    "longest_pause_seconds": "longest pause",
    "pause_target_seconds": "pause target",
    "longest_stay_seconds": "longest stay",
}

#: Rows printed of each table of a profile; ``--json`` prints the full report.
PROFILE_ROWS = 15


async def run_status(arguments: argparse.Namespace, output: Output) -> int:
    """Show the state of a host, its peers and upstreams, and degraded functions."""
    status = await _get(arguments.admin, "/status")
    if output.as_json:
        output.show_object(status)
        return _exit_codes.OK
    output.show_object(
        {
            "host": f"{status['host']['name']} in {status['host']['hall']}",
            "ready": status["is_ready"],
            "revision": f"{status['revision']} from {status['revision_source']}",
            "store_era": status["store_era"],
            "open requests": status["open_count"],
            "waiting requests": status["waiting_count"],
            "roles": _describe_roles(status),
            "hall's relays": status["roles"]["relays"] or "none, the fleet is small",
            "steward": status["lease"]["holder"] or "unknown",
            "hosts heard": _describe_hosts(status["roles"]),
            "degraded": status["degraded"] or "nothing",
        }
    )
    output.show("upstreams", status["upstreams"])
    if status["limits"]:
        output.show("limits", [_limit_row(limit) for limit in status["limits"]])
    if status["request_rates"]:
        output.show("request rates", status["request_rates"])
    subsets = status.get("short_prompt_runners", {})
    if any(subsets.values()):
        output.show(
            "runners for short prompts",
            [_subset_row(*item) for item in subsets.items()],
        )
    if status.get("estimates"):
        output.show("expected starts", status["estimates"])
    output.show("peers", status["peers"])
    return _exit_codes.OK


def _limit_row(limit: dict[str, Any]) -> dict[str, Any]:
    """Return what this host believes of a limit, in tokens within its window."""
    window = limit["window"]
    return {
        "path": limit["path"],
        "allowed": round(limit["allowed_tokens"]),
        "used": round(limit["used_tokens"]),
        "own": round(window["own_tokens"]),
        "reported": round(window["reported_tokens"]),
        "remembered": round(window["remembered_tokens"]),
        "assumed": round(window["assumed_tokens"]),
        "level": f"{window['level_tokens']:.0f} of {window['capacity_tokens']:.0f}",
        "report age": f"{window['report_age_seconds']:.2f} s",
        "usable share": f"{limit['part_ratio']:.2f}",
        "state": "binding" if limit["is_binding"] else "open",
    }


def _subset_row(service: str, runners: list[str]) -> dict[str, Any]:
    return {"service": service, "count": len(runners), "runners": ", ".join(runners)}


def _describe_roles(status: dict[str, Any]) -> str:
    roles = status["roles"]
    held = {
        "relay": roles["is_relay"],
        "reader": roles["is_reader"],
        "steward": status["lease"]["is_held_here"],
    }
    return ", ".join(name for name, is_held in held.items() if is_held) or "none"


def _describe_hosts(roles: dict[str, Any]) -> str:
    return f"{roles['heard_count']} of {roles['members_count'] - 1} known"


async def run_explain(arguments: argparse.Namespace, output: Output) -> int:
    """Show the routing decisions for a request."""
    decisions = await _get(arguments.admin, f"/explain/{arguments.request_id}")
    if output.as_json:
        output.show("decisions", decisions)
        return _exit_codes.OK
    for decision in decisions:
        _print_decision(decision, output)
    return _exit_codes.OK


def _print_decision(decision: dict[str, Any], output: Output) -> None:
    if decision["kind"] == "refuse":
        output.print_text(
            f"refused: {decision['reason']}, run state {decision['run_state']}, "
            f"retry after {decision['retry_after_seconds']} seconds; "
            f"{decision['evidence']}"
        )
        return
    output.print_text(f"sent to {decision['upstream']} as {decision['attempt_id']}")
    choice = decision["choice"] or {}
    output.show(
        "weighed", [_candidate_row(item) for item in choice.get("considered", [])]
    )
    if "answer" in decision:
        output.print_text(_describe_answer(decision["answer"]))


def _describe_answer(answer: dict[str, Any]) -> str:
    cause = answer["late_cause"]
    verdict = f"late because of: {cause}" if cause else "in time"
    # A host of an earlier version may not report all times.
    times = ", ".join(
        f"{label} {answer[name] * 1000:.0f} ms"
        for name, label in ANSWER_TIMES.items()
        if answer.get(name) is not None
    )
    return f"answered {verdict}; {times}"


def _candidate_row(choice: dict[str, Any]) -> dict[str, Any]:
    return {
        "upstream": choice["upstream"],
        "cached_tokens": choice["cached_tokens"],
        "missing_tokens": choice["missing_tokens"],
        "queue_seconds": round(choice["queue_seconds"], 4),
        "score_seconds": round(choice["score_seconds"], 4),
        "has_slot": choice["has_slot"],
    }


async def run_suspects(arguments: argparse.Namespace, output: Output) -> int:
    """Show quarantined requests that crash upstreams, or release one of them."""
    if not arguments.forget:
        output.show("suspects", await _get(arguments.admin, "/suspects"))
        return _exit_codes.OK
    url = f"{arguments.admin}/suspects/{arguments.forget}"
    async with httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS) as client:
        response = await client.delete(url)
    if response.status_code in (httpx.codes.BAD_REQUEST, httpx.codes.NOT_FOUND):
        print_error(response.json()["error"])
        return _exit_codes.INVALID
    response.raise_for_status()
    output.show_object({"forgotten": arguments.forget})
    return _exit_codes.OK


async def run_drain(arguments: argparse.Namespace, output: Output) -> int:
    """Start a graceful shutdown of a host; a second call expedites it."""
    async with httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS) as client:
        response = await client.post(f"{arguments.admin}/drain")
    response.raise_for_status()
    output.show_object({"state": "leaving"})
    return _exit_codes.OK


async def run_profile(arguments: argparse.Namespace, output: Output) -> int:
    """Show where a host's processor time goes for some seconds from now on."""
    timeout_seconds = arguments.seconds + TIMEOUT_SECONDS
    async with httpx.AsyncClient(trust_env=False, timeout=timeout_seconds) as client:
        response = await client.post(
            f"{arguments.admin}/profile", params={"seconds": arguments.seconds}
        )
    if response.status_code in (httpx.codes.BAD_REQUEST, httpx.codes.CONFLICT):
        print_error(response.json()["error"])
        return _exit_codes.INVALID
    response.raise_for_status()
    report = response.json()
    if output.as_json:
        output.show_object(report)
        return _exit_codes.OK
    busy_ratio = report["processor_seconds"] / report["elapsed_seconds"]
    output.show_object(
        {
            "elapsed seconds": report["elapsed_seconds"],
            "processor seconds": report["processor_seconds"],
            "part of a core": round(busy_ratio, 4),
        }
    )
    output.show("modules", report["modules"][:PROFILE_ROWS])
    output.show("functions", report["functions"][:PROFILE_ROWS])
    return _exit_codes.OK


async def _get(admin: str, path: str) -> Any:
    async with httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS) as client:
        response = await client.get(f"{admin}{path}")
    response.raise_for_status()
    return response.json()
