"""Commands on the targets of the runners' weights."""

import argparse

from rampwick_platform import WeightsStore
from rampwick_schema import WeightsTarget, unstructure

from . import _exit_codes
from ._output import Output
from ._platform import open_platform


async def run_weights(arguments: argparse.Namespace, output: Output) -> int:
    """Show or set which weights runners shall have loaded."""
    async with open_platform(arguments) as api:
        store = WeightsStore(api)
        if arguments.weights_command == "set":
            target = WeightsTarget(arguments.model, arguments.weights_version)
            await store.set_target(target)
        rows = [unstructure(target) for target in await store.load()]
        output.show("weights", rows)
    return _exit_codes.OK
