"""Commands that show and set the target weights of runners."""

import argparse
import sys

from rampwick_platform import WeightsStore
from rampwick_schema import WeightsTarget, unstructure

from . import _exit_codes
from ._output import Output
from ._platform import open_platform


async def run_weights(arguments: argparse.Namespace, output: Output) -> int:
    """Show or set the target weights version of runners by model."""
    async with open_platform(arguments) as api:
        store = WeightsStore(api)
        if arguments.weights_command == "set":
            target = WeightsTarget(arguments.model, arguments.weights_version)
            await store.set_target(target)
            _print_unread(store, "replaced")
        rows = [unstructure(target) for target in await store.load()]
        _print_unread(store, "not read")
        output.show("weights", rows)
    return _exit_codes.OK


def _print_unread(store: WeightsStore, what: str) -> None:
    for place, error in store.unread.items():
        print(f"{what}: {place}: {error}", file=sys.stderr)
