"""Commands that look at one host, and the one that has it leave."""

import argparse
from typing import Any

import httpx

from . import _exit_codes
from ._output import Output, complain

TIMEOUT_SECONDS = 5.0

#: Rows shown of each table of a profile; ``--json`` shows all that the host told.
PROFILE_ROWS = 15


async def run_status(arguments: argparse.Namespace, output: Output) -> int:
    """Show a host's view: itself, its peers, upstreams, what is degraded."""
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
    if status["request_rates"]:
        output.show("request rates", status["request_rates"])
    output.show("peers", status["peers"])
    return _exit_codes.OK


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
    """Show why a request went where it went."""
    decisions = await _get(arguments.admin, f"/explain/{arguments.request_id}")
    if output.as_json:
        output.show("decisions", decisions)
        return _exit_codes.OK
    for decision in decisions:
        _explain_one(decision, output)
    return _exit_codes.OK


def _explain_one(decision: dict[str, Any], output: Output) -> None:
    if decision["kind"] == "refuse":
        output.say(
            f"refused: {decision['reason']}, run state {decision['run_state']}, "
            f"come back in {decision['retry_after_seconds']} seconds; "
            f"{decision['evidence']}"
        )
        return
    output.say(f"sent to {decision['upstream']} as {decision['attempt_id']}")
    choice = decision["choice"] or {}
    output.show(
        "weighed", [_weighed_row(item) for item in choice.get("considered", [])]
    )


def _weighed_row(choice: dict[str, Any]) -> dict[str, Any]:
    return {
        "upstream": choice["upstream"],
        "cached_tokens": choice["cached_tokens"],
        "missing_tokens": choice["missing_tokens"],
        "queue_seconds": round(choice["queue_seconds"], 4),
        "score_seconds": round(choice["score_seconds"], 4),
        "has_slot": choice["has_slot"],
    }


async def run_suspects(arguments: argparse.Namespace, output: Output) -> int:
    """Show requests that upstreams end under, or let one of them go."""
    if not arguments.forget:
        output.show("suspects", await _get(arguments.admin, "/suspects"))
        return _exit_codes.OK
    url = f"{arguments.admin}/suspects/{arguments.forget}"
    async with httpx.AsyncClient(trust_env=False, timeout=TIMEOUT_SECONDS) as client:
        response = await client.delete(url)
    if response.status_code in (httpx.codes.BAD_REQUEST, httpx.codes.NOT_FOUND):
        complain(response.json()["error"])
        return _exit_codes.INVALID
    response.raise_for_status()
    output.show_object({"forgotten": arguments.forget})
    return _exit_codes.OK


async def run_drain(arguments: argparse.Namespace, output: Output) -> int:
    """Begin a host's planned stop; asked again, hurry it."""
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
        complain(response.json()["error"])
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
