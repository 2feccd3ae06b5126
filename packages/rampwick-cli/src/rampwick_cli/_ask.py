"""The ``ask`` command: send one request and stream its response."""

import argparse
import json
import sys
import time

import httpx

from . import _exit_codes
from ._output import Output, print_error

DONE = "[DONE]"


async def run_ask(arguments: argparse.Namespace, output: Output) -> int:
    """Send a prompt and print the response as it is streamed."""
    headers = {"Authorization": f"Bearer {arguments.key}"}
    if arguments.idempotency_key:
        headers["Idempotency-Key"] = arguments.idempotency_key
    if arguments.deadline_seconds:
        headers["Rampwick-Deadline-Seconds"] = str(arguments.deadline_seconds)
    body = {
        "model": arguments.model,
        "messages": [{"role": "user", "content": arguments.prompt}],
        "max_tokens": arguments.max_tokens,
        "stream": True,
        "stream_options": {"include_usage": True},
    }
    started_seconds = time.monotonic()
    async with (
        httpx.AsyncClient(trust_env=False, timeout=None) as client,
        client.stream(
            "POST", f"{arguments.entry}/v1/chat/completions", json=body, headers=headers
        ) as response,
    ):
        if not response.is_success:
            await response.aread()
            return _print_refusal(response, output)
        return await _print_stream(response, started_seconds, output)


async def _print_stream(
    response: httpx.Response, started_seconds: float, output: Output
) -> int:
    first_seconds = None
    usage: dict[str, object] = {}
    is_complete = False
    async for line in response.aiter_lines():
        if not line.startswith("data: "):
            continue
        if line[6:] == DONE:
            is_complete = True
            break
        data = json.loads(line[6:])
        if "error" in data:
            print_error(data["error"]["message"])
            return _exit_codes.FAILED
        first_seconds = first_seconds or time.monotonic() - started_seconds
        usage = data.get("usage") or usage
        for choice in data["choices"]:
            text = choice["delta"].get("content") or ""
            print(text, end="", flush=True, file=sys.stderr if output.as_json else None)
    print(file=sys.stderr if output.as_json else None)
    output.show_object(
        {
            "request": response.headers.get("x-request-id"),
            "upstream": response.headers.get("rampwick-upstream"),
            "first_token_seconds": round(first_seconds or 0.0, 4),
            "usage": usage,
        }
    )
    return _exit_codes.OK if is_complete else _exit_codes.FAILED


def _print_refusal(response: httpx.Response, output: Output) -> int:
    try:
        error = response.json()["error"]
    except (ValueError, KeyError):
        print_error(f"status {response.status_code}")
        return _exit_codes.FAILED
    print_error(f"{error['message']} (run: {error['was_run']})")
    if "retry_after_seconds" in error:
        print_error(f"retry after {error['retry_after_seconds']} seconds")
    return _exit_codes.FAILED
