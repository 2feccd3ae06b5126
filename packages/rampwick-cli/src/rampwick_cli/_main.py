"""Command-line parser and entry point of the rampwick command."""

import argparse
import os
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import anyio
import httpx

from rampwick_platform import OutcomeUnknownError, PlatformError
from rampwick_policy import ConflictError
from rampwick_schema import RampwickError, read_settings

from . import _exit_codes
from ._ask import run_ask
from ._host_commands import (
    run_drain,
    run_explain,
    run_profile,
    run_status,
    run_suspects,
)
from ._log_commands import run_logs
from ._output import Output, print_error
from ._tree_commands import run_tree
from ._weights_commands import run_weights

#: Environment variables with the defaults of options.
PLATFORM_VARIABLE = "RAMPWICK_PLATFORM"
ADMIN_VARIABLE = "RAMPWICK_ADMIN"
ENTRY_VARIABLE = "RAMPWICK_ENTRY"
KEY_VARIABLE = "RAMPWICK_KEY"

EXAMPLES = f"""\
examples:
  rampwick tree create /herbaria/labels --new-key weight=3 priority_class=batch
  rampwick tree set /herbaria tokens_per_second=50000 --wait
  rampwick tree set /herbaria weight=2 --base 17     refuse if changed since 17
  rampwick status
  rampwick logs host.log --about REQUEST-ID          log lines of one request
  rampwick ask --model lektor --key KEY "What is on this label?"

{_exit_codes.DESCRIPTION}"""

#: Implementation of a subcommand; returns the exit code.
Command = Callable[[argparse.Namespace, Output], Awaitable[int]]

WRITERS = ("set", "create", "move", "delete")


def main() -> int:
    """Run one command; return the exit code."""
    parser = build_parser()
    arguments = _parse(parser)
    if getattr(arguments, "wait", False) and not arguments.admin:
        parser.error(f"--wait needs --admin or {ADMIN_VARIABLE}")
    output = Output(arguments.json)
    try:
        return anyio.run(arguments.run, arguments, output)
    except ConflictError as error:
        print_error(f"conflict, nothing was written: {error}")
        return _exit_codes.CONFLICT
    except OutcomeUnknownError as error:
        print_error(f"{error}; the write may have taken effect, see tree history")
        return _exit_codes.UNKNOWN
    except PlatformError as error:
        print_error(error)
        return _exit_codes.UNREACHABLE
    except RampwickError as error:
        print_error(error)
        return _exit_codes.INVALID
    except OSError as error:
        print_error(error)
        return _exit_codes.INVALID
    except httpx.HTTPStatusError as error:
        print_error(f"status {error.response.status_code}")
        return _exit_codes.FAILED
    except httpx.HTTPError as error:
        print_error(f"host unreachable: {error or type(error).__name__}")
        return _exit_codes.UNREACHABLE


def _parse(parser: argparse.ArgumentParser) -> argparse.Namespace:
    arguments, rest = parser.parse_known_args()
    # argparse doesn't assign positional arguments after an option to "values".
    values: list[str] | None = getattr(arguments, "values", None)
    if rest and (values is None or any(word.startswith("-") for word in rest)):
        parser.error(f"unrecognized arguments: {' '.join(rest)}")
    if rest and values is not None:
        arguments.values = [*values, *rest]
    return arguments


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of all commands."""
    parser = argparse.ArgumentParser(
        prog="rampwick",
        description="Operate rampwick: edit the tree, read its state, send requests.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    common = argparse.ArgumentParser(add_help=False)
    common.add_argument("--json", action="store_true", help="print JSON")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_tree(commands, common)
    _add_weights(commands, common)
    _add_check(commands, common)
    _add_host(commands, common, "status", run_status)
    explain = _add_host(commands, common, "explain", run_explain)
    explain.add_argument("request_id", help="X-Request-Id of the response")
    suspects = _add_host(commands, common, "suspects", run_suspects)
    suspects.add_argument("--forget", metavar="FINGERPRINT", help="release it")
    _add_host(commands, common, "drain", run_drain)
    profile = _add_host(commands, common, "profile", run_profile)
    profile.add_argument("--seconds", type=float, default=10.0, help="at most 60")
    _add_logs(commands, common)
    _add_ask(commands, common)
    return parser


def _add_tree(commands: Any, common: argparse.ArgumentParser) -> None:
    tree = commands.add_parser("tree", help="read and edit the tree")
    subcommands = tree.add_subparsers(dest="tree_command", required=True)
    for name in ("show", "get", "history", "diff", *WRITERS):
        command = subcommands.add_parser(name, parents=[common])
        command.set_defaults(run=run_tree)
        _add_url(command, "--platform", PLATFORM_VARIABLE, "the platform's URL")
        if name in ("history", "diff"):
            command.add_argument("--after", type=int, default=0, help="revision")
            command.add_argument("--until", type=int, help="revision")
        elif name == "show":
            command.add_argument("path", nargs="?", default="/")
        else:
            command.add_argument("path")
        if name in WRITERS:
            _add_writer_options(command, name)


def _add_writer_options(command: argparse.ArgumentParser, name: str) -> None:
    if name == "move":
        command.add_argument("target")
    if name in ("set", "create"):
        command.add_argument("values", nargs="*", metavar="key=value")
    if name == "set":
        command.add_argument("--unset", action="append", default=[], metavar="KEY")
    if name == "create":
        command.add_argument("--workspace", action="store_true")
        command.add_argument(
            "--new-key", action="store_true", help="create a bearer key"
        )
    command.add_argument("--base", type=int, help="fail if changed since REVISION")
    command.add_argument("--author", help="author in the history (default: the user)")
    command.add_argument(
        "--wait", action="store_true", help="wait until in force on every host"
    )
    command.add_argument("--wait-timeout-seconds", type=float, default=8.0)
    command.add_argument(
        "--admin",
        default=os.environ.get(ADMIN_VARIABLE),
        help=f"a host's admin URL, for --wait (or {ADMIN_VARIABLE})",
    )


def _add_weights(commands: Any, common: argparse.ArgumentParser) -> None:
    weights = commands.add_parser("weights", help=run_weights.__doc__)
    subcommands = weights.add_subparsers(dest="weights_command", required=True)
    for name in ("show", "set"):
        command = subcommands.add_parser(name, parents=[common])
        command.set_defaults(run=run_weights)
        _add_url(command, "--platform", PLATFORM_VARIABLE, "the platform's URL")
        if name == "set":
            command.add_argument("model")
            command.add_argument("weights_version", type=int)


def _add_host(
    commands: Any, common: argparse.ArgumentParser, name: str, run: Command
) -> argparse.ArgumentParser:
    command = commands.add_parser(name, parents=[common], help=run.__doc__)
    command.set_defaults(run=run)
    _add_url(command, "--admin", ADMIN_VARIABLE, "the host's admin URL")
    return command


def _add_check(commands: Any, common: argparse.ArgumentParser) -> None:
    command = commands.add_parser("check", parents=[common], help="check settings")
    command.set_defaults(run=_run_check)
    command.add_argument("settings", type=Path)


def _add_logs(commands: Any, common: argparse.ArgumentParser) -> None:
    command = commands.add_parser("logs", parents=[common], help=run_logs.__doc__)
    command.set_defaults(run=run_logs)
    command.add_argument("files", nargs="*", help="log files (default: stdin)")
    command.add_argument("--about", help="a request, an upstream or a peer")
    command.add_argument("--workspace", help="path of a workspace")
    command.add_argument("--part", help="component: entry, route, beliefs, ...")
    command.add_argument("--problems", action="store_true", help="problems only")
    command.add_argument("--follow", action="store_true", help="wait for more lines")


def _add_ask(commands: Any, common: argparse.ArgumentParser) -> None:
    command = commands.add_parser("ask", parents=[common], help=run_ask.__doc__)
    command.set_defaults(run=run_ask)
    _add_url(command, "--entry", ENTRY_VARIABLE, "an entry host's URL")
    command.add_argument("--key", default=os.environ.get(KEY_VARIABLE, ""))
    command.add_argument("--model", required=True)
    command.add_argument("--max-tokens", type=int, default=64)
    command.add_argument("--idempotency-key", help="run at most once")
    command.add_argument("--deadline-seconds", type=float)
    command.add_argument("prompt")


def _add_url(
    command: argparse.ArgumentParser, option: str, variable: str, text: str
) -> None:
    default = os.environ.get(variable)
    command.add_argument(
        option, default=default, required=not default, help=f"{text} (or {variable})"
    )


async def _run_check(arguments: argparse.Namespace, output: Output) -> int:
    problems: list[str] = []
    settings = read_settings(arguments.settings, problems.append)
    result: dict[str, Any] = {"settings": "valid", "host": settings.host.name}
    if problems:
        result["problems"] = problems
    output.show_object(result)
    return _exit_codes.OK
