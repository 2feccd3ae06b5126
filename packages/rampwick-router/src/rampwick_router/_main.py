"""Command line of rampwickd."""

import argparse
import gc
import signal
import socket
import sys
import time
from collections.abc import AsyncIterator, Callable
from functools import partial
from pathlib import Path

import anyio

from rampwick_platform import new_event_loop
from rampwick_schema import RampwickError, Settings, read_settings
from rampwick_start import early_signals, end_process

from ._daemon import Clocks, Daemon, run_daemon
from ._fallback import read_fallback
from ._integration import Integration
from ._log_sink import open_log
from ._logs import ComponentLogger
from ._unexpected_errors import contain_errors

log = ComponentLogger("life")

#: Handled signals: shut down, and reload the settings.
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2

EXAMPLES = """\
examples:
  rampwickd host.toml            run until SIGTERM; SIGINT then forces the shutdown
  rampwickd --check host.toml    check the settings and exit
"""


def main() -> int:
    """Run the daemon; return the process's exit code."""
    arguments = _parse()
    try:
        settings = read_settings(arguments.settings, _print_problem)
        if settings.life.fallback_tree:
            read_fallback(Path(settings.life.fallback_tree))
    except RampwickError as error:
        print(f"rampwickd: {error}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    if arguments.check:
        print(f"{arguments.settings}: settings are valid")
        return EXIT_OK
    with open_log(arguments.log):
        # Tests and demos that use ephemeral ports read the addresses from this line.
        # It is omitted where standard output carries the log.
        announce = print if arguments.log else _announce_nothing
        run = partial(
            run_host, arguments.settings, announce=announce, end_process=end_process
        )
        anyio.run(run, backend_options={"loop_factory": new_event_loop})
    return EXIT_OK


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(
        prog="rampwickd",
        description="Route language-model traffic on one entry host.",
        epilog=EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("settings", type=Path, help="settings file (TOML)")
    parser.add_argument("--check", action="store_true", help="check and exit")
    parser.add_argument("--log", type=Path, help="log file; default is standard output")
    return parser.parse_args()


def _print_problem(problem: str) -> None:
    print(f"rampwickd: {problem}", file=sys.stderr)


def _log_problem(problem: str) -> None:
    log.problem("setting ignored or adjusted", problem=problem)


def _announce_nothing(line: str, *, flush: bool) -> None:
    return


async def run_host(
    path: Path,
    make_integration: Callable[[Settings], Integration] | None = None,
    announce: Callable[..., None] = _announce_nothing,
    clocks: Clocks | None = None,
    listener: socket.socket | None = None,
    end_process: Callable[[], None] | None = None,
) -> None:
    """Run a daemon until a signal stops it.

    ``path`` is the settings file, which SIGHUP reloads. ``clocks`` default to the
    system's. ``listener`` is a socket for callers that was bound before the daemon was
    loaded, if any. ``end_process`` ends the process at once; without it, a process that
    is late is killed.
    """
    settings = read_settings(path, _log_problem)
    integration = make_integration(settings) if make_integration else None
    # Signals during the start are queued until the daemon runs.
    with anyio.open_signal_receiver(*SIGNALS) as signals:
        early_stops_count = len(early_signals.stops_requested_at_seconds)
        early_signals.note_stops()
        async with run_daemon(
            settings, clocks=clocks, integration=integration, listener=listener
        ) as (daemon, addresses):
            # Objects allocated so far are permanent; exempt them from collections.
            gc.freeze()
            if early_signals.is_reload_requested:
                _reload(daemon, path)
            for _ in range(early_stops_count):
                daemon.request_stop(_take_stop_wait_seconds())
            daemon.run_task("signals", partial(_watch_signals, signals, daemon, path))
            if end_process is not None:
                daemon.start_exit_guard(end_process)
            announce(
                f"rampwickd {settings.host.name} entry={addresses.entry} "
                f"admin={addresses.admin} peer={addresses.peer}",
                flush=True,
            )
            await daemon.stop()
        early_signals.block()


async def _watch_signals(
    signals: AsyncIterator[signal.Signals], daemon: Daemon, path: Path
) -> None:
    async for number in signals:
        if number == signal.SIGHUP:
            _reload(daemon, path)
        elif number == signal.SIGINT:
            daemon.request_stop(is_urgent=True)
        else:
            daemon.request_stop(_take_stop_wait_seconds())


def _take_stop_wait_seconds() -> float:
    return early_signals.take_stop_wait_seconds(time.monotonic())


def _reload(daemon: Daemon, path: Path) -> None:
    with contain_errors("reload of the settings"):
        try:
            daemon.reload(read_settings(path, _log_problem))
        except RampwickError as error:
            log.problem("settings not reloaded, keeping the old ones", error=str(error))
