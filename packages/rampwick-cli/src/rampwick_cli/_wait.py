"""Waiting until a revision is in force on every live host."""

import argparse
import time
from typing import Any

import anyio
import httpx
from rich.progress import Progress

from . import _exit_codes
from ._output import Output

LOOK_INTERVAL_SECONDS = 0.1


async def wait_in_force(
    revision: int, arguments: argparse.Namespace, output: Output
) -> int:
    """Wait until every host that one host hears reports the revision."""
    began_seconds = time.monotonic()
    behind: dict[str, int] = {"this host": -1}
    with Progress(transient=True, disable=output.as_json) as progress:
        task = progress.add_task(f"revision {revision} in force")
        with anyio.move_on_after(arguments.wait_timeout_seconds):
            async with httpx.AsyncClient(trust_env=False) as client:
                while behind:
                    revisions = await _read_revisions(client, arguments.admin)
                    behind = {
                        name: at for name, at in revisions.items() if at < revision
                    }
                    done = len(revisions) - len(behind)
                    progress.update(task, total=len(revisions), completed=done)
                    await anyio.sleep(LOOK_INTERVAL_SECONDS if behind else 0)
    waited = round(time.monotonic() - began_seconds, 3)
    state = "in force" if not behind else "not yet everywhere"
    output.show_object({"state": state, "waited_seconds": waited})
    if not behind:
        return _exit_codes.OK
    output.show("behind", [{"host": name, "at": at} for name, at in behind.items()])
    return _exit_codes.NOT_EVERYWHERE


async def _read_revisions(client: httpx.AsyncClient, admin: str) -> dict[str, int]:
    response = await client.get(f"{admin}/status")
    status: dict[str, Any] = response.json()
    revisions = {status["host"]["name"]: status["revision"]}
    for peer in status["peers"]:
        revisions[peer["name"]] = peer["revision"]
    return revisions
