"""Command line of rampwickd."""

import argparse
import signal
import sys
from pathlib import Path
from typing import TextIO

import anyio
import eliot

from rampwick_schema import RampwickError, Settings, read_settings

from ._daemon import Daemon, run_daemon
from ._fallback import read_fallback

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2

EXAMPLES = """\
examples:
  rampwickd host.toml            run until SIGTERM; a second one hurries
  rampwickd --check host.toml    check the settings and exit
"""


def main() -> int:
    """Run the daemon; return the process's exit code."""
    arguments = _parse()
    try:
        settings = read_settings(arguments.settings)
        if settings.life.fallback_tree:
            read_fallback(Path(settings.life.fallback_tree))
    except RampwickError as error:
        print(f"rampwickd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: settings are valid")
        return EXIT_OK
    eliot.to_file(_open_log(arguments.log))
    anyio.run(_run, settings)
    return EXIT_OK


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="rampwickd",
        description="Route language-model traffic on one entry host.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", type=Path, help="settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="check, then exit")
    parser.add_argument("--log", type=Path, help="log file; default is stderr")
    return parser.parse_args()


def _open_log(path: Path | None) -> TextIO:
    return path.open("a", encoding="utf-8") if path else sys.stderr


async def _run(settings: Settings) -> None:
    async with (
        run_daemon(settings) as (daemon, addresses),
        anyio.create_task_group() as tasks,
    ):
        tasks.start_soon(_watch_signals, daemon)
        print(
            f"rampwickd {settings.host.name} entry={addresses.entry} "
            f"admin={addresses.admin} peer={addresses.peer}",
            flush=True,
        )
        await daemon.stop()
        tasks.cancel_scope.cancel()


async def _watch_signals(daemon: Daemon) -> None:
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for _ in signals:
            daemon.life.begin_stop()
