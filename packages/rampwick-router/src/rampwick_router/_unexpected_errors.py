"""Containment of unexpected errors in background tasks.

An error that no task expects is a bug, and what causes it may come from one upstream,
peer or stored object. It costs what it concerns, as its task decides, and the others go
on. It is always logged with its traceback and counted.
"""

import traceback
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from typing import Any

import anyio

from ._logs import ComponentLogger

#: Wait before a task that failed runs again: initial, factor and maximum.
RESTART_SECONDS = 0.1
RESTART_FACTOR = 2.0
MAX_RESTART_SECONDS = 5.0

#: Maximum length of a traceback in the log; its end names the cause.
MAX_TRACEBACK_CHARACTERS = 8000

log = ComponentLogger("life")

_counts: Counter[str] = Counter()


def unexpected_error_counts() -> dict[str, int]:
    """Return the number of unexpected errors in this process by task."""
    return dict(_counts)


def note_unexpected_error(task: str, error: BaseException, **fields: Any) -> None:
    """Log an unexpected error with its traceback, and count it."""
    _counts[task] += 1
    text = "".join(traceback.format_exception(error))
    log.problem(
        f"unexpected error in {task}",
        error=repr(error),
        traceback=text[-MAX_TRACEBACK_CHARACTERS:],
        **fields,
    )


@contextmanager
def contain_errors(task: str, **fields: Any) -> Iterator[None]:
    """End the context on an unexpected error, which is logged with the fields."""
    try:
        yield
    except Exception as error:
        note_unexpected_error(task, error, **fields)


async def keep_running(task: str, run: Callable[[], Awaitable[None]]) -> None:
    """Run a task until it returns; run it again after an unexpected error."""
    pause_seconds = 0.0
    while True:
        started_seconds = anyio.current_time()
        with contain_errors(task):
            await run()
            return
        ran_seconds = anyio.current_time() - started_seconds
        pause_seconds = _restart_pause(pause_seconds, ran_seconds)
        await anyio.sleep(pause_seconds)


def _restart_pause(last_pause_seconds: float, ran_seconds: float) -> float:
    """Return the wait before a task that failed after some seconds runs again."""
    if not last_pause_seconds or ran_seconds > MAX_RESTART_SECONDS:
        return RESTART_SECONDS
    return min(MAX_RESTART_SECONDS, last_pause_seconds * RESTART_FACTOR)
