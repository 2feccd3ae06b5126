"""Opening the platform that the command line names."""

import argparse

from rampwick_platform import HttpObjectApi

CALL_TIMEOUT_SECONDS = 5.0
CALLS_PER_SECOND = 50.0


def open_platform(arguments: argparse.Namespace) -> HttpObjectApi:
    """Return a client of the platform, to be entered."""
    return HttpObjectApi(
        arguments.platform,
        call_timeout_seconds=CALL_TIMEOUT_SECONDS,
        calls_per_second=CALLS_PER_SECOND,
    )
