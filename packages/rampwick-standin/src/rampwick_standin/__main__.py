"""Run a stand-in: ``python -m rampwick_standin platform|runner|service``."""

import argparse

import anyio

from ._engine import EngineSettings
from ._platform import PlatformStandIn
from ._runner import RunnerStandIn
from ._serve import serve_forever
from ._service import ServiceStandIn


def main() -> None:
    """Parse the command line and serve until SIGTERM or SIGINT."""
    parser = argparse.ArgumentParser(prog="rampwick_standin", description=__doc__)
    kinds = parser.add_subparsers(dest="kind", required=True)
    for kind in ("platform", "runner", "service"):
        command = kinds.add_parser(kind)
        command.add_argument("--port", type=int, default=0)
        command.add_argument("--name", default=kind)
        if kind == "runner":
            _add_engine_options(command)
    anyio.run(_run, parser.parse_args())


def _add_engine_options(command: argparse.ArgumentParser) -> None:
    defaults = EngineSettings()
    command.add_argument("--model", default=defaults.model)
    command.add_argument("--slots-count", type=int, default=defaults.slots_count)
    command.add_argument("--cache-tokens", type=int, default=defaults.cache_tokens)
    command.add_argument(
        "--prefill-tokens-per-second",
        type=float,
        default=defaults.prefill_tokens_per_second,
    )
    command.add_argument("--step-seconds", type=float, default=defaults.step_seconds)
    command.add_argument(
        "--deadly-text", default="", help="crash on prompts that contain it"
    )


async def _run(arguments: argparse.Namespace) -> None:
    label = f"{arguments.kind} {arguments.name}"
    if arguments.kind == "platform":
        await serve_forever(PlatformStandIn().app, arguments.port, label)
    elif arguments.kind == "service":
        standin = ServiceStandIn(arguments.name)
        await serve_forever(standin.app, arguments.port, label)
    else:
        await _run_runner(arguments, label)


async def _run_runner(arguments: argparse.Namespace, label: str) -> None:
    settings = EngineSettings(
        name=arguments.name,
        model=arguments.model,
        slots_count=arguments.slots_count,
        cache_tokens=arguments.cache_tokens,
        prefill_tokens_per_second=arguments.prefill_tokens_per_second,
        step_seconds=arguments.step_seconds,
        deadly_text=arguments.deadly_text,
    )
    async with anyio.create_task_group() as task_group:
        runner = RunnerStandIn(settings, task_group)
        await serve_forever(runner.app, arguments.port, label)
        task_group.cancel_scope.cancel()


if __name__ == "__main__":
    main()
