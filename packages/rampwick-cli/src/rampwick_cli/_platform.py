"""Client of the platform given on the command line."""

import argparse

from rampwick_platform import HttpObjectApi

CALL_TIMEOUT_SECONDS = 5.0
CALLS_PER_SECOND = 50.0


def open_platform(arguments: argparse.Namespace) -> HttpObjectApi:
    """Return a platform client, to be used as an async context manager."""
    return HttpObjectApi(
        arguments.platform,
        call_timeout_seconds=CALL_TIMEOUT_SECONDS,
        calls_per_second=CALLS_PER_SECOND,
    )
