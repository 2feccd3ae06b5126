"""Waiting until a tree revision is in force on every live host."""

import argparse
import time
from typing import Any

import anyio
import httpx
from rich.progress import Progress

from rampwick_policy import TreeVersion

from . import _exit_codes
from ._output import Output

POLL_INTERVAL_SECONDS = 0.1


async def wait_in_force(
    version: TreeVersion, arguments: argparse.Namespace, output: Output
) -> int:
    """Wait until a host and all its live peers report the revision."""
    started_seconds = time.monotonic()
    behind = {"this host": TreeVersion(0)}
    with Progress(transient=True, disable=output.as_json) as progress:
        task = progress.add_task(f"revision {version.revision} in force")
        with anyio.move_on_after(arguments.wait_timeout_seconds):
            async with httpx.AsyncClient(trust_env=False) as client:
                while behind:
                    versions = await _read_versions(client, arguments.admin)
                    behind = {
                        name: at
                        for name, at in versions.items()
                        if version.is_newer_than(at)
                    }
                    done = len(versions) - len(behind)
                    progress.update(task, total=len(versions), completed=done)
                    await anyio.sleep(POLL_INTERVAL_SECONDS if behind else 0)
    waited = round(time.monotonic() - started_seconds, 3)
    state = "in force" if not behind else "not yet everywhere"
    output.show_object({"state": state, "waited_seconds": waited})
    if not behind:
        return _exit_codes.OK
    rows = [{"host": name, "at": at.revision} for name, at in behind.items()]
    output.show("behind", rows)
    return _exit_codes.NOT_EVERYWHERE


async def _read_versions(
    client: httpx.AsyncClient, admin: str
) -> dict[str, TreeVersion]:
    response = await client.get(f"{admin}/status")
    status: dict[str, Any] = response.json()
    versions = {status["host"]["name"]: _version(status)}
    for peer in status["peers"]:
        versions[peer["name"]] = _version(peer)
    return versions


def _version(report: dict[str, Any]) -> TreeVersion:
    return TreeVersion(report["revision"], report.get("revision_era"))
