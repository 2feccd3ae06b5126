"""Commands on the targets of the runners' weights."""

import argparse

from rampwick_platform import HttpObjectApi, WeightsStore
from rampwick_schema import WeightsTarget, unstructure

from . import _exit_codes
from ._output import Output
from ._tree_commands import CALL_TIMEOUT_SECONDS, CALLS_PER_SECOND


async def run_weights(arguments: argparse.Namespace, output: Output) -> int:
    """Show or set which weights runners shall have loaded."""
    async with HttpObjectApi(
        arguments.platform,
        call_timeout_seconds=CALL_TIMEOUT_SECONDS,
        calls_per_second=CALLS_PER_SECOND,
    ) as api:
        store = WeightsStore(api)
        if arguments.weights_command == "set":
            target = WeightsTarget(arguments.model, arguments.weights_version)
            await store.set_target(target)
        rows = [unstructure(target) for target in await store.load()]
        output.show("weights", rows)
    return _exit_codes.OK
